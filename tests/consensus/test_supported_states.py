"""Members of different versions: a state is activated once all support it; others stop."""

import random

import msgspec
import pytest

from lichencleat.consensus.key_value import KeyValueState, SetCommand
from lichencleat.consensus.messages import Configuration, Entry, EntryType, Member, Snapshot
from lichencleat.consensus.state_machine import StateMachine
from lichencleat.consensus.supported_states import (
    ACTIVATION_COMMAND,
    LEGACY_STATES,
    MAX_NAMED_MEMBERS,
    MAX_TRACKED_MEMBERS,
    SupportedStates,
    UnknownStateError,
)
from lichencleat.coordinator.states import make_config_distribution_states, make_control_plane_states
from lichencleat.recovery.messages import NodeReport
from lichencleat.transport import frames
from lichencleat.transport.frames import encode_command
from lichencleat.transport.identity import Incarnation

CONFIGURATION = Configuration(
    tuple(Member(member_id, f"v{member_id}", "h", member_id) for member_id in range(1, 7))
)


REPORT = NodeReport("n1", "x", 1, True, 0, 1, True, True, 0.5)


def entry(name, command, session=0):
    return Entry(1, EntryType.COMMAND, encode_command(name, command), session, 1)


def older_version(without="revive"):
    return StateMachine({name: part for name, part in make_control_plane_states().items() if name != without})


def test_state_is_admitted_once_each_member_supports_it():
    supported = SupportedStates(["facts", "new"])
    rejection = supported.rejection("other", CONFIGURATION, 1)
    assert rejection == "the leader does not know 'other': it is another group's, or of a later version"
    for member_id in (2, 3):
        supported.record(member_id, ["facts", "new"])
    rejection = supported.rejection("new", CONFIGURATION, 1)
    assert (
        rejection == "not all members have said that they know 'new': v4, v5, v6" and MAX_NAMED_MEMBERS == 3
    )
    supported.record(4, None)  # a version that does not report its states: it supports LEGACY_STATES
    supported.record(5, ["facts"])
    supported.record(6, ["facts", "new"])
    assert supported.rejection("new", CONFIGURATION, 1).endswith(": v4, v5")
    assert supported.rejection("facts", CONFIGURATION, 1) is None
    for member_id in (4, 5):
        supported.record(member_id, ["facts", "new"])
    assert supported.rejection("new", CONFIGURATION, 1) is None
    supported.record(5, ["facts"])  # downgraded: the latest report counts
    assert supported.rejection("new", CONFIGURATION, 1).endswith(": v5")


def test_legacy_states_are_the_current_states():
    assert {*make_control_plane_states(), *make_config_distribution_states()} == LEGACY_STATES


def test_tracked_members_are_bounded_and_the_least_recent_is_dropped():
    supported = SupportedStates(["new"])
    for member_id in range(1, MAX_TRACKED_MEMBERS + 2):
        supported.record(member_id, ["new"])
        supported.record(2, ["new"])
    assert (
        len(supported.by_member) == MAX_TRACKED_MEMBERS
        and 1 not in supported.by_member
        and 2 in supported.by_member
    )


def test_unknown_active_state_stops_a_member_without_change():
    state = older_version()
    state.apply(1, entry(ACTIVATION_COMMAND, ["owners"]))
    assert state.active_states == {"owners"}
    with pytest.raises(UnknownStateError, match="uses revive, which this version does not support"):
        state.apply(2, entry(ACTIVATION_COMMAND, ["revive"]))
    assert state.active_states == {"owners"}


def test_snapshot_with_an_unknown_active_state_is_rejected():
    newer = StateMachine(make_control_plane_states())
    newer.apply(1, entry("revive", REPORT))
    older_version().restore(
        Snapshot(1, 1, CONFIGURATION, newer.dump())
    )  # without an activation entry, as earlier releases wrote it
    newer.apply(2, entry(ACTIVATION_COMMAND, ["revive"]))
    state = older_version()
    with pytest.raises(UnknownStateError):
        state.restore(Snapshot(2, 1, CONFIGURATION, newer.dump()))
    again = StateMachine(make_control_plane_states())
    again.restore(Snapshot(2, 1, CONFIGURATION, newer.dump()))
    assert again.dump() == newer.dump() and again.active_states == {"revive"}


