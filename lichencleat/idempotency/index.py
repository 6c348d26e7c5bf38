"""Index of the idempotency records: state of each key, answers to repeats, expiry.

No I/O. All times are µs of node time, a clock that stops while the node is down (see `node_time`).
"""

from __future__ import annotations

import struct
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from lichencleat.idempotency.records import IdempotencyRecord, RecordState

# Time that a record is kept after its window: a request that arrived in the window may be read later.
READ_DELAY_US = 10_000_000
MAX_CACHED_RESULT_BYTES = 4 << 20  # limit on results in memory; other results are read from disk
RECORD_OVERHEAD_BYTES = 160  # size of a record on disk without its result: names, times, frames
MAX_EXPIRED_PER_SWEEP = 2_000  # limit on the records removed in one sweep per second; takes some ms
COMPLETION_DELAY_US = 1_000_000  # no report of a run is expected this long after the run's deadline


class LookupResult(Enum):
    """The state of an arriving request's key. The values are parts of counter names."""

    NEW = "new"  # the key has no record, or the record's window has ended
    DIFFERENT_BODY = "other"  # the key was used with another body
    COMPLETED = "result"  # a repeat of a request that completed; its result is stored
    FAILED = "failed"  # a repeat of a request that ran and failed
    AWAITED = "awaited"  # a repeat of an earlier incarnation's request that may still be running
    UNKNOWN = "unknown"  # a repeat of a request that may have run; this can't be determined


@dataclass(slots=True)
class EarlierRun:
    """A run of an earlier process (incarnation) whose outcome the interpreter may still report."""

    key: bytes  # record key
    record: IdempotencyRecord  # the intent of the run
    version: int  # version of the row of the intent
    deadline: int  # time after which no report of the run is expected


class IndexRow(NamedTuple):
    """The fields of a record that are kept in memory."""

    state: int  # a `RecordState`
    expires: int  # end of the record's window
    body_digest: bytes
    result_size: int  # bytes
    version: int  # each record that is put has another one, also under the same key


ROW_FORMAT = struct.Struct("<BQ16sIQ")  # packs an IndexRow: as objects, rows take four times the memory


