"""Replicated state of the failover: plans, fencing, overrides."""

import msgspec

from lichencleat.failover.messages import (
    ClearOverride,
    CommandReply,
    DefineZone,
    DropZone,
    OperatorOverride,
    PublishPlan,
    RoutingPlan,
    UpdateCapacity,
    ZoneRole,
)
from lichencleat.failover.state import FailoverState


def test_state_versions_a_plan_and_returns_it_to_reporting_routers(group):
    assert group.report("x.0", "x").version == 0
    new_plan = RoutingPlan(0, 0, {"x": ZoneRole.STANDBY}, {"y": 50.0})
    assert group(PublishPlan(group.token, 0, new_plan)) == CommandReply(True)
    reply = group.report("x.0", "x")
    assert (reply.version, reply.fencing_token, reply.role("x"), reply.role("y")) == (1, group.token, 3, 1)
    assert not group(PublishPlan(group.token, 0, new_plan)).accepted  # another plan was published since
    assert group.state.read("history") == [RoutingPlan()]
    restored = FailoverState(group.jobs)
    restored.load(msgspec.Raw(msgspec.msgpack.encode(group.state.dump())))
    assert restored.plan == group.state.plan and restored.routers == group.state.routers


def test_state_rejects_old_fencing_tokens_and_plans_over_capacity(group):
    old = group.token
    group.change_leader("o2", 2)
    for command in (PublishPlan(old, 0, RoutingPlan()), UpdateCapacity(old, "x", 5.0)):
        assert group(command) == CommandReply(False, "an older owner's")
    assert (
        "not known to carry" in group(PublishPlan(group.token, 0, RoutingPlan(spillover={"y": 101.0}))).reason
    )
    assert (
        "not known to carry" in group(PublishPlan(group.token, 0, RoutingPlan(spillover={"z": 1.0}))).reason
    )


def test_state_keeps_fences_and_validates_operator_commands(group):
    assert group(OperatorOverride("x", ZoneRole.FENCED)).accepted
    assert "fenced" in group(PublishPlan(group.token, 0, RoutingPlan())).reason
    assert group(PublishPlan(group.token, 0, RoutingPlan(roles={"x": ZoneRole.FENCED}))).accepted
    assert (
        not group(OperatorOverride("z", ZoneRole.DRAINING)).accepted
        and not group(ClearOverride("y")).accepted
    )
    assert not group(ClearOverride("x", index=1)).accepted and group(ClearOverride("x")).accepted
    assert not group(DefineZone("z", "r", 0.0)).accepted and group(DropZone("y")).accepted
    assert group.state.apply(99, msgspec.Raw(b"\xc0")) == CommandReply(False, "no command")
