"""Framing: encodes and decodes the store's files. No I/O. docs/store.md describes the format.

A file consists of a header and frames. A frame's checksum covers its file's salt, its offset, its length and
its body, so that a copy of a frame at another place (in a value, or in a disk block that the file system
reused) is not read as a frame.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator

import msgspec
from crc32c import crc32c

from lichencleat.store.errors import NewerFormatError

FORMAT = 1  # version of the format of all files
LOG_MAGIC = b"lcstlog"
CHECKPOINT_MAGIC = b"lcstpnt"
STORE_MAGIC = b"lcststo"
SALT_BYTES = 8  # random bytes in a file's header
FILE_HEADER_BYTES = len(LOG_MAGIC) + 1 + SALT_BYTES  # magic, version, salt
MARKER = b"\xa7\xc5"  # first bytes of each frame; `bytes.find` searches for them at the speed of C
FRAME_HEADER = struct.Struct("<2sII")  # marker, length of the body, checksum
LENGTH_MULTIPLIER = 2_654_435_769  # 2^32 over the golden ratio: spreads lengths over the checksum's 32 bits
CHECKSUM_MASK = 0xFFFFFFFF
MAX_KEY_BYTES = 65_536  # the index holds every key in memory
MAX_VALUE_BYTES = 16 << 20
MAX_BODY_BYTES = MAX_VALUE_BYTES + MAX_KEY_BYTES + 64  # a value, a key and the numbers of a `Body`
MAX_FRAME_OVERHEAD_BYTES = FRAME_HEADER.size + 48  # upper limit on a frame's size without key and value
READ_WINDOW_BYTES = 1 << 20  # size of one read when a file is read sequentially
BODY_FIRST_BYTE = 0x96  # msgpack array of six: the first byte of every log frame's body

# Kinds of log records. They are stored and never change.
PUT = 1  # a batch of one change
DELETE = 2  # a batch of one change
BATCH_PUT = 3  # a change of a batch that a commit record ends
BATCH_DELETE = 4  # a change of a batch that a commit record ends
COMMIT = 5  # the end of a batch
TIME_MARK = 6  # the current time
SEGMENT_REMOVED = 7  # the removal of a segment by compaction
PUTS = (PUT, BATCH_PUT)
DELETES = (DELETE, BATCH_DELETE)
IN_BATCH = (BATCH_PUT, BATCH_DELETE)
SINGLE = (PUT, DELETE)

Body = tuple[int, int, int, int, bytes, memoryview]
"""The body of a log frame: sequence, kind, flush distance, number, key, value.

