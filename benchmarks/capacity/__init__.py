"""Slopes of each role, measured at several sizes, for docs/CAPACITY.md: `python -m benchmarks.capacity`.

A measurement gives lines: one figure of one role by one size, with the values of each run. `--quick` goes
through the same code at small sizes, for CI: what it measures says nothing, that the file has its form does.
"""

from __future__ import annotations

import gc
import os
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

from lichencleat.capacity.slopes import Line, Point

SECOND = 1_000_000  # µs


@dataclass(frozen=True, slots=True)
class Effort:
    """How much is measured."""

    quick: bool = False
    seed: int = 1
    take: tuple[str, ...] = ()  # files of other benchmarks whose figures are taken over

    def sizes(self, full: Sequence[int], quick: Sequence[int]) -> Sequence[int]:
        return quick if self.quick else full

    def runs(self, full: int) -> int:
        return 1 if self.quick else full

    def seconds(self, full: float) -> float:
        return min(full, 0.3) if self.quick else full


@dataclass(frozen=True, slots=True)
class Role:
    """One measurement: gives its lines."""

    how: str
    measure: Callable[[Effort], list[Line]]


class Lines:
    """Collects values by name and size, in whatever order they come."""

    def __init__(self, run: str, simulated: bool = False) -> None:
        self.run, self.simulated = run, simulated
        self.kinds: dict[str, tuple[str, str, str]] = {}
        self.values: dict[str, dict[float, list[float]]] = {}

    def kind(self, name: str, size: str, unit: str, note: str = "") -> None:
        self.kinds[name] = size, unit, note

    def add(self, name: str, size: float, value: float) -> None:
        self.values.setdefault(name, {}).setdefault(size, []).append(value)

    def made(self) -> list[Line]:
        found = []
        for name, (size, unit, note) in self.kinds.items():
            points = [
                Point(float(at), [float(f"{each:.6g}") for each in values])
                for at, values in sorted(self.values[name].items())
            ]
            found.append(Line(name, size, unit, self.run, points, self.simulated, note))
        return found


def cpu_of(pid: int) -> float:
    """Seconds of processor time that a process has used, all threads, as its scheduler counts them (ns)."""
    total = 0
    for each in Path(f"/proc/{pid}/task").iterdir():
        total += int((each / "schedstat").read_text().split()[0])
    return total / 1e9


def resident(pid: int) -> int:
    """Bytes that a process holds in memory."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def took(call: Callable[[], object], times: int) -> float:
    """Seconds of processor time of one call, over so many; without the collector's rounds."""
    gc.collect()
    gc.disable()
    try:
        begun = time.process_time()
        for _ in range(times):
            call()
        return (time.process_time() - begun) / times
    finally:
        gc.enable()


def enough(call: Callable[[], object], seconds: float) -> float:
    """As `took`, over as many calls as take about so long."""
    one = max(took(call, 1), 1e-6)
    return took(call, max(1, min(100_000, round(seconds / one))))
