"""One member of the cluster as a state machine without I/O, in the manner of etcd's raft.

The inputs only update the node's state: `receive`, `on_timer`, `on_write_durable`, `propose`, `read`,
`change_configuration`, `transfer_leadership`, `compact`. After one or more inputs the host calls
`next_action` until it returns None, and carries out the actions in that order. A message is handed out only
once the state that it reports is durable: each message waits until its term and this member's vote in that
term are written, and a response reports a log index only once all entries up to that index are written.
"""

from __future__ import annotations

from lichencleat.consensus import configuration as configurations
from lichencleat.consensus.elector import Elector
from lichencleat.consensus.leader import MAX_PENDING_PROPOSALS, LeadershipTransfer
from lichencleat.consensus.messages import (
    NO_MEMBER,
    Action,
    ActionType,
    Configuration,
    Entry,
    EntryType,
    Message,
    MessageType,
    RequestContext,
    Snapshot,
)
from lichencleat.consensus.raft_log import encode_configuration
from lichencleat.consensus.role import Role
from lichencleat.transport.outcomes import RejectReason

# Entries by which a learner's log may lag behind the commit index when the learner is promoted to a voter. A
# busy cluster commits as many in some 100 ms.
MAX_PROMOTION_LAG = 256

ELECTION_MESSAGES = frozenset(
    [
        MessageType.PRE_VOTE,
        MessageType.PRE_VOTE_RESPONSE,
        MessageType.VOTE,
        MessageType.VOTE_RESPONSE,
        MessageType.TIMEOUT_NOW,
    ]
)


