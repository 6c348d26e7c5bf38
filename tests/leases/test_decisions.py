"""Owners' decisions by direct calls: who owns what, who is next, when a lease ends on either side, which
token counts.
"""

import msgspec
import pytest

from lichencleat.leases.choice import better, heir
from lichencleat.leases.expiry import Expiry, patience
from lichencleat.leases.fence import Fence
from lichencleat.leases.jobs import Jobs
from lichencleat.leases.leases import Leases
from lichencleat.leases.terms import (
    CANDIDATES_MOST,
    CRASHES_MOST,
    DRIFT,
    LEASE,
    Candidate,
    Define,
    Done,
    Drop,
    Gone,
    Job,
    Leave,
    Move,
    Owned,
    Release,
    Renew,
)


class Told:
    """Jobs, with the index counted."""

    def __init__(self):
        self.jobs, self.index = Jobs(), 0

    def __call__(self, what):
        self.index += 1
        return self.jobs.apply(self.index, msgspec.Raw(msgspec.msgpack.encode(what)))

    def renew(self, name, zone="x", life=1, healthy=True, **held):
        return self(Renew(name, zone, life, healthy, held))

    def owner(self, job="j"):
        return self.jobs.jobs[job].owner


@pytest.fixture
def told():
    made = Told()
    made(Define("j"))
    return made


def test_a_job_goes_to_who_comes_and_on_when_that_one_is_gone_under_a_greater_token(told):
    first = told.renew("a").yours
    assert first == {"j": 2}
    told.renew("b")
    renewed = told.jobs.candidates["a"].renewed
    told.renew("a", j=2)
    assert told(Gone("a", renewed)) == Done(False, "it has renewed since") and told.owner() == "a"
    told(Gone("a", told.jobs.candidates["a"].renewed))
    assert told.owner() == "b" and told.jobs.jobs["j"].token == told.index
    assert told.renew("a", j=2).refused == "it was gone"
    assert told.renew("a").yours == {}


def test_another_process_of_the_same_name_waits_for_the_first(told):
    told.renew("a")
    assert told.renew("a", life=2).refused.startswith("another one of that name")
    assert not told(Leave("a", 2)).done
    assert told(Leave("a", 1)).done and told.owner() == ""
    assert "j" in told.renew("a", life=2).yours


def test_a_job_is_moved_once_its_owner_lets_go_and_only_by_its_token(told):
    told.renew("a")
    told.renew("b")
    assert told(Move("j", "b")).done and not told(Move("j", "z")).done and not told(Move("k", "b")).done
    assert told.renew("a", j=2).let_go == ["j"] and told.owner() == "a"
    assert not told(Release("a", "j", 1)).done and not told(Release("b", "j", 2)).done
    assert told(Release("a", "j", 2)).done and told.owner() == "b"
    assert not told(Release("a", "j", 2)).done


def test_a_job_moved_twice_within_a_lease_and_whose_heir_goes_is_somebodys_in_the_end(told):
    for name in "abc":
        told.renew(name)
    told(Move("j", "b"))
    told(Move("j", "c"))
    told(Leave("c", 1))
    assert told.jobs.jobs["j"].wanted == ""
    told(Move("j", "b"))
    told(Release("a", "j", 2))
    assert told.owner() == "b"


def test_a_job_that_crashes_its_owners_is_put_aside_until_it_is_defined_again(told):
    for name in "abc":
        told.renew(name)
    owners = []
    for _ in range(CRASHES_MOST):
        job = told.jobs.jobs["j"]
        owners.append(job.owner)
        told(Release(job.owner, "j", job.token, crashed=True))
    assert told.owner() == "" and told.jobs.jobs["j"].aside
    assert all(a != b for a, b in zip(owners, owners[1:], strict=False))
    told(Define("j"))
    assert told.owner() != ""


def test_a_job_made_anew_goes_on_from_its_last_token(told):
    told.renew("a")
    token = told.jobs.jobs["j"].token
    assert told(Drop("j")).done and not told(Drop("j")).done
    told(Define("j"))
    assert told.jobs.jobs["j"].token > token


def test_candidates_have_a_bound_and_nonsense_changes_nothing(told):
    for number in range(CANDIDATES_MOST):
        assert told.renew(f"n{number}").refused == ""
    assert told.renew("more").refused == "too many candidates"
    before = msgspec.msgpack.encode(told.jobs.dump())
    assert told.jobs.apply(999, msgspec.Raw(b"\x93\x01\x02\x03")) == Done(False, "no command")
    assert msgspec.msgpack.encode(told.jobs.dump()) == before
    again = Jobs()
    again.load(msgspec.Raw(before))
    assert msgspec.msgpack.encode(again.dump()) == before


def candidates(**zones):
    return {name: Candidate(zone.strip("!"), "!" not in zone, 1, 1) for name, zone in zones.items()}


@pytest.mark.parametrize(
    ("job", "zones", "chosen"),
    [
        (Job(near="y"), {"a": "x", "b": "y"}, "b"),
        (Job(near="y"), {"a": "x", "b": "y!"}, "a"),
        (Job(near="z"), {"a": "x", "b": "y"}, "a"),
        (Job(last="a"), {"a": "x", "b": "y"}, "b"),
        (Job(last="a"), {"a": "x"}, "a"),
        (Job(wanted="b"), {"a": "x", "b": "y"}, "b"),
        (Job(wanted="b"), {"a": "x", "b": "y!"}, "a"),
        (Job(aside=True), {"a": "x"}, ""),
        (Job(), {"a": "x!"}, ""),
    ],
)
def test_who_is_given_a_free_job(job, zones, chosen):
    assert heir("j", {"j": job}, candidates(**zones)) == chosen


