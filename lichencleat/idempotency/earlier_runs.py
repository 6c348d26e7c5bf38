"""Earlier runs: runs that an earlier process (incarnation) of this node started.

A repeat of such a run's request waits while the interpreter may still report the outcome of the run.
"""

from __future__ import annotations

from functools import partial

from lichencleat.admission.types import Outcome
from lichencleat.idempotency.index import EarlierRun, RecordIndex
from lichencleat.idempotency.intents import complete_record
from lichencleat.idempotency.interfaces import PendingRequest, Report, RequestEngine, Timers
from lichencleat.idempotency.node_time import NodeTime
from lichencleat.idempotency.writer import RecordWriter

# An interpreter that started more than this after the last heartbeat of the earlier process, by the system
# clock, has no earlier runs.
HEARTBEAT_MARGIN_US = 2_000_000


class EarlierRuns:
    """Receives the outcomes of earlier runs from the interpreter, and answers repeats that wait for them."""

    def __init__(
        self,
        index: RecordIndex,
        writer: RecordWriter,
        time: NodeTime,
        engine: RequestEngine,
        timers: Timers,
        report: Report,
    ) -> None:
        self._index = index
        self._writer = writer
        self._time = time
        self._engine = engine
        self._timers = timers
        self._report = report
        self._waiting: dict[bytes, list[PendingRequest]] = {}  # by record key: repeats that wait
        self._interpreter_started_at: int | None = None  # µs of the monotonic clock

    def adopt_all(self) -> None:
        """Subscribes to the interpreter's reports of all earlier runs; called once the index is loaded."""
        for run_id in list(self._index.earlier_runs):
            if not self._engine.adopt_run(run_id, partial(self._on_run_ended, run_id)):
                self._index.resolve_earlier_run(run_id)
        self._engine.end_adoption()
        self._discard_if_interpreter_is_new()

    def wait_for(self, key: bytes, case: PendingRequest) -> None:
        """Queues a repeat until the earlier run of its key is reported or dropped."""
        self._waiting.setdefault(key, []).append(case)

    def on_interpreter_started(self, age: int) -> None:
        """Handles the connection of an interpreter that started `age` µs ago.

        May be called before the index is loaded.
        """
        self._interpreter_started_at = self._timers.now() - age
        if self._index.is_loaded:
            self._discard_if_interpreter_is_new()

    def discard_overdue(self) -> None:
        """Drops the runs of the earlier process whose deadline has passed.

        Repeated requests that wait for the result of a dropped run get an error.
        """
        for run in self._index.discard_overdue_runs(self._time.now()):
            self._drop(run)

    def _on_run_ended(self, run_id: bytes, outcome: Outcome, took: int, result: bytes) -> None:
        run = self._index.resolve_earlier_run(run_id)
        if run is None:
            return
        self._report.count("keyed", f"earlier runs told of: {outcome.name.lower()}")
        if outcome not in (Outcome.COMPLETED, Outcome.FAILED):
            self._answer_waiting(run.key, None)
            return
        completed = complete_record(run.record, outcome, result)
        answer = result if outcome is Outcome.COMPLETED else None
        written = self._writer.write_result(run.key, run.version, completed)
        written.addBoth(lambda _: self._answer_waiting(run.key, answer))

    def _drop(self, run: EarlierRun) -> None:
        self._engine.drop_adopted_run(run.record.run_id)
        self._answer_waiting(run.key, None)

    def _answer_waiting(self, key: bytes, result: bytes | None) -> None:
        for case in self._waiting.pop(key, ()):
            self._engine.complete_repeat(case, result)

    def _discard_if_interpreter_is_new(self) -> None:
        """Drops all earlier runs if the interpreter started after them; waiting repeats get an error.

        An interpreter started after the earlier runs if it started during this process, or by the system
        clock well after the last heartbeat of the earlier process. If the system clock was set meanwhile, a
        repeat may get the error too early, but no request runs a second time.
        """
        started_at = self._interpreter_started_at
        if started_at is None or not self._index.earlier_runs:
            return
        started_unix = self._time.unix_now() - (self._timers.now() - started_at)
        started_here = started_at >= self._time.started_at
        if started_here or started_unix > self._time.last_heartbeat_unix + HEARTBEAT_MARGIN_US:
            count = len(self._index.earlier_runs)
            self._report.note(f"keyed: the interpreter is new: {count} intents stay without a result")
            for run in self._index.discard_earlier_runs():
                self._drop(run)
