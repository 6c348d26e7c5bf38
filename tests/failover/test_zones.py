"""Orders, the judge, a router's spill, its budget, nodes left out, by direct calls; simulated scenes."""

import random

import msgspec
import pytest

from lichencleat.failover.budget import FLOOR, KEPT, Budget
from lichencleat.failover.judge import CALM, LOOK, LOOKS, SILENT, TRICKLE, Judge
from lichencleat.failover.leave_out import SPAN, LeaveOut
from lichencleat.failover.near import HOLD, PROBE, REST, STALE, UP, Near
from lichencleat.failover.state import Zones
from lichencleat.failover.terms import (
    JOB,
    Define,
    Done,
    Drop,
    Duty,
    Give,
    Learn,
    Order,
    Seen,
    Tell,
    Unwish,
    Wish,
    Zone,
)
from lichencleat.leases.lease_state import LeaseState
from lichencleat.leases.messages import CandidateExpired, DefineJob, RenewLease
from lichencleat.testkit.simulation.zones import World

SECOND = 1_000_000


class Group:
    def __init__(self):
        self.jobs, self.index = LeaseState(), 0
        self.zones = Zones(self.jobs)
        self.owner("o1", 1)
        for name, far in (("x", {"y": 30_000}), ("y", {"x": 30_000})):
            assert self(Define(name, "r", 100.0, far)) == Done(True)

    def enter(self, part, what):
        self.index += 1
        return part.apply(self.index, msgspec.Raw(msgspec.msgpack.encode(what)))

    def __call__(self, what):
        return self.enter(self.zones, what)

    def owner(self, name, life):
        for each, known in list(self.jobs.candidates.items()):
            self.enter(self.jobs, CandidateExpired(each, known.renewal_index))
        self.enter(self.jobs, RenewLease(name, "", life, True, {}))
        self.enter(self.jobs, DefineJob(JOB))

    @property
    def token(self):
        return self.jobs.jobs[JOB].fencing_token

    def tell(self, router, zone, offered=40.0, **seen):
        known = {name: Seen(*told, 300_000) for name, told in seen.items()}
        return self(Tell(router, zone, self.zones.order.number, offered, known))

    def looks(self, judge, now):
        part = self.zones
        said = judge.looks(now, part.zones, part.order, dict(part.sources), dict(part.wishes))
        return said, [self(each) for each in said]


@pytest.fixture
def group():
    return Group()


WELL, LOST, TURNED = (20, 20, 0, 0), (20, 2, 0, 18), (20, 10, 10, 0)


def test_an_order_has_a_number_and_is_told_to_who_tells(group):
    assert group.tell("x.0", "x").number == 0
    given = Order(0, 0, {"x": Duty.STANDS_BY}, {"y": 50.0})
    assert group(Give(group.token, 0, given)) == Done(True)
    told = group.tell("x.0", "x")
    assert (told.number, told.token, told.duty("x"), told.duty("y")) == (1, group.token, 3, 1)
    assert not group(Give(group.token, 0, given)).done  # another was given since
    assert group.zones.read("history") == [Order()]
    again = Zones(group.jobs)
    again.load(msgspec.Raw(msgspec.msgpack.encode(group.zones.dump())))
    assert again.order == group.zones.order and again.sources == group.zones.sources


def test_an_older_owner_and_an_order_over_what_a_zone_carries_are_refused(group):
    old = group.token
    group.owner("o2", 2)
    for what in (Give(old, 0, Order()), Learn(old, "x", 5.0)):
        assert group(what) == Done(False, "an older owner's")
    assert "not known to carry" in group(Give(group.token, 0, Order(guests={"y": 101.0}))).why
    assert "not known to carry" in group(Give(group.token, 0, Order(guests={"z": 1.0}))).why


def test_what_an_operator_fenced_stays_fenced_and_words_are_checked(group):
    assert group(Wish("x", Duty.FENCED)).done
    assert "fenced" in group(Give(group.token, 0, Order())).why
    assert group(Give(group.token, 0, Order(duties={"x": Duty.FENCED}))).done
    assert not group(Wish("z", Duty.DRAINS)).done and not group(Unwish("y")).done
    assert not group(Unwish("x", given=1)).done and group(Unwish("x")).done
    assert not group(Define("z", "r", 0.0)).done and group(Drop("y")).done
    assert group.zones.apply(99, msgspec.Raw(b"\xc0")) == Done(False, "no command")


# -- the judge -------------------------------------------------------------------------------------


def span(group, judge, at, x=WELL, y=WELL, **more):
    """One look, with both zones' routers telling."""
    group.tell("x.0", "x", x=x, **more)
    group.tell("y.0", "y", y=y, x=x)
    return group.looks(judge, at * LOOK)


