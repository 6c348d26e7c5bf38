"""Received text that is not UTF-8 is rejected where it is decoded and has no other effect."""

import msgspec
import pytest
from twisted.internet.testing import StringTransport

from lichencleat.config_distribution.source import PublishCommand, Source
from lichencleat.config_distribution.terms import Change
from lichencleat.consensus.key_value import KeyValueState, SetCommand
from lichencleat.consensus.messages import Entry, EntryType
from lichencleat.consensus.state_machine import StateMachine
from lichencleat.coordinator.states import make_control_plane_states
from lichencleat.failover.messages import DefineZone
from lichencleat.leases.lease_state import LeaseState
from lichencleat.leases.messages import DefineJob
from lichencleat.quotas.messages import DefinePool
from lichencleat.recovery.messages import NodeReport
from lichencleat.transport import frames
from lichencleat.transport.framed_protocol import FramedProtocol
from lichencleat.transport.frames import encode_command
from lichencleat.transport.identity import Incarnation

COMMANDS = {
    "facts": SetCommand("fact", b"v"),
    "owners": DefineJob("job", "zone"),
    "shares": DefinePool("pool", 10, 1, 4),
    "revive": NodeReport("node", "zone", 1, True, 0, 1, True, True, 0.5),
    "zones": DefineZone("zone", "region", 1.0),
    "distribution": PublishCommand((Change("tenant", "acme", b"{}"),)),
}


def corrupted(data):
    """Return copies of the data, each with one byte replaced by a byte that is invalid in UTF-8."""
    return [data[:at] + b"\xff" + data[at + 1 :] for at in range(len(data))]


def undecodable_copies(data, decode):
    """Return the corrupted copies whose decoding fails because of invalid text."""
    found = []
    for each in corrupted(data):
        try:
            decode(each)
        except UnicodeDecodeError:
            found.append(each)
        except msgspec.MsgspecError:
            pass
    assert found
    return found


@pytest.mark.parametrize("name", COMMANDS)
def test_undecodable_command_changes_nothing(name):
    """It must not raise: each member applies it at each start, so the whole group would stop for good."""
    state = StateMachine({**make_control_plane_states(), "distribution": Source()})
    assert set(state.states) == set(COMMANDS) and isinstance(state.states["owners"], LeaseState)
    before = state.dump()
    for index, data in enumerate(
        undecodable_copies(encode_command(name, COMMANDS[name]), msgspec.msgpack.decode), 1
    ):
        state.apply(index, Entry(1, EntryType.COMMAND, data))
    assert state.dump() == before
    index = state.applied + 1
    state.apply(index, Entry(1, EntryType.COMMAND, encode_command("facts", SetCommand("fact", b"v"))))
    assert isinstance(state.states["facts"], KeyValueState) and state.read("facts", "fact").revision == index


@pytest.mark.parametrize(
    "frame",
    [
        frames.Greeting(frames.FORMAT_VERSION, b"mark", "group", 0, 0, Incarnation(1, 2), "client"),
        frames.ClientRequest(1, "status"),
        frames.ClientResponse(1, True, frames.encode_raw(1), 2, "127.0.0.1", 3),
    ],
)
def test_frame_with_invalid_text_ends_its_connection(frame):
    for data in undecodable_copies(frames.encode(frame), frames.decode_frame):
        framed = FramedProtocol()
        framed.makeConnection(StringTransport())
        assert framed.read(data) is None and framed.transport.disconnected
