"""Owners' decisions by direct calls: who owns what, who is next, when a lease ends on either side, which
token counts.
"""

import msgspec
import pytest

from lichencleat.leases.candidate_expiry import CandidateExpiry, expiry_delay
from lichencleat.leases.fencing import Fence
from lichencleat.leases.held_leases import HeldLeases
from lichencleat.leases.lease_state import LeaseState
from lichencleat.leases.messages import (
    LEASE_DURATION_US,
    MAX_CANDIDATES,
    MAX_CLOCK_DRIFT,
    MAX_CRASHES,
    Candidate,
    CandidateExpired,
    CommandReply,
    DefineJob,
    DropJob,
    Job,
    Leave,
    MoveJob,
    ReleaseJob,
    RenewalReply,
    RenewLease,
)
from lichencleat.leases.placement import choose_holder, find_relocation


class Told:
    """Jobs, with the index counted."""

    def __init__(self):
        self.jobs, self.index = LeaseState(), 0

    def __call__(self, what):
        self.index += 1
        return self.jobs.apply(self.index, msgspec.Raw(msgspec.msgpack.encode(what)))

    def renew(self, name, zone="x", life=1, healthy=True, **held):
        return self(RenewLease(name, zone, life, healthy, held))

    def owner(self, job="j"):
        return self.jobs.jobs[job].holder


@pytest.fixture
def told():
    made = Told()
    made(DefineJob("j"))
    return made


def test_a_job_goes_to_who_comes_and_on_when_that_one_is_gone_under_a_greater_token(told):
    first = told.renew("a").tokens
    assert first == {"j": 2}
    told.renew("b")
    renewed = told.jobs.candidates["a"].renewal_index
    told.renew("a", j=2)
    assert (
        told(CandidateExpired("a", renewed)) == CommandReply(False, "it has renewed since")
        and told.owner() == "a"
    )
    told(CandidateExpired("a", told.jobs.candidates["a"].renewal_index))
    assert told.owner() == "b" and told.jobs.jobs["j"].fencing_token == told.index
    assert told.renew("a", j=2).rejection == "it was gone"
    assert told.renew("a").tokens == {}


def test_another_process_of_the_same_name_waits_for_the_first(told):
    told.renew("a")
    assert told.renew("a", life=2).rejection.startswith("another one of that name")
    assert not told(Leave("a", 2)).accepted
    assert told(Leave("a", 1)).accepted and told.owner() == ""
    assert "j" in told.renew("a", life=2).tokens


def test_a_job_is_moved_once_its_owner_lets_go_and_only_by_its_token(told):
    told.renew("a")
    told.renew("b")
    assert told(MoveJob("j", "b")).accepted
    assert not told(MoveJob("j", "z")).accepted and not told(MoveJob("k", "b")).accepted
    assert told.renew("a", j=2).to_release == ["j"] and told.owner() == "a"
    assert not told(ReleaseJob("a", "j", 1)).accepted and not told(ReleaseJob("b", "j", 2)).accepted
    assert told(ReleaseJob("a", "j", 2)).accepted and told.owner() == "b"
    assert not told(ReleaseJob("a", "j", 2)).accepted


def test_a_job_moved_twice_within_a_lease_and_whose_heir_goes_is_somebodys_in_the_end(told):
    for name in "abc":
        told.renew(name)
    told(MoveJob("j", "b"))
    told(MoveJob("j", "c"))
    told(Leave("c", 1))
    assert told.jobs.jobs["j"].next_holder == ""
    told(MoveJob("j", "b"))
    told(ReleaseJob("a", "j", 2))
    assert told.owner() == "b"


def test_a_job_that_crashes_its_owners_is_put_aside_until_it_is_defined_again(told):
    for name in "abc":
        told.renew(name)
    owners = []
    for _ in range(MAX_CRASHES):
        job = told.jobs.jobs["j"]
        owners.append(job.holder)
        told(ReleaseJob(job.holder, "j", job.fencing_token, crashed=True))
    assert told.owner() == "" and told.jobs.jobs["j"].suspended
    assert all(a != b for a, b in zip(owners, owners[1:], strict=False))
    told(DefineJob("j"))
    assert told.owner() != ""


