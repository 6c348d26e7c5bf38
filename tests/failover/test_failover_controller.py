"""Failover controller: taking zones out, restoring them, capacity, overrides."""

import pytest
from failover_observations import LOST, REJECTED, SUCCEEDED

from lichencleat.failover.controller import (
    INITIAL_RAMP,
    MIN_UNHEALTHY_POLLS,
    POLL_INTERVAL_US,
    QUIET_PERIOD_US,
    REPORT_TIMEOUT_US,
    FailoverController,
)
from lichencleat.failover.messages import (
    OperatorOverride,
    ZoneRole,
)


def poll(group, controller, at, x=SUCCEEDED, y=SUCCEEDED, **more):
    """Report from the routers of both zones, then run one poll."""
    group.report("x.0", "x", x=x, **more)
    group.report("y.0", "y", y=y, x=x)
    return group.run_step(controller, at * POLL_INTERVAL_US)


def test_controller_takes_a_zone_out_after_several_polls_and_ramps_it_up_again(group):
    controller = FailoverController(group.token)
    poll(group, controller, 0)
    assert group.state.plan.spillover["x"] == pytest.approx(55.0)
    poll(group, controller, 1, x=LOST)
    assert group.state.plan.role("x") is ZoneRole.ACTIVE  # one poll may be chance
    for at in range(2, 1 + MIN_UNHEALTHY_POLLS):
        poll(group, controller, at, x=LOST)
    assert group.state.plan.role("x") is ZoneRole.STANDBY and "x out" in group.state.plan.reason
    at = 1 + MIN_UNHEALTHY_POLLS
    while at * POLL_INTERVAL_US < MIN_UNHEALTHY_POLLS * POLL_INTERVAL_US + QUIET_PERIOD_US:
        poll(group, controller, at)
        assert group.state.plan.role("x") is ZoneRole.STANDBY
        at += 1
    poll(group, controller, at)
    assert group.state.plan.spillover["x"] == pytest.approx(55.0 * INITIAL_RAMP, abs=0.2)
    for more in range(1, 12):
        poll(group, controller, at + more)
    assert group.state.plan.spillover["x"] > 45


def test_controller_doubles_the_quiet_period_with_each_relapse(group):
    controller, at, durations = FailoverController(group.token), 0, []
    for _ in range(2):
        while group.state.plan.role("x") is ZoneRole.ACTIVE:
            poll(group, controller, at, x=LOST)
            at += 1
        began = at
        while group.state.plan.role("x") is not ZoneRole.ACTIVE:
            poll(group, controller, at)
            at += 1
        durations.append(at - began)
    assert durations[1] > 1.8 * durations[0]


def test_controller_takes_out_a_silent_zone_and_the_next_leader_keeps_it_out(group):
    controller = FailoverController(group.token)
    poll(group, controller, 0)
    at = 1
    while at * POLL_INTERVAL_US < REPORT_TIMEOUT_US + MIN_UNHEALTHY_POLLS * POLL_INTERVAL_US:
        group.report("y.0", "y", y=SUCCEEDED)
        group.run_step(controller, at * POLL_INTERVAL_US)
        at += 1
    assert group.state.plan.role("x") is ZoneRole.STANDBY
    group.change_leader("o2", 2)
    group.report("y.0", "y", y=SUCCEEDED)
    group.run_step(FailoverController(group.token), 0)
    assert group.state.plan.role("x") is ZoneRole.STANDBY  # the next leader continues the plan in force


def test_controller_plans_within_capacity_and_sheds_the_rest(group):
    controller = FailoverController(group.token)
    assert group(OperatorOverride("x", ZoneRole.DRAINING)).accepted
    for at in range(3):
        group.report("x.0", "x", offered=90.0, x=SUCCEEDED)
        group.report("y.0", "y", offered=60.0, y=SUCCEEDED)
        group.run_step(controller, at * POLL_INTERVAL_US)
    plan = group.state.plan
    assert plan.role("x") is ZoneRole.DRAINING and plan.spillover == {"y": 35.0}
    assert plan.shed == {"x": pytest.approx(1 - 35 / 90, abs=0.01)}


def test_controller_clears_an_expired_drill_and_learns_the_observed_capacity(group):
    controller = FailoverController(group.token)
    group(OperatorOverride("x", ZoneRole.DRAINING, 2 * POLL_INTERVAL_US))
    poll(group, controller, 0), poll(group, controller, 1)
    assert group.state.plan.role("x") is ZoneRole.DRAINING
    poll(group, controller, 2), poll(group, controller, 3)
    assert group.state.plan.role("x") is ZoneRole.ACTIVE and not group.state.overrides
    before = group.state.zones["y"].capacity
    poll(group, controller, 4, y=REJECTED)
    assert group.state.zones["y"].capacity < before
