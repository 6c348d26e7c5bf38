"""Framing: the bytes of the store's files, encoded and decoded. No I/O. The format is in docs/store.md.

A file is a header and then frames. A frame's checksum covers its file's salt, its offset, its length and its
body. So a copy of a frame at any other place (in a value, or in a disk block that the file system reused) is
not taken for a frame.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator

import msgspec
from crc32c import crc32c

from lichencleat.store.errors import NewerFormatError

FORMAT = 1  # version of all files
LOG_MAGIC = b"lcstlog"
CHECKPOINT_MAGIC = b"lcstpnt"
STORE_MAGIC = b"lcststo"
SALT_BYTES = 8  # random bytes in a file's header
FILE_HEADER_BYTES = len(LOG_MAGIC) + 1 + SALT_BYTES  # magic, version, salt
MARKER = b"\xa7\xc5"  # begins a frame, so that a search for the next one runs in C
FRAME_HEADER = struct.Struct("<2sII")  # marker, length of the body, checksum
LENGTH_MULTIPLIER = 2_654_435_769  # 2^32 over the golden ratio: spreads lengths over the checksum's 32 bits
CHECKSUM_MASK = 0xFFFFFFFF
MAX_KEY_BYTES = 65_536  # a key is kept in memory
MAX_VALUE_BYTES = 16 << 20
MAX_BODY_BYTES = MAX_VALUE_BYTES + MAX_KEY_BYTES + 64  # both and the numbers about them
MAX_FRAME_OVERHEAD_BYTES = FRAME_HEADER.size + 48  # the most that a frame is larger than its key and value
READ_WINDOW_BYTES = 1 << 20  # read at once when a file is read from end to end
BODY_FIRST_BYTE = 0x96  # msgpack's array of six, with which the body of every log frame begins

# Kinds of log records. They are stored and never change.
PUT = 1
DELETE = 2
BATCH_PUT = 3
BATCH_DELETE = 4
COMMIT = 5
TIME_MARK = 6
SEGMENT_REMOVED = 7
PUTS = (PUT, BATCH_PUT)
DELETES = (DELETE, BATCH_DELETE)
IN_BATCH = (BATCH_PUT, BATCH_DELETE)
SINGLE = (PUT, DELETE)

Body = tuple[int, int, int, int, bytes, memoryview]
"""Sequence, kind, how far back the last flushed sequence was when it was written, number, key, value.

The number is a put's expiry (0: none), the sequence that a tombstone stands for (0: its own), a commit's
count of records, a time mark's time, or the number of a removed segment. It is a plain tuple because
decoding one is the inner loop of a start.
"""
decode_body = msgspec.msgpack.Decoder(Body).decode
encode_body = msgspec.msgpack.encode

Read = Callable[[int, int], bytes]
"""Reads a file: offset and length to bytes, fewer at the file's end."""


def encode_file_header(magic: bytes, salt: bytes) -> bytes:
    """The first bytes of a file."""
    return magic + bytes([FORMAT]) + salt


def decode_file_header(data: bytes, magic: bytes, name: str) -> bytes | None:
    """The file's salt, or None where this is no complete header. Raises NewerFormatError."""
    if len(data) < FILE_HEADER_BYTES or not data.startswith(magic):
        return None
    version = data[len(magic)]
    if version > FORMAT:
        raise NewerFormatError(name, version, FORMAT)
    return data[len(magic) + 1 : FILE_HEADER_BYTES] if version == FORMAT else None


def checksum(salt: int, offset: int, body: bytes | memoryview) -> int:
    """A frame's checksum. `salt` is the checksum of the file's salt, computed once a file."""
    return crc32c(body, (salt + offset + len(body) * LENGTH_MULTIPLIER) & CHECKSUM_MASK)


def encode_frame(salt: int, offset: int, body: bytes) -> bytes:
    """The frame that holds this body at that offset of the file."""
    return FRAME_HEADER.pack(MARKER, len(body), checksum(salt, offset, body)) + body


def decode_frame(data: bytes, salt: int, offset: int) -> memoryview | None:
    """The body, if these bytes from that offset are exactly one frame; else None."""
    if len(data) < FRAME_HEADER.size:
        return None
    marker, length, check = FRAME_HEADER.unpack_from(data)
    body = memoryview(data)[FRAME_HEADER.size :]
    good = marker == MARKER and length == len(body) and checksum(salt, offset, body) == check
    return body if good else None


def iter_frames(read: Read, start: int, size: int, salt: int) -> Iterator[tuple[int, int, memoryview]]:
    """Yield offset, length and body of each frame from `start` on, up to the first that is not intact.

    A body is a view into a window of the file and may be kept; the window's memory is freed with the last
    view.
    """
    base, data = start, b""
    at = start
    head, max_length = FRAME_HEADER.size, MAX_BODY_BYTES
    unpack = FRAME_HEADER.unpack_from
    view = memoryview(data)
    while at + head <= size:
        here = at - base
        if here + head > len(data):
            base, data = at, read(at, min(READ_WINDOW_BYTES, size - at))
            here, view = 0, memoryview(data)
            if len(data) < head:
                return
        marker, length, check = unpack(data, here)
        if marker != MARKER or length > max_length or at + head + length > size:
            return
        end = here + head + length
        if end > len(data):
            base, data = at, read(at, max(min(READ_WINDOW_BYTES, size - at), head + length))
            here, end, view = 0, head + length, memoryview(data)
            if len(data) < end:
                return
        body = view[here + head : end]
        if crc32c(body, (salt + at + length * LENGTH_MULTIPLIER) & CHECKSUM_MASK) != check:
            return
        yield at, head + length, body
        at += head + length


def find_frame(read: Read, start: int, size: int, salt: int) -> int | None:
    """The offset of the first intact log frame at or after `start`, whatever lies before it, or None.

    Tries every place at which a frame could begin; a place that is no frame costs at most a checksum.
    """
    at = start
    while at + FRAME_HEADER.size < size:
        data = read(at, min(READ_WINDOW_BYTES, size - at))
        here = data.find(MARKER)
        while here >= 0 and here + FRAME_HEADER.size < len(data):
            if _is_frame_at(read, data, here, at + here, size, salt):
                return at + here
            here = data.find(MARKER, here + 1)
        if len(data) <= FRAME_HEADER.size:
            return None
        at += (
            len(data) - FRAME_HEADER.size
        )  # a marker in the last bytes is tried again, with its whole header
    return None


def _is_frame_at(read: Read, data: bytes, here: int, offset: int, size: int, salt: int) -> bool:
    """Whether a log frame begins at `here` in the window `data`, which is at `offset` in the file."""
    _, length, _ = FRAME_HEADER.unpack_from(data, here)
    body_at = here + FRAME_HEADER.size
    end = body_at + length
    fits = length <= MAX_BODY_BYTES and offset + FRAME_HEADER.size + length <= size
    if data[body_at] != BODY_FIRST_BYTE or not fits:
        return False
    whole = data[here:end] if end <= len(data) else read(offset, FRAME_HEADER.size + length)
    return decode_frame(whole, salt, offset) is not None


def iter_frames_past_gaps(
    read: Read, start: int, size: int, salt: int
) -> Iterator[tuple[int, int, memoryview]]:
    """Yield offset, length and body of every intact frame at or after `start`, whatever lies between them."""
    at = find_frame(read, start, size, salt)
    while at is not None:
        end = at + 1  # a read that gives other bytes the second time may not stop the search
        for offset, length, body in iter_frames(read, at, size, salt):
            yield offset, length, body
            end = offset + length
        at = find_frame(read, end, size, salt)
