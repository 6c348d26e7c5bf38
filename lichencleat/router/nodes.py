"""What a router knows of each node, and which one it sends a request to; no I/O."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import median

from lichencleat.admission.types import CapacitySignal
from lichencleat.failover.outlier_ejection import OutlierEjector
from lichencleat.router.terms import Came

TOOK_KEPT = 64  # last answers of a zone: some hundred ms of a busy one
TOOK_FEW = 8  # of them tell how long an answer takes
TURNED_AWAY = 50_000  # µs to stay away from a node that defers and does not say how long: half of its round
# µs to stay away from one that could not be reached, or has broken a connection: a process starts no sooner.
# Harm: one broken connection costs a node that long of this router's load.
UNREACHED = 200_000


@dataclass(slots=True)
class Known:
    value: float | None = None  # what it told last
    away_until: int = 0  # µs of Unix time
    in_hand: int = 0  # tries of this router


@dataclass(slots=True)
class Zone:
    nodes: dict[str, Known]
    outliers: OutlierEjector
    took: deque[int] = field(default_factory=lambda: deque(maxlen=TOOK_KEPT))  # µs from try to answer


class Nodes:
    def __init__(self, zones: dict[str, list[str]], told: CapacitySignal, rng: random.Random) -> None:
        self.told, self.rng = told, rng
        self.zones: dict[str, Zone] = {}
        self.zone_of: dict[str, str] = {}
        self.members(zones)

    def members(self, zones: dict[str, list[str]]) -> None:
        """Who there is now. One that goes is sent nothing more; what it has in hand ends as it ends."""
        for name, nodes in zones.items():
            zone = self.zones.get(name) or Zone({}, OutlierEjector())
            zone.nodes = {each: zone.nodes.get(each) or Known() for each in nodes}
            zone.outliers.set_nodes(nodes)
            self.zones[name] = zone
        for name in [each for each in self.zones if each not in zones]:
            del self.zones[name]
        self.zone_of = {node: name for name, zone in self.zones.items() for node in zone.nodes}

    def known(self, node: str) -> Known | None:
        zone = self.zones.get(self.zone_of.get(node, ""))
        return zone.nodes[node] if zone is not None else None

    def says(self, node: str, value: float) -> None:
        """The free value, as it stands in any answer; it counts from then on."""
        known = self.known(node)
        if known is not None:
            known.value = value

    def sent(self, node: str) -> None:
        known = self.known(node)
        if known is not None:
            known.in_hand += 1

    def over(self, now: int, node: str, came: Came, span: int, took: int) -> None:
        """A try there has come to its end. `span`: µs that the node asked to stay away."""
        zone = self.zones.get(self.zone_of.get(node, ""))
        if zone is None:
            return
        known = zone.nodes[node]
        known.in_hand = max(0, known.in_hand - 1)
        if came is not Came.ABANDONED:
            zone.outliers.record_outcome(now, node, came in (Came.HONOURED, Came.DEFERRED))
        if came is Came.HONOURED:
            zone.took.append(took)
        elif came is Came.DEFERRED:
            known.away_until = max(known.away_until, now + (span or TURNED_AWAY))
        elif came in (Came.UNSENT, Came.LOST):
            known.away_until = max(known.away_until, now + UNREACHED)

    def fit(self, now: int, zone: str, place: float, spent: Iterable[str] = ()) -> list[str]:
        """Those that a request of that place may be sent to, as they told."""
        known = self.zones[zone]
        return [
            node
            for node in known.outliers.eligible(now)
            if node not in spent
            and known.nodes[node].away_until <= now
            and self.takes(known.nodes[node], place)
        ]

    def takes(self, known: Known, place: float) -> bool:
        if known.value is None or self.told is CapacitySignal.NONE:
            return True
        if self.told is CapacitySignal.PRIORITY_THRESHOLD:
            return place >= known.value
        if self.told is CapacitySignal.WINDOW:
            return known.in_hand < max(1.0, known.value)
        return self.rng.random() < known.value

    def choose(self, now: int, zone: str, place: float, spent: Iterable[str] = ()) -> str | None:
        """The less loaded of two drawn ones: no herd comes upon the one that looks best to all routers."""
        fit = self.fit(now, zone, place, spent)
        if not fit:
            return None
        nodes = self.zones[zone].nodes
        return min(self.rng.sample(fit, min(2, len(fit))), key=lambda node: nodes[node].in_hand)

    def usual(self, zone: str) -> int:
        """µs from try to answer, 0 where too little is known."""
        took = self.zones[zone].took if zone in self.zones else ()
        return int(median(took)) if len(took) >= TOOK_FEW else 0

    def away(self, now: int, zone: str) -> int:
        """µs until the first of its nodes may be tried again, 0 where one may."""
        nodes = self.zones[zone].nodes.values() if zone in self.zones else ()
        return max(0, min((each.away_until for each in nodes), default=now) - now)

    def value(self, now: int, zone: str, callers: int) -> float | None:
        """What the router tells its callers in turn, by what the nodes of its zone told it.

        It holds as a sum over callers: a level and a chance count for each request, a window for each caller.
        """
        known = self.zones.get(zone)
        told = [
            known.nodes[node].value
            for node in (known.outliers.eligible(now) if known is not None else ())
            if known is not None and known.nodes[node].value is not None
        ]
        values = [each for each in told if each is not None]
        if not values or self.told is CapacitySignal.NONE:
            return None
        if self.told is CapacitySignal.WINDOW:
            return max(1.0, sum(values) / max(1, callers))
        return median(values)
