"""Engine: limits, reclaimed space, snapshots and opening."""

import random

import pytest

from lichencleat.store.batch import Batch
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.compactor import Compaction
from lichencleat.store.engine import Engine
from lichencleat.store.errors import (
    CannotOpenError,
    CorruptDataError,
    FullError,
    SnapshotEndedError,
)
from lichencleat.store.index import segment_of
from lichencleat.store.reader import MAX_SNAPSHOTS
from lichencleat.testkit.faulty_disk import FaultyDisk

SECOND = 1_000_000


class ManualClock:
    now = 100 * SECOND

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def disk():
    return FaultyDisk()


def opened(disk, clock, **bounds):
    return Engine.open(disk, clock, random.Random(3), StoreLimits(**bounds), create=True)


def bound(engine, batch):
    (verdict,) = engine.commit([batch])
    return None if verdict is None else verdict.limit


def test_engine_names_the_limit_and_accepts_deletes(disk, clock):
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


def test_engine_keeps_empty_and_largest_values(disk, clock):
    large = random.Random(1).randbytes(16 << 20)
    engine = opened(disk, clock, segment_bytes=1 << 20, keep_reserve=False)
    for key, value in ((b"\x00", b""), (b"large", large), (b"\xff\n", b"\xa7\xc5" * 9)):
        assert bound(engine, Batch().put(key, value)) is None
    engine.close()
    engine = opened(disk, clock, segment_bytes=1 << 20, keep_reserve=False)
    assert engine.get(b"large") == large and engine.get(b"\x00") == b""
    assert [key for key, _ in engine.scan()] == [b"\x00", b"large", b"\xff\n"]


def test_engine_reclaims_the_space_of_a_rewritten_key(disk, clock):
    engine = opened(disk, clock, segment_bytes=4_000, max_disk_bytes=40_000)
    for n in range(3_000):
        assert bound(engine, Batch().put(b"k", b"%d" % n * 10)) is None
        engine.step()
    assert engine.get(b"k") == b"2999" * 10
    assert engine.stat()["bytes on disk"] < 20_000 and disk.used() < 30_000


def test_engine_reclaims_expired_entries_for_good_when_the_clock_goes_back(disk, clock):
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


def test_compactor_never_revives_deleted_values_in_any_order_of_segments(disk, clock):
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
        # a random victim, not the one with the best score
        if engine.compactor.in_progress is None and sealed and turn % 7 == 0:
            each = rng.choice(sealed)
            engine.compactor.in_progress = Compaction(each, each.data_start, each.first_sequence)
        engine.step(100)
        if turn % 20 == 0:
            assert dict(opened(FaultyDisk(disk.image()), clock, keep_reserve=False).scan()) == held


def test_engine_limits_snapshots_and_ends_them_for_disk_space(disk, clock):
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


def test_compactor_leaves_a_segment_with_a_read_error(disk, clock):
    engine = opened(disk, clock, segment_bytes=300, keep_reserve=False)
    for n in range(30):
        bound(engine, Batch().put(b"k%d" % (n % 4), b"v" * 30))
    where = engine.log.index.locations[b"k1"]
    disk.faults = {len(disk.calls): 5}
    with pytest.raises(CorruptDataError, match="can't be read"):
        engine.get(b"k1")
    assert engine.get(b"k1") == b"v" * 30
    damaged = engine.log.segments[segment_of(where)]
    engine.compactor.in_progress = Compaction(damaged, damaged.data_start, damaged.first_sequence)
    disk.faults = {len(disk.calls): 5}
    with pytest.raises(CorruptDataError):
        engine.step()
    assert (
        damaged.is_damaged
        and engine.compactor.in_progress is None
        and engine.log.index.locations[b"k1"] == where
    )
    while engine.step():
        pass
    assert damaged.number in engine.log.segments


@pytest.mark.parametrize(
    ("files", "message"),
    [
        ({"notes.txt": b"hello"}, "not empty"),
        ({"STORE": b"lcststo\x02" + bytes(8), "000000000001.log": b""}, "newer than 1"),
        ({"STORE": b"something else!!"}, "no store"),
        ({"000000000007.log": b"lcstlog"}, "salvage"),
    ],
)
def test_open_refuses_other_directories_unchanged(files, message, clock):
    disk = FaultyDisk(files)
    with pytest.raises(CannotOpenError, match=message):
        opened(disk, clock)
    assert disk.image() == files and disk.open_files == 0 and not disk.locked


def test_open_refuses_an_empty_directory_without_create(clock):
    with pytest.raises(CannotOpenError, match="no store"):
        Engine.open(FaultyDisk(), clock, random.Random(1))


def test_open_on_a_full_disk_uses_the_reserve(disk, clock):
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
