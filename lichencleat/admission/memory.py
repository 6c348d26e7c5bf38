"""The memory budget of a node: queued and running requests, and idempotency records."""

from __future__ import annotations

from lichencleat.admission.pools import RequestPools
from lichencleat.admission.records import IdempotencyRecords
from lichencleat.admission.types import NodeSpec, Request

# Fraction of the node's memory that the budget covers; the rest is for requests that are read during a
# decision round.
MEMORY_BUDGET_SHARE = 0.85
# Fraction of the budget in use above which idempotent requests get no record. The records of idempotent
# requests only save second runs, so the memory is left for running requests.
IDEMPOTENT_RECORD_SHARE = 0.5


class MemoryBudget:
    """Compares the memory in use with the budget, a fraction of the node's memory; both in kilobytes."""

    def __init__(self, spec: NodeSpec, pools: RequestPools, records: IdempotencyRecords) -> None:
        self.limit_kb = spec.memory_kb * MEMORY_BUDGET_SHARE or float("inf")
        self.running_memory_factor = spec.running_memory_factor
        self.record_kb = spec.record_kb
        self.pools = pools
        self.records = records

    def used_kb(self) -> float:
        """Return the memory (kilobytes) used by all requests and records."""
        pools = self.pools
        started_kb = sum(each.size_kb for each in pools.started())
        waiting_kb = sum(each.size_kb for each in (*pools.new, *pools.queued, *pools.coalesced))
        return (
            started_kb * self.running_memory_factor + waiting_kb + len(self.records.expiry) * self.record_kb
        )

    def is_exceeded(self) -> bool:
        """Return whether more memory is in use than the budget allows."""
        return self.used_kb() > self.limit_kb

    def can_start(self, request: Request) -> bool:
        """Return whether there is memory for the run of a queued request."""
        return self.used_kb() + request.size_kb * (self.running_memory_factor - 1) <= self.limit_kb

    def can_record_idempotent(self) -> bool:
        """Return whether there is memory for the record of an idempotent request."""
        return self.used_kb() < self.limit_kb * IDEMPOTENT_RECORD_SHARE
