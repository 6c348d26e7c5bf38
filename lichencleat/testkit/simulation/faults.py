"""Fault schedules: random by seed or given as a list, and the reduction of a failing schedule to a minimal
one.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lichencleat.testkit.simulation.group import SimGroup, SimMember

DURATION_RANGE_US = (20_000, 2_500_000)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a schedule. The meaning of `amount` (0 to 1) depends on the kind."""

    at: int  # µs: simulated time of the start
    duration: int  # µs
    kind: str
    member_ids: tuple[int, ...]
    amount: float = 0.0

    def __str__(self) -> str:
        targets = ",".join(map(str, self.member_ids))
        return f"{self.at / 1e6:.3f}s {self.kind}({targets}) for {self.duration / 1e6:.3f}s {self.amount:.3g}"


FAULT_KINDS = (
    ["power", "power", "power of all", "power of most", "kill", "stop", "stop", "apart", "apart", "deaf"]
    + ["mute", "loss", "repeats", "slow link", "slow disk", "drift", "flush fails", "full disk", "transfer"]
    + ["remove", "add"]
)


def draw_faults(rng: random.Random, member_ids: list[int], count: int, until: int) -> list[Fault]:
    """Return `count` random faults, sorted by time, that start before `until` (µs)."""
    faults = []
    for _ in range(count):
        kind = rng.choice(FAULT_KINDS)
        some = rng.sample(member_ids, rng.randint(1, max(1, len(member_ids) // 2)))
        targets = {
            "power of all": member_ids,
            "power of most": rng.sample(member_ids, len(member_ids) // 2 + 1),
        }.get(kind, some)
        if kind in ("deaf", "mute", "transfer", "remove", "add", "flush fails", "full disk"):
            targets = targets[:1]
        faults.append(
            Fault(
                rng.randrange(until),
                rng.randint(*DURATION_RANGE_US),
                kind,
                tuple(sorted(targets)),
                rng.random(),
            )
        )
    return sorted(faults, key=lambda each: (each.at, each.kind))


class FaultInjector:
    """Applies scheduled faults to a group and reverts each fault at its end."""

    def __init__(self, group: SimGroup, rng: random.Random) -> None:
        self.group, self.rng = group, rng
        self.network = group.network

    def schedule(self, faults: list[Fault]) -> None:
        """Schedule the start of each fault."""
        for fault in faults:
            self.group.clockwork.after(fault.at, self.begin, fault)

    def begin(self, fault: Fault) -> None:
        """Start a fault with the method named after its kind. The method may return an action, which runs at
        the end of the fault.
        """
        members = [self.group.members[member_id] for member_id in fault.member_ids]
        start_fault = getattr(self, "do_" + fault.kind.replace(" ", "_"))
        undo = start_fault(fault, members)
        if undo is not None:
            self.group.clockwork.after(fault.duration, undo)

    def restart(self, members: list[SimMember]) -> Callable[[], None]:
        """Return an action that clears disk faults and restarts the members that are down."""

        def restart_members() -> None:
            for each in members:
                each.disk.faults = {}
                if not each.up:
                    each.start()

        return restart_members

    def do_power(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        """Cut the power of the members; restart them at the end."""
        for each in members:
            each.cut_power()
        return self.restart(members)

    do_power_of_all = do_power_of_most = do_power

    def do_kill(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        """Kill the processes of the members; restart them at the end."""
        for each in members:
            each.kill()
        return self.restart(members)

    def do_stop(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        """Suspend the processes of the members as SIGSTOP does; resume them at the end."""
        for each in members:
            each.stop()
        return lambda: [each.resume() for each in members] and None

    def cut_links(self, pairs: list[tuple[Any, Any]]) -> Callable[[], None]:
        """Cut the links and return an action that heals them."""
        self.network.cut(pairs)
        return lambda: self.network.heal(pairs)

    def do_apart(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        """Cut all links between the members of the fault and the others, in both directions."""
        here = set(fault.member_ids)
        there = set(self.group.members) - here
        both = [(a, b) for a in sorted(here) for b in sorted(there)]
        return self.cut_links(both + [(b, a) for a, b in both])

    def do_deaf(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        """Cut all links to one member; it can still send."""
        (member_id,) = fault.member_ids
        return self.cut_links([(other, member_id) for other in self.group.members if other != member_id])

    def do_mute(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        """Cut all links from one member; it can still receive."""
        (member_id,) = fault.member_ids
        return self.cut_links([(member_id, other) for other in self.group.members if other != member_id])

    def do_loss(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        """Lose up to 40% of all messages."""
        self.network.loss = fault.amount * 0.4
        return lambda: setattr(self.network, "loss", 0.0)

    def do_repeats(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        """Deliver up to half of all messages twice."""
        self.network.duplication = fault.amount * 0.5
        return lambda: setattr(self.network, "duplication", 0.0)

    def do_slow_link(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        """Delay all messages of the members by up to 300 ms per endpoint."""
        for member_id in fault.member_ids:
            self.network.extra_delay[member_id] = round(fault.amount * 300_000)
        return lambda: (
            [self.network.extra_delay.pop(member_id, None) for member_id in fault.member_ids] and None
        )

    def do_slow_disk(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        """Slow down the disks of the members by a factor of up to 501."""
        for each in members:
            each.flush_time = 1 + round(fault.amount * 500)
        return lambda: [setattr(each, "flush_time", 1) for each in members] and None

    def do_drift(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        """Let the clocks of the members run up to 5% slower or faster."""
        for each in members:
            each.clock.set_rate(0.95 + 0.1 * fault.amount)
        return lambda: [each.clock.set_rate(1.0) for each in members] and None

    def do_flush_fails(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        """Fail the next four disk operations of a member with EIO."""
        for each in members:
            each.disk.faults = {len(each.disk.calls) + n: 5 for n in range(4)}  # errno EIO
        return self.restart(members)

    def do_full_disk(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        """Leave 50 bytes of free space on the disk of a member."""
        for each in members:
            each.disk.room = each.disk.used() + 50

        def free_disk_space() -> None:
            for each in members:
                each.disk.room = None
            self.restart(members)()

        return free_disk_space

    def ask_leader(self, request: str, content: Any) -> None:
        """Send a request to the current leader, if there is one, and ignore the answer."""
        leader = self.group.leader()
        if leader is not None:
            leader.call_if_alive(leader.incarnation, leader.on_request, request, content, lambda reply: None)

    def do_transfer(self, fault: Fault, members: list[SimMember]) -> None:
        """Ask the leader to transfer leadership to one member."""
        self.ask_leader("transfer", fault.member_ids[0])

    def do_remove(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        """Ask the leader to remove one member, and at the end to add the member again with its old disk."""
        self.ask_leader("remove", fault.member_ids[0])
        return lambda: self.ask_leader("add", members[0].member)

    def do_add(self, fault: Fault, members: list[SimMember]) -> None:
        """Ask the leader to add one member to the configuration."""
        self.ask_leader("add", members[0].member)


def shrink(faults: list[Fault], fails: Callable[[list[Fault]], bool]) -> list[Fault]:
    """Return a shorter schedule that still fails: remove runs of faults, at first half of them and finally
    single ones, while the rest still fails.
    """
    size = max(1, len(faults) // 2)
    while faults:
        removed = False
        for begin in range(0, len(faults), size):
            fewer = faults[:begin] + faults[begin + size :]
            if fails(fewer):
                faults, removed = fewer, True
                break
        if not removed:
            if size == 1:
                break
            size = max(1, size // 2)
    return faults
