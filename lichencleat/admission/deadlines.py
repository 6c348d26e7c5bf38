"""The deadline guard: finds requests that are due before the next round or too late to earn value."""

from __future__ import annotations

from lichencleat.admission.concurrency import ConcurrencyLimit
from lichencleat.admission.outliers import OutlierDetector
from lichencleat.admission.pools import RequestPools
from lichencleat.admission.service_times import ServiceTimes
from lichencleat.admission.timing import Timing
from lichencleat.admission.types import Effect, NodeSpec, Preemption, Request


class DeadlineGuard:
    """Compares requests with their due times and latency objectives, in µs."""

    def __init__(
        self,
        spec: NodeSpec,
        timing: Timing,
        pools: RequestPools,
        service_times: ServiceTimes,
        concurrency: ConcurrencyLimit,
        outliers: OutlierDetector,
    ) -> None:
        self.cores = spec.cores
        self.can_abort = spec.preemption is not Preemption.NONE
        self.timing = timing
        self.pools = pools
        self.service_times = service_times
        self.concurrency = concurrency
        self.outliers = outliers

    def is_due(self, now: int, request: Request) -> bool:
        """Return whether a request must be answered in this decision round, as the next one is too late."""
        return request.due <= now + self.timing.guard

    def would_be_late(self, now: int, request: Request, ahead: int = 0) -> bool:
        """Return whether a request would end after its objective if `ahead` other requests run first.

        Prevents work that earns nothing. A request that an idle core could run at once does not count as late
        if the node is not slow or has no other run. So a slow node still runs one request at a time, which is
        how it learns that it is no longer slow.
        """
        idle = 0 if ahead else self.cores - len(self.pools.running)
        if idle > 0 and (not self.pools.running or not self.outliers.is_slow(now, request.request_class)):
            return False
        wait = self._queueing_time(now, ahead) if ahead else 0.0
        service_time = self.service_times.current(now, request.request_class)
        own_time = service_time * self.service_times.relative_size(request)
        return now + wait + own_time > min(request.due, objective_end(request))

    def _queueing_time(self, now: int, ahead: int) -> float:
        slots = max(self.concurrency.running_limit, self.cores)
        return self.service_times.current(now) * ahead / slots

    def is_expired_and_abortable(self, now: int, request: Request) -> bool:
        """Return whether a running request can no longer earn any value and can be aborted."""
        earns = now < objective_end(request) or request.request_class.late_value_share
        return not earns and request.request_class.effect is Effect.IDEMPOTENT and self.can_abort


def objective_end(request: Request) -> int:
    """Return the time until which an answer earns the full value of a request."""
    request_class = request.request_class
    objective = request_class.latency_objective + int(request_class.objective_stretch * request.cost)
    return request.arrived + min(request_class.deadline, objective)
