"""Power losses of a whole fleet of real processes: `python -m tests.fleet.revive --seeds 200`.

The fleet has three voters and eight nodes in two zones that store idempotency records on disks with a
volatile write cache. Engines, the dependency and the callers keep running during a power loss. Power losses
hit all processes, a zone, some nodes, most voters or the lease holder of the rollout plan; links are cut
during the restart. Some nodes restart with a wrong clock, an empty disk, a copied disk, or as an older
version. Voters of an older version exit and are upgraded later.

Checked: no keyed request runs twice on a node; a served result comes from a run; no attempt is answered
twice; the calls at the dependency never exceed its limit; and every node accepts all requests again, or the
fleet reports what it waits for.
"""

from __future__ import annotations

import random
import shutil
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

import click

from lichencleat.testkit.cluster.fleet import Fleet


@dataclass
class ScheduleResult:
    """Outcome of a schedule: violation, power losses, and the numbers of attempts, runs and epochs."""

    seed: int
    wrong: str | None = None
    cuts: list[str] = field(default_factory=list)
    tries: int = 0
    runs: int = 0
    epochs: int = 0
    took: float = 0.0  # s from the last power loss until all nodes accepted all requests


def damage_node(fleet: Fleet, nodes: list[str], rng: random.Random) -> tuple[str, list]:
    """Inject a random fault, or none, at one node that has lost its power.

    Returns the description of the fault, and the functions that undo it before all nodes can serve again.
    """
    name = rng.choice(nodes)
    node = fleet.nodes[name]
    load = next(each for each in fleet.loads if each.node is node)
    directory = fleet.rig.path / f"{name}.keyed"
    kind = rng.choice(["", "", "", "clock", "clock", "empty disk", "copy", "older"])
    if kind == "clock":
        fleet.rig.clock(name, 1.0, rng.choice([3600.0, -3600.0, -1.7e9]))

        def correct_clock() -> None:
            """Correct the clock and restart the node: in a running node the Unix time never goes back."""
            fleet.rig.clock(name)
            node.kill()
            node.start()

        return f", {name} with a wrong clock", [correct_clock]
    if kind == "empty disk":
        shutil.rmtree(directory)
        # No record shows which keys ran. New keys stand for an operator who waits for the longest window.
        load.new_keys()
        return f", {name} with an empty disk", []
    if kind == "copy":
        shutil.copytree(directory, f"{directory}.copy")
        shutil.rmtree(directory)
        shutil.move(f"{directory}.copy", directory)
        node.start()
        assert node.wait_for_exit() == 2 and "copied or moved" in node.read_log(), node.read_log()[-500:]
        shutil.rmtree(directory)
        load.new_keys()
        return f", {name} with a copy", []
    if kind == "older":
        fleet.leave_rollout(name)
        return f", {name} of an older version", []
    return "", []


def make_voters_older(fleet: Fleet, lost: list[str], rng: random.Random) -> tuple[str, list]:
    """Let some voters restart as a version without the rollout plan; each of these exits.

    Returns the description, and the functions that upgrade these voters.
    """
    if not lost or rng.random() < 0.7:
        return "", []
    # If all three were older, none would learn the commit index and exit.
    older = rng.sample(lost, rng.randint(1, min(2, len(lost))))
    for name in older:
        fleet.rig.voters[name].missing_parts = ("revive", "zones")

    def upgrade() -> None:
        for name in older:
            voter = fleet.rig.voters[name]
            assert voter.wait_for_exit() == 3, f"{name} keeps running as an older version"
            voter.missing_parts = ()
            voter.start()

    return f", {', '.join(older)} as an older version", [upgrade]


