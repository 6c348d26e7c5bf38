"""Dispatchers: reads inquiries from their connections, writes answers, answers checks, closes idle ones."""

from __future__ import annotations

from functools import partial
from math import isfinite
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
RESERVE = 64  # descriptors kept for the listener, interpreter, catalogue, members and the process itself
UNREAD_LONG = 10_000_000  # µs that a caller may leave answers unread: longer than any inquiry waits
CLOSE_AFTER = 300_000  # µs after goaway by which an unused connection is closed from here: what crossed is in
WORDS = {Answer.HONOURED: b"200", Answer.DEFERRED: b"503", Answer.GIVEN_UP: b"500"}


class BadInquiryError(Exception):
    """An array that is none; its text says what is wrong."""


def amount(said: dict[bytes, bytes], name: bytes) -> float:
    value = float(said.get(name, 0))
    if not isfinite(value) or value < 0:
        raise ValueError(f"no amount: {value}")
    return value


class Connection(Protocol):
    """Owns the tags open on it; each is given back in `answer`, or all in `connectionLost`."""

    def __init__(self, door: Dispatchers) -> None:
        self.door = door
        self.reader = ArrayReader()
        self.cases: dict[int, Case] = {}
        self.number = -1
        self.last_traffic = 0
        self.checks_only = True
        self.going = False  # goaway was sent
        self.closing = False  # nothing more is read from it
        self.unread: Deadline | None = None
        self.idle: Deadline | None = None

    def connectionMade(self) -> None:
        self.number = self.door.connections.take(self)
        self.door.report.count("dispatchers", "connections")
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.last_traffic = self.door.deadlines.now()
        self.watch_idle()

    def connectionLost(self, reason: Any = connectionDone) -> None:
        self.door.connections.give_back(self.number)
        self.door.deadlines.cancel(self.unread)
        self.door.deadlines.cancel(self.idle)
        self.closing = True
        cases, self.cases = self.cases, {}
        for case in cases.values():
            self.door.report.count("dispatchers", "lost with their connection")
            self.door.host.caller_left(case)

    # --- a caller that does not read ---

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
        self.transport.abortConnection()

    # --- what comes ---

    def dataReceived(self, data: bytes) -> None:
        self.last_traffic = self.door.deadlines.now()
        if self.closing:
            return
        try:
            for words in self.reader.feed(data):
                self.take(words)
                if self.closing:
                    return
        except BrokenFramingError as broken:
            self.refuse_all(str(broken))

    def take(self, words: list[bytes]) -> None:
        """Guards the node against one bad array: it is answered by its tag, or ends its connection."""
        report = self.door.report
        tag = int(words[1]) if len(words) > 1 and words[1].isdigit() else 0
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
                    self.door.host.caller_left(case)
            elif words[0] == b"HEALTH":
                report.count("dispatchers", "got checks")
                self.send(tag, b"serving" if self.door.host.healthy else b"not_serving", self.said(), b"")
            else:
                raise BadInquiryError(f"unknown word {words[0][:20]!r}")
        except BadInquiryError as bad:
            report.count("dispatchers", "unusable arrays")
            report.note(f"dispatchers: {bad}")
            self.send(tag, WORDS[Answer.GIVEN_UP], self.said(), b"")
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
        now = host.clock()
        try:
            said = dict(each.split(b"=", 1) for each in words[3].split(b","))
            ident, arrived = said[b"i"], min(int(said[b"s"]) * 1000, now)
            key = said[b"k"] if tariff.effect is Effect.RECEIPTED else b""
            if len(ident) != 16 or int(ident, 16) < 0 or ident in host.idents:
                raise ValueError("an id has 16 digits and is new")
            inquiry = Inquiry(
                tariff=tariff,
                arrived=arrived,
                due=max(arrived + tariff.hard_limit, now),
                place=amount(said, b"p"),
                caller=int(said.get(b"f", 0)),
                further_try=said.get(b"r") == b"1",
                cost=int(amount(said, b"h") * 1000),
                size_kb=amount(said, b"m"),
            )
        except (KeyError, ValueError, OverflowError) as wrong:
            raise BadInquiryError(f"fields {words[3][:120]!r}: {wrong!r}") from wrong
        case = Case(inquiry, ident, body, key, partial(self.answer, tag))
        self.cases[tag] = case
        host.arrives(case)

    def refuse_all(self, why: str) -> None:
        """What follows can't be read: the connection ends once what is open on it has its answers."""
        self.door.report.count("dispatchers", "broken framing")
        self.door.report.note(f"dispatchers: {why}; the connection is closed")
        self.closing = True
        self.end_if_done()

    # --- what goes ---

    def answer(self, tag: int, answer: Answer, result: bytes, span: int, last: bool) -> None:
        if self.cases.pop(tag, None) is None:
            return
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
        self.transport.writeSequence(array(b"%d" % tag, word, b",".join(fields), body))

    def end_if_done(self) -> None:
        if self.closing and not self.cases:
            self.lose()

    def lose(self) -> None:
        """Guards against a connection that never ends: one with a producer waits for it to go on."""
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    # --- idle connections ---

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
            self.transport.writeSequence(array(b"0", b"goaway"))
            self.door.report.count("dispatchers", "sent goaway")
            self.idle = self.door.deadlines.after(CLOSE_AFTER, self.close_unused)

    def close_unused(self) -> None:
        if self.cases:
            self.idle = self.door.deadlines.after(CLOSE_AFTER, self.close_unused)
        else:
            self.lose()


class Dispatchers(Factory):
    noisy = False

    def __init__(self, host: Host, deadlines: Deadlines, report: Report, descriptors: int) -> None:
        self.host, self.deadlines, self.report = host, deadlines, report
        self.most = max(1, descriptors - RESERVE)
        self.connections: Slots[Connection] = Slots()
        self.idle_span = 0
        self.port: Any = None
        host.doors.append(self)

    def listen(self, reactor: Any, address: tuple[str, int]) -> None:
        self.port = reactor.listenTCP(address[1], self, backlog=1024, interface=address[0])

    def buildProtocol(self, addr: Any) -> Connection | None:
        """Guards the descriptors: a connection too many is closed at once."""
        if len(self.connections) >= self.most:
            self.report.count("dispatchers", "connections too many")
            return None
        return Connection(self)

    def close_idle(self, span: int) -> None:
        self.idle_span = span
        for connection in self.connections:
            if not connection.going:
                connection.watch_idle()

    def go_away(self) -> None:
        for connection in self.connections:
            connection.go_away()

    def stop_listening(self) -> None:
        """Guards what waits to be accepted: it is taken in before the listener closes."""
        if self.port is not None:
            self.port, port = None, self.port
            port.doRead()
            port.stopListening()
