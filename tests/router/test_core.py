"""A router's decisions: drawn lives under a judge that finds planted mistakes, and each rule by itself."""

import random
from collections import Counter

import pytest
from router_life import GUARD, LOOK, NODES, SAVE, SECOND, World

from lichencleat.admission.types import CapacitySignal, Effect, RequestClass
from lichencleat.failover.locality_routing import PLAN_STALE_AFTER_US
from lichencleat.failover.messages import RoutingPlan, Zone, ZoneRole
from lichencleat.router.core import IN_HAND_MOST, REPEAT_SPAN, TRIES_MOST, Router
from lichencleat.router.keys import SLACK, Keys
from lichencleat.router.nodes import UNREACHED
from lichencleat.router.terms import Act, Came, Carried
from lichencleat.testkit.explore_router import Forgets, SaysThatNothingRan, TrustsFurtherTries

NOW = 1_000 * SECOND


def test_drawn_lives_break_no_rule():
    counts = Counter()
    for seed in range(120):
        world = World(seed).play()
        assert world.wrong is None, f"seed {seed}: {world.wrong}"
        counts += world.counts
    assert all(counts[act] > 100 for act in Act), counts


class RepeatsWhatMayHaveRun(Router):
    def may_try_again(self, now, request, came, last):
        return request.tries < TRIES_MOST and request.due - GUARD > now


class Late(Router):
    def arrives(self, now, request):
        request.due += 4 * GUARD
        super().arrives(now, request)


class KeepsOnSending(Router):
    def must_leave(self, now, at):
        super().must_leave(now, at)
        self.no_send_after = None


class TakesAnyOrder(Router):
    def apply_plan(self, now, plan):
        self.locality.plan = plan
        return True


class LetsGo(Router):
    """Of requests whose caller has left, without a word to the node."""

    def caller_left(self, now, request):
        pass


@pytest.mark.parametrize(
    ("mistake", "found"),
    [
        (RepeatsWhatMayHaveRun, "though it may have run"),
        (Forgets, "and may have run on"),
        (TrustsFurtherTries, "a further try of an unknown key"),
        (Late, "after it was due"),
        (SaysThatNothingRan, "deferred though it may have run"),
        (KeepsOnSending, "sent after the grace"),
        (TakesAnyOrder, "an older order"),
        (LetsGo, "caller has left"),
    ],
)
def test_the_judge_finds_planted_mistakes(mistake, found):
    wrongs = [World(seed, mistake).play().wrong for seed in range(40)]
    assert any(wrong and found in wrong for wrong in wrongs), Counter(
        wrong and wrong[20:60] for wrong in wrongs
    )


# -- one by one --------------------------------------------------------------------------------------------


@pytest.fixture
def router():
    return make()


def make(told=CapacitySignal.NONE, nodes=NODES, **more):
    zones = {"a": Zone("", 0.0, {"b": 20_000}), "b": Zone("", 0.0, {})}
    return Router("a", zones, nodes, told, random.Random(1), NOW, **more)


def carried(request_class=LOOK, arrived=NOW, **more):
    return Carried(
        request_class, b"%016x" % random.getrandbits(64), arrived, arrived + request_class.deadline, **more
    )


def pulled(router, now=NOW):
    found = []
    while (decision := router.next_decision(now)) is not None:
        if decision.act is not Act.WAKE:
            found.append(decision)
    return found


def one(router, request, now=NOW):
    router.arrives(now, request)
    (decision,) = pulled(router, now)
    return decision


def test_a_deferred_try_is_made_elsewhere_in_its_zone_under_a_name_of_its_own(router):
    request = carried()
    first = one(router, request)
    assert first.act is Act.SEND and first.first and first.node in NODES["a"]
    router.came(NOW, request, Came.DEFERRED, 50_000)
    (second,) = pulled(router)
    assert second.act is Act.SEND and not second.first and second.node in set(NODES["a"]) - {first.node}


def test_what_a_node_wishes_to_be_tried_nowhere_else_is_not(router):
    request = carried()
    one(router, request)
    router.came(NOW, request, Came.DEFERRED, 70_000, last=True)
    (decision,) = pulled(router)
    assert (decision.act, decision.span, decision.last) == (Act.DEFER, 70_000, True)


