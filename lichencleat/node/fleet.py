"""A node's part in the fleet: its quota of calls, its recovery reports, and the jobs whose leases it holds.

Connects the clients of `quotas/`, `recovery/` and `leases/` to the node. To save memory, a node imports this
module only if the operators' file has a `fleet` section.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, succeed

from lichencleat.config.addresses import parse_address
from lichencleat.config.schema import FleetConfig
from lichencleat.leases.lease_client import LeaseClient, LeaseListener
from lichencleat.quotas.allocator_task import AllocatorTask
from lichencleat.quotas.quota_client import QuotaClient
from lichencleat.quotas.quota_grant import QuotaGrant
from lichencleat.recovery.boot_record import ClockCheck
from lichencleat.recovery.boot_record_store import BootRecordStore
from lichencleat.recovery.planner_task import RolloutPlannerTask
from lichencleat.recovery.readiness_gate import ReadinessGate
from lichencleat.recovery.reporter import RecoveryReporter
from lichencleat.transport.group_client import GroupClient

SECOND = 1_000_000  # µs


class LeaseListenerGroup:
    """A lease listener that passes each event to several lease listeners."""

    def __init__(self, tasks: list[LeaseListener]) -> None:
        self.tasks = tasks

    def on_lease_acquired(self, job: str, fencing_token: int) -> None:
        for each in self.tasks:
            each.on_lease_acquired(job, fencing_token)

    def on_lease_lost(self, job: str, reason: str) -> None:
        for each in self.tasks:
            each.on_lease_lost(job, reason)


class FleetNode:
    """Owns the clients of the coordination group and the tasks that use these clients, until `stop`."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        config: FleetConfig,
        engine: Any,
        keyed: Any,
        unix_time: Callable[[], int],
        rng: random.Random,
        log: Any,
    ) -> None:
        """`engine`: a node.host.RequestEngine; `keyed`: an idempotency.service.IdempotencyService or None."""
        self.reactor, self.name, self.config, self.rng, self.log = reactor, name, config, rng, log
        self.clients: list[GroupClient] = []
        self.quota_client = self.make_quota_client(engine) if config.shares is not None else None
        self.recovery_reporter = (
            self.make_recovery_reporter(engine, keyed, unix_time) if config.revive else None
        )
        self.holder = self.make_lease_holder() if config.candidate else None

    def add_client(self) -> GroupClient:
        """Create a client of the coordination group, which `stop` closes."""
        addresses = [parse_address(each) for each in self.config.members]
        client = GroupClient(self.reactor, self.config.group, addresses, self.rng, self.name)
        self.clients.append(client)
        return client

    def now(self) -> int:
        """Return the time of the reactor's monotonic clock in µs."""
        return int(self.reactor.seconds() * SECOND)

    def make_quota_client(self, engine: Any) -> QuotaClient:
        """Create the client that limits the engine's concurrent calls to this node's quota."""
        shares, incarnation = self.config.shares, self.rng.getrandbits(48)
        assert shares is not None
        term = round(shares.term_s * SECOND)
        grants = QuotaGrant(shares.pool, self.name, incarnation, shares.floor, term, self.now())
        quota_client = QuotaClient(
            self.reactor, self.add_client(), grants, engine.call_demand, engine.set_call_quota, self.log
        )
        engine.limit_call_duration = quota_client.max_call_duration
        return quota_client

    def make_recovery_reporter(
        self, engine: Any, keyed: Any, unix_time: Callable[[], int]
    ) -> RecoveryReporter:
        """Create the reporter that limits which requests the engine admits after a restart."""
        boot_records = BootRecordStore(self.config.group, unix_time)
        incarnation = self.rng.getrandbits(48)
        gate = ReadinessGate(
            self.name, self.config.zone, incarnation, False, 0, ClockCheck.PLAUSIBLE, self.now()
        )
        gate.has_records = keyed is not None
        engine.set_allowance(0.0, False)  # until the planner replies, or the readiness gate opens without it
        is_index_loaded = (lambda: keyed.index.is_loaded) if keyed is not None else (lambda: False)
        recovery_reporter = RecoveryReporter(
            self.reactor, self.add_client(), engine, gate, boot_records, is_index_loaded, unix_time, self.log
        )
        if keyed is not None:
            keyed.on_opened += [boot_records.on_store_opened, recovery_reporter.service_times.on_store_opened]
            keyed.heartbeat_records += [boot_records.to_entry, recovery_reporter.service_times.to_entry]
        return recovery_reporter

    def make_lease_holder(self) -> LeaseClient:
        """Create the client that competes for the leases of the fleet's jobs."""
        tasks: list[Any] = []
        if self.config.shares is not None:
            tasks.append(AllocatorTask(self.reactor, self.add_client(), self.config.shares.pool, self.log))
        if self.config.revive:
            tasks.append(RolloutPlannerTask(self.reactor, self.add_client(), self.log))
        zone = self.config.zone
        holder = LeaseClient(
            self.reactor, self.add_client(), self.name, zone, LeaseListenerGroup(tasks), self.rng, self.log
        )
        for each in tasks:
            each.lease_client = holder
        # without tasks, compete for no lease: the node would hold the lease of a job that it cannot do
        holder.leases.job_prefixes = [each.job for each in tasks] or ["none"]
        return holder

    def start(self) -> None:
        """Start the clients that the configuration enables."""
        for each in (self.quota_client, self.recovery_reporter, self.holder):
            if each is not None:
                each.start()

    def leave(self) -> Deferred[None]:
        """Release the leases when a drain starts; keep the quota until `stop`, as calls may be in flight."""
        if self.recovery_reporter is not None:
            self.recovery_reporter.leave()
        return self.holder.leave() if self.holder is not None else succeed(None)

    def stop(self) -> None:
        """Stop the quota and recovery clients, and close all connections to the group."""
        for each in (self.quota_client, self.recovery_reporter):
            if each is not None:
                each.stop()
        for client in self.clients:
            client.close()

    def describe(self) -> str:
        """Return the fleet part of the status line."""
        parts = [self.quota_client.describe()] if self.quota_client is not None else []
        parts += [self.recovery_reporter.describe()] if self.recovery_reporter is not None else []
        jobs = ", ".join(sorted(self.holder.leases.held_tokens)) if self.holder is not None else ""
        return "; ".join(parts + ([f"owns {jobs}"] if jobs else [])) or "alone"
