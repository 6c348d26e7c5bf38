"""Members of a consensus group with their disks in simulated time. They stand for the processes of the
program, without sockets and threads.
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

FLUSH_RANGE_US = (100, 1_200)  # time of a write with its flush on a healthy disk
STORE_LIMITS = StoreLimits(segment_bytes=64 << 10, max_disk_bytes=4 << 20, keep_reserve=False)
COMMITS_PER_MAINTENANCE = 20  # commits between two rounds of store maintenance

ReplyHandler = Callable[[Any], None]


class WatchedKeyValueState(KeyValueState):
    """Key-value state that reports each applied change to the checker. Each written value is unique."""

    def __init__(self, member: Any, watch: GroupWatch) -> None:
        super().__init__()
        self.member, self.watch = member, watch

    def apply(self, index: int, command: msgspec.Raw) -> Any:
        answer = super().apply(index, command)
        if answer.is_applied:
            decoded = msgspec.msgpack.decode(command, type=SetCommand)
            self.watch.takes_effect(self.member, index, decoded.value)
        return answer


class SimMember:
    """One member's process and disk, with the faults that can happen to them."""

    def __init__(
        self, group: SimGroup, member: Member, rng: random.Random, initial_configuration: Configuration | None
    ) -> None:
        self.group, self.member, self.member_id, self.rng = group, member, member.member_id, rng
        self.clock = DriftingClock(group.clockwork, start=rng.randrange(1 << 40))
        self.disk = FaultyDisk()
        self.flush_time = 1  # factor on the usual time of a flush
        self.up = False
        self.stopped = False  # the process is suspended, as by SIGSTOP
        # calls that came due while the process is suspended
        self.deferred_calls: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.timer: Timer | None = None
        self.incarnation = 0
        if initial_configuration is not None:
            engine = self.open_store()
            assert engine.commit(
                [LogStorage().bootstrap_batch(bootstrap_snapshot(initial_configuration))]
            ) == [None]
            engine.close()

    # -- process life cycle --------------------------------------------------------------------------

    def open_store(self) -> Engine:
        return Engine.open(self.disk, lambda: self.group.clockwork.now, self.rng, STORE_LIMITS, create=True)

    def start(self) -> None:
        """Start the process with the state found on the disk."""
        self.up, self.stopped, self.deferred_calls = True, False, []
        self.incarnation += 1
        self.disk.locked = self.disk.off = False
        self.disk.room, self.disk.faults = None, {}
        self.engine = self.open_store()
        self.log_storage = LogStorage()
        self.reset_state()
        durable = self.log_storage.load(self.engine.get)
        self.node = self.group.node_class(
            self.member_id,
            durable,
            self.group.timeouts,
            random.Random(self.rng.randrange(1 << 30)),
            self.clock(),
        )
        self.pending_writes: list[DurableWrite] = []
        self.is_writing = False
        self.reads: list[tuple[int, Any, ReplyHandler]] = []
        self.commits = 0
        self.last_snapshot: tuple[int, bytes] | None = None
        self.run_actions()

    def reset_state(self) -> None:
        self.state = StateMachine({"facts": WatchedKeyValueState(self.member.name, self.group.watch)})

    def end(self) -> None:
        """End the process; the disk stays as it is."""
        self.up = False
        if self.timer is not None:
            self.timer.cancel()

    def cut_power(self) -> None:
        """Cut the power of the machine. A random part of the unflushed data is lost; a write in progress may
        reach the disk in part or not at all.
        """
        if not self.up:
            return
        if self.is_writing and self.rng.random() < 0.5:
            self.disk.faults = {len(self.disk.calls) + self.rng.randrange(3): FaultyDisk.CUT}
            with contextlib.suppress(PowerCutError):
                self.engine.commit([self.make_batch(each) for each in self.pending_writes])
        self.end()
        self.disk = self.disk.after_cut(by_chance(self.rng))

    def kill(self) -> None:
        """Kill the process. Its unflushed writes are kept, as they are in the operating system's cache."""
        if self.up:
            self.end()
            self.disk.off = False

    def stop(self) -> None:
        """Suspend the process."""
        self.stopped = self.up

    def resume(self) -> None:
        """Resume a suspended process and run the deferred calls."""
        if self.stopped:
            self.stopped = False
            deferred_calls, self.deferred_calls = self.deferred_calls, []
            for call, args in deferred_calls:
                call(*args)

    def call_if_alive(self, incarnation: int, call: Callable[..., None], *args: Any) -> None:
        """Run a call in the process of the given incarnation. Drop the call if that process has ended; defer
        the call while the process is suspended.
        """
        if not self.up or self.incarnation != incarnation:
            return
        if self.stopped:
            self.deferred_calls.append((self.call_if_alive, (incarnation, call, *args)))
            return
        call(*args)

    def call_later(self, delay: int, call: Callable[..., None], *args: Any) -> Timer:
        """Schedule a call `delay` µs from now, which runs only in the current process."""
        return self.group.clockwork.after(delay, self.call_if_alive, self.incarnation, call, *args)

    # -- host of the consensus node ------------------------------------------------------------------

    def receive(self, message: Message) -> None:
        self.node.receive(self.clock(), message)
        self.run_actions()

    def wake(self) -> None:
        self.node.on_timer(self.clock())
        self.run_actions()

    def run_actions(self) -> None:
        """Perform all pending actions of the node, answer reads that are due, and re-arm its timer."""
        while self.up and (action := self.node.next_action()) is not None:
            self.perform_action(action)
        if not self.up:
            return
        for read in [each for each in self.reads if each[0] <= self.state.applied]:
            self.reads.remove(read)
            read[2](("read", self.state.read("facts", read[1])))
        if self.node.role is Role.LEADER:
            self.group.watch.leads(self.member.name, self.node.term)
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.call_later(self.clock.until(self.node.deadline()), self.wake)

    def perform_action(self, action: Action) -> None:
        if action.action_type is ActionType.WRITE:
            assert action.write is not None
            self.pending_writes.append(action.write)
            self.write()
        elif action.action_type is ActionType.SEND:
            assert action.message is not None
            self.group.send(action.message)
        elif action.action_type is ActionType.APPLY:
            self.apply(action)
        elif action.action_type is ActionType.RESTORE_SNAPSHOT:
            assert action.snapshot is not None
            self.reset_state()
            self.state.restore(action.snapshot)
            self.last_snapshot = None
        elif action.action_type is ActionType.SERVE_READ:
            query, answer = action.context
            self.reads.append((action.index, query, answer))
        elif action.action_type is ActionType.REJECT:
            action.context[1](("refused", action.reason, self.node.leader_id))
        elif action.action_type is ActionType.HALT:
            self.group.halted.append((self.member.name, action.reason))
            self.end()

    def apply(self, action: Action) -> None:
        entry = action.entry
        assert entry is not None
        self.group.watch.applies(self.member.name, action.index, entry)
        verdict, result = self.state.apply(action.index, entry)
        if action.context is not None:
            action.context[1](("done", verdict, result))
        if action.index % self.group.compaction_interval == 0:
            if self.last_snapshot is not None:
                self.node.compact(*self.last_snapshot)
            self.last_snapshot = (action.index, self.state.dump())

    def make_batch(self, durable_write: DurableWrite) -> Any:
        return self.log_storage.make_batch(durable_write)

    def write(self) -> None:
        """Start to write the pending writes, unless a write is in progress."""
        if not self.is_writing and self.pending_writes:
            self.is_writing = True
            self.call_later(self.rng.randint(*FLUSH_RANGE_US) * self.flush_time, self.on_written)

    def on_written(self) -> None:
        """Commit the pending writes and report the outcome to the node."""
        self.is_writing = False
        group, self.pending_writes = self.pending_writes, []
        verdicts = self.engine.commit([self.make_batch(each) for each in group])
        wrong = next((each for each in verdicts if each is not None), None)
        if wrong is not None:
            self.node.on_disk_failed(str(wrong))
        else:
            self.node.on_write_durable(self.clock(), group[-1].number)
            self.run_maintenance()
        self.run_actions()
        if self.up:
            self.write()

    def run_maintenance(self) -> None:
        """Run the maintenance of the store after every COMMITS_PER_MAINTENANCE commits."""
        self.commits += 1
        if self.commits % COMMITS_PER_MAINTENANCE == 0:
            with contextlib.suppress(StoreError):  # the next write reports the error
                while self.engine.step():
                    pass

    # -- client requests -----------------------------------------------------------------------------

    def on_request(self, request: str, content: Any, answer: ReplyHandler) -> None:
        """Pass a client request to the node. `answer` is called with the reply, a tuple that starts with
        "done", "read" or "refused".
        """
        now = self.clock()
        if request == "propose":
            entry: Entry = content
            if entry.entry_type == EntryType.SESSION:
                self.node.propose_session(now, (request, answer))
            else:
                self.node.propose(now, (request, answer), entry.data, entry.session_id, entry.sequence)
        elif request == "read":
            self.node.read(now, (content, answer))
        elif request == "add":
            self.node.change_configuration(
                now, (request, answer), with_member(self.node.log.configuration, content)
            )
        elif request == "remove":
            self.node.change_configuration(
                now, (request, answer), without_member(self.node.log.configuration, content)
            )
        elif request == "transfer":
            moving = self.node.transfer_leadership(now, content)
            answer(("done" if moving else "refused", RejectReason.NOT_LEADER, self.node.leader_id))
        self.run_actions()


