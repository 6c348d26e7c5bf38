"""Backpressure: the capacity advertised to callers, and the retry-after time of rejections."""

from __future__ import annotations

import random
from collections import deque

from lichencleat.admission.concurrency import ConcurrencyLimit
from lichencleat.admission.pools import RequestPools
from lichencleat.admission.slow_start import SlowStart
from lichencleat.admission.timing import Timing
from lichencleat.admission.types import CapacitySignal, NodeSpec

# Added to the shed fraction in each period with rejections or late reading, subtracted in each period in
# which the node is idle. Callers see the result about once a second.
SHED_INCREASE = 0.08
# Subtracted from the shed fraction in each period that is neither overloaded nor idle; slower than the
# increase, so that load does not return in one wave.
SHED_DECREASE = 0.02
MAX_SHED_FRACTION = 0.85  # fraction of load; below 1, so that callers still send the most valuable requests
# Fraction of the cores in use. A node below it whose queue is empty counts as idle: callers hold back load
# that it could serve, so the shed fraction falls fast.
MAX_IDLE_UTILIZATION = 0.75
# A capacity is advertised again only after a larger change: absolute up to a capacity of 1, relative above.
MIN_ADVERTISED_CHANGE = 0.02
# Sum of the windows of all callers, as a multiple of the requests that the node can have in flight. It is
# above 1, as the callers' request rates differ widely.
CALLER_WINDOW_FACTOR = 3
MIN_CALLER_WINDOW = 0.2  # outstanding requests per caller; with less, the node might get no requests
# Retry-after time of a rejection by a full node: a few service times, in which the queue turns over.
DEFAULT_RETRY_AFTER_US = 300_000
# Fraction of the recent arrivals that were rejected. Below it, other nodes may have capacity, so some
# rejected callers may retry there.
MAX_REJECTED_SHARE = 0.5
ARRIVAL_SAMPLES = 16  # number of recent arrivals from which the rejected fraction is computed


class Backpressure:
    """Computes how much load callers should hold back, and when rejected callers may retry.

    The shed fraction is the part of their load that callers should hold back, from 0 to `MAX_SHED_FRACTION`.
    """

    def __init__(
        self,
        spec: NodeSpec,
        rng: random.Random,
        timing: Timing,
        slow_start: SlowStart,
        pools: RequestPools,
        concurrency: ConcurrencyLimit,
    ) -> None:
        self.signal = spec.capacity_signal
        self.callers = max(1, spec.callers)
        self.max_retry_after = spec.max_retry_after_us
        self.callers_send_deadline = spec.callers_send_deadline
        self.rng = rng
        self.timing = timing
        self.slow_start = slow_start
        self.pools = pools
        self.concurrency = concurrency
        # Prevents overload of a cold node: each caller holds back the part of its load that the node can't
        # serve yet, regardless of the number of callers. Cost: in its first second an idle node advertises
        # less capacity than it has.
        self.shed_fraction = min(MAX_SHED_FRACTION, 1 - slow_start.cold_speed_share)
        self.admitted_share = 1.0  # fraction of the arrivals to admit; below 1 while the fleet recovers
        self.recent_rejections: deque[bool] = deque([False] * ARRIVAL_SAMPLES, ARRIVAL_SAMPLES)
        self._rejected_in_period = 0
        self._advertised = -1.0

    def on_queued(self) -> None:
        """Record an admitted arrival."""
        self.recent_rejections.append(False)

    def on_rejected(self) -> None:
        """Record a rejected request."""
        self._rejected_in_period += 1
        self.recent_rejections.append(True)

    def update(self, is_idle: bool, is_reading_late: bool) -> None:
        """Move the shed fraction by one step and begin a new period."""
        is_overloaded = self._rejected_in_period or is_reading_late
        step = -SHED_INCREASE if is_idle else SHED_INCREASE if is_overloaded else -SHED_DECREASE
        self.shed_fraction += step * self.timing.scale
        self.shed_fraction = min(MAX_SHED_FRACTION, max(0.0, self.shed_fraction))
        self._rejected_in_period = 0

    def draw_recovery_rejection(self) -> bool:
        """Decide by a random draw whether to reject an arrival because the fleet recovers."""
        return self.admitted_share < 1 and self.rng.random() >= self.admitted_share

    def take_changed_capacity(self, now: int) -> float | None:
        """Return the capacity to advertise, or None if it has not changed since it was last advertised."""
        capacity = self.capacity(now)
        if capacity is None:
            return None
        if abs(capacity - self._advertised) <= MIN_ADVERTISED_CHANGE * max(1.0, abs(self._advertised)):
            return None
        self._advertised = capacity
        return capacity

    def capacity(self, now: int) -> float | None:
        """Return the capacity in the terms of the node's `CapacitySignal`, None if the node has no signal."""
        match self.signal:
            case CapacitySignal.PRIORITY_THRESHOLD:
                return round(self.shed_fraction, 2)
            case CapacitySignal.PROBABILITY:
                return round(1 - self.shed_fraction, 2)
            case CapacitySignal.WINDOW:
                return round(self._window(now), 3)
            case _:
                return None

    def _window(self, now: int) -> float:
        at_calls = len(self.pools.awaiting_call) + len(self.pools.calling)
        outstanding = at_calls + self.concurrency.running_limit + self.concurrency.reference
        window = max(
            MIN_CALLER_WINDOW, CALLER_WINDOW_FACTOR * outstanding * (1 - self.shed_fraction) / self.callers
        )
        if self.slow_start.speed(now) == 1:
            return window
        # All callers may use their whole windows at once. While the node is cold, the windows therefore add
        # up to at most the concurrency that the node survives.
        return min(window, self.slow_start.survivable_concurrency(now) / self.callers)

    def retry_after(self, now: int, is_local_problem: bool) -> tuple[int, bool]:
        """Return the retry-after time (µs) of a rejection, and whether the caller must not retry elsewhere.

        `is_local_problem` means that only this node is affected, so other nodes may serve the request. While
        the fleet recovers or this node is cold, the time is drawn at random, so that rejected callers do not
        return all at once.
        """
        delay = (
            self.max_retry_after if is_local_problem else min(DEFAULT_RETRY_AFTER_US, self.max_retry_after)
        )
        if self.admitted_share < 1:  # random, from a quarter of the maximum delay to the maximum
            delay = int(self.max_retry_after * (1 + 3 * self.rng.random()) / 4)
            is_local_problem = True
        elif self.slow_start.speed(now) < 1:  # random, from half to three times the usual delay
            delay = min(self.max_retry_after, int(delay * (1 + 5 * self.rng.random()) / 2))
        return delay, not (is_local_problem or self.may_retry_elsewhere())

    def may_retry_elsewhere(self) -> bool:
        """Decide by a random draw whether a caller that sends its deadline may retry at another node.

        The probability falls as the rejected fraction of recent arrivals rises. Prevents the failure of
        requests that reached a full node by chance while other nodes are idle. Cost: another node reads each
        retry.
        """
        if not self.callers_send_deadline:
            return False
        return self.rng.random() * MAX_REJECTED_SHARE >= sum(self.recent_rejections) / ARRIVAL_SAMPLES
