"""Leader task of the recovery: polls the fleet's state and proposes the rollout planner's commands."""

from __future__ import annotations

from typing import Any, cast

import msgspec
from twisted.python.failure import Failure

from lichencleat.leases.interfaces import GroupClient
from lichencleat.leases.leader_task import LeaderTask
from lichencleat.log.interfaces import EventLogger
from lichencleat.quotas.messages import STATE_PART as QUOTAS_PART
from lichencleat.quotas.messages import SetAllocatableShare
from lichencleat.recovery.messages import (
    JOB,
    STATE_PART,
    NewEpoch,
    NodeState,
    RolloutBatch,
    RolloutPlan,
)
from lichencleat.recovery.planner import RolloutPlanner
from lichencleat.transport.twisted_types import ReactorClock

POLL_INTERVAL_S = 0.3


class RolloutPlannerTask(LeaderTask[RolloutPlanner]):
    """Plans the rollout while this process holds the lease of the recovery's job.

    Args:
        reactor: Source of the monotonic clock and of the timer.
        client: Client of the consensus group.
        log: Logger of the process.
    """

    poll_interval_s = POLL_INTERVAL_S

    def __init__(self, reactor: ReactorClock, client: GroupClient, log: EventLogger) -> None:
        super().__init__(reactor, client, STATE_PART, JOB, log)
        self.logged_reason = ""

    def create_decider(self, fencing_token: int) -> RolloutPlanner:
        """Return the planner for a newly acquired lease."""
        return RolloutPlanner(fencing_token)

    def on_state(self, state: object, decider: RolloutPlanner) -> None:
        """Propose the planner's commands, and poll again after the usual interval."""
        self.schedule_poll(decider, self.poll_interval_s)
        if not state:  # voters of an older version have no fleet state
            return
        view = cast(dict[str, Any], state)
        nodes = msgspec.convert(view["nodes"], dict[str, NodeState])
        plan = msgspec.convert(view["plan"], RolloutPlan | None)
        for command in decider.plan_next_step(self.now(), view["epoch"], nodes, plan):
            self.propose(QUOTAS_PART if isinstance(command, SetAllocatableShare) else STATE_PART, command)

    def on_propose(self, command: object) -> None:
        """Log the reason of a proposed plan or epoch if it differs from the last logged reason."""
        reason = ""
        if isinstance(command, RolloutBatch) and command.plan is not None:
            reason = command.plan.reason
        elif isinstance(command, NewEpoch):
            reason = command.reason
        if isinstance(command, RolloutBatch | NewEpoch) and reason and reason != self.logged_reason:
            self.logged_reason = reason
            self.log.info("plan", token=command.fencing_token, reason=reason)

    def on_proposal_failed(self, failure: Failure) -> None:
        """Log the failure; the next poll proposes the commands that are still needed."""
        self.log.warning("rollout proposal failed", reason=failure.getErrorMessage())
