"""The recent batches that a publisher keeps for subscribers that lag, the digest after each of them, and
which version the publisher had some time ago; no I/O. Bounded by number and by bytes, however far a
subscriber lags.
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
# bytes of an encoded change beside its strings: the headers of an array, two strings and bytes
CHANGE_OVERHEAD_BYTES = 12
SLOT_US = 100_000  # µs; versions within one slot count as one, so lateness shows at most that much later
MAX_SLOTS = LATE_AFTER_US // SLOT_US + 2  # slots kept: enough to look back by LATE_AFTER_US


def max_encoded_size(batch: Batch) -> int:
    """Upper bound of the batch's encoded size in bytes."""
    size = BATCH_OVERHEAD_BYTES
    for kind, name, value in ((each.kind, each.name, each.value) for each in batch.changes):
        size += CHANGE_OVERHEAD_BYTES + len(kind.encode()) + len(name.encode()) + len(value or b"")
    return size


class Window:
    """The last batches in order, each following the one before, from a version that the table had."""

    def __init__(
        self,
        version: int,
        digest: bytes,
        max_batches: int = MAX_WINDOW_BATCHES,
        max_bytes: int = MAX_WINDOW_BYTES,
    ):
        """`max_batches`: number of batches kept; `max_bytes`: of them, encoded."""
        self.max_batches, self.max_bytes = max_batches, max_bytes
        self.restart(version, digest)

    def restart(self, version: int, digest: bytes) -> None:
        """Empties the window at this version: a snapshot replaced the table."""
        self.base, self.version, self.digest = version, version, digest
        self.batches: deque[Batch] = deque()
        self.sizes: deque[int] = deque()
        self.bytes = 0
        # version -> digest after it, for each version with batches to follow
        self.digests: dict[int, bytes] = {version: digest}
        self.places: dict[int, int] = {version: 0}  # version -> number of the batch that follows it
        self.dropped = 0  # batches dropped so far: the number of the first one kept

    def add(self, batch: Batch) -> None:
        """Adds a batch and drops the oldest above the bounds.

        Raises ValueError if it doesn't follow the newest.
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
        """The batches that follow the version, in order, as many as fit into `max_bytes`, at least one.

        None if the window doesn't reach back to that version; empty if there is nothing newer.
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
    """Which version was in force some time ago: a node that still lacks it after `LATE_AFTER_US` is late."""

    def __init__(self, now: int, version: int) -> None:
        # per slot: first moment, last moment, version
        self.slots: deque[list[int]] = deque([[now, now, version]])

    def record(self, now: int, version: int) -> None:
        """Records that the version is in force now."""
        last = self.slots[-1]
        if now - last[0] < SLOT_US:
            last[1:] = [now, version]
        else:
            self.slots.append([now, now, version])
        while len(self.slots) > MAX_SLOTS:
            self.slots.popleft()

    def version_at(self, moment: int) -> int:
        """The version that was certainly in force at that moment (µs); 0 if it is not known."""
        while len(self.slots) > 1 and self.slots[1][1] <= moment:
            self.slots.popleft()
        first = self.slots[0]
        return first[2] if first[1] <= moment else 0

    def versions_within(self, span: int, now: int) -> Sequence[int]:
        """Versions that came into force within the last `span` µs."""
        return [version for _, last, version in self.slots if last > now - span]
