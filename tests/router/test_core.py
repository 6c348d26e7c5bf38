"""Decisions of a router: random simulations with a checker that finds injected bugs, and each rule alone."""

import random
from collections import Counter

import pytest
from router_life import ANSWER_MARGIN_US, LOOK, NODES, SAVE, SECOND, World

from lichencleat.admission.types import CapacitySignal, Effect, RequestClass
from lichencleat.failover.locality_routing import PLAN_STALE_AFTER_US
from lichencleat.failover.messages import RoutingPlan, Zone, ZoneRole
from lichencleat.router.core import MAX_ATTEMPTS, MAX_IN_FLIGHT, UNKNOWN_KEY_RETRY_AFTER_US, Router
from lichencleat.router.keys import WINDOW_SLACK_US, KeyBindings
from lichencleat.router.nodes import CONNECTION_BACKOFF_US
from lichencleat.router.terms import Action, AttemptOutcome, RoutedRequest
from lichencleat.testkit.explore_router import Forgets, SaysThatNothingRan, TrustsFurtherTries

NOW = 1_000 * SECOND


def test_random_simulations_violate_no_invariant():
    counts = Counter()
    for seed in range(120):
        world = World(seed).play()
        assert world.violation is None, f"seed {seed}: {world.violation}"
        counts += world.counts
    assert all(counts[act] > 100 for act in Action), counts


class RetriesRequestsThatMayHaveRun(Router):
    def acquire_retry(self, now, request, outcome, no_retry):
        return request.attempts < MAX_ATTEMPTS and request.due - ANSWER_MARGIN_US > now


class AnswersLate(Router):
    def on_request(self, now, request):
        request.due += 4 * ANSWER_MARGIN_US
        super().on_request(now, request)


class SendsAfterGrace(Router):
    def start_draining(self, now, stop_at):
        super().start_draining(now, stop_at)
        self.no_send_after = None


class AppliesAnyPlan(Router):
    def apply_plan(self, now, plan):
        self.locality.plan = plan
        return True


class IgnoresCallersThatLeave(Router):
    """Neither finishes a request whose caller has left nor cancels its attempt."""

    def on_caller_left(self, now, request):
        pass


@pytest.mark.parametrize(
    ("bug", "expected"),
    [
        (RetriesRequestsThatMayHaveRun, "though it may have run"),
        (Forgets, "and may have run on"),
        (TrustsFurtherTries, "a retry with an unknown key"),
        (AnswersLate, "after it was due"),
        (SaysThatNothingRan, "rejected though it may have run"),
        (SendsAfterGrace, "sent after the drain grace"),
        (AppliesAnyPlan, "an older routing plan"),
        (IgnoresCallersThatLeave, "caller has left"),
    ],
)
def test_checker_finds_injected_bugs(bug, expected):
    violations = [World(seed, bug).play().violation for seed in range(40)]
    assert any(violation and expected in violation for violation in violations), Counter(
        violation and violation[20:60] for violation in violations
    )


# -- single rules ------------------------------------------------------------------------------------------


@pytest.fixture
def router():
    return make_router()


def make_router(capacity_signal=CapacitySignal.NONE, nodes=NODES, **options):
    zones = {"a": Zone("", 0.0, {"b": 20_000}), "b": Zone("", 0.0, {})}
    return Router("a", zones, nodes, capacity_signal, random.Random(1), NOW, **options)


def make_request(request_class=LOOK, arrived=NOW, **fields):
    return RoutedRequest(
        request_class, b"%016x" % random.getrandbits(64), arrived, arrived + request_class.deadline, **fields
    )


def pull_decisions(router, now=NOW):
    decisions = []
    while (decision := router.next_decision(now)) is not None:
        if decision.action is not Action.WAKE:
            decisions.append(decision)
    return decisions


def decide_one(router, request, now=NOW):
    router.on_request(now, request)
    (decision,) = pull_decisions(router, now)
    return decision


def test_rejected_attempt_is_retried_on_another_node_of_the_zone_with_a_new_request_id(router):
    request = make_request()
    first = decide_one(router, request)
    assert first.action is Action.SEND and first.is_first_attempt and first.node in NODES["a"]
    router.on_attempt_finished(NOW, request, AttemptOutcome.DEFERRED, 50_000)
    (second,) = pull_decisions(router)
    assert (
        second.action is Action.SEND
        and not second.is_first_attempt
        and second.node in set(NODES["a"]) - {first.node}
    )


def test_request_is_not_retried_where_the_node_asks_for_no_retry(router):
    request = make_request()
    decide_one(router, request)
    router.on_attempt_finished(NOW, request, AttemptOutcome.DEFERRED, 70_000, no_retry=True)
    (decision,) = pull_decisions(router)
    assert (decision.action, decision.delay_us, decision.no_retry) == (Action.REJECT, 70_000, True)


