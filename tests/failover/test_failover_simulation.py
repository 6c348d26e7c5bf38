"""Failover in simulated time."""

import pytest

from lichencleat.testkit.simulation.zones import World


def run_scene(scene, policy="near", **more):
    return World(scene, policy, 1, **more).play()


def test_simulated_traffic_stays_local_and_a_load_at_the_limit_does_not_oscillate():
    calm = run_scene("calm")
    assert calm.local_fraction > 0.98 and calm.served_fraction > 0.999 and calm.oscillations == 0
    assert run_scene("hover").oscillations <= 2


@pytest.mark.parametrize("scene", ["lost", "flaps", "tight", "grey", "cut off"])
def test_simulated_plan_serves_no_less_than_routers_alone_and_overloads_no_zone(scene):
    ours, spread, split = (run_scene(scene, policy) for policy in ("near", "spread", "split"))
    assert ours.served_fraction >= max(spread.served_fraction, split.served_fraction) - 0.01
    assert ours.max_load < 1.1 and (ours.recovery_time or 0) < 3


def test_simulated_failover_survives_the_loss_of_the_leader():
    ran = run_scene("owner dies")
    assert ran.served_fraction > 0.95 and ran.max_load < 1.1 and ran.oscillations <= 3
    assert ran == run_scene("owner dies")
