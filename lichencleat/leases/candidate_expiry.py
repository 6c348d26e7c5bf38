"""When the group's leader may expire a candidate: not before its lease can be over.

The leader counts on its own monotonic clock from the moment at which it applied the renewal, which is later
than the moment from which the candidate counts. A new leader counts anew. The delay is longer than the lease
by the drift of both clocks.
"""

from __future__ import annotations

from dataclasses import dataclass

from lichencleat.leases.messages import LEASE_DURATION_US, MAX_CLOCK_DRIFT, Candidate, CandidateExpired


def expiry_delay(lease: int = LEASE_DURATION_US, drift: float = MAX_CLOCK_DRIFT) -> int:
    """µs of the leader's clock after which no candidate's lease can last, at rates that differ by `drift`."""
    return round(lease * (1 + drift))


@dataclass(frozen=True, slots=True)
class SeenRenewal:
    """A renewal, and when the leader has seen it first (µs of its monotonic clock)."""

    index: int
    seen_at: int


class CandidateExpiry:
    """Tracks on the leader how long each candidate has not renewed.

    Args:
        lease: Duration of a lease in µs.
        drift: Largest relative difference between the rates of two machines' clocks.
    """

    def __init__(self, lease: int = LEASE_DURATION_US, drift: float = MAX_CLOCK_DRIFT) -> None:
        self.delay = expiry_delay(lease, drift)
        self.renewals: dict[str, SeenRenewal] = {}

    def reset(self) -> None:
        """Forget all that was seen, when leadership is lost."""
        self.renewals.clear()

    def find_expired(self, now: int, candidates: dict[str, Candidate]) -> list[CandidateExpired]:
        """Return the expiries to propose at `now` (µs). Called while leading, a few times a lease."""
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
