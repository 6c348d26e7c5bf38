"""Simulation of a consensus group under random faults, one run per seed:
`python -m lichencleat.testkit.simulation.run --seeds 1000`.
"""

from __future__ import annotations

import hashlib
import random
from dataclasses import dataclass, field

import click

from lichencleat.consensus import progress
from lichencleat.consensus.messages import Timeouts
from lichencleat.consensus.raft_node import RaftNode
from lichencleat.testkit.checkers.linear import check_key_value_history
from lichencleat.testkit.simulation.clients import SimClient
from lichencleat.testkit.simulation.clockwork import Clockwork
from lichencleat.testkit.simulation.faults import Fault, FaultInjector, draw_faults, shrink
from lichencleat.testkit.simulation.group import SimGroup
from lichencleat.testkit.simulation.many import run_many
from lichencleat.testkit.simulation.network import Network
from lichencleat.testkit.simulation.variants import VARIANTS

FAULT_PHASE_US = 6_000_000  # faults begin within this time
RECOVERY_PHASE_US = 6_000_000  # time to recover after the last fault: ten elections
CLIENT_COUNT, CALLS_PER_CLIENT = 3, 100
TIMEOUTS = (
    Timeouts(),
    Timeouts(),
    Timeouts(200_000, 300_000, 150_000),  # a leader notices late that it has lost the leadership
)


@dataclass(slots=True)
class RunResult:
    """The outcome of one run, with its counts."""

    seed: int
    wrong: str | None = None  # the first violation found
    faults: list[Fault] = field(default_factory=list)
    calls: int = 0
    answered: int = 0
    entries: int = 0
    terms: int = 0
    digest: str = ""  # hash of the histories of all clients; equal for equal seeds


def run(seed: int, node_class: type[RaftNode] = RaftNode, faults: list[Fault] | None = None) -> RunResult:
    """Play one run. Without `faults`, the schedule is drawn from the seed."""
    rng = random.Random(f"quorum {seed}")
    clockwork = Clockwork()
    network = Network(clockwork, random.Random(rng.randrange(1 << 60)))
    voters = rng.choice([3, 3, 3, 5])
    spare = rng.choice([0, 1])
    timeouts = rng.choice(TIMEOUTS)
    group = SimGroup(clockwork, network, rng, voters, spare, node_class, timeouts, rng.choice([7, 40, 400]))
    drawn_faults = draw_faults(
        random.Random(rng.randrange(1 << 60)), list(group.members), rng.randint(1, 12), FAULT_PHASE_US
    )
    clients = [
        SimClient(group, f"c{n}", random.Random(rng.randrange(1 << 60)), CALLS_PER_CLIENT)
        for n in range(CLIENT_COUNT)
    ]
    default_bytes = progress.MAX_MESSAGE_BYTES
    progress.MAX_MESSAGE_BYTES = rng.choice([1, 100, default_bytes])  # one entry per message, a few, or all
    result = RunResult(seed, faults=drawn_faults if faults is None else faults)
    try:
        group.start()
        FaultInjector(group, rng).schedule(result.faults)
        for each in clients:
            each.start()
        faults_end = max((each.at + each.duration for each in result.faults), default=0)
        clockwork.run(faults_end, lambda: group.watch.wrong is not None)
        # members that halted by themselves are restarted, as by an operator
        for each in group.members.values():
            each.resume()
            if not each.up:
                each.start()
        clockwork.run(faults_end + RECOVERY_PHASE_US, lambda: group.watch.wrong is not None)
    finally:
        progress.MAX_MESSAGE_BYTES = default_bytes
    history = [call for each in clients for call in each.history]
    result.calls, result.entries = len(history), len(group.watch.entries)
    result.answered = sum(each.result is not None or each.returned < 1 << 62 for each in history)
    result.terms = max(group.watch.leaders, default=0)
    result.digest = hashlib.blake2b("\n".join(map(str, history)).encode(), digest_size=8).hexdigest()
    result.wrong = (
        group.watch.wrong or check_key_value_history(history) or check_recovery(group, clients, faults_end)
    )
    return result


def check_recovery(group: SimGroup, clients: list[SimClient], faults_end: int) -> str | None:
    """Check that the group has a leader and answers its clients after the faults; describe a violation."""
    leader = group.leader()
    if leader is None:
        return "no leader long after the last fault"
    for each in clients:
        unanswered = [call for call in each.history if call.returned > 1 << 61 and call is each.call]
        if unanswered and group.clockwork.now - unanswered[0].called > RECOVERY_PHASE_US // 2:
            return f"{unanswered[0]} is not answered long after the last fault"
    return None


def run_one(job: tuple[int, str]) -> RunResult:
    """Play one run with a variant given by its name."""
    seed, variant = job
    return run(seed, VARIANTS[variant])


def find_minimal_faults(result: RunResult, node_class: type[RaftNode]) -> list[Fault]:
    """Return a minimal subset of the faults of a failing run with which the run still fails."""
    return shrink(result.faults, lambda remaining: run(result.seed, node_class, remaining).wrong is not None)


@click.command()
@click.option("--seeds", default=100, show_default=True, help="Number of runs.")
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--cores", default=1, show_default=True)
@click.option("--variant", default="none", type=click.Choice(sorted(VARIANTS)), help="Injected bug.")
@click.option(
    "--shrink/--no-shrink", "shrink_failures", default=True, help="Reduce failing schedules to few faults."
)
@click.option("--most", default=3, show_default=True, help="Stop after this number of failing seeds.")
def main(seeds: int, first: int, cores: int, variant: str, shrink_failures: bool, most: int) -> None:
    """Run a consensus group under random faults, one run per seed, and report violations."""
    failed: list[RunResult] = []
    sums = dict.fromkeys(("runs", "faults", "calls", "answered", "entries", "terms"), 0)
    jobs = [(seed, variant) for seed in range(first, first + seeds)]
    for result in run_many(run_one, jobs, cores, most):
        sums["runs"] += 1
        sums["faults"] += len(result.faults)
        for name in ("calls", "answered", "entries", "terms"):
            sums[name] += getattr(result, name)
        failed += [result] if result.wrong is not None else []
    click.echo(", ".join(f"{count} {name}" for name, count in sums.items()))
    for result in failed:
        click.echo(f"seed {result.seed}: {result.wrong}")
        for fault in find_minimal_faults(result, VARIANTS[variant]) if shrink_failures else result.faults:
            click.echo(f"    {fault}")
    if failed:
        raise SystemExit(1)


if __name__ == "__main__":
    main()
