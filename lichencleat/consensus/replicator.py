"""The leader's side of replication: entries, heartbeats, commit, reads and leadership transfer. No I/O."""

from __future__ import annotations

from lichencleat.consensus.follower import Follower
from lichencleat.consensus.leader import LeaderState
from lichencleat.consensus.messages import (
    NO_MEMBER,
    Action,
    ActionType,
    Entry,
    EntryType,
    Message,
    MessageType,
    RequestContext,
)
from lichencleat.consensus.progress import Progress

# A learner gets one heartbeat for this many heartbeats to a voter. Learners never campaign, and there may be
# hundreds of them.
LEARNER_HEARTBEAT_INTERVAL = 8


class Replicator(Follower):
    """Replicates this member's log while it leads; most methods may be called on a leader only."""

    @property
    def required_leader_state(self) -> LeaderState:
        """The leader's state; this member must be the leader."""
        assert self.leader_state is not None
        return self.leader_state

    def append_entry(self, now: int, entry: Entry, context: RequestContext) -> None:
        """Append an entry to the log; the context is returned when the entry is applied or rejected."""
        self.log.append([entry])
        self.writes.mark_appended()
        if context is not None:
            self.required_leader_state.pending_proposals[self.log.last_index] = context
        if entry.entry_type == EntryType.CONFIGURATION:
            self.apply_configuration(now)
        self.required_leader_state.schedule_all()

    # -- heartbeats and entries ----------------------------------------------------------------------

    def make_append(self, member_id: int) -> Message:
        """Return an APPEND message to a follower, with neither index nor entries set."""
        return Message(
            message_type=MessageType.APPEND,
            term=self.term,
            sender=self.member_id,
            recipient=member_id,
            commit=self.commit_index,
            read_round=self.required_leader_state.read_round,
        )

    def send_heartbeat(self, member_id: int) -> None:
        """Send a heartbeat to the follower `member_id`."""
        progress = self.required_leader_state.progress[member_id]
        self.enqueue_message(progress.make_heartbeat(self.log, self.make_append(member_id)))

    def broadcast_heartbeats(self, now: int) -> None:
        """Send a heartbeat to every voter and, at a longer interval, to every learner."""
        self.heartbeat_due_at = now + self.timeouts.heartbeat_interval_us
        self.heartbeat_count += 1
        includes_learners = self.heartbeat_count % LEARNER_HEARTBEAT_INTERVAL == 0
        for member_id, progress in self.required_leader_state.progress.items():
            if member_id in self.voters or includes_learners:
                progress.on_heartbeat()
                self.send_heartbeat(member_id)
                self.required_leader_state.pending_sends[member_id] = None

    def next_replication_message(self) -> Action | None:
        """Return the action that sends entries or a snapshot chunk to a follower, or None.

        The message is built only when the host asks for it, so that it contains all entries proposed so far.
        """
        leader_state = self.leader_state
        if leader_state is None or self.writes.last_term_write > self.writes.durable_number:
            return None
        while leader_state.pending_sends:
            member_id = next(iter(leader_state.pending_sends))
            progress = leader_state.progress[member_id]
            message = progress.next_message(self.log, self.make_append(member_id))
            if message is not None:
                return Action(ActionType.SEND, message=message)
            del leader_state.pending_sends[member_id]
        return None

    # -- responses -----------------------------------------------------------------------------------

    def on_append_response(self, now: int, message: Message) -> None:
        """Handle the response to entries, a heartbeat or a complete snapshot."""
        progress = self._progress_of(message.sender)
        if progress is None:
            return
        progress.last_response_at = now
        if message.read_round > progress.read_round:
            progress.read_round = message.read_round
            self.required_leader_state.update_confirmed_round(self.voters)
            self._serve_confirmed_reads()
            self.start_read_round()
        self.required_leader_state.pending_sends[message.sender] = None
        if not message.granted:
            progress.on_rejected(message.offset, message.index)
        elif progress.on_accepted(message.index):
            self.advance_commit_index(now)
            if self.leader_state is not None and self.leader_state.transfer:
                self.continue_transfer()

    def on_snapshot_response(self, now: int, message: Message) -> None:
        """Handle the response to a snapshot chunk."""
        progress = self._progress_of(message.sender)
        if progress is not None:
            progress.last_response_at = now
            progress.on_snapshot_chunk_received(message.index, message.offset)
            self.required_leader_state.pending_sends[message.sender] = None

    def _progress_of(self, member_id: int) -> Progress | None:
        return self.leader_state.progress.get(member_id) if self.leader_state is not None else None

    def advance_commit_index(self, now: int) -> None:
        """Commit the entries that a majority has flushed, if the last one is of this term (Raft 5.4.2)."""
        quorum_index = self.required_leader_state.quorum_match_index(self.voters, self.writes.durable_index)
        if quorum_index <= self.commit_index or self.log.term_at(quorum_index) != self.term:
            return
        self.commit_index = quorum_index
        is_configuration_committed = self.log.configurations[-1].index <= self.commit_index
        if self.member_id not in self.voters and is_configuration_committed:
            self._step_down_after_removal(now)

    def _step_down_after_removal(self, now: int) -> None:
        for member_id in self.required_leader_state.progress:
            self.send_heartbeat(member_id)  # the last message; its commit index covers the removal
        self.become_follower(now, self.term)

    # -- reads ---------------------------------------------------------------------------------------

    def start_read_round(self) -> None:
        """Start a round of heartbeats to confirm this leader, if reads wait and no round is in progress."""
        leader_state = self.required_leader_state
        while leader_state.begin_read_round():
            leader_state.update_confirmed_round(self.voters)
            # If the leader alone is a majority, the round is confirmed already.
            if leader_state.confirmed_round < leader_state.read_round:
                for member_id in sorted(self.voters & leader_state.progress.keys()):
                    self.send_heartbeat(member_id)
            self._serve_confirmed_reads()

    def _serve_confirmed_reads(self) -> None:
        for read in self.required_leader_state.take_confirmed_reads():
            action = Action(ActionType.SERVE_READ, context=read.context, index=read.index)
            self.pending_actions.append(action)

    # -- leadership transfer -------------------------------------------------------------------------

    def continue_transfer(self) -> None:
        """Send the transfer target a TIMEOUT_NOW message if it has all entries."""
        target = self.required_leader_state.ready_transfer_target(self.log.last_index)
        if target != NO_MEMBER:
            self.enqueue_message(self.make_message(MessageType.TIMEOUT_NOW, target))
