"""State of each node as the router sees it, and the choice of a node for a request; no I/O."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import median

from lichencleat.admission.types import CapacitySignal
from lichencleat.failover.outlier_ejection import OutlierEjector
from lichencleat.router.terms import AttemptOutcome

MAX_RESPONSE_TIMES = 64  # recent response times kept per zone; a busy zone has as many in some hundred ms
MIN_RESPONSE_TIMES = 8  # with fewer response times, the typical response time is unknown
# backoff after a rejection without a retry-after: half of the period in which a node updates its capacity
REJECTION_BACKOFF_US = 50_000
# Backoff after a failed or broken connection; a node takes at least as long to start.
# Cost: after one broken connection, the node gets no requests of this router for this time.
CONNECTION_BACKOFF_US = 200_000


@dataclass(slots=True)
class NodeState:
    """Advertised capacity, backoff and load of a node."""

    capacity: float | None = None  # last advertised capacity; None: not advertised yet
    backoff_until: int = 0  # µs of Unix time: the node gets no requests before
    in_flight: int = 0  # this router's attempts in flight


@dataclass(slots=True)
class ZoneState:
    """The nodes of a zone, their outlier ejection and the zone's recent response times."""

    nodes: dict[str, NodeState]
    outlier_ejector: OutlierEjector
    response_times: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_RESPONSE_TIMES))  # µs


class Nodes:
    """The nodes of all zones.

    Args:
        zones: Names of the nodes by zone.
        capacity_signal: What the nodes' advertised capacity means.
        rng: Source of randomness.
    """

    def __init__(
        self, zones: dict[str, list[str]], capacity_signal: CapacitySignal, rng: random.Random
    ) -> None:
        self.capacity_signal, self.rng = capacity_signal, rng
        self.zones: dict[str, ZoneState] = {}
        self.zone_of: dict[str, str] = {}
        self.set_members(zones)

    def set_members(self, zones: dict[str, list[str]]) -> None:
        """Replace the set of nodes. A removed node gets no new requests; its attempts in flight continue."""
        for name, nodes in zones.items():
            zone = self.zones.get(name) or ZoneState({}, OutlierEjector())
            zone.nodes = {each: zone.nodes.get(each) or NodeState() for each in nodes}
            zone.outlier_ejector.set_nodes(nodes)
            self.zones[name] = zone
        for name in [each for each in self.zones if each not in zones]:
            del self.zones[name]
        self.zone_of = {node: name for name, zone in self.zones.items() for node in zone.nodes}

    def state_of(self, node: str) -> NodeState | None:
        """Return the state of a node, or None if the node is unknown."""
        zone = self.zones.get(self.zone_of.get(node, ""))
        return zone.nodes[node] if zone is not None else None

    def on_capacity(self, node: str, capacity: float) -> None:
        """Record the capacity that the node advertises in an answer."""
        state = self.state_of(node)
        if state is not None:
            state.capacity = capacity

    def on_sent(self, node: str) -> None:
        """Count an attempt that is sent to the node."""
        state = self.state_of(node)
        if state is not None:
            state.in_flight += 1

    def on_finished(
        self, now: int, node: str, outcome: AttemptOutcome, retry_after_us: int, response_time: int
    ) -> None:
        """Record the outcome of an attempt at the node; `response_time` is in µs."""
        zone = self.zones.get(self.zone_of.get(node, ""))
        if zone is None:
            return
        state = zone.nodes[node]
        state.in_flight = max(0, state.in_flight - 1)
        if outcome is not AttemptOutcome.CANCELLED:
            zone.outlier_ejector.record_outcome(
                now, node, outcome in (AttemptOutcome.SERVED, AttemptOutcome.DEFERRED)
            )
        if outcome is AttemptOutcome.SERVED:
            zone.response_times.append(response_time)
        elif outcome is AttemptOutcome.DEFERRED:
            state.backoff_until = max(state.backoff_until, now + (retry_after_us or REJECTION_BACKOFF_US))
        elif outcome in (AttemptOutcome.UNSENT, AttemptOutcome.LOST):
            state.backoff_until = max(state.backoff_until, now + CONNECTION_BACKOFF_US)

    def available(self, now: int, zone: str, rank: float, excluded: Iterable[str] = ()) -> list[str]:
        """Return the zone's nodes, except excluded ones, that can take a request of the rank now.

        An ejected node, a node in backoff and a node without advertised capacity for the rank are left out.
        """
        state = self.zones[zone]
        return [
            node
            for node in state.outlier_ejector.eligible(now)
            if node not in excluded
            and state.nodes[node].backoff_until <= now
            and self.has_capacity(state.nodes[node], rank)
        ]

    def has_capacity(self, state: NodeState, rank: float) -> bool:
        """Return whether the node's advertised capacity admits a request of the rank."""
        if state.capacity is None or self.capacity_signal is CapacitySignal.NONE:
            return True
        if self.capacity_signal is CapacitySignal.PRIORITY_THRESHOLD:
            return rank >= state.capacity
        if self.capacity_signal is CapacitySignal.WINDOW:
            return state.in_flight < max(1.0, state.capacity)
        return self.rng.random() < state.capacity

    def choose(self, now: int, zone: str, rank: float, excluded: Iterable[str] = ()) -> str | None:
        """Return the less loaded of two random available nodes, or None if no node is available.

        The random pair prevents all routers from choosing the same least loaded node at once.
        """
        available = self.available(now, zone, rank, excluded)
        if not available:
            return None
        nodes = self.zones[zone].nodes
        return min(self.rng.sample(available, min(2, len(available))), key=lambda node: nodes[node].in_flight)

    def typical_response_time(self, zone: str) -> int:
        """Return the median of the zone's recent response times in µs, or 0 if there are too few."""
        response_times = self.zones[zone].response_times if zone in self.zones else ()
        return int(median(response_times)) if len(response_times) >= MIN_RESPONSE_TIMES else 0

    def backoff_remaining(self, now: int, zone: str) -> int:
        """Return the µs until the first node of the zone ends its backoff; 0 if a node is out of backoff."""
        nodes = self.zones[zone].nodes.values() if zone in self.zones else ()
        return max(0, min((each.backoff_until for each in nodes), default=now) - now)

    def advertised_capacity(self, now: int, zone: str, callers: int) -> float | None:
        """Return the capacity that the router advertises to each caller, or None if it advertises none.

        The capacity is computed from those that the nodes of the zone advertise.

        A priority threshold or a probability applies to each request and is the same for every caller; a
        window is divided among the callers.
        """
        state = self.zones.get(zone)
        advertised = [
            state.nodes[node].capacity
            for node in (state.outlier_ejector.eligible(now) if state is not None else ())
            if state is not None and state.nodes[node].capacity is not None
        ]
        capacities = [each for each in advertised if each is not None]
        if not capacities or self.capacity_signal is CapacitySignal.NONE:
            return None
        if self.capacity_signal is CapacitySignal.WINDOW:
            return max(1.0, sum(capacities) / max(1, callers))
        return median(capacities)
