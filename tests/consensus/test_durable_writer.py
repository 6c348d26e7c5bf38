"""The order in which the durable writer passes writes and snapshot chunks to the store."""

from support.log_storage import CHUNK_BYTES, WRITES, expected_states, open_engine, reload
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from lichencleat.consensus.durable_writer import DurableWriter
from lichencleat.consensus.log_storage import (
    LogStorage,
)
from lichencleat.store.errors import FullError, StoreError
from lichencleat.store.store import Store
from lichencleat.testkit.faulty_disk import FaultyDisk


class ManualStore:
    """A stand-in for the store: keeps batches in order; the test confirms each one explicitly."""

    def __init__(self):
        self.batches = []

    def commit(self, batch):
        confirmation = Deferred()
        self.batches.append((batch, confirmation))
        return confirmation

    def confirm(self):
        self.batches.pop(0)[1].callback(None)


def test_writer_writes_chunks_one_by_one_before_later_writes():
    store, done, failed = ManualStore(), [], []
    writer = DurableWriter(store, LogStorage(CHUNK_BYTES), done.append, failed.append)
    writer.write(WRITES[0])
    writer.write(WRITES[1])
    writer.write(WRITES[2])
    assert len(store.batches) == 2  # the first write, and the batch that names the chunks
    store.confirm()
    for _ in range(5):
        assert len(store.batches) == 1 and done == [1]
        store.confirm()
    assert len(store.batches) == 2  # the write with the snapshot and, at once, the one after it
    store.confirm()
    store.confirm()
    assert done == [1, 2, 3] and not failed and not store.batches


def test_writer_stops_at_a_chunk_that_fails():
    store, done, failed = ManualStore(), [], []
    writer = DurableWriter(store, LogStorage(CHUNK_BYTES), done.append, failed.append)
    writer.write(WRITES[1])
    writer.write(WRITES[2])
    store.confirm()
    store.batches.pop(0)[1].errback(FullError("bytes on disk"))
    writer.write(WRITES[3])
    assert not store.batches and not done and len(failed) == 1
    assert isinstance(failed[0].value, StoreError)


def test_full_disk_while_writing_chunks_leaves_the_previous_snapshot():
    clock, disk, done, failed = Clock(), FaultyDisk(), [], []
    engine = open_engine(disk)

    def run_at_once(call, *args):
        try:
            return succeed(call(*args))
        except StoreError as error:
            return fail(error)

    store = Store(clock, engine, run_at_once, run_at_once, maintenance=False)
    writer = DurableWriter(store, LogStorage(CHUNK_BYTES), done.append, failed.append)
    for write in WRITES[:3]:
        writer.write(write)
    disk.room = disk.used() + 2_500  # two of five chunks
    writer.write(WRITES[3])
    writer.write(WRITES[4])
    assert done == [1, 2, 3] and len(failed) == 1
    engine.close()
    disk.room, disk.locked = None, False
    assert reload(open_engine(disk))[1] == expected_states()[3]
