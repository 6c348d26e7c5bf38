"""The persisted table: complete after any power cut, checked at the start, never blocking the reactor."""

import queue
import random
import threading

import pytest
from twisted.internet.defer import Deferred, execute
from twisted.internet.task import Clock

from lichencleat.config_distribution import kept as module
from lichencleat.config_distribution import pages
from lichencleat.config_distribution.kept import (
    PersistedTable,
    make_persisted_table,
    open_persisted_table,
    page_key,
)
from lichencleat.config_distribution.table import Table
from lichencleat.config_distribution.terms import PAGE_COUNT, Batch, Change
from lichencleat.store.batch import Batch as Stored
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.engine import Engine
from lichencleat.store.errors import CannotOpenError, CorruptDataError, Finding, StoreError
from lichencleat.store.store import Store
from lichencleat.testkit.faulty_disk import FaultyDisk, PowerCutError, by_chance

SECOND = 1_000_000
BOUNDS = StoreLimits(segment_bytes=64 << 10, max_disk_bytes=8 << 20, keep_reserve=False)


@pytest.fixture(autouse=True)
def large_slices(request, monkeypatch):
    """Fewer turns per start; `test_a_start_checks_pages_in_slices` covers the real number."""
    if "slices" not in request.function.__name__:
        monkeypatch.setattr(module, "PAGES_PER_CHECK", 512)
        monkeypatch.setattr(module, "PAGES_PER_READ", 512)


class Hands:
    """The store's threads: work at once, or call by call if the test says so."""

    def __init__(self):
        self.calls, self.at_once, self.off = [], True, False

    def __call__(self, call, *args):
        if self.at_once:
            return execute(self.guarded, call, *args)
        told = Deferred()
        self.calls.append((told, call, args))
        return told

    def guarded(self, call, *args):
        return call(*args)

    def work(self, most=1000):
        while self.calls and most:
            told, call, args = self.calls.pop(0)
            most -= 1
            execute(call, *args).chainDeferred(told)


class Life:
    """One start of the process on a disk in memory."""

    def __init__(self, disk, group="", seed=1):
        self.disk, self.hands, self.clock, self.lines = disk, Hands(), Clock(), []
        engine = Engine.open(disk, lambda: 5 * SECOND, random.Random(seed), BOUNDS, create=True)
        self.store = Store(self.clock, engine, self.hands, self.hands, maintenance=False)
        self.kept: PersistedTable = result(
            make_persisted_table(self.clock, self.store, group, self.lines.append)
        )

    def load(self):
        told = self.kept.load()
        while not told.called:  # each slice is a turn
            self.clock.advance(0)
        return result(told)

    def stop(self):
        result(self.kept.close())


def result(told):
    found = []
    told.addBoth(found.append)
    assert found, "it waits"
    if isinstance(found[0], BaseException) or hasattr(found[0], "raiseException"):
        found[0].raiseException()
    return found[0]


def change(name, value):
    return Change("tenant", name, value)


def step(table: Table, version: int, count: int = 3) -> Batch:
    rng = random.Random(version)
    names = rng.sample(range(60), count)
    return table.apply(version, [change(f"t{name}", rng.choice([None, b"%d" % version])) for name in names])


def same(one: Table, other: Table) -> bool:
    return (one.version, one.digest, one.pages, one.records, one.bytes) == (
        other.version,
        other.digest,
        other.pages,
        other.records,
        other.bytes,
    )


def test_a_start_checks_pages_in_slices(monkeypatch):
    disk = FaultyDisk()
    table, _ = written(disk)
    life, looked = Life(FaultyDisk(disk.image())), [0]  # pages between two turns
    unpack, turn = module.unpack_page, PersistedTable.next_turn

    def counted(number, data):
        looked[-1] += 1
        return unpack(number, data)

    monkeypatch.setattr(module, "unpack_page", counted)
    monkeypatch.setattr(PersistedTable, "next_turn", lambda kept: looked.append(0) or turn(kept))
    assert same(life.load()[0], table)
    assert sum(looked) == PAGE_COUNT and max(looked) == module.PAGES_PER_CHECK == 2


