"""Calls below, each on a connection of its own while it lasts: a Deferred that fires once with its outcome.

One spoilt reply, or one broken connection, so ends one call; past the bound on connections calls share them.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone

from lichencleat.admission.types import Outcome
from lichencleat.node.deadlines import Deadline, Deadlines
from lichencleat.node.framing import BrokenFramingError
from lichencleat.node.lines import LineReader, line, line_with_body
from lichencleat.node.report import Report

IDLE_TIMEOUT = (
    500_000  # µs: one left idle for longer may be forgotten by the other side, and the next call be lost
)
MAX_LINKS = 48  # connections, busy ones included: more calls at once than a machine of few cores makes
DESCRIPTORS_PER_LINK = (
    8  # one descriptor in so many, where that is fewer: callers may take half, and need not share
)
REPLY_TIMEOUT = (
    500_000  # µs for the rest of a reply that has begun: it comes in one piece from the same machine
)
HEX = frozenset(b"0123456789abcdefABCDEF")
ID_DIGITS = 16  # digits of an id
CALL_TIMEOUT_MARGIN = (
    50_000  # µs past a call's stated time before a silent proxy on the same machine is given up
)
CONNECT_TIMEOUT = 2_000_000  # µs for a connection to a proxy on the same machine
OUTCOMES = {
    b"DATA": Outcome.COMPLETED,
    b"LATER": Outcome.REJECTED,
    b"FAULT": Outcome.FAILED,
    b"TOOSLOW": Outcome.TIMED_OUT,
    b"NOUSE": Outcome.UNREACHABLE,
}


def max_catalogue_links(descriptors: int) -> int:
    """How many connections calls may take of so many descriptors; more calls share them."""
    return max(1, min(MAX_LINKS, descriptors // DESCRIPTORS_PER_LINK))


class Call:
    __slots__ = ("ident", "link", "span", "body", "ended", "timer", "written")

    def __init__(self, ident: bytes, link: Link, span: int, body: bytes) -> None:
        self.ident, self.link, self.span, self.body = ident, link, span, body
        self.ended: Deferred = Deferred(lambda _: link.cancel_call(self, Outcome.INTERRUPTED))
        self.timer: Deadline | None = None
        self.written = False


def has_body(words: list[bytes]) -> bool:
    """Guards against taking noise for a reply: after what is none, nothing on that connection can be read."""
    if len(words) >= 2 and len(words[0]) == ID_DIGITS and HEX.issuperset(words[0]):
        if words[1] == b"DATA" and len(words) == 3:
            return True
        if words[1] in OUTCOMES and words[1] != b"DATA" and len(words) == 2:
            return False
    raise BrokenFramingError(f"no reply: {b' '.join(words)[:60]!r}")


class Link(Protocol):
    """Owns the calls on one connection; each is given back in `finish` alone."""

    def __init__(self, catalogue: Catalogue) -> None:
        self.catalogue = catalogue
        self.reader = LineReader(has_body)
        self.reply_timer: Deadline | None = None
        self.calls: dict[bytes, Call] = {}
        self.idle_timer: Deadline | None = None
        self.connect_timer: Deadline | None = None

    def connectionMade(self) -> None:
        self.catalogue.deadlines.cancel(self.connect_timer)
        self.transport.setTcpNoDelay(True)
        for call in self.calls.values():
            self.write(call)
        self.close_when_idle()

    def add_call(self, call: Call) -> None:
        self.catalogue.deadlines.cancel(self.idle_timer)
        self.calls[call.ident] = call
        call.timer = self.catalogue.deadlines.after(
            call.span + CALL_TIMEOUT_MARGIN, self.cancel_call, call, Outcome.TIMED_OUT
        )
        if self.transport is not None:
            self.write(call)

    def write(self, call: Call) -> None:
        call.written = True
        span_ms = b"%d" % max(1, -(-call.span // 1000))
        self.transport.writeSequence(line_with_body(b"FETCH", call.ident, span_ms, body=call.body))
        self.catalogue.report.count("catalogue", "sent FETCH")

    def cancel_call(self, call: Call, outcome: Outcome) -> None:
        """Gives up a call: by its Deferred's cancel, or as the other side stays silent past its time."""
        if self.calls.get(call.ident) is call:
            if call.written and self.transport is not None:
                self.transport.writeSequence(line(b"QUIT", call.ident))
                self.catalogue.report.count("catalogue", "sent QUIT")
            if outcome is Outcome.TIMED_OUT:
                self.catalogue.retire(self)  # silent past the time that it was told: not trusted with another
            self.finish(call, outcome if call.written else Outcome.UNREACHABLE)

    def finish(self, call: Call, outcome: Outcome, reply: bytes = b"") -> None:
        del self.calls[call.ident]
        self.catalogue.deadlines.cancel(call.timer)
        self.close_when_idle()
        call.ended.callback((outcome, reply))

    def close_when_idle(self) -> None:
        self.catalogue.deadlines.cancel(self.idle_timer)
        if not self.calls and self.transport is not None:
            if self in self.catalogue.links:
                self.catalogue.links.move_to_end(self)
                self.idle_timer = self.catalogue.deadlines.after(IDLE_TIMEOUT, self.close)
            else:
                self.close()

    def close(self) -> None:
        self.catalogue.retire(self)
        if self.transport is not None:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        try:
            for words, body in self.reader.feed(data):
                self.on_reply(words, body)
            self.catalogue.deadlines.cancel(self.reply_timer)
            if self.reader.has_partial_message():
                self.reply_timer = self.catalogue.deadlines.after(
                    REPLY_TIMEOUT, self.abort, "a reply without end"
                )
        except BrokenFramingError as broken:
            self.abort(str(broken))
        except Exception:
            self.catalogue.report.log_exception("a reply to a call")

    def abort(self, why: str) -> None:
        """Nothing more can be read here: all its calls end now, with what a lost connection proves."""
        self.catalogue.report.count("catalogue", "connections given up")
        self.catalogue.report.note(f"catalogue: {why}; the connection is given up")
        transport = self.transport
        self.on_lost()
        if transport is not None:
            transport.abortConnection()

    def on_reply(self, words: list[bytes], body: bytes) -> None:
        report = self.catalogue.report
        report.count("catalogue", "got " + words[1].decode())
        call = self.calls.get(words[0])
        if call is None:
            report.count("catalogue", "replies to no call")
            return
        self.finish(call, OUTCOMES[words[1]], body)

    def connectionLost(self, reason: Any = connectionDone) -> None:
        self.on_lost()

    def on_lost(self) -> None:
        """A call that was never written never ran; of one that was, a lost connection proves nothing."""
        self.catalogue.retire(self)
        self.transport = None
        self.catalogue.deadlines.cancel(self.idle_timer)
        self.catalogue.deadlines.cancel(self.reply_timer)
        for call in list(self.calls.values()):
            self.finish(call, Outcome.INTERRUPTED if call.written else Outcome.UNREACHABLE)


