"""The table of records: packed pages, digests, batches and snapshots applied as a whole or not at all."""

import random
import zlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lichencleat.config_distribution import pages
from lichencleat.config_distribution import table as module
from lichencleat.config_distribution.errors import ChainError, CorruptTableError, InvalidBatchError
from lichencleat.config_distribution.table import Table
from lichencleat.config_distribution.terms import (
    DIGEST_BYTES,
    MAX_BATCH_CHANGES,
    MAX_NAME_BYTES,
    MAX_VALUE_BYTES,
    PAGE_COUNT,
    Batch,
    Change,
    SnapshotHead,
)

steady = settings(derandomize=True, deadline=None, database=None, max_examples=40)
NAMES = [f"t{number}" for number in range(9)]
HASH = pages.hash_key
SAME = {"all on one place": lambda key: 7 << 52 | 5, "few places": lambda key: (HASH(key) & 3) << 52 | 1}


def change(name: str, value: bytes | None, kind: str = "tenant") -> Change:
    return Change(kind, name, value)


def ended(staging) -> None:
    while not staging.step():
        pass


def filled(count: int, version: int = 1) -> Table:
    table = Table()
    for at in range(0, count, MAX_BATCH_CHANGES):
        names = range(at, min(count, at + MAX_BATCH_CHANGES))
        table.apply(version, [change(f"acme-{each}", b"value %d" % each) for each in names])
        version += 1
    return table


def copied(source: Table, target: Table) -> None:
    view = source.view()
    rebuild = target.rebuild(view.head(0))
    for number in rebuild.missing(PAGE_COUNT):
        assert rebuild.put(number, view.packed(number))
    ended(rebuild)
    rebuild.take()


def test_empty_table_has_a_fixed_digest():
    table = Table()
    assert table.digest == Table().digest
    assert table.digest.hex() == "4ead1c0a868f1995b112e99b7a0a7954"  # the value at every process
    assert (table.version, table.records, table.bytes) == (0, 0, 0)
    assert table.find("tenant", "acme") is None


def test_invalid_names_are_not_found():
    table = filled(3)
    for kind, name in [("tenant", "\ud800"), ("k" * 300, "n"), ("", ""), ("tenant", "n" * 300)]:
        assert table.find(kind, name) is None


def test_kind_and_name_are_distinguished_if_their_concatenations_are_equal(monkeypatch):
    monkeypatch.setattr(pages, "hash_key", SAME["all on one place"])
    table = Table()
    table.apply(1, [Change("ab", "c", b"1"), Change("a", "bc", b"2"), Change("abc", "d", b"")])
    assert [table.find(*each) for each in [("ab", "c"), ("a", "bc"), ("abc", "d"), ("abcd", "")]] == [
        b"1",
        b"2",
        b"",
        None,
    ]


batches = st.lists(
    st.dictionaries(
        st.tuples(st.sampled_from(["tenant", "route", "t"]), st.sampled_from(NAMES)),
        st.one_of(st.none(), st.binary(max_size=6)),
        min_size=1,
        max_size=8,
    ),
    min_size=1,
    max_size=8,
)


@pytest.mark.parametrize("hashes", ["as they are", *SAME])
def test_each_name_has_its_own_value(hashes, monkeypatch):
    """At every slice of batches and snapshots the table has the complete old or the complete new state."""
    if hashes in SAME:
        monkeypatch.setattr(pages, "hash_key", SAME[hashes])

    def agree(table, model):
        for kind in ("tenant", "route", "t"):
            for name in NAMES:
                assert table.find(kind, name) == model.get((kind, name))
        assert {(kind, name): value for kind, name, value in table.items()} == model
        assert table.records == len(model)

    @steady
    @given(batches, st.lists(st.integers(1, 3), min_size=8, max_size=8), st.booleans())
    def run(drawn, together, snapshot):
        source, follower, late = Table(), Table(), Table()
        model, made, states = {}, [], [{}]
        for version, puts in enumerate(drawn, 1):
            before = [model.get(key) for key in puts]
            made.append(source.apply(version * 3, [Change(*key, value) for key, value in puts.items()]))
            assert source.replaced_values == before
            model = {key: value for key, value in (model | puts).items() if value is not None}
            states.append(model)
            agree(source, model)
        at = 0
        for count in together:
            taken = made[at : at + count]
            if taken:
                staging = follower.stage(taken)
                ready = False
                while not ready:
                    agree(follower, states[at])
                    ready = staging.step()
                agree(follower, states[at])
                staging.take()
                at += len(taken)
                agree(follower, states[at])
                if snapshot and at < len(made):
                    copied(follower, late)
                    agree(late, states[at])
        copied(source, late)
        agree(late, model)
        assert follower.digest == late.digest == source.digest
        assert follower.pages == late.pages == source.pages
        assert (late.records, late.bytes, late.version) == (source.records, source.bytes, source.version)

    run()


