"""Power losses of a whole fleet of real processes: `python -m tests.fleet.revive --seeds 200`.

Three voters, eight nodes in two zones with receipts on held-back disks, engines and one dependency that
outlive the cut, callers that ask again and again. Power goes for all, a zone, all twice; links are cut while
they return. Judged: no receipted request runs twice on a node, nothing is honoured that no run made, nothing
is answered twice, the dependency never has more than its limit; and every node is open again, or the fleet
says what it waits for. Some wake with a wrong clock, an empty disk, a copy of theirs, or as an older version;
voters that do stop by themselves and are put up later.
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
class Ran:
    seed: int
    wrong: str | None = None
    cuts: list[str] = field(default_factory=list)
    tries: int = 0
    runs: int = 0
    epochs: int = 0
    took: float = 0.0  # s until all were open after the last cut


def hurts(fleet: Fleet, nodes: list[str], rng: random.Random) -> tuple[str, list]:
    """Something more that befalls one node; what is to be undone before all can be open again."""
    name = rng.choice(nodes)
    node = fleet.nodes[name]
    load = next(each for each in fleet.loads if each.node is node)
    directory = fleet.rig.path / f"{name}.keyed"
    kind = rng.choice(["", "", "", "clock", "clock", "empty disk", "copy", "older"])
    if kind == "clock":
        fleet.rig.clock(name, 1.0, rng.choice([3600.0, -3600.0, -1.7e9]))

        def set_right() -> None:
            """And started again: within a life a node's Unix time never goes back."""
            fleet.rig.clock(name)
            node.kill()
            node.start()

        return f", {name} with a wrong clock", [set_right]
    if kind == "empty disk":
        shutil.rmtree(directory)
        load.new_keys()  # nothing proves what ran: an operator waits for the longest window
        return f", {name} with an empty disk", []
    if kind == "copy":
        shutil.copytree(directory, f"{directory}.copy")
        shutil.rmtree(directory)
        shutil.move(f"{directory}.copy", directory)
        node.start()
        assert node.ended() == 2 and "copied or moved" in node.said(), node.said()[-500:]
        shutil.rmtree(directory)
        load.new_keys()
        return f", {name} with a copy", []
    if kind == "older":
        fleet.takes_no_part(name)
        return f", {name} of an older version", []
    return "", []


def older_voters(fleet: Fleet, lost: list[str], rng: random.Random) -> tuple[str, list]:
    """Some of them return as a version that knows of no fleet's return: each stops by itself. What puts them
    up again.
    """
    if not lost or rng.random() < 0.7:
        return "", []
    older = rng.sample(lost, rng.randint(1, min(2, len(lost))))  # three would never hear what is committed
    for name in older:
        fleet.rig.voters[name].lacks = ("revive", "zones")

    def put_up() -> None:
        for name in older:
            voter = fleet.rig.voters[name]
            assert voter.ended() == 3, f"{name} goes on as an older version"
            voter.lacks = ()
            voter.start()

    return f", {', '.join(older)} as an older version", [put_up]


def play(fleet: Fleet, rng: random.Random, ran: Ran) -> None:
    everyone, voters = list(fleet.nodes), list(fleet.rig.voters)
    fleet.work()
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
        ran.cuts.append(kind)
        time.sleep(rng.uniform(0, 0.6))
        fleet.cut(nodes, lost)
        more, undo = hurts(fleet, nodes, rng) if nodes else ("", [])
        older, put_up = older_voters(fleet, lost, rng)
        ran.cuts[-1] += more + older
        undo += put_up
        pairs = set()
        if rng.random() < 0.3:  # one node hears nobody while the others return
            name = rng.choice(everyone)
            pairs = {(name, each) for each in voters} | {(each, name) for each in voters}
            fleet.rig.relays.hold(pairs)
            ran.cuts[-1] += f", {name} cut off"
        began = time.monotonic()
        order = rng.sample(nodes, len(nodes))
        late = order[: rng.randint(0, len(order) // 2)]
        fleet.come_back([name for name in order if name not in late], lost)
        time.sleep(rng.uniform(0, 2.0))
        fleet.come_back(late, [])
        fleet.rig.heal(pairs)
        for each in undo:
            each()
        if rng.random() < 0.6:  # else the next cut comes in the middle of the return
            fleet.until_open()
            ran.took = time.monotonic() - began
    fleet.until_open()
    fleet.work()


def run(seed: int) -> Ran:
    ran = Ran(seed)
    rng = random.Random(f"revive {seed}")
    with tempfile.TemporaryDirectory() as folder:
        fleet = None
        try:
            fleet = Fleet(Path(folder), forgets=rng.random() < 0.5)
            play(fleet, rng, ran)
            ran.wrong = fleet.judge()
            ran.epochs = fleet.epoch()
            ran.tries = sum(len(each.caller.said) for each in fleet.loads)
            ran.runs = sum(sum(each.node.engine.begun.values()) for each in fleet.loads)
        except AssertionError as wrong:
            ran.wrong = str(wrong)
        finally:
            if fleet is not None:
                fleet.close()
    return ran


@click.command()
@click.option("--seeds", default=200, show_default=True)
@click.option("--first", default=1, show_default=True)
@click.option("--side-by-side", default=2, show_default=True, help="Rigs at once; each has eleven processes.")
def main(seeds: int, first: int, side_by_side: int) -> None:
    """Plays drawn losses of power, and tells what broke."""
    wrong, cuts, tries, runs, epochs, took = [], 0, 0, 0, 0, []
    with ProcessPoolExecutor(side_by_side) as pool:
        for ran in pool.map(run, range(first, first + seeds)):
            cuts, tries, runs = cuts + len(ran.cuts), tries + ran.tries, runs + ran.runs
            epochs += max(0, ran.epochs - 1)
            took += [ran.took] if ran.took else []
            if ran.wrong is not None:
                wrong.append(ran)
                click.echo(f"seed {ran.seed}: {'; '.join(ran.cuts)}\n{ran.wrong}", nl=True)
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
