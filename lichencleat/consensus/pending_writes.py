"""Tracks changes that a member must write, writes in flight, and which write a message must wait for.

No I/O: the host carries out the writes and reports when each one is durable.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from lichencleat.consensus.messages import DurableWrite
from lichencleat.consensus.raft_log import RaftLog

NO_BYTE_LIMIT = 1 << 62


class InFlightWrite(NamedTuple):
    """A write that was handed out to the host and is not durable yet."""

    number: int
    last_index: int  # last index of the durable log once this write is durable


class PendingWrites:
    """Collects changes into numbered writes, which become durable in order of their numbers."""

    def __init__(self, log: RaftLog) -> None:
        """Start from a log that is completely durable."""
        self.is_dirty = False  # whether anything changed since the last write was handed out
        self.is_term_dirty = False  # whether the term or the vote changed since the last write
        self.is_snapshot_dirty = False  # whether the snapshot changed since the last write
        self.first_unwritten = log.last_index + 1  # index of the first entry that was in no write yet
        self.last_number = 0  # number of the last write handed out
        self.last_term_write = 0  # number of the last write with a new term or vote
        self.durable_number = 0  # all writes up to this number are durable
        self.durable_index = log.last_index  # entries up to this index are durable
        self.in_flight: deque[InFlightWrite] = deque()

    def mark_appended(self) -> None:
        """Record that entries were appended to the log."""
        self.is_dirty = True

    def mark_term_changed(self) -> None:
        """Record that the term or the vote changed."""
        self.is_dirty = True
        self.is_term_dirty = True

    def mark_compacted(self, index: int) -> None:
        """Record that a snapshot replaces the entries up to `index`."""
        self.is_dirty = True
        self.is_snapshot_dirty = True
        self.first_unwritten = max(self.first_unwritten, index + 1)

    def mark_truncated(self, index: int) -> None:
        """Record that the entry at `index` and all after it are void, including those in writes in flight."""
        self.is_dirty = True
        self.first_unwritten = min(self.first_unwritten, index)
        self.durable_index = min(self.durable_index, index - 1)
        self.in_flight = deque(
            InFlightWrite(each.number, min(each.last_index, index - 1)) for each in self.in_flight
        )

    def mark_replaced(self, index: int) -> None:
        """Record that a snapshot up to `index` replaces the whole log once the snapshot is durable."""
        self.mark_truncated(1)
        self.first_unwritten = index + 1
        self.is_snapshot_dirty = True

    def required_for_term(self) -> int:
        """Return the number of the write that must be durable before a message of this term is sent."""
        return self.last_number + 1 if self.is_term_dirty else self.last_term_write

    def make_write(self, term: int, vote: int, log: RaftLog) -> DurableWrite:
        """Return the next write, with all changes since the last write."""
        self.last_number += 1
        if self.is_term_dirty:
            self.last_term_write = self.last_number
        first_index = max(self.first_unwritten, log.snapshot_index + 1)
        write = DurableWrite(
            number=self.last_number,
            term=term,
            vote=vote,
            first_index=first_index,
            entries=log.entries_from(first_index, NO_BYTE_LIMIT),
            last_index=log.last_index,
            snapshot_index=log.snapshot_index,
            snapshot=log.snapshot if self.is_snapshot_dirty else None,
        )
        self.is_dirty = self.is_term_dirty = self.is_snapshot_dirty = False
        self.first_unwritten = log.last_index + 1
        self.in_flight.append(InFlightWrite(self.last_number, log.last_index))
        return write

    def on_write_durable(self, number: int) -> bool:
        """Record that all writes up to `number` are durable; return whether the durable index advanced."""
        self.durable_number = max(self.durable_number, number)
        previous_index = self.durable_index
        while self.in_flight and self.in_flight[0].number <= number:
            self.durable_index = self.in_flight.popleft().last_index
        return self.durable_index > previous_index
