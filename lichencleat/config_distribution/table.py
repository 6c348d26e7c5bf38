"""All records of a version in 4,096 packed pages, and the batches that lead to the next version; no I/O.

Guarantees: the same records make the same bytes and the same digest, whatever batches led to them; a batch is
applied as a whole or not at all; none of it is visible before `take`; the version never decreases. The digest
is the sum of the pages' digests modulo 2**128, so a change costs only the pages that it touches.

Memory: the bytes of kind, name and value, 10 more per record and some 50 more per page. Staged pages add to
that until they are applied: the pages that the batches touch, or all that differ in a snapshot.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from lichencleat.config_distribution import pages
from lichencleat.config_distribution.errors import ChainError, SpoiltError, UnfitError
from lichencleat.config_distribution.rebuild import Rebuild
from lichencleat.config_distribution.terms import (
    BATCH_BYTES,
    BATCH_MOST,
    DIGEST,
    KIND_MOST,
    NAME_MOST,
    PAGES,
    RECORDS_MOST,
    TABLE_BYTES,
    VALUE_MOST,
    Batch,
    Change,
    Digests,
    encode,
)

SLICE_BYTES = 96 << 10  # bytes of the pages rewritten in one slice, at least one page: some 200 µs
PAGE_COST = 4 << 10  # bytes added to each page's size in a slice: the fixed cost of a small page
SLICE_CHANGES = 128  # changes assigned to pages in one slice: some 200 µs

__all__ = ["ChainError", "Rebuild", "SpoiltError", "Staging", "Table", "UnfitError", "View"]


def unfit_change(change: Change) -> str:
    """Why the change exceeds a bound; "" if it doesn't."""
    if not 0 < len(change.kind) <= KIND_MOST:
        return f"a kind has 1 to {KIND_MOST} characters"
    try:
        change.kind.encode()
        name = change.name.encode()
    except ValueError:
        return "kind and name have to be UTF-8"
    if not 0 < len(name) <= NAME_MOST:
        return f"a name has 1 to {NAME_MOST} bytes"
    if change.value is not None and len(change.value) > VALUE_MOST:
        return f"a value has at most {VALUE_MOST} bytes, not {len(change.value)}"
    return ""


def unfit(changes: Sequence[Change]) -> str:
    """Why the changes can't be a batch; "" if they can.

    The table's totals are checked when they are applied.
    """
    if not 0 < len(changes) <= BATCH_MOST:
        return f"a batch has 1 to {BATCH_MOST} changes, not {len(changes)}"
    for change in changes:
        wrong = unfit_change(change)
        if wrong:
            return f"{change.kind[:KIND_MOST]!r} {change.name[:NAME_MOST]!r}: {wrong}"
    if len({(change.kind, change.name) for change in changes}) < len(changes):
        return "a batch names each record at most once"
    size = len(encode(tuple(changes)))
    if size > BATCH_BYTES:
        return f"a batch has at most {BATCH_BYTES} bytes, not {size}"
    return ""


class View:
    """The table as it was at one version, for snapshots; it keeps the pages alive that changed since."""

    def __init__(self, table: Table) -> None:
        self.version, self.digest = table.version, table.digest
        self.records, self.bytes = table.records, table.bytes
        self.pages, self.page_digests = list(table.pages), list(table.page_digests)
        # shared by all views of the table: each page as the newest view compressed it
        self.shared = table.deflated
        self.own: dict[int, bytes] = {}  # number -> page by zlib, if it was requested

    def head(self, age: int) -> Digests:
        """The snapshot's head; `age` in µs, as it is to be sent."""
        whole = b"".join(each.to_bytes(DIGEST, "little") for each in self.page_digests)
        return Digests(self.version, self.digest, whole, age)

    def packed(self, number: int) -> bytes:
        """The page by zlib, compressed once: some 300 µs the first time. Raises IndexError."""
        data = self.own.get(number)
        if data is not None:
            return data
        digest = self.page_digests[number]
        known = self.shared.get(number)
        data = known[1] if known is not None and known[0] == digest else pages.deflated(self.pages[number])
        if known is None or known[2] < self.version:
            self.shared[number] = digest, data, self.version
        self.own[number] = data
        return data


