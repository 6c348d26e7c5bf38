"""The client of a node in a pool: renews the node's grant and reports how many calls may be in flight.

`QuotaGrant` decides how many calls the grant allows and until when; this module does the timing and the
requests.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from twisted.python.failure import Failure

from lichencleat.leases.interfaces import GroupClient
from lichencleat.leases.periodic_proposer import PeriodicProposer, Proposal
from lichencleat.log.interfaces import EventLogger
from lichencleat.quotas.messages import STATE_PART, QuotaReply
from lichencleat.quotas.quota_grant import QuotaGrant
from lichencleat.transport.twisted_types import ReactorClock
from lichencleat.units import MICROSECONDS_PER_SECOND


class QuotaClient(PeriodicProposer):
    """Keeps renewing one node's grant in one pool until `stop` is called.

    Args:
        reactor: Source of the monotonic clock and of the timer.
        client: Client of the consensus group.
        grant: State of the grant.
        count_calls: Returns how many calls are in flight, and how many would be in flight without a limit.
        on_limit_changed: Called with each new limit on the calls in flight.
        log: Logger of the process.
    """

    min_round_interval_us = 1_000

    def __init__(
        self,
        reactor: ReactorClock,
        client: GroupClient,
        grant: QuotaGrant,
        count_calls: Callable[[], tuple[int, int]],
        on_limit_changed: Callable[[int], None],
        log: EventLogger,
    ) -> None:
        super().__init__(reactor, client, STATE_PART, log)
        self.grant = grant
        self.count_calls = count_calls
        self.on_limit_changed = on_limit_changed
        self.limit: int | None = None  # the limit on calls in flight that was last reported to the node
        self.logged_rejection = ""

    def max_call_duration(self, duration: int) -> int:
        """The time in µs that a call sent now may take: at most `duration`, and no longer than the grant."""
        return max(1, min(duration, self.grant.max_call_duration(self.now())))

    def next_proposal(self, now: int) -> Proposal | None:
        """Report a changed limit to the node, then return the renewal if one is due."""
        self.update_limit(now)
        in_flight, wanted = self.count_calls()
        self.grant.note_demand(wanted)
        request = self.grant.next_request(now, in_flight)
        if request is None:
            return None
        return Proposal(request, self.grant.reply_timeout() / MICROSECONDS_PER_SECOND)

    def next_round_at(self, now: int) -> int:
        """The time in µs at which the grant ends or the next renewal is due, whichever is earlier."""
        return self.grant.next_action_at(now)

    def update_limit(self, now: int) -> None:
        """Report to the node how many calls may be in flight, if the number has changed."""
        usable = self.grant.usable_calls(now)
        if usable == self.limit:
            return
        self.limit = usable
        self.log.info(
            "grant changed",
            pool=self.grant.pool,
            usable=usable,
            floor=self.grant.floor,
            token=self.grant.fencing_token,
        )
        self.on_limit_changed(usable)

    def on_reply(self, reply: object) -> None:
        """Handle the reply to a renewal; consecutive rejections with the same reason are logged once."""
        try:
            renewed = msgspec.convert(reply, QuotaReply)
        except msgspec.ValidationError:  # voters of an older version do not support pools
            renewed = QuotaReply(0, 0, "the voters know no pools")
        self.grant.on_reply(self.now(), renewed)
        if renewed.rejection and renewed.rejection != self.logged_rejection:
            self.log.warning("grant renewal rejected", pool=self.grant.pool, reason=renewed.rejection)
        self.logged_rejection = renewed.rejection
        self.update_limit(self.now())
        self.schedule_round()

    def on_failure(self, failure: Failure) -> None:
        """Schedule the retry of a renewal that failed; the previous grant's end does not change."""
        self.grant.on_failure(self.now())
        self.log.warning("grant renewal failed", pool=self.grant.pool, reason=failure.getErrorMessage())
        self.schedule_round()

    def describe(self) -> str:
        """Describe the grant in one line, for the status of the node."""
        now = self.now()
        left_ms = (self.grant.valid_until - now) // 1000
        until = f"for {left_ms} ms" if left_ms > 0 else "as its floor"
        rejected = f", refused: {self.grant.rejection}" if self.grant.rejection else ""
        return f"{self.grant.pool}: {self.grant.usable_calls(now)} calls {until}{rejected}"
