"""Writes the records of this process's requests: the intent before a run, the result before the answer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from twisted.python.failure import Failure

from lichencleat.admission.types import Outcome, Request, RequestState
from lichencleat.idempotency.index import IndexRow, LookupResult, RecordIndex
from lichencleat.idempotency.interfaces import PendingRequest, Report, RequestEngine, Timers
from lichencleat.idempotency.node_time import NodeTime
from lichencleat.idempotency.records import IdempotencyRecord, RecordState, encode, split_request_key
from lichencleat.idempotency.writer import SLOW_WRITE_US, RecordWriter
from lichencleat.store.batch import Batch


@dataclass(slots=True)
class PendingStart:
    """A run that waits until its intent is durable."""

    case: PendingRequest
    since: int  # µs of the monotonic clock: when the write of the intent began
    is_confirmed: bool = False  # whether the intent is durable
    is_requested: bool = False  # whether the admission controller has decided to start the run


@dataclass(frozen=True, slots=True)
class OpenRecord:
    """The intent of a run that has not ended."""

    key: bytes
    record: IdempotencyRecord
    version: int  # version of the record in the index
    replaced: IndexRow | None  # the row that the record replaced; its window was over


def complete_record(record: IdempotencyRecord, outcome: Outcome, result: bytes) -> IdempotencyRecord:
    """Returns the record that replaces an intent after the run, with the result if the run completed."""
    is_completed = outcome is Outcome.COMPLETED
    return msgspec.structs.replace(
        record,
        state=RecordState.DONE if is_completed else RecordState.FAILED,
        result=result if is_completed else b"",
    )


class IntentLog:
    """Writes the intent of each run, starts the run once the intent is durable, and writes the result."""

    def __init__(
        self,
        index: RecordIndex,
        writer: RecordWriter,
        time: NodeTime,
        engine: RequestEngine,
        timers: Timers,
        report: Report,
        on_capacity_changed: Callable[[], None],
    ) -> None:
        self._index = index
        self._writer = writer
        self._time = time
        self._engine = engine
        self._timers = timers
        self._report = report
        self._on_capacity_changed = on_capacity_changed
        self._open_records: dict[Request, OpenRecord] = {}
        self.pending_starts: dict[Request, PendingStart] = {}  # bounded by the node's running limit

    def record_intent(self, case: PendingRequest, window: int) -> None:
        """Writes the intent of a request, unless the key's record is that of another request.

        A request with the same key that arrives within the next `window` µs is a repeat of this request. If
        the key's record is another request's, this request fails after the current round of decisions.
        """
        request = case.request
        key, body_digest = split_request_key(case.key)
        self._delete_stale_intent(key, request)
        arrived = self._time.from_unix(request.arrived)
        if self._index.look_up(key, body_digest, arrived) is not LookupResult.NEW:
            self._report.count("keyed", "keys taken by another request")
            self._timers.after(0, self._engine.fail_start, case)
            return
        record = IdempotencyRecord(
            RecordState.OPEN,
            request.request_class.name,
            arrived=arrived,
            expires=self._time.now() + window,
            due=self._time.from_unix(request.due),
            run_id=case.ident,
            body_digest=body_digest,
        )
        start = PendingStart(case, self._timers.now())
        replaced = self._index.row(key)
        version = self._index.put(key, record)
        self._open_records[request] = OpenRecord(key, record, version, replaced)
        self.pending_starts[request] = start
        written = self._writer.write(Batch().put(key, encode(record)))
        written.addCallbacks(
            self._on_intent_written, self._on_intent_failed, callbackArgs=(start,), errbackArgs=(start,)
        )
        self._on_capacity_changed()

    def start_run(self, case: PendingRequest) -> None:
        """Starts a run as soon as its intent is durable."""
        start = self.pending_starts.get(case.request)
        if start is None:  # the start was withdrawn in the same reactor turn
            self._timers.after(0, self._engine.on_start_withdrawn, case)
            return
        start.is_requested = True
        if start.is_confirmed:
            self._begin_run(start)

    def delete_intent(self, request: Request) -> None:
        """Deletes the record of a request that ended without a run; a repeat then counts as new."""
        self.pending_starts.pop(request, None)
        self._delete_record(request)

    def withdraw_late_starts(self, now: int) -> None:
        """Withdraws the starts whose intent is not durable after `SLOW_WRITE_US`.

        `now` is in µs of the monotonic clock.
        """
        late = [start for start in self.pending_starts.values() if now - start.since > SLOW_WRITE_US]
        for start in late:
            if not start.is_confirmed:
                self._withdraw(start)

    def on_run_completed(
        self, case: PendingRequest, outcome: Outcome, result: bytes, on_recorded: Callable[[], None]
    ) -> None:
        """Writes a run's result; calls `on_recorded` when the result is durable or the write has failed.

        If the write fails, the caller gets the result nevertheless, because the run has happened. A repeat
        after a restart then gets an error.
        """
        known = self._open_records.pop(case.request, None)
        if known is None:
            on_recorded()
            return
        completed = complete_record(known.record, outcome, result)
        self._writer.write_result(known.key, known.version, completed).addBoth(lambda _: on_recorded())

    def on_run_lost(self, case: PendingRequest) -> None:
        """Handles a run whose outcome is unknown: the intent stays stored."""
        self._open_records.pop(case.request, None)

    def _on_intent_written(self, _: None, start: PendingStart) -> None:
        if self.pending_starts.get(start.case.request) is not start:
            return  # the start was withdrawn meanwhile, and the intent is deleted
        start.is_confirmed = True
        if start.is_requested:
            self._begin_run(start)

    def _on_intent_failed(self, failure: Failure, start: PendingStart) -> None:
        # in the next reactor turn, because the engine may still be processing its current decisions
        self._timers.after(0, self._withdraw, start)

    def _begin_run(self, start: PendingStart) -> None:
        del self.pending_starts[start.case.request]
        if start.case.open:
            self._engine.begin_run(start.case)
        else:  # the caller has disconnected or has an answer already, so the run is not started
            self._engine.on_run_abandoned(start.case)

    def _withdraw(self, start: PendingStart) -> None:
        """Withdraws a start whose intent was not durable in time: nothing runs, the intent is deleted."""
        case = start.case
        if self.pending_starts.get(case.request) is not start:
            return
        del self.pending_starts[case.request]
        self._report.count("keyed", "intents withdrawn")
        self._delete_record(case.request)
        if case.open:
            self._engine.on_start_withdrawn(case)
        elif start.is_requested:
            self._engine.on_run_abandoned(case)

    def _delete_stale_intent(self, key: bytes, request: Request) -> None:
        """Deletes the key's intent if it is of `request` itself or of a request that ended without a run."""
        version = self._index.version(key)
        if version is None:
            return
        holder = next((each for each, known in self._open_records.items() if known.version == version), None)
        if holder is None:
            return
        has_ended_unstarted = holder.state is RequestState.ENDED and holder.started is None
        if holder is request or has_ended_unstarted:
            self.delete_intent(holder)

    def _delete_record(self, request: Request) -> None:
        """Deletes the record of a request that did not run, unless the key has another request's record."""
        known = self._open_records.pop(request, None)
        if known is None or self._index.version(known.key) != known.version:
            return
        if known.replaced is None:
            self._index.remove(known.key)
        else:
            self._index.put_back(known.key, known.replaced)
        self._writer.delete([known.key])
        self._on_capacity_changed()
