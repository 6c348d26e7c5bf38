"""Compactor: copies what a segment still holds to the log's end, then removes its file."""

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
    """A segment that is being compacted, and how far: the rest is read from `offset` on."""

    segment: Segment
    offset: int  # bytes
    sequence: int  # of the frame there

    @property
    def remaining_bytes(self) -> int:
        """Bytes of the segment still to be read."""
        return self.segment.size - self.offset


@dataclass(slots=True, frozen=True)
class EntryMove:
    """An entry that is copied, and its location before."""

    key: bytes
    old_location: int


@dataclass(slots=True)
class CopyBatch:
    """Records to be copied by one step, each with the entry that it moves, if any."""

    records: list[Record] = field(default_factory=list)
    moves: list[EntryMove | None] = field(default_factory=list)

    def add(self, record: Record, move: EntryMove | None = None) -> None:
        """Append a record."""
        self.records.append(record)
        self.moves.append(move)


class Compactor:
    """Owns the compaction under way: one at a time, begun anew from its start after an error."""

    def __init__(self, log: Log, reserve: Reserve) -> None:
        self.log = log
        self.reserve = reserve
        self.in_progress: Compaction | None = None

    def begin(self, segment: Segment | None) -> None:
        """Begin with that segment, if there is one; the next steps compact it."""
        if segment is not None:
            self.in_progress = Compaction(segment, segment.data_start, segment.first_sequence)

    def step(self, compaction: Compaction, budget: int) -> None:
        """Read and copy some `budget` bytes; at its end the segment is removed.

        Raises:
            CorruptDataError: If the segment has bytes that are no record; it is then left as it is.
            OSError: If writing failed; nothing was removed.
        """
        log, segment = self.log, compaction.segment
        others = [each for each in log.segments.values() if each is not segment]
        is_oldest = all(each.number > segment.number for each in others)
        copies = CopyBatch()
        done = True
        if not is_oldest or log.index.live_bytes.get(segment.number, 0):
            self._gather(compaction, budget, others, copies)
            done = compaction.offset >= segment.size
        # else nothing of it is needed, tombstones included
        if done:
            copies.add(Record(framing.SEGMENT_REMOVED, segment.number, b""))
        if copies.records:
            self._copy(copies)
        if done:
            self.in_progress = None
            log.remove_segment(segment)
            log.disk_full = False  # some space was given back; the next write tells
            log.counts["segments cleaned"] += 1

    def _gather(
        self, compaction: Compaction, budget: int, others: Sequence[Segment], copies: CopyBatch
    ) -> None:
        """Read on through the segment, some `budget` bytes, and add what has to be kept of it."""
        segment = compaction.segment
        spent = 0
        frames = framing.iter_frames(self._reader(segment), compaction.offset, segment.size, segment.salt)
        for offset, length, body in frames:
            sequence, kind, _, number, key, value = framing.decode_body(body)
            if sequence != compaction.sequence:
                problem = f"record {sequence} stands where {compaction.sequence} belongs"
                raise self._mark_damaged(segment, offset, problem)
            location = pack_location(segment.number, offset, length, number)
            record = self._replacement(kind, sequence, number, key, value, location, others)
            if record is not None:
                move = EntryMove(key, location) if record.kind == framing.PUT else None
                copies.add(record, move)
                spent += length
            spent += length
            compaction.offset = offset + length
            compaction.sequence = sequence + 1
            if spent >= budget:
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
        """Leave the segment as it is, for `check` and `salvage`; compaction goes on with others."""
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
        others: Sequence[Segment],
    ) -> Record | None:
        """The record that has to stand for this one once its segment is removed, or None."""
        index = self.log.index
        if kind in framing.PUTS:
            if index.locations.get(key) == location:
                if not is_expired(location, self.log.time):
                    return Record(framing.PUT, number, key, value)
                with self.log.lock:
                    index.delete(key)
            elif not number or key in index.locations:
                return None  # a newer value or tombstone stands for it
            born = sequence  # it has expired; what it replaced in an older segment must not come back
        elif kind in framing.DELETES:
            born = number or sequence
        else:
            return None
        if key in index.locations:
            return None
        return Record(framing.DELETE, born, key) if maintenance.is_tombstone_needed(born, others) else None

    def _copy(self, copies: CopyBatch) -> None:
        """Write and flush the copies at once, with the reserve's space where the disk is full."""
        log = self.log
        written = log.counts["bytes written"]
        try:
            segment, spans = self.reserve.run_with_reserve(log.append, copies.records)
        except OSError:
            self.in_progress = None  # begun anew another time: nothing was removed
            raise
        log.counts["bytes copied"] += log.counts["bytes written"] - written
        with log.lock:
            for record, move, (offset, length) in zip(copies.records, copies.moves, spans, strict=True):
                if move is not None:
                    location = pack_location(segment.number, offset, length, record.number)
                    log.index.move(move.key, move.old_location, location)
                elif record.kind == framing.DELETE:
                    segment.tombstone_bytes += length
