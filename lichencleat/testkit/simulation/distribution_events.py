"""Scenes of the simulated fleet: each one schedules its faults and the load of configuration changes."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Any

from lichencleat.config_distribution.terms import MAX_BATCH_CHANGES, Change
from lichencleat.testkit.simulation.distribution_fleet import Fleet
from lichencleat.testkit.simulation.distribution_table import drawn_changes
from lichencleat.testkit.simulation.distribution_world import SECOND, Site

WARM_UP_S = 12  # s: by then all processes have started, and measurement begins
FIRST_FAULT_S = 20  # s: the time of the first fault
QUIET_S = 7  # s without changes at the end of a scene, so that every change can come into force
SINGLE_RATE = 0.27  # single changes a second; bursts add about as many: 0.54 in all
BURST_CHANGES, BURST_INTERVAL_S = 50, 185  # changes in a burst, mean s between bursts
RACK_NODES = 40  # nodes in a rack
SLOW_FACTOR = 40  # factor on the processor time of a slow relay


class Scene:
    """Schedules all faults and changes of one event before the simulation starts. Times are in s."""

    def __init__(self, fleet: Fleet, event: str, rng: random.Random) -> None:
        self.fleet, self.event, self.rng = fleet, event, rng
        self.records = fleet.size.records
        self.until = 75.0
        EVENTS[event](self)
        self.load()

    def at(self, seconds: float, call: Callable[..., Any], *args: Any) -> None:
        """Schedule a call `seconds` from the current simulated time."""
        self.fleet.world.clockwork.after(round(seconds * SECOND), call, *args)

    # -- changes ---------------------------------------------------------------------------------------

    def load(self) -> None:
        """Schedule drawn single changes and bursts, and one more burst shortly after the first fault."""
        last, moment = self.until - QUIET_S, 6.0
        while (moment := moment + self.rng.expovariate(SINGLE_RATE)) < last:
            self.at(moment, self.publish, 1)
        moment = 0.0
        while (moment := moment + self.rng.expovariate(1 / BURST_INTERVAL_S)) < last - 1:
            self.burst(moment + 6.0)
        self.burst(FIRST_FAULT_S + self.rng.uniform(0.2, 2.0))

    def burst(self, moment: float) -> None:
        """Schedule a burst: one batch, or the same number of single changes within a second."""
        if self.rng.random() < 0.5:
            self.at(moment, self.publish, BURST_CHANGES)
        else:
            for _ in range(BURST_CHANGES):
                self.at(moment + self.rng.random(), self.publish, 1)

    def publish(self, count: int) -> None:
        """Publish a batch of `count` drawn changes."""
        self.fleet.source.publish(drawn_changes(self.fleet.rng, self.records, count))

    # -- faults ----------------------------------------------------------------------------------------

    def off(
        self,
        sites: Sequence[Site],
        begin: float,
        end: float,
        disk: bool = True,
        silent: bool = True,
        spread: float = 1.0,
    ) -> None:
        """End these processes at `begin` and restart them within `spread` s after `end`.

        `disk`: they restart with the version that they had; otherwise with an empty table.
        `silent`: the machine loses power; otherwise only the process ends.
        """

        def end_one(site: Site) -> None:
            if site.up:
                kept = self.fleet.end_site(site, silent)
                self.at(back[site.name], restart_one, site, kept)

        def restart_one(site: Site, kept: int) -> None:
            self.fleet.start_site(site, kept if disk else 0, "disk" if disk and kept else "cold")

        back = {site.name: end - begin + self.rng.uniform(0, spread) for site in sites}
        for site in sites:
            self.at(begin, end_one, site)

    def slow(self, site: Site, begin: float, end: float) -> None:
        """Multiply the processor time of this process's work by `SLOW_FACTOR`."""
        self.at(begin, setattr, site, "slow", SLOW_FACTOR)
        self.at(end, setattr, site, "slow", 1)

    def stop(self, sites: Sequence[Site], begin: float, end: float) -> None:
        """Pause these processes at `begin`, as SIGSTOP does, and resume them at `end`."""
        for site in sites:
            self.at(begin, self.pause_site, site)
            self.at(end, self.resume_site, site)

    def pause_site(self, site: Site) -> None:
        """Pause one process; the checker counts a paused node as unreachable."""
        self.fleet.world.pause(site)
        if site.tier == "node":
            self.fleet.judge.on_unreachable(site.name)

    def resume_site(self, site: Site) -> None:
        """Resume one process; a node counts as reachable again unless its region is cut off."""
        if site.tier == "node" and site.region not in self.fleet.world.cut:
            self.fleet.judge.on_reachable(self.fleet.world.clockwork.now, site.name)
        self.fleet.world.resume(site)

    def cut(self, region: int, begin: float, end: float) -> None:
        """Block all traffic between this region and the others."""
        world, judge = self.fleet.world, self.fleet.judge
        nodes = [site for site in self.fleet.nodes if site.region == region]

        def begin_cut() -> None:
            world.cut.add(region)
            for site in nodes:
                judge.on_unreachable(site.name)

        def end_cut() -> None:
            world.cut.discard(region)
            for site in nodes:
                if not site.paused:
                    judge.on_reachable(world.clockwork.now, site.name)

        self.at(begin, begin_cut)
        self.at(end, end_cut)

    def sever(self, site: Site, begin: float, end: float) -> None:
        """Block traffic between this relay and all relays above it; its subscribers still reach it."""
        world = self.fleet.world
        above = [name for tier in self.fleet.tiers[site.name] for name in tier]
        pairs = {(site.name, name) for name in above} | {(name, site.name) for name in above}
        self.at(begin, world.severed.update, pairs)
        self.at(end, world.severed.difference_update, pairs)

    def old(self, site: Site, begin: float, end: float) -> None:
        """Restart this relay with version 1 and no link to relays above; at `end`, again with such links."""
        fleet = self.fleet

        def put_back() -> None:
            fleet.end_site(site, silent=False)
            tiers, fleet.tiers[site.name] = fleet.tiers[site.name], ()
            fleet.start_site(site, 1, "disk")
            fleet.tiers[site.name] = tiers

        def restart_with_links() -> None:
            fleet.end_site(site, silent=False)
            fleet.start_site(site, 1, "disk")

        self.at(begin, put_back)
        self.at(end, restart_with_links)

    def leader(self, call: Callable[[Site], None], begin: float) -> None:
        """Call `call` at `begin` with the voter that leads at that time, if any."""

        def call_leader() -> None:
            if self.fleet.source.leader is not None:
                call(self.fleet.source.leader)

        self.at(begin, call_leader)

    # -- choice of targets -----------------------------------------------------------------------------

    def zone(self) -> str:
        """Draw a zone."""
        return self.rng.choice(sorted(self.fleet.zones))

    def relay(self, tier: str) -> Site:
        """Draw a relay of this tier in a region that has nodes."""
        regions = {site.region for site in self.fleet.nodes}
        return self.rng.choice(
            [site for site in self.fleet.relays if site.tier == tier and site.region in regions]
        )

    def region(self) -> int:
        """Draw a region that has nodes."""
        return self.rng.choice(sorted({site.region for site in self.fleet.nodes}))


