"""The limit on downstream calls, and their retries."""

from __future__ import annotations

from collections import deque
from statistics import median

from lichencleat.admission.pools import RequestPools
from lichencleat.admission.timing import Timing
from lichencleat.admission.types import Downstream, Effect, NodeSpec, Outcome, Request

# Fraction of this node's call quota that the node uses itself. The rest allows for cold nodes, which call
# more, and for calls that linger at the dependency.
CALL_QUOTA_SHARE = 0.7
# Minimum of the call limit, as a fraction of the maximum limit but not above 1 call; keeps a slow dependency
# at work. A quota granted by the fleet counts as at least this many calls.
MIN_CALL_LIMIT_SHARE = 0.25
# A call may be sent this much earlier than pacing allows, so that usual calls are not delayed.
MAX_PACING_LEAD_US = 300_000
# The call limit is multiplied by this factor when recent calls are slow or have failed. The next decrease
# comes at the earliest when a call that was sent after the last decrease has ended.
LIMIT_DECREASE_FACTOR = 0.8
# Calls are slow if the median duration of the recent calls exceeds this multiple of the first quartile of all
# samples. So large a difference is not chance but an overload downstream.
SLOW_CALL_FACTOR = 5
# Calls whose durations are kept: about ten seconds of calls, so that the first quartile outlasts a slow
# period.
MAX_CALL_SAMPLES = 64
# Number of the last calls that show the current state; with fewer, one long call would look like an overload.
RECENT_CALL_SAMPLES = 8
# Fraction of the longest latency objective that a request may wait for its call to be sent; this is mostly
# half of the shortest objective.
MAX_CALL_WAIT_SHARE = 0.25
MAX_CALL_ATTEMPTS = 3  # attempts per call; further ones cost more than the answer is worth
# Hedge timeout as a multiple of the median call duration; few usual calls take that long, and the longest
# calls earn most.
HEDGE_TIMEOUT_FACTOR = 6
MIN_HEDGE_TIMEOUT_US = 300_000  # three decision rounds; with a shorter timeout, a second call gains nothing
MAX_CALL_DURATION_US = 3_600_000_000  # longer than any deadline, so no bound in practice
# Time before a call is retried, per failed attempt; gives the dependency time to answer other calls.
CALL_RETRY_DELAY_US = 50_000


class DownstreamCalls:
    """Limits the calls in flight, by the durations and outcomes of recent calls; times are in µs."""

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
        self._limit_cut_at = 0  # time at which the limit was last decreased
        self._next_call_at = 0  # time from which pacing allows the next call
        self._timeout: int | None = None  # cached hedge timeout; None after a call has ended

    def on_completed(self, now: int, request: Request, outcome: Outcome, took: int) -> None:
        """Update the limit after a call has ended, and schedule the retry of a failed call."""
        succeeded = outcome is Outcome.COMPLETED
        if not (self.is_hedged and outcome is Outcome.TIMED_OUT):  # else `took` equals the hedge timeout
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

        Calls to a tier that have lasted longer than the hedge timeout are not counted, as the called nodes
        may be lost.
        """
        since = now - self.hedge_timeout() if self.is_hedged else 0
        return sum(each.called_at >= since for each in self.pools.calling)

    def hedge_timeout(self) -> int:
        """Return the time (µs) after which an idempotent call to a tier is better retried at another node.

        Some nodes of a tier may be slow or silent. Cost if all nodes of the tier are slow: work is done
        twice. Therefore the timeout follows the durations of recent calls, and the last attempt has no hedge
        timeout.
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
        """Return the limit on calls in flight, bounded by the quota that the fleet has granted."""
        return min(self.limit, max(self.granted_quota, MIN_CALL_LIMIT_SHARE))

    def recent_median(self) -> float:
        """Return the median duration (µs) of the last few calls, 0 without calls."""
        return median([took for took, _ in self.times][-RECENT_CALL_SAMPLES:] or [0.0])

    def would_wait_long(self, ahead: int) -> bool:
        """Return whether a call would wait too long behind `ahead` calls of the recent median duration."""
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
        """Return the time limit (µs) of a call that is sent now and whose answer is no use after `until`."""
        duration = min(max(until - now, self.timing.guard), int(self.max_duration))
        idempotent = request.request_class.effect is Effect.IDEMPOTENT
        if idempotent and self.is_hedged and request.failed_calls < MAX_CALL_ATTEMPTS - 1:
            return min(duration, self.hedge_timeout())
        return duration
