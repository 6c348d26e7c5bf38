"""Dispatchers: reads requests from their connections, writes answers, answers checks, closes idle ones."""

from __future__ import annotations

from collections.abc import Container
from functools import partial
from typing import Any

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.internet.tcp import Port
from zope.interface import implementer

from lichencleat.admission.types import Request
from lichencleat.node.catalogue import links_most
from lichencleat.node.deadlines import Deadline, Deadlines
from lichencleat.node.framing import BrokenFramingError
from lichencleat.node.host import Answer, Case, Host
from lichencleat.node.report import Report
from lichencleat.node.requests import BadRequestError, read_request
from lichencleat.node.resp import ArrayReader, array
from lichencleat.node.slots import Slots

READ_MOST = 16_384  # bytes read at once: a flood on one connection holds the others up for some ms at most
OPEN_MOST = 32  # requests open on one connection, by the protocol
BAD_MOST = 4  # unusable arrays on one connection: more is no slip, and each costs as much as a good one
TAG_DIGITS = 18  # of a tag: more than any connection has arrays
FIRST_WAIT = 1_500_000  # µs from connecting to a whole array: half of what is owed to those who send none
REST_WAIT = 1_000_000  # µs for the rest of an array that has begun: they are written in one piece
BACKLOG = 1_024  # callers that may wait to be accepted: as many as there are, after a restart of all
OWN = 16  # descriptors: process, reactor, listener and links have 10; a link or file more now and then
SPARE = 8  # one in so many connections is for those that are on their way out, so that none has to be cut off
CROWDED = 0.75  # of the connections: from there on those at rest are asked to go
REST_LEAST = 1_000_000  # µs without traffic before that: a caller that comes back mostly does so sooner
REST_CUT = 60_000  # µs without traffic before one is ended for room: what crosses an end is sent once more
ROOM_AGAIN = 20_000  # µs between looks for room while no connection is accepted: a third of REST_CUT
LINGER = 1_000_000  # µs from our end of a connection to the caller's, who has all answers by then, or is gone
DROPPED_MOST = 262_144  # bytes read and dropped on one that ends: more than 32 requests, with their bodies
RESULT_MOST = 4_096  # bytes, by the protocol
MEMORY_LEAST = 64 << 20  # bytes of the program, where it is not told: three times what one takes at rest
UNREAD_PART = 1 / 8  # of that, for answers that callers leave unread: a third of it is taken at rest
UNREAD_LONG = 10_000_000  # µs that a caller may leave answers unread: longer than any request waits
CLOSE_AFTER = 300_000  # µs after goaway by which an unused connection is closed from here: what crossed is in
WORDS = {Answer.HONOURED: b"200", Answer.DEFERRED: b"503", Answer.GIVEN_UP: b"500"}


