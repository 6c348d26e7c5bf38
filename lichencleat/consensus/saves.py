"""Saves on their way to the store, in order; before one with a large snapshot its pieces, one after the
other.

So the store's queue holds one piece at a time, and none can be missing under a save that was confirmed. What
comes after waits meanwhile, some 100 ms of a snapshot of 20 MB: proposals are confirmed later, and no leader
is lost by it, as its word rests on the term's save alone.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from typing import Any

from lichencleat.consensus.journal import Journal
from lichencleat.consensus.terms import Save
from lichencleat.store.batch import Batch
from lichencleat.store.store import Store


class Saves:
    """Bounded by what a leader takes (`leading.WAITING_MOST`) or sends ahead (`following.AHEAD_MOST`)."""

    def __init__(
        self, store: Store, journal: Journal, saved: Callable[[int], None], failed: Callable[[Any], None]
    ) -> None:
        """`saved` is told the number of each, in order; `failed` a Failure, and nothing is written then."""
        self.store, self.journal, self.saved, self.failed = store, journal, saved, failed
        self.waiting: deque[tuple[Save, Iterator[Batch]]] = deque()
        self.broken = False

    def write(self, save: Save) -> None:
        self.waiting.append((save, self.journal.pieces(save)))
        if len(self.waiting) == 1:
            self.go_on()

    def go_on(self) -> None:
        while self.waiting and not self.broken:
            save, pieces = self.waiting[0]
            piece = next(pieces, None)
            if piece is not None:
                self.commit(piece, self.go_on)
                return
            self.waiting.popleft()
            self.commit(self.journal.batch(save), lambda number=save.number: self.saved(number))

    def commit(self, batch: Batch, then: Callable[[], None]) -> None:
        self.store.commit(batch).addCallback(lambda _: then()).addErrback(self.end)

    def end(self, failure: Any) -> None:
        self.broken = True
        self.failed(failure)
