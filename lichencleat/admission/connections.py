"""The idle timeout of callers' connections."""

from __future__ import annotations

from collections import deque
from math import exp

from lichencleat.admission.types import NodeSpec

CALLERS_KEPT = 64  # last arrivals: some ten seconds' worth on two cores
CALLERS_BACK = 0.5  # of them from a caller seen among them: with fewer, callers are strangers
IDLE_SOON = 100_000  # µs after which strangers' idle connections are closed: nothing more will come on them
IDLE_PERIOD = 1_000_000  # µs between changes of that span: some ten arrivals' worth
IDLE_GAIN = 3  # of its logarithm, by what wants a core beside runs: e-fold within a third of a core too much
IDLE_STEPS = (2 / 3, 8)  # times, at the most in one change: open again gently, shut in two or three
BESIDE = 1.5  # wanting a core beside runs, per core: reading is one at the most, the rest opens connections


class IdleTimeout:
    """Keeps connections of callers known to come back, or so few that they will be; closes strangers' soon.

    Guards against a table full of idle connections, which also slows the node. Harm: handshakes.
    """

    def __init__(self, spec: NodeSpec) -> None:
        self.cores = spec.cores
        self.max_timeout = spec.idle_timeout_us
        self.has_few_callers = 0 < spec.callers <= CALLERS_BACK * CALLERS_KEPT
        self.recent_callers: deque[int] = deque(maxlen=CALLERS_KEPT)
        self.is_crowded = False  # connections take the cores, over the last period
        self._strangers_timeout = float(IDLE_SOON)
        self._next_update = 0
        self._beside_sum: float = 0
        self._beside_samples = 0

    def current(self) -> int:
        """Return the timeout (µs) that the host is to use from now on."""
        seen = self.recent_callers
        if self.has_few_callers or len(seen) - len(set(seen)) >= CALLERS_BACK * CALLERS_KEPT:
            return self.max_timeout
        return int(min(self._strangers_timeout, self.max_timeout))

    def update(self, now: int, beside: float) -> None:
        """Move the timeout by integral feedback on its logarithm; `beside` wants a core beside the runs.

        Where opening connections and reading take the cores, a table left full turns callers away for
        nothing; where they take little, it is emptied, as it takes capacity and keeps callers out. Guards
        against any crowd of attempts: walks through the list, clients' retries, a caller's burst. Harm: a
        caller that makes one attempt finds no room while the table is full.
        """
        self._beside_sum += max(0, beside)
        self._beside_samples += 1
        if now < self._next_update:
            return
        over = self._beside_sum / self._beside_samples / self.cores - BESIDE
        self.is_crowded = over > 0
        least, most = IDLE_STEPS
        timeout = self._strangers_timeout * min(most, max(least, exp(min(most, IDLE_GAIN * over))))
        self._strangers_timeout = max(IDLE_SOON, min(timeout, self.max_timeout))
        self._next_update = now + IDLE_PERIOD
        self._beside_sum = 0
        self._beside_samples = 0
