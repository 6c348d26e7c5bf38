"""The bytes of the store's files: file heads and frames, made and read; no I/O. The format is docs/store.md.

A frame's checksum covers its file's salt, its offset, its length and its body. So a copy of a frame at any
other place (in a value, or in a block that the file system gave again) is no frame.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator

import msgspec
from crc32c import crc32c

from lichencleat.store.errors import CannotOpenError

FORMAT = 1  # version of all files
# a segment, a checkpoint, the store's mark
LOG_MAGIC, CHECKPOINT_MAGIC, STORE_MAGIC = b"lcstlog", b"lcstpnt", b"lcststo"
SALT = 8  # bytes of chance in a file's head
FILE_HEADER_BYTES = len(LOG_MAGIC) + 1 + SALT  # bytes: magic, version, salt
MARKER = b"\xa7\xc5"  # begins a frame, so that a search for the next one runs in C
HEAD = struct.Struct("<2sII")  # marker, length of the body, checksum
LENGTH_MULTIPLIER, ALL = (
    2_654_435_769,
    0xFFFFFFFF,
)  # spreads lengths over the checksum's 32 bits (2^32 over the golden ratio)
MAX_KEY_BYTES = 65_536  # bytes: a key lives in memory
MAX_VALUE_BYTES = 16 << 20  # bytes
MAX_BODY_BYTES = MAX_VALUE_BYTES + MAX_KEY_BYTES + 64  # bytes: both and the numbers about them
MAX_FRAME_OVERHEAD_BYTES = HEAD.size + 48  # bytes: the most that a frame is larger than its key and value
READ_WINDOW_BYTES = 1 << 20  # bytes read at once when files are walked through
BODY_FIRST_BYTE = 0x96  # msgpack's array of six, with which the body of every log frame begins

PUT, DELETE, BATCH_PUT, BATCH_DELETE, COMMIT, TIME_MARK, SEGMENT_REMOVED = range(1, 8)
# The body: sequence, kind, how far back the last flushed sequence was when it was written, number, key,
# value. The number is a put's expiry (0: none), the sequence a tombstone stands for (0: its own), a commit's
# count, a mark's time, or the segment that is gone.
Body = tuple[int, int, int, int, bytes, memoryview]
decode_body = msgspec.msgpack.Decoder(Body).decode
encode_any = msgspec.msgpack.encode

Read = Callable[[int, int], bytes]  # offset, length -> bytes, fewer at the end


def encode_file_header(magic: bytes, salt: bytes) -> bytes:
    return magic + bytes([FORMAT]) + salt


def decode_file_header(data: bytes, magic: bytes, name: str) -> bytes | None:
    """The file's salt, or None where this is no whole head. Raises UnfitError for a newer format."""
    if len(data) < FILE_HEADER_BYTES or not data.startswith(magic):
        return None
    if data[len(magic)] > FORMAT:
        raise CannotOpenError(
            f"{name}: format {data[len(magic)]}, newer than {FORMAT}; open it with a newer lichencleat"
        )
    return data[len(magic) + 1 : FILE_HEADER_BYTES] if data[len(magic)] == FORMAT else None


def checksum(salt: int, offset: int, body: bytes | memoryview) -> int:
    """`salt` is the checksum of the file's salt: computed once a file."""
    return crc32c(body, (salt + offset + len(body) * LENGTH_MULTIPLIER) & ALL)


def frame(salt: int, offset: int, body: bytes) -> bytes:
    return HEAD.pack(MARKER, len(body), checksum(salt, offset, body)) + body


def decode_frame(data: bytes, salt: int, offset: int) -> memoryview | None:
    """The body of the one frame that these bytes of that offset are, if they are one."""
    if len(data) < HEAD.size:
        return None
    marker, length, check = HEAD.unpack_from(data)
    body = memoryview(data)[HEAD.size :]
    good = marker == MARKER and length == len(body) and checksum(salt, offset, body) == check
    return body if good else None


def iter_frames(read: Read, start: int, size: int, salt: int) -> Iterator[tuple[int, int, memoryview]]:
    """Offset, length and body of each whole frame from `start` on, up to the first that is not whole.

    A body is a view into a window and may be kept; the window is given back with the last view of it.
    """
    base, data = start, b""
    at = start
    head, most = HEAD.size, MAX_BODY_BYTES
    unpack = HEAD.unpack_from
    view = memoryview(data)
    while at + head <= size:
        here = at - base
        if here + head > len(data):
            base, data = at, read(at, min(READ_WINDOW_BYTES, size - at))
            here, view = 0, memoryview(data)
            if len(data) < head:
                return
        marker, length, check = unpack(data, here)
        if marker != MARKER or length > most or at + head + length > size:
            return
        end = here + head + length
        if end > len(data):
            base, data = at, read(at, max(min(READ_WINDOW_BYTES, size - at), head + length))
            here, end, view = 0, head + length, memoryview(data)
            if len(data) < end:
                return
        body = view[here + head : end]
        if crc32c(body, (salt + at + length * LENGTH_MULTIPLIER) & ALL) != check:
            return
        yield at, head + length, body
        at += head + length


def next_frame(read: Read, start: int, size: int, salt: int) -> int | None:
    """The offset of the first whole log frame at or after `start`: how a walk gets past bytes that are none.

    Tries every place at which a frame could begin; a place that is no frame costs a checksum at the most.
    """
    at = start
    while at + HEAD.size < size:
        data = read(at, min(READ_WINDOW_BYTES, size - at))
        here = data.find(MARKER)
        while here >= 0 and here + HEAD.size < len(data):
            _, length, _ = HEAD.unpack_from(data, here)
            offset, end = at + here, here + HEAD.size + length
            if (
                data[here + HEAD.size] == BODY_FIRST_BYTE
                and length <= MAX_BODY_BYTES
                and offset + HEAD.size + length <= size
            ):
                whole = data[here:end] if end <= len(data) else read(offset, HEAD.size + length)
                if decode_frame(whole, salt, offset) is not None:
                    return offset
            here = data.find(MARKER, here + 1)
        if len(data) <= HEAD.size:
            return None
        at += len(data) - HEAD.size  # a marker in the last bytes is looked at again, with its head whole
    return None


def iter_frames_past_gaps(
    read: Read, start: int, size: int, salt: int
) -> Iterator[tuple[int, int, memoryview]]:
    """Every whole frame at or after `start`, past whatever lies between them."""
    at: int | None = start
    while (at := next_frame(read, at, size, salt)) is not None:
        begun = at
        for offset, length, body in iter_frames(read, at, size, salt):
            yield offset, length, body
            at = offset + length
        at = max(at, begun + 1)  # a read that gives other bytes the second time may not stop the search
