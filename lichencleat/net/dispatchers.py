"""Dispatchers: reads inquiries from their connections, writes answers, answers checks, closes idle ones."""

from __future__ import annotations

import re
from functools import partial
from hashlib import blake2b
from typing import Any

from twisted.internet.protocol import Factory, Protocol, connectionDone

from lichencleat.net.deadlines import Deadline, Deadlines
from lichencleat.net.framing import BrokenFramingError
from lichencleat.net.host import Answer, Case, Host
from lichencleat.net.report import Report
from lichencleat.net.resp import ArrayReader, array
from lichencleat.net.slots import Slots
from lichencleat.terms import Effect, Inquiry

BODY_MOST = 2_048  # bytes, by the protocol
READ_MOST = 16_384  # bytes read at once: a flood on one connection holds the others up for some ms at most
OPEN_MOST = 32  # inquiries open on one connection, by the protocol
BAD_MOST = 4  # unusable arrays on one connection: more is no slip, and each costs as much as a good one
TAG_DIGITS = 18  # of a tag: more than any connection has arrays
FIRST_WAIT = 1_500_000  # µs from connecting to a whole array: half of what is owed to those who send none
REST_WAIT = 1_000_000  # µs for the rest of an array that has begun: they are written in one piece
AHEAD_MOST = 1_000_000  # µs that an arrival may lie ahead of our clock, which is the same machine's
BEHIND_MOST = 10_000_000  # µs past its hard limit that one may be read, by a machine that paused
HINT_MOST = 60_000.0  # ms of work that a caller may expect: ten times the longest wait for an answer
SIZE_MOST = 2_000.0  # KB booked for an inquiry, by the protocol
RESERVE = 96  # descriptors kept for the listener, interpreter, catalogue, members and the process itself
CROWDED = 0.75  # of the connections: from there on those at rest are asked to go
REST_LEAST = 1_000_000  # µs without traffic before that: a caller that comes back mostly does so sooner
REST_CUT = (
    60_000  # µs without traffic before one is cut off at the bound: what crosses that is sent once more
)
UNREAD_LONG = 10_000_000  # µs that a caller may leave answers unread: longer than any inquiry waits
CLOSE_AFTER = 300_000  # µs after goaway by which an unused connection is closed from here: what crossed is in
FORMS = {  # of the fields, by the protocol: nothing that merely converts
    b"i": re.compile(rb"[0-9a-fA-F]{16}"),
    b"s": re.compile(rb"[0-9]{1,15}"),
    b"f": re.compile(rb"[0-9]{1,9}"),
    b"h": re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?"),
    b"m": re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?"),
    b"p": re.compile(rb"0(\.[0-9]{1,9})?"),
    b"k": re.compile(rb"[0-9a-fA-F]{32}"),
    b"r": re.compile(rb"1"),
}
WORDS = {Answer.HONOURED: b"200", Answer.DEFERRED: b"503", Answer.GIVEN_UP: b"500"}


class BadInquiryError(Exception):
    """An array that is none; its text says what is wrong."""


def fields(text: bytes) -> dict[bytes, bytes]:
    """Guards the decisions against figures that none means: each field once, in its form."""
    pairs = [each.split(b"=", 1) for each in text.split(b",")]
    said = dict(pairs)
    if len(said) < len(pairs):
        raise ValueError("a field comes twice")
    for name, value in said.items():
        form = FORMS.get(name)
        if form is not None and not form.fullmatch(value):
            raise ValueError(f"{name!r} reads {value[:40]!r}")
    return said


