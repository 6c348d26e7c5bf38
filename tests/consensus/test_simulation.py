"""Random faults in simulated time: a few seeds of `python -m lichencleat.testkit.simulation.run`."""

import pytest

from lichencleat.testkit.simulation.clockwork import Clockwork, DriftingClock
from lichencleat.testkit.simulation.faults import Fault, shrink
from lichencleat.testkit.simulation.run import run
from lichencleat.testkit.simulation.variants import VARIANTS

CAUGHT = {"AnyLogIsFine": 6, "CutsWhatAgrees": 48, "CommitsUnverified": 47, "AckBeforeFlush": 64}


@pytest.mark.parametrize("first", range(1, 81, 20))
def test_random_faults_break_nothing_and_the_cluster_recovers(first):
    for seed in range(first, first + 20):
        ran = run(seed)
        assert ran.wrong is None, (seed, ran.wrong, list(map(str, ran.faults)))
        assert ran.calls > 200 and ran.calls - ran.answered <= 3  # each client may have a call in progress


def test_slow_disk_with_snapshots_does_not_flood_the_network():
    assert run(1025).wrong is None  # with this seed, the same chunk was once resent endlessly


def test_run_is_reproducible_by_its_seed():
    assert run(7).digest == run(7).digest != run(8).digest


@pytest.mark.parametrize("variant", CAUGHT)
def test_injected_bug_is_caught(variant):
    assert run(CAUGHT[variant], VARIANTS[variant]).wrong is not None


def test_failing_schedule_is_shrunk():
    faults = [Fault(at, 1, "kill", (1,)) for at in range(20)]
    shrunk = shrink(faults, lambda some: {3, 11} <= {each.at for each in some})
    assert [each.at for each in shrunk] == [3, 11]


def test_drifting_clock_reaches_a_time_when_predicted():
    clockwork = Clockwork()
    clock = DriftingClock(clockwork, start=1_000, rate=1.05)
    readings = []
    clockwork.after(clock.until(50_000), lambda: readings.append(clock()))
    clockwork.run(100_000)
    assert 50_000 <= readings[0] <= 50_003
    clock.set_rate(0.5)
    before = clock()
    clockwork.run(102_000)
    assert clock() == before + 1_000
