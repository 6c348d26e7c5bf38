"""The replicated state of quotas: how many calls are reserved for which node of which pool.

This is a part of the consensus group's state. The part uses no I/O and no clock, so it is the same on each
member. The calls reserved for a node become fewer only when the node reports fewer calls or the allocator
states that the grant has expired. So the reservations always cover the calls in flight, even if requests or
replies are lost or late.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from lichencleat.decode_errors import UNDECODABLE
from lichencleat.leases.lease_state import LeaseState
from lichencleat.quotas.messages import (
    MAX_LIMIT,
    MAX_NODES,
    MAX_POOLS,
    MAX_TERM_US,
    MIN_TERM_US,
    RECOVERY_JOB,
    Allocate,
    Command,
    CommandReply,
    DefinePool,
    DropPool,
    FencedCommand,
    ForgetNode,
    GrantExpired,
    NodeQuota,
    Pool,
    QuotaReply,
    QuotaRequest,
    SetAllocatableShare,
    allocator_job,
)

decode_command = msgspec.msgpack.Decoder(Command).decode
decode_pools = msgspec.msgpack.Decoder(dict[str, Pool]).decode

STALE_TOKEN = "an older owner's"  # rejection: the fencing token is not that of the current lease holder


def reserved_calls(pool: Pool) -> int:
    """Return how many calls all nodes together may have in flight, the floors of absent nodes included."""
    absent = max(0, pool.max_nodes - len(pool.node_quotas))
    quotas = pool.node_quotas.values()
    return absent * pool.floor + sum(each.reserved + each.reserved_until_expiry for each in quotas)


class QuotaState:
    """Pools and their quotas. Reservations above the floor grow in `adjust_reservation` only.

    Args:
        leases: The replicated state of leases; fencing tokens of commands are checked against it.
    """

    def __init__(self, leases: LeaseState) -> None:
        self.leases = leases
        self.pools: dict[str, Pool] = {}

    def apply(self, index: int, command: msgspec.Raw) -> CommandReply | QuotaReply:
        """Apply the encoded command of the log entry at `index`.

        Returns:
            The reply to the proposer; a command that cannot be decoded is rejected.
        """
        try:
            decoded = decode_command(command)
        except UNDECODABLE:
            return CommandReply(False, "no command")
        match decoded:
            case QuotaRequest():
                return self.renew(index, decoded)
            case DefinePool():
                return self.define(decoded)
            case SetAllocatableShare():
                return self.set_allocatable_share(decoded)
        pool = self.pools.get(decoded.pool)
        if pool is None:
            return CommandReply(False, "no such pool")
        return self.execute(decoded, pool)

    def execute(self, command: DropPool | ForgetNode | FencedCommand, pool: Pool) -> CommandReply:
        """Carry out a command on an existing pool."""
        match command:
            case DropPool():
                return self.drop(command, pool)
            case ForgetNode():
                forgotten = pool.node_quotas.pop(command.node, None)
                return CommandReply(forgotten is not None, "no such node")
        if not self.has_current_token(command):
            return CommandReply(False, STALE_TOKEN)
        if isinstance(command, Allocate):
            return self.allocate(command, pool)
        return self.expire_grant(command, pool)

    def has_current_token(self, command: FencedCommand) -> bool:
        """Whether the command comes from the current lease holder, not from an earlier holder."""
        return self.leases.is_current_token(allocator_job(command.pool), command.fencing_token)

    # -- pools -------------------------------------------------------------------------------------------

    def define(self, command: DefinePool) -> CommandReply:
        """Create or change a pool."""
        known = self.pools.get(command.pool)
        reason = self.invalid_values(command) or self.definition_conflict(known, command)
        if reason:
            return CommandReply(False, reason)
        if known is None:
            self.pools[command.pool] = Pool(command.limit, command.floor, command.max_nodes, command.term)
            return CommandReply(True)
        known.limit = command.limit
        known.floor = command.floor
        known.max_nodes = command.max_nodes
        known.term = command.term
        return CommandReply(True)

    @staticmethod
    def invalid_values(command: DefinePool) -> str:
        """Return why the values of a definition are invalid; an empty string if they are valid."""
        limit, floor, nodes = command.limit, command.floor, command.max_nodes
        if not (0 < limit <= MAX_LIMIT and 0 < nodes <= MAX_NODES and floor >= 0):
            return "a figure out of range"
        if floor * nodes > limit:
            return f"{nodes} floors of {floor} are over the limit of {limit}"
        if not MIN_TERM_US <= command.term <= MAX_TERM_US:
            return "a term out of range"
        return ""

    def definition_conflict(self, known: Pool | None, command: DefinePool) -> str:
        """Return why a definition conflicts with the current state; an empty string without a conflict."""
        if known is None:
            return "too many pools" if len(self.pools) >= MAX_POOLS else ""
        present = len(known.node_quotas)
        if present and (known.floor, known.term) != (command.floor, command.term):
            return "floor and term stay while nodes have seats: they count by them"
        if present > command.max_nodes:
            return f"{present} nodes have seats; forget some first"
        return ""

    def drop(self, command: DropPool, pool: Pool) -> CommandReply:
        """Delete a pool that has no nodes."""
        if pool.node_quotas:
            return CommandReply(False, "nodes have seats in it; forget them first")
        del self.pools[command.pool]
        return CommandReply(True)

    def set_allocatable_share(self, command: SetAllocatableShare) -> CommandReply:
        """Set which fraction of each pool may be allocated; it is below 1 while the fleet recovers."""
        if not self.leases.is_current_token(RECOVERY_JOB, command.fencing_token):
            return CommandReply(False, STALE_TOKEN)
        for pool in self.pools.values():
            pool.allocatable_share = min(1.0, max(0.0, command.share))
        return CommandReply(True)

    # -- nodes -------------------------------------------------------------------------------------------

    def renew(self, index: int, request: QuotaRequest) -> QuotaReply:
        """Renew a node's grant; a new node gets the floor."""
        pool = self.pools.get(request.pool)
        if pool is None:
            return QuotaReply(0, 0, "no such pool")
        if (request.floor, request.term) != (pool.floor, pool.term):
            configured = f"{request.floor} for {request.term} µs"
            defined = f"{pool.floor} for {pool.term} µs"
            return QuotaReply(0, 0, f"it counts on {configured}, and the pool says {defined}")
        quota = pool.node_quotas.get(request.node)
        if quota is None:
            if len(pool.node_quotas) >= pool.max_nodes:
                return QuotaReply(0, 0, f"all {pool.max_nodes} seats are taken")
            quota = NodeQuota(request.incarnation, 0, pool.floor, pool.floor, 0, index)
            pool.node_quotas[request.node] = quota
        elif quota.incarnation != request.incarnation:
            self.start_incarnation(quota, request.incarnation, pool.floor)
        if request.request_number <= quota.request_number:
            return QuotaReply(0, 0, "a later renewal came before")
        quota.request_number = request.request_number
        quota.demand = max(0, request.demand)
        quota.renewal_index = index
        self.adjust_reservation(pool, quota, request.in_use)
        return QuotaReply(min(quota.reserved, quota.target), pool.fencing_token)

    @staticmethod
    def start_incarnation(quota: NodeQuota, incarnation: int, floor: int) -> None:
        """Reset the quota of a restarted node.

        Calls of the previous process may still be in flight, so its reservation is kept until its grant has
        expired.
        """
        quota.reserved_until_expiry += quota.reserved
        quota.previous_renewal_index = quota.renewal_index
        quota.incarnation = incarnation
        quota.request_number = 0
        quota.reserved = 0
        quota.target = floor

    @staticmethod
    def adjust_reservation(pool: Pool, quota: NodeQuota, in_use: int) -> None:
        """Move a node's reservation toward its target: down to the calls in use, or up within the limit."""
        if quota.target < quota.reserved:
            quota.reserved = max(quota.target, min(quota.reserved, in_use))
        elif quota.target > quota.reserved:
            free = pool.limit - reserved_calls(pool)
            quota.reserved += max(0, min(quota.target - quota.reserved, free))

    # -- the allocator -----------------------------------------------------------------------------------

    def allocate(self, command: Allocate, pool: Pool) -> CommandReply:
        """Set the targets of the nodes that the command names."""
        pool.fencing_token = command.fencing_token
        for name, target in command.targets.items():
            quota = pool.node_quotas.get(name)
            if quota is not None:
                quota.target = max(pool.floor, min(target, pool.limit))
        return CommandReply(True)

    def expire_grant(self, command: GrantExpired, pool: Pool) -> CommandReply:
        """Free the calls reserved under a renewal, but keep the floor reserved."""
        quota = pool.node_quotas.get(command.node)
        index = command.renewal_index
        if quota is None or index not in (quota.renewal_index, quota.previous_renewal_index):
            return CommandReply(False, "it has renewed since")
        if index == quota.renewal_index:
            quota.reserved = min(quota.reserved, pool.floor)
            quota.target = pool.floor
            quota.demand = 0
        if index == quota.previous_renewal_index:
            quota.reserved_until_expiry = 0
            quota.previous_renewal_index = 0
        if not quota.reserved_until_expiry:
            quota.reserved = max(quota.reserved, pool.floor)  # the node may use its floor without a grant
        return CommandReply(True)

    # -- the state as a whole ----------------------------------------------------------------------------

    def read(self, query: str | None) -> Mapping[str, Pool] | Pool | None:
        """Return the pool that the query names, or all pools if the query is None."""
        return self.pools if query is None else self.pools.get(query)

    def dump(self) -> dict[str, Pool]:
        """Return the state to encode into a snapshot."""
        return self.pools

    def load(self, dumped: msgspec.Raw) -> None:
        """Replace the state by the state in an encoded snapshot."""
        self.pools = decode_pools(dumped)
