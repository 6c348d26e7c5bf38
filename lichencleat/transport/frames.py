"""The frames between processes: MessagePack arrays whose first field is the kind, in length-prefixed strings.

A frame that can't be decoded ends its connection. Fields are never moved or dropped, and new ones get a
default, so that versions understand one another. Every message of a cluster names the cluster.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeAlias

import msgspec

from lichencleat.transport.identity import Incarnation

FORMAT_VERSION = 1  # of these frames; a greeting with another one is turned away
MAX_FRAME_BYTES = 1 << 20  # log entries or a chunk of a snapshot, and the numbers around them

Encodable: TypeAlias = Any  # whatever MessagePack can encode


class Greeting(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The first frame of a connection: who calls. It comes from a member or from a client."""

    format_version: int
    cluster_id: bytes  # from a client: empty where it knows none
    cluster_name: str
    member_id: int  # CLIENT_ID: from a client
    recipient: int  # the member that is called, CLIENT_ID where it is not known
    incarnation: Incarnation
    caller_name: str = ""
    # states that the caller's program supports; None from a version before this field
    supported_states: tuple[str, ...] | None = None


class GreetingResponse(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The answer to a greeting, from the process that was called."""

    result: int  # a GreetingResult
    cluster_id: bytes
    member_id: int
    member_name: str
    incarnation: Incarnation
    supported_states: tuple[str, ...] | None = None  # as in Greeting


class PeerMessage(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """One member's message to another.

    The members' protocol derives its own frame and gives the message its type. All that this package needs
    of a message is its attribute `sender`, a member id.
    """

    cluster_id: bytes
    message: Any


class ClientRequest(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A request of a client; what `content` holds depends on the operation."""

    number: int  # on this connection
    operation: str
    content: msgspec.Raw = msgspec.Raw(b"\xc0")


class ClientResponse(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The response to the request of that number."""

    number: int
    done: bool
    content: msgspec.Raw  # the result; not done: why not
    leader_id: int = 0  # the member that leads, as far as is known, and its address
    leader_host: str = ""
    leader_port: int = 0
    may_take_effect: bool = False  # not done, and yet it may be done later


Frame: TypeAlias = Greeting | GreetingResponse | PeerMessage | ClientRequest | ClientResponse
FrameDecoder: TypeAlias = Callable[[bytes], Frame]

encode = msgspec.msgpack.encode
decode_frame: FrameDecoder = msgspec.msgpack.Decoder(Frame).decode  # any message between members


def encode_raw(content: Encodable) -> msgspec.Raw:
    """Encode the content of a request or response."""
    return msgspec.Raw(encode(content))


def encode_command(state_name: str, command: Encodable) -> bytes:
    """Encode a command for that replicated state, as the data of a proposal."""
    return encode((state_name, command))
