"""Drawn faults between zones, routers, nodes and voters, all real processes: `python -m tests.fleet.routers
--seeds 200`.

Two or three zones, two routers each, two nodes each whose receipts outlive them. Callers ask routers of their
zone; a keyed request's further tries go to any router of any zone. Nodes, routers, voters and whole zones are
killed and stopped, links between zones are cut, zones are drained. Judged: every request is answered once and
in time or lost with its router, nothing is honoured that no run made, no key runs twice on any node of any
zone, and all is served again at the end.
"""

from __future__ import annotations

import random
import tempfile
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

import click

from lichencleat.testkit.cluster.nodes import HARD_LIMIT
from lichencleat.testkit.cluster.routers import Zones

OPEN, KEYED = 3, 0.3  # tries at once of each caller, and the share of them with a key
SPAN = 6.0  # s of faults
AGAIN = 6  # further tries of a key


@dataclass
class Ran:
    seed: int
    wrong: str | None = None
    faults: list[str] = field(default_factory=list)
    tries: int = 0
    honoured: int = 0
    keys: int = 0


class Load:
    """Asks at every router; each key's further tries go wherever chance sends them."""

    def __init__(self, zones: Zones, rng: random.Random) -> None:
        self.zones, self.rng, self.on, self.made = zones, rng, True, 0
        self.callers = {name: each.caller() for name, each in zones.routers.items()}
        self.again: list[tuple[bytes, bytes, int]] = []
        self.keys = 0
        zones.rig.relays.reactor.callFromThread(self.step)

    def step(self) -> None:
        if not self.on:
            return
        for caller in self.callers.values():
            while caller.waiting < OPEN and self.ask(caller):
                pass
        self.zones.rig.relays.reactor.callLater(0.01, self.step)

    def ask(self, caller) -> bool:
        self.made += 1
        body = b"%d" % self.made
        if self.again and self.rng.random() < KEYED / 2:
            key, body, left = self.again.pop(self.rng.randrange(len(self.again)))
            asked = caller.ask(b"save", body, HARD_LIMIT, self.rng, key, r=1)
            if asked is None or left > 1:
                self.again.append((key, body, left - (asked is not None)))
            return asked is not None
        if self.rng.random() < KEYED / 2:
            key = b"%032x" % self.rng.getrandbits(128)
            asked = caller.ask(b"save", body, HARD_LIMIT, self.rng, key)
            if asked is not None:
                self.keys += 1
                self.again.append((key, body, AGAIN))
            return asked is not None
        return caller.ask(b"look", body, HARD_LIMIT, self.rng) is not None

    def honoured(self) -> dict[str, int]:
        return {
            name: sum(bool(each.answers) and each.answers[0][0] == b"200" for each in list(caller.said))
            for name, caller in self.callers.items()
        }

    def stop(self) -> None:
        self.on = False
        self.zones.until(lambda: not any(each.waiting for each in self.callers.values()), "the last answers")


def fault(zones: Zones, rng: random.Random) -> tuple[str, list]:
    """One that is drawn, and what undoes it."""
    zone, other = rng.sample(list(zones.names), 2)
    kind = rng.choice(["node", "zone", "router", "stopped router", "voter", "cut", "drain", "drill", "late"])
    if kind == "node":
        node = zones.nodes[rng.choice(zones.names[zone])]
        node.kill()
        return f"{node.name} killed", [node.start]
    if kind == "zone":
        nodes = [zones.nodes[name] for name in zones.names[zone]]
        for each in nodes:
            each.signal(9)
        for each in nodes:
            each.ended()
        return f"the nodes of {zone} killed", [each.start for each in nodes]
    if kind in ("router", "stopped router"):
        router = zones.routers[rng.choice([name for name in zones.routers if name.startswith(zone)])]
        if kind == "router":
            router.kill()
            return f"{router.name} killed", [router.start]
        router.stop()
        return f"{router.name} stopped", [router.go_on]
    if kind == "voter":
        voter = rng.choice(list(zones.rig.voters.values()))
        voter.kill()
        return f"{voter.name} killed", [voter.start]
    if kind in ("cut", "late"):
        names = {f"{name}<{other}" for name in zones.names[zone]}
        pairs = {(other, name) for name in names} | {(name, other) for name in names}
        if kind == "late":
            zones.rig.relays.slow(pairs, 0.2)
            return f"{other} to {zone} late", [lambda: zones.rig.relays.slow(pairs, 0.0)]
        zones.rig.relays.hold(pairs)
        return f"{other} cut off from {zone}", [lambda: zones.rig.relays.release(pairs)]
    words = ["drill", zones.file, zone, "--for", "2"] if kind == "drill" else ["drain", zones.file, zone]
    if zones.command("zones", *words)[0] != 0:
        return f"no {kind} of {zone}: no majority", []
    return f"{kind} of {zone}", [lambda: zones.command("zones", "open", zones.file, zone)]


