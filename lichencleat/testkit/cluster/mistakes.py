"""Mistakes that a watcher can be started with, to show that the judges find them; none is in the product.

Each is a subclass that leaves out one thing that the real one takes care of.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec

from lichencleat.config_distribution import kept as keeping
from lichencleat.config_distribution.kept import PersistedTable, page_key, slot_of, unpack_page
from lichencleat.config_distribution.pages import EMPTY_PAGE_DIGESTS, table_digest
from lichencleat.config_distribution.subscriber import Subscriber
from lichencleat.config_distribution.table import Staging, Table
from lichencleat.config_distribution.terms import PAGE_COUNT, Batch, SnapshotHead
from lichencleat.testkit.cluster.watcher import WatchedCopy

LATER = 0.05  # s from one turn to the other, or from the word to the deed


class InTwoTurns(WatchedCopy):
    """A batch is taken in two turns of the reactor."""

    def __init__(self, reactor: Any, table: Table, mark: bytes) -> None:
        super().__init__(table, mark)
        self.reactor = reactor
        self.rest: list[tuple[int, bytes, int]] = []

    def take(self) -> tuple[Batch, ...]:
        staging = self.staging
        if staging is None:
            return super().take()
        numbers = sorted(staging.new_pages)
        half = numbers[len(numbers) // 2 :]
        self.rest = [(number, staging.new_pages.pop(number), staging.digests.pop(number)) for number in half]
        self.reactor.callLater(LATER, self.other_half)
        return super().take()

    def other_half(self) -> None:
        for number, page, digest in self.rest:
            self.table.pages[number], self.table.page_digests[number] = page, digest
        self.rest = []
        self.on_call()

    def stage(self, batches: Sequence[Batch]) -> None:
        self.other_half()
        super().stage(batches)


class OlderFollowed(WatchedCopy):
    """At each new relay it begins anew, so it takes whatever that has."""

    def __init__(self, reactor: Any, table: Table, mark: bytes) -> None:
        super().__init__(table, mark)
        self.old = table

    @property
    def shown(self) -> Table:
        return self.table if self.table.version else self.old

    def at_new_relay(self) -> None:
        if self.table.version:
            self.old = self.table
        self.rebuild, self.staging, self.snapshot_active, self.unchecked_pages = None, None, False, {}
        self.table = Table()


class LostChange(WatchedCopy):
    """The first batch after a snapshot loses a change, and no digest is looked at."""

    def __init__(self, reactor: Any, table: Table, mark: bytes) -> None:
        super().__init__(table, mark)
        self.after_snapshot = False

    def take(self) -> tuple[Batch, ...]:
        taken = super().take()
        if not taken:
            self.after_snapshot = True
        return taken

    def stage(self, batches: Sequence[Batch]) -> None:
        first, *others = batches
        if self.after_snapshot:
            first = Batch(first.version, first.previous, first.digest, first.changes[1:])
            self.after_snapshot = False
        self.drop()
        self.staging = Staging(self.table, (first, *others), checks=False)


class EarlyWord(WatchedCopy):
    """What was staged is acknowledged as if it were in force; that comes later."""

    def __init__(self, reactor: Any, table: Table, mark: bytes) -> None:
        super().__init__(table, mark)
        self.reactor = reactor
        self.claims: tuple[int, bytes] | None = None

    @property
    def version(self) -> int:
        return self.claims[0] if self.claims else self.table.version

    @property
    def digest(self) -> bytes:
        return self.claims[1] if self.claims else self.table.digest

    def take(self) -> tuple[Batch, ...]:
        staging = self.staging
        if staging is None:
            return super().take()
        self.claims = staging.version, staging.batches[-1].digest
        self.reactor.callLater(LATER, self.deed)
        return staging.batches

    def deed(self) -> None:
        if self.claims and self.staging is not None:
            self.claims = None
            super().take()

    def stage(self, batches: Sequence[Batch]) -> None:
        self.deed()
        super().stage(batches)

    def begin(self, head: SnapshotHead) -> None:
        self.deed()
        super().begin(head)

    def drop(self) -> None:
        self.deed()
        super().drop()


COPIES = {
    "two turns": InTwoTurns,
    "older relay": OlderFollowed,
    "lost change": LostChange,
    "early word": EarlyWord,
}
MISTAKES = [*COPIES, "torn file"]


def copy_of(mistake: str, reactor: Any, table: Table, mark: bytes) -> WatchedCopy:
    made = COPIES.get(mistake)
    return WatchedCopy(table, mark) if made is None else made(reactor, table, mark)


def arrange(mistake: str, subscriber: Subscriber) -> None:
    """What a mistake needs of the host."""
    copy = subscriber.copy
    if isinstance(copy, OlderFollowed):
        opened = subscriber.on_opened

        def at_new_relay(*way: Any) -> None:
            copy.at_new_relay()
            opened(*way)

        subscriber.on_opened = at_new_relay  # type: ignore[method-assign]


def trusted(kept: PersistedTable, head: Any) -> Any:
    """As if the head's digest were that of whatever pages are there."""
    total = 0
    for number in range(PAGE_COUNT):
        data = kept.store.engine.get(page_key(number, slot_of(head.slots, number)))
        total += EMPTY_PAGE_DIGESTS[number] if data is None else unpack_page(number, data)[1]
    return msgspec.structs.replace(head, digest=table_digest(total, head.version))


def load(kept: PersistedTable, mistake: str) -> Any:
    """What is kept, by the real way or by one that trusts whatever is there."""
    if mistake == "torn file":
        real = keeping.decode_head
        keeping.decode_head = lambda data: trusted(kept, real(data))
    return kept.load()
