"""What the target asks of each role: sizes and rates, by its figures and the code's own spans; no I/O."""

from __future__ import annotations

from collections.abc import Callable

from lichencleat.capacity.target import Target
from lichencleat.leases import messages as owners
from lichencleat.quotas import messages as shares
from lichencleat.recovery import readiness_gate

SECOND = 1_000_000  # µs
FLOW_S = 60.0  # s after which an open flow is told again, as the operators' file has it by itself

Size = Callable[[Target], float]
Times = Callable[[Target, float], float]  # by the target and the size


def once(target: Target, size: float) -> float:
    return 1.0


def nodes(target: Target) -> float:
    return target.nodes


def records(target: Target) -> float:
    return target.records


def callers(target: Target) -> float:
    return target.callers


def seats(target: Target) -> float:
    return target.dependency_seats


def routers(target: Target) -> float:
    return target.zones * target.routers_a_zone


def zones(target: Target) -> float:
    return target.zones


def rate(target: Target) -> float:
    return target.rate_a_node


def together(target: Target) -> float:
    """Writes a second of one group that has all of it, in calm."""
    return renewals(target) + reports(target) + leases(target)


def subset(target: Target) -> float:
    """Connections of a node, once somebody chooses for each caller a subset of the nodes."""
    return target.connections_a_node


def services(target: Target) -> float:
    return target.services


def tenants(target: Target) -> float:
    return target.tenants


def burst(target: Target) -> float:
    return target.burst


def machines(target: Target) -> float:
    return target.machines


def zone_nodes(target: Target) -> float:
    """Of one relay, when the zone's others are lost."""
    return target.zone_nodes


def renewals(target: Target) -> float:
    """Of shares, a second, of one pool."""
    return target.dependency_seats * shares.RENEWALS_PER_TERM / (shares.DEFAULT_TERM_US / SECOND)


def reports(target: Target) -> float:
    """Of nodes that are open, a second, to whoever brings the fleet back."""
    return target.nodes / (readiness_gate.REPORT_INTERVAL_US / SECOND)


def reports_waking(target: Target) -> float:
    return target.nodes / (readiness_gate.FREQUENT_REPORT_INTERVAL_US / SECOND)


def leases(target: Target) -> float:
    return target.machines * owners.RENEWALS_PER_LEASE / (owners.LEASE_DURATION_US / SECOND)


def changes(target: Target) -> float:
    return target.changes_a_second


def flow_records(target: Target) -> float:
    return target.nodes * target.connections_a_node / FLOW_S


def looks(span: float) -> Times:
    """Looks a second, of ms each: a share of a core."""
    return lambda target, size: SECOND / span / 1e3


def look_bytes(span: float) -> Times:
    """Looks a second, of KB each: bytes a second."""
    return lambda target, size: SECOND / span * 1e3