# -- scenes ------------------------------------------------------------------------------------------------


def calm(scene: Scene) -> None:
    """No faults."""


def replaced(scene: Scene) -> None:
    """A node ends every 4 s and is replaced by one with an empty table."""
    scene.until = 140
    for number, site in enumerate(scene.rng.sample(scene.fleet.nodes, min(25, len(scene.fleet.nodes) // 2))):
        begin = FIRST_FAULT_S + 4 * number
        scene.off([site], begin, begin + scene.rng.uniform(1, 3), disk=False)


def rack(scene: Scene, disk: bool) -> None:
    """Up to `RACK_NODES` nodes of one zone lose power for 25 s."""
    nodes = scene.fleet.zones[scene.zone()]
    scene.off(
        scene.rng.sample(nodes, min(RACK_NODES, len(nodes) // 2)), FIRST_FAULT_S, FIRST_FAULT_S + 25, disk
    )
    scene.until = 130


def zone(scene: Scene, disk: bool) -> None:
    """All nodes and relays of a zone lose power for 30 s; the relays keep their disks."""
    lost = scene.zone()
    relays = [site for site in scene.fleet.relays if site.zone == lost]
    scene.off(relays, FIRST_FAULT_S, FIRST_FAULT_S + 30)
    scene.off(scene.fleet.zones[lost], FIRST_FAULT_S, FIRST_FAULT_S + 30, disk, spread=3)
    scene.until = FIRST_FAULT_S + 60 if disk else FIRST_FAULT_S + 270


def power(scene: Scene, disk: bool) -> None:
    """All machines lose power; voters and relays restart first, as they have less to do at boot."""
    fleet = scene.fleet
    scene.off(fleet.source.voters, FIRST_FAULT_S, FIRST_FAULT_S + 20, spread=2)
    scene.off(fleet.relays, FIRST_FAULT_S, FIRST_FAULT_S + 20, spread=4)
    scene.off(fleet.nodes, FIRST_FAULT_S, FIRST_FAULT_S + 22, disk, spread=5)
    scene.until = FIRST_FAULT_S + 70 if disk else FIRST_FAULT_S + 270


def region_cut(scene: Scene) -> None:
    """A region is cut off from the others for 300 s."""
    scene.cut(scene.region(), FIRST_FAULT_S, FIRST_FAULT_S + 300)
    scene.until = FIRST_FAULT_S + 300 + 35


def taken_back(scene: Scene) -> None:
    """A bad batch changes as many records as fit; 20 s later another batch restores the earlier values."""
    fleet = scene.fleet
    changes = drawn_changes(scene.rng, scene.records, min(MAX_BATCH_CHANGES, scene.records // 2))

    def back() -> None:
        judge, before = fleet.judge, bad[0]
        values = [(each, judge.value(each.kind, each.name, before)) for each in changes]
        fleet.source.publish(tuple(Change(each.kind, each.name, value) for each, value in values))

    def bad_one() -> None:
        bad.append(fleet.judge.versions[-1])
        fleet.source.publish(changes)

    bad: list[int] = []
    scene.at(FIRST_FAULT_S, bad_one)
    scene.at(FIRST_FAULT_S + 20, back)


def lost(scene: Scene, tier: str, silent: bool) -> None:
    """A relay is down for 15 s."""
    scene.off([scene.relay(tier)], FIRST_FAULT_S, FIRST_FAULT_S + 15, silent=silent)


def lost_both(scene: Scene) -> None:
    """All relays of a zone lose power for 25 s."""
    lost = scene.zone()
    scene.off([site for site in scene.fleet.relays if site.zone == lost], FIRST_FAULT_S, FIRST_FAULT_S + 25)


def slow(scene: Scene, tier: str) -> None:
    """A relay is slow for 35 s."""
    scene.slow(scene.relay(tier), FIRST_FAULT_S, FIRST_FAULT_S + 35)


def stopped(scene: Scene, tier: str) -> None:
    """A relay is paused for 25 s."""
    scene.stop([scene.relay(tier)], FIRST_FAULT_S, FIRST_FAULT_S + 25)


def severed(scene: Scene, tier: str) -> None:
    """A relay is cut off from the relays above it for 30 s, and a change is published meanwhile."""
    scene.sever(scene.relay(tier), FIRST_FAULT_S, FIRST_FAULT_S + 30)
    scene.at(FIRST_FAULT_S + 0.1, scene.publish, 1)


def old_copy(scene: Scene, tier: str) -> None:
    """A relay restarts with an old copy; later, the other relays of its zone or region end.

    Its former subscribers then have to connect to the relay with the old copy.
    """
    old = scene.relay(tier)
    scene.old(old, FIRST_FAULT_S, FIRST_FAULT_S + 25)
    beside = [site for site in scene.fleet.relays if site.tier == tier and site is not old]
    same = [site for site in beside if (site.zone if tier == "zone relay" else site.region) == (
        old.zone if tier == "zone relay" else old.region)]  # fmt: skip
    scene.off(same, FIRST_FAULT_S + 12, FIRST_FAULT_S + 30, silent=False)


def leader_killed(scene: Scene) -> None:
    """The leader's process ends and restarts 20 s later."""
    scene.leader(lambda site: scene.off([site], 0, 20, silent=False), FIRST_FAULT_S)


def leader_stopped(scene: Scene) -> None:
    """The leader is paused for 15 s."""
    scene.leader(lambda site: scene.stop([site], 0, 15), FIRST_FAULT_S)


def drawn(scene: Scene) -> None:
    """Three to eight drawn faults that may overlap, all within about 35 s."""
    rng, fleet = scene.rng, scene.fleet
    last = FIRST_FAULT_S + 35
    scene.until = last + 40

    def span() -> tuple[float, float]:
        begin = rng.uniform(FIRST_FAULT_S, last - 8)
        return begin, rng.uniform(begin + 1, last)

    def some_nodes() -> list[Site]:
        return rng.sample(fleet.nodes, min(RACK_NODES, len(fleet.nodes) // 4))

    tiers = ("zone relay", "region relay")
    faults: list[Callable[[], Any]] = [
        lambda: scene.off([scene.relay(rng.choice(tiers))], *span(), silent=rng.random() < 0.5),
        lambda: scene.slow(scene.relay(rng.choice(tiers)), *span()),
        lambda: scene.stop([scene.relay(rng.choice(tiers))], *span()),
        lambda: scene.old(scene.relay(rng.choice(tiers)), *span()),
        lambda: scene.sever(scene.relay(rng.choice(tiers)), *span()),
        lambda: scene.off(some_nodes(), *span(), disk=rng.random() < 0.7),
        lambda: scene.stop(some_nodes(), *span()),
        lambda: scene.cut(scene.region(), *span()),
        lambda: scene.leader(lambda site: scene.off([site], 0, 8, silent=rng.random() < 0.5), span()[0]),
    ]
    for _ in range(rng.randint(3, 8)):
        rng.choice(faults)()


EVENTS: dict[str, Callable[[Scene], None]] = {
    "calm": calm,
    "replaced": replaced,
    "rack cold": lambda scene: rack(scene, False),
    "rack disk": lambda scene: rack(scene, True),
    "zone cold": lambda scene: zone(scene, False),
    "zone disk": lambda scene: zone(scene, True),
    "region cut": region_cut,
    "power cold": lambda scene: power(scene, False),
    "power disk": lambda scene: power(scene, True),
    "taken back": taken_back,
    "zone relay killed": lambda scene: lost(scene, "zone relay", False),
    "zone relay off": lambda scene: lost(scene, "zone relay", True),
    "zone relays off": lost_both,
    "zone relay slow": lambda scene: slow(scene, "zone relay"),
    "zone relay stopped": lambda scene: stopped(scene, "zone relay"),
    "zone relay cut": lambda scene: severed(scene, "zone relay"),
    "zone relay old": lambda scene: old_copy(scene, "zone relay"),
    "region relay killed": lambda scene: lost(scene, "region relay", False),
    "region relay off": lambda scene: lost(scene, "region relay", True),
    "region relay slow": lambda scene: slow(scene, "region relay"),
    "region relay stopped": lambda scene: stopped(scene, "region relay"),
    "region relay cut": lambda scene: severed(scene, "region relay"),
    "region relay old": lambda scene: old_copy(scene, "region relay"),
    "leader killed": leader_killed,
    "leader stopped": leader_stopped,
    "drawn": drawn,
}
