"""What a loss and its return cost at the target: who asks whom, for how much, how long it takes; no I/O."""

from __future__ import annotations

import msgspec

from lichencleat.capacity.sizes import reports_waking
from lichencleat.capacity.slopes import Slopes
from lichencleat.capacity.target import DAY, Target
from lichencleat.distribution.feed import FETCH_RATE, FETCHERS_MOST
from lichencleat.distribution.terms import WINDOW_BATCHES
from lichencleat.revive.terms import NODES_MOST

CUT = 300.0  # s that a region is cut off


class Figure(msgspec.Struct, frozen=True):
    what: str
    value: float | None  # None: not measured
    unit: str
    basis: str  # the lines and the code's figures that it comes from


class Event(msgspec.Struct, frozen=True):
    name: str
    nodes: float  # at once
    figures: list[Figure]


def events(slopes: Slopes, target: Target) -> list[Event]:
    tree = target.tree
    relays = target.zones * tree.relays_a_zone
    zone, region = target.zone_nodes, -(-target.nodes // target.regions)
    each_s = DAY / max(target.restarts_per_day, 1e-9)
    lacks = target.changes_a_second * CUT
    return [
        Event(
            "a node replaced",
            1,
            [
                Figure("one each", each_s, "s", "target"),
                Figure("one each, of a relay", each_s * relays, "s", "target, tree"),
                snapshots(slopes, target, 1),
            ],
        ),
        Event(
            "a rack lost and back",
            target.rack,
            [
                Figure("snapshots a relay, without disks", target.rack / tree.relays_a_zone, "", "tree"),
                snapshots(slopes, target, target.rack / tree.relays_a_zone),
            ],
        ),
        Event(
            "a zone lost and back",
            zone,
            [
                Figure("snapshots a relay, without disks", zone / tree.relays_a_zone, "", "tree"),
                snapshots(slopes, target, zone / tree.relays_a_zone),
                Figure("of the requests, that the other zones take", 1 / target.zones, "", "target"),
            ],
        ),
        Event(
            "a region cut off for five minutes and back",
            region,
            [
                Figure("changes that each node lacks", lacks, "", "target"),
                Figure("changes that a relay keeps", WINDOW_BATCHES, "", "distribution.terms.WINDOW_BATCHES"),
                lacking(slopes, lacks),
            ],
        ),
        Event(
            "the whole fleet after a power loss",
            target.nodes,
            [
                snapshots(slopes, target, target.nodes / relays),
                Figure("reports a second to one group", reports_waking(target), "", "revive.waking.OFTEN"),
                Figure("nodes that a return knows at most", NODES_MOST, "", "revive.terms.NODES_MOST"),
                returned(slopes, target),
            ],
        ),
        Event("a bad change taken back", 0, [in_force(slopes, target)]),
    ]


def snapshots(slopes: Slopes, target: Target, count: float) -> Figure:
    """So many of one relay, one after another or side by side: the rate is for all of them."""
    line = slopes.line("table.snapshot_mb")
    value = None if line is None else count * line.at(target.records) / FETCH_RATE
    basis = f"table.snapshot_mb, distribution.feed.FETCH_RATE; {FETCHERS_MOST} at once"
    return Figure("until the last one has its snapshot, without disks", value, "s", basis)


def lacking(slopes: Slopes, changes: float) -> Figure:
    line = slopes.line("subscriber.change_bytes")
    value = None if line is None else line.at(1) * changes / 1e3
    return Figure("what each node is sent then", value, "KB", "subscriber.change_bytes")


def returned(slopes: Slopes, target: Target) -> Figure:
    line = slopes.line("fleet.to_90_s")
    value = None if line is None else line.at(target.nodes)
    return Figure("until nine tenths are served, were all known", value, "s", "fleet.to_90_s")


def in_force(slopes: Slopes, target: Target) -> Figure:
    line = slopes.line("fleet.in_force_s")
    value = None if line is None else line.at(target.nodes)
    return Figure("until the one before is in force again everywhere", value, "s", "fleet.in_force_s")
