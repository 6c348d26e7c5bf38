"""What a directory holds, found by reading only: the ordinary start, `store check` and `store salvage` all
begin here.

The newest segment's head is the root: it names every older segment that is part of the store and how far each
counts.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Any

from lichencleat.decode_errors import UNDECODABLE
from lichencleat.store import checkpoint, frames
from lichencleat.store.disk import Disk
from lichencleat.store.errors import DamagedError, Finding, UnfitError
from lichencleat.store.index import BITS, Sums, expired, segment_of, sum_up
from lichencleat.store.segments import NAME, NEW, Segment, read_head
from lichencleat.store.tail import Tail

STORE, STORE_NEW = "STORE", "STORE.new"  # the mark that a directory is a store: written last when one is made
RESERVE = "reserve"  # a file of zeros that gives its room to cleaning when the disk is full
TEMPORARY = (NEW, STORE_NEW, checkpoint.NEW)
OWN = frozenset([STORE, RESERVE, checkpoint.NAME, *TEMPORARY])


def is_segment(name: str) -> bool:
    digits = name.removesuffix(".log")
    return digits != name and digits.isdecimal() and NAME.format(int(digits)) == name


class Survey:
    """Opens the files; they are handed to the engine, or given back by `close`."""

    def __init__(self, disk: Disk, where: str = "the directory") -> None:
        self.disk = disk
        self.where = where
        self.store = b""
        self.segments: list[Segment] = []  # those that count, oldest first; the newest last
        self.findings: list[Finding] = []
        self.leftovers: list[str] = []  # files that count for nothing any more
        self.torn = 0  # bytes behind the newest segment's last whole frame: a cut's traces
        self.time = 0  # µs: no earlier than any time at which this store was written to
        self.tail: Tail | None = None
        self.point: checkpoint.Point | None = None

    # -- reading -----------------------------------------------------------------------------------

    def read(self, use_point: bool = True) -> None:
        """Raises UnfitError where this is no store, or one of a newer format; damage is in `findings`
        afterwards.
        """
        names = self.disk.names()
        logs = [each for each in names if is_segment(each)]
        self.read_mark(names, logs)
        if not logs:
            self.finds(STORE, 0, "no segment is left of this store")
            return
        newest = self.open_segment(logs[-1])
        if newest is None:
            self.finds(logs[-1], 0, "the newest segment's head is not whole")
            return
        segment, (store, _, _, _, time, older) = newest
        if self.store and store != self.store:
            self.finds(segment.name, 0, "belongs to another store")
        self.store, self.time = store, time
        if use_point:
            self.read_checkpoint()
        self.read_newest(segment)
        self.read_older(older, segment)
        kept = {each.name for each in self.segments}
        self.leftovers = [each for each in logs if each not in kept] + [e for e in TEMPORARY if e in names]

    def finds(self, file: str, offset: int, what: str) -> None:
        self.findings.append(Finding(file, offset, what))

    def read_mark(self, names: list[str], logs: list[str]) -> None:
        if STORE not in names:
            raise UnfitError(f"{self.where}: no store (it has no file {STORE}); name a directory that is one")
        data = self.whole(STORE)
        salt = frames.read_file_head(data, frames.STORE_MAGIC, f"{self.where}: {STORE}")
        if salt is None or len(data) != frames.FILE_HEAD:
            if not logs:
                raise UnfitError(f"{self.where}: no store (its file {STORE} reads otherwise)")
            self.finds(STORE, 0, "is not whole")
        else:
            self.store = salt

    def whole(self, name: str) -> bytes:
        file = self.disk.open(name)
        try:
            return self.disk.read(file, 0, frames.FILE_HEAD + 1)
        finally:
            self.disk.close(file)

    def open_segment(self, name: str) -> tuple[Segment, Any] | None:
        file = self.disk.open(name)
        found = None
        try:
            found = read_head(self.reader(file), file, name)
        finally:
            if found is None:
                self.disk.close(file)
        return found

    def reader(self, file: Any) -> frames.Read:
        return lambda offset, length: self.disk.read(file, offset, length)

    def read_checkpoint(self) -> None:
        # one that can't be read, or is missing, costs time only
        with contextlib.suppress(OSError, UnfitError):
            file = self.disk.open(checkpoint.NAME)
            try:
                self.point = checkpoint.read_point(self.reader(file), self.disk.size(file), self.store)
            finally:
                self.disk.close(file)

    def read_newest(self, segment: Segment) -> None:
        """Finds how far it counts. Bad bytes are a cut's traces, unless something proves that they were
        flushed.
        """
        tail = self.tail = Tail(segment.first, segment.through, segment.start)
        size = self.disk.size(segment.file)
        read = self.reader(segment.file)
        end = segment.start
        for offset, length, body in frames.bodies(read, segment.start, size, segment.salt):
            try:
                sequence, kind, back, number, _, _ = frames.decode_body(body)
            except UNDECODABLE:
                break
            if not tail.reads(offset, length, sequence, kind, back, number):
                break
            end = offset + length
        if self.point is not None and self.point.newest == segment.number:
            tail.proves(self.point.sequence)
        if tail.proved > tail.sequence:
            lost = tail.proved - tail.sequence
            self.finds(segment.name, end, f"{lost} confirmed records are not whole")
        elif end < size:
            self.torn = size - end
            for at, _, body in frames.islands(read, end, size, segment.salt):
                with contextlib.suppress(*UNDECODABLE):
                    sequence, _, back, _, _, _ = frames.decode_body(body)
                    if tail.lost(sequence, back):
                        self.finds(
                            segment.name, end, f"a confirmed record is not whole; whole ones follow at {at}"
                        )
                        break
        self.time = max(self.time, tail.time)
        segment.size, segment.end = tail.proved_end, min(tail.proved, tail.sequence)
        segment.waste = size - segment.size
        self.segments = [segment]

    def read_older(self, older: list[tuple[int, int, int, int]], newest: Segment) -> None:
        gone = {number for _, number in self.tail.gone} if self.tail else set()
        found: list[Segment] = []
        for number, end, size, tombs in older:
            if number in gone:
                continue
            name = NAME.format(number)
            try:
                opened = self.open_segment(name)
            except OSError as wrong:
                self.finds(name, 0, f"is part of the store and can't be opened: {wrong.strerror}")
                continue
            if opened is None or opened[1][0] != self.store:
                self.finds(name, 0, "its head is not whole")
                continue
            segment = opened[0]
            segment.end, segment.size, segment.tombs = end, size, tombs
            if (there := self.disk.size(segment.file)) < size:
                self.finds(name, there, f"ends {size - there} bytes early")
            segment.waste = max(0, there - size)
            found.append(segment)
        self.segments = [*found, newest]

    # -- replaying ---------------------------------------------------------------------------------

    def walk(
        self, segment: Segment, offset: int, sequence: int
    ) -> Iterator[tuple[int, int, int, int, int, bytes]]:
        """Offset, length, sequence, kind, number, key of the segment's records that count, whole batches
        only.

        Begins at that frame. Bytes that are no frame are a finding, and the walk's end.
        """
        batch: list[tuple[int, int, int, int, int, bytes]] = []
        decode = frames.decode_body
        end = offset
        batched, single = (frames.BATCH_PUT, frames.BATCH_DELETE), (frames.PUT, frames.DELETE)
        for at, length, body in frames.bodies(self.reader(segment.file), offset, segment.size, segment.salt):
            try:
                found, kind, _, number, key, _ = decode(body)
            except UNDECODABLE:
                break
            if found != sequence:
                break
            if kind in single:
                yield at, length, found, kind, number, key
            elif kind in batched:
                batch.append((at, length, found, kind, number, key))
            elif kind == frames.COMMIT:
                if number == len(batch):
                    yield from batch
                batch = []
            sequence += 1
            end = at + length
        if end < segment.size:
            self.finds(segment.name, end, "bytes that are no frame where confirmed records stood")

    def replay(self) -> Iterator[tuple[Segment, int, int, int, int, int, bytes]]:
        """Every record that counts and that the checkpoint does not cover, in order, with its segment."""
        point = self.point
        for segment in self.segments:
            offset, sequence = segment.start, segment.first
            if point is not None:
                if segment.end <= point.sequence:
                    segment.tombs = max(segment.tombs, point.tombs.get(segment.number, 0))
                    continue
                if segment.number == point.newest:
                    offset, sequence = point.offset, point.sequence + 1
                    segment.tombs = point.tombs.get(segment.number, 0)
            for record in self.walk(segment, offset, sequence):
                yield segment, *record

    def entries(self, now: int) -> tuple[dict[bytes, int], Sums]:
        """All entries: the checkpoint's and what came since. A checkpoint that does not fit is left alone."""
        point = self.point
        places: dict[bytes, int] = point.places if point is not None else {}
        newest = self.segments[-1]
        newest.tombs = 0
        puts = (frames.PUT, frames.BATCH_PUT)
        for segment, at, length, _, kind, number, key in self.replay():
            if kind in puts:
                places[key] = ((number << BITS | segment.number) << BITS | at) << BITS | length
            else:
                places.pop(key, None)
                if segment is newest:  # of sealed ones, a newer head or the checkpoint tells
                    segment.tombs += length
        sums = sum_up(places)
        if point is not None:
            sizes = {each.number: each.size for each in self.segments}
            if not sums.live.keys() <= sizes.keys():
                strays = [key for key, where in places.items() if segment_of(where) not in sizes]
                for key in strays:  # their segment went since: a value that had expired is dropped with it
                    if expired(places[key], now):
                        del places[key]
                sums = sum_up(places)
            if any(end > sizes.get(number, -1) for number, end in sums.ends.items()):
                self.point = None
                return self.entries(now)
        return places, sums

    def unsealed(self) -> bool:
        """Must what is in doubt be written anew before anything else rests on it? So with a segment's going,
        too.
        """
        tail = self.tail
        return tail is not None and (
            bool(tail.in_doubt()) or any(sequence > tail.proved for sequence, _ in tail.gone)
        )

    def carried(self) -> list[tuple[int, int, bytes, bytes]]:
        """Kind, number, key, value of the records in doubt: whole, but nothing proves that they were
        flushed.
        """
        newest = self.segments[-1]
        kept = []
        for offset, length in self.tail.in_doubt() if self.tail else []:
            body = frames.whole_frame(self.disk.read(newest.file, offset, length), newest.salt, offset)
            if body is None:
                raise DamagedError([Finding(newest.name, offset, "reads otherwise than a moment ago")])
            _, kind, _, number, key, value = frames.decode_body(body)
            kept.append((kind, number, key, bytes(value)))
        return kept

    def close(self) -> None:
        for segment in self.segments:
            self.disk.close(segment.file)
        self.segments = []
