"""A scripted workload with every kind of write of the store, checked against its history after a fault."""

import contextlib
import random

from lichencleat.store.batch import Batch
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.engine import Engine
from lichencleat.store.errors import FullError, NotConfirmedError, StoreError
from lichencleat.testkit.checkers.store_history import History
from lichencleat.testkit.faulty_disk import FaultyDisk, PowerCutError

SMALL = StoreLimits(
    segment_bytes=400, max_disk_bytes=12_000, max_entries=100, max_memory_bytes=100_000, max_segments=64
)
SECOND = 1_000_000


class StoreWorkload:
    """Runs the workload on one disk after another, with a manual clock, and records its history."""

    def __init__(self, seed=1, limits=SMALL):
        self.now = 1_000 * SECOND
        self.rng = random.Random(seed)
        self.history = History()
        self.limits = limits
        self.engine = None
        self.confirmations = []  # number of confirmed batches, with each segment's size then

    def open(self, disk, create=True):
        self.engine = Engine.open(disk, lambda: self.now, self.rng, self.limits, create=create)
        return self.engine

    def commit(self, *changes):
        """Commit one batch of changes: (key, value or None to delete, expiry)."""
        batch = Batch()
        for key, value, expiry in changes:
            if value is None:
                batch.delete(key)
            else:
                batch.put(key, value, expiry)
        self.history.record_request(changes)
        (error,) = self.engine.commit([batch])
        if error is None:
            self.history.record_confirmation()
            sizes = {each.name: each.size for each in self.engine.log.segments.values()}
            self.confirmations.append((self.history.confirmed, sizes))
        elif isinstance(error, FullError) and error.limit != "room on the disk itself":
            self.history.record_refusal()
        elif isinstance(error, FullError | NotConfirmedError):
            self.history.record_failure()
        return error

    def run_maintenance(self, limit=400, budget=200):
        for _ in range(limit):
            if not self.engine.step(budget):
                return
        raise AssertionError("maintenance did not finish")

    def run(self, rounds=3, with_checkpoint=True, close=True):
        """Puts, rewrites, batches, deletes, expiry, rotation, compaction, a checkpoint and a clean close."""
        for turn in range(rounds):
            for n in range(4):
                self.commit((b"k%d" % n, b"v%d.%d" % (turn, n) * 6, 0))
            self.commit((b"a", b"%d" % turn, 0), (b"b", b"x" * 40 * turn, 0), (b"k1", None, 0))
            self.commit((b"t%d" % turn, b"soon over", self.now + SECOND))
            self.commit((b"k%d" % turn, None, 0))
            self.now += SECOND // 2
            self.run_maintenance()
        for n in range(4):  # segments without live entries, which are removed without a copy
            self.commit((b"again", b"%d" % n * 350, 0))
            self.run_maintenance()
        if with_checkpoint:
            with contextlib.suppress(OSError):
                self.engine.checkpoint_writer.begin()
            self.run_maintenance()
        self.commit((b"after", b"the checkpoint", 0))
        self.commit((b"and", b"one", 0), (b"more", None, 0), (b"batch", b"", 0))
        if close:
            self.engine.close()

    def check(self, engine):
        found = dict(engine.scan())
        for key, value in found.items():
            assert engine.get(key) == value
        assert engine.get(b"never asked for") is None
        return self.history.check(found, self.now)


def run_until_power_cut(workload, disk):
    """Run the workload until a power cut from the disk's faults; returns whether there was one."""
    try:
        workload.open(disk)
        workload.run()
    except PowerCutError:
        return True
    except StoreError:
        return False
    return False


def count_calls():
    """Number of disk calls of the workload: the places for a fault."""
    disk = FaultyDisk()
    workload = StoreWorkload()
    workload.open(disk)
    workload.run()
    assert workload.engine.log.counts["segments cleaned"] and workload.engine.log.counts["checkpoints"]
    return len(disk.calls)
