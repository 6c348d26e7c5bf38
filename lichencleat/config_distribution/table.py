"""A table: all records of one version in 4,096 packed pages. Batches lead to higher versions; no I/O.

Guarantees: the same records make the same pages, byte for byte, whatever batches led to them, and the same
digest at the same version; a batch is applied as a whole or not at all; no change of a batch is visible
before `take`; the version never decreases. The table's digest is made from the sum of the page digests modulo
2**128, so a change costs only the pages that it touches.

Memory: the bytes of each record's kind, name and value, 10 more bytes per record and some 50 more per page.
Until an update is applied, its staged pages need memory too: the pages that the batches touch, or all pages
that differ in a snapshot.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from lichencleat.config_distribution import pages
from lichencleat.config_distribution.errors import ChainError, CorruptTableError, InvalidBatchError
from lichencleat.config_distribution.rebuild import SnapshotStaging
from lichencleat.config_distribution.terms import (
    DIGEST_BYTES,
    MAX_BATCH_BYTES,
    MAX_BATCH_CHANGES,
    MAX_KIND_CHARS,
    MAX_NAME_BYTES,
    MAX_RECORDS,
    MAX_TABLE_BYTES,
    MAX_VALUE_BYTES,
    PAGE_COUNT,
    Batch,
    Change,
    SnapshotHead,
    encode,
)

MAX_SLICE_BYTES = 96 << 10  # bytes of pages rewritten in one slice (at least one page): some 200 µs
PAGE_OVERHEAD_BYTES = 4 << 10  # the fixed cost of rewriting a page, as bytes added to the page's size
MAX_SLICE_CHANGES = 128  # changes assigned to pages in one slice: some 200 µs

__all__ = [
    "ChainError",
    "SnapshotStaging",
    "CorruptTableError",
    "Staging",
    "Table",
    "InvalidBatchError",
    "View",
]


def find_change_fault(change: Change) -> str:
    """The reason why a change is invalid; "" if the change is valid."""
    if not 0 < len(change.kind) <= MAX_KIND_CHARS:
        return f"a kind has 1 to {MAX_KIND_CHARS} characters"
    try:
        change.kind.encode()
        name = change.name.encode()
    except ValueError:
        return "kind and name have to be UTF-8"
    if not 0 < len(name) <= MAX_NAME_BYTES:
        return f"a name has 1 to {MAX_NAME_BYTES} bytes"
    if change.value is not None and len(change.value) > MAX_VALUE_BYTES:
        return f"a value has at most {MAX_VALUE_BYTES} bytes, not {len(change.value)}"
    return ""


def find_batch_fault(changes: Sequence[Change]) -> str:
    """The reason why the changes are not a valid batch; "" if they are.

    The maximum size of a table is not checked here, but when the changes are applied.
    """
    if not 0 < len(changes) <= MAX_BATCH_CHANGES:
        return f"a batch has 1 to {MAX_BATCH_CHANGES} changes, not {len(changes)}"
    for change in changes:
        fault = find_change_fault(change)
        if fault:
            return f"{change.kind[:MAX_KIND_CHARS]!r} {change.name[:MAX_NAME_BYTES]!r}: {fault}"
    if len({(change.kind, change.name) for change in changes}) < len(changes):
        return "a batch names each record at most once"
    size = len(encode(tuple(changes)))
    if size > MAX_BATCH_BYTES:
        return f"a batch has at most {MAX_BATCH_BYTES} bytes, not {size}"
    return ""


class View:
    """The table as it was at one version, for snapshots. Keeps pages in memory that were replaced since."""

    def __init__(self, table: Table) -> None:
        self.version, self.digest = table.version, table.digest
        self.records, self.bytes = table.records, table.bytes
        self.pages, self.page_digests = list(table.pages), list(table.page_digests)
        # shared by all views of the table: for each page the newest compressed form
        self.shared = table.deflated
        self.requested_pages: dict[int, bytes] = {}  # page number -> requested page, compressed by zlib

    def head(self, age: int) -> SnapshotHead:
        """The snapshot's head, with the given age in µs."""
        digests = b"".join(each.to_bytes(DIGEST_BYTES, "little") for each in self.page_digests)
        return SnapshotHead(self.version, self.digest, digests, age)

    def packed(self, number: int) -> bytes:
        """The page `number`, compressed by zlib. The first call takes some 300 µs; the result is kept.

        Raises IndexError if there is no such page.
        """
        data = self.requested_pages.get(number)
        if data is not None:
            return data
        digest = self.page_digests[number]
        known = self.shared.get(number)
        data = (
            known[1] if known is not None and known[0] == digest else pages.deflate_page(self.pages[number])
        )
        if known is None or known[2] < self.version:
            self.shared[number] = digest, data, self.version
        self.requested_pages[number] = data
        return data


