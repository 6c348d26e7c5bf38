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
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory

from lichencleat.config.schema import FlowExportConfig
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
        chosen: FlowExportConfig,
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
            links.append(Link(reactor, clock, timers, report, rng, name, each.endpoint, channel))
        self.exporter = Exporter(self.meter, links, clock, timers, to_all=chosen.to == "all")
        self.chosen = chosen

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

    def belongs(self, flow: Flow, tenant: bytes, tariff: str, dispatcher: int) -> None:
        name = tenant.decode(errors="replace")
        self.meter.belongs(self.clock(), flow, name, tariff, dispatcher & 0xFFFFFFFF)

    def ended(self, flow: Flow, cut_off: bool) -> None:
        self.meter.ended(self.clock(), flow, End.LACK if cut_off else End.ENDED)

    def metered(self, factory: Any) -> Any:
        """The same factory for connections that the node begins, each metered as a flow."""
        return Metering(self, factory)

    def reload(self, chosen: FlowExportConfig | None) -> str:
        """Takes over the collectors' addresses; what waits goes there. In words what was done, and what needs
        a restart.
        """
        if chosen is None or len(chosen.collectors) != len(self.chosen.collectors):
            return "flows changed, which needs a restart"
        moved = 0
        for link, each in zip(self.exporter.links, chosen.collectors, strict=True):
            moved += link.address != each.endpoint
            link.move(each.endpoint)
        fixed = [
            (self.chosen, chosen, [n for n in chosen.__struct_fields__ if n != "collectors"]),
            *(
                (old, new, ["wire"])
                for old, new in zip(self.chosen.collectors, chosen.collectors, strict=True)
            ),
        ]
        waits = sorted({n for old, new, names in fixed for n in names if getattr(old, n) != getattr(new, n)})
        late = f"; flows: {', '.join(waits)} changed, which needs a restart" if waits else ""
        return f"{moved} collectors moved{late}"

    def flush(self, left: int) -> Deferred[None]:
        """The last records, within the budget and what is left of the time to stop (µs)."""
        return self.exporter.flush(max(0, min(self.budget, left)))

    def tell_totals(self) -> None:
        """All that was ever metered, as counters: what collectors add up and what is lost make these."""
        total, open_still = self.meter.total, self.meter.open_counts()
        total.add(open_still)
        self.report.count("flows", "octets metered", total.octets())
        self.report.count("flows", "packets metered", total.packets_in + total.packets_out)
        self.report.count("flows", "requests metered", total.requests())

    def beliefs(self) -> str:
        return self.exporter.beliefs()


class Metered(ProtocolWrapper):
    """A connection that the node began: what it writes goes from source to target."""

    flow: Flow | None = None

    def makeConnection(self, transport: Any) -> None:
        flows = self.factory.flows
        peer, host = transport.getPeer(), transport.getHost()
        self.flow = flows.meter.opened(
            flows.clock(), (packed(host.host), host.port), (packed(peer.host), peer.port)
        )
        super().makeConnection(transport)

    def write(self, data: bytes) -> None:
        super().write(data)
        self.flow.received(self.factory.flows.clock(), len(data))

    def writeSequence(self, data: Any) -> None:
        parts = list(data)
        super().writeSequence(parts)
        self.flow.received(self.factory.flows.clock(), sum(map(len, parts)))

    def dataReceived(self, data: bytes) -> None:
        self.flow.sent(self.factory.flows.clock(), len(data))
        super().dataReceived(data)

    def connectionLost(self, reason: Any) -> None:
        self.factory.flows.meter.ended(self.factory.flows.clock(), self.flow)
        super().connectionLost(reason)


class Metering(WrappingFactory):
    noisy = False
    protocol = Metered

    def __init__(self, flows: Flows, factory: Any) -> None:
        super().__init__(factory)
        self.flows = flows

    def buildProtocol(self, addr: Any) -> Metered | None:
        """A factory may refuse the connection; Twisted's own wrapper does not expect that."""
        inner = self.wrappedFactory.buildProtocol(addr)
        return None if inner is None else self.protocol(self, inner)


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
