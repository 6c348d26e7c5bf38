"""Replicated state of the recovery: nodes, fencing, clocks, operator commands."""

import msgspec
from msgspec.structs import astuple

from lichencleat.quotas.messages import SetAllocatableShare
from lichencleat.recovery.messages import (
    ForgetNode,
    NewEpoch,
    NodeLeaving,
    NodeLost,
    NodeStatus,
    PauseRollout,
    RolloutBatch,
    RolloutPlan,
    SkipNode,
)
from lichencleat.recovery.state import FleetState

SECOND = 1_000_000
HOUR = 3_600 * SECOND


def test_state_keeps_a_new_incarnation_shut_until_it_is_opened(group):
    assert group.report("a").share == 0.0
    assert group(RolloutBatch(group.token, {"a": 1.0}, None)).accepted
    assert group.report("a").share == 1.0
    assert group.report("a", incarnation=2).share == 0.0 and group.fleet.nodes["a"].status == NodeStatus.SHUT


def test_state_rejects_commands_with_an_old_fencing_token(group):
    group.report("a")
    old = group.token
    group.change_leader("o2", 2)
    rejection = (False, "an older owner's")
    last_report_before = group.fleet.nodes["a"].last_report
    for command in (
        RolloutBatch(old, {"a": 1.0}, None),
        NewEpoch(old, 1),
        NodeLost(old, "a", last_report_before),
        SetAllocatableShare(old, 0.5),
    ):
        reply = group(command)
        assert astuple(reply) == rejection
    assert group(NewEpoch(group.token, 1)).accepted and group.fleet.epoch == 2
    assert not group(NewEpoch(group.token, 1)).accepted  # the epoch has begun already


def test_state_marks_a_node_gone_only_by_its_last_report(group):
    group.report("a")
    last_report_before = group.fleet.nodes["a"].last_report
    group(RolloutBatch(group.token, {"a": 1.0}, None))
    group.report("a")
    assert not group(NodeLost(group.token, "a", last_report_before)).accepted
    assert group(NodeLost(group.token, "a", group.fleet.nodes["a"].last_report)).accepted
    assert group.fleet.nodes["a"].status == NodeStatus.GONE and group.report("a").share == 0.0
    assert group(NodeLeaving("a", 1)).accepted and "a" not in group.fleet.nodes


def test_state_reports_the_offset_of_a_wrong_clock(group):
    for name in ("a", "b"):
        assert group.report(name, unix=HOUR).clock_offset == 0
    assert group.report("c", unix=0).clock_offset == -HOUR
    assert group.report("d", unix=HOUR + SECOND).clock_offset == 0
    assert group.report("c", unix=HOUR).clock_offset == 0


def test_state_applies_operator_commands(group):
    group.report("a"), group.report("b")
    assert not group(PauseRollout(True)).accepted
    group(NewEpoch(group.token, 1, "power"))
    assert group(PauseRollout(True)).accepted and "holds" in group.report("a").reason
    assert not group(RolloutBatch(group.token, {"a": 1.0}, RolloutPlan(2.0))).accepted
    assert group(SkipNode("a")).accepted and group.report("a").share == 1.0
    assert (
        group(PauseRollout(False)).accepted
        and group(RolloutBatch(group.token, {"b": 0.5}, RolloutPlan(2.0))).accepted
    )
    assert group(ForgetNode("b")).accepted and not group(SkipNode("b")).accepted
    restored = FleetState(group.jobs)
    restored.load(msgspec.Raw(msgspec.msgpack.encode(group.fleet.dump())))
    assert restored.nodes == group.fleet.nodes and restored.plan == group.fleet.plan