def test_a_zone_is_taken_out_by_several_bad_looks_and_comes_back_by_a_trickle(group):
    judge = Judge(group.token)
    span(group, judge, 0)
    assert group.zones.order.guests["x"] == pytest.approx(55.0)
    span(group, judge, 1, x=LOST)
    assert group.zones.order.duty("x") is Duty.SERVES  # one look may be chance
    for at in range(2, 1 + LOOKS):
        span(group, judge, at, x=LOST)
    assert group.zones.order.duty("x") is Duty.STANDS_BY and "x out" in group.zones.order.why
    at = 1 + LOOKS
    while at * LOOK < LOOKS * LOOK + CALM:
        span(group, judge, at)
        assert group.zones.order.duty("x") is Duty.STANDS_BY
        at += 1
    span(group, judge, at)
    assert group.zones.order.guests["x"] == pytest.approx(55.0 * TRICKLE, abs=0.2)
    for more in range(1, 12):
        span(group, judge, at + more)
    assert group.zones.order.guests["x"] > 45


def test_with_each_relapse_it_stays_out_for_longer(group):
    judge, at, spans = Judge(group.token), 0, []
    for _ in range(2):
        while group.zones.order.duty("x") is Duty.SERVES:
            span(group, judge, at, x=LOST)
            at += 1
        began = at
        while group.zones.order.duty("x") is not Duty.SERVES:
            span(group, judge, at)
            at += 1
        spans.append(at - began)
    assert spans[1] > 1.8 * spans[0]


def test_a_zone_of_which_no_router_is_heard_is_out_and_a_new_owner_counts_anew(group):
    judge = Judge(group.token)
    span(group, judge, 0)
    at = 1
    while at * LOOK < SILENT + LOOKS * LOOK:
        group.tell("y.0", "y", y=WELL)
        group.looks(judge, at * LOOK)
        at += 1
    assert group.zones.order.duty("x") is Duty.STANDS_BY
    group.owner("o2", 2)
    group.tell("y.0", "y", y=WELL)
    group.looks(Judge(group.token), 0)
    assert group.zones.order.duty("x") is Duty.STANDS_BY  # the order that holds is where it begins


def test_no_order_sends_more_than_is_known_to_be_carried_and_the_rest_is_deferred_at_the_edge(group):
    judge = Judge(group.token)
    assert group(Wish("x", Duty.DRAINS)).done
    for at in range(3):
        group.tell("x.0", "x", offered=90.0, x=WELL)
        group.tell("y.0", "y", offered=60.0, y=WELL)
        group.looks(judge, at * LOOK)
    order = group.zones.order
    assert order.duty("x") is Duty.DRAINS and order.guests == {"y": 35.0}
    assert order.edge == {"x": pytest.approx(1 - 35 / 90, abs=0.01)}


def test_a_drill_ends_by_itself_and_the_figure_of_what_is_carried_follows_what_was_seen(group):
    judge = Judge(group.token)
    group(Wish("x", Duty.DRAINS, 2 * LOOK))
    span(group, judge, 0), span(group, judge, 1)
    assert group.zones.order.duty("x") is Duty.DRAINS
    span(group, judge, 2), span(group, judge, 3)
    assert group.zones.order.duty("x") is Duty.SERVES and not group.zones.wishes
    before = group.zones.zones["y"].carries
    span(group, judge, 4, y=TURNED)
    assert group.zones.zones["y"].carries < before


# -- a router --------------------------------------------------------------------------------------


@pytest.fixture
def near():
    zones = {"x": Zone("r", 100.0, {"y": 30_000, "z": 90_000}), "y": Zone("r", 100.0), "z": Zone("q", 100.0)}
    made = Near("x", zones, random.Random(1))
    assert made.ordered(0, Order(1, 1, {}, {"x": 50.0, "y": 20.0, "z": 40.0}))
    return made


def tries(near, well=0, turned=0, lost=0):
    for count, kind in ((well, (True, False)), (turned, (False, True)), (lost, (False, False))):
        for _ in range(count):
            near.came("x", *kind)


def test_traffic_stays_near_while_that_is_safe(near):
    for at in range(50):
        tries(near, well=20)
        near.steps(at * LOOK)
        assert near.chooses(at * LOOK, SECOND, 300_000) == "x"
    assert near.spill == 0.0


def test_a_share_spills_by_bounded_steps_and_comes_back_after_a_hold(near):
    tries(near, well=15, turned=5)
    near.steps(0)
    assert near.spill == UP
    tries(near, well=20)
    near.steps(LOOK)
    assert near.spill == UP
    tries(near, well=20)
    near.steps(HOLD)
    assert 0 < near.spill < UP


