"""Simulation of gossip membership with ten to a few hundred members:
`python -m lichencleat.testkit.simulation.members`.
"""

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
    """One member's process, with its clock and timer."""

    def __init__(self, world: MembersWorld, number: int) -> None:
        self.world, self.number = world, number
        self.name = f"n{number}"
        self.clock = DriftingClock(world.clockwork, world.rng.randrange(1 << 40))
        self.up = False
        self.incarnation = 0
        self.timer: Timer | None = None

    def start(self) -> None:
        """Start the process as a new incarnation that knows only the seed addresses."""
        self.up = True
        self.incarnation += 1
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
        self.gossip = GossipMember("sim", own, seeds, self.world.settings, rng, self.clock())
        self.run_actions()

    def kill(self) -> None:
        self.up = False
        if self.timer is not None:
            self.timer.cancel()

    def receive(self, sender: int, datagram: GossipMessage) -> None:
        """Pass a datagram to the member, if its process is running."""
        if self.up:
            self.gossip.on_message(self.clock(), "h", sender, datagram)
            self.run_actions()

    def wake(self, incarnation: int) -> None:
        """Run the due timers of the member, unless its process has been restarted since."""
        if self.up and self.incarnation == incarnation:
            self.gossip.on_timer(self.clock())
            self.run_actions()

    def run_actions(self) -> None:
        """Perform all pending actions of the member and re-arm its timer."""
        while (action := self.gossip.next_action()) is not None:
            if isinstance(action, SendDatagram):
                self.world.send_datagram(self, action)
            else:
                self.world.on_member_update(self, action.update)
        if self.timer is not None:
            self.timer.cancel()
        span = self.clock.until(self.gossip.next_deadline())
        self.timer = self.world.clockwork.after(span, self.wake, self.incarnation)

    def active_names(self) -> set[str]:
        """Return the names of the members that this member regards as active."""
        return {each.name for each in self.gossip.table.active()}


class MembersWorld:
    """All members, the network between them and the counts of the run."""

    def __init__(
        self, seed: int, count: int, loss: float = 0.0, settings: GossipSettings | None = None
    ) -> None:
        self.rng = random.Random(f"members {seed}")
        self.clockwork = Clockwork()
        self.settings = settings or GossipSettings()
        self.network = Network(self.clockwork, random.Random(self.rng.randrange(1 << 60)))
        self.network.loss = loss
        self.sent_bytes = 0
        self.counts: Counter[str] = Counter()
        # member name -> times (µs) at which others declared the member dead
        self.dead_at: dict[str, list[int]] = {}
        self.instances = [SimInstance(self, number) for number in range(count)]

    def send_datagram(self, sender: SimInstance, send: SendDatagram) -> None:
        """Count a datagram and send it over the network."""
        self.counts["datagrams"] += 1
        self.counts["bytes"] += len(msgspec.msgpack.encode(send.message))
        if send.port < len(self.instances):
            to = self.instances[send.port]
            self.network.send(sender.number, send.port, to.receive, sender.number, send.message)

    def on_member_update(self, by: SimInstance, update: MemberUpdate) -> None:
        """Count false suspicions and false deaths, and record the time of each declared death."""
        known = self.instances[int(update.name[1:])]
        if update.state == MemberState.SUSPECT and known.up:
            self.counts["false suspicions"] += 1
        if update.state == MemberState.DEAD:
            if known.up:
                self.counts["false deaths"] += 1
            self.dead_at.setdefault(update.name, []).append(self.clockwork.now)

    def run(self, duration: int) -> None:
        """Run the simulation for `duration` µs."""
        self.clockwork.run(self.clockwork.now + duration)

    def is_converged(self) -> bool:
        """Return whether each running member regards exactly the running members as active."""
        up = {each.name for each in self.instances if each.up}
        return all(each.active_names() == up for each in self.instances if each.up)

    def run_until_converged(self, max_duration: int) -> int | None:
        """Run until all running members agree. Return the time in µs, or None after `max_duration` µs."""
        begun = self.clockwork.now
        while self.clockwork.now - begun < max_duration:
            if self.is_converged():
                return self.clockwork.now - begun
            self.run(SECOND // 4)
        return None


@dataclass(slots=True)
class Measurement:
    """Results for one number of members and one rate of datagram loss."""

    count: int
    loss: float  # fraction of datagrams lost
    convergence_time: float = 0.0  # s until all members know all members
    datagrams: float = 0.0  # per second and member
    bytes: float = 0.0  # per second and member
    # s from each death of a member until the first other member declares it dead
    first_detections: list[float] = field(default_factory=list)
    # s from each death of a member until the last other member declares it dead
    last_detections: list[float] = field(default_factory=list)
    false_deaths: int = 0  # changes of a running member to dead, summed over the members that saw them
    false_suspicions: int = 0  # changes of a running member to suspect, summed likewise
    member_hours: float = 0.0  # simulated hours of the measurement, summed over all members


def measure(count: int, loss: float, seed: int = 1, losses: int = 5) -> Measurement:
    """Start the members, measure traffic for a minute, then kill `losses` members one after another."""
    world = MembersWorld(seed, count, loss)
    for each in world.instances:
        world.clockwork.after(world.rng.randrange(3 * SECOND), each.start)
    found = Measurement(count, loss)
    world.run(3 * SECOND)
    convergence_time = world.run_until_converged(120 * SECOND)
    found.convergence_time = -1.0 if convergence_time is None else convergence_time / SECOND
    world.run(30 * SECOND)
    world.counts.clear()
    begun = world.clockwork.now
    world.run(60 * SECOND)
    found.datagrams = world.counts["datagrams"] / 60 / count
    found.bytes = world.counts["bytes"] / 60 / count
    for _ in range(losses):
        lost = world.rng.choice([each for each in world.instances if each.up])
        world.dead_at.pop(lost.name, None)
        lost.kill()
        at = world.clockwork.now
        world.run(60 * SECOND)
        seen = world.dead_at.get(lost.name, [])
        if seen:
            found.first_detections.append((seen[0] - at) / SECOND)
            found.last_detections.append((seen[-1] - at) / SECOND)
        lost.start()
        world.run(20 * SECOND)
    found.false_deaths, found.false_suspicions = (
        world.counts["false deaths"],
        world.counts["false suspicions"],
    )
    found.member_hours = (world.clockwork.now - begun) / SECOND / 3600 * count
    return found


@click.command()
@click.option("--losses", default=5, show_default=True, help="Number of members killed, for each row.")
def main(losses: int) -> None:
    """Measure traffic per member and the time to detect a death, by group size and datagram loss."""
    rows = []
    for count in (10, 100, 300):
        for loss in (0.0, 0.05):
            m = measure(count, loss, losses=losses)
            first, last = sorted(m.first_detections), sorted(m.last_detections)
            rows.append(
                [
                    count,
                    f"{loss:.0%}",
                    m.convergence_time,
                    m.datagrams,
                    m.bytes,
                    first[len(first) // 2] if first else -1.0,
                    last[-1] if last else -1.0,
                    m.false_suspicions,
                    m.false_deaths,
                    m.member_hours,
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
