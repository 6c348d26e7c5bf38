"""Voters with a mistake planted: each must be caught, or a test is missing."""

from __future__ import annotations

from typing import Any

from msgspec.structs import replace

from lichencleat.consensus.messages import Action, ActionType, Configuration, Message, MessageType
from lichencleat.consensus.node_state import OutgoingMessage
from lichencleat.consensus.raft_node import RaftNode
from lichencleat.consensus.role import Role
from lichencleat.transport.outcomes import RejectReason


class VoteNotFlushed(RaftNode):
    """Says what rests on its term and vote before they are on the disk."""

    def enqueue_message(self, message: Message) -> None:
        self.outbox.append(OutgoingMessage(0, message))


class CommitByCount(RaftNode):
    """Commits an older term's entry because a majority has it."""

    def advance_commit_index(self, now: int) -> None:
        assert self.leader_state is not None
        self.commit_index = max(
            self.commit_index, self.leader_state.quorum_match_index(self.voters, self.writes.durable_index)
        )


class AnyLogIsFine(RaftNode):
    """Votes for a candidate that lacks what may be committed."""

    def is_log_up_to_date(self, m: Message) -> bool:
        return True


class AckBeforeFlush(RaftNode):
    """Tells the leader that it has what is not on its disk yet."""

    def send_append_response(self, leader_id: int, read_round: int) -> None:
        response = self.make_message(MessageType.APPEND_RESPONSE, leader_id)
        self.enqueue_message(replace(response, index=self.matched_index, read_round=read_round, granted=True))


class OwnCountsUnflushed(RaftNode):
    """A leader that counts its own log before it is on the disk."""

    def advance_commit_index(self, now: int) -> None:
        self.writes.durable_index, kept = self.log.last_index, self.writes.durable_index
        super().advance_commit_index(now)
        self.writes.durable_index = kept


class CutsWhatAgrees(RaftNode):
    """Takes a late message for the whole truth and cuts what came after it."""

    def on_append(self, now: int, m: Message) -> None:
        if (
            m.entries
            and self.log.snapshot_index <= m.index < self.log.last_index
            and m.index >= self.commit_index
        ):
            self.truncate_log(m.index + 1)
        super().on_append(now, m)


class CommitsUnverified(RaftNode):
    """Takes the leader's commit for its own log, where that has not been compared yet."""

    def on_append(self, now: int, m: Message) -> None:
        super().on_append(now, m)
        if self.role is Role.FOLLOWER:
            self.commit_index = max(self.commit_index, min(m.commit, self.log.last_index))


class ReadsAtOnce(RaftNode):
    """A leader that answers reads without asking whether it still leads."""

    def read(self, now: int, ticket: Any) -> None:
        if self.leader_state is None or self.commit_index < self.leader_state.first_index:
            self.reject(ticket, RejectReason.NOT_LEADER)
        else:
            self.pending_actions.append(
                Action(ActionType.SERVE_READ, context=ticket, index=self.commit_index)
            )


class ReadsTooEarly(RaftNode):
    """A leader that answers reads before anything of its term is committed."""

    def read(self, now: int, ticket: Any) -> None:
        if self.leader_state is not None and self.commit_index < self.leader_state.first_index:
            self.leader_state.add_read(ticket, self.commit_index)
            self.start_read_round()
        else:
            super().read(now, ticket)


class ChangesAnyTime(RaftNode):
    """Changes members while the change before may still be undone."""

    def change_rejection(self, group: Configuration) -> RejectReason | None:
        return None


class ForgetsTheVote(RaftNode):
    """Votes again in a term for who asks again later."""

    def on_vote(self, now: int, m: Message) -> None:
        self.vote = 0
        super().on_vote(now, m)


VARIANTS: dict[str, type[RaftNode]] = {
    "none": RaftNode,
    **{
        each.__name__: each
        for each in (
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
