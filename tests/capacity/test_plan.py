"""The plan: what stays within its budget, what breaks at which size and in which order; bounds of the code;
machines.
"""

from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from test_slopes import line, slopes

from lichencleat.capacity import bounds, needs
from lichencleat.capacity.machines import PUBLISHER, REGION, VOTER, ZONE, assign_processes, coverage_after
from lichencleat.capacity.plan import (
    largest_within,
    make_limit,
    make_plan,
    make_row,
    metric_value,
    order_failures,
)
from lichencleat.capacity.target import Target, Tree, read_target
from lichencleat.consensus import configuration as group
from lichencleat.membership import member_table

ROOT = Path(__file__).resolve().parents[2]
FIXED = settings(derandomize=True, deadline=None, max_examples=60)
TARGET = read_target(str(ROOT / "deploy" / "target.yaml"))
METRICS = {each.figure: each for each in (*needs.BASELINE_METRICS, *needs.DISTRIBUTION_METRICS)}


def named(name, *pairs):
    return msgspec.structs.replace(line(*pairs), name=name)


def test_the_target_file_has_the_numbers_of_the_fleet():
    assert (TARGET.nodes, TARGET.callers, TARGET.services) == (3_300, 130_000, 7_700)
    assert (TARGET.requests_per_s, TARGET.records, TARGET.added_p99_ms) == (2_200_000, 560_000, 3.4)
    assert (TARGET.regions, TARGET.zones, TARGET.zone_nodes) == (6, 17, 195)
    assert (TARGET.changes_per_day, TARGET.in_force_s, TARGET.machines) == (47_000, 5, 25)
    control = TARGET.control
    assert (control.core_share, control.memory_mb, control.bytes_per_s) == (0.014, 64, 4_096)
    assert (TARGET.failures_per_day, TARGET.restarts_per_day, TARGET.rack) == (160, 20_000, 40)


def test_a_row_is_compared_with_its_budget_and_states_its_extrapolation():
    metric = METRICS["each node a member: processor time"]
    found = make_row(
        metric, named("member.core", (100, 0.0001), (200, 0.0002), (400, 0.0004), (1_000, 0.001)), TARGET
    )
    assert found.value == pytest.approx(0.0033) and found.holds
    assert found.beyond == 3.3 and found.way == "line"
    assert found.breaks_at == pytest.approx(14_000, rel=1e-3)
    found = make_row(
        metric, named("member.core", (100, 0.001), (200, 0.002), (400, 0.004), (1_000, 0.01)), TARGET
    )
    assert not found.holds and found.breaks_at == pytest.approx(1_400, rel=1e-3)


def test_a_metric_that_was_not_measured_has_no_value():
    found = make_row(METRICS["each node a member: processor time"], None, TARGET)
    assert (found.value, found.holds, found.breaks_at) == (None, None, None)
    plan = make_plan(slopes(), TARGET)
    assert all(each.value is None for each in plan.rows)
    assert all(each.value is None for each in plan.control)


@FIXED
@given(
    st.sampled_from([each for each in METRICS.values() if each.budget is not None]),
    st.floats(0.0, 2.0),
    st.floats(1e-6, 5.0),
    st.floats(0.5, 2.5),
)
def test_the_breaking_size_is_the_largest_within_the_budget(metric, base, slope, exponent):
    some = named(metric.line, *((size, base + slope * size**exponent) for size in (1, 10, 100, 1_000)))
    budget = metric.budget.limit(TARGET)
    size = largest_within(metric, some, TARGET, budget)
    if size is None:
        assert metric_value(metric, some, TARGET, 1e12) <= budget
        return
    assert size == 0 or metric_value(metric, some, TARGET, size) <= budget * (1 + 1e-9)
    assert metric_value(metric, some, TARGET, size * 1.001 + 0.05) > budget


def test_bounds_equal_the_constants_that_they_name():
    by_name = {each.name: each.bound for each in bounds.BOUNDS}
    assert by_name["members.table.MEMBERS_MOST"] == member_table.MAX_MEMBERS
    assert by_name["quorum.group.MEMBERS_MOST"] == group.MAX_MEMBERS
    for each in bounds.BOUNDS:
        if each.bound is not None:
            module, _, constant = bounds.CURRENT_NAMES[each.name].rpartition(".")
            found = __import__(f"lichencleat.{module}", fromlist=[constant])
            assert getattr(found, constant) == each.bound
    assert {each.name for each in bounds.BOUNDS if each.bound is not None} == bounds.CURRENT_NAMES.keys()


