"""Copies of the configuration for many followers in one process; equal tables and pages are stored once.

A hollow follower is a real follower that uses `SharedCopy` in place of `TableCopy`, with the same methods,
answers and errors. Each batch is applied once to each base table, and a page that several followers fetch is
inflated and checked once. Bytes that differ from the checked bytes are checked separately.

Differences from a real node: a hollow follower has no memory of its own for its table and for staged updates.
The processor time of staging is spent only by the first follower that stages an update, in the same slices.
Pages are checked when they arrive, although a corrupt page is reported in the next slice, as in a real node.
All decisions, requests and messages are those of a real follower.
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

MAX_TABLES = 64  # cached tables; followers keep their tables after the cache drops them
MAX_WORKS = 64  # cached applications of batches, finished or not
MAX_HEADS = 8  # cached snapshots


class Work:
    """Application of batches to a base table; the first followers that call `step` do the work for all."""

    def __init__(self, base: Table, batches: Sequence[Batch]) -> None:
        self.base, self.staging = base, Staging(base, batches)
        self.table: Table | None = None  # the resulting table; None until all batches are applied
        self.wrong: TableError | None = None

    def step(self, shared: Shared) -> bool:
        """Apply one slice; return whether the table is ready. Raises TableError if a batch is invalid."""
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
    """A snapshot head and the pages of the snapshot that any follower has fetched."""

    def __init__(self, head: SnapshotHead) -> None:
        """Decode the page digests. Raises CorruptTableError if the head is invalid."""
        self.version, self.digest, self.digests = head.version, head.digest, decode_page_digests(head)
        self.pages: dict[int, bytes] = {}
        self.packed: dict[int, bytes] = {}  # page number -> compressed bytes that were checked

    def check(self, number: int, packed: bytes, shared: Shared) -> bool:
        """Return whether the compressed page is intact, and keep an intact page."""
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
        """Return the table of the snapshot, after all pages that differ from `base` were fetched.

        Raises CorruptTableError if the table exceeds the maximum size.
        """
        table = shared.tables.get((self.version, self.digest))
        if table is None:
            whole = [self.pages.get(number, base.pages[number]) for number in range(PAGE_COUNT)]
            records = sum(map(pages.record_count, whole))
            table = Table.assembled(self.version, whole, self.digests, records)
            if records > MAX_RECORDS or table.bytes > MAX_TABLE_BYTES:
                raise CorruptTableError(
                    f"snapshot exceeds the maximum size: {records} records, {table.bytes} bytes"
                )
        return shared.known(table)


class Shared:
    """Caches that the copies in one process share: tables, applications of batches, and snapshots."""

    def __init__(self, table: Table | None = None) -> None:
        """Create the caches; each copy starts with `table`, which must not change afterwards."""
        self.first = Table() if table is None else table
        self.newest = self.first
        self.tables: OrderedDict[tuple[int, bytes], Table] = OrderedDict()
        self.works: OrderedDict[tuple[int, bytes, tuple[Batch, ...]], Work] = OrderedDict()
        self.heads: OrderedDict[tuple[int, bytes, bytes], Snapshot] = OrderedDict()
        self.applied = 0  # batches that were applied

    def known(self, table: Table) -> Table:
        """Return the cached table with the same version and digest, or cache this table."""
        table = keep(self.tables, (table.version, table.digest), table, MAX_TABLES)
        if table.version > self.newest.version:
            self.newest = table
        return table

    def work(self, base: Table, batches: tuple[Batch, ...]) -> Work:
        """Return the shared application of the batches to the base table. Raises ChainError."""
        key = base.version, base.digest, batches
        known = self.works.get(key)
        if known is None:
            known = Work(base, batches)
            self.applied += len(batches)
        return keep(self.works, key, known, MAX_WORKS)

    def snapshot(self, head: SnapshotHead) -> Snapshot:
        """Return the shared snapshot of the head. Raises CorruptTableError if the head is invalid."""
        key = head.version, head.digest, head.pages
        known = self.heads.get(key)
        return keep(self.heads, key, Snapshot(head) if known is None else known, MAX_HEADS)

    def page(self, number: int, digest: int, page: bytes) -> bytes:
        """Return the equal page of the newest table, so that both share the bytes, or else `page`."""
        return self.newest.pages[number] if self.newest.page_digests[number] == digest else page


K, V = TypeVar("K"), TypeVar("V")


def keep(known: OrderedDict[K, V], key: K, value: V, most: int) -> V:
    """Return the cached value of the key, or cache `value`; evict the least recently used above `most`."""
    value = known.setdefault(key, value)
    known.move_to_end(key)
    while len(known) > most:
        known.popitem(last=False)
    return value


class SharedCopy:
    """Copy with the methods of `copy.TableCopy` whose tables and pages are shared with other copies."""

    def __init__(self, shared: Shared, mark: bytes = b"") -> None:
        self.shared, self.table, self.mark = shared, shared.first, mark
        self.batches: tuple[Batch, ...] = ()
        self.work: Work | None = None
        self.snapshot: Snapshot | None = None
        self.going = False  # the snapshot is being fetched; False: it is only kept for its pages
        self.wanted = bytearray()  # one byte for each page: 1 if the page must still be fetched
        self.fetched = bytearray()  # one byte for each page: 1 if the page was fetched
        self.spoilt: list[int] = []  # numbers of corrupt pages that the next calls of `step` report
        self.wrong: TableError | None = None  # error in the snapshot head, which `step` raises
        self.ready: Table | None = None  # the table of the staged update, once complete

    @property
    def version(self) -> int:
        """Version of the table in force."""
        return self.table.version

    @property
    def digest(self) -> bytes:
        """Digest of the table in force."""
        return self.table.digest

    def find(self, kind: str, name: str) -> bytes | None:
        """See `TableCopy`."""
        return self.table.find(kind, name)

    def stage(self, batches: Sequence[Batch]) -> None:
        """See `TableCopy`."""
        self.drop()
        self.batches = tuple(batches)
        self.work = self.shared.work(self.table, self.batches)

    def begin(self, head: SnapshotHead) -> None:
        """See `TableCopy`."""
        self.work, self.wrong, self.ready, self.going = None, None, None, True
        table = self.table
        try:
            if head.version < table.version or (
                head.version == table.version and head.digest != table.digest
            ):
                raise ChainError(
                    f"the snapshot of version {head.version} cannot replace version {table.version} in force"
                )
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
        for number in told:  # corrupt pages that were not reported yet
            if past is not None and self.wanted[number] and past.digests[number] == digests[number]:
                self.wanted[number] = 0
                self.spoilt.append(number)

    def missing(self, most: int) -> list[int]:
        """See `TableCopy`."""
        found: list[int] = []
        if self.going and self.wrong is None:
            at = self.wanted.find(1)
            while at >= 0 and len(found) < most:
                found.append(at)
                at = self.wanted.find(1, at + 1)
        return found

    def put(self, pages: PagesAnswer) -> bool:
        """See `TableCopy`."""
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
        """See `TableCopy`."""
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
            raise CorruptTableError(
                f"page {number} of the snapshot of version {self.snapshot.version} is corrupt"
            )
        if 1 in self.wanted:
            return False
        self.ready = self.snapshot.table(self.table, self.shared)
        return True

    def take(self) -> tuple[Batch, ...]:
        """See `TableCopy`."""
        work, self.work = self.work, None
        if self.ready is None:
            raise ChainError("no update is staged, or staging is not finished")
        self.table, self.ready, self.snapshot, self.going = self.ready, None, None, False
        self.spoilt = []
        return () if work is None else self.batches

    def drop(self) -> None:
        """See `TableCopy`."""
        self.work, self.wrong, self.ready, self.going = None, None, None, False
