"""What the target asks of each role: counts and rates, computed from the target and from intervals in the
code. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable

from lichencleat.capacity.target import Target
from lichencleat.leases import messages as owners
from lichencleat.quotas import messages as shares
from lichencleat.recovery import readiness_gate

SECOND = 1_000_000  # µs in a second
ACTIVE_TIMEOUT_S = 60.0  # default active timeout of flow export: s after which an open flow is exported again

Size = Callable[[Target], float]  # size of one kind (nodes, records, ...) at the target
Factor = Callable[[Target, float], float]  # factor for a measured value, from the target and the size


def unit_factor(target: Target, size: float) -> float:
    """Return 1: the measured value is used as it is."""
    return 1.0


def nodes(target: Target) -> float:
    """Return the nodes of the fleet."""
    return target.nodes


def records(target: Target) -> float:
    """Return the records of configuration: routes and tenants."""
    return target.records


def callers(target: Target) -> float:
    """Return the callers of the fleet."""
    return target.callers


def seats(target: Target) -> float:
    """Return the nodes that share one quota pool."""
    return target.dependency_seats


def routers(target: Target) -> float:
    """Return the routers of all zones."""
    return target.zones * target.routers_a_zone


def zones(target: Target) -> float:
    """Return the zones of the fleet."""
    return target.zones


def node_request_rate(target: Target) -> float:
    """Return the requests per second of one node."""
    return target.rate_per_node


def combined_writes(target: Target) -> float:
    """Return the writes per second of one group that stores quotas, node reports and leases, without any
    event.
    """
    return quota_renewals(target) + node_reports(target) + lease_renewals(target)


def subset_connections(target: Target) -> float:
    """Return the connections of one node if each caller uses only a subset of the nodes."""
    return target.connections_a_node


def services(target: Target) -> float:
    """Return the services of the callers."""
    return target.services


def tenants(target: Target) -> float:
    """Return the tenants."""
    return target.tenants


def burst(target: Target) -> float:
    """Return the changes of configuration that are made at once."""
    return target.burst


def machines(target: Target) -> float:
    """Return the machines set aside for control."""
    return target.machines


def zone_nodes(target: Target) -> float:
    """Return the subscribers of a zone relay when the zone's other relays are lost: the zone's nodes."""
    return target.zone_nodes


def quota_renewals(target: Target) -> float:
    """Return the renewals of quota per second of one pool."""
    return target.dependency_seats * shares.RENEWALS_PER_TERM / (shares.DEFAULT_TERM_US / SECOND)


def node_reports(target: Target) -> float:
    """Return the reports per second from open nodes to the recovery planner."""
    return target.nodes / (readiness_gate.REPORT_INTERVAL_US / SECOND)


def frequent_node_reports(target: Target) -> float:
    """Return the reports per second to the recovery planner while all nodes are waking up and report more
    often.
    """
    return target.nodes / (readiness_gate.FREQUENT_REPORT_INTERVAL_US / SECOND)


def lease_renewals(target: Target) -> float:
    """Return the lease renewals per second, if each machine is a candidate."""
    return target.machines * owners.RENEWALS_PER_LEASE / (owners.LEASE_DURATION_US / SECOND)


def changes(target: Target) -> float:
    """Return the changes of configuration per second."""
    return target.changes_per_second


def flow_records(target: Target) -> float:
    """Return the flow records per second of the whole fleet."""
    return target.nodes * target.connections_a_node / ACTIVE_TIMEOUT_S


def poll_core_fraction(span: float) -> Factor:
    """Return a factor that turns ms of processor time per poll into the fraction of a core used. `span` is
    the interval of polls in µs.
    """
    return lambda target, size: SECOND / span / 1e3


def poll_bytes_per_second(span: float) -> Factor:
    """Return a factor that turns KB per poll into bytes per second. `span` is the interval of polls in µs."""
    return lambda target, size: SECOND / span * 1e3
