"""A member's log in a store, and writes whose snapshots are stored in chunks."""

import random

from lichencleat.consensus.log_storage import (
    LogStorage,
)
from lichencleat.consensus.messages import (
    Configuration,
    DurableWrite,
    Entry,
    EntryType,
    Member,
    Snapshot,
)
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.engine import Engine

CONFIGURATION = Configuration((Member(1, "v1", "h", 1),))


CHUNK_BYTES = 1_000  # size of a snapshot chunk in these tests


STORE_LIMITS = StoreLimits(segment_bytes=64 << 10, max_disk_bytes=4 << 20)


def open_engine(disk):
    return Engine.open(disk, lambda: 1, random.Random(1), STORE_LIMITS, create=True)


def make_snapshot(index, size):
    return Snapshot(index, 1, CONFIGURATION, random.Random(index).randbytes(size))


def make_entries(begin, end):
    return tuple(Entry(1, EntryType.COMMAND, b"%d" % index) for index in range(begin, end + 1))


# The writes of a member: entries, a large snapshot of the first ones, more entries, another large snapshot, a
# small snapshot with entries, and a large snapshot again.
WRITES = [
    DurableWrite(1, 1, 1, 1, make_entries(1, 6), 6, 0),
    DurableWrite(2, 1, 1, 7, (), 6, 3, make_snapshot(3, 3_500)),
    DurableWrite(3, 1, 1, 7, make_entries(7, 9), 9, 3),
    DurableWrite(4, 1, 1, 10, (), 9, 8, make_snapshot(8, 5_000)),
    DurableWrite(5, 1, 1, 10, make_entries(10, 12), 12, 11, make_snapshot(11, 40)),
    DurableWrite(6, 1, 1, 13, (), 12, 12, make_snapshot(12, 2_001)),
]


def expected_states():
    """Return the state before and after each write: snapshot index, last index, the snapshot's data."""
    found, data = [(0, 0, None)], None
    for write in WRITES:
        data = write.snapshot.data if write.snapshot else data
        found.append((write.snapshot_index, write.last_index, data))
    return found


def execute_write(engine, storage, write):
    for chunk in storage.chunk_batches(write):
        assert engine.commit([chunk]) == [None]
    assert engine.commit([storage.make_batch(write)]) == [None]


def reload(engine):
    storage = LogStorage(CHUNK_BYTES)
    durable = storage.load(engine.get)
    data = durable.snapshot.data if durable.snapshot else None
    assert [each.data for each in durable.entries] == [
        b"%d" % index for index in range(storage.snapshot_index + 1, storage.last_index + 1)
    ]
    return storage, (storage.snapshot_index, storage.last_index, data)
