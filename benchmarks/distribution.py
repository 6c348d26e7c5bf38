"""The configuration's distribution on sockets, to hollow nodes: `python -m benchmarks.distribution`.

Three voters and relays as real processes on one machine: two regions with two relays each, zones with two
relays each; hollow nodes share processes (`testkit/cluster/hollow_nodes.py` says what they leave out). For
each
size: bytes and processor time of a node at rest and under changes, time until a batch is in force, a relay's
cost by its subscribers, and what happens when a zone's relay is killed.
"""

from __future__ import annotations

import json
import math
import os
import random
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import click

from lichencleat.cli import output
from lichencleat.config_distribution.terms import IN_FORCE
from lichencleat.testkit.cluster.distribution import DistributionRig
from lichencleat.testkit.cluster.distribution_parts import ROOT, RelayProcess
from lichencleat.testkit.cluster.hollow_nodes import rss
from lichencleat.testkit.cluster.relay import LOCAL
from lichencleat.testkit.cluster.rig import GROUP
from lichencleat.testkit.cluster.tap import monotonic_us
from lichencleat.transport.errors import RequestFailedError
from lichencleat.transport.group_client import GroupClient

REGIONS, RELAYS_EACH = 2, 2
PROCESS_MOST = 300  # hollow nodes of one process
FILL = 500  # records of a batch that fills the table
MEMORY = 12 << 30  # bytes of all processes together: half of the machine's
REST = 1.85  # s between changes: 47,000 a day
TICKS = os.sysconf("SC_CLK_TCK")
PATIENCE = 600.0  # s for a whole fleet to begin


