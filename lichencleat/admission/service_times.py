"""Service times: how long runs take on this node, by request class."""

from __future__ import annotations

from collections import deque
from statistics import median

from lichencleat.admission.pools import RequestPools
from lichencleat.admission.types import NodeSpec, Request, RequestClass

MAX_RUN_SAMPLES = 16  # runs kept per class: a few seconds of runs on a busy node
# Number of a class's runs from which on the class's own median is used; with fewer runs, the median of all
# classes is more reliable.
MIN_RUN_SAMPLES = 4


class ServiceTimes:
    """Keeps the last service times and expected costs of each class, in µs."""

    def __init__(self, spec: NodeSpec, pools: RequestPools) -> None:
        self.cores = spec.cores
        self.pools = pools
        self.samples: dict[RequestClass, deque[int]] = {
            each: deque(maxlen=MAX_RUN_SAMPLES) for each in spec.request_classes
        }
        self.costs: dict[RequestClass, deque[int]] = {
            each: deque(maxlen=MAX_RUN_SAMPLES) for each in spec.request_classes
        }
        self._medians: dict[RequestClass | None, float] = {}  # cached; cleared when a run ends

    def add(self, request_class: RequestClass, took: int) -> None:
        """Add the service time of a run that has ended."""
        self.samples.setdefault(request_class, deque(maxlen=MAX_RUN_SAMPLES)).append(took)
        self._medians.clear()

    def seed(self, request_class: RequestClass, took: int) -> None:
        """Use a service time of the previous process as the first sample, if there is no sample yet."""
        samples = self.samples.setdefault(request_class, deque(maxlen=MAX_RUN_SAMPLES))
        if not samples:
            samples.append(took)
            self._medians.clear()

    def add_cost(self, request: Request) -> None:
        """Add the expected core time of a request, if it is known."""
        if request.cost:
            self.costs.setdefault(request.request_class, deque(maxlen=MAX_RUN_SAMPLES)).append(request.cost)

    def usual(self, request_class: RequestClass | None = None) -> float:
        """Return the median service time (µs) of a class, or of all classes if the class has few samples."""
        own = self.samples.get(request_class, ()) if request_class else ()
        request_class = request_class if len(own) >= MIN_RUN_SAMPLES else None
        if request_class not in self._medians:
            times = own if request_class else [took for times in self.samples.values() for took in times]
            self._medians[request_class] = median(times or [0.0])
        return self._medians[request_class]

    def current(self, now: int, request_class: RequestClass | None = None) -> float:
        """Return the median service time (µs), or the median age of current runs if that is longer.

        Current runs show a slowdown sooner than ended runs.
        """
        ages = [now - each.started for each in self.pools.started() if each.started]
        age = median(ages) if len(ages) >= self.cores else 0.0
        return max(self.usual(request_class), age)

    def relative_size(self, request: Request) -> float:
        """Return a request's expected core time as a multiple of its class's median; 1 if unknown."""
        costs = self.costs.get(request.request_class, ())
        is_known = request.cost and len(costs) >= MIN_RUN_SAMPLES
        return request.cost / max(1.0, median(costs)) if is_known else 1.0
