"""Variants of the consensus node, each with one injected bug that the tests must detect."""

from __future__ import annotations

from typing import Any

from msgspec.structs import replace

from lichencleat.consensus.messages import Action, ActionType, Configuration, Message, MessageType
from lichencleat.consensus.node_state import OutgoingMessage
from lichencleat.consensus.raft_node import RaftNode
from lichencleat.consensus.role import Role
from lichencleat.transport.outcomes import RejectReason


class VoteNotFlushed(RaftNode):
    """Injected bug: messages are sent before the term and the vote that they depend on are durable."""

    def enqueue_message(self, message: Message) -> None:
        self.outbox.append(OutgoingMessage(0, message))


class CommitByCount(RaftNode):
    """Injected bug: an entry of an earlier term is committed as soon as a majority has it."""

    def advance_commit_index(self, now: int) -> None:
        assert self.leader_state is not None
        self.commit_index = max(
            self.commit_index, self.leader_state.quorum_match_index(self.voters, self.writes.durable_index)
        )


class AnyLogIsFine(RaftNode):
    """Injected bug: a vote is granted to a candidate whose log may lack committed entries."""

    def is_log_up_to_date(self, m: Message) -> bool:
        return True


class AckBeforeFlush(RaftNode):
    """Injected bug: a follower acknowledges entries before they are durable."""

    def send_append_response(self, leader_id: int, read_round: int) -> None:
        response = self.make_message(MessageType.APPEND_RESPONSE, leader_id)
        self.enqueue_message(replace(response, index=self.matched_index, read_round=read_round, granted=True))


class OwnCountsUnflushed(RaftNode):
    """Injected bug: a leader counts its own entries towards the majority before they are durable."""

    def advance_commit_index(self, now: int) -> None:
        self.writes.durable_index, saved_index = self.log.last_index, self.writes.durable_index
        super().advance_commit_index(now)
        self.writes.durable_index = saved_index


class CutsWhatAgrees(RaftNode):
    """Injected bug: a late append message truncates matching entries that follow its position."""

    def on_append(self, now: int, m: Message) -> None:
        if (
            m.entries
            and self.log.snapshot_index <= m.index < self.log.last_index
            and m.index >= self.commit_index
        ):
            self.truncate_log(m.index + 1)
        super().on_append(now, m)


class CommitsUnverified(RaftNode):
    """Injected bug: a follower applies the leader's commit index to entries not yet known to match."""

    def on_append(self, now: int, m: Message) -> None:
        super().on_append(now, m)
        if self.role is Role.FOLLOWER:
            self.commit_index = max(self.commit_index, min(m.commit, self.log.last_index))


class ReadsAtOnce(RaftNode):
    """Injected bug: a leader answers reads without confirming its leadership with a majority."""

    def read(self, now: int, context: Any) -> None:
        if self.leader_state is None or self.commit_index < self.leader_state.first_index:
            self.reject(context, RejectReason.NOT_LEADER)
        else:
            self.pending_actions.append(
                Action(ActionType.SERVE_READ, context=context, index=self.commit_index)
            )


class ReadsTooEarly(RaftNode):
    """Injected bug: a leader answers reads before an entry of its own term is committed."""

    def read(self, now: int, context: Any) -> None:
        if self.leader_state is not None and self.commit_index < self.leader_state.first_index:
            self.leader_state.add_read(context, self.commit_index)
            self.start_read_round()
        else:
            super().read(now, context)


class ChangesAnyTime(RaftNode):
    """Injected bug: a configuration change starts before the previous one is committed."""

    def change_rejection(self, group: Configuration) -> RejectReason | None:
        return None


class ForgetsTheVote(RaftNode):
    """Injected bug: a member votes for a second candidate in the same term."""

    def on_vote(self, now: int, m: Message) -> None:
        self.vote = 0
        super().on_vote(now, m)


VARIANTS: dict[str, type[RaftNode]] = {
    "none": RaftNode,
    **{
        variant.__name__: variant
        for variant in (
            VoteNotFlushed,
            CommitByCount,
            AnyLogIsFine,
            AckBeforeFlush,
            OwnCountsUnflushed,
            CutsWhatAgrees,
            CommitsUnverified,
            ReadsAtOnce,
            ReadsTooEarly,
            ChangesAnyTime,
            ForgetsTheVote,
        )
    },
}