def cpu(pid: int) -> float:
    """s of processor time so far."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def quantile(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(len(values) * share))] if values else math.nan


class Hollow:
    """One process of hollow nodes."""

    def __init__(
        self, rig: BenchRig, zone: str, at: int, nodes: int, sources: list[list[str]], cold: bool
    ) -> None:
        self.zone, self.nodes = zone, nodes
        name = f"h{zone}{at}"
        self.said, self.read = rig.path / f"{name}.said", 0
        file = rig.path / f"{name}.json"
        known = {"group": GROUP, "zone": zone, "name": name, "nodes": nodes, "sources": sources}
        known |= {"said": str(self.said), "spread": max(1.0, nodes / 100)}
        file.write_text(json.dumps(known | {"cold": cold, "version": rig.version}))
        words = [sys.executable, "-m", "lichencleat.testkit.cluster.hollow_nodes", str(file)]
        with open(rig.path / f"{name}.log", "ab") as log:
            self.running = subprocess.Popen(words, cwd=ROOT, stderr=log)
        rig.children.append(self.running)

    def word(self) -> dict[str, Any] | None:
        """A line that came since the last one."""
        if not self.said.exists():
            return None
        with open(self.said, "rb") as file:
            file.seek(self.read)
            data = file.read()
        end = data.find(b"\n") + 1
        if not end:
            return None
        self.read += end
        return json.loads(data[:end])


class BenchRig(DistributionRig):
    """Voters, relays, hollow processes; nothing stands between them."""

    def __init__(self, path: Path, zones: int) -> None:
        """`zones`: of each region."""
        super().__init__(path, zones=(), nodes=0, disk="real", direct=True)
        self.hollow: list[Hollow] = []
        self.near: dict[str, list[RelayProcess]] = {}
        self.tiers: dict[str, list[list[str]]] = {}
        source = [each.address for each in self.voters.values()]
        for region in range(REGIONS):
            above = [self.add_relay_process(f"r{region}{at}", "", [source]) for at in range(RELAYS_EACH)]
            for zone in (f"z{region}{at}" for at in range(zones)):
                tiers = [[each.address for each in above], source]
                self.near[zone] = [
                    self.add_relay_process(f"{zone}-{at}", zone, tiers) for at in range(RELAYS_EACH)
                ]
                self.tiers[zone] = [[each.address for each in self.near[zone]], *tiers]

    def fill(self, records: int) -> None:
        self.form()
        self.publisher = self.client()
        for begin in range(0, records, FILL):
            part = range(begin, min(records, begin + FILL))
            self.publish({name_of(at, records): {"to": f"10.0.0.{at % 250}", "w": "x" * 40} for at in part})

    def feed(self) -> None:
        """Starts the relays, a tier after the other, and waits until each has what there is."""
        for far in (True, False):
            tier = [each for name, each in self.relay_processes.items() if name.startswith("r") is far]
            for each in tier:
                each.start()
            for each in tier:
                client = self.relays.call(
                    GroupClient, self.relays.reactor, GROUP, [(LOCAL, each.port)], random.Random(1)
                )
                self.until(lambda c=client: self.version_at(c) >= self.version, f"{each.name} to have all")
                self.relays.call(client.close)

    def version_at(self, client: GroupClient) -> int:
        try:
            return self.ask(client.call, IN_FORCE, None, 1.0)["version"]
        except RequestFailedError:
            return 0

    def words(self) -> list[dict[str, Any]]:
        """What each hollow process says of itself now."""
        self.until(lambda: all(each.said.exists() for each in self.hollow), "the hollow processes")
        for each in self.hollow:
            os.kill(each.running.pid, signal.SIGUSR1)
        found: list[dict[str, Any]] = []
        end = time.monotonic() + self.patience
        for each in self.hollow:
            while (word := each.word()) is None:
                assert time.monotonic() < end and each.running.poll() is None, self.logs()
                time.sleep(0.005)
            found.append(word | {"process": len(found)})
        return found

    def all_at(self, version: int, patience: float) -> list[dict[str, Any]]:
        """Words until each hollow node has that version, one after the other."""
        words: list[dict[str, Any]] = []
        end = time.monotonic() + patience
        while True:
            new = self.words()
            words += new
            begun = all(word["nodes"] for word in new)
            if begun and all(int(at) >= version for word in new for at in word["versions"]):
                return words
            assert time.monotonic() < end, f"{[word['versions'] for word in new]}\n{self.logs()}"
            time.sleep(0.2)

    def subscribers(self, words: list[dict[str, Any]]) -> dict[str, int]:
        """Nodes that follow each relay, by the nodes' own word; `words`: one of each process."""
        named = {each.address: each.name for each in self.relay_processes.values()}
        found: dict[str, int] = {}
        for word in words:
            for address, count in word["relays"].items():
                name = named.get(address, "voters")
                found[name] = found.get(name, 0) + count
        return found

    def begin(self, nodes: int, cold: bool) -> None:
        zones = list(self.tiers)
        for number, zone in enumerate(zones):
            here = nodes // len(zones) + (number < nodes % len(zones))
            parts = math.ceil(here / PROCESS_MOST)
            for at in range(parts):
                count = here // parts + (at < here % parts)
                self.hollow.append(Hollow(self, zone, at, count, self.tiers[zone], cold))

    def memory(self) -> int:
        return sum(rss(each.pid) for each in self.children if each.poll() is None)


def name_of(at: int, records: int) -> str:
    """Routes and tenants as at the target: five to nine."""
    return f"route/r{at}" if at * 14 < records * 5 else f"tenant/t{at}"


def small(rng: random.Random, records: int) -> dict[str, Any]:
    """A change of one record to five."""
    chosen = rng.sample(range(records), rng.randint(1, 5))
    return {name_of(at, records): {"to": f"10.1.{rng.randrange(250)}.1", "w": "y" * 40} for at in chosen}


def first_takes(words: list[dict[str, Any]], version: int, begun: int) -> list[float]:
    """ms from `begun` until each node had that version in force."""
    found: dict[tuple[int, int], int] = {}
    for word in words:
        for node, taken, moment_ in word["takes"]:
            key = (word["process"], node)
            if taken >= version:
                found[key] = min(moment_, found.get(key, moment_))
    return [(each - begun) / 1000 for each in found.values()]


