"""Pools, deals, grants: by direct calls, by properties, and a few seeds of the simulation."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lichencleat.leases.jobs import Jobs
from lichencleat.leases.terms import Define as DefineJob
from lichencleat.leases.terms import Gone, Renew
from lichencleat.quotas.deal import fair, targets, worth_saying
from lichencleat.quotas.dealer import Dealer
from lichencleat.quotas.grants import Grants
from lichencleat.quotas.pools import Pools, reserved
from lichencleat.quotas.terms import Ask, Deal, Define, Done, Drop, Forget, Granted, Over, job_of
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
        self.jobs, self.index = Jobs(), 0
        self.pools = Pools(self.jobs)
        self.owner("d1", 1)
        assert self(Define("p", limit, floor, nodes, TERM)) == Done(True)

    def own(self, what):
        self.index += 1
        return self.jobs.apply(self.index, msgspec.Raw(msgspec.msgpack.encode(what)))

    def owner(self, name, life):
        for each, known in list(self.jobs.candidates.items()):
            self.own(Gone(each, known.renewed))
        self.own(Renew(name, "", life, True, {}))
        self.own(DefineJob(job_of("p")))

    @property
    def token(self):
        return self.jobs.jobs[job_of("p")].token

    @property
    def pool(self):
        return self.pools.pools["p"]

    def __call__(self, what):
        self.index += 1
        return self.pools.apply(self.index, msgspec.Raw(msgspec.msgpack.encode(what)))

    def ask(self, node, turn, holds=1, need=5, life=1, floor=1):
        return self(Ask("p", node, life, turn, floor, TERM, holds, need))


@pytest.fixture
def table():
    return Table()


def test_a_node_gets_its_floor_then_what_is_dealt_and_never_beyond_the_room(table):
    assert table.ask("a", 1) == Granted(1, 0)
    assert table(Deal("p", table.token, {"a": 9})) == Done(True)
    assert table.ask("a", 2).amount == 7  # three floors are set aside for the others
    assert reserved(table.pool) == 10
    assert table.ask("b", 1).amount == 1 and reserved(table.pool) == 10


def test_what_is_taken_back_is_free_only_once_its_holder_says_that_it_has_stopped(table):
    table.ask("a", 1), table.ask("b", 1)
    table(Deal("p", table.token, {"a": 7}))
    table.ask("a", 2)
    table(Deal("p", table.token, {"a": 2, "b": 6}))
    assert table.ask("b", 2).amount == 1
    assert table.ask("a", 3, holds=7) == Granted(2, table.token)
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
    assert table(Deal("p", old, {"a": 5})) == Done(False, "an older owner's")
    renewed = table.pool.seats["a"].renewed
    assert not table(Over("p", old, "a", renewed)).done
    assert table(Over("p", table.token, "a", renewed)).done


def test_a_renewal_that_comes_late_and_one_that_is_not_meant_change_nothing(table):
    table.ask("a", 1)
    renewed = table.pool.seats["a"].renewed
    table(Deal("p", table.token, {"a": 6}))
    assert table.ask("a", 3).amount == 6
    assert table.ask("a", 2, holds=1).refused
    assert not table(Over("p", table.token, "a", renewed)).done
    assert table.pool.seats["a"].held == 6


def test_a_new_life_waits_for_room_until_the_old_one_must_be_over(table):
    table.ask("a", 1)
    table(Deal("p", table.token, {"a": 7}))
    table.ask("a", 2)
    old = table.pool.seats["a"].renewed
    assert table.ask("a", 1, life=2).amount == 0 and reserved(table.pool) == 10
    assert table(Over("p", table.token, "a", old)).done
    assert table.pool.seats["a"].held == 1 and reserved(table.pool) == 4
    assert table.ask("a", 2, life=2).amount == 1


@pytest.mark.parametrize(
    ("what", "why"),
    [
        (Define("p", 3, 1, 4, TERM), "over the limit"),
        (Define("q", 3, 1, 2, 1), "a term"),
        (Define("q", 0, 0, 2, TERM), "out of range"),
        (Drop("q"), "no such pool"),
        (Drop("p"), "seats in it"),
        (Define("p", 10, 2, 4, TERM), "floor and term stay"),
        (Forget("p", "z"), "no such node"),
    ],
)
def test_what_does_not_fit_is_refused_with_its_reason(table, what, why):
    table.ask("a", 1)
    told = table(what)
    assert not told.done and why in told.why
    assert table.ask("b", 1, floor=3).refused and table.pools.apply(99, msgspec.Raw(b"\xc0")) == Done(
        False, "no command"
    )


def test_a_seat_too_many_is_refused_and_one_that_is_forgotten_is_free(table):
    for name in "abcd":
        assert table.ask(name, 1).amount == 1
    assert "seats are taken" in table.ask("e", 1).refused
    assert table(Forget("p", "b")).done and table.ask("e", 2).amount == 1
    again = Pools(table.jobs)
    again.load(msgspec.Raw(msgspec.msgpack.encode(table.pools.dump())))
    assert again.pools == table.pools.pools


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.dictionaries(st.text("abcdefgh", min_size=1, max_size=2), st.integers(0, 50)), st.integers(0, 200))
def test_needs_are_met_evenly_and_all_that_can_be_is_given(wants, room):
    given_ = fair(wants, room, {})
    assert sum(given_.values()) == min(room, sum(wants.values()))
    short = [name for name in wants if given_[name] < wants[name]]
    for name in short:
        assert all(given_[other] <= given_[name] + 1 for other in wants)


def test_targets_stay_within_the_limit_and_small_steps_are_left(table):
    for name in "abc":
        table.ask(name, 1, need={"a": 50, "b": 2, "c": 0}[name])
    wanted = targets(table.pool)
    assert wanted == {"a": 6, "b": 2, "c": 1} and sum(wanted.values()) + 1 == 10
    assert worth_saying(table.pool, wanted) == {"a": 6, "b": 2}
    table(Deal("p", table.token, wanted))
    assert worth_saying(table.pool, targets(table.pool)) == {}


def test_an_owner_waits_a_term_and_the_drift_before_it_calls_a_grant_over(table):
    table.ask("a", 1)
    dealer = Dealer("p", table.token)
    (deal,) = dealer.looks(0, table.pool)
    table(deal)
    table.ask("a", 2)
    assert dealer.looks(5, table.pool) == []
    assert dealer.looks(5 + int(TERM * 1.1) - 1, table.pool) == []
    (over,) = dealer.looks(5 + int(TERM * 1.1), table.pool)
    assert over == Over("p", table.token, "a", table.pool.seats["a"].renewed)
    assert Dealer("p", table.token).looks(10 * TERM, table.pool) == []  # a new owner begins to count


def grants(**more):
    return Grants("p", "a", 1, 2, TERM, 0, **more)


def test_a_grant_counts_from_before_it_was_asked_for_and_then_the_floor():
    mine = grants()
    assert mine.usable(0) == 0  # an earlier life's calls may be out
    ask = mine.next_ask(100, 0)
    assert (ask.turn, ask.holds, mine.next_ask(200, 0)) == (1, 0, None)
    mine.answered(500_000, Granted(7, 3))
    assert mine.usable(900_099) == 7 and mine.span(500_000) == 400_100
    assert mine.usable(900_100) == 0 and mine.usable(1_100_000) == 2
    assert mine.span(1_100_000) == 900_000
    assert mine.next_ask(1_200_000, 5).holds == 5


def test_an_answer_too_late_is_worth_nothing_and_a_refusal_ends_with_the_last_grant():
    mine = grants()
    mine.next_ask(0, 0)
    mine.answered(950_000, Granted(7, 3))
    assert mine.usable(950_000) == 0
    mine.next_ask(950_000, 0)
    mine.answered(960_000, Granted(7, 3))
    mine.next_ask(mine.ask_at, 0)
    mine.answered(1_300_000, Granted(0, 0, "all 4 seats are taken"))
    assert mine.usable(1_849_999) == 7 and mine.usable(1_850_000) == 0
    mine.next_ask(mine.ask_at, 0)
    mine.failed(2_000_000)
    assert mine.usable(2_000_000) == 0 and mine.deadline(2_000_000) > 2_000_000


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
