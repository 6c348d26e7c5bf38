"""Outlier ejection: which nodes of a zone a router avoids for a while, by the outcome of attempts; no I/O.

As in Envoy, with the same risk: a node whose last attempts mostly failed is ejected, for longer each time;
its load falls on the others, so never more than a bounded part of a zone is ejected.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

MAX_OUTCOMES = 10  # last attempts of a node: some hundred ms of a busy one
MIN_OUTCOMES = 5  # attempts below which a node is not judged
FAILURE_THRESHOLD = 0.5  # fraction of them that failed
BASE_EJECTION_US = 1_000_000  # doubled with each ejection in a row
MAX_EJECTION_US = 60_000_000
MAX_EJECTED_FRACTION = 1 / 3  # of a zone's nodes at once
FORGET_AFTER_US = 30_000_000  # after an ejection: the next one is a first one again


@dataclass(slots=True)
class NodeHealth:
    """What a router knows of one node."""

    outcomes: deque[bool] = field(default_factory=lambda: deque(maxlen=MAX_OUTCOMES))  # succeeded
    ejected_until: int = 0  # µs
    ejections: int = 0  # in a row


class OutlierEjector:
    """Ejects the outliers among the nodes of one zone."""

    def __init__(self) -> None:
        self.nodes: dict[str, NodeHealth] = {}

    def set_nodes(self, names: list[str]) -> None:
        """Set which nodes belong to the zone; others are forgotten."""
        self.nodes = {name: self.nodes.get(name) or NodeHealth() for name in names}

    def record_outcome(self, now: int, node: str, succeeded: bool) -> None:
        """Record the outcome of an attempt at `now` (µs), and eject the node if it is an outlier."""
        health = self.nodes.get(node)
        if health is None:
            return
        health.outcomes.append(succeeded)
        if now >= health.ejected_until and self.is_outlier(health) and self.can_eject(now):
            self.eject(now, health)

    def is_outlier(self, health: NodeHealth) -> bool:
        """Whether the last attempts of a node mostly failed."""
        count = len(health.outcomes)
        return count >= MIN_OUTCOMES and health.outcomes.count(False) >= FAILURE_THRESHOLD * count

    def can_eject(self, now: int) -> bool:
        """Whether one more node of the zone may be ejected."""
        ejected = sum(now < each.ejected_until for each in self.nodes.values())
        return ejected + 1 <= MAX_EJECTED_FRACTION * len(self.nodes)

    def eject(self, now: int, health: NodeHealth) -> None:
        """Eject a node, twice as long as the time before."""
        is_repeated = now - health.ejected_until < FORGET_AFTER_US
        health.ejections = health.ejections + 1 if is_repeated else 1
        duration = min(MAX_EJECTION_US, BASE_EJECTION_US * 2 ** (health.ejections - 1))
        health.ejected_until = now + duration
        health.outcomes.clear()

    def eligible(self, now: int) -> list[str]:
        """The nodes that are not ejected at `now` (µs), in their order."""
        return [name for name, each in self.nodes.items() if now >= each.ejected_until]
