"""Calls below, over connections that carry many: each call is a Deferred that fires once with its outcome."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone

from lichencleat.net.deadlines import Deadline, Deadlines
from lichencleat.net.framing import BrokenFramingError
from lichencleat.net.lines import LineReader, line, line_with_body
from lichencleat.net.report import Report
from lichencleat.terms import Outcome

IDLE = 7_000_000  # µs: given up before the other side does at 10 s, so that no call crosses its close
BEYOND = 200_000  # µs past a call's stated time before a silent proxy is no longer waited for
CONNECT_WAIT = 2_000_000  # µs for a connection to a proxy on the same machine
OUTCOMES = {
    b"DATA": Outcome.COMPLETED,
    b"LATER": Outcome.TURNED_AWAY,
    b"FAULT": Outcome.ERRED,
    b"TOOSLOW": Outcome.OVERDUE,
    b"NOUSE": Outcome.UNREACHED,
}


class Call:
    __slots__ = ("ident", "link", "span", "body", "ended", "limit", "written")

    def __init__(self, ident: bytes, link: Link, span: int, body: bytes) -> None:
        self.ident, self.link, self.span, self.body = ident, link, span, body
        self.ended: Deferred = Deferred(lambda _: link.quit(self, Outcome.CUT))
        self.limit: Deadline | None = None
        self.written = False


class Link(Protocol):
    """Owns the calls on one connection; each is given back in `finish` alone."""

    def __init__(self, catalogue: Catalogue) -> None:
        self.catalogue = catalogue
        self.reader = LineReader(lambda words: len(words) == 3)
        self.calls: dict[bytes, Call] = {}
        self.idle: Deadline | None = None
        self.reached_by: Deadline | None = None

    def connectionMade(self) -> None:
        self.catalogue.deadlines.cancel(self.reached_by)
        self.transport.setTcpNoDelay(True)
        for call in self.calls.values():
            self.write(call)
        self.rest()

    def place(self, call: Call) -> None:
        self.catalogue.deadlines.cancel(self.idle)
        self.calls[call.ident] = call
        call.limit = self.catalogue.deadlines.after(call.span + BEYOND, self.quit, call, Outcome.OVERDUE)
        if self.transport is not None:
            self.write(call)

    def write(self, call: Call) -> None:
        call.written = True
        span_ms = b"%d" % max(1, -(-call.span // 1000))
        self.transport.writeSequence(line_with_body(b"FETCH", call.ident, span_ms, body=call.body))
        self.catalogue.report.count("catalogue", "sent FETCH")

    def quit(self, call: Call, outcome: Outcome) -> None:
        """Gives up a call: by its Deferred's cancel, or as the other side stays silent past its time."""
        if self.calls.get(call.ident) is call:
            if call.written and self.transport is not None:
                self.transport.writeSequence(line(b"QUIT", call.ident))
                self.catalogue.report.count("catalogue", "sent QUIT")
            self.finish(call, outcome if call.written else Outcome.UNREACHED)

    def finish(self, call: Call, outcome: Outcome, reply: bytes = b"") -> None:
        del self.calls[call.ident]
        self.catalogue.deadlines.cancel(call.limit)
        self.rest()
        call.ended.callback((outcome, reply))

    def rest(self) -> None:
        self.catalogue.deadlines.cancel(self.idle)
        if not self.calls and self.transport is not None:
            self.idle = self.catalogue.deadlines.after(IDLE, self.close)

    def close(self) -> None:
        self.catalogue.drop(self)
        if self.transport is not None:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        try:
            for words, body in self.reader.feed(data):
                self.take(words, body)
        except BrokenFramingError as broken:
            self.catalogue.report.count("catalogue", "broken framing")
            self.catalogue.report.note(f"catalogue: {broken}; the connection is given up")
            self.catalogue.drop(self)
            self.transport.abortConnection()
        except Exception:
            self.catalogue.report.trouble("a reply to a call")

    def take(self, words: list[bytes], body: bytes) -> None:
        report = self.catalogue.report
        word = words[1] if len(words) > 1 else b""
        if word not in OUTCOMES:
            report.count("catalogue", "replies unknown")
            report.note(f"catalogue: unknown reply {b' '.join(words)[:80]!r}")
            return
        report.count("catalogue", "got " + word.decode())
        call = self.calls.get(words[0])
        if call is None:
            report.count("catalogue", "replies to no call")
            return
        self.finish(call, OUTCOMES[word], body)

    def connectionLost(self, reason: Any = connectionDone) -> None:
        self.lost()

    def lost(self) -> None:
        """A call that was never written never ran; of one that was, a lost connection proves nothing."""
        self.catalogue.drop(self)
        self.transport = None
        self.catalogue.deadlines.cancel(self.idle)
        for call in list(self.calls.values()):
            self.finish(call, Outcome.CUT if call.written else Outcome.UNREACHED)


class Connecting(ClientFactory):
    """One connection under way."""

    noisy = False

    def __init__(self, link: Link) -> None:
        self.link = link

    def buildProtocol(self, addr: Any) -> Link:
        return self.link

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.link.catalogue.report.count("catalogue", "connections failed")
        self.link.catalogue.deadlines.cancel(self.link.reached_by)
        self.link.lost()


class Catalogue:
    def __init__(
        self, reactor: Any, address: tuple[str, int] | None, deadlines: Deadlines, report: Report
    ) -> None:
        self.reactor, self.address = reactor, address
        self.deadlines, self.report = deadlines, report
        self.links: list[Link] = []  # those that take calls

    def fetch(self, ident: bytes, span: int, body: bytes, spent: list[Link]) -> Call:
        """Places a call; not on a connection where one of the same inquiry was given up.

        Guards against taking the late reply to that one for the reply to this one.
        """
        link = next((each for each in self.links if each not in spent and ident not in each.calls), None)
        if link is None:
            link = Link(self)
            self.links.append(link)
            connector = self.reactor.connectTCP(*self.address, Connecting(link), timeout=None)
            link.reached_by = self.deadlines.after(CONNECT_WAIT, connector.stopConnecting)
        call = Call(ident, link, span, body)
        link.place(call)
        return call

    def drop(self, link: Link) -> None:
        if link in self.links:
            self.links.remove(link)

    def stop(self) -> None:
        for link in list(self.links):
            link.close()
