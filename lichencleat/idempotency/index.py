"""Index of the idempotency records: what is known of each key, what a repeat gets, what expires.

No I/O; times are µs of the node's own time (see `node_time`).
"""

from __future__ import annotations

import struct
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from lichencleat.idempotency.records import IdempotencyRecord, RecordState

READ_DELAY_US = 10_000_000  # a record outlives its window: requests that arrived in time may be read later
MAX_CACHED_RESULT_BYTES = 4 << 20  # results kept in memory; the others are read back
RECORD_OVERHEAD_BYTES = 160  # on disk beside a result: names, times, frames
MAX_EXPIRED_PER_SWEEP = 2_000  # removed at once, each second: some ms
COMPLETION_DELAY_US = 1_000_000  # past its due time, the interpreter has reported a run if it ever does


class LookupResult(Enum):
    """What is known of an arriving request. The values are parts of counter names."""

    NEW = "new"  # nothing is known of its key, or no more
    DIFFERENT_BODY = "other"  # the key was used before with another body
    COMPLETED = "result"  # a repeat of one that ran, and whose result is stored
    FAILED = "failed"  # a repeat of one that ran and failed
    AWAITED = "awaited"  # a repeat of one of an earlier incarnation that may still be running
    UNKNOWN = "unknown"  # a repeat of one that may have run; nothing will prove it


@dataclass(slots=True)
class EarlierRun:
    """An intent of an earlier incarnation, whose run the interpreter may still report."""

    key: bytes
    record: IdempotencyRecord
    deadline: int  # a report after this is not expected


class IndexRow(NamedTuple):
    """What is kept in memory of a record."""

    state: int
    expires: int
    body_digest: bytes
    result_size: int


ROW_FORMAT = struct.Struct("<BQ16sI")  # of an IndexRow: as objects they would take four times the memory


class RecordIndex:
    """All records by key, within bounds of number and bytes; a cache of results; the earlier runs."""

    def __init__(
        self, max_records: int, max_bytes: int, max_cached_bytes: int = MAX_CACHED_RESULT_BYTES
    ) -> None:
        self.max_records = max_records
        self.max_bytes = max_bytes  # on disk, estimated
        self.max_cached_bytes = max_cached_bytes
        self.rows: dict[bytes, bytes] = {}  # packed IndexRow by record key; roughly by age
        self.disk_bytes = 0  # estimated
        self.result_cache: OrderedDict[bytes, bytes] = OrderedDict()
        self.cached_bytes = 0
        self.earlier_runs: dict[bytes, EarlierRun] = {}  # by run id
        self.is_loaded = False  # everything that the disk holds was read

    def look_up(self, key: bytes, body_digest: bytes, arrived: int) -> LookupResult:
        """Returns what is known of a request with that key and body that arrived then."""
        row = self._row(key)
        if row is None or arrived > row.expires:
            return LookupResult.NEW
        if row.body_digest != body_digest:
            return LookupResult.DIFFERENT_BODY
        if row.state == RecordState.DONE:
            return LookupResult.COMPLETED
        if row.state == RecordState.FAILED:
            return LookupResult.FAILED
        if any(run.key == key for run in self.earlier_runs.values()):
            return LookupResult.AWAITED
        return LookupResult.UNKNOWN

    def has_capacity(self) -> bool:
        """Whether one more record fits; a record in its window is never evicted."""
        return len(self.rows) < self.max_records and self.disk_bytes + RECORD_OVERHEAD_BYTES <= self.max_bytes

    def put(self, key: bytes, record: IdempotencyRecord) -> None:
        """Adds or replaces a record that is stored or being written."""
        self.remove(key)
        self._add_row(key, record)
        if record.result:
            self.cache_result(key, record.result)

    def remove(self, key: bytes) -> None:
        """Removes a record, if it is there."""
        row = self._row(key)
        if row is None:
            return
        del self.rows[key]
        self.disk_bytes -= RECORD_OVERHEAD_BYTES + row.result_size
        self.cached_bytes -= len(self.result_cache.pop(key, b""))

    def cache_result(self, key: bytes, result: bytes) -> None:
        """Caches a result; not one read back twice at once, or whose record is gone meanwhile."""
        if key in self.result_cache or key not in self.rows:
            return
        self.result_cache[key] = result
        self.cached_bytes += len(result)
        while self.cached_bytes > self.max_cached_bytes:
            _, evicted = self.result_cache.popitem(last=False)
            self.cached_bytes -= len(evicted)

    def cached_result(self, key: bytes) -> bytes | None:
        """Returns the result of a known key, or None where it has to be read; an empty one is always here."""
        if key in self.result_cache:
            self.result_cache.move_to_end(key)
            return self.result_cache[key]
        row = self._row(key)
        return b"" if row is not None and row.result_size == 0 else None

    def remove_expired(self, now: int) -> list[bytes]:
        """Removes records past their window and the read delay, oldest first; returns their keys."""
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
        """Adds a record of an earlier incarnation as it was read; returns whether it is still of use."""
        if key in self.rows:
            return True  # what this incarnation has written since is newer
        if record.expires + READ_DELAY_US < now:
            return False
        self._add_row(key, record)  # the result itself is read when asked for
        deadline = record.due + COMPLETION_DELAY_US
        if record.state == RecordState.OPEN and deadline > now:
            self.earlier_runs[record.run_id] = EarlierRun(key, record, deadline)
        return True

    def discard_earlier_runs(self) -> None:
        """Expects no report of any earlier run: the interpreter started after them."""
        self.earlier_runs.clear()

    def discard_overdue_runs(self, now: int) -> list[bytes]:
        """Expects no report of runs past their deadline; returns their keys."""
        overdue = [run_id for run_id, run in self.earlier_runs.items() if run.deadline <= now]
        return [self.earlier_runs.pop(run_id).key for run_id in overdue]

    def resolve_earlier_run(self, run_id: bytes) -> EarlierRun | None:
        """Removes and returns the run that the interpreter has reported."""
        return self.earlier_runs.pop(run_id, None)

    def _row(self, key: bytes) -> IndexRow | None:
        packed = self.rows.get(key)
        return None if packed is None else IndexRow(*ROW_FORMAT.unpack(packed))

    def _add_row(self, key: bytes, record: IdempotencyRecord) -> None:
        size = len(record.result)
        self.rows[key] = ROW_FORMAT.pack(record.state, record.expires, record.body_digest, size)
        self.disk_bytes += RECORD_OVERHEAD_BYTES + size
