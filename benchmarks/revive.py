"""Return of a fleet of real processes after its power was cut, by plan, all at once, after fixed delays:
`python -m benchmarks.revive`. The dependency below comes back cold, survives a third, and falls beyond that.
"""

from __future__ import annotations

import random
import statistics
import tempfile
import time
from pathlib import Path

import click

from lichencleat.testkit.cluster.fleet import Fleet
from lichencleat.testkit.cluster.peers import ColdDependency

LIMIT, TAKES = 36, 0.1  # calls that the dependency survives; s that one takes
BEFORE, LOOK = 4.0, 0.25  # s measured before the cut; s between samples
APART = 1.5  # s from one node to the next, after fixed delays
POLICIES = ["plan", "at once", "delays"]


def counted(fleet: Fleet) -> int:
    return sum(each.count_served() for each in fleet.loads)


def one(policy: str, nodes: int, span: float, warm: float, seed: int) -> dict[str, float]:
    """Shares of what was honoured before; s."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(
            Path(folder),
            nodes=nodes,
            limit=LIMIT,
            uses_rollout=policy == "plan",
            dependency=lambda reactor: ColdDependency(reactor, random.Random(seed), TAKES, LIMIT, warm),
            open_=10,
        )
        try:
            fleet.wait_for_answers(20)
            time.sleep(3.0)
            had, began = counted(fleet), time.monotonic()
            time.sleep(BEFORE)
            usual = (counted(fleet) - had) / (time.monotonic() - began)
            everyone, voters = list(fleet.nodes), list(fleet.rig.voters)
            fleet.cut_power(everyone, voters)
            fleet.rig.relays.call(fleet.dependency.cut_power)
            fleet.dependency.max_in_flight = 0
            back = time.monotonic()
            fleet.start_again([], voters)
            if policy == "delays":
                pending = list(everyone)
            else:
                pending = []
                fleet.start_again(everyone, [])
            rates, had = [], counted(fleet)
            while (now := time.monotonic() - back) < span:
                while pending and now > APART * (len(everyone) - len(pending)):
                    fleet.start_again([pending.pop(0)], [])
                time.sleep(LOOK)
                count = counted(fleet)
                rates.append((count - had) / (time.monotonic() - back - now) / usual)
                had = count
            per_second = [statistics.mean(rates[at : at + 4]) for at in range(0, len(rates) - 3, 4)]
            under = [at for at, rate in enumerate(per_second) if rate < 0.9]
            wrong = next((said for each in fleet.loads if (said := each.find_violation())), None)
            assert wrong is None, wrong
            return {
                "usual": usual,
                "lost": statistics.mean(max(0.0, 1 - rate) for rate in per_second),
                "to 90%": float(under[-1] + 1 if under else 0),
                "falls": float(fleet.dependency.failures),
                "most": fleet.dependency.max_in_flight / LIMIT,
            }
        finally:
            fleet.close()


@click.command()
@click.option("--nodes", default=12, show_default=True)
@click.option("--pairs", default=2, show_default=True)
@click.option("--span", default=40.0, show_default=True, help="s looked at after the cut.")
@click.option("--warm", default=15.0, show_default=True, help="s until the dependency is whole.")
def main(nodes: int, pairs: int, span: float, warm: float) -> None:
    rows: dict[str, list[dict[str, float]]] = {policy: [] for policy in POLICIES}
    for seed in range(1, pairs + 1):
        for policy in POLICIES:
            rows[policy].append(one(policy, nodes, span, warm, seed))
    click.echo(f"{nodes} nodes, {span:g} s after the cut; medians of {pairs}")
    click.echo("policy   before a second   lost  to 90 %  falls  most in hand, of the limit")
    for policy, rans in rows.items():
        of = {name: statistics.median(each[name] for each in rans) for name in rans[0]}
        click.echo(
            f"{policy:<8} {of['usual']:>15.0f} {of['lost']:>6.0%} {of['to 90%']:>7.0f}s {of['falls']:>6.0f}  "
            f"{of['most']:.2f}"
        )


if __name__ == "__main__":
    main()
