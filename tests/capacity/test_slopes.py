"""Fits and what they say beyond the measured sizes; the file of slopes and its mistakes."""

import math

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lichencleat.capacity.slopes import (
    FORMAT,
    Line,
    Point,
    Ran,
    Slopes,
    WrongSlopesError,
    decode,
    fit,
)

FIXED = settings(derandomize=True, deadline=None, max_examples=60)


def line(*pairs, **more):
    points = [Point(float(size), [float(value)]) for size, value in pairs]
    return Line("role.figure", "things", "ms", "run", points, **more)


def slopes(*lines):
    ran = Ran("run", "how", 1.0, 0.0, 0.0, 1, "abc")
    return Slopes(FORMAT, 8, 1_000, "3.11", False, [ran], list(lines))


@FIXED
@given(st.floats(0.5, 100), st.floats(0.5, 100), st.floats(1, 1e4))
def test_a_line_is_found_and_goes_on(base, slope, beyond):
    made = line(*((size, base + slope * size) for size in (10, 20, 40, 80)))
    found = made.fit()
    assert found.base == pytest.approx(base, rel=1e-3, abs=1e-6)
    assert found.slope == pytest.approx(slope, rel=1e-6)
    assert found.straight and found.residual < 1e-6
    assert made.way(80 + beyond) == "line"
    assert made.at(80 + beyond) == pytest.approx(base + slope * (80 + beyond), rel=1e-6)


@FIXED
@given(st.floats(1.3, 3.0), st.floats(0.01, 10))
def test_a_power_law_is_seen_as_no_line_and_not_played_down(exponent, scale):
    made = line(*((size, scale * size**exponent) for size in (100, 400, 1_600, 6_400)))
    found = made.fit()
    assert found.exponent == pytest.approx(exponent, rel=1e-6)
    assert not found.straight
    assert made.way(64_000) == "bent"
    assert made.at(64_000) == pytest.approx(scale * 64_000**exponent, rel=1e-6)


def test_points_that_bend_on_top_of_a_base_go_on_at_least_as_steeply():
    made = line((1, 100), (10, 100), (100, 110), (1_000, 400))
    steep = (400 - 110) / 900
    assert made.way(10_000) == "bent"
    assert made.at(10_000) >= 400 + steep * 9_000 - 1e-9


def test_points_that_flatten_go_on_along_the_line_and_never_under_the_last():
    made = line((1, 1), (2, 2), (4, 4), (8, 4.2), (16, 4.3))
    assert not made.fit().straight and made.way(32) == "line"
    assert made.at(17) >= 4.3


def test_where_it_stops_being_a_line():
    assert fit(line((1, 1), (2, 2), (4, 4), (8, 16), (16, 17)).points).straight_to == 4
    assert fit(line((1, 1), (2, 2), (4, 40), (8, 80)).points).straight_to == 2
    assert fit(line((1, 1), (2, 2), (4, 4), (8, 8)).points).straight


def test_within_what_was_measured_it_is_what_was_measured():
    made = line((10, 1), (20, 5), (40, 6))
    assert (made.at(10), made.at(20), made.at(30)) == (1, 5, 5.5)
    assert made.way(20) == "measured" and made.way(30) == "between"
    assert made.at(5) == 0  # along the first two, and no less than nothing


def test_runs_of_a_point_their_median_and_spread():
    points = [Point(1.0, [1.0, 5.0, 2.0]), Point(2.0, [4.0, 4.0, 4.0])]
    assert points[0].value == 2.0
    assert fit(points).spread == 2.0


def test_a_file_is_read_as_it_was_written():
    made = slopes(line((1, 1), (2, 2)))
    assert decode(msgspec.json.encode(made)) == made


@pytest.mark.parametrize(
    "wrong, said",
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
def test_a_file_that_does_not_fit_is_told_in_a_line(wrong, said):
    with pytest.raises(WrongSlopesError, match=said):
        decode(msgspec.json.encode(wrong()))


def test_what_is_no_figure_is_none_of_a_file():
    data = msgspec.json.encode(slopes(line((1, 1), (2, 2)))).replace(b"[2.0]", b"[1e999]")
    with pytest.raises(WrongSlopesError):
        decode(data)
    with pytest.raises(WrongSlopesError):
        decode(b"{")
    assert not math.isfinite(float("1e999"))
