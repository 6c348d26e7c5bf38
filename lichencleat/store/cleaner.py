"""Cleaning a segment: what it still holds is copied to the log's end, then its file goes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from lichencleat.store import frames, upkeep
from lichencleat.store.errors import DamagedError, Finding
from lichencleat.store.index import expired, place
from lichencleat.store.log import Log
from lichencleat.store.reserve import Reserve
from lichencleat.store.segments import Record, Segment


@dataclass(slots=True)
class Cleaning:
    """A segment on its way out, and how far it was copied. The rest is read from `offset` on."""

    segment: Segment
    offset: int
    sequence: int


class Cleaner:
    """Owns the cleaning under way: one at a time, begun anew from its start after an error."""

    def __init__(self, log: Log, reserve: Reserve) -> None:
        self.log, self.reserve = log, reserve
        self.cleaning: Cleaning | None = None

    def begin(self, segment: Segment | None) -> None:
        if segment is not None:
            self.cleaning = Cleaning(segment, segment.start, segment.first)

    def left(self, cleaning: Cleaning) -> int:
        return cleaning.segment.size - cleaning.offset

    def step(self, cleaning: Cleaning, budget: int) -> None:
        """Copies what the segment still holds to the log's end; at its end the segment goes."""
        log, segment = self.log, cleaning.segment
        others = [each for each in log.segments.values() if each is not segment]
        oldest = all(each.number > segment.number for each in others)
        keep: list[Record] = []
        # key and old place of what is copied, None for other records
        moves: list[tuple[bytes, int] | None] = []
        # else nothing of it is needed, tombstones included
        if not oldest or log.index.live.get(segment.number, 0):
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
            log.drop(segment)
            log.disk_full = False  # some room was given back; the next write tells
            log.counts["segments cleaned"] += 1

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
        read = self.reader(segment)
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

    def reader(self, segment: Segment) -> frames.Read:
        def read(offset: int, length: int) -> bytes:
            try:
                return self.log.disk.read(segment.file, offset, length)
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
        index = self.log.index
        if kind in (frames.PUT, frames.BATCH_PUT):
            if index.places.get(key) == where:
                if not expired(where, self.log.time):
                    return Record(frames.PUT, number, key, value)
                with self.log.guard:
                    index.delete(key)
            elif not number or key in index.places:
                return None  # a newer value or tombstone stands for it
            born = sequence  # it has expired; what it replaced in an older segment must not come back
        elif kind in (frames.DELETE, frames.BATCH_DELETE):
            born = number or sequence
        else:
            return None
        if key in index.places:
            return None
        return Record(frames.DELETE, born, key) if upkeep.tomb_needed(born, others) else None

    def copy(self, keep: list[Record], moves: list[tuple[bytes, int] | None]) -> None:
        """One write and one flush; the reserve's room is used where the disk is full. Raises OSError."""
        log = self.log
        written = log.counts["bytes written"]
        try:
            segment, places = self.reserve.lend(log.append, keep)
        except OSError:
            self.cleaning = None  # begun anew another time: nothing was taken away
            raise
        log.counts["bytes copied"] += log.counts["bytes written"] - written
        with log.guard:
            for record, move, (offset, length) in zip(keep, moves, places, strict=True):
                if move is not None:
                    key, old = move
                    log.index.move(key, old, place(segment.number, offset, length, record.number))
                elif record.kind == frames.DELETE:
                    segment.tombs += length
