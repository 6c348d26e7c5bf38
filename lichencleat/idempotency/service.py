"""The idempotency service of a node: loads the records, holds requests meanwhile, writes the heartbeat.

Every wait of a request for the disk ends: with the disk's answer, at the time limit for a slow disk, or at
the request's own deadline.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Generator
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred, inlineCallbacks, succeed

from lichencleat.decode_errors import UNDECODABLE
from lichencleat.idempotency.earlier_runs import EarlierRuns
from lichencleat.idempotency.index import RecordIndex
from lichencleat.idempotency.intents import IntentLog
from lichencleat.idempotency.interfaces import PendingRequest, Report, RequestEngine, Timers
from lichencleat.idempotency.lookups import RecordLookup
from lichencleat.idempotency.node_time import NodeTime
from lichencleat.idempotency.ownership import check_ownership
from lichencleat.idempotency.records import (
    HEARTBEAT_KEY,
    OWNERSHIP_KEY,
    RECORD_PREFIX,
    decode_heartbeat,
    decode_record,
    encode,
)
from lichencleat.idempotency.writer import RecordWriter
from lichencleat.store.batch import Batch
from lichencleat.store.store import Store

HEARTBEAT_INTERVAL_US = 1_000_000  # time between heartbeats, which also detect that a failed disk works again
POLL_INTERVAL_US = 50_000  # time between checks for waits that are too long, while requests or writes wait
MAX_PENDING_ARRIVALS = 4_096  # limit on the requests, of all connections, that wait for the index: some MB
MAX_ARRIVAL_WAIT_US = 1_500_000  # longest wait of a request for the index; most indexes are loaded by then
LOAD_CHUNK = 4_000  # number of records loaded at once, which blocks the reactor for some 15 ms

Get = Callable[[bytes], bytes | None]


class PendingArrival(NamedTuple):
    """A request that waits until the index is loaded."""

    case: PendingRequest
    since: int  # µs of the monotonic clock: when the request arrived


class IdempotencyService:
    """Owns the store, and the requests that wait for the index; `close` closes the store."""

    def __init__(
        self,
        node: str,
        engine: RequestEngine,
        timers: Timers,
        report: Report,
        clock: Callable[[], int],
        index: RecordIndex,
    ) -> None:
        """`clock` gives µs of Unix time."""
        self._node = node
        self._engine = engine
        self._timers = timers
        self._report = report
        self._time = NodeTime(timers, clock)
        self._writer = RecordWriter(index, timers, report, self._schedule_poll, self._update_availability)
        self._earlier_runs = EarlierRuns(index, self._writer, self._time, engine, timers, report)
        self._lookup = RecordLookup(
            index, self._writer, self._earlier_runs, self._time, engine, timers, report
        )
        self.intents = IntentLog(
            index, self._writer, self._time, engine, timers, report, self._update_availability
        )
        self.index = index
        self.pending_arrivals: deque[PendingArrival] = deque()
        # Callbacks of other parts of the node that have records in the store. Those in `on_opened` read the
        # store at the start. Those in `heartbeat_records` return a key and a value to write with each
        # heartbeat; their argument is True for the last heartbeat before a graceful shutdown.
        self.on_opened: list[Callable[[Get], None]] = []
        self.heartbeat_records: list[Callable[[bool], tuple[bytes, bytes]]] = []
        self._is_available: bool | None = None  # the last value that was set on the engine
        self._is_polling = False
        self._is_closed = False
        self._unwritten_ownership: bytes | None = None  # record to write with the next heartbeat

    @inlineCallbacks
    def start(self, store: Store, directory_id: int) -> Generator[Deferred[Any], Any, None]:
        """Loads the records, while the node serves requests without a key.

        Fails with ForeignDirectoryError, before anything is written, if the directory is not this node's.

        Args:
            store: The open store.
            directory_id: Inode of the store's directory.
        """
        self._writer.store = store
        self._unwritten_ownership = check_ownership(store, self._node, directory_id)
        for on_opened in self.on_opened:
            on_opened(store.engine.get)
        stored = store.engine.get(HEARTBEAT_KEY)
        self._time.resume(None if stored is None else decode_heartbeat(stored))
        yield self._load_index(store)
        self._on_index_loaded()

    def on_arrival(self, case: PendingRequest) -> bool:
        """Returns whether the engine may continue a keyed request now.

        Otherwise this service holds the request until the index is loaded, or answers it with an error.
        """
        if self.index.is_loaded:
            return self._lookup.admit(case)
        if len(self.pending_arrivals) >= MAX_PENDING_ARRIVALS or self._is_closed:
            self._engine.fail_request(case)
        else:
            self.pending_arrivals.append(PendingArrival(case, self._timers.now()))
            self._schedule_poll()
        return False

    def answer_repeat(self, case: PendingRequest) -> None:
        """Answers a repeat whose first request is not in flight on this node."""
        self._lookup.answer_repeat(case)

    def on_interpreter_started(self, age: int) -> None:
        """Handles the connection of an interpreter that started `age` µs ago."""
        self._earlier_runs.on_interpreter_started(age)

    def close(self) -> Deferred[None]:
        """Closes the store; fires when all writes are durable and the directory is unlocked."""
        self._is_closed = True
        store = self._writer.store
        if store is None:
            return succeed(None)
        if self.index.is_loaded and not self._writer.failure:
            self._writer.write_and_forget(self._heartbeat_batch(True))
        return store.close()

    def describe(self) -> str:
        """Describes the state in one line, for the log."""
        index, writer = self.index, self._writer
        return (
            f"{len(index.rows)} records, {index.disk_bytes >> 10} KB, "
            f"{len(index.earlier_runs)} earlier runs open; "
            f"{len(self.intents.pending_starts)} starts and {len(writer.in_flight)} writes pending, "
            f"the last write took {writer.last_write_us // 1000} ms; disk {self._describe_disk()}"
        )

    def _describe_disk(self) -> str:
        if not self.index.is_loaded:
            return "not read yet"
        return self._writer.failure or ("slow" if self._writer.is_slow else "well")

    @inlineCallbacks
    def _load_index(self, store: Store) -> Generator[Deferred[Any], Any, None]:
        now = self._time.now()
        snapshot = store.snapshot()
        cursor = RECORD_PREFIX
        while not self._is_closed:
            chunk = yield store.chunk(snapshot, cursor, RECORD_PREFIX, LOAD_CHUNK)
            if not chunk:
                break
            expired = [key for key, value in chunk if not self._restore(key, value, now)]
            if expired:
                self._writer.delete(expired)
            cursor = chunk[-1][0] + b"\0"
        store.release(snapshot)

    def _restore(self, key: bytes, value: bytes, now: int) -> bool:
        """Adds a stored record to the index; returns False if it has expired or can't be decoded."""
        try:
            return self.index.restore(key, decode_record(value), now)
        except UNDECODABLE:
            self._report.count("keyed", "entries unreadable")
            return False

    def _on_index_loaded(self) -> None:
        self.index.is_loaded = True
        records = len(self.index.rows)
        without_result = len(self.index.earlier_runs)
        self._earlier_runs.adopt_all()
        self._report.note(
            f"keyed: index loaded: {records} records, {without_result} of them without a result"
        )
        self._send_heartbeat()
        self._update_availability()
        arrivals = self.pending_arrivals
        self.pending_arrivals = deque()
        for case, _ in arrivals:
            if case.open and self._lookup.admit(case):
                self._engine.submit_request(case)

    def _update_availability(self) -> None:
        """Tells the engine whether keyed requests can be admitted, if this has changed."""
        writer = self._writer
        is_ready = self.index.is_loaded and not writer.failure
        is_available = is_ready and not writer.is_slow and self.index.has_capacity()
        if is_available == self._is_available:
            return
        self._is_available = is_available
        if is_ready and not is_available:
            reason = "the disk is slow" if writer.is_slow else "no room for more records"
            self._report.note(f"keyed: {reason}; keyed requests are rejected")
        self._engine.set_recording_available(is_available)

    def _schedule_poll(self) -> None:
        if not self._is_polling and not self._is_closed:
            self._is_polling = True
            self._timers.after(POLL_INTERVAL_US, self._poll)

    def _poll(self) -> None:
        """Ends the waits that have lasted too long."""
        self._is_polling = False
        now = self._timers.now()
        self._update_availability()
        self.intents.withdraw_late_starts(now)
        while self.pending_arrivals and now - self.pending_arrivals[0].since > MAX_ARRIVAL_WAIT_US:
            self._engine.fail_request(self.pending_arrivals.popleft().case)
        if self._writer.in_flight or self.pending_arrivals:
            self._schedule_poll()

    def _send_heartbeat(self) -> None:
        """Writes the heartbeat, and removes expired records and overdue runs."""
        if self._is_closed:
            return
        if not self._writer.in_flight:  # a heartbeat would only wait behind the other writes
            self._write_heartbeat()
        self._earlier_runs.discard_overdue()
        self._update_availability()
        self._timers.after(HEARTBEAT_INTERVAL_US, self._send_heartbeat)

    def _write_heartbeat(self) -> None:
        batch = self._heartbeat_batch(False)
        if self._unwritten_ownership is not None:
            batch.put(OWNERSHIP_KEY, self._unwritten_ownership)
        for key in self.index.remove_expired(self._time.now()):
            batch.delete(key)
        self._writer.write(batch).addCallbacks(self._on_heartbeat_written, lambda failure: None)

    def _on_heartbeat_written(self, _: None) -> None:
        self._unwritten_ownership = None

    def _heartbeat_batch(self, is_last: bool) -> Batch:
        batch = Batch().put(HEARTBEAT_KEY, encode(self._time.heartbeat()))
        for make_record in self.heartbeat_records:
            batch.put(*make_record(is_last))
        return batch
