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


def open_engine(disk, clock, **limits):
    return Engine.open(disk, clock, random.Random(3), StoreLimits(**limits), create=True)


def commit(engine, batch):
    """Commit the batch; returns the name of the limit that it exceeds, or None."""
    (error,) = engine.commit([batch])
    return None if error is None else error.limit


def test_engine_names_the_limit_and_accepts_deletes(disk, clock):
    engine = open_engine(
        disk,
        clock,
        max_entries=3,
        max_memory_bytes=2_000,
        max_disk_bytes=9_000,
        segment_bytes=4_000,
        keep_reserve=False,
    )
    for n in range(3):
        assert commit(engine, Batch().put(b"%d" % n, b"")) is None
    assert commit(engine, Batch().put(b"3", b"")) == "entries"
    assert commit(engine, Batch().put(b"2", b"again")) is None
    assert commit(engine, Batch().delete(b"2")) is None
    assert commit(engine, Batch().put(b"m" * 1_800, b"")) == "bytes in memory"
    assert commit(engine, Batch().put(b"2", b"x" * 5_000)) == "bytes on disk"
    assert commit(engine, Batch().put(b"2", b"x" * 3_900)) is None
    assert commit(engine, Batch().put(b"0", b"x" * 600)) == "bytes on disk"
    assert commit(engine, Batch().delete(b"2")) is None
    while engine.step():
        pass
    assert commit(engine, Batch().put(b"0", b"x" * 600)) is None


def test_engine_keeps_empty_and_largest_values(disk, clock):
    large = random.Random(1).randbytes(16 << 20)
    engine = open_engine(disk, clock, segment_bytes=1 << 20, keep_reserve=False)
    for key, value in ((b"\x00", b""), (b"large", large), (b"\xff\n", b"\xa7\xc5" * 9)):
        assert commit(engine, Batch().put(key, value)) is None
    engine.close()
    engine = open_engine(disk, clock, segment_bytes=1 << 20, keep_reserve=False)
    assert engine.get(b"large") == large and engine.get(b"\x00") == b""
    assert [key for key, _ in engine.scan()] == [b"\x00", b"large", b"\xff\n"]


def test_engine_reclaims_the_space_of_a_rewritten_key(disk, clock):
    engine = open_engine(disk, clock, segment_bytes=4_000, max_disk_bytes=40_000)
    for n in range(3_000):
        assert commit(engine, Batch().put(b"k", b"%d" % n * 10)) is None
        engine.step()
    assert engine.get(b"k") == b"2999" * 10
    assert engine.stat()["bytes on disk"] < 20_000 and disk.used() < 30_000


def test_engine_keeps_expired_entries_removed_when_the_clock_steps_back(disk, clock):
    engine = open_engine(disk, clock, segment_bytes=8_000, max_disk_bytes=400_000, keep_reserve=False)
    assert commit(engine, Batch().put(b"k7", b"older, without an end")) is None
    for n in range(1_000):
        assert commit(engine, Batch().put(b"k%d" % n, b"v" * 50, clock.now + SECOND + n)) is None
    clock.now += 2 * SECOND
    assert engine.get(b"k7") is None
    while engine.step():
        pass
    assert len(engine.log.index) == 0 and engine.stat()["bytes on disk"] < 16_000
    clock.now -= 30 * SECOND
    assert engine.get(b"k7") is None
    engine = open_engine(FaultyDisk(disk.image()), clock, segment_bytes=8_000)
    assert list(engine.scan()) == []


