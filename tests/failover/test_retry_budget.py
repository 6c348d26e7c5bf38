"""Retry budget."""

from lichencleat.failover.retry_budget import MIN_RETRIES_PER_SECOND, WINDOW_S, RetryBudget

SECOND = 1_000_000


def test_budget_allows_a_fraction_of_first_attempts_and_none_that_may_have_run():
    budget = RetryBudget(0)
    assert budget.acquire(0, False) and not budget.acquire(0, False)
    assert budget.acquire(SECOND, False)
    retries = 0
    for at in range(10_000):
        now = SECOND + at * SECOND // 100
        budget.record_first_attempt(now)
        retries += budget.acquire(now, False)
    assert retries <= 0.1 * 10_000 + MIN_RETRIES_PER_SECOND * 100 + WINDOW_S * 2
    assert not budget.acquire(200 * SECOND, True) and budget.rejected
