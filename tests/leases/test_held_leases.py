"""Which jobs a candidate may act on and until when."""

from lichencleat.leases.held_leases import HeldLeases
from lichencleat.leases.messages import (
    LEASE_DURATION_US,
    MAX_CLOCK_DRIFT,
    RenewalReply,
)


def test_lease_is_measured_from_its_request_and_shortened_by_the_drift():
    leases = HeldLeases("a", "x", 1)
    assert leases.next_renewal(100).held_tokens == {} and leases.next_renewal(101) is None
    assert leases.on_renewed(300_000, RenewalReply({"j": 5}, [])) == {"j": 5}
    end = 100 + round(LEASE_DURATION_US * (1 - MAX_CLOCK_DRIFT))
    assert leases.fencing_token(end - 1, "j") == 5 and leases.fencing_token(end, "j") is None
    assert leases.fencing_token(200, "k") is None
    assert leases.drop_expired(end - 1) == [] and leases.drop_expired(end) == ["j"]
    assert leases.next_renewal(end).held_tokens == {}


def test_reply_after_the_end_of_its_lease_acquires_nothing():
    leases = HeldLeases("a", "x", 1)
    leases.next_renewal(0)
    assert (
        leases.on_renewed(LEASE_DURATION_US, RenewalReply({"j": 5}, [])) == {}
        and leases.fencing_token(LEASE_DURATION_US, "j") is None
    )


def test_job_being_released_is_not_acquired_by_an_older_reply():
    leases = HeldLeases("a", "x", 1)
    leases.next_renewal(0)
    leases.on_renewed(1, RenewalReply({"j": 5}, []))
    leases.next_renewal(400_000)
    assert leases.start_release("j") == 5 and leases.start_release("j") is None
    assert leases.on_renewed(400_100, RenewalReply({"j": 5}, [])) == {}
    assert leases.fencing_token(400_200, "j") is None
    leases.next_renewal(800_000)
    # a new token means that the job was granted again
    assert leases.on_renewed(800_001, RenewalReply({"j": 9}, [])) == {"j": 9}
    leases.on_released("j")
    leases.leave()
    assert leases.fencing_token(800_002, "j") is None and leases.next_renewal(10**9) is None


def test_failed_renewal_is_retried_soon_and_a_rejected_one_drops_all_leases():
    leases = HeldLeases("a", "x", 1)
    leases.next_renewal(0)
    leases.on_renewed(1, RenewalReply({"j": 5}, []))
    leases.next_renewal(400_000)
    leases.on_renewal_failed(500_000)
    assert leases.fencing_token(500_000, "j") == 5 and leases.next_renewal(500_001) is None
    assert leases.next_renewal(leases.next_action_at()).held_tokens == {"j": 5}
    assert leases.on_renewed(700_000, RenewalReply({}, [], "it was gone")) == {} and leases.held_tokens == {}
