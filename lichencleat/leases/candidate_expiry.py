"""Decides when the group's leader may expire a candidate: only once the candidate's lease is over.

The leader measures the time since a renewal with its own monotonic clock, from the moment when it first sees
the applied renewal. The candidate measures from an earlier moment, when it requests the renewal. A new leader
starts the measurement again. The delay until expiry exceeds the lease by the largest drift between the two
clocks.
"""

from __future__ import annotations

from dataclasses import dataclass

from lichencleat.leases.messages import LEASE_DURATION_US, MAX_CLOCK_DRIFT, Candidate, CandidateExpired


def expiry_delay(lease: int = LEASE_DURATION_US, drift: float = MAX_CLOCK_DRIFT) -> int:
    """Return after how many µs of the leader's clock a lease is over, if clock rates differ by `drift`.

    Both `lease` and the result are in µs.
    """
    return round(lease * (1 + drift))


@dataclass(frozen=True, slots=True)
class SeenRenewal:
    """A candidate's last renewal.

    Attributes:
        index: Index of the renewal's log entry.
        seen_at: Time at which the leader first saw the renewal, in µs of the leader's monotonic clock.
    """

    index: int
    seen_at: int


class CandidateExpiry:
    """Tracks on the leader how long ago each candidate last renewed its lease.

    Args:
        lease: Duration of a lease in µs.
        drift: Largest relative difference between the rates of two machines' clocks.
    """

    def __init__(self, lease: int = LEASE_DURATION_US, drift: float = MAX_CLOCK_DRIFT) -> None:
        self.delay = expiry_delay(lease, drift)
        self.renewals: dict[str, SeenRenewal] = {}

    def reset(self) -> None:
        """Forget all renewals; called when leadership is lost."""
        self.renewals.clear()

    def find_expired(self, now: int, candidates: dict[str, Candidate]) -> list[CandidateExpired]:
        """Return the expirations to propose at `now` (µs); the leader calls this several times per lease."""
        for name in self.renewals.keys() - candidates.keys():
            del self.renewals[name]
        expired = []
        for name, candidate in candidates.items():
            seen = self.renewals.get(name)
            if seen is None or seen.index != candidate.renewal_index:
                self.renewals[name] = SeenRenewal(candidate.renewal_index, now)
            elif now - seen.seen_at >= self.delay:
                expired.append(CandidateExpired(name, candidate.renewal_index))
        return expired
