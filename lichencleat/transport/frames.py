"""The frames between processes: length-prefixed MessagePack arrays whose first field is the kind of frame.

A frame that cannot be decoded ends its connection. For compatibility between versions, fields must not be
moved or removed, and new fields need a default. Every message between members contains the cluster's id.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeAlias

import msgspec

from lichencleat.transport.identity import Incarnation

FORMAT_VERSION = 1  # of these frames; a greeting with another version is rejected
MAX_FRAME_BYTES = 1 << 20  # holds a batch of log entries or a chunk of a snapshot, with their metadata

Encodable: TypeAlias = Any  # any value that MessagePack can encode


class Greeting(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The first frame of a connection; it identifies the caller, which is a member or a client."""

    format_version: int
    cluster_id: bytes  # empty if the caller is a client that does not know it
    cluster_name: str
    member_id: int  # of the caller; CLIENT_ID if it is a client
    recipient: int  # id of the member that the caller expects; CLIENT_ID if not known
    incarnation: Incarnation
    caller_name: str = ""
    # replicated states that the caller's program supports; None from a version without this field
    supported_states: tuple[str, ...] | None = None


class GreetingResponse(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The answer to a greeting."""

    result: int  # value of a GreetingResult
    cluster_id: bytes
    member_id: int
    member_name: str
    incarnation: Incarnation
    supported_states: tuple[str, ...] | None = None  # as in Greeting


class PeerMessage(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A message from one member to another.

    The consensus package derives its own frame from this one and sets the type of the message. This package
    only uses the message's attribute `sender`, a member id.
    """

    cluster_id: bytes
    message: Any


class ClientRequest(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A request of a client; the type of `content` depends on the operation."""

    number: int  # distinguishes the requests on one connection
    operation: str
    content: msgspec.Raw = msgspec.Raw(b"\xc0")


class ClientResponse(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The response to the request with the same number."""

    number: int
    done: bool
    content: msgspec.Raw  # the result if done, otherwise the reason
    leader_id: int = 0  # the leader and its address, as far as known; 0 if not known
    leader_host: str = ""
    leader_port: int = 0
    may_take_effect: bool = False  # if not done: whether the request may still be carried out


Frame: TypeAlias = Greeting | GreetingResponse | PeerMessage | ClientRequest | ClientResponse
FrameDecoder: TypeAlias = Callable[[bytes], Frame]

encode = msgspec.msgpack.encode
decode_frame: FrameDecoder = msgspec.msgpack.Decoder(Frame).decode  # messages of members stay undecoded


def encode_raw(content: Encodable) -> msgspec.Raw:
    """Encode the content of a request or response."""
    return msgspec.Raw(encode(content))


def encode_command(state_name: str, command: Encodable) -> bytes:
    """Encode a command for the named replicated state, as the content of a proposal."""
    return encode((state_name, command))
