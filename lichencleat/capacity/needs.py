"""Each measured figure of each role, at the target's size, and the budget that it is held to; no I/O.

`NEEDS` is what there was before, and goes on; `CARRIED` is configuration as it is carried now.
"""

from __future__ import annotations

from dataclasses import dataclass

from lichencleat.capacity import sizes as of
from lichencleat.capacity.sizes import SECOND, Size, Times, look_bytes, looks, once
from lichencleat.capacity.target import Target
from lichencleat.config.loading import MAX_CONFIG_CHARACTERS
from lichencleat.consensus.snapshot_receiver import MAX_SNAPSHOT_BYTES
from lichencleat.failover import controller
from lichencleat.leases import messages as owners
from lichencleat.quotas import messages as shares
from lichencleat.quotas.allocator import POLL_INTERVAL_TERMS as DEAL
from lichencleat.recovery.planner_task import POLL_INTERVAL_S

CONFIG = "distribution: relays in tiers ([config_distribution.md](config_distribution.md))"
SOME = "a few are members: relays and voters, not nodes"
APART = "a group for each subject: no node follows that log"


@dataclass(frozen=True, slots=True)
class Budget:
    name: str
    most: Size


NODE_CORE = Budget("a node's control: core", lambda t: t.control.core_share)
NODE_MEMORY = Budget("a node's control: memory", lambda t: t.control.memory_mb)
NODE_BYTES = Budget("a node's control: bytes", lambda t: t.control.bytes_per_s)
NODE_CORES = Budget("the node's cores (supposed)", lambda t: t.node_cores)
CALLERS_MEMORY = Budget("memory for callers (supposed)", lambda t: t.connection_memory_mb)
ADDED = Budget("added at p99", lambda t: t.added_p99_ms)
ONE_CORE = Budget("one core: a process of its own", lambda t: 1.0)
IN_FORCE = Budget("in force everywhere", lambda t: t.in_force_s)
IN_FORCE_MS = Budget("in force everywhere", lambda t: t.in_force_s * 1e3)
RENEWED = Budget(
    "one of three renewals in a term", lambda t: shares.DEFAULT_TERM_US / shares.RENEWALS_PER_TERM / 1e3
)
TURN_US = Budget("a turn of the reactor", lambda t: t.turn_ms * 1e3)
BACK = Budget("back after a power loss (supposed)", lambda t: t.back_in_s)
FILE = Budget("the file's most characters", lambda t: MAX_CONFIG_CHARACTERS)
SNAPSHOT = Budget("a snapshot's most bytes", lambda t: MAX_SNAPSHOT_BYTES / 1e6)


@dataclass(frozen=True, slots=True)
class Need:
    """One measured figure at the target's size, times what the target asks of it, held to a budget."""

    role: str
    figure: str
    line: str  # of the slopes
    size: Size
    unit: str  # of the value, after `times`
    budget: Budget | None  # None: none was given for it
    carried: str  # by which mechanism it is done
    answer: str = ""  # what carries it at the target instead, where it does not hold
    times: Times = once
    above_least: bool = False  # the value at the smallest size is the rest of the process: it is taken off
    control: str = ""  # "core", "memory", "bytes": a part of what each node spends on control at the target


def renewals_each(target: Target, size: float) -> float:
    """A second, of so many that hold grants."""
    return size * shares.RENEWALS_PER_TERM / (shares.DEFAULT_TERM_US / SECOND)


def leases_each(target: Target, size: float) -> float:
    return size * owners.RENEWALS_PER_LEASE / (owners.LEASE_DURATION_US / SECOND)


def changes_core(target: Target, size: float) -> float:
    """µs of each change: a share of a core."""
    return target.changes_a_second / 1e6


def members_change(target: Target, size: float) -> float:
    """A restart is one that goes and one that comes."""
    return 2 * target.restarts_a_second


DEALS, PLANS, JUDGES = (
    DEAL * shares.DEFAULT_TERM_US,
    POLL_INTERVAL_S * SECOND,
    controller.POLL_INTERVAL_US,
)  # µs between two looks
ONE = "one process, one reactor"
PER_CALLER = "a connection a caller"
EACH = "each caller to each node"

