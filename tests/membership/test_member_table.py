"""The member table, driven by direct calls."""

import itertools

from membership.updates import update

from lichencleat.membership.member_table import MAX_MEMBERS, MemberTable
from lichencleat.membership.messages import MemberState


def test_member_table_is_the_same_for_updates_in_any_order():
    updates = [update("a", state, n) for state in MemberState for n in (1, 2)]
    results = set()
    for order in itertools.islice(itertools.permutations(updates), 0, 40_000, 97):
        table = MemberTable()
        for each in (*order, *order[:3]):
            table.apply(0, each)
        results.add(table.digest())
    assert len(results) == 1


def test_member_table_is_bounded_and_rejects_unknown_states():
    table = MemberTable()
    for number in range(MAX_MEMBERS + 50):
        table.apply(0, update(f"n{number}"))
    assert len(table.members) == MAX_MEMBERS
    assert not MemberTable().apply(0, update("a", 9))


def test_member_table_forgets_only_dead_members():
    table = MemberTable()
    table.apply(0, update("a"))
    table.apply(0, update("b", MemberState.DEAD))
    assert (
        table.forget_dead(9, 10) == [] and table.forget_dead(10, 10) == ["b"] and list(table.members) == ["a"]
    )
