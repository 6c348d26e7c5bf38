"""Zones of a service through loss, grey failure and overload, in simulated time: `python -m
lichencleat.testkit.simulation.zones`.

The order, the judge and what a router spills are the real ones (`failover/`); zones are a model of our own:
nodes that serve so much a second, turn the rest away, and fall into doing less when they get far too much.
Beside them two baselines: every router spreads over all zones that it finds alive, and a fixed split.
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
TICK = 100_000  # µs
COMMIT = (2_000, 40_000)  # µs from a proposal to its answer
CARRIES = 100.0  # requests a second that a zone stands
TRIP = 30_000  # µs between two zones of a region; three times that between regions
LEFT, USUAL = 2_000_000, 300_000  # µs that a caller waits, and that a usual run takes
DROWNS, DROWNED = 1.6, 0.6  # times what it carries: a zone that gets more does only so much of it
COLD, WARM = 0.3, 8.0  # of its strength after a loss, and s until it has all of it
ALIVE = 1.0  # s after which a router of the baselines finds a zone dead, or alive again
SPAN_MOST = 120.0  # s played
SWING = 0.1  # of the arrivals: smaller changes of direction are none


@dataclass(slots=True)
class Place:
    """One zone of the model."""

    name: str
    region: int
    offered: Callable[[float], float]
    strength: float = 1.0
    up: bool = True
    failing: float = 0.0  # share of what it takes that comes to nothing
    slow: float = 1.0
    came: float = 0.0  # a second, in this tick
    served: float = 0.0
    turned: float = 0.0
    peak: float = 0.0


@dataclass(slots=True)
class Ran:
    policy: str
    payoff: float = 0.0  # of what was offered, served in time
    near: float = 0.0  # of what was served
    peak: float = 0.0  # the most that a zone got, of what it carries
    orders: int = 0
    back_after: float | None = None  # s from the loss until nine tenths of what the others carry are served
    swings: int = 0  # changes of direction of a spilled share
    edge: float = 0.0
    served: list[float] = field(default_factory=list)


class World:
    def __init__(self, scene: str, policy: str, seed: int, zones: int = 2, routers: int = 2) -> None:
        self.rng = rng = random.Random(f"zones {scene} {seed}")
        self.policy, self.scene = policy, scene
        self.clockwork = Clockwork()
        self.jobs = LeaseState()
        self.part = FailoverState(self.jobs)
        self.index = 0
        self.places = {
            f"z{number}": Place(f"z{number}", number // 2, lambda at: 0.0) for number in range(zones)
        }
        self.cuts: set[tuple[str, str]] = set()  # from a zone's routers to a zone
        self.mute: set[str] = set()  # zones whose routers do not reach the voters
        self.offers(rng)
        self.enter(self.jobs, RenewLease("o1", "", 1, True, {}))
        self.enter(self.jobs, DefineJob(JOB))
        for each in self.places.values():
            far = {other.name: self.trip(each, other) for other in self.places.values() if other is not each}
            self.enter(self.part, DefineZone(each.name, f"r{each.region}", CARRIES, far))
        self.controller: FailoverController | None = FailoverController(self.jobs.jobs[JOB].fencing_token)
        self.routers: list[SimRouter] = []
        for name in self.places:
            for number in range(routers):
                own = random.Random(rng.randrange(1 << 60))
                self.routers.append(SimRouter(self, f"{name}.{number}", name, own))
        self.ran = Ran(policy)
        self.offered = self.well = self.stayed = 0.0
        self.alive = dict.fromkeys(self.places, True)
        self.lost_at: float | None = None
        self.down: dict[str, deque[float]] = {}

    def trip(self, one: Place, other: Place) -> int:
        return TRIP if one.region == other.region else 3 * TRIP

    def enter(self, part: Any, what: Any) -> Any:
        self.index += 1
        return part.apply(self.index, msgspec.Raw(msgspec.msgpack.encode(what)))

    # -- scenes ----------------------------------------------------------------------------------------

    def offers(self, rng: random.Random) -> None:
        """What comes in each zone, and what goes wrong."""
        names = list(self.places)
        after, first = self.clockwork.after, names[0]

        def at(seconds: float, call: Callable[..., Any], *args: Any) -> None:
            after(round(seconds * SECOND), call, *args)

        level = {"calm": 0.6, "burst": 0.6, "both": 1.3, "tight": 0.95, "grey": 0.5}.get(self.scene, 0.55)
        for number, each in enumerate(self.places.values()):
            phase = rng.uniform(0, 6)
            if self.scene == "burst" and number == 0:
                each.offered = lambda at: CARRIES * (1.4 if 20 < at < 60 else 0.6)
            elif self.scene == "hover" and number == 0:
                each.offered = lambda at: CARRIES * (1.0 + 0.12 * math.sin(at * 0.9))
            else:
                each.offered = lambda at, level=level, phase=phase: (
                    CARRIES * (level + 0.03 * math.sin(at / 3 + phase))
                )
        place = self.places[first]
        if self.scene in ("lost", "tight"):
            at(20, self.loses, place)
            at(25 if self.scene == "lost" else 50, self.returns, place)
        elif self.scene == "flaps":
            for number in range(5):
                at(20 + 20 * number, self.loses, place)
                at(30 + 20 * number, self.returns, place)
        elif self.scene == "grey":
            at(20, setattr, place, "failing", 0.3)
            at(20, setattr, place, "slow", 3.0)
            at(80, setattr, place, "failing", 0.0)
            at(80, setattr, place, "slow", 1.0)
        elif self.scene == "cut off":
            others = [name for name in names if name != first]
            pairs = {(first, other) for other in others} | {(other, first) for other in others}
            at(20, self.cuts.update, pairs)
            at(20, self.mute.add, first)
            at(60, self.cuts.difference_update, pairs)
            at(60, self.mute.discard, first)
        elif self.scene == "owner dies":
            at(20, self.loses, place)
            at(20.5, setattr, self, "controller", None)
            at(22, self.new_owner)
            at(45, self.returns, place)

    def loses(self, place: Place) -> None:
        place.up = False
        self.lost_at = self.clockwork.now / SECOND

    def returns(self, place: Place) -> None:
        place.up, place.strength = True, COLD

    def new_owner(self) -> None:
        for name, known in list(self.jobs.candidates.items()):
            self.enter(self.jobs, CandidateExpired(name, known.renewal_index))
        self.enter(self.jobs, RenewLease(f"o{self.index}", "", self.index, True, {}))
        self.controller = FailoverController(self.jobs.jobs[JOB].fencing_token)

    # -- the group -------------------------------------------------------------------------------------

    def look(self) -> None:
        self.clockwork.after(POLL_INTERVAL_US, self.look)
        controller = self.controller
        if controller is None:
            return
        part = self.part
        seen = msgspec.convert(msgspec.to_builtins(part.dump()), type(part.dump()))
        said = controller.plan_next_step(
            self.clockwork.now, seen.zones, seen.plan, seen.routers, seen.overrides
        )
        for what in said:
            self.clockwork.after(self.rng.randint(*COMMIT), self.enter, part, what)

    # -- the model -------------------------------------------------------------------------------------

    def tick(self) -> None:
        now, span = self.clockwork.now / SECOND, TICK / SECOND
        for place in self.places.values():
            place.came = 0.0
        sent: list[tuple[SimRouter, str, float]] = []
        offered = 0.0
        for router in self.routers:
            place = self.places[router.zone]
            mine = place.offered(now) / sum(each.zone == router.zone for each in self.routers)
            offered += mine
            for name, rate in self.shares(router, mine).items():
                sent.append((router, name, rate))
                if self.reaches(router, name):
                    self.places[name].came += rate
        for place in self.places.values():
            self.work(place, span)
        well = stayed = 0.0
        for router, name, rate in sent:
            got = self.comes_back(router, name, rate, span)
            well += got
            stayed += got if name == router.zone else 0.0
        self.offered, self.well, self.stayed = (
            self.offered + offered * span,
            self.well + well * span,
            self.stayed + stayed * span,
        )
        self.note(now, well)

    def reaches(self, router: SimRouter, name: str) -> bool:
        return self.places[name].up and (router.zone, name) not in self.cuts

    def work(self, place: Place, span: float) -> None:
        carries = CARRIES * place.strength if place.up else 0.0
        place.peak = max(place.peak, place.came / CARRIES) if place.up else place.peak
        could = carries * (DROWNED if carries and place.came > DROWNS * carries else 1.0)
        place.served = min(place.came, could)
        place.turned = max(0.0, place.came - place.served)
        if place.up:
            place.strength = min(1.0, place.strength + (1 - COLD) * span / WARM)

    def comes_back(self, router: SimRouter, name: str, rate: float, span: float) -> float:
        """What of it is honoured in time, a second."""
        place = self.places[name]
        if not self.reaches(router, name):
            router.came(name, rate * span, 0.0, 0.0)
            return 0.0
        share = place.served / place.came if place.came else 0.0
        arrives = place.slow * USUAL + self.trip(place, self.places[router.zone])
        late = place.failing if arrives < LEFT else 1.0
        well = rate * share * (1 - late)
        router.came(name, rate * span, well * span, rate * (1 - share) * span)
        return well

    def shares(self, router: SimRouter, mine: float) -> dict[str, float]:
        """Where a router's first tries go, a second."""
        if self.policy == "near":
            return router.shares(mine)
        if self.policy == "split":
            others = [name for name in self.places if name != router.zone]
            return {router.zone: mine * 0.8} | {name: mine * 0.2 / len(others) for name in others}
        fit = [name for name in self.places if self.alive_for(router, name)] or list(self.places)
        return {name: mine / len(fit) for name in fit}

    def alive_for(self, router: SimRouter, name: str) -> bool:
        """What the baselines' health checks say, some time late."""
        key = f"{router.zone}>{name}"
        seen = self.down.setdefault(key, deque([1.0] * round(ALIVE * SECOND / TICK)))
        if router.name.endswith(".0"):
            seen.append(float(self.reaches(router, name)))
            seen.popleft()
        return any(seen)

    def note(self, now: float, well: float) -> None:
        ran = self.ran
        if len(ran.served) <= now:
            ran.served.append(0.0)
        ran.served[-1] += well * TICK / SECOND
        if self.lost_at is not None and ran.back_after is None and now > self.lost_at + 0.2:
            carry = sum(CARRIES for each in self.places.values() if each.up)
            wanted = sum(each.offered(now) for each in self.places.values() if each.up or self.callers_move())
            if well >= 0.9 * min(carry, wanted):
                ran.back_after = now - self.lost_at

    @staticmethod
    def callers_move() -> bool:
        """Callers of a lost zone come in through its routers still: these stand at its edge, not in it."""
        return True

    def play(self, seconds: float = SPAN_MOST) -> Ran:
        for number, router in enumerate(self.routers):
            self.clockwork.after(1_000 * number, router.step)
        self.clockwork.after(POLL_INTERVAL_US, self.look)
        for at in range(round(seconds * SECOND / TICK)):
            self.clockwork.after(at * TICK + 1, self.tick)
        self.clockwork.run(round(seconds * SECOND))
        ran = self.ran
        ran.payoff, ran.near = self.well / self.offered, self.stayed / max(1e-9, self.well)
        ran.peak = max(each.peak for each in self.places.values())
        ran.orders = self.part.plan.version
        ran.swings = max(each.swings for each in self.routers)
        return ran