# fmt: off
NEEDS = (
    # -- a node's data path
    Need("node", "processor time of requests", "node.core", of.rate, "of a core", NODE_CORES, ONE),
    Need("node", "added to a request, p50", "node.added_p50_ms", of.rate, "ms", None, ONE),
    Need("node", "added to a request, p99", "node.added_p99_ms", of.rate, "ms", ADDED, ONE),
    Need("node", "added to a request, p999", "node.added_p999_ms", of.rate, "ms", None, ONE),
    Need("node", f"memory of connections, {EACH}", "node.connections_mb", of.callers, "MB", CALLERS_MEMORY,
         PER_CALLER),
    Need("node", "memory of connections, a subset", "node.connections_mb", of.subset, "MB", CALLERS_MEMORY,
         PER_CALLER),
    Need("node", "connections at rest, a subset", "node.connections_core", of.subset, "of a core",
         NODE_CORES, ONE),
    Need("node", "request classes, one a service: memory", "node.classes_mb", of.services, "MB", NODE_MEMORY,
         "settings", above_least=True),
    Need("node", "tenants as settings: memory", "node.tenants_mb", of.tenants, "MB", NODE_MEMORY,
         "settings", CONFIG,
         above_least=True),
    # -- gossip
    Need("member", "each node a member: processor time", "member.core", of.nodes, "of a core", NODE_CORE,
         "gossip", SOME),
    Need("member", "each node a member: bytes, sent and taken", "member.bytes_s", of.nodes, "bytes/s",
         NODE_BYTES,
         "gossip", SOME, lambda t, n: 2.0),
    Need("member", "each node a member: memory", "member.table_mb", of.nodes, "MB", NODE_MEMORY, "gossip",
         SOME),
    # -- configuration as it was carried before
    Need("node", "configuration as facts: memory", "facts.memory_mb", of.records, "MB", NODE_MEMORY,
         "facts", CONFIG),
    Need("node", "configuration as facts: one load", "facts.load_ms", of.records, "ms", ADDED, "facts",
         CONFIG),
    Need("voter", "configuration as facts: a snapshot", "facts.dump_mb", of.records, "MB", SNAPSHOT,
         "facts", CONFIG),
    Need("node", "configuration as a file: its length", "file.bytes", of.records, "characters", FILE,
         "the operators' file", CONFIG),
    Need("node", "configuration as a file: one reading", "file.read_s", of.records, "ms", ADDED,
         "the operators' file", CONFIG, lambda t, n: 1e3),
    Need("learner", "each node a learner: changes of the group", "voter.change_bytes", of.nodes, "bytes/s",
         NODE_BYTES,
         "learners", CONFIG, members_change),
    Need("learner", "shares' renewals, for who follows that log", "seat.renew_bytes", of.seats, "bytes/s",
         NODE_BYTES,
         "learners", APART, renewals_each),
    # -- voters
    Need("voter", "each node a learner: feeding the changes", "voter.write_us", of.nodes, "of a core",
         ONE_CORE,
         "the leader feeds all", CONFIG, changes_core),
    Need("voter", "each node a learner: words in calm", "voter.calm_core", of.nodes, "of a core", ONE_CORE,
         "the leader feeds all", CONFIG),
    Need("voter", "writes of configuration", "voter.writes_core", of.changes, "of a core", ONE_CORE,
         "a group of its own"),
    Need("voter", "writes of leases, each machine a candidate", "voter.writes_core", of.leases, "of a core",
         ONE_CORE,
         "owners"),
    Need("voter", "writes of one pool's renewals", "voter.writes_core", of.renewals, "of a core", ONE_CORE,
         "shares"),
    Need("voter", "answers to one pool's renewals, p99", "voter.writes_p99_ms", of.renewals, "ms", RENEWED,
         "shares"),
    Need("voter", "writes of nodes' reports, all open", "voter.writes_core", of.reports, "of a core",
         ONE_CORE,
         "the fleet's return"),
    Need("voter", "writes of nodes' reports, all waking", "voter.writes_core", of.reports_waking,
         "of a core", ONE_CORE,
         "the fleet's return"),
    Need("voter", "writes of leases, renewals, reports in one group", "voter.writes_core", of.together,
         "of a core",
         ONE_CORE, "one group for all"),
    # -- owner, dealer, planner, judge
    Need("owner", "renewals of each machine: processor time", "owner.renew_us", of.machines, "of a core",
         ONE_CORE,
         "owners", times=lambda t, n: leases_each(t, n) / 1e6),
    Need("dealer", "looks of a node that deals: processor time", "dealer.look_ms", of.seats, "of a core",
         NODE_CORE,
         "shares", times=looks(DEALS)),
    Need("dealer", "looks of a node that deals: bytes", "dealer.look_kb", of.seats, "bytes/s", NODE_BYTES,
         "shares",
         times=look_bytes(DEALS)),
    Need("planner", "looks of a node that plans: processor time", "planner.look_ms", of.nodes, "of a core",
         NODE_CORE,
         "the fleet's return", times=looks(PLANS)),
    Need("planner", "looks of a node that plans: bytes", "planner.look_kb", of.nodes, "bytes/s", NODE_BYTES,
         "the fleet's return", times=look_bytes(PLANS)),
    Need("planner", "until nine tenths are served", "fleet.to_90_s", of.nodes, "s", BACK,
         "the fleet's return"),
    Need("zone judge", "looks of a node that judges: processor time", "judge.look_ms", of.routers,
         "of a core", NODE_CORE,
         "zones", times=looks(JUDGES)),
    Need("zone judge", "looks of a node that judges: bytes", "judge.look_kb", of.routers, "bytes/s",
         NODE_BYTES, "zones",
         times=look_bytes(JUDGES)),
    Need("router", "reports: bytes", "router.tell_bytes", of.zones, "bytes/s", NODE_BYTES, "zones",
         times=lambda t, n: SECOND / JUDGES),
    Need("collector", "records: processor time", "collector.core", of.flow_records, "of a core", ONE_CORE,
         "flows collect"),
)

