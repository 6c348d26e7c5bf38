"""The leader task that allocates a pool: polls the pool and proposes the allocator's commands."""

from __future__ import annotations

import msgspec
from twisted.python.failure import Failure

from lichencleat.leases.interfaces import GroupClient
from lichencleat.leases.leader_task import LeaderTask
from lichencleat.log.interfaces import EventLogger
from lichencleat.quotas.allocator import POLL_INTERVAL_TERMS, Allocator
from lichencleat.quotas.messages import STATE_PART, CommandReply, GrantExpired, Pool, allocator_job
from lichencleat.transport.twisted_types import ReactorClock
from lichencleat.units import MICROSECONDS_PER_SECOND


def is_accepted(reply: object) -> bool:
    """Whether the reply states that the command was accepted."""
    try:
        return msgspec.convert(reply, CommandReply).accepted
    except msgspec.ValidationError:  # voters of an older version do not support pools
        return False


class AllocatorTask(LeaderTask[Allocator]):
    """Allocates one pool while this process holds the lease of the pool's job.

    Args:
        reactor: Source of the monotonic clock and of the timer.
        client: Client of the consensus group.
        pool: Name of the pool.
        log: Logger of the process.
    """

    def __init__(self, reactor: ReactorClock, client: GroupClient, pool: str, log: EventLogger) -> None:
        super().__init__(reactor, client, STATE_PART, allocator_job(pool), log)
        self.pool = pool
        self.query = pool

    def create_decider(self, fencing_token: int) -> Allocator:
        """Return the allocator for a newly acquired lease."""
        return Allocator(self.pool, fencing_token)

    def on_read_failed(self, failure: Failure, decider: Allocator) -> None:
        """Log the failure and poll again."""
        self.log.warning("reading the pool failed", pool=self.pool, reason=failure.getErrorMessage())
        super().on_read_failed(failure, decider)

    def on_state(self, state: object, decider: Allocator) -> None:
        """Propose the commands that the allocator derives from the pool, and schedule the next poll."""
        if state is None:
            self.log.warning("pool does not exist", pool=self.pool)
            self.schedule_poll(decider, self.poll_interval_s)
            return
        pool = msgspec.convert(state, Pool)
        for command in decider.decide(self.now(), pool):
            self.propose(STATE_PART, command)
        self.schedule_poll(decider, pool.term * POLL_INTERVAL_TERMS / MICROSECONDS_PER_SECOND)

    def on_propose(self, command: object) -> None:
        """Log the expiration of a grant that is about to be proposed."""
        if isinstance(command, GrantExpired):
            self.log.info("grant expired", pool=self.pool, node=command.node, token=command.fencing_token)

    def on_reply(self, reply: object) -> None:
        """Log a rejected command, for example one with an old fencing token."""
        if not is_accepted(reply):
            self.log.info("allocator command not applied", pool=self.pool, reason=str(reply))

    def on_proposal_failed(self, failure: Failure) -> None:
        """Log the failure; the next poll proposes the commands again that are still needed."""
        self.log.warning("allocator command not applied", pool=self.pool, reason=failure.getErrorMessage())
