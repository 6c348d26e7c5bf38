"""Drawn faults, a few seeds: the full length is `python -m lichencleat.testkit.simulation.run`."""

import pytest

from lichencleat.testkit.simulation.clockwork import Clockwork, DriftingClock
from lichencleat.testkit.simulation.faults import Fault, shrink
from lichencleat.testkit.simulation.run import run
from lichencleat.testkit.simulation.variants import VARIANTS

CAUGHT = {"AnyLogIsFine": 6, "CutsWhatAgrees": 48, "CommitsUnverified": 47, "AckBeforeFlush": 64}


@pytest.mark.parametrize("first", range(1, 81, 20))
def test_drawn_runs_break_nothing_and_get_well_again(first):
    for seed in range(first, first + 20):
        ran = run(seed)
        assert ran.wrong is None, (seed, ran.wrong, list(map(str, ran.faults)))
        assert ran.calls > 200 and ran.calls - ran.answered <= 3  # one a client may be under way


def test_a_slow_disk_and_snapshots_make_no_storm_of_messages():
    assert run(1025).wrong is None  # it sent the same piece again without end


def test_a_seed_gives_the_same_run_to_the_byte():
    assert run(7).digest == run(7).digest != run(8).digest


@pytest.mark.parametrize("variant", CAUGHT)
def test_a_planted_mistake_is_caught(variant):
    assert run(CAUGHT[variant], VARIANTS[variant]).wrong is not None


def test_a_failing_schedule_is_made_short():
    faults = [Fault(at, 1, "kill", (1,)) for at in range(20)]
    fewer = shrink(faults, lambda some: {3, 11} <= {each.at for each in some})
    assert [each.at for each in fewer] == [3, 11]


def test_a_drifting_clock_shows_its_moments_when_it_says():
    clockwork = Clockwork()
    clock = DriftingClock(clockwork, start=1_000, rate=1.05)
    shown = []
    clockwork.after(clock.until(50_000), lambda: shown.append(clock()))
    clockwork.run(100_000)
    assert 50_000 <= shown[0] <= 50_003
    clock.runs(0.5)
    before = clock()
    clockwork.run(102_000)
    assert clock() == before + 1_000
