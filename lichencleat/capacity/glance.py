"""Each role at the target in one row: what it holds, what it sends and takes, what that costs; no I/O.

A figure is taken from a line at the target's size; what has no line says so, what does not apply is a dash.
"""

from __future__ import annotations

from dataclasses import dataclass

from lichencleat.capacity import sizes as of
from lichencleat.capacity.needs import DEALS, JUDGES, PLANS
from lichencleat.capacity.sizes import SECOND
from lichencleat.capacity.slopes import Slopes
from lichencleat.capacity.target import Target
from lichencleat.config_distribution.terms import MAX_HOLD_US
from lichencleat.leases import messages as owners
from lichencleat.quotas import messages as shares

Value = float | str | None  # "-": does not apply; None: not measured


@dataclass(frozen=True, slots=True)
class Glance:
    role: str
    state: str
    messages: Value  # a second, sent and taken
    bytes: Value  # a second, sent and taken
    core: Value
    memory: Value  # MB

    def figures(self) -> tuple[Value, Value, Value, Value]:
        return self.messages, self.bytes, self.core, self.memory


def times(value: float | None, factor: float) -> float | None:
    return None if value is None else value * factor


def plus(*values: float | None) -> float | None:
    return None if None in values else sum(each for each in values if each is not None)


# fmt: off
def at_a_glance(slopes: Slopes, target: Target) -> list[Glance]:
    def at(line: str, size: float) -> float | None:
        found = slopes.line(line)
        return None if found is None else found.at(size)

    changes, nodes, records = target.changes_a_second, target.nodes, target.records
    asked = SECOND / MAX_HOLD_US + changes  # questions a second of one subscriber
    each = at("subscriber.bytes_s", changes)
    zone = nodes / target.zones / target.tree.relays_a_zone
    relays = target.zones * target.tree.relays_a_zone / target.regions / target.tree.relays_a_region
    top = target.regions * target.tree.relays_a_region / target.tree.voters
    renewals, reports, leases = of.renewals(target), of.reports(target), of.leases(target)
    flows, routers, machines = of.flow_records(target), of.routers(target), target.machines
    control = plus(
        at("subscriber.core", changes),
        times(at("table.change_us", records), changes / 1e6),
        times(at("table.kept_ms", records), changes / 1e3),
        times(at("table.rebuild_s", records), target.restarts_a_second / nodes),
    )
    return [
        Glance("node: requests", f"{target.connections_a_node:,} connections of a subset",
               target.rate_a_node * 2,
               "-", at("node.core", target.rate_a_node), at("node.connections_mb",
               target.connections_a_node)),
        Glance("node: control", f"{records:,} records", 2 * asked, at("starts.day_bytes_s", nodes), control,
               at("table.memory_mb", records)),
        Glance("member, were each node one", f"{nodes:,} members", times(at("member.datagrams_s", nodes), 2),
               times(at("member.bytes_s", nodes), 2), at("member.core", nodes), at("member.table_mb", nodes)),
        Glance("relay of a zone", f"{zone:.0f} subscribers, {records:,} records", 2 * zone * asked,
               times(each, zone), at("relay.core", zone), at("relay.memory_mb", zone)),
        Glance("relay of a region", f"{relays:.0f} subscribers, {records:,} records", 2 * relays * asked,
               times(each, relays), at("relay.core", relays), at("relay.memory_mb", relays)),
        Glance("voter of configuration", f"{top:.0f} subscribers, {records:,} records", 2 * top * asked,
               times(each, top), at("voter.writes_core", changes), at("source.memory_mb", records)),
        Glance("publisher", "nothing of its own", changes, "-", "-", "-"),
        Glance("voter of leases", f"{machines} candidates", leases,
               times(at("seat.renew_bytes", target.dependency_seats), leases), at("voter.writes_core",
               leases), "-"),
        Glance("voter of shares", f"{target.dependency_seats:,} seats of a pool", renewals,
               times(at("seat.renew_bytes", target.dependency_seats), renewals), at("voter.writes_core",
               renewals),
               "-"),
        Glance("voter of the fleet's return", f"{nodes:,} nodes", reports,
               times(at("node.report_bytes", nodes), reports), at("voter.writes_core", reports), "-"),
        Glance("owner of a job", "its leases",
               owners.RENEWALS_PER_LEASE * SECOND / owners.LEASE_DURATION_US, "-",
               times(at("owner.renew_us", machines), leases / 1e6), "-"),
        Glance("dealer", f"{target.dependency_seats:,} seats", SECOND / DEALS,
               times(at("dealer.look_kb", target.dependency_seats), 1e3 * SECOND / DEALS),
               times(at("dealer.look_ms", target.dependency_seats), SECOND / DEALS / 1e3), "-"),
        Glance("a seat", "its grant", shares.RENEWALS_PER_TERM * SECOND / shares.DEFAULT_TERM_US,
               times(at("seat.renew_bytes", target.dependency_seats),
                     shares.RENEWALS_PER_TERM * SECOND / shares.DEFAULT_TERM_US),
               "-", "-"),
        Glance("planner of a return", f"{nodes:,} nodes", SECOND / PLANS,
               times(at("planner.look_kb", nodes), 1e3 * SECOND / PLANS),
               times(at("planner.look_ms", nodes), SECOND / PLANS / 1e3), "-"),
        Glance("zone judge", f"{routers:,.0f} routers, {target.zones} zones", SECOND / JUDGES,
               times(at("judge.look_kb", routers), 1e3 * SECOND / JUDGES),
               times(at("judge.look_ms", routers), SECOND / JUDGES / 1e3), "-"),
        Glance("router", f"{target.zones} zones", SECOND / JUDGES,
               times(at("router.tell_bytes", target.zones), SECOND / JUDGES), "-", "-"),
        Glance("collector, were it one", f"{nodes:,} senders", flows, at("collector.bytes_s", flows),
               at("collector.core", flows), "-"),
        Glance("callers' side, each", f"{nodes:,} connections, or "
               f"{target.connections_a_node * nodes / target.callers:.0f} of a subset",
               2 * target.requests_per_s / target.callers, "-", "-", "-"),
    ]
# fmt: on
