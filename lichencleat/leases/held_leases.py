"""The leases that a candidate holds: which jobs it may act on and until when, by its own monotonic clock.

The candidate measures a lease from just before it requests the renewal, and shortens the lease by the largest
clock drift. So the lease ends here before the leader may expire this candidate. If the reply is late, only
the rest of the lease remains.
"""

from __future__ import annotations

from lichencleat.leases.messages import (
    LEASE_DURATION_US,
    MAX_CLOCK_DRIFT,
    RENEWALS_PER_LEASE,
    RenewalReply,
    RenewLease,
)


class HeldLeases:
    """State of one candidate, without I/O.

    The caller sends the command that `next_renewal` returns, passes the reply to `on_renewed` or the failure
    to `on_renewal_failed`, and acts on a job only under a token from `fencing_token`.

    Args:
        name: Name of the candidate.
        zone: Zone of the candidate.
        incarnation: Random number drawn when the process starts.
        lease: Duration of a lease in µs.
        drift: Largest relative difference between the rates of two machines' clocks.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        incarnation: int,
        lease: int = LEASE_DURATION_US,
        drift: float = MAX_CLOCK_DRIFT,
    ) -> None:
        self.name = name
        self.zone = zone
        self.incarnation = incarnation
        self.duration = round(lease * (1 - drift))
        self.renewal_interval = lease // RENEWALS_PER_LEASE
        self.valid_until = 0  # time in µs until which the tokens in `held_tokens` are valid
        self.held_tokens: dict[str, int] = {}  # job -> fencing token
        self.requested_at: int | None = None  # time in µs of the renewal in flight, None if there is none
        self.next_request_at = 0  # time in µs at which the next renewal is due
        self.healthy = True  # whether new jobs may be granted to this candidate
        self.job_prefixes: list[str] = []  # prefixes of the jobs that this candidate can run; empty for all
        self.to_release: list[str] = []  # held jobs that the group wants released
        # Job -> token. The process has stopped these jobs, but their release is not known to be committed.
        # The reply to an older renewal may still list these jobs and must not start them again.
        self.releasing: dict[str, int] = {}
        self.leaving = False

    def next_renewal(self, now: int) -> RenewLease | None:
        """Return the renewal to send at `now` (µs), None if none is due or another one is in flight."""
        if self.requested_at is not None or now < self.next_request_at or self.leaving:
            return None
        self.drop_expired(now)
        self.requested_at = now
        return RenewLease(
            self.name, self.zone, self.incarnation, self.healthy, dict(self.held_tokens), self.job_prefixes
        )

    def on_renewed(self, now: int, reply: RenewalReply) -> dict[str, int]:
        """Handle the reply to the renewal in flight; return the jobs to start, with their tokens."""
        requested_at = self.requested_at
        assert requested_at is not None
        self.requested_at = None
        self.next_request_at = requested_at + self.renewal_interval
        if reply.rejection:
            self.held_tokens = {}
            return {}
        self.valid_until = max(self.valid_until, requested_at + self.duration)
        if now >= self.valid_until or self.leaving:
            self.held_tokens = {}
            return {}
        held = {job: token for job, token in reply.tokens.items() if self.releasing.get(job) != token}
        acquired = {job: token for job, token in held.items() if self.held_tokens.get(job) != token}
        self.held_tokens = held
        self.to_release = [job for job in reply.to_release if job in held]
        return acquired

    def on_renewal_failed(self, now: int) -> None:
        """Handle a renewal without a reply: keep the previous lease's end, and retry sooner than usual."""
        self.requested_at = None
        self.next_request_at = now + self.renewal_interval // RENEWALS_PER_LEASE

    def drop_expired(self, now: int) -> list[str]:
        """Drop all jobs if the lease is over at `now` (µs); return the jobs that were dropped."""
        if now < self.valid_until or not self.held_tokens:
            return []
        expired = list(self.held_tokens)
        self.held_tokens = {}
        self.to_release = []
        return expired

    def fencing_token(self, now: int, job: str) -> int | None:
        """The token under which to act on `job`; None if the lease is not held or may be over at `now` (µs).

        The process may pause between this check and the action. So the process sends the token with the
        action, and the receiver checks the token.
        """
        return self.held_tokens.get(job) if now < self.valid_until else None

    def start_release(self, job: str) -> int | None:
        """Stop holding `job`; return the token for the release command, None if the job is not held.

        The job is not acquired again under that token before `on_released` is called.
        """
        self.to_release = [each for each in self.to_release if each != job]
        token = self.held_tokens.pop(job, None)
        if token is not None:
            self.releasing[job] = token
        return token

    def on_released(self, job: str) -> None:
        """Handle a committed release: another candidate may now hold the job."""
        self.releasing.pop(job, None)

    def leave(self) -> None:
        """Give up all leases, and send no more renewals."""
        self.leaving = True
        self.held_tokens = {}

    def next_action_at(self) -> int:
        """The time in µs at which the lease ends or the next renewal is due, whichever is earlier."""
        times = [self.valid_until] if self.held_tokens else []
        if self.requested_at is None and not self.leaving:
            times.append(self.next_request_at)
        return min(times, default=self.valid_until)
