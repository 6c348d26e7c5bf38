"""The machines that are set aside for control, dealt out: who runs what, and what is left when one has failed
and a zone is lost with it; no I/O.

Each zone has a machine for relays, the others take voters and publishers, in as many regions as there are;
what is left is spare. A zone's second relay stands in another zone of its region: neither a machine nor a
zone takes both from nodes that remain. Those that lose both all the same ask the region's relays, then the
voters.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from lichencleat.capacity.target import Target

VOTER, PUBLISHER, REGION, ZONE = "voter", "publisher", "region relay", "zone relay"


@dataclass(slots=True)
class Machine:
    number: int
    zone: int
    region: int
    runs: list[tuple[str, int]] = field(default_factory=list)  # what, and the zone or region that it is for

    def spare(self) -> bool:
        return not self.runs


@dataclass(frozen=True, slots=True)
class Left:
    """The worst of all cases of one machine failed and one zone lost."""

    voters: int  # that stand
    majority: bool
    uncovered: int  # zones left without a relay of theirs: their nodes hang on the region's
    regions_uncovered: int  # regions with zones left, without a relay of theirs
    subscribers: int  # the most that hang on one relay, of a zone or a region, or on one voter


@dataclass(frozen=True, slots=True)
class Dealt:
    machines: list[Machine]
    short: int  # processes that found no place
    whole: Left  # nothing lost
    failed: Left  # the worst machine
    both: Left  # the worst machine and zone together

    def spares(self) -> int:
        return sum(each.spare() for each in self.machines)

    def count(self, what: str) -> int:
        return sum(kind == what for each in self.machines for kind, _ in each.runs)


def region_of(target: Target, zone: int) -> int:
    return zone * target.regions // target.zones


def in_turn(target: Target) -> list[int]:
    """All zones: the first one of each region, then the second ones."""
    first: dict[int, int] = {}
    for zone in range(target.zones):
        first.setdefault(region_of(target, zone), zone)
    return sorted(range(target.zones), key=lambda zone: (zone - first[region_of(target, zone)], zone))


def deal_out(target: Target) -> Dealt:
    tree, turns = target.tree, in_turn(target)
    zones = [
        at if at < target.zones else turns[(at - target.zones) % target.zones]
        for at in range(target.machines)
    ]
    machines = [Machine(at, zone, region_of(target, zone)) for at, zone in enumerate(zones)]
    short = 0
    for what, count in ((VOTER, tree.voters), (PUBLISHER, tree.publishers)):
        for _ in range(count):
            short += not alone(machines, what, target.zones)
    for region in range(target.regions):
        for _ in range(tree.relays_a_region):
            short += not place(machines, REGION, region, -1, region, target)
    for zone in range(target.zones):
        for at in range(tree.relays_a_zone):
            own = zone if at == 0 else -1
            region = region_of(target, zone)
            short += not place(machines, ZONE, zone, own, region, target)
    return Dealt(
        machines,
        short,
        left(target, machines, None, None),
        worst([left(target, machines, each, None) for each in machines]),
        worst([left(target, machines, each, zone) for each in machines for zone in range(target.zones)]),
    )


def alone(machines: list[Machine], what: str, zones: int) -> bool:
    """On a machine of its own that is no zone's first, in a region that has the fewest of the kind."""
    had = [each.region for each in machines if (what, 0) in each.runs]
    fit = [each for each in machines if (what, 0) not in each.runs]
    if not fit:
        return False
    best = min(
        fit, key=lambda each: (len(each.runs), each.number < zones, had.count(each.region), each.number)
    )
    best.runs.append((what, 0))
    return True


def place(machines: list[Machine], what: str, of: int, zone: int, region: int, target: Target) -> bool:
    """On the first machine of that zone, else of one of its region, where the fewest run."""
    runs, most, zones = (what, of), target.tree.processes_a_machine, target.zones
    taken = {each.zone for each in machines if runs in each.runs}
    fit = [
        each for each in machines if each.region == region and len(each.runs) < most and runs not in each.runs
    ]
    if not fit:
        return False
    chosen = min(
        fit,
        key=lambda each: (
            each.number >= zones,
            each.zone != zone,
            each.zone in taken,
            len(each.runs),
            each.number,
        ),
    )
    chosen.runs.append(runs)
    return True


def left(target: Target, machines: list[Machine], failed: Machine | None, lost: int | None) -> Left:
    stand = [each for each in machines if each is not failed and each.zone != lost]
    voters = sum((VOTER, 0) in each.runs for each in stand)
    relays = [sum((ZONE, zone) in each.runs for each in stand) for zone in range(target.zones)]
    up = [sum((REGION, region) in each.runs for each in stand) for region in range(target.regions)]
    there = [zone for zone in range(target.zones) if zone != lost]
    below = [0] * target.regions  # what hangs on a region's relays: those of zones, and nodes without one
    most = 0
    for zone in there:
        below[region_of(target, zone)] += relays[zone] or target.zone_nodes
        if relays[zone]:
            most = max(most, -(-target.zone_nodes // relays[zone]))
    top = 0  # what hangs on the voters
    regions = {region_of(target, zone) for zone in there}
    for region in regions:
        top += up[region] or below[region]
        if up[region]:
            most = max(most, -(-below[region] // up[region]))
    if voters:
        most = max(most, -(-top // voters))
    return Left(
        voters,
        2 * voters > target.tree.voters,
        sum(not relays[zone] for zone in there),
        sum(not up[region] for region in regions),
        most,
    )


def worst(cases: list[Left]) -> Left:
    """Each figure's worst."""
    return Left(
        min(each.voters for each in cases),
        all(each.majority for each in cases),
        max(each.uncovered for each in cases),
        max(each.regions_uncovered for each in cases),
        max(each.subscribers for each in cases),
    )
