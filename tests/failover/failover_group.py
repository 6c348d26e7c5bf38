"""Replicated state of the failover with a leader, for tests that call it directly."""

import msgspec

from lichencleat.failover.messages import (
    JOB,
    CommandReply,
    DefineZone,
    HealthReport,
    ZoneObservation,
)
from lichencleat.failover.state import FailoverState
from lichencleat.leases.lease_state import LeaseState
from lichencleat.leases.messages import CandidateExpired, DefineJob, RenewLease


class ReplicatedGroup:
    def __init__(self):
        self.jobs, self.index = LeaseState(), 0
        self.state = FailoverState(self.jobs)
        self.change_leader("o1", 1)
        for name, round_trips in (("x", {"y": 30_000}), ("y", {"x": 30_000})):
            assert self(DefineZone(name, "r", 100.0, round_trips)) == CommandReply(True)

    def apply(self, part, command):
        self.index += 1
        return part.apply(self.index, msgspec.Raw(msgspec.msgpack.encode(command)))

    def __call__(self, command):
        return self.apply(self.state, command)

    def change_leader(self, name, incarnation):
        for each, candidate in list(self.jobs.candidates.items()):
            self.apply(self.jobs, CandidateExpired(each, candidate.renewal_index))
        self.apply(self.jobs, RenewLease(name, "", incarnation, True, {}))
        self.apply(self.jobs, DefineJob(JOB))

    @property
    def token(self):
        return self.jobs.jobs[JOB].fencing_token

    def report(self, router, zone, offered=40.0, **counts_by_zone):
        reported = {name: ZoneObservation(*counts, 300_000) for name, counts in counts_by_zone.items()}
        return self(HealthReport(router, zone, self.state.plan.version, offered, reported))

    def run_step(self, controller, now):
        state = self.state
        commands = controller.plan_next_step(
            now, state.zones, state.plan, dict(state.routers), dict(state.overrides)
        )
        return commands, [self(each) for each in commands]
