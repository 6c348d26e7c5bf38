"""Simulation of zone failover under loss of a zone, partial failure and overload:
`python -m lichencleat.testkit.simulation.zones`.

The controller, its routing plan and the routers' choice of zones are the real ones (`failover/`). The zones
are a model: a zone serves requests up to its capacity, rejects the rest, and serves less under heavy
overload. Two baselines run for comparison: routers that spread traffic over all zones that pass health
checks, and a fixed split. The spill fraction of a router is the fraction of its arrivals that it sends to
other zones.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import click
import msgspec

from lichencleat.failover.controller import POLL_INTERVAL_US, FailoverController
from lichencleat.failover.locality_routing import UPDATE_INTERVAL_US, AttemptCounts, LocalityRouter
from lichencleat.failover.messages import (
    JOB,
    DefineZone,
    HealthReport,
    RoutingPlan,
    ZoneObservation,
    ZoneRole,
)
from lichencleat.failover.state import FailoverState
from lichencleat.leases.lease_state import LeaseState
from lichencleat.leases.messages import CandidateExpired, DefineJob, RenewLease
from lichencleat.testkit.simulation.clockwork import Clockwork

SECOND = 1_000_000  # µs
TICK_US = 100_000  # µs
COMMIT_RANGE_US = (2_000, 40_000)  # time from a proposal to its answer
ZONE_CAPACITY = 100.0  # requests per second
REGION_ROUND_TRIP_US = 30_000  # between two zones of a region; three times as long between regions
DEADLINE_US, USUAL_DURATION_US = 2_000_000, 300_000  # deadline of a request, and usual time to run it
# a zone with more than 1.6 times its capacity in arrivals serves only 0.6 times its capacity
OVERLOAD_FACTOR, OVERLOADED_CAPACITY = 1.6, 0.6
# fraction of its capacity that a restored zone has at first, and time until it has all
COLD_CAPACITY, WARM_UP_SECONDS = 0.3, 8.0
HEALTH_CHECK_SECONDS = 1.0  # time until the baselines notice that a zone is down
DURATION_SECONDS = 120.0  # simulated time of a run
MIN_SWING = 0.1  # fraction of arrivals; a smaller change of the spill fraction is no oscillation


@dataclass(slots=True)
class SimZone:
    """One zone of the model."""

    name: str
    region: int
    offered: Callable[[float], float]  # requests per second from this zone's clients, by time in s
    capacity_fraction: float = 1.0  # of ZONE_CAPACITY
    up: bool = True
    failing_fraction: float = 0.0  # fraction of the accepted requests that fail
    slowdown: float = 1.0  # factor on the usual time of a request
    arrival_rate: float = 0.0  # requests per second in the current tick
    served: float = 0.0  # requests per second in the current tick
    rejected: float = 0.0  # requests per second in the current tick
    max_load: float = 0.0  # highest arrival rate, as a fraction of ZONE_CAPACITY


@dataclass(slots=True)
class RunResult:
    """The outcome of one run."""

    policy: str
    served_fraction: float = 0.0  # fraction of the offered requests that succeed within the deadline
    local_fraction: float = 0.0  # fraction of the served requests that the local zone serves
    max_load: float = 0.0  # highest arrival rate at any zone, as a fraction of ZONE_CAPACITY
    plan_versions: int = 0
    # s from the loss of the zone until 90% of the demand, or of the remaining capacity if lower, is served
    recovery_time: float | None = None
    oscillations: int = 0  # highest number of direction changes of any router's spill fraction
    edge: float = 0.0  # unused
    served: list[float] = field(default_factory=list)  # requests served in each second


class World:
    """One simulated run of a scene under a routing policy."""

    def __init__(self, scene: str, policy: str, seed: int, zones: int = 2, routers: int = 2) -> None:
        self.rng = rng = random.Random(f"zones {scene} {seed}")
        self.policy, self.scene = policy, scene
        self.clockwork = Clockwork()
        self.jobs = LeaseState()
        self.failover = FailoverState(self.jobs)
        self.index = 0
        self.zones = {
            f"z{number}": SimZone(f"z{number}", number // 2, lambda at: 0.0) for number in range(zones)
        }
        self.cuts: set[tuple[str, str]] = set()  # (zone of the routers, zone that they cannot reach)
        self.isolated_zones: set[str] = set()  # zones whose routers cannot reach the voters
        self.set_up_scene(rng)
        self.apply(self.jobs, RenewLease("o1", "", 1, True, {}))
        self.apply(self.jobs, DefineJob(JOB))
        for each in self.zones.values():
            far = {
                other.name: self.round_trip(each, other) for other in self.zones.values() if other is not each
            }
            self.apply(self.failover, DefineZone(each.name, f"r{each.region}", ZONE_CAPACITY, far))
        self.controller: FailoverController | None = FailoverController(self.jobs.jobs[JOB].fencing_token)
        self.routers: list[SimRouter] = []
        for name in self.zones:
            for number in range(routers):
                own = random.Random(rng.randrange(1 << 60))
                self.routers.append(SimRouter(self, f"{name}.{number}", name, own))
        self.result = RunResult(policy)
        self.offered = self.timely = self.local = 0.0
        self.alive = dict.fromkeys(self.zones, True)
        self.lost_at: float | None = None
        self.health_checks: dict[str, deque[float]] = {}

    def round_trip(self, one: SimZone, other: SimZone) -> int:
        """Return the network round trip between two zones in µs."""
        return REGION_ROUND_TRIP_US if one.region == other.region else 3 * REGION_ROUND_TRIP_US

    def apply(self, replicated_state: Any, command: Any) -> Any:
        """Apply a command to a part of the replicated state and return the reply."""
        self.index += 1
        return replicated_state.apply(self.index, msgspec.Raw(msgspec.msgpack.encode(command)))

    # -- scenes ----------------------------------------------------------------------------------------

    def set_up_scene(self, rng: random.Random) -> None:
        """Set the offered load of each zone and schedule the faults of the scene."""
        names = list(self.zones)
        after, first = self.clockwork.after, names[0]

        def at(seconds: float, call: Callable[..., Any], *args: Any) -> None:
            after(round(seconds * SECOND), call, *args)

        level = {"calm": 0.6, "burst": 0.6, "both": 1.3, "tight": 0.95, "grey": 0.5}.get(self.scene, 0.55)
        for number, each in enumerate(self.zones.values()):
            phase = rng.uniform(0, 6)
            if self.scene == "burst" and number == 0:
                each.offered = lambda at: ZONE_CAPACITY * (1.4 if 20 < at < 60 else 0.6)
            elif self.scene == "hover" and number == 0:
                each.offered = lambda at: ZONE_CAPACITY * (1.0 + 0.12 * math.sin(at * 0.9))
            else:
                each.offered = lambda at, level=level, phase=phase: (
                    ZONE_CAPACITY * (level + 0.03 * math.sin(at / 3 + phase))
                )
        zone = self.zones[first]
        if self.scene in ("lost", "tight"):
            at(20, self.lose_zone, zone)
            at(25 if self.scene == "lost" else 50, self.restore_zone, zone)
        elif self.scene == "flaps":
            for number in range(5):
                at(20 + 20 * number, self.lose_zone, zone)
                at(30 + 20 * number, self.restore_zone, zone)
        elif self.scene == "grey":
            at(20, setattr, zone, "failing_fraction", 0.3)
            at(20, setattr, zone, "slowdown", 3.0)
            at(80, setattr, zone, "failing_fraction", 0.0)
            at(80, setattr, zone, "slowdown", 1.0)
        elif self.scene == "cut off":
            others = [name for name in names if name != first]
            pairs = {(first, other) for other in others} | {(other, first) for other in others}
            at(20, self.cuts.update, pairs)
            at(20, self.isolated_zones.add, first)
            at(60, self.cuts.difference_update, pairs)
            at(60, self.isolated_zones.discard, first)
        elif self.scene == "owner dies":
            at(20, self.lose_zone, zone)
            at(20.5, setattr, self, "controller", None)
            at(22, self.replace_controller)
            at(45, self.restore_zone, zone)

    def lose_zone(self, zone: SimZone) -> None:
        """Take a zone down."""
        zone.up = False
        self.lost_at = self.clockwork.now / SECOND

    def restore_zone(self, zone: SimZone) -> None:
        """Bring a zone up with the capacity of a cold start."""
        zone.up, zone.capacity_fraction = True, COLD_CAPACITY

    def replace_controller(self) -> None:
        """Move the lease of the failover job to a new holder, which starts a new controller."""
        for name, known in list(self.jobs.candidates.items()):
            self.apply(self.jobs, CandidateExpired(name, known.renewal_index))
        self.apply(self.jobs, RenewLease(f"o{self.index}", "", self.index, True, {}))
        self.controller = FailoverController(self.jobs.jobs[JOB].fencing_token)

    # -- controller ------------------------------------------------------------------------------------

    def run_controller(self) -> None:
        """Run a step of the controller on the current replicated state, at regular intervals."""
        self.clockwork.after(POLL_INTERVAL_US, self.run_controller)
        controller = self.controller
        if controller is None:
            return
        failover = self.failover
        seen = msgspec.convert(msgspec.to_builtins(failover.dump()), type(failover.dump()))
        commands = controller.plan_next_step(
            self.clockwork.now, seen.zones, seen.plan, seen.routers, seen.overrides
        )
        for command in commands:
            self.clockwork.after(self.rng.randint(*COMMIT_RANGE_US), self.apply, failover, command)

    # -- traffic ---------------------------------------------------------------------------------------

    def tick(self) -> None:
        """Advance the traffic by one tick: send, serve and deliver the requests, and record the totals."""
        now, seconds = self.clockwork.now / SECOND, TICK_US / SECOND
        for zone in self.zones.values():
            zone.arrival_rate = 0.0
        sent: list[tuple[SimRouter, str, float]] = []
        offered = 0.0
        for router in self.routers:
            zone = self.zones[router.zone]
            arrivals = zone.offered(now) / sum(each.zone == router.zone for each in self.routers)
            offered += arrivals
            for name, rate in self.split_traffic(router, arrivals).items():
                sent.append((router, name, rate))
                if self.can_reach(router, name):
                    self.zones[name].arrival_rate += rate
        for zone in self.zones.values():
            self.serve(zone, seconds)
        timely = local = 0.0
        for router, name, rate in sent:
            got = self.deliver(router, name, rate, seconds)
            timely += got
            local += got if name == router.zone else 0.0
        self.offered, self.timely, self.local = (
            self.offered + offered * seconds,
            self.timely + timely * seconds,
            self.local + local * seconds,
        )
        self.record_second(now, timely)

    def can_reach(self, router: SimRouter, name: str) -> bool:
        """Return whether a zone is up and not cut off from the router."""
        return self.zones[name].up and (router.zone, name) not in self.cuts

    def serve(self, zone: SimZone, seconds: float) -> None:
        """Set the served and rejected rates of a zone, and warm up its capacity."""
        capacity = ZONE_CAPACITY * zone.capacity_fraction if zone.up else 0.0
        zone.max_load = max(zone.max_load, zone.arrival_rate / ZONE_CAPACITY) if zone.up else zone.max_load
        servable = capacity * (
            OVERLOADED_CAPACITY if capacity and zone.arrival_rate > OVERLOAD_FACTOR * capacity else 1.0
        )
        zone.served = min(zone.arrival_rate, servable)
        zone.rejected = max(0.0, zone.arrival_rate - zone.served)
        if zone.up:
            zone.capacity_fraction = min(
                1.0, zone.capacity_fraction + (1 - COLD_CAPACITY) * seconds / WARM_UP_SECONDS
            )

    def deliver(self, router: SimRouter, name: str, rate: float, seconds: float) -> float:
        """Record the attempts of a router at a zone, and return the rate that succeeds in time."""
        zone = self.zones[name]
        if not self.can_reach(router, name):
            router.record_attempts(name, rate * seconds, 0.0, 0.0)
            return 0.0
        served_part = zone.served / zone.arrival_rate if zone.arrival_rate else 0.0
        latency = zone.slowdown * USUAL_DURATION_US + self.round_trip(zone, self.zones[router.zone])
        failed = zone.failing_fraction if latency < DEADLINE_US else 1.0
        timely = rate * served_part * (1 - failed)
        router.record_attempts(name, rate * seconds, timely * seconds, rate * (1 - served_part) * seconds)
        return timely

    def split_traffic(self, router: SimRouter, arrivals: float) -> dict[str, float]:
        """Return the rate of first attempts from a router to each zone."""
        if self.policy == "near":
            return router.split_traffic(arrivals)
        if self.policy == "split":
            others = [name for name in self.zones if name != router.zone]
            return {router.zone: arrivals * 0.8} | {name: arrivals * 0.2 / len(others) for name in others}
        candidates = [name for name in self.zones if self.seems_alive(router, name)] or list(self.zones)
        return {name: arrivals / len(candidates) for name in candidates}

    def seems_alive(self, router: SimRouter, name: str) -> bool:
        """Return whether any of a baseline's latest health checks found the zone up."""
        key = f"{router.zone}>{name}"
        checks = self.health_checks.setdefault(
            key, deque([1.0] * round(HEALTH_CHECK_SECONDS * SECOND / TICK_US))
        )
        if router.name.endswith(".0"):
            checks.append(float(self.can_reach(router, name)))
            checks.popleft()
        return any(checks)

    def record_second(self, now: float, timely: float) -> None:
        """Add to the requests served in the current second, and record the recovery after a loss."""
        result = self.result
        if len(result.served) <= now:
            result.served.append(0.0)
        result.served[-1] += timely * TICK_US / SECOND
        if self.lost_at is not None and result.recovery_time is None and now > self.lost_at + 0.2:
            total_capacity = sum(ZONE_CAPACITY for each in self.zones.values() if each.up)
            demand = sum(
                each.offered(now) for each in self.zones.values() if each.up or self.lost_zone_has_arrivals()
            )
            if timely >= 0.9 * min(total_capacity, demand):
                result.recovery_time = now - self.lost_at

    @staticmethod
    def lost_zone_has_arrivals() -> bool:
        """Return whether clients of a lost zone still arrive: its routers stand in front of the zone."""
        return True

    def play(self, seconds: float = DURATION_SECONDS) -> RunResult:
        """Run the scene for a time in simulated seconds and return the outcome."""
        for number, router in enumerate(self.routers):
            self.clockwork.after(1_000 * number, router.step)
        self.clockwork.after(POLL_INTERVAL_US, self.run_controller)
        for at in range(round(seconds * SECOND / TICK_US)):
            self.clockwork.after(at * TICK_US + 1, self.tick)
        self.clockwork.run(round(seconds * SECOND))
        result = self.result
        result.served_fraction, result.local_fraction = (
            self.timely / self.offered,
            self.local / max(1e-9, self.timely),
        )
        result.max_load = max(each.max_load for each in self.zones.values())
        result.plan_versions = self.failover.plan.version
        result.oscillations = max(each.oscillations for each in self.routers)
        return result


