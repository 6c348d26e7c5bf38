"""Outlier self-detection: whether this node is stalled, far too slow, or reads arrivals too late."""

from __future__ import annotations

from collections import deque
from statistics import median

from lichencleat.admission.concurrency import ConcurrencyLimit
from lichencleat.admission.downstream import DownstreamCalls
from lichencleat.admission.pools import RequestPools
from lichencleat.admission.service_times import ServiceTimes
from lichencleat.admission.timing import Timing
from lichencleat.admission.types import NodeSpec, Request, RequestClass

# Least time without progress, while every core has a run, that counts as a stall: far above the time between
# the ends of two runs.
MIN_STALL_US = 700_000
# Least number of runs, as a fraction of the cores or of a lower running limit, for the check for missed
# objectives. With fewer runs, all of them may be late by chance.
MIN_RUNNING_SHARE = 0.5
STALL_FACTOR = 3  # a stall lasts at least this multiple of the median service time
# Delay from arrival to reading above which the node counts as reading late. One read takes a fraction of this
# time, so a longer delay means that the cores lack time for reading.
LATE_READ_DELAY_US = 150_000
# Delay from arrival to reading, as a fraction of the longest latency objective, above which the node counts
# as unhealthy: that fraction of the objective is used up before the request is read.
MAX_READ_DELAY_SHARE = 0.5
MAX_READ_SAMPLES = 16  # arrivals whose read delays are kept: about a second of arrivals
# Older samples do not count, so that a node that has read its backlog no longer reports late reading.
MAX_READ_SAMPLE_AGE_US = 3_000_000


class OutlierDetector:
    """Detects faults of this node from its own progress; times are in µs."""

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
        self.progress_at = 0  # time at which a run last ended or reached a call
        self.on_time_at = 0  # time at which a run last ended within its objective
        self.read_delays: deque[tuple[int, int]] = deque(maxlen=MAX_READ_SAMPLES)  # time of reading, delay

    def reset_progress(self, now: int) -> None:
        """Restart the time without progress, as no request was running before."""
        self.progress_at = now
        self.on_time_at = now

    def on_read(self, now: int, request: Request) -> None:
        """Record how long an arrival waited to be read."""
        self.read_delays.append((now, now - request.arrived))

    def read_delay(self, now: int) -> float:
        """Return the median time (µs) that recent arrivals waited to be read, 0 without recent arrivals."""
        return median(
            [delay for at, delay in self.read_delays if now - at <= MAX_READ_SAMPLE_AGE_US] or [0.0]
        )

    def is_stalled(self, now: int) -> bool:
        """Return whether no run has ended or reached a call for a long time although the cores have work.

        Detects a standstill of any cause. Cost: while the few running requests are all many times the usual
        size, arrivals are sent to other nodes until one of the runs ends.
        """
        if len(self.pools.running) < min(self.cores, int(self.concurrency.running_limit)):
            return False
        stall_time = max(MIN_STALL_US * self.timing.scale, STALL_FACTOR * self.service_times.current(now))
        return now - self.progress_at > stall_time

    def is_missing_objectives(self, now: int) -> bool:
        """Return whether requests run, but none has met its objective for as long as the longest objective.

        Detects faults of a single node, whose requests other nodes may still serve. Overload alone is not
        detected, as an overloaded node still ends some runs in time. Cost: if all nodes are faulty at once,
        all of them count as unhealthy.
        """
        if self.is_stalled(now):
            return True
        min_running = min(self.cores, self.concurrency.running_limit) * MIN_RUNNING_SHARE
        late = now - self.on_time_at > self.timing.longest_objective
        return len(self.pools.running) >= min_running and late

    def is_read_delay_excessive(self, now: int) -> bool:
        """Return whether arrivals are read so late that their answers would miss the latency objective."""
        return self.read_delay(now) > self.timing.longest_objective * MAX_READ_DELAY_SHARE

    def is_slow(self, now: int, request_class: RequestClass) -> bool:
        """Return whether runs of a request class take longer than the latency objective of the class.

        False while the last calls to dependencies were slow or failed, which would explain the long runs.
        """
        late = self.service_times.current(now, request_class) > request_class.latency_objective
        return late and not self.calls.are_slow()
