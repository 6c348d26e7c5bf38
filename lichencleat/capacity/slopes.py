"""Figures of each role, measured at several sizes, and their values at other sizes. No I/O.

A value beyond the measured sizes is extrapolated along the line fitted to all points. If the points bend
upwards, the value is extrapolated from the last two points, along a line or a power law, whichever gives
more. Noise that looks like an upward bend is treated as one, so the plan errs on the side of higher costs.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence

import msgspec

from lichencleat.decode_errors import UNDECODABLE

FORMAT = 1  # version of the file format
MAX_LINES = 256  # maximum number of `Line` entries in a file; usual files have about fifty
MAX_POINTS = 64  # maximum number of measured points in a `Line`
MAX_RUNS = 64  # maximum number of measurement runs, and so of values, in a `Point`
# a point ends the straight part if it is further from its prediction than this fraction of the larger value
MAX_DEVIATION = 0.2
MIN_POINTS = 2  # points needed to fit a line
# if points fit no line and the last stretch is steeper than the slope before it by this factor, they bend
# upwards
BEND_FACTOR = 1.25
MAX_SIZE = 1e12  # largest size at which a breaking point is searched


class Point(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The values measured at one size, one from each run."""

    size: float
    values: list[float]  # one from each run

    @property
    def value(self) -> float:
        """The median of the values."""
        return statistics.median(self.values)


class Fit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A line fitted to the points, and how well the points match it."""

    base: float  # value at size 0
    slope: float  # increase of the value per unit of size
    # exponent of the power law through all points above 0; None: fewer than two such points
    exponent: float | None
    residual: float  # largest distance of a point from the line, as a fraction of the largest value
    # largest difference between the values that the runs measured at one size, as a fraction of their median
    spread: float
    straight_to: float | None  # largest size up to which the previous points predict each point
    straight: bool  # whether the previous points predict every point


class Line(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One figure of one role, measured at several sizes."""

    name: str  # role and figure, for example "member.cpu_us"
    size: str  # what the size counts, for example "members"
    unit: str  # unit of the values, for example "µs a second"
    run: str  # name of the measurement, for example "members"
    points: list[Point]
    simulated: bool = False  # measured in simulated time, with real processor time and without sockets
    note: str = ""

    def fit(self) -> Fit:
        """Fit a line to the points."""
        return fit(self.points)

    def largest_size(self) -> float:
        """Return the largest measured size."""
        return self.points[-1].size

    def value_at(self, size: float) -> float:
        """Return the value at a size: measured, interpolated or extrapolated."""
        points = self.points
        if size <= points[-1].size:
            return interpolate(points, size)
        if self.is_bent():
            return extrapolate(points[-2:], size)
        found = self.fit()
        straight = max(found.base + found.slope * size, 0.0)
        return max(straight, points[-1].value) if found.slope >= 0 else straight

    def derivation(self, size: float) -> str:
        """Return how `value_at` derives the value at a size.

        Returns:
            "measured" if the size was measured, "between" if the value is interpolated, "line" if it is
            extrapolated along the fitted line, "bent" if it is extrapolated from the last two points because
            the points bend upwards.
        """
        if size <= self.largest_size():
            return "measured" if any(each.size == size for each in self.points) else "between"
        return "bent" if self.is_bent() else "line"

    def is_bent(self) -> bool:
        """Return whether the points fit no line and bend upwards at the end, by more than `BEND_FACTOR`."""
        if len(self.points) < 3 or self.fit().straight:
            return False
        first, one, other = self.points[0], *self.points[-2:]
        before = (one.value - first.value) / (one.size - first.size)
        return (other.value - one.value) / (other.size - one.size) > BEND_FACTOR * max(before, 0.0)