class Table:
    """The version in force. Only one owner changes a table, by `Staging`, `SnapshotStaging` or `apply`."""

    def __init__(self) -> None:
        self.version = 0
        self.pages = [b""] * PAGE_COUNT
        self.page_digests = list(pages.EMPTY_PAGE_DIGESTS)
        self.total = sum(self.page_digests) & pages.SUM_MASK
        self.records = 0
        self.bytes = 0
        # values that the changes of the last `apply` replaced, in order
        self.replaced_values: list[bytes | None] = []
        self.deflated: dict[
            int, tuple[int, bytes, int]
        ] = {}  # page number -> (page digest, page by zlib, version of the view)

    @property
    def digest(self) -> bytes:
        """The digest of all records and the version."""
        return pages.table_digest(self.total, self.version)

    def find(self, kind: str, name: str) -> bytes | None:
        """The value of a record, or None if there is no such record. Takes a few µs."""
        try:
            key = pages.encode_key(kind, name)
        except ValueError:  # no record has a name that is not UTF-8 or is too long
            return None
        number, position = pages.locate_key(key)
        return pages.find_value(self.pages[number], position, key)

    def items(self) -> Iterator[tuple[str, str, bytes]]:
        """Kind, name and value of all records, page by page. A page is read only when its turn comes."""
        for number in range(PAGE_COUNT):
            yield from pages.iterate_records(self.pages[number])

    def stage(self, batches: Sequence[Batch]) -> Staging:
        """A staging of batches to be applied to this table.

        Raises ChainError if the first batch doesn't follow the version in force, or a batch the one before.
        """
        return Staging(self, batches)

    def rebuild(self, head: SnapshotHead) -> SnapshotStaging:
        """A staging of the snapshot with this head, to replace the table's records.

        Raises CorruptTableError if the head is inconsistent, ChainError if the snapshot is older than the
        table, or has the same version and another digest.
        """
        return SnapshotStaging(self, head)

    def view(self) -> View:
        """A view of the version in force. Takes some 20 µs; the view keeps the version's pages in memory."""
        return View(self)

    def apply(self, version: int, changes: Sequence[Change]) -> Batch:
        """Applies the changes as `version` in one call and returns them as a batch; for the source.

        Raises InvalidBatchError or ChainError, without any change to the table. Errors depend only on the
        table, the version and the changes, so every voter rejects the same batches.
        """
        fault = find_batch_fault(changes)
        if fault:
            raise InvalidBatchError(fault)
        batch = Batch(version, self.version, b"", tuple(changes))
        staging = Staging(self, (batch,), checks=False)
        while not staging.step():
            pass
        before = staging.replaced_values
        staging.take()
        self.replaced_values = before
        return Batch(version, batch.previous, self.digest, batch.changes)

    @staticmethod
    def assembled(version: int, page_bytes: list[bytes], digests: list[int], records: int) -> Table:
        """A table of checked pages, with the pages' digests and the total number of records."""
        table = Table()
        table.version, table.pages, table.page_digests = version, list(page_bytes), list(digests)
        table.total = sum(digests) & pages.SUM_MASK
        table.records, table.bytes = records, sum(map(len, page_bytes))
        return table

    @staticmethod
    def loaded(version: int, page_bytes: Sequence[bytes]) -> Table:
        """A table of unchecked pages. Raises CorruptTableError if a page is invalid or pages are missing."""
        if len(page_bytes) != PAGE_COUNT:
            raise CorruptTableError(f"a table has {PAGE_COUNT} pages, not {len(page_bytes)}")
        for number, page in enumerate(page_bytes):
            fault = pages.find_page_fault(number, page)
            if fault:
                raise CorruptTableError(f"page {number}: {fault}")
        digests = [pages.page_digest(number, page) for number, page in enumerate(page_bytes)]
        return Table.assembled(version, list(page_bytes), digests, sum(map(pages.record_count, page_bytes)))


