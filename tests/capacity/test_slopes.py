"""Fits, values beyond the measured sizes, and invalid slopes files."""

import math

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lichencleat.capacity.slopes import (
    FORMAT,
    InvalidSlopesError,
    Line,
    Point,
    Run,
    Slopes,
    decode,
    fit,
)

FIXED = settings(derandomize=True, deadline=None, max_examples=60)


def line(*pairs, **more):
    points = [Point(float(size), [float(value)]) for size, value in pairs]
    return Line("role.figure", "things", "ms", "run", points, **more)


def slopes(*lines):
    ran = Run("run", "how", 1.0, 0.0, 0.0, 1, "abc")
    return Slopes(FORMAT, 8, 1_000, "3.11", False, [ran], list(lines))


@FIXED
@given(st.floats(0.5, 100), st.floats(0.5, 100), st.floats(1, 1e4))
def test_a_straight_line_is_fitted_and_extrapolated(base, slope, beyond):
    made = line(*((size, base + slope * size) for size in (10, 20, 40, 80)))
    found = made.fit()
    assert found.base == pytest.approx(base, rel=1e-3, abs=1e-6)
    assert found.slope == pytest.approx(slope, rel=1e-6)
    assert found.straight and found.residual < 1e-6
    assert made.derivation(80 + beyond) == "line"
    assert made.value_at(80 + beyond) == pytest.approx(base + slope * (80 + beyond), rel=1e-6)


@FIXED
@given(st.floats(1.3, 3.0), st.floats(0.01, 10))
def test_a_power_law_is_not_straight_and_is_not_underestimated(exponent, scale):
    made = line(*((size, scale * size**exponent) for size in (100, 400, 1_600, 6_400)))
    found = made.fit()
    assert found.exponent == pytest.approx(exponent, rel=1e-6)
    assert not found.straight
    assert made.derivation(64_000) == "bent"
    assert made.value_at(64_000) == pytest.approx(scale * 64_000**exponent, rel=1e-6)


def test_points_that_bend_upwards_are_extrapolated_at_least_as_steeply():
    made = line((1, 100), (10, 100), (100, 110), (1_000, 400))
    steep = (400 - 110) / 900
    assert made.derivation(10_000) == "bent"
    assert made.value_at(10_000) >= 400 + steep * 9_000 - 1e-9


def test_points_that_flatten_are_extrapolated_along_the_line_but_not_below_the_last():
    made = line((1, 1), (2, 2), (4, 4), (8, 4.2), (16, 4.3))
    assert not made.fit().straight and made.derivation(32) == "line"
    assert made.value_at(17) >= 4.3


def test_the_straight_part_ends_at_the_first_deviation():
    assert fit(line((1, 1), (2, 2), (4, 4), (8, 16), (16, 17)).points).straight_to == 4
    assert fit(line((1, 1), (2, 2), (4, 40), (8, 80)).points).straight_to == 2
    assert fit(line((1, 1), (2, 2), (4, 4), (8, 8)).points).straight


def test_values_between_measured_sizes_are_interpolated():
    made = line((10, 1), (20, 5), (40, 6))
    assert (made.value_at(10), made.value_at(20), made.value_at(30)) == (1, 5, 5.5)
    assert made.derivation(20) == "measured" and made.derivation(30) == "between"
    assert made.value_at(5) == 0  # extrapolated from the first two points, but not below 0


def test_a_point_has_the_median_and_spread_of_its_runs():
    points = [Point(1.0, [1.0, 5.0, 2.0]), Point(2.0, [4.0, 4.0, 4.0])]
    assert points[0].value == 2.0
    assert fit(points).spread == 2.0


def test_a_slopes_file_is_decoded_as_it_was_encoded():
    made = slopes(line((1, 1), (2, 2)))
    assert decode(msgspec.json.encode(made)) == made


@pytest.mark.parametrize(
    "wrong, message",
    [
        (lambda: slopes(line((1, 1))), "1 points"),
        (lambda: slopes(line((2, 1), (1, 2))), "do not grow"),
        (lambda: slopes(line((1, 1), (1, 2))), "do not grow"),
        (lambda: slopes(line((-1, 1), (1, 2))), "out of range"),
        (lambda: slopes(line((1, 1), (2, 2)), line((1, 1), (2, 2))), "stands twice"),
        (lambda: slopes(Line("a", "b", "c", "other", line((1, 1), (2, 2)).points)), "is not in the file"),
        (lambda: slopes(Line("a", "b", "c", "run", [Point(1.0, []), Point(2.0, [1.0])])), "0 runs"),
        (lambda: msgspec.structs.replace(slopes(), format=FORMAT + 1), "this program reads"),
    ],
)
def test_an_invalid_slopes_file_is_rejected(wrong, message):
    with pytest.raises(InvalidSlopesError, match=message):
        decode(msgspec.json.encode(wrong()))


def test_values_that_are_not_finite_are_rejected():
    data = msgspec.json.encode(slopes(line((1, 1), (2, 2)))).replace(b"[2.0]", b"[1e999]")
    with pytest.raises(InvalidSlopesError):
        decode(data)
    with pytest.raises(InvalidSlopesError):
        decode(b"{")
    assert not math.isfinite(float("1e999"))
