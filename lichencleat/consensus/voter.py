"""One member of the group: who leads, what is committed, what is written and said when; no I/O.

Inputs only update what is known: `hears`, `wakes`, `saved`, `propose`, `read`, `change`, `transfer`,
`compact`. After each lot of them the host pulls decisions with `next_decision` until there is none, and
carries them out in that order. What a message rests on is on the disk before it is given out: a message of a
term goes out once the term and vote are saved, and what a member says of its log is what is saved of it.
"""

from __future__ import annotations

from typing import Any, ClassVar

from lichencleat.consensus import group as groups
from lichencleat.consensus.entries import encode_group
from lichencleat.consensus.leading import WAITING_MOST, Leading
from lichencleat.consensus.member import Member, Role
from lichencleat.consensus.terms import (
    NOBODY,
    Act,
    Decision,
    Entry,
    Group,
    Kind,
    Message,
    Reason,
    Snapshot,
    What,
)

LEARNER_BEATS = (
    8  # beats from one word to a learner to the next: it stands for nothing, and there may be hundreds
)
CAUGHT_UP = 256  # entries that a learner may lack and still be made a voter: some 100 ms of a busy group


class Voter(Member):
    # -- what happened -------------------------------------------------------------------------------

    def hears(self, now: int, m: Message) -> None:
        if self.role is Role.OUT or m.to != self.seat:
            return
        if m.term > self.term and not self.takes_term(now, m):
            if m.kind == Kind.WOULD_YOU:
                self.would(now, m)
            elif m.kind == Kind.WOULD:
                self.would_be(now, m)
            return
        if m.term < self.term:
            self.outdated(m)
            return
        name = self.HEARS.get(m.kind)
        if name is not None:  # else of a newer program: it is left alone
            getattr(self, name)(now, m)

    def takes_term(self, now: int, m: Message) -> bool:
        """A newer term holds for whoever hears of it, but for questions that only sound out, and for a
        candidate
        that bothers a group which hears its leader."""
        if m.kind == Kind.WOULD_YOU or (m.kind == Kind.WOULD and m.granted):
            return False
        if m.kind == Kind.VOTE and not m.forced and self.hears_leader(now):
            return False
        self.follow(now, m.term)
        return True

    def outdated(self, m: Message) -> None:
        """Who speaks in an older term is told of the newer one, so that it stops leading or asking."""
        if m.kind in (Kind.APPEND, Kind.SNAPSHOT):
            self.say(Kind.APPENDED, m.sender)
        elif m.kind == Kind.WOULD_YOU:
            self.say(Kind.WOULD, m.sender)
        elif m.kind == Kind.VOTE:
            self.say(Kind.VOTED, m.sender)

    def wakes(self, now: int) -> None:
        """To be called at `deadline`, or whenever."""
        if self.lead is not None:
            if not self.lead.leads_majority(self.voters, now - self.times.election):
                self.follow(now, self.term)  # it may be cut off: its callers should look for another
                return
            if self.lead.moving and now >= self.lead.moving[1]:
                self.lead.moving = None
            if now >= self.beat_at:
                self.beat(now)
        elif now >= self.election_at:
            self.ask(now)

    def deadline(self) -> int:
        """µs: when `wakes` is to be called at the latest."""
        return self.beat_at if self.role is Role.LEADER else self.election_at

    def saved(self, now: int, number: int) -> None:
        """All saves up to that number are on the disk."""
        if self.role is Role.OUT:
            return
        more = self.writes.saved(number)
        if self.lead is not None:
            self.advance(now)
        elif self.leader != NOBODY and more:
            self.tell_agreed(self.leader, 0)

    # -- what a host asks for ------------------------------------------------------------------------

    def propose(self, now: int, ticket: Any, data: bytes, session: int = 0, number: int = 0) -> None:
        """The ticket comes back with the entry's APPLY, or with a REFUSE."""
        reason = self.objection()
        if reason is None:
            self.take(now, Entry(self.term, What.COMMAND, data, session, number), ticket)
        else:
            self.refuse(ticket, reason)

    def propose_session(self, now: int, ticket: Any) -> None:
        """Opens a session for a client; its number is the index of the entry."""
        reason = self.objection()
        if reason is None:
            self.take(now, Entry(self.term, What.SESSION), ticket)
        else:
            self.refuse(ticket, reason)

    def objection(self) -> Reason | None:
        if self.lead is None:
            return Reason.NOT_LEADER
        if self.lead.moving:
            return Reason.MOVING
        if len(self.lead.waiting) >= WAITING_MOST:
            return Reason.BUSY
        return None

    def read(self, now: int, ticket: Any) -> None:
        """READ comes with the index up to which the state must be applied before the read is answered."""
        reason = Reason.NOT_LEADER if self.lead is None else None
        if self.lead is not None:
            reason = Reason.TOO_EARLY if self.commit < self.lead.first else self.lead.ask(ticket, self.commit)
        if reason is not None:
            self.refuse(ticket, reason)
            return
        self.turn_round()

    def change(self, now: int, ticket: Any, group: Group) -> None:
        """One member more, less, or with its vote given or taken."""
        reason = self.objection() or self.untimely(group)
        if reason is None:
            self.take(now, Entry(self.term, What.GROUP, encode_group(group)), ticket)
        else:
            self.refuse(ticket, reason)

    def untimely(self, group: Group) -> Reason | None:
        assert self.lead is not None
        if self.commit < self.lead.first:
            return (
                Reason.TOO_EARLY
            )  # a change of an older term may be undone yet: two groups could decide apart
        if self.entries.groups[-1][0] > self.commit:
            return Reason.CHANGING
        for seat in group.voters() - self.voters:
            if seat in self.entries.group.seats() and self.lead.matched(seat) < max(
                1, self.commit - CAUGHT_UP
            ):
                return Reason.BEHIND
        return groups.objection(self.entries.group, group)

    def transfer(self, now: int, seat: int) -> bool:
        """Hands leadership to that voter once it has all entries. Is it under way?"""
        if self.lead is None or seat == self.seat or seat not in self.voters or self.lead.moving:
            return False
        self.lead.moving = (seat, now + self.times.transfer)
        self.move(now)
        return True

    def compact(self, index: int, data: bytes) -> None:
        """The host's state after that entry, which was applied, stands for all entries up to it."""
        if self.role is Role.OUT or not self.entries.base < index <= self.handed:
            return
        term = self.entries.term(index)
        assert term is not None
        self.entries.shorten(Snapshot(index, term, self.entries.group_at(index), data))
        self.writes.snapped(index)

    def link_lost(self, seat: int) -> None:
        """What was on its way to that member may be lost."""
        progress = self.lead.progress.get(seat) if self.lead is not None else None
        if progress is not None:
            progress.probe(progress.match + 1)

    # -- decisions -----------------------------------------------------------------------------------

    def next_decision(self) -> Decision | None:
        if self.writes.dirty:
            return Decision(Act.SAVE, save=self.writes.make(self.term, self.vote, self.entries))
        if self.telling:
            return self.telling.popleft()
        if self.handed < self.commit and self.role is not Role.OUT:
            return self.hand_on()
        if self.outbox:
            if self.outbox[0][0] > self.writes.confirmed:
                return None
            return Decision(Act.SEND, message=self.outbox.popleft()[1])
        return self.feed()

    def hand_on(self) -> Decision:
        self.handed += 1
        ticket = self.tickets.pop(self.handed, None)
        if ticket is None and self.lead is not None:
            ticket = self.lead.waiting.pop(self.handed, None)
        return Decision(Act.APPLY, index=self.handed, entry=self.entries.at(self.handed), ticket=ticket)

    def feed(self) -> Decision | None:
        """What followers lack is made up only when the host asks: all that came meanwhile goes in one
        message.
        """
        lead = self.lead
        if lead is None or self.writes.term_number > self.writes.confirmed:
            return None
        while lead.hungry:
            seat = next(iter(lead.hungry))
            message = lead.progress[seat].next_message(self.entries, self.word(seat))
            if message is not None:
                return Decision(Act.SEND, message=message)
            del lead.hungry[seat]
        return None

    # -- elections -----------------------------------------------------------------------------------

    def may_stand(self) -> bool:
        """One whose removal stands in its log and is not known to be committed may be needed to commit it:
        nobody who lacks that entry is elected by those who have it (thesis 4.2.2). It does not count its own
        vote.
        """
        if self.seat in self.voters:
            return True
        groups_ = self.entries.groups
        return len(groups_) > 1 and groups_[-1][0] > self.commit and self.seat in groups_[-2][1].voters()

    def ask(self, now: int) -> None:
        """Sounds out whether it would be elected, and disturbs nobody by it (thesis 9.6)."""
        self.failed += 1
        self.rest(now)
        if not self.may_stand() or self.role is Role.OUT:
            return
        self.role, self.leader = Role.ASKING, NOBODY
        self.votes = frozenset([self.seat])
        if groups.has_majority(self.voters, self.votes):
            self.stand(now, False)
            return
        for seat in sorted(self.voters - {self.seat}):
            self.say(
                Kind.WOULD_YOU,
                seat,
                term=self.term + 1,
                index=self.entries.last,
                past=self.entries.last_term,
            )

    def stand(self, now: int, forced: bool) -> None:
        self.role, self.leader = Role.STANDING, NOBODY
        self.term, self.vote = self.term + 1, self.seat
        self.writes.changed_term()
        self.votes = frozenset([self.seat])
        self.rest(now)
        if groups.has_majority(self.voters, self.votes):
            self.win(now)
            return
        for seat in sorted(self.voters - {self.seat}):
            self.say(Kind.VOTE, seat, index=self.entries.last, past=self.entries.last_term, forced=forced)

    def up_to_date(self, m: Message) -> bool:
        """Does its log hold all that this one may know to be committed (Raft 5.4.1)?"""
        return (m.past, m.index) >= (self.entries.last_term, self.entries.last)

    def would(self, now: int, m: Message) -> None:
        if self.hears_leader(now):
            return
        granted = m.term > self.term and self.up_to_date(m)
        self.say(Kind.WOULD, m.sender, term=m.term if granted else self.term, granted=granted)

    def would_be(self, now: int, m: Message) -> None:
        if self.role is Role.ASKING and m.granted and m.term == self.term + 1:
            self.votes |= {m.sender}
            if groups.has_majority(self.voters, self.votes):
                self.stand(now, False)

    def asked_vote(self, now: int, m: Message) -> None:
        free = self.vote in (NOBODY, m.sender) and self.role in (Role.FOLLOWER, Role.ASKING)
        granted = free and self.up_to_date(m)
        if granted:
            if self.vote == NOBODY:
                self.vote = m.sender
                self.writes.changed_term()
            self.rest(now)
        self.say(Kind.VOTED, m.sender, granted=granted)

    def voted(self, now: int, m: Message) -> None:
        if self.role is Role.STANDING and m.granted:
            self.votes |= {m.sender}
            if groups.has_majority(self.voters, self.votes):
                self.win(now)

    def win(self, now: int) -> None:
        self.role, self.leader = Role.LEADER, self.seat
        self.failed = 0
        self.lead = Leading(self.seat, self.entries.last + 1)
        self.lead.regroup(self.entries.group.seats(), self.entries.last + 1, now)
        self.take(now, Entry(self.term, What.NOTHING), None)
        self.beat(now)

    def told_to_lead(self, now: int, m: Message) -> None:
        if self.role is Role.FOLLOWER and m.sender == self.leader and self.seat in self.voters:
            self.stand(now, True)

    # -- leading -------------------------------------------------------------------------------------

    def take(self, now: int, entry: Entry, ticket: Any) -> None:
        assert self.lead is not None
        self.entries.append([entry])
        self.writes.appended()
        if ticket is not None:
            self.lead.waiting[self.entries.last] = ticket
        if entry.what == What.GROUP:
            self.regroup(now)
        self.lead.feed_all()

    def word(self, seat: int) -> Message:
        assert self.lead is not None
        return Message(Kind.APPEND, self.term, self.seat, seat, commit=self.commit, round=self.lead.round)

    def say_word(self, seat: int) -> None:
        assert self.lead is not None
        self.post(self.lead.progress[seat].word(self.entries, self.word(seat)))

    def beat(self, now: int) -> None:
        """A word to every voter, and at some beats to every learner."""
        assert self.lead is not None
        self.beat_at = now + self.times.beat
        self.beats += 1
        for seat, progress in self.lead.progress.items():
            if seat in self.voters or self.beats % LEARNER_BEATS == 0:
                progress.beat()
                self.say_word(seat)
                self.lead.hungry[seat] = None

    def turn_round(self) -> None:
        lead = self.lead
        assert lead is not None
        while lead.begins_round():
            lead.answered(self.voters)
            if lead.proved < lead.round:  # else the leader alone is a majority
                for seat in sorted(self.voters & lead.progress.keys()):
                    self.say_word(seat)
            for ticket, index in lead.proved_reads():
                self.telling.append(Decision(Act.READ, ticket=ticket, index=index))

    def advance(self, now: int) -> None:
        """Commits what a majority has on its disks, by an entry of this term only (Raft 5.4.2)."""
        lead = self.lead
        assert lead is not None
        reached = lead.reached(self.voters, self.writes.durable)
        if reached > self.commit and self.entries.term(reached) == self.term:
            self.commit = reached
            if self.seat not in self.voters and self.entries.groups[-1][0] <= self.commit:
                for seat in lead.progress:  # its removal is committed: the last thing that it tells
                    self.say_word(seat)
                self.follow(now, self.term)

    def move(self, now: int) -> None:
        assert self.lead is not None
        seat = self.lead.ready_to_move(self.entries.last)
        if seat != NOBODY:
            self.say(Kind.LEAD, seat)

    def agreed(self, now: int, m: Message) -> None:
        """An answer to entries, to a word, or to a snapshot."""
        progress = self.lead.progress.get(m.sender) if self.lead is not None else None
        if progress is None:
            return
        lead = self.lead
        assert lead is not None
        progress.heard_at = now
        if m.round > progress.round:
            progress.round = m.round
            lead.answered(self.voters)
            for ticket, index in lead.proved_reads():
                self.telling.append(Decision(Act.READ, ticket=ticket, index=index))
            self.turn_round()
        lead.hungry[m.sender] = None
        if not m.granted:
            progress.refused(m.offset, m.index)
        elif progress.agreed(m.index):
            self.advance(now)
            if self.lead is not None and self.lead.moving:
                self.move(now)

    def piece_taken(self, now: int, m: Message) -> None:
        progress = self.lead.progress.get(m.sender) if self.lead is not None else None
        if progress is not None and self.lead is not None:
            progress.heard_at = now
            progress.taken(m.index, m.offset)
            self.lead.hungry[m.sender] = None

    HEARS: ClassVar[dict[int, str]] = {
        Kind.WOULD_YOU: "would",
        Kind.WOULD: "would_be",
        Kind.VOTE: "asked_vote",
        Kind.VOTED: "voted",
        Kind.APPEND: "appends",
        Kind.APPENDED: "agreed",
        Kind.SNAPSHOT: "takes_piece",
        Kind.TAKEN: "piece_taken",
        Kind.LEAD: "told_to_lead",
    }
