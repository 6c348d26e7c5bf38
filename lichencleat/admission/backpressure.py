"""Backpressure: the capacity that is advertised to callers, and the advice that goes with a rejection."""

from __future__ import annotations

import random
from collections import deque

from lichencleat.admission.concurrency import ConcurrencyLimit
from lichencleat.admission.pools import RequestPools
from lichencleat.admission.slow_start import SlowStart
from lichencleat.admission.timing import Timing
from lichencleat.admission.types import CapacitySignal, NodeSpec

TOLD_UP = 0.08  # shed fraction, per period with rejections: callers hear it about once a second
TOLD_DOWN = 0.02  # per period without: gentler, so that the load does not come back in one wave
TOLD_MOST = 0.85  # leaves the best-paid callers a way in
TOLD_IDLE = 0.75  # of the cores: with that little to do, callers keep back what could be served
TOLD_STEP = 0.02  # a smaller change is not worth saying
WINDOW_WIDE = 3  # times what a node can have in flight: callers differ much in what they send
WINDOW_LEAST = 0.2  # outstanding for each caller: below it a node would hear from nobody
ADVICE = 300_000  # µs to stay away when full: a few run times, the queue will have turned over
SHED_FEW = 0.5  # of the last arrivals: with fewer rejected, others may have capacity, so callers may try them
ARRIVALS_KEPT = 16  # last arrivals, for the part of them that was rejected


class Backpressure:
    """Says how much of their load callers are to keep back, and when a rejected one may come again."""

    def __init__(
        self,
        spec: NodeSpec,
        chance: random.Random,
        timing: Timing,
        slow_start: SlowStart,
        pools: RequestPools,
        concurrency: ConcurrencyLimit,
    ) -> None:
        self.signal = spec.capacity_signal
        self.callers = max(1, spec.callers)
        self.max_retry_after = spec.max_retry_after_us
        self.callers_send_deadline = spec.callers_send_deadline
        self.chance = chance
        self.timing = timing
        self.slow_start = slow_start
        self.pools = pools
        self.concurrency = concurrency
        # Guards a cold node against all who hear it: each keeps back the share that it can't do yet, however
        # many they are. Harm: for its first second an idle one is told to be able to do less than it is.
        self.shed_fraction = min(TOLD_MOST, 1 - slow_start.cold_speed_share)
        self.admitted_share = 1.0  # of the arrivals: less while the fleet recovers
        self.recent_rejections: deque[bool] = deque([False] * ARRIVALS_KEPT, ARRIVALS_KEPT)
        self._rejected_in_period = 0
        self._advertised = -1.0

    def on_queued(self) -> None:
        """Note an arrival that was admitted."""
        self.recent_rejections.append(False)

    def on_rejected(self) -> None:
        """Note a request that was rejected."""
        self._rejected_in_period += 1
        self.recent_rejections.append(True)

    def update(self, is_idle: bool, reads_late: bool) -> None:
        """Move the shed fraction by one step, and begin a new period."""
        pressed = self._rejected_in_period or reads_late
        step = -TOLD_UP if is_idle else TOLD_UP if pressed else -TOLD_DOWN
        self.shed_fraction += step * self.timing.scale
        self.shed_fraction = min(TOLD_MOST, max(0.0, self.shed_fraction))
        self._rejected_in_period = 0

    def is_shut_out(self) -> bool:
        """Draw whether an arrival is rejected because the fleet recovers."""
        return self.admitted_share < 1 and self.chance.random() >= self.admitted_share

    def take_changed_capacity(self, now: int) -> float | None:
        """Return the capacity to advertise, or None where it is as callers know it."""
        capacity = self.capacity(now)
        if capacity is None:
            return None
        if abs(capacity - self._advertised) <= TOLD_STEP * max(1.0, abs(self._advertised)):
            return None
        self._advertised = capacity
        return capacity

    def capacity(self, now: int) -> float | None:
        """Return the capacity in the form that callers use; None where they use none."""
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
        wide = max(WINDOW_LEAST, WINDOW_WIDE * outstanding * (1 - self.shed_fraction) / self.callers)
        if self.slow_start.speed(now) == 1:
            return wide
        # cold, all windows together let in what it survives, as all may be used at once
        return min(wide, self.slow_start.survivable_concurrency(now) / self.callers)

    def retry_after(self, now: int, fails_alone: bool) -> tuple[int, bool]:
        """Return for how long (µs) a rejected caller is to stay away, and whether it must not try elsewhere.

        `fails_alone`: other nodes may do better than this one.
        """
        span = self.max_retry_after if fails_alone else min(ADVICE, self.max_retry_after)
        if self.admitted_share < 1:  # drawn over the span: those that come back at once would be a herd
            span = int(self.max_retry_after * (1 + 3 * self.chance.random()) / 4)
            fails_alone = True
        elif self.slow_start.speed(now) < 1:  # likewise, over half to three times the usual one
            span = min(self.max_retry_after, int(span * (1 + 5 * self.chance.random()) / 2))
        return span, not (fails_alone or self.may_retry_elsewhere())

    def may_retry_elsewhere(self) -> bool:
        """Draw whether a caller whose deadline is known may try elsewhere.

        The less often the more is rejected here. Guards against losses by chance while others idle. Harm:
        each attempt is read again.
        """
        if not self.callers_send_deadline:
            return False
        return self.chance.random() * SHED_FEW >= sum(self.recent_rejections) / ARRIVALS_KEPT
