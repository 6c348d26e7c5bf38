"""The limit on downstream calls, and their retries."""

from __future__ import annotations

from collections import deque
from statistics import median

from lichencleat.admission.pools import RequestPools
from lichencleat.admission.timing import Timing
from lichencleat.admission.types import Downstream, Effect, NodeSpec, Outcome, Request

CALL_QUOTA_SHARE = 0.7  # of this node's call quota; cold nodes call more, and calls linger at the dependency
# Of the maximum limit, but not above 1 call; keeps a slow dependency at work.
# Also the minimum at which a granted quota is counted.
MIN_CALL_LIMIT_SHARE = 0.25
MAX_PACING_LEAD_US = 300_000  # how far calls may run ahead of their pace, to delay no usual calls
LIMIT_DECREASE_FACTOR = 0.8  # once per round of calls that end slow or failed
# Calls are slow if the median of the recent ones exceeds this multiple of the first quartile of all samples.
# So large a difference is not chance but an overload downstream.
SLOW_CALL_FACTOR = 5
MAX_CALL_SAMPLES = 64  # about ten seconds of calls, so that the first quartile outlasts a slow period
RECENT_CALL_SAMPLES = 8  # show the current state; with fewer, one long call would look like an overload
MAX_CALL_WAIT_SHARE = 0.25  # of the longest objective, to wait for a call: mostly half of the shortest
MAX_CALL_ATTEMPTS = 3  # per call; further attempts cost more than the answer is worth
HEDGE_TIMEOUT_FACTOR = 6  # times the median call; few usual calls are that long, and the longest earn most
MIN_HEDGE_TIMEOUT_US = 300_000  # three rounds; with a shorter timeout a second call gains nothing
MAX_CALL_DURATION_US = 3_600_000_000  # longer than any deadline, so no bound in practice
CALL_RETRY_DELAY_US = 50_000  # before a call that never ran is retried: gives the dependency time for answers


