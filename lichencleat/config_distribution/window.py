"""The batches that a feeder keeps for those behind, the digest after each of them, and which version it had
some time ago; no I/O. What is kept is bounded by count and by bytes, whoever lags and however far.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from lichencleat.config_distribution.terms import FED_BYTES, LATE, WINDOW_BATCHES, WINDOW_BYTES, Batch

BATCH_ROOM = 64  # bytes of a batch beside its changes, encoded: three numbers, a digest, the heads of arrays
CHANGE_ROOM = 12  # bytes of a change beside its words: the heads of an array, two strings and bytes
SLOT = 100_000  # µs: versions that came within it are one; what is late is told that much late at the most
SLOTS_MOST = LATE // SLOT + 2  # kept of these: as many as one needs to look back by LATE


def size_of(batch: Batch) -> int:
    """Bytes of it, encoded: at most this."""
    room = BATCH_ROOM
    for kind, name, value in ((each.kind, each.name, each.value) for each in batch.changes):
        room += CHANGE_ROOM + len(kind.encode()) + len(name.encode()) + len(value or b"")
    return room


class Window:
    """The last batches in order, each following the one before. Starts at a version that is there."""

    def __init__(self, version: int, digest: bytes, most: int = WINDOW_BATCHES, room: int = WINDOW_BYTES):
        """`most`: batches; `room`: bytes of them, encoded."""
        self.most, self.room = most, room
        self.restart(version, digest)

    def restart(self, version: int, digest: bytes) -> None:
        """A snapshot of that version replaced the table: nothing leads there from before."""
        self.base, self.version, self.digest = version, version, digest
        self.batches: deque[Batch] = deque()
        self.sizes: deque[int] = deque()
        self.bytes = 0
        self.digests: dict[int, bytes] = {version: digest}  # after each version that one can be fed from
        self.places: dict[int, int] = {version: 0}  # version -> number of the batch that follows it
        self.dropped = 0  # batches that were left behind: the number of the first one kept

    def add(self, batch: Batch) -> None:
        """Raises ValueError where it does not follow the newest."""
        if batch.past != self.version or batch.version <= self.version:
            raise ValueError(f"batch {batch.version} after {batch.past} does not follow {self.version}")
        size = size_of(batch)
        self.batches.append(batch)
        self.sizes.append(size)
        self.bytes += size
        self.version, self.digest = batch.version, batch.digest
        self.digests[batch.version] = batch.digest
        self.places[batch.version] = self.dropped + len(self.batches)
        while self.batches and (len(self.batches) > self.most or self.bytes > self.room):
            self.bytes -= self.sizes.popleft()
            gone = self.batches.popleft()
            self.dropped += 1
            del self.digests[gone.past], self.places[gone.past]
            self.base = gone.version

    def after(self, version: int, room: int = FED_BYTES) -> tuple[Batch, ...] | None:
        """Those that follow it, in order, as many as fit into `room` bytes, one at least.

        None where that version can't be fed from here; empty where there is nothing newer.
        """
        place = self.places.get(version)
        if place is None:
            return None
        found: list[Batch] = []
        for at in range(place - self.dropped, len(self.batches)):
            room -= self.sizes[at]
            if found and room < 0:
                break
            found.append(self.batches[at])
        return tuple(found)

    def __len__(self) -> int:
        return len(self.batches)


class Had:
    """Which version was there some time ago: what a node still lacks after that is late."""

    def __init__(self, now: int, version: int) -> None:
        self.slots: deque[list[int]] = deque([[now, now, version]])  # first moment, last moment, version

    def note(self, now: int, version: int) -> None:
        last = self.slots[-1]
        if now - last[0] < SLOT:
            last[1:] = [now, version]
        else:
            self.slots.append([now, now, version])
        while len(self.slots) > SLOTS_MOST:
            self.slots.popleft()

    def before(self, moment: int) -> int:
        """The version that was surely there at that moment (µs); 0 where that is not known."""
        while len(self.slots) > 1 and self.slots[1][1] <= moment:
            self.slots.popleft()
        first = self.slots[0]
        return first[2] if first[1] <= moment else 0

    def lookback(self, span: int, now: int) -> Sequence[int]:
        """Versions that came within the last `span` µs."""
        return [version for _, last, version in self.slots if last > now - span]
