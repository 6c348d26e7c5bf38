"""The configuration's distribution at full size, in simulated time: `python -m
lichencleat.testkit.simulation.distribution`.

Feeder, Follower, Table, Staging and View are the real ones; the network, cores, machines and the group of
voters are models (`distribution_world.py`, `distribution_source.py`), tables are shared
(`distribution_table.py`). Each scene is judged at every step (`distribution_judge.py`). Left out: the
reactor, sockets and disks themselves, loss of single packets, clocks that drift, memory.
"""

from __future__ import annotations

import json
import os
import random
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

import click

from lichencleat.config_distribution.counts import MAX_AGE_US, merge_counts
from lichencleat.config_distribution.feed import Publisher
from lichencleat.config_distribution.follow import RelayFollower
from lichencleat.testkit.simulation.distribution_events import EVENTS, WARM, Scene
from lichencleat.testkit.simulation.distribution_fleet import Fleet, Size
from lichencleat.testkit.simulation.distribution_table import SharedCopy
from lichencleat.testkit.simulation.distribution_world import REGIONS, SECOND, ZONES, Costs, Meter, Site
from lichencleat.testkit.simulation.many import run_many

AIM = 5_000  # ms from publishing until in force at all that are reached
DAY = 86_400  # s
STARTS = 6  # of a node in a day
BUDGET = 4_096  # bytes a second of a node
MOVED = 3_000_000  # µs that the tiers above may need to hear of a node that moved
COUNTS = 8  # looks at the voters' counts, half a second apart, at the end


@dataclass(frozen=True, slots=True)
class Job:
    event: str
    seed: int
    size: Size
    costs: Costs = Costs()


@dataclass(slots=True)
class Ran:
    job: Job
    figures: dict[str, Any] = field(default_factory=dict)
    spent: float = 0.0  # s of real time

    @property
    def wrong(self) -> str | None:
        """What must hold and did not; None: nothing."""
        found = self.figures["wrong"]
        return found[0] if found else None


