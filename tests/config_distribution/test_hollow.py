"""Shared copies behave as a copy with its own table: the same versions, bytes, answers and errors."""

import random

import pytest

from lichencleat.config_distribution import pages
from lichencleat.config_distribution.copy import TableCopy
from lichencleat.config_distribution.errors import ChainError, CorruptTableError, TableError
from lichencleat.config_distribution.table import Table
from lichencleat.config_distribution.terms import PAGE_COUNT, Batch, Change, PagesAnswer, SnapshotHead
from lichencleat.testkit.hollow import Shared, SharedCopy

NAMES = [f"t{number}" for number in range(40)]


class Source:
    """A table with all its batches and views."""

    def __init__(self, rng: random.Random, count: int) -> None:
        self.table, self.batches, self.views = Table(), [], []
        for version in range(1, count + 1):
            names = rng.sample(NAMES, 6)
            changes = [Change("tenant", name, rng.choice([None, rng.randbytes(5)])) for name in names]
            self.batches.append(self.table.apply(version * 2, changes))
            self.views.append(self.table.view())


def told(call, *args):
    """The call's result, or the type of its error."""
    try:
        return call(*args)
    except TableError as wrong:
        return type(wrong)


def goes_on(copy):
    """Steps until it is ready or corrupt, at most a bounded number; hollow copies need fewer slices."""
    for _ in range(40):
        ready = told(copy.step)
        if ready is not False:
            return ready
    return False


def spoilt(rng, page):
    number, data = page
    return number, rng.choice([data[:-1], b"", bytes([data[0] ^ 1]) + data[1:], data + b"x"])


@pytest.mark.parametrize("seed", range(6))
def test_a_shared_copy_behaves_as_a_copy_with_its_own_table(seed):
    rng = random.Random(seed)
    source, other = Source(rng, 12), Source(random.Random(seed + 100), 12)
    shared = Shared()
    pairs = [(TableCopy(), SharedCopy(shared)) for _ in range(5)]
    counts = {"taken": 0, "wrong": 0}
    for _ in range(400):
        if rng.random() < 0.1:  # a node is replaced
            pairs[rng.randrange(5)] = TableCopy(), SharedCopy(shared)
        own, hollow = rng.choice(pairs)
        what = rng.randrange(8)
        if what < 3:
            at = next((at for at, each in enumerate(source.batches) if each.previous == own.version), 0)
            at = at if rng.random() < 0.9 else rng.randrange(12)
            batches = source.batches[at : at + rng.randrange(1, 4)]
            if rng.random() < 0.1 and batches:
                batches[-1] = Batch(
                    batches[-1].version, batches[-1].previous, batches[-1].digest, batches[-1].changes[1:]
                )
            assert told(own.stage, batches) == told(hollow.stage, batches)
        elif what < 5:
            whose = source if rng.random() < 0.9 else other
            view = rng.choice(whose.views)
            head = view.head(0)
            if rng.random() < 0.1:
                head = SnapshotHead(head.version, head.digest, head.pages[16:] + head.pages[:16], 0)
            own.begin(head)
            hollow.begin(head)
            for _ in range(rng.randrange(40)):
                numbers = sorted(own.missing(PAGE_COUNT))
                assert numbers == sorted(hollow.missing(PAGE_COUNT))
                assert len(own.missing(4)) == len(hollow.missing(4)) == len(numbers[:4])
                numbers = numbers[:4]
                sent = [(number, view.packed(number)) for number in numbers]
                if sent and rng.random() < 0.05:
                    sent[-1] = spoilt(rng, sent[-1])
                assert told(own.put, PagesAnswer(head.version, tuple(sent))) == told(
                    hollow.put, PagesAnswer(head.version, tuple(sent))
                )
                assert goes_on(own) == goes_on(hollow)
        elif what == 5:
            own.drop()
            hollow.drop()
        if rng.random() < 0.9:
            ready, same = goes_on(own), goes_on(hollow)
            assert ready == same
            counts["wrong"] += ready in (CorruptTableError, ChainError)
        if rng.random() < 0.8:
            taken = told(own.take)
            assert taken == told(hollow.take)
            counts["taken"] += taken is not ChainError
        assert (own.version, own.digest) == (hollow.version, hollow.digest)
        assert own.table.pages == hollow.table.pages
        assert [own.find("tenant", name) for name in NAMES] == [hollow.find("tenant", name) for name in NAMES]
    assert counts["taken"] > 50 and counts["wrong"] > 50


def test_a_batch_is_applied_once_and_a_page_inflated_once(monkeypatch):
    source, shared = Source(random.Random(1), 9), Shared()
    copies = [SharedCopy(shared) for _ in range(20)]
    for copy in copies:
        copy.stage(tuple(Batch(*each.__reduce__()[1]) for each in source.batches[:4]))
        while not copy.step():
            pass
        copy.take()
    assert shared.applied == 4
    assert all(each.table is copies[0].table for each in copies)
    calls = []
    once = pages.inflate_page
    monkeypatch.setattr(pages, "inflate_page", lambda data: calls.append(data) or once(data))
    view = source.views[8]
    for copy in copies:
        copy.begin(view.head(0))
        numbers = copy.missing(PAGE_COUNT)
        assert copy.put(
            PagesAnswer(view.version, tuple((number, bytes(view.packed(number))) for number in numbers))
        )
        assert copy.step() and copy.version == 8
        copy.take()
    assert len(calls) == len(numbers)
    assert all(each.table is copies[0].table and each.digest == view.digest for each in copies)


def test_the_caches_are_bounded(monkeypatch):
    monkeypatch.setattr("lichencleat.testkit.hollow.MAX_TABLES", 3)
    monkeypatch.setattr("lichencleat.testkit.hollow.MAX_WORKS", 3)
    source, shared = Source(random.Random(1), 12), Shared()
    ahead, behind = SharedCopy(shared), SharedCopy(shared)
    for copy in (ahead, behind):
        for batch in source.batches:
            copy.stage((batch,))
            while not copy.step():
                pass
            copy.take()
            assert max(len(shared.tables), len(shared.works)) <= 3
    assert ahead.digest == behind.digest == source.table.digest


def test_two_batches_with_the_same_version_are_both_checked():
    source, shared = Source(random.Random(1), 2), Shared()
    good = source.batches[0]
    wrong = Batch(good.version, good.previous, good.digest, good.changes[:-1])
    for _ in range(2):
        first, second = SharedCopy(shared), SharedCopy(shared)
        first.stage((good,))
        while not first.step():
            pass
        second.stage((wrong,))
        with pytest.raises(CorruptTableError):
            while not second.step():
                pass
        first.take()
        with pytest.raises(ChainError):
            second.take()
        assert (first.version, second.version) == (2, 0)