def test_repeats_end_with_the_budget(router):
    sent = 0
    for _ in range(200):
        request = carried()
        decision = one(router, request)
        while decision.act is Act.SEND:
            sent += 1
            router.came(NOW, request, Came.UNSENT)
            (decision,) = pulled(router)
            for known in (router.nodes.known(name) for name in NODES["a"]):
                known.away_until = 0
        assert decision.act is Act.DEFER
    assert 200 < sent <= 200 * 1.1 + 2


def test_a_receipted_request_goes_to_the_node_of_its_key_and_nowhere_else(router):
    first, again = carried(SAVE, key=b"k"), carried(SAVE, key=b"k", further_try=True)
    node = one(router, first).node
    assert one(router, again).node == node
    router.came(NOW, again, Came.DEFERRED)
    (decision,) = pulled(router)
    assert decision.act is Act.DEFER  # not elsewhere: the first may run there
    router.came(NOW, first, Came.LOST)
    (decision,) = pulled(router)
    assert decision.act is Act.GIVE_UP
    for _ in range(9):
        assert one(router, carried(SAVE, key=b"k", further_try=True)).node == node


def test_a_key_that_never_ran_is_free_again(router):
    first = carried(SAVE, key=b"k")
    node = one(router, first).node
    router.came(NOW, first, Came.UNSENT)
    (decision,) = pulled(router)
    assert decision.act is Act.SEND and decision.node != node


def test_a_bound_key_whose_node_is_gone_is_not_run_elsewhere(router):
    first = carried(SAVE, key=b"k")
    node = one(router, first).node
    router.came(NOW, first, Came.HONOURED)
    pulled(router)
    router.nodes.members({zone: [each for each in names if each != node] for zone, names in NODES.items()})
    again = carried(SAVE, key=b"k", further_try=True)
    assert one(router, again).node == node  # where the host has no address
    router.came(NOW, again, Came.UNSENT)
    (decision,) = pulled(router)
    assert decision.act is Act.DEFER


def test_a_further_try_of_an_unknown_key_is_deferred_and_a_first_one_is_not(router):
    decision = one(router, carried(SAVE, key=b"k", further_try=True))
    assert decision.act is Act.DEFER and decision.span == REPEAT_SPAN and not decision.last
    assert one(router, carried(SAVE, key=b"k")).act is Act.SEND


def test_keys_are_bound_for_their_window_and_bounded():
    keys = Keys(most=3)
    keys.sent(NOW, b"a", "n1", NOW + SECOND)
    keys.over(b"a", True)
    assert keys.get(NOW + SECOND, b"a").node == "n1"
    keys.sent(NOW, b"b", "n1", NOW)
    keys.sent(NOW, b"c", "n1", NOW)
    assert not keys.room(NOW)
    keys.over(b"b", False)
    assert keys.get(NOW, b"b").node == ""
    later = NOW + SECOND + SLACK + 1
    assert keys.room(later) and set(keys.known) == {b"c"}  # one is under way still
    keys.over(b"c", True)
    assert keys.get(later, b"c") is None
    with pytest.raises(AssertionError):
        keys.sent(later, b"d", "n1", later)
        keys.sent(later, b"d", "n2", later)


def test_a_full_table_of_keys_defers_receipted_requests_alone(router):
    router.keys.most = 0
    assert one(router, carried(SAVE, key=b"k")).act is Act.DEFER
    assert one(router, carried()).act is Act.SEND


def test_a_request_is_given_up_before_it_is_due_and_its_node_is_told(router):
    request = carried()
    node = one(router, request).node
    assert not pulled(router, request.due - GUARD - 1)
    quits, answer = pulled(router, request.due - GUARD)
    assert (quits.act, quits.node, answer.act) == (Act.QUIT, node, Act.GIVE_UP)
    assert router.evidence(request.due)[1]["a"].lost == 1


