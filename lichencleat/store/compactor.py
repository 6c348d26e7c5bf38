"""Compactor: copies a segment's live records and needed tombstones to the log's end; removes the segment."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from lichencleat.store import framing, maintenance
from lichencleat.store.errors import CorruptDataError, Finding
from lichencleat.store.index import is_expired, pack_location
from lichencleat.store.log import Log
from lichencleat.store.reserve import Reserve
from lichencleat.store.segments import Record, Segment


@dataclass(slots=True)
class Compaction:
    """A compaction in progress."""

    segment: Segment  # the segment that is removed at the end of the compaction
    offset: int  # offset of the next frame to read from the segment, in bytes
    sequence: int  # sequence of that frame

    @property
    def remaining_bytes(self) -> int:
        """Bytes of the segment that are not read yet."""
        return self.segment.size - self.offset


@dataclass(slots=True, frozen=True)
class EntryMove:
    """An index entry whose record is copied, with the record's location before the copy."""

    key: bytes
    old_location: int


@dataclass(slots=True)
class CopyBatch:
    """Records that one step of a compaction writes; `moves` has each record's index entry, if any."""

    records: list[Record] = field(default_factory=list)
    moves: list[EntryMove | None] = field(default_factory=list)

    def add(self, record: Record, move: EntryMove | None = None) -> None:
        """Append a record."""
        self.records.append(record)
        self.moves.append(move)


class Compactor:
    """Runs one compaction at a time; after an error, a new compaction starts at the segment's beginning."""

    def __init__(self, log: Log, reserve: Reserve) -> None:
        self.log = log
        self.reserve = reserve
        self.in_progress: Compaction | None = None

    def begin(self, segment: Segment | None) -> None:
        """Begin to compact a segment; the next calls of `step` do the work. None begins nothing."""
        if segment is not None:
            self.in_progress = Compaction(segment, segment.data_start, segment.first_sequence)

    def step(self, compaction: Compaction, budget: int) -> None:
        """Read and copy about `budget` bytes of a segment; remove the segment after its last record.

        Raises:
            CorruptDataError: If the segment has valid bytes that are not a record; the segment is kept.
            OSError: If writing failed; the segment is kept.
        """
        log, segment = self.log, compaction.segment
        remaining = [each for each in log.segments.values() if each is not segment]
        is_oldest = all(each.number > segment.number for each in remaining)
        copies = CopyBatch()
        is_complete = True
        if not is_oldest or log.index.live_bytes.get(segment.number, 0):
            self._collect_copies(compaction, budget, remaining, copies)
            is_complete = compaction.offset >= segment.size
        # An oldest segment without live entries needs no copies: no older segment has values that its
        # tombstones hide.
        if is_complete:
            copies.add(Record(framing.SEGMENT_REMOVED, segment.number, b""))
        if copies.records:
            self._copy(copies)
        if is_complete:
            self.in_progress = None
            log.remove_segment(segment)
            log.disk_full = False  # space was freed; the next write shows whether the space is enough
            log.counts["segments cleaned"] += 1

    def _collect_copies(
        self, compaction: Compaction, budget: int, remaining: Sequence[Segment], copies: CopyBatch
    ) -> None:
        """Read about `budget` bytes of the segment; add the records that have to be kept to `copies`."""
        segment = compaction.segment
        processed_bytes = 0
        frames = framing.iter_frames(
            self._reader(segment), compaction.offset, segment.size, segment.salt_checksum
        )
        for offset, length, body in frames:
            sequence, kind, _, number, key, value = framing.decode_body(body)
            if sequence != compaction.sequence:
                problem = f"found record {sequence} in place of record {compaction.sequence}"
                raise self._mark_damaged(segment, offset, problem)
            location = pack_location(segment.number, offset, length, number)
            record = self._replacement(kind, sequence, number, key, value, location, remaining)
            if record is not None:
                move = EntryMove(key, location) if record.kind == framing.PUT else None
                copies.add(record, move)
                processed_bytes += length
            processed_bytes += length
            compaction.offset = offset + length
            compaction.sequence = sequence + 1
            if processed_bytes >= budget:
                return
        if compaction.offset < segment.size:
            raise self._mark_damaged(segment, compaction.offset, "a confirmed record is not whole")

    def _reader(self, segment: Segment) -> framing.Read:
        def read(offset: int, length: int) -> bytes:
            try:
                return self.log.disk.read(segment.file, offset, length)
            except OSError as error:
                problem = f"can't be read: {error.strerror}"
                raise self._mark_damaged(segment, offset, problem) from error

        return read

    def _mark_damaged(self, segment: Segment, offset: int, problem: str) -> CorruptDataError:
        """Exclude the segment from compaction, so that `check` and `salvage` can read it; return an error."""
        self.in_progress = None
        segment.is_damaged = True
        return CorruptDataError([Finding(segment.name, offset, problem)])

    def _replacement(
        self,
        kind: int,
        sequence: int,
        number: int,
        key: bytes,
        value: memoryview,
        location: int,
        remaining: Sequence[Segment],
    ) -> Record | None:
        """Return the record to write in place of a record of the segment, or None if none is needed.

        Args:
            kind: Kind of the record.
            sequence: Sequence of the record.
            number: Number of the record, see `framing.Body`.
            key: Key of the record.
            value: Value of the record.
            location: Packed location of the record.
            remaining: All segments except the one that is compacted.
        """
        index = self.log.index
        if kind in framing.PUTS:
            if index.locations.get(key) == location:
                if not is_expired(location, self.log.time):
                    return Record(framing.PUT, number, key, value)
                with self.log.lock:
                    index.delete(key)
            elif not number or key in index.locations:
                return None  # the key has a newer value, or a newer tombstone
            # The value has expired: a tombstone has to hide older values of the key in older segments.
            tombstone_sequence = sequence
        elif kind in framing.DELETES:
            tombstone_sequence = number or sequence
        else:
            return None
        if key in index.locations:
            return None
        return (
            Record(framing.DELETE, tombstone_sequence, key)
            if maintenance.is_tombstone_needed(tombstone_sequence, remaining)
            else None
        )

    def _copy(self, copies: CopyBatch) -> None:
        """Write and flush all copies; a full disk releases the reserve to make space for them."""
        log = self.log
        written_before = log.counts["bytes written"]
        try:
            segment, spans = self.reserve.run_with_reserve(log.append, copies.records)
        except OSError:
            self.in_progress = None  # the segment is kept and compacted again later
            raise
        log.counts["bytes copied"] += log.counts["bytes written"] - written_before
        with log.lock:
            for record, move, (offset, length) in zip(copies.records, copies.moves, spans, strict=True):
                if move is not None:
                    location = pack_location(segment.number, offset, length, record.number)
                    log.index.move(move.key, move.old_location, location)
                elif record.kind == framing.DELETE:
                    segment.tombstone_bytes += length
