"""The clocks of every process: timers and leases on the monotonic one, moments told to others on Unix time.

A step of the system's clock moves no timer and no lease. For the rig, the variable LICHENCLEAT_RIG_CLOCK
names a file by which both run wrong; see `testkit/cluster/clock.py`.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

RIG = "LICHENCLEAT_RIG_CLOCK"
monotonic: Callable[[], float] = time.monotonic  # s
unix_ns: Callable[[], int] = time.time_ns
if os.environ.get(RIG):
    from lichencleat.testkit.cluster.clock import RigClock

    rigged = RigClock(os.environ[RIG])
    monotonic, unix_ns = rigged.monotonic, rigged.unix_ns


def unix_time() -> int:
    """µs. It may step, in either direction."""
    return unix_ns() // 1000


class Reactor(EPollReactor):
    """Its timers hang on the monotonic clock; Twisted's own hang on Unix time."""

    seconds = staticmethod(monotonic)


def make_reactor() -> Reactor:
    """The one reactor of this process."""
    reactor = Reactor()
    installReactor(reactor)
    return reactor
