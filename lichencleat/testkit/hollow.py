"""Copies of the configuration for many followers in one process: a version each, the bytes shared.

A hollow follower is the real one with this copy in the place of `TableCopy`: the same methods, answers and
errors. A batch is applied once to each table that it meets, a page that several fetch is inflated and checked
once; whatever differs by a bit from what was checked is looked at by itself.

Left out against a node: the memory of a table of its own, and of what is staged beside it; the processor time
of staging, where another follower had the same to do (the first one pays for all, in the same slices); pages
are looked at in the turn that they come in, though a spoilt one is told of in the next slice, as ever.
Nothing is left out of what is decided, sent or asked.
"""

from __future__ import annotations

import copy as copying
from collections import OrderedDict
from collections.abc import Sequence
from typing import TypeVar

from lichencleat.config_distribution import pages
from lichencleat.config_distribution.errors import ChainError, CorruptTableError, TableError
from lichencleat.config_distribution.rebuild import decode_page_digests, find_differing_pages
from lichencleat.config_distribution.table import Staging, Table
from lichencleat.config_distribution.terms import (
    MAX_RECORDS,
    MAX_TABLE_BYTES,
    PAGE_COUNT,
    Batch,
    PagesAnswer,
    SnapshotHead,
)

MAX_TABLES = 64  # versions that are found again; an older one lives on as long as a follower has it
MAX_WORKS = 64  # batches under way or applied that are found again
MAX_HEADS = 8  # snapshots that are found again


class Work:
    """Batches on a table: applied by whoever steps first."""

    def __init__(self, base: Table, batches: Sequence[Batch]) -> None:
        self.base, self.staging = base, Staging(base, batches)
        self.table: Table | None = None  # once it is done
        self.wrong: TableError | None = None

    def step(self, shared: Shared) -> bool:
        if self.wrong is not None:
            raise self.wrong
        if self.table is not None:
            return True
        try:
            ready = self.staging.step()
        except TableError as wrong:
            self.wrong = wrong
            raise
        if ready:
            table = copying.copy(self.base)
            table.pages, table.page_digests = list(self.base.pages), list(self.base.page_digests)
            self.staging.table = table
            self.staging.take()
            self.table = shared.known(table)
        return ready


class Snapshot:
    """A head, and its pages as far as any follower has fetched them."""

    def __init__(self, head: SnapshotHead) -> None:
        """Raises SpoiltError where it can't be one."""
        self.version, self.digest, self.digests = head.version, head.digest, decode_page_digests(head)
        self.pages: dict[int, bytes] = {}
        self.packed: dict[int, bytes] = {}  # as they came

    def check(self, number: int, packed: bytes, shared: Shared) -> bool:
        if self.packed.get(number) == packed:
            return True
        try:
            page = pages.inflate_page(packed)
        except CorruptTableError:
            return False
        digest = self.digests[number]
        if pages.page_digest(number, page) != digest or pages.find_page_fault(number, page):
            return False
        self.pages[number], self.packed[number] = shared.page(number, digest, page), packed
        return True

    def table(self, base: Table, shared: Shared) -> Table:
        """The whole, where all that differs from `base` was fetched. Raises SpoiltError at a bound."""
        table = shared.tables.get((self.version, self.digest))
        if table is None:
            whole = [self.pages.get(number, base.pages[number]) for number in range(PAGE_COUNT)]
            records = sum(map(pages.record_count, whole))
            table = Table.assembled(self.version, whole, self.digests, records)
            if records > MAX_RECORDS or table.bytes > MAX_TABLE_BYTES:
                raise CorruptTableError(f"a snapshot of {records} records, {table.bytes} bytes")
        return shared.known(table)


class Shared:
    """Whatever the copies of one process have in common."""

    def __init__(self, table: Table | None = None) -> None:
        """`table`: what each copy begins with; it is not changed any more."""
        self.first = Table() if table is None else table
        self.newest = self.first
        self.tables: OrderedDict[tuple[int, bytes], Table] = OrderedDict()
        self.works: OrderedDict[tuple[int, bytes, tuple[Batch, ...]], Work] = OrderedDict()
        self.heads: OrderedDict[tuple[int, bytes, bytes], Snapshot] = OrderedDict()
        self.applied = 0  # batches that were applied

    def known(self, table: Table) -> Table:
        """The one of that version and digest that others have, too."""
        table = keep(self.tables, (table.version, table.digest), table, MAX_TABLES)
        if table.version > self.newest.version:
            self.newest = table
        return table

    def work(self, base: Table, batches: tuple[Batch, ...]) -> Work:
        """Raises ChainError."""
        key = base.version, base.digest, batches
        known = self.works.get(key)
        if known is None:
            known = Work(base, batches)
            self.applied += len(batches)
        return keep(self.works, key, known, MAX_WORKS)

    def snapshot(self, head: SnapshotHead) -> Snapshot:
        """Raises SpoiltError."""
        key = head.version, head.digest, head.pages
        known = self.heads.get(key)
        return keep(self.heads, key, Snapshot(head) if known is None else known, MAX_HEADS)

    def page(self, number: int, digest: int, page: bytes) -> bytes:
        """The same bytes as others have them, where they do."""
        return self.newest.pages[number] if self.newest.page_digests[number] == digest else page


