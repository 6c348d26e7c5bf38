"""Rollout planner: single restarts, epochs, batches, rollback, lost nodes."""

from msgspec.structs import astuple
from replicated_group import ReplicatedGroup

from lichencleat.quotas.messages import SetAllocatableShare
from lichencleat.recovery.messages import (
    NewEpoch,
    NodeStatus,
    RolloutBatch,
)
from lichencleat.recovery.planner import (
    EPOCH_DELAY_US,
    FIRST_BATCH_FRACTION,
    INITIAL_DEPENDENCY_SHARE,
    OPENING_STEP,
    REPORT_TIMEOUT_US,
    RolloutPlanner,
    opening_order,
)


def open_nodes(group, names):
    for name in names:
        group.report(name)
    group(RolloutBatch(group.token, dict.fromkeys(names, 1.0), None))


def recovering_group(count=12):
    group = ReplicatedGroup()
    names = [f"n{number:02}" for number in range(count)]
    for at, name in enumerate(names):
        group.report(name, zone="xy"[at % 2], incarnation=2)
    group(NewEpoch(group.token, 1, "power"))
    return group, names, RolloutPlanner(group.token)


def run_steps(group, names, planner, steps, first=0, **more):
    for at in range(first, first + steps):
        group.run_step(planner, at * 300_000)
        for number, name in enumerate(names):
            group.report(name, zone="xy"[number % 2], incarnation=2, **more)


def test_planner_opens_a_single_restart_by_steps_without_an_epoch(group):
    open_nodes(group, "abcd")
    planner = RolloutPlanner(group.token)
    group.run_step(planner, 0)
    for name in "abc":
        group.report(name)
    group.report("d", incarnation=2)
    for at in range(4):
        group.run_step(planner, at * 300_000)
        group.report("d", incarnation=2)
    assert group.fleet.nodes["d"].share == 1.0 and group.fleet.epoch == 1


def test_planner_begins_an_epoch_when_half_of_the_nodes_restarted(group):
    open_nodes(group, "abcdefgh")
    planner = RolloutPlanner(group.token)
    for name in "abcd":
        group.report(name, incarnation=2)
    assert group.run_step(planner, 0)[0] == []
    assert group.run_step(planner, EPOCH_DELAY_US - 1)[0] == []
    (new,), _ = group.run_step(planner, EPOCH_DELAY_US)
    assert isinstance(new, NewEpoch) and group.fleet.epoch == 2 and group.fleet.plan.max_open == 0
    commands, _ = group.run_step(planner, EPOCH_DELAY_US + 300_000)
    assert commands[0] == SetAllocatableShare(group.token, INITIAL_DEPENDENCY_SHARE)
    assert (
        len(commands[1].shares) == 0 and commands[1].plan.max_open == 8 * FIRST_BATCH_FRACTION
    )  # the four open nodes already exceed the bound of the first batch


def test_planner_grows_batches_until_all_nodes_are_open():
    group, names, planner = recovering_group()
    group.run_step(planner, 0)
    first = [name for name, each in group.fleet.nodes.items() if each.status == NodeStatus.OPEN]
    assert len(first) == 4 and {group.fleet.nodes[name].zone for name in first} == {"x", "y"}
    assert all(each.share in (0.0, OPENING_STEP) for each in group.fleet.nodes.values())
    run_steps(group, names, planner, 60, 1, load=0.2)
    assert group.fleet.plan is None and all(each.share == 1.0 for each in group.fleet.nodes.values())


def test_planner_moves_the_dependency_share_with_the_load():
    group, names, planner = recovering_group()
    run_steps(group, names, planner, 4, load=1.4)
    assert group.fleet.plan.dependency_share < INITIAL_DEPENDENCY_SHARE
    assert sum(each.status == NodeStatus.OPEN for each in group.fleet.nodes.values()) == 4
    share_before = group.fleet.plan.dependency_share
    run_steps(group, names, planner, 4, 4, load=0.3)
    assert group.fleet.plan.dependency_share > share_before


def test_planner_rolls_back_a_failed_batch_and_retries():
    group, names, planner = recovering_group()
    group.run_step(planner, 0)
    max_open_before = group.fleet.plan.max_open
    for name in names:
        group.report(name, incarnation=2, ready=False)
    group.run_step(planner, 300_000)
    assert group.fleet.plan.rollbacks == 1 and group.fleet.plan.max_open < max_open_before
    assert all(each.status == NodeStatus.SHUT for each in group.fleet.nodes.values())
    run_steps(group, names, planner, 60, 2, load=0.2)
    assert group.fleet.plan is None


def test_planner_of_the_next_leader_continues_the_plan():
    group, names, planner = recovering_group()
    run_steps(group, names, planner, 3, load=0.2)
    max_open_before, epoch = group.fleet.plan.max_open, group.fleet.epoch
    group.change_leader("o2", 2)
    assert not any(astuple(result)[0] for result in group.run_step(planner, 4 * 300_000)[1])
    run_steps(group, names, RolloutPlanner(group.token), 2, 5, load=0.2)
    assert group.fleet.plan.max_open > max_open_before and group.fleet.epoch == epoch


def test_planner_reports_a_silent_node_as_lost(group):
    open_nodes(group, "abc")
    planner = RolloutPlanner(group.token)
    group.run_step(planner, 0)
    for name in "ab":
        group.report(name)
    group.run_step(planner, REPORT_TIMEOUT_US - 1)
    for name in "ab":
        group.report(name)
    (lost,), _ = group.run_step(planner, REPORT_TIMEOUT_US)
    assert lost.node == "c" and group.fleet.nodes["c"].status == NodeStatus.GONE


def test_opening_order_alternates_zones_and_prefers_verified_and_fast_nodes(group):
    for name, zone, verified, speed in (
        ("a", "x", True, 1.0),
        ("b", "x", True, 2.0),
        ("c", "x", False, 9.0),
        ("d", "y", True, 1.0),
        ("e", "y", True, 1.0),
    ):
        group.report(name, zone=zone, records_verified=verified, speed=speed)
    group.report("f", ready=False)
    assert opening_order(group.fleet.nodes) == ["b", "d", "a", "e", "c"]
