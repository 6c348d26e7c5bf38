"""Injected bugs of a watcher, to show that the checkers find them. The product contains none of these bugs.

Most of them are subclasses of `WatchedCopy` that leave out one safeguard of the real subscriber's copy.
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

DELAY = 0.05  # s between the two halves of a batch, or between an acknowledgement and the change in force


class SplitBatchCopy(WatchedCopy):
    """Applies a batch in two turns of the reactor, so a reader can see half of the batch."""

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
        self.reactor.callLater(DELAY, self.apply_rest)
        return super().take()

    def apply_rest(self) -> None:
        """Apply the pages that the first turn left out."""
        for number, page, digest in self.rest:
            self.table.pages[number], self.table.page_digests[number] = page, digest
        self.rest = []
        self.on_call()

    def stage(self, batches: Sequence[Batch]) -> None:
        self.apply_rest()
        super().stage(batches)


class RollbackCopy(WatchedCopy):
    """Starts with an empty table at each new relay, so an older version of the relay is accepted."""

    def __init__(self, reactor: Any, table: Table, mark: bytes) -> None:
        super().__init__(table, mark)
        self.old = table

    @property
    def shown(self) -> Table:
        return self.table if self.table.version else self.old

    def on_new_relay(self) -> None:
        """Forget the present table, and show the old one until the new relay has sent a version."""
        if self.table.version:
            self.old = self.table
        self.rebuild, self.staging, self.snapshot_active, self.unchecked_pages = None, None, False, {}
        self.table = Table()


class LostChangeCopy(WatchedCopy):
    """Drops the first change of the first batch after a snapshot, and checks no digest."""

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


class EarlyAcknowledgementCopy(WatchedCopy):
    """Acknowledges a staged version at once, and puts the version in force only later."""

    def __init__(self, reactor: Any, table: Table, mark: bytes) -> None:
        super().__init__(table, mark)
        self.reactor = reactor
        self.acknowledged: tuple[int, bytes] | None = None

    @property
    def version(self) -> int:
        return self.acknowledged[0] if self.acknowledged else self.table.version

    @property
    def digest(self) -> bytes:
        return self.acknowledged[1] if self.acknowledged else self.table.digest

    def take(self) -> tuple[Batch, ...]:
        staging = self.staging
        if staging is None:
            return super().take()
        self.acknowledged = staging.version, staging.batches[-1].digest
        self.reactor.callLater(DELAY, self.put_in_force)
        return staging.batches

    def put_in_force(self) -> None:
        """Put in force what has been acknowledged already."""
        if self.acknowledged and self.staging is not None:
            self.acknowledged = None
            super().take()

    def stage(self, batches: Sequence[Batch]) -> None:
        self.put_in_force()
        super().stage(batches)

    def begin(self, head: SnapshotHead) -> None:
        self.put_in_force()
        super().begin(head)

    def drop(self) -> None:
        self.put_in_force()
        super().drop()


COPIES = {
    "two turns": SplitBatchCopy,
    "older relay": RollbackCopy,
    "lost change": LostChangeCopy,
    "early word": EarlyAcknowledgementCopy,
}
MISTAKES = [*COPIES, "torn file"]


def make_copy(mistake: str, reactor: Any, table: Table, mark: bytes) -> WatchedCopy:
    """Return a copy with the named bug, or the correct copy if the bug is not one of a copy."""
    copy_class = COPIES.get(mistake)
    return WatchedCopy(table, mark) if copy_class is None else copy_class(reactor, table, mark)


def install_in_host(mistake: str, subscriber: Subscriber) -> None:
    """Install the part of an injected bug that lies in the subscriber instead of in its copy."""
    copy = subscriber.copy
    if isinstance(copy, RollbackCopy):
        opened = subscriber.on_opened

        def on_new_relay(*args: Any) -> None:
            copy.on_new_relay()
            opened(*args)

        subscriber.on_opened = on_new_relay  # type: ignore[method-assign]


def trust_stored_pages(kept: PersistedTable, head: Any) -> Any:
    """Return the head with its digest replaced by the digest of the pages that are stored, torn or not."""
    total = 0
    for number in range(PAGE_COUNT):
        data = kept.store.engine.get(page_key(number, slot_of(head.slots, number)))
        total += EMPTY_PAGE_DIGESTS[number] if data is None else unpack_page(number, data)[1]
    return msgspec.structs.replace(head, digest=table_digest(total, head.version))


def load(kept: PersistedTable, mistake: str) -> Any:
    """Load the stored table; with the bug "torn file", accept stored pages that do not match their head."""
    if mistake == "torn file":
        real = keeping.decode_head
        keeping.decode_head = lambda data: trust_stored_pages(kept, real(data))
    return kept.load()
