"""A configuration of three records, each a page of its own: table and copy in one, for the explorer."""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b

from lichencleat.config_distribution.errors import ChainError, CorruptTableError
from lichencleat.config_distribution.terms import Batch, Change, PagesAnswer, SnapshotHead

NAMES = ("a", "b", "c")  # of the records, each on a page of its own; a and b only change together
MAX_PAGES_PER_REQUEST = 2  # pages asked for, so that a snapshot has two pieces
MARK = b"m" * 16  # of the group
Content = tuple[bytes, ...]


def page_digest(number: int, page: bytes) -> bytes:
    return blake2b(bytes((number,)) + page, digest_size=16).digest()


def digest_of(content: Content) -> bytes:
    whole = b"".join(page_digest(number, page) for number, page in enumerate(content))
    return blake2b(whole, digest_size=16).digest()


def published(version: int) -> Content:
    """What holds at each version."""
    word = b"%d" % version if version else b""
    return (word, word, b"%d" % (version - 1 + version % 2) if version else b"")


def changes(past: int, version: int) -> tuple[Change, ...]:
    before, after = published(past), published(version)
    return tuple(
        Change("r", name, value)
        for name, old, value in zip(NAMES, before, after, strict=True)
        if old != value
    )


class TinyView:
    def __init__(self, table: Tiny) -> None:
        self.version, self.content = table.version, table.content

    def head(self, age: int) -> SnapshotHead:
        pages = b"".join(page_digest(number, page) for number, page in enumerate(self.content))
        return SnapshotHead(self.version, digest_of(self.content), pages, age)

    def packed(self, number: int) -> bytes:
        return self.content[number]


class Tiny:
    """Table and copy in one. It refuses spoilt bytes; which version may be taken is not looked at here."""

    def __init__(self, version: int = 0) -> None:
        self.version, self.content = version, published(version)
        self.digest = digest_of(self.content)
        self.mark = MARK if version else b""
        self.batches: tuple[Batch, ...] = ()
        self.head: SnapshotHead | None = None
        self.pages: dict[int, bytes] = {}
        self.going = False

    def view(self) -> TinyView:
        return TinyView(self)

    def find(self, kind: str, name: str) -> bytes | None:
        return self.content[NAMES.index(name)] or None

    def stage(self, batches: Sequence[Batch]) -> None:
        self.batches, self.going = tuple(batches), False

    def begin(self, head: SnapshotHead) -> None:
        self.batches, self.head, self.going = (), head, True

    def digests(self) -> list[bytes]:
        assert self.head is not None
        return [self.head.pages[at : at + 16] for at in range(0, len(self.head.pages), 16)]

    def missing(self, most: int) -> list[int]:
        if not self.going:
            return []
        found = []
        for number, wanted in enumerate(self.digests()):
            there = (self.content[number], self.pages.get(number))
            if all(each is None or page_digest(number, each) != wanted for each in there):
                found.append(number)
        return found[: min(most, MAX_PAGES_PER_REQUEST)]

    def put(self, pages: PagesAnswer) -> bool:
        digests = self.digests()
        for number, page in pages.pages:
            if page_digest(number, page) != digests[number]:
                return False
            self.pages[number] = page
        return True

    def staged(self) -> Content:
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
        if self.missing(1) or not (self.batches or self.going):
            return False  # what was staged may have been dropped since it was asked for
        wanted = self.head.digest if self.going and self.head else self.batches[-1].digest
        if digest_of(self.staged()) != wanted:
            raise CorruptTableError("another digest")
        return True

    def take(self) -> tuple[Batch, ...]:
        if not self.batches and not self.going:
            raise ChainError("nothing is staged")
        version = self.head.version if self.going and self.head else self.batches[-1].version
        self.content, self.version = self.staged(), version
        self.digest = digest_of(self.content)
        taken = self.batches
        self.batches, self.head, self.pages, self.going = (), None, {}, False
        return taken

    def drop(self) -> None:
        self.batches, self.going = (), False
