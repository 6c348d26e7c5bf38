"""Stand-ins for what a node talks to, on the rig's reactor: they outlive the nodes, and count what happened.

`Engine` runs requests, `Dependency` takes calls below, `Callers` send requests and write down every answer.
None of them decides anything; each owns its port, given back in `close`.
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
NOTICES_MOST = 4_000  # kept for a link that comes again
SECOND = 1_000_000  # µs


class LineLink(Protocol):
    """One accepted connection of lines; `bodies`: first words of lines that a counted body follows."""

    bodies: tuple[bytes, ...] = ()

    def __init__(self, owner: Any) -> None:
        self.owner = owner
        self.reader = LineReader(lambda words: bool(words) and words[0] in self.bodies)

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        try:
            for words, body in self.reader.feed(data):
                self.owner.take(self, words, body)
        except BrokenFramingError:
            self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:
        self.owner.lost(self)


class Listening(Factory):
    noisy = False

    def __init__(self, make: Callable[[], Protocol]) -> None:
        self.make = make

    def buildProtocol(self, address: Any) -> Protocol:
        return self.make()


# -- the interpreter ---------------------------------------------------------------------------------


class EngineLink(LineLink):
    bodies = (b"APPLY", b"RESOLVE")


@dataclass(slots=True)
class EngineRun:
    ident: bytes
    tariff: bytes
    body: bytes
    began: int
    calls: bool
    waiting: bool = False  # at its call
    timer: Any = None


class Engine:
    """Each run takes a drawn time, with a call in its middle where its tariff has one."""

    def __init__(
        self,
        reactor: Any,
        rng: random.Random,
        work: float = 0.02,
        calling: frozenset[bytes] = frozenset(),
        cores: int = 4,
        forgets: bool = False,
    ) -> None:
        """`work`: mean of a run's seconds; `forgets`: a node's new life hears nothing of the runs before."""
        self.reactor, self.rng, self.work, self.calling = reactor, rng, work, calling
        self.cores, self.forgets = cores, forgets
        self.runs: dict[bytes, EngineRun] = {}
        self.notices: list[bytes] = []
        self.link: EngineLink | None = None
        self.begun: Counter[tuple[bytes, bytes]] = Counter()  # runs by tariff and body
        self.made: dict[tuple[bytes, bytes], list[bytes]] = {}  # their results
        self.runs_of: dict[tuple[bytes, bytes], list[tuple[bytes, int]]] = {}  # which tries ran, and when
        self.on_run: Callable[[EngineRun], None] = lambda run: None
        self.on_end: Callable[[EngineRun], None] = lambda run: None
        self.port = reactor.listenTCP(0, Listening(lambda: EngineLink(self)), interface=LOCAL)

    @property
    def address(self) -> str:
        return f"{LOCAL}:{self.port.getHost().port}"

    def now(self) -> int:
        return int(self.reactor.seconds() * SECOND)

    def take(self, link: EngineLink, words: list[bytes], body: bytes) -> None:
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
                self.over(run, b"KILLED", b"")
        elif words[0] == b"RESOLVE" and words[1] in self.runs:
            self.runs[words[1]].waiting = False
            self.go_on(self.runs[words[1]], self.end)

    def connect(self, link: EngineLink, after: int) -> None:
        if after == 0 and self.forgets:
            self.notices = []
        self.link, old = link, self.link
        if old is not None and old is not link:
            old.transport.abortConnection()
        link.transport.write(b"BANNER LOADED 5000\r\n" + b"".join(self.notices[after:]))

    def lost(self, link: EngineLink) -> None:
        if link is self.link:
            self.link = None

    def apply(self, ident: bytes, tariff: bytes, body: bytes) -> None:
        if ident in self.runs:
            return
        run = EngineRun(ident, tariff, body, self.now(), tariff in self.calling)
        self.runs[ident] = run
        self.begun[tariff, body] += 1
        self.runs_of.setdefault((tariff, body), []).append((ident, self.now()))
        self.on_run(run)
        self.go_on(run, self.waits if run.calls else self.end)

    def go_on(self, run: EngineRun, then: Callable[[EngineRun], None]) -> None:
        span = self.rng.expovariate(1 / self.work) * (0.5 if run.calls else 1.0)
        run.timer = self.reactor.callLater(span, then, run)

    def request_over(self, ident: bytes) -> None:
        """Its caller has an answer, or is gone: a run that stands at its call ends there."""
        run = self.runs.get(ident)
        if run is not None and run.waiting:
            del self.runs[ident]
            self.over(run, b"KILLED", b"")

    def waits(self, run: EngineRun) -> None:
        run.waiting = True
        self.notice([b"AWAIT", run.ident], b"call of " + run.body)

    def end(self, run: EngineRun) -> None:
        self.runs.pop(run.ident, None)
        result = b"%s %s %d" % (run.tariff, run.body, self.begun[run.tariff, run.body])
        self.made.setdefault((run.tariff, run.body), []).append(result)
        self.over(run, b"PASS", result)
        self.on_end(run)

    def over(self, run: EngineRun, how: bytes, result: bytes) -> None:
        took = (self.now() - run.began) // 1000
        self.notice([b"VALUE", run.ident, how, b"%d" % took], result)

    def notice(self, words: list[bytes], body: bytes) -> None:
        kind, *rest = words
        said = line_with_body(kind, b"%d" % (len(self.notices) + 1), *rest, body=body)
        self.notices.append(b"".join(said))
        if self.link is not None and self.link.transport is not None:
            self.link.transport.write(self.notices[-1])

    def close(self) -> None:
        self.port.stopListening()
        for run in self.runs.values():
            if run.timer is not None and run.timer.active():
                run.timer.cancel()
        if self.link is not None:
            self.link.transport.abortConnection()


# -- calls below -------------------------------------------------------------------------------------


class DependencyLink(LineLink):
    bodies = (b"FETCH",)

    def __init__(self, owner: Any) -> None:
        super().__init__(owner)
        self.calls: dict[bytes, Any] = {}  # id -> the timer of its end


class Dependency:
    """Shared by all nodes: each call takes a drawn time, and ends when it was told to. Counts them."""

    def __init__(
        self, reactor: Any, rng: random.Random, takes: float = 0.1, limit: int | None = None
    ) -> None:
        """`takes`: mean of a call's seconds. `limit`: what it survives; beyond that it only counts."""
        self.reactor, self.rng, self.takes, self.limit = reactor, rng, takes, limit
        self.in_hand = self.most = self.taken = self.over_limit = 0
        self.stuck = 0.0  # this share of the calls takes for ever
        self.links: dict[DependencyLink, None] = {}
        self.port = reactor.listenTCP(0, Listening(lambda: DependencyLink(self)), interface=LOCAL)

    @property
    def address(self) -> str:
        return f"{LOCAL}:{self.port.getHost().port}"

    def take(self, link: DependencyLink, words: list[bytes], body: bytes) -> None:
        self.links[link] = None
        if words[0] == b"QUIT":
            self.end(link, words[1], None)
        elif words[0] == b"FETCH":
            self.end(link, words[1], None)  # a second call for the same request gives up the first
            told = int(words[2]) / 1000
            takes = 3600.0 if self.rng.random() < self.stuck else self.rng.expovariate(1 / self.takes)
            self.taken += 1
            self.in_hand += 1
            self.most = max(self.most, self.in_hand)
            if self.limit is not None and self.in_hand > self.limit:
                self.over_limit += 1
            reply = (
                line_with_body(words[1], b"DATA", body=b"reply to " + body)
                if takes <= told
                else line(words[1], b"TOOSLOW")
            )
            link.calls[words[1]] = self.reactor.callLater(min(told, takes), self.end, link, words[1], reply)

    def end(self, link: DependencyLink, ident: bytes, reply: list[bytes] | None) -> None:
        timer = link.calls.pop(ident, None)
        if timer is None:
            return
        self.in_hand -= 1
        if timer.active():
            timer.cancel()
        if reply is not None and link.transport is not None:
            link.transport.writeSequence(reply)

    def lost(self, link: DependencyLink) -> None:
        self.links.pop(link, None)
        for ident in list(link.calls):
            self.end(link, ident, None)

    def close(self) -> None:
        self.port.stopListening()
        for link in list(self.links):
            link.transport.abortConnection()


