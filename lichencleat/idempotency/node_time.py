"""Node time: a clock that continues from the last heartbeat and does not advance while the node is down.

With node time, no idempotency window ends too early, even if the system clock was set meanwhile. Cost:
records are kept longer, by the time for which the node was down.
"""

from __future__ import annotations

from collections.abc import Callable

from lichencleat.idempotency.interfaces import Timers
from lichencleat.idempotency.records import Heartbeat


class NodeTime:
    """Computes node time from the monotonic clock and the last heartbeat. All times are in µs."""

    def __init__(self, timers: Timers, unix_clock: Callable[[], int]) -> None:
        self._timers = timers
        self._unix_clock = unix_clock
        self._origin = 0  # node time at `started_at`
        self.started_at = timers.now()  # monotonic clock when node time began to advance in this process
        self.last_heartbeat_unix = 0  # Unix time of the last heartbeat of the earlier process

    def resume(self, last: Heartbeat | None) -> None:
        """Continues from the last heartbeat of the earlier process, or from Unix time if `last` is None."""
        if last is None:
            last = Heartbeat(self._unix_clock(), self._unix_clock())
        self._origin = last.node_time
        self.last_heartbeat_unix = last.unix_time
        self.started_at = self._timers.now()

    def now(self) -> int:
        """Returns the current node time."""
        return self._origin + self._timers.now() - self.started_at

    def unix_now(self) -> int:
        """Returns the current Unix time by the system clock."""
        return self._unix_clock()

    def from_unix(self, unix_time: int) -> int:
        """Converts Unix time to node time, by the current system clock."""
        return self.now() - (self._unix_clock() - unix_time)

    def heartbeat(self) -> Heartbeat:
        """Returns a heartbeat with the current node time and Unix time."""
        return Heartbeat(self.now(), self._unix_clock())
