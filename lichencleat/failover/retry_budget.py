"""Retry budget: limits a router's retries to a fraction of its first attempts; no I/O.

Retries add load to an overloaded zone, so a router may retry only a small fraction of its requests, as with
Finagle's retry budgets.
"""

from __future__ import annotations

from lichencleat.units import MICROSECONDS_PER_SECOND

RETRY_FRACTION = 0.1  # retries allowed per first attempt: retries add at most a tenth to the load
MIN_RETRIES_PER_SECOND = 1.0  # retries always allowed, so that a router with few requests can retry
WINDOW_S = 10.0  # unused retries of this time are kept; more would allow a retry storm


class RetryBudget:
    """The budget of one router; time and first attempts add retries to the budget.

    Args:
        now: µs of a monotonic clock.
        retry_fraction: Retries per first attempt.
        min_retries_per_second: Retries per second that are always allowed.
    """

    def __init__(
        self,
        now: int,
        retry_fraction: float = RETRY_FRACTION,
        min_retries_per_second: float = MIN_RETRIES_PER_SECOND,
    ) -> None:
        self.retry_fraction = retry_fraction
        self.min_retries_per_second = min_retries_per_second
        self.available = min_retries_per_second
        self.refilled_at = now
        self.first_attempt_rate = 0.0  # first attempts per second, approximately
        self.rejected = 0  # retries that were not allowed

    def record_first_attempt(self, now: int) -> None:
        """Count a first attempt at `now` (µs)."""
        self.refill(now)
        self.available = min(self.capacity(), self.available + self.retry_fraction)
        self.first_attempt_rate += 1 / WINDOW_S

    def refill(self, now: int) -> None:
        """Add the retries for the time since the last refill."""
        elapsed = max(0, now - self.refilled_at) / MICROSECONDS_PER_SECOND
        self.refilled_at = max(self.refilled_at, now)
        self.first_attempt_rate *= max(0.0, 1 - elapsed / WINDOW_S)
        self.available = min(self.capacity(), self.available + self.min_retries_per_second * elapsed)

    def capacity(self) -> float:
        """Return the maximum number of unused retries that are kept."""
        return WINDOW_S * max(self.min_retries_per_second, self.retry_fraction * self.first_attempt_rate)

    def acquire(self, now: int, may_have_run: bool) -> bool:
        """Take one retry from the budget; return whether the attempt may be retried.

        An attempt that may have run is never retried.
        """
        self.refill(now)
        if may_have_run or self.available < 1:
            self.rejected += 1
            return False
        self.available -= 1
        return True
