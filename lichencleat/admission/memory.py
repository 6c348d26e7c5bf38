"""The memory budget of a node: queued and running requests, and idempotency records."""

from __future__ import annotations

from lichencleat.admission.pools import RequestPools
from lichencleat.admission.records import IdempotencyRecords
from lichencleat.admission.types import NodeSpec, Request

MEMORY_PART = 0.85  # of the memory: leaves room for what is being read while decisions are made
ENTRY_PART = 0.5  # of the memory part: records of idempotent requests only save work, so runs come first


class MemoryBudget:
    """Compares the memory in use with a part of what the node has, in kilobytes."""

    def __init__(self, spec: NodeSpec, pools: RequestPools, records: IdempotencyRecords) -> None:
        self.limit_kb = spec.memory_kb * MEMORY_PART or float("inf")
        self.running_memory_factor = spec.running_memory_factor
        self.record_kb = spec.record_kb
        self.pools = pools
        self.records = records

    def used_kb(self) -> float:
        """Return what all requests and records take."""
        pools = self.pools
        ran = sum(each.size_kb for each in pools.started())
        waiting = sum(each.size_kb for each in (*pools.new, *pools.queued, *pools.coalesced))
        return ran * self.running_memory_factor + waiting + len(self.records.expiry) * self.record_kb

    def is_exceeded(self) -> bool:
        """Return whether more is in use than the budget allows."""
        return self.used_kb() > self.limit_kb

    def can_start(self, request: Request) -> bool:
        """Return whether there is memory for the run of a queued request."""
        return self.used_kb() + request.size_kb * (self.running_memory_factor - 1) <= self.limit_kb

    def can_record_read(self) -> bool:
        """Return whether there is memory for the record of an idempotent request."""
        return self.used_kb() < self.limit_kb * ENTRY_PART
