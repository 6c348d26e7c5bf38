"""The queue: the value of requests, and the order in which they start."""

from __future__ import annotations

from lichencleat.admission.pools import RequestPools
from lichencleat.admission.records import has_run
from lichencleat.admission.service_times import ServiceTimes
from lichencleat.admission.tenant_quotas import TenantQuotas
from lichencleat.admission.timing import Timing
from lichencleat.admission.types import NodeSpec, Request

FULL_LONG = 1_000_000  # µs of a full queue before the newest go first: several turns of the queue


class Queue:
    """Orders what waits to run: oldest first, newest first once the queue has stood full for long."""

    def __init__(
        self,
        spec: NodeSpec,
        timing: Timing,
        pools: RequestPools,
        service_times: ServiceTimes,
        quotas: TenantQuotas,
    ) -> None:
        self.value_by_work = spec.value_by_work
        self.timing = timing
        self.pools = pools
        self.service_times = service_times
        self.quotas = quotas
        self.full_since: int | None = None

    def value(self, request: Request) -> float:
        """Return what a request is worth, for the core time that it takes."""
        own = 0 if self.value_by_work else self.service_times.usual(request.request_class)
        worth = request.request_class.value * self.quotas.value_share(request)
        return worth * (self.service_times.usual() / own if own else 1)

    def update(self, now: int, limit: float) -> None:
        """Note since when the queue has stood full, under this concurrency limit."""
        queued = len(self.pools.queued)
        if not queued or queued + len(self.pools.running) < limit - 1:
            self.full_since = None
        elif self.full_since is None:
            self.full_since = now

    def start_order(self, now: int) -> list[Request]:
        """Return the queued requests in the order in which they start."""
        order = list(self.pools.queued)
        full = self.full_since is not None and now - self.full_since > FULL_LONG * self.timing.scale
        return order[::-1] if full else order

    def choose_rejected(self, arrival: Request) -> Request:
        """Return which of an arrival and the least valuable queued request is rejected."""
        worst = min(self.pools.queued, key=lambda each: (self.value(each), -each.arrived))
        if has_run(worst) or worst.original or self.value(worst) >= self.value(arrival):
            return arrival
        return worst
