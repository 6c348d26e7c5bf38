"""Orders, the controller, a router's spill, its budget, nodes left out, by direct calls; simulated scenes."""

import random

import msgspec
import pytest

from lichencleat.failover.controller import (
    INITIAL_RAMP,
    MIN_UNHEALTHY_POLLS,
    POLL_INTERVAL_US,
    QUIET_PERIOD_US,
    REPORT_TIMEOUT_US,
    FailoverController,
)
from lichencleat.failover.locality_routing import (
    HOLD_TIME_US,
    PLAN_STALE_AFTER_US,
    PROBE_FRACTION,
    RESTORE_DELAY_US,
    SPILL_INCREASE,
    UPDATE_INTERVAL_US,
    LocalityRouter,
)
from lichencleat.failover.messages import (
    JOB,
    ClearOverride,
    CommandReply,
    DefineZone,
    DropZone,
    HealthReport,
    OperatorOverride,
    PublishPlan,
    RoutingPlan,
    UpdateCapacity,
    Zone,
    ZoneObservation,
    ZoneRole,
)
from lichencleat.failover.outlier_ejection import BASE_EJECTION_US, OutlierEjector
from lichencleat.failover.retry_budget import MIN_RETRIES_PER_SECOND, WINDOW_S, RetryBudget
from lichencleat.failover.state import FailoverState
from lichencleat.leases.lease_state import LeaseState
from lichencleat.leases.messages import CandidateExpired, DefineJob, RenewLease
from lichencleat.testkit.simulation.zones import World

SECOND = 1_000_000


class Group:
    def __init__(self):
        self.jobs, self.index = LeaseState(), 0
        self.zones = FailoverState(self.jobs)
        self.owner("o1", 1)
        for name, far in (("x", {"y": 30_000}), ("y", {"x": 30_000})):
            assert self(DefineZone(name, "r", 100.0, far)) == CommandReply(True)

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
        known = {name: ZoneObservation(*told, 300_000) for name, told in seen.items()}
        return self(HealthReport(router, zone, self.zones.plan.version, offered, known))

    def looks(self, controller, now):
        part = self.zones
        said = controller.plan_next_step(now, part.zones, part.plan, dict(part.routers), dict(part.overrides))
        return said, [self(each) for each in said]


@pytest.fixture
def group():
    return Group()


WELL, LOST, TURNED = (20, 20, 0, 0), (20, 2, 0, 18), (20, 10, 10, 0)


def test_an_order_has_a_number_and_is_told_to_who_tells(group):
    assert group.tell("x.0", "x").version == 0
    given = RoutingPlan(0, 0, {"x": ZoneRole.STANDBY}, {"y": 50.0})
    assert group(PublishPlan(group.token, 0, given)) == CommandReply(True)
    told = group.tell("x.0", "x")
    assert (told.version, told.fencing_token, told.role("x"), told.role("y")) == (1, group.token, 3, 1)
    assert not group(PublishPlan(group.token, 0, given)).accepted  # another was given since
    assert group.zones.read("history") == [RoutingPlan()]
    again = FailoverState(group.jobs)
    again.load(msgspec.Raw(msgspec.msgpack.encode(group.zones.dump())))
    assert again.plan == group.zones.plan and again.routers == group.zones.routers


def test_an_older_owner_and_an_order_over_what_a_zone_carries_are_refused(group):
    old = group.token
    group.owner("o2", 2)
    for what in (PublishPlan(old, 0, RoutingPlan()), UpdateCapacity(old, "x", 5.0)):
        assert group(what) == CommandReply(False, "an older owner's")
    assert (
        "not known to carry" in group(PublishPlan(group.token, 0, RoutingPlan(spillover={"y": 101.0}))).reason
    )
    assert (
        "not known to carry" in group(PublishPlan(group.token, 0, RoutingPlan(spillover={"z": 1.0}))).reason
    )


def test_what_an_operator_fenced_stays_fenced_and_words_are_checked(group):
    assert group(OperatorOverride("x", ZoneRole.FENCED)).accepted
    assert "fenced" in group(PublishPlan(group.token, 0, RoutingPlan())).reason
    assert group(PublishPlan(group.token, 0, RoutingPlan(roles={"x": ZoneRole.FENCED}))).accepted
    assert (
        not group(OperatorOverride("z", ZoneRole.DRAINING)).accepted
        and not group(ClearOverride("y")).accepted
    )
    assert not group(ClearOverride("x", index=1)).accepted and group(ClearOverride("x")).accepted
    assert not group(DefineZone("z", "r", 0.0)).accepted and group(DropZone("y")).accepted
    assert group.zones.apply(99, msgspec.Raw(b"\xc0")) == CommandReply(False, "no command")


# -- the controller -------------------------------------------------------------------------------------