def test_a_job_made_anew_goes_on_from_its_last_token(told):
    told.renew("a")
    token = told.jobs.jobs["j"].fencing_token
    assert told(DropJob("j")).accepted and not told(DropJob("j")).accepted
    told(DefineJob("j"))
    assert told.jobs.jobs["j"].fencing_token > token


def test_candidates_have_a_bound_and_nonsense_changes_nothing(told):
    for number in range(MAX_CANDIDATES):
        assert told.renew(f"n{number}").rejection == ""
    assert told.renew("more").rejection == "too many candidates"
    before = msgspec.msgpack.encode(told.jobs.dump())
    assert told.jobs.apply(999, msgspec.Raw(b"\x93\x01\x02\x03")) == CommandReply(False, "no command")
    assert msgspec.msgpack.encode(told.jobs.dump()) == before
    again = LeaseState()
    again.load(msgspec.Raw(before))
    assert msgspec.msgpack.encode(again.dump()) == before


def candidates(**zones):
    return {name: Candidate(zone.strip("!"), "!" not in zone, 1, 1) for name, zone in zones.items()}


@pytest.mark.parametrize(
    ("job", "zones", "chosen"),
    [
        (Job(preferred_zone="y"), {"a": "x", "b": "y"}, "b"),
        (Job(preferred_zone="y"), {"a": "x", "b": "y!"}, "a"),
        (Job(preferred_zone="z"), {"a": "x", "b": "y"}, "a"),
        (Job(last_crashed_holder="a"), {"a": "x", "b": "y"}, "b"),
        (Job(last_crashed_holder="a"), {"a": "x"}, "a"),
        (Job(next_holder="b"), {"a": "x", "b": "y"}, "b"),
        (Job(next_holder="b"), {"a": "x", "b": "y!"}, "a"),
        (Job(suspended=True), {"a": "x"}, ""),
        (Job(), {"a": "x!"}, ""),
    ],
)
def test_who_is_given_a_free_job(job, zones, chosen):
    assert choose_holder("j", {"j": job}, candidates(**zones)) == chosen


def test_what_works_is_left_alone_and_what_is_uneven_or_ill_is_moved_one_at_a_time():
    both = candidates(a="x", b="x")
    jobs = {"1": Job(holder="a"), "2": Job(holder="a"), "3": Job(holder="b")}
    assert find_relocation(jobs, both) is None
    jobs["3"].holder = "a"
    assert find_relocation(jobs, both) == ("1", "b")
    jobs["1"].next_holder = "b"
    assert find_relocation(jobs, both) is None
    assert find_relocation({"1": Job(holder="a")}, candidates(a="x!", b="y")) == ("1", "b")
    assert find_relocation({"1": Job(holder="a", preferred_zone="y")}, candidates(a="x", b="y")) == ("1", "b")
    crashed = Job(holder="a", preferred_zone="y", last_crashed_holder="b")
    assert find_relocation({"1": crashed}, candidates(a="x", b="y")) is None


def test_drawn_candidates_come_to_rest_and_no_job_swings():
    import random

    rng = random.Random(4)
    for _ in range(200):
        told = Told()
        for number in range(rng.randint(1, 8)):
            told(DefineJob(f"j{number}", rng.choice(["", "x", "y"])))
        for name in "abcde"[: rng.randint(1, 5)]:
            told.renew(name, rng.choice("xyz"), healthy=rng.random() < 0.8)
        moves = 0
        while wanted := [(name, job) for name, job in told.jobs.jobs.items() if job.next_holder]:
            name, job = wanted[0]
            told(ReleaseJob(job.holder, name, job.fencing_token))
            moves += 1
            assert moves < 20
        before = told.jobs.dump().jobs
        told.renew("a", told.jobs.candidates["a"].zone, healthy=told.jobs.candidates["a"].healthy)
        assert told.jobs.dump().jobs == before


