"""When the leader may expire a candidate."""

from lichencleat.leases.candidate_expiry import CandidateExpiry, expiry_delay
from lichencleat.leases.messages import (
    LEASE_DURATION_US,
    MAX_CLOCK_DRIFT,
    Candidate,
    CandidateExpired,
)


def test_leader_waits_until_the_lease_is_over_and_again_after_a_reset():
    expiry = CandidateExpiry()
    candidates = {"a": Candidate("x", True, 1, 7)}
    assert (
        expiry.find_expired(0, candidates) == [] and expiry.find_expired(expiry_delay() - 1, candidates) == []
    )
    assert expiry.find_expired(expiry_delay(), candidates) == [CandidateExpired("a", 7)]
    expiry.reset()
    assert expiry.find_expired(expiry_delay() + 1, candidates) == []
    candidates["a"].renewal_index = 9
    assert expiry.find_expired(3 * expiry_delay(), candidates) == []
    assert expiry.find_expired(4 * expiry_delay(), candidates) == [CandidateExpired("a", 9)]
    assert expiry.find_expired(5 * expiry_delay(), {}) == [] and expiry.renewals == {}
    # true time with a slow clock of the holder and a fast clock of the leader
    holder_duration = round(LEASE_DURATION_US * (1 - MAX_CLOCK_DRIFT)) / (1 - MAX_CLOCK_DRIFT / 2)
    assert expiry_delay() / (1 + MAX_CLOCK_DRIFT / 2) > holder_duration
