"""Compares the store with a dict over sequences of calls from hypothesis, with power cuts and reopenings."""

import random

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lichencleat.store.capacity import StoreLimits
from lichencleat.store.errors import SnapshotEndedError
from lichencleat.testkit.checkers.store_history import visible_entries
from lichencleat.testkit.faulty_disk import FaultyDisk, PowerCutError, by_chance
from tests.store.workload import SECOND, StoreWorkload

keys = st.sampled_from([b"a", b"ab", b"b", b"\x00", b"\xff" * 3, b"abc"])
values = st.one_of(st.just(b""), st.binary(max_size=60), st.just(b"\xa7\xc5" * 20))
ttls = st.one_of(st.just(0), st.integers(1, 3 * SECOND))
SMALL = StoreLimits(
    segment_bytes=300,
    max_disk_bytes=30_000,
    max_entries=50,
    max_memory_bytes=100_000,
    max_segments=128,
    max_undo_entries=8,
)


class Model(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.disk = FaultyDisk()
        self.workload = StoreWorkload(limits=SMALL)
        self.workload.open(self.disk)
        self.snapshots = []  # each with its expected entries

    def expected_entries(self):
        """The expected entries at the latest time that the store has seen."""
        history = self.workload.history
        return visible_entries(history.state_after(len(history.batches)), self.workload.engine.log.time)

    @rule(key=keys, value=values, ttl=ttls)
    def put(self, key, value, ttl):
        assert self.workload.commit((key, value, ttl and self.workload.now + ttl)) is None

    @rule(key=keys)
    def delete(self, key):
        assert self.workload.commit((key, None, 0)) is None

    @rule(changes=st.lists(st.tuples(keys, st.one_of(st.none(), values), st.just(0)), min_size=2, max_size=5))
    def batch(self, changes):
        assert self.workload.commit(*changes) is None

    @rule(steps=st.integers(1, 30), budget=st.integers(1, 400))
    def run_maintenance(self, steps, budget):
        for _ in range(steps):
            self.workload.engine.step(budget)

    @precondition(lambda self: self.workload.engine.checkpoint_writer.in_progress is None)
    @rule()
    def checkpoint(self):
        self.workload.engine.checkpoint_writer.begin()

    @rule(span=st.integers(-SECOND, 2 * SECOND))
    def clock_moves(self, span):
        self.workload.now += span

    @precondition(lambda self: len(self.snapshots) < 3)
    @rule()
    def snapshot(self):
        snapshot = self.workload.engine.snapshot()
        history = self.workload.history
        self.snapshots.append((snapshot, history.state_after(len(history.batches))))

    @precondition(lambda self: self.snapshots)
    @rule(prefix=st.sampled_from([b"", b"a", b"\xff"]), limit=st.integers(1, 4))
    def read_snapshot(self, prefix, limit):
        snapshot, entries = self.snapshots.pop(0)
        found, cursor = [], b""
        try:
            while rows := self.workload.engine.chunk(snapshot, cursor, prefix, limit):
                found += rows
                cursor = rows[-1][0] + b"\0"
        except SnapshotEndedError:
            assert not snapshot.is_open
        else:
            expected = visible_entries(entries, self.workload.engine.log.time)
            assert found == sorted((key, value) for key, value in expected.items() if key.startswith(prefix))
        self.workload.engine.release(snapshot)

    @rule(with_checkpoint=st.booleans())
    def close_and_open(self, with_checkpoint):
        for snapshot, _ in self.snapshots:
            self.workload.engine.release(snapshot)
        self.snapshots = []
        if with_checkpoint:
            self.workload.engine.checkpoint_writer.begin()
            self.workload.run_maintenance()
        self.workload.engine.close()
        assert self.disk.open_files == 0 and not self.disk.locked
        self.workload.open(self.disk)

    @rule(seed=st.integers(0, 1 << 16))
    def cut(self, seed):
        self.snapshots = []
        self.disk = self.disk.after_cut(by_chance(random.Random(seed)))
        # a power cut may lose the time marks of the last second
        self.workload.now = max(self.workload.now, self.workload.engine.log.time)
        self.workload.open(self.disk)

    @rule(calls=st.integers(0, 12), seed=st.integers(0, 1 << 16), key=keys, value=values)
    def power_cut_while_writing(self, calls, seed, key, value):
        self.snapshots = []
        self.disk.faults = {len(self.disk.calls) + calls: FaultyDisk.CUT}
        try:
            for turn in range(6):
                self.workload.commit((key, value, 0), (b"with", b"%d" % turn, 0))
                self.workload.engine.step(200)
        except PowerCutError:
            pass
        self.disk.faults = {}
        self.workload.now = max(self.workload.now, self.workload.engine.log.time)
        self.disk = self.disk.after_cut(by_chance(random.Random(seed)))
        engine = self.workload.open(self.disk)
        found = dict(engine.scan())
        history = self.workload.history
        assert history.check(found, engine.log.time) is None
        if found != self.expected_entries():  # the unconfirmed batch was lost
            history.batches = history.batches[: history.confirmed]
        history.record_confirmation()  # recovered entries have to survive

    @invariant()
    def entries_match_the_model(self):
        engine = self.workload.engine
        engine.log.tick()
        assert dict(engine.scan()) == self.expected_entries()
        assert sum(engine.log.index.live_bytes.values()) == sum(
            each & 0xFFFFFFFF for each in engine.log.index.locations.values()
        )

    def teardown(self):
        self.workload.engine.close()
        assert self.disk.open_files == 0


TestModel = Model.TestCase
TestModel.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    derandomize=True,  # the same examples in every run
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
