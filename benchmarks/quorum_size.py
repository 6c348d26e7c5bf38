"""What hundreds of learners cost a group of three, in simulated time: `python -m benchmarks.quorum_size`.

Do all learners, cut off for ten seconds of writes and back at once, unseat the leader, and how long until
each has caught up; and how often does leadership change in an hour of calm.
"""

from __future__ import annotations

import random
import time

import click

from lichencleat.consensus.key_value import SetCommand
from lichencleat.consensus.messages import Entry, EntryType
from lichencleat.testkit.simulation.clockwork import Clockwork
from lichencleat.testkit.simulation.group import SimGroup
from lichencleat.testkit.simulation.network import Network
from lichencleat.transport.frames import encode_command

SECOND = 1_000_000  # µs
VOTERS = 3
WRITES = 100  # a second, while the learners are away


class Scene:
    def __init__(self, learners: int, seed: int) -> None:
        rng = random.Random(f"size {seed}")
        self.clockwork = Clockwork()
        self.network = Network(self.clockwork, rng)
        self.group = SimGroup(self.clockwork, self.network, rng, VOTERS, learners, compaction_interval=2_000)
        self.group.start()
        self.run(3)
        for seat in range(VOTERS + 1, VOTERS + learners + 1):
            self.add(seat)
        self.made = 0

    def run(self, seconds: float) -> None:
        self.clockwork.run(self.clockwork.now + round(seconds * SECOND))

    def add(self, seat: int) -> None:
        told: list[object] = []
        while not told or told[-1][0] != "done":  # type: ignore[index]
            leader = self.group.leader()
            assert leader is not None
            learner = self.group.members[seat].member
            learner = type(learner)(learner.member_id, learner.name, "", 0, is_voter=False)
            self.group.send_request("op", leader.member_id, "add", learner, told.append)
            self.run(0.02)

    def write(self) -> None:
        leader = self.group.leader()
        self.made += 1
        if leader is not None:
            what = encode_command("facts", SetCommand(f"f{self.made % 50}", b"%d" % self.made))
            self.group.send_request(
                "op", leader.member_id, "propose", Entry(0, EntryType.COMMAND, what), lambda told: None
            )

    def term(self) -> int:
        return max(each.node.term for each in self.group.members.values())

    def behind(self) -> int:
        leader = self.group.leader()
        assert leader is not None
        return sum(each.state.applied < leader.state.applied for each in self.group.members.values())


def back_at_once(learners: int, seed: int) -> tuple[int, float, float]:
    """Changes of term, s until the last learner has all, messages a second meanwhile."""
    scene = Scene(learners, seed)
    term = scene.term()
    away = range(VOTERS + 1, VOTERS + learners + 1)
    pairs = [(a, b) for a in away for b in range(1, VOTERS + 1)]
    pairs += [(b, a) for a, b in pairs]
    scene.network.cut(pairs)
    for _ in range(10 * WRITES):
        scene.write()
        scene.run(1 / WRITES)
    scene.network.heal(pairs)
    began, sent = scene.clockwork.now, scene.network.sent
    while scene.behind() and scene.clockwork.now - began < 60 * SECOND:
        scene.run(0.05)
    took = (scene.clockwork.now - began) / SECOND
    return scene.term() - term, took, (scene.network.sent - sent) / max(took, 0.05)


def calm(learners: int, seconds: float, seed: int) -> tuple[int, float]:
    """Changes of term, messages a second of the whole group."""
    scene = Scene(learners, seed)
    scene.run(2)
    term, sent = scene.term(), scene.network.sent
    scene.run(seconds)
    return scene.term() - term, (scene.network.sent - sent) / seconds


@click.command()
@click.option("--learners", default="50,200,300", show_default=True)
@click.option("--calm-seconds", default=3600.0, show_default=True)
@click.option("--calm-learners", default=300, show_default=True)
def main(learners: str, calm_seconds: float, calm_learners: int) -> None:
    click.echo(f"{'learners':>8}  {'terms':>5}  {'caught up s':>11}  {'messages/s':>10}")
    for count in map(int, learners.split(",")):
        terms, took, rate = back_at_once(count, 1)
        click.echo(f"{count:>8}  {terms:>5}  {took:>11.2f}  {rate:>10.0f}")
    began = time.monotonic()
    terms, rate = calm(calm_learners, calm_seconds, 1)
    click.echo(
        f"calm for {calm_seconds:.0f} s with {calm_learners} learners: {terms} changes of term, "
        f"{rate:.0f} messages a second ({time.monotonic() - began:.0f} s of real time)"
    )


if __name__ == "__main__":
    main()