class ConnectionAttempt(ClientFactory):
    """One connection under way."""

    noisy = False

    def __init__(self, link: Link) -> None:
        self.link = link

    def buildProtocol(self, addr: Any) -> Link:
        return self.link

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.link.catalogue.report.count("catalogue", "connections failed")
        self.link.catalogue.deadlines.cancel(self.link.connect_timer)
        self.link.on_lost()


class Catalogue:
    def __init__(
        self,
        reactor: Any,
        address: tuple[str, int] | None,
        deadlines: Deadlines,
        report: Report,
        max_links: int = MAX_LINKS,
    ) -> None:
        self.reactor, self.address, self.max_links = reactor, address, max_links
        self.wrap: Callable[[Any], Any] = lambda factory: factory  # meters the links, where flow export does
        self.deadlines, self.report = deadlines, report
        self.links: OrderedDict[Link, None] = OrderedDict()  # those that take calls, the last used at the end

    def fetch(self, ident: bytes, span: int, body: bytes, used_links: list[Link]) -> Call:
        """Places a call; not on a connection that carried one of the same request.

        Guards against taking a late or a second reply to that one for the reply to this one.
        """
        candidates = [
            each for each in reversed(self.links) if each not in used_links and ident not in each.calls
        ]
        link = next((each for each in candidates if not each.calls), None)
        if link is None and candidates and len(self.links) >= self.max_links:
            link = min(candidates, key=lambda each: len(each.calls))
        if link is None:
            link = Link(self)
            self.links[link] = None
            connector = self.reactor.connectTCP(
                *self.address, self.wrap(ConnectionAttempt(link)), timeout=None
            )
            link.connect_timer = self.deadlines.after(CONNECT_TIMEOUT, connector.stopConnecting)
        call = Call(ident, link, span, body)
        link.add_call(call)
        return call

    def set_address(self, address: tuple[str, int] | None) -> bool:
        """A new address takes the calls from now on; those under way end where they are."""
        if address == self.address or address is None:
            return False
        self.address = address
        for link in list(self.links):
            self.retire(link)
            link.close_when_idle()
        return True

    def retire(self, link: Link) -> None:
        self.links.pop(link, None)

    def describe(self) -> str:
        return f"{sum(len(each.calls) for each in self.links)} calls on {len(self.links)} connections"

    def stop(self) -> None:
        for link in list(self.links):
            link.close()
