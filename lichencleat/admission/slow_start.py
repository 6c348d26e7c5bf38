"""Slow start: how much a node survives while it warms up."""

from __future__ import annotations

from lichencleat.admission.types import NodeSpec

CROWD_PART = 0.6  # of the survivable concurrency: what waits on calls may come back to the cores at once


class SlowStart:
    """Tracks the least speed that a node may have since a cold start."""

    def __init__(self, spec: NodeSpec) -> None:
        self.cores = spec.cores
        self.max_concurrency_per_core = spec.max_concurrency_per_core
        self.cold_speed_share = spec.cold_speed_share if spec.starts_cold else 1.0
        self.warmup_us = spec.warmup_us if spec.starts_cold else 0
        self.started_at: int | None = None

    def speed(self, now: int) -> float:
        """Return the least share of its full speed that the node may have; 1 where it is warm."""
        age = 0 if self.started_at is None else now - self.started_at
        return min(1.0, self.cold_speed_share + (1 - self.cold_speed_share) * age / max(1, self.warmup_us))

    def survivable_concurrency(self, now: int) -> float:
        """Return how many running requests the node survives at that speed."""
        return self.cores * (1 + (self.max_concurrency_per_core - 1) * self.speed(now))

    def concurrency_bound(self, now: int) -> float:
        """Return how many requests may have begun: a part of what the node survives."""
        return self.survivable_concurrency(now) * CROWD_PART
