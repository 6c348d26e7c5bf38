"""The contents of client requests, and the frames that a member decodes."""

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
    """Adds a member, or promotes a learner to a voter."""

    member_id: int
    name: str
    host: str
    port: int
    zone: str = ""
    is_voter: bool = False


class Proposal(msgspec.Struct, frozen=True, array_like=True):
    """Proposes a command; `session_id` is 0 if the command belongs to no session."""

    session_id: int
    sequence: int
    data: bytes


MemberFrame = Greeting | GreetingResponse | RaftMessageFrame | ClientRequest | ClientResponse

decode_member_frame: FrameDecoder = msgspec.msgpack.Decoder(MemberFrame).decode
decode_add_member = msgspec.msgpack.Decoder(AddMemberRequest).decode
decode_proposal = msgspec.msgpack.Decoder(Proposal).decode
decode_read = msgspec.msgpack.Decoder(tuple[str, Any]).decode  # the state's name and the query
decode_member_id = msgspec.msgpack.Decoder(int).decode
