"""A snapshot on its way into a table: pages that differ, fetched in any order, from any relay; no I/O.

A page is known by its digest, so one that was fetched stays when another relay's snapshot goes on. What
differs is held beside the table until `take`: up to the table's own size again.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

from lichencleat.distribution import pages
from lichencleat.distribution.errors import ChainError, SpoiltError
from lichencleat.distribution.terms import DIGEST, PAGES, RECORDS_MOST, TABLE_BYTES, Digests

if TYPE_CHECKING:
    from lichencleat.distribution.table import Table

WORDS = struct.Struct(f"<{2 * PAGES}Q")


def digests_of(head: Digests) -> list[int]:
    """Of each page. Raises SpoiltError where they do not add up to the head's own."""
    if len(head.pages) != PAGES * DIGEST:
        raise SpoiltError(f"a snapshot has {PAGES} digests of {DIGEST} bytes, not {len(head.pages)} bytes")
    words = iter(WORDS.unpack(head.pages))
    digests = [low | high << 64 for low, high in zip(words, words, strict=True)]
    if pages.digest_bytes(sum(digests)) != head.digest:
        raise SpoiltError("a snapshot's digests do not add up")
    return digests


class Rebuild:
    """`put` what `missing` names, `step` until it gives True, then `take`; dropping it changes nothing."""

    def __init__(self, table: Table, head: Digests) -> None:
        """Raises SpoiltError, or ChainError where the snapshot is older than what is in force, or another."""
        if head.version < table.version:
            raise ChainError(f"a snapshot of {head.version}, and {table.version} is in force")
        if head.version == table.version and head.digest != table.digest:
            raise ChainError(f"another digest at {head.version}, which is in force")
        self.table, self.base, self.version = table, table.version, head.version
        self.digests = digests_of(head)
        self.total = int.from_bytes(head.digest, "little")
        self.pages, self.records, self.bytes = list(table.pages), table.records, table.bytes
        self.new: list[int] = []  # numbers of pages that are not the table's
        self.wanted = {
            number: digest
            for number, (digest, own) in enumerate(zip(self.digests, table.page_digests, strict=True))
            if digest != own
        }

    def missing(self, most: int) -> list[int]:
        """Numbers of pages still wanted, in order."""
        return [number for number, _ in zip(self.wanted, range(most), strict=False)]

    def put(self, number: int, packed: bytes) -> bool:
        """A page by zlib, some 150 µs; False where it is spoilt. One that is not wanted is let go."""
        digest = self.wanted.get(number)
        if digest is None:
            return True
        try:
            page = pages.inflated(packed)
        except SpoiltError:
            return False
        if pages.digest_of(number, page) != digest or pages.fault(number, page):
            return False
        self.place(number, page)
        return True

    def place(self, number: int, page: bytes) -> None:
        old = self.pages[number]
        self.records += pages.count_of(page) - pages.count_of(old)
        self.bytes += len(page) - len(old)
        self.pages[number] = page
        self.new.append(number)
        del self.wanted[number]

    def step(self) -> bool:
        """True once all pages are there. Raises SpoiltError where they are more than a table may have."""
        if self.wanted:
            return False
        if self.records > RECORDS_MOST or self.bytes > TABLE_BYTES:
            raise SpoiltError(f"a snapshot of {self.records} records, {self.bytes} bytes")
        return True

    def take(self) -> None:
        """In force from now on, in one turn. Raises ChainError if pages are missing or the table moved."""
        table = self.table
        if self.wanted:
            raise ChainError(f"{len(self.wanted)} pages are missing")
        if table.version != self.base:
            raise ChainError(f"the table is at {table.version}, not at {self.base} any more")
        table.pages, table.page_digests, table.total = self.pages, self.digests, self.total
        table.records, table.bytes, table.version = self.records, self.bytes, self.version

    def onto(self, head: Digests) -> Rebuild:
        """Another snapshot: pages fetched already whose digest fits stay. Raises as the first did."""
        other = Rebuild(self.table, head)
        for number in self.new:
            if other.wanted.get(number) == self.digests[number]:
                other.place(number, self.pages[number])
        return other