def test_retries_are_limited_by_the_budget(router):
    sent = 0
    for _ in range(200):
        request = make_request()
        decision = decide_one(router, request)
        while decision.action is Action.SEND:
            sent += 1
            router.on_attempt_finished(NOW, request, AttemptOutcome.UNSENT)
            (decision,) = pull_decisions(router)
            for state in (router.nodes.state_of(name) for name in NODES["a"]):
                state.backoff_until = 0
        assert decision.action is Action.REJECT
    assert 200 < sent <= 200 * 1.1 + 2


def test_keyed_request_goes_only_to_the_node_of_its_key(router):
    first, again = make_request(SAVE, key=b"k"), make_request(SAVE, key=b"k", is_retry=True)
    node = decide_one(router, first).node
    assert decide_one(router, again).node == node
    router.on_attempt_finished(NOW, again, AttemptOutcome.DEFERRED)
    (decision,) = pull_decisions(router)
    assert decision.action is Action.REJECT  # not sent elsewhere: the first attempt may run on the node
    router.on_attempt_finished(NOW, first, AttemptOutcome.LOST)
    (decision,) = pull_decisions(router)
    assert decision.action is Action.FAIL
    for _ in range(9):
        assert decide_one(router, make_request(SAVE, key=b"k", is_retry=True)).node == node


def test_key_whose_attempts_did_not_run_is_free_again(router):
    first = make_request(SAVE, key=b"k")
    node = decide_one(router, first).node
    router.on_attempt_finished(NOW, first, AttemptOutcome.UNSENT)
    (decision,) = pull_decisions(router)
    assert decision.action is Action.SEND and decision.node != node


def test_bound_key_of_a_removed_node_is_not_sent_elsewhere(router):
    first = make_request(SAVE, key=b"k")
    node = decide_one(router, first).node
    router.on_attempt_finished(NOW, first, AttemptOutcome.SERVED)
    pull_decisions(router)
    router.nodes.set_members(
        {zone: [each for each in names if each != node] for zone, names in NODES.items()}
    )
    again = make_request(SAVE, key=b"k", is_retry=True)
    assert decide_one(router, again).node == node  # the host has no address for it
    router.on_attempt_finished(NOW, again, AttemptOutcome.UNSENT)
    (decision,) = pull_decisions(router)
    assert decision.action is Action.REJECT


def test_retry_with_an_unknown_key_is_rejected_and_a_first_attempt_is_sent(router):
    decision = decide_one(router, make_request(SAVE, key=b"k", is_retry=True))
    assert (
        decision.action is Action.REJECT
        and decision.delay_us == UNKNOWN_KEY_RETRY_AFTER_US
        and not decision.no_retry
    )
    assert decide_one(router, make_request(SAVE, key=b"k")).action is Action.SEND


def test_keys_are_bound_for_their_window_and_limited_in_number():
    keys = KeyBindings(max_keys=3)
    keys.on_sent(NOW, b"a", "n1", NOW + SECOND)
    keys.on_finished(b"a", True)
    assert keys.get(NOW + SECOND, b"a").node == "n1"
    keys.on_sent(NOW, b"b", "n1", NOW)
    keys.on_sent(NOW, b"c", "n1", NOW)
    assert not keys.has_room(NOW)
    keys.on_finished(b"b", False)
    assert keys.get(NOW, b"b").node == ""
    later = NOW + SECOND + WINDOW_SLACK_US + 1
    assert keys.has_room(later) and set(keys.bindings) == {b"c"}  # its attempt is still open
    keys.on_finished(b"c", True)
    assert keys.get(later, b"c") is None
    with pytest.raises(AssertionError):
        keys.on_sent(later, b"d", "n1", later)
        keys.on_sent(later, b"d", "n2", later)


def test_full_key_table_rejects_only_keyed_requests(router):
    router.keys.max_keys = 0
    assert decide_one(router, make_request(SAVE, key=b"k")).action is Action.REJECT
    assert decide_one(router, make_request()).action is Action.SEND


def test_request_fails_before_it_is_due_and_its_attempt_is_cancelled(router):
    request = make_request()
    node = decide_one(router, request).node
    assert not pull_decisions(router, request.due - ANSWER_MARGIN_US - 1)
    cancel, answer = pull_decisions(router, request.due - ANSWER_MARGIN_US)
    assert (cancel.action, cancel.node, answer.action) == (Action.CANCEL, node, Action.FAIL)
    assert router.take_observations(request.due)[1]["a"].lost == 1


