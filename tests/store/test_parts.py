"""The store's parts, each on its own: frames, the tail's proof, index and snapshots, the choice of upkeep,
bounds.
"""

import random

import pytest
from crc32c import crc32c

from lichencleat.store import framing, maintenance
from lichencleat.store.batch import MAX_BATCH_BYTES, Batch
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.compactor import Compaction
from lichencleat.store.engine import Engine
from lichencleat.store.errors import (
    BadRecordError,
    CannotOpenError,
    CorruptDataError,
    FullError,
    SnapshotEndedError,
)
from lichencleat.store.index import Index, expiry_of, length_of, offset_of, pack_location, segment_of
from lichencleat.store.log_tail import LogTail
from lichencleat.store.maintenance import MaintenanceJob, MaintenanceState
from lichencleat.store.reader import MAX_SNAPSHOTS
from lichencleat.store.segments import Segment
from lichencleat.testkit.checkers.store_history import History
from lichencleat.testkit.faulty_disk import FaultyDisk, every_choice

SALT = crc32c(b"salt")
SECOND = 1_000_000


def log(*bodies, start=0):
    data = b""
    for body in bodies:
        data += framing.encode_frame(SALT, start + len(data), framing.encode_body(body))
    return data


def reader(data):
    return lambda offset, length: data[offset : offset + length]


BODIES = [(n, framing.PUT, 1, 0, b"k%d" % n, b"v" * n) for n in range(1, 30)]


@pytest.mark.parametrize("window", [12, 40, 1 << 20])
def test_frames_are_read_whatever_the_window(window, monkeypatch):
    monkeypatch.setattr(framing, "READ_WINDOW_BYTES", window)
    data = log(*BODIES)
    found = [
        framing.decode_body(body) for _, _, body in framing.iter_frames(reader(data), 0, len(data), SALT)
    ]
    assert [(*each[:5], bytes(each[5])) for each in found] == BODIES


