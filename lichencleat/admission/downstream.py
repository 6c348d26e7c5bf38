"""The limit on calls to the layer below, and the retries of such calls."""

from __future__ import annotations

from collections import deque
from statistics import median

from lichencleat.admission.pools import RequestPools
from lichencleat.admission.timing import Timing
from lichencleat.admission.types import Downstream, Effect, NodeSpec, Outcome, Request

CALLS_PART = 0.7  # of this node's part of what the dependency survives: cold nodes call more, calls linger
CALLS_LEAST = 0.25  # of the calls part, where that is under one: keeps a slowed dependency at work
CALLS_AHEAD = 300_000  # µs by which they may be ahead of that part: usual calls are not held up by it
CALLS_CUT = 0.8  # of the limit, once for each round of calls that comes back slow or failed
CALLS_SLOW = 5  # last few calls, in the quick quarter of those kept: beyond chance, it is overloaded below
CALLS_KEPT = 64  # last call times: some ten seconds' worth, so that the quick quarter outlasts a slow spell
CALLS_FEW = 8  # of them tell how calls go now: fewer would mistake one long call for an overload
CLOGGED = 0.25  # of the longest objective, for the wait at a call: half of the shortest, mostly
CALL_TRIES = 3  # of one call: further ones have cost more than the answer is worth
CALL_PATIENCE = 6  # times the median of recent calls: few usual ones are that long, and the longest earn most
CALL_PATIENCE_LEAST = 300_000  # µs: three wake-ups, under which a repeat gains nothing
FAR = 3_600_000_000  # µs: longer than any deadline
CALL_PAUSE = 50_000  # µs before a call that never ran is tried again: lets the layer below take in answers


class DownstreamCalls:
    """Bounds the calls in flight, by how the last ones went; times are in µs."""

    def __init__(self, spec: NodeSpec, timing: Timing, pools: RequestPools) -> None:
        self.timing = timing
        self.pools = pools
        self.is_hedged = spec.downstream is Downstream.TIER
        shared = spec.downstream is Downstream.SHARED and spec.call_quota > 0
        self.max_limit = spec.call_quota * CALLS_PART if shared else float("inf")
        self.min_limit = min(1.0, self.max_limit * CALLS_LEAST)
        self.limit = min(self.max_limit, float(spec.cores))
        self.granted_quota = float("inf")
        self.max_duration = self.max_limit * spec.call_quota_window_us if self.max_limit < 1 else FAR
        self.times: deque[tuple[int, bool]] = deque(maxlen=CALLS_KEPT)  # and whether it came back
        self._limit_cut_at = 0
        self._next_call_at = 0
        self._timeout: int | None = None  # worked out since the last call ended

    def on_completed(self, now: int, request: Request, outcome: Outcome, took: int) -> None:
        """Learn from a call that has ended, and say when it may be tried again if it failed."""
        succeeded = outcome is Outcome.COMPLETED
        if not (self.is_hedged and outcome is Outcome.TIMED_OUT):  # that tells our timeout, not how calls go
            self.times.append((took, succeeded))
            self._timeout = None
        # Guards the dependency against nodes with one call there each, but all at once: under a limit of one,
        # each pays back its time before the next. Harm: a keyed call abandoned for it is not repeated.
        if self.limit < 1:
            self._next_call_at = max(self._next_call_at, now) + int(took / self.limit)
        self._move_limit(now, succeeded, took)
        if not succeeded:
            self._schedule_retry(now, request, outcome)

    def _move_limit(self, now: int, succeeded: bool, took: int) -> None:
        if self.are_slow():
            if now - took >= self._limit_cut_at:
                self.limit = max(self.min_limit, self.limit * CALLS_CUT)
                self._limit_cut_at = now
        elif succeeded and self.count_in_flight(now) >= self.limit - 1:
            step = min(1 / self.limit, self.limit)
            self.limit = min(self.max_limit, self.limit + step)

    def _schedule_retry(self, now: int, request: Request, outcome: Outcome) -> None:
        never_ran = outcome in (Outcome.REJECTED, Outcome.UNREACHABLE)
        idempotent = request.request_class.effect is Effect.IDEMPOTENT
        request.failed_calls += 1 if never_ran or idempotent else CALL_TRIES
        pause = int(CALL_PAUSE * self.timing.scale)
        request.call_not_before = now + pause * request.failed_calls

    def are_slow(self) -> bool:
        """Return whether the last calls were slow or failed.

        Guards against quick refusals below: counted as quick calls, they made all others look slow.
        """
        last = list(self.times)[-CALLS_FEW:]
        good = [took for took, succeeded in last if succeeded]
        if len(last) < CALLS_FEW or len(good) <= CALLS_FEW / 2:
            return len(last) == CALLS_FEW
        ordered = sorted(took for took, succeeded in self.times if succeeded)
        return median(good) > CALLS_SLOW * ordered[len(ordered) // 4]

    def count_in_flight(self, now: int) -> int:
        """Count the calls that the limit holds: not those far over their time, at lost nodes of a tier."""
        since = now - self.hedge_timeout() if self.is_hedged else 0
        return sum(each.called_at >= since for each in self.pools.calling)

    def hedge_timeout(self) -> int:
        """Return after how long an idempotent call to one of many nodes does better with another.

        Some are slow or silent. Harm where all are slow: work is done twice, so it follows recent calls, and
        the last try waits on.
        """
        if self._timeout is None:
            ordered = sorted(took for took, succeeded in self.times if succeeded)
            usual = ordered[len(ordered) // 2] if len(ordered) >= CALLS_FEW else FAR
            least = int(CALL_PATIENCE_LEAST * self.timing.scale)
            self._timeout = min(FAR, max(least, CALL_PATIENCE * usual))
        return self._timeout

    def effective_limit(self) -> float:
        """Return the limit, as the quota granted by the fleet bounds it."""
        return min(self.limit, max(self.granted_quota, CALLS_LEAST))

    def usual_time(self) -> float:
        """Return the median time of the last few calls."""
        return median([took for took, _ in self.times][-CALLS_FEW:] or [0.0])

    def would_wait_long(self, ahead: int) -> bool:
        """Return whether a call waits long with so many before it, and calls as slow as the last few."""
        wait = ahead * self.usual_time() / self.effective_limit()
        return wait > self.timing.longest_objective * CLOGGED

    def are_clogged(self) -> bool:
        """Return whether what is begun now would wait long at its call."""
        awaiting = len(self.pools.awaiting_call)
        if not awaiting:
            return False
        return awaiting >= self.effective_limit() or self.would_wait_long(awaiting + len(self.pools.running))

    def can_call(self, now: int, request: Request) -> bool:
        """Return whether the call of a request may go out now."""
        if now < max(request.call_not_before, self._next_call_at - CALLS_AHEAD):
            return False
        return self.count_in_flight(now) < self.limit and len(self.pools.calling) < self.granted_quota

    def duration(self, now: int, request: Request, until: int) -> int:
        """Return how long a call that is let out now may take, with the answer of no use after `until`."""
        duration = min(max(until - now, self.timing.guard), int(self.max_duration))
        idempotent = request.request_class.effect is Effect.IDEMPOTENT
        if idempotent and self.is_hedged and request.failed_calls < CALL_TRIES - 1:
            return min(duration, self.hedge_timeout())
        return duration