class Listed(DatagramProtocol):
    """The membership service, as far as a node sees it: it hears reports."""

    noisy = False

    def __init__(self, reactor: Any) -> None:
        self.heard: Counter[bytes] = Counter()
        self.port = reactor.listenUDP(0, self, interface=LOCAL)

    @property
    def address(self) -> str:
        return f"{LOCAL}:{self.port.getHost().port}"

    def datagramReceived(self, data: bytes, address: Any) -> None:
        self.heard[data] += 1

    def close(self) -> None:
        self.port.stopListening()


# -- callers -----------------------------------------------------------------------------------------


@dataclass(slots=True)
class Asked:
    """One try of a request, and all that came back for it."""

    ident: bytes
    tariff: bytes
    body: bytes
    key: bytes
    sent: int  # µs of Unix time
    due: int
    answers: list[tuple[bytes, bytes, bytes, int]] = field(default_factory=list)  # word, fields, result, when
    lost: bool = False  # its connection ended first


class CallerLink(Protocol):
    def __init__(self, caller: Caller) -> None:
        self.caller = caller
        self.reader = ArrayReader()
        self.open: dict[int, Asked] = {}
        self.tag = 0
        self.going = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.caller.linked(self)

    def send(self, asked: Asked, fields: dict[str, Any]) -> None:
        self.tag += 1
        self.open[self.tag] = asked
        text = ",".join(f"{name}={value}" for name, value in fields.items())
        words = (b"REQ", b"%d" % self.tag, asked.tariff, text.encode(), asked.body)
        self.transport.writeSequence(array(*words))

    def dataReceived(self, data: bytes) -> None:
        for words in self.reader.feed(data):
            tag = int(words[0])
            if tag == 0:
                self.going = True
                self.caller.link_goes(self)
                if not self.open:
                    self.transport.loseConnection()
                continue
            asked = self.open.get(tag)
            if asked is not None:
                fields = words[2] if len(words) > 2 else b""
                result = words[3] if len(words) > 3 else b""
                asked.answers.append((words[1], fields, result, self.caller.clock()))
                self.caller.answered(asked)
                if len(asked.answers) == 1:
                    self.caller.waiting -= 1
            if self.going and all(each.answers for each in self.open.values()):
                self.transport.loseConnection()

    def connectionLost(self, reason: Any = None) -> None:
        for asked in self.open.values():
            if not asked.answers:
                asked.lost = True
                self.caller.waiting -= 1
                self.caller.answered(asked)
        self.caller.link_goes(self)


