"""Cleaning a segment: what it still holds is copied to the log's end, then its file goes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from lichencleat.store import framing, maintenance
from lichencleat.store.errors import CorruptDataError, Finding
from lichencleat.store.index import expired, pack_location
from lichencleat.store.log import Log
from lichencleat.store.reserve import Reserve
from lichencleat.store.segments import Record, Segment


@dataclass(slots=True)
class Compaction:
    """A segment on its way out, and how far it was copied. The rest is read from `offset` on."""

    segment: Segment
    offset: int
    sequence: int


class Compactor:
    """Owns the cleaning under way: one at a time, begun anew from its start after an error."""

    def __init__(self, log: Log, reserve: Reserve) -> None:
        self.log, self.reserve = log, reserve
        self.in_progress: Compaction | None = None

    def begin(self, segment: Segment | None) -> None:
        if segment is not None:
            self.in_progress = Compaction(segment, segment.data_start, segment.first_sequence)

    def left(self, in_progress: Compaction) -> int:
        return in_progress.segment.size - in_progress.offset

    def step(self, in_progress: Compaction, budget: int) -> None:
        """Copies what the segment still holds to the log's end; at its end the segment goes."""
        log, segment = self.log, in_progress.segment
        others = [each for each in log.segments.values() if each is not segment]
        oldest = all(each.number > segment.number for each in others)
        keep: list[Record] = []
        # key and old place of what is copied, None for other records
        moves: list[tuple[bytes, int] | None] = []
        # else nothing of it is needed, tombstones included
        if not oldest or log.index.live_bytes.get(segment.number, 0):
            self.gather(in_progress, budget, others, keep, moves)
            done = in_progress.offset >= segment.size
        else:
            done = True
        if done:
            keep.append(Record(framing.SEGMENT_REMOVED, segment.number, b""))
            moves.append(None)
        if keep:
            self.copy(keep, moves)
        if done:
            self.in_progress = None
            log.drop(segment)
            log.disk_full = False  # some room was given back; the next write tells
            log.counts["segments cleaned"] += 1

    def gather(
        self,
        in_progress: Compaction,
        budget: int,
        others: Sequence[Segment],
        keep: list[Record],
        moves: list[tuple[bytes, int] | None],
    ) -> None:
        """Reads on through the segment, some `budget` bytes, and adds what has to be kept of it."""
        segment = in_progress.segment
        spent = 0
        read = self.reader(segment)
        for offset, length, body in framing.iter_frames(read, in_progress.offset, segment.size, segment.salt):
            sequence, kind, _, number, key, value = framing.decode_body(body)
            if sequence != in_progress.sequence:
                raise self.corrupt(
                    segment, offset, f"record {sequence} stands where {in_progress.sequence} belongs"
                )
            where = pack_location(segment.number, offset, length, number)
            record = self.kept(kind, sequence, number, key, value, where, others)
            if record is not None:
                keep.append(record)
                moves.append((key, where) if record.kind == framing.PUT else None)
                spent += length
            spent += length
            in_progress.offset, in_progress.sequence = offset + length, sequence + 1
            if spent >= budget:
                return
        if in_progress.offset < segment.size:
            raise self.corrupt(segment, in_progress.offset, "a confirmed record is not whole")

    def reader(self, segment: Segment) -> framing.Read:
        def read(offset: int, length: int) -> bytes:
            try:
                return self.log.disk.read(segment.file, offset, length)
            except OSError as wrong:
                raise self.corrupt(segment, offset, f"can't be read: {wrong.strerror}") from wrong

        return read

    def corrupt(self, segment: Segment, offset: int, what: str) -> CorruptDataError:
        """The segment is left as it is, for `check` and `salvage`; cleaning goes on with others."""
        self.in_progress = None
        segment.is_damaged = True
        return CorruptDataError([Finding(segment.name, offset, what)])

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
        index = self.log.index
        if kind in (framing.PUT, framing.BATCH_PUT):
            if index.locations.get(key) == where:
                if not expired(where, self.log.time):
                    return Record(framing.PUT, number, key, value)
                with self.log.guard:
                    index.delete(key)
            elif not number or key in index.locations:
                return None  # a newer value or tombstone stands for it
            born = sequence  # it has expired; what it replaced in an older segment must not come back
        elif kind in (framing.DELETE, framing.BATCH_DELETE):
            born = number or sequence
        else:
            return None
        if key in index.locations:
            return None
        return Record(framing.DELETE, born, key) if maintenance.is_tombstone_needed(born, others) else None

    def copy(self, keep: list[Record], moves: list[tuple[bytes, int] | None]) -> None:
        """One write and one flush; the reserve's room is used where the disk is full. Raises OSError."""
        log = self.log
        written = log.counts["bytes written"]
        try:
            segment, locations = self.reserve.run_with_reserve(log.append, keep)
        except OSError:
            self.in_progress = None  # begun anew another time: nothing was taken away
            raise
        log.counts["bytes copied"] += log.counts["bytes written"] - written
        with log.guard:
            for record, move, (offset, length) in zip(keep, moves, locations, strict=True):
                if move is not None:
                    key, old = move
                    log.index.move(key, old, pack_location(segment.number, offset, length, record.number))
                elif record.kind == framing.DELETE:
                    segment.tombstone_bytes += length
