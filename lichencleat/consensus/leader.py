"""The state of a leader: progress of followers, pending proposals and reads, leadership transfer. No I/O.

`LeaderState` is created when an election is won and dropped when leadership ends, so it never holds state of
an earlier term. A read round is a round of heartbeats to the voters. Answers from a majority of the voters
prove that this member was still the leader when the round began; the leader may then serve the reads that
arrived before the round began.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from lichencleat.consensus.configuration import has_majority, quorum_value
from lichencleat.consensus.messages import NO_MEMBER, RequestContext
from lichencleat.consensus.progress import Progress
from lichencleat.transport.outcomes import RejectReason

# Proposals that are not committed yet: some MB, and at most a second's work of a slow cluster.
MAX_PENDING_PROPOSALS = 4_096
MAX_PENDING_READS = 4_096  # reads that wait until heartbeats confirm that this member still leads


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A read that waits until heartbeats confirm that this member still led after the read arrived."""

    context: RequestContext
    index: int  # the read index: the commit index when the read arrived
    read_round: int  # number of the read round that must be confirmed


@dataclass(frozen=True, slots=True)
class LeadershipTransfer:
    """A leadership transfer in progress."""

    target: int  # member id
    deadline: int  # time in µs at which the transfer is abandoned


class LeaderState:
    """The state that a node holds while it is the leader."""

    def __init__(self, member_id: int, first_index: int) -> None:
        """Start without followers.

        `first_index` is the index of the term's first entry. Until that entry is committed, the commit index
        may be too low.
        """
        self.member_id = member_id
        self.first_index = first_index
        self.progress: dict[int, Progress] = {}
        self.pending_sends: dict[int, None] = {}  # member ids of followers that may need a message, in order
        self.pending_proposals: dict[int, RequestContext] = {}  # contexts by index of the proposal's entry
        self.pending_reads: list[PendingRead] = []
        self.read_round = 0  # number of the last read round begun; heartbeats carry the number
        self.confirmed_round = 0  # number of the last read round that a majority of the voters answered
        self.transfer: LeadershipTransfer | None = None

    def update_members(self, member_ids: Iterable[int], next_index: int, now: int) -> None:
        """Replicate to exactly these members; new members are probed from `next_index` on."""
        followers = set(member_ids) - {self.member_id}
        for removed in set(self.progress) - followers:
            del self.progress[removed]
            self.pending_sends.pop(removed, None)
        for added in sorted(followers - set(self.progress)):
            self.progress[added] = Progress(next_index, now)
            self.pending_sends[added] = None

    def schedule_all(self) -> None:
        """Record that each follower may need a message."""
        self.pending_sends = dict.fromkeys(self.progress)

    def quorum_match_index(self, voters: frozenset[int], own_durable_index: int) -> int:
        """Return the highest index up to which a majority of the voters has durable entries."""
        return quorum_value(
            voters, lambda each: own_durable_index if each == self.member_id else self.match_index(each)
        )

    def match_index(self, member_id: int) -> int:
        """Return the index up to which a member's durable log is known to match, 0 if nothing is known."""
        progress = self.progress.get(member_id)
        return progress.match_index if progress else 0

    def responsive_members(self, since: int) -> set[int]:
        """Return the members that responded after the time `since` (µs), including this leader."""
        followers = (member_id for member_id, each in self.progress.items() if each.last_response_at > since)
        return {self.member_id, *followers}

    def has_quorum_contact(self, voters: frozenset[int], since: int) -> bool:
        """Return whether a majority of the voters responded after the time `since` (µs)."""
        return has_majority(voters, self.responsive_members(since))

    # -- reads: confirmed by heartbeats, as the state of a replaced leader is stale (thesis 6.4) -------

    def add_read(self, context: RequestContext, index: int) -> RejectReason | None:
        """Add a read with the read index `index`; return why it is rejected, None if it is accepted.

        The next read round must confirm the read, as an earlier round may have begun before the read arrived.
        """
        if len(self.pending_reads) >= MAX_PENDING_READS:
            return RejectReason.TOO_MANY_PROPOSALS
        self.pending_reads.append(PendingRead(context, index, self.read_round + 1))
        return None

    def begin_read_round(self) -> bool:
        """Begin a read round if reads wait and no round is in progress; return whether a round was begun."""
        if self.pending_reads and self.confirmed_round == self.read_round:
            self.read_round += 1
            return True
        return False

    def update_confirmed_round(self, voters: frozenset[int]) -> None:
        """Update the last read round that a majority of the voters has answered."""
        confirmed = quorum_value(
            voters, lambda each: self.read_round if each == self.member_id else self.read_round_of(each)
        )
        self.confirmed_round = max(self.confirmed_round, confirmed)

    def read_round_of(self, member_id: int) -> int:
        """Return the number of the last read round that a follower answered, 0 if there is none."""
        progress = self.progress.get(member_id)
        return progress.read_round if progress else 0

    def take_confirmed_reads(self) -> Iterator[PendingRead]:
        """Remove and yield the reads whose round is confirmed."""
        while self.pending_reads and self.pending_reads[0].read_round <= self.confirmed_round:
            yield self.pending_reads.pop(0)

    # -- leadership transfer -------------------------------------------------------------------------

    def ready_transfer_target(self, last_index: int) -> int:
        """Return the target of the leadership transfer if its log has all entries, otherwise NO_MEMBER."""
        if self.transfer and self.match_index(self.transfer.target) >= last_index:
            return self.transfer.target
        return NO_MEMBER