class Connection(Protocol):
    """Owns the tags open on it; each is given back in `answer`, or all in `connectionLost`."""

    def __init__(self, door: Dispatchers) -> None:
        self.door = door
        self.reader = ArrayReader()
        self.cases: dict[int, Case] = {}
        self.number = -1
        self.last_traffic = 0
        self.checks_only = True
        self.bad = 0  # unusable arrays
        self.whole_by: Deadline | None = None  # the array under way, or the first one
        self.going = False  # goaway was sent
        self.closing = False  # nothing more is read from it
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
            self.flow = self.door.flows.opened(self.transport)
        self.whole_by = self.door.deadlines.after(FIRST_WAIT, self.refuse_all, "nothing whole came in time")
        self.watch_idle()

    def connectionLost(self, reason: Any = connectionDone) -> None:
        self.door.connections.give_back(self.number)
        self.door.strangers.pop(self, None)
        self.door.deadlines.cancel(self.whole_by)
        self.door.deadlines.cancel(self.unread)
        self.door.deadlines.cancel(self.idle)
        self.closing = True
        cases, self.cases = self.cases, {}
        for case in cases.values():
            self.door.report.count("dispatchers", "lost with their connection")
            self.abandon(case)
        if self.flow is not None:
            self.door.flows.ended(self.flow, self.cut_off)

    # --- a caller that does not read --------------------------------------------------------------

    def pauseProducing(self) -> None:
        """Guards the memory against answers that nobody reads: nothing more is read, then it is closed."""
        self.transport.pauseProducing()
        if self.unread is None:
            self.unread = self.door.deadlines.after(UNREAD_LONG, self.abort, "answers left unread")

    def resumeProducing(self) -> None:
        self.door.deadlines.cancel(self.unread)
        self.unread = None
        if not self.closing:
            self.transport.resumeProducing()

    def stopProducing(self) -> None:
        pass

    def abort(self, why: str) -> None:
        self.door.report.count("dispatchers", f"aborted: {why}")
        self.closing = self.cut_off = True
        self.transport.abortConnection()

    def abandon(self, case: Case) -> None:
        if self.flow is not None:
            self.flow.counts.abandoned += 1
            self.add_times(case.inquiry)
        self.door.host.caller_left(case)

    def add_times(self, inquiry: Inquiry) -> None:
        """How long it was in hand, and of that since its run began, for its flow."""
        now, counts = self.door.host.clock(), self.flow.counts
        begun = now if inquiry.started is None else min(inquiry.started, now)
        counts.held += max(0, begun - inquiry.arrived)
        counts.run += now - begun

    # --- what comes -------------------------------------------------------------------------------

    def dataReceived(self, data: bytes) -> None:
        self.last_traffic = self.door.deadlines.now()
        if self.flow is not None:
            self.door.flows.received(self.flow, len(data))
        if self.closing:
            return
        came = False
        try:
            for words in self.reader.feed(data):
                came = True
                self.take(words)
                if self.closing:
                    return
        except BrokenFramingError as broken:
            self.refuse_all(str(broken))
            return
        if came:
            self.door.strangers.pop(self, None)
            self.door.deadlines.cancel(self.whole_by)
            self.whole_by = None
        if self.whole_by is None and self.reader.begun():
            self.whole_by = self.door.deadlines.after(REST_WAIT, self.refuse_all, "an array came without end")

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
                report.count("dispatchers", "got inquiries")
                self.inquiry(tag, words)
            elif words[0] == b"ABORT":
                report.count("dispatchers", "got aborts")
                case = self.cases.pop(tag, None)
                if case is not None:
                    self.abandon(case)
            elif words[0] == b"HEALTH":
                report.count("dispatchers", "got checks")
                self.send(tag, b"serving" if self.door.host.healthy else b"not_serving", self.said(), b"")
            else:
                raise BadInquiryError(f"unknown word {words[0][:20]!r}")
        except BadInquiryError as bad:
            report.count("dispatchers", "unusable arrays")
            report.note(f"dispatchers: {bad}")
            self.send(tag, WORDS[Answer.GIVEN_UP], self.said(), b"")
            self.bad += 1
            if self.bad >= BAD_MOST:
                self.refuse_all("too many unusable arrays")
        except Exception:
            report.trouble("reading an inquiry")
            if tag in self.cases:
                self.door.host.fail(self.cases[tag])
            else:
                self.send(tag, WORDS[Answer.GIVEN_UP], self.said(), b"")

    def inquiry(self, tag: int, words: list[bytes]) -> None:
        host = self.door.host
        if not 4 <= len(words) <= 5:
            raise BadInquiryError(f"{len(words)} words")
        body = words[4] if len(words) == 5 else b""
        tariff = host.tariffs.get(words[2])
        if tariff is None or len(body) > BODY_MOST:
            raise BadInquiryError(f"tariff {words[2][:40]!r}, body of {len(body)} bytes")
        if len(self.cases) >= OPEN_MOST:
            raise BadInquiryError("more open than a connection carries")
        now = host.clock()
        try:
            said = fields(words[3])
            ident, came = said[b"i"], int(said[b"s"]) * 1000
            arrived, size_kb, cost_ms = min(came, now), float(said[b"m"]), float(said.get(b"h", 0))
            if self.door.tenants and said[b"t"] not in self.door.tenants:
                raise ValueError("no such tenant")
            if not now - BEHIND_MOST - tariff.hard_limit <= came <= now + AHEAD_MOST:
                raise ValueError("not of this time")
            if not 0 < size_kb < SIZE_MOST or cost_ms > HINT_MOST or ident in host.idents:
                raise ValueError("a figure out of range, or an id in hand")
            inquiry = Inquiry(
                tariff=tariff,
                arrived=arrived,
                due=max(arrived + tariff.hard_limit, now),
                place=float(said[b"p"]),
                caller=int(said[b"f"]),
                further_try=b"r" in said,
                cost=int(cost_ms * 1000),
                size_kb=size_kb,
            )
            key = b""
            if tariff.effect is Effect.RECEIPTED:
                # Guards against the key of another: tries of one inquiry have its tariff and body as well.
                key = said[b"k"] + blake2b(words[2] + b" " + body, digest_size=16).digest()
        except (KeyError, ValueError) as wrong:
            raise BadInquiryError(f"fields {words[3][:120]!r}: {wrong!r}") from wrong
        case = Case(inquiry, ident, body, key, partial(self.answer, tag))
        self.cases[tag] = case
        if self.flow is not None:
            self.door.flows.belongs(self.flow, said.get(b"t", b""), tariff.name, inquiry.caller)
        host.arrives(case)

    def refuse_all(self, why: str) -> None:
        """What follows can't be read: the connection ends once what is open on it has its answers."""
        if self.closing:
            return
        self.door.report.count("dispatchers", "broken framing")
        self.door.report.note(f"dispatchers: {why}; the connection is closed")
        self.closing = True
        self.transport.pauseProducing()
        self.end_if_done()

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
            self.add_times(case.inquiry)
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
            self.door.flows.sent(self.flow, sum(map(len, parts)), self.transport)

    def end_if_done(self) -> None:
        if self.closing and not self.cases:
            self.lose()

    def lose(self) -> None:
        """Guards against a connection that never ends: one with a producer waits for it to go on."""
        self.transport.unregisterProducer()
        self.door.deadlines.cancel(self.unread)
        self.unread = self.door.deadlines.after(UNREAD_LONG, self.abort, "answers left unread")
        self.transport.loseConnection()

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
        if not self.going and not self.closing:
            self.going = True
            self.write(array(b"0", b"goaway"))
            self.door.report.count("dispatchers", "sent goaway")
            self.door.deadlines.cancel(self.idle)  # or it would outlast the connection, and keep it in memory
            self.idle = self.door.deadlines.after(CLOSE_AFTER, self.close_unused)

    def close_unused(self) -> None:
        if self.cases:
            self.idle = self.door.deadlines.after(CLOSE_AFTER, self.close_unused)
        else:
            self.lose()


