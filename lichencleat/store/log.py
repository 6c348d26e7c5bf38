"""The log: the segments and their files, what is appended to the newest, and which files are still needed.

One thread writes; any may read meanwhile. The index and the lists of segments are guarded by a lock that is
held for a chunk's or a commit's entries, never while the disk is asked.
"""

from __future__ import annotations

import contextlib
import errno
import random
import threading
from collections.abc import Callable, Iterable, Sequence

from crc32c import crc32c

from lichencleat.store import errors as bounds
from lichencleat.store import framing, segments
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.disk import Disk
from lichencleat.store.errors import FullError, NotConfirmedError, StoreError
from lichencleat.store.index import Index, Snapshot, pack_location
from lichencleat.store.segments import NEW, Record, Segment

# µs between marks of the time in the log: by so much a clock that goes back may be believed
TIME_MARK_INTERVAL_US = 1_000_000
DISK_FULL = (errno.ENOSPC, errno.EDQUOT)
COUNTS = (
    "commits",
    "flushes",
    "records",
    "bytes asked for",
    "bytes written",
    "bytes copied",
    "segments cleaned",
    "checkpoints",
    "entries expired",
    "writes failed",
    "torn bytes",
    "records carried",
    "damaged reads",
    "snapshots ended",
)


def told(wrong: OSError) -> StoreError:
    """What a caller is told of an error of the disk's."""
    if wrong.errno in DISK_FULL:
        return FullError(bounds.DISK, f" ({wrong.strerror}); nothing is confirmed of what was asked for")
    return NotConfirmedError(f"the disk failed: {wrong.strerror or wrong}")