def test_the_next_start_loads_what_was_written():
    disk, table = FaultyDisk(), Table()
    life = Life(disk, "fleet")
    loaded, mark, recent = life.load()
    assert same(loaded, Table()) and (mark, recent, life.kept.problem) == (b"", [], "")
    made = []
    life.kept.set_group_mark(b"mark")
    for version in range(1, 30):
        made.append(step(table, version * 2))
        life.kept.on_batches_applied(table, (made[-1],))
    life.stop()
    again = Life(FaultyDisk(disk.image()), "fleet")
    loaded, mark, recent = again.load()
    assert same(loaded, table)
    assert (mark, recent, again.kept.problem, again.lines) == (b"mark", made, "", [])
    made.append(step(loaded, 100))  # the chain continues from there
    again.kept.on_batches_applied(loaded, (made[-1],))
    assert again.kept.counts["pages written"] <= 3
    again.stop()
    assert same(Life(FaultyDisk(again.disk.image())).load()[0], loaded)


def test_a_snapshot_removes_the_batches_before_it():
    disk, table = FaultyDisk(), Table()
    life = Life(disk)
    life.load()
    for version in (1, 2, 3):
        life.kept.on_batches_applied(table, (step(table, version),))
    other = Table()
    for version in (7, 8):
        step(other, version, 40)
    life.kept.on_snapshot_applied(other)
    last = step(other, 9)
    life.kept.on_batches_applied(other, (last,))
    loaded, _, recent = Life(FaultyDisk(disk.image())).load()
    assert same(loaded, other) and recent == [last]
    assert life.kept.counts["pages written"] >= 30


def test_recent_batches_are_bounded_and_their_keys_are_reused(monkeypatch):
    monkeypatch.setattr(module, "MAX_RECENT_BATCHES", 8)
    disk, table, made = FaultyDisk(), Table(), []
    life = Life(disk)
    life.load()
    for version in range(1, 40):
        made.append(step(table, version, 1))
        life.kept.on_batches_applied(table, (made[-1],))
    loaded, _, recent = Life(FaultyDisk(disk.image())).load()
    assert same(loaded, table) and recent == made[-8:]
    monkeypatch.setattr(module, "MAX_RECENT_BYTES", 300)
    for version in range(40, 50):
        made.append(table.apply(version, [change("big", bytes([version]) * 90)]))
        life.kept.on_batches_applied(table, (made[-1],))
    loaded, _, recent = Life(FaultyDisk(disk.image())).load()
    assert same(loaded, table) and recent == made[-2:]
    assert sum(1 for _ in life.store.scan(b"b")) == 2


def test_one_write_has_all_changes_that_waited_for_a_slow_disk():
    disk, table, made = FaultyDisk(), Table(), []
    life = Life(disk)
    life.load()
    life.hands.at_once = False
    for version in range(1, 51):
        made.append(step(table, version))
        life.kept.on_batches_applied(table, (made[-1],))
    assert len(life.hands.calls) == 1
    life.hands.work()
    assert life.kept.counts["writes"] <= 3
    loaded, _, recent = Life(FaultyDisk(disk.image())).load()
    assert same(loaded, table) and recent == made


@pytest.mark.parametrize("beside", [False, True])
def test_a_power_cut_at_any_call_leaves_a_complete_version_no_older_than_confirmed(beside, monkeypatch):
    if beside:  # each write is a snapshot that doesn't fit one commit
        monkeypatch.setattr(module, "MAX_IN_PLACE_BYTES", 0)
        monkeypatch.setattr(module, "MAX_CHUNK_BYTES", 200)
    states = {0: Table()}
    at = 0
    for fault in (FaultyDisk.CUT, FaultyDisk.CUT_AFTER):
        call = 0
        while True:
            disk, table, confirmed = FaultyDisk(), Table(), 0
            disk.faults[call] = fault
            try:
                life = Life(disk)
                life.load()
                for version in range(1, 11):
                    batch = step(table, version, 12)
                    states.setdefault(version, Table.loaded(version, table.pages))
                    if version % 3:
                        life.kept.on_batches_applied(table, (batch,))
                    else:
                        life.kept.on_snapshot_applied(table)
                    if disk.off:
                        break
                    confirmed = version
            except PowerCutError:
                pass
            if not disk.off:
                break
            at += 1
            after = Life(disk.after_cut(by_chance(random.Random(call))))
            loaded, _, recent = after.load()
            assert after.kept.problem == ""
            assert loaded.version >= confirmed
            assert same(loaded, states[loaded.version])
            assert not recent or recent[-1].version == loaded.version
            call += 1
    assert at >= 2 * 2 * 10  # an append and a flush of each version, cut before and after


