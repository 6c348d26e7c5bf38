"""What a member has to write, what is on its way to the disk, and what may be said before it is there; no
I/O.
"""

from __future__ import annotations

from collections import deque

from lichencleat.consensus.entries import Entries
from lichencleat.consensus.terms import Save


class Writes:
    """Saves are confirmed in order; each holds all that changed since the one before."""

    def __init__(self, entries: Entries) -> None:
        self.dirty = False  # something is to be saved
        self.dirty_term = False  # the term or the vote is
        self.new_snapshot = False
        self.unsaved = entries.last + 1  # first entry that no save holds
        self.number = 0  # of the last save given out
        self.term_number = 0  # of the last one that holds a new term or vote
        self.confirmed = 0
        self.durable = entries.last  # the log is on the disk up to here
        self.pending: deque[tuple[int, int]] = deque()  # number of a save under way, last entry after it

    def appended(self) -> None:
        self.dirty = True

    def changed_term(self) -> None:
        self.dirty = self.dirty_term = True

    def snapped(self, index: int) -> None:
        self.dirty = self.new_snapshot = True
        self.unsaved = max(self.unsaved, index + 1)

    def cut(self, index: int) -> None:
        """That entry and all behind it are void, here and in what is on its way."""
        self.dirty = True
        self.unsaved = min(self.unsaved, index)
        self.durable = min(self.durable, index - 1)
        self.pending = deque((number, min(last, index - 1)) for number, last in self.pending)

    def replaced(self, index: int) -> None:
        """The whole log is: a snapshot up to that index stands in its place, once it is saved."""
        self.cut(1)
        self.unsaved = index + 1
        self.new_snapshot = True

    def needs(self) -> int:
        """The save that must be confirmed before anything is said that rests on the term and the vote."""
        return self.number + 1 if self.dirty_term else self.term_number

    def make(self, term: int, vote: int, entries: Entries) -> Save:
        self.number += 1
        if self.dirty_term:
            self.term_number = self.number
        first = max(self.unsaved, entries.base + 1)
        chosen = entries.from_(first, 1 << 62)
        snapshot = entries.snapshot if self.new_snapshot else None
        self.dirty = self.dirty_term = self.new_snapshot = False
        self.unsaved = entries.last + 1
        self.pending.append((self.number, entries.last))
        return Save(self.number, term, vote, first, chosen, entries.last, entries.base, snapshot)

    def saved(self, number: int) -> bool:
        """All saves up to that number are on the disk. Is more of the log there than before?"""
        self.confirmed = max(self.confirmed, number)
        before = self.durable
        while self.pending and self.pending[0][0] <= number:
            self.durable = self.pending.popleft()[1]
        return self.durable > before
