"""The timers of the program, in one heap that a single callLater of the reactor drives."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

# µs: if a timer fires later than this, the process was paused, and pending input is read before timers fire
MAX_LATENESS = 20_000
# Number of cancelled timers that may stay in the heap before the heap is rebuilt without them. As many timers
# are cancelled within a few seconds.
MAX_CANCELLED = 64


class Deadline:
    """A timer; `call` is None once the timer has fired or was cancelled."""

    __slots__ = ("call", "values")

    def __init__(self, call: Callable | None, values: tuple) -> None:
        self.call, self.values = call, values


class Deadlines:
    """A heap of timers over the reactor's monotonic clock."""

    def __init__(self, reactor: Any, log_exception: Callable[[str], None]) -> None:
        self.reactor, self.log_exception = reactor, log_exception
        self.heap: list[tuple[int, int, Deadline]] = []
        self.serial = self.cancelled = 0
        self.scheduled_call: Any = None
        self.scheduled_at = 0
        self.has_yielded = False

    def now(self) -> int:
        """Return the time of the reactor's monotonic clock in µs."""
        return int(self.reactor.seconds() * 1_000_000)

    def after(self, delay_us: int, call: Callable, *values: Any) -> Deadline:
        """Call a function after a delay in µs and return the timer.

        With a delay of 0, the reactor first reads the input that has already arrived.
        """
        deadline = Deadline(call, values)
        self.serial += 1
        heapq.heappush(self.heap, (self.now() + max(0, delay_us), self.serial, deadline))
        self.schedule()
        return deadline

    def cancel(self, deadline: Deadline | None) -> None:
        """Cancel a timer; do nothing for None or for a timer that has fired."""
        if deadline is None or deadline.call is None:
            return
        deadline.call = None
        self.cancelled += 1
        if self.cancelled > max(MAX_CANCELLED, len(self.heap) // 2):
            self.heap = [entry for entry in self.heap if entry[2].call]
            heapq.heapify(self.heap)
            self.cancelled = 0
            self.schedule()

    def schedule(self) -> None:
        """Schedule the reactor call for the earliest timer."""
        if not self.heap or (self.scheduled_call is not None and self.scheduled_at <= self.heap[0][0]):
            return
        if self.scheduled_call is not None:
            self.scheduled_call.cancel()
        self.scheduled_at = self.heap[0][0]
        self.scheduled_call = self.reactor.callLater(
            max(0, self.scheduled_at - self.now()) / 1_000_000, self.fire
        )

    def fire(self) -> None:
        """Fire the timers that are due.

        After a pause of the process, the reactor first reads its sockets once, so that input which arrived in
        time is handled before a timeout fires.
        """
        self.scheduled_call, now = None, self.now()
        if self.heap and now - self.heap[0][0] > MAX_LATENESS and not self.has_yielded:
            self.has_yielded, self.scheduled_at = True, 0
            self.scheduled_call = self.reactor.callLater(0, self.fire)
            return
        self.has_yielded = False
        due = []
        while self.heap and self.heap[0][0] <= now:
            due.append(heapq.heappop(self.heap)[2])
        for deadline in due:
            call, deadline.call = deadline.call, None
            if call is None:
                self.cancelled = max(0, self.cancelled - 1)
                continue
            try:
                call(*deadline.values)
            except Exception:
                self.log_exception("a timer")
        self.schedule()
