"""Writes records to the store, and determines whether the disk is healthy, slow or failing."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from lichencleat.idempotency.index import RecordIndex
from lichencleat.idempotency.interfaces import Report, Timers
from lichencleat.idempotency.records import IdempotencyRecord, encode
from lichencleat.store.batch import Batch
from lichencleat.store.errors import StoreError
from lichencleat.store.store import Store

# The disk is slow while a write takes longer; then no new run waits for the disk. A healthy disk flushes in a
# few ms.
SLOW_WRITE_US = 250_000
# Limit on the results that are kept for a retry after a failed write; repeats of other requests get an error
# after a restart.
MAX_UNWRITTEN_RESULTS = 1_024


class UnwrittenResult(NamedTuple):
    """A record with the outcome of a run that the disk failed to write."""

    version: int  # version of the record in the index
    record: IdempotencyRecord


class RecordWriter:
    """Tracks writes in flight, and retries results that the disk failed to write."""

    def __init__(
        self,
        index: RecordIndex,
        timers: Timers,
        report: Report,
        on_write_started: Callable[[], None],
        on_write_finished: Callable[[], None],
    ) -> None:
        self._index = index
        self._timers = timers
        self._report = report
        self._on_write_started = on_write_started
        self._on_write_finished = on_write_finished
        self._last_number = 0
        self._unwritten: dict[bytes, UnwrittenResult] = {}  # by record key: results to write again
        # By number of each write in flight: µs of the monotonic clock when the write began. The limit of the
        # store's queue also limits the number of writes in flight.
        self.in_flight: dict[int, int] = {}
        self.failure = ""  # the disk's last error, empty while the disk works
        self.last_write_us = 0  # duration of the last successful write
        self.store: Store | None = None

    @property
    def is_slow(self) -> bool:
        """Whether the oldest write in flight has taken longer than `SLOW_WRITE_US`."""
        oldest = next(iter(self.in_flight.values()), None)
        return oldest is not None and self._timers.now() - oldest > SLOW_WRITE_US

    def write(self, batch: Batch) -> Deferred[None]:
        """Commits a batch; fires when the batch is durable, or fails with the store's error."""
        assert self.store is not None
        self._last_number += 1
        number = self._last_number
        started = self._timers.now()
        self.in_flight[number] = started
        committed = self.store.commit(batch)
        committed.addCallbacks(
            self._on_written, self._on_write_failed, callbackArgs=(number, started), errbackArgs=(number,)
        )
        self._on_write_started()
        return committed

    def write_and_forget(self, batch: Batch) -> None:
        """Commits a batch whose loss is harmless; errors are ignored."""
        self.write(batch).addErrback(lambda failure: None)

    def delete(self, keys: list[bytes]) -> None:
        """Deletes records; if the write fails, the records stay on disk until they expire after a restart."""
        batch = Batch()
        for key in keys:
            batch.delete(key)
        self.write_and_forget(batch)

    def write_result(self, key: bytes, version: int, record: IdempotencyRecord) -> Deferred[None]:
        """Writes a record with the outcome of a run; the Deferred fires also if the write fails.

        A failed write is repeated when the disk works again. Nothing is written if the key's record has
        another version: the window of the run has ended, and the record is another request's.
        """
        if self._index.version(key) != version:
            self._report.count("keyed", "results of replaced records")
            return succeed(None)
        written = UnwrittenResult(self._index.put(key, record), record)

        def keep_for_retry(failure: Failure) -> None:
            if len(self._unwritten) < MAX_UNWRITTEN_RESULTS:
                self._unwritten[key] = written

        return self.write(Batch().put(key, encode(record))).addErrback(keep_for_retry)

    def on_disk_failure(self, failure: Failure) -> None:
        """Counts a failure of the disk, and logs the failure if it differs from the previous one."""
        self._report.count("keyed", "disk failures")
        message = failure.getErrorMessage()
        if not isinstance(failure.value, StoreError):
            message = f"{type(failure.value).__name__}: {message}"
        if message != self.failure:
            self.failure = message
            self._report.note(f"keyed: {message}; keyed requests are rejected until the disk works again")

    def _on_written(self, _: None, number: int, started: int) -> None:
        del self.in_flight[number]
        self.last_write_us = self._timers.now() - started
        if self.failure:
            self._report.note("keyed: the disk works again")
            self.failure = ""
            self._retry_unwritten()
        self._on_write_finished()

    def _on_write_failed(self, failure: Failure, number: int) -> Failure:
        del self.in_flight[number]
        self.on_disk_failure(failure)
        self._on_write_finished()
        return failure

    def _retry_unwritten(self) -> None:
        """Writes the results of failed writes again, if the index still has their records."""
        unwritten = self._unwritten
        self._unwritten = {}
        for key, result in unwritten.items():
            self.write_result(key, result.version, result.record)