class DownstreamCalls:
    """Bounds the calls in flight by the results of recent calls; times are in µs."""

    def __init__(self, spec: NodeSpec, timing: Timing, pools: RequestPools) -> None:
        self.timing = timing
        self.pools = pools
        self.is_hedged = spec.downstream is Downstream.TIER
        shared = spec.downstream is Downstream.SHARED and spec.call_quota > 0
        self.max_limit = spec.call_quota * CALL_QUOTA_SHARE if shared else float("inf")
        self.min_limit = min(1.0, self.max_limit * MIN_CALL_LIMIT_SHARE)
        self.limit = min(self.max_limit, float(spec.cores))
        self.granted_quota = float("inf")
        self.max_duration = (
            self.max_limit * spec.call_quota_window_us if self.max_limit < 1 else MAX_CALL_DURATION_US
        )
        self.times: deque[tuple[int, bool]] = deque(maxlen=MAX_CALL_SAMPLES)  # duration, succeeded
        self._limit_cut_at = 0
        self._next_call_at = 0
        self._timeout: int | None = None  # cached hedge timeout; None after a call has ended

    def on_completed(self, now: int, request: Request, outcome: Outcome, took: int) -> None:
        """Update the limit after a call has ended, and schedule the retry of a failed call."""
        succeeded = outcome is Outcome.COMPLETED
        if not (self.is_hedged and outcome is Outcome.TIMED_OUT):  # else `took` is the hedge timeout
            self.times.append((took, succeeded))
            self._timeout = None
        # Prevents overload of the dependency by many nodes that each have one call in flight at the same
        # time: under a limit of 1, a node delays its next call in proportion to the duration of the last one.
        # Cost: a keyed call that is abandoned because of the delay is not repeated.
        if self.limit < 1:
            self._next_call_at = max(self._next_call_at, now) + int(took / self.limit)
        self._move_limit(now, succeeded, took)
        if not succeeded:
            self._schedule_retry(now, request, outcome)

    def _move_limit(self, now: int, succeeded: bool, took: int) -> None:
        if self.are_slow():
            if now - took >= self._limit_cut_at:
                self.limit = max(self.min_limit, self.limit * LIMIT_DECREASE_FACTOR)
                self._limit_cut_at = now
        elif succeeded and self.count_in_flight(now) >= self.limit - 1:
            step = min(1 / self.limit, self.limit)
            self.limit = min(self.max_limit, self.limit + step)

    def _schedule_retry(self, now: int, request: Request, outcome: Outcome) -> None:
        never_ran = outcome in (Outcome.REJECTED, Outcome.UNREACHABLE)
        idempotent = request.request_class.effect is Effect.IDEMPOTENT
        request.failed_calls += 1 if never_ran or idempotent else MAX_CALL_ATTEMPTS
        delay = int(CALL_RETRY_DELAY_US * self.timing.scale)
        request.call_not_before = now + delay * request.failed_calls

    def are_slow(self) -> bool:
        """Return whether the last calls were slow or failed.

        Only the times of successful calls are compared: next to fast rejections, all other calls would look
        slow.
        """
        recent = list(self.times)[-RECENT_CALL_SAMPLES:]
        recent_times = [took for took, succeeded in recent if succeeded]
        if len(recent) < RECENT_CALL_SAMPLES or len(recent_times) <= RECENT_CALL_SAMPLES / 2:
            return len(recent) == RECENT_CALL_SAMPLES
        ordered = sorted(took for took, succeeded in self.times if succeeded)
        return median(recent_times) > SLOW_CALL_FACTOR * ordered[len(ordered) // 4]

    def count_in_flight(self, now: int) -> int:
        """Count the calls in flight that the limit bounds.

        Calls to a tier beyond the hedge timeout are not counted, as the nodes that they call may be lost.
        """
        since = now - self.hedge_timeout() if self.is_hedged else 0
        return sum(each.called_at >= since for each in self.pools.calling)

    def hedge_timeout(self) -> int:
        """Return the time after which an idempotent call to a tier is better retried at another node.

        Some nodes of a tier may be slow or silent. Cost where all are slow: work is done twice. Therefore the
        timeout follows the recent calls, and the last attempt has no hedge timeout.
        """
        if self._timeout is None:
            ordered = sorted(took for took, succeeded in self.times if succeeded)
            median_time = (
                ordered[len(ordered) // 2] if len(ordered) >= RECENT_CALL_SAMPLES else MAX_CALL_DURATION_US
            )
            min_timeout = int(MIN_HEDGE_TIMEOUT_US * self.timing.scale)
            self._timeout = min(MAX_CALL_DURATION_US, max(min_timeout, HEDGE_TIMEOUT_FACTOR * median_time))
        return self._timeout

    def effective_limit(self) -> float:
        """Return the limit, bounded by the quota that the fleet has granted."""
        return min(self.limit, max(self.granted_quota, MIN_CALL_LIMIT_SHARE))

    def recent_median(self) -> float:
        """Return the median duration of the last few calls."""
        return median([took for took, _ in self.times][-RECENT_CALL_SAMPLES:] or [0.0])

    def would_wait_long(self, ahead: int) -> bool:
        """Return whether a call behind `ahead` others waits too long, if all take as long as recent ones."""
        wait = ahead * self.recent_median() / self.effective_limit()
        return wait > self.timing.longest_objective * MAX_CALL_WAIT_SHARE

    def are_congested(self) -> bool:
        """Return whether a run that starts now would wait too long for its call."""
        awaiting = len(self.pools.awaiting_call)
        if not awaiting:
            return False
        return awaiting >= self.effective_limit() or self.would_wait_long(awaiting + len(self.pools.running))

    def can_call(self, now: int, request: Request) -> bool:
        """Return whether the call of a request may be sent now."""
        if now < max(request.call_not_before, self._next_call_at - MAX_PACING_LEAD_US):
            return False
        return self.count_in_flight(now) < self.limit and len(self.pools.calling) < self.granted_quota

    def duration(self, now: int, request: Request, until: int) -> int:
        """Return the time limit of a call that is sent now and whose answer is useless after `until`."""
        duration = min(max(until - now, self.timing.guard), int(self.max_duration))
        idempotent = request.request_class.effect is Effect.IDEMPOTENT
        if idempotent and self.is_hedged and request.failed_calls < MAX_CALL_ATTEMPTS - 1:
            return min(duration, self.hedge_timeout())
        return duration
