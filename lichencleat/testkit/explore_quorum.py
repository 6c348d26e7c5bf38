"""A few voters, their disks and what is on its way between them, for the explorer.

Time is left out: a voter may stand at any moment, whatever it has heard, which allows more than any clock
does. A message that is never delivered is lost; one that is delivered stays for a second time where repeats
are allowed. A cut leaves some of the writes that were not confirmed, in their order.
"""

from __future__ import annotations

import copy
import random
from collections import Counter, deque
from collections.abc import Collection, Hashable, Iterator
from dataclasses import dataclass
from typing import Any

from lichencleat.consensus.configuration import with_member, without_member
from lichencleat.consensus.messages import (
    ActionType,
    Configuration,
    DurableState,
    DurableWrite,
    Entry,
    Member,
    Message,
    Snapshot,
    Timeouts,
)
from lichencleat.consensus.raft_node import RaftNode
from lichencleat.consensus.role import Role

SNAPSHOT_STATE = b"the state"  # what it holds is of no matter here


@dataclass(frozen=True, slots=True)
class Limits:
    """How much may happen in one history; each one more makes far more states."""

    terms: int = 2
    cuts: int = 1
    proposals: int = 1
    repeats: int = 0
    on_the_way: int = 8
    changes: tuple[tuple[str, int], ...] = ()  # ("add" or "remove", seat), in turn
    compactions: int = 0
    reads: int = 0
    stands: tuple[int, ...] = ()  # seats that may stand, in turn; none: any one, any time
    late_writes: bool = True  # a save may be confirmed after anything else; else at once


class Timeless:
    """Mixed into a voter: it heeds no clock."""

    def reset_election_timer(self, now: int) -> None:
        pass

    def has_live_leader(self, now: int) -> bool:
        return False


def make_voter(kind: type[RaftNode], seat: int, durable: DurableState) -> RaftNode:
    timeless = type(f"Timeless{kind.__name__}", (Timeless, kind), {})
    return timeless(seat, durable, Timeouts(), random.Random(seat), 0)


class Disk:
    """What was confirmed, and the saves on their way."""

    __slots__ = ("durable", "pending")

    def __init__(self, durable: DurableState, pending: tuple[DurableWrite, ...] = ()) -> None:
        self.durable, self.pending = durable, pending

    def after(self, count: int) -> DurableState:
        """With the first `count` of the saves on their way."""
        found = self.durable
        for save in self.pending[:count]:
            found = written(found, save)
        return found


def written(durable: DurableState, save: DurableWrite) -> DurableState:
    """What the disk holds after that save, as `journal.py` and the store make it."""
    old = durable.snapshot.index if durable.snapshot else 0
    log = dict(enumerate(durable.entries, old + 1))
    log.update(enumerate(save.entries, save.first_index))
    entries = [log[index] for index in range(save.snapshot_index + 1, save.last_index + 1)]
    return DurableState(save.term, save.vote, save.snapshot or durable.snapshot, entries)


