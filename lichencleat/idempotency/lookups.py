"""Looks up arriving requests in the index, and answers repeats."""

from __future__ import annotations

from twisted.python.failure import Failure

from lichencleat.idempotency.earlier_runs import EarlierRuns
from lichencleat.idempotency.index import LookupResult, RecordIndex
from lichencleat.idempotency.interfaces import PendingRequest, Report, RequestEngine, Timers
from lichencleat.idempotency.node_time import NodeTime
from lichencleat.idempotency.records import RecordState, decode_record, split_request_key
from lichencleat.idempotency.writer import RecordWriter


class RecordLookup:
    """Distinguishes new requests from repeats, and answers repeats from the stored records."""

    def __init__(
        self,
        index: RecordIndex,
        writer: RecordWriter,
        earlier_runs: EarlierRuns,
        time: NodeTime,
        engine: RequestEngine,
        timers: Timers,
        report: Report,
    ) -> None:
        self._index = index
        self._writer = writer
        self._earlier_runs = earlier_runs
        self._time = time
        self._engine = engine
        self._timers = timers
        self._report = report

    def admit(self, case: PendingRequest) -> bool:
        """Marks a request as new or as a repeat, and returns True.

        If the request's key was used with another body, the request fails, and the result is False.
        """
        found = self._look_up(case)
        if found is LookupResult.DIFFERENT_BODY:
            self._report.count("keyed", "keys with another body")
            self._engine.fail_request(case)
            return False
        case.request.original_unknown = found is not LookupResult.NEW
        return True

    def answer_repeat(self, case: PendingRequest) -> None:
        """Answers a repeat whose first request is not in flight on this node."""
        found = self._look_up(case)
        self._report.count("keyed", f"repeats told {found.value}")
        if found is LookupResult.COMPLETED:
            self._answer_with_result(case)
        elif found is LookupResult.AWAITED:
            self._earlier_runs.wait_for(split_request_key(case.key)[0], case)
        else:
            self._answer_after_round(case, None)

    def _look_up(self, case: PendingRequest) -> LookupResult:
        key, body_digest = split_request_key(case.key)
        return self._index.look_up(key, body_digest, self._time.from_unix(case.request.arrived))

    def _answer_with_result(self, case: PendingRequest) -> None:
        key, body_digest = split_request_key(case.key)
        cached = self._index.cached_result(key)
        if cached is None:
            self._read_result(case, key, body_digest)
        else:
            self._answer_after_round(case, cached)

    def _read_result(self, case: PendingRequest, key: bytes, body_digest: bytes) -> None:
        """Answers with the result on disk, unless the key has the record of another request by then."""
        assert self._writer.store is not None
        version = self._index.version(key)

        def on_read(value: bytes | None) -> None:
            record = decode_record(value) if value is not None else None
            if record is None or record.state != RecordState.DONE or record.body_digest != body_digest:
                self._engine.complete_repeat(case, None)
                return
            if self._index.version(key) == version:
                self._index.cache_result(key, record.result)
            self._engine.complete_repeat(case, record.result)

        def on_read_failed(failure: Failure) -> None:
            self._writer.on_disk_failure(failure)
            self._answer_after_round(case, None)

        self._writer.store.get(key).addCallbacks(on_read, on_read_failed)

    def _answer_after_round(self, case: PendingRequest, result: bytes | None) -> None:
        """Answers in the next reactor turn: the engine may still be processing its current decisions."""
        self._timers.after(0, self._engine.complete_repeat, case, result)