@pytest.mark.parametrize("hashes", ["as they are", *SAME])
def test_the_same_records_make_the_same_bytes_in_any_order(hashes, monkeypatch):
    if hashes in SAME:
        monkeypatch.setattr(pages, "hash_key", SAME[hashes])
    records = [change(name, b"%d" % at, kind) for at, name in enumerate(NAMES) for kind in ("a", "b")]
    rng = random.Random(3)
    tables = []
    for _ in range(6):
        rng.shuffle(records)
        table = Table()
        cut = rng.randrange(1, len(records))
        table.apply(1, [*records[cut:], change("goes", b"soon")])
        table.apply(2, [change("goes", None), *records[:cut]])
        tables.append(table)
    assert all(each.pages == tables[0].pages and each.digest == tables[0].digest for each in tables)
    loaded = Table.loaded(2, tables[0].pages)
    assert (loaded.digest, loaded.records, loaded.bytes) == (
        tables[0].digest,
        tables[0].records,
        tables[0].bytes,
    )


def test_a_batch_that_does_not_follow_is_not_staged():
    table = filled(4)
    batch = Table().apply(5, [change("x", b"1")])
    for past, version in [(0, 5), (2, 5), (1, 1), (1, 0)]:
        with pytest.raises(ChainError):
            table.stage([Batch(version, past, batch.digest, batch.changes)])
    with pytest.raises(ChainError):  # a gap between two
        table.stage([Batch(5, 1, b"", batch.changes), Batch(7, 6, b"", batch.changes)])
    with pytest.raises(ChainError):
        table.apply(1, [change("x", b"1")])


def test_a_wrong_digest_is_rejected_and_nothing_changes():
    source, table = filled(600), filled(600)
    good = source.apply(9, [change(f"acme-{at}", b"new") for at in range(400)])
    more = source.apply(10, [change("acme-1", None)])
    for wrong in [
        Batch(9, 2, good.digest, good.changes[:-1]),
        Batch(9, 2, bytes(DIGEST_BYTES), good.changes),
        Batch(9, 2, good.digest, (*good.changes, change("new", b"x"))),
    ]:
        before, pages_before = table.digest, list(table.pages)
        with pytest.raises(CorruptTableError):
            ended(table.stage([wrong, more]))
        assert (table.digest, table.pages, table.version) == (before, pages_before, 2)
    with pytest.raises(CorruptTableError):  # a version that was never made, with correct content
        ended(table.stage([Batch(8, 2, good.digest, good.changes)]))
    second = table.stage([good, Batch(10, 9, good.digest, more.changes)])
    with pytest.raises(CorruptTableError):  # the second batch's
        ended(second)
    assert table.version == 2 and table.find("tenant", "acme-3") == b"value 3"


def test_an_update_staged_on_a_table_that_changed_is_not_applied():
    source, table = filled(10), filled(10)
    one = source.apply(2, [change("x", b"1")])
    two = source.apply(3, [change("y", b"1")])
    first, again = table.stage([one]), table.stage([one, two])
    snapshot = table.rebuild(source.view().head(0))
    ended(first)
    with pytest.raises(ChainError):
        again.take()  # not staged completely
    ended(again)
    first.take()
    with pytest.raises(ChainError):
        again.take()
    for number in snapshot.missing(PAGE_COUNT):
        assert snapshot.put(number, source.view().packed(number))
    assert snapshot.step()
    with pytest.raises(ChainError):
        snapshot.take()
    assert (table.version, table.find("tenant", "y")) == (2, None)