class QuorumWorld:
    def __init__(self, kind: type[RaftNode], seats: int, limits: Limits, spare: int = 0) -> None:
        """`seats` voters, numbered from 1; `spare` more with empty disks that may be added."""
        self.kind, self.limits = kind, limits
        self.members = {seat: Member(seat, f"v{seat}", "", 0) for seat in range(1, seats + spare + 1)}
        group = Configuration(tuple(self.members[seat] for seat in range(1, seats + 1)))
        self.voters: dict[int, RaftNode] = {}
        self.disks: dict[int, Disk] = {}
        for seat in self.members:
            founded = Snapshot(0, 0, group, b"") if seat <= seats else None
            self.disks[seat] = Disk(DurableState(snapshot=founded))
            self.voters[seat] = make_voter(kind, seat, self.disks[seat].durable)
        self.flying: tuple[Message, ...] = ()
        self.leaders: dict[int, int] = {}  # term -> seat, of all that ever led
        self.applied: tuple[Entry, ...] = ()  # by any member, from index 1 on
        self.cuts = self.proposals = self.repeats = self.changes = self.compactions = 0
        self.stood = self.reads = 0
        self.wrong: str | None = None

    # -- as a World ----------------------------------------------------------------------------------

    def actions(self) -> Iterator[Hashable]:
        limits = self.limits
        for seat, voter in self.voters.items():
            if self.disks[seat].pending:
                yield "saved", seat
            if self.may_stand(seat, voter):
                yield "stand", seat
            if voter.role is Role.LEADER:
                if self.proposals < limits.proposals:
                    yield "propose", seat
                if self.reads < limits.reads:
                    yield "read", seat
                if self.changes < len(limits.changes):
                    yield "change", seat
            if self.compactions < limits.compactions and voter.delivered_index > voter.log.snapshot_index:
                yield "compact", seat
            if self.cuts < limits.cuts:
                for kept in range(len(self.disks[seat].pending) + 1):
                    yield "cut", seat, kept
        for message in dict.fromkeys(self.flying):
            yield "deliver", message
            if self.repeats < limits.repeats:
                yield "repeat", message

    def may_stand(self, seat: int, voter: RaftNode) -> bool:
        stands = self.limits.stands
        return (
            voter.term < self.limits.terms
            and voter.can_campaign()
            and (not stands or (self.stood < len(stands) and stands[self.stood] == seat))
        )

    def after(self, action: Any) -> QuorumWorld:
        world = copy.copy(self)
        world.voters, world.disks = dict(self.voters), dict(self.disks)
        world.leaders = dict(self.leaders)
        what, rest = action[0], action[1:]
        getattr(world, f"do_{what}")(*rest)
        return world

    def key(self) -> Hashable:
        return (
            tuple(fingerprint(each) for each in self.voters.values()),
            tuple(
                (each.durable.term, each.durable.vote, tuple(each.durable.entries), len(each.pending))
                for each in self.disks.values()
            ),
            frozenset(Counter(self.flying).items()),
            tuple(self.leaders.items()),
            self.applied,
            (self.cuts, self.proposals, self.repeats, self.changes, self.compactions, self.stood, self.reads),
        )

    def violation(self) -> str | None:
        return self.wrong

    # -- what happens --------------------------------------------------------------------------------

    def touch(self, seat: int) -> RaftNode:
        """That voter, to be changed in this world alone."""
        voter = self.voters[seat] = twin(self.voters[seat])
        return voter

    def do_saved(self, seat: int) -> None:
        disk, voter = self.disks[seat], self.touch(seat)
        save, rest = disk.pending[0], disk.pending[1:]
        self.disks[seat] = Disk(written(disk.durable, save), rest)
        voter.on_write_durable(0, save.number)
        self.pull(seat)

    def do_stand(self, seat: int) -> None:
        """A leader that stands has noticed that nobody hears it, and given up before."""
        self.stood += 1
        voter = self.touch(seat)
        voter.become_follower(0, voter.term)
        voter.start_election(0, False)
        self.pull(seat)

    def do_propose(self, seat: int) -> None:
        self.proposals += 1
        self.touch(seat).propose(0, None, b"%d" % self.proposals)
        self.pull(seat)

    def do_read(self, seat: int) -> None:
        """What was applied by anyone before the read began must be in its answer."""
        self.reads += 1
        self.touch(seat).read(0, ("read", len(self.applied)))
        self.pull(seat)

    def do_change(self, seat: int) -> None:
        what, whom = self.limits.changes[self.changes]
        self.changes += 1
        voter = self.touch(seat)
        group = voter.log.configuration
        wanted = with_member(group, self.members[whom]) if what == "add" else without_member(group, whom)
        voter.change_configuration(0, None, wanted)
        self.pull(seat)

    def do_compact(self, seat: int) -> None:
        self.compactions += 1
        voter = self.touch(seat)
        voter.compact(voter.delivered_index, SNAPSHOT_STATE)
        self.pull(seat)

    def do_cut(self, seat: int, kept: int) -> None:
        self.cuts += 1
        found = self.disks[seat].after(kept)
        self.disks[seat] = Disk(found)
        self.voters[seat] = make_voter(self.kind, seat, found)
        self.pull(seat)

    def do_deliver(self, message: Message) -> None:
        left = list(self.flying)
        left.remove(message)
        self.flying = tuple(left)
        self.touch(message.recipient).receive(0, message)
        self.pull(message.recipient)

    def do_repeat(self, message: Message) -> None:
        self.repeats += 1
        self.touch(message.recipient).receive(0, message)
        self.pull(message.recipient)

    def pull(self, seat: int) -> None:
        voter = self.voters[seat]
        while (decision := voter.next_action()) is not None:
            if decision.action_type is ActionType.WRITE:
                assert decision.write is not None
                disk = self.disks[seat]
                if self.limits.late_writes:
                    self.disks[seat] = Disk(disk.durable, (*disk.pending, decision.write))
                else:
                    self.disks[seat] = Disk(written(disk.durable, decision.write))
                    voter.on_write_durable(0, decision.write.number)
            elif decision.action_type is ActionType.SEND:
                assert decision.message is not None
                if len(self.flying) < self.limits.on_the_way:  # else it is lost
                    self.flying = (*self.flying, decision.message)
            elif decision.action_type is ActionType.APPLY:
                assert decision.entry is not None
                self.judge_applied(seat, decision.index, decision.entry)
            elif decision.action_type is ActionType.SERVE_READ and decision.index < decision.context[1]:
                self.wrong = f"{seat} reads at {decision.index}, when {decision.context[1]} were applied"
            elif decision.action_type is ActionType.HALT:
                self.wrong = self.wrong or f"{seat} leaves: {decision.reason}"
        if voter.role is Role.LEADER and self.leaders.setdefault(voter.term, seat) != seat:
            self.wrong = self.wrong or f"{seat} and {self.leaders[voter.term]} lead in term {voter.term}"

    def judge_applied(self, seat: int, index: int, entry: Entry) -> None:
        if index <= len(self.applied):
            if self.applied[index - 1] != entry:
                self.wrong = f"{seat} applies {entry} as {index}, another {self.applied[index - 1]}"
        elif index == len(self.applied) + 1:
            self.applied = (*self.applied, entry)
        else:
            self.wrong = f"{seat} applies {index} when {len(self.applied)} were applied"


