"""A small collector for tests, trials and a quick look: listens for IPFIX and NetFlow v9, and adds up traffic
by tenant.

The collector keeps no flows, only sums by tenant, the latest statistics of the exporters, and a counter for
each kind of error. Memory is bounded, whatever a sender sends.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import DatagramProtocol, Factory, connectionDone
from twisted.internet.protocol import Protocol as StreamProtocol

from lichencleat.flows.decode import DataRecord, Session, Stream
from lichencleat.flows.elements import Elements

SENDERS_MOST = 256  # UDP senders known at once; beyond this, the one silent longest is forgotten
MAX_STREAMS = 256  # TCP connections at once; further ones are closed
TENANTS_MOST = 4_096  # tenants with sums of their own; all others share one more sum
READ_BUFFER_BYTES = 65_536  # most bytes read from a TCP connection at once
OTHERS = "(others)"  # name of the sum that further tenants share


@dataclass(slots=True)
class Sum:
    """Sums of one tenant's records. `octets` and `packets` count both directions together."""

    records: int = 0
    octets: int = 0
    packets: int = 0
    requests: int = 0
    honoured: int = 0
    deferred: int = 0
    given_up: int = 0
    abandoned: int = 0
    folded: int = 0

    def add(self, values: dict[str, Any]) -> None:
        """Add the values of a data record, by element name."""
        get = values.get
        self.records += 1
        self.octets += get("octetDeltaCount", 0) + get("reverseOctetDeltaCount", 0)
        self.packets += get("packetDeltaCount", 0) + get("reversePacketDeltaCount", 0)
        self.honoured += get("inquiriesHonoured", 0)
        self.deferred += get("inquiriesDeferred", 0)
        self.given_up += get("inquiriesGivenUp", 0)
        self.abandoned += get("inquiriesAbandoned", 0)
        self.requests = self.honoured + self.deferred + self.given_up + self.abandoned
        self.folded += get("flowsFolded", 0)


class Sums:
    """Sums of all records, by tenant and in total, and the latest statistics of the exporters."""

    def __init__(self) -> None:
        self.total = Sum()
        self.by_tenant: dict[str, Sum] = {}
        # latest statistics of each exporter, by version and domain
        self.exporters: OrderedDict[tuple[int, int], dict[str, Any]] = OrderedDict()

    def add(self, record: DataRecord) -> None:
        """Add a data record. An options record replaces the statistics of its exporter."""
        values = record.as_dict()
        if record.scopes:
            self.exporters[record.version, record.domain] = values
            self.exporters.move_to_end((record.version, record.domain))
            if len(self.exporters) > SENDERS_MOST:
                self.exporters.popitem(last=False)
            return
        tenant = str(values.get("tenant", values.get("userName", "")))
        if tenant not in self.by_tenant and len(self.by_tenant) >= TENANTS_MOST:
            tenant = OTHERS
        self.by_tenant.setdefault(tenant, Sum()).add(values)
        self.total.add(values)


class Collector:
    """Listens for exporters and adds up their records. `stop` closes all ports and connections."""

    def __init__(self, elements: Elements, on_record: Callable[[DataRecord], None] | None = None) -> None:
        """`on_record` is called with each record as it arrives."""
        self.elements, self.on_record = elements, on_record
        self.sums = Sums()
        self.senders: OrderedDict[Any, Session] = OrderedDict()
        self.streams: dict[TcpReceiver, None] = {}
        self.counts: Counter[str] = Counter()  # counters of closed sessions and of this collector
        self.ports: list[Any] = []

    def listen(self, reactor: Any, host: str, udp: int | None, tcp: int | None) -> None:
        """Listen on the given ports; None: do not listen over that transport. Raises
        twisted.internet.error.CannotListenError.
        """
        if udp is not None:
            self.ports.append(reactor.listenUDP(udp, UdpReceiver(self), interface=host, maxPacketSize=65_535))
        if tcp is not None:
            self.ports.append(reactor.listenTCP(tcp, TcpReceiverFactory(self), interface=host))

    def add_records(self, records: list[DataRecord]) -> None:
        """Add decoded records to the sums."""
        for record in records:
            self.sums.add(record)
            if self.on_record is not None:
                self.on_record(record)

    def get_session(self, address: Any) -> Session:
        """Return the session of a UDP sender. If the sender is new and too many are known, the sender that
        was silent longest is forgotten.
        """
        session = self.senders.get(address)
        if session is None:
            if len(self.senders) >= SENDERS_MOST:
                _, gone = self.senders.popitem(last=False)
                self.counts.update(gone.counts)
                self.counts["senders forgotten"] += 1
            session = self.senders[address] = Session(self.elements)
        self.senders.move_to_end(address)
        return session

    def counters(self) -> dict[str, int]:
        """Return the sums of all counters of all sessions, including closed ones."""
        together = Counter(self.counts)
        for session in (*self.senders.values(), *(each.session for each in self.streams)):
            together.update(session.counts)
        return dict(sorted(together.items()))

    def stop(self) -> None:
        """Close all ports and connections."""
        ports, self.ports = self.ports, []
        for port in ports:
            port.stopListening()
        for stream in list(self.streams):
            stream.transport.abortConnection()


class UdpReceiver(DatagramProtocol):
    """Receives datagrams of all UDP senders."""

    noisy = False

    def __init__(self, collector: Collector) -> None:
        self.collector = collector

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        self.collector.add_records(self.collector.get_session(addr).decode_message(data))


class TcpReceiver(StreamProtocol):
    """One TCP connection of an exporter."""

    def __init__(self, collector: Collector) -> None:
        self.collector = collector
        self.session = Session(collector.elements)
        self.stream = Stream(self.session)

    def connectionMade(self) -> None:
        self.transport.bufferSize = READ_BUFFER_BYTES
        self.collector.streams[self] = None

    def dataReceived(self, data: bytes) -> None:
        self.collector.add_records(self.stream.feed(data))
        if self.stream.broken:
            self.transport.abortConnection()

    def connectionLost(self, reason: Any = connectionDone) -> None:
        if self.stream.buffer:
            self.session.counts["messages cut off"] += 1
        self.collector.counts.update(self.session.counts)
        self.collector.streams.pop(self, None)


class TcpReceiverFactory(Factory):
    """Accepts TCP connections, up to MAX_STREAMS at once."""

    noisy = False

    def __init__(self, collector: Collector) -> None:
        self.collector = collector

    def buildProtocol(self, addr: Any) -> TcpReceiver | None:
        if len(self.collector.streams) >= MAX_STREAMS:
            self.collector.counts["streams over the bound"] += 1
            return None
        return TcpReceiver(self.collector)
