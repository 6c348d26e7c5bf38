"""Which nodes of a zone a router avoids for a while, by what they did to it; no I/O.

As Envoy's outlier ejection, with its figure and its harm: a node whose last tries mostly failed is left out,
for longer each time; harm: its share falls on the others, so never more than a stated part of a zone is left
out.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

KEPT = 10  # last tries of a node: some hundred ms of a busy one
FEW = 5  # tries under which nothing is said
FAILING = 0.5  # share of them lost
SPAN, SPAN_MOST = 1_000_000, 60_000_000  # µs left out at first, and at the most; twice as long each time
PART = 1 / 3  # of a zone's nodes, left out at once at the most
CALM = 30_000_000  # µs after which an earlier time is forgotten


@dataclass(slots=True)
class Known:
    last: deque[bool] = field(default_factory=lambda: deque(maxlen=KEPT))  # did they come back
    until: int = 0  # µs
    times: int = 0


class LeaveOut:
    def __init__(self) -> None:
        self.nodes: dict[str, Known] = {}

    def members(self, names: list[str]) -> None:
        """Who belongs to the zone now; others are forgotten."""
        self.nodes = {name: self.nodes.get(name) or Known() for name in names}

    def told(self, now: int, node: str, well: bool) -> None:
        known = self.nodes.get(node)
        if known is None:
            return
        known.last.append(well)
        failed = known.last.count(False)
        if now < known.until or len(known.last) < FEW or failed < FAILING * len(known.last):
            return
        out = sum(now < each.until for each in self.nodes.values())
        if out + 1 > PART * len(self.nodes):
            return
        known.times = known.times + 1 if now - known.until < CALM else 1
        known.until = now + min(SPAN_MOST, SPAN * 2 ** (known.times - 1))
        known.last.clear()

    def fit(self, now: int) -> list[str]:
        """Those that may be tried, in order."""
        return [name for name, each in self.nodes.items() if now >= each.until]
