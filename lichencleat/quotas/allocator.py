"""What the lease holder of a pool proposes each time it has read the pool.

A grant's term counts from the moment when the allocator has read of the renewal, which is later than the
moment from which the node counts; a new lease holder counts anew. The delay is longer than the term by the
drift of both clocks.
"""

from __future__ import annotations

from lichencleat.leases.messages import MAX_CLOCK_DRIFT
from lichencleat.quotas.allocation import compute_targets, select_changes
from lichencleat.quotas.messages import Allocate, FencedCommand, GrantExpired, NodeQuota, Pool

POLL_INTERVAL_TERMS = 0.1  # of a term: a demand is met within about half a renewal interval


def find_expirable_renewals(pool: Pool, quota: NodeQuota) -> list[int]:
    """Return the log indexes of the renewals of a node under which more than its floor is reserved."""
    indexes = []
    if quota.reserved > pool.floor or quota.target > pool.floor:
        indexes.append(quota.renewal_index)
    if quota.reserved_until_expiry:
        indexes.append(quota.previous_renewal_index)
    return indexes


class Allocator:
    """Decides under one fencing token; without I/O.

    Args:
        pool: Name of the pool.
        fencing_token: Of the lease that this process holds on the pool's job.
        drift: Largest relative difference between the rates of two machines' clocks.
    """

    def __init__(self, pool: str, fencing_token: int, drift: float = MAX_CLOCK_DRIFT) -> None:
        self.pool = pool
        self.fencing_token = fencing_token
        self.drift = drift
        self.seen_at: dict[tuple[str, int], int] = {}  # node, renewal index -> µs when it was read first

    def decide(self, now: int, pool: Pool) -> list[FencedCommand]:
        """Return the commands to propose.

        Args:
            now: The monotonic time in µs at which the pool was read.
            pool: The pool as read.
        """
        expired = self.find_expired(now, pool)
        commands: list[FencedCommand] = [*expired]
        expired_nodes = {each.node for each in expired}
        changes = select_changes(pool, compute_targets(pool))
        targets = {name: amount for name, amount in changes.items() if name not in expired_nodes}
        if targets:
            commands.append(Allocate(self.pool, self.fencing_token, targets))
        return commands

    def find_expired(self, now: int, pool: Pool) -> list[GrantExpired]:
        """Return the grants that have expired at `now` (µs), and note the renewals that are new."""
        seen_at = {}
        expired = []
        delay = round(pool.term * (1 + self.drift))
        for node, quota in pool.node_quotas.items():
            for index in find_expirable_renewals(pool, quota):
                since = self.seen_at.get((node, index), now)
                seen_at[node, index] = since
                if now - since >= delay:
                    expired.append(GrantExpired(self.pool, self.fencing_token, node, index))
        self.seen_at = seen_at
        return expired
