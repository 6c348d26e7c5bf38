"""Checkpoints: the index at one sequence, so that opening reads keys and places and no value. One that is
missing, old or torn costs time only. Written in steps from a snapshot, under another name until it is
flushed; the bytes only, no I/O here.
"""

from __future__ import annotations

import sys
from array import array
from collections.abc import Iterator, Sequence

import msgspec
from crc32c import crc32c

from lichencleat.store import framing
from lichencleat.store.index import FIELD_BITS, expiry_of, length_of, offset_of, segment_of

NAME, NEW = "checkpoint", "checkpoint.new"
ROWS_PER_FRAME = 4_096  # entries a frame: some 150 KB
FOUR = "I"  # array's word for four bytes; eight are "Q"
EIGHT = "Q"

# First frame: store, sequence, time, newest segment, the offset up to which its frames are covered, (segment,
# bytes of tombstones) of each. Then frames of rows: keys, and four columns, little-endian: segment, offset,
# length (4 bytes each), expiry (8). Last: how many entries.
Top = tuple[bytes, int, int, int, int, list[tuple[int, int]]]
Rows = tuple[list[bytes], bytes, bytes, bytes, bytes]
decode_top = msgspec.msgpack.Decoder(Top).decode
decode_rows = msgspec.msgpack.Decoder(Rows).decode
decode_count = msgspec.msgpack.Decoder(int).decode


class Writer:
    """Makes the file's bytes, piece by piece; each is appended where the last one ended."""

    def __init__(self, salt: bytes) -> None:
        self.salt = salt
        self.salt_sum = crc32c(salt)
        self.size = 0
        self.count = 0

    def begin(
        self, store: bytes, sequence: int, time: int, newest: tuple[int, int], tombstone_bytes: Sequence
    ) -> bytes:
        head = framing.encode_file_header(framing.CHECKPOINT_MAGIC, self.salt)
        self.size = len(head)
        return head + self.frame((store, sequence, time, *newest, list(tombstone_bytes)))

    def rows(self, entries: Sequence[tuple[bytes, int]]) -> bytes:
        self.count += len(entries)
        wheres = [where for _, where in entries]
        columns = [
            array(FOUR, map(segment_of, wheres)),
            array(FOUR, map(offset_of, wheres)),
            array(FOUR, map(length_of, wheres)),
            array(EIGHT, map(expiry_of, wheres)),
        ]
        return self.frame(([key for key, _ in entries], *map(little, columns)))

    def end(self) -> bytes:
        return self.frame(self.count)

    def frame(self, content: object) -> bytes:
        data = framing.frame(self.salt_sum, self.size, msgspec.msgpack.encode(content))
        self.size += len(data)
        return data


def little(column: array) -> bytes:
    if sys.byteorder == "big":  # the file is little-endian on every machine
        column.byteswap()
    return column.tobytes()


def column(kind: str, data: bytes) -> array:
    read = array(kind)
    read.frombytes(data)
    little(read)
    return read


class Checkpoint:
    """A checkpoint as read: what it covers, and the entries."""

    __slots__ = ("sequence", "time", "newest", "offset", "tombstone_bytes", "locations")

    def __init__(self, top: Top, locations: dict[bytes, int]) -> None:
        _, self.sequence, self.time, self.newest, self.offset, tombstone_bytes = top
        self.tombstone_bytes = dict(tombstone_bytes)
        self.locations = locations


def decode_checkpoint(read: framing.Read, size: int, store: bytes) -> Checkpoint | None:
    """The checkpoint in the file, or None where it is not whole or not this store's."""
    salt = framing.decode_file_header(read(0, framing.FILE_HEADER_BYTES), framing.CHECKPOINT_MAGIC, NAME)
    if salt is None:
        return None
    walk = framing.iter_frames(read, framing.FILE_HEADER_BYTES, size, crc32c(salt))
    locations: dict[bytes, int] = {}
    try:
        top = decode_top(next(walk)[2])
        if top[0] != store:
            return None
        for _, _, body in walk:
            if body[0] != 0x95:  # msgpack's array of five: rows; else the count, which ends it
                return Checkpoint(top, locations) if decode_count(body) == len(locations) else None
            locations.update(entries(decode_rows(body)))
    except (StopIteration, msgspec.MsgspecError, ValueError):
        return None  # ValueError: a column's bytes are no whole numbers
    return None  # no count: it is torn


def entries(rows: Rows) -> Iterator[tuple[bytes, int]]:
    keys, *columns = rows
    segments, offsets, lengths = (column(FOUR, each) for each in columns[:3])
    expiries = column(EIGHT, columns[3])
    if not any(expiries):  # the usual case, and a third faster
        wheres = [
            (s << FIELD_BITS | o) << FIELD_BITS | n
            for s, o, n in zip(segments, offsets, lengths, strict=True)
        ]
    else:
        wheres = [
            ((e << FIELD_BITS | s) << FIELD_BITS | o) << FIELD_BITS | n
            for s, o, n, e in zip(segments, offsets, lengths, expiries, strict=True)
        ]
    return zip(keys, wheres, strict=True)
