"""The client of a process that runs jobs: renews its lease, and reports which jobs were acquired or lost.

`HeldLeases` decides which jobs the process may act on and until when; this module does the timing and the
requests.
"""

from __future__ import annotations

import random
from typing import Protocol

import msgspec
from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from lichencleat.leases.held_leases import HeldLeases
from lichencleat.leases.interfaces import GroupClient
from lichencleat.leases.messages import (
    LEASE_DURATION_US,
    MAX_CLOCK_DRIFT,
    STATE_PART,
    Leave,
    ReleaseJob,
    RenewalReply,
)
from lichencleat.leases.periodic_proposer import PeriodicProposer, Proposal
from lichencleat.log.interfaces import EventLogger
from lichencleat.transport.twisted_types import ReactorClock
from lichencleat.units import MICROSECONDS_PER_SECOND

LEAVE_TIMEOUT_S = 2.0  # time to wait for the reply to `Leave`; if the command is lost, the lease expires


class LeaseListener(Protocol):
    """Is notified of leases acquired and lost. Called in the reactor's thread, so it must not block."""

    def on_lease_acquired(self, job: str, fencing_token: int) -> None:
        """Handle that the process may now act on `job` under this fencing token."""
        ...

    def on_lease_lost(self, job: str, reason: str) -> None:
        """Handle that the process must no longer act on `job` under the token it had."""
        ...


class LeaseClient(PeriodicProposer):
    """Renews the lease of one candidate until `leave` is called.

    Args:
        reactor: Source of the monotonic clock and of the timer.
        client: Client of the consensus group.
        name: Name of this candidate, unique in the fleet.
        zone: Zone of this candidate.
        listener: Notified of each lease acquired and lost.
        rng: Source of the incarnation number.
        log: Logger of the process.
        lease: Duration of a lease in µs.
        drift: Largest relative difference between the rates of two machines' clocks.
    """

    def __init__(  # noqa: PLR0913 - the wiring of one process, made in one place
        self,
        reactor: ReactorClock,
        client: GroupClient,
        name: str,
        zone: str,
        listener: LeaseListener,
        rng: random.Random,
        log: EventLogger,
        lease: int = LEASE_DURATION_US,
        drift: float = MAX_CLOCK_DRIFT,
    ) -> None:
        super().__init__(reactor, client, STATE_PART, log)
        self.listener = listener
        self.leases = HeldLeases(name, zone, rng.getrandbits(48), lease, drift)
        self.timeout_s = lease / MICROSECONDS_PER_SECOND

    def fencing_token(self, job: str) -> int | None:
        """The token to send with an action on `job`, None if the process must not act.

        Call this before each action.
        """
        return self.leases.fencing_token(self.now(), job)

    def next_proposal(self, now: int) -> Proposal | None:
        """Report jobs whose lease is over as lost, then return the renewal if one is due."""
        for job in self.leases.drop_expired(now):
            self.notify_lost(job, "the lease is over")
        renewal = self.leases.next_renewal(now)
        return Proposal(renewal, self.timeout_s) if renewal is not None else None

    def next_round_at(self, now: int) -> int:
        """The time in µs at which the lease ends or the next renewal is due, whichever is earlier."""
        return self.leases.next_action_at()

    def on_reply(self, reply: object) -> None:
        """Handle the reply to a renewal: report lost jobs, then acquired jobs; then release jobs as asked."""
        held_before = dict(self.leases.held_tokens)
        renewed = msgspec.convert(reply, RenewalReply)
        acquired = self.leases.on_renewed(self.now(), renewed)
        if renewed.rejection:
            self.log.warning("lease renewal rejected", reason=renewed.rejection)
        held = self.leases.held_tokens
        for job in [each for each in held_before if each not in held or each in acquired]:
            self.notify_lost(job, renewed.rejection or "another one has it")
        for job, token in acquired.items():
            self.log.info("lease acquired", job=job, token=token)
            self.listener.on_lease_acquired(job, token)
        for job in list(self.leases.to_release):
            self.release(job, crashed=False)
        self.schedule_round()

    def on_failure(self, failure: Failure) -> None:
        """Schedule the retry of a renewal that failed; the previous lease's end does not change."""
        self.leases.on_renewal_failed(self.now())
        self.log.warning("lease renewal failed", reason=failure.getErrorMessage())
        self.schedule_round()

    def report_crash(self, job: str) -> None:
        """Release a job that crashed here; the group grants it to another candidate or suspends it."""
        self.release(job, crashed=True)

    def release(self, job: str, crashed: bool) -> None:
        """Have the listener stop acting on `job`, then release its lease."""
        token = self.leases.start_release(job)
        if token is not None:
            self.notify_lost(job, "it failed here" if crashed else "it goes to another")
            self.propose_release(job, token, crashed)

    def propose_release(self, job: str, token: int, crashed: bool) -> None:
        """Propose a release until it is committed; meanwhile the job is not acquired again under `token`."""
        if self.stopped or self.leases.releasing.get(job) != token:
            return
        command = ReleaseJob(self.leases.name, job, token, crashed)
        reply = self.client.propose(STATE_PART, command, self.timeout_s)
        reply.addCallbacks(
            lambda _: self.leases.on_released(job), lambda _: self.propose_release(job, token, crashed)
        )

    def notify_lost(self, job: str, reason: str) -> None:
        """Log that the lease on a job is lost, and notify the listener."""
        self.log.info("lease lost", job=job, reason=reason)
        self.listener.on_lease_lost(job, reason)

    def leave(self) -> Deferred[None]:
        """Give up all leases at once; called at a graceful shutdown.

        Returns:
            Fires when the group has replied or LEAVE_TIMEOUT_S has passed; never fails.
        """
        if self.stopped:
            return succeed(None)
        for job in list(self.leases.held_tokens):
            self.notify_lost(job, "this process leaves")
        self.leases.leave()
        self.stop()
        reply = self.client.propose(
            STATE_PART, Leave(self.leases.name, self.leases.incarnation), LEAVE_TIMEOUT_S
        )
        reply.addErrback(
            lambda failure: self.log.warning("leave not confirmed", reason=failure.getErrorMessage())
        )
        return reply.addCallback(lambda _: None)