@pytest.mark.parametrize(
    ("changes", "why"),
    [
        ([], "1 to 512"),
        ([change(f"n{at}", b"") for at in range(MAX_BATCH_CHANGES + 1)], "1 to 512"),
        ([change("x", b"1"), change("x", None)], "at most once"),
        ([change("", b"1")], "name"),
        ([change("n" * (MAX_NAME_BYTES + 1), b"1")], "name"),
        ([change("\xe9" * (MAX_NAME_BYTES // 2 + 1), b"1")], "name"),
        ([change("\ud800", b"1")], "UTF-8"),
        ([change("x", b"1", "")], "kind"),
        ([change("x", b"1", "k" * 17)], "kind"),
        ([change("x", bytes(MAX_VALUE_BYTES + 1))], "value"),
        ([change(f"n{at}", bytes(MAX_VALUE_BYTES)) for at in range(40)], "bytes"),
    ],
)
def test_changes_above_a_bound_are_rejected_and_change_nothing(changes, why):
    table = filled(5)
    before = list(table.pages)
    with pytest.raises(InvalidBatchError, match=why):
        table.apply(2, changes)
    assert (table.version, table.pages, table.records) == (1, before, 5)
    if changes:  # nor does a follower apply them, with any digest
        with pytest.raises(CorruptTableError):
            ended(table.stage([Batch(2, 1, bytes(DIGEST_BYTES), tuple(changes))]))


def test_totals_are_bounded_for_voters_and_followers(monkeypatch):
    source, table = filled(9), filled(9)
    batch = source.apply(2, [change("x", b"1")])
    for where, bound, value in [
        ("table", "MAX_RECORDS", 9),
        ("table", "MAX_TABLE_BYTES", table.bytes + 10),
        ("pages", "MAX_PAGE_BYTES", 20),
    ]:
        with monkeypatch.context() as patch:
            patch.setattr(f"lichencleat.config_distribution.{where}.{bound}", value)
            with pytest.raises(InvalidBatchError, match="at the most"):
                table.apply(2, batch.changes)
            with pytest.raises(CorruptTableError):
                ended(table.stage([batch]))
        assert (table.version, table.records) == (1, 9)
    with monkeypatch.context() as patch:
        patch.setattr("lichencleat.config_distribution.rebuild.MAX_RECORDS", 9)
        with pytest.raises(CorruptTableError):
            copied(source, table)
    assert table.apply(2, batch.changes) == batch


def test_a_snapshot_requests_only_pages_that_differ():
    source, table = filled(3000), filled(3000)
    changes = [change(f"acme-{at}", b"new") for at in range(20)]
    source.apply(source.version + 1, changes)
    touched = {pages.locate_key(pages.encode_key("tenant", each.name))[0] for each in changes}
    rebuild = table.rebuild(source.view().head(0))
    assert set(rebuild.missing(PAGE_COUNT)) == touched
    assert rebuild.missing(3) == sorted(touched)[:3]
    with pytest.raises(ChainError):
        rebuild.take()
    assert table.find("tenant", "acme-1") == b"value 1"


def test_corrupt_pages_are_rejected_and_requested_again():
    source, table = filled(3000), Table()
    view = source.view()
    rebuild = table.rebuild(view.head(0))
    number, other = rebuild.missing(2)
    good = view.packed(number)
    page = view.pages[number]
    for bad in [
        b"",
        good[:-1],
        good + b"x",
        bytes([good[0] ^ 1]) + good[1:],
        view.packed(other),
        zlib.compress(page.replace(b"value", b"VALUE")),  # valid, but another page
        zlib.compress(page[:-1]),
        zlib.compress(page + b"x"),
        zlib.compress(bytes(200 << 20), 9),  # inflates to 200 MB
    ]:
        assert not rebuild.put(number, bad)
        assert rebuild.missing(1) == [number]
    assert rebuild.put(number, good)
    assert rebuild.missing(1) == [other]
    assert rebuild.put(number, b"late and not wanted any more")


def test_a_compression_bomb_is_inflated_up_to_the_size_of_a_page(monkeypatch):
    asked = []

    class Stream:
        eof, unused_data = True, b""

        def decompress(self, data, most):
            asked.append(most)
            return bytes(most)

    monkeypatch.setattr(pages.zlib, "decompressobj", Stream)
    with pytest.raises(CorruptTableError):
        pages.inflate_page(b"")
    assert asked == [pages.MAX_PAGE_BYTES + 1]


def test_an_invalid_page_with_a_matching_digest_is_rejected():
    """As a relay would send it whose table was corrupted before the digests were made."""
    number = pages.locate_key(pages.encode_key("tenant", "acme-7"))[0]
    table = Table()
    table.apply(1, [change("acme-7", b"one"), *(change(f"acme-{at}", b"two") for at in range(100, 400))])
    key = pages.encode_key("tenant", "acme-7")
    place = pages.locate_key(key)[1]
    whole = table.pages[number]
    strange = [
        whole[:3],
        whole[:9],
        whole + b"x",
        whole[:-1],
        bytes(8),
        b"\xff\xff\xff\xff" + whole[4:],
        pages.pack_records([place + 1], [key + b"one"]),
        pages.pack_records([place, place], [key + b"one", key + b"one"]),
        pages.pack_records([place], [b"\x06\xf0tenant"]),
        pages.pack_records([place], [b""]),
        pages.pack_records([place], [b"\x00\x00xx"]),
        pages.pack_records(*map(list, zip((place, key + b"one"), (place, key + b""), strict=True))),
    ]
    assert pages.find_page_fault(number, whole) == ""
    for page in strange:
        assert pages.find_page_fault(number, page), page
        digests = list(pages.EMPTY_PAGE_DIGESTS)
        digests[number] = pages.page_digest(number, page)
        told = b"".join(each.to_bytes(16, "little") for each in digests)
        head = SnapshotHead(5, pages.table_digest(sum(digests), 5), told, 0)
        rebuild = Table().rebuild(head)
        assert rebuild.missing(9) == [number]
        assert not rebuild.put(number, zlib.compress(page))
        with pytest.raises(CorruptTableError):
            Table.loaded(1, [page if each == number else b"" for each in range(PAGE_COUNT)])
    assert pages.find_page_fault(number ^ 1, whole)


def test_an_inconsistent_or_older_head_is_rejected():
    source, table = filled(100), filled(100, version=4)
    head = source.view().head(0)
    spoilt = bytearray(head.pages)
    spoilt[77] ^= 1
    for wrong in [
        SnapshotHead(9, head.digest, bytes(spoilt), 0),
        SnapshotHead(9, head.digest, head.pages[:-16], 0),
        SnapshotHead(9, bytes(16), head.pages, 0),
        SnapshotHead(head.version + (1 << 40), head.digest, head.pages, 0),  # a version above any that exists
        SnapshotHead(9, head.digest, head.pages, 0),
    ]:
        with pytest.raises(CorruptTableError):
            table.rebuild(wrong)
    with pytest.raises(ChainError):
        table.rebuild(head)  # an older version
    source.apply(4, [change("acme-1", b"other")])
    with pytest.raises(ChainError):
        table.rebuild(source.view().head(0))  # the same version with another digest


def test_another_relay_s_snapshot_continues_with_pages_that_are_still_valid():
    source, table = filled(3000), Table()
    first = source.view()
    rebuild = table.rebuild(first.head(0))
    fetched = rebuild.missing(500)
    for number in fetched:
        assert rebuild.put(number, first.packed(number))
    source.apply(source.version + 1, [change(f"acme-{at}", b"new") for at in range(0, 3000, 30)])
    later = source.view()
    again = rebuild.continue_with(later.head(0))
    changed = {number for number in fetched if first.pages[number] != later.pages[number]}
    assert changed and changed == set(fetched) & set(again.missing(PAGE_COUNT))
    for number in again.missing(PAGE_COUNT):
        assert again.put(number, later.packed(number))
    ended(again)
    again.take()
    assert (table.version, table.digest, table.records) == (later.version, later.digest, 3000)


def test_a_page_of_a_discarded_snapshot_is_not_kept():
    source, table = filled(100, version=1), filled(100, version=1)
    source.apply(5, [change("acme-1", b"wrong"), change("new", b"one")])
    bad = source.view()
    rebuild = table.rebuild(bad.head(0))
    for number in rebuild.missing(PAGE_COUNT):
        assert rebuild.put(number, bad.packed(number))
    source.apply(6, [change("acme-1", b"value 1"), change("new", None), change("newer", b"one")])
    later = source.view()
    again = rebuild.continue_with(later.head(0))
    differ = [number for number in range(PAGE_COUNT) if later.pages[number] != table.pages[number]]
    assert again.missing(PAGE_COUNT) == differ  # the discarded ones are the table's own again
    for number in differ:
        assert again.put(number, later.packed(number))
    ended(again)
    again.take()
    assert (table.digest, table.pages, table.records, table.bytes) == (
        source.digest,
        source.pages,
        source.records,
        source.bytes,
    )


def test_a_view_does_not_change_and_each_page_is_compressed_once(monkeypatch):
    source = filled(2000)
    old = source.view()
    number = next(at for at in range(PAGE_COUNT) if source.pages[at])
    name = next(pages.iterate_records(source.pages[number]))[1]
    source.apply(source.version + 1, [change(name, b"new")])
    new = source.view()
    calls = []
    once = pages.deflate_page
    monkeypatch.setattr(pages, "deflate_page", lambda page: calls.append(page) or once(page))
    for _ in range(3):
        assert zlib.decompress(old.packed(number)) == old.pages[number]
        assert zlib.decompress(new.packed(number)) == new.pages[number] != old.pages[number]
        assert source.view().packed(number) == new.packed(number)
        assert old.packed(number + 1) == new.packed(number + 1)
    assert len(calls) == 3
    assert old.head(5).age == 5 and old.digest != new.digest


@pytest.mark.parametrize(("records", "names"), [(3000, 1), (40, 1), (40, 40)])
def test_no_slice_exceeds_its_limit(records, names, monkeypatch):
    """In bytes and pages; the benchmark measures the time of a slice."""
    source, table = filled(records), filled(records)
    size = 120 // names
    changes = [change(f"n{at}", bytes([at % 251]) * 20 * names) for at in range(4 * size)]
    batches = [source.apply(source.version + 1, changes[at : at + size]) for at in range(0, 4 * size, size)]
    slices: list[list[int]] = []
    once = pages.rewrite_page

    def counted(page, puts):
        made = once(page, puts)
        slices[-1].append(len(made[0]))
        return made

    monkeypatch.setattr(pages, "rewrite_page", counted)
    monkeypatch.setattr(module, "MAX_SLICE_BYTES", 2_000)
    monkeypatch.setattr(module, "PAGE_OVERHEAD_BYTES", 100)
    monkeypatch.setattr(module, "MAX_SLICE_CHANGES", 7)
    staging = table.stage(batches)
    ready = False
    while not ready:
        slices.append([])
        sorted_before, at = staging.assigned, staging.batch_index
        ready = staging.step()
        assert staging.assigned - sorted_before <= 7
        assert staging.batch_index - at <= 1
    for each in slices:
        assert sum(each[:-1]) + 100 * len(each[:-1]) < 2_000  # the last page may exceed the limit
    assert max(map(len, slices)) > 1  # and slices use the limit
    assert len([each for each in slices if not each]) >= sum(-(-len(each.changes) // 7) for each in batches)
    staging.take()
    assert table.digest == source.digest
