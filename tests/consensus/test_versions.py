"""Members of several versions: a part is decided on once all know it, and by nobody who does not."""

import random

import msgspec
import pytest

from lichencleat.consensus import wire
from lichencleat.consensus.facts import Facts, Set
from lichencleat.consensus.parts import BEFORE, NAMED_MOST, TOLD_MOST, USES, Known, UnknownPartError
from lichencleat.consensus.program import distribution_parts, parts
from lichencleat.consensus.seats import Life
from lichencleat.consensus.state import State, command
from lichencleat.consensus.terms import Entry, Group, Member, Snapshot, What
from lichencleat.recovery.messages import NodeReport

GROUP = Group(tuple(Member(seat, f"v{seat}", "h", seat) for seat in range(1, 7)))
REPORT = NodeReport("n1", "x", 1, True, 0, 1, True, True, 0.5)


def entry(name, what, session=0):
    return Entry(1, What.COMMAND, command(name, what), session, 1)


def older(without="revive"):
    return State({name: part for name, part in parts().items() if name != without})


def test_a_leader_decides_on_a_part_once_each_member_has_said_that_it_knows_it():
    known = Known(["facts", "new"])
    said = known.objection("other", GROUP, 1)
    assert said == "the leader does not know 'other': it is another group's, or of a later version"
    for seat in (2, 3):
        known.tells(seat, ["facts", "new"])
    said = known.objection("new", GROUP, 1)
    assert said == "not all members have said that they know 'new': v4, v5, v6" and NAMED_MOST == 3
    known.tells(4, None)  # of a version that does not say: it knows what there was
    known.tells(5, ["facts"])
    known.tells(6, ["facts", "new"])
    assert known.objection("new", GROUP, 1).endswith(": v4, v5")
    assert known.objection("facts", GROUP, 1) is None
    for seat in (4, 5):
        known.tells(seat, ["facts", "new"])
    assert known.objection("new", GROUP, 1) is None
    known.tells(5, ["facts"])  # put back to an older one: the last word counts
    assert known.objection("new", GROUP, 1).endswith(": v5")


def test_what_a_version_knew_that_does_not_say_is_what_there_is_today():
    assert {*parts(), *distribution_parts()} == BEFORE


def test_members_that_said_something_are_bounded_and_the_one_heard_least_lately_goes():
    known = Known(["new"])
    for seat in range(1, TOLD_MOST + 2):
        known.tells(seat, ["new"])
        known.tells(2, ["new"])
    assert len(known.told) == TOLD_MOST and 1 not in known.told and 2 in known.told


def test_a_member_without_the_part_stops_at_the_word_that_it_is_used_and_changes_nothing():
    state = older()
    state.apply(1, entry(USES, ["owners"]))
    assert state.used == {"owners"}
    with pytest.raises(UnknownPartError, match="decides on revive, which this version does not know"):
        state.apply(2, entry(USES, ["revive"]))
    assert state.used == {"owners"}


def test_a_member_without_the_part_does_not_go_on_from_a_snapshot_in_which_it_is_used():
    newer = State(parts())
    newer.apply(1, entry("revive", REPORT))
    older().restore(Snapshot(1, 1, GROUP, newer.dump()))  # as landed versions wrote it: nothing says so
    newer.apply(2, entry(USES, ["revive"]))
    state = older()
    with pytest.raises(UnknownPartError):
        state.restore(Snapshot(2, 1, GROUP, newer.dump()))
    again = State(parts())
    again.restore(Snapshot(2, 1, GROUP, newer.dump()))
    assert again.dump() == newer.dump() and again.used == {"revive"}


def test_a_dump_of_a_version_before_that_is_read_and_one_of_now_by_such_a_version():
    class Before(msgspec.Struct, array_like=True):
        sessions: list
        parts: dict

    state = State(parts())
    state.apply(1, entry("facts", Set("f", b"v")))
    state.apply(2, entry(USES, ["facts"]))
    found = msgspec.msgpack.decode(state.dump(), type=Before)
    again = State(parts())
    again.restore(Snapshot(2, 1, GROUP, msgspec.msgpack.encode(found)))
    assert again.read("facts", "f").value == b"v" and not again.used
    assert again.decided_on("facts", parts()) and not again.decided_on("revive", parts())
    assert not again.decided_on("nothing", parts())


@pytest.mark.parametrize("what", [["nothing known"], "no list", [1], None])
def test_no_client_s_command_says_what_is_used(what):
    state = State({"facts": Facts()})
    state.apply(1, Entry(1, What.SESSION))
    before = state.used.copy()
    state.apply(2, entry(USES, what, session=1))
    assert state.used == before
    if what != ["nothing known"]:  # nor does an entry that can't be read stop anyone
        state.apply(3, entry(USES, what))
        assert state.used == before


def upgraded(seed, gate=True):
    """Dumps of three members of a version without `revive`, put up one by one from their own dumps, while a
    leader lets in what the rules allow; without the `gate`, whatever it knows itself.
    """
    rng = random.Random(f"upgrade {seed}")
    group = Group(GROUP.members[:3])
    states = {seat: older() for seat in (1, 2, 3)}
    entries = []

    def applies(seat):
        for index in range(states[seat].applied + 1, len(entries) + 1):
            states[seat].apply(index, entries[index - 1])

    for _ in range(60):
        leader, seat = rng.randint(1, 3), rng.randint(1, 3)
        name = rng.choice(["facts", "revive"])
        applies(leader)
        known = Known(states[leader].parts)
        for each, state in states.items():
            known.tells(each, state.parts)
        allowed = known.objection(name, group, leader) is None or states[leader].decided_on(name, parts())
        if allowed if gate else name in states[leader].parts:
            if gate and name not in states[leader].used:
                entries.append(entry(USES, [name]))
            what = Set(f"f{rng.randrange(3)}", b"v") if name == "facts" else REPORT
            entries.append(entry(name, what))
        if rng.random() < 0.5:
            applies(seat)
        if rng.random() < 0.1:  # put up, from its own dump
            made = State(parts())
            made.restore(Snapshot(states[seat].applied, 1, group, states[seat].dump()))
            states[seat] = made
    for seat in states:
        applies(seat)
        if "revive" not in states[seat].parts:
            made = State(parts())
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
        life: Life
        member: str = ""

    class Greeted(msgspec.Struct, frozen=True, array_like=True, tag=2):
        welcome: int
        group: bytes
        seat: int
        member: str
        life: Life

    life = Life(1, 2)
    new = [
        wire.Greeting(1, b"m", "g", 3, 4, life, "v", ("a", "b")),
        wire.Greeted(1, b"m", 3, "v", life, ("a",)),
    ]
    old = [Greeting(1, b"m", "g", 3, 4, life, "v"), Greeted(1, b"m", 3, "v", life)]
    for now, before in zip(new, old, strict=True):
        assert msgspec.msgpack.decode(wire.encode(now), type=Greeting | Greeted) == before
        read = wire.decode_frame(wire.encode(before))
        assert read.parts is None and read == msgspec.structs.replace(now, parts=None)
