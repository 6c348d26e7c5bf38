"""The concurrency limit: an integral controller on the queue's length, and the running limit beside it.

This is the design's loop (docs/design.md): `limit` bounds queued and running requests, `running_limit` bounds
the running ones.
"""

from __future__ import annotations

from lichencleat.admission.pools import RequestPools
from lichencleat.admission.service_times import ServiceTimes
from lichencleat.admission.slow_start import SlowStart
from lichencleat.admission.timing import Timing
from lichencleat.admission.types import NodeSpec

GAIN = 0.2  # of the limit per queued request and period: low, as the paper prefers; its range takes about 1 s
HOLD_WAIT = 0.2  # of the shortest objective, for the wait in the queue: the run and its calls need the rest
CLIMB = 1 / 3  # of the cores, added to the running limit per period: doubles it in a third of a second
STEP_BACK = 1 / 6  # of the cores, off the running limit per period: gentler, the crowd comes and goes
CROWDED = 1.34  # wanting a core, per core: beyond a third more than cores, more runs only slow each other
LIMIT_LEAST = 1 / 3  # of the cores: reading and connections may take the rest


class ConcurrencyLimit:
    """Moves both limits once each period."""

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
        """Move both limits by one step. `runnable` is how much wants a core."""
        self._update_running_limit(now, runnable)
        self._update_limit(now)

    def _update_running_limit(self, now: int, runnable: float) -> None:
        running = len(self.pools.running)
        bound = self.slow_start.concurrency_bound(now)
        if runnable > self.cores * CROWDED:
            self.running_limit = max(self.cores * LIMIT_LEAST, self.running_limit - self.cores * STEP_BACK)
        elif self.pools.queued and running >= round(self.running_limit) and runnable <= self.cores:
            self.running_limit = min(bound, self.running_limit + self.cores * CLIMB)
        self.running_limit = max(1.0, min(self.running_limit, bound))

    def _update_limit(self, now: int) -> None:
        """Apply the design's step, u += Ki (ref - QL)."""
        queued = len(self.pools.queued)
        service_time = max(1.0, self.service_times.current(now))
        fits = self.running_limit * self.timing.shortest_objective * HOLD_WAIT / service_time
        self.reference = max(1.0, min(float(self.cores), fits))
        self.limit += GAIN * (self.reference - queued)
        in_flight = queued + len(self.pools.running)
        self.limit = max(self.running_limit, min(self.limit, in_flight + self.running_limit))