def test_failures_are_ordered_by_share_of_the_target():
    rows = [
        make_row(
            METRICS["each node a member: processor time"],
            named("member.core", (1, 0.001), (2, 0.002)),
            TARGET,
        ),
        make_row(METRICS["each node a member: memory"], named("member.table_mb", (1, 0.1), (2, 0.2)), TARGET),
        make_row(
            METRICS["each node a member: bytes, sent and taken"],
            named("member.bytes_s", (1, 0.1), (2, 0.2)),
            TARGET,
        ),
    ]
    limits = [make_limit(each, TARGET) for each in bounds.BOUNDS]
    found = order_failures(rows, limits)
    assert [each.share for each in found] == sorted(each.share for each in found)
    assert found[0].what == "each node a member: processor time" and found[0].at == pytest.approx(14, abs=0.1)
    assert "each node a member: bytes, sent and taken" not in [each.what for each in found]
    assert {each.what for each in limits if not each.holds} <= {each.what for each in found}


def test_the_control_of_a_node_is_the_sum_of_its_parts():
    some = [
        named("subscriber.core", (0.1, 0.0003), (1, 0.0006)),
        named("table.change_us", (1_000, 100), (560_000, 200)),
        named("table.kept_ms", (1_000, 0.4), (560_000, 0.5)),
        named("table.rebuild_s", (1_000, 0.01), (560_000, 4.0)),
    ]
    plan = make_plan(slopes(*some), TARGET)
    parts = [each.value for each in plan.rows if each.control == "core"]
    whole = next(each for each in plan.control if each.kind == "core")
    assert len(parts) == 4 and whole.value == pytest.approx(sum(parts))
    assert parts[1] == pytest.approx(200e-6 * 47_000 / 86_400)
    assert parts[3] == pytest.approx(4.0 * 20_000 / 86_400 / 3_300)
    plan = make_plan(slopes(*some[:3]), TARGET)
    assert (
        next(each for each in plan.control if each.kind == "core").value is None
    )  # the fourth part was not measured


# -- machines ----------------------------------------------------------------------------------------------


def test_the_targets_machines_tolerate_the_loss_of_one_machine_and_one_zone():
    assignment = assign_processes(TARGET)
    assert assignment.short == 0
    assert (assignment.count(VOTER), assignment.count(PUBLISHER)) == (5, 2)
    assert (assignment.count(REGION), assignment.count(ZONE)) == (12, 34)
    regions = {each.region for each in assignment.machines if (VOTER, 0) in each.runs}
    assert len(regions) == 5  # the loss of a region loses one voter at most
    assert assignment.failed.majority and assignment.failed.uncovered == 0
    assert assignment.both.majority and assignment.both.voters == 3


targets = st.builds(
    lambda nodes, zones, regions, machines, voters, relays: Target(
        nodes=nodes + zones,
        callers=1,
        services=1,
        requests_per_s=1.0,
        routes=1,
        tenants=1,
        added_p99_ms=1.0,
        regions=min(regions, zones),
        zones=zones,
        changes_per_day=1.0,
        in_force_s=1.0,
        machines=machines,
        failures_per_day=0.0,
        restarts_per_day=1.0,
        tree=Tree(voters=voters, relays_a_zone=relays),
    ),
    st.integers(1, 5_000),
    st.integers(1, 20),
    st.integers(1, 8),
    st.integers(1, 40),
    st.sampled_from([1, 3, 5]),
    st.integers(1, 3),
)


@FIXED
@given(targets)
def test_every_process_is_placed_or_counted_as_short(target):
    assignment = assign_processes(target)
    tree = target.tree
    wanted = tree.voters + tree.publishers + target.regions * tree.relays_a_region
    wanted += target.zones * tree.relays_a_zone
    assert sum(len(each.runs) for each in assignment.machines) + assignment.short == wanted
    for each in assignment.machines:
        assert len(set(each.runs)) == len(each.runs)  # no process is twice on one machine
    assert assignment.whole.voters >= assignment.failed.voters >= assignment.both.voters
    assert (
        assignment.whole.uncovered <= assignment.failed.uncovered
    )  # `both` is not compared: it does not count the lost zone


def test_a_zone_with_a_single_relay_is_uncovered_after_its_loss():
    assignment = assign_processes(TARGET)
    first = next(each for each in assignment.machines if (ZONE, 3) in each.runs)
    for each in assignment.machines:
        if (ZONE, 3) in each.runs and each is not first:
            each.runs.remove((ZONE, 3))
    assert coverage_after(TARGET, assignment.machines, None, None).uncovered == 0
    assert coverage_after(TARGET, assignment.machines, first, None).uncovered == 1
    assert coverage_after(TARGET, assignment.machines, None, None).subscribers == TARGET.zone_nodes


def test_voters_in_one_zone_lose_their_majority_with_the_zone():
    assignment = assign_processes(TARGET)
    for each in assignment.machines:
        each.runs = [run for run in each.runs if run[0] != VOTER]
    for each in [each for each in assignment.machines if each.zone in (0, 1)][:3]:
        each.runs.append((VOTER, 0))
    assert not coverage_after(TARGET, assignment.machines, None, 0).majority