def test_a_lost_zone_is_left_quickly_but_for_a_probe_and_taken_up_by_a_growing_trickle(near):
    at = 0
    while near.spill < 1 - PROBE:
        tries(near, lost=10)
        near.steps(at * LOOK)
        at += 1
    assert at <= 3
    steps, began = 0, near.up_at + REST
    while near.spill > 0.5:
        tries(near, well=1)
        near.steps(began + steps * LOOK)
        steps += 1
    assert 5 < steps < 15


def test_guests_go_to_the_nearest_that_can_be_reached_in_time_and_not_beyond_its_room(near):
    near.spill = 1.0
    near.steps(0)
    sent = [near.chooses(0, SECOND, 300_000) for _ in range(30)]
    assert sent[:6] == ["y"] * 6 and sent[6:18] == ["z"] * 12 and set(sent[18:]) == {"x"}
    near.steps(LOOK)
    assert near.chooses(LOOK, 310_000, 300_000) == "x"  # no time for the way


def test_an_older_order_is_refused_and_without_word_a_router_grows_more_careful(near):
    assert not near.ordered(5, Order(0, 1, {}, {"y": 90.0}))
    assert near.ordered(5, Order(2, 1, {"y": Duty.STANDS_BY}, {"z": 40.0}))
    assert near.careful(5 + STALE - 1) == 1 and near.careful(5 + STALE) == 0.5
    assert near.careful(5 + 9 * STALE) == 0.25
    assert near.ordered(6, Order(3, 1, {"x": Duty.FENCED}, {}, {"x": 1.0}))
    assert near.chooses(6, SECOND, 300_000) is None


def test_repeats_are_a_share_of_first_tries_with_a_floor_and_none_for_what_may_have_run():
    budget = Budget(0)
    assert budget.may_repeat(0, False) and not budget.may_repeat(0, False)
    assert budget.may_repeat(SECOND, False)
    repeats = 0
    for at in range(10_000):
        now = SECOND + at * SECOND // 100
        budget.first_try(now)
        repeats += budget.may_repeat(now, False)
    assert repeats <= 0.1 * 10_000 + FLOOR * 100 + KEPT * 2
    assert not budget.may_repeat(200 * SECOND, True) and budget.refused


def test_a_failing_node_is_left_out_for_longer_each_time_and_never_too_many():
    out = LeaveOut()
    out.members([f"n{number}" for number in range(6)])
    for name in ("n0", "n1", "n2"):
        for _ in range(5):
            out.told(0, name, False)
    assert out.fit(0) == ["n2", "n3", "n4", "n5"]  # a third of six
    assert "n0" in out.fit(SPAN)
    for _ in range(5):
        out.told(SPAN, "n0", False)
    assert "n0" not in out.fit(2 * SPAN) and "n0" in out.fit(3 * SPAN)
    out.told(0, "n9", False)
    out.members(["n1"])
    assert list(out.nodes) == ["n1"]


# -- simulated -------------------------------------------------------------------------------------


def played(scene, policy="near", **more):
    return World(scene, policy, 1, **more).play()


def test_calm_traffic_stays_near_and_a_hovering_load_does_not_swing():
    calm = played("calm")
    assert calm.near > 0.98 and calm.payoff > 0.999 and calm.swings == 0
    assert played("hover").swings <= 2


@pytest.mark.parametrize("scene", ["lost", "flaps", "tight", "grey", "cut off"])
def test_by_one_order_no_less_is_served_than_by_each_alone_and_no_survivor_falls(scene):
    ours, spread, split = (played(scene, policy) for policy in ("near", "spread", "split"))
    assert ours.payoff >= max(spread.payoff, split.payoff) - 0.01
    assert ours.peak < 1.1 and (ours.back_after or 0) < 3


def test_an_owner_that_dies_with_the_zone_is_followed_and_nothing_swings():
    ran = played("owner dies")
    assert ran.payoff > 0.95 and ran.peak < 1.1 and ran.swings <= 3
    assert ran == played("owner dies")


def test_a_zone_that_was_drained_is_tried_again_once_the_order_lets_it_serve():
    near = Near("x", {}, random.Random(1))
    near.ordered(0, Order(1, 1, {"x": Duty.DRAINS}, {"y": 1_000.0}))
    near.steps(0)
    assert near.spill == 1.0 and "x" not in {near.chooses(0, SECOND, 0) for _ in range(50)}
    near.ordered(0, Order(2, 1, {}, {"y": 1_000.0}))
    near.steps(SPAN)
    assert near.spill < 1.0 and "x" in {near.chooses(0, SECOND, 0) for _ in range(500)}
    now = SPAN
    for _ in range(60):
        now += SPAN
        for _ in range(20):
            near.came("x", True, False)
        near.steps(now)
    assert near.spill < 0.1
