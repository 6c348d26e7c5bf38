"""Replicated state of the recovery with a leader, for tests that call it directly."""

import msgspec

from lichencleat.leases.lease_state import LeaseState
from lichencleat.leases.messages import CandidateExpired, DefineJob, RenewLease
from lichencleat.quotas.messages import SetAllocatableShare
from lichencleat.quotas.quota_state import QuotaState
from lichencleat.recovery.messages import (
    JOB,
    NodeReport,
)
from lichencleat.recovery.state import FleetState


class ReplicatedGroup:
    """The replicated state of a group with a recovery leader; each command is the next log entry."""

    def __init__(self):
        self.jobs, self.index = LeaseState(), 0
        self.fleet, self.pools = FleetState(self.jobs), QuotaState(self.jobs)
        self.change_leader("o1", 1)

    def apply(self, part, command):
        self.index += 1
        return part.apply(self.index, msgspec.Raw(msgspec.msgpack.encode(command)))

    def __call__(self, command):
        return self.apply(self.pools if isinstance(command, SetAllocatableShare) else self.fleet, command)

    def change_leader(self, name, incarnation):
        for each, known in list(self.jobs.candidates.items()):
            self.apply(self.jobs, CandidateExpired(each, known.renewal_index))
        self.apply(self.jobs, RenewLease(name, "", incarnation, True, {}))
        self.apply(self.jobs, DefineJob(JOB))

    @property
    def token(self):
        return self.jobs.jobs[JOB].fencing_token

    def report(self, node, incarnation=1, zone="x", epoch=1, unix=0, **more):
        fields = {"ready": True, "records_verified": True, "load": 0.3} | more
        return self(NodeReport(node, zone, incarnation, False, epoch, unix, **fields))

    def run_step(self, planner, now):
        commands = planner.plan_next_step(now, self.fleet.epoch, dict(self.fleet.nodes), self.fleet.plan)
        return commands, [self(each) for each in commands]
