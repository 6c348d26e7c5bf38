"""Interfaces to a node's request engine and to the store of its idempotency records.

The recovery package uses these interfaces; the node implements them.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from lichencleat.admission.service_times import ServiceTimes
from lichencleat.admission.types import NodeSpec, RequestClass

StoreReader = Callable[[bytes], bytes | None]  # returns the stored value of a key, None if it is absent


class RunStatistics(Protocol):
    """The part of the admission controller that records how long runs take."""

    @property
    def service_times(self) -> ServiceTimes:
        """The most recent service times, by request class."""
        ...

    def seed_run_time(self, now: int, request_class: RequestClass, took: int) -> None:
        """Use `took`, a run time (µs) that the previous process learned, as a first estimate."""
        ...


class RecoveringHost(Protocol):
    """The request engine of a recovering node."""

    @property
    def machine(self) -> NodeSpec:
        """The settings of the node."""
        ...

    @property
    def node(self) -> RunStatistics | None:
        """The admission controller; None until the interpreter is up."""
        ...

    @property
    def request_classes(self) -> Mapping[bytes, RequestClass]:
        """The request classes by name."""
        ...

    def clock(self) -> int:
        """The current time in µs of Unix time, by the node's system clock."""
        ...

    def ready(self) -> bool:
        """Whether the interpreter is up."""
        ...

    def load(self) -> float:
        """The load of the node, from 0 (idle).

        Half of the used fraction of the running limit, plus 6 times the failed fraction of the last 16 runs
        (0 if fewer runs have ended). So the load is 0.5 when the running limit is used in full and no run
        fails, and above 1 when several of the last runs failed. The load is 2 while there is no admission
        controller, or while the admission controller reports the node as unhealthy.
        """
        ...

    def speed(self) -> float:
        """Runs per second and core, from the usual service time; 1 if no service time is known."""
        ...

    def set_allowance(self, share: float, receipted: bool) -> None:
        """Set what the node may serve.

        Args:
            share: Fraction of arrivals that is admitted, 0 to 1.
            receipted: Whether keyed requests are admitted.
        """
        ...
