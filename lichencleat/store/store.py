"""Store: the engine for a program on a reactor, with Deferreds, group commit and maintenance between writes.

In the reactor's thread, the store only queues calls and delivers results. Other threads do the disk I/O; one
of these threads writes. Batches that arrive while a group is written form the next group. A batch that does
not fit the queue is rejected immediately.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from typing import ParamSpec, TypeVar

from twisted.internet.defer import Deferred, fail, succeed
from twisted.python.failure import Failure

from lichencleat.store.batch import Batch
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.disk import Disk, RealDisk
from lichencleat.store.engine import STEP_BYTES, Engine
from lichencleat.store.errors import ClosedError, FullError, Limit, StoreError
from lichencleat.store.index import Snapshot
from lichencleat.store.reader import CHUNK_ENTRIES
from lichencleat.store.threads import Executor, StoreThreads, ThreadedReactor, Timer

MAX_QUEUED_BATCHES = 4_096  # limit on the waiting batches: some 20 groups on a disk that flushes in 1 ms
MAX_QUEUED_BYTES = 64 << 20  # limit on the size of the waiting batches
MAX_GROUP_BATCHES = 512  # limit on the batches that one flush confirms; the next group waits a few ms
MAX_GROUP_BYTES = 4 << 20  # limit on the size of a group, unless a single batch is larger
MAX_READS = 1_024  # limit on the reads that run or wait for a thread
READER_THREADS = 2  # more threads would wait for the interpreter lock
MAINTENANCE_INTERVAL_S = 1.0  # pause after a maintenance step that had nothing to do or failed
MAX_GROUPS_BETWEEN_STEPS = 16  # after this number of groups, a maintenance step runs before the next group

P = ParamSpec("P")
R = TypeVar("R")


class QueuedBatch:
    """A batch in the queue. `done` fires with None when the batch is confirmed, or with a StoreError."""

    __slots__ = ("batch", "done")

    def __init__(self, batch: Batch) -> None:
        self.batch = batch
        self.done: Deferred[None] = Deferred()


class Store:
    """Owns the engine until `close`. All methods are called in the reactor's thread."""

    def __init__(
        self,
        reactor: ThreadedReactor,
        engine: Engine,
        run_in_writer: Executor,
        run_in_reader: Executor,
        maintenance: bool = True,
    ) -> None:
        """Create the store and start the first step of maintenance, unless the owner runs maintenance.

        Args:
            reactor: Runs the timer for maintenance steps.
            engine: An open engine.
            run_in_writer: Runs calls one after another.
            run_in_reader: Runs calls, several of them concurrently.
            maintenance: Whether the store runs maintenance; otherwise the owner calls `step`.
        """
        self.reactor = reactor
        self.engine = engine
        self.run_in_writer = run_in_writer
        self.run_in_reader = run_in_reader
        self.maintenance = maintenance
        self.queue: deque[QueuedBatch] = deque()
        self.queued_bytes = 0
        self.pending_reads = 0
        self.writing = False  # whether the writer thread writes a group, runs a maintenance step or closes
        self.groups_since_step = 0  # groups written since the last maintenance step
        self.idle = False  # whether the last maintenance step had nothing to do or failed
        self.maintenance_timer: Timer | None = None
        self.closing: Deferred[None] | None = None  # fires when the engine is closed; None before `close`
        self.on_closed: Callable[[], None] = lambda: None  # called when the engine is closed
        self.last_error = ""  # message of the last failed step of maintenance
        self._start_next_write()

    # -- writing -----------------------------------------------------------------------------------

    def put(self, key: bytes, value: bytes, expiry: int = 0) -> Deferred[None]:
        """Set a key's value; fires once the entry survives a power cut.

        `expiry` is in µs of Unix time, 0 for none. Raises BadRecordError if an argument is outside its
        limits. The Deferred fails with the errors of `commit`.
        """
        return self.commit(Batch().put(key, value, expiry))

    def delete(self, key: bytes) -> Deferred[None]:
        """Delete a key if it exists; fires once the deletion survives a power cut.

        Raises BadRecordError if the key is outside its limits. The Deferred fails with the errors of
        `commit`.
        """
        return self.commit(Batch().delete(key))

    def commit(self, batch: Batch) -> Deferred[None]:
        """Write all changes of a batch or none; fires once the changes survive a power cut.

        The Deferred fails with FullError (immediately if the queue is full), NotConfirmedError or
        ClosedError.
        """
        if self.closing is not None:
            return fail(ClosedError())
        if len(self.queue) >= MAX_QUEUED_BATCHES or self.queued_bytes + batch.bytes > MAX_QUEUED_BYTES:
            detail = f"({MAX_QUEUED_BATCHES}, {MAX_QUEUED_BYTES} bytes)"
            return fail(FullError(Limit.QUEUED_WRITES, detail))
        queued = QueuedBatch(batch)
        self.queue.append(queued)
        self.queued_bytes += batch.bytes
        self._start_next_write()
        return queued.done

    def _start_next_write(self) -> None:
        """Start the next call in the writer thread, unless a call runs.

        The call writes a group, runs a maintenance step or closes the engine.
        """
        if self.writing:
            return
        step_due = (
            self.maintenance and self.groups_since_step >= MAX_GROUPS_BETWEEN_STEPS and self.closing is None
        )
        if self.queue and not step_due:
            self.groups_since_step += 1
            group = self._take_group()
            self.writing = True
            batches = [each.batch for each in group]
            self.run_in_writer(self.engine.commit, batches).addBoth(self._on_group_committed, group)
        elif self.closing is not None:
            self.writing = True
            self.run_in_writer(self.engine.close).addBoth(self._on_engine_closed)
        elif self.maintenance and (step_due or not self.idle):
            self.groups_since_step = 0
            self.writing = True
            self.run_in_writer(self.engine.step, STEP_BYTES).addBoth(self._on_step_done)

    def _take_group(self) -> list[QueuedBatch]:
        group: list[QueuedBatch] = []
        size = 0
        while self.queue and len(group) < MAX_GROUP_BATCHES:
            size += self.queue[0].batch.bytes
            if group and size > MAX_GROUP_BYTES:
                break
            group.append(self.queue.popleft())
            self.queued_bytes -= group[-1].batch.bytes
        return group

    def _on_group_committed(
        self, errors: Sequence[StoreError | None] | Failure, group: list[QueuedBatch]
    ) -> None:
        self.writing = False
        self._start_next_write()  # before the callbacks, so that the disk works while the callbacks run
        for position, each in enumerate(group):
            error = errors if isinstance(errors, Failure) else errors[position]
            if error is None:
                each.done.callback(None)
            else:
                each.done.errback(error)

    # -- maintenance -------------------------------------------------------------------------------

    def step(self, budget: int = STEP_BYTES) -> Deferred[int]:
        """Do one step of maintenance, for an owner that runs maintenance itself.

        Fires with the estimated bytes left of the current maintenance job, 0 if no job is due.
        """
        if self.closing is not None:
            return succeed(0)
        return self.run_in_writer(self.engine.step, budget)

    def _on_step_done(self, result: int | Failure) -> None:
        self.writing = False
        self.idle = isinstance(result, Failure) or result == 0
        if isinstance(result, Failure):
            self.last_error = result.getErrorMessage()
        if self.idle and self.maintenance_timer is None and self.closing is None:
            self.maintenance_timer = self.reactor.callLater(
                MAINTENANCE_INTERVAL_S, self._on_maintenance_timer
            )
        self._start_next_write()

    def _on_maintenance_timer(self) -> None:
        self.maintenance_timer = None
        self.idle = False
        self._start_next_write()

    # -- reading -----------------------------------------------------------------------------------

    def get(self, key: bytes) -> Deferred[bytes | None]:
        """Read a key's value; fires with None if the key is missing or the entry has expired.

        The Deferred fails with CorruptDataError, ClosedError, or FullError at the limit on reads.
        """
        return self.submit_read(self.engine.get, key)

    def snapshot(self) -> Snapshot:
        """Take a snapshot of the confirmed entries, which the caller passes to `release` later.

        Raises FullError at the limit on snapshots, or ClosedError.
        """
        return self.engine.snapshot()

    def release(self, snapshot: Snapshot) -> None:
        """Close a snapshot and release the files that were kept open for it."""
        self.engine.release(snapshot)

    def chunk(
        self, snapshot: Snapshot, cursor: bytes = b"", prefix: bytes = b"", limit: int = CHUNK_ENTRIES
    ) -> Deferred[list[tuple[bytes, bytes]]]:
        """Read up to `limit` keys and values of a snapshot from `cursor` on, in order of keys.

        Only keys that begin with `prefix` are read. The next chunk's cursor is the last key followed by a
        zero byte. The last chunk is empty.
        """
        return self.submit_read(self.engine.chunk, snapshot, cursor, prefix, limit)

    def scan(self, prefix: bytes = b"") -> Iterator[tuple[bytes, bytes]]:
        """Yield the keys that begin with `prefix` and their values, in order of keys.

        The reads block the calling thread, so a reactor's thread should call this only without other work.
        """
        return self.engine.scan(prefix)

    def submit_read(self, call: Callable[P, R], *args: P.args, **kwargs: P.kwargs) -> Deferred[R]:
        """Run a call that reads the store in a reader thread; fires with the result.

        The Deferred fails with the error of the call, with ClosedError, or with FullError at the limit on
        reads.
        """
        if self.closing is not None:
            return fail(ClosedError())
        if self.pending_reads >= MAX_READS:
            return fail(FullError(Limit.QUEUED_READS, f"({MAX_READS})"))
        self.pending_reads += 1
        return self.run_in_reader(call, *args, **kwargs).addCallbacks(
            self._on_read_done, self._on_read_failed
        )

    def _on_read_done(self, result: R) -> R:
        self.pending_reads -= 1
        return result

    def _on_read_failed(self, failure: Failure) -> Failure:
        self.pending_reads -= 1
        return failure

    # -- shutdown ----------------------------------------------------------------------------------

    def close(self) -> Deferred[None]:
        """Write the queued batches, then close the engine; fires once the directory is unlocked."""
        if self.closing is None:
            self.closing = Deferred()
            if self.maintenance_timer is not None:
                self.maintenance_timer.cancel()
                self.maintenance_timer = None
            self._start_next_write()
        done: Deferred[None] = Deferred()

        def on_closed(result: None) -> None:
            done.callback(None)

        self.closing.addCallback(on_closed)
        return done

    def _on_engine_closed(self, result: None | Failure) -> None:
        self.on_closed()
        assert self.closing is not None
        self.closing.callback(None)

    def stat(self) -> dict[str, int]:
        """Return the engine's sizes and counts, and the sizes of the queues."""
        return {
            **self.engine.stat(),
            "waiting writes": len(self.queue),
            "waiting bytes": self.queued_bytes,
            "waiting reads": self.pending_reads,
        }


