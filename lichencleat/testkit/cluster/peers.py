"""Stand-ins of the platform's parties that a node talks to. They keep running when a node's process ends.

`Engine` is the interpreter and runs requests. `Dependency` answers the calls that runs make. `MembershipStub`
receives health reports. `Caller` sends requests and records every answer. All run on the rig's reactor. Each
stand-in that listens owns its port and closes the port in `close`.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.protocol import ClientFactory, DatagramProtocol, Factory, Protocol

from lichencleat.node.framing import BrokenFramingError
from lichencleat.node.lines import LineReader, line, line_with_body
from lichencleat.node.resp import ArrayReader, array

LOCAL = "127.0.0.1"
MAX_NOTICES = 4_000  # notices kept for an engine connection that is opened again
MICROSECONDS_PER_SECOND = 1_000_000


class LineLink(Protocol):
    """An accepted connection of the line protocol, whose lines go to the owner.

    `bodies`: first words of the lines that are followed by a body of a given length.
    """

    bodies: tuple[bytes, ...] = ()

    def __init__(self, owner: Any) -> None:
        self.owner = owner
        self.reader = LineReader(lambda words: bool(words) and words[0] in self.bodies)

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        try:
            for words, body in self.reader.feed(data):
                self.owner.on_line(self, words, body)
        except BrokenFramingError:
            self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:
        self.owner.on_link_lost(self)


class LinkFactory(Factory):
    """Factory that makes a protocol for each accepted connection."""

    noisy = False

    def __init__(self, make: Callable[[], Protocol]) -> None:
        self.make = make

    def buildProtocol(self, address: Any) -> Protocol:
        return self.make()


# -- the interpreter ---------------------------------------------------------------------------------


class EngineLink(LineLink):
    """Connection of a node to the engine."""

    bodies = (b"APPLY", b"RESOLVE")


@dataclass(slots=True)
class EngineRun:
    """A run of one attempt at the engine."""

    ident: bytes
    request_class: bytes
    body: bytes
    started: int  # µs on the reactor's clock
    calls: bool  # whether the run calls the dependency
    waiting: bool = False  # whether the run waits for the reply to its call of the dependency
    timer: Any = None


class Engine:
    """Stand-in of the interpreter: a run takes a random time.

    A run of a request class that calls the dependency makes the call after half of its work.
    """

    def __init__(
        self,
        reactor: Any,
        rng: random.Random,
        work: float = 0.02,
        calling: frozenset[bytes] = frozenset(),
        cores: int = 4,
        forgets: bool = False,
    ) -> None:
        """`work`: mean duration of a run in seconds; `calling`: classes whose runs call the dependency;
        `forgets`: a restarted node gets no notices of earlier runs.
        """
        self.reactor, self.rng, self.work, self.calling = reactor, rng, work, calling
        self.cores, self.forgets = cores, forgets
        self.runs: dict[bytes, EngineRun] = {}
        self.notices: list[bytes] = []
        self.link: EngineLink | None = None
        self.run_counts: Counter[tuple[bytes, bytes]] = Counter()  # runs by class and body
        self.results: dict[tuple[bytes, bytes], list[bytes]] = {}  # results of runs
        # Ids and start times (µs) of the attempts that ran, by request class and body.
        self.run_starts: dict[tuple[bytes, bytes], list[tuple[bytes, int]]] = {}
        self.on_run: Callable[[EngineRun], None] = lambda run: None
        self.on_end: Callable[[EngineRun], None] = lambda run: None
        self.port = reactor.listenTCP(0, LinkFactory(lambda: EngineLink(self)), interface=LOCAL)

    @property
    def address(self) -> str:
        return f"{LOCAL}:{self.port.getHost().port}"

    def now(self) -> int:
        """Return the time of the reactor in µs."""
        return int(self.reactor.seconds() * MICROSECONDS_PER_SECOND)

    def on_line(self, link: EngineLink, words: list[bytes], body: bytes) -> None:
        """Handle a line from the node."""
        if words[0] == b"CONNECT":
            self.connect(link, int(words[1]))
        elif words[0] == b"TOP":
            busy = min(1.0, len(self.runs) / self.cores)
            link.transport.write(b"TOPS %s %.2f %d 0.1 3\r\n" % (words[1], busy, len(self.runs)))
        elif words[0] == b"APPLY":
            self.apply(words[1], words[2], body)
        elif words[0] == b"BREAK":
            run = self.runs.pop(words[1], None)
            if run is not None:
                if run.timer is not None and run.timer.active():
                    run.timer.cancel()
                self.send_outcome(run, b"KILLED", b"")
        elif words[0] == b"RESOLVE" and words[1] in self.runs:
            self.runs[words[1]].waiting = False
            self.continue_run(self.runs[words[1]], self.end)

    def connect(self, link: EngineLink, after: int) -> None:
        """Replace the connection of the node, and send the notices after the given number again."""
        if after == 0 and self.forgets:
            self.notices = []
        self.link, old = link, self.link
        if old is not None and old is not link:
            old.transport.abortConnection()
        link.transport.write(b"BANNER LOADED 5000\r\n" + b"".join(self.notices[after:]))

    def on_link_lost(self, link: EngineLink) -> None:
        """Forget a connection that has ended."""
        if link is self.link:
            self.link = None

    def apply(self, ident: bytes, request_class: bytes, body: bytes) -> None:
        """Start a run, unless the attempt with this id is running already."""
        if ident in self.runs:
            return
        run = EngineRun(ident, request_class, body, self.now(), request_class in self.calling)
        self.runs[ident] = run
        self.run_counts[request_class, body] += 1
        self.run_starts.setdefault((request_class, body), []).append((ident, self.now()))
        self.on_run(run)
        self.continue_run(run, self.wait_for_call if run.calls else self.end)

    def continue_run(self, run: EngineRun, then: Callable[[EngineRun], None]) -> None:
        """Let the run work for a random time, and call `then` afterwards."""
        duration = self.rng.expovariate(1 / self.work) * (0.5 if run.calls else 1.0)
        run.timer = self.reactor.callLater(duration, then, run)

    def end_waiting_run(self, ident: bytes) -> None:
        """End a run that waits for its call, because its caller has an answer or is disconnected."""
        run = self.runs.get(ident)
        if run is not None and run.waiting:
            del self.runs[ident]
            self.send_outcome(run, b"KILLED", b"")

    def wait_for_call(self, run: EngineRun) -> None:
        """Ask the node to make the call of a run, and wait for the reply."""
        run.waiting = True
        self.send_notice([b"AWAIT", run.ident], b"call of " + run.body)

    def end(self, run: EngineRun) -> None:
        """Finish a run with a result that names its class, its body and the number of runs of both."""
        self.runs.pop(run.ident, None)
        result = b"%s %s %d" % (run.request_class, run.body, self.run_counts[run.request_class, run.body])
        self.results.setdefault((run.request_class, run.body), []).append(result)
        self.send_outcome(run, b"PASS", result)
        self.on_end(run)

    def send_outcome(self, run: EngineRun, outcome: bytes, result: bytes) -> None:
        """Send the outcome of a run to the node."""
        duration_ms = (self.now() - run.started) // 1000
        self.send_notice([b"VALUE", run.ident, outcome, b"%d" % duration_ms], result)

    def send_notice(self, words: list[bytes], body: bytes) -> None:
        """Number a notice, keep it for later connections, and send it if a node is connected."""
        kind, *rest = words
        frame = line_with_body(kind, b"%d" % (len(self.notices) + 1), *rest, body=body)
        self.notices.append(b"".join(frame))
        if self.link is not None and self.link.transport is not None:
            self.link.transport.write(self.notices[-1])

    def close(self) -> None:
        self.port.stopListening()
        for run in self.runs.values():
            if run.timer is not None and run.timer.active():
                run.timer.cancel()
        if self.link is not None:
            self.link.transport.abortConnection()


# -- the dependency ----------------------------------------------------------------------------------


class DependencyLink(LineLink):
    """Connection of a node to the dependency."""

    bodies = (b"FETCH",)

    def __init__(self, owner: Any) -> None:
        super().__init__(owner)
        self.calls: dict[bytes, Any] = {}  # request id -> timer for the end of the call


class Dependency:
    """Stand-in of the dependency that all nodes share: it counts the calls, and those in flight.

    A call takes a random time, but ends at its deadline at the latest.
    """

    def __init__(
        self, reactor: Any, rng: random.Random, mean_time: float = 0.1, limit: int | None = None
    ) -> None:
        """`mean_time`: mean duration of a call in seconds; `limit`: allowed number of calls in flight.

        Calls above the limit are served and counted in `over_limit`.
        """
        self.reactor, self.rng, self.mean_time, self.limit = reactor, rng, mean_time, limit
        self.in_flight = self.max_in_flight = self.received = self.over_limit = 0
        self.stuck_fraction = 0.0  # fraction of the calls that do not finish before their deadline
        self.links: dict[DependencyLink, None] = {}
        self.port = reactor.listenTCP(0, LinkFactory(lambda: DependencyLink(self)), interface=LOCAL)

    @property
    def address(self) -> str:
        return f"{LOCAL}:{self.port.getHost().port}"

    def on_line(self, link: DependencyLink, words: list[bytes], body: bytes) -> None:
        """Handle a line from a node: start or cancel a call."""
        self.links[link] = None
        if words[0] == b"QUIT":
            self.end(link, words[1], None)
        elif words[0] == b"FETCH":
            self.end(link, words[1], None)  # a second call for the same request cancels the first
            timeout = int(words[2]) / 1000
            duration = (
                3600.0
                if self.rng.random() < self.stuck_fraction
                else self.rng.expovariate(1 / self.mean_time)
            )
            self.received += 1
            self.in_flight += 1
            self.max_in_flight = max(self.max_in_flight, self.in_flight)
            if self.limit is not None and self.in_flight > self.limit:
                self.over_limit += 1
            reply = (
                line_with_body(words[1], b"DATA", body=b"reply to " + body)
                if duration <= timeout
                else line(words[1], b"TOOSLOW")
            )
            link.calls[words[1]] = self.reactor.callLater(
                min(timeout, duration), self.end, link, words[1], reply
            )

    def end(self, link: DependencyLink, ident: bytes, reply: list[bytes] | None) -> None:
        """End a call, with a reply or, where that is None, silently."""
        timer = link.calls.pop(ident, None)
        if timer is None:
            return
        self.in_flight -= 1
        if timer.active():
            timer.cancel()
        if reply is not None and link.transport is not None:
            link.transport.writeSequence(reply)

    def on_link_lost(self, link: DependencyLink) -> None:
        """End all calls of a connection that has ended."""
        self.links.pop(link, None)
        for ident in list(link.calls):
            self.end(link, ident, None)

    def close(self) -> None:
        self.port.stopListening()
        for link in list(self.links):
            link.transport.abortConnection()


class MembershipStub(DatagramProtocol):
    """Stand-in of the membership service: it counts the health reports that it receives."""

    noisy = False

    def __init__(self, reactor: Any) -> None:
        self.reports: Counter[bytes] = Counter()
        self.port = reactor.listenUDP(0, self, interface=LOCAL)

    @property
    def address(self) -> str:
        return f"{LOCAL}:{self.port.getHost().port}"

    def datagramReceived(self, data: bytes, address: Any) -> None:
        self.reports[data] += 1

    def close(self) -> None:
        self.port.stopListening()


# -- callers -----------------------------------------------------------------------------------------


@dataclass(slots=True)
class Attempt:
    """An attempt of a request, with all its answers."""

    ident: bytes
    request_class: bytes
    body: bytes
    key: bytes
    sent: int  # µs of Unix time
    deadline: int  # µs of Unix time: deadline of the attempt
    # Status, fields and result of each answer, and µs of Unix time when it came.
    answers: list[tuple[bytes, bytes, bytes, int]] = field(default_factory=list)
    lost: bool = False  # whether the connection ended before an answer


class CallerLink(Protocol):
    """Connection of a caller to a node or a router."""

    def __init__(self, caller: Caller) -> None:
        self.caller = caller
        self.reader = ArrayReader()
        self.open: dict[int, Attempt] = {}
        self.tag = 0
        self.draining = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.caller.add_link(self)

    def send(self, attempt: Attempt, fields: dict[str, Any]) -> None:
        """Send an attempt under the next tag of this connection."""
        self.tag += 1
        self.open[self.tag] = attempt
        text = ",".join(f"{name}={value}" for name, value in fields.items())
        words = (b"REQ", b"%d" % self.tag, attempt.request_class, text.encode(), attempt.body)
        self.transport.writeSequence(array(*words))

    def dataReceived(self, data: bytes) -> None:
        for words in self.reader.feed(data):
            tag = int(words[0])
            if tag == 0:
                self.draining = True
                self.caller.remove_link(self)
                if not self.open:
                    self.transport.loseConnection()
                continue
            attempt = self.open.get(tag)
            if attempt is not None:
                fields = words[2] if len(words) > 2 else b""
                result = words[3] if len(words) > 3 else b""
                attempt.answers.append((words[1], fields, result, self.caller.clock()))
                self.caller.on_attempt_end(attempt)
                if len(attempt.answers) == 1:
                    self.caller.waiting -= 1
            if self.draining and all(each.answers for each in self.open.values()):
                self.transport.loseConnection()

    def connectionLost(self, reason: Any = None) -> None:
        for attempt in self.open.values():
            if not attempt.answers:
                attempt.lost = True
                self.caller.waiting -= 1
                self.caller.on_attempt_end(attempt)
        self.caller.remove_link(self)


class Caller:
    """Sends attempts to one node or router, over a connection that is opened again after a loss."""

    MAX_OPEN_ATTEMPTS = 24  # attempts on a connection: fewer than the protocol allows

    def __init__(
        self, reactor: Any, address: tuple[str, int], clock: Callable[[], int], number: int = 1
    ) -> None:
        self.reactor, self.address, self.clock, self.number = reactor, address, clock, number
        self.links: list[CallerLink] = []
        self.waiting = 0  # number of attempts without an answer
        self.attempts: list[Attempt] = []
        self.on_answer: Callable[[Attempt], None] = lambda attempt: None
        self.connecting = 0
        self.closed = False
        self.made = 0

    def add_link(self, link: CallerLink) -> None:
        """Use a connection that has been established."""
        self.connecting -= 1
        if self.closed:
            link.transport.abortConnection()
        else:
            self.links.append(link)

    def remove_link(self, link: CallerLink) -> None:
        """Send nothing more on a connection that has ended or received a goaway."""
        if link in self.links:
            self.links.remove(link)

    def on_attempt_end(self, attempt: Attempt) -> None:
        """Report that an attempt was answered or lost its connection."""
        self.on_answer(attempt)

    def on_connection_failed(self) -> None:
        """Allow another connection attempt after a failed one."""
        self.connecting -= 1

    def ask(
        self,
        request_class: bytes,
        body: bytes,
        hard_limit: int,
        rng: random.Random,
        key: bytes = b"",
        **more: Any,
    ) -> Attempt | None:
        """Send an attempt and return it.

        Returns None if no connection is free for another attempt; a new connection is opened then. `more`:
        further fields of the request.
        """
        link = next(
            (each for each in self.links if len(self.unanswered_on(each)) < self.MAX_OPEN_ATTEMPTS), None
        )
        if link is None:
            if not self.connecting and not self.closed:
                self.connecting += 1
                self.reactor.connectTCP(*self.address, CallerConnector(self), timeout=1)
            return None
        now = self.clock()
        attempt = Attempt(b"%016x" % rng.getrandbits(64), request_class, body, key, now, now + hard_limit)
        fields = {"i": attempt.ident.decode(), "s": now // 1000, "f": self.number, "m": "10.0"}
        fields["p"] = f"{rng.random():.4f}"
        if key:
            fields["k"] = key.decode()
        link.send(attempt, fields | more)
        self.waiting += 1
        self.attempts.append(attempt)
        return attempt

    @staticmethod
    def unanswered_on(link: CallerLink) -> list[Attempt]:
        """Return the attempts on a connection that have no answer yet."""
        for tag in [tag for tag, each in link.open.items() if each.answers]:
            if len(link.open) > 4 * Caller.MAX_OPEN_ATTEMPTS:  # kept for a while, to notice second answers
                del link.open[tag]
        return [each for each in link.open.values() if not each.answers]

    def close(self) -> None:
        self.closed = True
        for link in list(self.links):
            link.transport.abortConnection()


class CallerConnector(ClientFactory):
    """Opens a connection of a caller."""

    noisy = False

    def __init__(self, caller: Caller) -> None:
        self.caller = caller

    def buildProtocol(self, address: Any) -> CallerLink:
        return CallerLink(self.caller)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.caller.on_connection_failed()


class ColdDependency(Dependency):
    """A dependency that is cold after a power loss and fails under overload.

    The cold dependency serves a third of its limit; its capacity rises linearly while it works. When the
    calls in flight exceed 1.15 times the present capacity, the dependency fails all calls, refuses new ones
    for 3 s and is cold afterwards.
    """

    # Capacity when cold as a fraction of the limit; calls in flight that cause a failure as a multiple of the
    # present capacity; s for which calls are refused after a failure.
    COLD_FRACTION, FAILURE_FACTOR, RECOVERY_TIME = 1 / 3, 1.15, 3.0

    def __init__(
        self, reactor: Any, rng: random.Random, mean_time: float, limit: int, warm_up_time: float
    ) -> None:
        """`warm_up_time`: seconds of work from a cold start to the full limit."""
        super().__init__(reactor, rng, mean_time, limit)
        self.warm_up_time = warm_up_time
        self.capacity_fraction = 1.0
        self.last_update = reactor.seconds()
        self.down_until = 0.0
        self.failures = 0

    def capacity(self) -> float:
        """Return the present capacity, in calls in flight, after counting the work since the last call."""
        now = self.reactor.seconds()
        if self.in_flight and now > self.down_until:
            self.capacity_fraction = min(
                1.0,
                self.capacity_fraction
                + (1 - self.COLD_FRACTION) * (now - self.last_update) / self.warm_up_time,
            )
        self.last_update = now
        assert self.limit is not None
        return self.capacity_fraction * self.limit

    def cut_power(self) -> None:
        """Make the dependency cold, but let it accept calls at once."""
        self.capacity()
        self.capacity_fraction, self.down_until = self.COLD_FRACTION, 0.0

    def on_line(self, link: DependencyLink, words: list[bytes], body: bytes) -> None:
        now = self.reactor.seconds()
        if words[0] == b"FETCH" and now < self.down_until:
            self.end(link, words[1], None)
            self.reactor.callLater(0.05, self.refuse, link, words[1])
            return
        super().on_line(link, words, body)
        if self.in_flight > self.FAILURE_FACTOR * self.capacity():
            self.failures += 1
            self.capacity_fraction, self.down_until = self.COLD_FRACTION, now + self.RECOVERY_TIME
            for each in list(self.links):
                for ident in list(each.calls):
                    self.end(each, ident, line(ident, b"FAULT"))

    def refuse(self, link: DependencyLink, ident: bytes) -> None:
        """Answer a call with a fault."""
        if link.transport is not None:
            link.transport.writeSequence(line(ident, b"FAULT"))
