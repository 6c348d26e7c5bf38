"""Interfaces through which a node's recovery uses its request engine and its store.

The node implements them: with its request engine, and with the store of its idempotency records.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from lichencleat.admission.service_times import ServiceTimes
from lichencleat.admission.types import NodeSpec, RequestClass

StoreReader = Callable[[bytes], bytes | None]  # returns the stored value of a key, None if it is absent


class RunStatistics(Protocol):
    """The part of the admission controller that knows how long runs take."""

    @property
    def service_times(self) -> ServiceTimes:
        """The most recent service times, by request class."""
        ...

    def seed_run_time(self, now: int, request_class: RequestClass, took: int) -> None:
        """Use the run time (µs) learned by the previous process as a first estimate."""
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
        """µs of the node's clock."""
        ...

    def ready(self) -> bool:
        """Whether the interpreter is up."""
        ...

    def load(self) -> float:
        """The load: 0 when idle, 0.5 at capacity, above 1 when runs fail."""
        ...

    def speed(self) -> float:
        """Runs per second and core, 1 if no service time is known."""
        ...

    def set_allowance(self, share: float, receipted: bool) -> None:
        """Set which fraction of arrivals is admitted, and whether keyed requests are among them."""
        ...
