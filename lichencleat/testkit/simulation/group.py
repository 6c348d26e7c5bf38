"""Voters with their disks, in simulated time: what a process of the program is, without its sockets and
threads.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable
from typing import Any

import msgspec

from lichencleat.consensus.configuration import with_member, without_member
from lichencleat.consensus.key_value import KeyValueState, SetCommand
from lichencleat.consensus.log_storage import LogStorage
from lichencleat.consensus.messages import (
    Action,
    ActionType,
    Configuration,
    DurableWrite,
    Entry,
    EntryType,
    Member,
    Message,
    Timeouts,
)
from lichencleat.consensus.raft_node import RaftNode
from lichencleat.consensus.role import Role
from lichencleat.consensus.state_machine import StateMachine, bootstrap_snapshot
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.engine import Engine
from lichencleat.store.errors import StoreError
from lichencleat.testkit.checkers.group import GroupWatch
from lichencleat.testkit.faulty_disk import FaultyDisk, PowerCutError, by_chance
from lichencleat.testkit.simulation.clockwork import Clockwork, DriftingClock, Timer
from lichencleat.testkit.simulation.network import Network
from lichencleat.transport.outcomes import RejectReason

FLUSH = (100, 1_200)  # µs that a write and its flush take on a disk in good health
SMALL = StoreLimits(segment_bytes=64 << 10, max_disk_bytes=4 << 20, keep_reserve=False)
UPKEEP_EACH = 20  # commits from one round of the store's upkeep to the next

Answer = Callable[[Any], None]


class WatchedFacts(KeyValueState):
    """Tells the judge what takes effect: values are unlike each other."""

    def __init__(self, member: Any, watch: GroupWatch) -> None:
        super().__init__()
        self.member, self.watch = member, watch

    def apply(self, index: int, command: msgspec.Raw) -> Any:
        answer = super().apply(index, command)
        if answer.is_applied:
            wanted = msgspec.msgpack.decode(command, type=SetCommand)
            self.watch.takes_effect(self.member, index, wanted.value)
        return answer


class SimMember:
    """One process: started, cut off, killed, stopped and gone on with."""

    def __init__(
        self, group: SimGroup, member: Member, rng: random.Random, founding: Configuration | None
    ) -> None:
        self.group, self.member, self.seat, self.rng = group, member, member.member_id, rng
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
            assert engine.commit([LogStorage().bootstrap_batch(bootstrap_snapshot(founding))]) == [None]
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
        self.journal = LogStorage()
        self.fresh_state()
        durable = self.journal.load(self.engine.get)
        self.voter = self.group.kind(
            self.seat, durable, self.group.times, random.Random(self.rng.randrange(1 << 30)), self.clock()
        )
        self.waiting: list[DurableWrite] = []
        self.writing = False
        self.reads: list[tuple[int, Any, Answer]] = []
        self.commits = 0
        self.dumped: tuple[int, bytes] | None = None
        self.pull()

    def fresh_state(self) -> None:
        self.state = StateMachine({"facts": WatchedFacts(self.member.name, self.group.watch)})

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
        self.voter.receive(self.clock(), message)
        self.pull()

    def wake(self) -> None:
        self.voter.on_timer(self.clock())
        self.pull()

    def pull(self) -> None:
        while self.up and (decision := self.voter.next_action()) is not None:
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

    def carry_out(self, decision: Action) -> None:
        if decision.action_type is ActionType.WRITE:
            assert decision.write is not None
            self.waiting.append(decision.write)
            self.write()
        elif decision.action_type is ActionType.SEND:
            assert decision.message is not None
            self.group.carry(decision.message)
        elif decision.action_type is ActionType.APPLY:
            self.apply(decision)
        elif decision.action_type is ActionType.RESTORE_SNAPSHOT:
            assert decision.snapshot is not None
            self.fresh_state()
            self.state.restore(decision.snapshot)
            self.dumped = None
        elif decision.action_type is ActionType.SERVE_READ:
            query, answer = decision.context
            self.reads.append((decision.index, query, answer))
        elif decision.action_type is ActionType.REJECT:
            decision.context[1](("refused", decision.reason, self.voter.leader_id))
        elif decision.action_type is ActionType.HALT:
            self.group.left.append((self.member.name, decision.reason))
            self.end()

    def apply(self, decision: Action) -> None:
        entry = decision.entry
        assert entry is not None
        self.group.watch.applies(self.member.name, decision.index, entry)
        verdict, result = self.state.apply(decision.index, entry)
        if decision.context is not None:
            decision.context[1](("done", verdict, result))
        if decision.index % self.group.compact_each == 0:
            if self.dumped is not None:
                self.voter.compact(*self.dumped)
            self.dumped = (decision.index, self.state.dump())

    def journal_batch(self, save: DurableWrite) -> Any:
        return self.journal.make_batch(save)

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
            self.voter.on_disk_failed(str(wrong))
        else:
            self.voter.on_write_durable(self.clock(), group[-1].number)
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
            if entry.entry_type == EntryType.SESSION:
                self.voter.propose_session(now, (what, answer))
            else:
                self.voter.propose(now, (what, answer), entry.data, entry.session_id, entry.sequence)
        elif what == "read":
            self.voter.read(now, (content, answer))
        elif what == "add":
            self.voter.change_configuration(
                now, (what, answer), with_member(self.voter.log.configuration, content)
            )
        elif what == "remove":
            self.voter.change_configuration(
                now, (what, answer), without_member(self.voter.log.configuration, content)
            )
        elif what == "transfer":
            moving = self.voter.transfer_leadership(now, content)
            answer(("done" if moving else "refused", RejectReason.NOT_LEADER, self.voter.leader_id))
        self.pull()


class SimGroup:
    def __init__(
        self,
        clockwork: Clockwork,
        network: Network,
        rng: random.Random,
        voters: int,
        spare: int = 0,
        kind: type[RaftNode] = RaftNode,
        times: Timeouts | None = None,
        compact_each: int = 40,
    ) -> None:
        self.clockwork, self.network, self.rng = clockwork, network, rng
        self.kind, self.times, self.compact_each = kind, times or Timeouts(), compact_each
        self.watch = GroupWatch()
        self.left: list[tuple[str, str]] = []  # who went by itself, and why
        listed = [Member(seat, f"v{seat}", "", 0) for seat in range(1, voters + spare + 1)]
        founding = Configuration(tuple(listed[:voters]))
        self.members: dict[int, SimMember] = {}
        for each in listed:
            own = random.Random(rng.randrange(1 << 60))
            self.members[each.member_id] = SimMember(
                self, each, own, founding if each.member_id <= voters else None
            )

    def start(self) -> None:
        for each in self.members.values():
            each.start()

    def carry(self, message: Message) -> None:
        to = self.members[message.recipient]
        self.network.send(message.sender, message.recipient, to.alive, to.life, to.hears, message)

    def ask(self, client: Any, seat: int, what: str, content: Any, answer: Answer) -> None:
        """As a client does, over the network, both ways."""
        to = self.members[seat]

        def back(told: Any) -> None:
            self.network.send(seat, client, answer, told)

        self.network.send(client, seat, lambda: to.alive(to.life, to.asked, what, content, back))

    def leader(self) -> SimMember | None:
        leading = [each for each in self.members.values() if each.up and each.voter.role is Role.LEADER]
        return max(leading, key=lambda each: each.voter.term, default=None)
