"""Codec of the stored records: one per key, rewritten when its state changes; the owner; the last heartbeat.

The structs are arrays on disk: fields may be renamed, but never moved or dropped.
"""

from __future__ import annotations

from enum import IntEnum
from hashlib import blake2b

import msgspec

FORMAT_VERSION = 1  # a directory of another format is rejected

# First byte of a key in the store; the ownership and heartbeat keys have no further bytes.
RECORD_PREFIX = b"e"
OWNERSHIP_KEY = b"w"
HEARTBEAT_KEY = b"s"

DIGEST_BYTES = 16  # of keys and bodies: long enough against collisions, also intended ones


class RecordState(IntEnum):
    """State of a request that was admitted to run. The numbers are stored."""

    OPEN = 1  # only the intent is recorded: the request may have run
    DONE = 2  # the request completed, and the result is stored
    FAILED = 3  # the request ran and failed


class IdempotencyRecord(msgspec.Struct, frozen=True, array_like=True):
    """The stored record of one key. Times are µs of the node's own time (see `node_time`)."""

    state: int
    request_class: str
    arrived: int  # arrival of the request that was admitted to run
    expires: int  # the same key is a repeat if it arrives up to this time
    due: int
    run_id: bytes  # at the interpreter
    body_digest: bytes  # of the request class and the body
    result: bytes = b""


class Ownership(msgspec.Struct, frozen=True, array_like=True):
    """The node that owns the directory, and the directory's inode when this was written."""

    format: int
    node: str
    directory_id: int  # inode of the directory; a copy has another one


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """When the node was last alive."""

    node_time: int  # µs of the node's own time
    unix_time: int  # µs, by the system clock


encode = msgspec.msgpack.encode
decode_record = msgspec.msgpack.Decoder(IdempotencyRecord).decode
decode_ownership = msgspec.msgpack.Decoder(Ownership).decode
decode_heartbeat = msgspec.msgpack.Decoder(Heartbeat).decode


def record_key(caller_key: bytes) -> bytes:
    """Returns the fixed-length key under which store and index hold a caller's key.

    The digest is cryptographic: with a faster hash, a hostile caller could make two keys collide.
    """
    return RECORD_PREFIX + blake2b(caller_key, digest_size=DIGEST_BYTES).digest()


def split_request_key(key: bytes) -> tuple[bytes, bytes]:
    """Splits a pending request's key into record key and body digest."""
    return record_key(key[:-DIGEST_BYTES]), key[-DIGEST_BYTES:]
