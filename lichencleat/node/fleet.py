"""A node among others that agree through voters: its seat in a pool, its part in a return, its jobs.

Puts together what `quotas/`, `recovery/` and `leases/` make; decides nothing. Imported only where the
operators' file names a fleet.
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


class Works:
    """A `LeaseListener` that hands each job to those that know it."""

    def __init__(self, works: list[LeaseListener]) -> None:
        self.works = works

    def on_lease_acquired(self, job: str, fencing_token: int) -> None:
        for each in self.works:
            each.on_lease_acquired(job, fencing_token)

    def on_lease_lost(self, job: str, reason: str) -> None:
        for each in self.works:
            each.on_lease_lost(job, reason)


class FleetNode:
    """Owns the clients and what talks through them; all are given back in `stop`."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        chosen: FleetConfig,
        host: Any,
        keyed: Any,
        unix: Callable[[], int],
        rng: random.Random,
        log: Any,
    ) -> None:
        """`host`: as net.host.Host; `keyed`: as idempotency.service.IdempotencyService, or None."""
        self.reactor, self.name, self.chosen, self.rng, self.log = reactor, name, chosen, rng, log
        self.clients: list[GroupClient] = []
        self.seat = self.make_seat(host) if chosen.shares is not None else None
        self.back = self.make_return(host, keyed, unix) if chosen.revive else None
        self.holder = self.make_holder() if chosen.candidate else None

    def client(self) -> GroupClient:
        addresses = [parse_address(each) for each in self.chosen.members]
        made = GroupClient(self.reactor, self.chosen.group, addresses, self.rng, self.name)
        self.clients.append(made)
        return made

    def now(self) -> int:
        return int(self.reactor.seconds() * SECOND)

    def make_seat(self, host: Any) -> QuotaClient:
        shares, life = self.chosen.shares, self.rng.getrandbits(48)
        assert shares is not None
        term = round(shares.term_s * SECOND)
        grants = QuotaGrant(shares.pool, self.name, life, shares.floor, term, self.now())
        seat = QuotaClient(self.reactor, self.client(), grants, host.calls_wanted, host.may_call, self.log)
        host.call_span = seat.max_call_duration
        return seat

    def make_return(self, host: Any, keyed: Any, unix: Callable[[], int]) -> RecoveryReporter:
        boot_records = BootRecordStore(self.chosen.group, unix)
        life = self.rng.getrandbits(48)
        gate = ReadinessGate(self.name, self.chosen.zone, life, False, 0, ClockCheck.PLAUSIBLE, self.now())
        gate.has_records = keyed is not None
        host.set_allowance(0.0, False)  # until there is a word, or a reason to go on without
        proof = (lambda: keyed.index.is_loaded) if keyed is not None else (lambda: False)
        back = RecoveryReporter(self.reactor, self.client(), host, gate, boot_records, proof, unix, self.log)
        if keyed is not None:
            keyed.on_opened += [boot_records.on_store_opened, back.service_times.on_store_opened]
            keyed.heartbeat_records += [boot_records.to_entry, back.service_times.to_entry]
        return back

    def make_holder(self) -> LeaseClient:
        works: list[Any] = []
        if self.chosen.shares is not None:
            works.append(AllocatorTask(self.reactor, self.client(), self.chosen.shares.pool, self.log))
        if self.chosen.revive:
            works.append(RolloutPlannerTask(self.reactor, self.client(), self.log))
        zone = self.chosen.zone
        holder = LeaseClient(self.reactor, self.client(), self.name, zone, Works(works), self.rng, self.log)
        for each in works:
            each.lease_client = holder
        # a node whose file names no part of it would own a job and do nothing
        holder.leases.job_prefixes = [each.job for each in works] or ["none"]
        return holder

    def start(self) -> None:
        for each in (self.seat, self.back, self.holder):
            if each is not None:
                each.start()

    def leave(self) -> Deferred[None]:
        """At a drain: its jobs go at once, the seat stays until the end, as calls may be under way."""
        if self.back is not None:
            self.back.leave()
        return self.holder.leave() if self.holder is not None else succeed(None)

    def stop(self) -> None:
        for each in (self.seat, self.back):
            if each is not None:
                each.stop()
        for client in self.clients:
            client.close()

    def beliefs(self) -> str:
        said = [self.seat.describe()] if self.seat is not None else []
        said += [self.back.describe()] if self.back is not None else []
        jobs = ", ".join(sorted(self.holder.leases.held_tokens)) if self.holder is not None else ""
        return "; ".join(said + ([f"owns {jobs}"] if jobs else [])) or "alone"
