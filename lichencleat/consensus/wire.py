"""What goes between processes, in Twisted's length-prefixed frames: MessagePack arrays, the first field the
frame's kind.

A frame that is none of these ends the connection. Every message of a group names the group; see `Greeting`.
"""

from __future__ import annotations

from typing import Any

import msgspec

from lichencleat.consensus.identity import Incarnation
from lichencleat.consensus.messages import Message

FORMAT = 1  # of these frames; another one is turned away
FRAME_MOST = 1 << 20  # bytes: entries or a snapshot's piece, and the numbers about them


class Greeting(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Who calls. From a member, or from a client (seat 0)."""

    format: int
    group: bytes  # the group's mark; from a client: empty where it knows none
    name: str  # the group's name
    seat: int
    to: int  # the seat that is called, 0 where it is not known
    life: Incarnation
    member: str = ""  # its name in the group
    parts: tuple[str, ...] | None = None  # what its program can decide on; a version before this says none


class Greeted(msgspec.Struct, frozen=True, array_like=True, tag=2):
    welcome: int
    group: bytes
    seat: int
    member: str
    life: Incarnation
    parts: tuple[str, ...] | None = None  # as in Greeting


class Carried(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """One member's message to another."""

    group: bytes
    message: Message


class Request(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """From a client. `content` is what the kind of request needs."""

    number: int  # on this connection
    what: str
    content: msgspec.Raw = msgspec.Raw(b"\xc0")


class Reply(msgspec.Struct, frozen=True, array_like=True, tag=5):
    number: int
    done: bool
    content: msgspec.Raw  # the result; not done: why not
    leader: int = 0  # the seat that leads, as far as is known, and where
    host: str = ""
    port: int = 0
    maybe: bool = False  # not done, and yet it may be done later


class WhoItIs(msgspec.Struct, frozen=True, array_like=True):
    """A request to add a member."""

    seat: int
    name: str
    host: str
    port: int
    zone: str = ""
    votes: bool = False


class Proposal(msgspec.Struct, frozen=True, array_like=True):
    session: int
    number: int
    data: bytes


Frame = Greeting | Greeted | Carried | Request | Reply
encode = msgspec.msgpack.encode
decode_frame = msgspec.msgpack.Decoder(Frame).decode
decode_who = msgspec.msgpack.Decoder(WhoItIs).decode
decode_proposal = msgspec.msgpack.Decoder(Proposal).decode
decode_read = msgspec.msgpack.Decoder(tuple[str, Any]).decode
decode_seat = msgspec.msgpack.Decoder(int).decode


def raw(content: Any) -> msgspec.Raw:
    return msgspec.Raw(encode(content))