def test_what_works_is_left_alone_and_what_is_uneven_or_ill_is_moved_one_at_a_time():
    both = candidates(a="x", b="x")
    jobs = {"1": Job(owner="a"), "2": Job(owner="a"), "3": Job(owner="b")}
    assert better(jobs, both) is None
    jobs["3"].owner = "a"
    assert better(jobs, both) == ("1", "b")
    jobs["1"].wanted = "b"
    assert better(jobs, both) is None
    assert better({"1": Job(owner="a")}, candidates(a="x!", b="y")) == ("1", "b")
    assert better({"1": Job(owner="a", near="y")}, candidates(a="x", b="y")) == ("1", "b")
    assert better({"1": Job(owner="a", near="y", last="b")}, candidates(a="x", b="y")) is None


def test_drawn_candidates_come_to_rest_and_no_job_swings():
    import random

    rng = random.Random(4)
    for _ in range(200):
        told = Told()
        for number in range(rng.randint(1, 8)):
            told(Define(f"j{number}", rng.choice(["", "x", "y"])))
        for name in "abcde"[: rng.randint(1, 5)]:
            told.renew(name, rng.choice("xyz"), healthy=rng.random() < 0.8)
        moves = 0
        while wanted := [(name, job) for name, job in told.jobs.jobs.items() if job.wanted]:
            name, job = wanted[0]
            told(Release(job.owner, name, job.token))
            moves += 1
            assert moves < 20
        before = told.jobs.dump().jobs
        told.renew("a", told.jobs.candidates["a"].zone, healthy=told.jobs.candidates["a"].healthy)
        assert told.jobs.dump().jobs == before


def test_a_lease_counts_from_before_it_was_asked_for_and_less_the_drift():
    leases = Leases("a", "x", 1)
    assert leases.next_renewal(100).held == {} and leases.next_renewal(101) is None
    assert leases.answered(300_000, Owned({"j": 5}, [])) == {"j": 5}
    end = 100 + round(LEASE * (1 - DRIFT))
    assert leases.may_act(end - 1, "j") == 5 and leases.may_act(end, "j") is None
    assert leases.may_act(200, "k") is None
    assert leases.lapse(end - 1) == [] and leases.lapse(end) == ["j"]
    assert leases.next_renewal(end).held == {}


def test_an_answer_that_comes_after_its_lease_begins_nothing():
    leases = Leases("a", "x", 1)
    leases.next_renewal(0)
    assert leases.answered(LEASE, Owned({"j": 5}, [])) == {} and leases.may_act(LEASE, "j") is None


def test_what_is_being_released_is_not_begun_again_by_an_older_answer():
    leases = Leases("a", "x", 1)
    leases.next_renewal(0)
    leases.answered(1, Owned({"j": 5}, []))
    leases.next_renewal(400_000)
    assert leases.released("j") == 5 and leases.released("j") is None
    assert leases.answered(400_100, Owned({"j": 5}, [])) == {} and leases.may_act(400_200, "j") is None
    leases.next_renewal(800_000)
    assert leases.answered(800_001, Owned({"j": 9}, [])) == {"j": 9}  # a new token is a new beginning
    leases.is_released("j")
    leases.leaves()
    assert leases.may_act(800_002, "j") is None and leases.next_renewal(10**9) is None


def test_a_renewal_that_failed_is_tried_again_soon_and_a_refused_one_ends_all():
    leases = Leases("a", "x", 1)
    leases.next_renewal(0)
    leases.answered(1, Owned({"j": 5}, []))
    leases.next_renewal(400_000)
    leases.failed(500_000)
    assert leases.may_act(500_000, "j") == 5 and leases.next_renewal(500_001) is None
    assert leases.next_renewal(leases.deadline()).held == {"j": 5}
    assert leases.answered(700_000, Owned({}, [], "it was gone")) == {} and leases.held == {}


def test_the_leader_waits_longer_than_any_owner_counts_and_begins_anew_with_its_leadership():
    expiry = Expiry()
    there = {"a": Candidate("x", True, 1, 7)}
    assert expiry.due(0, there) == [] and expiry.due(patience() - 1, there) == []
    assert expiry.due(patience(), there) == [Gone("a", 7)]
    expiry.leads_no_more()
    assert expiry.due(patience() + 1, there) == []
    there["a"].renewed = 9
    assert expiry.due(3 * patience(), there) == [] and expiry.due(4 * patience(), there) == [Gone("a", 9)]
    assert expiry.due(5 * patience(), {}) == [] and expiry.seen == {}
    owner = round(LEASE * (1 - DRIFT)) / (1 - DRIFT / 2)  # its clock slow, the leader's fast
    assert patience() / (1 + DRIFT / 2) > owner


def test_an_older_token_is_refused_after_a_newer_one_also_after_a_restart():
    fence = Fence()
    assert fence.accepts("j", 5) and fence.accepts("j", 5) and fence.accepts("j", 9)
    assert not fence.accepts("j", 5) and fence.accepts("k", 1) and fence.refused == 1
    assert not Fence(fence.tokens).accepts("j", 8)


def test_a_job_goes_only_to_who_knows_it_and_leaves_who_does_not(told):
    """A candidate of an older version, or with less in its file, would own it and do nothing."""
    told(Renew("a", "x", 1, True, {}, ["shares/"]))
    told(Define("revive"))
    told(Define("shares/p"))
    assert told.owner("revive") == "" and told.owner("shares/p") == "a"
    told(Renew("b", "x", 2, True, {}, ["revive"]))
    assert told.owner("revive") == "b"
    told(Renew("b", "x", 2, True, {}, ["none"]))
    told(Renew("c", "x", 3, True, {}))
    assert told.jobs.jobs["revive"].wanted == "c"