def span(group, controller, at, x=WELL, y=WELL, **more):
    """One look, with both zones' routers telling."""
    group.tell("x.0", "x", x=x, **more)
    group.tell("y.0", "y", y=y, x=x)
    return group.looks(controller, at * POLL_INTERVAL_US)


def test_a_zone_is_taken_out_by_several_bad_looks_and_comes_back_by_a_trickle(group):
    controller = FailoverController(group.token)
    span(group, controller, 0)
    assert group.zones.plan.spillover["x"] == pytest.approx(55.0)
    span(group, controller, 1, x=LOST)
    assert group.zones.plan.role("x") is ZoneRole.ACTIVE  # one look may be chance
    for at in range(2, 1 + MIN_UNHEALTHY_POLLS):
        span(group, controller, at, x=LOST)
    assert group.zones.plan.role("x") is ZoneRole.STANDBY and "x out" in group.zones.plan.reason
    at = 1 + MIN_UNHEALTHY_POLLS
    while at * POLL_INTERVAL_US < MIN_UNHEALTHY_POLLS * POLL_INTERVAL_US + QUIET_PERIOD_US:
        span(group, controller, at)
        assert group.zones.plan.role("x") is ZoneRole.STANDBY
        at += 1
    span(group, controller, at)
    assert group.zones.plan.spillover["x"] == pytest.approx(55.0 * INITIAL_RAMP, abs=0.2)
    for more in range(1, 12):
        span(group, controller, at + more)
    assert group.zones.plan.spillover["x"] > 45


def test_with_each_relapse_it_stays_out_for_longer(group):
    controller, at, spans = FailoverController(group.token), 0, []
    for _ in range(2):
        while group.zones.plan.role("x") is ZoneRole.ACTIVE:
            span(group, controller, at, x=LOST)
            at += 1
        began = at
        while group.zones.plan.role("x") is not ZoneRole.ACTIVE:
            span(group, controller, at)
            at += 1
        spans.append(at - began)
    assert spans[1] > 1.8 * spans[0]


def test_a_zone_of_which_no_router_is_heard_is_out_and_a_new_owner_counts_anew(group):
    controller = FailoverController(group.token)
    span(group, controller, 0)
    at = 1
    while at * POLL_INTERVAL_US < REPORT_TIMEOUT_US + MIN_UNHEALTHY_POLLS * POLL_INTERVAL_US:
        group.tell("y.0", "y", y=WELL)
        group.looks(controller, at * POLL_INTERVAL_US)
        at += 1
    assert group.zones.plan.role("x") is ZoneRole.STANDBY
    group.owner("o2", 2)
    group.tell("y.0", "y", y=WELL)
    group.looks(FailoverController(group.token), 0)
    assert group.zones.plan.role("x") is ZoneRole.STANDBY  # the order that holds is where it begins


def test_no_order_sends_more_than_is_known_to_be_carried_and_the_rest_is_deferred_at_the_edge(group):
    controller = FailoverController(group.token)
    assert group(OperatorOverride("x", ZoneRole.DRAINING)).accepted
    for at in range(3):
        group.tell("x.0", "x", offered=90.0, x=WELL)
        group.tell("y.0", "y", offered=60.0, y=WELL)
        group.looks(controller, at * POLL_INTERVAL_US)
    plan = group.zones.plan
    assert plan.role("x") is ZoneRole.DRAINING and plan.spillover == {"y": 35.0}
    assert plan.shed == {"x": pytest.approx(1 - 35 / 90, abs=0.01)}


def test_a_drill_ends_by_itself_and_the_figure_of_what_is_carried_follows_what_was_seen(group):
    controller = FailoverController(group.token)
    group(OperatorOverride("x", ZoneRole.DRAINING, 2 * POLL_INTERVAL_US))
    span(group, controller, 0), span(group, controller, 1)
    assert group.zones.plan.role("x") is ZoneRole.DRAINING
    span(group, controller, 2), span(group, controller, 3)
    assert group.zones.plan.role("x") is ZoneRole.ACTIVE and not group.zones.overrides
    before = group.zones.zones["y"].capacity
    span(group, controller, 4, y=TURNED)
    assert group.zones.zones["y"].capacity < before


# -- a router --------------------------------------------------------------------------------------


@pytest.fixture
def near():
    zones = {"x": Zone("r", 100.0, {"y": 30_000, "z": 90_000}), "y": Zone("r", 100.0), "z": Zone("q", 100.0)}
    made = LocalityRouter("x", zones, random.Random(1))
    assert made.apply_plan(0, RoutingPlan(1, 1, {}, {"x": 50.0, "y": 20.0, "z": 40.0}))
    return made


def tries(near, well=0, turned=0, lost=0):
    for count, kind in ((well, (True, False)), (turned, (False, True)), (lost, (False, False))):
        for _ in range(count):
            near.record_attempt("x", *kind)