def test_compactor_never_revives_deleted_values_in_any_order_of_segments(disk, clock):
    rng = random.Random(2)
    engine = open_engine(disk, clock, segment_bytes=300, max_disk_bytes=1 << 20, keep_reserve=False)
    expected = {}
    for turn in range(400):
        key = b"%d" % rng.randrange(12)
        if rng.random() < 0.5:
            expected[key] = b"%d" % turn * 5
            assert commit(engine, Batch().put(key, expected[key])) is None
        else:
            expected.pop(key, None)
            assert commit(engine, Batch().delete(key)) is None
        sealed = [segment for segment in engine.log.segments.values() if segment is not engine.log.active]
        # a random victim, not the one with the best score
        if engine.compactor.in_progress is None and sealed and turn % 7 == 0:
            segment = rng.choice(sealed)
            engine.compactor.in_progress = Compaction(segment, segment.data_start, segment.first_sequence)
        engine.step(100)
        if turn % 20 == 0:
            assert dict(open_engine(FaultyDisk(disk.image()), clock, keep_reserve=False).scan()) == expected


def test_engine_limits_snapshots_and_ends_them_for_disk_space(disk, clock):
    engine = open_engine(disk, clock, segment_bytes=1_000, max_disk_bytes=9_000, keep_reserve=False)
    snapshots = [engine.snapshot() for _ in range(MAX_SNAPSHOTS)]
    with pytest.raises(FullError, match="snapshots"):
        engine.snapshot()
    for each in snapshots[1:]:
        engine.release(each)
    for n in range(200):
        assert commit(engine, Batch().put(b"k", b"%d" % n * 40)) is None
        while engine.step():
            pass
    with pytest.raises(SnapshotEndedError):
        engine.chunk(snapshots[0], b"", b"")
    assert engine.log.counts["snapshots ended"] == 1 and disk.open_files == len(engine.log.segments)


def test_compactor_skips_a_segment_with_a_read_error(disk, clock):
    engine = open_engine(disk, clock, segment_bytes=300, keep_reserve=False)
    for n in range(30):
        commit(engine, Batch().put(b"k%d" % (n % 4), b"v" * 30))
    location = engine.log.index.locations[b"k1"]
    disk.faults = {len(disk.calls): 5}
    with pytest.raises(CorruptDataError, match="can't be read"):
        engine.get(b"k1")
    assert engine.get(b"k1") == b"v" * 30
    damaged = engine.log.segments[segment_of(location)]
    engine.compactor.in_progress = Compaction(damaged, damaged.data_start, damaged.first_sequence)
    disk.faults = {len(disk.calls): 5}
    with pytest.raises(CorruptDataError):
        engine.step()
    assert (
        damaged.is_damaged
        and engine.compactor.in_progress is None
        and engine.log.index.locations[b"k1"] == location
    )
    while engine.step():
        pass
    assert damaged.number in engine.log.segments


@pytest.mark.parametrize(
    ("files", "message"),
    [
        ({"notes.txt": b"hello"}, "not empty"),
        ({"STORE": b"lcststo\x02" + bytes(8), "000000000001.log": b""}, "newer than 1"),
        ({"STORE": b"something else!!"}, "not a store"),
        ({"000000000007.log": b"lcstlog"}, "salvage"),
    ],
)
def test_open_refuses_other_directories_unchanged(files, message, clock):
    disk = FaultyDisk(files)
    with pytest.raises(CannotOpenError, match=message):
        open_engine(disk, clock)
    assert disk.image() == files and disk.open_files == 0 and not disk.locked


def test_open_refuses_an_empty_directory_without_create(clock):
    with pytest.raises(CannotOpenError, match="not a store"):
        Engine.open(FaultyDisk(), clock, random.Random(1))


def test_open_on_a_full_disk_uses_the_reserve(disk, clock):
    engine = open_engine(disk, clock, segment_bytes=500, max_disk_bytes=10_000)
    for n in range(20):
        commit(engine, Batch().put(b"k%d" % (n % 6), b"%d" % n * 20))
    while engine.step():
        pass
    commit(engine, Batch().put(b"last", b"confirmed"))
    full_disk = FaultyDisk(disk.image(), room=disk.used())
    reopened = open_engine(full_disk, clock, segment_bytes=500, max_disk_bytes=10_000)
    assert reopened.get(b"last") == b"confirmed" and reopened.reserve.held_bytes == 0
    assert reopened.log.counts["records carried"] == 1
