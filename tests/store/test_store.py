"""The store on a reactor: group commit, limits of the queue, maintenance between writes, closing."""

import queue
import random
import threading

import pytest
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import Clock

from lichencleat.store import store as store_module
from lichencleat.store.batch import Batch
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.engine import Engine
from lichencleat.store.errors import (
    CannotOpenError,
    ClosedError,
    CorruptDataError,
    FullError,
    NotConfirmedError,
    SnapshotEndedError,
)
from lichencleat.store.store import (
    MAINTENANCE_INTERVAL_S,
    MAX_GROUPS_BETWEEN_STEPS,
    MAX_QUEUED_BATCHES,
    MAX_READS,
    Store,
    open_store,
)
from lichencleat.testkit.faulty_disk import FaultyDisk

SECOND = 1_000_000


class ManualExecutor:
    """Replaces a thread: runs its calls one by one, when the test calls `run_next`."""

    def __init__(self):
        self.calls = []

    def __call__(self, call, *args):
        done = Deferred()
        self.calls.append((done, call, args))
        return done

    def run_next(self, limit=1):
        while self.calls and limit > 0:
            limit -= 1
            done, call, args = self.calls.pop(0)
            try:
                result = call(*args)
            except Exception:
                done.errback()
            else:
                done.callback(result)


class Reactor(Clock):
    """Runs calls from other threads in the test's thread."""

    def __init__(self):
        super().__init__()
        self.calls_from_threads = queue.Queue()

    def callFromThread(self, call, *args):
        self.calls_from_threads.put((call, args))

    def callInThread(self, call, *args):
        thread = threading.Thread(target=call, args=args)
        thread.start()
        self.callFromThread(thread.join)

    def wait_for(self, done):
        """Wait up to 20 s for the Deferred's result."""
        results = []
        done.addBoth(results.append)
        while not results:
            call, args = self.calls_from_threads.get(timeout=20)
            call(*args)
        return results[0]


@pytest.fixture
def disk():
    return FaultyDisk()


@pytest.fixture
def engine(disk):
    limits = StoreLimits(segment_bytes=4_000, max_disk_bytes=1 << 20, keep_reserve=False)
    return Engine.open(disk, lambda: 5 * SECOND, random.Random(1), limits, create=True)


@pytest.fixture
def reactor():
    return Reactor()


@pytest.fixture
def writer():
    return ManualExecutor()


@pytest.fixture
def reader():
    return ManualExecutor()


@pytest.fixture
def store(reactor, engine, writer, reader):
    store = Store(reactor, engine, writer, reader)
    writer.run_next()  # the first step of maintenance has nothing to do
    return store


def results(*deferreds):
    outcomes = []
    for each in deferreds:
        each.addBoth(outcomes.append)
    return outcomes


def test_put_is_confirmed_by_the_flush_and_not_before(store, writer, reader, engine):
    outcomes = results(store.put(b"k", b"v"))
    assert outcomes == [] and engine.get(b"k") is None
    writer.run_next()
    assert outcomes == [None]
    read = results(store.get(b"k"))
    reader.run_next()
    assert read == [b"v"]


def test_one_flush_confirms_all_queued_writes(store, writer, engine):
    outcomes = results(*(store.put(b"%d" % n, b"v") for n in range(100)))
    writer.run_next()
    assert len(outcomes) == 1
    flushes = engine.log.counts["flushes"]
    writer.run_next()
    assert len(outcomes) == 100 and engine.log.counts["flushes"] == flushes + 1


def test_batch_over_a_limit_fails_alone(store, writer, engine):
    store.put(b"first", b"")
    good, bad = results(store.put(b"good", b"")), []
    store.put(b"bad", b"x" * (1 << 20)).addErrback(lambda failure: bad.append(failure.value.limit))
    writer.run_next(2)
    assert good == [None] and bad == ["bytes on disk"] and engine.get(b"bad") is None


def test_write_over_the_queue_limit_fails_at_once(store, writer):
    queued = results(*(store.put(b"k", b"") for _ in range(MAX_QUEUED_BATCHES + 1)))
    assert queued == []
    (failure,) = results(store.put(b"k", b""))
    assert failure.check(FullError) and failure.value.limit == "waiting writes"
    writer.run_next(1_000)
    assert queued == [None] * (MAX_QUEUED_BATCHES + 1)
    outcomes = results(store.put(b"k", b""))
    writer.run_next()
    assert outcomes == [None]


def test_read_over_the_limit_fails_at_once(store, reader):
    reads = results(*(store.get(b"k") for _ in range(MAX_READS)))
    (failure,) = results(store.get(b"k"))
    assert failure.check(FullError) and failure.value.limit == "waiting reads"
    reader.run_next(MAX_READS)
    assert reads == [None] * MAX_READS
    outcomes = results(store.get(b"k"))
    reader.run_next()
    assert outcomes == [None]


