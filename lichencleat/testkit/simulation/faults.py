"""What goes wrong and when: drawn by seed, or as a list of one's own; and made as short as still breaks the
rule.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lichencleat.testkit.simulation.group import SimGroup, SimMember

SPAN = (20_000, 2_500_000)  # µs that a fault lasts


@dataclass(frozen=True, slots=True)
class Fault:
    at: int  # µs
    span: int
    kind: str
    who: tuple[int, ...]  # seats
    amount: float = 0.0

    def __str__(self) -> str:
        seats = ",".join(map(str, self.who))
        return f"{self.at / 1e6:.3f}s {self.kind}({seats}) for {self.span / 1e6:.3f}s {self.amount:.3g}"


KINDS = (
    ["power", "power", "power of all", "power of most", "kill", "stop", "stop", "apart", "apart", "deaf"]
    + ["mute", "loss", "repeats", "slow link", "slow disk", "drift", "flush fails", "full disk", "transfer"]
    + ["remove", "add"]
)


def draw(rng: random.Random, seats: list[int], count: int, until: int) -> list[Fault]:
    faults = []
    for _ in range(count):
        kind = rng.choice(KINDS)
        some = rng.sample(seats, rng.randint(1, max(1, len(seats) // 2)))
        who = {"power of all": seats, "power of most": rng.sample(seats, len(seats) // 2 + 1)}.get(kind, some)
        if kind in ("deaf", "mute", "transfer", "remove", "add", "flush fails", "full disk"):
            who = who[:1]
        faults.append(Fault(rng.randrange(until), rng.randint(*SPAN), kind, tuple(sorted(who)), rng.random()))
    return sorted(faults, key=lambda each: (each.at, each.kind))


class Cause:
    """Makes the faults happen, and undoes each at its end."""

    def __init__(self, group: SimGroup, rng: random.Random) -> None:
        self.group, self.rng = group, rng
        self.network = group.network

    def plan(self, faults: list[Fault]) -> None:
        for fault in faults:
            self.group.clockwork.after(fault.at, self.begin, fault)

    def begin(self, fault: Fault) -> None:
        members = [self.group.members[seat] for seat in fault.who]
        cause = getattr(self, "do_" + fault.kind.replace(" ", "_"))
        undo = cause(fault, members)
        if undo is not None:
            self.group.clockwork.after(fault.span, undo)

    def restart(self, members: list[SimMember]) -> Callable[[], None]:
        def again() -> None:
            for each in members:
                each.disk.faults = {}
                if not each.up:
                    each.start()

        return again

    def do_power(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        for each in members:
            each.cut_power()
        return self.restart(members)

    do_power_of_all = do_power_of_most = do_power

    def do_kill(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        for each in members:
            each.kill()
        return self.restart(members)

    def do_stop(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        for each in members:
            each.stop()
        return lambda: [each.go_on() for each in members] and None

    def cuts(self, pairs: list[tuple[Any, Any]]) -> Callable[[], None]:
        self.network.cut(pairs)
        return lambda: self.network.heal(pairs)

    def do_apart(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        here = set(fault.who)
        there = set(self.group.members) - here
        both = [(a, b) for a in sorted(here) for b in sorted(there)]
        return self.cuts(both + [(b, a) for a, b in both])

    def do_deaf(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        (seat,) = fault.who
        return self.cuts([(other, seat) for other in self.group.members if other != seat])

    def do_mute(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        (seat,) = fault.who
        return self.cuts([(seat, other) for other in self.group.members if other != seat])

    def do_loss(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        self.network.loss = fault.amount * 0.4
        return lambda: setattr(self.network, "loss", 0.0)

    def do_repeats(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        self.network.repeats = fault.amount * 0.5
        return lambda: setattr(self.network, "repeats", 0.0)

    def do_slow_link(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        for seat in fault.who:
            self.network.slow[seat] = round(fault.amount * 300_000)
        return lambda: [self.network.slow.pop(seat, None) for seat in fault.who] and None

    def do_slow_disk(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        for each in members:
            each.flush_time = 1 + round(fault.amount * 500)
        return lambda: [setattr(each, "flush_time", 1) for each in members] and None

    def do_drift(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        for each in members:
            each.clock.runs(0.95 + 0.1 * fault.amount)
        return lambda: [each.clock.runs(1.0) for each in members] and None

    def do_flush_fails(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        for each in members:
            each.disk.faults = {len(each.disk.calls) + n: 5 for n in range(4)}  # EIO
        return self.restart(members)

    def do_full_disk(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        for each in members:
            each.disk.room = each.disk.used() + 50

        def room() -> None:
            for each in members:
                each.disk.room = None
            self.restart(members)()

        return room

    def ask_leader(self, what: str, content: Any) -> None:
        leader = self.group.leader()
        if leader is not None:
            leader.alive(leader.life, leader.asked, what, content, lambda told: None)

    def do_transfer(self, fault: Fault, members: list[SimMember]) -> None:
        self.ask_leader("transfer", fault.who[0])

    def do_remove(self, fault: Fault, members: list[SimMember]) -> Callable[[], None]:
        """And taken in again later: as the same one, for its disk is there."""
        self.ask_leader("remove", fault.who[0])
        return lambda: self.ask_leader("add", members[0].member)

    def do_add(self, fault: Fault, members: list[SimMember]) -> None:
        self.ask_leader("add", members[0].member)


def shrink(faults: list[Fault], breaks: Callable[[list[Fault]], bool]) -> list[Fault]:
    """Leaves out faults, half of them at first and single ones at last, while what is left still breaks the
    rule.
    """
    size = max(1, len(faults) // 2)
    while faults:
        tried = False
        for begin in range(0, len(faults), size):
            fewer = faults[:begin] + faults[begin + size :]
            if breaks(fewer):
                faults, tried = fewer, True
                break
        if not tried:
            if size == 1:
                break
            size = max(1, size // 2)
    return faults
