"""A task that runs in the process that holds the lease on the task's job.

This is the base class of quota allocation, rollout planning and failover control. While the process holds the
lease, the task polls a part of the replicated state, and a decision object derives the commands to propose.
Each acquired lease has its own decision object, which carries the fencing token. Answers to reads that were
requested under an earlier lease are dropped.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Generic, Protocol, TypeVar

from twisted.python.failure import Failure

from lichencleat.leases.interfaces import GroupClient
from lichencleat.log.interfaces import EventLogger
from lichencleat.transport.twisted_types import DelayedCall, ReactorClock
from lichencleat.units import MICROSECONDS_PER_SECOND

REQUEST_TIMEOUT_S = 1.0  # timeout of a read or a proposal; after a failure, the next poll decides again

Decider = TypeVar("Decider")  # decision object: decides, under one fencing token, which commands to propose


class FencingTokens(Protocol):
    """The fencing tokens of the leases that this process holds; implemented by `LeaseClient`."""

    def fencing_token(self, job: str) -> int | None:
        """The token of the lease on `job`; None while this process must not act on it."""
        ...


class LeaderTask(ABC, Generic[Decider]):
    """Polls the replicated state while this process holds the lease on a job. Implements `LeaseListener`.

    Args:
        reactor: Source of the monotonic clock and of the timer.
        client: Client of the consensus group.
        part: The part of the replicated state that is polled.
        job: The job whose lease holder runs this task.
        log: Logger of the process.
    """

    poll_interval_s = 1.0
    query: object = None  # the query with which the part is read

    def __init__(
        self, reactor: ReactorClock, client: GroupClient, part: str, job: str, log: EventLogger
    ) -> None:
        self.reactor = reactor
        self.client = client
        self.part = part
        self.job = job
        self.log = log
        self.lease_client: FencingTokens | None = None
        self.decider: Decider | None = None
        self.timer: DelayedCall | None = None

    def now(self) -> int:
        """The reactor's monotonic time in µs."""
        return int(self.reactor.seconds() * MICROSECONDS_PER_SECOND)

    def on_lease_acquired(self, job: str, fencing_token: int) -> None:
        """Start polling if the lease is on this task's job."""
        if job == self.job:
            self.decider = self.create_decider(fencing_token)
            self.poll()

    def on_lease_lost(self, job: str, reason: str) -> None:
        """Stop at once if the lease is on this task's job."""
        if job == self.job:
            self.decider = None
            if self.timer is not None and self.timer.active():
                self.timer.cancel()

    def has_lease(self) -> bool:
        """Whether this process may still act on the job."""
        return self.lease_client is not None and self.lease_client.fencing_token(self.job) is not None

    def poll(self) -> None:
        """Request the state if this process holds the lease."""
        decider = self.decider
        if decider is not None:
            answer = self.client.read(self.part, self.query, REQUEST_TIMEOUT_S)
            answer.addCallbacks(
                self.on_answer, self.on_read_failed, callbackArgs=(decider,), errbackArgs=(decider,)
            )

    def schedule_poll(self, decider: Decider, delay_s: float) -> None:
        """Poll again in `delay_s` seconds, unless `decider` belongs to an earlier lease."""
        if decider is self.decider:
            self.timer = self.reactor.callLater(delay_s, self.poll)

    def on_answer(self, answer: object, decider: Decider) -> None:
        """Pass the answer to `on_state`, unless it was requested under an earlier lease."""
        if decider is self.decider:
            self.on_state(answer, decider)

    def on_read_failed(self, failure: Failure, decider: Decider) -> None:
        """Poll again after the usual interval."""
        self.schedule_poll(decider, self.poll_interval_s)

    def propose(self, part: str, command: object) -> None:
        """Propose `command` unless the lease is over.

        The process may pause between the check of the lease and the proposal. A command that is proposed too
        late is rejected because of its old fencing token.
        """
        if not self.has_lease():
            return
        self.on_propose(command)
        reply = self.client.propose(part, command, REQUEST_TIMEOUT_S)
        reply.addCallbacks(self.on_reply, self.on_proposal_failed)

    def on_propose(self, command: object) -> None:  # noqa: B027 - a hook that a subclass may leave out
        """Log a command that is about to be proposed."""

    def on_reply(self, reply: object) -> None:  # noqa: B027 - a hook that a subclass may leave out
        """Handle the decoded reply to a proposal."""

    @abstractmethod
    def create_decider(self, fencing_token: int) -> Decider:
        """Return the decision object for a newly acquired lease."""

    @abstractmethod
    def on_state(self, state: object, decider: Decider) -> None:
        """Propose the commands that `decider` derives from the state, and schedule the next poll."""

    @abstractmethod
    def on_proposal_failed(self, failure: Failure) -> None:
        """Log a proposal without a reply; the command may have been applied nevertheless."""