class Run:
    """One scene from its start to its end."""

    def __init__(
        self,
        job: Job,
        feeder: Callable[..., Any] = Publisher,
        follower: Callable[..., Any] = RelayFollower,
        copy: Callable[..., Any] = SharedCopy,
    ) -> None:
        self.job = job
        rng = random.Random(f"distribution {job.event} {job.seed}")
        self.fleet = Fleet(rng, job.size, job.costs, feeder, follower, copy)
        self.scene = Scene(self.fleet, job.event, random.Random(rng.getrandbits(60)))
        self.begun: dict[str, int] = {}  # bytes of a node when it started
        self.start_bytes: dict[str, list[int]] = {}
        self.counted: set[str] = set()  # zones whose counts were right at the voters
        self.miscounted: dict[str, str] = {}
        self.fleet.judge.caught = self.caught
        self.fleet.judge.began = self.began

    def play(self) -> dict[str, Any]:
        fleet = self.fleet
        fleet.begins()
        fleet.world.clockwork.run(WARM * SECOND)
        for site in fleet.world.sites.values():
            site.meter = Meter()
        fleet.judge.since = fleet.world.clockwork.now
        end = round(self.scene.until * SECOND)
        for before in range(COUNTS, 0, -1):
            fleet.world.clockwork.run(end - before * SECOND // 2)
            self.counts_fit()
        fleet.world.clockwork.run(end)
        return self.told()

    def began(self, name: str) -> None:
        self.begun[name] = self.fleet.world.sites[name].meter.bytes

    def caught(self, name: str, kind: str) -> None:
        if kind in ("cold", "disk") and self.fleet.world.clockwork.now > WARM * SECOND:
            spent = self.fleet.world.sites[name].meter.bytes - self.begun[name]
            self.start_bytes.setdefault(kind, []).append(spent)

    # -- figures ---------------------------------------------------------------------------------------

    def told(self) -> dict[str, Any]:
        fleet, span = self.fleet, self.scene.until - WARM
        self.count_wrongs()
        tiers: dict[str, list[Site]] = {}
        for site in fleet.world.sites.values():
            tiers.setdefault(site.tier, []).append(site)
        judged = fleet.judge.told()
        slowest = judged["in_force"]["all_ms"] or 0
        return {
            "event": self.job.event,
            "seed": self.job.seed,
            "seconds": self.scene.until,
            **judged,
            "in_time": slowest < AIM and not judged["not_in_force_at_the_end"],
            "start_bytes": {kind: sum(each) // len(each) for kind, each in sorted(self.start_bytes.items())},
            "costs": {tier: costs_of(sites, span) for tier, sites in sorted(tiers.items())},
            "counters": {tier: counters_of(sites) for tier, sites in sorted(tiers.items())},
            "age_ms": ages_of(fleet),
            "slowest": self.slowest(),
            "messages": fleet.world.events,
            "lines": fleet.told,
        }

    def slowest(self) -> list[tuple[int, int, int]]:
        """Version, ms when it was handed in, ms until the last one had it: the three that took longest."""
        judge = self.fleet.judge
        longest = sorted(judge.by_version.items(), key=lambda each: (-each[1], each[0]))[:3]
        return [(version, judge.published[version] // 1_000, span // 1_000) for version, span in longest]

    def counts_fit(self) -> None:
        """What the voters have been told: each node once, and nobody behind. One that has moved of late may
        be missed or counted twice until the tiers above have heard of it; an answer under way makes it stale,
        so it has to fit at one of some looks.
        """
        fleet, now = self.fleet, self.fleet.world.clockwork.now
        up = [voter.host.feeder for voter in fleet.source.voters if voter.up]
        newest = fleet.judge.versions[-1]
        sums = {
            each.zone: each for each in merge_counts(count for feeder in up for count in feeder.counts(now))
        }
        moved = Counter(site.zone for site in fleet.nodes if site.host.opened_at > now - MOVED)
        for zone, nodes in Counter(site.zone for site in fleet.nodes if site.up).items():
            found = sums.get(zone)
            fits = (
                found is not None
                and found.lowest_version == newest
                and abs(found.nodes - nodes) <= moved[zone]
            )
            if fits:
                self.counted.add(zone)
            else:
                self.miscounted[zone] = f"{found} counted, {nodes} nodes at {newest}, {moved[zone]} moved"

    def count_wrongs(self) -> None:
        if not self.fleet.judge.missing():
            for zone, told in sorted(self.miscounted.items()):
                if zone not in self.counted:
                    self.fleet.judge.says(self.fleet.world.clockwork.now, f"{zone}: {told}")


def costs_of(sites: Sequence[Site], span: float) -> dict[str, Any]:
    """Means and the highest of any: bytes and processor time a second, jobs waiting, µs until their turn."""
    meters = [site.meter for site in sites]
    work = [each.work / span / SECOND for each in meters]
    return {
        "count": len(meters),
        "bytes_a_second": round(sum(each.bytes for each in meters) / span / len(meters)),
        "bytes_most": round(max(each.bytes for each in meters) / span),
        "peak_second": max(each.peak for each in meters),
        "core_percent": round(100 * sum(work) / len(work), 3),
        "core_percent_most": round(100 * max(work), 3),
        "core_peak_second": round(max(each.work_peak for each in meters) / SECOND, 3),
        "queue": max(each.queue for each in meters),
        "waited_ms": max(each.waited for each in meters) // 1_000,
    }


def counters_of(sites: Sequence[Site]) -> dict[str, int]:
    """Of those that run at the end."""
    sums: Counter[str] = Counter()
    for site in sites:
        for part in (site.host.feeder, site.host.follower):
            if site.up and part is not None:
                sums.update(part.counters)
    return dict(sorted(sums.items()))


def ages_of(fleet: Fleet) -> dict[str, int]:
    now = fleet.world.clockwork.now
    ages = sorted(site.host.follower.age(now) for site in fleet.nodes if site.up and not site.paused)
    known = [age for age in ages if age < MAX_AGE_US]
    return {
        "p50": known[len(known) // 2] // 1_000 if known else -1,
        "all": known[-1] // 1_000 if known else -1,
        "unknown": len(ages) - len(known),
    }


def run_one(job: Job) -> Ran:
    begin = time.monotonic()
    ran = Ran(job, Run(job).play())
    ran.spent = time.monotonic() - begin
    return ran


def day_of(runs: Sequence[Ran]) -> dict[str, Any]:
    """Bytes a second of a node on a day's average: what it costs in calm, and six starts."""
    by_event = {ran.job.event: ran.figures for ran in runs}
    if "calm" not in by_event:
        return {}
    calm = by_event["calm"]["costs"]["node"]["bytes_a_second"]
    told = {"calm": calm, "budget": BUDGET}
    for kind in ("cold", "disk"):
        starts = [ran.figures["start_bytes"][kind] for ran in runs if kind in ran.figures["start_bytes"]]
        if starts:
            told[f"start_{kind}"] = max(starts)
            told[f"day_{kind}"] = round(calm + STARTS * max(starts) / DAY)
    return told


def line_of(ran: Ran) -> str:
    figures = ran.figures
    in_force, node = figures["in_force"], figures["costs"]["node"]
    relay = figures["costs"]["zone relay"]
    back = ", ".join(
        f"{kind} {each['p50_ms'] / 1_000:.1f}/{each['all_ms'] / 1_000:.1f} s"
        for kind, each in figures["back"].items()
    )
    times = "/".join(str(in_force[key]) for key in ("p50_ms", "p99_ms", "all_ms"))
    return (
        f"{figures['event']:<21}{ran.job.seed:>4} {times:>17} {figures['not_in_force_at_the_end']:>5} "
        f"{node['bytes_a_second']:>7} {node['peak_second'] / 1e6:>7.2f} {relay['peak_second'] / 1e6:>7.1f} "
        f"{node['core_percent']:>6.3f} {relay['core_percent']:>6.2f} {relay['core_peak_second']:>6.2f} "
        f"{relay['queue']:>6} {figures['wrongs']:>5}  {back}  ({ran.spent:.0f} s)"
    )


def writes(path: str, size: Size, costs: Costs, runs: Sequence[Ran]) -> None:
    """All figures so far."""
    told = {
        "cores": os.cpu_count(),
        "size": {name: getattr(size, name) for name in Size.__slots__},
        "costs": {name: getattr(costs, name) for name in Costs.__slots__},
        "day": day_of(runs),
        "runs": [ran.figures for ran in runs],
    }
    with open(path, "w") as file:
        json.dump(told, file, indent=1)


HEAD = (
    f"{'event':<21}{'seed':>4} {'p50/p99/all ms':>17} {'never':>5} {'node B/s':>7} {'peak MB':>7} "
    f"{'relay MB':>7} {'node %':>6} {'rel. %':>6} {'peak':>6} {'queue':>6} {'wrong':>5}  back: p50/all"
)


@click.command()
@click.option("--nodes", default=3_300, show_default=True)
@click.option("--zones", default=ZONES, show_default=True)
@click.option("--regions", default=REGIONS, show_default=True)
@click.option("--zone-relays", default=2, show_default=True)
@click.option("--records", default=560_000, show_default=True)
@click.option("--event", "events", multiple=True, type=click.Choice(list(EVENTS)), help="All unless named.")
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--drawn", "draws", default=3, show_default=True, help="Drawn schedules, each with the next seed."
)
@click.option("--cores", default=1, show_default=True)
@click.option(
    "--question", default=Costs().question, show_default=True, help="µs of a relay, answer included."
)
@click.option("--kilobyte", default=Costs().kilobyte, show_default=True, help="µs of a relay.")
@click.option("--pack", default=Costs().pack, show_default=True, help="µs of a relay, of a page, once.")
@click.option("--json", "path", default="", help="File for all figures.")
def main(
    nodes: int, zones: int, regions: int, zone_relays: int, records: int, events: tuple[str, ...], seed: int,
    draws: int, cores: int, question: int, kilobyte: float, pack: int, path: str,
) -> None:  # fmt: skip
    """Each event in a fleet of its own. Ends with 1 if something that must hold did not."""
    size = Size(nodes, zones, regions, zone_relays, records)
    costs = replace(Costs(), question=question, kilobyte=kilobyte, pack=pack)
    jobs = [
        Job(event, seed + number, size, costs)
        for event in events or EVENTS
        for number in range(draws if event == "drawn" else 1)
    ]
    click.echo(HEAD)
    runs: list[Ran] = []
    for ran in run_many(run_one, jobs, cores, len(jobs), chunk=1):
        runs.append(ran)
        click.echo(line_of(ran))
        for wrong in ran.figures["wrong"][:3]:
            click.echo(f"    {wrong}")
        if path:
            writes(path, size, costs, runs)
    day = day_of(runs)
    if day:
        click.echo(f"a node's bytes a second on a day's average: {json.dumps(day)}")
    if any(ran.wrong for ran in runs):
        raise SystemExit(1)


if __name__ == "__main__":
    main()
