"""Segments of the log: their state in memory, their headers, and the encoding of records. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
from crc32c import crc32c

from lichencleat.decode_errors import UNDECODABLE
from lichencleat.store import file_names, framing
from lichencleat.store.disk import FileHandle


class OlderSegment(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """An older segment of the store, as listed in a segment's header."""

    number: int
    last_sequence: int
    size: int  # valid bytes; later bytes are ignored
    tombstone_bytes: int


class SegmentHeader(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The body of a segment's first frame."""

    store: bytes  # identity of the store
    number: int
    first_sequence: int
    flushed_through: int  # frames up to this sequence were flushed before the segment's file was renamed
    time: int  # µs of Unix time: the latest time that the store had seen
    older: list[OlderSegment]


_decode_header = msgspec.msgpack.Decoder(SegmentHeader).decode


class Record:
    """A log record to be written. The meaning of `number` depends on the kind, see `framing.Body`."""

    __slots__ = ("kind", "number", "key", "value")

    def __init__(self, kind: int, number: int, key: bytes, value: bytes | memoryview = b"") -> None:
        self.kind = kind
        self.number = number
        self.key = key
        self.value = value


class Segment:
    """One file of the log.

    Only the newest segment is appended to, and only by the process that created the segment.
    """

    __slots__ = (
        "number",
        "file",
        "size",
        "first_sequence",
        "last_sequence",
        "salt_checksum",
        "data_start",
        "flushed_through",
        "tombstone_bytes",
        "reference_count",
        "is_removed",
        "is_damaged",
        "void_bytes",
    )

    def __init__(
        self, number: int, file: FileHandle, salt_checksum: int, data_start: int, first_sequence: int
    ) -> None:
        self.number = number
        self.file = file
        self.salt_checksum = salt_checksum
        self.data_start = data_start  # bytes: offset of the first frame after the header
        self.first_sequence = first_sequence  # sequence of the first frame after the header
        self.size = data_start  # valid bytes; later bytes are ignored
        self.last_sequence = first_sequence - 1  # sequence of the last valid frame
        self.flushed_through = first_sequence - 1  # see SegmentHeader
        self.tombstone_bytes = 0  # bytes of the segment's tombstones
        self.reference_count = 0  # number of readers and snapshots that use the file
        self.is_removed = False  # whether the segment was removed; the last reference closes the file
        self.is_damaged = False  # compaction found bytes that are not a frame, and skips the segment
        self.void_bytes = 0  # bytes in the file after the valid bytes, for example of a failed write

    @property
    def name(self) -> str:
        """The name of the segment's file."""
        return file_names.SEGMENT.format(self.number)

    def summary(self) -> OlderSegment:
        """This segment, as listed in a newer segment's header."""
        return OlderSegment(self.number, self.last_sequence, self.size, self.tombstone_bytes)


def encode_header(store: bytes, segment: Segment, salt: bytes, time: int, older: Sequence[Segment]) -> bytes:
    """Return a new segment's file header and header frame; `older` are the store's other segments."""
    header = SegmentHeader(
        store,
        segment.number,
        segment.first_sequence,
        segment.flushed_through,
        time,
        [each.summary() for each in older],
    )
    frame = framing.encode_frame(
        segment.salt_checksum, framing.FILE_HEADER_BYTES, framing.encode_body(header)
    )
    return framing.encode_file_header(framing.LOG_MAGIC, salt) + frame


def read_header(read: framing.Read, file: FileHandle, name: str) -> tuple[Segment, SegmentHeader] | None:
    """Return the segment in a file, and the segment's header.

    Returns None if the header is not intact, or names another segment than the file's name.

    Raises NewerFormatError if a newer version of this program wrote the file.
    """
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
    """Encode records as frames for the segment's end; return the bytes, and offset and length of each frame.

    Args:
        records: The records to encode.
        segment: The segment to which the frames are appended.
        sequence: Sequence of the first record.
        flushed: Sequence of the last frame that was flushed.
    """
    offset, salt_checksum = segment.size, segment.salt_checksum
    frames: list[bytes] = []
    spans: list[tuple[int, int]] = []
    for record in records:
        body = framing.encode_body(
            (sequence, record.kind, sequence - flushed, record.number, record.key, record.value)
        )
        frame = framing.encode_frame(salt_checksum, offset, body)
        frames.append(frame)
        spans.append((offset, len(frame)))
        offset += len(frame)
        sequence += 1
    return b"".join(frames), spans
