"""Simulates the distribution of the configuration to a full-size fleet: `python -m
lichencleat.testkit.simulation.distribution`.

Publisher, RelayFollower, Table, Staging and View are the production classes. The network, processor cores,
machines and the group of voters are models (`distribution_world.py`, `distribution_source.py`), and the
simulated processes share their tables (`distribution_table.py`). A checker verifies each node after every
step of its copy (`distribution_judge.py`). Not simulated: the reactor, sockets and disks, the loss of single
packets, clock drift, memory usage.
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
from lichencleat.testkit.simulation.distribution_events import EVENTS, WARM_UP_S, Scene
from lichencleat.testkit.simulation.distribution_fleet import Fleet, Size
from lichencleat.testkit.simulation.distribution_table import SharedCopy
from lichencleat.testkit.simulation.distribution_world import REGIONS, SECOND, ZONES, Costs, Meter, Site
from lichencleat.testkit.simulation.many import run_many

MAX_DELAY_MS = 5_000  # ms: a change must be in force at all reachable nodes this soon after it was published
DAY_S = 86_400
STARTS_PER_DAY = 6  # starts of one node in a day
BYTE_BUDGET = 4_096  # bytes a second that one node may send and receive on average
COUNT_DELAY_US = 3_000_000  # the tiers above may count a node at its old relay for this long after it moved
COUNT_CHECKS = 8  # checks of the voters' node counts before the end of a run, half a second apart


@dataclass(frozen=True, slots=True)
class Job:
    """The parameters of one simulation run."""

    event: str
    seed: int
    size: Size
    costs: Costs = Costs()


@dataclass(slots=True)
class RunResult:
    """The result of one simulation run."""

    job: Job
    figures: dict[str, Any] = field(default_factory=dict)
    elapsed: float = 0.0  # s of real time that the run took

    @property
    def wrong(self) -> str | None:
        """The first violation that the checker found; None if it found none."""
        found = self.figures["wrong"]
        return found[0] if found else None


class Run:
    """Runs one scene from its start to its end and collects its figures."""

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
        self.bytes_at_start: dict[str, int] = {}  # node -> bytes that its meter showed at its latest start
        self.start_bytes: dict[str, list[int]] = {}  # kind of start -> bytes that each start took
        self.counted: set[str] = set()  # zones whose node counts at the voters were right at least once
        self.miscounted: dict[str, str] = {}  # zone -> description of its latest wrong count
        self.fleet.judge.on_caught_up = self.on_caught_up
        self.fleet.judge.on_started = self.on_started

    def play(self) -> dict[str, Any]:
        """Run the scene and return its figures; meters and time spans count from the end of the warm-up."""
        fleet = self.fleet
        fleet.start_all()
        fleet.world.clockwork.run(WARM_UP_S * SECOND)
        for site in fleet.world.sites.values():
            site.meter = Meter()
        fleet.judge.since = fleet.world.clockwork.now
        end = round(self.scene.until * SECOND)
        for before in range(COUNT_CHECKS, 0, -1):
            fleet.world.clockwork.run(end - before * SECOND // 2)
            self.check_counts()
        fleet.world.clockwork.run(end)
        return self.collect_figures()

    def on_started(self, name: str) -> None:
        """Record the bytes on a node's meter when the node starts."""
        self.bytes_at_start[name] = self.fleet.world.sites[name].meter.bytes

    def on_caught_up(self, name: str, kind: str) -> None:
        """Record the bytes that a restarted node needed to catch up."""
        if kind in ("cold", "disk") and self.fleet.world.clockwork.now > WARM_UP_S * SECOND:
            spent = self.fleet.world.sites[name].meter.bytes - self.bytes_at_start[name]
            self.start_bytes.setdefault(kind, []).append(spent)

    # -- figures ---------------------------------------------------------------------------------------

    def collect_figures(self) -> dict[str, Any]:
        """Return the figures of the run; the keys are those of the JSON file."""
        fleet, span = self.fleet, self.scene.until - WARM_UP_S
        self.report_miscounts()
        tiers: dict[str, list[Site]] = {}
        for site in fleet.world.sites.values():
            tiers.setdefault(site.tier, []).append(site)
        judged = fleet.judge.figures()
        slowest = judged["in_force"]["all_ms"] or 0
        return {
            "event": self.job.event,
            "seed": self.job.seed,
            "seconds": self.scene.until,
            **judged,
            "in_time": slowest < MAX_DELAY_MS and not judged["not_in_force_at_the_end"],
            "start_bytes": {kind: sum(each) // len(each) for kind, each in sorted(self.start_bytes.items())},
            "costs": {tier: costs_of(sites, span) for tier, sites in sorted(tiers.items())},
            "counters": {tier: counters_of(sites) for tier, sites in sorted(tiers.items())},
            "age_ms": ages_of(fleet),
            "slowest": self.slowest(),
            "messages": fleet.world.events,
            "lines": fleet.line_count,
        }

    def slowest(self) -> list[tuple[int, int, int]]:
        """Return (version, ms when submitted, ms until in force at the last node) of the slowest three."""
        judge = self.fleet.judge
        longest = sorted(judge.by_version.items(), key=lambda each: (-each[1], each[0]))[:3]
        return [(version, judge.published[version] // 1_000, span // 1_000) for version, span in longest]

    def check_counts(self) -> None:
        """Check that the voters count each running node once and all nodes at the newest version.

        A node that recently moved to another relay may be missing or counted twice until the tiers above
        know of the move. Counts also lag behind while a report is in transit, so the counts of a zone must be
        right in only one of the checks.
        """
        fleet, now = self.fleet, self.fleet.world.clockwork.now
        up = [voter.host.feeder for voter in fleet.source.voters if voter.up]
        newest = fleet.judge.versions[-1]
        sums = {
            each.zone: each for each in merge_counts(count for feeder in up for count in feeder.counts(now))
        }
        moved = Counter(site.zone for site in fleet.nodes if site.host.opened_at > now - COUNT_DELAY_US)
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

    def report_miscounts(self) -> None:
        """Report the zones whose counts were never right, unless some node lacks the newest version."""
        if not self.fleet.judge.missing():
            for zone, description in sorted(self.miscounted.items()):
                if zone not in self.counted:
                    self.fleet.judge.report(self.fleet.world.clockwork.now, f"{zone}: {description}")


def costs_of(sites: Sequence[Site], span: float) -> dict[str, Any]:
    """Return mean and highest byte rates and core usages, the longest queue and the longest wait (ms)."""
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
    """Return the sums of the counters of all processes that run at the end."""
    sums: Counter[str] = Counter()
    for site in sites:
        for part in (site.host.feeder, site.host.follower):
            if site.up and part is not None:
                sums.update(part.counters)
    return dict(sorted(sums.items()))


def ages_of(fleet: Fleet) -> dict[str, int]:
    """Return the median and highest age (ms) of the nodes' configuration, and the number of unknown ages."""
    now = fleet.world.clockwork.now
    ages = sorted(site.host.follower.age(now) for site in fleet.nodes if site.up and not site.paused)
    known = [age for age in ages if age < MAX_AGE_US]
    return {
        "p50": known[len(known) // 2] // 1_000 if known else -1,
        "all": known[-1] // 1_000 if known else -1,
        "unknown": len(ages) - len(known),
    }


def run_one(job: Job) -> RunResult:
    """Run one simulation and measure its real time."""
    begin = time.monotonic()
    ran = RunResult(job, Run(job).play())
    ran.elapsed = time.monotonic() - begin
    return ran


def day_of(runs: Sequence[RunResult]) -> dict[str, Any]:
    """Return a node's bytes a second, averaged over a day: traffic without faults plus six starts."""
    by_event = {ran.job.event: ran.figures for ran in runs}
    if "calm" not in by_event:
        return {}
    calm = by_event["calm"]["costs"]["node"]["bytes_a_second"]
    rates = {"calm": calm, "budget": BYTE_BUDGET}
    for kind in ("cold", "disk"):
        starts = [ran.figures["start_bytes"][kind] for ran in runs if kind in ran.figures["start_bytes"]]
        if starts:
            rates[f"start_{kind}"] = max(starts)
            rates[f"day_{kind}"] = round(calm + STARTS_PER_DAY * max(starts) / DAY_S)
    return rates


def line_of(ran: RunResult) -> str:
    """Format one run as a line of the table under `HEAD`."""
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
        f"{relay['queue']:>6} {figures['wrongs']:>5}  {back}  ({ran.elapsed:.0f} s)"
    )


def write_figures(path: str, size: Size, costs: Costs, runs: Sequence[RunResult]) -> None:
    """Write the figures of all finished runs to a JSON file."""
    content = {
        "cores": os.cpu_count(),
        "size": {name: getattr(size, name) for name in Size.__slots__},
        "costs": {name: getattr(costs, name) for name in Costs.__slots__},
        "day": day_of(runs),
        "runs": [ran.figures for ran in runs],
    }
    with open(path, "w") as file:
        json.dump(content, file, indent=1)


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
@click.option(
    "--event",
    "events",
    multiple=True,
    type=click.Choice(list(EVENTS)),
    help="Event to run; default: all events.",
)
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--drawn",
    "draws",
    default=3,
    show_default=True,
    help="Drawn schedules to run; each uses the next seed.",
)
@click.option("--cores", default=1, show_default=True)
@click.option(
    "--question",
    default=Costs().question,
    show_default=True,
    help="Relay core time: µs for a request and its answer.",
)
@click.option(
    "--kilobyte", default=Costs().kilobyte, show_default=True, help="Relay core time: µs for each KiB sent."
)
@click.option(
    "--pack",
    default=Costs().pack,
    show_default=True,
    help="Relay core time: µs to compress a page, once.",
)
@click.option("--json", "path", default="", help="JSON file to write all figures to.")
def main(
    nodes: int, zones: int, regions: int, zone_relays: int, records: int, events: tuple[str, ...], seed: int,
    draws: int, cores: int, question: int, kilobyte: float, pack: int, path: str,
) -> None:  # fmt: skip
    """Simulate each event in a fleet of its own. Exits with 1 if the checker found a violation."""
    size = Size(nodes, zones, regions, zone_relays, records)
    costs = replace(Costs(), question=question, kilobyte=kilobyte, pack=pack)
    jobs = [
        Job(event, seed + number, size, costs)
        for event in events or EVENTS
        for number in range(draws if event == "drawn" else 1)
    ]
    click.echo(HEAD)
    runs: list[RunResult] = []
    for ran in run_many(run_one, jobs, cores, len(jobs), chunk=1):
        runs.append(ran)
        click.echo(line_of(ran))
        for wrong in ran.figures["wrong"][:3]:
            click.echo(f"    {wrong}")
        if path:
            write_figures(path, size, costs, runs)
    day = day_of(runs)
    if day:
        click.echo(f"a node's bytes a second on a day's average: {json.dumps(day)}")
    if any(ran.wrong for ran in runs):
        raise SystemExit(1)


if __name__ == "__main__":
    main()