def test_a_lease_counts_from_before_it_was_asked_for_and_less_the_drift():
    leases = HeldLeases("a", "x", 1)
    assert leases.next_renewal(100).held_tokens == {} and leases.next_renewal(101) is None
    assert leases.on_renewed(300_000, RenewalReply({"j": 5}, [])) == {"j": 5}
    end = 100 + round(LEASE_DURATION_US * (1 - MAX_CLOCK_DRIFT))
    assert leases.fencing_token(end - 1, "j") == 5 and leases.fencing_token(end, "j") is None
    assert leases.fencing_token(200, "k") is None
    assert leases.drop_expired(end - 1) == [] and leases.drop_expired(end) == ["j"]
    assert leases.next_renewal(end).held_tokens == {}


def test_an_answer_that_comes_after_its_lease_begins_nothing():
    leases = HeldLeases("a", "x", 1)
    leases.next_renewal(0)
    assert (
        leases.on_renewed(LEASE_DURATION_US, RenewalReply({"j": 5}, [])) == {}
        and leases.fencing_token(LEASE_DURATION_US, "j") is None
    )


def test_what_is_being_released_is_not_begun_again_by_an_older_answer():
    leases = HeldLeases("a", "x", 1)
    leases.next_renewal(0)
    leases.on_renewed(1, RenewalReply({"j": 5}, []))
    leases.next_renewal(400_000)
    assert leases.start_release("j") == 5 and leases.start_release("j") is None
    assert leases.on_renewed(400_100, RenewalReply({"j": 5}, [])) == {}
    assert leases.fencing_token(400_200, "j") is None
    leases.next_renewal(800_000)
    # a new token is a new beginning
    assert leases.on_renewed(800_001, RenewalReply({"j": 9}, [])) == {"j": 9}
    leases.on_released("j")
    leases.leave()
    assert leases.fencing_token(800_002, "j") is None and leases.next_renewal(10**9) is None


def test_a_renewal_that_failed_is_tried_again_soon_and_a_refused_one_ends_all():
    leases = HeldLeases("a", "x", 1)
    leases.next_renewal(0)
    leases.on_renewed(1, RenewalReply({"j": 5}, []))
    leases.next_renewal(400_000)
    leases.on_renewal_failed(500_000)
    assert leases.fencing_token(500_000, "j") == 5 and leases.next_renewal(500_001) is None
    assert leases.next_renewal(leases.next_action_at()).held_tokens == {"j": 5}
    assert leases.on_renewed(700_000, RenewalReply({}, [], "it was gone")) == {} and leases.held_tokens == {}


def test_the_leader_waits_longer_than_any_owner_counts_and_begins_anew_with_its_leadership():
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


def test_an_older_token_is_refused_after_a_newer_one_also_after_a_restart():
    fence = Fence()
    assert fence.accept("j", 5) and fence.accept("j", 5) and fence.accept("j", 9)
    assert not fence.accept("j", 5) and fence.accept("k", 1) and fence.rejected == 1
    assert not Fence(fence.tokens).accept("j", 8)


def test_a_job_goes_only_to_who_knows_it_and_leaves_who_does_not(told):
    """A candidate of an older version, or with less in its file, would own it and do nothing."""
    told(RenewLease("a", "x", 1, True, {}, ["shares/"]))
    told(DefineJob("revive"))
    told(DefineJob("shares/p"))
    assert told.owner("revive") == "" and told.owner("shares/p") == "a"
    told(RenewLease("b", "x", 2, True, {}, ["revive"]))
    assert told.owner("revive") == "b"
    told(RenewLease("b", "x", 2, True, {}, ["none"]))
    told(RenewLease("c", "x", 3, True, {}))
    assert told.jobs.jobs["revive"].next_holder == "c"
