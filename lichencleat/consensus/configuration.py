"""Quorums and the rules for changes of the cluster configuration (Ongaro's thesis, chapter 4). No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from lichencleat.consensus.messages import Configuration, Member
from lichencleat.transport.outcomes import RejectReason

# Each commit waits for a majority of the voters. Five voters already tolerate the loss of two.
MAX_VOTERS = 7
MAX_MEMBERS = 512  # voters and learners together, as the leader replicates to each of them


def has_majority(voters: frozenset[int], members: Iterable[int]) -> bool:
    """Return whether `members` contains a majority of `voters`."""
    return 2 * len(voters.intersection(members)) > len(voters)


def quorum_value(voters: frozenset[int], value_of: Callable[[int], int]) -> int:
    """Return the highest value that a majority of the voters has reached, or 0 if there are no voters."""
    if not voters:
        return 0
    values = sorted((value_of(each) for each in voters), reverse=True)
    return values[len(values) // 2]


def with_member(configuration: Configuration, member: Member) -> Configuration:
    """Return the configuration with `member` added, or with its voting right or address updated."""
    others = (each for each in configuration.members if each.member_id != member.member_id)
    return Configuration((*others, member))


def without_member(configuration: Configuration, member_id: int) -> Configuration:
    """Return the configuration without the member `member_id`."""
    return Configuration(tuple(each for each in configuration.members if each.member_id != member_id))


def change_rejection(old: Configuration, new: Configuration) -> RejectReason | None:
    """Return why the change from `old` to `new` is not allowed, or None if it is allowed.

    If two configurations differ by one voter, any majority of one configuration shares a voter with any
    majority of the other. If they differ by more voters, two majorities without a common voter may exist.
    """
    if not _is_well_formed(new):
        return RejectReason.INVALID_REQUEST
    if not new.voter_ids():
        return RejectReason.LAST_VOTER
    is_too_large = len(new.voter_ids()) > MAX_VOTERS or len(new.members) > MAX_MEMBERS
    changed_votes = len(old.voter_ids() ^ new.voter_ids())
    changed_members = len(old.member_ids() ^ new.member_ids())
    if is_too_large or changed_votes > 1 or changed_members > 1:
        return RejectReason.INVALID_REQUEST
    return None


def _is_well_formed(configuration: Configuration) -> bool:
    """Return whether all ids and names are unique and no id is 0."""
    ids = [each.member_id for each in configuration.members]
    names = [each.name for each in configuration.members]
    return len(set(ids)) == len(ids) and len(set(names)) == len(names) and all(ids)
