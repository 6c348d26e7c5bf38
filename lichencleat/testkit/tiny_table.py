"""A small configuration table of three records, one on each page, for the model checker."""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b

from lichencleat.config_distribution.errors import ChainError, CorruptTableError
from lichencleat.config_distribution.terms import Batch, Change, PagesAnswer, SnapshotHead

NAMES = ("a", "b", "c")  # names of the records, one on each page; a and b only change together
MAX_PAGES_PER_REQUEST = 2  # maximum number of pages in a request, so that a snapshot needs two requests
MARK = b"m" * 16  # identifier of the group
Content = tuple[bytes, ...]


def page_digest(number: int, page: bytes) -> bytes:
    """Return the digest of a page."""
    return blake2b(bytes((number,)) + page, digest_size=16).digest()


def digest_of(content: Content) -> bytes:
    """Return the digest of the whole content."""
    whole = b"".join(page_digest(number, page) for number, page in enumerate(content))
    return blake2b(whole, digest_size=16).digest()


def published(version: int) -> Content:
    """Return the content that the source publishes as this version."""
    word = b"%d" % version if version else b""
    return (word, word, b"%d" % (version - 1 + version % 2) if version else b"")


def changes(past: int, version: int) -> tuple[Change, ...]:
    """Return the changes that lead from version `past` to `version`."""
    before, after = published(past), published(version)
    return tuple(
        Change("r", name, value)
        for name, old, value in zip(NAMES, before, after, strict=True)
        if old != value
    )


class TinyView:
    """View of a table at its current version."""

    def __init__(self, table: Tiny) -> None:
        self.version, self.content = table.version, table.content

    def head(self, age: int) -> SnapshotHead:
        """Return the head of a snapshot of this version; `age` in µs."""
        pages = b"".join(page_digest(number, page) for number, page in enumerate(self.content))
        return SnapshotHead(self.version, digest_of(self.content), pages, age)

    def packed(self, number: int) -> bytes:
        """Return a page; pages of this table are not compressed."""
        return self.content[number]


class Tiny:
    """Table with the methods of a copy. Corrupt bytes are rejected; the order of versions is not checked."""

    def __init__(self, version: int = 0) -> None:
        self.version, self.content = version, published(version)
        self.digest = digest_of(self.content)
        self.mark = MARK if version else b""
        self.batches: tuple[Batch, ...] = ()
        self.head: SnapshotHead | None = None
        self.pages: dict[int, bytes] = {}
        self.going = False

    def view(self) -> TinyView:
        """Return a view of the current version."""
        return TinyView(self)

    def find(self, kind: str, name: str) -> bytes | None:
        """Return the value of a record, or None if the record is missing."""
        return self.content[NAMES.index(name)] or None

    def stage(self, batches: Sequence[Batch]) -> None:
        """Stage batches in place of any earlier staged update."""
        self.batches, self.going = tuple(batches), False

    def begin(self, head: SnapshotHead) -> None:
        """Begin to fetch a snapshot in place of any earlier staged update."""
        self.batches, self.head, self.going = (), head, True

    def digests(self) -> list[bytes]:
        """Return the page digests of the snapshot head."""
        assert self.head is not None
        return [self.head.pages[at : at + 16] for at in range(0, len(self.head.pages), 16)]

    def missing(self, most: int) -> list[int]:
        """Return the numbers of pages that the snapshot still needs, at most `most`."""
        if not self.going:
            return []
        found = []
        for number, wanted in enumerate(self.digests()):
            there = (self.content[number], self.pages.get(number))
            if all(each is None or page_digest(number, each) != wanted for each in there):
                found.append(number)
        return found[: min(most, MAX_PAGES_PER_REQUEST)]

    def put(self, pages: PagesAnswer) -> bool:
        """Store fetched pages; return False at the first page with a wrong digest."""
        digests = self.digests()
        for number, page in pages.pages:
            if page_digest(number, page) != digests[number]:
                return False
            self.pages[number] = page
        return True

    def staged(self) -> Content:
        """Return the content that the staged update leads to."""
        if self.going:
            pages = zip(self.digests(), self.content, strict=True)
            return tuple(
                old if page_digest(number, old) == wanted else self.pages[number]
                for number, (wanted, old) in enumerate(pages)
            )
        content = list(self.content)
        for batch in self.batches:
            for change in batch.changes:
                content[NAMES.index(change.name)] = change.value or b""
        return tuple(content)

    def step(self) -> bool:
        """Return whether the staged update can be taken. Raises CorruptTableError if its digest is wrong."""
        if self.missing(1) or not (self.batches or self.going):
            return False  # the staged update may have been dropped since the step was requested
        wanted = self.head.digest if self.going and self.head else self.batches[-1].digest
        if digest_of(self.staged()) != wanted:
            raise CorruptTableError("the digest of the staged content differs from the published digest")
        return True

    def take(self) -> tuple[Batch, ...]:
        """Put the staged update in force; return its batches, empty for a snapshot."""
        if not self.batches and not self.going:
            raise ChainError("no update is staged")
        version = self.head.version if self.going and self.head else self.batches[-1].version
        self.content, self.version = self.staged(), version
        self.digest = digest_of(self.content)
        taken = self.batches
        self.batches, self.head, self.pages, self.going = (), None, {}, False
        return taken

    def drop(self) -> None:
        """Drop the staged update."""
        self.batches, self.going = (), False
