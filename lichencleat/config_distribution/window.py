"""The window of recent batches that a publisher keeps for subscribers that lag, with the digest after each
batch, and a history of the versions that the publisher had; no I/O.

The window is bounded by the number of batches and by bytes, however far a subscriber lags.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from lichencleat.config_distribution.terms import (
    LATE_AFTER_US,
    MAX_ANSWER_BYTES,
    MAX_WINDOW_BATCHES,
    MAX_WINDOW_BYTES,
    Batch,
)

# bytes of an encoded batch without its changes: three numbers, a digest, array headers
BATCH_OVERHEAD_BYTES = 64
# bytes of an encoded change besides kind, name and value: the headers of an array, two strings and bytes
CHANGE_OVERHEAD_BYTES = 12
# µs: versions within one slot count as one version, so a late node is detected at most this much later
SLOT_US = 100_000
MAX_SLOTS = LATE_AFTER_US // SLOT_US + 2  # maximum of slots kept: enough to look back by LATE_AFTER_US


def max_encoded_size(batch: Batch) -> int:
    """An upper bound of the encoded size of a batch, in bytes."""
    size = BATCH_OVERHEAD_BYTES
    for kind, name, value in ((each.kind, each.name, each.value) for each in batch.changes):
        size += CHANGE_OVERHEAD_BYTES + len(kind.encode()) + len(name.encode()) + len(value or b"")
    return size


class Window:
    """The last batches in order, each of which follows the one before; `base`: version before the first."""

    def __init__(
        self,
        version: int,
        digest: bytes,
        max_batches: int = MAX_WINDOW_BATCHES,
        max_bytes: int = MAX_WINDOW_BYTES,
    ):
        """`version`, `digest`: of the table at the start; `max_batches`: maximum number of batches kept;
        `max_bytes`: maximum encoded size of all batches kept.
        """
        self.max_batches, self.max_bytes = max_batches, max_bytes
        self.restart(version, digest)

    def restart(self, version: int, digest: bytes) -> None:
        """Empties the window; `version`, `digest`: of the table, for example after a snapshot replaced it."""
        self.base, self.version, self.digest = version, version, digest
        self.batches: deque[Batch] = deque()
        self.sizes: deque[int] = deque()
        self.bytes = 0
        # version -> table digest, for `base` and the version of each batch kept
        self.digests: dict[int, bytes] = {version: digest}
        # version -> number of the next batch, counted since `restart`
        self.places: dict[int, int] = {version: 0}
        self.dropped = 0  # batches dropped since `restart`: the number of the first batch kept

    def add(self, batch: Batch) -> None:
        """Adds a batch and drops the oldest batches above the bounds.

        Raises ValueError if the batch doesn't follow the newest version.
        """
        if batch.previous != self.version or batch.version <= self.version:
            raise ValueError(
                f"batch {batch.version} on top of {batch.previous} does not follow version {self.version}"
            )
        size = max_encoded_size(batch)
        self.batches.append(batch)
        self.sizes.append(size)
        self.bytes += size
        self.version, self.digest = batch.version, batch.digest
        self.digests[batch.version] = batch.digest
        self.places[batch.version] = self.dropped + len(self.batches)
        while self.batches and (len(self.batches) > self.max_batches or self.bytes > self.max_bytes):
            self.bytes -= self.sizes.popleft()
            gone = self.batches.popleft()
            self.dropped += 1
            del self.digests[gone.previous], self.places[gone.previous]
            self.base = gone.version

    def after(self, version: int, max_bytes: int = MAX_ANSWER_BYTES) -> tuple[Batch, ...] | None:
        """The batches after `version`, in order: as many as fit into `max_bytes`, but at least one.

        None if the window doesn't have all batches after that version; empty if there is no newer version.
        """
        place = self.places.get(version)
        if place is None:
            return None
        found: list[Batch] = []
        for at in range(place - self.dropped, len(self.batches)):
            max_bytes -= self.sizes[at]
            if found and max_bytes < 0:
                break
            found.append(self.batches[at])
        return tuple(found)

    def __len__(self) -> int:
        return len(self.batches)


class VersionHistory:
    """The versions in force during the last `LATE_AFTER_US`, in slots of `SLOT_US`.

    A node that lacks the version that was in force `LATE_AFTER_US` ago is late.
    """

    def __init__(self, now: int, version: int) -> None:
        # per slot: µs of the first and the last record in the slot, last version
        self.slots: deque[list[int]] = deque([[now, now, version]])

    def record(self, now: int, version: int) -> None:
        """Records that `version` is in force from `now` (µs) on."""
        last = self.slots[-1]
        if now - last[0] < SLOT_US:
            last[1:] = [now, version]
        else:
            self.slots.append([now, now, version])
        while len(self.slots) > MAX_SLOTS:
            self.slots.popleft()

    def version_at(self, moment: int) -> int:
        """The version known to have been in force at a moment (µs); 0 if none is known."""
        while len(self.slots) > 1 and self.slots[1][1] <= moment:
            self.slots.popleft()
        first = self.slots[0]
        return first[2] if first[1] <= moment else 0

    def versions_within(self, span: int, now: int) -> Sequence[int]:
        """Versions that came into force within the last `span` µs."""
        return [version for _, last, version in self.slots if last > now - span]
