"""The tables of docs/CAPACITY.md, made from a plan. No I/O.

Each table is between two markers on the page. Only the text between the markers is replaced.
"""

from __future__ import annotations

import math
import re
from collections.abc import Sequence

from lichencleat.capacity.glance import summarize_roles
from lichencleat.capacity.machines import PUBLISHER, REGION, VOTER, ZONE, Coverage, region_of
from lichencleat.capacity.plan import Plan, Row
from lichencleat.capacity.slopes import Slopes
from lichencleat.capacity.target import Target

TABLE_MARKERS = re.compile(r"(<!-- capacity: ([a-z ]+) -->\n).*?(<!-- end -->)", re.S)
HOLDS_TEXT = {True: "yes", False: "**no**", None: "-"}


class InvalidPageError(ValueError):
    """The page has a marker without a table, or lacks the marker of a table."""


def figure(value: float | None) -> str:
    """Format a number: whole numbers with all digits, others with three significant digits."""
    if value is None:
        return "not measured"
    if value == round(value):
        return f"{value:,.0f}"
    if abs(value) >= 1_000:
        places = 2 - math.floor(math.log10(abs(value)))
        return f"{round(value, places):,.0f}"
    return f"{value:.3g}"


def table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(each) + " |" for each in lines) + "\n"


def tables(plan: Plan, slopes: Slopes, target: Target) -> dict[str, str]:
    """Return all tables of the capacity page by name; a marker in the page names the table to insert."""
    return {
        "measured on": runs_table(slopes),
        "target": target_table(target),
        "glance": summary_table(slopes, target),
        "roles": roles_table(plan),
        "slopes": slopes_table(slopes),
        "extrapolated": extrapolation_table(plan),
        "bounds": bounds_table(plan),
        "control": control_table(plan),
        "order": failures_table(plan),
        "events": events_table(plan),
        "machines": machines_table(plan, target),
        "losses": losses_table(plan),
    }


def insert_tables(page: str, made: dict[str, str]) -> str:
    """Return the page with its tables replaced. Raises InvalidPageError."""
    seen: list[str] = []

    def put(found: re.Match[str]) -> str:
        name = found[2]
        if name not in made:
            raise InvalidPageError(f"no table {name!r}; there are {', '.join(made)}")
        seen.append(name)
        return f"{found[1]}\n{made[name]}\n{found[3]}"

    text = TABLE_MARKERS.sub(put, page)
    missing = [name for name in made if name not in seen]
    if missing:
        raise InvalidPageError(f"no marker for {', '.join(missing)}")
    return text


def summary_table(slopes: Slopes, target: Target) -> str:
    """Return the table of one summary row for each role."""
    rows = [
        [each.role, each.state, *(figure(value) if value != "-" else "-" for value in each.figures())]
        for each in summarize_roles(slopes, target)
    ]
    return table(["role", "state", "messages/s", "bytes/s", "of a core", "MB"], rows)


# -- tables ------------------------------------------------------------------------------------------------


def runs_table(slopes: Slopes) -> str:
    """Return the table of measurements, with the machine on which they ran."""
    rows = [
        [
            each.name,
            each.how,
            each.commit,
            str(each.seed),
            f"{each.seconds:g} s",
            f"{each.load_before:g} to {each.load_after:g}",
        ]
        for each in slopes.runs
    ]
    head = ["run", "how", "commit", "seed", "took", "load average beside"]
    where = f"{slopes.cores} cores, {slopes.memory_mb / 1024:.0f} GiB, Python {slopes.python}.\n\n"
    return where + table(head, rows)


def target_table(target: Target) -> str:
    """Return the table of the target's numbers."""
    rows = [
        ["nodes", figure(target.nodes)],
        ["callers, in services", f"{figure(target.callers)}, {figure(target.services)}"],
        [
            "requests a second, all; a node",
            f"{figure(target.requests_per_s)}; {figure(target.rate_per_node)}",
        ],
        ["routes, tenants", f"{figure(target.routes)}, {figure(target.tenants)}"],
        ["regions, zones; nodes of a zone", f"{target.regions}, {target.zones}; {target.zone_nodes}"],
        [
            "changes a day, a second, in force within",
            f"{figure(target.changes_per_day)}, {figure(target.changes_per_second)}, {target.in_force_s:g} s",
        ],
        [
            "a node's control: core, memory, bytes",
            f"{target.control.core_share:.1%}, {target.control.memory_mb:g} MB, "
            f"{figure(target.control.bytes_per_s)} a second",
        ],
        ["added to 99 in 100 requests", f"{target.added_p99_ms:g} ms"],
        ["machines set aside", str(target.machines)],
        [
            "restarts a day, failures a day",
            f"{figure(target.restarts_per_day)}, {figure(target.failures_per_day)}",
        ],
        [
            "supposed: a node's cores, descriptors, memory for callers",
            f"{target.node_cores:g}, {figure(target.node_sockets)}, {target.connection_memory_mb:g} MB",
        ],
        [
            "supposed: connections a node of a subset, routers a zone, seats of a pool",
            f"{figure(target.connections_a_node)}, {target.routers_a_zone}, "
            f"{figure(target.dependency_seats)}",
        ],
    ]
    return table(["what", "at the target"], rows)


def format_value(row: Row) -> str:
    """Return the value of a row with its unit."""
    return figure(row.value) if row.value is None else f"{figure(row.value)} {row.unit}"