class SimGroup:
    """A consensus group. The first `voters` members form its initial configuration; `spare` more members are
    outside of it until they are added.
    """

    def __init__(
        self,
        clockwork: Clockwork,
        network: Network,
        rng: random.Random,
        voters: int,
        spare: int = 0,
        node_class: type[RaftNode] = RaftNode,
        timeouts: Timeouts | None = None,
        compaction_interval: int = 40,
    ) -> None:
        self.clockwork, self.network, self.rng = clockwork, network, rng
        self.node_class, self.timeouts, self.compaction_interval = (
            node_class,
            timeouts or Timeouts(),
            compaction_interval,
        )
        self.watch = GroupWatch()
        self.halted: list[tuple[str, str]] = []  # (member name, reason) of each node that halted itself
        all_members = [
            Member(member_id, f"v{member_id}", "", 0) for member_id in range(1, voters + spare + 1)
        ]
        initial_configuration = Configuration(tuple(all_members[:voters]))
        self.members: dict[int, SimMember] = {}
        for each in all_members:
            own = random.Random(rng.randrange(1 << 60))
            self.members[each.member_id] = SimMember(
                self, each, own, initial_configuration if each.member_id <= voters else None
            )

    def start(self) -> None:
        for each in self.members.values():
            each.start()

    def send(self, message: Message) -> None:
        """Send a message between members over the network."""
        recipient = self.members[message.recipient]
        self.network.send(
            message.sender,
            message.recipient,
            recipient.call_if_alive,
            recipient.incarnation,
            recipient.receive,
            message,
        )

    def send_request(
        self, client: Any, member_id: int, request: str, content: Any, answer: ReplyHandler
    ) -> None:
        """Send a client request to a member; request and reply pass over the network."""
        recipient = self.members[member_id]

        def send_reply(reply: Any) -> None:
            self.network.send(member_id, client, answer, reply)

        self.network.send(
            client,
            member_id,
            lambda: recipient.call_if_alive(
                recipient.incarnation, recipient.on_request, request, content, send_reply
            ),
        )

    def leader(self) -> SimMember | None:
        """Return the running leader of the newest term, or None."""
        leading = [each for each in self.members.values() if each.up and each.node.role is Role.LEADER]
        return max(leading, key=lambda each: each.node.term, default=None)