def test_a_pure_try_at_a_silent_node_is_made_elsewhere_and_a_receipted_one_never(router):
    for _ in range(20):
        request = carried()
        one(router, request)
        router.came(NOW + 40_000, request, Came.HONOURED)
        pulled(router)
    pure, receipted = carried(), carried(SAVE, key=b"k")
    silent = one(router, pure).node
    one(router, receipted)
    quits, again = pulled(router, NOW + SECOND // 2)
    assert quits.act is Act.QUIT and again.act is Act.SEND and again.node != silent
    assert quits.request is again.request is pure


def test_what_nodes_told_counts():
    router = make(CapacitySignal.PRIORITY_THRESHOLD)
    for name in NODES["a"]:
        router.says(name, 0.5)
    router.says("a1", 0.2)
    assert {one(router, carried(place=0.3)).node for _ in range(9)} == {"a1"}
    assert one(router, carried(place=0.1)).act is Act.DEFER
    assert router.value(NOW, 5) == 0.5
    router = make(CapacitySignal.WINDOW)
    assert router.value(NOW, 5) is None
    for name in NODES["a"]:
        router.says(name, 2.0)
    assert [one(router, carried()).act for _ in range(7)] == [Act.SEND] * 6 + [Act.DEFER]
    assert router.value(NOW, 3) == 2.0 and router.value(NOW, 100) == 1.0
    router = make(CapacitySignal.PROBABILITY)
    for name in NODES["a"]:
        router.says(name, 0.0)
    assert one(router, carried()).act is Act.DEFER and router.value(NOW, 1) == 0.0


def test_a_zone_that_turns_much_away_spills_to_one_with_room_and_by_order_alone(router):
    def turn_away(count):
        for _ in range(count):
            request = carried(arrived=router.step_at)
            if one(router, request, router.step_at - 1).act is Act.SEND:
                router.came(router.step_at - 1, request, Came.DEFERRED, last=True)
                pulled(router, router.step_at - 1)
            for known in (router.nodes.known(name) for name in NODES["a"]):
                known.away_until = 0
        pulled(router, router.step_at)

    for _ in range(12):
        turn_away(20)
    assert router.locality.spill > 0.5  # it would, and nobody said that there is room
    now = router.step_at
    assert {one(router, carried(arrived=now), now).node[:1] for _ in range(30)} <= {"a", ""}
    assert router.apply_plan(now, RoutingPlan(1, 1, {}, {"b": 1_000.0}))
    zones = Counter(one(router, carried(arrived=now), now).node[:1] for _ in range(60))
    assert zones["b"] > 20
    assert not router.apply_plan(now, RoutingPlan(0, 1, {}, {}))
    drained = RoutingPlan(2, 2, {"a": ZoneRole.FENCED}, {"b": 1_000.0})
    assert router.apply_plan(now, drained)
    assert {one(router, carried(arrived=now), now).node[:1] for _ in range(30)} == {"b"}
    room = router.locality.spillover_left["b"]
    router.locality.refill_spillover(now + PLAN_STALE_AFTER_US + 1)
    assert router.locality.spillover_left["b"] < room  # no word for long: it only grows more careful


def test_more_than_are_held_are_deferred_at_once(router):
    for _ in range(IN_HAND_MOST):
        router.arrives(NOW, carried())
    pulled(router)
    assert one(router, carried()).act is Act.DEFER


def test_after_the_grace_nothing_is_sent_and_all_is_answered_before_the_stop():
    router = make(grace=100_000)
    early = carried()
    one(router, early)
    router.must_leave(NOW, NOW + SECOND)
    assert one(router, carried(), NOW + 100_000).act is Act.SEND
    assert one(router, carried(), NOW + 100_001).act is Act.DEFER
    assert [each.act for each in pulled(router, NOW + SECOND - 300_000)].count(Act.GIVE_UP) == 2


def test_one_that_nobody_can_tell_a_repeat_of_is_never_sent_again_once_it_may_have_run(router):
    burn = RequestClass("burn", Effect.NON_IDEMPOTENT, latency_objective=SECOND, deadline=4 * SECOND)
    request = carried(burn)
    one(router, request)
    router.came(NOW, request, Came.LOST)
    assert [each.act for each in pulled(router)] == [Act.GIVE_UP]
    request = carried(burn)
    one(router, request)
    router.came(NOW, request, Came.UNSENT)
    assert [each.act for each in pulled(router)] == [Act.SEND]


def test_a_broken_connection_keeps_a_router_away_for_a_moment_and_a_caller_that_leaves_does_not(router):
    for _ in range(20):
        request = carried()
        node = one(router, request).node
        router.caller_left(NOW, request)
        pulled(router)
        assert router.nodes.fit(NOW, "a", 0.5) == NODES["a"]
    request = carried()
    node = one(router, request).node
    router.came(NOW, request, Came.LOST)
    pulled(router)
    assert node not in router.nodes.fit(NOW, "a", 0.5) and node in router.nodes.fit(NOW + UNREACHED, "a", 0.5)