K, V = TypeVar("K"), TypeVar("V")


def keep(known: OrderedDict[K, V], key: K, value: V, most: int) -> V:
    """The value that is there, or else this one; the one asked for longest ago goes."""
    value = known.setdefault(key, value)
    known.move_to_end(key)
    while len(known) > most:
        known.popitem(last=False)
    return value


class SharedCopy:
    """As `copy.TableCopy`."""

    def __init__(self, shared: Shared, mark: bytes = b"") -> None:
        self.shared, self.table, self.mark = shared, shared.first, mark
        self.batches: tuple[Batch, ...] = ()
        self.work: Work | None = None
        self.snapshot: Snapshot | None = None
        self.going = False  # the snapshot is under way, not only kept for its pages
        self.wanted = bytearray()  # a byte a page: 1 where it is not fetched yet
        self.fetched = bytearray()  # 1 where it was
        self.spoilt: list[int] = []  # pages that the next slices tell of
        self.wrong: TableError | None = None  # with the snapshot's head
        self.ready: Table | None = None  # what was staged, whole

    @property
    def version(self) -> int:
        return self.table.version

    @property
    def digest(self) -> bytes:
        return self.table.digest

    def find(self, kind: str, name: str) -> bytes | None:
        return self.table.find(kind, name)

    def stage(self, batches: Sequence[Batch]) -> None:
        self.drop()
        self.batches = tuple(batches)
        self.work = self.shared.work(self.table, self.batches)

    def begin(self, head: SnapshotHead) -> None:
        self.work, self.wrong, self.ready, self.going = None, None, None, True
        table = self.table
        try:
            if head.version < table.version or (
                head.version == table.version and head.digest != table.digest
            ):
                raise ChainError(f"a snapshot of {head.version}, and {table.version} is in force")
            past, self.snapshot = self.snapshot, self.shared.snapshot(head)
        except TableError as wrong:
            self.wrong = wrong
            return
        fetched, self.fetched = self.fetched, bytearray(PAGE_COUNT)
        told, self.spoilt, self.wanted = self.spoilt, [], bytearray(PAGE_COUNT)
        digests = self.snapshot.digests
        for number in find_differing_pages(digests, table.page_digests):
            if past is not None and fetched[number] and past.digests[number] == digests[number]:
                self.fetched[number] = 1
                if past is not self.snapshot:
                    self.snapshot.pages.setdefault(number, past.pages[number])
            else:
                self.wanted[number] = 1
        for number in told:  # what came and was not told of yet
            if past is not None and self.wanted[number] and past.digests[number] == digests[number]:
                self.wanted[number] = 0
                self.spoilt.append(number)

    def missing(self, most: int) -> list[int]:
        found: list[int] = []
        if self.going and self.wrong is None:
            at = self.wanted.find(1)
            while at >= 0 and len(found) < most:
                found.append(at)
                at = self.wanted.find(1, at + 1)
        return found

    def put(self, pages: PagesAnswer) -> bool:
        snapshot = self.snapshot
        if snapshot is None or not self.going or pages.version != snapshot.version:
            return False
        if any(not 0 <= number < PAGE_COUNT or not self.wanted[number] for number, _ in pages.pages):
            return False
        for number, packed in pages.pages:
            self.wanted[number] = 0
            if snapshot.check(number, packed, self.shared):
                self.fetched[number] = 1
            else:
                self.spoilt.append(number)
        return True

    def step(self) -> bool:
        if self.work is not None:
            if not self.work.step(self.shared):
                return False
            self.ready = self.work.table
            return True
        if self.wrong is not None:
            raise self.wrong
        if self.snapshot is None or not self.going:
            return False
        if self.spoilt:
            number = self.spoilt.pop()
            self.wanted[number] = 1
            raise CorruptTableError(f"page {number} of {self.snapshot.version} is spoilt")
        if 1 in self.wanted:
            return False
        self.ready = self.snapshot.table(self.table, self.shared)
        return True

    def take(self) -> tuple[Batch, ...]:
        work, self.work = self.work, None
        if self.ready is None:
            raise ChainError("nothing is staged, or not to its end")
        self.table, self.ready, self.snapshot, self.going = self.ready, None, None, False
        self.spoilt = []
        return () if work is None else self.batches

    def drop(self) -> None:
        self.work, self.wrong, self.ready, self.going = None, None, None, False
