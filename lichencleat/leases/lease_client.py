"""The client of a process that takes on jobs: renews its lease and reports which jobs it won or lost.

What the process may do and until when is decided by `HeldLeases`; this module carries that out on the
reactor.
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

LEAVE_TIMEOUT_S = 2.0  # without a reply the lease runs out by itself


class LeaseListener(Protocol):
    """Notified of leases; called in the reactor's thread, and returns at once."""

    def on_lease_acquired(self, job: str, fencing_token: int) -> None:
        """The process may act on `job` under this fencing token."""
        ...

    def on_lease_lost(self, job: str, reason: str) -> None:
        """The process must not act on `job` any more under the token that it had."""
        ...


class LeaseClient(PeriodicProposer):
    """Renews the lease of one candidate until `leave`; the listener's jobs run under it.

    Args:
        reactor: Source of the monotonic clock and of the timer.
        client: Client of the consensus group.
        name: Name of this candidate, unique in the fleet.
        zone: Zone that this candidate runs in.
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
        """The token to send with an act on `job`; None: the process must not act. Ask before each act."""
        return self.leases.fencing_token(self.now(), job)

    def next_proposal(self, now: int) -> Proposal | None:
        """End jobs whose lease is over, then return the renewal that is due."""
        for job in self.leases.drop_expired(now):
            self.notify_lost(job, "the lease is over")
        renewal = self.leases.next_renewal(now)
        return Proposal(renewal, self.timeout_s) if renewal is not None else None

    def next_round_at(self, now: int) -> int:
        """When the lease ends or its next renewal is due, in µs."""
        return self.leases.next_action_at()

    def on_reply(self, reply: object) -> None:
        """Handle the reply to a renewal: jobs lost first, then jobs won, then jobs to hand over."""
        held_before = dict(self.leases.held_tokens)
        renewed = msgspec.convert(reply, RenewalReply)
        acquired = self.leases.on_renewed(self.now(), renewed)
        if renewed.rejection:
            self.log.warning("refused", reason=renewed.rejection)
        held = self.leases.held_tokens
        for job in [each for each in held_before if each not in held or each in acquired]:
            self.notify_lost(job, renewed.rejection or "another one has it")
        for job, token in acquired.items():
            self.log.info("begins", job=job, token=token)
            self.listener.on_lease_acquired(job, token)
        for job in list(self.leases.to_release):
            self.release(job, crashed=False)
        self.schedule_round()

    def on_failure(self, failure: Failure) -> None:
        """Renew again soon; the lease counts from the renewal before."""
        self.leases.on_renewal_failed(self.now())
        self.log.warning("not renewed", reason=failure.getErrorMessage())
        self.schedule_round()

    def report_crash(self, job: str) -> None:
        """Give back a job that failed here: another candidate gets it, or it is suspended."""
        self.release(job, crashed=True)

    def release(self, job: str, crashed: bool) -> None:
        """Stop acting on `job`, then give its lease back."""
        token = self.leases.start_release(job)
        if token is not None:
            self.notify_lost(job, "it failed here" if crashed else "it goes to another")
            self.propose_release(job, token, crashed)

    def propose_release(self, job: str, token: int, crashed: bool) -> None:
        """Propose the release until it is committed; the job is not acquired under that token meanwhile."""
        if self.stopped or self.leases.releasing.get(job) != token:
            return
        command = ReleaseJob(self.leases.name, job, token, crashed)
        reply = self.client.propose(STATE_PART, command, self.timeout_s)
        reply.addCallbacks(
            lambda _: self.leases.on_released(job), lambda _: self.propose_release(job, token, crashed)
        )

    def notify_lost(self, job: str, reason: str) -> None:
        """Log that a job ends here, and tell the listener."""
        self.log.info("ends", job=job, reason=reason)
        self.listener.on_lease_lost(job, reason)

    def leave(self) -> Deferred[None]:
        """Give up all leases at once, at a graceful shutdown.

        Returns:
            Fires once the group has replied, or the reply is not awaited any longer; never fails.
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
        reply.addErrback(lambda failure: self.log.warning("left untold", reason=failure.getErrorMessage()))
        return reply.addCallback(lambda _: None)
