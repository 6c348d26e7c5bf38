"""The leases that a candidate holds: what it may act on and until when, by its own monotonic clock.

A lease counts from the moment before its renewal was requested, less the drift of clocks. So it ends here
before the leader may expire this candidate. A reply that comes late is worth what is left of the lease.
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

    The caller sends what `next_renewal` returns, passes the reply to `on_renewed` or the failure to
    `on_renewal_failed`, and acts only under a token from `fencing_token`.

    Args:
        name: Name of the candidate.
        zone: Zone that it runs in.
        incarnation: Drawn at its start.
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
        self.valid_until = 0  # µs: `held_tokens` may be acted under before
        self.held_tokens: dict[str, int] = {}  # job -> fencing token
        self.requested_at: int | None = None  # µs: when the renewal under way was requested
        self.next_request_at = 0  # µs
        self.healthy = True
        self.job_prefixes: list[str] = []  # see messages.Candidate
        self.to_release: list[str] = []  # held jobs that the group has asked back
        # Jobs that are no longer acted on, but not known to be released yet; the reply to an older renewal
        # must not start them again.
        self.releasing: dict[str, int] = {}
        self.leaving = False

    def next_renewal(self, now: int) -> RenewLease | None:
        """Return the renewal to send at `now` (µs), None if it is not due or another one is under way."""
        if self.requested_at is not None or now < self.next_request_at or self.leaving:
            return None
        self.drop_expired(now)
        self.requested_at = now
        return RenewLease(
            self.name, self.zone, self.incarnation, self.healthy, dict(self.held_tokens), self.job_prefixes
        )

    def on_renewed(self, now: int, reply: RenewalReply) -> dict[str, int]:
        """Handle the reply to the renewal under way, and return the jobs to start with their tokens."""
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
        """Handle that no reply came: the lease counts from the renewal before, and the next one is soon."""
        self.requested_at = None
        self.next_request_at = now + self.renewal_interval // RENEWALS_PER_LEASE

    def drop_expired(self, now: int) -> list[str]:
        """Return the jobs that end as the lease is over at `now` (µs); nothing is held afterwards."""
        if now < self.valid_until or not self.held_tokens:
            return []
        expired = list(self.held_tokens)
        self.held_tokens = {}
        self.to_release = []
        return expired

    def fencing_token(self, now: int, job: str) -> int | None:
        """The token to act on `job` under; None if the lease is not held, or not certainly any more.

        The process may pause between this check and the act; so the token goes with the act, and the receiver
        checks it.
        """
        return self.held_tokens.get(job) if now < self.valid_until else None

    def start_release(self, job: str) -> int | None:
        """Stop holding `job`, and return the token to release it under until `on_released`."""
        self.to_release = [each for each in self.to_release if each != job]
        token = self.held_tokens.pop(job, None)
        if token is not None:
            self.releasing[job] = token
        return token

    def on_released(self, job: str) -> None:
        """Handle that the release is committed: another candidate may hold the job now."""
        self.releasing.pop(job, None)

    def leave(self) -> None:
        """Give up all leases and request no more."""
        self.leaving = True
        self.held_tokens = {}

    def next_action_at(self) -> int:
        """When the lease ends or its next renewal is due, in µs."""
        times = [self.valid_until] if self.held_tokens else []
        if self.requested_at is None and not self.leaving:
            times.append(self.next_request_at)
        return min(times, default=self.valid_until)