class Window:
    """Bytes and processor time of all parts between two looks."""

    def __init__(self, rig: BenchRig) -> None:
        self.rig = rig
        self.words = rig.words()
        self.at = time.monotonic()
        self.relays = {
            name: cpu(each.running.pid) for name, each in rig.relay_processes.items() if each.is_up()
        }
        self.voters = {name: cpu(each.running.pid) for name, each in rig.voters.items()}

    def ends(self) -> dict[str, Any]:
        after = Window(self.rig)
        span = after.at - self.at
        nodes = sum(word["nodes"] for word in after.words)
        passed = {
            way: sum(b["bytes"][way] - a["bytes"][way] for a, b in zip(self.words, after.words, strict=True))
            for way in ("in", "out")
        }
        used = sum(b["cpu"] - a["cpu"] for a, b in zip(self.words, after.words, strict=True))
        subscribers = self.rig.subscribers(after.words)
        return {
            "seconds": span,
            "node_bytes_in_s": passed["in"] / nodes / span,
            "node_bytes_out_s": passed["out"] / nodes / span,
            "node_cpu_percent": 100 * used / nodes / span,
            "relays": {
                name: {
                    "subscribers": subscribers.get(name, 0),
                    "cpu_percent": 100 * (after.relays[name] - used_before) / span,
                    "rss_mb": rss(self.rig.relay_processes[name].running.pid) / 1e6,
                }
                for name, used_before in self.relays.items()
                if name in after.relays
            },
            "voters_cpu_percent": {
                name: 100 * (after.voters[name] - before) / span for name, before in self.voters.items()
            },
            "takes": after.words,
        }


def changes(rig: BenchRig, records: int, rng: random.Random, count: int, rest: float) -> dict[str, Any]:
    """So many changes, one after the other."""
    window = Window(rig)
    published = []
    for _ in range(count):
        begun = monotonic_us()
        published.append((rig.publish(small(rng, records)), begun, monotonic_us()))
        time.sleep(rest)
    words = rig.all_at(rig.version, 30)
    ended = window.ends()
    words += ended.pop("takes")
    found = [first_takes(words, version, begun) for version, begun, _ in published]
    every = [each for takes in found for each in takes]
    confirmed = [(done - begun) / 1000 for _, begun, done in published]
    return {
        **ended,
        "changes": count,
        "confirmed_ms_p50": quantile(confirmed, 0.5),
        "in_force_ms": {"p50": quantile(every, 0.5), "p99": quantile(every, 0.99), "all": max(every)},
        "nodes_counted": min(map(len, found)),
    }


def burst(rig: BenchRig, records: int, rng: random.Random, count: int = 50) -> dict[str, Any]:
    """All at once: until the last of them is in force everywhere, from its own confirmation's begin."""
    rig.words()
    begun = monotonic_us()
    for _ in range(count):
        at = monotonic_us()
        rig.publish(small(rng, records))
    words = rig.all_at(rig.version, 60)
    takes = first_takes(words, rig.version, at)
    return {
        "batches": count,
        "published_s": (at - begun) / 1e6,
        "last_in_force_ms": {"p50": quantile(takes, 0.5), "p99": quantile(takes, 0.99), "all": max(takes)},
    }


def storm(rig: BenchRig, records: int, rng: random.Random) -> dict[str, Any]:
    """A zone's relay is killed; a batch is published at that moment."""
    zone = next(iter(rig.near))
    lost, sibling = rig.near[zone]
    before = rig.subscribers(rig.words()).get(lost.name, 0)
    window = Window(rig)
    lost.kill()
    begun = monotonic_us()
    version = rig.publish(small(rng, records))
    words = rig.all_at(version, 60)
    ended = window.ends()
    words += ended.pop("takes")
    there = [word for word in words if word["zone"] == zone]
    takes = first_takes(there, version, begun)
    lost.start()
    return {
        "subscribers_lost": before,
        "oldest_s": max(word["oldest"] for word in words if word["zone"] == zone) / 1e6,
        "zone_in_force_ms": {"p50": quantile(takes, 0.5), "p99": quantile(takes, 0.99), "all": max(takes)},
        "seconds": ended["seconds"],
        "sibling": ended["relays"][sibling.name],
    }


def slope(points: list[tuple[float, float]]) -> dict[str, float]:
    if len({x for x, _ in points}) < 2:
        return {}
    found = statistics.linear_regression(*zip(*points, strict=True))
    r = statistics.correlation(*zip(*points, strict=True)) if len({y for _, y in points}) > 1 else math.nan
    return {"each": found.slope, "base": found.intercept, "r": r}


