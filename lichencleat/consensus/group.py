"""Who counts: majorities, and which change of members may be made; no I/O. Ongaro's thesis, chapter 4."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from lichencleat.consensus.terms import Group, Member, Reason

VOTERS_MOST = 7  # each more is waited for by every commit; five bear the loss of two
MEMBERS_MOST = 512  # learners included: the leader feeds each one


def has_majority(voters: frozenset[int], those: Iterable[int]) -> bool:
    return 2 * len(voters.intersection(those)) > len(voters)


def agreed(voters: frozenset[int], reached: Callable[[int], int]) -> int:
    """The highest value that a majority of the voters has reached; `reached` tells each one's."""
    if not voters:
        return 0
    values = sorted((reached(each) for each in voters), reverse=True)
    return values[len(values) // 2]


def changed(group: Group, member: Member) -> Group:
    """The group with that member added, or with its new vote or address."""
    return Group((*(each for each in group.members if each.seat != member.seat), member))


def without(group: Group, seat: int) -> Group:
    return Group(tuple(each for each in group.members if each.seat != seat))


def objection(old: Group, new: Group) -> Reason | None:
    """Why the step may not be made, if so: majorities of groups that differ by one vote share a voter."""
    seats = [each.seat for each in new.members]
    names = [each.name for each in new.members]
    if len(set(seats)) < len(seats) or len(set(names)) < len(names) or not all(seats):
        return Reason.UNFIT
    if not new.voters():
        return Reason.LAST
    many = len(new.voters()) > VOTERS_MOST or len(seats) > MEMBERS_MOST
    steps = len(old.voters() ^ new.voters())
    if many or steps > 1 or len(old.seats() ^ new.seats()) > 1:
        return Reason.UNFIT
    return None
