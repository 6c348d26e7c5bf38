"""Leader task of the failover: polls the health reports and proposes the controller's commands."""

from __future__ import annotations

from typing import Any, cast

import msgspec
from twisted.python.failure import Failure

from lichencleat.failover.controller import POLL_INTERVAL_US, FailoverController
from lichencleat.failover.messages import (
    JOB,
    STATE_PART,
    ActiveOverride,
    PublishPlan,
    RouterHealth,
    RoutingPlan,
    Zone,
)
from lichencleat.leases.interfaces import GroupClient
from lichencleat.leases.leader_task import LeaderTask
from lichencleat.log.interfaces import EventLogger
from lichencleat.transport.twisted_types import ReactorClock
from lichencleat.units import MICROSECONDS_PER_SECOND


class FailoverControllerTask(LeaderTask[FailoverController]):
    """Publishes the routing plan while this process holds the lease of the failover's job.

    Args:
        reactor: Source of the monotonic clock and of the timer.
        client: Client of the consensus group.
        log: Logger of the process.
    """

    poll_interval_s = POLL_INTERVAL_US / MICROSECONDS_PER_SECOND

    def __init__(self, reactor: ReactorClock, client: GroupClient, log: EventLogger) -> None:
        super().__init__(reactor, client, STATE_PART, JOB, log)
        self.logged_reason = ""

    def create_decider(self, fencing_token: int) -> FailoverController:
        """Return the controller for a newly acquired lease."""
        return FailoverController(fencing_token)

    def on_state(self, state: object, decider: FailoverController) -> None:
        """Propose the controller's commands, and poll again after the usual interval."""
        self.schedule_poll(decider, self.poll_interval_s)
        if not state:  # voters of an older version have no zone state
            return
        view = cast(dict[str, Any], state)
        commands = decider.plan_next_step(
            self.now(),
            msgspec.convert(view["zones"], dict[str, Zone]),
            msgspec.convert(view["order"], RoutingPlan),
            msgspec.convert(view["sources"], dict[str, RouterHealth]),
            msgspec.convert(view["wishes"], dict[str, ActiveOverride]),
        )
        for command in commands:
            self.propose(STATE_PART, command)

    def on_propose(self, command: object) -> None:
        """Log a proposed plan if its reason differs from the last logged reason."""
        if isinstance(command, PublishPlan) and command.plan.reason != self.logged_reason:
            self.logged_reason = command.plan.reason
            self.log.info("routing plan proposed", after=command.previous_version, reason=command.plan.reason)

    def on_proposal_failed(self, failure: Failure) -> None:
        """Log the failure; the next poll proposes the commands that are still needed."""
        self.log.warning("routing plan proposal failed", reason=failure.getErrorMessage())
