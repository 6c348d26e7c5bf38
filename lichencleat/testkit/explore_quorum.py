"""Setting of the model checker for consensus: a few voters, their disks and the messages in flight.

The model has no clock: a voter may campaign at any moment, even with a live leader, which covers more orders
than any real timing. A lost message is a message that is never delivered. `Limits.repeats` allows messages
to be delivered twice. A power cut keeps the first few of the writes that were not confirmed, in their order.

A seat is the member id of a voter, and to stand is to campaign.
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

SNAPSHOT_STATE = b"the state"  # content of every snapshot; no check depends on it


@dataclass(frozen=True, slots=True)
class Limits:
    """Maximum number of each event in one history. The number of states grows steeply with each limit."""

    terms: int = 2
    cuts: int = 1
    proposals: int = 1
    repeats: int = 0
    max_in_flight: int = 8  # messages in flight; further messages are lost
    # Configuration changes in order: ("add" or "remove", member id).
    changes: tuple[tuple[str, int], ...] = ()
    compactions: int = 0
    reads: int = 0
    # Ids of the members that campaign, in this order; empty: any member may campaign at any time.
    campaigners: tuple[int, ...] = ()
    late_writes: bool = True  # a write may be confirmed after other events; if False, at once


class Timeless:
    """Mixin that makes a voter ignore the clock."""

    def reset_election_timer(self, now: int) -> None:
        pass

    def has_live_leader(self, now: int) -> bool:
        return False


def make_voter(kind: type[RaftNode], seat: int, durable: DurableState) -> RaftNode:
    """Return a voter of the class `kind` that ignores the clock."""
    timeless = type(f"Timeless{kind.__name__}", (Timeless, kind), {})
    return timeless(seat, durable, Timeouts(), random.Random(seat), 0)


class Disk:
    """Disk of a voter: the durable state, and the writes that were not confirmed yet."""

    __slots__ = ("durable", "pending")

    def __init__(self, durable: DurableState, pending: tuple[DurableWrite, ...] = ()) -> None:
        self.durable, self.pending = durable, pending

    def after(self, count: int) -> DurableState:
        """Return the durable state after the first `count` of the unconfirmed writes."""
        found = self.durable
        for save in self.pending[:count]:
            found = apply_write(found, save)
        return found


def apply_write(durable: DurableState, save: DurableWrite) -> DurableState:
    """Return the durable state after the write, as the log storage and the store produce it."""
    old = durable.snapshot.index if durable.snapshot else 0
    log = dict(enumerate(durable.entries, old + 1))
    log.update(enumerate(save.entries, save.first_index))
    entries = [log[index] for index in range(save.snapshot_index + 1, save.last_index + 1)]
    return DurableState(save.term, save.vote, save.snapshot or durable.snapshot, entries)


class QuorumWorld:
    """State of the setting.

    `wrong` describes a violated rule: one leader in a term, the same entries at all members, no stale reads.
    """

    def __init__(self, kind: type[RaftNode], seats: int, limits: Limits, spare: int = 0) -> None:
        """Create `seats` voters, with ids from 1, and `spare` members with empty disks that may be added."""
        self.kind, self.limits = kind, limits
        self.members = {seat: Member(seat, f"v{seat}", "", 0) for seat in range(1, seats + spare + 1)}
        group = Configuration(tuple(self.members[seat] for seat in range(1, seats + 1)))
        self.voters: dict[int, RaftNode] = {}
        self.disks: dict[int, Disk] = {}
        for seat in self.members:
            founded = Snapshot(0, 0, group, b"") if seat <= seats else None
            self.disks[seat] = Disk(DurableState(snapshot=founded))
            self.voters[seat] = make_voter(kind, seat, self.disks[seat].durable)
        self.messages: tuple[Message, ...] = ()  # messages in flight
        self.leaders: dict[int, int] = {}  # term -> member id of its leader, for all terms so far
        self.applied: tuple[Entry, ...] = ()  # entries applied by any member, from index 1 on
        self.cuts = self.proposals = self.repeats = self.changes = self.compactions = 0
        self.campaigns = self.reads = 0
        self.wrong: str | None = None  # description of the violation

    # -- methods of explore.World --------------------------------------------------------------------

    def actions(self) -> Iterator[Hashable]:
        """Yield all actions that are possible in this state, in a fixed order."""
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
        for message in dict.fromkeys(self.messages):
            yield "deliver", message
            if self.repeats < limits.repeats:
                yield "repeat", message

    def may_stand(self, seat: int, voter: RaftNode) -> bool:
        campaigners = self.limits.campaigners
        return (
            voter.term < self.limits.terms
            and voter.can_campaign()
            and (
                not campaigners or (self.campaigns < len(campaigners) and campaigners[self.campaigns] == seat)
            )
        )

    def after(self, action: Any) -> QuorumWorld:
        """Return the state that follows the action; this state stays unchanged."""
        world = copy.copy(self)
        world.voters, world.disks = dict(self.voters), dict(self.disks)
        world.leaders = dict(self.leaders)
        what, rest = action[0], action[1:]
        getattr(world, f"do_{what}")(*rest)
        return world

    def key(self) -> Hashable:
        """Return a key; states with equal keys have the same possible futures."""
        return (
            tuple(fingerprint(each) for each in self.voters.values()),
            tuple(
                (each.durable.term, each.durable.vote, tuple(each.durable.entries), len(each.pending))
                for each in self.disks.values()
            ),
            frozenset(Counter(self.messages).items()),
            tuple(self.leaders.items()),
            self.applied,
            (
                self.cuts,
                self.proposals,
                self.repeats,
                self.changes,
                self.compactions,
                self.campaigns,
                self.reads,
            ),
        )

    def violation(self) -> str | None:
        """Return the description of the violated rule, or None."""
        return self.wrong

    # -- actions --------------------------------------------------------------------------------

    def touch(self, seat: int) -> RaftNode:
        """Replace the voter by a copy, so that its changes do not affect other states; return the copy."""
        voter = self.voters[seat] = copy_voter(self.voters[seat])
        return voter

    def do_saved(self, seat: int) -> None:
        """Confirm the oldest unconfirmed write of the voter."""
        disk, voter = self.disks[seat], self.touch(seat)
        save, rest = disk.pending[0], disk.pending[1:]
        self.disks[seat] = Disk(apply_write(disk.durable, save), rest)
        voter.on_write_durable(0, save.number)
        self.pull(seat)

    def do_stand(self, seat: int) -> None:
        """The voter campaigns. A leader steps down first, as a leader without contact to a majority does."""
        self.campaigns += 1
        voter = self.touch(seat)
        voter.become_follower(0, voter.term)
        voter.start_election(0, False)
        self.pull(seat)

    def do_propose(self, seat: int) -> None:
        """A client proposes a new entry to the leader."""
        self.proposals += 1
        self.touch(seat).propose(0, None, b"%d" % self.proposals)
        self.pull(seat)

    def do_read(self, seat: int) -> None:
        """A client reads; the answer must include each entry that any member applied before the read."""
        self.reads += 1
        self.touch(seat).read(0, ("read", len(self.applied)))
        self.pull(seat)

    def do_change(self, seat: int) -> None:
        """The leader proposes the next configuration change."""
        what, whom = self.limits.changes[self.changes]
        self.changes += 1
        voter = self.touch(seat)
        group = voter.log.configuration
        wanted = with_member(group, self.members[whom]) if what == "add" else without_member(group, whom)
        voter.change_configuration(0, None, wanted)
        self.pull(seat)

    def do_compact(self, seat: int) -> None:
        """The voter compacts its log up to the last delivered entry."""
        self.compactions += 1
        voter = self.touch(seat)
        voter.compact(voter.delivered_index, SNAPSHOT_STATE)
        self.pull(seat)

    def do_cut(self, seat: int, kept: int) -> None:
        """The voter loses power and restarts; the first `kept` of its unconfirmed writes survive."""
        self.cuts += 1
        found = self.disks[seat].after(kept)
        self.disks[seat] = Disk(found)
        self.voters[seat] = make_voter(self.kind, seat, found)
        self.pull(seat)

    def do_deliver(self, message: Message) -> None:
        """Deliver the message and remove it from the messages in flight."""
        left = list(self.messages)
        left.remove(message)
        self.messages = tuple(left)
        self.touch(message.recipient).receive(0, message)
        self.pull(message.recipient)

    def do_repeat(self, message: Message) -> None:
        """Deliver the message and keep it in flight, so that it can be delivered again."""
        self.repeats += 1
        self.touch(message.recipient).receive(0, message)
        self.pull(message.recipient)

    def pull(self, seat: int) -> None:
        """Carry out the actions that the voter has decided on, and check the rules."""
        voter = self.voters[seat]
        while (decision := voter.next_action()) is not None:
            if decision.action_type is ActionType.WRITE:
                assert decision.write is not None
                disk = self.disks[seat]
                if self.limits.late_writes:
                    self.disks[seat] = Disk(disk.durable, (*disk.pending, decision.write))
                else:
                    self.disks[seat] = Disk(apply_write(disk.durable, decision.write))
                    voter.on_write_durable(0, decision.write.number)
            elif decision.action_type is ActionType.SEND:
                assert decision.message is not None
                if len(self.messages) < self.limits.max_in_flight:  # further messages are lost
                    self.messages = (*self.messages, decision.message)
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
        """Check that all members apply the same entry at each index, in order."""
        if index <= len(self.applied):
            if self.applied[index - 1] != entry:
                self.wrong = f"{seat} applies {entry} as {index}, another {self.applied[index - 1]}"
        elif index == len(self.applied) + 1:
            self.applied = (*self.applied, entry)
        else:
            self.wrong = f"{seat} applies {index} when {len(self.applied)} were applied"


def copy_voter(voter: RaftNode) -> RaftNode:
    """Return a copy of the voter that shares no mutable state with it."""
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
    """Return the part of the voter's state that decides its future behavior."""
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


