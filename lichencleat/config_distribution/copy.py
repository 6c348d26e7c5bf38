"""What a follower holds: a table, and what is staged beside it; no I/O.

A follower knows it by the methods of `Copy` alone, so that hollow followers may share one
(`testkit/hollow.py`).
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from lichencleat.config_distribution.errors import ChainError, SpoiltError
from lichencleat.config_distribution.rebuild import Rebuild
from lichencleat.config_distribution.table import Staging, Table
from lichencleat.config_distribution.terms import Batch, Digests, Pages

SPENT = 256  # pages let go of in one slice: some 100 µs


class Copy(Protocol):
    version: int
    digest: bytes
    mark: bytes  # of the group; b"": not known yet

    def stage(self, batches: Sequence[Batch]) -> None:
        """Raises ChainError where they do not follow."""

    def begin(self, head: Digests) -> None:
        """A snapshot; one under way goes on with this one. What is wrong with it shows in `step`."""

    def missing(self, most: int) -> list[int]:
        """Pages to ask for."""

    def put(self, pages: Pages) -> bool:
        """False: of another snapshot, or not asked for. Whether they are whole shows in `step`."""

    def step(self) -> bool:
        """A slice, under 1 ms; True: ready to be taken. Raises SpoiltError, ChainError."""

    def take(self) -> tuple[Batch, ...]:
        """In force from now on; the batches taken, () for a snapshot. Raises ChainError."""

    def drop(self) -> None:
        """What was staged goes; pages of a snapshot stay, for one that goes on."""


class TableCopy:
    """Around a table of one's own."""

    def __init__(self, table: Table | None = None, mark: bytes = b"") -> None:
        self.table = Table() if table is None else table
        self.mark = mark
        self.staging: Staging | None = None
        self.rebuild: Rebuild | None = None
        self.going = False  # the rebuild is under way, not only kept for its pages
        self.wrong: Exception | None = None  # with the snapshot's head
        self.waiting: dict[int, bytes] = {}  # pages by zlib that are not looked at yet: at most a table's
        self.spent: list[bytes] = []  # pages from before a snapshot was taken, let go of bit by bit

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
        self.spend()
        self.staging = self.table.stage(batches)

    def begin(self, head: Digests) -> None:
        self.staging, self.wrong, self.going = None, None, True
        try:
            if self.rebuild is None:
                self.rebuild, self.waiting = self.table.rebuild(head), {}
            else:
                past, self.rebuild = self.rebuild, self.rebuild.onto(head)
                old, new = past.digests, self.rebuild.digests
                self.waiting = {
                    number: data
                    for number, data in self.waiting.items()
                    if old[number] == new[number] and self.rebuild.wants(number)
                }
        except (SpoiltError, ChainError) as wrong:
            self.wrong = wrong

    def missing(self, most: int) -> list[int]:
        if self.rebuild is None or not self.going or self.wrong is not None:
            return []
        return [each for each in self.rebuild.missing(most + len(self.waiting)) if each not in self.waiting][
            :most
        ]

    def put(self, pages: Pages) -> bool:
        if self.rebuild is None or not self.going or pages.version != self.rebuild.version:
            return False
        if not all(self.rebuild.wants(number) for number, _ in pages.pages):
            return False
        self.waiting.update(pages.pages)
        return True

    def spend(self) -> None:
        del self.spent[-SPENT:]

    def step(self) -> bool:
        self.spend()
        if self.staging is not None:
            return self.staging.step()
        if self.wrong is not None:
            raise self.wrong
        if self.rebuild is None or not self.going:
            return False
        if not self.waiting:
            return self.rebuild.step()
        number, data = self.waiting.popitem()
        if not self.rebuild.put(number, data):
            raise SpoiltError(f"page {number} of {self.rebuild.version} is spoilt")
        return False

    def take(self) -> tuple[Batch, ...]:
        if self.staging is not None:
            staging, self.staging = self.staging, None
            staging.take()
            self.rebuild, self.waiting = None, {}  # pages of a snapshot that is not needed any more
            return staging.batches
        if self.rebuild is None or not self.going or self.waiting or self.wrong is not None:
            raise ChainError("nothing is staged")
        self.rebuild.take()
        self.spent = self.rebuild.pages
        self.rebuild, self.going = None, False
        return ()

    def drop(self) -> None:
        self.staging, self.wrong, self.going = None, None, False