def test_attempt_at_a_silent_node_is_retried_elsewhere_if_idempotent_but_not_if_keyed(router):
    for _ in range(20):
        request = make_request()
        decide_one(router, request)
        router.on_attempt_finished(NOW + 40_000, request, AttemptOutcome.SERVED)
        pull_decisions(router)
    idempotent, keyed = make_request(), make_request(SAVE, key=b"k")
    silent = decide_one(router, idempotent).node
    decide_one(router, keyed)
    cancel, again = pull_decisions(router, NOW + SECOND // 2)
    assert cancel.action is Action.CANCEL and again.action is Action.SEND and again.node != silent
    assert cancel.request is again.request is idempotent


def test_advertised_capacity_decides_where_requests_go():
    router = make_router(CapacitySignal.PRIORITY_THRESHOLD)
    for name in NODES["a"]:
        router.on_capacity(name, 0.5)
    router.on_capacity("a1", 0.2)
    assert {decide_one(router, make_request(rank=0.3)).node for _ in range(9)} == {"a1"}
    assert decide_one(router, make_request(rank=0.1)).action is Action.REJECT
    assert router.advertised_capacity(NOW, 5) == 0.5
    router = make_router(CapacitySignal.WINDOW)
    assert router.advertised_capacity(NOW, 5) is None
    for name in NODES["a"]:
        router.on_capacity(name, 2.0)
    assert [decide_one(router, make_request()).action for _ in range(7)] == [Action.SEND] * 6 + [
        Action.REJECT
    ]
    assert router.advertised_capacity(NOW, 3) == 2.0 and router.advertised_capacity(NOW, 100) == 1.0
    router = make_router(CapacitySignal.PROBABILITY)
    for name in NODES["a"]:
        router.on_capacity(name, 0.0)
    assert (
        decide_one(router, make_request()).action is Action.REJECT
        and router.advertised_capacity(NOW, 1) == 0.0
    )


def test_overloaded_zone_spills_over_only_as_far_as_the_routing_plan_allows(router):
    def reject_requests(count):
        for _ in range(count):
            request = make_request(arrived=router.update_at)
            if decide_one(router, request, router.update_at - 1).action is Action.SEND:
                router.on_attempt_finished(
                    router.update_at - 1, request, AttemptOutcome.DEFERRED, no_retry=True
                )
                pull_decisions(router, router.update_at - 1)
            for state in (router.nodes.state_of(name) for name in NODES["a"]):
                state.backoff_until = 0
        pull_decisions(router, router.update_at)

    for _ in range(12):
        reject_requests(20)
    assert router.locality.spill > 0.5  # but no routing plan grants spillover
    now = router.update_at
    assert {decide_one(router, make_request(arrived=now), now).node[:1] for _ in range(30)} <= {"a", ""}
    assert router.apply_plan(now, RoutingPlan(1, 1, {}, {"b": 1_000.0}))
    zones = Counter(decide_one(router, make_request(arrived=now), now).node[:1] for _ in range(60))
    assert zones["b"] > 20
    assert not router.apply_plan(now, RoutingPlan(0, 1, {}, {}))
    drained = RoutingPlan(2, 2, {"a": ZoneRole.FENCED}, {"b": 1_000.0})
    assert router.apply_plan(now, drained)
    assert {decide_one(router, make_request(arrived=now), now).node[:1] for _ in range(30)} == {"b"}
    spillover = router.locality.spillover_left["b"]
    router.locality.refill_spillover(now + PLAN_STALE_AFTER_US + 1)
    assert router.locality.spillover_left["b"] < spillover  # with a stale plan it sends less elsewhere


def test_requests_above_the_limit_in_flight_are_rejected_at_once(router):
    for _ in range(MAX_IN_FLIGHT):
        router.on_request(NOW, make_request())
    pull_decisions(router)
    assert decide_one(router, make_request()).action is Action.REJECT


def test_after_the_drain_grace_nothing_is_sent_and_all_requests_are_answered_before_the_stop():
    router = make_router(grace=100_000)
    early = make_request()
    decide_one(router, early)
    router.start_draining(NOW, NOW + SECOND)
    assert decide_one(router, make_request(), NOW + 100_000).action is Action.SEND
    assert decide_one(router, make_request(), NOW + 100_001).action is Action.REJECT
    assert [each.action for each in pull_decisions(router, NOW + SECOND - 300_000)].count(Action.FAIL) == 2


def test_non_idempotent_request_that_may_have_run_is_not_retried(router):
    burn = RequestClass("burn", Effect.NON_IDEMPOTENT, latency_objective=SECOND, deadline=4 * SECOND)
    request = make_request(burn)
    decide_one(router, request)
    router.on_attempt_finished(NOW, request, AttemptOutcome.LOST)
    assert [each.action for each in pull_decisions(router)] == [Action.FAIL]
    request = make_request(burn)
    decide_one(router, request)
    router.on_attempt_finished(NOW, request, AttemptOutcome.UNSENT)
    assert [each.action for each in pull_decisions(router)] == [Action.SEND]


def test_broken_connection_causes_a_backoff_and_a_caller_that_leaves_does_not(router):
    for _ in range(20):
        request = make_request()
        node = decide_one(router, request).node
        router.on_caller_left(NOW, request)
        pull_decisions(router)
        assert router.nodes.available(NOW, "a", 0.5) == NODES["a"]
    request = make_request()
    node = decide_one(router, request).node
    router.on_attempt_finished(NOW, request, AttemptOutcome.LOST)
    pull_decisions(router)
    assert node not in router.nodes.available(NOW, "a", 0.5) and node in router.nodes.available(
        NOW + CONNECTION_BACKOFF_US, "a", 0.5
    )
