"""Members in simulated time, from ten to some hundred: `python -m lichencleat.testkit.simulation.members`."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

import click
import msgspec

from lichencleat.cli import output
from lichencleat.membership.gossip import GossipMember
from lichencleat.membership.messages import GossipMessage, MemberState, MemberUpdate
from lichencleat.membership.outbox import SendDatagram
from lichencleat.membership.settings import GossipSettings
from lichencleat.testkit.simulation.clockwork import Clockwork, DriftingClock, Timer
from lichencleat.testkit.simulation.network import Network

SECOND = 1_000_000


class SimInstance:
    def __init__(self, world: MembersWorld, number: int) -> None:
        self.world, self.number = world, number
        self.name = f"n{number}"
        self.clock = DriftingClock(world.clockwork, world.rng.randrange(1 << 40))
        self.up = False
        self.life = 0
        self.timer: Timer | None = None

    def start(self) -> None:
        self.up = True
        self.life += 1
        own = MemberUpdate(
            self.name,
            MemberState.ALIVE,
            self.world.clockwork.now + 1,
            "h",
            self.number,
            f"z{self.number % 3}",
            "node",
        )
        seeds = [("h", 0), ("h", 1), ("h", 2)]
        rng = random.Random(self.world.rng.randrange(1 << 60))
        self.gossip = GossipMember("sim", own, seeds, self.world.choice, rng, self.clock())
        self.pull()

    def kill(self) -> None:
        self.up = False
        if self.timer is not None:
            self.timer.cancel()

    def hears(self, sender: int, datagram: GossipMessage) -> None:
        if self.up:
            self.gossip.on_message(self.clock(), "h", sender, datagram)
            self.pull()

    def wake(self, life: int) -> None:
        if self.up and self.life == life:
            self.gossip.on_timer(self.clock())
            self.pull()

    def pull(self) -> None:
        while (decision := self.gossip.next_action()) is not None:
            if isinstance(decision, SendDatagram):
                self.world.carry(self, decision)
            else:
                self.world.changed(self, decision.update)
        if self.timer is not None:
            self.timer.cancel()
        span = self.clock.until(self.gossip.next_deadline())
        self.timer = self.world.clockwork.after(span, self.wake, self.life)

    def sees(self) -> set[str]:
        return {each.name for each in self.gossip.table.active()}


class MembersWorld:
    def __init__(
        self, seed: int, count: int, loss: float = 0.0, choice: GossipSettings | None = None
    ) -> None:
        self.rng = random.Random(f"members {seed}")
        self.clockwork = Clockwork()
        self.choice = choice or GossipSettings()
        self.network = Network(self.clockwork, random.Random(self.rng.randrange(1 << 60)))
        self.network.loss = loss
        self.sent_bytes = 0
        self.counts: Counter[str] = Counter()
        self.gone_at: dict[str, list[int]] = {}  # µs: when others called it gone
        self.instances = [SimInstance(self, number) for number in range(count)]

    def carry(self, sender: SimInstance, send: SendDatagram) -> None:
        self.counts["datagrams"] += 1
        self.counts["bytes"] += len(msgspec.msgpack.encode(send.message))
        if send.port < len(self.instances):
            to = self.instances[send.port]
            self.network.send(sender.number, send.port, to.hears, sender.number, send.message)

    def changed(self, by: SimInstance, word: MemberUpdate) -> None:
        known = self.instances[int(word.name[1:])]
        if word.state == MemberState.SUSPECT and known.up:
            self.counts["suspected wrongly"] += 1
        if word.state == MemberState.DEAD:
            if known.up:
                self.counts["called gone wrongly"] += 1
            self.gone_at.setdefault(word.name, []).append(self.clockwork.now)

    def run(self, span: int) -> None:
        self.clockwork.run(self.clockwork.now + span)

    def together(self) -> bool:
        """Do all that are up see all that are up, and nobody else?"""
        up = {each.name for each in self.instances if each.up}
        return all(each.sees() == up for each in self.instances if each.up)

    def until_together(self, most: int) -> int | None:
        """µs until they do."""
        begun = self.clockwork.now
        while self.clockwork.now - begun < most:
            if self.together():
                return self.clockwork.now - begun
            self.run(SECOND // 4)
        return None


@dataclass(slots=True)
class Measured:
    count: int
    loss: float
    joined: float = 0.0  # s until all see all
    datagrams: float = 0.0  # a second and member
    bytes: float = 0.0
    first: list[float] = field(default_factory=list)  # s from a loss to the first that calls it gone
    last: list[float] = field(default_factory=list)  # and to the last
    wrongly: int = 0  # called gone and was not
    suspected: int = 0  # suspected and was there: changes seen, summed over all members
    hours: float = 0.0  # of members that were there


def measure(count: int, loss: float, seed: int = 1, losses: int = 5) -> Measured:
    world = MembersWorld(seed, count, loss)
    for each in world.instances:
        world.clockwork.after(world.rng.randrange(3 * SECOND), each.start)
    found = Measured(count, loss)
    world.run(3 * SECOND)
    joined = world.until_together(120 * SECOND)
    found.joined = -1.0 if joined is None else joined / SECOND
    world.run(30 * SECOND)
    world.counts.clear()
    begun = world.clockwork.now
    world.run(60 * SECOND)
    found.datagrams = world.counts["datagrams"] / 60 / count
    found.bytes = world.counts["bytes"] / 60 / count
    for _ in range(losses):
        lost = world.rng.choice([each for each in world.instances if each.up])
        world.gone_at.pop(lost.name, None)
        lost.kill()
        at = world.clockwork.now
        world.run(60 * SECOND)
        seen = world.gone_at.get(lost.name, [])
        if seen:
            found.first.append((seen[0] - at) / SECOND)
            found.last.append((seen[-1] - at) / SECOND)
        lost.start()
        world.run(20 * SECOND)
    found.wrongly, found.suspected = world.counts["called gone wrongly"], world.counts["suspected wrongly"]
    found.hours = (world.clockwork.now - begun) / SECOND / 3600 * count
    return found


@click.command()
@click.option(
    "--losses", default=5, show_default=True, help="Members killed, one after another, in each setting."
)
def main(losses: int) -> None:
    """What gossip costs a member and how soon a loss is known, by size and loss of datagrams."""
    rows = []
    for count in (10, 100, 300):
        for loss in (0.0, 0.05):
            m = measure(count, loss, losses=losses)
            first, last = sorted(m.first), sorted(m.last)
            rows.append(
                [
                    count,
                    f"{loss:.0%}",
                    m.joined,
                    m.datagrams,
                    m.bytes,
                    first[len(first) // 2] if first else -1.0,
                    last[-1] if last else -1.0,
                    m.suspected,
                    m.wrongly,
                    m.hours,
                ]
            )
    head = [
        "members",
        "loss",
        "joined s",
        "datagrams/s",
        "bytes/s",
        "first s",
        "all s",
        "suspected",
        "wrongly",
        "hours",
    ]
    output.table(head, rows, False)


if __name__ == "__main__":
    main()
