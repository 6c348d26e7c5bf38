"""Members of several versions: a part is decided on once all know it, and by nobody who does not."""

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

GROUP = Configuration(tuple(Member(seat, f"v{seat}", "h", seat) for seat in range(1, 7)))
REPORT = NodeReport("n1", "x", 1, True, 0, 1, True, True, 0.5)


def entry(name, what, session=0):
    return Entry(1, EntryType.COMMAND, encode_command(name, what), session, 1)


def older(without="revive"):
    return StateMachine({name: part for name, part in make_control_plane_states().items() if name != without})


def test_a_leader_decides_on_a_part_once_each_member_has_said_that_it_knows_it():
    known = SupportedStates(["facts", "new"])
    said = known.rejection("other", GROUP, 1)
    assert said == "the leader does not know 'other': it is another group's, or of a later version"
    for seat in (2, 3):
        known.record(seat, ["facts", "new"])
    said = known.rejection("new", GROUP, 1)
    assert said == "not all members have said that they know 'new': v4, v5, v6" and MAX_NAMED_MEMBERS == 3
    known.record(4, None)  # of a version that does not say: it knows what there was
    known.record(5, ["facts"])
    known.record(6, ["facts", "new"])
    assert known.rejection("new", GROUP, 1).endswith(": v4, v5")
    assert known.rejection("facts", GROUP, 1) is None
    for seat in (4, 5):
        known.record(seat, ["facts", "new"])
    assert known.rejection("new", GROUP, 1) is None
    known.record(5, ["facts"])  # put back to an older one: the last word counts
    assert known.rejection("new", GROUP, 1).endswith(": v5")


def test_what_a_version_knew_that_does_not_say_is_what_there_is_today():
    assert {*make_control_plane_states(), *make_config_distribution_states()} == LEGACY_STATES


def test_members_that_said_something_are_bounded_and_the_one_heard_least_lately_goes():
    known = SupportedStates(["new"])
    for seat in range(1, MAX_TRACKED_MEMBERS + 2):
        known.record(seat, ["new"])
        known.record(2, ["new"])
    assert len(known.by_member) == MAX_TRACKED_MEMBERS and 1 not in known.by_member and 2 in known.by_member


def test_a_member_without_the_part_stops_at_the_word_that_it_is_used_and_changes_nothing():
    state = older()
    state.apply(1, entry(ACTIVATION_COMMAND, ["owners"]))
    assert state.active_states == {"owners"}
    with pytest.raises(UnknownStateError, match="decides on revive, which this version does not know"):
        state.apply(2, entry(ACTIVATION_COMMAND, ["revive"]))
    assert state.active_states == {"owners"}


def test_a_member_without_the_part_does_not_go_on_from_a_snapshot_in_which_it_is_used():
    newer = StateMachine(make_control_plane_states())
    newer.apply(1, entry("revive", REPORT))
    older().restore(Snapshot(1, 1, GROUP, newer.dump()))  # as landed versions wrote it: nothing says so
    newer.apply(2, entry(ACTIVATION_COMMAND, ["revive"]))
    state = older()
    with pytest.raises(UnknownStateError):
        state.restore(Snapshot(2, 1, GROUP, newer.dump()))
    again = StateMachine(make_control_plane_states())
    again.restore(Snapshot(2, 1, GROUP, newer.dump()))
    assert again.dump() == newer.dump() and again.active_states == {"revive"}


def test_a_dump_of_a_version_before_that_is_read_and_one_of_now_by_such_a_version():
    class Before(msgspec.Struct, array_like=True):
        sessions: list
        parts: dict

    state = StateMachine(make_control_plane_states())
    state.apply(1, entry("facts", SetCommand("f", b"v")))
    state.apply(2, entry(ACTIVATION_COMMAND, ["facts"]))
    found = msgspec.msgpack.decode(state.dump(), type=Before)
    again = StateMachine(make_control_plane_states())
    again.restore(Snapshot(2, 1, GROUP, msgspec.msgpack.encode(found)))
    assert again.read("facts", "f").value == b"v" and not again.active_states
    assert again.has_data("facts", make_control_plane_states()) and not again.has_data(
        "revive", make_control_plane_states()
    )
    assert not again.has_data("nothing", make_control_plane_states())


