"""A member's datagrams on a socket, and its time. Decides nothing."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.protocol import DatagramProtocol

from lichencleat.decode_errors import UNDECODABLE
from lichencleat.membership.gossip import Gossip, Send
from lichencleat.membership.rumors import DATAGRAM_MOST
from lichencleat.membership.terms import Datagram, Word

SECOND = 1_000_000  # µs
Changed = Callable[[Word], None]
decode = msgspec.msgpack.Decoder(Datagram).decode


class Port(DatagramProtocol):
    """Owns the socket and the timer; both are given back in `stop`."""

    noisy = False

    def __init__(self, reactor: Any, make: Callable[[int], Gossip], changed: Changed) -> None:
        """`make` gives the member at a moment of the reactor's clock, µs; `changed` hears of each change."""
        self.reactor, self.changed = reactor, changed
        self.gossip = make(self.now())
        self.timer: Any = None
        self.counts = {"sent": 0, "sent bytes": 0, "heard": 0, "not understood": 0, "lost": 0}

    def now(self) -> int:
        return int(self.reactor.seconds() * SECOND)

    def startProtocol(self) -> None:
        self.pull()

    def datagramReceived(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            datagram = decode(data)
        except UNDECODABLE:
            self.counts["not understood"] += 1
            return
        self.counts["heard"] += 1
        self.gossip.hears(self.now(), address[0], address[1], datagram)
        self.pull()

    def wake(self) -> None:
        self.timer = None
        self.gossip.wakes(self.now())
        self.pull()

    def pull(self) -> None:
        while (decision := self.gossip.next_decision()) is not None:
            if isinstance(decision, Send):
                self.carry(decision)
            else:
                self.changed(decision.word)
        if self.timer is not None:
            self.timer.cancel()
        left = self.gossip.deadline() - self.now()
        self.timer = self.reactor.callLater(max(0, left) / SECOND, self.wake)

    def carry(self, send: Send) -> None:
        data = msgspec.msgpack.encode(send.datagram)
        if self.transport is None or len(data) > 2 * DATAGRAM_MOST:
            self.counts["lost"] += 1
            return
        try:
            self.transport.write(data, (send.host, send.port))
        except OSError:  # a full buffer, a host that is not there: as a datagram that is lost
            self.counts["lost"] += 1
            return
        self.counts["sent"] += 1
        self.counts["sent bytes"] += len(data)

    def leave(self) -> None:
        self.gossip.leaves(self.now())
        self.pull()

    def stop(self) -> Any:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        return self.transport.stopListening() if self.transport is not None else None
