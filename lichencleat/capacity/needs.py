"""The measured figures of each role at the target's size, and the budgets that they must stay within. No I/O.

`BASELINE_METRICS` are the figures that the plan had before relays distributed configuration; they are still
computed. `DISTRIBUTION_METRICS` are the figures of the distribution of configuration through relays.
"""

from __future__ import annotations

from dataclasses import dataclass

from lichencleat.capacity import sizes
from lichencleat.capacity.sizes import (
    SECOND,
    Factor,
    Size,
    poll_bytes_per_second,
    poll_core_fraction,
    unit_factor,
)
from lichencleat.capacity.target import Target
from lichencleat.config.loading import MAX_CONFIG_CHARACTERS
from lichencleat.consensus.snapshot_receiver import MAX_SNAPSHOT_BYTES
from lichencleat.failover import controller
from lichencleat.leases import messages as owners
from lichencleat.quotas import messages as shares
from lichencleat.quotas.allocator import POLL_INTERVAL_TERMS
from lichencleat.recovery.planner_task import POLL_INTERVAL_S

RELAY_TIERS = "distribution: relays in tiers ([config_distribution.md](config_distribution.md))"
FEW_MEMBERS = "a few are members: relays and voters, not nodes"
SEPARATE_GROUPS = "a group for each subject: no node follows that log"


@dataclass(frozen=True, slots=True)
class Budget:
    """The largest allowed value of a figure, computed from the target."""

    name: str
    limit: Size


NODE_CORE = Budget("a node's control: core", lambda t: t.control.core_share)
NODE_MEMORY = Budget("a node's control: memory", lambda t: t.control.memory_mb)
NODE_BYTES = Budget("a node's control: bytes", lambda t: t.control.bytes_per_s)
NODE_CORES = Budget("the node's cores (supposed)", lambda t: t.node_cores)
CALLERS_MEMORY = Budget("memory for callers (supposed)", lambda t: t.connection_memory_mb)
ADDED_LATENCY = Budget("added at p99", lambda t: t.added_p99_ms)
ONE_CORE = Budget("one core: a process of its own", lambda t: 1.0)
IN_FORCE = Budget("in force everywhere", lambda t: t.in_force_s)
IN_FORCE_MS = Budget("in force everywhere", lambda t: t.in_force_s * 1e3)
RENEWAL_MS = Budget(
    "one of three renewals in a term", lambda t: shares.DEFAULT_TERM_US / shares.RENEWALS_PER_TERM / 1e3
)
REACTOR_TURN_US = Budget("a turn of the reactor", lambda t: t.turn_ms * 1e3)
RECOVERY_TIME = Budget("back after a power loss (supposed)", lambda t: t.back_in_s)
FILE_CHARACTERS = Budget("the file's most characters", lambda t: MAX_CONFIG_CHARACTERS)
SNAPSHOT_MB = Budget("a snapshot's most bytes", lambda t: MAX_SNAPSHOT_BYTES / 1e6)


@dataclass(frozen=True, slots=True)
class Metric:
    """One measured figure at the target's size, multiplied by `factor` and compared with a budget."""

    role: str
    figure: str
    line: str  # name of the line in the slopes file
    size: Size
    unit: str  # unit of the value multiplied by `factor`
    budget: Budget | None  # None: the target gives no budget
    carried: str  # mechanism that does the work
    answer: str = ""  # mechanism that replaces it at the target if the budget is exceeded
    factor: Factor = unit_factor
    # subtract the value at the smallest size, which is what the rest of the process uses
    subtract_smallest: bool = False
    control: str = ""  # budget of a node's control to which the value counts: "core", "memory" or "bytes"


def quota_renewals_per_second(target: Target, size: float) -> float:
    """Return the renewals per second of `size` nodes that hold grants of a quota pool."""
    return size * shares.RENEWALS_PER_TERM / (shares.DEFAULT_TERM_US / SECOND)


