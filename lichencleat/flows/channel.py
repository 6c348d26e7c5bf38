"""What goes to one collector and when: templates, statistics and records made into messages; no I/O, no
clock.

The host hands records in, and asks for messages until there is none. Nothing here waits for a collector.
"""

from __future__ import annotations

from enum import Enum

from lichencleat.flows import ipfix, layouts, netflow9
from lichencleat.flows.elements import Elements
from lichencleat.flows.meter import Counts, Record
from lichencleat.flows.pressure import Pressure

TEMPLATES_EACH = 60_000_000  # µs between templates over UDP: a collector that was restarted waits no longer
TEMPLATES_MESSAGES = 100  # messages between templates over UDP, whichever comes first (RFC 7011, 8.4)
STATISTICS_EACH = 30_000_000  # µs between the exporter's own figures
RECORDS_AT_ONCE = 100  # records made into messages by one call: a millisecond's work
MS = 1_000  # µs


class Wire(Enum):
    IPFIX_UDP = "ipfix-udp"
    IPFIX_TCP = "ipfix-tcp"
    NETFLOW9_UDP = "netflow9-udp"


class Channel:
    """Owns what waits for its collector, bounded by `Pressure`; a message given out is gone from here."""

    def __init__(
        self, wire: Wire, elements: Elements, domain: int, most: int, waiting: int, now: int
    ) -> None:
        """`most`: bytes of a message. `waiting`: records that may wait. `now`: µs of Unix time, as everywhere
        here.
        """
        self.wire, self.elements, self.domain, self.most = wire, elements, domain, most
        self.pressure = Pressure(waiting)
        self.messages = 0  # given out since the start
        self.records = 0  # data records of flows and tenants in them
        self.unfit = 0  # records that no message could carry
        self.unsettled: list[Record] = []  # given out, and a refusal of them may still come
        self.lost = 0  # records known not to have arrived, those that no message could carry included
        self.lost_counts = Counts()  # what was in them
        self.statistics_due = now + STATISTICS_EACH
        self.began = now
        self.begin(now)

    def begin(self, now: int) -> None:
        """A new transport session: templates come first, and over TCP sequences begin anew (RFC 7011,
        10.2).
        """
        self.told_templates = False
        self.templates_due = now
        self.since_templates = 0
        if self.wire is Wire.NETFLOW9_UDP:
            self.netflow = netflow9.Writer(self.domain, self.most, self.began // MS)
            self.netflow_layout = layouts.Netflow9(self.elements)
        else:
            self.ipfix = ipfix.Writer(self.domain, self.most)
            self.ipfix_layout = layouts.Ipfix(self.elements)

    def next_messages(self, now: int) -> list[bytes]:
        """What is due: empty when nothing is."""
        statistics = now >= self.statistics_due or self.statistics_due - now > STATISTICS_EACH
        templates = self.templates_needed(now, statistics)
        records = self.pressure.take(RECORDS_AT_ONCE)
        if not (templates or statistics or records):
            return []
        if statistics:
            self.statistics_due = now + STATISTICS_EACH
        made: list[bytes] = []
        try:
            made = self.made(now, templates, statistics, records)
        except ipfix.UnfitRecordError:
            for each in records:  # the one that does not fit is left out; the others go
                try:
                    made += self.made(now, templates, False, [each])
                    templates = False
                except ipfix.UnfitRecordError:
                    self.unfit += 1
                    self.loses([each])
        else:
            self.unsettled += records
        self.messages += len(made)
        self.since_templates += len(made)
        return made

    def probe(self, now: int) -> list[bytes]:
        """Templates alone: where nobody listens, they cost no record."""
        self.told_templates = False
        self.templates_due = now + TEMPLATES_EACH
        self.since_templates = 0
        self.messages += 1
        return self.made(now, True, False, [])

    def settled(self) -> None:
        """No refusal came of what was given out before."""
        self.unsettled = []

    def refused(self) -> None:
        """Nobody listened to what was given out last: it is lost, and told as such, rather than told
        twice.
        """
        lost, self.unsettled = self.unsettled, []
        self.loses(lost)

    def loses(self, records: list[Record]) -> None:
        self.lost += len(records)
        for each in records:
            self.lost_counts.add(each.counts)

    def templates_needed(self, now: int, statistics: bool) -> bool:
        """Over TCP once a session, before anything; over UDP again by time and by count, whatever else is
        due.
        """
        if self.wire is Wire.IPFIX_TCP:
            needed = not self.told_templates and (statistics or len(self.pressure) > 0)
        else:
            stepped_back = self.templates_due - now > TEMPLATES_EACH
            needed = now >= self.templates_due or stepped_back or self.since_templates >= TEMPLATES_MESSAGES
        if needed:
            self.told_templates = True
            self.templates_due = now + TEMPLATES_EACH
            self.since_templates = 0
        return needed

    def made(self, now: int, templates: bool, statistics: bool, records: list[Record]) -> list[bytes]:
        rows: list[ipfix.Row] = []
        if self.wire is Wire.NETFLOW9_UDP:
            layout = self.netflow_layout
            for each in records:
                up = [self.netflow.uptime(time // MS) for time in (each.began, each.ended)]
                rows += layout.rows(each, *up)
            if statistics:
                rows.append((layout.statistics, [0, self.messages, self.records]))
            found = self.netflow.packets(now // MS, layout.templates if templates else [], rows)
        else:
            own = self.ipfix_layout
            for each in records:
                rows += own.rows(each)
            if statistics:
                sent, lost = (self.messages, self.records), (self.lost, self.lost_counts)
                rows.append(own.statistics_row(self.domain, *sent, *lost, self.pressure.folded))
            found = self.ipfix.messages(now // MS // 1000, own.templates if templates else [], rows)
        self.records += len(rows) - statistics
        return found
