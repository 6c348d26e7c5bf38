"""Voters with their disks, in simulated time: what a process of the program is, without its sockets and
threads.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable
from typing import Any

import msgspec

from lichencleat.consensus.facts import Facts, Set
from lichencleat.consensus.group import changed, without
from lichencleat.consensus.journal import Journal
from lichencleat.consensus.member import Role
from lichencleat.consensus.state import State, founded
from lichencleat.consensus.terms import (
    Act,
    Decision,
    Entry,
    Group,
    Member,
    Message,
    Reason,
    Save,
    Times,
    What,
)
from lichencleat.consensus.voter import Voter
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.engine import Engine
from lichencleat.store.errors import StoreError
from lichencleat.testkit.checkers.group import GroupWatch
from lichencleat.testkit.faulty_disk import FaultyDisk, PowerCutError, by_chance
from lichencleat.testkit.simulation.clockwork import Clockwork, DriftingClock, Timer
from lichencleat.testkit.simulation.network import Network

FLUSH = (100, 1_200)  # µs that a write and its flush take on a disk in good health
SMALL = StoreLimits(segment_bytes=64 << 10, max_disk_bytes=4 << 20, keep_reserve=False)
UPKEEP_EACH = 20  # commits from one round of the store's upkeep to the next

Answer = Callable[[Any], None]


class WatchedFacts(Facts):
    """Tells the judge what takes effect: values are unlike each other."""

    def __init__(self, member: Any, watch: GroupWatch) -> None:
        super().__init__()
        self.member, self.watch = member, watch

    def apply(self, index: int, command: msgspec.Raw) -> Any:
        answer = super().apply(index, command)
        if answer.done:
            wanted = msgspec.msgpack.decode(command, type=Set)
            self.watch.takes_effect(self.member, index, wanted.value)
        return answer


class SimMember:
    """One process: started, cut off, killed, stopped and gone on with."""

    def __init__(self, group: SimGroup, member: Member, rng: random.Random, founding: Group | None) -> None:
        self.group, self.member, self.seat, self.rng = group, member, member.seat, rng
        self.clock = DriftingClock(group.clockwork, start=rng.randrange(1 << 40))
        self.disk = FaultyDisk()
        self.flush_time = 1  # times what is usual
        self.up = False
        self.stopped = False  # SIGSTOP
        self.missed: list[tuple[Callable[..., None], tuple[Any, ...]]] = []  # while it is stopped
        self.timer: Timer | None = None
        self.life = 0
        if founding is not None:
            engine = self.open()
            assert engine.commit([Journal().found(founded(founding))]) == [None]
            engine.close()

    # -- the process ---------------------------------------------------------------------------------

    def open(self) -> Engine:
        return Engine.open(self.disk, lambda: self.group.clockwork.now, self.rng, SMALL, create=True)

    def start(self) -> None:
        self.up, self.stopped, self.missed = True, False, []
        self.life += 1
        self.disk.locked = self.disk.off = False
        self.disk.room, self.disk.faults = None, {}
        self.engine = self.open()
        self.journal = Journal()
        self.fresh_state()
        durable = self.journal.load(self.engine.get)
        self.voter = self.group.kind(
            self.seat, durable, self.group.times, random.Random(self.rng.randrange(1 << 30)), self.clock()
        )
        self.waiting: list[Save] = []
        self.writing = False
        self.reads: list[tuple[int, Any, Answer]] = []
        self.commits = 0
        self.dumped: tuple[int, bytes] | None = None
        self.pull()

    def fresh_state(self) -> None:
        self.state = State({"facts": WatchedFacts(self.member.name, self.group.watch)})

    def end(self) -> None:
        self.up = False
        if self.timer is not None:
            self.timer.cancel()

    def cut_power(self) -> None:
        """What was not flushed is lost, in part; a write under way reaches the disk in part, or not."""
        if not self.up:
            return
        if self.writing and self.rng.random() < 0.5:
            self.disk.faults = {len(self.disk.calls) + self.rng.randrange(3): FaultyDisk.CUT}
            with contextlib.suppress(PowerCutError):
                self.engine.commit([self.journal_batch(each) for each in self.waiting])
        self.end()
        self.disk = self.disk.after_cut(by_chance(self.rng))

    def kill(self) -> None:
        """The process goes; what it wrote stands in the machine's memory still."""
        if self.up:
            self.end()
            self.disk.off = False

    def stop(self) -> None:
        self.stopped = self.up

    def go_on(self) -> None:
        if self.stopped:
            self.stopped = False
            missed, self.missed = self.missed, []
            for call, args in missed:
                call(*args)

    def alive(self, life: int, call: Callable[..., None], *args: Any) -> None:
        """Does the call in the process that asked for it; later, where that is stopped."""
        if not self.up or self.life != life:
            return
        if self.stopped:
            self.missed.append((self.alive, (life, call, *args)))
            return
        call(*args)

    def later(self, span: int, call: Callable[..., None], *args: Any) -> Timer:
        return self.group.clockwork.after(span, self.alive, self.life, call, *args)

    # -- as a host -----------------------------------------------------------------------------------

    def hears(self, message: Message) -> None:
        self.voter.hears(self.clock(), message)
        self.pull()

    def wake(self) -> None:
        self.voter.wakes(self.clock())
        self.pull()

    def pull(self) -> None:
        while self.up and (decision := self.voter.next_decision()) is not None:
            self.carry_out(decision)
        if not self.up:
            return
        for read in [each for each in self.reads if each[0] <= self.state.applied]:
            self.reads.remove(read)
            read[2](("read", self.state.read("facts", read[1])))
        if self.voter.role is Role.LEADER:
            self.group.watch.leads(self.member.name, self.voter.term)
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.later(self.clock.until(self.voter.deadline()), self.wake)

    def carry_out(self, decision: Decision) -> None:
        if decision.act is Act.SAVE:
            assert decision.save is not None
            self.waiting.append(decision.save)
            self.write()
        elif decision.act is Act.SEND:
            assert decision.message is not None
            self.group.carry(decision.message)
        elif decision.act is Act.APPLY:
            self.apply(decision)
        elif decision.act is Act.RESTORE:
            assert decision.snapshot is not None
            self.fresh_state()
            self.state.restore(decision.snapshot)
            self.dumped = None
        elif decision.act is Act.READ:
            query, answer = decision.ticket
            self.reads.append((decision.index, query, answer))
        elif decision.act is Act.REFUSE:
            decision.ticket[1](("refused", decision.reason, self.voter.leader))
        elif decision.act is Act.LEAVE:
            self.group.left.append((self.member.name, decision.reason))
            self.end()

    def apply(self, decision: Decision) -> None:
        entry = decision.entry
        assert entry is not None
        self.group.watch.applies(self.member.name, decision.index, entry)
        verdict, result = self.state.apply(decision.index, entry)
        if decision.ticket is not None:
            decision.ticket[1](("done", verdict, result))
        if decision.index % self.group.compact_each == 0:
            if self.dumped is not None:
                self.voter.compact(*self.dumped)
            self.dumped = (decision.index, self.state.dump())

    def journal_batch(self, save: Save) -> Any:
        return self.journal.batch(save)

    def write(self) -> None:
        if not self.writing and self.waiting:
            self.writing = True
            self.later(self.rng.randint(*FLUSH) * self.flush_time, self.written)

    def written(self) -> None:
        self.writing = False
        group, self.waiting = self.waiting, []
        verdicts = self.engine.commit([self.journal_batch(each) for each in group])
        wrong = next((each for each in verdicts if each is not None), None)
        if wrong is not None:
            self.voter.disk_failed(str(wrong))
        else:
            self.voter.saved(self.clock(), group[-1].number)
            self.keep_up()
        self.pull()
        if self.up:
            self.write()

    def keep_up(self) -> None:
        self.commits += 1
        if self.commits % UPKEEP_EACH == 0:
            with contextlib.suppress(StoreError):  # the next write tells
                while self.engine.step():
                    pass

    # -- what clients ask ----------------------------------------------------------------------------

    def asked(self, what: str, content: Any, answer: Answer) -> None:
        now = self.clock()
        if what == "propose":
            entry: Entry = content
            if entry.what == What.SESSION:
                self.voter.propose_session(now, (what, answer))
            else:
                self.voter.propose(now, (what, answer), entry.data, entry.session, entry.number)
        elif what == "read":
            self.voter.read(now, (content, answer))
        elif what == "add":
            self.voter.change(now, (what, answer), changed(self.voter.entries.group, content))
        elif what == "remove":
            self.voter.change(now, (what, answer), without(self.voter.entries.group, content))
        elif what == "transfer":
            moving = self.voter.transfer(now, content)
            answer(("done" if moving else "refused", Reason.NOT_LEADER, self.voter.leader))
        self.pull()


