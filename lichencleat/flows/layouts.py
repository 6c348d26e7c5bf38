"""Which elements stand in which template, and records laid out for them; docs/flows.md has the tables. No
I/O.
"""

from __future__ import annotations

from lichencleat.flows.elements import Elements, Template
from lichencleat.flows.ipfix import Row, Value
from lichencleat.flows.meter import Counts, Record

TCP = 6  # protocolIdentifier: all that is metered
MS = 1_000  # µs
FLOW4, FLOW6, TENANT, STATISTICS = 256, 257, 258, 259  # the templates' ids
NAME_BYTES = 32  # of a tenant's name in NetFlow v9, which has no variable lengths
NOWHERE = bytes(4)  # the address of an aggregate in NetFlow v9

REQUESTS = [
    "inquiriesHonoured",
    "inquiriesDeferred",
    "inquiriesGivenUp",
    "inquiriesAbandoned",
    "heldMicroseconds",
    "runMicroseconds",
]
COUNTS = ["octetDeltaCount", "packetDeltaCount", "reverseOctetDeltaCount", "reversePacketDeltaCount"]
TIMES = ["flowStartMilliseconds", "flowEndMilliseconds", "flowEndReason"]
ENDS = ["sourceTransportPort", "destinationTransportPort", "protocolIdentifier"]


def requests(counts: Counts) -> list[Value]:
    return [counts.honoured, counts.deferred, counts.given_up, counts.abandoned, counts.held, counts.run]


def octets(counts: Counts) -> list[Value]:
    return [counts.octets_in, counts.packets_in, counts.octets_out, counts.packets_out]


class Ipfix:
    """A connection is one biflow (RFC 5103): forward is from the one who began it."""

    def __init__(self, elements: Elements) -> None:
        def flow(number: int, family: str) -> Template:
            addresses = [f"source{family}Address", f"destination{family}Address"]
            own = ["tenant", "tariff", "dispatcher", *REQUESTS, "packetsEstimated"]
            return elements.template(number, ["flowId", *addresses, *ENDS, *COUNTS, *TIMES, *own])

        self.flow4, self.flow6 = flow(FLOW4, "IPv4"), flow(FLOW6, "IPv6")
        self.tenant = elements.template(
            TENANT, ["tenant", *COUNTS, *TIMES, *REQUESTS, "packetsEstimated", "flowsFolded"]
        )
        self.statistics = elements.template(
            STATISTICS,
            [
                "observationDomainId",
                "exportedMessageTotalCount",
                "exportedFlowRecordTotalCount",
                "notSentFlowTotalCount",
                "notSentPacketTotalCount",
                "notSentOctetTotalCount",
                "inquiriesNotSent",
                "flowsFolded",
            ],
            scopes=1,
        )
        self.templates = [self.flow4, self.flow6, self.tenant, self.statistics]

    def rows(self, record: Record) -> list[Row]:
        times: list[Value] = [record.began // MS, record.ended // MS, int(record.end)]
        counts = record.counts
        if record.folded:
            marks: list[Value] = [int(record.estimated), record.folded]
            return [(self.tenant, [record.tenant, *octets(counts), *times, *requests(counts), *marks])]
        ends: list[Value] = [
            record.flow,
            record.source,
            record.target,
            record.source_port,
            record.target_port,
            TCP,
        ]
        own: list[Value] = [
            record.tenant,
            record.tariff,
            record.dispatcher,
            *requests(counts),
            int(record.estimated),
        ]
        template = self.flow4 if len(record.source) == 4 else self.flow6
        return [(template, [*ends, *octets(counts), *times, *own])]

    def statistics_row(
        self, domain: int, messages: int, records: int, lost: int, counts: Counts, folded: int
    ) -> Row:
        """`lost`: records that are known not to have arrived, `counts`: what was in them."""
        packets = counts.packets_in + counts.packets_out
        figures = [lost, packets, counts.octets(), counts.requests(), folded]
        return self.statistics, [domain, messages, records, *figures]


class Netflow9:
    """A connection is two records, one a direction; requests have no words here."""

    def __init__(self, elements: Elements) -> None:
        def flow(number: int, family: str) -> Template:
            names = [f"source{family}Address", f"destination{family}Address", *ENDS]
            names += [
                "octetDeltaCount",
                "packetDeltaCount",
                "flowStartSysUpTime",
                "flowEndSysUpTime",
                "userName",
            ]
            return elements.template(number, names, text=NAME_BYTES)

        self.flow4, self.flow6 = flow(FLOW4, "IPv4"), flow(FLOW6, "IPv6")
        self.statistics = elements.template(
            STATISTICS,
            ["observationDomainId", "exportedMessageTotalCount", "exportedFlowRecordTotalCount"],
            scopes=1,
        )
        self.templates = [self.flow4, self.flow6, self.statistics]

    def rows(self, record: Record, began_up: int, ended_up: int) -> list[Row]:
        """`began_up`, `ended_up`: ms of the exporter's uptime."""
        counts = record.counts
        source, target = (record.source, record.target) if not record.folded else (NOWHERE, NOWHERE)
        template = self.flow4 if len(source) == 4 else self.flow6
        ways = [
            (source, target, record.source_port, record.target_port, counts.octets_in, counts.packets_in),
            (target, source, record.target_port, record.source_port, counts.octets_out, counts.packets_out),
        ]
        return [
            (template, [one, other, port, its, TCP, octets, packets, began_up, ended_up, record.tenant])
            for one, other, port, its, octets, packets in ways
        ]
