"""Outlier ejection: a router avoids nodes of a zone whose attempts fail, for a limited time; no I/O.

As in Envoy, a node is ejected if most of its last attempts failed, and for longer each time. The node's load
moves to the other nodes, so at most a fixed fraction of a zone's nodes is ejected at once.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

MAX_OUTCOMES = 10  # number of last attempts by which a node is judged: a busy node has as many in some 100 ms
MIN_OUTCOMES = 5  # a node with fewer attempts is not judged
FAILURE_THRESHOLD = 0.5  # a node is an outlier if at least this fraction of its last attempts failed
BASE_EJECTION_US = 1_000_000  # duration of a first ejection; doubled with each further consecutive ejection
MAX_EJECTION_US = 60_000_000
MAX_EJECTED_FRACTION = 1 / 3  # largest fraction of a zone's nodes that may be ejected at once
FORGET_AFTER_US = 30_000_000  # an ejection that begins this long after the previous one counts as a first one


@dataclass(slots=True)
class NodeHealth:
    """The last outcomes and ejections of one node."""

    outcomes: deque[bool] = field(default_factory=lambda: deque(maxlen=MAX_OUTCOMES))  # True: success
    ejected_until: int = 0  # µs: end of the last ejection
    ejections: int = 0  # number of consecutive ejections


class OutlierEjector:
    """Ejects the outliers among the nodes of one zone."""

    def __init__(self) -> None:
        self.nodes: dict[str, NodeHealth] = {}

    def set_nodes(self, names: list[str]) -> None:
        """Set the nodes of the zone; the health of other nodes is dropped."""
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
        """Whether at least `FAILURE_THRESHOLD` of a node's last attempts failed."""
        count = len(health.outcomes)
        return count >= MIN_OUTCOMES and health.outcomes.count(False) >= FAILURE_THRESHOLD * count

    def can_eject(self, now: int) -> bool:
        """Whether one more node of the zone may be ejected."""
        ejected = sum(now < each.ejected_until for each in self.nodes.values())
        return ejected + 1 <= MAX_EJECTED_FRACTION * len(self.nodes)

    def eject(self, now: int, health: NodeHealth) -> None:
        """Eject a node; each consecutive ejection lasts twice as long as the previous one."""
        is_repeated = now - health.ejected_until < FORGET_AFTER_US
        health.ejections = health.ejections + 1 if is_repeated else 1
        duration = min(MAX_EJECTION_US, BASE_EJECTION_US * 2 ** (health.ejections - 1))
        health.ejected_until = now + duration
        health.outcomes.clear()

    def eligible(self, now: int) -> list[str]:
        """Return the nodes that are not ejected at `now` (µs), in the order of `set_nodes`."""
        return [name for name, each in self.nodes.items() if now >= each.ejected_until]
