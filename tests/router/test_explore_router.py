"""All orders of one key's tries at two routers, of orders, cuts and restarts, to some depth."""

import pytest

from lichencleat.router.core import Router
from lichencleat.testkit.explore_router import MISTAKES, play


def test_no_order_of_events_breaks_a_rule():
    found = play(Router, 4)
    assert found.violation is None, found.history
    assert found.depth == 4 and found.states > 1_000


@pytest.mark.parametrize("mistake", MISTAKES)
def test_planted_mistakes_are_found_in_a_few_steps(mistake):
    kind, told = MISTAKES[mistake]
    found = play(kind, 6)
    assert found.violation and told in found.violation and len(found.history) <= 6