@pytest.mark.parametrize("what", [["nothing known"], "no list", [1], None])
def test_no_client_s_command_says_what_is_used(what):
    state = StateMachine({"facts": KeyValueState()})
    state.apply(1, Entry(1, EntryType.SESSION))
    before = state.active_states.copy()
    state.apply(2, entry(ACTIVATION_COMMAND, what, session=1))
    assert state.active_states == before
    if what != ["nothing known"]:  # nor does an entry that can't be read stop anyone
        state.apply(3, entry(ACTIVATION_COMMAND, what))
        assert state.active_states == before


def upgraded(seed, gate=True):
    """Dumps of three members of a version without `revive`, put up one by one from their own dumps, while a
    leader lets in what the rules allow; without the `gate`, whatever it knows itself.
    """
    rng = random.Random(f"upgrade {seed}")
    group = Configuration(GROUP.members[:3])
    states = {seat: older() for seat in (1, 2, 3)}
    entries = []

    def applies(seat):
        for index in range(states[seat].applied + 1, len(entries) + 1):
            states[seat].apply(index, entries[index - 1])

    for _ in range(60):
        leader, seat = rng.randint(1, 3), rng.randint(1, 3)
        name = rng.choice(["facts", "revive"])
        applies(leader)
        known = SupportedStates(states[leader].states)
        for each, state in states.items():
            known.record(each, state.states)
        allowed = known.rejection(name, group, leader) is None or states[leader].has_data(
            name, make_control_plane_states()
        )
        if allowed if gate else name in states[leader].states:
            if gate and name not in states[leader].active_states:
                entries.append(entry(ACTIVATION_COMMAND, [name]))
            what = SetCommand(f"f{rng.randrange(3)}", b"v") if name == "facts" else REPORT
            entries.append(entry(name, what))
        if rng.random() < 0.5:
            applies(seat)
        if rng.random() < 0.1:  # put up, from its own dump
            made = StateMachine(make_control_plane_states())
            made.restore(Snapshot(states[seat].applied, 1, group, states[seat].dump()))
            states[seat] = made
    for seat in states:
        applies(seat)
        if "revive" not in states[seat].states:
            made = StateMachine(make_control_plane_states())
            made.restore(Snapshot(states[seat].applied, 1, group, states[seat].dump()))
            states[seat] = made
    return {state.dump() for state in states.values()}


def test_an_upgrade_in_any_order_ends_in_one_state_and_without_the_gate_in_several():
    assert all(len(upgraded(seed)) == 1 for seed in range(200))
    assert any(len(upgraded(seed, gate=False)) > 1 for seed in range(20))


def test_frames_with_the_parts_are_read_by_a_version_before_that_and_the_other_way_round():
    class Greeting(msgspec.Struct, frozen=True, array_like=True, tag=1):
        format: int
        group: bytes
        name: str
        seat: int
        to: int
        life: Incarnation
        member: str = ""

    class Greeted(msgspec.Struct, frozen=True, array_like=True, tag=2):
        welcome: int
        group: bytes
        seat: int
        member: str
        life: Incarnation

    life = Incarnation(1, 2)
    new = [
        frames.Greeting(1, b"m", "g", 3, 4, life, "v", ("a", "b")),
        frames.GreetingResponse(1, b"m", 3, "v", life, ("a",)),
    ]
    old = [Greeting(1, b"m", "g", 3, 4, life, "v"), Greeted(1, b"m", 3, "v", life)]
    for now, before in zip(new, old, strict=True):
        assert msgspec.msgpack.decode(frames.encode(now), type=Greeting | Greeted) == before
        read = frames.decode_frame(frames.encode(before))
        assert read.supported_states is None and read == msgspec.structs.replace(now, supported_states=None)
