"""Interfaces through which a node's recovery uses its request engine and its store.

The classes that implement them belong to the node: its request engine, and the store of its idempotency
records.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sized
from typing import Protocol

from lichencleat.admission.types import Machine, Tariff

StoreReader = Callable[[bytes], bytes | None]  # the stored value of a key, None if there is none


class RunStatistics(Protocol):
    """The admission decisions, as far as they know how long runs take."""

    @property
    def run_times(self) -> Mapping[Tariff, Sized]:
        """The last run times, by request class."""
        ...

    def usual_run(self, tariff: Tariff | None = None) -> float:
        """µs of a usual run of a request class."""
        ...

    def ran_before(self, now: int, tariff: Tariff, took: int) -> None:
        """Take a run of the previous process as a first estimate."""
        ...


class RecoveringHost(Protocol):
    """The request engine of a node that recovers."""

    @property
    def machine(self) -> Machine:
        """The settings of the node."""
        ...

    @property
    def node(self) -> RunStatistics | None:
        """The admission decisions; None until the interpreter is up."""
        ...

    @property
    def tariffs(self) -> Mapping[bytes, Tariff]:
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
