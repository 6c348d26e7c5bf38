"""Creates a node's idempotency service with its index, opens its store and starts it."""

from __future__ import annotations

import os
import random
from collections.abc import Callable, Generator
from typing import Any, Protocol

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IReactorFromThreads

from lichencleat.admission.types import Outcome
from lichencleat.config.schema import IdempotencyConfig
from lichencleat.idempotency.errors import ForeignDirectoryError, ServiceStartError
from lichencleat.idempotency.index import RecordIndex
from lichencleat.idempotency.interfaces import Report, RequestEngine, Timers
from lichencleat.idempotency.service import IdempotencyService
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.disk_kinds import open_disk
from lichencleat.store.errors import StoreError
from lichencleat.store.store import open_store

MEGABYTE = 1 << 20
# Size of a segment of the store: small, because records expire after some 10 s, and a segment is removed
# without copies once all of its records have expired.
SEGMENT_BYTES = 4 << 20
LIVE_SHARE = 0.5  # fraction of the allowed disk space for unexpired records; compaction needs the rest
EXTRA_ENTRIES = 16  # limit on entries of the store that are not idempotency records


class Interpreter(Protocol):
    """The part of the interpreter's connection that the service uses."""

    # By run id: outcome, run time (µs) and result of runs that ended before adoption; None: not recorded.
    early_outcomes: dict[bytes, tuple[Outcome, int, bytes]] | None
    on_interpreter_started: (
        Callable[[int], None] | None
    )  # called when the interpreter connects, with its age in µs


class NodeParts(Protocol):
    """The parts of a node that the service uses."""

    engine: RequestEngine
    deadlines: Timers
    report: Report
    interpreter: Interpreter


def create_service(
    node: NodeParts, name: str, config: IdempotencyConfig, clock: Callable[[], int]
) -> IdempotencyService:
    """Creates the service of a node; keyed requests wait until `start_service` has loaded the index."""
    index = RecordIndex(config.entries, round(config.disk_mb * MEGABYTE * LIVE_SHARE))
    service = IdempotencyService(name, node.engine, node.deadlines, node.report, clock, index)
    node.interpreter.early_outcomes = {}
    node.interpreter.on_interpreter_started = service.on_interpreter_started
    return service


@inlineCallbacks
def start_service(
    reactor: IReactorFromThreads,
    service: IdempotencyService,
    config: IdempotencyConfig,
    clock: Callable[[], int],
) -> Generator[Deferred[Any], Any, None]:
    """Opens the store and starts the service; fails with ServiceStartError."""
    directory = config.directory
    bounds = StoreLimits(
        segment_bytes=SEGMENT_BYTES,
        max_disk_bytes=round(config.disk_mb * MEGABYTE),
        max_entries=config.entries + EXTRA_ENTRIES,
    )
    rng = random.Random(os.urandom(16))
    try:
        disk = open_disk(config.disk, directory)
        store = yield open_store(reactor, directory, clock, rng, bounds, disk=disk)
    except (StoreError, OSError) as error:
        raise ServiceStartError(directory, error) from error
    try:
        yield service.start(store, os.stat(directory).st_ino)
    except (ForeignDirectoryError, StoreError, ValueError) as error:
        yield store.close()
        raise ServiceStartError(directory, error) from error