def lease_renewals_per_second(target: Target, size: float) -> float:
    """Return the lease renewals per second of `size` candidates."""
    return size * owners.RENEWALS_PER_LEASE / (owners.LEASE_DURATION_US / SECOND)


def change_core_fraction(target: Target, size: float) -> float:
    """Return the factor that turns µs per change into the fraction of a core used."""
    return target.changes_per_second / 1e6


def member_changes(target: Target, size: float) -> float:
    """Return the changes of membership per second: at each restart, one member leaves and one joins."""
    return 2 * target.restarts_per_second


# µs between two polls of the replicated state by the quota allocator, the recovery planner and the controller
# of zone failover
ALLOCATION_INTERVAL_US, PLANNING_INTERVAL_US, ZONE_CHECK_INTERVAL_US = (
    POLL_INTERVAL_TERMS * shares.DEFAULT_TERM_US,
    POLL_INTERVAL_S * SECOND,
    controller.POLL_INTERVAL_US,
)
ONE_PROCESS = "one process, one reactor"
PER_CALLER = "a connection a caller"
EACH_CALLER = "each caller to each node"

# fmt: off
BASELINE_METRICS = (
    # -- requests on a node
    Metric("node", "processor time of requests", "node.core", sizes.node_request_rate, "of a core",
           NODE_CORES, ONE_PROCESS),
    Metric("node", "added to a request, p50", "node.added_p50_ms", sizes.node_request_rate, "ms", None,
           ONE_PROCESS),
    Metric("node", "added to a request, p99", "node.added_p99_ms", sizes.node_request_rate, "ms",
           ADDED_LATENCY, ONE_PROCESS),
    Metric("node", "added to a request, p999", "node.added_p999_ms", sizes.node_request_rate, "ms", None,
           ONE_PROCESS),
    Metric("node", f"memory of connections, {EACH_CALLER}", "node.connections_mb", sizes.callers, "MB",
           CALLERS_MEMORY, PER_CALLER),
    Metric("node", "memory of connections, a subset", "node.connections_mb", sizes.subset_connections, "MB",
           CALLERS_MEMORY, PER_CALLER),
    Metric("node", "connections at rest, a subset", "node.connections_core", sizes.subset_connections,
           "of a core", NODE_CORES, ONE_PROCESS),
    Metric("node", "request classes, one a service: memory", "node.classes_mb", sizes.services, "MB",
           NODE_MEMORY, "settings", subtract_smallest=True),
    Metric("node", "tenants as settings: memory", "node.tenants_mb", sizes.tenants, "MB", NODE_MEMORY,
           "settings", RELAY_TIERS, subtract_smallest=True),
    # -- gossip
    Metric("member", "each node a member: processor time", "member.core", sizes.nodes, "of a core", NODE_CORE,
           "gossip", FEW_MEMBERS),
    Metric("member", "each node a member: bytes, sent and taken", "member.bytes_s", sizes.nodes, "bytes/s",
           NODE_BYTES, "gossip", FEW_MEMBERS, lambda t, n: 2.0),
    Metric("member", "each node a member: memory", "member.table_mb", sizes.nodes, "MB", NODE_MEMORY,
           "gossip", FEW_MEMBERS),
    # -- earlier ways to carry configuration
    Metric("node", "configuration as facts: memory", "facts.memory_mb", sizes.records, "MB", NODE_MEMORY,
           "facts", RELAY_TIERS),
    Metric("node", "configuration as facts: one load", "facts.load_ms", sizes.records, "ms", ADDED_LATENCY,
           "facts", RELAY_TIERS),
    Metric("voter", "configuration as facts: a snapshot", "facts.dump_mb", sizes.records, "MB", SNAPSHOT_MB,
           "facts", RELAY_TIERS),
    Metric("node", "configuration as a file: its length", "file.bytes", sizes.records, "characters",
           FILE_CHARACTERS, "the operators' file", RELAY_TIERS),
    Metric("node", "configuration as a file: one reading", "file.read_s", sizes.records, "ms", ADDED_LATENCY,
           "the operators' file", RELAY_TIERS, lambda t, n: 1e3),
    Metric("learner", "each node a learner: changes of the group", "voter.change_bytes", sizes.nodes,
           "bytes/s", NODE_BYTES, "learners", RELAY_TIERS, member_changes),
    Metric("learner", "shares' renewals, for who follows that log", "seat.renew_bytes", sizes.seats,
           "bytes/s", NODE_BYTES, "learners", SEPARATE_GROUPS, quota_renewals_per_second),
    # -- voters
    Metric("voter", "each node a learner: feeding the changes", "voter.write_us", sizes.nodes, "of a core",
           ONE_CORE, "the leader feeds all", RELAY_TIERS, change_core_fraction),
    Metric("voter", "each node a learner: words in calm", "voter.calm_core", sizes.nodes, "of a core",
           ONE_CORE, "the leader feeds all", RELAY_TIERS),
    Metric("voter", "writes of configuration", "voter.writes_core", sizes.changes, "of a core", ONE_CORE,
           "a group of its own"),
    Metric("voter", "writes of leases, each machine a candidate", "voter.writes_core", sizes.lease_renewals,
           "of a core", ONE_CORE, "owners"),
    Metric("voter", "writes of one pool's renewals", "voter.writes_core", sizes.quota_renewals, "of a core",
           ONE_CORE, "shares"),
    Metric("voter", "answers to one pool's renewals, p99", "voter.writes_p99_ms", sizes.quota_renewals, "ms",
           RENEWAL_MS, "shares"),
    Metric("voter", "writes of nodes' reports, all open", "voter.writes_core", sizes.node_reports,
           "of a core", ONE_CORE, "the fleet's return"),
    Metric("voter", "writes of nodes' reports, all waking", "voter.writes_core", sizes.frequent_node_reports,
           "of a core", ONE_CORE, "the fleet's return"),
    Metric("voter", "writes of leases, renewals, reports in one group", "voter.writes_core",
           sizes.combined_writes, "of a core", ONE_CORE, "one group for all"),
    # -- lease holder, quota allocator, recovery planner, zone failover, router, collector
    Metric("owner", "renewals of each machine: processor time", "owner.renew_us", sizes.machines, "of a core",
           ONE_CORE, "owners", factor=lambda t, n: lease_renewals_per_second(t, n) / 1e6),
    Metric("dealer", "looks of a node that deals: processor time", "dealer.look_ms", sizes.seats, "of a core",
           NODE_CORE, "shares", factor=poll_core_fraction(ALLOCATION_INTERVAL_US)),
    Metric("dealer", "looks of a node that deals: bytes", "dealer.look_kb", sizes.seats, "bytes/s",
           NODE_BYTES, "shares", factor=poll_bytes_per_second(ALLOCATION_INTERVAL_US)),
    Metric("planner", "looks of a node that plans: processor time", "planner.look_ms", sizes.nodes,
           "of a core", NODE_CORE, "the fleet's return", factor=poll_core_fraction(PLANNING_INTERVAL_US)),
    Metric("planner", "looks of a node that plans: bytes", "planner.look_kb", sizes.nodes, "bytes/s",
           NODE_BYTES, "the fleet's return", factor=poll_bytes_per_second(PLANNING_INTERVAL_US)),
    Metric("planner", "until nine tenths are served", "fleet.to_90_s", sizes.nodes, "s", RECOVERY_TIME,
           "the fleet's return"),
    Metric("zone judge", "looks of a node that judges: processor time", "judge.look_ms", sizes.routers,
           "of a core", NODE_CORE, "zones", factor=poll_core_fraction(ZONE_CHECK_INTERVAL_US)),
    Metric("zone judge", "looks of a node that judges: bytes", "judge.look_kb", sizes.routers, "bytes/s",
           NODE_BYTES, "zones", factor=poll_bytes_per_second(ZONE_CHECK_INTERVAL_US)),
    Metric("router", "reports: bytes", "router.tell_bytes", sizes.zones, "bytes/s", NODE_BYTES, "zones",
           factor=lambda t, n: SECOND / ZONE_CHECK_INTERVAL_US),
    Metric("collector", "records: processor time", "collector.core", sizes.flow_records, "of a core",
           ONE_CORE, "flows collect"),
)

