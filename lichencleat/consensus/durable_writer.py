"""Passes durable writes to the store in order; the chunks of a large snapshot are passed on before the write.

Each chunk is committed before the next one is passed on, so that the store's queue holds one chunk at a time
and a confirmed write never lacks a chunk. Later writes wait meanwhile, some 100 ms for a snapshot of 20 MB.
This delays the confirmation of proposals. The leader is not deposed, as heartbeats only wait for the write of
the leader's term.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple

from twisted.python.failure import Failure

from lichencleat.consensus.log_storage import LogStorage
from lichencleat.consensus.messages import DurableWrite
from lichencleat.store.batch import Batch
from lichencleat.store.store import Store


class QueuedWrite(NamedTuple):
    """A write, and the batches that must be confirmed before the write is passed on."""

    write: DurableWrite
    chunk_batches: Iterator[Batch]


class DurableWriter:
    """Owns the queue of writes.

    The queue's length is bounded: on a leader by the number of proposals that it accepts
    (`leader.MAX_PENDING_PROPOSALS`), on a follower by the number of messages that the leader sends without a
    response (`progress.MAX_INFLIGHT_MESSAGES`).
    """

    def __init__(
        self,
        store: Store,
        storage: LogStorage,
        on_durable: Callable[[int], None],
        on_failed: Callable[[Failure], None],
    ) -> None:
        """Start with an empty queue.

        `on_durable` is called with the number of each durable write, in order. `on_failed` is called when a
        write fails; no write is passed to the store after that.
        """
        self.store = store
        self.storage = storage
        self.on_durable = on_durable
        self.on_failed = on_failed
        self.queue: deque[QueuedWrite] = deque()
        self.has_failed = False

    def write(self, write: DurableWrite) -> None:
        """Queue a write after all earlier ones."""
        self.queue.append(QueuedWrite(write, self.storage.chunk_batches(write)))
        if len(self.queue) == 1:
            self.write_next()

    def write_next(self) -> None:
        """Pass writes to the store up to the next chunk; the chunk's confirmation calls this method again."""
        while self.queue and not self.has_failed:
            write, chunk_batches = self.queue[0]
            chunk = next(chunk_batches, None)
            if chunk is not None:
                self._commit(chunk, self.write_next)
                return
            self.queue.popleft()
            self._commit(self.storage.make_batch(write), self._make_confirmation(write.number))

    def _make_confirmation(self, number: int) -> Callable[[], None]:
        return lambda: self.on_durable(number)

    def _commit(self, batch: Batch, on_committed: Callable[[], None]) -> None:
        self.store.commit(batch).addCallback(lambda _: on_committed()).addErrback(self._fail)

    def _fail(self, failure: Failure) -> None:
        self.has_failed = True
        self.on_failed(failure)
