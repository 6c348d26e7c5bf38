"""What stands on disk: one record a key, written anew as more is known, and whose directory it is; no I/O."""

from __future__ import annotations

from enum import IntEnum
from hashlib import blake2b

import msgspec

FORMAT = 1  # of these records; a directory of another one is refused
ENTRY, WHOSE, SEEN = b"e", b"w", b"s"  # first byte of a key: an entry, the owner, the last time seen
MARK = 16  # bytes of a key's mark and of a body's: no two meet by chance, nor by a hostile caller's choice


class State(IntEnum):
    """What is known of a try that was let run. The numbers are the format's: never given anew."""

    OPEN = 1  # its intent stands: it may have run
    DONE = 2  # it ran, and this is its result
    FAILED = 3  # it ran and came to nothing


class Entry(msgspec.Struct, frozen=True, array_like=True):
    state: int
    tariff: str
    arrived: int  # µs of the node's own time, of the try that was let run
    until: int  # what arrives up to then is a repeat of it
    due: int
    ident: bytes  # its name at the interpreter
    body: bytes  # mark of the tariff and the body
    result: bytes = b""


class Whose(msgspec.Struct, frozen=True, array_like=True):
    """Whose directory it is, and where it lay when that was written."""

    format: int
    node: str
    place: int  # the directory's number in its file system: a copy has another


decode_entry = msgspec.msgpack.Decoder(Entry).decode
decode_whose = msgspec.msgpack.Decoder(Whose).decode
encode = msgspec.msgpack.encode


def mark(key: bytes) -> bytes:
    """Where a caller's key, whatever its length, stands in the store and in the book.

    A quick hash would let a hostile caller make two keys meet.
    """
    return ENTRY + blake2b(key, digest_size=MARK).digest()


class Seen(msgspec.Struct, frozen=True, array_like=True):
    """The last sign of life."""

    own: int  # µs of the node's own time
    unix: int  # µs, as the system's clock had it then


decode_seen = msgspec.msgpack.Decoder(Seen).decode
