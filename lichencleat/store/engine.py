"""The store itself, one call at a time: commits, reads, upkeep, over a `Disk`; no reactor, no thread of its
own.

One thread writes (`commit`, `step`, `close`); any other may read meanwhile (`get`, `scan`, `snapshot`): the
index is guarded by a lock that is held for a chunk's or a commit's entries, never while the disk is asked.
"""

from __future__ import annotations

import contextlib
import errno
import random
import threading
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from crc32c import crc32c

from lichencleat.store import checkpoint, frames, recovery, segments, upkeep
from lichencleat.store import errors as bounds
from lichencleat.store.disk import Disk
from lichencleat.store.errors import (
    BadRecordError,
    ClosedError,
    DamagedError,
    Finding,
    FullError,
    NotConfirmedError,
    SnapshotGoneError,
    StoreError,
    UnfitError,
)
from lichencleat.store.index import (
    ENTRY_BYTES,
    Index,
    Snapshot,
    expired,
    length_of,
    offset_of,
    place,
    segment_of,
)
from lichencleat.store.segments import NEW, Record, Segment

MIB = 1 << 20
BATCH_MOST = 32 * MIB  # bytes of one batch's frames: it is written, and in doubt, at once
CHUNK = 256  # entries looked up at once by a scan: the lock is held for some 0.1 ms
SWEEP_ROWS = 512  # entries looked at in one step of a sweep: some 10 ms under the lock where all have expired
STEP = 256 << 10  # bytes that one step of upkeep reads or writes
# µs between marks of the time in the log: by so much a clock that goes back may be believed
MARK_EACH = 1_000_000
SNAPSHOTS_MOST = 64  # each may hold files that cleaning would give back, and an undo list
RESERVE_AGAIN = 30_000_000  # µs between tries to take the reserve's room again
ZEROS = bytes(MIB)  # what the reserve is written with, a piece at a time
POINT_AT_CLOSE = 1 * MIB  # bytes of log since the last checkpoint that make closing write one
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


@dataclass(frozen=True, slots=True)
class Bounds:
    """How large a store may grow. Defaults suit a node with some hundred MB and 1,024 descriptors."""

    segment_bytes: int = 16 * MIB  # a segment is closed once it is this large; one holds a descriptor
    disk_bytes: int = 1024 * MIB  # of all segments; what cleaning needs is kept back from it
    entries: int = 2_000_000
    memory_bytes: int = 512 * MIB  # of index entries, estimated
    segments: int = 512  # files open at once
    reserve: bool = True  # keep a file of one segment's size, for cleaning when the disk itself is full
    undo_entries: int = 1_000_000  # changes that a snapshot outlives

    @property
    def reserve_bytes(self) -> int:
        return self.segment_bytes + self.segment_bytes // 16


class Batch:
    """Changes that are confirmed together or not at all; the last one of a key holds."""

    __slots__ = ("changes", "bytes", "puts")

    def __init__(self) -> None:
        self.changes: list[tuple[bytes, bytes | None, int]] = []  # key, value (None: deleted), expiry
        self.bytes = 0  # of its frames at the most
        self.puts = False

    def put(self, key: bytes, value: bytes, expiry: int = 0) -> Batch:
        """`expiry`: µs of Unix time from which the entry is not there any more; 0: it stays."""
        if len(value) > frames.VALUE_MOST:
            raise BadRecordError(f"a value has at most {frames.VALUE_MOST} bytes, not {len(value)}")
        if not 0 <= expiry < 1 << 63:
            raise BadRecordError(f"an expiry is µs of Unix time, not {expiry}")
        self.puts = True
        return self.add(key, value, expiry, len(value))

    def delete(self, key: bytes) -> Batch:
        return self.add(key, None, 0, 0)

    def add(self, key: bytes, value: bytes | None, expiry: int, size: int) -> Batch:
        if not 0 < len(key) <= frames.KEY_MOST:
            raise BadRecordError(f"a key has 1 to {frames.KEY_MOST} bytes, not {len(key)}")
        self.bytes += frames.FRAME_EXTRA + len(key) + size
        if self.bytes > BATCH_MOST:
            raise BadRecordError(f"a batch has at most {BATCH_MOST} bytes")
        self.changes.append((key, value, expiry))
        return self

    def records(self) -> list[Record]:
        if len(self.changes) == 1:
            ((key, value, expiry),) = self.changes
            if value is None:
                return [Record(frames.DELETE, 0, key)]
            return [Record(frames.PUT, expiry, key, value)]
        made = [
            Record(frames.BATCH_DELETE, 0, key)
            if value is None
            else Record(frames.BATCH_PUT, expiry, key, value)
            for key, value, expiry in self.changes
        ]
        return [*made, Record(frames.COMMIT, len(made), b"")]


