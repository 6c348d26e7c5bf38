"""Service times: how long runs take here, by request class."""

from __future__ import annotations

from collections import deque
from statistics import median

from lichencleat.admission.pools import RequestPools
from lichencleat.admission.types import NodeSpec, Request, RequestClass

RUNS_KEPT = 16  # last run times of each class: a few seconds' worth on a busy node
RUNS_FEW = 4  # of one class: with fewer, all classes' runs tell more


class ServiceTimes:
    """Keeps the last service times and expected costs of each class, in µs."""

    def __init__(self, spec: NodeSpec, pools: RequestPools) -> None:
        self.cores = spec.cores
        self.pools = pools
        self.samples: dict[RequestClass, deque[int]] = {
            each: deque(maxlen=RUNS_KEPT) for each in spec.request_classes
        }
        self.costs: dict[RequestClass, deque[int]] = {
            each: deque(maxlen=RUNS_KEPT) for each in spec.request_classes
        }
        self._medians: dict[RequestClass | None, float] = {}  # worked out since the last run ended

    def add(self, request_class: RequestClass, took: int) -> None:
        """Add the service time of a run that has ended."""
        self.samples.setdefault(request_class, deque(maxlen=RUNS_KEPT)).append(took)
        self._medians.clear()

    def seed(self, request_class: RequestClass, took: int) -> None:
        """Take the usual time of the process before as a first guess, if no run of this one has ended."""
        samples = self.samples.setdefault(request_class, deque(maxlen=RUNS_KEPT))
        if not samples:
            samples.append(took)
            self._medians.clear()

    def add_cost(self, request: Request) -> None:
        """Add the core time that a request is expected to take, where it is told."""
        if request.cost:
            self.costs.setdefault(request.request_class, deque(maxlen=RUNS_KEPT)).append(request.cost)

    def usual(self, request_class: RequestClass | None = None) -> float:
        """Return the median time of a run, of this class if enough of it is known."""
        own = self.samples.get(request_class, ()) if request_class else ()
        request_class = request_class if len(own) >= RUNS_FEW else None
        if request_class not in self._medians:
            times = own if request_class else [took for times in self.samples.values() for took in times]
            self._medians[request_class] = median(times or [0.0])
        return self._medians[request_class]

    def current(self, now: int, request_class: RequestClass | None = None) -> float:
        """Return the usual time of a run; what is under way tells sooner than what has ended."""
        under_way = [now - each.started for each in self.pools.started() if each.started]
        age = median(under_way) if len(under_way) >= self.cores else 0.0
        return max(self.usual(request_class), age)

    def relative_size(self, request: Request) -> float:
        """Return the expected cost of a request in medians of its class; 1 where it is not told."""
        costs = self.costs.get(request.request_class, ())
        known = request.cost and len(costs) >= RUNS_FEW
        return request.cost / max(1.0, median(costs)) if known else 1.0
