"""Flow export for one node, put together from what the operators chose. Imported only where it is switched
on.
"""

from __future__ import annotations

import random
import socket
import struct
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from lichencleat.chosen.file import FlowsChoice
from lichencleat.flows.channel import Channel, Wire
from lichencleat.flows.elements import Elements
from lichencleat.flows.exporter import Exporter, Link, Report, Timers
from lichencleat.flows.meter import End, Flow, Meter

SECOND = 1_000_000  # µs
SEGMENTS_AT = 136  # bytes into Linux's tcp_info: segments sent and received, four bytes each (since 4.2)
TCP_INFO_BYTES = 144
TWO = struct.Struct("=II")


class Flows:
    """What the node's doors and its end have to know of flow export."""

    def __init__(
        self,
        reactor: Any,
        clock: Callable[[], int],
        timers: Timers,
        report: Report,
        seed: str,
        chosen: FlowsChoice,
    ) -> None:
        self.clock, self.report = clock, report
        self.budget = round(chosen.flush_s * SECOND)
        self.meter = Meter(round(chosen.active_s * SECOND), round(chosen.idle_s * SECOND))
        rng = random.Random(f"{seed} flows")
        elements = Elements(chosen.enterprise)
        links = []
        for at, each in enumerate(chosen.collectors):
            channel = Channel(
                Wire(each.wire), elements, chosen.domain, chosen.message_bytes, chosen.waiting, clock()
            )
            name = each.name or f"collector {at + 1}"
            links.append(Link(reactor, clock, timers, report, rng, name, each.host_port(), channel))
        self.exporter = Exporter(self.meter, links, clock, timers, to_all=chosen.to == "all")

    def start(self) -> None:
        self.exporter.start()

    def opened(self, transport: Any) -> Flow:
        """A caller's connection; `ended` gives it back."""
        peer, host = transport.getPeer(), transport.getHost()
        return self.meter.opened(self.clock(), (packed(peer.host), peer.port), (packed(host.host), host.port))

    def received(self, flow: Flow, octets: int) -> None:
        flow.received(self.clock(), octets)

    def sent(self, flow: Flow, octets: int, transport: Any) -> None:
        flow.sent(self.clock(), octets)
        told = segments(transport)
        if told is not None:
            self.meter.segments(flow, *told)

    def belongs(self, flow: Flow, tenant: bytes, dispatcher: int) -> None:
        self.meter.belongs(self.clock(), flow, tenant.decode(errors="replace"), dispatcher & 0xFFFFFFFF)

    def ended(self, flow: Flow, cut_off: bool) -> None:
        self.meter.ended(self.clock(), flow, End.LACK if cut_off else End.ENDED)

    def flush(self, left: int) -> Deferred[None]:
        """The last records, within the budget and what is left of the time to stop (µs)."""
        return self.exporter.flush(max(0, min(self.budget, left)))

    def beliefs(self) -> str:
        return self.exporter.beliefs()


def packed(host: str) -> bytes:
    return socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)


def segments(transport: Any) -> tuple[int, int] | None:
    """Segments received and sent as the kernel counts them up to now, where it tells."""
    try:
        info = transport.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        sent, received = TWO.unpack_from(info, SEGMENTS_AT)
    except (AttributeError, OSError, struct.error):
        return None  # no such kernel, no such transport, or the socket is gone
    return received, sent
