"""The one ordered structure in which every timer of the program hangs, over one callLater."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

LATE = 20_000  # µs: later than this the process was held up, and what came meanwhile is read first
DEAD_MOST = 64  # cancelled timers in the heap before it is built anew: a few seconds' worth


class Deadline:
    __slots__ = ("call", "values")

    def __init__(self, call: Callable | None, values: tuple) -> None:
        self.call, self.values = call, values


class Deadlines:
    def __init__(self, reactor: Any, trouble: Callable[[str], None]) -> None:
        self.reactor, self.trouble = reactor, trouble
        self.heap: list[tuple[int, int, Deadline]] = []
        self.serial = self.dead = 0
        self.armed: Any = None
        self.armed_at = 0
        self.has_read = False

    def now(self) -> int:
        return int(self.reactor.seconds() * 1_000_000)

    def after(self, span: int, call: Callable, *values: Any) -> Deadline:
        """Calls in so many µs; with 0 once the reactor has read what is there now."""
        deadline = Deadline(call, values)
        self.serial += 1
        heapq.heappush(self.heap, (self.now() + max(0, span), self.serial, deadline))
        self.arm()
        return deadline

    def cancel(self, deadline: Deadline | None) -> None:
        """A deadline that has passed, or none, may be cancelled as well."""
        if deadline is None or deadline.call is None:
            return
        deadline.call = None
        self.dead += 1
        if self.dead > max(DEAD_MOST, len(self.heap) // 2):
            self.heap = [entry for entry in self.heap if entry[2].call]
            heapq.heapify(self.heap)
            self.dead = 0
            self.arm()

    def arm(self) -> None:
        if not self.heap or (self.armed is not None and self.armed_at <= self.heap[0][0]):
            return
        if self.armed is not None:
            self.armed.cancel()
        self.armed_at = self.heap[0][0]
        self.armed = self.reactor.callLater(max(0, self.armed_at - self.now()) / 1_000_000, self.fire)

    def fire(self) -> None:
        """Guards against judging by the clock after a pause: the reactor reads once before what is late."""
        self.armed, now = None, self.now()
        if self.heap and now - self.heap[0][0] > LATE and not self.has_read:
            self.has_read, self.armed_at = True, 0
            self.armed = self.reactor.callLater(0, self.fire)
            return
        self.has_read = False
        due = []
        while self.heap and self.heap[0][0] <= now:
            due.append(heapq.heappop(self.heap)[2])
        for deadline in due:
            call, deadline.call = deadline.call, None
            if call is None:
                self.dead = max(0, self.dead - 1)
                continue
            try:
                call(*deadline.values)
            except Exception:
                self.trouble("a timer")
        self.arm()