def play(zones: Zones, rng: random.Random, ran: Ran) -> None:
    load = Load(zones, rng)
    zones.until(lambda: all(count > 20 for count in load.honoured().values()), "answers of all routers")
    for _ in range(rng.randint(1, 3)):
        undo = []
        for _ in range(rng.randint(1, 3)):
            said, more = fault(zones, rng)
            ran.faults.append(said)
            undo += more
            had = sum(load.honoured().values())
            end = rng.randint(0, 150)  # the next one comes somewhere in the midst of it
            zones.rig.patience, patience = SPAN, zones.rig.patience
            try:
                zones.until(
                    lambda had=had, end=end: sum(load.honoured().values()) > had + end, "some answers"
                )
            except AssertionError:
                ran.faults.append("nothing is served meanwhile")
            finally:
                zones.rig.patience = patience
        rng.shuffle(undo)
        for each in undo:
            each()
    before = load.honoured()
    zones.rig.patience = 30.0
    zones.until(
        lambda: all(n > before[name] + 50 for name, n in load.honoured().items()), "all to serve again"
    )
    load.stop()
    ran.keys = load.keys
    ran.honoured = sum(load.honoured().values())


def keys_judged(zones: Zones) -> str | None:
    runs: dict[bytes, int] = {}
    for node in zones.nodes.values():
        for (tariff, body), count in node.engine.begun.items():
            if tariff == b"save":
                runs[body] = runs.get(body, 0) + count
    return next((f"{body!r} ran {count} times" for body, count in runs.items() if count > 1), None)


def run(seed: int) -> Ran:
    ran, rng = Ran(seed), random.Random(f"routers {seed}")
    with tempfile.TemporaryDirectory() as folder:
        zones = None
        try:
            names = ("a", "b", "c") if rng.random() < 0.3 else ("a", "b")
            zones = Zones(Path(folder), names, routers=2, keyed=True)
            play(zones, rng, ran)
            ran.wrong = zones.rig.relays.call(zones.judge) or zones.rig.relays.call(keys_judged, zones)
            ran.tries = sum(len(each.said) for each in zones.callers)
        except AssertionError as wrong:
            ran.wrong = str(wrong)[:3_000]
        finally:
            if zones is not None:
                zones.close()
    return ran


@click.command()
@click.option("--seeds", default=200, show_default=True)
@click.option("--first", default=1, show_default=True)
@click.option(
    "--side-by-side", default=2, show_default=True, help="Rigs at once; each has some twelve processes."
)
def main(seeds: int, first: int, side_by_side: int) -> None:
    """Plays drawn schedules, and tells what broke."""
    wrong, faults, tries, honoured, keys = 0, 0, 0, 0, 0
    with ProcessPoolExecutor(side_by_side) as pool:
        for ran in pool.map(run, range(first, first + seeds)):
            faults, tries, keys = faults + len(ran.faults), tries + ran.tries, keys + ran.keys
            honoured += ran.honoured
            if ran.wrong is not None:
                wrong += 1
                click.echo(f"seed {ran.seed}: {'; '.join(ran.faults)}\n{ran.wrong}")
    click.echo(
        f"{seeds} schedules, {faults} faults, {tries} tries, {honoured} honoured, {keys} keys, {wrong} wrong"
    )
    raise SystemExit(1 if wrong else 0)


if __name__ == "__main__":
    main()
