"""What every member of the group does, leader or not: follows, writes, speaks, leaves; no I/O."""

from __future__ import annotations

import random
from collections import deque
from enum import Enum, auto
from typing import Any

from lichencleat.consensus.arrival import Arrival
from lichencleat.consensus.entries import Entries
from lichencleat.consensus.leading import Leading
from lichencleat.consensus.terms import (
    NOBODY,
    Act,
    Decision,
    Durable,
    Group,
    Kind,
    Message,
    Reason,
    Snapshot,
    Times,
)
from lichencleat.consensus.writes import Writes

LONG_AGO = -(1 << 62)  # µs: before any clock
# doublings of what is drawn on top of an election's time, one a failed election: where a flush takes as long
# as the
# usual spread, two that stand at once would stand at once again and again
SPREAD_DOUBLINGS = 3
NO_GROUP = Snapshot(0, 0, Group(()), b"")  # of a member that has heard of no group yet


class Role(Enum):
    FOLLOWER = auto()
    ASKING = auto()  # whether it would be elected
    STANDING = auto()
    LEADER = auto()
    OUT = auto()  # it says nothing more


class Member:
    """Holds its state; `voter.Voter` adds elections and leading."""

    def __init__(self, seat: int, durable: Durable, times: Times, rng: random.Random, now: int) -> None:
        """`durable`: what its disk holds, all of it confirmed; `now`: µs of its monotonic clock."""
        self.seat, self.times, self.rng = seat, times, rng
        self.term, self.vote = durable.term, durable.vote
        self.entries = Entries(durable.snapshot or NO_GROUP, durable.entries)
        self.voters = self.entries.group.voters()
        self.role = Role.FOLLOWER
        self.leader = NOBODY
        self.lead: Leading | None = None
        self.votes: frozenset[int] = frozenset()
        self.commit = self.handed = self.entries.base  # committed; given to the host to apply
        self.heard_at = LONG_AGO  # µs: the leader's last word
        self.election_at = 0
        self.failed = 0  # elections asked for since a leader was heard: none of them came to anything
        self.beat_at = 0
        self.beats = 0
        self.verified = 0  # the log agrees with this leader's up to here
        self.arrival = Arrival()
        self.writes = Writes(self.entries)
        self.tickets: dict[int, Any] = {}  # of committed entries, from a leadership that is over
        self.outbox: deque[tuple[int, Message]] = deque()  # with the save that must be confirmed before
        self.telling: deque[Decision] = deque()
        if self.entries.base:
            self.telling.append(Decision(Act.RESTORE, snapshot=self.entries.snapshot))
        self.rest(now)

    def hears_leader(self, now: int) -> bool:
        if self.role is Role.LEADER:
            return True
        return self.leader != NOBODY and now - self.heard_at < self.times.election

    def rest(self, now: int) -> None:
        """No election for a while; how long is drawn, so that two seldom stand at once."""
        spread = self.times.spread << min(self.failed, SPREAD_DOUBLINGS)
        self.election_at = now + self.times.election + self.rng.randrange(spread)

    def drop_lead(self) -> None:
        lead, self.lead = self.lead, None
        if lead is not None:
            for index, ticket in lead.waiting.items():
                if index <= self.commit:
                    self.tickets[index] = ticket  # told when it is applied
                else:
                    self.refuse(ticket, Reason.LOST)
            for ticket, _, _ in lead.reads:
                self.refuse(ticket, Reason.NOT_LEADER)

    def refuse(self, ticket: Any, reason: Reason) -> None:
        self.telling.append(Decision(Act.REFUSE, ticket=ticket, reason=reason))

    def follow(self, now: int, term: int, leader: int = NOBODY) -> None:
        if term > self.term:
            self.term, self.vote = term, NOBODY
            self.writes.changed_term()
        if leader != self.leader or self.role is not Role.FOLLOWER:
            self.verified = 0
            self.arrival.clear()
        self.drop_lead()
        self.role, self.leader = Role.FOLLOWER, leader
        self.rest(now)

    # -- writing and speaking ------------------------------------------------------------------------

    def say(self, kind: Kind, to: int, **what: Any) -> None:
        term = what.pop("term", self.term)
        self.post(Message(kind, term, self.seat, to, **what))

    def post(self, message: Message) -> None:
        """Goes out once the term and the vote that it rests on are on the disk."""
        self.outbox.append((self.writes.needs(), message))

    def disk_failed(self, reason: str) -> None:
        """A write or flush failed: what this member has said it holds it may not hold. It leaves rather than
        lie.
        """
        self.leave(f"the disk failed: {reason}")

    def leave(self, reason: str) -> None:
        if self.role is not Role.OUT:
            self.drop_lead()
            self.role = Role.OUT
            self.outbox.clear()
            self.writes.dirty = False
            self.telling.append(Decision(Act.LEAVE, reason=reason))

    # -- following -----------------------------------------------------------------------------------

    def hears_from(self, now: int, leader: int) -> None:
        self.failed = 0
        if self.role is not Role.FOLLOWER or self.leader != leader:
            self.follow(now, self.term, leader)
        self.heard_at = now
        self.rest(now)

    def tell_agreed(self, leader: int, round_: int) -> None:
        self.say(
            Kind.APPENDED, leader, index=min(self.verified, self.writes.durable), round=round_, granted=True
        )

    def appends(self, now: int, m: Message) -> None:
        self.hears_from(now, m.sender)
        entries, index, past, new = self.entries, m.index, m.past, m.entries
        if index < entries.base:  # what the snapshot stands for is committed: there the logs agree
            new = new[entries.base - index :]
            index, past = entries.base, entries.snapshot.term
        if entries.term(index) != past:
            hint = entries.last if index > entries.last else entries.begins(index) - 1
            self.say(Kind.APPENDED, m.sender, index=max(hint, self.commit), offset=m.index, round=m.round)
            return
        for at, entry in enumerate(new, index + 1):
            known = entries.term(at)
            if known == entry.term:
                continue  # the same entry: a message that is late must not cut what came after it
            if known is not None and not self.cut(at):
                return
            entries.append(new[at - index - 1 :])
            self.writes.appended()
            self.regroup(now)
            break
        match = index + len(new)
        self.verified = max(self.verified, match)
        self.commit = max(self.commit, min(m.commit, match))
        self.tell_agreed(m.sender, m.round)

    def cut(self, index: int) -> bool:
        if index <= self.commit:
            self.leave(
                f"entry {index} is committed here and another is sent for it: a disk has lost what it held"
            )
            return False
        self.entries.cut(index)
        self.writes.cut(index)
        return True

    def takes_piece(self, now: int, m: Message) -> None:
        self.hears_from(now, m.sender)
        if m.index > self.commit:
            taken = self.arrival.take(m)
            if isinstance(taken, int):
                self.say(Kind.TAKEN, m.sender, index=m.index, offset=taken)
                return
            self.install(now, taken)
        self.verified = max(self.verified, self.commit)
        self.tell_agreed(m.sender, m.round)

    def install(self, now: int, snapshot: Snapshot) -> None:
        if self.entries.term(snapshot.index) == snapshot.term:
            self.entries.shorten(snapshot)
            self.writes.snapped(snapshot.index)
        else:  # what stands behind it here was never committed
            self.entries = Entries(snapshot)
            self.writes.replaced(snapshot.index)
        for ticket in self.tickets.values():
            self.refuse(ticket, Reason.LOST)
        self.tickets = {}
        self.commit = self.handed = snapshot.index
        self.telling.append(Decision(Act.RESTORE, snapshot=snapshot))
        self.regroup(now)

    def regroup(self, now: int) -> None:
        """The group that stands last in the log holds, committed or not."""
        self.voters = self.entries.group.voters()
        if self.lead is not None:
            self.lead.regroup(self.entries.group.seats(), self.entries.last, now)
