"""The store for a program on a reactor: Deferreds, group commit, one writer, upkeep between the writes.

What the reactor's thread does here is queue and look up; the disk is asked in other threads, one of which
writes. A write waits at most for the group under way; what does not fit the queue is refused at once.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any, Protocol

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.threads import deferToThreadPool
from twisted.python.failure import Failure
from twisted.python.threadpool import ThreadPool

from lichencleat.store import errors as bounds
from lichencleat.store.batch import Batch
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.disk import Disk, RealDisk
from lichencleat.store.engine import STEP_BYTES, Engine
from lichencleat.store.errors import ClosedError, FullError, StoreError
from lichencleat.store.index import Snapshot
from lichencleat.store.reader import CHUNK_ENTRIES

MAX_QUEUED_BATCHES = 4_096  # batches that wait for the writer: some 20 groups on a disk that flushes in 1 ms
MAX_QUEUED_BYTES = 64 << 20  # of these batches
MAX_GROUP_BATCHES = 512  # batches that one flush confirms: what one group keeps the next one waiting, some ms
MAX_GROUP_BYTES = 4 << 20  # of these, unless one batch alone has more
MAX_READS = 1_024  # reads under way or waiting for a thread
READER_THREADS = 2  # threads: more would only wait for the interpreter's lock
MAINTENANCE_INTERVAL_S = 1.0  # s until upkeep is looked at again when there was none, or when it failed
MAX_GROUPS_BETWEEN_STEPS = 16  # groups that are written, at the most, before a step of upkeep has its turn

Work = Callable[..., "Deferred[Any]"]
"""Calls a function with its arguments where it may wait for the disk; gives what it returns or raises."""


class IReactorThreads(Protocol):
    """What is needed of Twisted's reactor."""

    def callLater(self, delay: float, call: Callable, *args: Any) -> Any: ...

    def callFromThread(self, call: Callable, *args: Any) -> None: ...


class QueuedBatch:
    """A batch in the queue. Its Deferred fires once: with None when it is confirmed, with a StoreError when
    not.
    """

    __slots__ = ("batch", "told")

    def __init__(self, batch: Batch) -> None:
        self.batch = batch
        self.told: Deferred[None] = Deferred()


