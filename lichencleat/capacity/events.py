"""What a loss and its return cost at the target: who asks whom, for how much, how long it takes; no I/O."""

from __future__ import annotations

import msgspec

from lichencleat.capacity.sizes import reports_waking
from lichencleat.capacity.slopes import Slopes
from lichencleat.capacity.target import DAY, Target
from lichencleat.config_distribution.feed import FETCH_BYTES_PER_US
from lichencleat.config_distribution.terms import MAX_WINDOW_BATCHES
from lichencleat.recovery.messages import MAX_NODES

CUT = 300.0  # s that a region is cut off
LAST = "until the last one that starts or returns has what holds"
MOST = "a change in force at 99 in 100 nodes"
ALL = "a change in force at all that were there"
SERVED = "until nine tenths are served, were all known"
FETCHED = "of a relay's time for its snapshots, by its bound"


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
    def simulated(line: str, what: str) -> Figure:
        found = slopes.line(line)
        return Figure(what, None if found is None else found.at(target.nodes), "s", f"{line} (fleet)")

    def lost(event: str) -> list[Figure]:
        """With and without what the nodes' disks keep."""
        return [
            simulated(f"{event}_{disk}.{line}", f"{what}, {how}")
            for disk, how in (("disk", "with a disk"), ("cold", "without one"))
            for line, what in (("back_s", LAST), ("in_force_p99_s", MOST), ("in_force_all_s", ALL))
        ]

    tree, each_s = target.tree, DAY / max(target.restarts_per_day, 1e-9)
    relays = target.zones * tree.relays_a_zone
    zone, region = target.zone_nodes, -(-target.nodes // target.regions)
    return [
        Event(
            "a node replaced",
            1,
            [
                Figure("one each", each_s, "s", "target"),
                Figure("one each, of a zone's relay", each_s * relays, "s", "target, tree"),
                simulated("replaced.back_s", f"{LAST}, without a disk"),
                Figure(
                    "bytes of its busiest second", peak(slopes, target), "MB", "replaced.node_peak_mb (fleet)"
                ),
                simulated("replaced.in_force_p99_s", MOST),
                simulated("replaced.in_force_all_s", ALL),
            ],
        ),
        Event("a rack lost and back", target.rack, lost("rack")),
        Event(
            "a zone lost and back",
            zone,
            [
                Figure("of all requests, that other zones take", 1 / target.zones, "", "target"),
                *lost("zone"),
                snapshots(slopes, target, zone / tree.relays_a_zone),
            ],
        ),
        Event(
            "a region cut off for five minutes and back",
            region,
            [
                Figure("changes that each node lacks", target.changes_a_second * CUT, "", "target"),
                Figure(
                    "changes that a relay keeps",
                    MAX_WINDOW_BATCHES,
                    "",
                    "`distribution.terms.WINDOW_BATCHES`",
                ),
                simulated("region_cut.back_s", LAST),
                simulated("region_cut.in_force_p99_s", MOST),
                simulated("region_cut.in_force_all_s", ALL),
            ],
        ),
        Event(
            "the whole fleet after a power loss",
            target.nodes,
            [
                *lost("power"),
                snapshots(slopes, target, target.nodes / relays),
                Figure("reports a second to one group", reports_waking(target), "", "`revive.waking.OFTEN`"),
                Figure("nodes that a return knows at most", MAX_NODES, "", "`revive.terms.NODES_MOST`"),
                Figure(SERVED, at_nodes(slopes, target), "s", "fleet.to_90_s (return)"),
            ],
        ),
        Event(
            "a bad change taken back",
            target.nodes,
            [simulated("taken_back.in_force_p99_s", MOST), simulated("taken_back.in_force_all_s", ALL)],
        ),
    ]


def peak(slopes: Slopes, target: Target) -> float | None:
    line = slopes.line("replaced.node_peak_mb")
    return None if line is None else line.at(target.nodes)


def at_nodes(slopes: Slopes, target: Target) -> float | None:
    line = slopes.line("fleet.to_90_s")
    return None if line is None else line.at(target.nodes)


def snapshots(slopes: Slopes, target: Target, count: float) -> Figure:
    """So many of one relay, one after another or side by side: the rate is for all of them."""
    line = slopes.line("table.snapshot_mb")
    value = None if line is None else count * line.at(target.records) / FETCH_BYTES_PER_US
    return Figure(FETCHED, value, "s", "table.snapshot_mb (table), `distribution.feed.FETCH_RATE`")
