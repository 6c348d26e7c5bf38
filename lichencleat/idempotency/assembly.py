"""A node's keeper put together: directory, store, book; and what can't be, in one line."""

from __future__ import annotations

import os
import random
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import inlineCallbacks

from lichencleat.config.file import KeyedChoice
from lichencleat.idempotency.book import Book
from lichencleat.idempotency.keeper import Keeper
from lichencleat.idempotency.whose import NotOursError
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.disk import Disk, RealDisk
from lichencleat.store.errors import StoreError
from lichencleat.store.store import open_store

SEGMENT = 4 << 20  # bytes: an entry lives some ten seconds, so whole segments are soon free
FILLED = 0.5  # of the disk's bytes for what counts: cleaning needs the rest
MORE = 16  # entries beside those of keys


class CantStartError(Exception):
    """What, where, what to do, in one line."""


def disk_of(chosen: KeyedChoice) -> Disk:
    if chosen.disk == "held back":
        from lichencleat.testkit.cluster.heldback import HeldBackDisk  # for tests: not imported otherwise

        return HeldBackDisk(chosen.directory, create=True)
    return RealDisk(chosen.directory, create=True)


def make_keeper(node: Any, name: str, chosen: KeyedChoice, clock: Callable[[], int]) -> Keeper:
    """Of a net.assembly.RealNode. It parks what is receipted until it has started."""
    book = Book(chosen.entries, round(chosen.disk_mb * (1 << 20) * FILLED))
    keeper = Keeper(name, node.host, node.deadlines, node.report, clock, book)
    node.interpreter.early = {}
    node.interpreter.began = keeper.interpreter_began
    return keeper


@inlineCallbacks
def start_keeper(reactor: Any, keeper: Keeper, chosen: KeyedChoice, clock: Callable[[], int]) -> Any:
    """Fails with CantStartError."""
    bounds = StoreLimits(
        segment_bytes=SEGMENT,
        max_disk_bytes=round(chosen.disk_mb * (1 << 20)),
        max_entries=chosen.entries + MORE,
    )
    rng = random.Random(os.urandom(16))
    where = f"keyed.directory: {chosen.directory}"
    try:
        store = yield open_store(reactor, chosen.directory, clock, rng, bounds, disk=disk_of(chosen))
    except (StoreError, OSError) as wrong:
        raise CantStartError(f"{where}: {wrong}") from wrong
    try:
        yield keeper.start(store, os.stat(chosen.directory).st_ino)
    except (NotOursError, StoreError, ValueError) as wrong:
        yield store.close()
        raise CantStartError(f"{where}: {wrong}") from wrong
