"""A small collector: listens for IPFIX and NetFlow v9, and adds up who sent what. For tests, trials, and a
quick look.

It decides nothing and keeps no flows: sums by tenant, the exporters' own figures, and a counter for each
trouble. Whatever a sender sends, it holds a bounded amount.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import DatagramProtocol, Factory, connectionDone
from twisted.internet.protocol import Protocol as StreamProtocol

from lichencleat.flows.decode import Read, Session, Stream
from lichencleat.flows.elements import Elements

SENDERS_MOST = 256  # UDP senders known at once; the one longest silent is forgotten
STREAMS_MOST = 256  # TCP connections at once; the next one is closed
TENANTS_MOST = 4_096  # sums kept apart; what comes of others is one more
READ_MOST = 65_536  # bytes read at once from a stream
OTHERS = "(others)"


@dataclass(slots=True)
class Sum:
    """What came of one tenant; `octets` and `packets` are both directions together."""

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
    def __init__(self) -> None:
        self.total = Sum()
        self.by_tenant: dict[str, Sum] = {}
        # their own figures, the latest
        self.exporters: OrderedDict[tuple[int, int], dict[str, Any]] = OrderedDict()

    def take(self, read: Read) -> None:
        values = read.named()
        if read.scopes:
            self.exporters[read.version, read.domain] = values
            self.exporters.move_to_end((read.version, read.domain))
            if len(self.exporters) > SENDERS_MOST:
                self.exporters.popitem(last=False)
            return
        tenant = str(values.get("tenant", values.get("userName", "")))
        if tenant not in self.by_tenant and len(self.by_tenant) >= TENANTS_MOST:
            tenant = OTHERS
        self.by_tenant.setdefault(tenant, Sum()).add(values)
        self.total.add(values)


class Collector:
    """Owns its ports and sessions; `stop` gives all back."""

    def __init__(self, elements: Elements, told: Callable[[Read], None] | None = None) -> None:
        """`told` is handed every record as it comes."""
        self.elements, self.told = elements, told
        self.sums = Sums()
        self.senders: OrderedDict[Any, Session] = OrderedDict()
        self.streams: dict[Incoming, None] = {}
        self.counts: Counter[str] = Counter()  # of sessions that are over
        self.ports: list[Any] = []

    def listen(self, reactor: Any, host: str, udp: int | None, tcp: int | None) -> None:
        """Raises twisted.internet.error.CannotListenError."""
        if udp is not None:
            self.ports.append(reactor.listenUDP(udp, Datagrams(self), interface=host, maxPacketSize=65_535))
        if tcp is not None:
            self.ports.append(reactor.listenTCP(tcp, Streams(self), interface=host))

    def take(self, reads: list[Read]) -> None:
        for read in reads:
            self.sums.take(read)
            if self.told is not None:
                self.told(read)

    def sender(self, address: Any) -> Session:
        session = self.senders.get(address)
        if session is None:
            if len(self.senders) >= SENDERS_MOST:
                _, gone = self.senders.popitem(last=False)
                self.counts.update(gone.counts)
                self.counts["senders forgotten"] += 1
            session = self.senders[address] = Session(self.elements)
        self.senders.move_to_end(address)
        return session

    def troubles(self) -> dict[str, int]:
        """All counters of all sessions, those that are over included."""
        together = Counter(self.counts)
        for session in (*self.senders.values(), *(each.session for each in self.streams)):
            together.update(session.counts)
        return dict(sorted(together.items()))

    def stop(self) -> None:
        ports, self.ports = self.ports, []
        for port in ports:
            port.stopListening()
        for stream in list(self.streams):
            stream.transport.abortConnection()


class Datagrams(DatagramProtocol):
    noisy = False

    def __init__(self, collector: Collector) -> None:
        self.collector = collector

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        self.collector.take(self.collector.sender(addr).datagram(data))


class Incoming(StreamProtocol):
    def __init__(self, collector: Collector) -> None:
        self.collector = collector
        self.session = Session(collector.elements)
        self.stream = Stream(self.session)

    def connectionMade(self) -> None:
        self.transport.bufferSize = READ_MOST
        self.collector.streams[self] = None

    def dataReceived(self, data: bytes) -> None:
        self.collector.take(self.stream.feed(data))
        if self.stream.broken:
            self.transport.abortConnection()

    def connectionLost(self, reason: Any = connectionDone) -> None:
        if self.stream.buffer:
            self.session.counts["messages cut off"] += 1
        self.collector.counts.update(self.session.counts)
        self.collector.streams.pop(self, None)


class Streams(Factory):
    noisy = False

    def __init__(self, collector: Collector) -> None:
        self.collector = collector

    def buildProtocol(self, addr: Any) -> Incoming | None:
        if len(self.collector.streams) >= STREAMS_MOST:
            self.collector.counts["streams over the bound"] += 1
            return None
        return Incoming(self.collector)
