"""The replicated state of quotas, driven by direct calls."""

import msgspec
import pytest
from quotas.quota_state_driver import TERM

from lichencleat.quotas.messages import (
    Allocate,
    CommandReply,
    DefinePool,
    DropPool,
    ForgetNode,
    GrantExpired,
    QuotaReply,
)
from lichencleat.quotas.quota_state import QuotaState, reserved_calls


def test_node_gets_its_floor_then_its_target_within_the_limit(quotas):
    assert quotas.ask("a", 1) == QuotaReply(1, 0)
    assert quotas(Allocate("p", quotas.token, {"a": 9})) == CommandReply(True)
    assert quotas.ask("a", 2).amount == 7  # three floors are reserved for the other nodes
    assert reserved_calls(quotas.pool) == 10
    assert quotas.ask("b", 1).amount == 1 and reserved_calls(quotas.pool) == 10


def test_reservation_shrinks_only_once_the_node_reports_fewer_calls(quotas):
    quotas.ask("a", 1), quotas.ask("b", 1)
    quotas(Allocate("p", quotas.token, {"a": 7}))
    quotas.ask("a", 2)
    quotas(Allocate("p", quotas.token, {"a": 2, "b": 6}))
    assert quotas.ask("b", 2).amount == 1
    assert quotas.ask("a", 3, in_use=7) == QuotaReply(2, quotas.token)
    assert quotas.ask("b", 3).amount == 1  # a's new limit is sent, but not reported as applied
    assert quotas.ask("a", 4, in_use=4).amount == 2  # two calls above the target are still in flight
    assert quotas.ask("b", 4).amount == 4
    quotas.ask("a", 5, in_use=2)
    assert quotas.ask("b", 5).amount == 6


def test_commands_under_an_old_token_change_nothing(quotas):
    quotas.ask("a", 1)
    old = quotas.token
    quotas.change_holder("d2", 2)
    assert quotas.token > old
    assert quotas(Allocate("p", old, {"a": 5})) == CommandReply(False, "an older owner's")
    renewed = quotas.pool.node_quotas["a"].renewal_index
    assert not quotas(GrantExpired("p", old, "a", renewed)).accepted
    assert quotas(GrantExpired("p", quotas.token, "a", renewed)).accepted


def test_late_request_and_expiry_of_an_older_renewal_change_nothing(quotas):
    quotas.ask("a", 1)
    renewed = quotas.pool.node_quotas["a"].renewal_index
    quotas(Allocate("p", quotas.token, {"a": 6}))
    assert quotas.ask("a", 3).amount == 6
    assert quotas.ask("a", 2, in_use=1).rejection
    assert not quotas(GrantExpired("p", quotas.token, "a", renewed)).accepted
    assert quotas.pool.node_quotas["a"].reserved == 6


def test_new_incarnation_waits_until_the_grant_of_the_old_one_has_expired(quotas):
    quotas.ask("a", 1)
    quotas(Allocate("p", quotas.token, {"a": 7}))
    quotas.ask("a", 2)
    old = quotas.pool.node_quotas["a"].renewal_index
    assert quotas.ask("a", 1, incarnation=2).amount == 0 and reserved_calls(quotas.pool) == 10
    assert quotas(GrantExpired("p", quotas.token, "a", old)).accepted
    assert quotas.pool.node_quotas["a"].reserved == 1 and reserved_calls(quotas.pool) == 4
    assert quotas.ask("a", 2, incarnation=2).amount == 1


@pytest.mark.parametrize(
    ("command", "reason"),
    [
        (DefinePool("p", 3, 1, 4, TERM), "over the limit"),
        (DefinePool("q", 3, 1, 2, 1), "a term"),
        (DefinePool("q", 0, 0, 2, TERM), "out of range"),
        (DropPool("q"), "no such pool"),
        (DropPool("p"), "seats in it"),
        (DefinePool("p", 10, 2, 4, TERM), "floor and term stay"),
        (ForgetNode("p", "z"), "no such node"),
    ],
)
def test_invalid_command_is_rejected_with_its_reason(quotas, command, reason):
    quotas.ask("a", 1)
    reply = quotas(command)
    assert not reply.accepted and reason in reply.reason
    assert quotas.ask("b", 1, floor=3).rejection
    assert quotas.state.apply(99, msgspec.Raw(b"\xc0")) == CommandReply(False, "no command")


def test_nodes_are_bounded_and_a_forgotten_one_makes_room(quotas):
    for name in "abcd":
        assert quotas.ask(name, 1).amount == 1
    assert "seats are taken" in quotas.ask("e", 1).rejection
    assert quotas(ForgetNode("p", "b")).accepted and quotas.ask("e", 2).amount == 1
    loaded = QuotaState(quotas.leases)
    loaded.load(msgspec.Raw(msgspec.msgpack.encode(quotas.state.dump())))
    assert loaded.pools == quotas.state.pools