def play(fleet: Fleet, rng: random.Random, result: ScheduleResult) -> None:
    """Cut the power one to three times under load, and wait until all nodes serve again."""
    everyone, voters = list(fleet.nodes), list(fleet.rig.voters)
    fleet.wait_for_answers()
    for _ in range(rng.randint(1, 3)):
        kind = rng.choice(["all", "all", "all", "zone", "nodes", "most voters", "owner of the plan"])
        nodes, lost = everyone, voters
        if kind == "zone":
            nodes, lost = [name for at, name in enumerate(everyone) if at % 2], voters[:1]
        elif kind == "nodes":
            lost = []
        elif kind == "most voters":
            nodes, lost = rng.sample(everyone, 3), rng.sample(voters, 2)
        elif kind == "owner of the plan":
            said = fleet.command("owners", "explain", fleet.file, "revive")[1]
            nodes, lost = [name for name in everyone if f"{name} holds the lease" in said], []
        result.cuts.append(kind)
        time.sleep(rng.uniform(0, 0.6))
        fleet.cut_power(nodes, lost)
        more, undo = damage_node(fleet, nodes, rng) if nodes else ("", [])
        older, upgrade = make_voters_older(fleet, lost, rng)
        result.cuts[-1] += more + older
        undo += upgrade
        pairs = set()
        if rng.random() < 0.3:  # one node is cut off from the voters while the others restart
            name = rng.choice(everyone)
            pairs = {(name, each) for each in voters} | {(each, name) for each in voters}
            fleet.rig.relays.block(pairs)
            result.cuts[-1] += f", {name} cut off"
        began = time.monotonic()
        order = rng.sample(nodes, len(nodes))
        late = order[: rng.randint(0, len(order) // 2)]
        fleet.start_again([name for name in order if name not in late], lost)
        time.sleep(rng.uniform(0, 2.0))
        fleet.start_again(late, [])
        fleet.rig.heal(pairs)
        for each in undo:
            each()
        if rng.random() < 0.6:  # otherwise the next power loss interrupts the rollout
            fleet.wait_until_open()
            result.took = time.monotonic() - began
    fleet.wait_until_open()
    fleet.wait_for_answers()


def run(seed: int) -> ScheduleResult:
    """Play the schedule of a seed."""
    result = ScheduleResult(seed)
    rng = random.Random(f"revive {seed}")
    with tempfile.TemporaryDirectory() as folder:
        fleet = None
        try:
            fleet = Fleet(Path(folder), forgets=rng.random() < 0.5)
            play(fleet, rng, result)
            result.wrong = fleet.find_violation()
            result.epochs = fleet.epoch()
            result.tries = sum(len(each.caller.attempts) for each in fleet.loads)
            result.runs = sum(sum(each.node.engine.run_counts.values()) for each in fleet.loads)
        except AssertionError as wrong:
            result.wrong = str(wrong)
        finally:
            if fleet is not None:
                fleet.close()
    return result


@click.command()
@click.option("--seeds", default=200, show_default=True)
@click.option("--first", default=1, show_default=True)
@click.option("--side-by-side", default=2, show_default=True, help="Rigs at once; each has eleven processes.")
def main(seeds: int, first: int, side_by_side: int) -> None:
    """Play random power losses and print the violations."""
    wrong, cuts, tries, runs, epochs, took = [], 0, 0, 0, 0, []
    with ProcessPoolExecutor(side_by_side) as pool:
        for result in pool.map(run, range(first, first + seeds)):
            cuts, tries, runs = cuts + len(result.cuts), tries + result.tries, runs + result.runs
            epochs += max(0, result.epochs - 1)
            took += [result.took] if result.took else []
            if result.wrong is not None:
                wrong.append(result)
                click.echo(f"seed {result.seed}: {'; '.join(result.cuts)}\n{result.wrong}", nl=True)
    took.sort()
    middle = (
        f", all open after {took[len(took) // 2]:.1f} s in the middle, {took[-1]:.1f} s at the most"
        if took
        else ""
    )
    click.echo(
        f"{seeds} schedules, {cuts} losses of power, {tries} tries, {runs} runs, {epochs} epochs, "
        f"{len(wrong)} wrong{middle}"
    )
    raise SystemExit(1 if wrong else 0)


if __name__ == "__main__":
    main()
