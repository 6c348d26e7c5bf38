"""The update that is being staged for a follower's copy, and the rules for what may be applied; no I/O.

A batch is applied only as a whole, only to the version that the batch follows, and only if the resulting
digest equals the digest in the batch. A snapshot is applied only if its version is higher than the version in
force. So the version in force never decreases, whichever relay is followed. Fetched pages of an unfinished
snapshot are kept when another relay is followed.
"""

from __future__ import annotations

from lichencleat.config_distribution.copy import Copy
from lichencleat.config_distribution.errors import TableError
from lichencleat.config_distribution.terms import Batch, FollowAnswer, PagesAnswer, PagesRequest, SnapshotHead

PAGES_PER_REQUEST = 8  # pages in one request; checking a page takes a slice of some 150 µs
# with more received pages that are not checked yet, no further pages are requested
MAX_UNCHECKED_PAGES = 2 * PAGES_PER_REQUEST


class PendingUpdate:
    """Owns the update that is staged beside the copy: batches, or a snapshot."""

    def __init__(self, copy: Copy) -> None:
        self.copy = copy
        self.what = ""  # "batches" or "snapshot" while an update is in progress, else ""
        self.relay, self.mark = "", b""  # the relay that sent the update, and its group's identifier
        self.known_at: int | None = None  # µs: last moment when the source had nothing newer than the update
        self.head: SnapshotHead | None = None  # head of the snapshot that is being fetched
        self.requested: frozenset[int] = frozenset()  # numbers of the pages in the last request
        self.slices_due = 0  # minimum number of slices to process the received data

    def stage(self, answer: FollowAnswer, relay: str, mark: bytes, known_at: int | None) -> str:
        """Stages the batches of an answer. Returns "", or the reason if the batches can't be applied."""
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
        """Starts or continues a snapshot. Returns "", or the reason if the snapshot can't be applied."""
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
        """Records the kind of update that is in progress and the relay that sent it."""
        self.what, self.relay, self.mark, self.known_at, self.slices_due = what, relay, mark, known_at, 1
        self.head = None

    def pages(self) -> PagesRequest | None:
        """The next request for pages; None if no page is missing, or too many pages wait to be checked."""
        if self.head is None or self.slices_due > MAX_UNCHECKED_PAGES:
            return None
        numbers = self.copy.missing(PAGES_PER_REQUEST)
        self.requested = frozenset(numbers)
        return PagesRequest(self.head.version, tuple(numbers)) if numbers else None

    def is_requested(self, pages: PagesAnswer) -> bool:
        """Whether received pages were all requested, and none is there twice."""
        numbers = [number for number, _ in pages.pages]
        mine = self.head is not None and pages.version == self.head.version
        return mine and len(set(numbers)) == len(numbers) and self.requested.issuperset(numbers)

    def put(self, pages: PagesAnswer) -> bool:
        """Passes received pages to the copy. Returns False if the copy rejects them."""
        self.slices_due += len(pages.pages)
        return self.copy.put(pages)

    def take(self) -> tuple[Batch, ...]:
        """Applies the staged update and returns its batches, () for a snapshot.

        Raises TableError, without any change to the copy's table.
        """
        batches = self.copy.take()
        if not self.copy.mark:
            self.copy.mark = self.mark
        self.what, self.head, self.slices_due = "", None, 0
        return batches

    def drop(self) -> None:
        """Discards the staged update."""
        self.copy.drop()
        self.what, self.head, self.slices_due = "", None, 0

    def on_relay_left(self) -> None:
        """Handles that the relay was left. An update that is received completely is still applied.

        An incomplete snapshot is stopped; its fetched pages are kept for the next relay.
        """
        if self.what == "snapshot" and self.copy.missing(1):
            self.drop()
        self.head = None