class Run(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One measurement and its circumstances."""

    name: str
    how: str
    seconds: float
    load_before: float  # load average of the last minute before the run
    load_after: float
    seed: int
    commit: str


class Slopes(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The content of a slopes file."""

    format: int
    cores: int
    memory_mb: int
    python: str
    quick: bool  # a small run for CI, whose values are meaningless
    runs: list[Run]
    lines: list[Line]

    def line(self, name: str) -> Line | None:
        """Return the line with a name, or None if it was not measured."""
        return next((each for each in self.lines if each.name == name), None)


class InvalidSlopesError(ValueError):
    """The content of a slopes file is invalid; the message is one line."""


def decode(data: bytes) -> Slopes:
    """Decode and check the content of a slopes file. Raises InvalidSlopesError."""
    try:
        slopes = msgspec.json.decode(data, type=Slopes)
    except UNDECODABLE as wrong:
        raise InvalidSlopesError(f"no file of slopes: {wrong}") from wrong
    if slopes.format != FORMAT:
        raise InvalidSlopesError(f"format {slopes.format}; this program reads {FORMAT}")
    if len(slopes.lines) > MAX_LINES:
        raise InvalidSlopesError(f"{len(slopes.lines)} lines; at most {MAX_LINES} are allowed")
    names = [each.name for each in slopes.lines]
    twice = next((each for each in names if names.count(each) > 1), None)
    if twice is not None:
        raise InvalidSlopesError(f"{twice}: stands twice")
    runs = {each.name for each in slopes.runs}
    for each in slopes.lines:
        check_line(each, runs)
    return slopes


def check_line(line: Line, runs: set[str]) -> None:
    """Check a line. Raises InvalidSlopesError if its run is missing, or its points are too few, too many, out
    of order or out of range.
    """
    points = line.points
    if line.run not in runs:
        raise InvalidSlopesError(f"{line.name}: run {line.run!r} is not in the file")
    if not MIN_POINTS <= len(points) <= MAX_POINTS:
        raise InvalidSlopesError(
            f"{line.name}: {len(points)} points; {MIN_POINTS} to {MAX_POINTS} are allowed"
        )
    if any(one.size >= other.size for one, other in zip(points, points[1:], strict=False)):
        raise InvalidSlopesError(f"{line.name}: sizes do not grow from point to point")
    for each in points:
        if not 1 <= len(each.values) <= MAX_RUNS:
            raise InvalidSlopesError(
                f"{line.name}: {len(each.values)} runs at size {each.size:g}; 1 to {MAX_RUNS} are allowed"
            )
        if each.size < 0 or not all(math.isfinite(value) for value in (each.size, *each.values)):
            raise InvalidSlopesError(f"{line.name}: a value is out of range at size {each.size:g}")


# -- fits --------------------------------------------------------------------------------------------------


def least_squares(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return the base and slope of the line with the least sum of squared distances to the points."""
    count = len(points)
    x = sum(each[0] for each in points) / count
    y = sum(each[1] for each in points) / count
    wide = sum((each[0] - x) ** 2 for each in points)
    slope = sum((each[0] - x) * (each[1] - y) for each in points) / wide if wide else 0.0
    return y - slope * x, slope


def fit(points: Sequence[Point]) -> Fit:
    """Fit a line and a power law to points, and compute how far the points are off."""
    pairs = [(each.size, each.value) for each in points]
    base, slope = least_squares(pairs)
    highest = max((abs(value) for _, value in pairs), default=0.0) or 1.0
    residual = max(abs(value - base - slope * size) for size, value in pairs) / highest
    logs = [(math.log(size), math.log(value)) for size, value in pairs if size > 0 and value > 0]
    exponent = least_squares(logs)[1] if len(logs) >= MIN_POINTS else None
    spread = max(
        (max(each.values) - min(each.values)) / abs(each.value) if each.value else 0.0 for each in points
    )
    reach = straight_reach(pairs)
    straight = reach == pairs[-1][0]
    return Fit(base, slope, exponent, residual, spread, None if reach == pairs[0][0] else reach, straight)


def straight_reach(pairs: Sequence[tuple[float, float]]) -> float:
    """Return the largest size up to which the line through the previous points predicts each point within
    MAX_DEVIATION.
    """
    reach = pairs[min(1, len(pairs) - 1)][0]
    for at in range(2, len(pairs)):
        base, slope = least_squares(pairs[:at])
        size, value = pairs[at]
        foretold = base + slope * size
        if abs(value - foretold) > MAX_DEVIATION * max(abs(foretold), abs(value)):
            return reach
        reach = size
    return reach


def interpolate(points: Sequence[Point], size: float) -> float:
    """Interpolate linearly between neighbouring points. Below the first point, extrapolate from the first
    two.
    """
    after = next(at for at, each in enumerate(points) if size <= each.size)
    one, other = points[max(0, after - 1)], points[max(1, after)]
    share = (size - one.size) / (other.size - one.size)
    return max(0.0, one.value + share * (other.value - one.value))


def extrapolate(points: Sequence[Point], size: float) -> float:
    """Extrapolate from two points, linearly or by the power law through both, whichever gives more."""
    one, other = points
    straight = other.value + (other.value - one.value) / (other.size - one.size) * (size - other.size)
    if one.size <= 0 or one.value <= 0:
        return straight
    exponent = math.log(other.value / one.value) / math.log(other.size / one.size)
    return max(straight, other.value * (size / other.size) ** exponent)
