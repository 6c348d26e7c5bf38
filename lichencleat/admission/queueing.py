"""The queue: the value of requests, and the order in which they start."""

from __future__ import annotations

from lichencleat.admission.pools import RequestPools
from lichencleat.admission.records import has_unrepeatable_run
from lichencleat.admission.service_times import ServiceTimes
from lichencleat.admission.tenant_quotas import TenantQuotas
from lichencleat.admission.timing import Timing
from lichencleat.admission.types import NodeSpec, Request

# Once the queue has been full for this time, the newest request starts first: several turnovers of the queue.
MIN_FULL_TIME_FOR_LIFO_US = 1_000_000


class Queue:
    """Orders the waiting requests: oldest first, or newest first once the queue has been full for long."""

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
        """Return the value of a request in relation to the core time that the request takes.

        The earned value is divided by the median service time of the class, as a multiple of the median of
        all classes. If the settings count values per unit of work, the value is not divided.
        """
        own_time = 0 if self.value_by_work else self.service_times.usual(request.request_class)
        earned_value = request.request_class.value * self.quotas.value_share(request)
        return earned_value * (self.service_times.usual() / own_time if own_time else 1)

    def update(self, now: int, limit: float) -> None:
        """Record since when the queue has been full under this concurrency limit."""
        queued = len(self.pools.queued)
        if not queued or queued + len(self.pools.running) < limit - 1:
            self.full_since = None
        elif self.full_since is None:
            self.full_since = now

    def start_order(self, now: int) -> list[Request]:
        """Return the queued requests in the order in which they start."""
        order = list(self.pools.queued)
        is_full_for_long = (
            self.full_since is not None
            and now - self.full_since > MIN_FULL_TIME_FOR_LIFO_US * self.timing.scale
        )
        return order[::-1] if is_full_for_long else order

    def choose_rejected(self, arrival: Request) -> Request:
        """Return the request to reject if the queue is full: the arrival or the least valuable queued one."""
        least_valuable = min(self.pools.queued, key=lambda each: (self.value(each), -each.arrived))
        if (
            has_unrepeatable_run(least_valuable)
            or least_valuable.original
            or self.value(least_valuable) >= self.value(arrival)
        ):
            return arrival
        return least_valuable
