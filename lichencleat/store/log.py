"""The log: the segments and their files, what is appended to the newest, and which files are still needed.

One thread writes; any may read meanwhile. The index and the lists of segments are protected by the lock
`lock`, which is held for a chunk's or a commit's entries, never while the disk is used.
"""

from __future__ import annotations

import contextlib
import errno
import random
import threading
from collections.abc import Callable, Iterable, Sequence

from crc32c import crc32c

from lichencleat.store import file_names, framing, segments
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.disk import Disk
from lichencleat.store.errors import FullError, Limit, NotConfirmedError, StoreError
from lichencleat.store.index import Index, Snapshot, pack_location
from lichencleat.store.segments import Record, Segment

# Between time marks in the log: a clock that goes back is believed by at most so much.
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


def to_store_error(error: OSError) -> StoreError:
    """The error that a caller gets for an error of the disk."""
    if error.errno in DISK_FULL:
        return FullError(Limit.DISK_SPACE, f"({error.strerror}); nothing is confirmed of what was asked for")
    return NotConfirmedError(f"the disk failed: {error.strerror or error}")


class Log:
    """Owns the files of the segments: `release_resources`, `remove_segment` and `release` close them."""

    def __init__(self, disk: Disk, clock: Callable[[], int], rng: random.Random, limits: StoreLimits) -> None:
        self.disk = disk
        self.clock = clock
        self.rng = rng
        self.limits = limits
        self.lock = threading.Lock()
        self.index = Index(limits.max_undo_entries)
        self.store = b""
        self.segments: dict[int, Segment] = {}  # by number, oldest first
        self.active: Segment | None = None  # the one written to; None: the next write begins one
        self.sequence = 0  # of the last frame that was flushed
        self.time = 0  # µs: the latest time seen, so that a clock that goes back brings nothing back
        self.last_time_mark = 0  # µs: the latest time that stands in the log
        self.bytes_written = 0  # bytes of log since the start, and those before it that no checkpoint covers
        self.disk_full = False  # the last write found no space
        self.pins: dict[Snapshot, dict[int, Segment]] = {}  # files removed from the log since, by number
        self.counts = dict.fromkeys(COUNTS, 0)

    def tick(self) -> int:
        """Read the clock; returns the latest time seen, in µs."""
        self.time = max(self.time, self.clock())
        return self.time

    # -- segments ----------------------------------------------------------------------------------

    def load(self, found: Iterable[Segment]) -> None:
        """Take over the segments that a start has found, oldest first."""
        self.segments = {each.number: each for each in found}
        self.sequence = self.newest().last_sequence

    def newest(self) -> Segment:
        """The segment that was begun last."""
        return self.active or next(reversed(self.segments.values()))

    def sealed(self) -> list[Segment]:
        """All but the one that is written to, oldest first."""
        return [each for each in self.segments.values() if each is not self.active]

    def begin(self, carried: Sequence[Record] = ()) -> Segment:
        """Begin a new segment to write to. Raises OSError.

        From then on, whatever stands in older ones behind what is confirmed is void.

        Args:
            carried: Records that the new segment holds from the start, flushed before it gets its name.
        """
        with contextlib.suppress(FileNotFoundError):
            self.disk.remove(file_names.NEW_SEGMENT)  # what an earlier attempt left
        number = max(self.segments, default=0) + 1
        salt = self.rng.randbytes(framing.SALT_BYTES)
        file = self.disk.open(file_names.NEW_SEGMENT, create=True)
        try:
            segment = Segment(number, file, crc32c(salt), 0, self.sequence + 1)
            segment.flushed_through = self.sequence + len(carried)
            head = segments.encode_header(self.store, segment, salt, self.time, list(self.segments.values()))
            segment.data_start = segment.size = len(head)
            data, spans = segments.encode_records(carried, segment, self.sequence + 1, self.sequence)
            self.disk.append(file, head + data)
            self.disk.flush(file)
            self.disk.rename(file_names.NEW_SEGMENT, segment.name)
            self.disk.flush_directory()
        except BaseException:
            self.disk.close(file)
            with contextlib.suppress(OSError):  # it holds space that a full disk may need
                self.disk.remove(file_names.NEW_SEGMENT)
            raise
        segment.size += len(data)
        self._count_written(len(head) + len(data))
        with self.lock:
            self.active = self.segments[number] = segment
        self.last_time_mark = self.time
        self.sequence = segment.last_sequence = segment.flushed_through
        self._enter(carried, spans, segment)
        return segment

    def needs_segment(self) -> bool:
        """Whether the next write begins a new segment."""
        return self.active is None or self.active.size >= self.limits.segment_bytes

    def remove_segment(self, segment: Segment) -> None:
        """Remove a segment's file; a reader or snapshot that needs it keeps it open until it is done."""
        with self.lock:
            segment.is_removed = True
            del self.segments[segment.number]
            self.index.live_bytes.pop(segment.number, None)
            for pinned in self.pins.values():  # what a snapshot still points at may be in it
                pinned[segment.number] = segment
                segment.reference_count += 1
            free = segment.reference_count == 0
        with contextlib.suppress(OSError):  # the log says that it is removed: a start cleans up
            self.disk.remove(segment.name)
            self.disk.flush_directory()
        if free:
            self.disk.close(segment.file)

    def release(self, segment: Segment) -> None:
        """Drop one reference of a reader or snapshot; the caller holds the lock."""
        segment.reference_count -= 1
        if segment.is_removed and segment.reference_count == 0:
            self.disk.close(segment.file)

    def unpin(self, snapshot: Snapshot) -> None:
        """Close a snapshot and release the files kept for it; the caller holds the lock."""
        snapshot.close()
        for segment in self.pins.pop(snapshot, {}).values():
            self.release(segment)

    def total(self) -> int:
        """Bytes of all segments; those that are removed and still read count too."""
        held = {each for pinned in list(self.pins.values()) for each in list(pinned.values())}
        return sum(each.size + each.void_bytes for each in (*self.segments.values(), *held))

    def end_snapshots_for(self, needed: int) -> None:
        """End the oldest snapshots while the files that they hold leave less than `needed` bytes."""
        while self.total() + needed > self.limits.max_disk_bytes - self.limits.reserve_bytes and any(
            self.pins.values()
        ):
            with self.lock:
                self.unpin(next(snapshot for snapshot, pinned in self.pins.items() if pinned))
            self.counts["snapshots ended"] += 1

    def release_resources(self) -> None:
        """Close all files. The caller holds the lock: a reader finds all of it or nothing."""
        for snapshot in list(self.pins):
            self.unpin(snapshot)
        for segment in self.segments.values():
            segment.is_removed = True  # a reader that is using it closes it
            if not segment.reference_count:
                self.disk.close(segment.file)
        self.segments = {}
        self.active = None

    def close_segments(self) -> None:
        """Close the files of a store that was just created; a start opens them again."""
        for segment in self.segments.values():
            self.disk.close(segment.file)
        self.segments = {}
        self.active = None

    # -- writing -----------------------------------------------------------------------------------

    def write(self, records: list[Record]) -> StoreError | None:
        """Append and flush the records, then enter them into the index; all of them or none.

        Without records a time mark is written, which proves all before it. Returns None or the error; after
        an error the segment is not written to again.
        """
        if self.time - self.last_time_mark >= TIME_MARK_INTERVAL_US or not records:
            records = [Record(framing.TIME_MARK, self.time, b""), *records]
        try:
            segment, spans = self.append(records)
        except OSError as error:
            return to_store_error(error)
        self.disk_full = False
        if records[0].kind == framing.TIME_MARK:
            self.last_time_mark = self.time
        self.counts["records"] += len(records)
        self._enter(records, spans, segment)
        return None

    def append(self, records: Sequence[Record]) -> tuple[Segment, list[tuple[int, int]]]:
        """Write and flush the records; returns the segment, and offset and length of each.

        Raises OSError, and then does not use the segment any more.
        """
        try:
            if self.needs_segment():
                self.active = None
                self.begin()
            segment = self.newest()
            data, spans = segments.encode_records(records, segment, self.sequence + 1, self.sequence)
            self.disk.append(segment.file, data)
            self.disk.flush(segment.file)
        except OSError as error:
            self._abandon_active_segment(error)
            raise
        segment.size += len(data)
        self._count_written(len(data))
        self.counts["flushes"] += 1
        self.sequence += len(records)
        segment.last_sequence = self.sequence
        return segment, spans

    def _abandon_active_segment(self, error: OSError) -> None:
        """Never write to the segment again: what was being written may be there in part."""
        if self.active is not None:
            with contextlib.suppress(OSError):
                self.active.void_bytes = max(0, self.disk.size(self.active.file) - self.active.size)
            self.active = None
        self.counts["writes failed"] += 1
        self.disk_full = self.disk_full or error.errno in DISK_FULL

    def _enter(self, records: Sequence[Record], spans: Sequence[tuple[int, int]], segment: Segment) -> None:
        with self.lock:
            index, number = self.index, segment.number
            for record, (offset, length) in zip(records, spans, strict=True):
                if record.kind in framing.PUTS:
                    index.put(record.key, pack_location(number, offset, length, record.number))
                elif record.kind in framing.DELETES:
                    index.delete(record.key)
                    segment.tombstone_bytes += length

    def _count_written(self, size: int) -> None:
        self.bytes_written += size
        self.counts["bytes written"] += size
