"""What a loss and a recovery cost at the target: which parts get requests, how many, and how long it takes.
No I/O.
"""

from __future__ import annotations

import msgspec

from lichencleat.capacity.sizes import frequent_node_reports
from lichencleat.capacity.slopes import Slopes
from lichencleat.capacity.target import DAY_S, Target
from lichencleat.config_distribution.feed import FETCH_BYTES_PER_US
from lichencleat.config_distribution.terms import MAX_WINDOW_BATCHES
from lichencleat.recovery.messages import MAX_NODES

REGION_CUT_S = 300.0  # how long a region is cut off
BACK_ALL = "until the last one that starts or returns has what holds"
IN_FORCE_P99 = "a change in force at 99 in 100 nodes"
IN_FORCE_ALL = "a change in force at all that were there"
RECOVERED = "until nine tenths are served, were all known"
SNAPSHOT_FETCHES = "of a relay's time for its snapshots, by its bound"


class Figure(msgspec.Struct, frozen=True):
    """One value of an event, with its source."""

    what: str
    value: float | None  # None: not measured
    unit: str
    basis: str  # lines and constants from which the value is computed


class Event(msgspec.Struct, frozen=True):
    """One event and its figures."""

    name: str
    nodes: float  # nodes affected at once
    figures: list[Figure]


def list_events(slopes: Slopes, target: Target) -> list[Event]:
    """Return all events with their figures at the target."""

    def simulated_figure(line: str, what: str) -> Figure:
        found = slopes.line(line)
        return Figure(what, None if found is None else found.value_at(target.nodes), "s", f"{line} (fleet)")

    def loss_figures(event: str) -> list[Figure]:
        """Return the figures of a loss, with and without the data on the nodes' disks."""
        return [
            simulated_figure(f"{event}_{disk}.{line}", f"{what}, {how}")
            for disk, how in (("disk", "with a disk"), ("cold", "without one"))
            for line, what in (
                ("back_s", BACK_ALL),
                ("in_force_p99_s", IN_FORCE_P99),
                ("in_force_all_s", IN_FORCE_ALL),
            )
        ]

    tree, each_s = target.tree, DAY_S / max(target.restarts_per_day, 1e-9)
    relays = target.zones * tree.relays_a_zone
    zone, region = target.zone_nodes, -(-target.nodes // target.regions)
    return [
        Event(
            "a node replaced",
            1,
            [
                Figure("one each", each_s, "s", "target"),
                Figure("one each, of a zone's relay", each_s * relays, "s", "target, tree"),
                simulated_figure("replaced.back_s", f"{BACK_ALL}, without a disk"),
                Figure(
                    "bytes of its busiest second",
                    peak_megabytes(slopes, target),
                    "MB",
                    "replaced.node_peak_mb (fleet)",
                ),
                simulated_figure("replaced.in_force_p99_s", IN_FORCE_P99),
                simulated_figure("replaced.in_force_all_s", IN_FORCE_ALL),
            ],
        ),
        Event("a rack lost and back", target.rack, loss_figures("rack")),
        Event(
            "a zone lost and back",
            zone,
            [
                Figure("of all requests, that other zones take", 1 / target.zones, "", "target"),
                *loss_figures("zone"),
                snapshot_figure(slopes, target, zone / tree.relays_a_zone),
            ],
        ),
        Event(
            "a region cut off for five minutes and back",
            region,
            [
                Figure(
                    "changes that each node lacks", target.changes_per_second * REGION_CUT_S, "", "target"
                ),
                Figure(
                    "changes that a relay keeps",
                    MAX_WINDOW_BATCHES,
                    "",
                    "`distribution.terms.WINDOW_BATCHES`",
                ),
                simulated_figure("region_cut.back_s", BACK_ALL),
                simulated_figure("region_cut.in_force_p99_s", IN_FORCE_P99),
                simulated_figure("region_cut.in_force_all_s", IN_FORCE_ALL),
            ],
        ),
        Event(
            "the whole fleet after a power loss",
            target.nodes,
            [
                *loss_figures("power"),
                snapshot_figure(slopes, target, target.nodes / relays),
                Figure(
                    "reports a second to one group",
                    frequent_node_reports(target),
                    "",
                    "`revive.waking.OFTEN`",
                ),
                Figure("nodes that a return knows at most", MAX_NODES, "", "`revive.terms.NODES_MOST`"),
                Figure(RECOVERED, recovery_time(slopes, target), "s", "fleet.to_90_s (return)"),
            ],
        ),
        Event(
            "a bad change taken back",
            target.nodes,
            [
                simulated_figure("taken_back.in_force_p99_s", IN_FORCE_P99),
                simulated_figure("taken_back.in_force_all_s", IN_FORCE_ALL),
            ],
        ),
    ]


def peak_megabytes(slopes: Slopes, target: Target) -> float | None:
    """Return the MB that a replaced node receives in its busiest second, or None if that was not measured."""
    line = slopes.line("replaced.node_peak_mb")
    return None if line is None else line.value_at(target.nodes)


def recovery_time(slopes: Slopes, target: Target) -> float | None:
    """Return the seconds until nine tenths of requests are served after a power loss, or None if that was not
    measured.
    """
    line = slopes.line("fleet.to_90_s")
    return None if line is None else line.value_at(target.nodes)


def snapshot_figure(slopes: Slopes, target: Target, count: float) -> Figure:
    """Return the time that one relay needs for `count` snapshots. The rate limit applies to all snapshots
    together, so concurrency does not change the time.
    """
    line = slopes.line("table.snapshot_mb")
    value = None if line is None else count * line.value_at(target.records) / FETCH_BYTES_PER_US
    return Figure(SNAPSHOT_FETCHES, value, "s", "table.snapshot_mb (table), `distribution.feed.FETCH_RATE`")
