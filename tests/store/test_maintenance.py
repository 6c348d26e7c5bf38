"""Maintenance: selection of the compaction victim and of the next job."""

from crc32c import crc32c

from lichencleat.store import maintenance
from lichencleat.store.maintenance import MaintenanceJob, MaintenanceState, next_job, pick_compaction_victim
from lichencleat.store.segments import Segment

SALT = crc32c(b"salt")


def make_segment(number, size, tombstone_bytes=0, void_bytes=0):
    segment = Segment(number, None, SALT, 10, number * 100)
    segment.size, segment.last_sequence, segment.tombstone_bytes, segment.void_bytes = (
        size,
        number * 100 + 99,
        tombstone_bytes,
        void_bytes,
    )
    return segment


def make_state(segments, live_bytes, **more):
    values = {"max_bytes": 1_000_000, "reserve_bytes": 2_000, "segment_bytes": 1_000, "entry_count": 10}
    values |= dict.fromkeys(("bytes_since_checkpoint", "earliest_expiry", "last_sweep_at"), 0)
    values |= dict.fromkeys(("reserve_missing", "disk_full", "compact_all"), False)
    total_bytes = sum(each.size for each in segments)
    return MaintenanceState(
        segments=segments, live_bytes=live_bytes, total_bytes=total_bytes, **(values | more)
    )


def test_compaction_victim_is_the_oldest_segment_without_live_entries():
    segments = [make_segment(1, 1_000), make_segment(2, 1_000), make_segment(3, 1_000)]
    assert pick_compaction_victim(make_state(segments, {1: 900})) is segments[1]


def test_segment_with_little_garbage_is_a_victim_only_under_disk_pressure():
    segments = [make_segment(n, 1_000) for n in range(1, 5)]
    live_bytes = {1: 900, 2: 800, 3: 700, 4: 990}
    assert pick_compaction_victim(make_state(segments, live_bytes)) is None
    assert pick_compaction_victim(make_state(segments, live_bytes, max_bytes=4_500)) in segments[:3]


def test_compaction_victim_is_the_older_of_segments_with_equal_garbage():
    segments = [make_segment(n, 1_000) for n in range(1, 4)]
    assert pick_compaction_victim(make_state(segments, {1: 500, 2: 500, 3: 500})) is segments[0]


def test_compaction_victim_is_the_oldest_segment_if_there_are_many_tombstones():
    segments = [make_segment(1, 1_000), make_segment(2, 1_000, tombstone_bytes=400)]
    assert pick_compaction_victim(make_state(segments, {1: 990, 2: 590})) is segments[0]


def test_compaction_victim_on_a_full_disk_fits_the_reserve():
    segments = [make_segment(1, 1_000), make_segment(2, 1_000)]
    live_bytes = {1: 500, 2: 300}
    assert (
        pick_compaction_victim(make_state(segments, live_bytes, disk_full=True, reserve_bytes=400))
        is segments[1]
    )
    assert pick_compaction_victim(make_state(segments, live_bytes, disk_full=True, reserve_bytes=200)) is None


def test_next_job_skips_a_damaged_segment():
    segments = [make_segment(1, 1_000)]
    segments[0].is_damaged = True
    assert next_job(make_state(segments, {}), 0) is None


def test_compaction_merges_many_small_segments_smallest_first():
    segments = [make_segment(n, 20 + n) for n in range(1, 12)]
    live_bytes = {each.number: each.size - 10 for each in segments}
    assert pick_compaction_victim(make_state(segments, live_bytes)) is segments[0]


def test_next_job_follows_the_order_of_priorities():
    segments = [make_segment(1, 1_000)]
    assert (
        next_job(make_state(segments, {}, earliest_expiry=5, entry_count=0), 5)
        is MaintenanceJob.SWEEP_EXPIRED
    )
    # the last sweep was too recent
    assert (
        next_job(make_state(segments, {}, earliest_expiry=5, entry_count=10, last_sweep_at=1), 50)
        is MaintenanceJob.COMPACT
    )
    assert (
        next_job(
            make_state(segments, {1: 990}, bytes_since_checkpoint=maintenance.CHECKPOINT_INTERVAL_BYTES + 1),
            0,
        )
        is MaintenanceJob.CHECKPOINT
    )
    assert next_job(make_state(segments, {1: 990}, reserve_missing=True), 0) is MaintenanceJob.RENEW_RESERVE
    assert next_job(make_state(segments, {1: 990}), 0) is None
    assert (
        next_job(
            make_state(segments, {1: 990}, disk_full=True, earliest_expiry=1, bytes_since_checkpoint=1 << 40),
            5,
        )
        is None
    )


def test_tombstone_is_needed_while_an_older_segment_stays():
    assert maintenance.is_tombstone_needed(250, [make_segment(2, 10)])
    assert not maintenance.is_tombstone_needed(150, [make_segment(2, 10), make_segment(3, 10)])
