"""Decides which commands the allocator of a pool proposes after each read of the pool.

The allocator measures a grant's term from the moment when it first reads the renewal. The node measures from
an earlier moment, when it requests the renewal. A new lease holder starts the measurement again. The delay
until a grant counts as expired exceeds the term by the largest drift between the two clocks.
"""

from __future__ import annotations

from lichencleat.leases.messages import MAX_CLOCK_DRIFT
from lichencleat.quotas.allocation import compute_targets, select_changes
from lichencleat.quotas.messages import Allocate, FencedCommand, GrantExpired, NodeQuota, Pool

# Poll interval as a fraction of a term; short enough to meet a demand in about half a renewal interval.
POLL_INTERVAL_TERMS = 0.1


def find_expirable_renewals(pool: Pool, quota: NodeQuota) -> list[int]:
    """Return the log indexes of the renewals under which a node may have more calls than its floor."""
    indexes = []
    if quota.reserved > pool.floor or quota.target > pool.floor:
        indexes.append(quota.renewal_index)
    if quota.reserved_until_expiry:
        indexes.append(quota.previous_renewal_index)
    return indexes


class Allocator:
    """Decides on a pool's targets and expired grants under one fencing token, without I/O.

    Args:
        pool: Name of the pool.
        fencing_token: Token of the lease that this process holds on the pool's job.
        drift: Largest relative difference between the rates of two machines' clocks.
    """

    def __init__(self, pool: str, fencing_token: int, drift: float = MAX_CLOCK_DRIFT) -> None:
        self.pool = pool
        self.fencing_token = fencing_token
        self.drift = drift
        self.seen_at: dict[tuple[str, int], int] = {}  # (node, renewal index) -> time in µs of the first read

    def decide(self, now: int, pool: Pool) -> list[FencedCommand]:
        """Return the commands to propose.

        Args:
            now: The monotonic time in µs at which the pool was read.
            pool: The state of the pool at that read.
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
        """Return the grants that have expired at `now` (µs), and record when new renewals were first read."""
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
