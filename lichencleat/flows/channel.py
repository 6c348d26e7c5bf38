"""Decides what is sent to one collector and when: encodes templates, statistics and records into messages. No
I/O, and no clock of its own.

The caller queues records and asks for messages until there are none. Nothing here waits for a collector.
"""

from __future__ import annotations

from enum import Enum

from lichencleat.flows import ipfix, layouts, netflow9
from lichencleat.flows.elements import Elements
from lichencleat.flows.meter import Counts, Record
from lichencleat.flows.pressure import RecordQueue

# µs between templates over UDP; a restarted collector waits at most this long for them
TEMPLATE_INTERVAL_US = 60_000_000
TEMPLATE_INTERVAL_MESSAGES = 100  # messages between templates over UDP, if that is sooner (RFC 7011, 8.4)
STATISTICS_INTERVAL_US = 30_000_000  # µs between records of the exporter's own statistics
MAX_RECORDS_PER_CALL = 100  # records that one call encodes, which takes about a millisecond
MS = 1_000  # µs in a millisecond


class Wire(Enum):
    """Protocol and transport of a collector. The values are names in settings."""

    IPFIX_UDP = "ipfix-udp"
    IPFIX_TCP = "ipfix-tcp"
    NETFLOW9_UDP = "netflow9-udp"


class Channel:
    """Holds the records queued for one collector, bounded by `RecordQueue`. A message that was returned is
    not kept.
    """

    def __init__(
        self, wire: Wire, elements: Elements, domain: int, max_message_bytes: int, max_queued: int, now: int
    ) -> None:
        """`max_message_bytes`: size of a message. `max_queued`: records that may be queued. `now`: µs of Unix
        time, here and in all methods.
        """
        self.wire, self.elements, self.domain, self.max_message_bytes = (
            wire,
            elements,
            domain,
            max_message_bytes,
        )
        self.queue = RecordQueue(max_queued)
        self.messages = 0  # messages returned since the start
        self.records = 0  # data records of flows and tenants in these messages
        self.unencodable = 0  # records that could not be encoded
        self.unconfirmed: list[Record] = []  # sent, but a refusal of them may still arrive
        self.lost = 0  # records known not to have arrived, including unencodable ones
        self.lost_counts = Counts()  # sum of the counts of lost records
        self.statistics_due = now + STATISTICS_INTERVAL_US
        self.began = now
        self.begin_session(now)

    def begin_session(self, now: int) -> None:
        """Start a new transport session: templates are sent first, and IPFIX and NetFlow sequence numbers
        start at 0 (RFC 7011, 10.2).
        """
        self.templates_sent = False
        self.templates_due = now
        self.messages_since_templates = 0
        if self.wire is Wire.NETFLOW9_UDP:
            self.netflow = netflow9.Writer(self.domain, self.max_message_bytes, self.began // MS)
            self.netflow_layout = layouts.Netflow9Layout(self.elements)
        else:
            self.ipfix = ipfix.Writer(self.domain, self.max_message_bytes)
            self.ipfix_layout = layouts.IpfixLayout(self.elements)

    def next_messages(self, now: int) -> list[bytes]:
        """Return the messages that are due; an empty list if none is."""
        statistics = now >= self.statistics_due or self.statistics_due - now > STATISTICS_INTERVAL_US
        templates = self.templates_needed(now, statistics)
        records = self.queue.take(MAX_RECORDS_PER_CALL)
        if not (templates or statistics or records):
            return []
        if statistics:
            self.statistics_due = now + STATISTICS_INTERVAL_US
        made: list[bytes] = []
        try:
            made = self.encode(now, templates, statistics, records)
        except ipfix.RecordEncodeError:
            for each in records:  # encode one by one, so that only those that fail are dropped
                try:
                    made += self.encode(now, templates, False, [each])
                    templates = False
                except ipfix.RecordEncodeError:
                    self.unencodable += 1
                    self.count_lost([each])
        else:
            self.unconfirmed += records
        self.messages += len(made)
        self.messages_since_templates += len(made)
        return made

    def probe(self, now: int) -> list[bytes]:
        """Return the templates alone. If nobody listens, no record is lost."""
        self.templates_sent = False
        self.templates_due = now + TEMPLATE_INTERVAL_US
        self.messages_since_templates = 0
        self.messages += 1
        return self.encode(now, True, False, [])

    def clear_unconfirmed(self) -> None:
        """Forget the records that were sent: no refusal of them came."""
        self.unconfirmed = []

    def on_refused(self) -> None:
        """Count the records sent last as lost, since nobody listened. They are reported as lost and not sent
        again, so that none is counted twice.
        """
        lost, self.unconfirmed = self.unconfirmed, []
        self.count_lost(lost)

    def count_lost(self, records: list[Record]) -> None:
        """Count records that did not or cannot reach the collector."""
        self.lost += len(records)
        for each in records:
            self.lost_counts.add(each.counts)

    def templates_needed(self, now: int, statistics: bool) -> bool:
        """Say whether templates are due, and if so, record them as sent. Over TCP, templates are due once per
        session, before anything else; over UDP, again after an interval and after a number of messages, even
        if nothing else is due.
        """
        if self.wire is Wire.IPFIX_TCP:
            needed = not self.templates_sent and (statistics or len(self.queue) > 0)
        else:
            stepped_back = self.templates_due - now > TEMPLATE_INTERVAL_US
            needed = (
                now >= self.templates_due
                or stepped_back
                or self.messages_since_templates >= TEMPLATE_INTERVAL_MESSAGES
            )
        if needed:
            self.templates_sent = True
            self.templates_due = now + TEMPLATE_INTERVAL_US
            self.messages_since_templates = 0
        return needed

    def encode(self, now: int, templates: bool, statistics: bool, records: list[Record]) -> list[bytes]:
        """Encode templates, statistics and records into messages, as the arguments say."""
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
                rows.append(own.statistics_row(self.domain, *sent, *lost, self.queue.folded))
            found = self.ipfix.messages(now // MS // 1000, own.templates if templates else [], rows)
        self.records += len(rows) - statistics
        return found
