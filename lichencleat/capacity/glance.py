"""One summary row for each role at the target: state, messages, bytes, processor time and memory. No I/O.

Values come from the measured lines at the target's size. None means that there is no such line; a dash means
that the value does not apply.
"""

from __future__ import annotations

from dataclasses import dataclass

from lichencleat.capacity import sizes
from lichencleat.capacity.needs import ALLOCATION_INTERVAL_US, PLANNING_INTERVAL_US, ZONE_CHECK_INTERVAL_US
from lichencleat.capacity.sizes import SECOND
from lichencleat.capacity.slopes import Slopes
from lichencleat.capacity.target import Target
from lichencleat.config_distribution.terms import MAX_HOLD_US
from lichencleat.leases import messages as owners
from lichencleat.quotas import messages as shares

Value = float | str | None  # "-": does not apply; None: not measured


@dataclass(frozen=True, slots=True)
class RoleSummary:
    """The summary row of a role."""

    role: str
    state: str
    messages: Value  # sent and received per second
    bytes: Value  # sent and received per second
    core: Value  # fraction of a core
    memory: Value  # MB

    def figures(self) -> tuple[Value, Value, Value, Value]:
        """Return messages, bytes, fraction of a core and memory, in the order of the table."""
        return self.messages, self.bytes, self.core, self.memory


def multiply(value: float | None, factor: float) -> float | None:
    """Return the product, or None if the value was not measured."""
    return None if value is None else value * factor


def add(*values: float | None) -> float | None:
    """Return the sum, or None if one of the values was not measured."""
    return None if None in values else sum(each for each in values if each is not None)


# fmt: off
def summarize_roles(slopes: Slopes, target: Target) -> list[RoleSummary]:
    """Return the summary rows of all roles at the target."""
    def value_at(line: str, size: float) -> float | None:
        found = slopes.line(line)
        return None if found is None else found.value_at(size)

    changes, nodes, records = target.changes_per_second, target.nodes, target.records
    requests = SECOND / MAX_HOLD_US + changes  # requests per second of one subscriber
    each = value_at("subscriber.bytes_s", changes)
    zone = nodes / target.zones / target.tree.relays_a_zone
    relays = target.zones * target.tree.relays_a_zone / target.regions / target.tree.relays_a_region
    top = target.regions * target.tree.relays_a_region / target.tree.voters
    renewals, reports, leases = (
        sizes.quota_renewals(target), sizes.node_reports(target), sizes.lease_renewals(target)
    )
    flows, routers, machines = sizes.flow_records(target), sizes.routers(target), target.machines
    control = add(
        value_at("subscriber.core", changes),
        multiply(value_at("table.change_us", records), changes / 1e6),
        multiply(value_at("table.kept_ms", records), changes / 1e3),
        multiply(value_at("table.rebuild_s", records), target.restarts_per_second / nodes),
    )
    return [
        RoleSummary("node: requests", f"{target.connections_a_node:,} connections of a subset",
                    target.rate_per_node * 2, "-", value_at("node.core", target.rate_per_node),
                    value_at("node.connections_mb", target.connections_a_node)),
        RoleSummary("node: control", f"{records:,} records", 2 * requests,
                    value_at("starts.day_bytes_s", nodes), control, value_at("table.memory_mb", records)),
        RoleSummary("member, were each node one", f"{nodes:,} members",
                    multiply(value_at("member.datagrams_s", nodes), 2),
                    multiply(value_at("member.bytes_s", nodes), 2), value_at("member.core", nodes),
                    value_at("member.table_mb", nodes)),
        RoleSummary("relay of a zone", f"{zone:.0f} subscribers, {records:,} records", 2 * zone * requests,
                    multiply(each, zone), value_at("relay.core", zone), value_at("relay.memory_mb", zone)),
        RoleSummary("relay of a region", f"{relays:.0f} subscribers, {records:,} records",
                    2 * relays * requests, multiply(each, relays), value_at("relay.core", relays),
                    value_at("relay.memory_mb", relays)),
        RoleSummary("voter of configuration", f"{top:.0f} subscribers, {records:,} records",
                    2 * top * requests, multiply(each, top), value_at("voter.writes_core", changes),
                    value_at("source.memory_mb", records)),
        RoleSummary("publisher", "nothing of its own", changes, "-", "-", "-"),
        RoleSummary("voter of leases", f"{machines} candidates", leases,
                    multiply(value_at("seat.renew_bytes", target.dependency_seats), leases),
                    value_at("voter.writes_core", leases), "-"),
        RoleSummary("voter of shares", f"{target.dependency_seats:,} seats of a pool", renewals,
                    multiply(value_at("seat.renew_bytes", target.dependency_seats), renewals),
                    value_at("voter.writes_core", renewals), "-"),
        RoleSummary("voter of the fleet's return", f"{nodes:,} nodes", reports,
                    multiply(value_at("node.report_bytes", nodes), reports),
                    value_at("voter.writes_core", reports), "-"),
        RoleSummary("owner of a job", "its leases",
                    owners.RENEWALS_PER_LEASE * SECOND / owners.LEASE_DURATION_US, "-",
                    multiply(value_at("owner.renew_us", machines), leases / 1e6), "-"),
        RoleSummary("dealer", f"{target.dependency_seats:,} seats", SECOND / ALLOCATION_INTERVAL_US,
                    multiply(value_at("dealer.look_kb", target.dependency_seats),
                             1e3 * SECOND / ALLOCATION_INTERVAL_US),
                    multiply(value_at("dealer.look_ms", target.dependency_seats),
                             SECOND / ALLOCATION_INTERVAL_US / 1e3),
                    "-"),
        RoleSummary("a seat", "its grant", shares.RENEWALS_PER_TERM * SECOND / shares.DEFAULT_TERM_US,
                    multiply(value_at("seat.renew_bytes", target.dependency_seats),
                             shares.RENEWALS_PER_TERM * SECOND / shares.DEFAULT_TERM_US),
                    "-", "-"),
        RoleSummary("planner of a return", f"{nodes:,} nodes", SECOND / PLANNING_INTERVAL_US,
                    multiply(value_at("planner.look_kb", nodes), 1e3 * SECOND / PLANNING_INTERVAL_US),
                    multiply(value_at("planner.look_ms", nodes), SECOND / PLANNING_INTERVAL_US / 1e3), "-"),
        RoleSummary("zone judge", f"{routers:,.0f} routers, {target.zones} zones",
                    SECOND / ZONE_CHECK_INTERVAL_US,
                    multiply(value_at("judge.look_kb", routers), 1e3 * SECOND / ZONE_CHECK_INTERVAL_US),
                    multiply(value_at("judge.look_ms", routers), SECOND / ZONE_CHECK_INTERVAL_US / 1e3), "-"),
        RoleSummary("router", f"{target.zones} zones", SECOND / ZONE_CHECK_INTERVAL_US,
                    multiply(value_at("router.tell_bytes", target.zones), SECOND / ZONE_CHECK_INTERVAL_US),
                    "-", "-"),
        RoleSummary("collector, were it one", f"{nodes:,} senders", flows,
                    value_at("collector.bytes_s", flows), value_at("collector.core", flows), "-"),
        RoleSummary("callers' side, each",
                    f"{nodes:,} connections, or "
                    f"{target.connections_a_node * nodes / target.callers:.0f} of a subset",
                    2 * target.requests_per_s / target.callers, "-", "-", "-"),
    ]
# fmt: on
