"""The encoding of the frames between processes, which must stay compatible between versions."""

import msgspec
import pytest

from lichencleat.consensus.messages import Message, MessageType
from lichencleat.consensus.requests import AddMemberRequest, Proposal, RaftMessageFrame, decode_member_frame
from lichencleat.transport.frames import (
    ClientRequest,
    ClientResponse,
    Greeting,
    GreetingResponse,
    PeerMessage,
    decode_frame,
    encode,
    encode_raw,
)
from lichencleat.transport.identity import GreetingResult, Incarnation

INCARNATION = Incarnation(7, 9)
MESSAGE = Message(MessageType.APPEND, 3, 1, 2, index=5)
FRAMES = {
    "greeting": (
        Greeting(1, b"id", "g", 1, 2, INCARNATION, "v1", ("a",)),
        [1, 1, b"id", "g", 1, 2, [7, 9], "v1", ["a"]],
    ),
    "response to a greeting": (
        GreetingResponse(GreetingResult.WRONG_MEMBER, b"id", 2, "v2", INCARNATION),
        [2, 2, b"id", 2, "v2", [7, 9], None],
    ),
    "peer message": (
        RaftMessageFrame(b"id", MESSAGE),
        [3, b"id", [5, 3, 1, 2, 5, 0, 0, 0, False, False, [], 0, 0, b"", None]],
    ),
    "request": (ClientRequest(4, "read", encode_raw(["facts", "k"])), [4, 4, "read", ["facts", "k"]]),
    "response": (
        ClientResponse(4, False, encode_raw("not the leader"), 2, "10.0.0.1", 70, True),
        [5, 4, False, "not the leader", 2, "10.0.0.1", 70, True],
    ),
}


@pytest.mark.parametrize("kind", FRAMES)
def test_frame_is_encoded_with_its_tag_and_its_fields_in_order(kind):
    frame, fields = FRAMES[kind]
    assert encode(frame) == msgspec.msgpack.encode(fields)


@pytest.mark.parametrize("kind", FRAMES)
def test_member_frame_decoder_restores_the_encoded_frame(kind):
    frame, _ = FRAMES[kind]
    assert decode_member_frame(encode(frame)) == frame


def test_frame_decoder_of_other_processes_leaves_messages_of_members_undecoded():
    decoded = decode_frame(encode(RaftMessageFrame(b"id", MESSAGE)))
    assert isinstance(decoded, PeerMessage) and decoded.message[:4] == [5, 3, 1, 2]


def test_request_contents_are_encoded_with_their_fields_in_order():
    member = AddMemberRequest(5, "v5", "10.0.0.5", 70, "z1", True)
    assert encode(member) == msgspec.msgpack.encode([5, "v5", "10.0.0.5", 70, "z1", True])
    assert encode(Proposal(8, 1, b"data")) == msgspec.msgpack.encode([8, 1, b"data"])
