"""Locality routing: share and target zones of the spillover."""

import random

import pytest

from lichencleat.failover.controller import (
    POLL_INTERVAL_US,
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
    RoutingPlan,
    Zone,
    ZoneRole,
)

SECOND = 1_000_000


@pytest.fixture
def router():
    zones = {"x": Zone("r", 100.0, {"y": 30_000, "z": 90_000}), "y": Zone("r", 100.0), "z": Zone("q", 100.0)}
    router = LocalityRouter("x", zones, random.Random(1))
    assert router.apply_plan(0, RoutingPlan(1, 1, {}, {"x": 50.0, "y": 20.0, "z": 40.0}))
    return router


def record_attempts(router, succeeded=0, rejected=0, lost=0):
    for count, kind in ((succeeded, (True, False)), (rejected, (False, True)), (lost, (False, False))):
        for _ in range(count):
            router.record_attempt("x", *kind)


def test_router_keeps_traffic_local_while_that_is_safe(router):
    for at in range(50):
        record_attempts(router, succeeded=20)
        router.update(at * POLL_INTERVAL_US)
        assert router.choose_zone(at * POLL_INTERVAL_US, SECOND, 300_000) == "x"
    assert router.spill == 0.0


def test_router_spills_by_bounded_steps_and_decreases_after_the_hold_time(router):
    record_attempts(router, succeeded=15, rejected=5)
    router.update(0)
    assert router.spill == SPILL_INCREASE
    record_attempts(router, succeeded=20)
    router.update(POLL_INTERVAL_US)
    assert router.spill == SPILL_INCREASE
    record_attempts(router, succeeded=20)
    router.update(HOLD_TIME_US)
    assert 0 < router.spill < SPILL_INCREASE


def test_router_leaves_a_lost_zone_but_for_probes_and_returns_by_a_growing_share(router):
    at = 0
    while router.spill < 1 - PROBE_FRACTION:
        record_attempts(router, lost=10)
        router.update(at * POLL_INTERVAL_US)
        at += 1
    assert at <= 3
    steps, began = 0, router.increased_at + RESTORE_DELAY_US
    while router.spill > 0.5:
        record_attempts(router, succeeded=1)
        router.update(began + steps * POLL_INTERVAL_US)
        steps += 1
    assert 5 < steps < 15


def test_router_spills_to_the_nearest_zone_in_time_and_within_its_spillover(router):
    router.spill = 1.0
    router.update(0)
    sent = [router.choose_zone(0, SECOND, 300_000) for _ in range(30)]
    assert sent[:6] == ["y"] * 6 and sent[6:18] == ["z"] * 12 and set(sent[18:]) == {"x"}
    router.update(POLL_INTERVAL_US)
    assert router.choose_zone(POLL_INTERVAL_US, 310_000, 300_000) == "x"  # no time for the round trip


def test_router_rejects_an_older_plan_and_sends_less_by_a_stale_one(router):
    assert not router.apply_plan(5, RoutingPlan(0, 1, {}, {"y": 90.0}))
    assert router.apply_plan(5, RoutingPlan(2, 1, {"y": ZoneRole.STANDBY}, {"z": 40.0}))
    assert (
        router.staleness_factor(5 + PLAN_STALE_AFTER_US - 1) == 1
        and router.staleness_factor(5 + PLAN_STALE_AFTER_US) == 0.5
    )
    assert router.staleness_factor(5 + 9 * PLAN_STALE_AFTER_US) == 0.25
    assert router.apply_plan(6, RoutingPlan(3, 1, {"x": ZoneRole.FENCED}, {}, {"x": 1.0}))
    assert router.choose_zone(6, SECOND, 300_000) is None


def test_router_returns_to_a_drained_zone_once_a_plan_lets_it_serve():
    router = LocalityRouter("x", {}, random.Random(1))
    router.apply_plan(0, RoutingPlan(1, 1, {"x": ZoneRole.DRAINING}, {"y": 1_000.0}))
    router.update(0)
    assert router.spill == 1.0 and "x" not in {router.choose_zone(0, SECOND, 0) for _ in range(50)}
    router.apply_plan(0, RoutingPlan(2, 1, {}, {"y": 1_000.0}))
    router.update(UPDATE_INTERVAL_US)
    assert router.spill < 1.0 and "x" in {router.choose_zone(0, SECOND, 0) for _ in range(500)}
    now = UPDATE_INTERVAL_US
    for _ in range(60):
        now += UPDATE_INTERVAL_US
        for _ in range(20):
            router.record_attempt("x", True, False)
        router.update(now)
    assert router.spill < 0.1