class RecordIndex:
    """The records by key, with limits on their number and bytes, a cache of results, and the earlier runs.

    A key has one record at a time. Whoever changes a record after a write or a run first compares its version
    with the one that `put` returned: by then, the key may have the record of another request.
    """

    def __init__(
        self, max_records: int, max_bytes: int, max_cached_bytes: int = MAX_CACHED_RESULT_BYTES
    ) -> None:
        self.max_records = max_records
        self.max_bytes = max_bytes  # limit on the records' estimated size on disk
        self.max_cached_bytes = max_cached_bytes
        self.rows: dict[bytes, bytes] = {}  # packed IndexRow by record key, roughly in order of age
        self.disk_bytes = 0  # estimated size of the records on disk
        self.result_cache: OrderedDict[bytes, bytes] = OrderedDict()
        self.cached_bytes = 0
        self.earlier_runs: dict[bytes, EarlierRun] = {}  # by run id
        self._shared_run_ids: set[bytes] = (
            set()
        )  # ids of several earlier runs, so that no report can be assigned
        self.is_loaded = False  # whether all stored records have been read
        self._last_version = 0

    def look_up(self, key: bytes, body_digest: bytes, arrived: int) -> LookupResult:
        """Returns the state of a request's key.

        Args:
            key: Record key of the request.
            body_digest: Digest of the request's class and body.
            arrived: Time when the request arrived.
        """
        row = self.row(key)
        if row is None or arrived > row.expires:
            return LookupResult.NEW
        if row.body_digest != body_digest:
            return LookupResult.DIFFERENT_BODY
        if row.state == RecordState.DONE:
            return LookupResult.COMPLETED
        if row.state == RecordState.FAILED:
            return LookupResult.FAILED
        if any(run.version == row.version for run in self.earlier_runs.values()):
            return LookupResult.AWAITED
        return LookupResult.UNKNOWN

    def has_capacity(self) -> bool:
        """Whether another record fits; records in their window are never evicted."""
        return len(self.rows) < self.max_records and self.disk_bytes + RECORD_OVERHEAD_BYTES <= self.max_bytes

    def row(self, key: bytes) -> IndexRow | None:
        """Returns the row of a key, or None if the key has no record."""
        packed = self.rows.get(key)
        return None if packed is None else IndexRow(*ROW_FORMAT.unpack(packed))

    def version(self, key: bytes) -> int | None:
        """Returns the version of a key's record, or None if the key has no record."""
        row = self.row(key)
        return None if row is None else row.version

    def put(self, key: bytes, record: IdempotencyRecord) -> int:
        """Adds or replaces a record that is stored or is being written; returns the version of the record."""
        self.remove(key)
        version = self._add_record(key, record)
        if record.result:
            self.cache_result(key, record.result)
        return version

    def put_back(self, key: bytes, row: IndexRow) -> None:
        """Puts back the row that another record of the key replaced; its result is no longer on disk."""
        self.remove(key)
        self._add_row(key, row)

    def remove(self, key: bytes) -> None:
        """Removes the record of a key, if there is one."""
        row = self.row(key)
        if row is None:
            return
        del self.rows[key]
        self.disk_bytes -= RECORD_OVERHEAD_BYTES + row.result_size
        self.cached_bytes -= len(self.result_cache.pop(key, b""))

    def cache_result(self, key: bytes, result: bytes) -> None:
        """Caches the result of a key, unless a result is cached already or the key's record was removed."""
        if key in self.result_cache or key not in self.rows:
            return
        self.result_cache[key] = result
        self.cached_bytes += len(result)
        while self.cached_bytes > self.max_cached_bytes:
            _, evicted = self.result_cache.popitem(last=False)
            self.cached_bytes -= len(evicted)

    def cached_result(self, key: bytes) -> bytes | None:
        """Returns the result of a key in the index, or None if the result must be read from disk.

        An empty result is never read from disk.
        """
        if key in self.result_cache:
            self.result_cache.move_to_end(key)
            return self.result_cache[key]
        row = self.row(key)
        return b"" if row is not None and row.result_size == 0 else None

    def remove_expired(self, now: int) -> list[bytes]:
        """Removes records whose window and read delay have ended, oldest first; returns their keys."""
        expired: list[bytes] = []
        for key, packed in self.rows.items():
            row = IndexRow(*ROW_FORMAT.unpack(packed))
            if row.expires + READ_DELAY_US >= now or len(expired) >= MAX_EXPIRED_PER_SWEEP:
                break
            expired.append(key)
        for key in expired:
            self.remove(key)
        return expired

    def restore(self, key: bytes, record: IdempotencyRecord, now: int) -> bool:
        """Adds a stored record of an earlier process; returns False if the record has expired."""
        if key in self.rows:
            return True  # the key has a newer record of this process
        if record.expires + READ_DELAY_US < now:
            return False
        version = self._add_record(key, record)  # the result is read on demand
        deadline = record.due + COMPLETION_DELAY_US
        if record.state == RecordState.OPEN and deadline > now:
            self._add_earlier_run(EarlierRun(key, record, version, deadline))
        return True

    def discard_earlier_runs(self) -> list[EarlierRun]:
        """Drops and returns all earlier runs; called if the interpreter started after them."""
        runs = list(self.earlier_runs.values())
        self.earlier_runs.clear()
        return runs

    def discard_overdue_runs(self, now: int) -> list[EarlierRun]:
        """Drops and returns the runs of the earlier process whose deadline has passed."""
        overdue = [run_id for run_id, run in self.earlier_runs.items() if run.deadline <= now]
        return [self.earlier_runs.pop(run_id) for run_id in overdue]

    def resolve_earlier_run(self, run_id: bytes) -> EarlierRun | None:
        """Removes and returns the earlier run that the interpreter reported; None if the run is unknown."""
        return self.earlier_runs.pop(run_id, None)

    def _add_earlier_run(self, run: EarlierRun) -> None:
        """Adds an earlier run; of runs with the same id none is added, as a report may be that of either."""
        run_id = run.record.run_id
        if run_id in self._shared_run_ids:
            return
        if self.earlier_runs.pop(run_id, None) is not None:
            self._shared_run_ids.add(run_id)
        else:
            self.earlier_runs[run_id] = run

    def _add_record(self, key: bytes, record: IdempotencyRecord) -> int:
        self._last_version += 1
        row = IndexRow(
            record.state, record.expires, record.body_digest, len(record.result), self._last_version
        )
        self._add_row(key, row)
        return row.version

    def _add_row(self, key: bytes, row: IndexRow) -> None:
        self.rows[key] = ROW_FORMAT.pack(*row)
        self.disk_bytes += RECORD_OVERHEAD_BYTES + row.result_size
