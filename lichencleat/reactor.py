"""The Twisted reactor and the clocks of every process.

Timers and leases use the monotonic clock, so that a change of the system clock does not affect them. Times
sent to other processes are Unix time.
"""

from __future__ import annotations

import time
from typing import Protocol

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

NANOSECONDS_PER_MICROSECOND = 1_000


class Clock(Protocol):
    """The two clocks of a process."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; the value never decreases."""

    def unix_ns(self) -> int:
        """Return Unix time in ns; a change of the system clock moves it forward or back."""


class SystemClock:
    """The monotonic clock and the system clock of the machine."""

    monotonic = staticmethod(time.monotonic)
    unix_ns = staticmethod(time.time_ns)


class Reactor(EPollReactor):
    """An epoll reactor whose timers use the monotonic clock; Twisted's own uses Unix time."""

    def __init__(self, clock: Clock) -> None:
        """Make a reactor whose timers use the monotonic time of `clock`."""
        self.seconds = clock.monotonic
        super().__init__()  # type: ignore[no-untyped-call]


_clock: Clock = SystemClock()


def install_clock(clock: Clock) -> None:
    """Replace the clocks of this process; must be called before the reactor is made.

    The test kit uses this function to run processes whose clocks drift or are set forward or back.
    """
    global _clock
    _clock = clock


def unix_time() -> int:
    """Return Unix time in µs; a change of the system clock moves it forward or back."""
    return _clock.unix_ns() // NANOSECONDS_PER_MICROSECOND


def make_reactor() -> Reactor:
    """Make and install the reactor of this process; at most one call per process."""
    reactor = Reactor(_clock)
    installReactor(reactor)  # type: ignore[no-untyped-call]
    return reactor
