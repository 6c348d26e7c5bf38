"""Configuration tables of the simulated voters, relays and nodes, and the drawn records in them.

The copies of `testkit/hollow.py` are used, which share one table for each version. The production classes
make the batches (`Table`), stage them (`Staging`) and pack the pages (`View`). The copies share memory and
work, but each copy decides by itself when a version comes into force. A copy counts the slices of staging
work that an unshared table would need, and its host charges the processor time of these slices.
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

ROUTE_FRACTION = 200 / 560  # fraction of the records that are routes; the others are tenants
PAGES_PER_SLICE = 4  # pages that one slice of staging rewrites


class Shared(hollow.Shared):
    """The shared tables of all versions; a relay that restarts with an old copy uses an earlier one."""

    def __init__(self, table: Table) -> None:
        """`table`: the table at the newest version; batches are applied to it."""
        super().__init__()
        self.table = table
        self.versions: dict[int, Table] = {0: self.first}
        self.note()

    def note(self) -> None:
        """Store a copy of the newest table under its version."""
        table = copying.copy(self.table)
        table.pages, table.page_digests = list(table.pages), list(table.page_digests)
        self.versions[table.version] = self.known(table)

    def apply(self, version: int, changes: Sequence[Change]) -> Batch:
        """Apply changes to the newest table as `version` and return the batch."""
        batch = self.table.apply(version, changes)
        self.note()
        return batch


class SharedCopy(hollow.SharedCopy):
    """The copy of a follower or a voter; the model of the voters sets a voter's table directly."""

    def __init__(self, shared: Shared, version: int = 0, mark: bytes = b"") -> None:
        """Start with the table of `version`, as if loaded from disk; version 0 is the empty table."""
        super().__init__(shared, mark)
        self.table = shared.versions[version]
        self.slices = 0  # slices of staging work that the host has not yet charged

    def items(self) -> Iterator[tuple[str, str, bytes]]:
        """Iterate over kind, name and value of all records."""
        for page in self.table.pages:
            if page:
                yield from pages.iterate_records(page)

    def whole(self) -> Any:
        """Return the table object; the checker compares each object only once."""
        return self.table

    def view(self) -> View:
        """Return a view of the table in force, from which its pages are packed."""
        return View(self.table)

    def stage(self, batches: Sequence[Batch]) -> None:
        """Stage batches and count their slices."""
        super().stage(batches)
        self.slices += sum(1 + -(-len(each.changes) // PAGES_PER_SLICE) for each in batches)

    def begin(self, head: SnapshotHead) -> None:
        """Begin to fetch a snapshot and count its two slices."""
        super().begin(head)
        self.slices += 2

    def put(self, some: PagesAnswer) -> bool:
        """Add fetched pages to the snapshot and count a slice for each page."""
        self.slices += len(some.pages)
        return super().put(some)


# -- records -----------------------------------------------------------------------------------------------


def value(rng: random.Random, kind: str) -> bytes:
    """Draw a record's value as canonical JSON, about as long as a production value."""
    if kind == "route":
        return b'{"host":"s%d.example","path":"/v%d","pool":"p%d","weight":%d}' % (
            rng.randrange(7_700), rng.randrange(9), rng.randrange(800), rng.randrange(100),
        )  # fmt: skip
    return b'{"class":%d,"key":"%016x","limit":%d}' % (
        rng.randrange(5), rng.getrandbits(64), rng.randrange(1, 5_000),
    )  # fmt: skip


def name(number: int, records: int) -> tuple[str, str]:
    """Return kind and name of the record with this number; routes come before tenants."""
    routes = int(records * ROUTE_FRACTION)
    return (
        ("route", f"route-{number:06d}") if number < routes else ("tenant", f"tenant-{number - routes:06d}")
    )


def drawn_table(rng: random.Random, records: int) -> Table:
    """Return a table at version 1 with this many drawn records."""
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
    """Draw changes of `count` records: most set a value, which may create the record; 5 % delete it."""
    numbers = rng.sample(range(records + records // 50), count)
    changes = []
    for number in numbers:
        kind, called = (
            name(min(number, records - 1), records) if number < records else ("tenant", f"new-{number}")
        )
        gone = rng.random() < 0.05
        changes.append(Change(kind, called, None if gone else value(rng, kind)))
    return tuple(changes)