class Dispatchers(Factory):
    noisy = False

    def __init__(
        self,
        host: Host,
        deadlines: Deadlines,
        report: Report,
        descriptors: int,
        tenants: frozenset[bytes] = frozenset(),
        flows: Any = None,
    ) -> None:
        """`flows`: as flows.assembly.Flows, where connections are metered."""
        self.host, self.deadlines, self.report = host, deadlines, report
        self.tenants = tenants
        self.flows = flows
        self.most = max(1, descriptors - RESERVE)
        self.connections: Slots[Connection] = Slots()
        self.strangers: dict[Connection, None] = {}  # those of whom nothing whole has come, oldest first
        self.idle_span = host.machine.connections_idle  # until the decisions say otherwise
        self.port: Any = None
        host.doors.append(self)

    def listen(self, reactor: Any, address: tuple[str, int]) -> None:
        self.port = reactor.listenTCP(address[1], self, backlog=1024, interface=address[0])

    def buildProtocol(self, addr: Any) -> Connection | None:
        """Guards the descriptors: where many are open, the one longest at rest is asked to go, checks too.

        At the bound the oldest that said nothing is cut off, or the longest at rest. Harm: a caller that is
        slow to send its first array may be cut off; nothing of it was read.
        """
        if len(self.connections) >= CROWDED * self.most and (resting := self.longest_at_rest(REST_LEAST)):
            resting.go_away()
        if len(self.connections) >= self.most:
            oldest = next(iter(self.strangers), None) or self.longest_at_rest(REST_CUT)
            if oldest is None:
                self.report.count("dispatchers", "connections too many")
                return None
            self.strangers.pop(oldest, None)
            oldest.abort("room for others")
        return Connection(self)

    def longest_at_rest(self, span: int) -> Connection | None:
        before = self.deadlines.now() - span
        resting = [
            each
            for each in self.connections
            if each.last_traffic < before and not (each.cases or each.going or each.closing)
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

    def stop_listening(self) -> None:
        """Guards what waits to be accepted: it is taken in before the listener closes."""
        if self.port is not None:
            self.port, port = None, self.port
            port.doRead()
            port.stopListening()
