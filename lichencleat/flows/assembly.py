"""Flow export for one node, assembled from its settings. Imported only where flow export is switched on."""

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
from lichencleat.flows.meter import EndReason, Flow, Meter

SECOND = 1_000_000  # µs
SEGMENTS_OFFSET = 136  # byte offset in Linux's tcp_info of segments sent and received (since 4.2)
TCP_INFO_BYTES = 144  # size of tcp_info up to the end of these counts
SEGMENT_COUNTS = struct.Struct("=II")


class FlowExport:
    """Flow export of a node: what its dispatchers' connections and its shutdown need to call."""

    def __init__(
        self,
        reactor: Any,
        clock: Callable[[], int],
        timers: Timers,
        report: Report,
        seed: str,
        config: FlowExportConfig,
    ) -> None:
        self.clock, self.report = clock, report
        self.flush_budget = round(config.flush_s * SECOND)
        self.meter = Meter(round(config.active_s * SECOND), round(config.idle_s * SECOND))
        rng = random.Random(f"{seed} flows")
        elements = Elements(config.enterprise)
        links = []
        for at, each in enumerate(config.collectors):
            channel = Channel(
                Wire(each.wire), elements, config.domain, config.message_bytes, config.waiting, clock()
            )
            name = each.name or f"collector {at + 1}"
            links.append(Link(reactor, clock, timers, report, rng, name, each.endpoint, channel))
        self.exporter = Exporter(self.meter, links, clock, timers, to_all=config.to == "all")
        self.config = config

    def start(self) -> None:
        """Start to export."""
        self.exporter.start()

    def open_flow(self, transport: Any) -> Flow:
        """Start metering a dispatcher's connection; `end_flow` ends it."""
        peer, host = transport.getPeer(), transport.getHost()
        return self.meter.open_flow(
            self.clock(), (pack_address(peer.host), peer.port), (pack_address(host.host), host.port)
        )

    def add_received(self, flow: Flow, octets: int) -> None:
        """Count octets received on a connection."""
        flow.add_received(self.clock(), octets)

    def add_sent(self, flow: Flow, octets: int, transport: Any) -> None:
        """Count octets sent on a connection, and read the kernel's segment counts."""
        flow.add_sent(self.clock(), octets)
        counts = read_segments(transport)
        if counts is not None:
            self.meter.add_segments(flow, *counts)

    def set_owner(self, flow: Flow, tenant: bytes, tariff: str, dispatcher: int) -> None:
        """Record the tenant, tariff and dispatcher of a request that arrived on a connection."""
        name = tenant.decode(errors="replace")
        self.meter.set_owner(self.clock(), flow, name, tariff, dispatcher & 0xFFFFFFFF)

    def end_flow(self, flow: Flow, cut_off: bool) -> None:
        """Stop metering a connection that is closed. `cut_off`: the node closed it because resources ran
        short.
        """
        self.meter.end_flow(
            self.clock(), flow, EndReason.LACK_OF_RESOURCES if cut_off else EndReason.END_OF_FLOW
        )

    def wrap_factory(self, factory: Any) -> Any:
        """Wrap a factory so that each connection that the node opens through it is metered as a flow."""
        return MeteredFactory(self, factory)

    def reload(self, config: FlowExportConfig | None) -> str:
        """Apply changed addresses of collectors; queued records are sent there. Return in words what was done
        and which changes need a restart.
        """
        if config is None or len(config.collectors) != len(self.config.collectors):
            return "flows changed, which needs a restart"
        moved = 0
        for link, each in zip(self.exporter.links, config.collectors, strict=True):
            moved += link.address != each.endpoint
            link.move(each.endpoint)
        fixed = [
            (self.config, config, [n for n in config.__struct_fields__ if n != "collectors"]),
            *(
                (old, new, ["wire"])
                for old, new in zip(self.config.collectors, config.collectors, strict=True)
            ),
        ]
        waits = sorted({n for old, new, names in fixed for n in names if getattr(old, n) != getattr(new, n)})
        late = f"; flows: {', '.join(waits)} changed, which needs a restart" if waits else ""
        return f"{moved} collectors moved{late}"

    def flush(self, left: int) -> Deferred[None]:
        """Export the last records within the flush budget and `left`, the µs that remain until the node
        stops.
        """
        return self.exporter.flush(max(0, min(self.flush_budget, left)))

    def report_totals(self) -> None:
        """Report all that was ever metered, as counters. The sums of the collectors and the reported losses
        add up to these counters.
        """
        total, open_still = self.meter.total, self.meter.open_counts()
        total.add(open_still)
        self.report.count("flows", "octets metered", total.octets())
        self.report.count("flows", "packets metered", total.packets_in + total.packets_out)
        self.report.count("flows", "requests metered", total.requests())

    def describe(self) -> str:
        """Return the state of the exporter in words, for the log."""
        return self.exporter.describe()


class MeteredConnection(ProtocolWrapper):
    """A connection that the node opened. Data that the node writes flows from source to target."""

    flow: Flow | None = None

    def makeConnection(self, transport: Any) -> None:
        flows = self.factory.flows
        peer, host = transport.getPeer(), transport.getHost()
        self.flow = flows.meter.open_flow(
            flows.clock(), (pack_address(host.host), host.port), (pack_address(peer.host), peer.port)
        )
        super().makeConnection(transport)

    def write(self, data: bytes) -> None:
        super().write(data)
        self.flow.add_received(self.factory.flows.clock(), len(data))

    def writeSequence(self, data: Any) -> None:
        parts = list(data)
        super().writeSequence(parts)
        self.flow.add_received(self.factory.flows.clock(), sum(map(len, parts)))

    def dataReceived(self, data: bytes) -> None:
        self.flow.add_sent(self.factory.flows.clock(), len(data))
        super().dataReceived(data)

    def connectionLost(self, reason: Any) -> None:
        self.factory.flows.meter.end_flow(self.factory.flows.clock(), self.flow)
        super().connectionLost(reason)


class MeteredFactory(WrappingFactory):
    """Wraps a factory; its connections are metered as flows."""

    noisy = False
    protocol = MeteredConnection

    def __init__(self, flows: FlowExport, factory: Any) -> None:
        super().__init__(factory)
        self.flows = flows

    def buildProtocol(self, addr: Any) -> MeteredConnection | None:
        """Build the connection, or return None if the wrapped factory refuses it, which Twisted's own wrapper
        does not support.
        """
        inner = self.wrappedFactory.buildProtocol(addr)
        return None if inner is None else self.protocol(self, inner)


def pack_address(host: str) -> bytes:
    """Return an IP address in network byte order."""
    return socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)


def read_segments(transport: Any) -> tuple[int, int] | None:
    """Return the TCP segments received and sent so far as the kernel counts them, or None if the kernel does
    not report them.
    """
    try:
        info = transport.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        sent, received = SEGMENT_COUNTS.unpack_from(info, SEGMENTS_OFFSET)
    except (AttributeError, OSError, struct.error):
        # The kernel has no such counts, the transport is not a TCP socket, or the socket is closed.
        return None
    return received, sent
