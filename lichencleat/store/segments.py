"""Segments: what is known of each, their heads, and records made into frames; no I/O."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec
from crc32c import crc32c

from lichencleat.decoding import UNDECODABLE
from lichencleat.store import framing

NAME = "{:012d}.log"  # of a segment's file, by its number
NEW = "segment.new"  # a segment before it has its name; worth nothing after a cut

# A head's frame: store, number, first sequence, sequence through which its frames were flushed before it got
# its name, time, and of each older segment that is part of the store: number, last sequence, bytes that
# count, bytes of tombstones.
Head = tuple[bytes, int, int, int, int, list[tuple[int, int, int, int]]]
decode_head = msgspec.msgpack.Decoder(Head).decode


class Record:
    """A change on its way to the log. `number` is what the frame's kind says (docs/store.md)."""

    __slots__ = ("kind", "number", "key", "value")

    def __init__(self, kind: int, number: int, key: bytes, value: bytes | memoryview = b"") -> None:
        self.kind, self.number, self.key, self.value = kind, number, key, value

    def weight(self) -> int:
        """Bytes of its frame at the most."""
        return framing.MAX_FRAME_OVERHEAD_BYTES + len(self.key) + len(self.value)


class Segment:
    """One file of the log. Only the newest is appended to, and only by the process that made it."""

    __slots__ = (
        "number",
        "file",
        "size",
        "first_sequence",
        "last_sequence",
        "salt",
        "data_start",
        "flushed_through",
        "tombstone_bytes",
        "reference_count",
        "is_removed",
        "is_damaged",
        "void_bytes",
    )

    def __init__(self, number: int, file: Any, salt: int, start: int, first: int) -> None:
        self.number = number
        self.file = file
        self.salt = salt  # checksum of the file's salt
        self.data_start = start  # bytes: where the frames after the head begin
        self.first_sequence = first  # sequence of its first frame
        self.size = start  # bytes that count; what stands behind them is void
        self.last_sequence = first - 1  # sequence of the last frame that counts
        self.flushed_through = first - 1  # what its head says was flushed before it got its name
        self.tombstone_bytes = 0  # bytes of tombstones in it
        self.reference_count = 0  # readers and snapshots that need the file
        self.is_removed = False
        self.is_damaged = False  # cleaning met bytes that are no frame: it stays as it is
        self.void_bytes = 0  # bytes behind those that count

    @property
    def name(self) -> str:
        return NAME.format(self.number)

    def older(self) -> tuple[int, int, int, int]:
        """As a newer segment's head tells of it."""
        return self.number, self.last_sequence, self.size, self.tombstone_bytes


def head(store: bytes, segment: Segment, salt: bytes, time: int, older: Sequence[Segment]) -> bytes:
    body = msgspec.msgpack.encode(
        (
            store,
            segment.number,
            segment.first_sequence,
            segment.flushed_through,
            time,
            [each.older() for each in older],
        )
    )
    return framing.encode_file_header(framing.LOG_MAGIC, salt) + framing.frame(
        segment.salt, framing.FILE_HEADER_BYTES, body
    )


def read_head(read: framing.Read, file: Any, name: str) -> tuple[Segment, Head] | None:
    """A segment as its own head tells, or None where that is not whole. Raises UnfitError for a newer
    format.
    """
    salt = framing.decode_file_header(read(0, framing.FILE_HEADER_BYTES), framing.LOG_MAGIC, name)
    if salt is None:
        return None
    salt_sum = crc32c(salt)
    size = framing.FILE_HEADER_BYTES + framing.MAX_BODY_BYTES
    for offset, length, body in framing.iter_frames(read, framing.FILE_HEADER_BYTES, size, salt_sum):
        try:
            told = decode_head(body)
        except UNDECODABLE:
            return None
        segment = Segment(told[1], file, salt_sum, offset + length, told[2])
        segment.flushed_through = told[3]
        return (segment, told) if segment.name == name else None
    return None


def encode(
    records: Sequence[Record], segment: Segment, sequence: int, floor: int
) -> tuple[bytes, list[tuple[int, int]]]:
    """The frames of these records at the segment's end, and the offset and length of each.

    `sequence` is the first one's; `floor` the last sequence that was flushed.
    """
    at, salt = segment.size, segment.salt
    parts: list[bytes] = []
    locations: list[tuple[int, int]] = []
    for record in records:
        body = framing.encode_any(
            (sequence, record.kind, sequence - floor, record.number, record.key, record.value)
        )
        data = framing.frame(salt, at, body)
        parts.append(data)
        locations.append((at, len(data)))
        at += len(data)
        sequence += 1
    return b"".join(parts), locations
