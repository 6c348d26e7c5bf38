"""Random faults among zones, routers, nodes and voters: `python -m tests.fleet.routers --seeds 200`.

All of them are real processes. There are two or three zones, each with two routers and two nodes that store
idempotency records on disk. Callers send to a router; repeats of a keyed request go to any router of any
zone. Faults: nodes, routers, voters and whole zones are killed or stopped, links between zones are cut or
delayed, and zones are drained.

Checked: every attempt is answered exactly once and in time, or lost with its router; a served result comes
from a run; no key runs twice on any node of any zone; all routers serve again at the end.
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

# Attempts without an answer of each caller; fraction of the attempts that carry an idempotency key.
OPEN_ATTEMPTS, KEYED_FRACTION = 3, 0.3
FAULT_TIME = 6.0  # s: longest wait for answers between two faults
REPEATS = 6  # repeats of each keyed request


@dataclass
class ScheduleResult:
    """Outcome of a schedule: the violation, if any, the faults, and the numbers of attempts and keys."""

    seed: int
    wrong: str | None = None
    faults: list[str] = field(default_factory=list)
    tries: int = 0
    honoured: int = 0
    keys: int = 0


class Load:
    """Load of all routers; repeats of a keyed request go to random routers."""

    def __init__(self, zones: Zones, rng: random.Random) -> None:
        self.zones, self.rng, self.on, self.made = zones, rng, True, 0
        self.callers = {name: each.caller() for name, each in zones.routers.items()}
        self.keys_to_repeat: list[tuple[bytes, bytes, int]] = []
        self.keys = 0
        zones.rig.relays.reactor.callFromThread(self.step)

    def step(self) -> None:
        """Send attempts at each router up to the limit, and schedule the next step."""
        if not self.on:
            return
        for caller in self.callers.values():
            while caller.waiting < OPEN_ATTEMPTS and self.ask(caller):
                pass
        self.zones.rig.relays.reactor.callLater(0.01, self.step)

    def ask(self, caller) -> bool:
        """Send a random attempt; returns False if no connection is free."""
        self.made += 1
        body = b"%d" % self.made
        if self.keys_to_repeat and self.rng.random() < KEYED_FRACTION / 2:
            key, body, left = self.keys_to_repeat.pop(self.rng.randrange(len(self.keys_to_repeat)))
            attempt = caller.ask(b"save", body, HARD_LIMIT, self.rng, key, r=1)
            if attempt is None or left > 1:
                self.keys_to_repeat.append((key, body, left - (attempt is not None)))
            return attempt is not None
        if self.rng.random() < KEYED_FRACTION / 2:
            key = b"%032x" % self.rng.getrandbits(128)
            attempt = caller.ask(b"save", body, HARD_LIMIT, self.rng, key)
            if attempt is not None:
                self.keys += 1
                self.keys_to_repeat.append((key, body, REPEATS))
            return attempt is not None
        return caller.ask(b"look", body, HARD_LIMIT, self.rng) is not None

    def count_served(self) -> dict[str, int]:
        """Return the number of served attempts by router."""
        return {
            name: sum(bool(each.answers) and each.answers[0][0] == b"200" for each in list(caller.attempts))
            for name, caller in self.callers.items()
        }

    def stop(self) -> None:
        """Stop sending, and wait for the last answers."""
        self.on = False
        self.zones.until(lambda: not any(each.waiting for each in self.callers.values()), "the last answers")


def inject_fault(zones: Zones, rng: random.Random) -> tuple[str, list]:
    """Inject a random fault; returns its description and the functions that undo it."""
    zone, other = rng.sample(list(zones.node_names), 2)
    kind = rng.choice(["node", "zone", "router", "stopped router", "voter", "cut", "drain", "drill", "late"])
    if kind == "node":
        node = zones.nodes[rng.choice(zones.node_names[zone])]
        node.kill()
        return f"{node.name} killed", [node.start]
    if kind == "zone":
        nodes = [zones.nodes[name] for name in zones.node_names[zone]]
        for each in nodes:
            each.signal(9)
        for each in nodes:
            each.wait_for_exit()
        return f"the nodes of {zone} killed", [each.start for each in nodes]
    if kind in ("router", "stopped router"):
        router = zones.routers[rng.choice([name for name in zones.routers if name.startswith(zone)])]
        if kind == "router":
            router.kill()
            return f"{router.name} killed", [router.start]
        router.stop()
        return f"{router.name} stopped", [router.resume]
    if kind == "voter":
        voter = rng.choice(list(zones.rig.voters.values()))
        voter.kill()
        return f"{voter.name} killed", [voter.start]
    if kind in ("cut", "late"):
        names = {f"{name}<{other}" for name in zones.node_names[zone]}
        pairs = {(other, name) for name in names} | {(name, other) for name in names}
        if kind == "late":
            zones.rig.relays.set_delay(pairs, 0.2)
            return f"{other} to {zone} late", [lambda: zones.rig.relays.set_delay(pairs, 0.0)]
        zones.rig.relays.block(pairs)
        return f"{other} cut off from {zone}", [lambda: zones.rig.relays.unblock(pairs)]
    words = ["drill", zones.file, zone, "--for", "2"] if kind == "drill" else ["drain", zones.file, zone]
    if zones.command("zones", *words)[0] != 0:
        return f"no {kind} of {zone}: no majority", []
    return f"{kind} of {zone}", [lambda: zones.command("zones", "open", zones.file, zone)]


def play(zones: Zones, rng: random.Random, result: ScheduleResult) -> None:
    """Inject faults under load, undo them, and wait until all routers serve again."""
    load = Load(zones, rng)
    zones.until(lambda: all(count > 20 for count in load.count_served().values()), "answers of all routers")
    for _ in range(rng.randint(1, 3)):
        undo = []
        for _ in range(rng.randint(1, 3)):
            said, more = inject_fault(zones, rng)
            result.faults.append(said)
            undo += more
            had = sum(load.count_served().values())
            end = rng.randint(0, 150)  # the next fault comes at a random time during this one
            zones.rig.patience, patience = FAULT_TIME, zones.rig.patience
            try:
                zones.until(
                    lambda had=had, end=end: sum(load.count_served().values()) > had + end, "some answers"
                )
            except AssertionError:
                result.faults.append("nothing is served meanwhile")
            finally:
                zones.rig.patience = patience
        rng.shuffle(undo)
        for each in undo:
            each()
    before = load.count_served()
    zones.rig.patience = 30.0
    zones.until(
        lambda: all(n > before[name] + 50 for name, n in load.count_served().items()), "all to serve again"
    )
    load.stop()
    result.keys = load.keys
    result.honoured = sum(load.count_served().values())


def find_repeated_run(zones: Zones) -> str | None:
    """Return a description of a keyed request that ran more than once, or None."""
    runs: dict[bytes, int] = {}
    for node in zones.nodes.values():
        for (request_class, body), count in node.engine.run_counts.items():
            if request_class == b"save":
                runs[body] = runs.get(body, 0) + count
    return next((f"{body!r} ran {count} times" for body, count in runs.items() if count > 1), None)


def run(seed: int) -> ScheduleResult:
    """Play the schedule of a seed."""
    result, rng = ScheduleResult(seed), random.Random(f"routers {seed}")
    with tempfile.TemporaryDirectory() as folder:
        zones = None
        try:
            names = ("a", "b", "c") if rng.random() < 0.3 else ("a", "b")
            zones = Zones(Path(folder), names, routers=2, keyed=True)
            play(zones, rng, result)
            result.wrong = zones.rig.relays.call(zones.find_violation) or zones.rig.relays.call(
                find_repeated_run, zones
            )
            result.tries = sum(len(each.attempts) for each in zones.callers)
        except AssertionError as wrong:
            result.wrong = str(wrong)[:3_000]
        finally:
            if zones is not None:
                zones.close()
    return result


@click.command()
@click.option("--seeds", default=200, show_default=True)
@click.option("--first", default=1, show_default=True)
@click.option(
    "--side-by-side", default=2, show_default=True, help="Rigs at once; each has some twelve processes."
)
def main(seeds: int, first: int, side_by_side: int) -> None:
    """Play random schedules and print the violations."""
    wrong, faults, tries, honoured, keys = 0, 0, 0, 0, 0
    with ProcessPoolExecutor(side_by_side) as pool:
        for result in pool.map(run, range(first, first + seeds)):
            faults, tries, keys = faults + len(result.faults), tries + result.tries, keys + result.keys
            honoured += result.honoured
            if result.wrong is not None:
                wrong += 1
                click.echo(f"seed {result.seed}: {'; '.join(result.faults)}\n{result.wrong}")
    click.echo(
        f"{seeds} schedules, {faults} faults, {tries} tries, {honoured} honoured, {keys} keys, {wrong} wrong"
    )
    raise SystemExit(1 if wrong else 0)


if __name__ == "__main__":
    main()
