"""Simulated time: calls in the order of their moment, and of their making where that is the same."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class Timer:
    __slots__ = ("call", "args", "over")

    def __init__(self, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.call, self.args, self.over = call, args, False

    def cancel(self) -> None:
        self.over = True


class Clockwork:
    def __init__(self) -> None:
        self.now = 0  # µs
        self.heap: list[tuple[int, int, Timer]] = []
        self.made = 0

    def after(self, span: int, call: Callable[..., None], *args: Any) -> Timer:
        timer = Timer(call, args)
        self.made += 1
        heapq.heappush(self.heap, (self.now + max(0, span), self.made, timer))
        return timer

    def run(self, until: int, stop: Callable[[], bool] = lambda: False) -> None:
        while self.heap and self.heap[0][0] <= until and not stop():
            self.now, _, timer = heapq.heappop(self.heap)
            if not timer.over:
                timer.over = True
                timer.call(*timer.args)
        self.now = max(self.now, until) if not stop() else self.now


class DriftingClock:
    """A machine's monotonic clock: it starts anywhere and runs at a rate of its own."""

    def __init__(self, clockwork: Clockwork, start: int = 0, rate: float = 1.0) -> None:
        self.clockwork = clockwork
        self.base, self.since, self.rate = start, clockwork.now, rate

    def __call__(self) -> int:
        return self.base + round((self.clockwork.now - self.since) * self.rate)

    def runs(self, rate: float) -> None:
        self.base, self.since, self.rate = self(), self.clockwork.now, rate

    def until(self, moment: int) -> int:
        """Simulated µs until this clock shows that moment."""
        return max(0, round((moment - self()) / self.rate) + 1)