def twin(voter: RaftNode) -> RaftNode:
    """A copy that shares nothing that changes."""
    other = copy.copy(voter)
    other.log = voter.log.copy()
    other.writes = copy.copy(voter.writes)
    other.writes.in_flight = deque(voter.writes.in_flight)
    other.snapshot_receiver = copy.copy(voter.snapshot_receiver)
    other.outbox, other.pending_actions = deque(voter.outbox), deque(voter.pending_actions)
    other.committed_contexts = dict(voter.committed_contexts)
    if voter.leader_state is not None:
        lead = other.leader_state = copy.copy(voter.leader_state)
        lead.progress = {seat: copy.copy(each) for seat, each in voter.leader_state.progress.items()}
        lead.pending_sends, lead.pending_proposals = (
            dict(voter.leader_state.pending_sends),
            dict(voter.leader_state.pending_proposals),
        )
        lead.pending_reads = list(voter.leader_state.pending_reads)
    return other


def fingerprint(voter: RaftNode) -> Hashable:
    lead = voter.leader_state
    return (
        (
            voter.role.value,
            voter.term,
            voter.vote,
            voter.leader_id,
            voter.votes_received,
            voter.commit_index,
            voter.delivered_index,
        ),
        (voter.log.snapshot_index, tuple(voter.log.entries), voter.matched_index, voter.writes.durable_index),
        (
            tuple(voter.outbox),
            voter.writes.durable_number,
            voter.writes.last_number,
            voter.writes.last_term_write,
        ),
        None
        if lead is None
        else tuple(
            (
                seat,
                each.match_index,
                each.next_index,
                each.is_probing,
                each.inflight,
                each.awaiting_response,
                each.read_round,
            )
            for seat, each in lead.progress.items()
        )
        + (tuple(lead.pending_reads), lead.read_round, lead.confirmed_round),
    )


def settled(world: QuorumWorld, among: Collection[int]) -> QuorumWorld:
    """All that is on its way among these seats arrives and is saved, until nothing is; what goes elsewhere is
    lost.
    """
    while True:
        flying = [each for each in world.flying if each.sender in among and each.recipient in among]
        saving = [seat for seat in among if world.disks[seat].pending]
        if saving:
            world = world.after(("saved", saving[0]))
        elif flying:
            world = world.after(("deliver", flying[0]))
        else:
            return quiet(world)


def quiet(world: QuorumWorld) -> QuorumWorld:
    """Whatever is on its way is lost."""
    world = copy.copy(world)
    world.flying = ()
    return world


def stood(
    world: QuorumWorld, seat: int, times: int, among: Collection[int], saves: bool = True
) -> QuorumWorld:
    """That seat stands so many times, the last time heard by `among` until it leads; nothing it then sends
    arrives.
    """
    for _ in range(times):
        world = quiet(world).after(("stand", seat))
    while world.voters[seat].role is not Role.LEADER:
        saving = [each for each in among if world.disks[each].pending]
        flying = [each for each in world.flying if each.sender in among and each.recipient in among]
        world = world.after(("saved", saving[0]) if saving else ("deliver", flying[0]))
    while saves and world.disks[seat].pending:
        world = world.after(("saved", seat))
    return world