def test_traffic_stays_near_while_that_is_safe(near):
    for at in range(50):
        tries(near, well=20)
        near.update(at * POLL_INTERVAL_US)
        assert near.choose_zone(at * POLL_INTERVAL_US, SECOND, 300_000) == "x"
    assert near.spill == 0.0


def test_a_share_spills_by_bounded_steps_and_comes_back_after_a_hold(near):
    tries(near, well=15, turned=5)
    near.update(0)
    assert near.spill == SPILL_INCREASE
    tries(near, well=20)
    near.update(POLL_INTERVAL_US)
    assert near.spill == SPILL_INCREASE
    tries(near, well=20)
    near.update(HOLD_TIME_US)
    assert 0 < near.spill < SPILL_INCREASE


def test_a_lost_zone_is_left_quickly_but_for_a_probe_and_taken_up_by_a_growing_trickle(near):
    at = 0
    while near.spill < 1 - PROBE_FRACTION:
        tries(near, lost=10)
        near.update(at * POLL_INTERVAL_US)
        at += 1
    assert at <= 3
    steps, began = 0, near.increased_at + RESTORE_DELAY_US
    while near.spill > 0.5:
        tries(near, well=1)
        near.update(began + steps * POLL_INTERVAL_US)
        steps += 1
    assert 5 < steps < 15


def test_guests_go_to_the_nearest_that_can_be_reached_in_time_and_not_beyond_its_room(near):
    near.spill = 1.0
    near.update(0)
    sent = [near.choose_zone(0, SECOND, 300_000) for _ in range(30)]
    assert sent[:6] == ["y"] * 6 and sent[6:18] == ["z"] * 12 and set(sent[18:]) == {"x"}
    near.update(POLL_INTERVAL_US)
    assert near.choose_zone(POLL_INTERVAL_US, 310_000, 300_000) == "x"  # no time for the way


def test_an_older_order_is_refused_and_without_word_a_router_grows_more_careful(near):
    assert not near.apply_plan(5, RoutingPlan(0, 1, {}, {"y": 90.0}))
    assert near.apply_plan(5, RoutingPlan(2, 1, {"y": ZoneRole.STANDBY}, {"z": 40.0}))
    assert (
        near.staleness_factor(5 + PLAN_STALE_AFTER_US - 1) == 1
        and near.staleness_factor(5 + PLAN_STALE_AFTER_US) == 0.5
    )
    assert near.staleness_factor(5 + 9 * PLAN_STALE_AFTER_US) == 0.25
    assert near.apply_plan(6, RoutingPlan(3, 1, {"x": ZoneRole.FENCED}, {}, {"x": 1.0}))
    assert near.choose_zone(6, SECOND, 300_000) is None


def test_repeats_are_a_share_of_first_tries_with_a_floor_and_none_for_what_may_have_run():
    budget = RetryBudget(0)
    assert budget.acquire(0, False) and not budget.acquire(0, False)
    assert budget.acquire(SECOND, False)
    repeats = 0
    for at in range(10_000):
        now = SECOND + at * SECOND // 100
        budget.record_first_attempt(now)
        repeats += budget.acquire(now, False)
    assert repeats <= 0.1 * 10_000 + MIN_RETRIES_PER_SECOND * 100 + WINDOW_S * 2
    assert not budget.acquire(200 * SECOND, True) and budget.rejected


def test_a_failing_node_is_left_out_for_longer_each_time_and_never_too_many():
    out = OutlierEjector()
    out.set_nodes([f"n{number}" for number in range(6)])
    for name in ("n0", "n1", "n2"):
        for _ in range(5):
            out.record_outcome(0, name, False)
    assert out.eligible(0) == ["n2", "n3", "n4", "n5"]  # a third of six
    assert "n0" in out.eligible(BASE_EJECTION_US)
    for _ in range(5):
        out.record_outcome(BASE_EJECTION_US, "n0", False)
    assert "n0" not in out.eligible(2 * BASE_EJECTION_US) and "n0" in out.eligible(3 * BASE_EJECTION_US)
    out.record_outcome(0, "n9", False)
    out.set_nodes(["n1"])
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
    near = LocalityRouter("x", {}, random.Random(1))
    near.apply_plan(0, RoutingPlan(1, 1, {"x": ZoneRole.DRAINING}, {"y": 1_000.0}))
    near.update(0)
    assert near.spill == 1.0 and "x" not in {near.choose_zone(0, SECOND, 0) for _ in range(50)}
    near.apply_plan(0, RoutingPlan(2, 1, {}, {"y": 1_000.0}))
    near.update(UPDATE_INTERVAL_US)
    assert near.spill < 1.0 and "x" in {near.choose_zone(0, SECOND, 0) for _ in range(500)}
    now = UPDATE_INTERVAL_US
    for _ in range(60):
        now += UPDATE_INTERVAL_US
        for _ in range(20):
            near.record_attempt("x", True, False)
        near.update(now)
    assert near.spill < 0.1
