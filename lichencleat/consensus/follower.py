"""What every member of the group does, leader or not: follows, writes, speaks, leaves; no I/O."""

from __future__ import annotations

import random
from collections import deque
from typing import Any

from lichencleat.consensus.leader import LeaderState
from lichencleat.consensus.messages import (
    NO_MEMBER,
    Action,
    ActionType,
    Configuration,
    DurableState,
    Message,
    MessageType,
    Snapshot,
    Timeouts,
)
from lichencleat.consensus.pending_writes import PendingWrites
from lichencleat.consensus.raft_log import RaftLog
from lichencleat.consensus.role import Role
from lichencleat.consensus.snapshot_receiver import SnapshotReceiver
from lichencleat.transport.outcomes import RejectReason

DISTANT_PAST_US = -(1 << 62)  # µs: before any clock
# doublings of what is drawn on top of an election's time, one a failed election: where a flush takes as long
# as the
# usual spread, two that stand at once would stand at once again and again
MAX_JITTER_DOUBLINGS = 3
EMPTY_SNAPSHOT = Snapshot(0, 0, Configuration(()), b"")  # of a member that has heard of no group yet


class Follower:
    """Holds its state; `voter.Voter` adds elections and leading."""

    def __init__(
        self, seat: int, durable: DurableState, times: Timeouts, rng: random.Random, now: int
    ) -> None:
        """`durable`: what its disk holds, all of it confirmed; `now`: µs of its monotonic clock."""
        self.member_id, self.timeouts, self.rng = seat, times, rng
        self.term, self.vote = durable.term, durable.vote
        self.log = RaftLog(durable.snapshot or EMPTY_SNAPSHOT, durable.entries)
        self.voters = self.log.configuration.voter_ids()
        self.role = Role.FOLLOWER
        self.leader_id = NO_MEMBER
        self.leader_state: LeaderState | None = None
        self.votes_received: frozenset[int] = frozenset()
        self.commit_index = self.delivered_index = (
            self.log.snapshot_index
        )  # committed; given to the host to apply
        self.leader_heard_at = DISTANT_PAST_US  # µs: the leader's last word
        self.election_due_at = 0
        self.failed_campaigns = (
            0  # elections asked for since a leader was heard: none of them came to anything
        )
        self.heartbeat_due_at = 0
        self.heartbeat_count = 0
        self.matched_index = 0  # the log agrees with this leader's up to here
        self.snapshot_receiver = SnapshotReceiver()
        self.writes = PendingWrites(self.log)
        self.committed_contexts: dict[int, Any] = {}  # of committed entries, from a leadership that is over
        self.outbox: deque[tuple[int, Message]] = deque()  # with the save that must be confirmed before
        self.pending_actions: deque[Action] = deque()
        if self.log.snapshot_index:
            self.pending_actions.append(Action(ActionType.RESTORE_SNAPSHOT, snapshot=self.log.snapshot))
        self.reset_election_timer(now)

    def has_live_leader(self, now: int) -> bool:
        if self.role is Role.LEADER:
            return True
        return self.leader_id != NO_MEMBER and now - self.leader_heard_at < self.timeouts.election_timeout_us

    def reset_election_timer(self, now: int) -> None:
        """No election for a while; how long is drawn, so that two seldom stand at once."""
        spread = self.timeouts.election_jitter_us << min(self.failed_campaigns, MAX_JITTER_DOUBLINGS)
        self.election_due_at = now + self.timeouts.election_timeout_us + self.rng.randrange(spread)

    def abandon_leadership(self) -> None:
        lead, self.leader_state = self.leader_state, None
        if lead is not None:
            for index, ticket in lead.pending_proposals.items():
                if index <= self.commit_index:
                    self.committed_contexts[index] = ticket  # told when it is applied
                else:
                    self.reject(ticket, RejectReason.LEADERSHIP_LOST)
            for ticket, _, _ in lead.pending_reads:
                self.reject(ticket, RejectReason.NOT_LEADER)

    def reject(self, ticket: Any, reason: RejectReason) -> None:
        self.pending_actions.append(Action(ActionType.REJECT, context=ticket, reason=reason))

    def become_follower(self, now: int, term: int, leader: int = NO_MEMBER) -> None:
        if term > self.term:
            self.term, self.vote = term, NO_MEMBER
            self.writes.mark_term_changed()
        if leader != self.leader_id or self.role is not Role.FOLLOWER:
            self.matched_index = 0
            self.snapshot_receiver.clear()
        self.abandon_leadership()
        self.role, self.leader_id = Role.FOLLOWER, leader
        self.reset_election_timer(now)

    # -- writing and speaking ------------------------------------------------------------------------

    def send(self, kind: MessageType, to: int, **what: Any) -> None:
        term = what.pop("term", self.term)
        self.enqueue_message(Message(kind, term, self.member_id, to, **what))

    def enqueue_message(self, message: Message) -> None:
        """Goes out once the term and the vote that it rests on are on the disk."""
        self.outbox.append((self.writes.required_for_term(), message))

    def on_disk_failed(self, reason: str) -> None:
        """A write or flush failed: what this member has said it holds it may not hold. It leaves rather than
        lie.
        """
        self.halt(f"the disk failed: {reason}")

    def halt(self, reason: str) -> None:
        if self.role is not Role.HALTED:
            self.abandon_leadership()
            self.role = Role.HALTED
            self.outbox.clear()
            self.writes.is_dirty = False
            self.pending_actions.append(Action(ActionType.HALT, reason=reason))

    # -- following -----------------------------------------------------------------------------------

    def on_leader_contact(self, now: int, leader: int) -> None:
        self.failed_campaigns = 0
        if self.role is not Role.FOLLOWER or self.leader_id != leader:
            self.become_follower(now, self.term, leader)
        self.leader_heard_at = now
        self.reset_election_timer(now)

    def send_append_response(self, leader: int, round_: int) -> None:
        self.send(
            MessageType.APPEND_RESPONSE,
            leader,
            index=min(self.matched_index, self.writes.durable_index),
            read_round=round_,
            granted=True,
        )

    def on_append(self, now: int, m: Message) -> None:
        self.on_leader_contact(now, m.sender)
        entries, index, past, new = self.log, m.index, m.log_term, m.entries
        if index < entries.snapshot_index:  # what the snapshot stands for is committed: there the logs agree
            new = new[entries.snapshot_index - index :]
            index, past = entries.snapshot_index, entries.snapshot.term
        if entries.term_at(index) != past:
            hint = (
                entries.last_index if index > entries.last_index else entries.first_index_of_term(index) - 1
            )
            self.send(
                MessageType.APPEND_RESPONSE,
                m.sender,
                index=max(hint, self.commit_index),
                offset=m.index,
                read_round=m.read_round,
            )
            return
        for at, entry in enumerate(new, index + 1):
            known = entries.term_at(at)
            if known == entry.term:
                continue  # the same entry: a message that is late must not cut what came after it
            if known is not None and not self.truncate_log(at):
                return
            entries.append(new[at - index - 1 :])
            self.writes.mark_appended()
            self.apply_configuration(now)
            break
        match = index + len(new)
        self.matched_index = max(self.matched_index, match)
        self.commit_index = max(self.commit_index, min(m.commit, match))
        self.send_append_response(m.sender, m.read_round)

    def truncate_log(self, index: int) -> bool:
        if index <= self.commit_index:
            self.halt(
                f"entry {index} is committed here and another is sent for it: a disk has lost what it held"
            )
            return False
        self.log.truncate_from(index)
        self.writes.mark_truncated(index)
        return True

    def on_snapshot_chunk(self, now: int, m: Message) -> None:
        self.on_leader_contact(now, m.sender)
        if m.index > self.commit_index:
            taken = self.snapshot_receiver.add_chunk(m)
            if isinstance(taken, int):
                self.send(MessageType.SNAPSHOT_RESPONSE, m.sender, index=m.index, offset=taken)
                return
            self.install_snapshot(now, taken)
        self.matched_index = max(self.matched_index, self.commit_index)
        self.send_append_response(m.sender, m.read_round)

    def install_snapshot(self, now: int, snapshot: Snapshot) -> None:
        if self.log.term_at(snapshot.index) == snapshot.term:
            self.log.compact(snapshot)
            self.writes.mark_compacted(snapshot.index)
        else:  # what stands behind it here was never committed
            self.log = RaftLog(snapshot)
            self.writes.mark_replaced(snapshot.index)
        for ticket in self.committed_contexts.values():
            self.reject(ticket, RejectReason.LEADERSHIP_LOST)
        self.committed_contexts = {}
        self.commit_index = self.delivered_index = snapshot.index
        self.pending_actions.append(Action(ActionType.RESTORE_SNAPSHOT, snapshot=snapshot))
        self.apply_configuration(now)

    def apply_configuration(self, now: int) -> None:
        """The group that stands last in the log holds, committed or not."""
        self.voters = self.log.configuration.voter_ids()
        if self.leader_state is not None:
            self.leader_state.update_members(self.log.configuration.member_ids(), self.log.last_index, now)
