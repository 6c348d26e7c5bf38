"""When the leader expires a candidate."""

from lichencleat.leases.candidate_expiry import CandidateExpiry, expiry_delay
from lichencleat.leases.messages import (
    LEASE_DURATION_US,
    MAX_CLOCK_DRIFT,
    Candidate,
    CandidateExpired,
)


def test_leader_waits_longer_than_any_holder_counts_and_anew_after_a_reset():
    expiry = CandidateExpiry()
    there = {"a": Candidate("x", True, 1, 7)}
    assert expiry.find_expired(0, there) == [] and expiry.find_expired(expiry_delay() - 1, there) == []
    assert expiry.find_expired(expiry_delay(), there) == [CandidateExpired("a", 7)]
    expiry.reset()
    assert expiry.find_expired(expiry_delay() + 1, there) == []
    there["a"].renewal_index = 9
    assert expiry.find_expired(3 * expiry_delay(), there) == []
    assert expiry.find_expired(4 * expiry_delay(), there) == [CandidateExpired("a", 9)]
    assert expiry.find_expired(5 * expiry_delay(), {}) == [] and expiry.renewals == {}
    owner = round(LEASE_DURATION_US * (1 - MAX_CLOCK_DRIFT)) / (
        1 - MAX_CLOCK_DRIFT / 2
    )  # its clock slow, the leader's fast
    assert expiry_delay() / (1 + MAX_CLOCK_DRIFT / 2) > owner