def roles_table(plan: Plan) -> str:
    """Return the table of all figures with their budgets."""
    rows = []
    for each in plan.rows:
        budget = "none given" if each.budget is None else f"{figure(each.budget)} ({each.held_to})"
        breaks = "-" if each.breaks_at is None else figure(each.breaks_at)
        size = f"{figure(each.size)} {each.of}".strip()
        name = f"{each.line} ({each.run})" if each.run else each.line
        rows.append(
            [
                each.role,
                each.figure,
                size,
                format_value(each),
                budget,
                HOLDS_TEXT[each.holds],
                breaks,
                name,
                each.carried,
            ]
        )
    head = [
        "role",
        "figure",
        "size",
        "at the target",
        "budget",
        "holds",
        "breaks at",
        "slope (run)",
        "carried by",
    ]
    return table(head, rows)


def slopes_table(slopes: Slopes) -> str:
    """Return the table of the measured lines and their fits."""
    rows = []
    for each in slopes.lines:
        fit = each.fit()
        reach = "all" if fit.straight else "-" if fit.straight_to is None else figure(fit.straight_to)
        name = f"{each.name}{', simulated' if each.simulated else ''}"
        rows.append(
            [
                name,
                f"{figure(each.points[0].size)} to {figure(each.largest_size())} {each.size}",
                f"{figure(each.points[0].value)} to {figure(each.points[-1].value)} {each.unit}",
                f"{figure(fit.base)} + {figure(fit.slope)} n",
                "-" if fit.exponent is None else f"{fit.exponent:.2f}",
                f"{fit.residual:.0%}",
                f"{fit.spread:.0%} of {max(len(point.values) for point in each.points)}",
                reach,
            ]
        )
    head = [
        "line",
        "sizes",
        "values",
        "least squares",
        "exponent",
        "off the line",
        "spread of runs",
        "straight to",
    ]
    return table(head, rows)


def extrapolation_table(plan: Plan) -> str:
    """Return the table of figures beyond the measured sizes."""
    rows = [
        [
            each.role,
            each.figure,
            figure(each.size),
            figure(each.size / each.beyond),
            f"{each.beyond:.3g}",
            "bent: more than the line" if each.way == "bent" else "along the line",
        ]
        for each in plan.rows
        if each.beyond > 1
    ]
    return table(["role", "figure", "target's size", "largest measured", "times", "how"], rows)


def bounds_table(plan: Plan) -> str:
    """Return the table of bounds."""
    rows = [
        [
            each.role,
            each.what,
            f"`{each.name}`",
            figure(each.bound),
            figure(each.size),
            HOLDS_TEXT[each.holds],
        ]
        for each in plan.limits
    ]
    return table(["role", "what", "bound", "is", "at the target", "holds"], rows)


def control_table(plan: Plan) -> str:
    """Return the table of what one node spends on control."""
    rows = []
    for each in plan.control:
        holds = HOLDS_TEXT[None if each.value is None else each.value <= each.budget]
        value = figure(None) if each.value is None else f"{figure(each.value)} {each.unit}"
        rows.append([each.kind, "; ".join(each.parts), value, figure(each.budget), holds])
    return table(["of a node", "parts", "together", "budget", "holds"], rows)


def failures_table(plan: Plan) -> str:
    """Return the table of what exceeds its budget or bound, in order."""
    rows = [
        [
            str(at),
            each.role,
            each.what,
            f"{figure(each.at)} of {figure(each.size)}",
            f"{each.share:.1%}",
            f"`{each.why}`" if "." in each.why else each.why,
            each.answer or "**nothing**",
        ]
        for at, each in enumerate(plan.failing, 1)
    ]
    head = ["", "role", "what", "ends at", "of the target", "by", "what carries it at the target"]
    return table(head, rows)


def events_table(plan: Plan) -> str:
    """Return the table of events and their figures."""
    rows = []
    for each in plan.events:
        for at, one in enumerate(each.figures):
            value = figure(None) if one.value is None else f"{figure(one.value)} {one.unit}".strip()
            nodes = figure(each.nodes) if each.nodes else "all"
            rows.append([each.name if not at else "", nodes if not at else "", one.what, value, one.basis])
    return table(["event", "nodes", "figure", "value", "from"], rows)


def machines_table(plan: Plan, target: Target) -> str:
    """Return the table of processes on the machines of each region."""
    rows = []
    for region in range(target.regions):
        here = [each for each in plan.dealt.machines if each.region == region]
        zones = sum(region_of(target, zone) == region for zone in range(target.zones))
        kinds = [
            str(sum(kind == what for each in here for kind, _ in each.runs))
            for what in (VOTER, PUBLISHER, REGION, ZONE)
        ]
        spares = str(sum(each.is_spare() for each in here))
        most = str(max((len(each.runs) for each in here), default=0))
        rows.append([f"r{region}", str(zones), str(len(here)), *kinds, spares, most])
    totals = [str(sum(int(each[at]) for each in rows)) for at in range(1, 8)]
    rows.append(["all", *totals, str(max(int(each[8]) for each in rows))])
    head = ["region", "zones", "machines", "voters", "publishers", "relays of regions", "relays of zones"]
    return table([*head, "spares", "processes on one, at most"], rows)


def losses_table(plan: Plan) -> str:
    """Return the table of what remains after losses."""

    def row(name: str, coverage: Coverage) -> list[str]:
        return [
            name,
            str(coverage.voters),
            HOLDS_TEXT[coverage.majority],
            str(coverage.uncovered),
            str(coverage.regions_uncovered),
            str(coverage.subscribers),
        ]

    rows = [
        row("nothing", plan.dealt.whole),
        row("one machine, the worst", plan.dealt.failed),
        row("one machine and one zone, the worst", plan.dealt.both),
    ]
    head = [
        "lost",
        "voters",
        "majority",
        "zones without a relay of theirs",
        "regions without",
        "on one feeder, most",
    ]
    return table(head, rows)