@implementer(IHalfCloseableProtocol)
class Connection(Protocol):
    """Owns the tags open on it; each is given back in `answer`, or all in `caller_gone`.

    It ends in four steps: it is to end (`closing`, `going`); once nothing is open on it, the reactor reads
    once more what came by then; if that opened nothing, our side is shut (`over`), after all answers; then
    what the caller still had under way is read and dropped until it ends its side too, for `LINGER` at most.
    A close over unread bytes would reset the connection, and answers that were written would go with it.
    """

    def __init__(self, door: Dispatchers) -> None:
        self.door = door
        self.reader = ArrayReader()
        self.cases: dict[int, Case] = {}
        self.number = -1
        self.last_traffic = 0
        self.checks_only = True
        self.bad = 0  # unusable arrays
        self.whole_by: Deadline | None = None  # the array under way, or the first one
        self.slow = False  # it was not whole by then, and is not waited for
        self.going = False  # goaway was sent
        self.closing = False  # it ends once nothing is open on it
        self.deaf = False  # what comes can't be read any more, and is dropped
        self.over = False  # our side is shut: what comes crossed that, and is dropped
        self.ended_at: int | None = None  # when the end of our side went out
        self.dropped = 0  # bytes
        self.unread: Deadline | None = None
        self.idle: Deadline | None = None
        self.flow: Any = None  # metered, where flow export is switched on
        self.cut_off = False

    def connectionMade(self) -> None:
        self.number = self.door.connections.take(self)
        self.door.report.count("dispatchers", "connections")
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = READ_MOST
        self.transport.registerProducer(self, True)
        self.last_traffic = self.door.deadlines.now()
        self.door.strangers[self] = None
        if self.door.flows is not None:
            self.flow = self.door.flows.open_flow(self.transport)
        self.whole_by = self.door.deadlines.after(FIRST_WAIT, self.too_slow, "nothing whole came in time")
        self.watch_idle()

    def connectionLost(self, reason: Any = connectionDone) -> None:
        self.door.connections.give_back(self.number)
        self.door.strangers.pop(self, None)
        self.door.unreading.pop(self, None)
        self.door.deadlines.cancel(self.whole_by)
        self.door.deadlines.cancel(self.unread)
        self.door.deadlines.cancel(self.idle)
        self.closing = self.over = True
        self.caller_gone()
        if self.flow is not None:
            self.door.flows.end_flow(self.flow, self.cut_off)
        self.door.has_room()

    def caller_gone(self) -> None:
        cases, self.cases = self.cases, {}
        for case in cases.values():
            self.door.report.count("dispatchers", "lost with their connection")
            self.abandon(case)

    def readConnectionLost(self) -> None:
        """The caller ended its side: nobody waits any more, and what was written goes out."""
        if not self.over:
            self.transport.unregisterProducer()
        self.closing = self.over = True
        self.caller_gone()
        self.door.deadlines.cancel(self.unread)
        self.unread = self.door.deadlines.after(UNREAD_LONG, self.abort, "answers left unread")
        self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        """All answers went out, and then the end of our side."""
        self.ended_at = self.door.deadlines.now()
        self.door.deadlines.cancel(self.unread)
        self.unread = self.door.deadlines.after(LINGER, self.transport.loseConnection)

    # --- a caller that does not read --------------------------------------------------------------

    def pauseProducing(self) -> None:
        """Guards the memory against answers that nobody reads: nothing more is read, then it is closed."""
        self.transport.pauseProducing()
        if self.unread is None:
            self.unread = self.door.deadlines.after(UNREAD_LONG, self.abort, "answers left unread")
            self.door.stuck(self)

    def resumeProducing(self) -> None:
        self.door.deadlines.cancel(self.unread)
        self.unread = None
        self.door.unreading.pop(self, None)
        self.transport.resumeProducing()

    def stopProducing(self) -> None:
        pass

    def abort(self, why: str) -> None:
        self.door.report.count("dispatchers", f"aborted: {why}")
        self.closing = self.over = self.cut_off = True
        self.door.unreading.pop(self, None)
        self.transport.abortConnection()

    def abandon(self, case: Case) -> None:
        if self.flow is not None:
            self.flow.counts.abandoned += 1
            self.add_times(case.request)
        self.door.host.caller_left(case)

    def add_times(self, request: Request) -> None:
        """How long it was in hand, and of that since its run began, for its flow."""
        now, counts = self.door.host.clock(), self.flow.counts
        begun = now if request.started is None else min(request.started, now)
        counts.held += max(0, begun - request.arrived)
        counts.run += now - begun

    # --- what comes -------------------------------------------------------------------------------

    def dataReceived(self, data: bytes) -> None:
        self.last_traffic = self.door.deadlines.now()
        if self.flow is not None:
            self.door.flows.add_received(self.flow, len(data))
        if self.deaf or self.over:
            self.drop(len(data))
            return
        came = False
        try:
            for words in self.reader.feed(data):
                came = True
                self.take(words)
                if self.deaf:
                    return
        except BrokenFramingError as broken:
            self.refuse_all(str(broken))
            return
        if came:
            self.door.strangers.pop(self, None)
            self.door.deadlines.cancel(self.whole_by)
            self.whole_by, self.slow = None, False
        if self.whole_by is None and self.reader.begun() and not self.slow:
            self.whole_by = self.door.deadlines.after(REST_WAIT, self.too_slow, "an array came without end")

    def take(self, words: list[bytes]) -> None:
        """Guards the node against one bad array: it is answered by its tag, or ends its connection."""
        report = self.door.report
        tag = int(words[1]) if len(words) > 1 and words[1].isdigit() and len(words[1]) <= TAG_DIGITS else 0
        if tag < 1 or (tag in self.cases and words[0] != b"ABORT"):
            self.refuse_all(f"tag missing or used: {words[0][:20]!r}")
            return
        try:
            if words[0] == b"REQ":
                self.checks_only = False
                report.count("dispatchers", "got requests")
                self.request(tag, words)
            elif words[0] == b"ABORT":
                report.count("dispatchers", "got aborts")
                case = self.cases.pop(tag, None)
                if case is not None:
                    self.abandon(case)
            elif words[0] == b"HEALTH":
                report.count("dispatchers", "got checks")
                self.send(tag, b"serving" if self.door.host.healthy else b"not_serving", self.said(), b"")
            else:
                raise BadRequestError(f"unknown word {words[0][:20]!r}")
        except BadRequestError as bad:
            report.count("dispatchers", "unusable arrays")
            report.note(f"dispatchers: {bad}")
            self.send(tag, WORDS[Answer.GIVEN_UP], self.said(), b"")
            self.bad += 1
            if self.bad >= BAD_MOST:
                self.refuse_all("too many unusable arrays")
        except Exception:
            report.trouble("reading a request")
            if tag in self.cases:
                self.door.host.fail(self.cases[tag])
            else:
                self.send(tag, WORDS[Answer.GIVEN_UP], self.said(), b"")

    def request(self, tag: int, words: list[bytes]) -> None:
        if len(self.cases) >= OPEN_MOST:
            raise BadRequestError("more open than a connection carries")
        case, tenant = read_request(words, self.door.host, self.door.tenants, partial(self.answer, tag))
        self.cases[tag] = case
        if self.flow is not None:
            self.door.flows.set_owner(self.flow, tenant, case.request.request_class.name, case.request.caller)
        self.door.host.arrives(case)

    def refuse_all(self, why: str) -> None:
        """What follows can't be read: the connection ends once what is open on it has its answers."""
        if self.deaf:
            return
        self.door.report.count("dispatchers", "broken framing")
        self.door.report.note(f"dispatchers: {why}; the connection is closed")
        self.closing = self.deaf = True
        self.end_if_done()

    def too_slow(self, why: str) -> None:
        """Guards the descriptors. One that spoke is asked to go: should the rest come, it is taken."""
        self.whole_by, self.slow = None, True
        self.door.report.count("dispatchers", "arrays too slow")
        self.door.report.note(f"dispatchers: {why}; the connection is closed")
        if self in self.door.strangers or self.closing:
            self.end()
        else:
            self.go_away()

    def drop(self, size: int) -> None:
        """Guards the processor against a flood on a connection that ends: past a bound it is not read."""
        self.door.report.count("dispatchers", "bytes dropped", size)
        self.dropped += size
        if self.dropped > DROPPED_MOST:
            self.transport.pauseProducing()

    # --- what goes --------------------------------------------------------------------------------

    def answer(self, tag: int, answer: Answer, result: bytes, span: int, last: bool) -> None:
        case = self.cases.pop(tag, None)
        if case is None:
            return
        if self.flow is not None:
            counts = self.flow.counts
            counts.honoured += answer is Answer.HONOURED
            counts.deferred += answer is Answer.DEFERRED
            counts.given_up += answer is Answer.GIVEN_UP
            self.add_times(case.request)
        fields = self.said()
        if answer is Answer.DEFERRED:
            fields += [b"w=%d" % (span // 1000)] if span else []
            fields += [b"l=1"] if last else []
        self.door.report.count("dispatchers", "sent " + answer.value)
        self.send(tag, WORDS[answer], fields, result)
        self.end_if_done()

    def said(self) -> list[bytes]:
        value = self.door.host.free_value
        return [] if value is None else [b"v=%.4f" % value]

    def send(self, tag: int, word: bytes, fields: list[bytes], body: bytes) -> None:
        self.last_traffic = self.door.deadlines.now()
        self.write(array(b"%d" % tag, word, b",".join(fields), body))

    def write(self, parts: list[bytes]) -> None:
        self.transport.writeSequence(parts)
        if self.flow is not None:
            self.door.flows.add_sent(self.flow, sum(map(len, parts)), self.transport)

    def end_if_done(self) -> None:
        if self.closing and not self.cases:
            self.end()

    def end(self) -> None:
        """Guards what came and was not read yet: the reactor reads before this connection ends."""
        self.door.deadlines.after(0, self.shut)

    def shut(self, in_any_case: bool = False) -> None:
        """Ends our side, unless something was read meanwhile that is owed an answer.

        A connection with a producer would wait for that to go on.
        """
        under_way = self.going and not self.closing and self.whole_by is not None and self.reader.begun()
        if self.over or ((self.cases or under_way) and not in_any_case):
            return
        self.over = True
        for each in (self.whole_by, self.idle, self.unread):
            self.door.deadlines.cancel(each)
        self.door.strangers.pop(self, None)
        self.unread = self.door.deadlines.after(UNREAD_LONG, self.abort, "answers left unread")
        self.transport.unregisterProducer()
        self.transport.resumeProducing()
        self.transport.loseWriteConnection()

    # --- idle connections -------------------------------------------------------------------------

    def watch_idle(self) -> None:
        self.door.deadlines.cancel(self.idle)
        self.idle = None
        if self.door.idle_span and not self.going:
            quiet = self.door.deadlines.now() - self.last_traffic
            self.idle = self.door.deadlines.after(self.door.idle_span - quiet, self.idled)

    def idled(self) -> None:
        quiet = self.door.deadlines.now() - self.last_traffic
        if quiet < self.door.idle_span or self.cases or self.checks_only:
            self.idle = self.door.deadlines.after(
                max(self.door.idle_span - quiet, self.door.idle_span // 2), self.idled
            )
        else:
            self.go_away()

    def go_away(self) -> None:
        """The caller sends nothing more here and closes; if it does not, an unused connection is closed."""
        if not (self.going or self.closing or self.over):
            self.going = True
            self.write(array(b"0", b"goaway"))
            self.door.report.count("dispatchers", "sent goaway")
            self.door.deadlines.cancel(self.idle)  # or it would outlast the connection, and keep it in memory
            self.idle = self.door.deadlines.after(CLOSE_AFTER, self.close_unused)

    def close_unused(self) -> None:
        """Once more after each end that something read meanwhile has put off."""
        self.idle = self.door.deadlines.after(CLOSE_AFTER, self.close_unused)
        if not self.cases:
            self.end()


class Listener(Port):
    """Guards the descriptors: Twisted's own takes in a hundred at once, whatever room there is."""

    def doRead(self) -> None:
        self.numberAccepts = self.factory.may_accept()
        super().doRead()


class Dispatchers(Factory):
    noisy = False

    def __init__(
        self,
        host: Host,
        deadlines: Deadlines,
        report: Report,
        descriptors: int,
        tenants: Container[bytes] = frozenset(),
        flows: Any = None,
        memory: int = MEMORY_LEAST,
    ) -> None:
        """`flows`: as flows.assembly.Flows, where connections are metered. `memory`: the program's, bytes."""
        self.host, self.deadlines, self.report = host, deadlines, report
        self.tenants = tenants
        self.flows = flows
        self.most = max(1, descriptors - OWN - links_most(descriptors))
        self.connections: Slots[Connection] = Slots()
        self.unreading: dict[Connection, None] = {}  # that read no answers, the longest so first
        self.unreading_most = max(1, int(memory * UNREAD_PART) // (READ_MOST + OPEN_MOST * RESULT_MOST))
        self.strangers: dict[Connection, None] = {}  # those of whom nothing whole has come, oldest first
        self.idle_span = host.machine.idle_timeout_us  # until the decisions say otherwise
        self.port: Any = None
        self.accepts = True
        host.doors.append(self)

    def listen(self, reactor: Any, address: tuple[str, int]) -> None:
        self.port = Listener(address[1], self, BACKLOG, address[0], reactor)
        self.port.startListening()

    def buildProtocol(self, addr: Any) -> Connection | None:
        """Guards the descriptors: where many are open, the one longest at rest is asked to go, checks too.

        Near the bound one is ended for each that comes, and with half of the spare room left none is accepted
        for the moment; those that wait have not been taken in. Harm: a caller that rests, or is slow to send
        its first array, has to connect anew; nothing that came of it goes unread.
        """
        count, spare = len(self.connections), self.most // SPARE
        if count >= CROWDED * self.most and (resting := self.longest_at_rest(REST_LEAST, False)):
            resting.go_away()
        if count >= self.most - spare:
            self.make_room()
        if count >= self.most:
            self.report.count("dispatchers", "connections too many")
            return None
        if count + 1 >= self.full_at():
            self.accept(False)
        return Connection(self)

    def full_at(self) -> int:
        return max(1, self.most - self.most // SPARE // 2)

    def may_accept(self) -> int:
        """How many at once: the reactor reads what these say before it takes in more."""
        return max(1, self.full_at() - len(self.connections))

    def accept(self, on: bool) -> None:
        if on is self.accepts or self.port is None:
            return
        self.accepts = on
        if on:
            self.port.resumeProducing()
        else:
            self.report.count("dispatchers", "times full")
            self.port.pauseProducing()
            self.deadlines.after(ROOM_AGAIN, self.look_for_room)

    def look_for_room(self) -> None:
        if not self.accepts and self.port is not None:
            self.make_room()
            self.deadlines.after(ROOM_AGAIN, self.look_for_room)

    def has_room(self) -> None:
        if len(self.connections) < self.full_at():
            self.accept(True)

    def make_room(self) -> None:
        """Ends the oldest that said nothing, or the longest at rest, and is done with those that linger."""
        now = self.deadlines.now()
        for each in self.connections:
            if each.ended_at is not None and each.ended_at < now - REST_CUT:
                each.transport.abortConnection()
        oldest = next(iter(self.strangers), None)
        if oldest is None or oldest.last_traffic >= now - REST_CUT:
            oldest = self.longest_at_rest(REST_CUT, True)
        if oldest is not None:
            self.report.count("dispatchers", "ended for room")
            self.strangers.pop(oldest, None)
            oldest.closing = True
            oldest.end()

    def longest_at_rest(self, span: int, going: bool) -> Connection | None:
        """`going`: may it be one that was asked to go already."""
        before = self.deadlines.now() - span
        resting = [
            each
            for each in self.connections
            if each.last_traffic < before
            and not (each.cases or each.closing or each.over)
            and (going or not each.going)
        ]
        return min(resting, key=lambda each: each.last_traffic, default=None)

    def close_idle(self, span: int) -> None:
        self.idle_span = span
        for connection in self.connections:
            if not connection.going:
                connection.watch_idle()

    def beliefs(self) -> str:
        going = sum(each.going for each in self.connections)
        busy = sum(bool(each.cases) for each in self.connections)
        return (
            f"{len(self.connections)} callers, {busy} busy, {len(self.strangers)} silent, {going} sent away"
        )

    def go_away(self) -> None:
        for connection in self.connections:
            connection.go_away()

    def stuck(self, connection: Connection) -> None:
        """Guards the memory: past the bound, who has left answers unread for longest is cut off."""
        self.unreading[connection] = None
        if len(self.unreading) > self.unreading_most:
            next(iter(self.unreading)).abort("memory for others")

    def shut(self) -> None:
        for connection in self.connections:
            connection.shut(in_any_case=True)

    def stop_listening(self) -> None:
        """Guards what waits to be accepted: it is taken in before the listener closes, lot by lot."""
        if self.port is not None:
            self.port, port = None, self.port
            before = -1
            while before != self.report.counts["dispatchers connections"]:
                before = self.report.counts["dispatchers connections"]
                port.doRead()
            port.stopListening()
