"""Leases under random faults in simulated time, with a few seeds.

The full simulation is `python -m lichencleat.testkit.simulation.owners`.
"""

import pytest

from lichencleat.testkit.checkers.owners import OwnersWatch
from lichencleat.testkit.simulation.owners import VARIANTS, run

SEED_THAT_CATCHES = {
    "FromTheAnswer": 165,
    "NoDrift": 28,
    "BeginsAgain": 1,
    "Impatient": 4,
    "OldCount": 11,
    "SameToken": 1,
    "NoFence": 1,
}


def test_random_runs_never_have_two_holders_and_recover():
    for seed in range(1, 41):
        ran = run(seed)
        assert ran.wrong is None, (seed, ran.wrong)
        assert ran.acts > 500


def test_fencing_tokens_stay_correct_with_clocks_beyond_the_drift():
    assert [run(seed, wild=True).wrong for seed in range(1, 21)] == [None] * 20


def test_run_is_reproducible_from_its_seed():
    assert run(3) == run(3)


@pytest.mark.parametrize("variant", SEED_THAT_CATCHES)
def test_injected_bug_is_caught(variant):
    assert run(SEED_THAT_CATCHES[variant], VARIANTS[variant]).wrong is not None


def test_watch_finds_each_violation():
    def watched(*events):
        watch = OwnersWatch()
        for name, *arguments in events:
            getattr(watch, name)(*arguments)
        return watch.wrong

    assert watched(("acts", "j", 5, "a", True, 1), ("acts", "j", 4, "b", False, 2)) is None
    assert "after one under 5" in watched(("acts", "j", 5, "a", True, 1), ("acts", "j", 4, "b", True, 2))
    assert "was a's" in watched(("acts", "j", 5, "a", True, 1), ("acts", "j", 5, "b", True, 2))
    assert "was a's" in watched(("begins", "j", 5, "a"), ("begins", "j", 5, "b"))
    assert "at once" in watched(("believe", "j", ["a", "b"])) and watched(("believe", "j", ["a"])) is None
    assert "no accepted act" in watched(("well_again", ["j"], 9_000_000, 4_000_000))
