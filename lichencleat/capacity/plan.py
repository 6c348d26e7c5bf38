"""The plan: each figure at the target beside its budget, what breaks first and at which size. No I/O."""

from __future__ import annotations

import msgspec

from lichencleat.capacity.bounds import BOUNDS, Bound
from lichencleat.capacity.events import Event, list_events
from lichencleat.capacity.machines import Assignment, assign_processes
from lichencleat.capacity.needs import BASELINE_METRICS, DISTRIBUTION_METRICS, Metric
from lichencleat.capacity.slopes import MAX_SIZE, Fit, Line, Slopes
from lichencleat.capacity.target import Target


class Row(msgspec.Struct, frozen=True):
    """One figure at the target. `value` is None if the figure was not measured."""

    role: str
    figure: str
    line: str
    size: float  # size at the target
    of: str  # what the size counts
    unit: str
    value: float | None
    budget: float | None
    held_to: str
    holds: bool | None  # None: no budget or no value
    breaks_at: float | None  # largest size within the budget; None: every size is
    run: str
    way: str  # how the value was derived from the line: see Line.derivation
    beyond: float  # target's size divided by the largest measured one; above 1, the value is extrapolated
    simulated: bool
    fit: Fit | None
    carried: str
    answer: str
    control: str


class Limit(msgspec.Struct, frozen=True):
    """One bound of the code or the target, and the size at the target."""

    role: str
    what: str
    name: str
    bound: float
    size: float
    holds: bool
    answer: str


class Failure(msgspec.Struct, frozen=True):
    """A figure over its budget or a size over its bound; `share` is the size at which this starts, as a
    fraction of the target's size.
    """

    role: str
    what: str
    share: float
    at: float
    size: float
    why: str  # name of the budget or bound
    answer: str  # mechanism that replaces it at the target; empty: none


class ControlSum(msgspec.Struct, frozen=True):
    """What one node spends on control: the sum of all parts."""

    kind: str
    value: float | None  # None: a part was not measured
    budget: float
    unit: str
    parts: list[str]


class Plan(msgspec.Struct, frozen=True):
    """The whole plan, as `capacity plan --json` prints it."""

    rows: list[Row]
    limits: list[Limit]
    failing: list[Failure]
    control: list[ControlSum]
    events: list[Event]
    dealt: Assignment


def make_plan(slopes: Slopes, target: Target) -> Plan:
    """Compute the plan of a target from measured slopes."""
    rows = [
        make_row(each, slopes.line(each.line), target) for each in (*BASELINE_METRICS, *DISTRIBUTION_METRICS)
    ]
    limits = [make_limit(each, target) for each in BOUNDS]
    return Plan(
        rows,
        limits,
        order_failures(rows, limits),
        [sum_control(kind, rows, target) for kind in ("core", "memory", "bytes")],
        list_events(slopes, target),
        assign_processes(target),
    )


def make_row(metric: Metric, line: Line | None, target: Target) -> Row:
    """Return the row of a metric. `line` is None if the metric was not measured."""
    size = float(metric.size(target))
    budget = metric.budget.limit(target) if metric.budget is not None else None
    held_to = metric.budget.name if metric.budget is not None else "none given"
    subject = (metric.role, metric.figure, metric.line, size)
    end = (metric.carried, metric.answer, metric.control)
    if line is None:
        return Row(
            *subject, "", metric.unit, None, budget, held_to, None, None, "", "", 0.0, False, None, *end
        )
    value = metric_value(metric, line, target, size)
    holds = None if budget is None else value <= budget
    breaks = None if budget is None else largest_within(metric, line, target, budget)
    beyond = size / line.largest_size()
    way = (line.run, line.derivation(size), beyond, line.simulated, line.fit())
    return Row(*subject, line.size, metric.unit, value, budget, held_to, holds, breaks, *way, *end)


def metric_value(metric: Metric, line: Line, target: Target, size: float) -> float:
    """Return the value of a metric at a size."""
    least = line.points[0].value if metric.subtract_smallest else 0.0
    return max(0.0, line.value_at(size) - least) * metric.factor(target, size)


def largest_within(metric: Metric, line: Line, target: Target, budget: float) -> float | None:
    """Return the size up to which a metric is within its budget, or None if it always is. Bisects, as the
    value never falls with the size.
    """
    if metric_value(metric, line, target, MAX_SIZE) <= budget:
        return None
    low, high = 0.0, MAX_SIZE
    while high - low > max(0.01, low * 1e-6):
        middle = (low + high) / 2
        if metric_value(metric, line, target, middle) <= budget:
            low = middle
        else:
            high = middle
    return low


def make_limit(bound: Bound, target: Target) -> Limit:
    """Compare a bound with the size at the target."""
    size = float(bound.size(target))
    most = float(target.node_sockets if bound.bound is None else bound.bound)
    return Limit(bound.role, bound.what, bound.name, most, size, size <= most, bound.answer)


def order_failures(rows: list[Row], limits: list[Limit]) -> list[Failure]:
    """Return what exceeds its budget or bound, smallest share of the target first."""
    found = [
        Failure(
            each.role,
            each.figure,
            (each.breaks_at or 0.0) / each.size,
            each.breaks_at or 0.0,
            each.size,
            each.held_to,
            each.answer,
        )
        for each in rows
        if each.holds is False
    ]
    found += [
        Failure(each.role, each.what, each.bound / each.size, each.bound, each.size, each.name, each.answer)
        for each in limits
        if not each.holds
    ]
    return sorted(found, key=lambda each: (each.share, each.role, each.what))


CONTROL_BUDGETS = {
    "core": ("core_share", "of a core"),
    "memory": ("memory_mb", "MB"),
    "bytes": ("bytes_per_s", "bytes/s"),
}


def sum_control(kind: str, rows: list[Row], target: Target) -> ControlSum:
    """Return the sum of what one node spends on control. `kind` is "core", "memory" or "bytes"."""
    name, unit = CONTROL_BUDGETS[kind]
    parts = [each for each in rows if each.control == kind]
    values = [each.value for each in parts]
    whole = None if not values or None in values else sum(each for each in values if each is not None)
    return ControlSum(kind, whole, getattr(target.control, name), unit, [each.figure for each in parts])
