"""Slow start: the concurrency that a node survives (sustains without collapsing) while it warms up."""

from __future__ import annotations

from lichencleat.admission.types import NodeSpec

# Maximum of started requests, as a fraction of the concurrency that the node survives; started requests that
# wait for calls may all want a core again at once.
SURVIVABLE_SHARE = 0.6


class SlowStart:
    """Estimates the minimum speed of a node after a cold start, and how many requests it may start meanwhile.

    The speed is not measured: it is assumed to rise linearly from the configured cold speed to full speed
    during the configured warm-up time.
    """

    def __init__(self, spec: NodeSpec) -> None:
        self.cores = spec.cores
        self.max_concurrency_per_core = spec.max_concurrency_per_core
        self.cold_speed_share = spec.cold_speed_share if spec.starts_cold else 1.0
        self.warmup_us = spec.warmup_us if spec.starts_cold else 0
        self.started_at: int | None = None

    def speed(self, now: int) -> float:
        """Return the node's minimum speed as a fraction of full speed; 1 if the node is warm."""
        age = 0 if self.started_at is None else now - self.started_at
        return min(1.0, self.cold_speed_share + (1 - self.cold_speed_share) * age / max(1, self.warmup_us))

    def survivable_concurrency(self, now: int) -> float:
        """Return the number of running requests that the node survives at its minimum speed."""
        return self.cores * (1 + (self.max_concurrency_per_core - 1) * self.speed(now))

    def concurrency_bound(self, now: int) -> float:
        """Return how many requests may be started: a fraction of the concurrency that the node survives."""
        return self.survivable_concurrency(now) * SURVIVABLE_SHARE
