"""Codec of the stored records: one a key, written anew as more is known; the owner; the last heartbeat.

The structs are arrays on disk: fields may be renamed, but never moved or dropped.
"""

from __future__ import annotations

from enum import IntEnum
from hashlib import blake2b

import msgspec

FORMAT_VERSION = 1  # of these records; a directory of another version is refused

# First byte of a key in the store.
RECORD_PREFIX = b"e"
OWNERSHIP_KEY = b"w"
HEARTBEAT_KEY = b"s"

DIGEST_BYTES = 16  # of keys and bodies: no two collide by chance, nor by a hostile caller's choice


class RecordState(IntEnum):
    """What is known of a request that was admitted to run. The numbers are stored."""

    OPEN = 1  # only its intent is recorded: it may have run
    DONE = 2  # it ran, and this is its result
    FAILED = 3  # it ran and failed


class IdempotencyRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is stored of one key. Times are µs of the node's own time (see `node_time`)."""

    state: int
    request_class: str
    arrived: int  # of the request that was admitted to run
    expires: int  # what arrives up to then is a repeat of it
    due: int
    run_id: bytes  # at the interpreter
    body_digest: bytes  # of the request class and the body
    result: bytes = b""


class Ownership(msgspec.Struct, frozen=True, array_like=True):
    """Whose directory it is, and where it was when that was written."""

    format: int
    node: str
    directory_id: int  # inode of the directory: a copy has another


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """When the node was last alive."""

    node_time: int  # µs of the node's own time
    unix_time: int  # µs, by the system's clock


encode = msgspec.msgpack.encode
decode_record = msgspec.msgpack.Decoder(IdempotencyRecord).decode
decode_ownership = msgspec.msgpack.Decoder(Ownership).decode
decode_heartbeat = msgspec.msgpack.Decoder(Heartbeat).decode


def record_key(caller_key: bytes) -> bytes:
    """Returns where a caller's key, whatever its length, stands in the store and in the index.

    The digest is cryptographic: with a quick hash a hostile caller could make two keys collide.
    """
    return RECORD_PREFIX + blake2b(caller_key, digest_size=DIGEST_BYTES).digest()


def split_request_key(key: bytes) -> tuple[bytes, bytes]:
    """Returns record key and body digest of a pending request's key."""
    return record_key(key[:-DIGEST_BYTES]), key[-DIGEST_BYTES:]
