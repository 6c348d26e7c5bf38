"""Encodes and decodes the stored records: idempotency records, the ownership and the last heartbeat.

There is one idempotency record per key, which is rewritten when the state of the request changes.

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

DIGEST_BYTES = 16  # size of the digests of keys and bodies: prevents collisions, also intended ones


class RecordState(IntEnum):
    """State of a request that was admitted to run. The numbers are stored."""

    OPEN = 1  # only the intent is recorded: the request may have run
    DONE = 2  # the request completed, and the result is stored
    FAILED = 3  # the request ran and failed


class IdempotencyRecord(msgspec.Struct, frozen=True, array_like=True):
    """The stored record of one key.

    All times are µs of node time, a clock that stops while the node is down (see `node_time`).
    """

    state: int  # a `RecordState`
    request_class: str
    arrived: int  # time when the request that was admitted to run arrived
    expires: int  # end of the window: a request with the same key that arrives until then is a repeat
    due: int  # deadline of the request that was admitted to run
    run_id: bytes  # id of the run at the interpreter
    body_digest: bytes  # digest of the request class and the body
    result: bytes = b""


class Ownership(msgspec.Struct, frozen=True, array_like=True):
    """The node that owns the directory."""

    format: int  # `FORMAT_VERSION` of the program that wrote the records
    node: str  # name of the node
    directory_id: int  # inode of the directory; a copy has another inode


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """The time when the node was last alive, on two clocks."""

    node_time: int  # µs of node time (see `node_time`)
    unix_time: int  # µs of Unix time, by the system clock


encode = msgspec.msgpack.encode
decode_record = msgspec.msgpack.Decoder(IdempotencyRecord).decode
decode_ownership = msgspec.msgpack.Decoder(Ownership).decode
decode_heartbeat = msgspec.msgpack.Decoder(Heartbeat).decode


def record_key(caller_key: bytes) -> bytes:
    """Returns the record key: the fixed-length key under which the store and the index hold a caller's key.

    The digest is cryptographic: with a faster hash, a hostile caller could make two keys collide.
    """
    return RECORD_PREFIX + blake2b(caller_key, digest_size=DIGEST_BYTES).digest()


def split_request_key(key: bytes) -> tuple[bytes, bytes]:
    """Returns the record key and the body digest for the key of a pending request."""
    return record_key(key[:-DIGEST_BYTES]), key[-DIGEST_BYTES:]