class RaftNode(Elector):
    """A complete Raft node: the interface to the host. Times are µs of the member's own monotonic clock."""

    # -- messages, time and the disk -----------------------------------------------------------------

    def receive(self, now: int, message: Message) -> None:
        """Handle a message from another member."""
        if self.role is Role.HALTED or message.recipient != self.member_id:
            return
        if message.term > self.term and not self.adopt_newer_term(now, message):
            if message.message_type == MessageType.PRE_VOTE:
                self.on_pre_vote(now, message)
            elif message.message_type == MessageType.PRE_VOTE_RESPONSE:
                self.on_pre_vote_response(now, message)
            return
        if message.term < self.term:
            self.reply_with_current_term(message)
            return
        if message.message_type in ELECTION_MESSAGES:
            self._handle_election_message(now, message)
        else:
            self._handle_replication_message(now, message)

    def _handle_election_message(self, now: int, message: Message) -> None:
        match message.message_type:
            case MessageType.PRE_VOTE:
                self.on_pre_vote(now, message)
            case MessageType.PRE_VOTE_RESPONSE:
                self.on_pre_vote_response(now, message)
            case MessageType.VOTE:
                self.on_vote(now, message)
            case MessageType.VOTE_RESPONSE:
                self.on_vote_response(now, message)
            case MessageType.TIMEOUT_NOW:
                self.on_timeout_now(now, message)

    def _handle_replication_message(self, now: int, message: Message) -> None:
        """Handle the message; a message type that this version does not know is ignored."""
        match message.message_type:
            case MessageType.APPEND:
                self.on_append(now, message)
            case MessageType.APPEND_RESPONSE:
                self.on_append_response(now, message)
            case MessageType.SNAPSHOT:
                self.on_snapshot_chunk(now, message)
            case MessageType.SNAPSHOT_RESPONSE:
                self.on_snapshot_response(now, message)

    def adopt_newer_term(self, now: int, message: Message) -> bool:
        """Adopt the newer term of a message; return False for a message whose term must not be adopted.

        The term is not adopted from pre-vote requests, from granted pre-votes, and from the vote request of a
        candidate while this member has a live leader.
        """
        if message.message_type == MessageType.PRE_VOTE:
            return False
        if message.message_type == MessageType.PRE_VOTE_RESPONSE and message.granted:
            return False
        is_vote = message.message_type == MessageType.VOTE
        if is_vote and not message.is_transfer and self.has_live_leader(now):
            return False
        self.become_follower(now, message.term)
        return True

    def reply_with_current_term(self, message: Message) -> None:
        """Answer a message of an older term, so that its sender stops leading or campaigning in that term."""
        match message.message_type:
            case MessageType.APPEND | MessageType.SNAPSHOT:
                response_type = MessageType.APPEND_RESPONSE
            case MessageType.PRE_VOTE:
                response_type = MessageType.PRE_VOTE_RESPONSE
            case MessageType.VOTE:
                response_type = MessageType.VOTE_RESPONSE
            case _:
                return
        self.enqueue_message(self.make_message(response_type, message.sender))

    def on_timer(self, now: int) -> None:
        """Handle timeouts that are due; must be called at `deadline` and may be called at any time."""
        if self.leader_state is None:
            if now >= self.election_due_at:
                self.start_pre_vote(now)
            return
        if not self.leader_state.has_quorum_contact(self.voters, now - self.timeouts.election_timeout_us):
            self.become_follower(now, self.term)  # may be partitioned: clients should find another leader
            return
        if self.leader_state.transfer and now >= self.leader_state.transfer.deadline:
            self.leader_state.transfer = None
        if now >= self.heartbeat_due_at:
            self.broadcast_heartbeats(now)

    def deadline(self) -> int:
        """Return the latest time at which `on_timer` must be called."""
        return self.heartbeat_due_at if self.role is Role.LEADER else self.election_due_at

    def on_write_durable(self, now: int, number: int) -> None:
        """Record that all writes up to `number` are durable; commit or acknowledge their entries."""
        if self.role is Role.HALTED:
            return
        has_more_entries = self.writes.on_write_durable(number)
        if self.leader_state is not None:
            self.advance_commit_index(now)
        elif self.leader_id != NO_MEMBER and has_more_entries:
            self.send_append_response(self.leader_id, 0)

    def on_link_lost(self, member_id: int) -> None:
        """Handle a lost connection to a member: messages in flight may be lost, so a leader resends them."""
        progress = self._progress_of(member_id)
        if progress is not None:
            progress.become_probe(progress.match_index + 1)

    # -- requests of the host ------------------------------------------------------------------------

    def propose(
        self, now: int, context: RequestContext, data: bytes, session_id: int = 0, sequence: int = 0
    ) -> None:
        """Propose a command; the context is returned with the entry's APPLY action or a REJECT action."""
        entry = Entry(self.term, EntryType.COMMAND, data, session_id, sequence)
        self._propose_entry(now, context, entry, self.proposal_rejection())

    def propose_session(self, now: int, context: RequestContext) -> None:
        """Propose to open a client session; its id is the index of the entry."""
        entry = Entry(self.term, EntryType.SESSION)
        self._propose_entry(now, context, entry, self.proposal_rejection())

    def change_configuration(self, now: int, context: RequestContext, configuration: Configuration) -> None:
        """Propose a configuration that adds, removes, promotes or demotes one member."""
        rejection = self.proposal_rejection() or self.change_rejection(configuration)
        entry = Entry(self.term, EntryType.CONFIGURATION, encode_configuration(configuration))
        self._propose_entry(now, context, entry, rejection)

    def _propose_entry(
        self, now: int, context: RequestContext, entry: Entry, rejection: RejectReason | None
    ) -> None:
        if rejection is None:
            self.append_entry(now, entry, context)
        else:
            self.reject(context, rejection)

    def proposal_rejection(self) -> RejectReason | None:
        """Return why no proposal is accepted now, or None if proposals are accepted."""
        if self.leader_state is None:
            return RejectReason.NOT_LEADER
        if self.leader_state.transfer:
            return RejectReason.TRANSFER_IN_PROGRESS
        if len(self.leader_state.pending_proposals) >= MAX_PENDING_PROPOSALS:
            return RejectReason.TOO_MANY_PROPOSALS
        return None

    def change_rejection(self, configuration: Configuration) -> RejectReason | None:
        """Return why this leader can't change to `configuration` now, or None if it can."""
        # An uncommitted change of an earlier term may still be truncated. After a second change, majorities
        # of the two configurations might have no common voter and could commit different entries.
        if self.commit_index < self.required_leader_state.first_index:
            return RejectReason.LEADER_NOT_READY
        if self.log.configurations[-1].index > self.commit_index:
            return RejectReason.CHANGE_IN_PROGRESS
        learners = self.log.configuration.member_ids() - self.voters
        required_index = max(1, self.commit_index - MAX_PROMOTION_LAG)
        for member_id in configuration.voter_ids() & learners:
            if self.required_leader_state.match_index(member_id) < required_index:
                return RejectReason.LEARNER_BEHIND
        return configurations.change_rejection(self.log.configuration, configuration)

    def read(self, now: int, context: RequestContext) -> None:
        """Request a linearizable read.

        A SERVE_READ action follows; the read may be answered once all entries up to its index are applied.
        """
        rejection = self._add_read(context)
        if rejection is not None:
            self.reject(context, rejection)
            return
        self.start_read_round()

    def _add_read(self, context: RequestContext) -> RejectReason | None:
        if self.leader_state is None:
            return RejectReason.NOT_LEADER
        if self.commit_index < self.leader_state.first_index:
            return RejectReason.LEADER_NOT_READY
        return self.leader_state.add_read(context, self.commit_index)

    def transfer_leadership(self, now: int, member_id: int) -> bool:
        """Start to transfer leadership to the voter `member_id`; return whether the transfer was started."""
        if self.leader_state is None or self.leader_state.transfer:
            return False
        if member_id == self.member_id or member_id not in self.voters:
            return False
        deadline = now + self.timeouts.transfer_timeout_us
        self.leader_state.transfer = LeadershipTransfer(member_id, deadline)
        self.continue_transfer()
        return True

    def compact(self, index: int, data: bytes) -> None:
        """Replace all entries up to `index`, which must be applied, by a snapshot that contains `data`."""
        if self.role is Role.HALTED or not self.log.snapshot_index < index <= self.delivered_index:
            return
        term = self.log.term_at(index)
        assert term is not None
        self.log.compact(Snapshot(index, term, self.log.configuration_at(index), data))
        self.writes.mark_compacted(index)

    # -- actions -------------------------------------------------------------------------------------

    def next_action(self) -> Action | None:
        """Return the next action for the host, or None if there is none for now."""
        if self.writes.is_dirty:
            write = self.writes.make_write(self.term, self.vote, self.log)
            return Action(ActionType.WRITE, write=write)
        if self.pending_actions:
            return self.pending_actions.popleft()
        if self.delivered_index < self.commit_index and self.role is not Role.HALTED:
            return self.next_committed_entry()
        if self.outbox:
            if self.outbox[0].required_write > self.writes.durable_number:
                return None
            return Action(ActionType.SEND, message=self.outbox.popleft().message)
        return self.next_replication_message()

    def next_committed_entry(self) -> Action:
        """Return the action that applies the next committed entry, with the context of its proposal."""
        self.delivered_index += 1
        context = self.committed_contexts.pop(self.delivered_index, None)
        if context is None and self.leader_state is not None:
            context = self.leader_state.pending_proposals.pop(self.delivered_index, None)
        entry = self.log.entry_at(self.delivered_index)
        return Action(ActionType.APPLY, index=self.delivered_index, entry=entry, context=context)