class SimRouter:
    """One router. Its attempts are modelled as rates."""

    def __init__(self, world: World, name: str, zone: str, rng: random.Random) -> None:
        self.world, self.name, self.zone, self.rng = world, name, zone, rng
        self.locality = LocalityRouter(zone, world.failover.zones, rng)
        # zone -> [sent, succeeded in time, rejected] attempts since the last update of the spill fraction
        self.recent_attempts: dict[str, list[float]] = {}
        # zone -> [sent, succeeded in time, rejected] attempts since the last health report
        self.unreported_attempts: dict[str, list[float]] = {}
        self.oscillations = 0
        self.low = self.high = 0.0  # spill fraction since its last change of direction
        self.is_rising = True

    def record_attempts(self, name: str, sent: float, timely: float, rejected: float) -> None:
        """Add attempts at a zone to the counts."""
        for counts in (self.recent_attempts, self.unreported_attempts):
            sums = counts.setdefault(name, [0.0, 0.0, 0.0])
            for at, amount in enumerate((sent, timely, rejected)):
                sums[at] += amount

    def split_traffic(self, arrivals: float) -> dict[str, float]:
        """Split a rate of arrivals among the zones by the current plan and spill fraction."""
        locality, plan = self.locality, self.locality.plan
        arrivals *= 1 - plan.shed.get(self.zone, 0.0)
        spilled = arrivals * locality.spill
        shares = {self.zone: arrivals - spilled}
        own = self.world.failover.zones[self.zone]
        for name, limit in sorted(plan.spillover.items(), key=lambda item: own.round_trips.get(item[0], 0)):
            if name != self.zone and plan.role(name) is ZoneRole.ACTIVE:
                amount = min(
                    spilled,
                    limit
                    / max(1, locality.router_count)
                    * locality.staleness_factor(self.world.clockwork.now),
                )
                shares[name] = shares.get(name, 0.0) + amount
                spilled -= amount
        shares[self.zone] += spilled if plan.role(self.zone) in (ZoneRole.ACTIVE, ZoneRole.STANDBY) else 0.0
        return shares

    def step(self) -> None:
        """Update the spill fraction from recent attempts and schedule a health report."""
        world, locality = self.world, self.locality
        world.clockwork.after(UPDATE_INTERVAL_US, self.step)
        for name, (sent, timely, rejected) in self.recent_attempts.items():
            counts = locality.attempts.setdefault(name, AttemptCounts())
            counts.sent, counts.succeeded, counts.rejected = round(sent), round(timely), round(rejected)
            counts.lost = max(0, counts.sent - counts.succeeded - counts.rejected)
        locality.update(world.clockwork.now)
        self.count_swings(locality.spill)
        if not locality.attempts:  # the update has used the counts; otherwise they accumulate
            self.recent_attempts = {}
        if self.zone not in world.isolated_zones:
            world.clockwork.after(world.rng.randint(*COMMIT_RANGE_US), self.report)

    def count_swings(self, spill: float) -> None:
        """Count changes of direction of the spill fraction by more than MIN_SWING."""
        self.low, self.high = min(self.low, spill), max(self.high, spill)
        if (self.is_rising and spill < self.high - MIN_SWING) or (
            not self.is_rising and spill > self.low + MIN_SWING
        ):
            self.oscillations += 1
            self.is_rising = not self.is_rising
            self.low = self.high = spill

    def report(self) -> None:
        """Report attempts by zone to the replicated state and apply the returned plan."""
        world = self.world
        offered = world.zones[self.zone].offered(world.clockwork.now / SECOND)
        count = sum(each.zone == self.zone for each in world.routers)
        observations = {}
        for name, (sent, timely, rejected) in self.unreported_attempts.items():
            lost = max(0, round(sent) - round(timely) - round(rejected))
            observations[name] = ZoneObservation(
                round(sent), round(timely), round(rejected), lost, USUAL_DURATION_US
            )
        self.unreported_attempts = {}
        command = HealthReport(
            self.name, self.zone, self.locality.plan.version, offered / count, observations
        )
        plan = world.apply(world.failover, command)
        assert isinstance(plan, RoutingPlan)
        others = sum(each.zone != self.zone for each in world.routers)
        self.locality.apply_plan(world.clockwork.now, plan, max(count, others))


SCENES = ["calm", "burst", "hover", "both", "lost", "tight", "flaps", "grey", "cut off", "owner dies"]
POLICIES = ["near", "spread", "split"]


@click.command()
@click.option("--zones", default=2, show_default=True)
@click.option("--routers", default=2, show_default=True, help="Number of routers per zone.")
@click.option("--seed", default=1, show_default=True)
def main(zones: int, routers: int, seed: int) -> None:
    """Run each scene under the three routing policies."""
    click.echo("scene       policy   payoff   near  most got  orders  swings  90% back after")
    for scene in SCENES:
        for policy in POLICIES:
            result = World(scene, policy, seed, zones, routers).play()
            back = "" if result.recovery_time is None else f"{result.recovery_time:.1f} s"
            click.echo(
                f"{scene:<11} {policy:<7} {result.served_fraction:>7.1%} {result.local_fraction:>6.0%} "
                f"{result.max_load:>9.2f} {result.plan_versions:>7} {result.oscillations:>7}  {back:>14}"
            )


if __name__ == "__main__":
    main()
