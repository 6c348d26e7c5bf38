"""How much of a pool each node should have."""

from hypothesis import given, settings
from hypothesis import strategies as st

from lichencleat.quotas.allocation import compute_targets, select_changes, share_max_min_fairly
from lichencleat.quotas.messages import Allocate


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.dictionaries(st.text("abcdefgh", min_size=1, max_size=2), st.integers(0, 50)), st.integers(0, 200))
def test_share_max_min_fairly_divides_evenly_and_meets_all_demands_that_fit(demands, available):
    shares = share_max_min_fairly(demands, available, {})
    assert sum(shares.values()) == min(available, sum(demands.values()))
    unsatisfied = [name for name in demands if shares[name] < demands[name]]
    for name in unsatisfied:
        assert all(shares[other] <= shares[name] + 1 for other in demands)


def test_targets_stay_within_the_limit_and_small_changes_are_left_out(quotas):
    for name in "abc":
        quotas.ask(name, 1, demand={"a": 50, "b": 2, "c": 0}[name])
    targets = compute_targets(quotas.pool)
    assert targets == {"a": 6, "b": 2, "c": 1} and sum(targets.values()) + 1 == 10
    assert select_changes(quotas.pool, targets) == {"a": 6, "b": 2}
    quotas(Allocate("p", quotas.token, targets))
    assert select_changes(quotas.pool, compute_targets(quotas.pool)) == {}
