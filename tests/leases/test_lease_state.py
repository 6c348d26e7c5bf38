"""The replicated state of leases, driven by direct calls."""

import random

import msgspec
import pytest

from lichencleat.leases.lease_state import LeaseState
from lichencleat.leases.messages import (
    MAX_CANDIDATES,
    MAX_CRASHES,
    CandidateExpired,
    CommandReply,
    DefineJob,
    DropJob,
    Leave,
    MoveJob,
    ReleaseJob,
    RenewLease,
)


class LeaseStateDriver:
    """The replicated state; each command is applied as the next log entry."""

    def __init__(self):
        self.state = LeaseState()
        self.index = 0

    def __call__(self, command):
        self.index += 1
        return self.state.apply(self.index, msgspec.Raw(msgspec.msgpack.encode(command)))

    def renew(self, name, zone="x", incarnation=1, healthy=True, **held):
        return self(RenewLease(name, zone, incarnation, healthy, held))

    def holder(self, job="j"):
        return self.state.jobs[job].holder


@pytest.fixture
def leases():
    leases = LeaseStateDriver()
    leases(DefineJob("j"))
    return leases


def test_expired_candidate_loses_its_job_to_the_next_under_a_greater_token(leases):
    first = leases.renew("a").tokens
    assert first == {"j": 2}
    leases.renew("b")
    renewed = leases.state.candidates["a"].renewal_index
    leases.renew("a", j=2)
    assert leases(CandidateExpired("a", renewed)) == CommandReply(False, "it has renewed since")
    assert leases.holder() == "a"
    leases(CandidateExpired("a", leases.state.candidates["a"].renewal_index))
    assert leases.holder() == "b" and leases.state.jobs["j"].fencing_token == leases.index
    assert leases.renew("a", j=2).rejection == "it was gone"
    assert leases.renew("a").tokens == {}


def test_candidate_with_a_name_in_use_is_rejected_until_the_first_has_left(leases):
    leases.renew("a")
    assert leases.renew("a", incarnation=2).rejection.startswith("another one of that name")
    assert not leases(Leave("a", 2)).accepted
    assert leases(Leave("a", 1)).accepted and leases.holder() == ""
    assert "j" in leases.renew("a", incarnation=2).tokens


def test_job_moves_once_the_holder_releases_it_under_its_token(leases):
    leases.renew("a")
    leases.renew("b")
    assert leases(MoveJob("j", "b")).accepted
    assert not leases(MoveJob("j", "z")).accepted and not leases(MoveJob("k", "b")).accepted
    assert leases.renew("a", j=2).to_release == ["j"] and leases.holder() == "a"
    assert not leases(ReleaseJob("a", "j", 1)).accepted and not leases(ReleaseJob("b", "j", 2)).accepted
    assert leases(ReleaseJob("a", "j", 2)).accepted and leases.holder() == "b"
    assert not leases(ReleaseJob("a", "j", 2)).accepted


def test_job_still_moves_after_a_second_move_and_the_leave_of_its_next_holder(leases):
    for name in "abc":
        leases.renew(name)
    leases(MoveJob("j", "b"))
    leases(MoveJob("j", "c"))
    leases(Leave("c", 1))
    assert leases.state.jobs["j"].next_holder == ""
    leases(MoveJob("j", "b"))
    leases(ReleaseJob("a", "j", 2))
    assert leases.holder() == "b"


def test_job_that_crashes_its_holders_is_suspended_until_defined_again(leases):
    for name in "abc":
        leases.renew(name)
    holders = []
    for _ in range(MAX_CRASHES):
        job = leases.state.jobs["j"]
        holders.append(job.holder)
        leases(ReleaseJob(job.holder, "j", job.fencing_token, crashed=True))
    assert leases.holder() == "" and leases.state.jobs["j"].suspended
    assert all(a != b for a, b in zip(holders, holders[1:], strict=False))
    leases(DefineJob("j"))
    assert leases.holder() != ""


def test_job_created_again_gets_a_greater_token_than_before(leases):
    leases.renew("a")
    token = leases.state.jobs["j"].fencing_token
    assert leases(DropJob("j")).accepted and not leases(DropJob("j")).accepted
    leases(DefineJob("j"))
    assert leases.state.jobs["j"].fencing_token > token


def test_candidates_are_bounded_and_undecodable_commands_change_nothing(leases):
    for number in range(MAX_CANDIDATES):
        assert leases.renew(f"n{number}").rejection == ""
    assert leases.renew("more").rejection == "too many candidates"
    before = msgspec.msgpack.encode(leases.state.dump())
    assert leases.state.apply(999, msgspec.Raw(b"\x93\x01\x02\x03")) == CommandReply(False, "no command")
    assert msgspec.msgpack.encode(leases.state.dump()) == before
    loaded = LeaseState()
    loaded.load(msgspec.Raw(before))
    assert msgspec.msgpack.encode(loaded.dump()) == before


def test_placement_of_random_jobs_and_candidates_converges():
    rng = random.Random(4)
    for _ in range(200):
        leases = LeaseStateDriver()
        for number in range(rng.randint(1, 8)):
            leases(DefineJob(f"j{number}", rng.choice(["", "x", "y"])))
        for name in "abcde"[: rng.randint(1, 5)]:
            leases.renew(name, rng.choice("xyz"), healthy=rng.random() < 0.8)
        moves = 0
        while moving := [(name, job) for name, job in leases.state.jobs.items() if job.next_holder]:
            name, job = moving[0]
            leases(ReleaseJob(job.holder, name, job.fencing_token))
            moves += 1
            assert moves < 20
        before = leases.state.dump().jobs
        leases.renew("a", leases.state.candidates["a"].zone, healthy=leases.state.candidates["a"].healthy)
        assert leases.state.dump().jobs == before


def test_job_is_held_only_by_candidates_that_can_run_it(leases):
    """A candidate of an older version, or with fewer jobs configured, would hold a job without running it."""
    leases(RenewLease("a", "x", 1, True, {}, ["shares/"]))
    leases(DefineJob("revive"))
    leases(DefineJob("shares/p"))
    assert leases.holder("revive") == "" and leases.holder("shares/p") == "a"
    leases(RenewLease("b", "x", 2, True, {}, ["revive"]))
    assert leases.holder("revive") == "b"
    leases(RenewLease("b", "x", 2, True, {}, ["none"]))
    leases(RenewLease("c", "x", 3, True, {}))
    assert leases.state.jobs["revive"].next_holder == "c"