def deliver_all(world: QuorumWorld, among: Collection[int]) -> QuorumWorld:
    """Deliver all messages among these members and confirm their writes until none are left.

    Messages to or from other members are lost.
    """
    while True:
        messages = [each for each in world.messages if each.sender in among and each.recipient in among]
        saving = [seat for seat in among if world.disks[seat].pending]
        if saving:
            world = world.after(("saved", saving[0]))
        elif messages:
            world = world.after(("deliver", messages[0]))
        else:
            return drop_messages(world)


def drop_messages(world: QuorumWorld) -> QuorumWorld:
    """Return the state after the loss of all messages in flight."""
    world = copy.copy(world)
    world.messages = ()
    return world


def elect(
    world: QuorumWorld, seat: int, times: int, among: Collection[int], saves: bool = True
) -> QuorumWorld:
    """Let the member campaign `times` times; the members `among` elect it in the last campaign.

    The messages that the new leader sends are not delivered. `saves` tells whether its writes are confirmed.
    """
    for _ in range(times):
        world = drop_messages(world).after(("stand", seat))
    while world.voters[seat].role is not Role.LEADER:
        saving = [each for each in among if world.disks[each].pending]
        messages = [each for each in world.messages if each.sender in among and each.recipient in among]
        world = world.after(("saved", saving[0]) if saving else ("deliver", messages[0]))
    while saves and world.disks[seat].pending:
        world = world.after(("saved", seat))
    return world
