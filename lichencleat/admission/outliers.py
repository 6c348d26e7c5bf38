"""Outlier self-detection: whether this node is stalled, far too slow, or reads its arrivals too late."""

from __future__ import annotations

from collections import deque
from statistics import median

from lichencleat.admission.concurrency import ConcurrencyLimit
from lichencleat.admission.downstream import DownstreamCalls
from lichencleat.admission.pools import RequestPools
from lichencleat.admission.service_times import ServiceTimes
from lichencleat.admission.timing import Timing
from lichencleat.admission.types import NodeSpec, Request, RequestClass

STALL_LEAST = 700_000  # µs without any progress on full cores: far over the gap between two ends of runs
SICK_RUNS = 0.5  # of the running limit: with fewer runs, chance alone may keep them all late
STALL_RUNS = 3  # median run times without progress
READ_LATE = 150_000  # µs from arrival to reading: several readings' worth, the cores are short for reading
DROWNED = 0.5  # of the longest objective, from arrival to reading: half is gone before anything begins
READS_KEPT = 16  # last such times: about a second's arrivals
READS_SPAN = 3_000_000  # µs that they count: a node that clears its unread lot must not go on looking drowned


class OutlierDetector:
    """Judges this node by its own progress; times are in µs."""

    def __init__(
        self,
        spec: NodeSpec,
        timing: Timing,
        pools: RequestPools,
        service_times: ServiceTimes,
        concurrency: ConcurrencyLimit,
        calls: DownstreamCalls,
    ) -> None:
        self.cores = spec.cores
        self.timing = timing
        self.pools = pools
        self.service_times = service_times
        self.concurrency = concurrency
        self.calls = calls
        self.progress_at = 0  # when a run last ended or reached a call
        self.on_time_at = 0  # when a run last ended within its objective
        self.read_times: deque[tuple[int, int]] = deque(maxlen=READS_KEPT)  # when, how long after arrival

    def reset_progress(self, now: int) -> None:
        """Count from now on: nothing ran before."""
        self.progress_at = now
        self.on_time_at = now

    def on_read(self, now: int, request: Request) -> None:
        """Note how long an arrival waited to be read."""
        self.read_times.append((now, now - request.arrived))

    def read_time(self, now: int) -> float:
        """Return how long arrivals wait to be read, by those of the last while."""
        return median([took for at, took in self.read_times if now - at <= READS_SPAN] or [0.0])

    def is_stalled(self, now: int) -> bool:
        """Return whether no run ended or reached a call for long, though the cores have work.

        Guards against any standstill, whatever its cause. It does harm where the few requests that run are
        all many times the usual size: arrivals then go elsewhere until one of them ends.
        """
        if len(self.pools.running) < min(self.cores, int(self.concurrency.running_limit)):
            return False
        long = max(STALL_LEAST * self.timing.scale, STALL_RUNS * self.service_times.current(now))
        return now - self.progress_at > long

    def is_sick(self, now: int) -> bool:
        """Return whether cores are at work, and nothing ended in time for the longest objective.

        Guards against any fault of this node alone, for the others may still serve what it cannot. An
        overloaded node still ends some in time. It does harm where all nodes are struck at once.
        """
        if self.is_stalled(now):
            return True
        least_running = min(self.cores, self.concurrency.running_limit) * SICK_RUNS
        late = now - self.on_time_at > self.timing.longest_objective
        return len(self.pools.running) >= least_running and late

    def is_drowned(self, now: int) -> bool:
        """Return whether arrivals are read so late that their answers come too late."""
        return self.read_time(now) > self.timing.longest_objective * DROWNED

    def is_slow(self, now: int, request_class: RequestClass) -> bool:
        """Return whether a request would be late here even alone, and that not for its calls."""
        late = self.service_times.current(now, request_class) > request_class.latency_objective
        return late and not self.calls.are_slow()
