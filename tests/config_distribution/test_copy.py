"""A follower's copy: batches and snapshots staged in slices, corrupt ones discarded, fetched pages kept."""

import pytest

from lichencleat.config_distribution import pages
from lichencleat.config_distribution.copy import TableCopy
from lichencleat.config_distribution.errors import ChainError, CorruptTableError
from lichencleat.config_distribution.table import Table
from lichencleat.config_distribution.terms import PAGE_COUNT, Batch, Change, PagesAnswer, SnapshotHead


def change(name: str, value: bytes | None) -> Change:
    return Change("tenant", name, value)


def source_of(count: int) -> Table:
    table = Table()
    for at in range(0, count, 500):
        table.apply(at + 1, [change(f"acme-{each}", b"%d" % each) for each in range(at, at + 500)])
    return table


def ready(copy) -> None:
    while not copy.step():
        pass


def piece(view, numbers) -> PagesAnswer:
    return PagesAnswer(view.version, tuple((number, view.packed(number)) for number in numbers))


def fetched(copy, view, count: int) -> list[int]:
    """Fetches `count` more pages and checks them."""
    numbers = copy.missing(count)
    assert copy.put(piece(view, numbers))
    for _ in numbers:
        assert not copy.step()
    return numbers


def test_batches_are_applied_as_a_whole_and_returned():
    source, copy = Table(), TableCopy(mark=b"m")
    made = tuple(source.apply(at, [change("x", b"%d" % at), change(f"y{at}", b"")]) for at in (2, 5))
    copy.stage(made)
    with pytest.raises(ChainError):
        copy.take()  # staged, but not checked
    copy.stage(made)
    ready(copy)
    assert copy.version == 0 and copy.find("tenant", "x") is None
    assert copy.take() == made
    assert (copy.version, copy.digest, copy.find("tenant", "x")) == (5, source.digest, b"5")
    with pytest.raises(ChainError):
        copy.take()
    with pytest.raises(ChainError):
        copy.stage(made)
    assert copy.version == 5


def test_a_corrupt_batch_changes_nothing():
    source, copy = source_of(500), TableCopy(source_of(500))
    good = source.apply(9, [change("acme-1", b"new")])
    copy.stage([Batch(9, 1, good.digest, (change("acme-1", b"neu"),))])
    with pytest.raises(CorruptTableError):
        ready(copy)
    copy.drop()
    assert not copy.step()
    with pytest.raises(ChainError):
        copy.take()
    copy.stage([good])
    ready(copy)
    assert copy.take() == (good,)
    assert copy.digest == source.digest


def test_a_snapshot_is_applied_in_one_turn_and_replaced_pages_are_freed_in_slices():
    source, copy = source_of(2000), TableCopy(source_of(500))
    old = copy.table.pages
    view = source.view()
    copy.begin(view.head(0))
    while numbers := copy.missing(100):
        assert copy.put(piece(view, numbers))
        assert set(copy.missing(PAGE_COUNT)).isdisjoint(numbers)
    ready(copy)
    assert (copy.version, copy.find("tenant", "acme-1999"), copy.table.pages) == (1, None, old)
    assert copy.take() == ()
    assert (copy.version, copy.digest) == (1501, source.digest)
    assert copy.find("tenant", "acme-1999") == b"1999"
    assert copy.replaced_pages is old
    copy.stage([source.apply(1600, [change(f"n{at}", b"") for at in range(400)])])
    while copy.replaced_pages:
        copy.step()
    ready(copy)
    copy.take()
    assert copy.digest == source.digest


def test_a_corrupt_page_ends_a_snapshot_and_the_next_relay_continues_with_valid_pages():
    source, copy = source_of(2000), TableCopy()
    view = source.view()
    copy.begin(view.head(0))
    whole = fetched(copy, view, 300)
    bad, unseen = copy.missing(2)
    assert copy.put(PagesAnswer(view.version, ((unseen, view.packed(unseen)), (bad, b"nonsense"))))
    with pytest.raises(CorruptTableError, match=f"page {bad}"):
        ready(copy)
    copy.drop()
    assert copy.missing(9) == [] and not copy.step()
    stale = copy.rebuild.missing(9)[-1]  # received, not checked yet, and different in the next snapshot
    copy.unchecked_pages[stale] = view.packed(stale)
    name = next(pages.iterate_records(source.pages[stale]))[1]
    source.apply(5000, [change("acme-1", b"new"), change(name, b"new")])
    later = source.view()
    copy.begin(later.head(0))
    missing = copy.missing(PAGE_COUNT)
    touched = pages.locate_key(pages.encode_key("tenant", "acme-1"))[0]
    assert {bad, stale} <= set(missing) and unseen not in missing
    assert set(missing) & set(whole) <= {touched}
    fetched(copy, later, PAGE_COUNT)
    ready(copy)
    copy.take()
    assert (copy.version, copy.digest) == (5000, source.digest)


def test_pages_of_another_snapshot_or_not_requested_are_rejected():
    source, copy = source_of(500), TableCopy()
    assert not copy.put(PagesAnswer(1, ()))
    view = source.view()
    copy.begin(view.head(0))
    number = copy.missing(1)[0]
    assert not copy.put(PagesAnswer(2, ((number, view.packed(number)),)))
    empty = next(at for at in range(PAGE_COUNT) if not source.pages[at])
    assert not copy.put(PagesAnswer(1, ((empty, view.packed(empty)),)))
    assert copy.missing(1) == [number]
    copy.drop()
    assert not copy.put(piece(view, [number]))


def test_step_reports_an_invalid_head_and_fetched_pages_stay():
    source, copy = source_of(500), TableCopy()
    view = source.view()
    copy.begin(view.head(0))
    whole = fetched(copy, view, 50)
    copy.begin(SnapshotHead(7, b"x" * 16, view.head(0).pages, 0))
    assert copy.missing(9) == []
    with pytest.raises(CorruptTableError):
        copy.step()
    with pytest.raises(ChainError):
        copy.take()
    copy.drop()
    copy.begin(view.head(0))
    assert not set(whole) & set(copy.missing(PAGE_COUNT))
    ahead = TableCopy(source_of(1000))
    ahead.begin(view.head(0))
    with pytest.raises(ChainError):  # older than the version in force
        ahead.step()


def test_batches_applied_meanwhile_end_the_snapshot():
    source, copy = source_of(500), TableCopy(source_of(500))
    batch = source.apply(502, [change("acme-1", b"new")])
    view = source.view()
    copy.begin(view.head(0))
    fetched(copy, view, 1)
    copy.stage([batch])
    ready(copy)
    copy.take()
    assert copy.rebuild is None and copy.digest == source.digest
    copy.begin(view.head(0))  # the same snapshot again: no page is missing
    assert copy.missing(9) == [] and copy.step()
    copy.take()
    assert copy.version == 502