class Table:
    """The version in force. One owner changes it, by `Staging`, `Rebuild` or `apply`."""

    def __init__(self) -> None:
        self.version = 0
        self.pages = [b""] * PAGES
        self.page_digests = list(pages.EMPTY)
        self.total = sum(self.page_digests) & pages.SUM_MASK
        self.records = 0
        self.bytes = 0
        self.before: list[bytes | None] = []  # values that the changes of the last `apply` replaced, in order
        self.deflated: dict[int, tuple[int, bytes, int]] = {}  # number -> digest, page by zlib, its version

    @property
    def digest(self) -> bytes:
        """The digest of the whole table at its version."""
        return pages.digest_bytes(self.total, self.version)

    def find(self, kind: str, name: str) -> bytes | None:
        """The record's value, or None; a few µs."""
        try:
            key = pages.key_of(kind, name)
        except ValueError:  # no record has a name that is not UTF-8 or is too long
            return None
        number, place = pages.place_of(key)
        return pages.find(self.pages[number], place, key)

    def items(self) -> Iterator[tuple[str, str, bytes]]:
        """Kind, name and value of all records, page by page; each page as it is when it is reached."""
        for number in range(PAGES):
            yield from pages.entries(self.pages[number])

    def stage(self, batches: Sequence[Batch]) -> Staging:
        """Batches to be applied.

        Raises ChainError if they don't follow the version in force or one another.
        """
        return Staging(self, batches)

    def rebuild(self, head: Digests) -> Rebuild:
        """Starts a snapshot. Raises SpoiltError if the head is inconsistent, ChainError if it is older."""
        return Rebuild(self, head)

    def view(self) -> View:
        """A view of this version: some 20 µs; it keeps the version's pages alive."""
        return View(self)

    def apply(self, version: int, changes: Sequence[Change]) -> Batch:
        """Applies the changes at once and returns them as a batch, for the source of batches.

        Raises UnfitError or ChainError and changes nothing. Errors depend on the table and the changes alone,
        so that every voter rejects the same batches.
        """
        wrong = unfit(changes)
        if wrong:
            raise UnfitError(wrong)
        batch = Batch(version, self.version, b"", tuple(changes))
        staging = Staging(self, (batch,), checks=False)
        while not staging.step():
            pass
        before = staging.before
        staging.take()
        self.before = before
        return Batch(version, batch.past, self.digest, batch.changes)

    @staticmethod
    def assembled(version: int, whole: list[bytes], digests: list[int], records: int) -> Table:
        """A table of pages that were checked before, with their digests and total number of records."""
        table = Table()
        table.version, table.pages, table.page_digests = version, list(whole), list(digests)
        table.total = sum(digests) & pages.SUM_MASK
        table.records, table.bytes = records, sum(map(len, whole))
        return table

    @staticmethod
    def loaded(version: int, whole: Sequence[bytes]) -> Table:
        """A table of unchecked pages. Raises SpoiltError if one of them is no valid page."""
        if len(whole) != PAGES:
            raise SpoiltError(f"a table has {PAGES} pages, not {len(whole)}")
        for number, page in enumerate(whole):
            wrong = pages.fault(number, page)
            if wrong:
                raise SpoiltError(f"page {number}: {wrong}")
        digests = [pages.digest_of(number, page) for number, page in enumerate(whole)]
        return Table.assembled(version, list(whole), digests, sum(map(pages.count_of, whole)))