DISTRIBUTION = "distribution"
DISTRIBUTION_METRICS = (
    Metric("node", "the whole table: memory", "table.memory_mb", sizes.records, "MB", NODE_MEMORY,
           DISTRIBUTION, control="memory"),
    Metric("node", "the whole table, fetched from nothing: memory", "table.memory_most_mb", sizes.records,
           "MB", NODE_MEMORY, DISTRIBUTION),
    Metric("node", "taking over batches: the longest slice", "table.batch_slice_us", sizes.records, "µs",
           REACTOR_TURN_US, DISTRIBUTION),
    Metric("node", "taking over a snapshot: the longest slice", "table.rebuild_slice_us", sizes.records, "µs",
           REACTOR_TURN_US, DISTRIBUTION),
    Metric("node", "from the disk: the longest turn, by the clock", "table.load_turn_ms", sizes.records, "ms",
           None, DISTRIBUTION),
    Metric("node", "a look-up, p99", "table.find_us", sizes.records, "µs", None, DISTRIBUTION),
    Metric("node", "following: processor time", "subscriber.core", sizes.changes, "of a core", NODE_CORE,
           DISTRIBUTION, control="core"),
    Metric("node", "taking over changes: processor time", "table.change_us", sizes.records, "of a core",
           NODE_CORE, DISTRIBUTION, factor=change_core_fraction, control="core"),
    Metric("node", "changes onto the disk: processor time", "table.kept_ms", sizes.records, "of a core",
           NODE_CORE, DISTRIBUTION, factor=lambda t, n: t.changes_per_second / 1e3, control="core"),
    Metric("node", "snapshots at starts, a day's average: processor time", "table.rebuild_s", sizes.records,
           "of a core", NODE_CORE, DISTRIBUTION, factor=lambda t, n: t.restarts_per_second / t.nodes,
           control="core"),
    Metric("node", "following, on sockets: bytes", "subscriber.bytes_s", sizes.changes, "bytes/s", NODE_BYTES,
           DISTRIBUTION),
    Metric("node", "following: bytes", "calm.node_bytes_s", sizes.nodes, "bytes/s", NODE_BYTES, DISTRIBUTION),
    Metric("node", "with all starts without a disk, a day's average: bytes", "starts.day_bytes_s",
           sizes.nodes, "bytes/s", NODE_BYTES, DISTRIBUTION, control="bytes"),
    Metric("relay", "a zone's nodes on one relay: processor time", "relay.core", sizes.zone_nodes,
           "of a core", ONE_CORE, DISTRIBUTION),
    Metric("relay", "a zone's nodes on one relay: memory, with the records it had", "relay.memory_mb",
           sizes.zone_nodes, "MB", None, DISTRIBUTION),
    Metric("voter", "with all records: memory", "source.memory_mb", sizes.records, "MB", None, DISTRIBUTION),
    Metric("publisher", "a batch of one confirmed, p99", "source.batch_p99_ms", sizes.records, "ms",
           IN_FORCE_MS, DISTRIBUTION),
    Metric("publisher", "in force at all nodes, in calm", "calm.in_force_all_s", sizes.nodes, "s", IN_FORCE,
           DISTRIBUTION),
    Metric("publisher", "in force at 99 in 100, in calm", "calm.in_force_p99_s", sizes.nodes, "s", IN_FORCE,
           DISTRIBUTION),
)
# fmt: on
