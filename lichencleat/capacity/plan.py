"""The plan: each figure at the target beside its budget, what breaks first and at which size; no I/O."""

from __future__ import annotations

import msgspec

from lichencleat.capacity.bounds import BOUNDS, Bound
from lichencleat.capacity.events import Event, events
from lichencleat.capacity.machines import Dealt, deal_out
from lichencleat.capacity.needs import CARRIED, NEEDS, Need
from lichencleat.capacity.slopes import SIZE_MOST, Fit, Line, Slopes
from lichencleat.capacity.target import Target


class Row(msgspec.Struct, frozen=True):
    """One figure. Without `value` it was not measured."""

    role: str
    figure: str
    line: str
    size: float  # of the target
    of: str  # what is counted
    unit: str
    value: float | None
    budget: float | None
    held_to: str
    holds: bool | None  # None: no budget, or no figure
    breaks_at: float | None  # the largest size within the budget; None: none is beyond it
    run: str
    way: str  # how the value came from the line
    beyond: float  # target's size over the largest one measured; 1 or less: nothing is extrapolated
    simulated: bool
    fit: Fit | None
    carried: str
    answer: str
    control: str


class Limit(msgspec.Struct, frozen=True):
    """One bound of the code."""

    role: str
    what: str
    name: str
    bound: float
    size: float
    holds: bool
    answer: str


class Failing(msgspec.Struct, frozen=True):
    """Something that does not hold, by the share of the target's size at which it ends."""

    role: str
    what: str
    share: float
    at: float
    size: float
    why: str  # the budget or bound
    answer: str  # what carries it instead; empty: nothing


class Sum(msgspec.Struct, frozen=True):
    """What each node spends on control, all parts of the design together."""

    kind: str
    value: float | None  # None: a part was not measured
    budget: float
    unit: str
    parts: list[str]


class Plan(msgspec.Struct, frozen=True):
    rows: list[Row]
    limits: list[Limit]
    failing: list[Failing]
    control: list[Sum]
    events: list[Event]
    dealt: Dealt


def made(slopes: Slopes, target: Target) -> Plan:
    rows = [row(each, slopes.line(each.line), target) for each in (*NEEDS, *CARRIED)]
    limits = [limit(each, target) for each in BOUNDS]
    return Plan(
        rows,
        limits,
        in_order(rows, limits),
        [added_up(kind, rows, target) for kind in ("core", "memory", "bytes")],
        events(slopes, target),
        deal_out(target),
    )


def row(need: Need, line: Line | None, target: Target) -> Row:
    size = float(need.size(target))
    budget = need.budget.most(target) if need.budget is not None else None
    held_to = need.budget.name if need.budget is not None else "none given"
    told = (need.role, need.figure, need.line, size)
    end = (need.carried, need.answer, need.control)
    if line is None:
        return Row(*told, "", need.unit, None, budget, held_to, None, None, "", "", 0.0, False, None, *end)
    value = at(need, line, target, size)
    holds = None if budget is None else value <= budget
    breaks = None if budget is None else largest_within(need, line, target, budget)
    beyond = size / line.largest()
    way = (line.run, line.way(size), beyond, line.simulated, line.fit())
    return Row(*told, line.size, need.unit, value, budget, held_to, holds, breaks, *way, *end)


def at(need: Need, line: Line, target: Target, size: float) -> float:
    least = line.points[0].value if need.above_least else 0.0
    return max(0.0, line.at(size) - least) * need.times(target, size)


def largest_within(need: Need, line: Line, target: Target, budget: float) -> float | None:
    """The size up to which the value is within the budget; None: it always is. By halving: it only grows."""
    if at(need, line, target, SIZE_MOST) <= budget:
        return None
    low, high = 0.0, SIZE_MOST
    while high - low > max(0.01, low * 1e-6):
        middle = (low + high) / 2
        if at(need, line, target, middle) <= budget:
            low = middle
        else:
            high = middle
    return low


def limit(bound: Bound, target: Target) -> Limit:
    size = float(bound.size(target))
    most = float(target.node_sockets if bound.bound is None else bound.bound)
    return Limit(bound.role, bound.what, bound.name, most, size, size <= most, bound.answer)


def in_order(rows: list[Row], limits: list[Limit]) -> list[Failing]:
    """What does not hold; what ends at the smallest share of the target first."""
    found = [
        Failing(
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
        Failing(each.role, each.what, each.bound / each.size, each.bound, each.size, each.name, each.answer)
        for each in limits
        if not each.holds
    ]
    return sorted(found, key=lambda each: (each.share, each.role, each.what))


BUDGETS = {
    "core": ("core_share", "of a core"),
    "memory": ("memory_mb", "MB"),
    "bytes": ("bytes_per_s", "bytes/s"),
}


def added_up(kind: str, rows: list[Row], target: Target) -> Sum:
    name, unit = BUDGETS[kind]
    parts = [each for each in rows if each.control == kind]
    values = [each.value for each in parts]
    whole = None if not values or None in values else sum(each for each in values if each is not None)
    return Sum(kind, whole, getattr(target.control, name), unit, [each.figure for each in parts])
