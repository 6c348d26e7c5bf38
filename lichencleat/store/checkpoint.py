"""Checkpoints: the index as of one sequence, encoded and decoded. No I/O.

With a checkpoint, opening reads keys and locations and no value. One that is missing, old or torn costs time
only. It is written in steps from a snapshot, under another name until it is flushed.

The first frame is a `CheckpointHeader`. Then come frames of `Rows`, and at last the number of entries.
"""

from __future__ import annotations

import sys
from array import array
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

import msgspec
from crc32c import crc32c

from lichencleat.store import file_names, framing
from lichencleat.store.index import FIELD_BITS, expiry_of, length_of, offset_of, segment_of

ROWS_PER_FRAME = 4_096  # entries: some 150 KB
UINT32 = "I"  # type codes of `array`
UINT64 = "Q"
ROWS_FIRST_BYTE = 0x95  # msgpack's array of five, with which the body of a frame of rows begins

Rows = tuple[list[bytes], bytes, bytes, bytes, bytes]
"""Keys, and four columns, little-endian: segment, offset, length (4 bytes each), expiry (8)."""


class CheckpointHeader(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What a checkpoint covers."""

    store: bytes
    sequence: int  # the last one covered
    time: int  # µs
    newest: int  # number of the newest segment
    offset: int  # up to which the newest segment's frames are covered
    tombstone_bytes: list[tuple[int, int]]  # segment, bytes of tombstones in it


_decode_header = msgspec.msgpack.Decoder(CheckpointHeader).decode
_decode_rows = msgspec.msgpack.Decoder(Rows).decode
_decode_count = msgspec.msgpack.Decoder(int).decode


@dataclass(slots=True)
class Checkpoint:
    """A checkpoint as read: what it covers, and the location of each key."""

    sequence: int
    time: int
    newest: int
    offset: int
    tombstone_bytes: dict[int, int]
    locations: dict[bytes, int]


class CheckpointEncoder:
    """Makes the file's bytes piece by piece; each is appended where the last one ended."""

    def __init__(self, salt: bytes) -> None:
        self.salt = salt
        self.salt_checksum = crc32c(salt)
        self.size = 0
        self.count = 0

    def encode_header(self, header: CheckpointHeader) -> bytes:
        """The first piece."""
        head = framing.encode_file_header(framing.CHECKPOINT_MAGIC, self.salt)
        self.size = len(head)
        return head + self._encode_frame(header)

    def encode_rows(self, entries: Sequence[tuple[bytes, int]]) -> bytes:
        """The next piece: keys and their packed locations, in order of keys."""
        self.count += len(entries)
        locations = [location for _, location in entries]
        columns = [
            array(UINT32, map(segment_of, locations)),
            array(UINT32, map(offset_of, locations)),
            array(UINT32, map(length_of, locations)),
            array(UINT64, map(expiry_of, locations)),
        ]
        return self._encode_frame(([key for key, _ in entries], *map(_encode_column, columns)))

    def encode_count(self) -> bytes:
        """The last piece: without it a checkpoint is torn."""
        return self._encode_frame(self.count)

    def _encode_frame(self, content: object) -> bytes:
        data = framing.encode_frame(self.salt_checksum, self.size, msgspec.msgpack.encode(content))
        self.size += len(data)
        return data


def _encode_column(column: array[int]) -> bytes:
    if sys.byteorder == "big":  # the file is little-endian on every machine
        column.byteswap()
    return column.tobytes()


def _decode_column(type_code: str, data: bytes) -> array[int]:
    column: array[int] = array(type_code)
    column.frombytes(data)
    if sys.byteorder == "big":
        column.byteswap()
    return column


def decode_checkpoint(read: framing.Read, size: int, store: bytes) -> Checkpoint | None:
    """The checkpoint in the file, or None where it is not complete or not this store's.

    Raises NewerFormatError.
    """
    header_bytes = read(0, framing.FILE_HEADER_BYTES)
    salt = framing.decode_file_header(header_bytes, framing.CHECKPOINT_MAGIC, file_names.CHECKPOINT)
    if salt is None:
        return None
    frames = framing.iter_frames(read, framing.FILE_HEADER_BYTES, size, crc32c(salt))
    locations: dict[bytes, int] = {}
    try:
        header = _decode_header(next(frames)[2])
        if header.store != store:
            return None
        for _, _, body in frames:
            if body[0] != ROWS_FIRST_BYTE:  # the count, which ends it
                complete = _decode_count(body) == len(locations)
                return _make_checkpoint(header, locations) if complete else None
            locations.update(_unpack_rows(_decode_rows(body)))
    except (StopIteration, msgspec.MsgspecError, ValueError):
        return None  # ValueError: a column's bytes are no whole numbers
    return None  # no count: it is torn


def _make_checkpoint(header: CheckpointHeader, locations: dict[bytes, int]) -> Checkpoint:
    return Checkpoint(
        sequence=header.sequence,
        time=header.time,
        newest=header.newest,
        offset=header.offset,
        tombstone_bytes=dict(header.tombstone_bytes),
        locations=locations,
    )


def _unpack_rows(rows: Rows) -> Iterator[tuple[bytes, int]]:
    keys, *columns = rows
    segments, offsets, lengths = (_decode_column(UINT32, each) for each in columns[:3])
    expiries = _decode_column(UINT64, columns[3])
    bits = FIELD_BITS
    if not any(expiries):  # the usual case, and a third faster
        locations = [(s << bits | o) << bits | n for s, o, n in zip(segments, offsets, lengths, strict=True)]
    else:
        locations = [
            ((e << bits | s) << bits | o) << bits | n
            for s, o, n, e in zip(segments, offsets, lengths, expiries, strict=True)
        ]
    return zip(keys, locations, strict=True)
