"""A member of the gossip, by the members: the real decisions and codec in simulated time, each call timed.

What the simulation itself costs is not counted, and neither are the sockets: a real process has some 30 to
50 µs more for each datagram. All know each other from the start. In calm nobody comes or goes; else members
are restarted as often as the target's nodes are: while a word is on its way, tables differ, and whoever
compares them sends all it knows.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from typing import Any

import msgspec

from benchmarks.capacity import SECOND, Effort, Lines
from lichencleat.capacity.slopes import Line
from lichencleat.membership.member_table import MemberTable
from lichencleat.membership.messages import GossipMessage
from lichencleat.membership.outbox import SendDatagram
from lichencleat.testkit.simulation.members import MembersWorld, SimInstance

WARM, SPAN = 3, 10  # simulated seconds before, and measured, in calm
RESTARTS = 20_000 / 86_400 / 3_300  # a second of each member, as at the target
SEEN = 2  # restarts in what is measured, at each size
decode = msgspec.msgpack.Decoder(GossipMessage).decode
clock = time.perf_counter_ns


class Timed:
    """Counts what the members' own calls take; one call of the clock is taken off each."""

    def __init__(self) -> None:
        self.spent = self.calls = 0
        begun = clock()
        for _ in range(10_000):
            clock()
        self.own = (clock() - begun) / 10_000

    def call(self, done: Any, *args: Any) -> Any:
        begun = clock()
        answer = done(*args)
        self.spent += clock() - begun
        self.calls += 1
        return answer

    def take(self) -> float:
        """Seconds since the last time."""
        found = (self.spent - self.calls * self.own) / 1e9
        self.spent = self.calls = 0
        return found


class TimedInstance(SimInstance):
    """As `membership.datagram_transport` does it: datagrams are encoded and decoded, within what is timed."""

    timed: Timed

    def receive(self, sender: int, datagram: bytes) -> None:  # type: ignore[override]
        if self.up:
            now = self.clock()
            self.timed.call(lambda: self.gossip.on_message(now, "h", sender, decode(datagram)))
            self.run_actions()

    def wake(self, incarnation: int) -> None:
        if self.up and self.incarnation == incarnation:
            self.timed.call(self.gossip.on_timer, self.clock())
            self.run_actions()

    def run_actions(self) -> None:
        while (decision := self.timed.call(self.gossip.next_action)) is not None:
            if isinstance(decision, SendDatagram):
                self.send(decision)
            else:
                self.world.on_member_update(self, decision.update)
        if self.timer is not None:
            self.timer.cancel()
        span = self.clock.until(self.timed.call(self.gossip.next_deadline))
        self.timer = self.world.clockwork.after(span, self.wake, self.incarnation)

    def send(self, send: SendDatagram) -> None:
        world = self.world
        data = self.timed.call(msgspec.msgpack.encode, send.message)
        world.counts["datagrams"] += 1
        world.counts["bytes"] += len(data)
        if send.port < len(world.instances):
            to = world.instances[send.port]
            world.network.send(self.number, send.port, to.receive, self.number, data)


def together(count: int, seed: int, timed: Timed) -> MembersWorld:
    """A world in which each knows all, before its first second."""
    world = MembersWorld(seed, count)
    world.instances = [TimedInstance(world, number) for number in range(count)]
    for each in world.instances:
        each.timed = timed  # type: ignore[attr-defined]
        each.start()
    words = [each.gossip.own for each in world.instances]
    for each in world.instances:
        for word in words:
            each.gossip.table.apply(each.clock(), word)
        each.gossip.dissemination.clear()
    return world


def table_mb(count: int, seed: int) -> float:
    """What one member's table of so many takes, words of its own included."""
    world = together(count, seed, Timed())
    words = [msgspec.msgpack.encode(each.gossip.own) for each in world.instances]
    kind = type(world.instances[0].gossip.own)
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    table = MemberTable()
    for each in words:
        table.apply(0, msgspec.msgpack.decode(each, type=kind))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / 1e6


def over(world: MembersWorld, timed: Timed, span: float, restarts: int) -> tuple[float, float, float]:
    """A member's share of a core, bytes and datagrams a second, over so many simulated seconds."""
    timed.take()
    world.counts.clear()
    for _ in range(restarts):
        world.run(round(span / restarts / 2 * SECOND))
        one = world.rng.choice(world.instances)
        one.kill()
        one.start()
        world.run(round(span / restarts / 2 * SECOND))
    if not restarts:
        world.run(round(span * SECOND))
    each = span * len(world.instances)
    return timed.take() / each, world.counts["bytes"] / each, world.counts["datagrams"] / each


def members(effort: Effort) -> list[Line]:
    lines = Lines("members", simulated=True)
    lines.kind("member.core", "members", "of a core", "restarts as at the target; without sockets")
    lines.kind(
        "member.bytes_s", "members", "bytes a second", "sent, without headers; restarts as at the target"
    )
    lines.kind("member.datagrams_s", "members", "datagrams a second", "sent; restarts as at the target")
    lines.kind("member.calm_core", "members", "of a core", "nobody comes or goes; without sockets")
    lines.kind(
        "member.calm_bytes_s", "members", "bytes a second", "sent, without headers; nobody comes or goes"
    )
    lines.kind("member.table_mb", "members", "MB")
    for number in range(effort.runs(2)):
        for count in effort.sizes((100, 200, 400, 700, 1_000), (5, 10, 15, 20)):
            timed = Timed()
            world = together(count, effort.seed + number, timed)
            world.run(WARM * SECOND)
            core, sent, _ = over(world, timed, SPAN, 0)
            lines.add("member.calm_core", count, core)
            lines.add("member.calm_bytes_s", count, sent)
            span = WARM if effort.quick else SEEN / (count * RESTARTS)
            core, sent, datagrams = over(world, timed, span, SEEN)
            lines.add("member.core", count, core)
            lines.add("member.bytes_s", count, sent)
            lines.add("member.datagrams_s", count, datagrams)
            lines.add("member.table_mb", count, table_mb(count, effort.seed))
    return lines.made()
