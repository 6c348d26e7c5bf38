"""One run by its seed, and many on several cores: `python -m lichencleat.testkit.simulation.run --seeds
1000`."""

from __future__ import annotations

import hashlib
import random
from dataclasses import dataclass, field

import click

from lichencleat.consensus import progress as following
from lichencleat.consensus.messages import Timeouts
from lichencleat.consensus.raft_node import RaftNode
from lichencleat.testkit.checkers.linear import judge_facts
from lichencleat.testkit.simulation.clients import SimClient
from lichencleat.testkit.simulation.clockwork import Clockwork
from lichencleat.testkit.simulation.faults import Cause, Fault, draw, shrink
from lichencleat.testkit.simulation.group import SimGroup
from lichencleat.testkit.simulation.many import many
from lichencleat.testkit.simulation.network import Network
from lichencleat.testkit.simulation.variants import VARIANTS

TROUBLE = 6_000_000  # µs in which faults begin
CALM = 6_000_000  # µs after the last fault by which everything has to be well again: ten elections
CLIENTS, CALLS = 3, 100
TIMES = (
    Timeouts(),
    Timeouts(),
    Timeouts(200_000, 300_000, 150_000),
)  # the last: a leader notices late that it leads no more


@dataclass(slots=True)
class Ran:
    seed: int
    wrong: str | None = None
    faults: list[Fault] = field(default_factory=list)
    calls: int = 0
    answered: int = 0
    entries: int = 0
    terms: int = 0
    digest: str = ""  # of all that the clients saw: the same for the same seed


def run(seed: int, kind: type[RaftNode] = RaftNode, faults: list[Fault] | None = None) -> Ran:
    rng = random.Random(f"quorum {seed}")
    clockwork = Clockwork()
    network = Network(clockwork, random.Random(rng.randrange(1 << 60)))
    voters = rng.choice([3, 3, 3, 5])
    spare = rng.choice([0, 1])
    times = rng.choice(TIMES)
    group = SimGroup(clockwork, network, rng, voters, spare, kind, times, rng.choice([7, 40, 400]))
    drawn = draw(random.Random(rng.randrange(1 << 60)), list(group.members), rng.randint(1, 12), TROUBLE)
    clients = [
        SimClient(group, f"c{n}", random.Random(rng.randrange(1 << 60)), CALLS) for n in range(CLIENTS)
    ]
    least = following.MAX_MESSAGE_BYTES
    following.MAX_MESSAGE_BYTES = rng.choice([1, 100, least])  # an entry a message, a few, all
    result = Ran(seed, faults=drawn if faults is None else faults)
    try:
        group.start()
        Cause(group, rng).plan(result.faults)
        for each in clients:
            each.start()
        over = max((each.at + each.span for each in result.faults), default=0)
        clockwork.run(over, lambda: group.watch.wrong is not None)
        for each in group.members.values():  # who left by itself is started by its operator
            each.go_on()
            if not each.up:
                each.start()
        clockwork.run(over + CALM, lambda: group.watch.wrong is not None)
    finally:
        following.MAX_MESSAGE_BYTES = least
    history = [call for each in clients for call in each.history]
    result.calls, result.entries = len(history), len(group.watch.entries)
    result.answered = sum(each.told is not None or each.returned < 1 << 62 for each in history)
    result.terms = max(group.watch.leaders, default=0)
    result.digest = hashlib.blake2b("\n".join(map(str, history)).encode(), digest_size=8).hexdigest()
    result.wrong = group.watch.wrong or judge_facts(history) or well_again(group, clients, over)
    return result


def well_again(group: SimGroup, clients: list[SimClient], over: int) -> str | None:
    """Once the faults have ended a leader is there, and clients are answered."""
    leader = group.leader()
    if leader is None:
        return "no leader long after the last fault"
    for each in clients:
        late = [call for call in each.history if call.returned > 1 << 61 and call is each.call]
        if late and group.clockwork.now - late[0].called > CALM // 2:
            return f"{late[0]} is not answered long after the last fault"
    return None


def one(job: tuple[int, str]) -> Ran:
    seed, variant = job
    return run(seed, VARIANTS[variant])


def shortened(ran: Ran, kind: type[RaftNode]) -> list[Fault]:
    """The fewest faults of a failing run that still fail it, in any way."""
    return shrink(ran.faults, lambda fewer: run(ran.seed, kind, fewer).wrong is not None)


@click.command()
@click.option("--seeds", default=100, show_default=True, help="How many runs.")
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--cores", default=1, show_default=True)
@click.option("--variant", default="none", type=click.Choice(sorted(VARIANTS)), help="A planted mistake.")
@click.option("--shrink/--no-shrink", "short", default=True, help="Look for the fewest faults that fail.")
@click.option("--most", default=3, show_default=True, help="Stop after so many failing seeds.")
def main(seeds: int, first: int, cores: int, variant: str, short: bool, most: int) -> None:
    """Runs a group through drawn faults, one run a seed, and tells what broke."""
    failed: list[Ran] = []
    sums = dict.fromkeys(("runs", "faults", "calls", "answered", "entries", "terms"), 0)
    jobs = [(seed, variant) for seed in range(first, first + seeds)]
    for ran in many(one, jobs, cores, most):
        sums["runs"] += 1
        sums["faults"] += len(ran.faults)
        for name in ("calls", "answered", "entries", "terms"):
            sums[name] += getattr(ran, name)
        failed += [ran] if ran.wrong is not None else []
    click.echo(", ".join(f"{count} {name}" for name, count in sums.items()))
    for ran in failed:
        click.echo(f"seed {ran.seed}: {ran.wrong}")
        for fault in shortened(ran, VARIANTS[variant]) if short else ran.faults:
            click.echo(f"    {fault}")
    if failed:
        raise SystemExit(1)


if __name__ == "__main__":
    main()
