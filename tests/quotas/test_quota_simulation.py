"""Quotas under random faults in simulated time, with a few seeds."""

import pytest

from lichencleat.testkit.simulation.shares import VARIANTS, run

SEED_THAT_CATCHES = {
    "FromTheAnswer": 3,
    "NoEnd": 1,
    "FloorAtOnce": 716,
    "SaysLess": 2314,
    "Hasty": 5,
    "NoTurns": 59,
    "NoGhost": 67,
    "AtOnce": 1,
    "AnyRenewal": 2,
}


def test_random_runs_keep_the_limit_and_recover():
    for seed in range(1, 61):
        ran = run(seed)
        assert ran.wrong is None, (seed, ran.wrong)
        assert ran.calls > 50
    assert run(5) == run(5)
    assert [run(seed, wild=True).wrong for seed in range(1, 11)] == [None] * 10


@pytest.mark.parametrize("variant", SEED_THAT_CATCHES)
def test_injected_bug_is_caught(variant):
    assert run(SEED_THAT_CATCHES[variant], VARIANTS[variant]).wrong is not None
