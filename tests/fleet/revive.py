"""Power losses of a whole fleet of real processes: `python -m tests.fleet.revive --seeds 200`.

Three voters, eight nodes in two zones with receipts on held-back disks, engines and one dependency that
outlive the cut, callers that ask again and again. Power goes for all, a zone, all twice; links are cut while
they return. Judged: no receipted inquiry runs twice on a node, nothing is honoured that no run made, nothing
is answered twice, the dependency never has more than its limit; and every node is open again, or the fleet
says what it waits for.
"""

from __future__ import annotations

import json
import random
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

import click

from lichencleat.lab.rig import rig as rigs
from lichencleat.lab.rig.nodes import HARD_LIMIT, RigNode, settings
from lichencleat.lab.rig.peers import Dependency
from lichencleat.lab.rig.rig import Rig

LIMIT, FLOOR, TERM = 24, 1, 1.0
NODES, OPEN, KEYS = 8, 6, 12  # OPEN: tries at once at each node; KEYS: of receipted inquiries, at each
WINDOW = 60.0  # s: longer than a schedule
BACK = 30.0  # s in which the fleet has to be open again


@dataclass
class Ran:
    seed: int
    wrong: str | None = None
    cuts: list[str] = field(default_factory=list)
    tries: int = 0
    runs: int = 0
    epochs: int = 0
    took: float = 0.0  # s until all were open after the last cut


class Load:
    """Pure inquiries with a call, and receipted ones of a few keys, at one node."""

    def __init__(self, rig: Rig, node: RigNode) -> None:
        self.rig, self.node, self.on = rig, node, True
        self.rng = random.Random(node.name)
        self.keys = [b"%032x" % self.rng.getrandbits(128) for _ in range(KEYS)]
        self.made = 0
        self.caller = node.caller()
        rig.relays.reactor.callFromThread(self.step)

    def step(self) -> None:
        if not self.on:
            return
        while self.caller.waiting < OPEN:
            self.made += 1
            if self.rng.random() < 0.4:
                key = self.rng.choice(self.keys)
                asked = self.caller.ask(b"save", b"body " + key, HARD_LIMIT, self.rng, key)
            else:
                asked = self.caller.ask(b"look", b"b%d" % self.made, HARD_LIMIT, self.rng)
            if asked is None:
                break
        self.rig.relays.reactor.callLater(self.rng.uniform(0.01, 0.04), self.step)

    def honoured(self) -> int:
        return sum(bool(each.answers) and each.answers[0][0] == b"200" for each in list(self.caller.said))

    def judge(self) -> str | None:
        engine = self.node.engine
        for (tariff, body), count in engine.begun.items():
            if tariff == b"save" and count > 1:
                return f"{self.node.name}: {body!r} ran {count} times"
        told: dict[bytes, set[bytes]] = {}
        for each in self.caller.said:
            if len(each.answers) > 1:
                return f"{self.node.name}: {each.ident!r} was answered {len(each.answers)} times"
            for word, _, result, _ in each.answers:
                if word == b"200" and result not in engine.made.get((each.tariff, each.body), []):
                    return f"{self.node.name}: {each.body!r} was honoured with what no run made"
                if word == b"200" and each.tariff == b"save":
                    told.setdefault(each.body, set()).add(result)
        return next(
            (f"{body!r} was told {results}" for body, results in told.items() if len(results) > 1), None
        )


class Fleet:
    """Owns rig, nodes, loads and dependency; all are given back in `close`."""

    def __init__(self, path: Path, forgets: bool = False) -> None:
        self.rig = rig = Rig(path)
        self.nodes: dict[str, RigNode] = {}
        self.loads: list[Load] = []
        rig.form()
        self.file = str(rig.voters["v1"].file)
        words = ["--limit", str(LIMIT), "--nodes", str(NODES), "--floor", str(FLOOR), "--term", str(TERM)]
        assert self.command("shares", "define", self.file, "below", *words)[0] == 0
        assert self.command("owners", "define", self.file, "revive")[0] == 0
        reactor = rig.relays.reactor
        self.below = rig.relays.call(lambda: Dependency(reactor, random.Random(1), 0.03, LIMIT))
        for number in range(1, NODES + 1):
            name, zone = f"n{number}", "xy"[number % 2]
            chosen = {
                "fleet": {
                    "group": "rig",
                    "members": [each.address for each in rig.voters.values()],
                    "zone": zone,
                    "candidate": number <= 4,
                    "revive": True,
                    "shares": {"pool": "below", "floor": FLOOR, "term_s": TERM},
                },
                "keyed": {"directory": str(path / f"{name}.keyed"), "disk": "held back"},
                "log": {},
            }
            told = settings(calls=(True, False), window=WINDOW)
            made = RigNode(
                rig, name, chosen, self.below, told, work=0.01, calling=frozenset([b"look"]), forgets=forgets
            )
            self.nodes[name] = made
            made.start()
        self.until_open()
        self.loads = [Load(rig, each) for each in self.nodes.values()]

    def command(self, *words: str) -> tuple[int, str]:
        return self.rig.command(*words)

    def status(self) -> dict[str, dict]:
        code, said = self.command("fleet", "status", self.file, "--json")
        return {each["node"]: each for each in json.loads(said)} if code == 0 else {}

    def epoch(self) -> int:
        code, said = self.command("fleet", "plan", self.file, "--json")
        return json.loads(said)["epoch"] if code == 0 else 0

    def until_open(self) -> None:
        end = time.monotonic() + BACK
        while time.monotonic() < end:
            known = self.status()
            if sum(each["share"] >= 1.0 for each in known.values()) == NODES and not self.under_way():
                return
        said = self.command("fleet", "status", self.file)[1]
        raise AssertionError(f"not open again after {BACK:g} s:\n{said}\n{self.rig.logs()}")

    def under_way(self) -> bool:
        code, said = self.command("fleet", "plan", self.file, "--json")
        return code != 0 or json.loads(said)["under_way"]

    def cut(self, nodes: list[str], voters: list[str]) -> None:
        """Their power goes at one moment."""
        for name in nodes:
            self.nodes[name].signal(9)
        for name in voters:
            self.rig.voters[name].signal(9)
        for name in nodes:
            self.nodes[name].ended()
        for name in voters:
            self.rig.voters[name].ended()

    def come_back(self, nodes: list[str], voters: list[str]) -> None:
        for name in voters:
            self.rig.voters[name].start()
        for name in nodes:
            self.nodes[name].start()

    def work(self, count: int = 5) -> None:
        before = [each.honoured() for each in self.loads]
        rigs.wait_until(
            lambda: all(each.honoured() >= had + count for each, had in zip(self.loads, before, strict=True)),
            "answers of all nodes",
            self.rig.logs,
        )

    def judge(self) -> str | None:
        if self.below.over_limit:
            return f"{self.below.most} in hand below, and the limit is {LIMIT}"
        return next((wrong for each in self.loads if (wrong := each.judge())), None)

    def close(self) -> None:
        for each in self.loads:
            each.on = False
        for each in self.nodes.values():
            each.close()
        self.rig.relays.call(self.below.close)
        self.rig.close()


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
            nodes, lost = [name for name in everyone if f"{name} owns it" in said], []
        ran.cuts.append(kind)
        time.sleep(rng.uniform(0, 0.6))
        fleet.cut(nodes, lost)
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
