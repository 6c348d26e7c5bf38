"""Pools, node quotas, the commands on them and the replies.

All structs are encoded as msgpack arrays, which are sent or stored in the consensus log and in snapshots. The
order of the fields and the tags must not change. Limits, floors, demands and grants are numbers of calls in
flight; times are in µs.
"""

from __future__ import annotations

import msgspec

STATE_PART = "shares"  # name of the quotas' part of the replicated state
DEFAULT_TERM_US = 5_000_000  # validity of a grant after a renewal; all calls under the grant end within it
RENEWALS_PER_TERM = 3  # renewals during one term, so that two renewals in a row may be lost
MAX_POOLS = 64
MAX_NODES = 1_024  # maximum number of nodes of one pool
MAX_LIMIT = 1_000_000  # maximum limit of one pool, in calls in flight
# Bounds of a pool's term. With a shorter term, nodes would do little else than renew. With a longer term, the
# calls reserved for a lost node would stay unusable for too long.
MIN_TERM_US = 300_000
MAX_TERM_US = 600_000_000
# Name of the recovery job. Only the holder of this job's lease may set `Pool.allocatable_share`, the fraction
# of each pool's calls above the floors that may be allocated.
RECOVERY_JOB = "revive"


class NodeQuota(msgspec.Struct, array_like=True):
    """One node's quota in a pool. `reserved` and `reserved_until_expiry` count against the limit.

    Attributes:
        incarnation: Random number drawn when the node starts.
        request_number: Number of the node's last renewal; older renewals that arrive late are rejected.
        reserved: Calls that the node may have in flight until it reports fewer or its grant expires.
        target: Calls that the allocator wants the node to have.
        demand: Calls that the node last reported it could use.
        renewal_index: Index of the log entry of the node's last renewal.
        reserved_until_expiry: Calls that earlier incarnations of the node may have in flight; the sum of this
            number and `reserved` is never below the floor.
        previous_renewal_index: Index of the log entry of the earlier incarnations' last renewal.
    """

    incarnation: int
    request_number: int
    reserved: int
    target: int
    demand: int
    renewal_index: int
    reserved_until_expiry: int = 0
    previous_renewal_index: int = 0


class Pool(msgspec.Struct, array_like=True):
    """A dependency's capacity and how it is divided among the nodes.

    Attributes:
        limit: Calls in flight that the dependency can sustain.
        floor: Calls that each node may have in flight without a grant, once the node has run for a term.
        max_nodes: Maximum number of nodes; the floor is reserved for each of them, present or not.
        term: How long a grant lasts, in µs.
        fencing_token: Token of the lease holder that allocated last; 0 if there was no allocation yet.
        node_quotas: The nodes that have asked for a grant.
        allocatable_share: Fraction of the limit, beyond all floors, that may be allocated; below 1 while the
            fleet recovers.
    """

    limit: int
    floor: int
    max_nodes: int
    term: int
    fencing_token: int = 0
    node_quotas: dict[str, NodeQuota] = {}
    allocatable_share: float = 1.0


class DefinePool(msgspec.Struct, frozen=True, array_like=True, tag="define"):
    """Create a pool or change it; the fields are those of `Pool`."""

    pool: str
    limit: int
    floor: int
    max_nodes: int
    term: int = DEFAULT_TERM_US


class DropPool(msgspec.Struct, frozen=True, array_like=True, tag="drop"):
    """Delete a pool in which no node has a quota."""

    pool: str


class ForgetNode(msgspec.Struct, frozen=True, array_like=True, tag="forget"):
    """An operator states that a node will not return and no longer uses even its floor."""

    pool: str
    node: str


class QuotaRequest(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """A node renews its grant.

    Attributes:
        floor: The pool's floor in the node's configuration.
        term: The pool's term in the node's configuration, in µs.
        in_use: Greatest number of calls that the node may have in flight from before the request until the
            reply.
        demand: Calls that the node could use.
    """

    pool: str
    node: str
    incarnation: int
    request_number: int
    floor: int
    term: int
    in_use: int
    demand: int


class Allocate(msgspec.Struct, frozen=True, array_like=True, tag="deal"):
    """The allocator sets the targets of some nodes; rejected under an old fencing token."""

    pool: str
    fencing_token: int
    targets: dict[str, int]


class GrantExpired(msgspec.Struct, frozen=True, array_like=True, tag="over"):
    """The allocator states that a grant has expired; ignored if the node has renewed since."""

    pool: str
    fencing_token: int
    node: str
    renewal_index: int


class SetAllocatableShare(msgspec.Struct, frozen=True, array_like=True, tag="part"):
    """The recovery planner limits the calls that may be allocated of all pools: `Pool.allocatable_share`."""

    fencing_token: int  # token of the lease on RECOVERY_JOB
    share: float


FencedCommand = Allocate | GrantExpired
Command = DefinePool | DropPool | ForgetNode | QuotaRequest | FencedCommand | SetAllocatableShare


class QuotaReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to a `QuotaRequest`.

    Attributes:
        amount: Calls that the node may have in flight.
        fencing_token: Token of the lease holder that allocated last; 0 if there was no allocation yet.
        rejection: Why the request was rejected; empty if it was granted.
    """

    amount: int
    fencing_token: int
    rejection: str = ""


class CommandReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to any other command: whether the command was accepted, and the reason if it was not."""

    accepted: bool
    reason: str = ""


def allocator_job(pool: str) -> str:
    """Return the name of the job whose lease holder allocates the pool `pool`."""
    return f"shares/{pool}"
