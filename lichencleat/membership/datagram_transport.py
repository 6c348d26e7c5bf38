"""The UDP socket and the timer of a gossip member."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from twisted.internet.base import DelayedCall, ReactorBase
from twisted.internet.defer import Deferred
from twisted.internet.protocol import DatagramProtocol
from twisted.internet.udp import Port

from lichencleat.decode_errors import UNDECODABLE
from lichencleat.membership.dissemination import MAX_DATAGRAM_BYTES
from lichencleat.membership.gossip import GossipMember
from lichencleat.membership.messages import GossipMessage, MemberUpdate
from lichencleat.membership.outbox import SendDatagram
from lichencleat.units import MICROSECONDS_PER_SECOND

decode_message = msgspec.msgpack.Decoder(GossipMessage).decode


@dataclass(slots=True)
class TransportCounts:
    """Counts of datagrams since the start."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    undecodable: int = 0
    unsent: int = 0  # datagrams that were too large, or that the socket did not accept


class GossipTransport(DatagramProtocol):
    """Owns the socket and the timer until `stop`, which closes the socket and cancels the timer."""

    noisy = False
    transport: Port | None  # type: ignore[assignment]  # untyped in Twisted

    def __init__(
        self,
        reactor: ReactorBase,
        create_member: Callable[[int], GossipMember],
        on_member_changed: Callable[[MemberUpdate], None],
    ) -> None:
        """Create the member.

        Args:
            reactor: Source of the monotonic clock and of the timer.
            create_member: Creates the member; its argument is the time in µs by the reactor's clock.
            on_member_changed: Called with each new update about a member.
        """
        self._reactor = reactor
        self._on_member_changed = on_member_changed
        self._timer: DelayedCall | None = None
        self.member = create_member(self._now())
        self.counts = TransportCounts()

    def startProtocol(self) -> None:
        """Send the first datagrams; Twisted calls this once the socket is open."""
        self._run_actions()

    def datagramReceived(self, data: bytes, address: tuple[str, int]) -> None:
        """Pass a datagram to the member; count and drop a datagram that cannot be decoded."""
        try:
            message = decode_message(data)
        except UNDECODABLE:
            self.counts.undecodable += 1
            return
        self.counts.received += 1
        host, port = address
        self.member.on_message(self._now(), host, port, message)
        self._run_actions()

    def leave(self) -> None:
        """Announce that this member leaves."""
        self.member.leave(self._now())
        self._run_actions()

    def stop(self) -> Deferred[None] | None:
        """Close the socket and cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.transport is None:
            return None
        stopped: Deferred[None] | None = self.transport.stopListening()  # type: ignore[no-untyped-call]
        return stopped

    def _now(self) -> int:
        return int(self._reactor.seconds() * MICROSECONDS_PER_SECOND)

    def _on_timer(self) -> None:
        self._timer = None
        self.member.on_timer(self._now())
        self._run_actions()

    def _run_actions(self) -> None:
        """Carry out the member's pending actions, and restart the timer for its next deadline."""
        while (action := self.member.next_action()) is not None:
            if isinstance(action, SendDatagram):
                self._send(action)
            else:
                self._on_member_changed(action.update)
        if self._timer is not None:
            self._timer.cancel()
        delay = self.member.next_deadline() - self._now()
        self._timer = self._reactor.callLater(max(0, delay) / MICROSECONDS_PER_SECOND, self._on_timer)

    def _send(self, send: SendDatagram) -> None:
        data = msgspec.msgpack.encode(send.message)
        if self.transport is None or len(data) > 2 * MAX_DATAGRAM_BYTES:
            self.counts.unsent += 1
            return
        try:
            self.transport.write(data, (send.host, send.port))
        except OSError:  # for example a full buffer; the protocol tolerates lost datagrams
            self.counts.unsent += 1
            return
        self.counts.sent += 1
        self.counts.sent_bytes += len(data)
