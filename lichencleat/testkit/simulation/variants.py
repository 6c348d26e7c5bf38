"""Voters with a mistake planted: each must be caught, or a test is missing."""

from __future__ import annotations

from typing import Any

from lichencleat.consensus.member import Role
from lichencleat.consensus.terms import Act, Decision, Group, Kind, Message, Reason
from lichencleat.consensus.voter import Voter


class VoteNotFlushed(Voter):
    """Says what rests on its term and vote before they are on the disk."""

    def post(self, message: Message) -> None:
        self.outbox.append((0, message))


class CommitByCount(Voter):
    """Commits an older term's entry because a majority has it."""

    def advance(self, now: int) -> None:
        assert self.lead is not None
        self.commit = max(self.commit, self.lead.reached(self.voters, self.writes.durable))


class AnyLogIsFine(Voter):
    """Votes for a candidate that lacks what may be committed."""

    def up_to_date(self, m: Message) -> bool:
        return True


class AckBeforeFlush(Voter):
    """Tells the leader that it has what is not on its disk yet."""

    def tell_agreed(self, leader: int, round_: int) -> None:
        self.say(Kind.APPENDED, leader, index=self.verified, round=round_, granted=True)


class OwnCountsUnflushed(Voter):
    """A leader that counts its own log before it is on the disk."""

    def advance(self, now: int) -> None:
        self.writes.durable, kept = self.entries.last, self.writes.durable
        super().advance(now)
        self.writes.durable = kept


class CutsWhatAgrees(Voter):
    """Takes a late message for the whole truth and cuts what came after it."""

    def appends(self, now: int, m: Message) -> None:
        if m.entries and self.entries.base <= m.index < self.entries.last and m.index >= self.commit:
            self.cut(m.index + 1)
        super().appends(now, m)


class CommitsUnverified(Voter):
    """Takes the leader's commit for its own log, where that has not been compared yet."""

    def appends(self, now: int, m: Message) -> None:
        super().appends(now, m)
        if self.role is Role.FOLLOWER:
            self.commit = max(self.commit, min(m.commit, self.entries.last))


class ReadsAtOnce(Voter):
    """A leader that answers reads without asking whether it still leads."""

    def read(self, now: int, ticket: Any) -> None:
        if self.lead is None or self.commit < self.lead.first:
            self.refuse(ticket, Reason.NOT_LEADER)
        else:
            self.telling.append(Decision(Act.READ, ticket=ticket, index=self.commit))


class ReadsTooEarly(Voter):
    """A leader that answers reads before anything of its term is committed."""

    def read(self, now: int, ticket: Any) -> None:
        if self.lead is not None and self.commit < self.lead.first:
            self.lead.ask(ticket, self.commit)
            self.turn_round()
        else:
            super().read(now, ticket)


class ChangesAnyTime(Voter):
    """Changes members while the change before may still be undone."""

    def untimely(self, group: Group) -> Reason | None:
        return None


class ForgetsTheVote(Voter):
    """Votes again in a term for who asks again later."""

    def asked_vote(self, now: int, m: Message) -> None:
        self.vote = 0
        super().asked_vote(now, m)


VARIANTS: dict[str, type[Voter]] = {
    "none": Voter,
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
