"""A driver of the replicated state of quotas, for tests."""

import msgspec

from lichencleat.leases.lease_state import LeaseState
from lichencleat.leases.messages import CandidateExpired, DefineJob, RenewLease
from lichencleat.quotas.messages import (
    CommandReply,
    DefinePool,
    QuotaRequest,
    allocator_job,
)
from lichencleat.quotas.quota_state import QuotaState

TERM = 1_000_000  # µs


class QuotaStateDriver:
    """The replicated states of leases and of the pool "p"; each command is applied as the next log entry."""

    def __init__(self, limit=10, floor=1, nodes=4):
        self.leases = LeaseState()
        self.index = 0
        self.state = QuotaState(self.leases)
        self.change_holder("d1", 1)
        assert self(DefinePool("p", limit, floor, nodes, TERM)) == CommandReply(True)

    def apply_to_leases(self, command):
        self.index += 1
        return self.leases.apply(self.index, msgspec.Raw(msgspec.msgpack.encode(command)))

    def change_holder(self, name, incarnation):
        for each, known in list(self.leases.candidates.items()):
            self.apply_to_leases(CandidateExpired(each, known.renewal_index))
        self.apply_to_leases(RenewLease(name, "", incarnation, True, {}))
        self.apply_to_leases(DefineJob(allocator_job("p")))

    @property
    def token(self):
        return self.leases.jobs[allocator_job("p")].fencing_token

    @property
    def pool(self):
        return self.state.pools["p"]

    def __call__(self, command):
        self.index += 1
        return self.state.apply(self.index, msgspec.Raw(msgspec.msgpack.encode(command)))

    def ask(self, node, request_number, in_use=1, demand=5, incarnation=1, floor=1):
        return self(QuotaRequest("p", node, incarnation, request_number, floor, TERM, in_use, demand))
