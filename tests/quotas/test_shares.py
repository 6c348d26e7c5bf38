"""Pools, deals, grants: by direct calls, by properties, and a few seeds of the simulation."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lichencleat.leases.lease_state import LeaseState
from lichencleat.leases.messages import CandidateExpired, CommandReply, DefineJob, RenewLease
from lichencleat.quotas.allocation import compute_targets, select_changes, share_max_min_fairly
from lichencleat.quotas.allocator import Allocator
from lichencleat.quotas.messages import (
    Allocate,
    DefinePool,
    DropPool,
    ForgetNode,
    GrantExpired,
    QuotaReply,
    QuotaRequest,
    allocator_job,
)
from lichencleat.quotas.quota_grant import QuotaGrant
from lichencleat.quotas.quota_state import QuotaState, reserved_calls
from lichencleat.testkit.simulation.shares import VARIANTS, run

TERM = 1_000_000
CAUGHT = {
    "FromTheAnswer": 3,
    "NoEnd": 1,
    "FloorAtOnce": 716,
    "SaysLess": 2314,
    "Hasty": 5,
    "NoTurns": 59,
    "NoGhost": 67,
    "AtOnce": 1,
    "AnyRenewal": 2,
}


class Table:
    """Pools over jobs, with an owner; each command is the next entry."""

    def __init__(self, limit=10, floor=1, nodes=4):
        self.jobs, self.index = LeaseState(), 0
        self.pools = QuotaState(self.jobs)
        self.owner("d1", 1)
        assert self(DefinePool("p", limit, floor, nodes, TERM)) == CommandReply(True)

    def own(self, what):
        self.index += 1
        return self.jobs.apply(self.index, msgspec.Raw(msgspec.msgpack.encode(what)))

    def owner(self, name, life):
        for each, known in list(self.jobs.candidates.items()):
            self.own(CandidateExpired(each, known.renewal_index))
        self.own(RenewLease(name, "", life, True, {}))
        self.own(DefineJob(allocator_job("p")))

    @property
    def token(self):
        return self.jobs.jobs[allocator_job("p")].fencing_token

    @property
    def pool(self):
        return self.pools.pools["p"]

    def __call__(self, what):
        self.index += 1
        return self.pools.apply(self.index, msgspec.Raw(msgspec.msgpack.encode(what)))

    def ask(self, node, turn, holds=1, need=5, life=1, floor=1):
        return self(QuotaRequest("p", node, life, turn, floor, TERM, holds, need))


@pytest.fixture
def table():
    return Table()


def test_a_node_gets_its_floor_then_what_is_dealt_and_never_beyond_the_room(table):
    assert table.ask("a", 1) == QuotaReply(1, 0)
    assert table(Allocate("p", table.token, {"a": 9})) == CommandReply(True)
    assert table.ask("a", 2).amount == 7  # three floors are set aside for the others
    assert reserved_calls(table.pool) == 10
    assert table.ask("b", 1).amount == 1 and reserved_calls(table.pool) == 10


def test_what_is_taken_back_is_free_only_once_its_holder_says_that_it_has_stopped(table):
    table.ask("a", 1), table.ask("b", 1)
    table(Allocate("p", table.token, {"a": 7}))
    table.ask("a", 2)
    table(Allocate("p", table.token, {"a": 2, "b": 6}))
    assert table.ask("b", 2).amount == 1
    assert table.ask("a", 3, holds=7) == QuotaReply(2, table.token)
    assert table.ask("b", 3).amount == 1  # it was only told
    assert table.ask("a", 4, holds=4).amount == 2  # two calls are out yet
    assert table.ask("b", 4).amount == 4
    table.ask("a", 5, holds=2)
    assert table.ask("b", 5).amount == 6


def test_an_older_owner_changes_nothing(table):
    table.ask("a", 1)
    old = table.token
    table.owner("d2", 2)
    assert table.token > old
    assert table(Allocate("p", old, {"a": 5})) == CommandReply(False, "an older owner's")
    renewed = table.pool.node_quotas["a"].renewal_index
    assert not table(GrantExpired("p", old, "a", renewed)).accepted
    assert table(GrantExpired("p", table.token, "a", renewed)).accepted


def test_a_renewal_that_comes_late_and_one_that_is_not_meant_change_nothing(table):
    table.ask("a", 1)
    renewed = table.pool.node_quotas["a"].renewal_index
    table(Allocate("p", table.token, {"a": 6}))
    assert table.ask("a", 3).amount == 6
    assert table.ask("a", 2, holds=1).rejection
    assert not table(GrantExpired("p", table.token, "a", renewed)).accepted
    assert table.pool.node_quotas["a"].reserved == 6


def test_a_new_life_waits_for_room_until_the_old_one_must_be_over(table):
    table.ask("a", 1)
    table(Allocate("p", table.token, {"a": 7}))
    table.ask("a", 2)
    old = table.pool.node_quotas["a"].renewal_index
    assert table.ask("a", 1, life=2).amount == 0 and reserved_calls(table.pool) == 10
    assert table(GrantExpired("p", table.token, "a", old)).accepted
    assert table.pool.node_quotas["a"].reserved == 1 and reserved_calls(table.pool) == 4
    assert table.ask("a", 2, life=2).amount == 1


@pytest.mark.parametrize(
    ("what", "why"),
    [
        (DefinePool("p", 3, 1, 4, TERM), "over the limit"),
        (DefinePool("q", 3, 1, 2, 1), "a term"),
        (DefinePool("q", 0, 0, 2, TERM), "out of range"),
        (DropPool("q"), "no such pool"),
        (DropPool("p"), "seats in it"),
        (DefinePool("p", 10, 2, 4, TERM), "floor and term stay"),
        (ForgetNode("p", "z"), "no such node"),
    ],
)
def test_what_does_not_fit_is_refused_with_its_reason(table, what, why):
    table.ask("a", 1)
    told = table(what)
    assert not told.accepted and why in told.reason
    assert table.ask("b", 1, floor=3).rejection
    assert table.pools.apply(99, msgspec.Raw(b"\xc0")) == CommandReply(False, "no command")


def test_a_seat_too_many_is_refused_and_one_that_is_forgotten_is_free(table):
    for name in "abcd":
        assert table.ask(name, 1).amount == 1
    assert "seats are taken" in table.ask("e", 1).rejection
    assert table(ForgetNode("p", "b")).accepted and table.ask("e", 2).amount == 1
    again = QuotaState(table.jobs)
    again.load(msgspec.Raw(msgspec.msgpack.encode(table.pools.dump())))
    assert again.pools == table.pools.pools


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.dictionaries(st.text("abcdefgh", min_size=1, max_size=2), st.integers(0, 50)), st.integers(0, 200))
def test_needs_are_met_evenly_and_all_that_can_be_is_given(wants, room):
    given_ = share_max_min_fairly(wants, room, {})
    assert sum(given_.values()) == min(room, sum(wants.values()))
    short = [name for name in wants if given_[name] < wants[name]]
    for name in short:
        assert all(given_[other] <= given_[name] + 1 for other in wants)


def test_targets_stay_within_the_limit_and_small_steps_are_left(table):
    for name in "abc":
        table.ask(name, 1, need={"a": 50, "b": 2, "c": 0}[name])
    wanted = compute_targets(table.pool)
    assert wanted == {"a": 6, "b": 2, "c": 1} and sum(wanted.values()) + 1 == 10
    assert select_changes(table.pool, wanted) == {"a": 6, "b": 2}
    table(Allocate("p", table.token, wanted))
    assert select_changes(table.pool, compute_targets(table.pool)) == {}


def test_an_owner_waits_a_term_and_the_drift_before_it_calls_a_grant_over(table):
    table.ask("a", 1)
    dealer = Allocator("p", table.token)
    (deal,) = dealer.decide(0, table.pool)
    table(deal)
    table.ask("a", 2)
    assert dealer.decide(5, table.pool) == []
    assert dealer.decide(5 + int(TERM * 1.1) - 1, table.pool) == []
    (over,) = dealer.decide(5 + int(TERM * 1.1), table.pool)
    assert over == GrantExpired("p", table.token, "a", table.pool.node_quotas["a"].renewal_index)
    assert Allocator("p", table.token).decide(10 * TERM, table.pool) == []  # a new owner begins to count


def grants(**more):
    return QuotaGrant("p", "a", 1, 2, TERM, 0, **more)


def test_a_grant_counts_from_before_it_was_asked_for_and_then_the_floor():
    mine = grants()
    assert mine.usable_calls(0) == 0  # an earlier life's calls may be out
    ask = mine.next_request(100, 0)
    assert (ask.request_number, ask.in_use, mine.next_request(200, 0)) == (1, 0, None)
    mine.on_reply(500_000, QuotaReply(7, 3))
    assert mine.usable_calls(900_099) == 7 and mine.max_call_duration(500_000) == 400_100
    assert mine.usable_calls(900_100) == 0 and mine.usable_calls(1_100_000) == 2
    assert mine.max_call_duration(1_100_000) == 900_000
    assert mine.next_request(1_200_000, 5).in_use == 5


def test_an_answer_too_late_is_worth_nothing_and_a_refusal_ends_with_the_last_grant():
    mine = grants()
    mine.next_request(0, 0)
    mine.on_reply(950_000, QuotaReply(7, 3))
    assert mine.usable_calls(950_000) == 0
    mine.next_request(950_000, 0)
    mine.on_reply(960_000, QuotaReply(7, 3))
    mine.next_request(mine.next_request_at, 0)
    mine.on_reply(1_300_000, QuotaReply(0, 0, "all 4 seats are taken"))
    assert mine.usable_calls(1_849_999) == 7 and mine.usable_calls(1_850_000) == 0
    mine.next_request(mine.next_request_at, 0)
    mine.on_failure(2_000_000)
    assert mine.usable_calls(2_000_000) == 0 and mine.next_action_at(2_000_000) > 2_000_000


def test_drawn_runs_keep_the_limit_and_get_well_again():
    for seed in range(1, 61):
        ran = run(seed)
        assert ran.wrong is None, (seed, ran.wrong)
        assert ran.calls > 50
    assert run(5) == run(5)
    assert [run(seed, wild=True).wrong for seed in range(1, 11)] == [None] * 10


@pytest.mark.parametrize("variant", CAUGHT)
def test_a_planted_mistake_is_caught(variant):
    assert run(CAUGHT[variant], VARIANTS[variant]).wrong is not None
