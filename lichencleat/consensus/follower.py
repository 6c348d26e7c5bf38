"""The follower's side of replication: receives entries and snapshots from the leader. No I/O."""

from __future__ import annotations

from msgspec.structs import replace

from lichencleat.consensus.messages import Action, ActionType, Entry, Message, MessageType, Snapshot
from lichencleat.consensus.node_state import NodeState
from lichencleat.consensus.raft_log import RaftLog
from lichencleat.consensus.role import Role
from lichencleat.transport.outcomes import RejectReason


class Follower(NodeState):
    """Handles APPEND and SNAPSHOT messages."""

    def on_leader_contact(self, now: int, leader_id: int) -> None:
        """Record a message from the leader of this term, and follow that leader."""
        self.failed_campaigns = 0
        if self.role is not Role.FOLLOWER or self.leader_id != leader_id:
            self.become_follower(now, self.term, leader_id)
        self.last_leader_contact_at = now
        self.reset_election_timer(now)

    def send_append_response(self, leader_id: int, read_round: int) -> None:
        """Report the index up to which the durable log matches the leader's."""
        response = self.make_message(MessageType.APPEND_RESPONSE, leader_id)
        match_index = min(self.matched_index, self.writes.durable_index)
        self.enqueue_message(replace(response, index=match_index, read_round=read_round, granted=True))

    def on_append(self, now: int, message: Message) -> None:
        """Append the leader's entries if the logs match before the first one; otherwise reject them."""
        self.on_leader_contact(now, message.sender)
        previous_index = message.index
        previous_term = message.log_term
        entries = message.entries
        if previous_index < self.log.snapshot_index:  # the snapshot is committed, so the logs match up to it
            entries = entries[self.log.snapshot_index - previous_index :]
            previous_index = self.log.snapshot_index
            previous_term = self.log.snapshot.term
        if self.log.term_at(previous_index) != previous_term:
            self._reject_append(message, previous_index)
            return
        if not self._append_new_entries(now, previous_index, entries):
            return
        match_index = previous_index + len(entries)
        self.matched_index = max(self.matched_index, match_index)
        self.commit_index = max(self.commit_index, min(message.commit, match_index))
        self.send_append_response(message.sender, message.read_round)

    def _reject_append(self, message: Message, previous_index: int) -> None:
        """Respond with an index at which the logs may match; the search goes back a whole term at a time."""
        if previous_index > self.log.last_index:
            hint = self.log.last_index
        else:
            hint = self.log.first_index_of_term(previous_index) - 1
        response = self.make_message(MessageType.APPEND_RESPONSE, message.sender)
        self.enqueue_message(
            replace(
                response,
                index=max(hint, self.commit_index),
                offset=message.index,
                read_round=message.read_round,
            )
        )

    def _append_new_entries(self, now: int, previous_index: int, entries: tuple[Entry, ...]) -> bool:
        """Append the entries that are not in the log; return False if this member had to halt.

        Entries that are in the log already are skipped, so that a delayed message does not remove entries
        that were appended after it was sent.
        """
        for position, entry in enumerate(entries):
            index = previous_index + 1 + position
            known_term = self.log.term_at(index)
            if known_term == entry.term:
                continue
            if known_term is not None and not self.truncate_log(index):
                return False
            self.log.append(entries[position:])
            self.writes.mark_appended()
            self.apply_configuration(now)
            break
        return True

    def truncate_log(self, index: int) -> bool:
        """Remove the entry at `index` and all after it; if it is committed, halt and return False."""
        if index <= self.commit_index:
            self.halt(
                f"entry {index} is committed here but the leader sent a different one: a disk has lost data"
            )
            return False
        self.log.truncate_from(index)
        self.writes.mark_truncated(index)
        return True

    def on_snapshot_chunk(self, now: int, message: Message) -> None:
        """Keep a chunk of the leader's snapshot; install the snapshot once all chunks have arrived."""
        self.on_leader_contact(now, message.sender)
        if message.index > self.commit_index:
            received = self.snapshot_receiver.add_chunk(message)
            if isinstance(received, int):
                response = self.make_message(MessageType.SNAPSHOT_RESPONSE, message.sender)
                self.enqueue_message(replace(response, index=message.index, offset=received))
                return
            self.install_snapshot(now, received)
        self.matched_index = max(self.matched_index, self.commit_index)
        self.send_append_response(message.sender, message.read_round)

    def install_snapshot(self, now: int, snapshot: Snapshot) -> None:
        """Replace state and log by the snapshot; later entries stay if the log matches the snapshot."""
        if self.log.term_at(snapshot.index) == snapshot.term:
            self.log.compact(snapshot)
            self.writes.mark_compacted(snapshot.index)
        else:  # this log's later entries were never committed
            self.log = RaftLog(snapshot)
            self.writes.mark_replaced(snapshot.index)
        for context in self.committed_contexts.values():
            self.reject(context, RejectReason.LEADERSHIP_LOST)
        self.committed_contexts = {}
        self.commit_index = snapshot.index
        self.delivered_index = snapshot.index
        self.pending_actions.append(Action(ActionType.RESTORE_SNAPSHOT, snapshot=snapshot))
        self.apply_configuration(now)
