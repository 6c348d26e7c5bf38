"""Simulated time. Scheduled calls run in order of time; calls at the same time run in order of scheduling."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class Timer:
    """A scheduled call that can be cancelled until it runs."""

    __slots__ = ("call", "args", "finished")

    def __init__(self, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.call, self.args, self.finished = call, args, False

    def cancel(self) -> None:
        self.finished = True


class Clockwork:
    """Event queue and clock of a simulation."""

    def __init__(self) -> None:
        self.now = 0  # µs
        self.heap: list[tuple[int, int, Timer]] = []
        self.scheduled = 0

    def after(self, delay: int, call: Callable[..., None], *args: Any) -> Timer:
        """Schedule a call `delay` µs from now."""
        timer = Timer(call, args)
        self.scheduled += 1
        heapq.heappush(self.heap, (self.now + max(0, delay), self.scheduled, timer))
        return timer

    def run(self, until: int, stop: Callable[[], bool] = lambda: False) -> None:
        """Run the calls scheduled up to `until` (µs), or until `stop` returns true."""
        while self.heap and self.heap[0][0] <= until and not stop():
            self.now, _, timer = heapq.heappop(self.heap)
            if not timer.finished:
                timer.finished = True
                timer.call(*timer.args)
        self.now = max(self.now, until) if not stop() else self.now


class DriftingClock:
    """The monotonic clock of a machine, with its own start value (µs) and rate."""

    def __init__(self, clockwork: Clockwork, start: int = 0, rate: float = 1.0) -> None:
        self.clockwork = clockwork
        self.base, self.since, self.rate = start, clockwork.now, rate

    def __call__(self) -> int:
        return self.base + round((self.clockwork.now - self.since) * self.rate)

    def set_rate(self, rate: float) -> None:
        """Change the rate from now on; the current reading stays."""
        self.base, self.since, self.rate = self(), self.clockwork.now, rate

    def until(self, moment: int) -> int:
        """Return the simulated µs until this clock reads at least `moment`."""
        return max(0, round((moment - self()) / self.rate) + 1)
