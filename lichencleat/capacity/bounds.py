"""Figures of the code beyond which it turns away, forgets or ends, read where they stand; no I/O."""

from __future__ import annotations

from dataclasses import dataclass

from lichencleat.capacity import sizes as of
from lichencleat.capacity.needs import CONFIG, SOME
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
    role: str
    what: str
    name: str  # of the bound in the plan's output, or the target's word
    bound: float | None  # None: the target's own
    size: Size
    answer: str = ""  # what carries it at the target instead, where it does not hold


CANDIDATES = "a few nodes are candidates (`candidate: true`)"

# fmt: off
BOUNDS = (
    Bound("node", "connections: each caller to each node", "node_sockets", None, of.callers),
    Bound("node", "connections: a subset", "node_sockets", None, of.subset),
    Bound("member", "members: each node", "members.table.MEMBERS_MOST",
          member_table.MAX_MEMBERS, of.nodes, SOME),
    Bound("voter", "members of a group: each node a learner", "quorum.group.MEMBERS_MOST",
          group.MAX_MEMBERS, of.nodes,
          CONFIG),
    Bound("voter", "facts: routes and tenants", "quorum.facts.FACTS_MOST", facts.MAX_KEYS, of.records,
          CONFIG),
    Bound("voter", "connections: each node asks one group", "quorum.links.CONNECTIONS_MOST",
          inbound.MAX_CONNECTIONS,
          of.nodes),
    Bound("voter", "sessions: each node asks one group", "quorum.sessions.SESSIONS_MOST",
          sessions.MAX_SESSIONS,
          of.nodes),
    Bound("owner", "candidates: each node", "owners.terms.CANDIDATES_MOST", owners.MAX_CANDIDATES,
          of.nodes, CANDIDATES),
    Bound("owner", "candidates: each machine", "owners.terms.CANDIDATES_MOST", owners.MAX_CANDIDATES,
          of.machines),
    Bound("dealer", "seats of a pool", "shares.terms.NODES_MOST", shares.MAX_NODES, of.seats),
    Bound("planner", "nodes of a return", "revive.terms.NODES_MOST", recovery.MAX_NODES, of.nodes),
    Bound("zone judge", "zones", "zones.terms.ZONES_MOST", failover.MAX_ZONES, of.zones),
    Bound("zone judge", "routers that report", "zones.terms.SOURCES_MOST", failover.MAX_ROUTERS, of.routers),
    Bound("collector", "senders: each node to one", "flows.collector.SENDERS_MOST", collector.SENDERS_MOST,
          of.nodes),
    Bound("collector", "tenants told apart", "flows.collector.TENANTS_MOST", collector.TENANTS_MOST,
          of.tenants),
    Bound("relay", "subscribers: a zone's nodes", "distribution.terms.SUBSCRIBERS_MOST",
          distribution.MAX_SUBSCRIBERS,
          of.zone_nodes),
    Bound("relay", "records", "distribution.terms.RECORDS_MOST", distribution.MAX_RECORDS, of.records),
    Bound("relay", "zones counted apart", "distribution.terms.ZONES_MOST", distribution.MAX_ZONES, of.zones),
)
# fmt: on

SOURCES = {
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
"""Where the constant of each name stands now: names are part of `capacity plan --json` and stay."""