def test_a_full_disk_is_reported_once_counted_and_survived():
    disk, table = FaultyDisk(), Table()
    life = Life(disk)
    life.load()
    life.kept.on_batches_applied(table, (step(table, 1),))
    disk.room = disk.used()
    for version in range(2, 6):
        life.kept.on_batches_applied(table, (step(table, version),))
    assert "not kept" in life.kept.problem and len(life.lines) == 1
    life.clock.advance(module.RETRY_DELAY_S)
    assert (life.kept.counts["writes failed"], len(life.lines)) == (2, 1)
    disk.room = None
    life.clock.advance(module.RETRY_DELAY_S)
    assert (life.kept.problem, len(life.lines)) == ("", 2)
    loaded, _, recent = Life(FaultyDisk(disk.image())).load()
    assert same(loaded, table) and [each.version for each in recent] == [1, 2, 3, 4, 5]


def test_closing_with_a_full_disk_terminates():
    disk, table = FaultyDisk(), Table()
    life = Life(disk)
    life.load()
    disk.room = disk.used()
    life.kept.on_batches_applied(table, (step(table, 1),))
    life.stop()
    assert life.clock.getDelayedCalls() == []


def test_closing_waits_for_the_write_under_way_and_changes_made_meanwhile():
    disk, table = FaultyDisk(), Table()
    life = Life(disk)
    life.load()
    life.hands.at_once = False
    life.kept.on_batches_applied(table, (step(table, 1),))
    life.kept.on_batches_applied(table, (step(table, 2),))
    told = life.kept.close()
    assert not told.called
    life.hands.work()
    assert told.called
    assert same(Life(FaultyDisk(disk.image())).load()[0], table)


def written(disk, count=5):
    table, life = Table(), Life(disk)
    life.load()
    for version in range(1, count + 1):
        life.kept.on_batches_applied(table, (step(table, version),))
    return table, life


def spoil_page(life, table, page):
    """Corrupts a page as faulty memory on its way to the disk would, with or without a matching digest."""
    number = next(at for at in range(PAGE_COUNT) if table.pages[at])
    return number, Stored().put(page_key(number, 0), page(number, table.pages[number]))


@pytest.mark.parametrize(
    "page",
    [
        lambda number, page: bytes(16) + pages.deflate_page(page),  # a wrong digest
        lambda number, page: pages.page_digest(number, page).to_bytes(16, "little") + b"torn",
        lambda number, page: b"",
        lambda number, page: (
            pages.page_digest(number, page[:-1]).to_bytes(16, "little") + pages.deflate_page(page[:-1])
        ),
        lambda number, page: pages.page_digest(number, b"").to_bytes(16, "little") + pages.deflate_page(b""),
    ],
)
def test_a_corrupt_page_is_detected_and_nothing_is_used(page):
    disk = FaultyDisk()
    table, life = written(disk)
    number, batch = spoil_page(life, table, page)
    result(life.store.commit(batch))
    after = Life(FaultyDisk(disk.image()))
    loaded, mark, recent = after.load()
    assert same(loaded, Table()) and (mark, recent) == (b"", [])
    assert "corrupt" in after.kept.problem and len(after.lines) == 1
    other = Table()
    step(other, 9, 30)
    after.kept.on_snapshot_applied(other)  # and it is overwritten
    assert after.kept.problem == ""
    assert same(Life(FaultyDisk(after.disk.image())).load()[0], other)


def test_an_unreadable_page_is_detected_and_an_unreadable_batch_skipped(monkeypatch):
    """As if a bit flips behind the part that the store's checkpoint covers: the read detects it."""
    disk = FaultyDisk()
    table, _ = written(disk)
    number = next(at for at in range(PAGE_COUNT) if table.pages[at])
    for lost, left in [(module.batch_key(1), [3, 4, 5]), (page_key(number, 0), None)]:
        life = Life(FaultyDisk(disk.image()))
        get = life.store.engine.get

        def broken(key, get=get, lost=lost):
            if key == lost:
                raise CorruptDataError([Finding("1.log", 7, "not whole")])
            return get(key)

        monkeypatch.setattr(life.store.engine, "get", broken)
        loaded, _, recent = life.load()
        if left is None:
            assert same(loaded, Table()) and recent == [] and "1.log" in life.kept.problem
        else:
            assert same(loaded, table) and [each.version for each in recent] == left


