"""What was measured of each role at several sizes, and what a line through it says of other sizes; no I/O.

A figure beyond the sizes that were measured is an extrapolation: along the line through all measured points;
where these bend upwards, from the last two on, by a line or a power law, whichever says more. Noise that
bends upwards is taken for a bend: the plan errs on that side.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence

import msgspec

from lichencleat.decode_errors import UNDECODABLE

FORMAT = 1  # of the file
LINES_MOST = 256  # of a file: it has some fifty
POINTS_MOST = 64  # of a line
RUNS_MOST = 64  # of a point
STRAY = 0.2  # of what the points before foretell: one that is further off ends the line
LEAST_POINTS = 2  # that a line can be laid through
BENT = 1.25  # times the slope before it: a last stretch that is steeper, of points on no line, bends upwards
SIZE_MOST = 1e12  # up to which a size that breaks is looked for


class Point(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    size: float
    values: list[float]  # one a run

    @property
    def value(self) -> float:
        return statistics.median(self.values)


class Fit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    base: float  # value at size 0
    slope: float  # value for each more
    exponent: float | None  # of a power law through all points above 0; None: fewer than two such
    residual: float  # highest distance of a point from the line, of the highest value
    spread: float  # highest distance between two runs of a point, of its median
    straight_to: float | None  # the largest size up to which each point is foretold by those before it
    straight: bool  # all of them are


class Line(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One figure of one role by one size, as it was measured."""

    name: str  # role and figure: "member.cpu_us"
    size: str  # what was made larger: "members"
    unit: str  # of the values: "µs a second"
    run: str  # the measurement that gave it: "members"
    points: list[Point]
    simulated: bool = False  # in simulated time: the processor's time is real, no sockets
    note: str = ""

    def fit(self) -> Fit:
        return fit(self.points)

    def largest(self) -> float:
        return self.points[-1].size

    def at(self, size: float) -> float:
        """The value at that size: measured, between measured ones, or extrapolated."""
        points = self.points
        if size <= points[-1].size:
            return between(points, size)
        if self.bends():
            return beyond(points[-2:], size)
        found = self.fit()
        straight = max(found.base + found.slope * size, 0.0)
        return max(straight, points[-1].value) if found.slope >= 0 else straight

    def way(self, size: float) -> str:
        """How `at` came by that value."""
        if size <= self.largest():
            return "measured" if any(each.size == size for each in self.points) else "between"
        return "bent" if self.bends() else "line"

    def bends(self) -> bool:
        """Are they on no line, and the last stretch is steeper than all before it?"""
        if len(self.points) < 3 or self.fit().straight:
            return False
        first, one, other = self.points[0], *self.points[-2:]
        before = (one.value - first.value) / (one.size - first.size)
        return (other.value - one.value) / (other.size - one.size) > BENT * max(before, 0.0)


class Ran(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One measurement, and what went on beside it."""

    name: str
    how: str
    seconds: float
    load_before: float  # processes that wanted a core, on the average of a minute
    load_after: float
    seed: int
    commit: str


class Slopes(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    format: int
    cores: int
    memory_mb: int
    python: str
    quick: bool  # a small run for CI: its figures say nothing
    runs: list[Ran]
    lines: list[Line]

    def line(self, name: str) -> Line | None:
        return next((each for each in self.lines if each.name == name), None)


class WrongSlopesError(ValueError):
    """What is wrong with the file's content, in one line."""


def decode(data: bytes) -> Slopes:
    """Raises WrongSlopesError."""
    try:
        slopes = msgspec.json.decode(data, type=Slopes)
    except UNDECODABLE as wrong:
        raise WrongSlopesError(f"no file of slopes: {wrong}") from wrong
    if slopes.format != FORMAT:
        raise WrongSlopesError(f"format {slopes.format}; this program reads {FORMAT}")
    if len(slopes.lines) > LINES_MOST:
        raise WrongSlopesError(f"{len(slopes.lines)} lines; {LINES_MOST} at most")
    names = [each.name for each in slopes.lines]
    twice = next((each for each in names if names.count(each) > 1), None)
    if twice is not None:
        raise WrongSlopesError(f"{twice}: stands twice")
    runs = {each.name for each in slopes.runs}
    for each in slopes.lines:
        check(each, runs)
    return slopes


def check(line: Line, runs: set[str]) -> None:
    points = line.points
    if line.run not in runs:
        raise WrongSlopesError(f"{line.name}: its run {line.run!r} is not in the file")
    if not LEAST_POINTS <= len(points) <= POINTS_MOST:
        raise WrongSlopesError(f"{line.name}: {len(points)} points; {LEAST_POINTS} to {POINTS_MOST}")
    if any(one.size >= other.size for one, other in zip(points, points[1:], strict=False)):
        raise WrongSlopesError(f"{line.name}: its sizes do not grow")
    for each in points:
        if not 1 <= len(each.values) <= RUNS_MOST:
            raise WrongSlopesError(f"{line.name}: {len(each.values)} runs at {each.size:g}")
        if each.size < 0 or not all(math.isfinite(value) for value in (each.size, *each.values)):
            raise WrongSlopesError(f"{line.name}: a figure out of range at {each.size:g}")


# -- fits --------------------------------------------------------------------------------------------------


def least_squares(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Base and slope of the line that is nearest to them all."""
    count = len(points)
    x = sum(each[0] for each in points) / count
    y = sum(each[1] for each in points) / count
    wide = sum((each[0] - x) ** 2 for each in points)
    slope = sum((each[0] - x) * (each[1] - y) for each in points) / wide if wide else 0.0
    return y - slope * x, slope


def fit(points: Sequence[Point]) -> Fit:
    pairs = [(each.size, each.value) for each in points]
    base, slope = least_squares(pairs)
    highest = max((abs(value) for _, value in pairs), default=0.0) or 1.0
    residual = max(abs(value - base - slope * size) for size, value in pairs) / highest
    logs = [(math.log(size), math.log(value)) for size, value in pairs if size > 0 and value > 0]
    exponent = least_squares(logs)[1] if len(logs) >= LEAST_POINTS else None
    spread = max(
        (max(each.values) - min(each.values)) / abs(each.value) if each.value else 0.0 for each in points
    )
    reach = straight_reach(pairs)
    straight = reach == pairs[-1][0]
    return Fit(base, slope, exponent, residual, spread, None if reach == pairs[0][0] else reach, straight)


def straight_reach(pairs: Sequence[tuple[float, float]]) -> float:
    """How far each point is foretold by the line through those before it, within `STRAY`."""
    reach = pairs[min(1, len(pairs) - 1)][0]
    for at in range(2, len(pairs)):
        base, slope = least_squares(pairs[:at])
        size, value = pairs[at]
        foretold = base + slope * size
        if abs(value - foretold) > STRAY * max(abs(foretold), abs(value)):
            return reach
        reach = size
    return reach


def between(points: Sequence[Point], size: float) -> float:
    """Straight from one measured point to the next; under the first one along the first two."""
    after = next(at for at, each in enumerate(points) if size <= each.size)
    one, other = points[max(0, after - 1)], points[max(1, after)]
    share = (size - one.size) / (other.size - one.size)
    return max(0.0, one.value + share * (other.value - one.value))


def beyond(points: Sequence[Point], size: float) -> float:
    """After the last of two points: along both, or by the power law through both, whichever is more."""
    one, other = points
    straight = other.value + (other.value - one.value) / (other.size - one.size) * (size - other.size)
    if one.size <= 0 or one.value <= 0:
        return straight
    exponent = math.log(other.value / one.value) / math.log(other.size / one.size)
    return max(straight, other.value * (size / other.size) ** exponent)
