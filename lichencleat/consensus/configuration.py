"""Who counts: majorities, and which change of members may be made; no I/O. Ongaro's thesis, chapter 4."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from lichencleat.consensus.messages import Configuration, Member, RejectReason

MAX_VOTERS = 7  # each more is waited for by every commit; five bear the loss of two
MAX_MEMBERS = 512  # learners included: the leader feeds each one


def has_majority(voters: frozenset[int], those: Iterable[int]) -> bool:
    return 2 * len(voters.intersection(those)) > len(voters)


def quorum_value(voters: frozenset[int], reached: Callable[[int], int]) -> int:
    """The highest value that a majority of the voters has reached; `reached` tells each one's."""
    if not voters:
        return 0
    values = sorted((reached(each) for each in voters), reverse=True)
    return values[len(values) // 2]


def with_member(group: Configuration, member: Member) -> Configuration:
    """The group with that member added, or with its new vote or address."""
    return Configuration((*(each for each in group.members if each.member_id != member.member_id), member))


def without_member(group: Configuration, seat: int) -> Configuration:
    return Configuration(tuple(each for each in group.members if each.member_id != seat))


def change_rejection(old: Configuration, new: Configuration) -> RejectReason | None:
    """Why the step may not be made, if so: majorities of groups that differ by one vote share a voter."""
    seats = [each.member_id for each in new.members]
    names = [each.name for each in new.members]
    if len(set(seats)) < len(seats) or len(set(names)) < len(names) or not all(seats):
        return RejectReason.INVALID_REQUEST
    if not new.voter_ids():
        return RejectReason.LAST_VOTER
    many = len(new.voter_ids()) > MAX_VOTERS or len(seats) > MAX_MEMBERS
    steps = len(old.voter_ids() ^ new.voter_ids())
    if many or steps > 1 or len(old.member_ids() ^ new.member_ids()) > 1:
        return RejectReason.INVALID_REQUEST
    return None
