"""A scripted workload for the store, with every kind of write that it makes, judged after any fault."""

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
    """A clock that the test moves, one disk after another, and what was asked of the stores on them."""

    def __init__(self, seed=1, bounds=SMALL):
        self.now = 1_000 * SECOND
        self.rng = random.Random(seed)
        self.history = History()
        self.bounds = bounds
        self.engine = None
        self.confirmations = []  # how many were confirmed, and each segment's size then

    def open(self, disk, create=True):
        self.engine = Engine.open(disk, lambda: self.now, self.rng, self.bounds, create=create)
        return self.engine

    def commit(self, *changes):
        """One batch: (key, value or None, expiry)."""
        batch = Batch()
        for key, value, expiry in changes:
            if value is None:
                batch.delete(key)
            else:
                batch.put(key, value, expiry)
        self.history.record_request(changes)
        (verdict,) = self.engine.commit([batch])
        if verdict is None:
            self.history.record_confirmation()
            sizes = {each.name: each.size for each in self.engine.log.segments.values()}
            self.confirmations.append((self.history.confirmed, sizes))
        elif isinstance(verdict, FullError) and verdict.limit != "room on the disk itself":
            self.history.record_refusal()
        elif isinstance(verdict, FullError | NotConfirmedError):
            self.history.record_failure()
        return verdict

    def run_maintenance(self, limit=400, budget=200):
        for _ in range(limit):
            if not self.engine.step(budget):
                return
        raise AssertionError("maintenance has no end")

    def run(self, rounds=3, point=True, close=True):
        """Puts, rewrites, batches, deletes, expiry, rotation, cleaning; a checkpoint, a clean close."""
        for turn in range(rounds):
            for n in range(4):
                self.commit((b"k%d" % n, b"v%d.%d" % (turn, n) * 6, 0))
            self.commit((b"a", b"%d" % turn, 0), (b"b", b"x" * 40 * turn, 0), (b"k1", None, 0))
            self.commit((b"t%d" % turn, b"soon over", self.now + SECOND))
            self.commit((b"k%d" % turn, None, 0))
            self.now += SECOND // 2
            self.run_maintenance()
        for n in range(4):  # whole segments without anything that lives: they go without a copy
            self.commit((b"again", b"%d" % n * 350, 0))
            self.run_maintenance()
        if point:
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
    """The workload up to a cut that the disk's faults make; True where it was cut."""
    try:
        workload.open(disk)
        workload.run()
    except PowerCutError:
        return True
    except StoreError:
        return False
    return False


def count_calls():
    """How many calls of the disk the workload makes: each is a place to cut at."""
    disk = FaultyDisk()
    workload = StoreWorkload()
    workload.open(disk)
    workload.run()
    assert workload.engine.log.counts["segments cleaned"] and workload.engine.log.counts["checkpoints"]
    return len(disk.calls)