def measure(nodes: int, records: int, idle: float, count: int, cold: bool, zones: int) -> dict[str, Any]:
    load = os.getloadavg()[0]  # what else ran
    with tempfile.TemporaryDirectory() as folder:
        rig = BenchRig(Path(folder), zones)
        rig.patience = 60.0
        try:
            begun = time.monotonic()
            rig.fill(records)
            filled = time.monotonic() - begun
            begun = time.monotonic()
            rig.feed()
            fed = time.monotonic() - begun
            begun = time.monotonic()
            rig.begin(nodes, cold)
            rig.all_at(rig.version, PATIENCE)
            started = time.monotonic() - begun
            time.sleep(3.0)
            window = Window(rig)
            time.sleep(idle)
            rest = window.ends()
            rest.pop("takes")
            rng = random.Random(nodes)
            made = {
                "nodes": nodes,
                "records": records,
                "processes": sum(each.poll() is None for each in rig.children),
                "load_before": load,
                "filled_s": filled,
                "relays_started_s": fed,
                "cold": cold,
                "started_s": started,
                "rest": rest,
                "changes": changes(rig, records, rng, count, REST),
                "burst": burst(rig, records, rng),
                "memory_mb": rig.memory() / 1e6,
                "storm": storm(rig, records, rng),
            }
            assert rig.memory() < MEMORY, "over half of the machine's memory"
            return made
        finally:
            rig.close()


def rows(found: list[dict[str, Any]]) -> list[list[Any]]:
    return [
        [
            each["nodes"],
            each["records"],
            each["changes"]["in_force_ms"]["p50"],
            each["changes"]["in_force_ms"]["p99"],
            each["changes"]["in_force_ms"]["all"],
            each["burst"]["last_in_force_ms"]["all"],
            each["rest"]["node_bytes_in_s"] + each["rest"]["node_bytes_out_s"],
            f"{each['rest']['node_cpu_percent']:.3f}",
            f"{each['changes']['node_cpu_percent']:.3f}",
            each["storm"]["subscribers_lost"],
            each["storm"]["zone_in_force_ms"]["all"],
            each["memory_mb"],
            f"{each['load_before']:.1f}",
        ]
        for each in found
    ]


HEAD = ["nodes", "records", "p50 ms", "p99 ms", "all ms", "burst of 50, ms", "B/s at rest", "cpu % at rest"]
HEAD += ["cpu % changes", "lost", "storm all ms", "MB in all", "load before"]


@click.command()
@click.option("--hollow", multiple=True, type=click.IntRange(min=6), default=[100], show_default=True)
@click.option("--records", default=10_000, show_default=True)
@click.option("--idle", default=10.0, show_default=True, help="Seconds at rest.")
@click.option("--changes", "count", default=20, show_default=True, help="Published one by one.")
@click.option("--zones", default=3, show_default=True, help="Of each of the two regions.")
@click.option("--cold", is_flag=True, help="Nodes begin with nothing: each fetches the whole.")
@click.option("--json", "to", type=click.Path(dir_okay=False), help="FILE for all figures.")
def main(
    hollow: tuple[int, ...],
    records: int,
    idle: float,
    count: int,
    zones: int,
    cold: bool,
    to: str | None,
) -> None:
    """Measures fleets of these sizes, one after the other."""
    total = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") >> 30
    click.echo(f"{os.cpu_count()} cores, {total} GiB")
    found = []
    for nodes in hollow:
        found.append(measure(nodes, records, idle, count, cold, zones))
        output.table(HEAD, rows(found[-1:]), False)
    output.table(HEAD, rows(found), False)
    fits = {
        f"{part}: a zone relay's {what} by subscribers": slope(
            [
                (one["subscribers"], one[what])
                for each in found
                for name, one in each[part]["relays"].items()
                if "-" in name
            ]
        )
        for part in ("rest", "changes")
        for what in ("cpu_percent", "rss_mb")
    }
    for name, fit in fits.items():
        click.echo(f"{name}: " + ", ".join(f"{key} {value:.4f}" for key, value in fit.items()))
    if to is not None:
        machine = {"cores": os.cpu_count(), "memory_gib": total}
        Path(to).write_text(json.dumps({"machine": machine, "sizes": found, "fits": fits}, indent=1))


if __name__ == "__main__":
    main()
