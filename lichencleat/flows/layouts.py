"""Templates of the exported records, and the values of records in the order of their templates. docs/flows.md
lists the templates. No I/O.
"""

from __future__ import annotations

from lichencleat.flows.elements import Elements, Template
from lichencleat.flows.ipfix import Row, Value
from lichencleat.flows.meter import Counts, Record

TCP_PROTOCOL = 6  # protocolIdentifier; only TCP is metered
MS = 1_000  # µs in a millisecond
FLOW_IPV4_ID, FLOW_IPV6_ID, TENANT_ID, STATISTICS_ID = 256, 257, 258, 259  # template ids
NAME_BYTES = 32  # length of a tenant's name in NetFlow v9, which has no variable lengths
NO_ADDRESS = bytes(4)  # source and destination of an aggregate in NetFlow v9

REQUEST_ELEMENTS = [
    "inquiriesHonoured",
    "inquiriesDeferred",
    "inquiriesGivenUp",
    "inquiriesAbandoned",
    "heldMicroseconds",
    "runMicroseconds",
]
COUNT_ELEMENTS = ["octetDeltaCount", "packetDeltaCount", "reverseOctetDeltaCount", "reversePacketDeltaCount"]
TIME_ELEMENTS = ["flowStartMilliseconds", "flowEndMilliseconds", "flowEndReason"]
PORT_ELEMENTS = ["sourceTransportPort", "destinationTransportPort", "protocolIdentifier"]


def request_values(counts: Counts) -> list[Value]:
    """Return the values of the elements in REQUEST_ELEMENTS."""
    return [counts.honoured, counts.deferred, counts.given_up, counts.abandoned, counts.held, counts.run]


def traffic_values(counts: Counts) -> list[Value]:
    """Return the values of the elements in COUNT_ELEMENTS."""
    return [counts.octets_in, counts.packets_in, counts.octets_out, counts.packets_out]


class IpfixLayout:
    """Lays out records for IPFIX. A connection is one biflow (RFC 5103); the forward direction is from the
    initiator.
    """

    def __init__(self, elements: Elements) -> None:
        def flow(number: int, family: str) -> Template:
            addresses = [f"source{family}Address", f"destination{family}Address"]
            own = ["tenant", "tariff", "dispatcher", *REQUEST_ELEMENTS, "packetsEstimated"]
            return elements.template(
                number, ["flowId", *addresses, *PORT_ELEMENTS, *COUNT_ELEMENTS, *TIME_ELEMENTS, *own]
            )

        self.flow4, self.flow6 = flow(FLOW_IPV4_ID, "IPv4"), flow(FLOW_IPV6_ID, "IPv6")
        self.tenant = elements.template(
            TENANT_ID,
            ["tenant", *COUNT_ELEMENTS, *TIME_ELEMENTS, *REQUEST_ELEMENTS, "packetsEstimated", "flowsFolded"],
        )
        self.statistics = elements.template(
            STATISTICS_ID,
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
        """Return the data record of a flow record or of an aggregate, with its template."""
        times: list[Value] = [record.began // MS, record.ended // MS, int(record.end)]
        counts = record.counts
        if record.folded:
            marks: list[Value] = [int(record.estimated), record.folded]
            return [
                (
                    self.tenant,
                    [record.tenant, *traffic_values(counts), *times, *request_values(counts), *marks],
                )
            ]
        ends: list[Value] = [
            record.flow,
            record.source,
            record.target,
            record.source_port,
            record.target_port,
            TCP_PROTOCOL,
        ]
        own: list[Value] = [
            record.tenant,
            record.tariff,
            record.dispatcher,
            *request_values(counts),
            int(record.estimated),
        ]
        template = self.flow4 if len(record.source) == 4 else self.flow6
        return [(template, [*ends, *traffic_values(counts), *times, *own])]

    def statistics_row(
        self, domain: int, messages: int, records: int, lost: int, counts: Counts, folded: int
    ) -> Row:
        """Return the data record of the exporter's statistics. `lost` is the number of records known not to
        have arrived; `counts` is the sum of their counts.
        """
        packets = counts.packets_in + counts.packets_out
        figures = [lost, packets, counts.octets(), counts.requests(), folded]
        return self.statistics, [domain, messages, records, *figures]


class Netflow9Layout:
    """Lays out records for NetFlow v9. A connection is two records, one for each direction; requests cannot
    be exported.
    """

    def __init__(self, elements: Elements) -> None:
        def flow(number: int, family: str) -> Template:
            names = [f"source{family}Address", f"destination{family}Address", *PORT_ELEMENTS]
            names += [
                "octetDeltaCount",
                "packetDeltaCount",
                "flowStartSysUpTime",
                "flowEndSysUpTime",
                "userName",
            ]
            return elements.template(number, names, text=NAME_BYTES)

        self.flow4, self.flow6 = flow(FLOW_IPV4_ID, "IPv4"), flow(FLOW_IPV6_ID, "IPv6")
        self.statistics = elements.template(
            STATISTICS_ID,
            ["observationDomainId", "exportedMessageTotalCount", "exportedFlowRecordTotalCount"],
            scopes=1,
        )
        self.templates = [self.flow4, self.flow6, self.statistics]

    def rows(self, record: Record, began_up: int, ended_up: int) -> list[Row]:
        """Return the two data records of a flow record, one for each direction. `began_up` and `ended_up` are
        in ms of the exporter's uptime.
        """
        counts = record.counts
        source, target = (record.source, record.target) if not record.folded else (NO_ADDRESS, NO_ADDRESS)
        template = self.flow4 if len(source) == 4 else self.flow6
        ways = [
            (source, target, record.source_port, record.target_port, counts.octets_in, counts.packets_in),
            (target, source, record.target_port, record.source_port, counts.octets_out, counts.packets_out),
        ]
        return [
            (
                template,
                [one, other, port, its, TCP_PROTOCOL, octets, packets, began_up, ended_up, record.tenant],
            )
            for one, other, port, its, octets, packets in ways
        ]