class Staging:
    """Batches staged beside the table.

    Usage: call `step` until it returns True, then `take`. The table does not change before `take`.
    """

    def __init__(self, table: Table, batches: Sequence[Batch], checks: bool = True) -> None:
        """`checks`: compare the digests of the batches; False in the process that makes the batch.

        Raises ChainError if the first batch doesn't follow the version in force, or a batch the one before.
        """
        self.table, self.batches, self.checks = table, tuple(batches), checks
        self.base = version = table.version
        for batch in self.batches:
            if batch.previous != version or batch.version <= version:
                raise ChainError(f"{batch.version} follows {batch.previous}, not {version}")
            version = batch.version
        self.version = version  # the table's version after `take`
        self.new_pages: dict[int, bytes] = {}  # page number -> rewritten page
        self.digests: dict[int, int] = {}
        self.total, self.records, self.bytes = table.total, table.records, table.bytes
        self.replaced_values: list[
            bytes | None
        ] = []  # values that the changes replace, in the order of changes
        self.batch_index = 0  # index of the batch that is being staged
        self.assigned = 0  # number of changes of that batch that are assigned to a page
        self.by_page: dict[int, list[pages.PageChange]] = {}  # page number -> changes not yet staged
        self.order: dict[int, list[int]] = {}  # page number -> indexes of the changes in `replaced_values`
        self.first_change = 0  # index in `replaced_values` of the first change of the batch

    def step(self) -> bool:
        """Processes one slice, in some 200 µs. True once all batches are staged and each digest matches.

        Raises CorruptTableError for an invalid change, a wrong digest or an exceeded bound; without `checks`
        InvalidBatchError for an exceeded bound.
        """
        if self.batch_index == len(self.batches):
            return True
        batch = self.batches[self.batch_index]
        if self.assigned < len(batch.changes):
            self.assign_to_pages(batch.changes)
            return False
        room = MAX_SLICE_BYTES
        while self.by_page and room > 0:
            room -= PAGE_OVERHEAD_BYTES + self.rewrite_page(*self.by_page.popitem())
        if not self.by_page:
            self.finish_batch(batch)
        return self.batch_index == len(self.batches)

    def assign_to_pages(self, changes: Sequence[Change]) -> None:
        """Assigns the next changes, `MAX_SLICE_CHANGES` at most, to the pages that hold their records."""
        begin = self.assigned
        for at, change in enumerate(changes[begin : begin + MAX_SLICE_CHANGES], begin):
            fault = find_change_fault(change) if self.checks else ""
            if fault:
                raise CorruptTableError(fault)
            key = pages.encode_key(change.kind, change.name)
            number, position = pages.locate_key(key)
            self.by_page.setdefault(number, []).append((position, key, change.value))
            self.order.setdefault(number, []).append(self.first_change + at)
        self.assigned = min(begin + MAX_SLICE_CHANGES, len(changes))
        self.replaced_values += [None] * (self.assigned - begin)

    def rewrite_page(self, number: int, puts: list[pages.PageChange]) -> int:
        """Stages a page with the given changes and returns the size of the new page in bytes."""
        old = self.new_pages[number] if number in self.new_pages else self.table.pages[number]
        page, before = pages.rewrite_page(old, puts)
        for at, value in zip(self.order.pop(number), before, strict=True):
            self.replaced_values[at] = value
        if len(page) > pages.MAX_PAGE_BYTES:
            self.raise_bound_error(
                f"page {number} would have {len(page)} bytes, {pages.MAX_PAGE_BYTES} at the most"
            )
        digest = pages.page_digest(number, page)
        past = self.digests[number] if number in self.digests else self.table.page_digests[number]
        self.total += digest - past
        self.records += pages.record_count(page) - pages.record_count(old)
        self.bytes += len(page) - len(old)
        self.new_pages[number], self.digests[number] = page, digest
        return len(page)

    def finish_batch(self, batch: Batch) -> None:
        """Checks the table's size and digest after a batch and moves on to the next batch."""
        if self.records > MAX_RECORDS:
            self.raise_bound_error(f"there would be {self.records} records, {MAX_RECORDS} at the most")
        if self.bytes > MAX_TABLE_BYTES:
            self.raise_bound_error(f"the table would have {self.bytes} bytes, {MAX_TABLE_BYTES} at the most")
        if self.checks and pages.table_digest(self.total, batch.version) != batch.digest:
            raise CorruptTableError(f"version {batch.version}: the table's digest differs from the batch's")
        self.batch_index += 1
        self.assigned, self.first_change = 0, len(self.replaced_values)

    def raise_bound_error(self, why: str) -> None:
        """Raises CorruptTableError, without `checks` InvalidBatchError, for an exceeded bound."""
        raise CorruptTableError(why) if self.checks else InvalidBatchError(why)

    def take(self) -> None:
        """Applies the staged batches in one step.

        Raises ChainError if a batch is not staged completely, or the table has changed since staging began.
        """
        if self.batch_index < len(self.batches):
            raise ChainError("not staged yet")
        if self.table.version != self.base:
            raise ChainError(f"the table is at {self.table.version}, no longer at {self.base}")
        table = self.table
        for number, page in self.new_pages.items():
            table.pages[number] = page
        for number, digest in self.digests.items():
            table.page_digests[number] = digest
        table.total, table.records, table.bytes = self.total & pages.SUM_MASK, self.records, self.bytes
        table.version = self.version
