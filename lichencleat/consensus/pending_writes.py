"""What a member has to write, what is on its way to the disk, and what may be said before it is there; no
I/O.
"""

from __future__ import annotations

from collections import deque

from lichencleat.consensus.messages import DurableWrite
from lichencleat.consensus.raft_log import RaftLog


class PendingWrites:
    """Saves are confirmed in order; each holds all that changed since the one before."""

    def __init__(self, entries: RaftLog) -> None:
        self.is_dirty = False  # something is to be saved
        self.is_term_dirty = False  # the term or the vote is
        self.is_snapshot_dirty = False
        self.first_unwritten = entries.last_index + 1  # first entry that no save holds
        self.last_number = 0  # of the last save given out
        self.last_term_write = 0  # of the last one that holds a new term or vote
        self.durable_number = 0
        self.durable_index = entries.last_index  # the log is on the disk up to here
        self.in_flight: deque[tuple[int, int]] = deque()  # number of a save under way, last entry after it

    def mark_appended(self) -> None:
        self.is_dirty = True

    def mark_term_changed(self) -> None:
        self.is_dirty = self.is_term_dirty = True

    def mark_compacted(self, index: int) -> None:
        self.is_dirty = self.is_snapshot_dirty = True
        self.first_unwritten = max(self.first_unwritten, index + 1)

    def mark_truncated(self, index: int) -> None:
        """That entry and all behind it are void, here and in what is on its way."""
        self.is_dirty = True
        self.first_unwritten = min(self.first_unwritten, index)
        self.durable_index = min(self.durable_index, index - 1)
        self.in_flight = deque((number, min(last, index - 1)) for number, last in self.in_flight)

    def mark_replaced(self, index: int) -> None:
        """The whole log is: a snapshot up to that index stands in its place, once it is saved."""
        self.mark_truncated(1)
        self.first_unwritten = index + 1
        self.is_snapshot_dirty = True

    def required_for_term(self) -> int:
        """The save that must be confirmed before anything is said that rests on the term and the vote."""
        return self.last_number + 1 if self.is_term_dirty else self.last_term_write

    def make_write(self, term: int, vote: int, entries: RaftLog) -> DurableWrite:
        self.last_number += 1
        if self.is_term_dirty:
            self.last_term_write = self.last_number
        first = max(self.first_unwritten, entries.snapshot_index + 1)
        chosen = entries.entries_from(first, 1 << 62)
        snapshot = entries.snapshot if self.is_snapshot_dirty else None
        self.is_dirty = self.is_term_dirty = self.is_snapshot_dirty = False
        self.first_unwritten = entries.last_index + 1
        self.in_flight.append((self.last_number, entries.last_index))
        return DurableWrite(
            self.last_number, term, vote, first, chosen, entries.last_index, entries.snapshot_index, snapshot
        )

    def on_write_durable(self, number: int) -> bool:
        """All saves up to that number are on the disk. Is more of the log there than before?"""
        self.durable_number = max(self.durable_number, number)
        before = self.durable_index
        while self.in_flight and self.in_flight[0][0] <= number:
            self.durable_index = self.in_flight.popleft()[1]
        return self.durable_index > before
