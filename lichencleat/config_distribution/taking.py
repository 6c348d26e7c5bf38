"""What may be applied, and the update that is staged for it; no I/O.

A batch is applied only on top of the version that it follows, as a whole, and only if the resulting digest is
the batch's; a snapshot only if its version is higher. So the version in force never decreases, whichever
relay is followed. Pages of a snapshot begun at one relay stay for the next relay.
"""

from __future__ import annotations

from lichencleat.config_distribution.copy import Copy
from lichencleat.config_distribution.errors import TableError
from lichencleat.config_distribution.terms import Batch, FollowAnswer, PagesAnswer, PagesRequest, SnapshotHead

PAGES_PER_REQUEST = 8  # pages requested at once; each takes a slice of some 150 µs
# pages received and not checked yet, up to which more are requested
MAX_UNCHECKED_PAGES = 2 * PAGES_PER_REQUEST


class PendingUpdate:
    """Owns the update staged beside the copy: batches, or a snapshot."""

    def __init__(self, copy: Copy) -> None:
        self.copy = copy
        self.what = ""  # "batches" or "snapshot" while one is under way
        self.relay, self.mark = "", b""  # the relay that sent it, and that relay's group
        self.known_at: int | None = None  # µs: the source had nothing newer then, valid once it is applied
        self.head: SnapshotHead | None = None  # of the snapshot that is still being fetched
        self.requested: frozenset[int] = frozenset()  # pages requested
        self.slices_due = 0  # slices that the received data needs, at least

    def stage(self, answer: FollowAnswer, relay: str, mark: bytes, known_at: int | None) -> str:
        """Stages the batches. Returns why they can't be applied; "": they are staged."""
        version = self.copy.version
        for batch in answer.batches:
            if batch.previous != version or batch.version <= version:
                return f"its batch {batch.version} follows version {batch.previous}, not {version}"
            version = batch.version
        if not answer.batches or version > answer.version:
            return "its news has no batches, or batches above its own version"
        try:
            self.copy.stage(answer.batches)
        except TableError as error:
            return str(error)
        self.start("batches", relay, mark, known_at if version == answer.version else None)
        return ""

    def begin(self, head: SnapshotHead, relay: str, mark: bytes, known_at: int | None) -> str:
        """Starts or continues a snapshot. Returns why it can't be applied; "": it is under way."""
        if head.version <= self.copy.version:
            return f"its snapshot has version {head.version}, and version {self.copy.version} is in force"
        try:
            self.copy.begin(head)
        except TableError as error:
            return str(error)
        self.start("snapshot", relay, mark, known_at)
        self.head = head
        return ""

    def start(self, what: str, relay: str, mark: bytes, known_at: int | None) -> None:
        """Records what is under way and who sent it."""
        self.what, self.relay, self.mark, self.known_at, self.slices_due = what, relay, mark, known_at, 1
        self.head = None

    def pages(self) -> PagesRequest | None:
        """The next pages to request; None if none is missing, or enough wait to be checked."""
        if self.head is None or self.slices_due > MAX_UNCHECKED_PAGES:
            return None
        numbers = self.copy.missing(PAGES_PER_REQUEST)
        self.requested = frozenset(numbers)
        return PagesRequest(self.head.version, tuple(numbers)) if numbers else None

    def is_requested(self, pages: PagesAnswer) -> bool:
        """Whether these pages were requested."""
        numbers = [number for number, _ in pages.pages]
        mine = self.head is not None and pages.version == self.head.version
        return mine and len(set(numbers)) == len(numbers) and self.requested.issuperset(numbers)

    def put(self, pages: PagesAnswer) -> bool:
        """Hands the pages to the copy. False: it rejects them."""
        self.slices_due += len(pages.pages)
        return self.copy.put(pages)

    def take(self) -> tuple[Batch, ...]:
        """Applies what is staged. Raises TableError, and then changes nothing."""
        batches = self.copy.take()
        if not self.copy.mark:
            self.copy.mark = self.mark
        self.what, self.head, self.slices_due = "", None, 0
        return batches

    def drop(self) -> None:
        """Discards what is staged."""
        self.copy.drop()
        self.what, self.head, self.slices_due = "", None, 0

    def on_relay_left(self) -> None:
        """Its relay was left: fetched pages stay, and an update that is complete is still processed."""
        if self.what == "snapshot" and self.copy.missing(1):
            self.drop()
        self.head = None
