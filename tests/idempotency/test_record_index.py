"""Record index: direct calls."""

import pytest

from lichencleat.idempotency.index import (
    COMPLETION_DELAY_US,
    READ_DELAY_US,
    RECORD_OVERHEAD_BYTES,
    LookupResult,
    RecordIndex,
)
from lichencleat.idempotency.records import IdempotencyRecord, RecordState

SECOND = 1_000_000
KEY, BODY = b"k" * 16, b"b" * 16


def record(state=RecordState.OPEN, expires=16 * SECOND, due=6 * SECOND, result=b"", run_id=b"i", body=BODY):
    return IdempotencyRecord(state, "save", 0, expires, due, run_id, body, result)


@pytest.fixture
def index():
    return RecordIndex(3, 10_000, max_cached_bytes=8)


def test_index_look_up_knows_a_key_within_its_window(index):
    assert index.look_up(KEY, BODY, 0) is LookupResult.NEW
    index.put(KEY, record())
    assert index.look_up(KEY, BODY, 16 * SECOND) is LookupResult.UNKNOWN
    assert index.look_up(KEY, BODY, 16 * SECOND + 1) is LookupResult.NEW
    assert index.look_up(KEY, b"c" * 16, 0) is LookupResult.DIFFERENT_BODY
    index.put(KEY, record(RecordState.FAILED))
    assert index.look_up(KEY, BODY, 0) is LookupResult.FAILED
    index.put(KEY, record(RecordState.DONE, result=b"made"))
    assert index.look_up(KEY, BODY, 0) is LookupResult.COMPLETED and index.cached_result(KEY) == b"made"


def test_index_never_evicts_a_record_in_its_window_and_bounds_cached_results(index):
    for at, name in enumerate((b"1", b"2", b"3")):
        assert index.has_capacity()
        index.put(name * 16, record(RecordState.DONE, expires=at * SECOND, result=b"five!"))
    assert not index.has_capacity() and index.disk_bytes == 3 * (RECORD_OVERHEAD_BYTES + 5)
    assert index.cached_result(b"1" * 16) is None and index.cached_result(b"3" * 16) == b"five!"
    assert index.remove_expired(READ_DELAY_US) == []
    assert index.remove_expired(READ_DELAY_US + SECOND + 1) == [b"1" * 16, b"2" * 16]
    assert index.has_capacity() and index.disk_bytes == RECORD_OVERHEAD_BYTES + 5
    index.put(b"4" * 16, record(RecordState.DONE))
    assert index.cached_result(b"4" * 16) == b""
    cached_bytes = index.cached_bytes
    index.cache_result(b"3" * 16, b"five!")  # cached already
    index.cache_result(b"1" * 16, b"five!")  # too late: the record has expired
    assert index.cached_bytes == cached_bytes


def test_index_restore_keeps_a_window_by_the_time_that_the_node_was_up():
    index = RecordIndex(3, 10_000)
    assert index.restore(KEY, record(), 6 * SECOND)
    assert index.look_up(KEY, BODY, 16 * SECOND) is not LookupResult.NEW
    assert index.look_up(KEY, BODY, 16 * SECOND + 1) is LookupResult.NEW
    assert not index.restore(b"o" * 16, record(expires=-5 * SECOND), READ_DELAY_US)


def test_index_awaits_an_earlier_run_until_it_is_overdue_reported_or_discarded(index):
    index.restore(KEY, record(), 0)
    assert index.look_up(KEY, BODY, 0) is LookupResult.AWAITED
    assert index.discard_overdue_runs(6 * SECOND + COMPLETION_DELAY_US - 1) == []
    overdue = index.discard_overdue_runs(6 * SECOND + COMPLETION_DELAY_US)
    assert [run.key for run in overdue] == [KEY]
    assert index.look_up(KEY, BODY, 0) is LookupResult.UNKNOWN
    index.restore(b"l" * 16, record(run_id=b"j"), 0)
    assert index.resolve_earlier_run(b"j").key == b"l" * 16 and index.resolve_earlier_run(b"j") is None
    index.restore(b"m" * 16, record(run_id=b"m"), 0)
    index.discard_earlier_runs()
    assert index.look_up(b"m" * 16, BODY, 0) is LookupResult.UNKNOWN


def test_index_assigns_no_report_to_runs_that_share_an_id(index):
    """Guards against a result that is recorded for the wrong key, as a bad client used an id twice."""
    for name in (b"1", b"2", b"3"):
        index.restore(name * 16, record(run_id=b"i"), 0)
    assert index.resolve_earlier_run(b"i") is None
    assert index.look_up(b"1" * 16, BODY, 0) is LookupResult.UNKNOWN