class Caller:
    """Sends tries to one node over one connection at a time, opened again whenever it is gone."""

    OPEN_MOST = 24  # tries on a connection: under what the protocol allows

    def __init__(
        self, reactor: Any, address: tuple[str, int], clock: Callable[[], int], number: int = 1
    ) -> None:
        self.reactor, self.address, self.clock, self.number = reactor, address, clock, number
        self.links: list[CallerLink] = []
        self.waiting = 0  # tries without an answer
        self.said: list[Asked] = []
        self.on_answer: Callable[[Asked], None] = lambda asked: None
        self.dialling = 0
        self.closed = False
        self.made = 0

    def linked(self, link: CallerLink) -> None:
        self.dialling -= 1
        if self.closed:
            link.transport.abortConnection()
        else:
            self.links.append(link)

    def link_goes(self, link: CallerLink) -> None:
        if link in self.links:
            self.links.remove(link)

    def answered(self, asked: Asked) -> None:
        self.on_answer(asked)

    def failed(self) -> None:
        self.dialling -= 1

    def ask(
        self, tariff: bytes, body: bytes, hard_limit: int, rng: random.Random, key: bytes = b"", **more: Any
    ) -> Asked | None:
        """Sends a try; None where no connection has room yet (one is opened then)."""
        link = next((each for each in self.links if len(self.open_on(each)) < self.OPEN_MOST), None)
        if link is None:
            if not self.dialling and not self.closed:
                self.dialling += 1
                self.reactor.connectTCP(*self.address, Dial(self), timeout=1)
            return None
        now = self.clock()
        asked = Asked(b"%016x" % rng.getrandbits(64), tariff, body, key, now, now + hard_limit)
        said = {"i": asked.ident.decode(), "s": now // 1000, "f": self.number, "m": "10.0"}
        said["p"] = f"{rng.random():.4f}"
        if key:
            said["k"] = key.decode()
        link.send(asked, said | more)
        self.waiting += 1
        self.said.append(asked)
        return asked

    @staticmethod
    def open_on(link: CallerLink) -> list[Asked]:
        for tag in [tag for tag, each in link.open.items() if each.answers]:
            if len(link.open) > 4 * Caller.OPEN_MOST:  # answered ones stay a while, to see second answers
                del link.open[tag]
        return [each for each in link.open.values() if not each.answers]

    def close(self) -> None:
        self.closed = True
        for link in list(self.links):
            link.transport.abortConnection()


class Dial(ClientFactory):
    noisy = False

    def __init__(self, caller: Caller) -> None:
        self.caller = caller

    def buildProtocol(self, address: Any) -> CallerLink:
        return CallerLink(self.caller)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.caller.failed()


class ColdDependency(Dependency):
    """Survives a third of its limit at first, more as it works; beyond that it falls, and comes back cold."""

    COLD, FALL, BACK = 1 / 3, 1.15, 3.0  # of the limit; times what it survives; s

    def __init__(self, reactor: Any, rng: random.Random, takes: float, limit: int, warm: float) -> None:
        """`warm`: s of work until it is whole."""
        super().__init__(reactor, rng, takes, limit)
        self.warm = warm
        self.whole = 1.0
        self.since = reactor.seconds()
        self.down_until = 0.0
        self.falls = 0

    def survives(self) -> float:
        now = self.reactor.seconds()
        if self.in_hand and now > self.down_until:
            self.whole = min(1.0, self.whole + (1 - self.COLD) * (now - self.since) / self.warm)
        self.since = now
        assert self.limit is not None
        return self.whole * self.limit

    def cut_power(self) -> None:
        """It is cold again, and up."""
        self.survives()
        self.whole, self.down_until = self.COLD, 0.0

    def take(self, link: DependencyLink, words: list[bytes], body: bytes) -> None:
        now = self.reactor.seconds()
        if words[0] == b"FETCH" and now < self.down_until:
            self.end(link, words[1], None)
            self.reactor.callLater(0.05, self.refuse, link, words[1])
            return
        super().take(link, words, body)
        if self.in_hand > self.FALL * self.survives():
            self.falls += 1
            self.whole, self.down_until = self.COLD, now + self.BACK
            for each in list(self.links):
                for ident in list(each.calls):
                    self.end(each, ident, line(ident, b"FAULT"))

    def refuse(self, link: DependencyLink, ident: bytes) -> None:
        if link.transport is not None:
            link.transport.writeSequence(line(ident, b"FAULT"))
