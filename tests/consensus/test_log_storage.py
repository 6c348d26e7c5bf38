"""The log in the store: writes, large snapshots in chunks, and a power cut at each disk call."""

import random

import msgspec
import pytest
from support.log_storage import (
    CHUNK_BYTES,
    CONFIGURATION,
    WRITES,
    execute_write,
    expected_states,
    make_snapshot,
    open_engine,
    reload,
)

from lichencleat.consensus.log_storage import (
    CHUNK_KEY_PREFIX,
    MAX_CHUNK_BYTES,
    PENDING_CHUNKS_KEY,
    SNAPSHOT_KEY,
    LogStorage,
    chunk_key,
    entry_key,
)
from lichencleat.consensus.messages import (
    DurableWrite,
    Entry,
    EntryType,
    Snapshot,
)
from lichencleat.store.batch import Batch
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.engine import Engine
from lichencleat.store.errors import CorruptDataError
from lichencleat.testkit.faulty_disk import FaultyDisk, PowerCutError, by_chance


def stored_chunk_keys(engine):
    return [key for key, _ in engine.scan(CHUNK_KEY_PREFIX)]


def test_each_write_is_read_back_and_void_chunks_are_deleted():
    engine, storage = open_engine(FaultyDisk()), LogStorage(CHUNK_BYTES)
    for write, expected in zip(WRITES, expected_states()[1:], strict=True):
        execute_write(engine, storage, write)
        assert reload(engine)[1] == expected
        count = 0 if len(expected[2] or b"") <= CHUNK_BYTES else -(-len(expected[2]) // CHUNK_BYTES)
        assert stored_chunk_keys(engine) == [chunk_key(expected[0], number) for number in range(count)]
        assert engine.get(PENDING_CHUNKS_KEY) is None


def range_of_disk_calls():
    disk = FaultyDisk()
    engine, storage = open_engine(disk), LogStorage(CHUNK_BYTES)
    begin = len(disk.calls)
    for write in WRITES:
        execute_write(engine, storage, write)
    return begin, len(disk.calls)


@pytest.mark.parametrize("fault", [FaultyDisk.CUT, FaultyDisk.CUT_AFTER])
def test_power_cut_at_each_call_leaves_a_complete_write_and_no_stray_chunk(fault):
    begin, end = range_of_disk_calls()
    expected, left_over = expected_states(), 0
    for call in range(begin, end):
        for seed in range(6):
            disk = FaultyDisk()
            engine, storage = open_engine(disk), LogStorage(CHUNK_BYTES)
            disk.faults = {call: fault}
            done = 0
            try:
                for write in WRITES:
                    execute_write(engine, storage, write)
                    done += 1
            except PowerCutError:
                pass
            engine = open_engine(disk.after_cut(by_chance(random.Random(seed))))
            storage, found = reload(engine)
            assert found in expected[done : done + 2], (call, seed)
            base, last, _ = found
            other_snapshot = make_snapshot(last + 9, 1_500)
            following = [
                # the remaining writes, as if there had been no power cut
                WRITES[expected.index(found) :],
                # a write without a snapshot, from another leader
                [DurableWrite(9, 1, 1, last + 1, (), last, base)],
                # a snapshot from another leader
                [DurableWrite(9, 1, 1, last + 10, (), last + 9, last + 9, other_snapshot)],
            ][seed % 3]
            left_over += stored_chunk_keys(engine) != active_chunk_keys(storage)
            for write in following:
                execute_write(engine, storage, write)
                assert stored_chunk_keys(engine) == active_chunk_keys(storage), (call, seed)
                reload(engine)
    assert left_over > 10


def active_chunk_keys(storage):
    return [chunk_key(storage.active_chunks[0], number) for number in range(storage.active_chunks[1])]


def test_snapshot_header_is_compatible_with_versions_before_chunks():
    engine, storage = open_engine(FaultyDisk()), LogStorage(CHUNK_BYTES)
    old = make_snapshot(3, 9_000)
    engine.commit(
        [
            Batch()
            .put(SNAPSHOT_KEY, msgspec.msgpack.encode(old))
            .put(b"t", msgspec.msgpack.encode((1, 1, 3, 3)))
        ]
    )
    assert LogStorage(CHUNK_BYTES).load(engine.get).snapshot == old
    execute_write(engine, storage, WRITES[3])
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(engine.get(SNAPSHOT_KEY), type=Snapshot)
    small = LogStorage(CHUNK_BYTES)
    execute_write(engine, small, DurableWrite(9, 1, 1, 21, (), 20, 20, make_snapshot(20, CHUNK_BYTES)))
    assert msgspec.msgpack.decode(engine.get(SNAPSHOT_KEY), type=Snapshot) == make_snapshot(20, CHUNK_BYTES)


@pytest.mark.parametrize(
    "corrupt",
    [
        lambda engine: engine.commit([Batch().delete(chunk_key(8, 2))]),
        lambda engine: engine.commit([Batch().put(chunk_key(8, 4), b"short")]),
        lambda engine: engine.commit([Batch().put(chunk_key(8, 0), bytes(CHUNK_BYTES + 1))]),
    ],
)
def test_missing_or_resized_chunk_is_damage(corrupt):
    engine, storage = open_engine(FaultyDisk()), LogStorage(CHUNK_BYTES)
    write = DurableWrite(1, 1, 1, 9, (), 8, 8, make_snapshot(8, 5_000))
    execute_write(engine, storage, write)
    assert LogStorage(CHUNK_BYTES).load(engine.get).snapshot == write.snapshot
    corrupt(engine)
    with pytest.raises(CorruptDataError, match="a confirmed chunk is missing"):
        LogStorage(CHUNK_BYTES).load(engine.get)


def test_snapshot_larger_than_a_batch_is_stored_and_read():
    limits = StoreLimits(segment_bytes=8 << 20, max_disk_bytes=256 << 20)
    engine = Engine.open(FaultyDisk(), lambda: 1, random.Random(1), limits, create=True)
    large = Snapshot(
        3, 1, CONFIGURATION, random.Random(1).randbytes(1 << 20) * 33
    )  # 33 MiB; the limit of a batch is 32 MiB
    execute_write(engine, LogStorage(), DurableWrite(1, 1, 1, 4, (), 3, 3, large))
    assert LogStorage().load(engine.get).snapshot == large
    assert len(large.data) > 32 << 20 and MAX_CHUNK_BYTES < 16 << 20


def test_log_is_read_back_after_truncation_and_compaction():
    disk = FaultyDisk()
    engine, storage = open_engine(disk), LogStorage()
    entries = tuple(Entry(n, EntryType.COMMAND, b"%d" % n) for n in range(1, 9))
    snapshot = Snapshot(3, 3, CONFIGURATION, b"state")
    for write in (
        DurableWrite(1, 2, 1, 1, entries, 8, 0),
        DurableWrite(2, 4, 0, 6, (Entry(9, EntryType.NO_OP),), 6, 0),
        DurableWrite(3, 4, 0, 7, (), 6, 3, snapshot),
    ):
        execute_write(engine, storage, write)
    found = LogStorage().load(engine.get)
    assert (found.term, found.vote, found.snapshot) == (4, 0, snapshot)
    assert found.entries == [*entries[3:5], Entry(9, EntryType.NO_OP)]
    assert [key for key, _ in engine.scan(b"e")] == [entry_key(n) for n in (4, 5, 6)]
    replaced = Snapshot(20, 9, CONFIGURATION, b"later")
    execute_write(engine, storage, DurableWrite(4, 9, 2, 21, (), 20, 20, replaced))
    assert LogStorage().load(engine.get).entries == [] and list(engine.scan(b"e")) == []


def test_missing_entry_is_damage():
    engine, storage = open_engine(FaultyDisk()), LogStorage()
    execute_write(engine, storage, DurableWrite(1, 1, 0, 1, (Entry(1, 0), Entry(1, 0)), 2, 0))
    assert len(LogStorage().load(engine.get).entries) == 2
    engine.commit([Batch().delete(entry_key(1))])
    with pytest.raises(CorruptDataError, match="an entry that was confirmed is missing"):
        LogStorage().load(engine.get)
