"""Figures of other benchmarks, taken over from their JSON files: table, relays, hollow nodes."""

from __future__ import annotations

from benchmarks.capacity import Effort
from lichencleat.capacity.slopes import Line


def taken(effort: Effort) -> list[Line]:
    return []
