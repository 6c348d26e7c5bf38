"""Calls to the dependency through its proxy; each has a Deferred that fires once with its outcome.

Each call has a connection to itself, so that a corrupt reply or a broken connection ends one call only. Once
the number of connections reaches its limit, calls share them.
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

# µs until an idle connection is closed; later the proxy may drop it, and the next call on it would be lost
IDLE_TIMEOUT = 500_000
# connections, including busy ones: more concurrent calls than a machine with few cores makes
MAX_LINKS = 48
# One descriptor in so many is for a link, if that is fewer: clients may use half, and calls need not share.
DESCRIPTORS_PER_LINK = 8
# µs for the rest of a partial reply; the proxy on the same machine sends it in one piece
REPLY_TIMEOUT = 500_000
HEX = frozenset(b"0123456789abcdefABCDEF")
ID_DIGITS = 16
CALL_TIMEOUT_MARGIN = 50_000  # µs past a call's own timeout until a silent proxy is abandoned
CONNECT_TIMEOUT = 2_000_000  # µs to connect to a proxy on the same machine
OUTCOMES = {
    b"DATA": Outcome.COMPLETED,
    b"LATER": Outcome.REJECTED,
    b"FAULT": Outcome.FAILED,
    b"TOOSLOW": Outcome.TIMED_OUT,
    b"NOUSE": Outcome.UNREACHABLE,
}


def max_catalogue_links(descriptors: int) -> int:
    """The maximum number of connections for calls, out of `descriptors`; further calls share them."""
    return max(1, min(MAX_LINKS, descriptors // DESCRIPTORS_PER_LINK))


class Call:
    """One call in flight; cancelling `ended` cancels the call."""

    __slots__ = ("ident", "link", "span", "body", "ended", "timer", "written")

    def __init__(self, ident: bytes, link: Link, span: int, body: bytes) -> None:
        self.ident, self.link, self.span, self.body = ident, link, span, body
        self.ended: Deferred = Deferred(lambda _: link.cancel_call(self, Outcome.INTERRUPTED))
        self.timer: Deadline | None = None
        self.written = False


def has_body(words: list[bytes]) -> bool:
    """Whether the line of a reply is followed by a body; raises BrokenFramingError if it is no reply.

    After a line that is no reply, nothing further on that connection can be trusted.
    """
    if len(words) >= 2 and len(words[0]) == ID_DIGITS and HEX.issuperset(words[0]):
        if words[1] == b"DATA" and len(words) == 3:
            return True
        if words[1] in OUTCOMES and words[1] != b"DATA" and len(words) == 2:
            return False
    raise BrokenFramingError(f"not a reply: {b' '.join(words)[:60]!r}")


class Link(Protocol):
    """One connection and the calls on it; only `finish` removes a call."""

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
        """Send a call here, once connected, and start its timeout."""
        self.catalogue.deadlines.cancel(self.idle_timer)
        self.calls[call.ident] = call
        call.timer = self.catalogue.deadlines.after(
            call.span + CALL_TIMEOUT_MARGIN, self.cancel_call, call, Outcome.TIMED_OUT
        )
        if self.transport is not None:
            self.write(call)

    def write(self, call: Call) -> None:
        """Send a call on this connection."""
        call.written = True
        span_ms = b"%d" % max(1, -(-call.span // 1000))
        self.transport.writeSequence(line_with_body(b"FETCH", call.ident, span_ms, body=call.body))
        self.catalogue.report.count("catalogue", "sent FETCH")

    def cancel_call(self, call: Call, outcome: Outcome) -> None:
        """Cancel a call, because its Deferred was cancelled or its timeout has passed without a reply."""
        if self.calls.get(call.ident) is call:
            if call.written and self.transport is not None:
                self.transport.writeSequence(line(b"QUIT", call.ident))
                self.catalogue.report.count("catalogue", "sent QUIT")
            if outcome is Outcome.TIMED_OUT:
                self.catalogue.retire(self)  # no reply in time: no further call is sent here
            self.finish(call, outcome if call.written else Outcome.UNREACHABLE)

    def finish(self, call: Call, outcome: Outcome, reply: bytes = b"") -> None:
        """Remove a call and fire its Deferred."""
        del self.calls[call.ident]
        self.catalogue.deadlines.cancel(call.timer)
        self.close_when_idle()
        call.ended.callback((outcome, reply))

    def close_when_idle(self) -> None:
        """Without calls, close after the idle timeout, or at once if no further call is sent here."""
        self.catalogue.deadlines.cancel(self.idle_timer)
        if not self.calls and self.transport is not None:
            if self in self.catalogue.links:
                self.catalogue.links.move_to_end(self)
                self.idle_timer = self.catalogue.deadlines.after(IDLE_TIMEOUT, self.close)
            else:
                self.close()

    def close(self) -> None:
        """Take no further calls and close."""
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
                    REPLY_TIMEOUT, self.abort, "incomplete reply"
                )
        except BrokenFramingError as error:
            self.abort(str(error))
        except Exception:
            self.catalogue.report.log_exception("a reply to a call")

    def abort(self, reason: str) -> None:
        """Abort the connection; its calls end with the outcome that a lost connection proves."""
        self.catalogue.report.count("catalogue", "connections given up")
        self.catalogue.report.note(f"catalogue: {reason}; the connection is aborted")
        transport = self.transport
        self.on_lost()
        if transport is not None:
            transport.abortConnection()

    def on_reply(self, words: list[bytes], body: bytes) -> None:
        """Finish the call that a reply belongs to."""
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
        """End all calls: one that was never sent never ran; whether a sent call ran is unknown."""
        self.catalogue.retire(self)
        self.transport = None
        self.catalogue.deadlines.cancel(self.idle_timer)
        self.catalogue.deadlines.cancel(self.reply_timer)
        for call in list(self.calls.values()):
            self.finish(call, Outcome.INTERRUPTED if call.written else Outcome.UNREACHABLE)


class ConnectionAttempt(ClientFactory):
    """One attempt to connect."""

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
    """Distributes calls over connections to the proxy of the dependency."""

    def __init__(
        self,
        reactor: Any,
        address: tuple[str, int] | None,
        deadlines: Deadlines,
        report: Report,
        max_links: int = MAX_LINKS,
    ) -> None:
        self.reactor, self.address, self.max_links = reactor, address, max_links
        self.wrap: Callable[[Any], Any] = lambda factory: factory  # meters the links if flow export is on
        self.deadlines, self.report = deadlines, report
        self.links: OrderedDict[Link, None] = OrderedDict()  # links for new calls, the last used at the end

    def fetch(self, ident: bytes, span: int, body: bytes, used_links: list[Link]) -> Call:
        """Send a call, but not on a connection that carried an earlier call of the same request.

        Prevents a late or second reply to the earlier call from being taken for the reply to this one.
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
        """Send new calls to a new address; calls in flight end on their connections.

        Returns whether the address changed.
        """
        if address == self.address or address is None:
            return False
        self.address = address
        for link in list(self.links):
            self.retire(link)
            link.close_when_idle()
        return True

    def retire(self, link: Link) -> None:
        """Send no further calls on a link."""
        self.links.pop(link, None)

    def describe(self) -> str:
        """The catalogue's part of the status line."""
        return f"{sum(len(each.calls) for each in self.links)} calls on {len(self.links)} connections"

    def stop(self) -> None:
        """Close all connections."""
        for link in list(self.links):
            link.close()