The sequence counts all frames of the store. The flush distance is the frame's sequence minus the sequence of
the last frame that was flushed when this frame was written. The number depends on the kind: the expiry of a
put (0: none), the sequence of the deletion that a copied tombstone stands for (0: the frame's own sequence),
the count of records before a commit, the time of a time mark in µs, or the number of a removed segment.

The type is a plain tuple, because decoding bodies is the inner loop of opening a store.
"""
decode_body = msgspec.msgpack.Decoder(Body).decode
encode_body = msgspec.msgpack.encode

Read = Callable[[int, int], bytes]
"""Reads bytes of a file by offset and length; returns fewer bytes only at the file's end."""


def encode_file_header(magic: bytes, salt: bytes) -> bytes:
    """Return the header of a file."""
    return magic + bytes([FORMAT]) + salt


def decode_file_header(data: bytes, magic: bytes, name: str) -> bytes | None:
    """Return the salt in a file's header, or None if the data is not a complete header.

    Raises NewerFormatError if a newer version of this program wrote the file `name`.
    """
    if len(data) < FILE_HEADER_BYTES or not data.startswith(magic):
        return None
    version = data[len(magic)]
    if version > FORMAT:
        raise NewerFormatError(name, version, FORMAT)
    return data[len(magic) + 1 : FILE_HEADER_BYTES] if version == FORMAT else None


def checksum(salt_checksum: int, offset: int, body: bytes | memoryview) -> int:
    """Return the checksum of the frame at an offset; `salt_checksum` is the checksum of the file's salt."""
    return crc32c(body, (salt_checksum + offset + len(body) * LENGTH_MULTIPLIER) & CHECKSUM_MASK)


def encode_frame(salt_checksum: int, offset: int, body: bytes) -> bytes:
    """Return the frame with this body, to be written at this offset of the file."""
    return FRAME_HEADER.pack(MARKER, len(body), checksum(salt_checksum, offset, body)) + body


def decode_frame(data: bytes, salt_checksum: int, offset: int) -> memoryview | None:
    """Return the body of the frame read at `offset`, or None if the data is not exactly one intact frame."""
    if len(data) < FRAME_HEADER.size:
        return None
    marker, length, expected = FRAME_HEADER.unpack_from(data)
    body = memoryview(data)[FRAME_HEADER.size :]
    is_intact = marker == MARKER and length == len(body) and checksum(salt_checksum, offset, body) == expected
    return body if is_intact else None


def iter_frames(
    read: Read, start: int, size: int, salt_checksum: int
) -> Iterator[tuple[int, int, memoryview]]:
    """Yield offset, length and body of each frame from `start` on, up to the first frame that is not intact.

    A body is a view of the memory of one read, which may hold many frames. The caller may keep the body; the
    memory is freed with the last body in it.
    """
    base, data = start, b""
    offset = start
    header_bytes, max_length = FRAME_HEADER.size, MAX_BODY_BYTES
    unpack = FRAME_HEADER.unpack_from
    view = memoryview(data)
    while offset + header_bytes <= size:
        position = offset - base
        if position + header_bytes > len(data):
            base, data = offset, read(offset, min(READ_WINDOW_BYTES, size - offset))
            position, view = 0, memoryview(data)
            if len(data) < header_bytes:
                return
        marker, length, expected = unpack(data, position)
        if marker != MARKER or length > max_length or offset + header_bytes + length > size:
            return
        end = position + header_bytes + length
        if end > len(data):
            base, data = (
                offset,
                read(offset, max(min(READ_WINDOW_BYTES, size - offset), header_bytes + length)),
            )
            position, end, view = 0, header_bytes + length, memoryview(data)
            if len(data) < end:
                return
        body = view[position + header_bytes : end]
        if crc32c(body, (salt_checksum + offset + length * LENGTH_MULTIPLIER) & CHECKSUM_MASK) != expected:
            return
        yield offset, header_bytes + length, body
        offset += header_bytes + length


def find_frame(read: Read, start: int, size: int, salt_checksum: int) -> int | None:
    """Return the offset of the first intact log frame at or after `start`, or None if there is none.

    Checks every offset with a frame marker; an offset without a frame costs at most one checksum.
    """
    base = start
    while base + FRAME_HEADER.size < size:
        data = read(base, min(READ_WINDOW_BYTES, size - base))
        position = data.find(MARKER)
        while position >= 0 and position + FRAME_HEADER.size < len(data):
            if _is_frame_at(read, data, position, base + position, size, salt_checksum):
                return base + position
            position = data.find(MARKER, position + 1)
        if len(data) <= FRAME_HEADER.size:
            return None
        # a marker in the last bytes is found again by the next read, with its complete header
        base += len(data) - FRAME_HEADER.size
    return None


def _is_frame_at(read: Read, data: bytes, position: int, offset: int, size: int, salt_checksum: int) -> bool:
    """Whether an intact log frame begins at `position` in `data`, which is at `offset` in the file."""
    _, length, _ = FRAME_HEADER.unpack_from(data, position)
    body_start = position + FRAME_HEADER.size
    end = body_start + length
    fits = length <= MAX_BODY_BYTES and offset + FRAME_HEADER.size + length <= size
    if data[body_start] != BODY_FIRST_BYTE or not fits:
        return False
    frame = data[position:end] if end <= len(data) else read(offset, FRAME_HEADER.size + length)
    return decode_frame(frame, salt_checksum, offset) is not None


def iter_frames_past_gaps(
    read: Read, start: int, size: int, salt_checksum: int
) -> Iterator[tuple[int, int, memoryview]]:
    """Yield offset, length and body of every intact frame at or after `start`; skips bytes between frames."""
    frame_start = find_frame(read, start, size, salt_checksum)
    while frame_start is not None:
        end = frame_start + 1  # the search advances, even if the second read finds no frame here
        for offset, length, body in iter_frames(read, frame_start, size, salt_checksum):
            yield offset, length, body
            end = offset + length
        frame_start = find_frame(read, end, size, salt_checksum)
