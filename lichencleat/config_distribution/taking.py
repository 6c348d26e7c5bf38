"""What may be taken over, and what is on its way to that; no I/O.

A batch on top of the version in force alone, whole, when its digest is the one that it came with; a snapshot
of a higher version alone. So the version in force never goes back, whichever relay speaks. Pages of a
snapshot that was begun at one relay stay for the next.
"""

from __future__ import annotations

from lichencleat.config_distribution.copy import Copy
from lichencleat.config_distribution.errors import TableError
from lichencleat.config_distribution.terms import Batch, Digests, Fed, Pages, Wanted

WANT = 8  # pages asked for at once: each is a slice of some 150 µs when it came
AHEAD = 2 * WANT  # pages that came and are not looked at yet, while more are asked for


class Taking:
    """Owns what is staged beside the copy: batches, or a snapshot."""

    def __init__(self, copy: Copy) -> None:
        self.copy = copy
        self.what = ""  # "batches", "snapshot": under way
        self.by, self.mark = "", b""  # the relay that it is from, and its group
        self.knows: int | None = None  # once it is in force: when the source had nothing newer, µs
        self.head: Digests | None = None  # of the snapshot that is still fetched
        self.wanted: frozenset[int] = frozenset()  # pages asked for
        self.due = 0  # slices that what came needs, at least

    def stage(self, fed: Fed, relay: str, mark: bytes, knows: int | None) -> str:
        """Why these batches are not to be taken; "": they are staged."""
        version = self.copy.version
        for batch in fed.batches:
            if batch.past != version or batch.version <= version:
                return f"batch {batch.version} follows {batch.past}, not {version}"
            version = batch.version
        if not fed.batches or version > fed.version:
            return "news without any, or newer than itself"
        try:
            self.copy.stage(fed.batches)
        except TableError as wrong:
            return str(wrong)
        self.sets("batches", relay, mark, knows if version == fed.version else None)
        return ""

    def begin(self, head: Digests, relay: str, mark: bytes, knows: int | None) -> str:
        """The same of a snapshot."""
        if head.version <= self.copy.version:
            return f"its snapshot has {head.version}, and {self.copy.version} is in force"
        try:
            self.copy.begin(head)
        except TableError as wrong:
            return str(wrong)
        self.sets("snapshot", relay, mark, knows)
        self.head = head
        return ""

    def sets(self, what: str, relay: str, mark: bytes, knows: int | None) -> None:
        self.what, self.by, self.mark, self.knows, self.due = what, relay, mark, knows, 1
        self.head = None

    def pages(self) -> Wanted | None:
        """The next ones to ask for; None where all are here, or enough wait to be looked at."""
        if self.head is None or self.due > AHEAD:
            return None
        numbers = self.copy.missing(WANT)
        self.wanted = frozenset(numbers)
        return Wanted(self.head.version, tuple(numbers)) if numbers else None

    def asked_for(self, pages: Pages) -> bool:
        numbers = [number for number, _ in pages.pages]
        mine = self.head is not None and pages.version == self.head.version
        return mine and len(set(numbers)) == len(numbers) and self.wanted.issuperset(numbers)

    def put(self, pages: Pages) -> bool:
        """False: the copy finds them spoilt."""
        self.due += len(pages.pages)
        return self.copy.put(pages)

    def take(self) -> tuple[Batch, ...]:
        """In force from now on. Raises TableError: then nothing is."""
        batches = self.copy.take()
        if not self.copy.mark:
            self.copy.mark = self.mark
        self.what, self.head, self.due = "", None, 0
        return batches

    def drop(self) -> None:
        self.copy.drop()
        self.what, self.head, self.due = "", None, 0

    def halt(self) -> None:
        """Its relay is left: pages that came stay, what is here whole goes on being looked at."""
        if self.what == "snapshot" and self.copy.missing(1):
            self.drop()
        self.head = None