def test_failed_flush_fails_all_writes_of_the_group(store, writer, disk):
    store.put(b"a", b"1")
    writer.run_next()
    disk.faults = {len(disk.calls) + 1: 5}
    outcomes = results(store.put(b"a", b"2"))
    writer.run_next()
    assert outcomes[0].check(NotConfirmedError)
    outcomes = results(store.put(b"a", b"3"))
    writer.run_next()
    assert outcomes == [None]


def test_maintenance_runs_under_constant_writes(store, writer, engine):
    for n in range(40 * MAX_GROUPS_BETWEEN_STEPS):
        store.put(b"k", b"%d" % n * 20)
        writer.run_next()
    assert engine.log.counts["segments cleaned"] > 0
    assert engine.stat()["bytes on disk"] < 200_000


def test_failed_maintenance_is_retried_later_not_at_once(store, writer, engine, reactor):
    attempts = []

    def step(budget):
        attempts.append(budget)
        raise NotConfirmedError("the disk failed")

    engine.step = step
    reactor.advance(MAINTENANCE_INTERVAL_S)
    writer.run_next(50)
    assert len(attempts) == 1 and "failed" in store.last_error
    reactor.advance(MAINTENANCE_INTERVAL_S)
    writer.run_next(50)
    assert len(attempts) == 2


def test_close_writes_queued_batches_and_refuses_new_ones(store, writer, reader, disk, reactor):
    outcomes = results(*(store.put(b"%d" % n, b"") for n in range(3)))
    closed = results(store.close(), store.close())
    assert results(store.put(b"k", b""))[0].check(ClosedError)
    assert results(store.get(b"k"))[0].check(ClosedError)
    writer.run_next(50)
    assert outcomes == [None] * 3 and closed == [None, None]
    assert disk.open_files == 0 and not disk.locked and not reactor.getDelayedCalls()


def test_read_under_way_during_close_completes(store, writer, reader, engine, disk):
    store.put(b"k", b"v")
    writer.run_next()
    location = engine.log.index.locations[b"k"]
    segment = engine.log.segments[location >> 64 & 0xFFFFFFFF]
    segment.reference_count += 1  # as a concurrent reader does
    store.close()
    writer.run_next(5)
    assert engine.reader.read_value(segment, b"k", location) == b"v"
    engine.log.release(segment)
    assert disk.open_files == 0


def test_snapshot_chunks_are_unchanged_by_later_writes(store, writer, reader):
    for n in range(5):
        store.put(b"k%d" % n, b"old")
    writer.run_next(3)
    snapshot = store.snapshot()
    store.commit(Batch().put(b"k1", b"new").delete(b"k2").put(b"k9", b"new"))
    writer.run_next()
    rows = results(store.chunk(snapshot, b"", b"k", 2), store.chunk(snapshot, b"k1\0", b"k"))
    reader.run_next(2)
    assert rows[0] + rows[1] == [(b"k%d" % n, b"old") for n in range(5)]
    store.release(snapshot)
    outcomes = results(store.chunk(snapshot))
    reader.run_next()
    assert outcomes[0].check(SnapshotEndedError)


def test_store_with_threads_on_a_real_disk(reactor, tmp_path):
    clock = lambda: 5 * SECOND  # noqa: E731
    store = reactor.wait_for(open_store(reactor, str(tmp_path / "s"), clock, random.Random(1)))
    puts = gatherResults([store.put(b"%03d" % n, b"v" * n) for n in range(300)])
    assert reactor.wait_for(puts) == [None] * 300
    assert store.engine.log.counts["flushes"] < 100
    assert reactor.wait_for(store.get(b"299")) == b"v" * 299
    second = reactor.wait_for(open_store(reactor, str(tmp_path / "s"), clock, random.Random(2)))
    assert second.check(CannotOpenError) and "in use by another process" in second.getErrorMessage()
    assert reactor.wait_for(store.close()) is None
    reopened = reactor.wait_for(open_store(reactor, str(tmp_path / "s"), clock, random.Random(3)))
    assert len(list(reopened.scan())) == 300
    assert reactor.wait_for(reopened.close()) is None


def test_corrupt_value_fails_the_read(store, writer, reader, engine, disk):
    store.put(b"k", b"value")
    writer.run_next()
    content = disk.live_names[engine.log.active.name]
    content.now[-2] ^= 1
    outcomes = results(store.get(b"k"))
    reader.run_next()
    assert outcomes[0].check(CorruptDataError)


def test_group_size_is_limited(store, writer, engine, monkeypatch):
    monkeypatch.setattr(store_module, "MAX_GROUP_BYTES", 500)
    store.put(b"first", b"")
    outcomes = results(*(store.put(b"%d" % n, b"x" * 100) for n in range(10)))
    writer.run_next(2)
    assert 0 < len(outcomes) < 5
