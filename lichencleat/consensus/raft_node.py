"""One member of the group: who leads, what is committed, what is written and said when; no I/O.

Inputs only update what is known: `hears`, `wakes`, `saved`, `propose`, `read`, `change`, `transfer`,
`compact`. After each lot of them the host pulls decisions with `next_decision` until there is none, and
carries them out in that order. What a message rests on is on the disk before it is given out: a message of a
term goes out once the term and vote are saved, and what a member says of its log is what is saved of it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lichencleat.consensus import configuration as configurations
from lichencleat.consensus.follower import Follower
from lichencleat.consensus.leader import MAX_PENDING_PROPOSALS, LeaderState
from lichencleat.consensus.messages import (
    NO_MEMBER,
    Action,
    ActionType,
    Configuration,
    Entry,
    EntryType,
    Message,
    MessageType,
    Snapshot,
)
from lichencleat.consensus.raft_log import encode_configuration
from lichencleat.consensus.role import Role
from lichencleat.transport.outcomes import RejectReason

LEARNER_HEARTBEAT_INTERVAL = (
    8  # beats from one word to a learner to the next: it stands for nothing, and there may be hundreds
)
MAX_PROMOTION_LAG = (
    256  # entries that a learner may lack and still be made a voter: some 100 ms of a busy group
)


class RaftNode(Follower):
    @property
    def handlers(self) -> dict[int, Callable[[int, Message], None]]:
        return {
            MessageType.PRE_VOTE: self.on_pre_vote,
            MessageType.PRE_VOTE_RESPONSE: self.on_pre_vote_response,
            MessageType.VOTE: self.on_vote,
            MessageType.VOTE_RESPONSE: self.on_vote_response,
            MessageType.APPEND: self.on_append,
            MessageType.APPEND_RESPONSE: self.on_append_response,
            MessageType.SNAPSHOT: self.on_snapshot_chunk,
            MessageType.SNAPSHOT_RESPONSE: self.on_snapshot_response,
            MessageType.TIMEOUT_NOW: self.on_timeout_now,
        }

    # -- what happened -------------------------------------------------------------------------------

    def receive(self, now: int, m: Message) -> None:
        if self.role is Role.HALTED or m.recipient != self.member_id:
            return
        if m.term > self.term and not self.adopt_newer_term(now, m):
            if m.message_type == MessageType.PRE_VOTE:
                self.on_pre_vote(now, m)
            elif m.message_type == MessageType.PRE_VOTE_RESPONSE:
                self.on_pre_vote_response(now, m)
            return
        if m.term < self.term:
            self.reply_with_current_term(m)
            return
        handler = self.handlers.get(m.message_type)
        if handler is not None:  # a newer version may send types that this one does not know
            handler(now, m)

    def adopt_newer_term(self, now: int, m: Message) -> bool:
        """A newer term holds for whoever hears of it, but for questions that only sound out, and for a
        candidate
        that bothers a group which hears its leader."""
        if m.message_type == MessageType.PRE_VOTE or (
            m.message_type == MessageType.PRE_VOTE_RESPONSE and m.granted
        ):
            return False
        if m.message_type == MessageType.VOTE and not m.is_transfer and self.has_live_leader(now):
            return False
        self.become_follower(now, m.term)
        return True

    def reply_with_current_term(self, m: Message) -> None:
        """Who speaks in an older term is told of the newer one, so that it stops leading or asking."""
        if m.message_type in (MessageType.APPEND, MessageType.SNAPSHOT):
            self.send(MessageType.APPEND_RESPONSE, m.sender)
        elif m.message_type == MessageType.PRE_VOTE:
            self.send(MessageType.PRE_VOTE_RESPONSE, m.sender)
        elif m.message_type == MessageType.VOTE:
            self.send(MessageType.VOTE_RESPONSE, m.sender)

    def on_timer(self, now: int) -> None:
        """To be called at `deadline`, or whenever."""
        if self.leader_state is not None:
            if not self.leader_state.has_quorum_contact(self.voters, now - self.timeouts.election_timeout_us):
                self.become_follower(now, self.term)  # it may be cut off: its callers should look for another
                return
            if self.leader_state.transfer and now >= self.leader_state.transfer[1]:
                self.leader_state.transfer = None
            if now >= self.heartbeat_due_at:
                self.broadcast_heartbeats(now)
        elif now >= self.election_due_at:
            self.start_pre_vote(now)

    def deadline(self) -> int:
        """µs: when `wakes` is to be called at the latest."""
        return self.heartbeat_due_at if self.role is Role.LEADER else self.election_due_at

    def on_write_durable(self, now: int, number: int) -> None:
        """All saves up to that number are on the disk."""
        if self.role is Role.HALTED:
            return
        more = self.writes.on_write_durable(number)
        if self.leader_state is not None:
            self.advance_commit_index(now)
        elif self.leader_id != NO_MEMBER and more:
            self.send_append_response(self.leader_id, 0)

    # -- what a host asks for ------------------------------------------------------------------------

    def propose(self, now: int, ticket: Any, data: bytes, session: int = 0, number: int = 0) -> None:
        """The ticket comes back with the entry's APPLY, or with a REFUSE."""
        reason = self.proposal_rejection()
        if reason is None:
            self.append_entry(now, Entry(self.term, EntryType.COMMAND, data, session, number), ticket)
        else:
            self.reject(ticket, reason)

    def propose_session(self, now: int, ticket: Any) -> None:
        """Opens a session for a client; its number is the index of the entry."""
        reason = self.proposal_rejection()
        if reason is None:
            self.append_entry(now, Entry(self.term, EntryType.SESSION), ticket)
        else:
            self.reject(ticket, reason)

    def proposal_rejection(self) -> RejectReason | None:
        if self.leader_state is None:
            return RejectReason.NOT_LEADER
        if self.leader_state.transfer:
            return RejectReason.TRANSFER_IN_PROGRESS
        if len(self.leader_state.pending_proposals) >= MAX_PENDING_PROPOSALS:
            return RejectReason.TOO_MANY_PROPOSALS
        return None

    def read(self, now: int, ticket: Any) -> None:
        """READ comes with the index up to which the state must be applied before the read is answered."""
        reason = RejectReason.NOT_LEADER if self.leader_state is None else None
        if self.leader_state is not None:
            reason = (
                RejectReason.LEADER_NOT_READY
                if self.commit_index < self.leader_state.first_index
                else self.leader_state.add_read(ticket, self.commit_index)
            )
        if reason is not None:
            self.reject(ticket, reason)
            return
        self.start_read_round()

    def change_configuration(self, now: int, ticket: Any, group: Configuration) -> None:
        """One member more, less, or with its vote given or taken."""
        reason = self.proposal_rejection() or self.change_rejection(group)
        if reason is None:
            self.append_entry(
                now, Entry(self.term, EntryType.CONFIGURATION, encode_configuration(group)), ticket
            )
        else:
            self.reject(ticket, reason)

    def change_rejection(self, group: Configuration) -> RejectReason | None:
        assert self.leader_state is not None
        if self.commit_index < self.leader_state.first_index:
            return (
                RejectReason.LEADER_NOT_READY
            )  # a change of an older term may be undone yet: two groups could decide apart
        if self.log.configurations[-1][0] > self.commit_index:
            return RejectReason.CHANGE_IN_PROGRESS
        for seat in group.voter_ids() - self.voters:
            if seat in self.log.configuration.member_ids() and self.leader_state.match_index(seat) < max(
                1, self.commit_index - MAX_PROMOTION_LAG
            ):
                return RejectReason.LEARNER_BEHIND
        return configurations.change_rejection(self.log.configuration, group)

    def transfer_leadership(self, now: int, seat: int) -> bool:
        """Hands leadership to that voter once it has all entries. Is it under way?"""
        if (
            self.leader_state is None
            or seat == self.member_id
            or seat not in self.voters
            or self.leader_state.transfer
        ):
            return False
        self.leader_state.transfer = (seat, now + self.timeouts.transfer_timeout_us)
        self.continue_transfer(now)
        return True

    def compact(self, index: int, data: bytes) -> None:
        """The host's state after that entry, which was applied, stands for all entries up to it."""
        if self.role is Role.HALTED or not self.log.snapshot_index < index <= self.delivered_index:
            return
        term = self.log.term_at(index)
        assert term is not None
        self.log.compact(Snapshot(index, term, self.log.configuration_at(index), data))
        self.writes.mark_compacted(index)

    def on_link_lost(self, seat: int) -> None:
        """What was on its way to that member may be lost."""
        progress = self.leader_state.progress.get(seat) if self.leader_state is not None else None
        if progress is not None:
            progress.become_probe(progress.match_index + 1)

    # -- decisions -----------------------------------------------------------------------------------

    def next_action(self) -> Action | None:
        if self.writes.is_dirty:
            return Action(ActionType.WRITE, write=self.writes.make_write(self.term, self.vote, self.log))
        if self.pending_actions:
            return self.pending_actions.popleft()
        if self.delivered_index < self.commit_index and self.role is not Role.HALTED:
            return self.next_committed_entry()
        if self.outbox:
            if self.outbox[0][0] > self.writes.durable_number:
                return None
            return Action(ActionType.SEND, message=self.outbox.popleft()[1])
        return self.next_replication_message()

    def next_committed_entry(self) -> Action:
        self.delivered_index += 1
        ticket = self.committed_contexts.pop(self.delivered_index, None)
        if ticket is None and self.leader_state is not None:
            ticket = self.leader_state.pending_proposals.pop(self.delivered_index, None)
        return Action(
            ActionType.APPLY,
            index=self.delivered_index,
            entry=self.log.entry_at(self.delivered_index),
            context=ticket,
        )

    def next_replication_message(self) -> Action | None:
        """What followers lack is made up only when the host asks: all that came meanwhile goes in one
        message.
        """
        lead = self.leader_state
        if lead is None or self.writes.last_term_write > self.writes.durable_number:
            return None
        while lead.pending_sends:
            seat = next(iter(lead.pending_sends))
            message = lead.progress[seat].next_message(self.log, self.make_heartbeat(seat))
            if message is not None:
                return Action(ActionType.SEND, message=message)
            del lead.pending_sends[seat]
        return None

    # -- elections -----------------------------------------------------------------------------------

    def can_campaign(self) -> bool:
        """One whose removal stands in its log and is not known to be committed may be needed to commit it:
        nobody who lacks that entry is elected by those who have it (thesis 4.2.2). It does not count its own
        vote.
        """
        if self.member_id in self.voters:
            return True
        groups_ = self.log.configurations
        return (
            len(groups_) > 1
            and groups_[-1][0] > self.commit_index
            and self.member_id in groups_[-2][1].voter_ids()
        )

    def start_pre_vote(self, now: int) -> None:
        """Sounds out whether it would be elected, and disturbs nobody by it (thesis 9.6)."""
        self.failed_campaigns += 1
        self.reset_election_timer(now)
        if not self.can_campaign() or self.role is Role.HALTED:
            return
        self.role, self.leader_id = Role.PRE_CANDIDATE, NO_MEMBER
        self.votes_received = frozenset([self.member_id])
        if configurations.has_majority(self.voters, self.votes_received):
            self.start_election(now, False)
            return
        for seat in sorted(self.voters - {self.member_id}):
            self.send(
                MessageType.PRE_VOTE,
                seat,
                term=self.term + 1,
                index=self.log.last_index,
                log_term=self.log.last_term,
            )

    def start_election(self, now: int, forced: bool) -> None:
        self.role, self.leader_id = Role.CANDIDATE, NO_MEMBER
        self.term, self.vote = self.term + 1, self.member_id
        self.writes.mark_term_changed()
        self.votes_received = frozenset([self.member_id])
        self.reset_election_timer(now)
        if configurations.has_majority(self.voters, self.votes_received):
            self.become_leader(now)
            return
        for seat in sorted(self.voters - {self.member_id}):
            self.send(
                MessageType.VOTE,
                seat,
                index=self.log.last_index,
                log_term=self.log.last_term,
                is_transfer=forced,
            )

    def is_log_up_to_date(self, m: Message) -> bool:
        """Does its log hold all that this one may know to be committed (Raft 5.4.1)?"""
        return (m.log_term, m.index) >= (self.log.last_term, self.log.last_index)

    def on_pre_vote(self, now: int, m: Message) -> None:
        if self.has_live_leader(now):
            return
        granted = m.term > self.term and self.is_log_up_to_date(m)
        self.send(
            MessageType.PRE_VOTE_RESPONSE, m.sender, term=m.term if granted else self.term, granted=granted
        )

    def on_pre_vote_response(self, now: int, m: Message) -> None:
        if self.role is Role.PRE_CANDIDATE and m.granted and m.term == self.term + 1:
            self.votes_received |= {m.sender}
            if configurations.has_majority(self.voters, self.votes_received):
                self.start_election(now, False)

    def on_vote(self, now: int, m: Message) -> None:
        free = self.vote in (NO_MEMBER, m.sender) and self.role in (Role.FOLLOWER, Role.PRE_CANDIDATE)
        granted = free and self.is_log_up_to_date(m)
        if granted:
            if self.vote == NO_MEMBER:
                self.vote = m.sender
                self.writes.mark_term_changed()
            self.reset_election_timer(now)
        self.send(MessageType.VOTE_RESPONSE, m.sender, granted=granted)

    def on_vote_response(self, now: int, m: Message) -> None:
        if self.role is Role.CANDIDATE and m.granted:
            self.votes_received |= {m.sender}
            if configurations.has_majority(self.voters, self.votes_received):
                self.become_leader(now)

    def become_leader(self, now: int) -> None:
        self.role, self.leader_id = Role.LEADER, self.member_id
        self.failed_campaigns = 0
        self.leader_state = LeaderState(self.member_id, self.log.last_index + 1)
        self.leader_state.update_members(self.log.configuration.member_ids(), self.log.last_index + 1, now)
        self.append_entry(now, Entry(self.term, EntryType.NO_OP), None)
        self.broadcast_heartbeats(now)

    def on_timeout_now(self, now: int, m: Message) -> None:
        if self.role is Role.FOLLOWER and m.sender == self.leader_id and self.member_id in self.voters:
            self.start_election(now, True)

    # -- leading -------------------------------------------------------------------------------------

    def append_entry(self, now: int, entry: Entry, ticket: Any) -> None:
        assert self.leader_state is not None
        self.log.append([entry])
        self.writes.mark_appended()
        if ticket is not None:
            self.leader_state.pending_proposals[self.log.last_index] = ticket
        if entry.entry_type == EntryType.CONFIGURATION:
            self.apply_configuration(now)
        self.leader_state.schedule_all()

    def make_heartbeat(self, seat: int) -> Message:
        assert self.leader_state is not None
        return Message(
            MessageType.APPEND,
            self.term,
            self.member_id,
            seat,
            commit=self.commit_index,
            read_round=self.leader_state.read_round,
        )

    def send_heartbeat(self, seat: int) -> None:
        assert self.leader_state is not None
        self.enqueue_message(
            self.leader_state.progress[seat].make_heartbeat(self.log, self.make_heartbeat(seat))
        )

    def broadcast_heartbeats(self, now: int) -> None:
        """A word to every voter, and at some beats to every learner."""
        assert self.leader_state is not None
        self.heartbeat_due_at = now + self.timeouts.heartbeat_interval_us
        self.heartbeat_count += 1
        for seat, progress in self.leader_state.progress.items():
            if seat in self.voters or self.heartbeat_count % LEARNER_HEARTBEAT_INTERVAL == 0:
                progress.on_heartbeat()
                self.send_heartbeat(seat)
                self.leader_state.pending_sends[seat] = None

    def start_read_round(self) -> None:
        lead = self.leader_state
        assert lead is not None
        while lead.begin_read_round():
            lead.update_confirmed_round(self.voters)
            if lead.confirmed_round < lead.read_round:  # else the leader alone is a majority
                for seat in sorted(self.voters & lead.progress.keys()):
                    self.send_heartbeat(seat)
            for ticket, index in lead.take_confirmed_reads():
                self.pending_actions.append(Action(ActionType.SERVE_READ, context=ticket, index=index))

    def advance_commit_index(self, now: int) -> None:
        """Commits what a majority has on its disks, by an entry of this term only (Raft 5.4.2)."""
        lead = self.leader_state
        assert lead is not None
        reached = lead.quorum_match_index(self.voters, self.writes.durable_index)
        if reached > self.commit_index and self.log.term_at(reached) == self.term:
            self.commit_index = reached
            if self.member_id not in self.voters and self.log.configurations[-1][0] <= self.commit_index:
                for seat in lead.progress:  # its removal is committed: the last thing that it tells
                    self.send_heartbeat(seat)
                self.become_follower(now, self.term)

    def continue_transfer(self, now: int) -> None:
        assert self.leader_state is not None
        seat = self.leader_state.ready_transfer_target(self.log.last_index)
        if seat != NO_MEMBER:
            self.send(MessageType.TIMEOUT_NOW, seat)

    def on_append_response(self, now: int, m: Message) -> None:
        """An answer to entries, to a word, or to a snapshot."""
        progress = self.leader_state.progress.get(m.sender) if self.leader_state is not None else None
        if progress is None:
            return
        lead = self.leader_state
        assert lead is not None
        progress.last_response_at = now
        if m.read_round > progress.read_round:
            progress.read_round = m.read_round
            lead.update_confirmed_round(self.voters)
            for ticket, index in lead.take_confirmed_reads():
                self.pending_actions.append(Action(ActionType.SERVE_READ, context=ticket, index=index))
            self.start_read_round()
        lead.pending_sends[m.sender] = None
        if not m.granted:
            progress.on_rejected(m.offset, m.index)
        elif progress.on_accepted(m.index):
            self.advance_commit_index(now)
            if self.leader_state is not None and self.leader_state.transfer:
                self.continue_transfer(now)

    def on_snapshot_response(self, now: int, m: Message) -> None:
        progress = self.leader_state.progress.get(m.sender) if self.leader_state is not None else None
        if progress is not None and self.leader_state is not None:
            progress.last_response_at = now
            progress.on_snapshot_chunk_received(m.index, m.offset)
            self.leader_state.pending_sends[m.sender] = None
