"""A snapshot that is being fetched to replace a table: the differing pages, in any order; no I/O.

A page is identified by its digest, so a fetched page stays valid when a snapshot from another relay continues
the fetch. Fetched pages are held beside the table until `take`; they need up to as much memory as the table.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from itertools import compress
from operator import ne
from typing import TYPE_CHECKING

from lichencleat.config_distribution import pages
from lichencleat.config_distribution.errors import ChainError, CorruptTableError
from lichencleat.config_distribution.terms import (
    DIGEST_BYTES,
    MAX_RECORDS,
    MAX_TABLE_BYTES,
    PAGE_COUNT,
    SnapshotHead,
)

if TYPE_CHECKING:
    from lichencleat.config_distribution.table import Table

PAGE_DIGESTS_FORMAT = struct.Struct(f"{DIGEST_BYTES}s" * PAGE_COUNT)


def decode_page_digests(head: SnapshotHead) -> list[int]:
    """The page digests in a snapshot's head. Raises CorruptTableError if the head is inconsistent."""
    if len(head.pages) != PAGE_COUNT * DIGEST_BYTES:
        raise CorruptTableError(
            f"a snapshot has {PAGE_COUNT} page digests of {DIGEST_BYTES} bytes, not {len(head.pages)} bytes"
        )
    whole = int.from_bytes
    digests = [whole(each, "little") for each in PAGE_DIGESTS_FORMAT.unpack(head.pages)]
    if pages.table_digest(sum(digests), head.version) != head.digest:
        raise CorruptTableError("the page digests of a snapshot do not match its digest")
    return digests


def find_differing_pages(digests: Sequence[int], others: Sequence[int]) -> list[int]:
    """Numbers of the pages whose digests differ between two lists of page digests. Takes some 150 µs."""
    return list(compress(range(PAGE_COUNT), map(ne, digests, others)))


class SnapshotStaging:
    """A snapshot staged beside the table.

    Usage: `put` the pages that `missing` names, call `step` until it returns True, then `take`. The table
    does not change before `take`.
    """

    def __init__(self, table: Table, head: SnapshotHead, past: SnapshotStaging | None = None) -> None:
        """`past`: an unfinished snapshot, staged over the same version of the table, whose pages are reused.

        Takes some 500 µs for 4,096 page digests. Raises CorruptTableError if the head is inconsistent,
        ChainError if the snapshot is older than the table's version, or has the same version and another
        digest.
        """
        if head.version < table.version:
            raise ChainError(
                f"the snapshot has version {head.version}, and version {table.version} is in force"
            )
        if head.version == table.version and head.digest != table.digest:
            raise ChainError(f"the snapshot's digest differs from that of version {head.version} in force")
        self.table, self.base, self.version = table, table.version, head.version
        self.digests = decode_page_digests(head)
        self.total = sum(self.digests) & pages.SUM_MASK
        if past is None:
            self.pages, self.records, self.bytes = list(table.pages), table.records, table.bytes
            # per page: 1 if the page is still to be fetched
            self.wanted = bytearray(map(ne, self.digests, table.page_digests))
            self.fetched = bytearray(PAGE_COUNT)  # per page: 1 if the page was fetched
        else:
            self.pages, self.records, self.bytes = list(past.pages), past.records, past.bytes
            self.wanted, self.fetched = past.wanted.copy(), past.fetched.copy()
            self.reset_changed_pages(past.digests)

    def missing(self, most: int) -> list[int]:
        """Numbers of at most `most` pages still to be fetched."""
        found: list[int] = []
        at = self.wanted.find(1)
        while at >= 0 and len(found) < most:
            found.append(at)
            at = self.wanted.find(1, at + 1)
        return found

    def is_wanted(self, number: int) -> bool:
        """Whether the page is still to be fetched."""
        return 0 <= number < PAGE_COUNT and self.wanted[number] == 1

    def put(self, number: int, packed: bytes) -> bool:
        """Adds a page compressed by zlib, in some 150 µs. Returns False if the page is corrupt.

        A page that is not to be fetched is ignored.
        """
        if not self.is_wanted(number):
            return True
        try:
            page = pages.inflate_page(packed)
        except CorruptTableError:
            return False
        if pages.page_digest(number, page) != self.digests[number] or pages.find_page_fault(number, page):
            return False
        self.replace_page(number, page)
        return True

    def replace_page(self, number: int, page: bytes) -> None:
        """Stages a fetched page and updates the numbers of records and bytes."""
        old = self.pages[number]
        self.records += pages.record_count(page) - pages.record_count(old)
        self.bytes += len(page) - len(old)
        self.pages[number] = page
        self.fetched[number], self.wanted[number] = 1, 0

    def reset_changed_pages(self, past: list[int]) -> None:
        """Discards pages fetched for the previous snapshot whose digest differs in this snapshot.

        `past`: page digests of the previous snapshot.
        """
        for number in find_differing_pages(self.digests, past):
            if self.fetched[number]:
                self.restore_page(number)
            self.wanted[number] = self.digests[number] != self.table.page_digests[number]

    def restore_page(self, number: int) -> None:
        """Replaces a fetched page by the table's page."""
        page, own = self.pages[number], self.table.pages[number]
        self.records += pages.record_count(own) - pages.record_count(page)
        self.bytes += len(own) - len(page)
        self.pages[number] = own
        self.fetched[number] = 0

    def step(self) -> bool:
        """True once all pages are fetched. Raises CorruptTableError if the pages exceed a table's bounds."""
        if 1 in self.wanted:
            return False
        if self.records > MAX_RECORDS or self.bytes > MAX_TABLE_BYTES:
            raise CorruptTableError(
                f"the snapshot exceeds the bounds: {self.records} records, {self.bytes} bytes"
            )
        return True

    def take(self) -> None:
        """Applies the snapshot in one step. Raises ChainError if pages are missing or the table has changed.

        Afterwards `pages` holds the replaced pages for the caller to free in slices: freeing 4,096 pages at
        once would take a millisecond.
        """
        table = self.table
        if 1 in self.wanted:
            raise ChainError(f"{sum(self.wanted)} pages of the snapshot are missing")
        if table.version != self.base:
            raise ChainError(f"the table is at {table.version}, no longer at {self.base}")
        self.pages, table.pages = table.pages, self.pages
        table.page_digests, table.total = self.digests, self.total
        table.records, table.bytes, table.version = self.records, self.bytes, self.version

    def continue_with(self, head: SnapshotHead) -> SnapshotStaging:
        """A staging of another snapshot that keeps the fetched pages whose digest matches.

        If the table has changed since this staging began, no page is kept. Raises CorruptTableError or
        ChainError as the constructor does. This staging is not changed in any case.
        """
        return SnapshotStaging(self.table, head, self if self.base == self.table.version else None)
