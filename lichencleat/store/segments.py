"""Segments: what is known of each, their heads, and records made into frames; no I/O."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec
from crc32c import crc32c

from lichencleat.decode_errors import UNDECODABLE
from lichencleat.store import frames

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
        return frames.FRAME_EXTRA + len(self.key) + len(self.value)


class Segment:
    """One file of the log. Only the newest is appended to, and only by the process that made it."""

    __slots__ = (
        "number",
        "file",
        "size",
        "first",
        "end",
        "salt",
        "start",
        "through",
        "tombs",
        "users",
        "gone",
        "damaged",
        "waste",
    )

    def __init__(self, number: int, file: Any, salt: int, start: int, first: int) -> None:
        self.number = number
        self.file = file
        self.salt = salt  # checksum of the file's salt
        self.start = start  # bytes: where the frames after the head begin
        self.first = first  # sequence of its first frame
        self.size = start  # bytes that count; what stands behind them is void
        self.end = first - 1  # sequence of the last frame that counts
        self.through = first - 1  # what its head says was flushed before it got its name
        self.tombs = 0  # bytes of tombstones in it
        self.users = 0  # readers and snapshots that need the file
        self.gone = False
        self.damaged = False  # cleaning met bytes that are no frame: it stays as it is
        self.waste = 0  # bytes behind those that count

    @property
    def name(self) -> str:
        return NAME.format(self.number)

    def older(self) -> tuple[int, int, int, int]:
        """As a newer segment's head tells of it."""
        return self.number, self.end, self.size, self.tombs


def head(store: bytes, segment: Segment, salt: bytes, time: int, older: Sequence[Segment]) -> bytes:
    body = msgspec.msgpack.encode(
        (store, segment.number, segment.first, segment.through, time, [each.older() for each in older])
    )
    return frames.file_head(frames.LOG_MAGIC, salt) + frames.frame(segment.salt, frames.FILE_HEAD, body)


def read_head(read: frames.Read, file: Any, name: str) -> tuple[Segment, Head] | None:
    """A segment as its own head tells, or None where that is not whole. Raises UnfitError for a newer
    format.
    """
    salt = frames.read_file_head(read(0, frames.FILE_HEAD), frames.LOG_MAGIC, name)
    if salt is None:
        return None
    salt_sum = crc32c(salt)
    size = frames.FILE_HEAD + frames.BODY_MOST
    for offset, length, body in frames.bodies(read, frames.FILE_HEAD, size, salt_sum):
        try:
            told = decode_head(body)
        except UNDECODABLE:
            return None
        segment = Segment(told[1], file, salt_sum, offset + length, told[2])
        segment.through = told[3]
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
    places: list[tuple[int, int]] = []
    for record in records:
        body = frames.encode_any(
            (sequence, record.kind, sequence - floor, record.number, record.key, record.value)
        )
        data = frames.frame(salt, at, body)
        parts.append(data)
        places.append((at, len(data)))
        at += len(data)
        sequence += 1
    return b"".join(parts), places