TREE = "distribution"
CARRIED = (
    Need("node", "the whole table: memory", "table.memory_mb", of.records, "MB", NODE_MEMORY, TREE,
         control="memory"),
    Need("node", "the whole table, fetched from nothing: memory", "table.memory_most_mb", of.records, "MB",
         NODE_MEMORY, TREE),
    Need("node", "taking over batches: the longest slice", "table.batch_slice_us", of.records, "µs",
         TURN_US, TREE),
    Need("node", "taking over a snapshot: the longest slice", "table.rebuild_slice_us", of.records, "µs",
         TURN_US, TREE),
    Need("node", "from the disk: the longest turn, by the clock", "table.load_turn_ms", of.records, "ms",
         None, TREE),
    Need("node", "a look-up, p99", "table.find_us", of.records, "µs", None, TREE),
    Need("node", "following: processor time", "subscriber.core", of.changes, "of a core", NODE_CORE, TREE,
         control="core"),
    Need("node", "taking over changes: processor time", "table.change_us", of.records, "of a core",
         NODE_CORE, TREE,
         times=changes_core, control="core"),
    Need("node", "changes onto the disk: processor time", "table.kept_ms", of.records, "of a core",
         NODE_CORE, TREE,
         times=lambda t, n: t.changes_a_second / 1e3, control="core"),
    Need("node", "snapshots at starts, a day's average: processor time", "table.rebuild_s", of.records,
         "of a core",
         NODE_CORE, TREE, times=lambda t, n: t.restarts_a_second / t.nodes, control="core"),
    Need("node", "following, on sockets: bytes", "subscriber.bytes_s", of.changes, "bytes/s", NODE_BYTES,
         TREE),
    Need("node", "following: bytes", "calm.node_bytes_s", of.nodes, "bytes/s", NODE_BYTES, TREE),
    Need("node", "with all starts without a disk, a day's average: bytes", "starts.day_bytes_s", of.nodes,
         "bytes/s",
         NODE_BYTES, TREE, control="bytes"),
    Need("relay", "a zone's nodes on one relay: processor time", "relay.core", of.zone_nodes, "of a core",
         ONE_CORE, TREE),
    Need("relay", "a zone's nodes on one relay: memory, with the records it had", "relay.memory_mb",
         of.zone_nodes, "MB", None, TREE),
    Need("voter", "with all records: memory", "source.memory_mb", of.records, "MB", None, TREE),
    Need("publisher", "a batch of one confirmed, p99", "source.batch_p99_ms", of.records, "ms", IN_FORCE_MS,
         TREE),
    Need("publisher", "in force at all nodes, in calm", "calm.in_force_all_s", of.nodes, "s", IN_FORCE, TREE),
    Need("publisher", "in force at 99 in 100, in calm", "calm.in_force_p99_s", of.nodes, "s", IN_FORCE, TREE),
)
# fmt: on
