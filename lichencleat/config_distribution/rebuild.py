"""A snapshot being fetched into a table: the pages that differ, in any order, from any relay; no I/O.

A page is identified by its digest, so a fetched page stays valid when another relay's snapshot continues the
fetch. Pages that differ are held beside the table until `take`: up to the table's own size again.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from itertools import compress
from operator import ne
from typing import TYPE_CHECKING

from lichencleat.config_distribution import pages
from lichencleat.config_distribution.errors import ChainError, SpoiltError
from lichencleat.config_distribution.terms import DIGEST, PAGES, RECORDS_MOST, TABLE_BYTES, Digests

if TYPE_CHECKING:
    from lichencleat.config_distribution.table import Table

SPLIT = struct.Struct(f"{DIGEST}s" * PAGES)


def digests_of(head: Digests) -> list[int]:
    """The digest of each page. Raises SpoiltError if they don't match the head's digest."""
    if len(head.pages) != PAGES * DIGEST:
        raise SpoiltError(
            f"a snapshot has {PAGES} page digests of {DIGEST} bytes, not {len(head.pages)} bytes"
        )
    whole = int.from_bytes
    digests = [whole(each, "little") for each in SPLIT.unpack(head.pages)]
    if pages.digest_bytes(sum(digests), head.version) != head.digest:
        raise SpoiltError("the page digests of a snapshot do not match its digest")
    return digests


def differing(digests: Sequence[int], others: Sequence[int]) -> list[int]:
    """Numbers of the pages whose digests differ; some 150 µs."""
    return list(compress(range(PAGES), map(ne, digests, others)))


class Rebuild:
    """`put` the pages that `missing` names, `step` until it returns True, then `take`.

    Dropping it changes nothing.
    """

    def __init__(self, table: Table, head: Digests, past: Rebuild | None = None) -> None:
        """`past`: a snapshot of the same version of the table to continue. Some 500 µs: 4,096 digests.

        Raises SpoiltError, or ChainError if the snapshot is older than the version in force, or differs from
        it.
        """
        if head.version < table.version:
            raise ChainError(
                f"the snapshot has version {head.version}, and version {table.version} is in force"
            )
        if head.version == table.version and head.digest != table.digest:
            raise ChainError(f"the snapshot's digest differs from that of version {head.version} in force")
        self.table, self.base, self.version = table, table.version, head.version
        self.digests = digests_of(head)
        self.total = sum(self.digests) & pages.SUM_MASK
        if past is None:
            self.pages, self.records, self.bytes = list(table.pages), table.records, table.bytes
            # per page: 1 if it is still to be fetched
            self.wanted = bytearray(map(ne, self.digests, table.page_digests))
            self.new = bytearray(PAGES)  # per page: 1 if it was fetched
        else:
            self.pages, self.records, self.bytes = list(past.pages), past.records, past.bytes
            self.wanted, self.new = past.wanted.copy(), past.new.copy()
            self.set_right(past.digests)

    def missing(self, most: int) -> list[int]:
        """Numbers of at most `most` pages still to be fetched."""
        found: list[int] = []
        at = self.wanted.find(1)
        while at >= 0 and len(found) < most:
            found.append(at)
            at = self.wanted.find(1, at + 1)
        return found

    def wants(self, number: int) -> bool:
        """Whether the page is still to be fetched."""
        return 0 <= number < PAGES and self.wanted[number] == 1

    def put(self, number: int, packed: bytes) -> bool:
        """Adds a page by zlib, some 150 µs; False if it is corrupt. A page not wanted is ignored."""
        if not self.wants(number):
            return True
        try:
            page = pages.inflated(packed)
        except SpoiltError:
            return False
        if pages.digest_of(number, page) != self.digests[number] or pages.fault(number, page):
            return False
        self.place(number, page)
        return True

    def place(self, number: int, page: bytes) -> None:
        """Puts the page in its place and updates the totals."""
        old = self.pages[number]
        self.records += pages.count_of(page) - pages.count_of(old)
        self.bytes += len(page) - len(old)
        self.pages[number] = page
        self.new[number], self.wanted[number] = 1, 0

    def set_right(self, past: list[int]) -> None:
        """Resets pages whose digest differs in the snapshot before this one."""
        for number in differing(self.digests, past):
            if self.new[number]:
                self.back(number)
            self.wanted[number] = self.digests[number] != self.table.page_digests[number]

    def back(self, number: int) -> None:
        """Restores the table's own page."""
        page, own = self.pages[number], self.table.pages[number]
        self.records += pages.count_of(own) - pages.count_of(page)
        self.bytes += len(own) - len(page)
        self.pages[number] = own
        self.new[number] = 0

    def step(self) -> bool:
        """True once all pages are there. Raises SpoiltError if they exceed the table's bounds."""
        if 1 in self.wanted:
            return False
        if self.records > RECORDS_MOST or self.bytes > TABLE_BYTES:
            raise SpoiltError(f"the snapshot exceeds the bounds: {self.records} records, {self.bytes} bytes")
        return True

    def take(self) -> None:
        """Applies the snapshot in one step. Raises ChainError if pages are missing or the table has changed.

        Afterwards `pages` are the replaced ones: freeing 4,096 at once would take a millisecond.
        """
        table = self.table
        if 1 in self.wanted:
            raise ChainError(f"{sum(self.wanted)} pages of the snapshot are missing")
        if table.version != self.base:
            raise ChainError(f"the table is at {table.version}, no longer at {self.base}")
        self.pages, table.pages = table.pages, self.pages
        table.page_digests, table.total = self.digests, self.total
        table.records, table.bytes, table.version = self.records, self.bytes, self.version

    def onto(self, head: Digests) -> Rebuild:
        """Continues with another snapshot: fetched pages stay if their digest matches.

        Raises as the constructor does, and then this one is unchanged, as it is if the table has changed.
        """
        return Rebuild(self.table, head, self if self.base == self.table.version else None)
