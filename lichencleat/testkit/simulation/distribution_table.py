"""What the simulated voters, relays and nodes hold: the hollow copies of `testkit/hollow.py`, drawn records.

Batches are made by the real `Table`, staged by the real `Staging`, pages by the real `View`. What is shared
is memory and work, not the decision when a version comes into force: that is each copy's own. The slices that
a table of its own would have needed are counted, for the host to charge.
"""

from __future__ import annotations

import copy as copying
import random
from collections.abc import Iterator, Sequence
from typing import Any

from lichencleat.config_distribution import pages
from lichencleat.config_distribution.table import Table, View
from lichencleat.config_distribution.terms import PAGE_COUNT, Batch, Change, PagesAnswer, SnapshotHead
from lichencleat.testkit import hollow

ROUTES = 200 / 560  # of all records; the others are tenants
REWRITTEN = 4  # pages in a slice of staging


class Shared(hollow.Shared):
    """All versions there ever were: what is put back from an old disk begins with one of them."""

    def __init__(self, table: Table) -> None:
        """`table`: the newest; batches are made with it."""
        super().__init__()
        self.table = table
        self.versions: dict[int, Table] = {0: self.first}
        self.note()

    def note(self) -> None:
        table = copying.copy(self.table)
        table.pages, table.page_digests = list(table.pages), list(table.page_digests)
        self.versions[table.version] = self.known(table)

    def apply(self, version: int, changes: Sequence[Change]) -> Batch:
        batch = self.table.apply(version, changes)
        self.note()
        return batch


class SharedCopy(hollow.SharedCopy):
    """A follower's copy; a voter's, too, which is given its versions."""

    def __init__(self, shared: Shared, version: int = 0, mark: bytes = b"") -> None:
        """With what a disk had."""
        super().__init__(shared, mark)
        self.table = shared.versions[version]
        self.slices = 0  # for what came since the host last looked

    def items(self) -> Iterator[tuple[str, str, bytes]]:
        for page in self.table.pages:
            if page:
                yield from pages.iterate_records(page)

    def whole(self) -> Any:
        return self.table

    def view(self) -> View:
        return View(self.table)

    def stage(self, batches: Sequence[Batch]) -> None:
        super().stage(batches)
        self.slices += sum(1 + -(-len(each.changes) // REWRITTEN) for each in batches)

    def begin(self, head: SnapshotHead) -> None:
        super().begin(head)
        self.slices += 2

    def put(self, some: PagesAnswer) -> bool:
        self.slices += len(some.pages)
        return super().put(some)


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
    found: list[list[tuple[int, bytes]]] = [[] for _ in range(PAGE_COUNT)]
    for number in range(records):
        kind, called = name(number, records)
        key = pages.encode_key(kind, called)
        page, place = pages.locate_key(key)
        found[page].append((place, key + value(rng, kind)))
    whole = []
    for each in found:
        each.sort()
        whole.append(pages.pack_records([place for place, _ in each], [record for _, record in each]))
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
