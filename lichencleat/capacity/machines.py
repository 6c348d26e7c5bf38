"""Assigns control processes to the machines set aside for them, and computes what remains when a machine has
failed and a zone is lost. No I/O.

Each zone has a machine for relays. The other machines take voters and publishers, spread over the regions;
machines without a process are spare. A zone's second relay runs in another zone of its region, so that
neither the loss of a machine nor the loss of a zone takes both relays from nodes that remain. Nodes that lose
both relays nevertheless use the region's relays, then the voters.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from lichencleat.capacity.target import Target

VOTER, PUBLISHER, REGION, ZONE = "voter", "publisher", "region relay", "zone relay"


@dataclass(slots=True)
class Machine:
    """A machine and the processes that run on it."""

    number: int
    zone: int
    region: int
    runs: list[tuple[str, int]] = field(default_factory=list)  # kind of process, and its zone or region

    def is_spare(self) -> bool:
        """Say whether no process runs on the machine."""
        return not self.runs


@dataclass(frozen=True, slots=True)
class Coverage:
    """What remains after a loss; in a worst case, each value is the worst of all cases."""

    voters: int  # voters that run
    majority: bool  # a majority of the voters runs
    uncovered: int  # remaining zones without a relay; their nodes use the region's relays
    regions_uncovered: int  # regions with remaining zones but without a region relay
    subscribers: int  # most subscribers of one relay or voter


@dataclass(frozen=True, slots=True)
class Assignment:
    """Processes assigned to machines, and what remains after losses."""

    machines: list[Machine]
    short: int  # processes for which there was no machine
    whole: Coverage  # without a loss
    failed: Coverage  # after the worst failure of one machine
    both: Coverage  # after the worst loss of one machine and one zone

    def count_spares(self) -> int:
        """Return the number of spare machines."""
        return sum(each.is_spare() for each in self.machines)

    def count(self, what: str) -> int:
        """Return the number of processes of a kind."""
        return sum(kind == what for each in self.machines for kind, _ in each.runs)


def region_of(target: Target, zone: int) -> int:
    """Return the region of a zone."""
    return zone * target.regions // target.zones


def zones_in_turn(target: Target) -> list[int]:
    """Return all zones: the first zone of each region, then the second ones, and so on."""
    first: dict[int, int] = {}
    for zone in range(target.zones):
        first.setdefault(region_of(target, zone), zone)
    return sorted(range(target.zones), key=lambda zone: (zone - first[region_of(target, zone)], zone))


def assign_processes(target: Target) -> Assignment:
    """Assign voters, publishers and relays to machines, and compute the coverage without and with losses."""
    tree, turns = target.tree, zones_in_turn(target)
    zones = [
        at if at < target.zones else turns[(at - target.zones) % target.zones]
        for at in range(target.machines)
    ]
    machines = [Machine(at, zone, region_of(target, zone)) for at, zone in enumerate(zones)]
    short = 0
    for what, count in ((VOTER, tree.voters), (PUBLISHER, tree.publishers)):
        for _ in range(count):
            short += not place_alone(machines, what, target.zones)
    for region in range(target.regions):
        for _ in range(tree.relays_a_region):
            short += not place_relay(machines, REGION, region, -1, region, target)
    for zone in range(target.zones):
        for at in range(tree.relays_a_zone):
            own = zone if at == 0 else -1
            region = region_of(target, zone)
            short += not place_relay(machines, ZONE, zone, own, region, target)
    return Assignment(
        machines,
        short,
        coverage_after(target, machines, None, None),
        worst_case([coverage_after(target, machines, each, None) for each in machines]),
        worst_case(
            [
                coverage_after(target, machines, each, zone)
                for each in machines
                for zone in range(target.zones)
            ]
        ),
    )


def place_alone(machines: list[Machine], what: str, zones: int) -> bool:
    """Place a voter or publisher on the machine with the fewest processes. Prefer machines that are not the
    first of a zone, then regions that have the fewest of this kind. Return False if no machine is left.
    """
    had = [each.region for each in machines if (what, 0) in each.runs]
    fit = [each for each in machines if (what, 0) not in each.runs]
    if not fit:
        return False
    best = min(
        fit, key=lambda each: (len(each.runs), each.number < zones, had.count(each.region), each.number)
    )
    best.runs.append((what, 0))
    return True


def place_relay(machines: list[Machine], what: str, of: int, zone: int, region: int, target: Target) -> bool:
    """Place a relay on a machine of the region. Prefer the first machines of zones, then the given zone, then
    zones without such a relay, then machines with the fewest processes. Return False if no machine is left.
    """
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


def coverage_after(
    target: Target, machines: list[Machine], failed: Machine | None, lost: int | None
) -> Coverage:
    """Return what remains when a machine has failed and a zone is lost; None: no machine or no zone."""
    stand = [each for each in machines if each is not failed and each.zone != lost]
    voters = sum((VOTER, 0) in each.runs for each in stand)
    relays = [sum((ZONE, zone) in each.runs for each in stand) for zone in range(target.zones)]
    up = [sum((REGION, region) in each.runs for each in stand) for region in range(target.regions)]
    there = [zone for zone in range(target.zones) if zone != lost]
    # subscribers of each region's relays: zone relays, and nodes of zones without one
    below = [0] * target.regions
    most = 0
    for zone in there:
        below[region_of(target, zone)] += relays[zone] or target.zone_nodes
        if relays[zone]:
            most = max(most, -(-target.zone_nodes // relays[zone]))
    top = 0  # subscribers of the voters
    regions = {region_of(target, zone) for zone in there}
    for region in regions:
        top += up[region] or below[region]
        if up[region]:
            most = max(most, -(-below[region] // up[region]))
    if voters:
        most = max(most, -(-top // voters))
    return Coverage(
        voters,
        2 * voters > target.tree.voters,
        sum(not relays[zone] for zone in there),
        sum(not up[region] for region in regions),
        most,
    )


def worst_case(cases: list[Coverage]) -> Coverage:
    """Return the worst of each value."""
    return Coverage(
        min(each.voters for each in cases),
        all(each.majority for each in cases),
        max(each.uncovered for each in cases),
        max(each.regions_uncovered for each in cases),
        max(each.subscribers for each in cases),
    )
