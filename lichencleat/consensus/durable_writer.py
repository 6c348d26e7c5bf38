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

from lichencleat.consensus.log_storage import LogStorage
from lichencleat.consensus.messages import DurableWrite
from lichencleat.store.batch import Batch
from lichencleat.store.store import Store


class DurableWriter:
    """Bounded by what a leader takes (`leading.WAITING_MOST`) or sends ahead (`following.AHEAD_MOST`)."""

    def __init__(
        self, store: Store, journal: LogStorage, saved: Callable[[int], None], failed: Callable[[Any], None]
    ) -> None:
        """`saved` is told the number of each, in order; `failed` a Failure, and nothing is written then."""
        self.store, self.storage, self.on_durable, self.on_failed = store, journal, saved, failed
        self.queue: deque[tuple[DurableWrite, Iterator[Batch]]] = deque()
        self.has_failed = False

    def write(self, save: DurableWrite) -> None:
        self.queue.append((save, self.storage.chunk_batches(save)))
        if len(self.queue) == 1:
            self.write_next()

    def write_next(self) -> None:
        while self.queue and not self.has_failed:
            save, pieces = self.queue[0]
            piece = next(pieces, None)
            if piece is not None:
                self.commit(piece, self.write_next)
                return
            self.queue.popleft()
            self.commit(self.storage.make_batch(save), lambda number=save.number: self.on_durable(number))

    def commit(self, batch: Batch, then: Callable[[], None]) -> None:
        self.store.commit(batch).addCallback(lambda _: then()).addErrback(self.fail)

    def fail(self, failure: Any) -> None:
        self.has_failed = True
        self.on_failed(failure)
