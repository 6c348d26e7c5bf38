"""The copy of the table that a follower keeps, and the update staged for it; no I/O.

The follower uses only the methods of `Copy`, so that in load tests many followers without a table of their
own can share one table (`testkit/hollow.py`).
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from lichencleat.config_distribution.errors import ChainError, CorruptTableError
from lichencleat.config_distribution.rebuild import SnapshotStaging
from lichencleat.config_distribution.table import Staging, Table
from lichencleat.config_distribution.terms import Batch, PagesAnswer, SnapshotHead

PAGES_FREED_PER_SLICE = 256  # replaced pages freed in one slice, which takes some 100 µs


class Copy(Protocol):
    """The interface between a follower and its table."""

    version: int
    digest: bytes
    mark: bytes  # identifier of the group; b"": not known yet

    def stage(self, batches: Sequence[Batch]) -> None:
        """Stages batches. Raises ChainError if they don't follow the version in force."""

    def begin(self, head: SnapshotHead) -> None:
        """Starts a snapshot, or continues an unfinished snapshot with a newer head.

        An error in the head is raised by the next `step`.
        """

    def missing(self, most: int) -> list[int]:
        """The numbers of pages that are still to be fetched, at most `most`."""

    def put(self, pages: PagesAnswer) -> bool:
        """Adds fetched pages, which `step` checks. False: of another snapshot, or a page is not needed."""

    def step(self) -> bool:
        """Processes one slice of the staged update, in under 1 ms. True: the update can be applied.

        Raises CorruptTableError or ChainError if the update can't be applied.
        """

    def take(self) -> tuple[Batch, ...]:
        """Applies the staged update and returns the batches, () for a snapshot.

        Raises ChainError if no complete update is staged.
        """

    def drop(self) -> None:
        """Discards the staged update. Fetched pages of a snapshot are kept for a later snapshot."""


class TableCopy:
    """A `Copy` that owns its table."""

    def __init__(self, table: Table | None = None, mark: bytes = b"") -> None:
        self.table = Table() if table is None else table
        self.mark = mark
        self.staging: Staging | None = None  # staged batches
        self.rebuild: SnapshotStaging | None = None  # the staged snapshot
        self.snapshot_active = False  # `rebuild` is in progress; False: only its pages are kept
        self.head_error: Exception | None = None  # the error in the head of the snapshot, for `step` to raise
        # page number -> page by zlib that is not checked yet; at most the pages of one table
        self.unchecked_pages: dict[int, bytes] = {}
        self.replaced_pages: list[bytes] = []  # pages that a snapshot replaced, to be freed in slices

    @property
    def version(self) -> int:
        return self.table.version

    @property
    def digest(self) -> bytes:
        return self.table.digest

    def find(self, kind: str, name: str) -> bytes | None:
        """The value of a record, or None if there is no such record."""
        return self.table.find(kind, name)

    def stage(self, batches: Sequence[Batch]) -> None:
        self.drop()
        self.free_replaced_pages()
        self.staging = self.table.stage(batches)

    def begin(self, head: SnapshotHead) -> None:
        self.staging, self.head_error, self.snapshot_active = None, None, True
        try:
            if self.rebuild is None:
                self.rebuild, self.unchecked_pages = self.table.rebuild(head), {}
            else:
                past, self.rebuild = self.rebuild, self.rebuild.continue_with(head)
                old, new = past.digests, self.rebuild.digests
                self.unchecked_pages = {
                    number: data
                    for number, data in self.unchecked_pages.items()
                    if old[number] == new[number] and self.rebuild.is_wanted(number)
                }
        except (CorruptTableError, ChainError) as error:
            self.head_error = error

    def missing(self, most: int) -> list[int]:
        if self.rebuild is None or not self.snapshot_active or self.head_error is not None:
            return []
        return [
            each
            for each in self.rebuild.missing(most + len(self.unchecked_pages))
            if each not in self.unchecked_pages
        ][:most]

    def put(self, pages: PagesAnswer) -> bool:
        if self.rebuild is None or not self.snapshot_active or pages.version != self.rebuild.version:
            return False
        if not all(self.rebuild.is_wanted(number) for number, _ in pages.pages):
            return False
        self.unchecked_pages.update(pages.pages)
        return True

    def free_replaced_pages(self) -> None:
        """Frees one slice of the replaced pages."""
        del self.replaced_pages[-PAGES_FREED_PER_SLICE:]

    def step(self) -> bool:
        self.free_replaced_pages()
        if self.staging is not None:
            return self.staging.step()
        if self.head_error is not None:
            raise self.head_error
        if self.rebuild is None or not self.snapshot_active:
            return False
        if not self.unchecked_pages:
            return self.rebuild.step()
        number, data = self.unchecked_pages.popitem()
        if not self.rebuild.put(number, data):
            raise CorruptTableError(
                f"page {number} of the snapshot of version {self.rebuild.version} is corrupt"
            )
        return False

    def take(self) -> tuple[Batch, ...]:
        if self.staging is not None:
            staging, self.staging = self.staging, None
            staging.take()
            self.rebuild, self.unchecked_pages = None, {}  # pages of an unfinished snapshot, no longer needed
            return staging.batches
        if (
            self.rebuild is None
            or not self.snapshot_active
            or self.unchecked_pages
            or self.head_error is not None
        ):
            raise ChainError("no update is staged")
        self.rebuild.take()
        self.replaced_pages = self.rebuild.pages
        self.rebuild, self.snapshot_active = None, False
        return ()

    def drop(self) -> None:
        self.staging, self.head_error, self.snapshot_active = None, None, False
