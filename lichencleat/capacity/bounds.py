"""Limits in the code beyond which a part rejects, forgets or closes something, read from their constants. No
I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from lichencleat.capacity import sizes
from lichencleat.capacity.needs import FEW_MEMBERS, RELAY_TIERS
from lichencleat.capacity.sizes import Size
from lichencleat.config_distribution import terms as distribution
from lichencleat.consensus import configuration as group
from lichencleat.consensus import key_value as facts
from lichencleat.consensus import sessions
from lichencleat.failover import messages as failover
from lichencleat.flows import collector
from lichencleat.leases import messages as owners
from lichencleat.membership import member_table
from lichencleat.quotas import messages as shares
from lichencleat.recovery import messages as recovery
from lichencleat.transport import inbound


@dataclass(frozen=True, slots=True)
class Bound:
    """One limit of the code, or of the target, and the size that it must allow."""

    role: str
    what: str
    name: str  # name of the bound in the plan's output; for a bound of the target, the name of its field
    bound: float | None  # None: the target's `node_sockets`
    size: Size
    answer: str = ""  # mechanism that replaces it at the target if the bound is too small


CANDIDATES = "a few nodes are candidates (`candidate: true`)"

# fmt: off
BOUNDS = (
    Bound("node", "connections: each caller to each node", "node_sockets", None, sizes.callers),
    Bound("node", "connections: a subset", "node_sockets", None, sizes.subset_connections),
    Bound("member", "members: each node", "members.table.MEMBERS_MOST", member_table.MAX_MEMBERS, sizes.nodes,
          FEW_MEMBERS),
    Bound("voter", "members of a group: each node a learner", "quorum.group.MEMBERS_MOST", group.MAX_MEMBERS,
          sizes.nodes, RELAY_TIERS),
    Bound("voter", "facts: routes and tenants", "quorum.facts.FACTS_MOST", facts.MAX_KEYS, sizes.records,
          RELAY_TIERS),
    Bound("voter", "connections: each node asks one group", "quorum.links.CONNECTIONS_MOST",
          inbound.MAX_CONNECTIONS, sizes.nodes),
    Bound("voter", "sessions: each node asks one group", "quorum.sessions.SESSIONS_MOST",
          sessions.MAX_SESSIONS, sizes.nodes),
    Bound("owner", "candidates: each node", "owners.terms.CANDIDATES_MOST", owners.MAX_CANDIDATES,
          sizes.nodes, CANDIDATES),
    Bound("owner", "candidates: each machine", "owners.terms.CANDIDATES_MOST", owners.MAX_CANDIDATES,
          sizes.machines),
    Bound("dealer", "seats of a pool", "shares.terms.NODES_MOST", shares.MAX_NODES, sizes.seats),
    Bound("planner", "nodes of a return", "revive.terms.NODES_MOST", recovery.MAX_NODES, sizes.nodes),
    Bound("zone judge", "zones", "zones.terms.ZONES_MOST", failover.MAX_ZONES, sizes.zones),
    Bound("zone judge", "routers that report", "zones.terms.SOURCES_MOST", failover.MAX_ROUTERS,
          sizes.routers),
    Bound("collector", "senders: each node to one", "flows.collector.SENDERS_MOST", collector.SENDERS_MOST,
          sizes.nodes),
    Bound("collector", "tenants told apart", "flows.collector.TENANTS_MOST", collector.TENANTS_MOST,
          sizes.tenants),
    Bound("relay", "subscribers: a zone's nodes", "distribution.terms.SUBSCRIBERS_MOST",
          distribution.MAX_SUBSCRIBERS, sizes.zone_nodes),
    Bound("relay", "records", "distribution.terms.RECORDS_MOST", distribution.MAX_RECORDS, sizes.records),
    Bound("relay", "zones counted apart", "distribution.terms.ZONES_MOST", distribution.MAX_ZONES,
          sizes.zones),
)
# fmt: on

CURRENT_NAMES = {
    "distribution.terms.RECORDS_MOST": "config_distribution.terms.MAX_RECORDS",
    "distribution.terms.SUBSCRIBERS_MOST": "config_distribution.terms.MAX_SUBSCRIBERS",
    "distribution.terms.ZONES_MOST": "config_distribution.terms.MAX_ZONES",
    "flows.collector.SENDERS_MOST": "flows.collector.SENDERS_MOST",
    "flows.collector.TENANTS_MOST": "flows.collector.TENANTS_MOST",
    "members.table.MEMBERS_MOST": "membership.member_table.MAX_MEMBERS",
    "owners.terms.CANDIDATES_MOST": "leases.messages.MAX_CANDIDATES",
    "quorum.facts.FACTS_MOST": "consensus.key_value.MAX_KEYS",
    "quorum.group.MEMBERS_MOST": "consensus.configuration.MAX_MEMBERS",
    "quorum.links.CONNECTIONS_MOST": "transport.inbound.MAX_CONNECTIONS",
    "quorum.sessions.SESSIONS_MOST": "consensus.sessions.MAX_SESSIONS",
    "revive.terms.NODES_MOST": "recovery.messages.MAX_NODES",
    "shares.terms.NODES_MOST": "quotas.messages.MAX_NODES",
    "zones.terms.SOURCES_MOST": "failover.messages.MAX_ROUTERS",
    "zones.terms.ZONES_MOST": "failover.messages.MAX_ZONES",
}
"""The constant that each name stands for. The names are part of `capacity plan --json` and do not change."""
