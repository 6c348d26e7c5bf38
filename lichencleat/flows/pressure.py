"""A bounded queue of flow records for one collector, which aggregates records when it is full. No I/O.

When the queue is full, one record is taken out and folded, that is, added to an aggregate of its tenant: the
record with the fewest octets among the oldest. Aggregates are kept apart, are few, and are sent as records of
their own as soon as the collector accepts data. The totals by tenant at the collector are therefore right,
even if details of single flows are missing.
"""

from __future__ import annotations

from collections import OrderedDict, deque

from lichencleat.flows.meter import Counts, EndReason, Record

FOLD_CANDIDATES = 16  # oldest records compared when one is folded; comparing all would be too slow
MAX_AGGREGATES = 256  # aggregates of named tenants; further tenants share one more, with an empty name


class RecordQueue:
    """A bounded queue of records for one collector, with aggregates by tenant of records that did not fit."""

    def __init__(self, max_records: int) -> None:
        """`max_records`: most records that are queued, aggregates not included."""
        self.max_records = max_records
        self.records: deque[Record] = deque()
        self.aggregates: OrderedDict[str, Record] = OrderedDict()
        self.folded = 0  # records folded since the start
        self.folded_counts = Counts()  # sum of the counts of folded records

    def __len__(self) -> int:
        return len(self.records) + len(self.aggregates)

    def offer(self, record: Record) -> None:
        """Queue a record. If the queue is full, fold one of the oldest records or this record."""
        self.records.append(record)
        if len(self.records) > self.max_records:
            at = min(
                range(min(FOLD_CANDIDATES, len(self.records))),
                key=lambda n: (self.weight(self.records[n]), n),
            )
            least = self.records[at]
            del self.records[at]
            self.fold(least)

    @staticmethod
    def weight(record: Record) -> int:
        """Return the octets of a record. Records with few octets are folded first, as little detail is lost
        with them.
        """
        return record.counts.octets()

    def fold(self, record: Record) -> None:
        """Count a record as folded and add it to its tenant's aggregate."""
        self.folded += 1
        self.folded_counts.add(record.counts)
        self.merge(record)

    def merge(self, record: Record) -> None:
        """Add a record or an aggregate to the aggregate of its tenant."""
        tenant = record.tenant
        if tenant not in self.aggregates and len(self.aggregates) >= MAX_AGGREGATES:
            tenant = ""
        known = self.aggregates.get(tenant)
        if known is None:
            nowhere = bytes(len(record.source))
            known = self.aggregates[tenant] = Record(
                0,
                nowhere,
                nowhere,
                0,
                0,
                tenant,
                "",
                0,
                record.began,
                record.ended,
                EndReason.LACK_OF_RESOURCES,
                False,
                Counts(),
            )
        known.began = min(known.began, record.began)
        known.ended = max(known.ended, record.ended)
        known.estimated |= record.estimated
        known.counts.add(record.counts)
        known.folded += max(1, record.folded)

    def take(self, most: int) -> list[Record]:
        """Remove and return up to `most` records: aggregates first, then records, oldest first."""
        taken = [self.aggregates.popitem(last=False)[1] for _ in range(min(most, len(self.aggregates)))]
        taken += [self.records.popleft() for _ in range(min(most - len(taken), len(self.records)))]
        return taken

    def requeue(self, records: list[Record]) -> None:
        """Put records back that were taken but could not be sent, before all others."""
        for record in reversed(records):
            if record.folded:
                self.merge(record)
            else:
                self.records.appendleft(record)
        while len(self.records) > self.max_records:
            self.fold(self.records.popleft())

    def queued_counts(self) -> Counts:
        """Return the sum of the counts of all queued records and aggregates."""
        counts = Counts()
        for each in (*self.records, *self.aggregates.values()):
            counts.add(each.counts)
        return counts
