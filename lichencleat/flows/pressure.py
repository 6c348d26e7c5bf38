"""What waits for a collector, and what gives way when it does not come: bounded, and nothing is lost to the
totals; no I/O.

When the queue is full a whole record is taken out of it, the least among the oldest, and folded into an
aggregate of its tenant. Aggregates wait apart, are few, and go out as records of their own as soon as there
is room: so what a collector adds up by tenant is right, whatever it missed of single flows.
"""

from __future__ import annotations

from collections import OrderedDict, deque

from lichencleat.flows.meter import Counts, End, Record

OLDEST = 16  # records among which the least gives way: a look at all would cost more than a record
TENANTS_MOST = 256  # aggregates; those of further tenants go into the one without a name, one more


class Pressure:
    def __init__(self, most: int) -> None:
        """`most`: records that wait."""
        self.most = most
        self.queue: deque[Record] = deque()
        self.aggregates: OrderedDict[str, Record] = OrderedDict()
        self.folded = 0  # records that gave way, since the start
        self.folded_counts = Counts()  # what was in them

    def __len__(self) -> int:
        return len(self.queue) + len(self.aggregates)

    def offer(self, record: Record) -> None:
        """Takes it in; at the bound another, or this one itself, gives way."""
        self.queue.append(record)
        if len(self.queue) > self.most:
            at = min(range(min(OLDEST, len(self.queue))), key=lambda n: (self.weight(self.queue[n]), n))
            least = self.queue[at]
            del self.queue[at]
            self.fold(least)

    @staticmethod
    def weight(record: Record) -> int:
        """What is missed with it: an aggregate by tenant tells as much of a small flow."""
        return record.counts.octets()

    def fold(self, record: Record) -> None:
        """The record gives way: counted, and part of its tenant's aggregate from then on."""
        self.folded += 1
        self.folded_counts.add(record.counts)
        self.merge(record)

    def merge(self, record: Record) -> None:
        tenant = record.tenant
        if tenant not in self.aggregates and len(self.aggregates) >= TENANTS_MOST:
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
                End.LACK,
                False,
                Counts(),
            )
        known.began = min(known.began, record.began)
        known.ended = max(known.ended, record.ended)
        known.estimated |= record.estimated
        known.counts.add(record.counts)
        known.folded += max(1, record.folded)

    def take(self, most: int) -> list[Record]:
        """Up to so many records to send now, oldest first, aggregates before them; they are the taker's from
        then on.
        """
        taken = [self.aggregates.popitem(last=False)[1] for _ in range(min(most, len(self.aggregates)))]
        taken += [self.queue.popleft() for _ in range(min(most - len(taken), len(self.queue)))]
        return taken

    def give_back(self, records: list[Record]) -> None:
        """What was taken and could not be sent waits again, before all others."""
        for record in reversed(records):
            if record.folded:
                self.merge(record)
            else:
                self.queue.appendleft(record)
        while len(self.queue) > self.most:
            self.fold(self.queue.popleft())

    def held(self) -> Counts:
        """All that waits, in records and aggregates."""
        counts = Counts()
        for each in (*self.queue, *self.aggregates.values()):
            counts.add(each.counts)
        return counts
