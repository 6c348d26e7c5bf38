"""The log: owns the segments' files, appends to the newest segment, tracks which files are still needed.

One thread writes; any thread may read at the same time. `Log.lock` protects the index and the collections of
segments. It is held while the entries of one chunk or commit are processed, never during disk I/O.
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

# Time between two time marks, which are log records with the current time. The interval bounds how far time
# can step back after a power cut.
TIME_MARK_INTERVAL_US = 1_000_000
DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)
COUNTER_NAMES = (
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
    """Return the store's error for an error of the disk."""
    if error.errno in DISK_FULL_ERRNOS:
        return FullError(Limit.DISK_SPACE, f"({error.strerror}); no change of this write is confirmed")
    return NotConfirmedError(f"the disk failed: {error.strerror or error}")


class Log:
    """The segments and the index of an open store.

    The log owns the segments' files: `release_resources`, `remove_segment`, `release` and `close_segments`
    close them.
    """

    def __init__(self, disk: Disk, clock: Callable[[], int], rng: random.Random, limits: StoreLimits) -> None:
        self.disk = disk
        self.clock = clock
        self.rng = rng
        self.limits = limits
        self.lock = threading.Lock()
        self.index = Index(limits.max_undo_entries)
        self.store = b""  # identity of the store: the salt in its marker file
        self.segments: dict[int, Segment] = {}  # by number, oldest first
        self.active: Segment | None = None  # the segment to append to; None: the next write begins a segment
        self.sequence = 0  # sequence of the last flushed frame
        self.time = 0  # µs: the latest time seen; expired entries stay expired if the clock steps back
        self.last_time_mark = 0  # µs: the latest time recorded in the log
        # Bytes of log written since the store was opened, and of the older log that no checkpoint covers.
        self.bytes_written = 0
        self.disk_full = False  # whether the last write failed because the disk was full
        # By open snapshot of a reader: the removed segments that the snapshot still needs, by number.
        self.pins: dict[Snapshot, dict[int, Segment]] = {}
        self.counts = dict.fromkeys(COUNTER_NAMES, 0)

    def tick(self) -> int:
        """Read the clock and return the latest time seen, in µs."""
        self.time = max(self.time, self.clock())
        return self.time

    # -- segments ----------------------------------------------------------------------------------

    def load(self, found: Iterable[Segment]) -> None:
        """Load the segments that recovery found, oldest first."""
        self.segments = {each.number: each for each in found}
        self.sequence = self.newest().last_sequence

    def newest(self) -> Segment:
        """Return the segment with the highest number."""
        return self.active or next(reversed(self.segments.values()))

    def sealed(self) -> list[Segment]:
        """Return all segments except the active segment, oldest first."""
        return [each for each in self.segments.values() if each is not self.active]

    def begin(self, initial_records: Sequence[Record] = ()) -> Segment:
        """Begin a new active segment. Raises OSError.

        The new segment's header records the valid size of each older segment; bytes after the valid size are
        ignored from then on.

        Args:
            initial_records: Records to write and flush before the new segment's file gets its final name.
        """
        with contextlib.suppress(FileNotFoundError):
            self.disk.remove(file_names.NEW_SEGMENT)  # left by an attempt that failed
        number = max(self.segments, default=0) + 1
        salt = self.rng.randbytes(framing.SALT_BYTES)
        file = self.disk.open(file_names.NEW_SEGMENT, create=True)
        try:
            segment = Segment(number, file, crc32c(salt), 0, self.sequence + 1)
            segment.flushed_through = self.sequence + len(initial_records)
            header = segments.encode_header(
                self.store, segment, salt, self.time, list(self.segments.values())
            )
            segment.data_start = segment.size = len(header)
            data, spans = segments.encode_records(initial_records, segment, self.sequence + 1, self.sequence)
            self.disk.append(file, header + data)
            self.disk.flush(file)
            self.disk.rename(file_names.NEW_SEGMENT, segment.name)
            self.disk.flush_directory()
        except BaseException:
            self.disk.close(file)
            with contextlib.suppress(OSError):  # removing the file frees space, which a full disk may need
                self.disk.remove(file_names.NEW_SEGMENT)
            raise
        segment.size += len(data)
        self._count_written(len(header) + len(data))
        with self.lock:
            self.active = self.segments[number] = segment
        self.last_time_mark = self.time
        self.sequence = segment.last_sequence = segment.flushed_through
        self._apply_to_index(initial_records, spans, segment)
        return segment

    def needs_segment(self) -> bool:
        """Whether the next write begins a new segment."""
        return self.active is None or self.active.size >= self.limits.segment_bytes

    def remove_segment(self, segment: Segment) -> None:
        """Remove a segment and its file; the file stays open while a reader or snapshot needs it."""
        with self.lock:
            segment.is_removed = True
            del self.segments[segment.number]
            self.index.live_bytes.pop(segment.number, None)
            for pinned in self.pins.values():  # each snapshot may still point at records of the segment
                pinned[segment.number] = segment
                segment.reference_count += 1
            is_unused = segment.reference_count == 0
        with contextlib.suppress(OSError):  # on an error, the next opening removes the file
            self.disk.remove(segment.name)
            self.disk.flush_directory()
        if is_unused:
            self.disk.close(segment.file)

    def release(self, segment: Segment) -> None:
        """Drop one reference to a segment; close the file of a removed segment without references.

        The caller holds the lock.
        """
        segment.reference_count -= 1
        if segment.is_removed and segment.reference_count == 0:
            self.disk.close(segment.file)

    def unpin(self, snapshot: Snapshot) -> None:
        """Close a snapshot and release the files kept for it. The caller holds the lock."""
        snapshot.close()
        for segment in self.pins.pop(snapshot, {}).values():
            self.release(segment)

    def total_bytes(self) -> int:
        """Return the bytes of all segments, including removed segments that a snapshot keeps open."""
        removed = {each for pinned in list(self.pins.values()) for each in list(pinned.values())}
        return sum(each.size + each.void_bytes for each in (*self.segments.values(), *removed))

    def end_snapshots_for(self, needed: int) -> None:
        """End snapshots that keep removed segments, oldest first, until `needed` bytes fit the disk limit."""
        while self.total_bytes() + needed > self.limits.max_disk_bytes - self.limits.reserve_bytes and any(
            self.pins.values()
        ):
            with self.lock:
                self.unpin(next(snapshot for snapshot, pinned in self.pins.items() if pinned))
            self.counts["snapshots ended"] += 1

    def release_resources(self) -> None:
        """Close all files. The caller holds the lock, so that a reader finds either all segments or none."""
        for snapshot in list(self.pins):
            self.unpin(snapshot)
        for segment in self.segments.values():
            segment.is_removed = True  # the last reader that uses the segment closes the file
            if not segment.reference_count:
                self.disk.close(segment.file)
        self.segments = {}
        self.active = None

    def close_segments(self) -> None:
        """Close the files of a store that was just created; recovery opens them again."""
        for segment in self.segments.values():
            self.disk.close(segment.file)
        self.segments = {}
        self.active = None

    # -- writing -----------------------------------------------------------------------------------

    def write(self, records: list[Record]) -> StoreError | None:
        """Append and flush the records, then apply them to the index; all of them or none.

        Without records, writes only a time mark: a log record with the current time, which shows recovery
        that all earlier records were flushed. Returns None, or the error if the disk failed; the active
        segment is then sealed.
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
        self._apply_to_index(records, spans, segment)
        return None

    def append(self, records: Sequence[Record]) -> tuple[Segment, list[tuple[int, int]]]:
        """Write and flush the records; return their segment, and offset and length of each record.

        Raises OSError if the disk failed; the active segment is then sealed.
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
        """Seal the active segment after a failed write, which may have left a part of the records on disk."""
        if self.active is not None:
            with contextlib.suppress(OSError):
                self.active.void_bytes = max(0, self.disk.size(self.active.file) - self.active.size)
            self.active = None
        self.counts["writes failed"] += 1
        self.disk_full = self.disk_full or error.errno in DISK_FULL_ERRNOS

    def _apply_to_index(
        self, records: Sequence[Record], spans: Sequence[tuple[int, int]], segment: Segment
    ) -> None:
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
