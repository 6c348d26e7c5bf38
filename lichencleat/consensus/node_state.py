"""State that a member has in every role: term, vote, log, outgoing messages, pending actions. No I/O."""

from __future__ import annotations

import random
from collections import deque
from typing import NamedTuple

from lichencleat.consensus.leader import LeaderState
from lichencleat.consensus.messages import (
    NO_MEMBER,
    Action,
    ActionType,
    Configuration,
    DurableState,
    Message,
    MessageType,
    RequestContext,
    Snapshot,
    Timeouts,
)
from lichencleat.consensus.pending_writes import PendingWrites
from lichencleat.consensus.raft_log import RaftLog
from lichencleat.consensus.role import Role
from lichencleat.consensus.snapshot_receiver import SnapshotReceiver
from lichencleat.transport.outcomes import RejectReason

DISTANT_PAST_US = -(1 << 62)  # earlier than any reading of the clock
# The random part of the election timeout doubles with each failed election, at most this many times. Without
# the doubling, two candidates whose flushes take as long as the initial jitter would split the votes
# repeatedly.
MAX_JITTER_DOUBLINGS = 3
EMPTY_SNAPSHOT = Snapshot(0, 0, Configuration(()), b"")  # snapshot of a member that has not joined a cluster


class OutgoingMessage(NamedTuple):
    """A message and the number of the write that must be durable before the message is sent."""

    required_write: int
    message: Message


class NodeState:
    """The state of a member and the transitions that all roles share.

    `Follower`, `Replicator` and `Elector` each add a part of the protocol; `RaftNode` is the complete node.
    """

    def __init__(
        self, member_id: int, durable: DurableState, timeouts: Timeouts, rng: random.Random, now: int
    ) -> None:
        """`durable` is the flushed state on the disk; `now` is in µs of the member's monotonic clock."""
        self.member_id = member_id
        self.timeouts = timeouts
        self.rng = rng
        self._restore(durable)
        self._reset_role()
        self.snapshot_receiver = SnapshotReceiver()
        # By entry index: contexts of committed proposals that this member accepted before it lost leadership.
        self.committed_contexts: dict[int, RequestContext] = {}
        self.outbox: deque[OutgoingMessage] = deque()
        self.pending_actions: deque[Action] = deque()
        if self.log.snapshot_index:
            self.pending_actions.append(Action(ActionType.RESTORE_SNAPSHOT, snapshot=self.log.snapshot))
        self.reset_election_timer(now)

    def _restore(self, durable: DurableState) -> None:
        self.term = durable.term
        self.vote = durable.vote
        self.log = RaftLog(durable.snapshot or EMPTY_SNAPSHOT, durable.entries)
        self.writes = PendingWrites(self.log)
        self.voters = self.log.configuration.voter_ids()
        self.commit_index = self.log.snapshot_index
        # Entries up to this index were handed out to the host to be applied.
        self.delivered_index = self.log.snapshot_index

    def _reset_role(self) -> None:
        self.role = Role.FOLLOWER
        self.leader_id = NO_MEMBER
        self.leader_state: LeaderState | None = None
        self.votes_received: frozenset[int] = frozenset()
        self.last_leader_contact_at = DISTANT_PAST_US  # time in µs of the leader's last message
        self.election_due_at = 0  # time in µs at which this member starts an election
        self.failed_campaigns = 0  # campaigns without success since the last contact with a leader
        self.heartbeat_due_at = 0  # time in µs at which this leader sends the next heartbeats
        self.heartbeat_count = 0
        self.matched_index = 0  # the log is known to match the leader's up to this index

    # -- roles ---------------------------------------------------------------------------------------

    def has_live_leader(self, now: int) -> bool:
        """Return whether this member leads or was in contact with a leader within the election timeout."""
        if self.role is Role.LEADER:
            return True
        return (
            self.leader_id != NO_MEMBER
            and now - self.last_leader_contact_at < self.timeouts.election_timeout_us
        )

    def reset_election_timer(self, now: int) -> None:
        """Restart the election timeout; its length is random, so that two members seldom campaign at once."""
        jitter_us = self.timeouts.election_jitter_us << min(self.failed_campaigns, MAX_JITTER_DOUBLINGS)
        self.election_due_at = now + self.timeouts.election_timeout_us + self.rng.randrange(jitter_us)

    def become_follower(self, now: int, term: int, leader_id: int = NO_MEMBER) -> None:
        """Follow `leader_id` in `term`; if this member leads, it steps down."""
        if term > self.term:
            self.term = term
            self.vote = NO_MEMBER
            self.writes.mark_term_changed()
        if leader_id != self.leader_id or self.role is not Role.FOLLOWER:
            self.matched_index = 0
            self.snapshot_receiver.clear()
        self.abandon_leadership()
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        self.reset_election_timer(now)

    def abandon_leadership(self) -> None:
        """Drop the leader's state; reject pending requests, except proposals whose entry is committed."""
        leader_state = self.leader_state
        self.leader_state = None
        if leader_state is None:
            return
        for index, context in leader_state.pending_proposals.items():
            if index <= self.commit_index:
                self.committed_contexts[index] = context  # answered when the entry is applied
            else:
                self.reject(context, RejectReason.LEADERSHIP_LOST)
        for read in leader_state.pending_reads:
            self.reject(read.context, RejectReason.NOT_LEADER)

    def apply_configuration(self, now: int) -> None:
        """Use the latest configuration in the log, committed or not."""
        self.voters = self.log.configuration.voter_ids()
        if self.leader_state is not None:
            self.leader_state.update_members(self.log.configuration.member_ids(), self.log.last_index, now)

    def halt(self, reason: str) -> None:
        """Stop participating: send and write nothing more, and have the host end the process."""
        if self.role is Role.HALTED:
            return
        self.abandon_leadership()
        self.role = Role.HALTED
        self.outbox.clear()
        self.writes.is_dirty = False
        self.pending_actions.append(Action(ActionType.HALT, reason=reason))

    def on_disk_failed(self, reason: str) -> None:
        """Halt, because state that this member reported as durable may be lost."""
        self.halt(f"the disk failed: {reason}")

    # -- output --------------------------------------------------------------------------------------

    def reject(self, context: RequestContext, reason: RejectReason) -> None:
        """Reject a proposal or read."""
        self.pending_actions.append(Action(ActionType.REJECT, context=context, reason=reason))

    def make_message(self, message_type: MessageType, recipient: int) -> Message:
        """Return a message of this term; the caller sets the fields that its type needs."""
        return Message(message_type, self.term, self.member_id, recipient)

    def enqueue_message(self, message: Message) -> None:
        """Queue the message; it is sent once the current term and vote are durable."""
        self.outbox.append(OutgoingMessage(self.writes.required_for_term(), message))
