"""The frames between processes: length-prefixed MessagePack arrays whose first field is the kind of frame.

A frame that cannot be decoded ends its connection. For compatibility between versions, fields must not be
moved or removed, and new fields need a default. Every message between members contains the cluster's id.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeAlias

import msgspec

from lichencleat.transport.identity import Incarnation

FORMAT_VERSION = 1  # version of the frames; a greeting with another version is rejected
MAX_FRAME_BYTES = 1 << 20  # limit on a frame: enough for a batch of log entries or a chunk of a snapshot

Encodable: TypeAlias = Any  # any value that MessagePack can encode


class Greeting(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The first frame of a connection; it identifies the caller, which is a member or a client."""

    format_version: int
    cluster_id: bytes  # empty if the caller is a client that does not know the cluster's id
    cluster_name: str
    member_id: int  # the caller's member id; CLIENT_ID if the caller is a client
    recipient: int  # id of the member that the caller expects at the address; CLIENT_ID if not known
    incarnation: Incarnation  # of the caller
    caller_name: str = ""
    # Names of the replicated states that the caller's program supports; older versions do not send this
    # field.
    supported_states: tuple[str, ...] | None = None


class GreetingResponse(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The answer to a greeting."""

    result: int  # value of a GreetingResult
    cluster_id: bytes
    member_id: int
    member_name: str
    incarnation: Incarnation
    supported_states: tuple[str, ...] | None = None  # see `Greeting`


class PeerMessage(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A message from one member to another.

    The consensus package derives its own frame from this class and sets the type of `message`. This package
    only uses the message's attribute `sender`, a member id.
    """

    cluster_id: bytes
    message: Any


class ClientRequest(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A request of a client; the type of `content` depends on the operation."""

    number: int  # number of the request, unique on the connection
    operation: str
    content: msgspec.Raw = msgspec.Raw(b"\xc0")


class ClientResponse(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The response to the request with the same number."""

    number: int
    done: bool  # whether the request was carried out
    content: msgspec.Raw  # the result if `done`, otherwise the reason
    leader_id: int = 0  # member id of the group's leader, 0 if the leader is not known
    leader_host: str = ""  # address of the leader, as far as known
    leader_port: int = 0
    may_take_effect: bool = False  # if not `done`: whether the request may still be carried out


Frame: TypeAlias = Greeting | GreetingResponse | PeerMessage | ClientRequest | ClientResponse
FrameDecoder: TypeAlias = Callable[[bytes], Frame]

encode = msgspec.msgpack.encode
# Decodes a frame. A message between members is decoded to plain values, because its type is not known here.
decode_frame: FrameDecoder = msgspec.msgpack.Decoder(Frame).decode


def encode_raw(content: Encodable) -> msgspec.Raw:
    """Encode a value as the content of a request or response."""
    return msgspec.Raw(encode(content))


def encode_command(state_name: str, command: Encodable) -> bytes:
    """Encode a command for the named replicated state, as the content of a proposal."""
    return encode((state_name, command))