def test_dump_is_compatible_with_versions_before_active_states():
    class Before(msgspec.Struct, array_like=True):
        sessions: list
        parts: dict

    state = StateMachine(make_control_plane_states())
    state.apply(1, entry("facts", SetCommand("f", b"v")))
    state.apply(2, entry(ACTIVATION_COMMAND, ["facts"]))
    found = msgspec.msgpack.decode(state.dump(), type=Before)
    again = StateMachine(make_control_plane_states())
    again.restore(Snapshot(2, 1, CONFIGURATION, msgspec.msgpack.encode(found)))
    assert again.read("facts", "f").value == b"v" and not again.active_states
    assert again.has_data("facts", make_control_plane_states()) and not again.has_data(
        "revive", make_control_plane_states()
    )
    assert not again.has_data("nothing", make_control_plane_states())


@pytest.mark.parametrize("command", [["nothing known"], "no list", [1], None])
def test_client_command_can_not_activate_a_state(command):
    state = StateMachine({"facts": KeyValueState()})
    state.apply(1, Entry(1, EntryType.SESSION))
    before = state.active_states.copy()
    state.apply(2, entry(ACTIVATION_COMMAND, command, session=1))
    assert state.active_states == before
    if command != ["nothing known"]:  # an undecodable entry does not stop a member either
        state.apply(3, entry(ACTIVATION_COMMAND, command))
        assert state.active_states == before


def dumps_after_upgrade(seed, gate=True):
    """Return the dumps of three members after their upgrade from a version without `revive`.

    They are upgraded one by one, each from its own dump, while a leader admits the commands that the rules
    allow. Without `gate`, the leader admits commands for every state that it supports itself.
    """
    rng = random.Random(f"upgrade {seed}")
    configuration = Configuration(CONFIGURATION.members[:3])
    states = {member_id: older_version() for member_id in (1, 2, 3)}
    entries = []

    def apply_entries(member_id):
        for index in range(states[member_id].applied + 1, len(entries) + 1):
            states[member_id].apply(index, entries[index - 1])

    for _ in range(60):
        leader_id, member_id = rng.randint(1, 3), rng.randint(1, 3)
        name = rng.choice(["facts", "revive"])
        apply_entries(leader_id)
        supported = SupportedStates(states[leader_id].states)
        for each, state in states.items():
            supported.record(each, state.states)
        allowed = supported.rejection(name, configuration, leader_id) is None or states[leader_id].has_data(
            name, make_control_plane_states()
        )
        if allowed if gate else name in states[leader_id].states:
            if gate and name not in states[leader_id].active_states:
                entries.append(entry(ACTIVATION_COMMAND, [name]))
            command = SetCommand(f"f{rng.randrange(3)}", b"v") if name == "facts" else REPORT
            entries.append(entry(name, command))
        if rng.random() < 0.5:
            apply_entries(member_id)
        if rng.random() < 0.1:  # upgrade, from its own dump
            restarted = StateMachine(make_control_plane_states())
            restarted.restore(Snapshot(states[member_id].applied, 1, configuration, states[member_id].dump()))
            states[member_id] = restarted
    for member_id in states:
        apply_entries(member_id)
        if "revive" not in states[member_id].states:
            restarted = StateMachine(make_control_plane_states())
            restarted.restore(Snapshot(states[member_id].applied, 1, configuration, states[member_id].dump()))
            states[member_id] = restarted
    return {state.dump() for state in states.values()}


def test_upgrade_in_any_order_converges_and_diverges_without_the_gate():
    assert all(len(dumps_after_upgrade(seed)) == 1 for seed in range(200))
    assert any(len(dumps_after_upgrade(seed, gate=False)) > 1 for seed in range(20))


def test_greeting_frames_are_compatible_with_versions_before_states():
    class Greeting(msgspec.Struct, frozen=True, array_like=True, tag=1):
        format: int
        configuration: bytes
        name: str
        member_id: int
        to: int
        incarnation: Incarnation
        member: str = ""

    class Greeted(msgspec.Struct, frozen=True, array_like=True, tag=2):
        welcome: int
        configuration: bytes
        member_id: int
        member: str
        incarnation: Incarnation

    incarnation = Incarnation(1, 2)
    new = [
        frames.Greeting(1, b"m", "g", 3, 4, incarnation, "v", ("a", "b")),
        frames.GreetingResponse(1, b"m", 3, "v", incarnation, ("a",)),
    ]
    old = [Greeting(1, b"m", "g", 3, 4, incarnation, "v"), Greeted(1, b"m", 3, "v", incarnation)]
    for now, before in zip(new, old, strict=True):
        assert msgspec.msgpack.decode(frames.encode(now), type=Greeting | Greeted) == before
        read = frames.decode_frame(frames.encode(before))
        assert read.supported_states is None
        assert read == msgspec.structs.replace(now, supported_states=None)
