"""The contents of requests and the frames that a member of a cluster decodes."""

from __future__ import annotations

from typing import Any

import msgspec

from lichencleat.consensus.messages import Message
from lichencleat.transport.frames import (
    ClientRequest,
    ClientResponse,
    FrameDecoder,
    Greeting,
    GreetingResponse,
    PeerMessage,
)


class RaftMessageFrame(PeerMessage, frozen=True, array_like=True, tag=3):
    """A message of the consensus protocol from one member to another."""

    message: Message


class AddMemberRequest(msgspec.Struct, frozen=True, array_like=True):
    """Add a member, or give it its vote."""

    member_id: int
    name: str
    host: str
    port: int
    zone: str = ""
    is_voter: bool = False


class Proposal(msgspec.Struct, frozen=True, array_like=True):
    """Append a command to the log; `session_id` 0: without a session."""

    session_id: int
    sequence: int
    data: bytes


MemberFrame = Greeting | GreetingResponse | RaftMessageFrame | ClientRequest | ClientResponse

decode_member_frame: FrameDecoder = msgspec.msgpack.Decoder(MemberFrame).decode
decode_add_member = msgspec.msgpack.Decoder(AddMemberRequest).decode
decode_proposal = msgspec.msgpack.Decoder(Proposal).decode
decode_read = msgspec.msgpack.Decoder(tuple[str, Any]).decode  # the state's name and the query
decode_member_id = msgspec.msgpack.Decoder(int).decode