def test_every_flipped_bit_of_a_frame_is_seen():
    data = log(BODIES[4])
    for bit in range(8 * len(data)):
        bad = bytearray(data)
        bad[bit // 8] ^= 1 << bit % 8
        assert list(framing.iter_frames(reader(bytes(bad)), 0, len(bad), SALT)) == []


def test_a_frame_at_another_place_or_in_another_file_is_none():
    data = log(BODIES[0])
    assert framing.decode_frame(data, SALT, 0) is not None
    assert framing.decode_frame(data, SALT, 1) is None
    assert framing.decode_frame(data, SALT + 1, 0) is None


@pytest.mark.parametrize("window", [64, 1 << 20])
def test_a_search_finds_the_frames_behind_bytes_that_are_none(window, monkeypatch):
    monkeypatch.setattr(framing, "READ_WINDOW_BYTES", window)
    first, noise = log(BODIES[0]), b"\xa7\xc5" * 50 + random.Random(1).randbytes(300) + b"\xa7"
    inner = log(BODIES[1])  # a copy within a value: no frame there
    start = len(first) + len(noise) + len(inner)
    data = first + noise + inner + log(*BODIES[2:5], start=start)
    found = [offset for offset, _, _ in framing.iter_frames_past_gaps(reader(data), 1, len(data), SALT)]
    assert found[0] == start and len(found) == 3


def test_a_tail_proves_what_was_flushed_before_a_frame_was_written():
    tail = LogTail(first=10, through=9, offset=100)
    assert tail.accept(100, 10, 10, framing.PUT, 1, 0)
    assert tail.accept(110, 10, 11, framing.PUT, 2, 0)
    assert (tail.proved, tail.proved_end, len(tail.unproved)) == (9, 100, 2)
    assert tail.accept(120, 10, 12, framing.BATCH_PUT, 1, 0)
    assert (tail.proved, tail.proved_end) == (11, 120)
    assert tail.unproved_records() == []  # a batch without its commit
    assert tail.accept(130, 10, 13, framing.COMMIT, 2, 1)
    assert tail.unproved_records() == [(120, 10), (130, 10)]
    assert not tail.accept(140, 10, 15, framing.PUT, 1, 0)  # a sequence is missing
    assert tail.is_loss_proved_by(20, 6) and not tail.is_loss_proved_by(20, 7)


def test_a_place_keeps_its_four_numbers():
    where = pack_location(7, 1 << 31, 1 << 24, 1 << 62)
    assert (segment_of(where), offset_of(where), length_of(where), expiry_of(where)) == (
        7,
        1 << 31,
        1 << 24,
        1 << 62,
    )


def test_a_snapshot_outlives_changes_up_to_its_bound():
    index = Index(max_undo_entries=3)
    for n in range(4):
        index.put(b"%d" % n, pack_location(1, n, 10, 0))
    taken = index.snapshot(4)
    index.delete(b"0")
    index.put(b"1", pack_location(2, 0, 10, 0))
    index.put(b"1", pack_location(3, 0, 10, 0))
    index.put(b"9", pack_location(3, 0, 10, 0))
    assert taken.chunk(b"", b"", 9) == [(b"%d" % n, pack_location(1, n, 10, 0)) for n in range(4)]
    assert taken.chunk(b"1\0", b"", 9)[0][0] == b"2"
    index.delete(b"3")
    assert not taken.is_open and index.snapshots == {}


def test_the_chunks_of_a_snapshot_pass_over_many_newer_keys():
    index = Index()
    index.put(b"z", pack_location(1, 0, 1, 0))
    taken = index.snapshot(1)
    for n in range(100):
        index.put(b"a%d" % n, pack_location(1, 0, 1, 0))
    assert taken.chunk(b"", b"", 2) == [(b"z", pack_location(1, 0, 1, 0))]


def segment(number, size, tombstone_bytes=0, void_bytes=0):
    made = Segment(number, None, SALT, 10, number * 100)
    made.size, made.last_sequence, made.tombstone_bytes, made.void_bytes = (
        size,
        number * 100 + 99,
        tombstone_bytes,
        void_bytes,
    )
    return made


def facts(segments, live_bytes, **more):
    told = {"max_bytes": 1_000_000, "reserve": 2_000, "segment_bytes": 1_000, "entries": 10}
    told |= dict.fromkeys(("bytes_since_checkpoint", "earliest_expiry", "last_sweep_at"), 0)
    told |= dict.fromkeys(("reserve_missing", "disk_full", "compact_all"), False)
    total = sum(each.size for each in segments)
    return MaintenanceState(segments=segments, live_bytes=live_bytes, total=total, **(told | more))


def test_a_segment_without_anything_live_goes_first_and_the_oldest_of_them():
    segments = [segment(1, 1_000), segment(2, 1_000), segment(3, 1_000)]
    assert maintenance.pick_segment(facts(segments, {1: 900})) is segments[1]


def test_little_garbage_is_left_alone_until_room_is_short():
    segments = [segment(n, 1_000) for n in range(1, 5)]
    live_bytes = {1: 900, 2: 800, 3: 700, 4: 990}
    assert maintenance.pick_segment(facts(segments, live_bytes)) is None
    assert maintenance.pick_segment(facts(segments, live_bytes, max_bytes=4_500)) in segments[:3]


def test_of_equal_garbage_the_older_is_cleaned():
    segments = [segment(n, 1_000) for n in range(1, 4)]
    assert maintenance.pick_segment(facts(segments, {1: 500, 2: 500, 3: 500})) is segments[0]


def test_many_tombstones_make_the_oldest_go_though_all_of_it_is_live():
    segments = [segment(1, 1_000), segment(2, 1_000, tombstone_bytes=400)]
    assert maintenance.pick_segment(facts(segments, {1: 990, 2: 590})) is segments[0]


def test_on_a_full_disk_only_what_the_reserve_can_hold_is_cleaned():
    segments = [segment(1, 1_000), segment(2, 1_000)]
    live_bytes = {1: 500, 2: 300}
    assert maintenance.pick_segment(facts(segments, live_bytes, disk_full=True, reserve=400)) is segments[1]
    assert maintenance.pick_segment(facts(segments, live_bytes, disk_full=True, reserve=200)) is None


def test_a_damaged_segment_is_left_as_it_is():
    segments = [segment(1, 1_000)]
    segments[0].is_damaged = True
    assert maintenance.next_job(facts(segments, {}), 0) is None


def test_many_small_segments_are_merged_smallest_first():
    segments = [segment(n, 20 + n) for n in range(1, 12)]
    live_bytes = {each.number: each.size - 10 for each in segments}
    assert maintenance.pick_segment(facts(segments, live_bytes)) is segments[0]


def test_the_order_of_jobs():
    full = [segment(1, 1_000)]
    assert (
        maintenance.next_job(facts(full, {}, earliest_expiry=5, entries=0), 5) is MaintenanceJob.SWEEP_EXPIRED
    )
    assert (
        maintenance.next_job(facts(full, {}, earliest_expiry=5, entries=10, last_sweep_at=1), 50)
        is MaintenanceJob.COMPACT
    )  # swept just now
    assert (
        maintenance.next_job(
            facts(full, {1: 990}, bytes_since_checkpoint=maintenance.CHECKPOINT_INTERVAL_BYTES + 1), 0
        )
        is MaintenanceJob.CHECKPOINT
    )
    assert (
        maintenance.next_job(facts(full, {1: 990}, reserve_missing=True), 0) is MaintenanceJob.RENEW_RESERVE
    )
    assert maintenance.next_job(facts(full, {1: 990}), 0) is None
    assert (
        maintenance.next_job(
            facts(full, {1: 990}, disk_full=True, earliest_expiry=1, bytes_since_checkpoint=1 << 40), 5
        )
        is None
    )


def test_a_tombstone_is_kept_while_anything_older_is():
    assert maintenance.is_tombstone_needed(250, [segment(2, 10)])
    assert not maintenance.is_tombstone_needed(150, [segment(2, 10), segment(3, 10)])


def test_the_checker_sees_what_it_has_to_see():
    history = History()
    history.record_request([(b"a", b"1", 0), (b"b", b"1", 0)])
    history.record_confirmation()
    history.record_request([(b"a", b"2", 0), (b"b", b"2", 0)])
    assert history.check({b"a": b"1", b"b": b"1"}, 0) is None
    assert history.check({b"a": b"2", b"b": b"2"}, 0) is None
    assert "half" in history.check({b"a": b"2", b"b": b"1"}, 0)
    assert "b'b'" in history.check({b"a": b"1"}, 0)
    assert "never" in history.check({b"a": b"1", b"b": b"1", b"c": b"never"}, 0)
    history.record_failure()
    assert history.check({b"a": b"2", b"b": b"2"}, 0) is None
    history.record_request([])
    history.record_confirmation()
    assert history.check({b"a": b"2", b"b": b"2"}, 0) is not None


def test_every_choice_is_made_once():
    ways = []
    for choose in every_choice(100):
        first = choose(2)
        ways.append((first, choose(3) if first else None))
    assert ways == [(0, None), (1, 0), (1, 1), (1, 2)]


class Time:
    now = 100 * SECOND

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Time()


@pytest.fixture
def disk():
    return FaultyDisk()


def opened(disk, clock, **bounds):
    return Engine.open(disk, clock, random.Random(3), StoreLimits(**bounds), create=True)


def bound(engine, batch):
    (verdict,) = engine.commit([batch])
    return None if verdict is None else verdict.limit


def test_each_bound_is_told_by_its_name_and_deletes_go_on(disk, clock):
    engine = opened(
        disk,
        clock,
        max_entries=3,
        max_memory_bytes=2_000,
        max_disk_bytes=9_000,
        segment_bytes=4_000,
        keep_reserve=False,
    )
    for n in range(3):
        assert bound(engine, Batch().put(b"%d" % n, b"")) is None
    assert bound(engine, Batch().put(b"3", b"")) == "entries"
    assert bound(engine, Batch().put(b"2", b"again")) is None
    assert bound(engine, Batch().delete(b"2")) is None
    assert bound(engine, Batch().put(b"m" * 1_800, b"")) == "bytes in memory"
    assert bound(engine, Batch().put(b"2", b"x" * 5_000)) == "bytes on disk"
    assert bound(engine, Batch().put(b"2", b"x" * 3_900)) is None
    assert bound(engine, Batch().put(b"0", b"x" * 600)) == "bytes on disk"
    assert bound(engine, Batch().delete(b"2")) is None
    while engine.step():
        pass
    assert bound(engine, Batch().put(b"0", b"x" * 600)) is None


def test_keys_values_and_batches_have_their_bounds():
    for make in (
        lambda: Batch().put(b"", b""),
        lambda: Batch().put(b"k" * 65_537, b""),
        lambda: Batch().put(b"k", bytes((16 << 20) + 1)),
        lambda: Batch().put(b"k", b"", -1),
        lambda: Batch().delete(b""),
    ):
        with pytest.raises(BadRecordError):
            make()
    batch = Batch().put(b"k", bytes(16 << 20)).put(b"l", bytes(15 << 20))
    with pytest.raises(BadRecordError):
        batch.put(b"m", bytes(MAX_BATCH_BYTES - (31 << 20)))


def test_values_of_nothing_and_of_sixteen_megabytes(disk, clock):
    large = random.Random(1).randbytes(16 << 20)
    engine = opened(disk, clock, segment_bytes=1 << 20, keep_reserve=False)
    for key, value in ((b"\x00", b""), (b"large", large), (b"\xff\n", b"\xa7\xc5" * 9)):
        assert bound(engine, Batch().put(key, value)) is None
    engine.close()
    engine = opened(disk, clock, segment_bytes=1 << 20, keep_reserve=False)
    assert engine.get(b"large") == large and engine.get(b"\x00") == b""
    assert [key for key, _ in engine.scan()] == [b"\x00", b"large", b"\xff\n"]


def test_one_key_rewritten_for_long_takes_little_room(disk, clock):
    engine = opened(disk, clock, segment_bytes=4_000, max_disk_bytes=40_000)
    for n in range(3_000):
        assert bound(engine, Batch().put(b"k", b"%d" % n * 10)) is None
        engine.step()
    assert engine.get(b"k") == b"2999" * 10
    assert engine.stat()["bytes on disk"] < 20_000 and disk.used() < 30_000


def test_expired_records_give_their_room_back_and_stay_gone_when_the_clock_goes_back(disk, clock):
    engine = opened(disk, clock, segment_bytes=8_000, max_disk_bytes=400_000, keep_reserve=False)
    assert bound(engine, Batch().put(b"k7", b"older, without an end")) is None
    for n in range(1_000):
        assert bound(engine, Batch().put(b"k%d" % n, b"v" * 50, clock.now + SECOND + n)) is None
    clock.now += 2 * SECOND
    assert engine.get(b"k7") is None
    while engine.step():
        pass
    assert len(engine.log.index) == 0 and engine.stat()["bytes on disk"] < 16_000
    clock.now -= 30 * SECOND
    assert engine.get(b"k7") is None
    engine = opened(FaultyDisk(disk.image()), clock, segment_bytes=8_000)
    assert list(engine.scan()) == []


def test_a_deleted_value_does_not_come_back_when_segments_go_in_any_order(disk, clock):
    rng = random.Random(2)
    engine = opened(disk, clock, segment_bytes=300, max_disk_bytes=1 << 20, keep_reserve=False)
    held = {}
    for turn in range(400):
        key = b"%d" % rng.randrange(12)
        if rng.random() < 0.5:
            held[key] = b"%d" % turn * 5
            assert bound(engine, Batch().put(key, held[key])) is None
        else:
            held.pop(key, None)
            assert bound(engine, Batch().delete(key)) is None
        sealed = [each for each in engine.log.segments.values() if each is not engine.log.active]
        if (
            engine.compactor.in_progress is None and sealed and turn % 7 == 0
        ):  # any segment, not the one that pays best
            each = rng.choice(sealed)
            engine.compactor.in_progress = Compaction(each, each.data_start, each.first_sequence)
        engine.step(100)
        if turn % 20 == 0:
            assert dict(opened(FaultyDisk(disk.image()), clock, keep_reserve=False).scan()) == held


def test_snapshots_are_bounded_and_end_when_the_disk_is_needed(disk, clock):
    engine = opened(disk, clock, segment_bytes=1_000, max_disk_bytes=9_000, keep_reserve=False)
    taken = [engine.snapshot() for _ in range(MAX_SNAPSHOTS)]
    with pytest.raises(FullError, match="snapshots"):
        engine.snapshot()
    for each in taken[1:]:
        engine.release(each)
    for n in range(200):
        assert bound(engine, Batch().put(b"k", b"%d" % n * 40)) is None
        while engine.step():
            pass
    with pytest.raises(SnapshotEndedError):
        engine.chunk(taken[0], b"", b"")
    assert engine.log.counts["snapshots ended"] == 1 and disk.open_files == len(engine.log.segments)


def test_a_read_error_is_told_and_cleaning_leaves_the_segment(disk, clock):
    engine = opened(disk, clock, segment_bytes=300, keep_reserve=False)
    for n in range(30):
        bound(engine, Batch().put(b"k%d" % (n % 4), b"v" * 30))
    where = engine.log.index.locations[b"k1"]
    disk.faults = {len(disk.calls): 5}
    with pytest.raises(CorruptDataError, match="can't be read"):
        engine.get(b"k1")
    assert engine.get(b"k1") == b"v" * 30
    corrupt = engine.log.segments[segment_of(where)]
    engine.compactor.in_progress = Compaction(corrupt, corrupt.data_start, corrupt.first_sequence)
    disk.faults = {len(disk.calls): 5}
    with pytest.raises(CorruptDataError):
        engine.step()
    assert (
        corrupt.is_damaged
        and engine.compactor.in_progress is None
        and engine.log.index.locations[b"k1"] == where
    )
    while engine.step():
        pass
    assert corrupt.number in engine.log.segments


@pytest.mark.parametrize(
    ("files", "told"),
    [
        ({"notes.txt": b"hello"}, "not empty"),
        ({"STORE": b"lcststo\x02" + bytes(8), "000000000001.log": b""}, "newer than 1"),
        ({"STORE": b"something else!!"}, "no store"),
        ({"000000000007.log": b"lcstlog"}, "salvage"),
    ],
)
def test_what_is_no_store_is_refused_and_left_alone(files, told, clock):
    disk = FaultyDisk(files)
    with pytest.raises(CannotOpenError, match=told):
        opened(disk, clock)
    assert disk.image() == files and disk.open_files == 0 and not disk.locked


def test_a_directory_without_a_store_is_refused_unless_one_is_to_be_made(clock):
    with pytest.raises(CannotOpenError, match="no store"):
        Engine.open(FaultyDisk(), clock, random.Random(1))


def test_recovery_on_a_full_disk_uses_the_reserve(disk, clock):
    engine = opened(disk, clock, segment_bytes=500, max_disk_bytes=10_000)
    for n in range(20):
        bound(engine, Batch().put(b"k%d" % (n % 6), b"%d" % n * 20))
    while engine.step():
        pass
    bound(engine, Batch().put(b"last", b"confirmed"))
    after = FaultyDisk(disk.image(), room=disk.used())
    again = opened(after, clock, segment_bytes=500, max_disk_bytes=10_000)
    assert again.get(b"last") == b"confirmed" and again.reserve.held_bytes == 0
    assert again.log.counts["records carried"] == 1
