"""Checkpoints: encodes and decodes copies of the index. No I/O.

A checkpoint has the location of each key after one log record, whose sequence it names. With a checkpoint,
opening a store reads keys and locations but no values. If the checkpoint is missing, old or torn, opening
only takes longer. A checkpoint is written in steps from a snapshot, and is renamed from a temporary name once
it is flushed.

The first frame of the file is a `CheckpointHeader`, frames of `Rows` follow, and the last frame is the number
of entries.
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

ROWS_PER_FRAME = 4_096  # number of entries in a frame, which then has some 150 KB
UINT32 = "I"  # type codes of `array.array`
UINT64 = "Q"
ROWS_FIRST_BYTE = 0x95  # msgpack array of five: the first byte of a frame of rows

Rows = tuple[list[bytes], bytes, bytes, bytes, bytes]
"""Keys and four little-endian columns: segment, offset, length (4 bytes each) and expiry (8 bytes)."""


class CheckpointHeader(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The part of the log that a checkpoint covers."""

    store: bytes  # identity of the store
    sequence: int  # sequence of the last log record that the checkpoint covers
    time: int  # µs of Unix time: the latest time that the store had seen
    newest: int  # number of the newest segment that the checkpoint covers
    offset: int  # end of the covered frames in that segment, in bytes
    tombstone_bytes: list[tuple[int, int]]  # for each segment: its number, and the bytes of its tombstones


_decode_header = msgspec.msgpack.Decoder(CheckpointHeader).decode
_decode_rows = msgspec.msgpack.Decoder(Rows).decode
_decode_count = msgspec.msgpack.Decoder(int).decode


@dataclass(slots=True)
class Checkpoint:
    """A decoded checkpoint; see `CheckpointHeader`. `locations` has the packed location of each key."""

    sequence: int
    time: int
    newest: int
    offset: int
    tombstone_bytes: dict[int, int]
    locations: dict[bytes, int]


class CheckpointEncoder:
    """Encodes a checkpoint file in pieces, which the caller appends to the file in order."""

    def __init__(self, salt: bytes) -> None:
        self.salt = salt
        self.salt_checksum = crc32c(salt)
        self.size = 0  # bytes encoded so far
        self.count = 0  # entries encoded so far

    def encode_header(self, header: CheckpointHeader) -> bytes:
        """Return the first piece: the file header and the checkpoint's header."""
        head = framing.encode_file_header(framing.CHECKPOINT_MAGIC, self.salt)
        self.size = len(head)
        return head + self._encode_frame(header)

    def encode_rows(self, entries: Sequence[tuple[bytes, int]]) -> bytes:
        """Return the next piece: keys and packed locations, in order of keys."""
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
        """Return the last piece: the number of entries. A checkpoint without this piece is torn."""
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
    """Return the checkpoint in a file, or None if the checkpoint is incomplete or of another store.

    Args:
        read: Reads the file.
        size: Size of the file in bytes.
        store: Identity of the store.

    Raises:
        NewerFormatError: If a newer version of this program wrote the file.
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
            if body[0] != ROWS_FIRST_BYTE:  # the number of entries, which is the last frame
                complete = _decode_count(body) == len(locations)
                return _make_checkpoint(header, locations) if complete else None
            locations.update(_unpack_rows(_decode_rows(body)))
    except (StopIteration, msgspec.MsgspecError, ValueError):
        return None  # ValueError: a column's size is not a multiple of its item size
    return None  # torn: the number of entries is missing


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
    if not any(expiries):  # usually no entry expires; packing is then a third faster
        locations = [(s << bits | o) << bits | n for s, o, n in zip(segments, offsets, lengths, strict=True)]
    else:
        locations = [
            ((e << bits | s) << bits | o) << bits | n
            for s, o, n, e in zip(segments, offsets, lengths, expiries, strict=True)
        ]
    return zip(keys, locations, strict=True)