def open_store(
    reactor: ThreadedReactor,
    path: str,
    clock: Callable[[], int],
    rng: random.Random,
    limits: StoreLimits | None = None,
    create: bool = True,
    maintenance: bool = True,
    disk: Disk | None = None,
) -> Deferred[Store]:
    """Open the store in a directory without blocking the reactor's thread.

    Two reader threads and one writer thread run until `close`.

    Args:
        reactor: Twisted's reactor.
        path: Path of the directory.
        clock: Returns µs of Unix time.
        rng: Source of the salts of new files.
        limits: Limits on the store's size.
        create: Whether to create the directory and the store if they are missing.
        maintenance: Whether the store runs maintenance; otherwise the owner calls `Store.step`.
        disk: Used in place of the directory at `path`.

    Returns:
        Fires with the store; fails with CannotOpenError, CorruptDataError, FullError or NotConfirmedError.
    """
    threads = StoreThreads(reactor, READER_THREADS)

    def open_engine() -> Engine:
        return Engine.open(disk or RealDisk(path, create), clock, rng, limits, create, path)

    def on_opened(engine: Engine) -> Store:
        store = Store(reactor, engine, threads.run_in_writer, threads.run_in_reader, maintenance)
        store.on_closed = threads.stop
        return store

    def on_failed(failure: Failure) -> Failure:
        threads.stop()
        return failure

    return threads.run_in_writer(open_engine).addCallbacks(on_opened, on_failed)
