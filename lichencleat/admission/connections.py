"""The idle timeout of callers' connections."""

from __future__ import annotations

from collections import deque
from math import exp

from lichencleat.admission.types import NodeSpec

MAX_CALLER_SAMPLES = 64  # of the last arrivals: about ten seconds on two cores
MIN_RETURNING_SHARE = 0.5  # of the last arrivals, from callers seen before; below it, callers do not return
MIN_IDLE_TIMEOUT_US = 100_000  # of one-time callers' connections: no further request is expected on them
UPDATE_PERIOD_US = 1_000_000  # between changes of the one-time callers' timeout: about ten arrivals
# Of the timeout's logarithm, per task and core above the maximum: an excess of a third is a factor of e.
TIMEOUT_GAIN = 3
# Bounds of the factor of one change: the maximum timeout is reached in two or three changes, and left slowly.
TIMEOUT_STEP_RANGE = (2 / 3, 8)
MAX_OTHER_RUNNABLE_PER_CORE = 1.5  # tasks besides runs; reading is at most one, the rest open connections


class IdleTimeout:
    """Keeps connections of callers that return or are few enough to return; closes those of others soon.

    Prevents a table full of idle connections, which also slows the node. Cost: more handshakes.
    """

    def __init__(self, spec: NodeSpec) -> None:
        self.cores = spec.cores
        self.max_timeout = spec.idle_timeout_us
        self.has_few_callers = 0 < spec.callers <= MIN_RETURNING_SHARE * MAX_CALLER_SAMPLES
        self.recent_callers: deque[int] = deque(maxlen=MAX_CALLER_SAMPLES)
        self.is_overloaded = False  # connections took up the cores in the last period
        self._one_time_caller_timeout = float(MIN_IDLE_TIMEOUT_US)
        self._next_update = 0
        self._other_runnable_sum: float = 0
        self._other_runnable_samples = 0

    def current(self) -> int:
        """Return the timeout (µs) that the host should use from now on."""
        callers = self.recent_callers
        if (
            self.has_few_callers
            or len(callers) - len(set(callers)) >= MIN_RETURNING_SHARE * MAX_CALLER_SAMPLES
        ):
            return self.max_timeout
        return int(min(self._one_time_caller_timeout, self.max_timeout))

    def update(self, now: int, other_runnable: float) -> None:
        """Move the timeout by integral feedback on its logarithm.

        While opening connections and reading take up the cores, the connection table is left full, as a full
        table refuses callers at no cost. Otherwise it is emptied, as a full table takes capacity and keeps
        callers out. Prevents overload by connection attempts of any origin: callers that try one node of
        their list after another, clients' retries, a caller's burst. Cost: a caller that makes a single
        attempt is refused while the table is full.

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