class Store:
    """Owns the engine; `close` gives everything back. All methods are called in the reactor's thread."""

    def __init__(
        self, reactor: IReactorThreads, engine: Engine, write: Work, read: Work, maintenance: bool = True
    ) -> None:
        """`write` does one call after another, `read` may do several at once. Without `maintenance`, who owns it
        calls `step`.
        """
        self.reactor, self.engine = reactor, engine
        self.run_in_writer, self.run_in_reader = write, read
        self.maintenance = maintenance
        self.queue: deque[QueuedBatch] = deque()
        self.queued_bytes = 0
        self.reads = 0
        self.writing = False  # a group or a step is under way
        self.groups_since = 0  # groups since the last step
        self.idle = False  # the last step found nothing to do
        self.again: Any = None  # the timer of the next look at upkeep
        self.closing: Deferred[None] | None = None
        self.ended: Callable[[], None] = lambda: None  # gives the threads back
        self.last_error = ""  # what upkeep failed with last
        self.start_next_write()

    # -- writing -----------------------------------------------------------------------------------

    def put(self, key: bytes, value: bytes, expiry: int = 0) -> Deferred[None]:
        """Fires once the entry survives a cut. `expiry`: µs of Unix time, 0 for none. Raises
        BadRecordError.
        """
        return self.commit(Batch().put(key, value, expiry))

    def delete(self, key: bytes) -> Deferred[None]:
        return self.commit(Batch().delete(key))

    def commit(self, batch: Batch) -> Deferred[None]:
        """All changes or none. Fails with FullError, naming the bound, or NotConfirmedError; at once at the
        queue's bound.
        """
        if self.closing is not None:
            return fail(ClosedError("the store is closed"))
        if len(self.queue) >= MAX_QUEUED_BATCHES or self.queued_bytes + batch.bytes > MAX_QUEUED_BYTES:
            return fail(FullError(bounds.QUEUE, f" ({MAX_QUEUED_BATCHES}, {MAX_QUEUED_BYTES} bytes)"))
        waiting = QueuedBatch(batch)
        self.queue.append(waiting)
        self.queued_bytes += batch.bytes
        self.start_next_write()
        return waiting.told

    def start_next_write(self) -> None:
        """Gives the writer its next call, if it has none: a group, a step of upkeep, or the closing."""
        if self.writing:
            return
        turn = self.maintenance and self.groups_since >= MAX_GROUPS_BETWEEN_STEPS and self.closing is None
        if self.queue and not turn:
            self.groups_since += 1
            group = self.take()
            self.writing = True
            self.run_in_writer(self.engine.commit, [each.batch for each in group]).addBoth(
                self.on_group_committed, group
            )
        elif self.closing is not None:
            self.writing = True
            self.run_in_writer(self.engine.close).addBoth(self.end)
        elif self.maintenance and (turn or not self.idle):
            self.groups_since = 0
            self.writing = True
            self.run_in_writer(self.engine.step, STEP_BYTES).addBoth(self.on_step_done)

    def take(self) -> list[QueuedBatch]:
        group: list[QueuedBatch] = []
        size = 0
        while self.queue and len(group) < MAX_GROUP_BATCHES:
            size += self.queue[0].batch.bytes
            if group and size > MAX_GROUP_BYTES:
                break
            group.append(self.queue.popleft())
            self.queued_bytes -= group[-1].batch.bytes
        return group

    def on_group_committed(
        self, verdicts: list[StoreError | None] | Failure, group: list[QueuedBatch]
    ) -> None:
        self.writing = False
        self.start_next_write()  # the disk first: who is told now writes again in the next group
        for at, each in enumerate(group):
            verdict = verdicts if isinstance(verdicts, Failure) else verdicts[at]
            if verdict is None:
                each.told.callback(None)
            else:
                each.told.errback(verdict)

    def on_step_done(self, left: int | Failure) -> None:
        self.writing = False
        self.idle = isinstance(left, Failure) or left == 0
        if isinstance(left, Failure):
            self.last_error = left.getErrorMessage()
        if self.idle and self.again is None and self.closing is None:
            self.again = self.reactor.callLater(MAINTENANCE_INTERVAL_S, self.on_maintenance_timer)
        self.start_next_write()

    def on_maintenance_timer(self) -> None:
        self.again = None
        self.idle = False
        self.start_next_write()

    def step(self, budget: int = STEP_BYTES) -> Deferred[int]:
        """One piece of upkeep, for an owner that drives it itself; bytes left, 0 where nothing is left to
        do.
        """
        if self.closing is not None:
            return succeed(0)
        return self.run_in_writer(self.engine.step, budget)

    # -- reading -----------------------------------------------------------------------------------

    def get(self, key: bytes) -> Deferred[bytes | None]:
        """The value, or None. Fails with DamagedError, or with FullError where too many reads wait."""
        return self.submit_read(self.engine.get, key)

    def snapshot(self) -> Snapshot:
        """The entries as confirmed now; give it back with `release`. Raises FullError, ClosedError."""
        return self.engine.snapshot()

    def release(self, snapshot: Snapshot) -> None:
        self.engine.release(snapshot)

    def chunk(
        self, snapshot: Snapshot, cursor: bytes = b"", prefix: bytes = b"", most: int = CHUNK_ENTRIES
    ) -> Deferred[list[tuple[bytes, bytes]]]:
        """Up to `most` keys and values in order from `cursor` on; the last chunk is empty."""
        return self.submit_read(self.engine.chunk, snapshot, cursor, prefix, most)

    def scan(self, prefix: bytes = b"") -> Iterator[tuple[bytes, bytes]]:
        """All at once, waiting for the disk: for programs without a reactor to keep free."""
        return self.engine.scan(prefix)

    def submit_read(self, call: Callable, *args: Any) -> Deferred[Any]:
        if self.closing is not None:
            return fail(ClosedError("the store is closed"))
        if self.reads >= MAX_READS:
            return fail(FullError(bounds.READS, f" ({MAX_READS})"))
        self.reads += 1
        return self.run_in_reader(call, *args).addBoth(self.on_read_done)

    def on_read_done(self, result: Any) -> Any:
        self.reads -= 1
        return result

    # -- ending ------------------------------------------------------------------------------------

    def close(self) -> Deferred[None]:
        """What was queued is written and told first. Fires once the directory is given back."""
        if self.closing is None:
            self.closing = Deferred()
            if self.again is not None:
                self.again.cancel()
                self.again = None
            self.start_next_write()
        told: Deferred[None] = Deferred()
        self.closing.addBoth(lambda result: told.callback(None) or result)
        return told

    def end(self, result: Any) -> None:
        self.ended()
        assert self.closing is not None
        self.closing.callback(None)

    def stat(self) -> dict[str, int]:
        return {
            **self.engine.stat(),
            "waiting writes": len(self.queue),
            "waiting bytes": self.queued_bytes,
            "waiting reads": self.reads,
        }


def open_store(
    reactor: Any,
    path: str,
    clock: Callable[[], int],
    rng: random.Random,
    most: StoreLimits | None = None,
    create: bool = True,
    maintenance: bool = True,
    disk: Disk | None = None,
) -> Deferred[Store]:
    """The store in that directory, opened off the reactor's thread. Fails with UnfitError, DamagedError,
    FullError.

    `clock` gives µs of Unix time; `rng` gives the salts of new files. Two threads read and one writes until
    `close`.
    """
    writers = ThreadPool(1, 1, "store-writer")
    readers = ThreadPool(0, READER_THREADS, "store-reader")
    writers.start()
    readers.start()

    def stop() -> None:  # not in the thread that ends: a pool waits for its own threads
        reactor.callInThread(readers.stop)
        reactor.callInThread(writers.stop)

    def opened() -> Engine:
        return Engine.open(disk or RealDisk(path, create), clock, rng, most, create, path)

    def made(engine: Engine) -> Store:
        store = Store(reactor, engine, in_pool(reactor, writers), in_pool(reactor, readers), maintenance)
        store.ended = stop
        return store

    def failed(why: Failure) -> Failure:
        stop()
        return why

    return in_pool(reactor, writers)(opened).addCallbacks(made, failed)


def in_pool(reactor: Any, pool: ThreadPool) -> Work:
    return lambda call, *args: deferToThreadPool(reactor, pool, call, *args)
