"""Model check of two routers with one key: all orders of attempts, plans, cuts and restarts to some depth."""

import pytest

from lichencleat.router.core import Router
from lichencleat.testkit.explore_router import MISTAKES, play


def test_no_order_of_events_breaks_an_invariant():
    found = play(Router, 4)
    assert found.violation is None, found.history
    assert found.depth == 4 and found.states > 1_000


@pytest.mark.parametrize("bug", MISTAKES)
def test_each_injected_bug_is_found_within_few_steps(bug):
    kind, violation = MISTAKES[bug]
    found = play(kind, 6)
    assert found.violation and violation in found.violation and len(found.history) <= 6