class SimRouter:
    """One router, its tries as rates."""

    def __init__(self, world: World, name: str, zone: str, rng: random.Random) -> None:
        self.world, self.name, self.zone, self.rng = world, name, zone, rng
        self.locality = LocalityRouter(zone, world.part.zones, rng)
        self.seen: dict[str, list[float]] = {}  # sent, well, turned
        self.told: dict[str, list[float]] = {}
        self.swings = 0
        self.low = self.high = 0.0  # of the spilled share, since it last turned
        self.rises = True

    def came(self, name: str, sent: float, well: float, turned: float) -> None:
        for kept in (self.seen, self.told):
            sums = kept.setdefault(name, [0.0, 0.0, 0.0])
            for at, amount in enumerate((sent, well, turned)):
                sums[at] += amount

    def shares(self, mine: float) -> dict[str, float]:
        locality, plan = self.locality, self.locality.plan
        mine *= 1 - plan.shed.get(self.zone, 0.0)
        spilled = mine * locality.spill
        shares = {self.zone: mine - spilled}
        own = self.world.part.zones[self.zone]
        for name, room in sorted(plan.spillover.items(), key=lambda item: own.round_trips.get(item[0], 0)):
            if name != self.zone and plan.role(name) is ZoneRole.ACTIVE:
                goes = min(
                    spilled,
                    room
                    / max(1, locality.router_count)
                    * locality.staleness_factor(self.world.clockwork.now),
                )
                shares[name] = shares.get(name, 0.0) + goes
                spilled -= goes
        shares[self.zone] += spilled if plan.role(self.zone) in (ZoneRole.ACTIVE, ZoneRole.STANDBY) else 0.0
        return shares

    def step(self) -> None:
        """Each span: the spilled share moves, the evidence goes to the voters, the newest order comes."""
        world, locality = self.world, self.locality
        world.clockwork.after(UPDATE_INTERVAL_US, self.step)
        for name, (sent, well, turned) in self.seen.items():
            span = locality.attempts.setdefault(name, AttemptCounts())
            span.sent, span.succeeded, span.rejected = round(sent), round(well), round(turned)
            span.lost = max(0, span.sent - span.succeeded - span.rejected)
        locality.update(world.clockwork.now)
        self.count_swings(locality.spill)
        if not locality.attempts:  # it has judged them; else more is waited for
            self.seen = {}
        if self.zone not in world.mute:
            world.clockwork.after(world.rng.randint(*COMMIT), self.tell)

    def count_swings(self, spill: float) -> None:
        """Changes of direction by over SWING of the arrivals."""
        self.low, self.high = min(self.low, spill), max(self.high, spill)
        if (self.rises and spill < self.high - SWING) or (not self.rises and spill > self.low + SWING):
            self.swings += 1
            self.rises = not self.rises
            self.low = self.high = spill

    def tell(self) -> None:
        world = self.world
        offered = world.places[self.zone].offered(world.clockwork.now / SECOND)
        count = sum(each.zone == self.zone for each in world.routers)
        seen = {}
        for name, (sent, well, turned) in self.told.items():
            lost = max(0, round(sent) - round(well) - round(turned))
            seen[name] = ZoneObservation(round(sent), round(well), round(turned), lost, USUAL)
        self.told = {}
        what = HealthReport(self.name, self.zone, self.locality.plan.version, offered / count, seen)
        plan = world.enter(world.part, what)
        assert isinstance(plan, RoutingPlan)
        others = sum(each.zone != self.zone for each in world.routers)
        self.locality.apply_plan(world.clockwork.now, plan, max(count, others))


SCENES = ["calm", "burst", "hover", "both", "lost", "tight", "flaps", "grey", "cut off", "owner dies"]
POLICIES = ["near", "spread", "split"]


@click.command()
@click.option("--zones", default=2, show_default=True)
@click.option("--routers", default=2, show_default=True, help="Of each zone.")
@click.option("--seed", default=1, show_default=True)
def main(zones: int, routers: int, seed: int) -> None:
    """Every scene, by the three policies."""
    click.echo("scene       policy   payoff   near  most got  orders  swings  90% back after")
    for scene in SCENES:
        for policy in POLICIES:
            ran = World(scene, policy, seed, zones, routers).play()
            back = "" if ran.back_after is None else f"{ran.back_after:.1f} s"
            click.echo(
                f"{scene:<11} {policy:<7} {ran.payoff:>7.1%} {ran.near:>6.0%} {ran.peak:>9.2f} "
                f"{ran.orders:>7} {ran.swings:>7}  {back:>14}"
            )


if __name__ == "__main__":
    main()
