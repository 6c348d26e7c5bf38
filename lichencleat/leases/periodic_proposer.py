"""A loop that proposes each command to the consensus group when it is due.

This is the base class of the lease client, the quota client and the recovery client. It owns the timer; a
subclass decides which command is due and when the next round is due, and handles the replies.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from twisted.python.failure import Failure

from lichencleat.leases.interfaces import GroupClient
from lichencleat.log.interfaces import EventLogger
from lichencleat.transport.twisted_types import DelayedCall, ReactorClock
from lichencleat.units import MICROSECONDS_PER_SECOND

MAX_ROUND_INTERVAL_US = 100_000  # a round runs at least this often, even if no command is due


@dataclass(frozen=True, slots=True)
class Proposal:
    """A command to propose, and how long to wait for the reply."""

    command: object
    timeout_s: float


class PeriodicProposer(ABC):
    """Runs the rounds and owns their timer until `stop`; the caller owns the client of the group.

    Args:
        reactor: Source of the monotonic clock and of the timer.
        client: Client of the consensus group.
        part: The part of the replicated state that the commands are addressed to.
        log: Logger of the process.
    """

    min_round_interval_us = 0  # least time between two rounds

    def __init__(self, reactor: ReactorClock, client: GroupClient, part: str, log: EventLogger) -> None:
        self.reactor = reactor
        self.client = client
        self.part = part
        self.log = log
        self.timer: DelayedCall | None = None
        self.stopped = False

    def now(self) -> int:
        """The reactor's monotonic time in µs."""
        return int(self.reactor.seconds() * MICROSECONDS_PER_SECOND)

    def start(self) -> None:
        """Run the first round immediately."""
        self.run_round()

    def stop(self) -> None:
        """Run no further rounds; the reply to a command in flight is still handled."""
        self.stopped = True
        self.cancel_timer()

    def run_round(self) -> None:
        """Propose the command that is due, if any, and schedule the next round."""
        self.timer = None
        if self.stopped:
            return
        proposal = self.next_proposal(self.now())
        if proposal is not None:
            reply = self.client.propose(self.part, proposal.command, proposal.timeout_s)
            reply.addCallbacks(self.on_reply, self.on_failure)
        self.schedule_round()

    def schedule_round(self) -> None:
        """Schedule the next round; this replaces a round that is already scheduled."""
        self.cancel_timer()
        if self.stopped:
            return
        now = self.now()
        delay = min(self.next_round_at(now) - now, MAX_ROUND_INTERVAL_US)
        delay = max(self.min_round_interval_us, delay)
        self.timer = self.reactor.callLater(delay / MICROSECONDS_PER_SECOND, self.run_round)

    def cancel_timer(self) -> None:
        """Cancel the next round if one is scheduled."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    @abstractmethod
    def next_proposal(self, now: int) -> Proposal | None:
        """Do the work that is due at `now` (µs); return the command to propose, None if no command is due."""

    @abstractmethod
    def next_round_at(self, now: int) -> int:
        """The time in µs at which the next round is due; `schedule_round` applies the interval limits."""

    @abstractmethod
    def on_reply(self, reply: object) -> None:
        """Handle the decoded reply to a command."""

    @abstractmethod
    def on_failure(self, failure: Failure) -> None:
        """Handle the failure of a proposal; the command may have been applied nevertheless."""
