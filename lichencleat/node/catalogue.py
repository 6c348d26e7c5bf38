"""Calls to the catalogue, the service on which runs depend, through its proxy.

The Deferred of a call fires once, with the outcome of the call. Each call has a connection of its own, so
that a corrupt reply or a broken connection ends one call only. At the limit on the number of connections,
calls share connections.
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

# µs until an idle connection is closed; the proxy may drop a connection that is idle for longer, and the next
# call on that connection would be lost
IDLE_TIMEOUT = 500_000
# maximum number of connections to the proxy, above the concurrent calls of a machine with few cores
MAX_LINKS = 48
# The limit on connections is also at most the process's descriptors divided by this number. Clients may use
# half of the descriptors, and calls still get a connection each.
DESCRIPTORS_PER_LINK = 8
# µs for the rest of a partial reply to arrive; the proxy, on the same machine, sends a reply in one piece
REPLY_TIMEOUT = 500_000
HEX = frozenset(b"0123456789abcdefABCDEF")
ID_DIGITS = 16  # hexadecimal digits of a call's id
# µs after a call's timeout, which the proxy enforces, until the call is cancelled because the proxy is silent
CALL_TIMEOUT_MARGIN = 50_000
CONNECT_TIMEOUT = 2_000_000  # µs; the proxy is on the same machine
OUTCOMES = {
    b"DATA": Outcome.COMPLETED,
    b"LATER": Outcome.REJECTED,
    b"FAULT": Outcome.FAILED,
    b"TOOSLOW": Outcome.TIMED_OUT,
    b"NOUSE": Outcome.UNREACHABLE,
}


def max_catalogue_links(descriptors: int) -> int:
    """Return the maximum number of connections to the proxy for a process with so many descriptors."""
    return max(1, min(MAX_LINKS, descriptors // DESCRIPTORS_PER_LINK))


class Call:
    """A call in flight; cancelling the Deferred `ended` cancels the call."""

    __slots__ = ("ident", "link", "timeout_us", "body", "ended", "timer", "written")

    def __init__(self, ident: bytes, link: Link, timeout_us: int, body: bytes) -> None:
        self.ident, self.link, self.timeout_us, self.body = ident, link, timeout_us, body
        self.ended: Deferred = Deferred(lambda _: link.cancel_call(self, Outcome.INTERRUPTED))
        self.timer: Deadline | None = None
        self.written = False


def has_body(words: list[bytes]) -> bool:
    """Return whether a body follows the line of a reply. Raises BrokenFramingError if the line is no reply.

    After such an error, no further input of the same connection can be parsed.
    """
    if len(words) >= 2 and len(words[0]) == ID_DIGITS and HEX.issuperset(words[0]):
        if words[1] == b"DATA" and len(words) == 3:
            return True
        if words[1] in OUTCOMES and words[1] != b"DATA" and len(words) == 2:
            return False
    raise BrokenFramingError(f"not a reply: {b' '.join(words)[:60]!r}")


class Link(Protocol):
    """A connection to the proxy and the calls on it; only `finish` removes a call."""

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
        """Send a call on this connection, once it is connected, and start the timeout of the call."""
        self.catalogue.deadlines.cancel(self.idle_timer)
        self.calls[call.ident] = call
        call.timer = self.catalogue.deadlines.after(
            call.timeout_us + CALL_TIMEOUT_MARGIN, self.cancel_call, call, Outcome.TIMED_OUT
        )
        if self.transport is not None:
            self.write(call)

    def write(self, call: Call) -> None:
        """Send a call on this connection."""
        call.written = True
        timeout_ms = b"%d" % max(1, -(-call.timeout_us // 1000))
        self.transport.writeSequence(line_with_body(b"FETCH", call.ident, timeout_ms, body=call.body))
        self.catalogue.report.count("catalogue", "sent FETCH")

    def cancel_call(self, call: Call, outcome: Outcome) -> None:
        """End a call that timed out or whose Deferred was cancelled.

        If the call was already sent, the proxy is told to cancel the call.
        """
        if self.calls.get(call.ident) is call:
            if call.written and self.transport is not None:
                self.transport.writeSequence(line(b"QUIT", call.ident))
                self.catalogue.report.count("catalogue", "sent QUIT")
            if outcome is Outcome.TIMED_OUT:
                self.catalogue.retire(self)  # the proxy may be stuck: send no further calls here
            self.finish(call, outcome if call.written else Outcome.UNREACHABLE)

    def finish(self, call: Call, outcome: Outcome, reply: bytes = b"") -> None:
        """Remove a call and fire its Deferred with the outcome and the reply."""
        del self.calls[call.ident]
        self.catalogue.deadlines.cancel(call.timer)
        self.close_when_idle()
        call.ended.callback((outcome, reply))

    def close_when_idle(self) -> None:
        """Close a connection without calls: after the idle timeout, or at once if it is retired."""
        self.catalogue.deadlines.cancel(self.idle_timer)
        if not self.calls and self.transport is not None:
            if self in self.catalogue.links:
                self.catalogue.links.move_to_end(self)
                self.idle_timer = self.catalogue.deadlines.after(IDLE_TIMEOUT, self.close)
            else:
                self.close()

    def close(self) -> None:
        """Accept no further calls and close the connection."""
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
        """Log the reason and abort the connection; calls on it end as if the connection were lost."""
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
        """End all calls.

        An unsent call never ran and ends as UNREACHABLE; a sent call may have run and ends as INTERRUPTED.
        """
        self.catalogue.retire(self)
        self.transport = None
        self.catalogue.deadlines.cancel(self.idle_timer)
        self.catalogue.deadlines.cancel(self.reply_timer)
        for call in list(self.calls.values()):
            self.finish(call, Outcome.INTERRUPTED if call.written else Outcome.UNREACHABLE)


class ConnectionAttempt(ClientFactory):
    """An attempt to connect a link."""

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
    """Distributes calls over connections to the proxy of the catalogue."""

    def __init__(
        self,
        reactor: Any,
        address: tuple[str, int] | None,
        deadlines: Deadlines,
        report: Report,
        max_links: int = MAX_LINKS,
    ) -> None:
        self.reactor, self.address, self.max_links = reactor, address, max_links
        self.wrap: Callable[[Any], Any] = lambda factory: factory  # meters the links for flow export
        self.deadlines, self.report = deadlines, report
        self.links: OrderedDict[Link, None] = OrderedDict()  # links that accept calls, last used at the end

    def fetch(self, ident: bytes, timeout_us: int, body: bytes, used_links: list[Link]) -> Call:
        """Send a call, but not on a connection that carried an earlier call of the same request.

        Calls of one request have the same id. On a shared connection, a late or second reply to the earlier
        call would be taken for the reply to the new call.
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
        call = Call(ident, link, timeout_us, body)
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
        """Return the catalogue's part of the status line."""
        return f"{sum(len(each.calls) for each in self.links)} calls on {len(self.links)} connections"

    def stop(self) -> None:
        """Close all connections that accept calls."""
        for link in list(self.links):
            link.close()
