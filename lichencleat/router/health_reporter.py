"""Sends the router's health reports to the consensus group and applies the routing plans in the replies."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from twisted.python.failure import Failure

from lichencleat.failover.controller import POLL_INTERVAL_US
from lichencleat.failover.messages import STATE_PART, HealthReport, RoutingPlan
from lichencleat.leases.interfaces import GroupClient
from lichencleat.log.interfaces import EventLogger
from lichencleat.router.core import Router
from lichencleat.transport.twisted_types import DelayedCall, ReactorClock
from lichencleat.units import MICROSECONDS_PER_SECOND

REPORT_TIMEOUT_S = 1.0  # until a report without a reply counts as failed
REPORT_INTERVAL_S = POLL_INTERVAL_US / MICROSECONDS_PER_SECOND  # from a reply or failure to the next report


class HealthReporter:
    """Sends health reports periodically and applies the routing plans in the replies.

    Args:
        reactor: Source of the timer.
        client: Client of the consensus group.
        core: The decisions of the router.
        name: Name of the router.
        clock: Returns µs of the router's clock.
        log: Logger of the process.
    """

    def __init__(
        self,
        reactor: ReactorClock,
        client: GroupClient,
        core: Router,
        name: str,
        clock: Callable[[], int],
        log: EventLogger,
    ) -> None:
        self.reactor = reactor
        self.client = client
        self.core = core
        self.name = name
        self.clock = clock
        self.log = log
        self.timer: DelayedCall | None = None
        self.is_stopped = False
        self.is_failing = False

    def start(self) -> None:
        """Send the first report at once."""
        self.send_report()

    def send_report(self) -> None:
        """Send a report; the next report follows `REPORT_INTERVAL_S` after the reply or failure."""
        if self.is_stopped:
            return
        offered, observations = self.core.take_observations(self.clock())
        plan_version = self.core.locality.plan.version
        report = HealthReport(self.name, self.core.zone, plan_version, offered, observations)
        reply = self.client.propose(STATE_PART, report, REPORT_TIMEOUT_S)
        reply.addCallbacks(self.on_reply, self.on_failure).addBoth(self.schedule_report)

    def schedule_report(self, _: object) -> None:
        """Schedule the next report, unless the reporter is stopped."""
        if not self.is_stopped:
            self.timer = self.reactor.callLater(REPORT_INTERVAL_S, self.send_report)

    def on_reply(self, reply: object) -> None:
        """Apply the routing plan in the reply."""
        try:
            plan = msgspec.convert(reply, RoutingPlan)
        except msgspec.ValidationError:  # the voters run a version without zones
            self.log_failure("the reply holds no routing plan; the voters' version may not support zones")
            return
        previous_version = self.core.locality.plan.version
        if not self.core.apply_plan(self.clock(), plan):
            self.log_failure(f"received plan {plan.version}, older than the current plan {previous_version}")
            return
        if plan.version != previous_version:
            self.log.info(
                "routing plan applied", number=plan.version, token=plan.fencing_token, reason=plan.reason
            )
        self.is_failing = False

    def on_failure(self, failure: Failure) -> None:
        """Log that a report failed; the current plan stays, and locality routing considers its age."""
        self.log_failure(failure.getErrorMessage())

    def log_failure(self, reason: str) -> None:
        """Log a failure, unless the previous report failed too."""
        if not self.is_failing:
            self.log.warning("routing plan not received", reason=reason)
        self.is_failing = True

    def stop(self) -> None:
        """Send no further reports."""
        self.is_stopped = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