class Log:
    """Owns the segments' files; each is given back in `release_resources`, `drop` or `leave` alone."""

    def __init__(self, disk: Disk, clock: Callable[[], int], rng: random.Random, most: StoreLimits) -> None:
        self.disk, self.clock, self.rng, self.most = disk, clock, rng, most
        self.guard = threading.Lock()
        self.index = Index(most.max_undo_entries)
        self.store = b""
        self.segments: dict[int, Segment] = {}  # by number, oldest first
        self.active: Segment | None = None  # the one written to; None: the next write begins one
        self.sequence = 0  # of the last frame that was flushed
        self.time = 0  # µs: the latest time seen, so that a clock that goes back brings nothing back
        self.marked = 0  # µs: the latest time that stands in the log
        self.written = 0  # bytes of log since the start, and those before that no checkpoint covers
        self.disk_full = False  # the last write found no room
        self.pins: dict[Snapshot, dict[int, Segment]] = {}  # files gone from the log since, by number
        self.counts = dict.fromkeys(COUNTS, 0)

    def tick(self) -> int:
        self.time = max(self.time, self.clock())
        return self.time

    # -- segments ----------------------------------------------------------------------------------

    def load(self, found: Iterable[Segment]) -> None:
        """Takes over the segments that a start has found, oldest first."""
        self.segments = {each.number: each for each in found}
        self.sequence = self.newest().last_sequence

    def newest(self) -> Segment:
        return self.active or next(reversed(self.segments.values()))

    def sealed(self) -> list[Segment]:
        """All but the one that is written to, oldest first."""
        return [each for each in self.segments.values() if each is not self.active]

    def begin(self, carried: Sequence[Record] = ()) -> Segment:
        """A new segment to write to. Whatever stands in older ones behind what is confirmed is void from then
        on.
        """
        with contextlib.suppress(FileNotFoundError):
            self.disk.remove(NEW)  # what an earlier try left
        number = max(self.segments, default=0) + 1
        salt = self.rng.randbytes(framing.SALT)
        file = self.disk.open(NEW, create=True)
        try:
            segment = Segment(number, file, crc32c(salt), 0, self.sequence + 1)
            segment.flushed_through = self.sequence + len(carried)
            head = segments.head(self.store, segment, salt, self.time, list(self.segments.values()))
            segment.data_start = segment.size = len(head)
            data, locations = segments.encode(carried, segment, self.sequence + 1, self.sequence)
            self.disk.append(file, head + data)
            self.disk.flush(file)
            self.disk.rename(NEW, segment.name)
            self.disk.flush_directory()
        except BaseException:
            self.disk.close(file)
            with contextlib.suppress(OSError):  # it holds room that a full disk may need
                self.disk.remove(NEW)
            raise
        segment.size += len(data)
        self.count_written(len(head) + len(data))
        with self.guard:
            self.active = self.segments[number] = segment
        self.marked = self.time
        self.sequence = segment.last_sequence = segment.flushed_through
        self.enter(carried, locations, segment)
        return segment

    def needs_segment(self) -> bool:
        return self.active is None or self.active.size >= self.most.segment_bytes

    def drop(self, segment: Segment) -> None:
        """Gives a segment's file back; a reader or snapshot that needs it keeps it open until it is
        through.
        """
        with self.guard:
            segment.is_removed = True
            del self.segments[segment.number]
            self.index.live_bytes.pop(segment.number, None)
            for pinned in self.pins.values():  # what a snapshot still points at may be in it
                pinned[segment.number] = segment
                segment.reference_count += 1
            free = segment.reference_count == 0
        with contextlib.suppress(OSError):  # the log says that it is gone: a start removes what is left of it
            self.disk.remove(segment.name)
            self.disk.flush_directory()
        if free:
            self.disk.close(segment.file)

    def leave(self, segment: Segment) -> None:
        """A reader or snapshot is through with it; the guard is held."""
        segment.reference_count -= 1
        if segment.is_removed and segment.reference_count == 0:
            self.disk.close(segment.file)

    def unpin(self, snapshot: Snapshot) -> None:
        """The one place where a snapshot and the files kept for it are given back; the guard is held."""
        snapshot.close()
        for segment in self.pins.pop(snapshot, {}).values():
            self.leave(segment)

    def total(self) -> int:
        """Bytes of all segments; those that are gone and still read count too."""
        held = {each for pinned in list(self.pins.values()) for each in list(pinned.values())}
        return sum(each.size + each.void_bytes for each in (*self.segments.values(), *held))

    def shed(self, needed: int) -> None:
        """Ends the oldest snapshots while the files that they hold keep the store from so many bytes more."""
        while self.total() + needed > self.most.max_disk_bytes - self.most.reserve_bytes and any(
            self.pins.values()
        ):
            with self.guard:
                self.unpin(next(snapshot for snapshot, pinned in self.pins.items() if pinned))
            self.counts["snapshots ended"] += 1

    def release_resources(self) -> None:
        """The guard is held: no reader may find some of it gone and some still there."""
        for snapshot in list(self.pins):
            self.unpin(snapshot)
        for segment in self.segments.values():
            segment.is_removed = True  # a reader that is at it closes it
            if not segment.reference_count:
                self.disk.close(segment.file)
        self.segments, self.active = {}, None

    # -- writing -----------------------------------------------------------------------------------

    def write(self, records: list[Record]) -> StoreError | None:
        """Appends and flushes the records, then enters them; or none of them, and the segment is not trusted
        again. No records: a mark of the time alone, which proves all before it.
        """
        if self.time - self.marked >= TIME_MARK_INTERVAL_US or not records:
            records = [Record(framing.TIME_MARK, self.time, b""), *records]
        try:
            segment, locations = self.append(records)
        except OSError as wrong:
            return told(wrong)
        self.disk_full = False
        if records[0].kind == framing.TIME_MARK:
            self.marked = self.time
        self.counts["records"] += len(records)
        self.enter(records, locations, segment)
        return None

    def append(self, records: Sequence[Record]) -> tuple[Segment, list[tuple[int, int]]]:
        """Writes and flushes; offset and length of each. Raises OSError: the segment is then left."""
        try:
            if self.needs_segment():
                self.active = None
                self.begin()
            segment = self.newest()
            data, locations = segments.encode(records, segment, self.sequence + 1, self.sequence)
            self.disk.append(segment.file, data)
            self.disk.flush(segment.file)
        except OSError as wrong:
            self.abandon_active_segment(wrong)
            raise
        segment.size += len(data)
        self.count_written(len(data))
        self.counts["flushes"] += 1
        self.sequence += len(records)
        segment.last_sequence = self.sequence
        return segment, locations

    def abandon_active_segment(self, wrong: OSError) -> None:
        """The segment is never written to again: behind its size stands what may be there, or not, or
        torn.
        """
        if self.active is not None:
            with contextlib.suppress(OSError):
                self.active.void_bytes = max(0, self.disk.size(self.active.file) - self.active.size)
            self.active = None
        self.counts["writes failed"] += 1
        self.disk_full = self.disk_full or wrong.errno in DISK_FULL

    def enter(
        self, records: Sequence[Record], locations: Sequence[tuple[int, int]], segment: Segment
    ) -> None:
        with self.guard:
            index, number = self.index, segment.number
            for record, (offset, length) in zip(records, locations, strict=True):
                if record.kind in (framing.PUT, framing.BATCH_PUT):
                    index.put(record.key, pack_location(number, offset, length, record.number))
                elif record.kind in (framing.DELETE, framing.BATCH_DELETE):
                    index.delete(record.key)
                    segment.tombstone_bytes += length

    def count_written(self, size: int) -> None:
        self.written += size
        self.counts["bytes written"] += size
