"""Recovery in simulated time and under model checking."""

from lichencleat.testkit.explore_revive import MISTAKES, GrantsOfOne, play
from lichencleat.testkit.explore_revive import World as Explored
from lichencleat.testkit.simulation.revive import World

SECOND = 1_000_000


def test_simulated_recovery_by_plan_loses_less_than_all_at_once():
    plan, at_once = World(30, 1, "plan").play(), World(30, 1, "at once").play()
    assert plan.all_open and plan.collapses == 0 and plan.epochs == 1
    assert plan.lost_fraction < at_once.lost_fraction / 2 and plan.recovery_time < 16
    assert plan == World(30, 1, "plan").play()


def test_simulated_recovery_survives_the_loss_of_the_leader():
    for at in (5.0, 8.0, 12.0):
        world = World(30, 2, "plan")
        world.clockwork.after(round(at * SECOND), setattr, world, "planner", None)
        world.clockwork.after(round((at + 2) * SECOND), world.start_planner, 2)
        ran = world.play()
        assert ran.all_open and ran.collapses == 0 and ran.epochs == 1, (at, ran)


def test_model_checker_passes_the_code_and_catches_injected_bugs():
    for right in (Explored, GrantsOfOne):
        found = play(right, 12, 2_000)
        assert found.violation is None and found.depth >= 2
    for kind in MISTAKES:
        assert play(kind, 12, 15_000).violation is not None, kind