class Staging:
    """Batches staged beside the table: `step` until it returns True, then `take`.

    Dropping it changes nothing.
    """

    def __init__(self, table: Table, batches: Sequence[Batch], checks: bool = True) -> None:
        """Without `checks` the digests are not compared: for the process that makes the batch."""
        self.table, self.batches, self.checks = table, tuple(batches), checks
        self.base = version = table.version
        for batch in self.batches:
            if batch.past != version or batch.version <= version:
                raise ChainError(f"{batch.version} follows {batch.past}, not {version}")
            version = batch.version
        self.version = version  # the table's version after `take`
        self.new: dict[int, bytes] = {}  # page number -> rewritten page
        self.digests: dict[int, int] = {}
        self.total, self.records, self.bytes = table.total, table.records, table.bytes
        self.before: list[bytes | None] = []  # values that the changes replace, in their order
        self.at = 0  # index of the batch under way
        self.sorted = 0  # how many of its changes are assigned to their page
        self.by_page: dict[int, list[pages.Put]] = {}
        self.order: dict[int, list[int]] = {}  # page number -> indexes of its changes in `before`
        self.begins = 0  # index of the batch's first change in `before`

    def step(self) -> bool:
        """Processes one slice, some 200 µs; True once all is staged and each digest matches.

        Raises SpoiltError for a wrong digest or an exceeded bound; without `checks` UnfitError.
        """
        if self.at == len(self.batches):
            return True
        batch = self.batches[self.at]
        if self.sorted < len(batch.changes):
            self.sort(batch.changes)
            return False
        room = SLICE_BYTES
        while self.by_page and room > 0:
            room -= PAGE_COST + self.write(*self.by_page.popitem())
        if not self.by_page:
            self.end(batch)
        return self.at == len(self.batches)

    def sort(self, changes: Sequence[Change]) -> None:
        """Assigns one slice of the changes to their pages."""
        begin = self.sorted
        for at, change in enumerate(changes[begin : begin + SLICE_CHANGES], begin):
            wrong = unfit_change(change) if self.checks else ""
            if wrong:
                raise SpoiltError(wrong)
            key = pages.key_of(change.kind, change.name)
            number, place = pages.place_of(key)
            self.by_page.setdefault(number, []).append((place, key, change.value))
            self.order.setdefault(number, []).append(self.begins + at)
        self.sorted = min(begin + SLICE_CHANGES, len(changes))
        self.before += [None] * (self.sorted - begin)

    def write(self, number: int, puts: list[pages.Put]) -> int:
        """Rewrites one page and returns its size in bytes."""
        old = self.new[number] if number in self.new else self.table.pages[number]
        page, before = pages.rewritten(old, puts)
        for at, value in zip(self.order.pop(number), before, strict=True):
            self.before[at] = value
        if len(page) > pages.PAGE_MOST:
            self.refuse(f"page {number} would have {len(page)} bytes, {pages.PAGE_MOST} at the most")
        digest = pages.digest_of(number, page)
        past = self.digests[number] if number in self.digests else self.table.page_digests[number]
        self.total += digest - past
        self.records += pages.count_of(page) - pages.count_of(old)
        self.bytes += len(page) - len(old)
        self.new[number], self.digests[number] = page, digest
        return len(page)

    def end(self, batch: Batch) -> None:
        """Checks the totals and the digest after a batch and moves on to the next one."""
        if self.records > RECORDS_MOST:
            self.refuse(f"there would be {self.records} records, {RECORDS_MOST} at the most")
        if self.bytes > TABLE_BYTES:
            self.refuse(f"the table would have {self.bytes} bytes, {TABLE_BYTES} at the most")
        if self.checks and pages.digest_bytes(self.total, batch.version) != batch.digest:
            raise SpoiltError(f"version {batch.version}: the table's digest differs from the batch's")
        self.at += 1
        self.sorted, self.begins = 0, len(self.before)

    def refuse(self, why: str) -> None:
        """Raises the error for an exceeded bound."""
        raise SpoiltError(why) if self.checks else UnfitError(why)

    def take(self) -> None:
        """Applies what is staged in one step. Raises ChainError if the table has changed meanwhile."""
        if self.at < len(self.batches):
            raise ChainError("not staged yet")
        if self.table.version != self.base:
            raise ChainError(f"the table is at {self.table.version}, no longer at {self.base}")
        table = self.table
        for number, page in self.new.items():
            table.pages[number] = page
        for number, digest in self.digests.items():
            table.page_digests[number] = digest
        table.total, table.records, table.bytes = self.total & pages.SUM_MASK, self.records, self.bytes
        table.version = self.version
