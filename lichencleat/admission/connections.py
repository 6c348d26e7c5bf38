"""The idle timeout of callers' connections."""

from __future__ import annotations

from collections import deque
from math import exp

from lichencleat.admission.types import NodeSpec

MAX_CALLER_SAMPLES = 64  # arrivals whose callers are remembered: about ten seconds on two cores
# Minimum fraction of the last `MAX_CALLER_SAMPLES` arrivals that come from callers seen before. Below this
# minimum, callers count as one-time callers, who do not return, and their shorter idle timeout applies.
MIN_RETURNING_SHARE = 0.5
# Minimum idle timeout of one-time callers' connections, on which no further request is expected.
MIN_IDLE_TIMEOUT_US = 100_000
# Time between two changes of the one-time callers' timeout; about ten callers arrive in this time.
UPDATE_PERIOD_US = 1_000_000
# Change of the logarithm of the one-time callers' timeout, per task and core above
# `MAX_OTHER_RUNNABLE_PER_CORE`. An excess of a third of a task per core multiplies the timeout by e.
TIMEOUT_GAIN = 3
# Least and greatest factor of one change: the timeout reaches its maximum in two or three changes and falls
# slowly.
TIMEOUT_STEP_RANGE = (2 / 3, 8)
# Tasks per core that want to run, besides runs of requests, above which opening connections counts as an
# overload. Reading is at most one of these tasks, all others open connections.
MAX_OTHER_RUNNABLE_PER_CORE = 1.5


class IdleTimeout:
    """Decides how long the host keeps a connection without requests open.

    Connections are kept for the maximum time if callers return, or are so few that they have to. Connections
    of one-time callers are closed soon. Prevents a connection table full of idle connections, which also
    slows the node. Cost: more handshakes.
    """

    def __init__(self, spec: NodeSpec) -> None:
        self.cores = spec.cores
        self.max_timeout = spec.idle_timeout_us
        self.has_few_callers = 0 < spec.callers <= MIN_RETURNING_SHARE * MAX_CALLER_SAMPLES
        self.recent_callers: deque[int] = deque(maxlen=MAX_CALLER_SAMPLES)
        self.is_overloaded = False  # whether opening connections took up the cores in the last update period
        self._one_time_caller_timeout = float(MIN_IDLE_TIMEOUT_US)
        self._next_update = 0
        self._other_runnable_sum: float = 0
        self._other_runnable_samples = 0

    def current(self) -> int:
        """Return the idle timeout (µs) that the host should use from now on."""
        callers = self.recent_callers
        if (
            self.has_few_callers
            or len(callers) - len(set(callers)) >= MIN_RETURNING_SHARE * MAX_CALLER_SAMPLES
        ):
            return self.max_timeout
        return int(min(self._one_time_caller_timeout, self.max_timeout))

    def update(self, now: int, other_runnable: float) -> None:
        """Move the one-time callers' timeout by integral feedback on its logarithm.

        While opening connections and reading take up the cores, a long timeout leaves the connection table
        full, as a full table refuses callers at no cost. Otherwise a short timeout empties the table, as a
        full table takes capacity and keeps callers out. Prevents overload by connection attempts of any
        origin: callers that try one node of their list after another, clients' retries, a caller's burst.
        Cost: a caller that makes a single attempt is refused while the table is full.

        `other_runnable` is the number of tasks besides runs that want a core.
        """
        self._other_runnable_sum += max(0, other_runnable)
        self._other_runnable_samples += 1
        if now < self._next_update:
            return
        excess = (
            self._other_runnable_sum / self._other_runnable_samples / self.cores - MAX_OTHER_RUNNABLE_PER_CORE
        )
        self.is_overloaded = excess > 0
        min_factor, max_factor = TIMEOUT_STEP_RANGE
        timeout = self._one_time_caller_timeout * min(
            max_factor, max(min_factor, exp(min(max_factor, TIMEOUT_GAIN * excess)))
        )
        self._one_time_caller_timeout = max(MIN_IDLE_TIMEOUT_US, min(timeout, self.max_timeout))
        self._next_update = now + UPDATE_PERIOD_US
        self._other_runnable_sum = 0
        self._other_runnable_samples = 0