def test_an_older_head_over_newer_pages_is_detected():
    disk = FaultyDisk()
    table, life = written(disk)
    head = life.store.engine.get(module.HEAD_KEY)
    life.kept.on_batches_applied(table, (step(table, 9),))
    result(life.store.commit(Stored().put(module.HEAD_KEY, head)))
    after = Life(FaultyDisk(disk.image()))
    assert same(after.load()[0], Table()) and "not those of version 5" in after.kept.problem


@pytest.mark.parametrize(
    ("number", "data", "left"),
    [
        (2, b"torn", [4, 5]),
        (2, module.encode(Batch(2, 1, b"", ())), [4, 5]),  # a stale batch
        (4, module.encode(Batch(5, 4, bytes(16), ())), []),  # of another table
        (4, module.encode(Batch(4, 3, b"", ())), []),
    ],
)
def test_batches_that_do_not_lead_to_the_version_are_skipped(number, data, left):
    disk = FaultyDisk()
    table, life = written(disk)
    result(life.store.commit(Stored().put(module.batch_key(number), data)))
    loaded, _, recent = Life(FaultyDisk(disk.image())).load()
    assert same(loaded, table) and [each.version for each in recent] == left


def test_the_directory_of_another_program_is_rejected_and_unchanged():
    disk = FaultyDisk()
    engine = Engine.open(disk, lambda: 5 * SECOND, random.Random(1), BOUNDS, create=True)
    engine.commit([Stored().put(b"key", b"value")])
    engine.close()
    image = disk.image()
    with pytest.raises(CannotOpenError, match="something else"):
        Life(disk)
    assert disk.image() == image and not disk.locked
    disk = FaultyDisk()
    Life(disk, "fleet").stop()
    with pytest.raises(CannotOpenError, match="'fleet'"):
        Life(disk, "other")
    Life(disk, "fleet").stop()
    life = Life(disk)
    result(life.store.commit(Stored().put(module.HEAD_KEY, module.encode((2, "", b"", 0, b"", b"", 0, 0)))))
    life.store.close()
    with pytest.raises(CannotOpenError, match="format 2"):
        Life(disk)


class Reactor(Clock):
    """Runs in the test's thread what other threads hand over."""

    def __init__(self):
        super().__init__()
        self.handed = queue.Queue()

    def callFromThread(self, call, *args):  # noqa: N802
        self.handed.put((call, args))

    def callInThread(self, call, *args):  # noqa: N802
        thread = threading.Thread(target=call, args=args)
        thread.start()
        self.callFromThread(thread.join)

    def until(self, told):
        """The Deferred's result; other threads have 20 s for it."""
        results = []
        told.addBoth(results.append)
        while not results:
            if any(each.getTime() <= self.seconds() for each in self.getDelayedCalls()):
                self.advance(0)
            else:
                call, args = self.handed.get(timeout=20)
                call(*args)
        return results[0]


def test_on_a_real_directory_with_threads(tmp_path):
    reactor, table = Reactor(), Table()

    def opened(group=""):
        told = open_persisted_table(
            reactor, str(tmp_path / "d"), lambda: 5 * SECOND, random.Random(1), group=group
        )
        return reactor.until(told)

    kept = opened("fleet")
    assert opened("fleet").check(StoreError)  # in use
    reactor.until(kept.load())
    for version in range(1, 9):
        kept.on_batches_applied(table, (step(table, version),))
    reactor.until(kept.close())
    assert opened("other").check(CannotOpenError)
    again = opened("fleet")
    loaded, _, recent = reactor.until(again.load())
    assert same(loaded, table) and recent[-1].version == 8
    reactor.until(again.close())


def test_a_flipped_bit_anywhere_leaves_a_complete_version_or_none():
    """The store detects most of them at its opening; none may lead to a table that never existed."""
    disk, table, states = FaultyDisk(), Table(), {Table().digest}
    life = Life(disk)
    life.load()
    for version in range(1, 8):
        life.kept.on_batches_applied(table, (step(table, version, 20),))
        states.add(table.digest)
    image, rng = disk.image(), random.Random(5)
    refused = older = 0
    for _ in range(80):
        name = rng.choice([each for each in image if image[each]])
        data = bytearray(image[name])
        data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
        try:
            after = Life(FaultyDisk({**image, name: bytes(data)}))
            loaded, _, recent = after.load()
        except StoreError:
            refused += 1
            continue
        assert loaded.digest in states
        assert Table.loaded(loaded.version, loaded.pages).digest == loaded.digest
        assert not recent or recent[-1].digest == loaded.digest
        older += loaded.digest != table.digest
    assert refused > 20 and older > 0
