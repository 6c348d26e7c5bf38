"""The concurrency limit: an integral controller on the queue's length, and the running limit.

This is the control loop of docs/design.md: `limit` bounds the queued and running requests together,
`running_limit` bounds the running requests.
"""

from __future__ import annotations

from lichencleat.admission.pools import RequestPools
from lichencleat.admission.service_times import ServiceTimes
from lichencleat.admission.slow_start import SlowStart
from lichencleat.admission.timing import Timing
from lichencleat.admission.types import NodeSpec

# The concurrency limit changes per period by this factor times the difference between the reference length
# and the queue's length. The paper behind the design prefers a low gain: the limit crosses its range in about
# 1 s.
GAIN = 0.2
# Fraction of the shortest latency objective that a request may wait in the queue; the run and its calls need
# the rest.
QUEUEING_TIME_SHARE = 0.2
# Added to the running limit per core and period; doubles the initial limit in a third of a second.
RUNNING_LIMIT_INCREASE = 1 / 3
# Subtracted from the running limit per core and period; slower than the increase, as overload comes and goes.
RUNNING_LIMIT_DECREASE = 1 / 6
# Tasks per core that want to run, above which the running limit falls: further runs would only slow each
# other.
MAX_RUNNABLE_PER_CORE = 1.34
# Minimum of the running limit, in runs per core; reading and connections may need the rest of the core.
MIN_RUNNING_LIMIT_PER_CORE = 1 / 3


class ConcurrencyLimit:
    """Updates the concurrency limit and the running limit once each period.

    `reference` is the queue length (requests) that the concurrency limit is steered to.
    """

    def __init__(
        self,
        spec: NodeSpec,
        timing: Timing,
        slow_start: SlowStart,
        pools: RequestPools,
        service_times: ServiceTimes,
    ) -> None:
        self.cores = spec.cores
        self.timing = timing
        self.slow_start = slow_start
        self.pools = pools
        self.service_times = service_times
        self.reference = float(spec.cores)
        self.running_limit = float(spec.cores)
        self.limit = 2.0 * spec.cores

    def update(self, now: int, runnable: float) -> None:
        """Move both limits by one step; `runnable` is the number of tasks that want a core."""
        self._update_running_limit(now, runnable)
        self._update_limit(now)

    def _update_running_limit(self, now: int, runnable: float) -> None:
        running = len(self.pools.running)
        bound = self.slow_start.concurrency_bound(now)
        if runnable > self.cores * MAX_RUNNABLE_PER_CORE:
            self.running_limit = max(
                self.cores * MIN_RUNNING_LIMIT_PER_CORE,
                self.running_limit - self.cores * RUNNING_LIMIT_DECREASE,
            )
        elif self.pools.queued and running >= round(self.running_limit) and runnable <= self.cores:
            self.running_limit = min(bound, self.running_limit + self.cores * RUNNING_LIMIT_INCREASE)
        self.running_limit = max(1.0, min(self.running_limit, bound))

    def _update_limit(self, now: int) -> None:
        """Apply the update step of the design, u += Ki (ref - QL).

        u is the concurrency limit, Ki is `GAIN`, ref is the reference length, QL is the queue's length.
        """
        queued = len(self.pools.queued)
        service_time = max(1.0, self.service_times.current(now))
        max_queued = self.running_limit * self.timing.shortest_objective * QUEUEING_TIME_SHARE / service_time
        self.reference = max(1.0, min(float(self.cores), max_queued))
        self.limit += GAIN * (self.reference - queued)
        in_flight = queued + len(self.pools.running)
        self.limit = max(self.running_limit, min(self.limit, in_flight + self.running_limit))
