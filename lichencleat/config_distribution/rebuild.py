"""A snapshot on its way into a table: pages that differ, fetched in any order, from any relay; no I/O.

A page is known by its digest, so one that was fetched stays when another relay's snapshot goes on. What
differs is held beside the table until `take`: up to the table's own size again.
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
    """Of each page. Raises SpoiltError where they do not add up to the head's own."""
    if len(head.pages) != PAGES * DIGEST:
        raise SpoiltError(f"a snapshot has {PAGES} digests of {DIGEST} bytes, not {len(head.pages)} bytes")
    whole = int.from_bytes
    digests = [whole(each, "little") for each in SPLIT.unpack(head.pages)]
    if pages.digest_bytes(sum(digests), head.version) != head.digest:
        raise SpoiltError("a snapshot's digests do not add up")
    return digests


def differing(digests: Sequence[int], others: Sequence[int]) -> list[int]:
    """Numbers of the pages whose digest is another; some 150 µs."""
    return list(compress(range(PAGES), map(ne, digests, others)))


class Rebuild:
    """`put` what `missing` names, `step` until it gives True, then `take`; dropping it changes nothing."""

    def __init__(self, table: Table, head: Digests, past: Rebuild | None = None) -> None:
        """`past`: one that this goes on with, on the same version of the table. Some 500 µs: 4,096 digests.

        Raises SpoiltError, or ChainError where the snapshot is older than what is in force, or another.
        """
        if head.version < table.version:
            raise ChainError(f"a snapshot of {head.version}, and {table.version} is in force")
        if head.version == table.version and head.digest != table.digest:
            raise ChainError(f"another digest at {head.version}, which is in force")
        self.table, self.base, self.version = table, table.version, head.version
        self.digests = digests_of(head)
        self.total = sum(self.digests) & pages.SUM_MASK
        if past is None:
            self.pages, self.records, self.bytes = list(table.pages), table.records, table.bytes
            self.wanted = bytearray(map(ne, self.digests, table.page_digests))  # a page: 1 where it is
            self.new = bytearray(PAGES)  # 1 where it is another than the table's
        else:
            self.pages, self.records, self.bytes = list(past.pages), past.records, past.bytes
            self.wanted, self.new = past.wanted.copy(), past.new.copy()
            self.set_right(past.digests)

    def missing(self, most: int) -> list[int]:
        """Numbers of pages still wanted."""
        found: list[int] = []
        at = self.wanted.find(1)
        while at >= 0 and len(found) < most:
            found.append(at)
            at = self.wanted.find(1, at + 1)
        return found

    def wants(self, number: int) -> bool:
        return 0 <= number < PAGES and self.wanted[number] == 1

    def put(self, number: int, packed: bytes) -> bool:
        """A page by zlib, some 150 µs; False where it is spoilt. One that is not wanted is let go."""
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
        old = self.pages[number]
        self.records += pages.count_of(page) - pages.count_of(old)
        self.bytes += len(page) - len(old)
        self.pages[number] = page
        self.new[number], self.wanted[number] = 1, 0

    def set_right(self, past: list[int]) -> None:
        """Pages that the snapshot before this one had otherwise."""
        for number in differing(self.digests, past):
            if self.new[number]:
                self.back(number)
            self.wanted[number] = self.digests[number] != self.table.page_digests[number]

    def back(self, number: int) -> None:
        """To the table's own page."""
        page, own = self.pages[number], self.table.pages[number]
        self.records += pages.count_of(own) - pages.count_of(page)
        self.bytes += len(own) - len(page)
        self.pages[number] = own
        self.new[number] = 0

    def step(self) -> bool:
        """True once all pages are there. Raises SpoiltError where they are more than a table may have."""
        if 1 in self.wanted:
            return False
        if self.records > RECORDS_MOST or self.bytes > TABLE_BYTES:
            raise SpoiltError(f"a snapshot of {self.records} records, {self.bytes} bytes")
        return True

    def take(self) -> None:
        """In force from now on, in one turn. Raises ChainError if pages are missing or the table moved.

        `pages` are the ones from before then: to let go of 4,096 at once takes a millisecond.
        """
        table = self.table
        if 1 in self.wanted:
            raise ChainError(f"{sum(self.wanted)} pages are missing")
        if table.version != self.base:
            raise ChainError(f"the table is at {table.version}, not at {self.base} any more")
        self.pages, table.pages = table.pages, self.pages
        table.page_digests, table.total = self.digests, self.total
        table.records, table.bytes, table.version = self.records, self.bytes, self.version

    def onto(self, head: Digests) -> Rebuild:
        """Another snapshot: pages fetched already whose digest fits stay. Raises as the first did; then, or
        where the table has moved, this one is as it was.
        """
        return Rebuild(self.table, head, self if self.base == self.table.version else None)