class SimGroup:
    def __init__(
        self,
        clockwork: Clockwork,
        network: Network,
        rng: random.Random,
        voters: int,
        spare: int = 0,
        kind: type[Voter] = Voter,
        times: Times | None = None,
        compact_each: int = 40,
    ) -> None:
        self.clockwork, self.network, self.rng = clockwork, network, rng
        self.kind, self.times, self.compact_each = kind, times or Times(), compact_each
        self.watch = GroupWatch()
        self.left: list[tuple[str, str]] = []  # who went by itself, and why
        listed = [Member(seat, f"v{seat}", "", 0) for seat in range(1, voters + spare + 1)]
        founding = Group(tuple(listed[:voters]))
        self.members: dict[int, SimMember] = {}
        for each in listed:
            own = random.Random(rng.randrange(1 << 60))
            self.members[each.seat] = SimMember(self, each, own, founding if each.seat <= voters else None)

    def start(self) -> None:
        for each in self.members.values():
            each.start()

    def carry(self, message: Message) -> None:
        to = self.members[message.to]
        self.network.send(message.sender, message.to, to.alive, to.life, to.hears, message)

    def ask(self, client: Any, seat: int, what: str, content: Any, answer: Answer) -> None:
        """As a client does, over the network, both ways."""
        to = self.members[seat]

        def back(told: Any) -> None:
            self.network.send(seat, client, answer, told)

        self.network.send(client, seat, lambda: to.alive(to.life, to.asked, what, content, back))

    def leader(self) -> SimMember | None:
        leading = [each for each in self.members.values() if each.up and each.voter.role is Role.LEADER]
        return max(leading, key=lambda each: each.voter.term, default=None)
