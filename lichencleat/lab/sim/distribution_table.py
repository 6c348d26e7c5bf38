"""What the simulated voters, relays and nodes hold: one set of tables by version, shared by all of them.

Batches are made by the real `Table`, staged by the real `Staging` (digests compared, once for all that take
the same step), snapshots are the real `View`, each packed page is inflated and compared once. What is shared
is memory and work, not the decision when a version comes into force: that is each copy's own.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Sequence
from typing import Any

from lichencleat.distribution import pages
from lichencleat.distribution.errors import ChainError, SpoiltError
from lichencleat.distribution.table import Staging, Table, View
from lichencleat.distribution.terms import PAGES, Batch, Change, Digests, Pages

ROUTES = 200 / 560  # of all records; the others are tenants
VALUES_MOST = 90  # about as many bytes a value has
PACKED_MOST = 200_000  # packed pages of all versions, known to be whole


class Version:
    """The table as it was at one version: nobody changes it."""

    __slots__ = (
        "version",
        "digest",
        "total",
        "records",
        "bytes",
        "pages",
        "page_digests",
        "deflated",
        "heads",
    )

    def __init__(self, table: Table, deflated: dict[int, tuple[int, bytes, int]]) -> None:
        self.version, self.digest, self.total = table.version, table.digest, table.total
        self.records, self.bytes = table.records, table.bytes
        self.pages, self.page_digests = list(table.pages), list(table.page_digests)
        self.deflated = deflated  # one for all: packed once
        self.heads: Digests | None = None

    def find(self, kind: str, name: str) -> bytes | None:
        key = pages.key_of(kind, name)
        number, place = pages.place_of(key)
        return pages.find(self.pages[number], place, key)

    def items(self) -> Iterator[tuple[str, str, bytes]]:
        for page in self.pages:
            yield from pages.entries(page)

    def head(self) -> Digests:
        if self.heads is None:
            self.heads = View(self).head(0)  # type: ignore[arg-type]
        return self.heads


class Shared:
    """All versions there ever were, and what has been compared of the way from one to another."""

    def __init__(self, table: Table) -> None:
        self.table = table  # the newest
        self.deflated: dict[int, tuple[int, bytes, int]] = {}
        self.versions: dict[int, Version] = {0: Version(Table(), {})}
        self.staged: dict[tuple[int, int], Sequence[Batch]] = {}  # from, to -> batches found right
        self.differ: dict[tuple[int, int], tuple[int, ...]] = {}  # from, to -> numbers of pages
        self.whole: dict[int, tuple[bytes, int]] = {}  # id of a packed page -> itself, its digest
        self.note()

    def note(self) -> Version:
        version = self.versions[self.table.version] = Version(self.table, self.deflated)
        return version

    def apply(self, version: int, changes: Sequence[Change]) -> Batch:
        batch = self.table.apply(version, changes)
        self.note()
        return batch

    def stage(self, version: int, batches: Sequence[Batch]) -> int:
        """The version they lead to. Raises ChainError, SpoiltError as the real ones do."""
        if not batches:
            raise ChainError("no batches")
        key = version, batches[-1].version
        if batches[0].past != version:
            raise ChainError(f"{batches[0].version} follows {batches[0].past}, not {version}")
        known = self.staged.get(key)
        if known is None or known != batches:
            staging = Staging(self.versions[version], batches)  # type: ignore[arg-type]
            while not staging.step():
                pass
            if pages.digest_bytes(staging.total) != self.versions[staging.version].digest:
                raise SpoiltError("another table")
            self.staged[key] = tuple(batches)
        return batches[-1].version

    def differing(self, past: int, version: int) -> tuple[int, ...]:
        key = past, version
        if key not in self.differ:
            one, other = self.versions[past].page_digests, self.versions[version].page_digests
            self.differ[key] = tuple(number for number in range(PAGES) if one[number] != other[number])
        return self.differ[key]

    def is_page(self, number: int, packed: bytes, digest: int) -> bool:
        known = self.whole.get(id(packed))
        if known is None:
            if len(self.whole) > PACKED_MOST:
                self.whole.clear()
            try:
                known = packed, pages.digest_of(number, pages.inflated(packed))
            except SpoiltError:
                return False
            self.whole[id(packed)] = known
        return known[1] == digest


class SharedCopy:
    """A follower's copy: which version is in force here, and what is on its way."""

    __slots__ = ("shared", "table", "mark", "batches", "next", "head", "wanted", "fetched", "wrong", "slices")

    def __init__(self, shared: Shared, version: int = 0, mark: bytes = b"") -> None:
        self.shared, self.mark = shared, mark
        self.table = shared.versions[version]
        self.batches: tuple[Batch, ...] = ()  # staged
        self.next: int | None = None  # version that they lead to
        self.head: Digests | None = None
        self.wanted: dict[int, int] = {}  # page -> digest
        self.fetched: dict[int, int] = {}
        self.wrong: Exception | None = None  # with the snapshot's head
        self.slices = 0  # that the real one would have needed for what came since the host last looked

    @property
    def version(self) -> int:
        return self.table.version

    @property
    def digest(self) -> bytes:
        return self.table.digest

    def find(self, kind: str, name: str) -> bytes | None:
        return self.table.find(kind, name)

    def items(self) -> Iterable[tuple[str, str, bytes]]:
        return self.table.items()

    def whole(self) -> Any:
        return self.table

    def view(self) -> View:
        return View(self.table)  # type: ignore[arg-type]

    def stage(self, batches: Sequence[Batch]) -> None:
        self.drop()
        if not batches or batches[0].past != self.table.version:
            raise ChainError("they do not follow")
        self.batches = tuple(batches)
        self.slices += sum(1 + len(each.changes) // 4 for each in batches)

    def begin(self, head: Digests) -> None:
        self.batches, self.next, self.head, self.wrong = (), None, None, None
        target = self.shared.versions.get(head.version)
        if head.version < self.table.version:
            self.wrong = ChainError("an older snapshot")
        elif target is None or target.head().pages != head.pages or target.digest != head.digest:
            self.wrong = SpoiltError("no snapshot of ours")
        if self.wrong is not None or target is None:
            return
        self.head = head
        digests = target.page_digests
        self.wanted = {
            number: digests[number]
            for number in self.shared.differing(self.table.version, head.version)
            if self.fetched.get(number) != digests[number]
        }
        self.slices += 2

    def missing(self, most: int) -> list[int]:
        return (
            [] if self.head is None else [number for number, _ in zip(self.wanted, range(most), strict=False)]
        )

    def put(self, some: Pages) -> bool:
        if self.head is None or some.version != self.head.version:
            return False
        wanted, fetched, is_page = self.wanted, self.fetched, self.shared.is_page
        for number, packed in some.pages:
            digest = wanted.get(number)
            if digest is None:
                return False
            if not is_page(number, packed, digest):
                return False
            del wanted[number]
            fetched[number] = digest
        self.slices += len(some.pages)
        return True

    def step(self) -> bool:
        if self.batches:
            if self.next is None:
                self.next = self.shared.stage(self.table.version, self.batches)
                return len(self.batches) == 1
            return True
        if self.wrong is not None:
            raise self.wrong
        return self.head is not None and not self.wanted

    def take(self) -> tuple[Batch, ...]:
        if self.next is not None:
            batches, version = self.batches, self.next
            self.batches, self.next = (), None
            self.table = self.shared.versions[version]
            return batches
        if self.head is None or self.wanted:
            raise ChainError("nothing is staged")
        self.table = self.shared.versions[self.head.version]
        self.head, self.wanted, self.fetched = None, {}, {}
        return ()

    def drop(self) -> None:
        self.batches, self.next, self.head, self.wrong = (), None, None, None


# -- records -----------------------------------------------------------------------------------------------


def value(rng: random.Random, kind: str) -> bytes:
    """As canonical JSON, about as long as the target's."""
    if kind == "route":
        return b'{"host":"s%d.example","path":"/v%d","pool":"p%d","weight":%d}' % (
            rng.randrange(7_700), rng.randrange(9), rng.randrange(800), rng.randrange(100),
        )  # fmt: skip
    return b'{"class":%d,"key":"%016x","limit":%d}' % (
        rng.randrange(5), rng.getrandbits(64), rng.randrange(1, 5_000),
    )  # fmt: skip


def name(number: int, records: int) -> tuple[str, str]:
    routes = int(records * ROUTES)
    return (
        ("route", f"route-{number:06d}") if number < routes else ("tenant", f"tenant-{number - routes:06d}")
    )


def drawn_table(rng: random.Random, records: int) -> Table:
    """A whole table at version 1."""
    found: list[list[tuple[int, bytes]]] = [[] for _ in range(PAGES)]
    for number in range(records):
        kind, called = name(number, records)
        key = pages.key_of(kind, called)
        page, place = pages.place_of(key)
        found[page].append((place, key + value(rng, kind)))
    whole = []
    for each in found:
        each.sort()
        whole.append(pages.packed([place for place, _ in each], [record for _, record in each]))
    return Table.loaded(1, whole)


def drawn_changes(rng: random.Random, records: int, count: int) -> tuple[Change, ...]:
    """Of which some take a record away, or bring one back."""
    numbers = rng.sample(range(records + records // 50), count)
    changes = []
    for number in numbers:
        kind, called = (
            name(min(number, records - 1), records) if number < records else ("tenant", f"new-{number}")
        )
        gone = rng.random() < 0.05
        changes.append(Change(kind, called, None if gone else value(rng, kind)))
    return tuple(changes)
