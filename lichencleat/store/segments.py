"""Segments of the log: what is known of each, their headers, and records encoded as frames. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
from crc32c import crc32c

from lichencleat.decode_errors import UNDECODABLE
from lichencleat.store import file_names, framing
from lichencleat.store.disk import FileHandle


class OlderSegment(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What a segment's header tells of an older segment that is part of the store."""

    number: int
    last_sequence: int
    size: int  # bytes that count
    tombstone_bytes: int


class SegmentHeader(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The body of a segment's first frame."""

    store: bytes
    number: int
    first_sequence: int
    flushed_through: int  # frames up to this sequence were flushed before the segment got its name
    time: int  # µs
    older: list[OlderSegment]


_decode_header = msgspec.msgpack.Decoder(SegmentHeader).decode


class Record:
    """A change on its way to the log. The meaning of `number` depends on the kind, see `framing.Body`."""

    __slots__ = ("kind", "number", "key", "value")

    def __init__(self, kind: int, number: int, key: bytes, value: bytes | memoryview = b"") -> None:
        self.kind = kind
        self.number = number
        self.key = key
        self.value = value


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

    def __init__(
        self, number: int, file: FileHandle, salt: int, data_start: int, first_sequence: int
    ) -> None:
        self.number = number
        self.file = file
        self.salt = salt  # checksum of the file's salt
        self.data_start = data_start  # bytes: where the frames after the header begin
        self.first_sequence = first_sequence
        self.size = data_start  # bytes that count; what stands behind them is void
        self.last_sequence = first_sequence - 1  # of the last frame that counts
        self.flushed_through = first_sequence - 1  # see SegmentHeader
        self.tombstone_bytes = 0
        self.reference_count = 0  # readers and snapshots that need the file
        self.is_removed = False
        self.is_damaged = False  # compaction met bytes that are no frame: it stays as it is
        self.void_bytes = 0  # behind those that count

    @property
    def name(self) -> str:
        """The name of its file."""
        return file_names.SEGMENT.format(self.number)

    def summary(self) -> OlderSegment:
        """What a newer segment's header tells of this one."""
        return OlderSegment(self.number, self.last_sequence, self.size, self.tombstone_bytes)


def encode_header(store: bytes, segment: Segment, salt: bytes, time: int, older: Sequence[Segment]) -> bytes:
    """A new segment's file header and header frame."""
    header = SegmentHeader(
        store,
        segment.number,
        segment.first_sequence,
        segment.flushed_through,
        time,
        [each.summary() for each in older],
    )
    frame = framing.encode_frame(segment.salt, framing.FILE_HEADER_BYTES, framing.encode_body(header))
    return framing.encode_file_header(framing.LOG_MAGIC, salt) + frame


def read_header(read: framing.Read, file: FileHandle, name: str) -> tuple[Segment, SegmentHeader] | None:
    """A segment as its own header tells, or None where that is not intact. Raises NewerFormatError."""
    salt = framing.decode_file_header(read(0, framing.FILE_HEADER_BYTES), framing.LOG_MAGIC, name)
    if salt is None:
        return None
    salt_checksum = crc32c(salt)
    size = framing.FILE_HEADER_BYTES + framing.MAX_BODY_BYTES
    for offset, length, body in framing.iter_frames(read, framing.FILE_HEADER_BYTES, size, salt_checksum):
        try:
            header = _decode_header(body)
        except UNDECODABLE:
            return None
        segment = Segment(header.number, file, salt_checksum, offset + length, header.first_sequence)
        segment.flushed_through = header.flushed_through
        return (segment, header) if segment.name == name else None
    return None


def encode_records(
    records: Sequence[Record], segment: Segment, sequence: int, flushed: int
) -> tuple[bytes, list[tuple[int, int]]]:
    """The frames of these records at the segment's end, and the offset and length of each.

    Args:
        records: What to encode.
        segment: Where they are to be appended.
        sequence: Of the first record.
        flushed: The last sequence that was flushed.
    """
    at, salt = segment.size, segment.salt
    parts: list[bytes] = []
    spans: list[tuple[int, int]] = []
    for record in records:
        body = framing.encode_body(
            (sequence, record.kind, sequence - flushed, record.number, record.key, record.value)
        )
        data = framing.encode_frame(salt, at, body)
        parts.append(data)
        spans.append((at, len(data)))
        at += len(data)
        sequence += 1
    return b"".join(parts), spans
