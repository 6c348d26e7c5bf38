"""Interfaces through which a node's recovery uses its request engine and its store.

The classes that implement them belong to the node: its request engine, and the store of its idempotency
records.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from lichencleat.admission.service_times import ServiceTimes
from lichencleat.admission.types import NodeSpec, RequestClass

StoreReader = Callable[[bytes], bytes | None]  # the stored value of a key, None if there is none


class RunStatistics(Protocol):
    """The admission decisions, as far as they know how long runs take."""

    @property
    def service_times(self) -> ServiceTimes:
        """The last service times, by request class."""
        ...

    def seed_run_time(self, now: int, request_class: RequestClass, took: int) -> None:
        """Take a run of the previous process as a first estimate."""
        ...


class RecoveringHost(Protocol):
    """The request engine of a node that recovers."""

    @property
    def machine(self) -> NodeSpec:
        """The settings of the node."""
        ...

    @property
    def node(self) -> RunStatistics | None:
        """The admission decisions; None until the interpreter is up."""
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

    def strain(self) -> float:
        """The load: 0 idle, 0.5 at capacity, above 1 failing."""
        ...

    def speed(self) -> float:
        """Runs a second and core, 1 if none is known."""
        ...

    def may_serve(self, share: float, receipted: bool) -> None:
        """Set which fraction of its arrivals is admitted, and whether keyed requests are."""
        ...