@dataclass(slots=True)
class Growth:
    """What the batches taken so far into one commit add."""

    bytes: int  # with what the store has already
    begins: bool  # a new segment is needed
    near: bool  # all of them together might break a bound of the index: each is looked at
    entries: int = 0
    memory: int = 0


@dataclass(slots=True)
class Cleaning:
    """A segment on its way out, and how far it was copied. The rest is read from `offset` on."""

    segment: Segment
    offset: int
    sequence: int


@dataclass(slots=True)
class Pointing:
    """A checkpoint on its way to the disk."""

    snapshot: Snapshot
    writer: checkpoint.Writer
    file: Any
    cursor: bytes
    mark: int  # bytes of log that had been written when it began


class Engine:
    def __init__(self, disk: Disk, clock: Callable[[], int], rng: random.Random, most: Bounds) -> None:
        self.disk, self.clock, self.rng, self.most = disk, clock, rng, most
        self.guard = threading.Lock()
        self.index = Index(most.undo_entries)
        self.store = b""
        self.segments: dict[int, Segment] = {}  # by number, oldest first
        self.active: Segment | None = None  # the one written to; None: the next write begins one
        self.sequence = 0  # of the last frame that was flushed
        self.time = 0  # µs: the latest time seen, so that a clock that goes back brings nothing back
        self.marked = 0  # µs: the latest time that stands in the log
        self.log_bytes = 0  # written since the start
        self.point_mark = 0  # of these, before the last checkpoint
        self.last_point = 0  # sequence that the last checkpoint covers
        self.cleaning: Cleaning | None = None
        self.pointing: Pointing | None = None
        self.sweeping: bytes | None = None
        self.sweep_earliest = 0
        self.swept = 0  # µs: when the last sweep ended
        self.reserving: Any = None  # the reserve's file while it is being written
        self.reserve_tried = -RESERVE_AGAIN  # µs: when that was begun last
        self.reserve_held = 0  # bytes of the file that gives its room when the disk is full
        self.disk_full = False  # the last write found no room
        self.thorough = False  # cleaning goes on while there is any garbage
        self.pins: dict[Snapshot, dict[int, Segment]] = {}  # files gone from the log since, by number
        self.closed = False
        self.counts = dict.fromkeys(COUNTS, 0)

    # -- opening -----------------------------------------------------------------------------------

    @classmethod
    def open(
        cls,
        disk: Disk,
        clock: Callable[[], int],
        rng: random.Random,
        most: Bounds | None = None,
        create: bool = False,
        where: str = "the directory",
    ) -> Engine:
        """Takes the lock, finds what is confirmed, makes sure that it stays so. Raises UnfitError,
        DamagedError, FullError.

        `clock` gives µs of Unix time and may go back; `rng` gives the salts of new files.
        """
        engine = cls(disk, clock, rng, most or Bounds())
        disk.lock()
        try:
            engine.start(create, where)
        except OSError as wrong:
            engine.give_back()
            raise engine.told(wrong) from wrong
        except BaseException:
            engine.give_back()
            raise
        return engine

    def start(self, create: bool, where: str) -> None:
        names = self.disk.names()
        if recovery.STORE not in names and create:
            if others := [
                each for each in names if each not in recovery.OWN and not recovery.is_segment(each)
            ]:
                raise UnfitError(f"{where}: no store, and not empty ({others[0]}); name an empty directory")
            if any(recovery.is_segment(each) and each != segments.NAME.format(1) for each in names):
                raise UnfitError(
                    f"{where}: segments without their file {recovery.STORE}; try 'store salvage'"
                )
            self.create(names)
            names = self.disk.names()
        survey = recovery.Survey(self.disk, where)
        try:
            survey.read()
            if survey.findings:
                raise DamagedError(survey.findings)
            self.store = survey.store
            self.time = max(self.clock(), survey.time)
            places, sums = survey.entries(self.time)
            if survey.findings:
                raise DamagedError(survey.findings)
            carried = [Record(*each) for each in survey.carried()]
        except BaseException:
            survey.close()
            raise
        self.segments = {each.number: each for each in survey.segments}
        newest = survey.segments[-1]
        self.sequence = newest.end
        self.index.load(places, sums)
        self.counts["torn bytes"] = survey.torn
        self.counts["records carried"] = len(carried)
        if survey.point is not None:
            self.last_point = survey.point.sequence
        self.log_bytes = sum(each.size for each in survey.segments if each.end > self.last_point)
        self.hold_reserve(names)
        if survey.unsealed():
            self.seal(carried)
        for name in survey.leftovers:  # only now: the segment that says they are gone is on the disk
            with contextlib.suppress(OSError):
                self.disk.remove(name)

    def create(self, names: Sequence[str]) -> None:
        """The mark is written last: a cut before it leaves a directory that is made anew."""
        for name in names:
            self.disk.remove(name)
        self.store = self.rng.randbytes(frames.SALT)
        self.begin()
        file = self.disk.open(recovery.STORE_NEW, create=True)
        try:
            self.disk.append(file, frames.file_head(frames.STORE_MAGIC, self.store))
            self.disk.flush(file)
        finally:
            self.disk.close(file)
        self.disk.rename(recovery.STORE_NEW, recovery.STORE)
        self.disk.flush_directory()
        for segment in self.segments.values():
            self.disk.close(segment.file)
        self.segments, self.active = {}, None

    def hold_reserve(self, names: Sequence[str]) -> None:
        if recovery.RESERVE in names:
            file = self.disk.open(recovery.RESERVE)
            try:
                self.reserve_held = self.disk.size(file)
            finally:
                self.disk.close(file)

    def seal(self, carried: list[Record]) -> None:
        """Writes what was in doubt anew, in a segment that has its name only once all of it is flushed."""
        try:
            self.begin(carried)
        except OSError as wrong:
            if wrong.errno not in DISK_FULL or not self.release_reserve():
                raise
            self.begin(carried)

    # -- segments ----------------------------------------------------------------------------------

    def begin(self, carried: Sequence[Record] = ()) -> Segment:
        """A new segment to write to. Whatever stands in older ones behind what is confirmed is void from then
        on.
        """
        with contextlib.suppress(FileNotFoundError):
            self.disk.remove(NEW)  # what an earlier try left
        number = max(self.segments, default=0) + 1
        salt = self.rng.randbytes(frames.SALT)
        file = self.disk.open(NEW, create=True)
        try:
            segment = Segment(number, file, crc32c(salt), 0, self.sequence + 1)
            segment.through = self.sequence + len(carried)
            head = segments.head(self.store, segment, salt, self.time, list(self.segments.values()))
            segment.start = segment.size = len(head)
            data, places = segments.encode(carried, segment, self.sequence + 1, self.sequence)
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
        self.sequence = segment.end = segment.through
        self.enter(carried, places, segment)
        return segment

    def writable(self) -> Segment:
        if self.active is not None and self.active.size >= self.most.segment_bytes:
            self.active = None
        return self.active or self.begin()

    def drop(self, segment: Segment) -> None:
        """Gives a segment's file back; a reader or snapshot that needs it keeps it open until it is
        through.
        """
        with self.guard:
            segment.gone = True
            del self.segments[segment.number]
            self.index.live.pop(segment.number, None)
            for pinned in self.pins.values():  # what a snapshot still points at may be in it
                pinned[segment.number] = segment
                segment.users += 1
            free = segment.users == 0
        with contextlib.suppress(OSError):  # the log says that it is gone: a start removes what is left of it
            self.disk.remove(segment.name)
            self.disk.flush_directory()
        if free:
            self.disk.close(segment.file)

    def leave(self, segment: Segment) -> None:
        """A reader or snapshot is through with it; the guard is held."""
        segment.users -= 1
        if segment.gone and segment.users == 0:
            self.disk.close(segment.file)

    # -- writing -----------------------------------------------------------------------------------

    def commit(self, batches: Sequence[Batch]) -> list[StoreError | None]:
        """Writes and flushes all batches that fit the bounds; for each None (it is confirmed) or why not."""
        if self.closed:
            return [ClosedError("the store is closed")] * len(batches)
        self.tick()
        self.shed(sum(each.bytes + frames.FRAME_EXTRA for each in batches))
        growth = self.growth(batches)
        verdicts: list[StoreError | None] = []
        records: list[Record] = []
        for batch in batches:
            refused = self.refuse(batch, growth)
            verdicts.append(refused)
            if refused is None and batch.changes:
                records += batch.records()
        if records:
            failed = self.write(records)
            if failed is not None:
                return [verdict or failed for verdict in verdicts]
            self.counts["commits"] += 1
            self.counts["bytes asked for"] += sum(
                len(each.key) + len(each.value) for each in records if each.kind != frames.COMMIT
            )
        return verdicts

    def refuse(self, batch: Batch, growth: Growth) -> StoreError | None:
        """The bound that the batch would break, if any. Deletes may use half of what is kept for cleaning."""
        most = self.most
        size = growth.bytes + batch.bytes + frames.FRAME_EXTRA  # with its commit's frame
        kept_back = most.reserve_bytes if batch.puts else most.reserve_bytes // 2
        if size > most.disk_bytes - kept_back:
            return FullError(bounds.BYTES, f" ({most.disk_bytes}, {kept_back} of them kept for cleaning)")
        if growth.begins and len(self.segments) >= most.segments - 2:  # two are left to cleaning
            return FullError(bounds.SEGMENTS, f" ({most.segments})")
        if growth.near:
            places = self.index.places
            new = {key for key, value, _ in batch.changes if value is not None and key not in places}
            entries = growth.entries + len(new)
            memory = growth.memory + sum(map(len, new)) + ENTRY_BYTES * len(new)
            if new and len(places) + entries > most.entries:
                return FullError(bounds.ENTRIES, f" ({most.entries})")
            if new and self.index.memory + memory > most.memory_bytes:
                return FullError(bounds.MEMORY, f" ({most.memory_bytes})")
            growth.entries, growth.memory = entries, memory
        growth.bytes = size
        return None

    def growth(self, batches: Sequence[Batch]) -> Growth:
        changes = sum(len(each.changes) for each in batches)
        memory = self.index.memory + ENTRY_BYTES * changes + sum(each.bytes for each in batches)
        return Growth(
            bytes=self.total(),
            begins=self.active is None or self.active.size >= self.most.segment_bytes,
            near=len(self.index) + changes > self.most.entries or memory > self.most.memory_bytes,
        )

    def write(self, records: list[Record]) -> StoreError | None:
        """Appends and flushes the records, then enters them; or none of them, and the segment is not trusted
        again. No records: a mark of the time alone, which proves all before it.
        """
        if self.time - self.marked >= MARK_EACH or not records:
            records = [Record(frames.MARK, self.time, b""), *records]
        try:
            segment, places = self.append(records)
        except OSError as wrong:
            return self.told(wrong)
        self.disk_full = False
        if records[0].kind == frames.MARK:
            self.marked = self.time
        self.counts["records"] += len(records)
        self.enter(records, places, segment)
        return None

    def append(self, records: Sequence[Record]) -> tuple[Segment, list[tuple[int, int]]]:
        """Writes and flushes; offset and length of each. Raises OSError: the segment is then left."""
        try:
            segment = self.writable()
            data, places = segments.encode(records, segment, self.sequence + 1, self.sequence)
            self.disk.append(segment.file, data)
            self.disk.flush(segment.file)
        except OSError as wrong:
            self.distrust(wrong)
            raise
        segment.size += len(data)
        self.count_written(len(data))
        self.counts["flushes"] += 1
        self.sequence += len(records)
        segment.end = self.sequence
        return segment, places

    def distrust(self, wrong: OSError) -> None:
        """The segment is never written to again: behind its size stands what may be there, or not, or
        torn.
        """
        if self.active is not None:
            with contextlib.suppress(OSError):
                self.active.waste = max(0, self.disk.size(self.active.file) - self.active.size)
            self.active = None
        self.counts["writes failed"] += 1
        self.disk_full = self.disk_full or wrong.errno in DISK_FULL

    def enter(self, records: Sequence[Record], places: Sequence[tuple[int, int]], segment: Segment) -> None:
        with self.guard:
            index, number = self.index, segment.number
            for record, (offset, length) in zip(records, places, strict=True):
                if record.kind in (frames.PUT, frames.BATCH_PUT):
                    index.put(record.key, place(number, offset, length, record.number))
                elif record.kind in (frames.DELETE, frames.BATCH_DELETE):
                    index.delete(record.key)
                    segment.tombs += length

    def told(self, wrong: OSError) -> StoreError:
        if wrong.errno in DISK_FULL:
            return FullError(bounds.DISK, f" ({wrong.strerror}); nothing is confirmed of what was asked for")
        return NotConfirmedError(f"the disk failed: {wrong.strerror or wrong}")

    def count_written(self, size: int) -> None:
        self.log_bytes += size
        self.counts["bytes written"] += size

    def tick(self) -> int:
        self.time = max(self.time, self.clock())
        return self.time

    def total(self) -> int:
        """Bytes of all segments; those that are gone and still read count too."""
        held = {each for pinned in list(self.pins.values()) for each in list(pinned.values())}
        return sum(each.size + each.waste for each in (*self.segments.values(), *held))

    def shed(self, needed: int) -> None:
        """Ends the oldest snapshots while the files that they hold keep the store from so many bytes more."""
        while self.total() + needed > self.most.disk_bytes - self.most.reserve_bytes and any(
            self.pins.values()
        ):
            self.release(next(snapshot for snapshot, pinned in list(self.pins.items()) if pinned))
            self.counts["snapshots ended"] += 1

    # -- reading -----------------------------------------------------------------------------------

    def get(self, key: bytes) -> bytes | None:
        """The value, or None. Raises DamagedError where its bytes are not those that were confirmed."""
        with self.guard:
            if self.closed:
                raise ClosedError("the store is closed")
            where = self.index.get(key, self.tick())
            if where is None:
                return None
            segment = self.segments[segment_of(where)]
            segment.users += 1
        try:
            return self.read(segment, key, where)
        finally:
            with self.guard:
                self.leave(segment)

    def read(self, segment: Segment, key: bytes, where: int) -> bytes:
        offset, length = offset_of(where), length_of(where)
        try:
            data = self.disk.read(segment.file, offset, length)
        except OSError as wrong:
            self.counts["damaged reads"] += 1
            raise DamagedError([Finding(segment.name, offset, f"can't be read: {wrong.strerror}")]) from wrong
        body = frames.whole_frame(data, segment.salt, offset)
        if body is not None:
            found = frames.decode_body(body)
            if found[4] == key:
                return bytes(found[5])
        self.counts["damaged reads"] += 1
        raise DamagedError([Finding(segment.name, offset, "a confirmed record is not whole")])

    def snapshot(self) -> Snapshot:
        """The entries as they are now; `release` gives it back. Raises FullError at the bound on
        snapshots.
        """
        with self.guard:
            if self.closed:
                raise ClosedError("the store is closed")
            if len(self.pins) >= SNAPSHOTS_MOST:
                raise FullError(bounds.SNAPSHOTS, f" ({SNAPSHOTS_MOST})")
            snapshot = self.index.snapshot(self.sequence)
            self.pins[snapshot] = {}
            return snapshot

    def release(self, snapshot: Snapshot) -> None:
        with self.guard:
            snapshot.close()
            for segment in self.pins.pop(snapshot, {}).values():
                self.leave(segment)

    def chunk(
        self, snapshot: Snapshot, cursor: bytes, prefix: bytes, most: int = CHUNK
    ) -> list[tuple[bytes, bytes]]:
        """Up to `most` keys and values of the snapshot from `cursor` on, in order; the last chunk is empty.

        The next one begins at the last key and a zero byte. Raises SnapshotGoneError, DamagedError.
        """
        while True:
            with self.guard:
                if not snapshot.open:
                    raise SnapshotGoneError(
                        "the snapshot is over: closed, or too much was changed since it was taken"
                    )
                rows = snapshot.chunk(cursor, prefix, most)
                if not rows:
                    return []
                now = self.tick()
                pinned = self.pins[snapshot]
                held = []
                for key, where in rows:
                    if not expired(where, now):
                        number = segment_of(where)
                        segment = self.segments.get(number) or pinned[number]
                        segment.users += 1
                        held.append((key, where, segment))
            try:
                found = [(key, self.read(segment, key, where)) for key, where, segment in held]
            finally:
                with self.guard:
                    for _, _, segment in held:
                        self.leave(segment)
            if found:
                return found
            cursor = rows[-1][0] + b"\0"  # all of these have expired

    def scan(self, prefix: bytes = b"", snapshot: Snapshot | None = None) -> Iterator[tuple[bytes, bytes]]:
        """Keys and values in order of keys, as they were when the scan began or the snapshot was taken."""
        taken = snapshot if snapshot is not None else self.snapshot()
        cursor = prefix
        try:
            while found := self.chunk(taken, cursor, prefix):
                yield from found
                cursor = found[-1][0] + b"\0"
        finally:
            if snapshot is None:
                self.release(taken)

    # -- upkeep ------------------------------------------------------------------------------------

    def facts(self) -> upkeep.Facts:
        return upkeep.Facts(
            segments=[each for each in self.segments.values() if each is not self.active],
            live=self.index.live,
            total=sum(each.size for each in self.segments.values()),
            bytes_most=self.most.disk_bytes,
            reserve=self.reserve_held if self.disk_full else self.most.reserve_bytes,
            segment_bytes=self.most.segment_bytes,
            since_point=self.log_bytes - self.point_mark,
            entries=len(self.index),
            earliest=self.index.earliest,
            swept=self.swept,
            reserve_missing=self.most.reserve
            and self.reserve_held < self.most.reserve_bytes
            and self.time - self.reserve_tried >= RESERVE_AGAIN,
            disk_full=self.disk_full,
            thorough=self.thorough,
        )

    def step(self, budget: int = STEP) -> int:
        """One bounded piece of upkeep, some `budget` bytes read and written. Bytes left of the job at hand,
        by and by 0: nothing is left to do.

        Raises StoreError where the disk fails; what was confirmed stays so, and a later step may go on.
        """
        if self.closed:
            return 0
        self.tick()
        try:
            if self.cleaning is not None:
                self.clean(self.cleaning, budget)
            elif self.sweeping is not None:
                self.sweep(self.sweeping)
            elif self.reserving is not None:
                self.restore_reserve(self.reserving, budget)
            elif self.pointing is not None and not self.disk_full:
                self.point(self.pointing, budget)
            else:
                job = upkeep.next_job(self.facts(), self.time)
                if job is None:
                    return 0
                self.take_up(job)
            return self.left()
        except OSError as wrong:
            if self.pointing is not None:
                self.point_mark = self.log_bytes  # tried again after as much log, not at once
                self.give_up_point()
            self.give_up_reserve()
            raise self.told(wrong) from wrong

    def left(self) -> int:
        """Bytes to read or write until the job at hand is done; 1 where there is one of another kind."""
        if self.cleaning is not None:
            return max(1, self.cleaning.segment.size - self.cleaning.offset)
        if self.reserving is not None:
            return max(1, self.most.reserve_bytes - self.disk.size(self.reserving))
        if self.sweeping is not None or (self.pointing is not None and not self.disk_full):
            return max(1, self.index.memory)
        return int(upkeep.next_job(self.facts(), self.time) is not None)

    def clean_all(self) -> None:
        """Every sealed segment with garbage is worth cleaning until none is left: for `store compact
        --all`.
        """
        self.thorough = True

    def take_up(self, job: upkeep.Job) -> None:
        if job is upkeep.Job.CLEAN:
            segment = upkeep.victim(self.facts())
            if segment is not None:
                self.cleaning = Cleaning(segment, segment.start, segment.first)
        elif job is upkeep.Job.SWEEP:
            self.sweeping, self.sweep_earliest = b"", 0
            self.index.earliest = 0  # entries made from now on set it anew
        elif job is upkeep.Job.POINT:
            self.begin_point()
        elif job is upkeep.Job.RESERVE:
            self.begin_reserve()

    def clean(self, cleaning: Cleaning, budget: int) -> None:
        """Copies what the segment still holds to the log's end; at its end the segment goes."""
        segment = cleaning.segment
        others = [each for each in self.segments.values() if each is not segment]
        oldest = all(each.number > segment.number for each in others)
        keep: list[Record] = []
        # key and old place of what is copied, None for other records
        moves: list[tuple[bytes, int] | None] = []
        # else nothing of it is needed, tombstones included
        if not oldest or self.index.live.get(segment.number, 0):
            self.gather(cleaning, budget, others, keep, moves)
            done = cleaning.offset >= segment.size
        else:
            done = True
        if done:
            keep.append(Record(frames.GONE, segment.number, b""))
            moves.append(None)
        if keep:
            self.copy(keep, moves)
        if done:
            self.cleaning = None
            self.drop(segment)
            self.disk_full = False  # some room was given back; the next write tells
            self.counts["segments cleaned"] += 1

    def gather(
        self,
        cleaning: Cleaning,
        budget: int,
        others: Sequence[Segment],
        keep: list[Record],
        moves: list[tuple[bytes, int] | None],
    ) -> None:
        """Reads on through the segment, some `budget` bytes, and adds what has to be kept of it."""
        segment = cleaning.segment
        spent = 0
        read = self.victim_reader(segment)
        for offset, length, body in frames.bodies(read, cleaning.offset, segment.size, segment.salt):
            sequence, kind, _, number, key, value = frames.decode_body(body)
            if sequence != cleaning.sequence:
                raise self.spoilt(
                    segment, offset, f"record {sequence} stands where {cleaning.sequence} belongs"
                )
            where = place(segment.number, offset, length, number)
            record = self.kept(kind, sequence, number, key, value, where, others)
            if record is not None:
                keep.append(record)
                moves.append((key, where) if record.kind == frames.PUT else None)
                spent += length
            spent += length
            cleaning.offset, cleaning.sequence = offset + length, sequence + 1
            if spent >= budget:
                return
        if cleaning.offset < segment.size:
            raise self.spoilt(segment, cleaning.offset, "a confirmed record is not whole")

    def victim_reader(self, segment: Segment) -> frames.Read:
        def read(offset: int, length: int) -> bytes:
            try:
                return self.disk.read(segment.file, offset, length)
            except OSError as wrong:
                raise self.spoilt(segment, offset, f"can't be read: {wrong.strerror}") from wrong

        return read

    def spoilt(self, segment: Segment, offset: int, what: str) -> DamagedError:
        """The segment is left as it is, for `check` and `salvage`; cleaning goes on with others."""
        self.cleaning = None
        segment.damaged = True
        return DamagedError([Finding(segment.name, offset, what)])

    def kept(
        self,
        kind: int,
        sequence: int,
        number: int,
        key: bytes,
        value: memoryview,
        where: int,
        others: Sequence[Segment],
    ) -> Record | None:
        """What has to stand for this record once its segment is gone."""
        if kind in (frames.PUT, frames.BATCH_PUT):
            if self.index.places.get(key) == where:
                if not expired(where, self.time):
                    return Record(frames.PUT, number, key, value)
                with self.guard:
                    self.index.delete(key)
            elif not number or key in self.index.places:
                return None  # a newer value or tombstone stands for it
            born = sequence  # it has expired; what it replaced in an older segment must not come back
        elif kind in (frames.DELETE, frames.BATCH_DELETE):
            born = number or sequence
        else:
            return None
        if key in self.index.places:
            return None
        return Record(frames.DELETE, born, key) if upkeep.tomb_needed(born, others) else None

    def copy(self, keep: list[Record], moves: list[tuple[bytes, int] | None]) -> None:
        """One write and one flush; the reserve's room is used where the disk is full. Raises OSError."""
        written = self.counts["bytes written"]
        try:
            try:
                segment, places = self.append(keep)
            except OSError as wrong:
                if wrong.errno not in DISK_FULL or not self.release_reserve():
                    raise
                segment, places = self.append(keep)
        except OSError:
            self.cleaning = None  # begun anew another time: nothing was taken away
            raise
        self.counts["bytes copied"] += self.counts["bytes written"] - written
        with self.guard:
            for record, move, (offset, length) in zip(keep, moves, places, strict=True):
                if move is not None:
                    key, old = move
                    self.index.move(key, old, place(segment.number, offset, length, record.number))
                elif record.kind == frames.DELETE:
                    segment.tombs += length

    def sweep(self, cursor: bytes) -> None:
        with self.guard:
            before = len(self.index)
            following, earliest = self.index.drop_expired(cursor, SWEEP_ROWS, self.time)
            self.counts["entries expired"] += before - len(self.index)
            self.sweeping = following
            if earliest and (earliest < self.sweep_earliest or not self.sweep_earliest):
                self.sweep_earliest = earliest
            if following is None:
                known = [each for each in (self.sweep_earliest, self.index.earliest) if each]
                self.index.earliest = min(known, default=0)
                self.swept = self.time
        if following is None and self.time > self.marked:
            self.write([])  # a mark: what was dropped stays so, whatever the clock says after a cut

    # -- checkpoints and the reserve ---------------------------------------------------------------

    def begin_point(self) -> None:
        """Begins a checkpoint, unless one is under way; the next steps write it. Raises OSError."""
        if self.pointing is not None:
            return
        newest = self.active or next(reversed(self.segments.values()))
        with contextlib.suppress(FileNotFoundError):
            self.disk.remove(checkpoint.NEW)
        writer = checkpoint.Writer(self.rng.randbytes(frames.SALT))
        file = self.disk.open(checkpoint.NEW, create=True)
        with self.guard:
            snapshot = self.index.snapshot(self.sequence)
            tombs = [(each.number, each.tombs) for each in self.segments.values()]
        self.pointing = Pointing(snapshot, writer, file, b"", self.log_bytes)
        self.disk.append(
            file, writer.begin(self.store, self.sequence, self.time, (newest.number, newest.size), tombs)
        )

    def point(self, pointing: Pointing, budget: int) -> None:
        """Writes the next rows; at the end the file is flushed and takes its name."""
        spent = 0
        while spent < budget:
            with self.guard:
                rows = pointing.snapshot.chunk(pointing.cursor, b"", checkpoint.ROWS)
            if not pointing.snapshot.open:
                self.give_up_point()  # more was changed meanwhile than the undo list may hold
                return
            if not rows:
                self.end_point(pointing)
                return
            data = pointing.writer.rows(rows)
            self.disk.append(pointing.file, data)
            spent += len(data)
            pointing.cursor = rows[-1][0] + b"\0"

    def end_point(self, pointing: Pointing) -> None:
        self.disk.append(pointing.file, pointing.writer.end())
        self.disk.flush(pointing.file)
        self.disk.rename(checkpoint.NEW, checkpoint.NAME)
        self.disk.flush_directory()
        self.point_mark = pointing.mark
        self.last_point = pointing.snapshot.sequence
        self.counts["checkpoints"] += 1
        self.counts["bytes written"] += pointing.writer.size
        self.give_up_point()

    def give_up_point(self) -> None:
        """The one place where a checkpoint's file and snapshot are given back, done or not."""
        pointing, self.pointing = self.pointing, None
        if pointing is not None:
            with self.guard:
                pointing.snapshot.close()
            self.disk.close(pointing.file)
            with contextlib.suppress(OSError):
                self.disk.remove(checkpoint.NEW)

    def release_reserve(self) -> bool:
        if not self.reserve_held:
            return False
        self.reserve_held = 0
        with contextlib.suppress(OSError):
            self.disk.remove(recovery.RESERVE)
            self.disk.flush_directory()
        return True

    def begin_reserve(self) -> None:
        with contextlib.suppress(FileNotFoundError):
            self.disk.remove(recovery.RESERVE)
        self.reserve_tried = self.time
        self.reserving = self.disk.open(recovery.RESERVE, create=True)

    def restore_reserve(self, file: Any, budget: int) -> None:
        """Takes the room piece by piece, as zeros that are on the disk; without room it stays missing for a
        while.
        """
        try:
            left = self.most.reserve_bytes - self.disk.size(file)
            self.disk.append(file, ZEROS[: min(left, budget)])
            if left > min(budget, len(ZEROS)):
                return
            self.disk.flush(file)
            self.disk.flush_directory()
        except OSError as wrong:
            if wrong.errno not in DISK_FULL:
                raise
            self.give_up_reserve()
        else:
            self.reserve_held = self.most.reserve_bytes
            self.reserving = None
            self.disk.close(file)

    def give_up_reserve(self) -> None:
        file, self.reserving = self.reserving, None
        if file is not None:
            self.disk.close(file)
            with contextlib.suppress(OSError):
                self.disk.remove(recovery.RESERVE)

    # -- ending ------------------------------------------------------------------------------------

    def close(self) -> None:
        """Proves the tail by a last mark, writes a checkpoint where one saves time, gives everything back."""
        if self.closed:
            return
        try:
            with contextlib.suppress(StoreError):
                if self.active is not None and self.active.size > self.active.start:
                    self.tick()
                    self.write([])
                if self.log_bytes - self.point_mark > POINT_AT_CLOSE and not self.disk_full:
                    self.give_up_point()
                    self.begin_point()
                    while self.pointing is not None:
                        self.point(self.pointing, STEP)
        except OSError:
            self.counts["writes failed"] += 1  # both only save time at the next start
        finally:
            self.give_back()

    def give_back(self) -> None:
        with self.guard:
            self.closed = True
            for snapshot in list(self.pins):
                snapshot.close()
                for segment in self.pins.pop(snapshot).values():
                    self.leave(segment)
            for segment in self.segments.values():
                segment.gone = True  # a reader that is at it closes it
                if not segment.users:
                    self.disk.close(segment.file)
            self.segments, self.active = {}, None
        self.give_up_point()
        self.give_up_reserve()
        self.disk.unlock()

    def stat(self) -> dict[str, int]:
        """Sizes now and counts since the start; docs/operate-store.md says what each means. From any
        thread.
        """
        with self.guard:
            segments, live = list(self.segments.values()), dict(self.index.live)
            return {
                "entries": len(self.index),
                "bytes in memory": self.index.memory,
                "segments": len(segments),
                "bytes on disk": sum(each.size + each.waste for each in segments),
                "bytes live": sum(live.values()),
                "bytes of tombstones": sum(each.tombs for each in segments),
                "bytes of garbage": sum(upkeep.garbage(each, live) for each in segments),
                "bytes of the reserve": self.reserve_held,
                "last sequence": self.sequence,
                "last checkpoint": self.last_point,
                "snapshots": len(self.pins),
                **self.counts,
            }
