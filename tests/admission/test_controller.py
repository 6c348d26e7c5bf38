import random

import pytest

from lichencleat.admission.concurrency import GAIN
from lichencleat.admission.connections import BESIDE
from lichencleat.admission.controller import AdmissionController
from lichencleat.admission.types import (
    Action,
    Downstream,
    Effect,
    NodeSpec,
    Outcome,
    Request,
    RequestClass,
    RequestState,
    ResourceUsage,
)

SECOND = 1_000_000


@pytest.fixture
def request_class():
    return RequestClass("plain", latency_objective=2 * SECOND, deadline=5 * SECOND)


@pytest.fixture
def node():
    return AdmissionController(
        NodeSpec(cores=2, max_concurrency_per_core=8.0, memory_kb=10_000.0, running_memory_factor=8.0),
        random.Random(1),
    )


def test_running_work_is_answered_before_it_is_due(node, request_class):
    late = Request(request_class, arrived=0, due=SECOND)
    node.pools.running[late] = None
    assert not list(node.answer_due(SECOND // 2))
    decision = next(node.answer_due(SECOND - 50_000))
    assert decision.action is Action.FAIL and decision.request is late


@pytest.fixture
def receipted():
    return RequestClass(
        "booked", Effect.KEYED, latency_objective=2 * SECOND, deadline=5 * SECOND, window=9 * SECOND
    )


def test_a_receipted_request_in_the_hold_is_recorded_however_it_came_there(node, receipted):
    node.pools.queued[Request(receipted, arrived=0, due=5 * SECOND)] = None
    assert next(node.review_queue(0)).action is Action.ADD_RECORD


def test_a_node_that_honours_nothing_in_time_is_sick_even_with_a_stepped_back_limit(node, request_class):
    node.concurrency.running_limit, node.timing.longest_objective = 1.0, 2 * SECOND
    node.pools.running[Request(request_class, arrived=0, due=9 * SECOND, started=0)] = None
    node.outliers.progress_at = 2 * SECOND
    assert not node.outliers.is_sick(2 * SECOND)
    assert node.outliers.is_sick(2 * SECOND + 1)


@pytest.mark.parametrize(
    ("latency_objective", "span"), [(2 * SECOND, 100_000), (325_000, 25_000), (1_000, 20_000)]
)
def test_spans_follow_the_shortest_soft_limit_where_that_is_short(latency_objective, span):
    quick = RequestClass("quick", latency_objective=latency_objective, deadline=5 * SECOND)
    node = AdmissionController(NodeSpec(request_classes=[quick]), random.Random(1))
    assert [each.duration_us for each in node.notify_callers(0) if each.action is Action.SET_TIMER] == [span]
    assert node.timing.guard == span


def test_reading_at_its_usual_pace_does_not_make_callers_keep_back_where_soft_limits_are_short():
    node = AdmissionController(
        NodeSpec(request_classes=[RequestClass("quick", latency_objective=360_000, deadline=SECOND)]),
        random.Random(1),
    )
    node.usage = ResourceUsage(busy=0.8)
    node.outliers.read_times.extend([(0, 60_000)] * 16)
    node.update(0)
    assert node.backpressure.shed_fraction == 0
    node.outliers.read_times.extend([(0, 160_000)] * 16)
    node.update(SECOND)
    assert node.backpressure.shed_fraction > 0


def test_a_stalled_node_gives_up_pure_runs_so_that_others_may_try(node, request_class, receipted):
    pure = Request(request_class, arrived=0, due=9 * SECOND, started=0)
    booked = Request(receipted, arrived=0, due=9 * SECOND, started=0)
    node.pools.running.update({booked: None, pure: None})
    assert not list(node.answer_due(SECOND // 2))
    decision = next(node.answer_due(3 * SECOND))
    assert decision.action is Action.FAIL and decision.request is pure
    assert not list(node.answer_due(3 * SECOND))


def test_health_goes_off_while_arrivals_wait_half_a_soft_limit_to_be_read(node):
    node.timing.longest_objective = 2 * SECOND
    node.outliers.read_times.extend([(9 * SECOND, SECOND + 1)] * 3)
    node.update(9 * SECOND)
    assert not node.is_healthy
    node.update(13 * SECOND)
    assert node.is_healthy


def test_a_run_that_can_earn_nothing_makes_way_only_while_work_waits(node, request_class):
    node.deadlines.can_abort = True
    late = Request(request_class, arrived=0, due=5 * SECOND, started=0)
    node.pools.running[late] = None
    assert not list(node.answer_due(3 * SECOND))
    node.pools.queued[Request(request_class, arrived=3 * SECOND, due=8 * SECOND)] = None
    decision = next(node.answer_due(3 * SECOND))
    assert decision.action is Action.REJECT and decision.request is late
    assert next(node.abort_unwanted(3 * SECOND)).action is Action.ABORT


@pytest.fixture
def caller(receipted):
    machine = NodeSpec(
        cores=2,
        max_concurrency_per_core=8.0,
        memory_kb=10_000.0,
        downstream=Downstream.TIER,
        request_classes=[receipted],
    )
    return AdmissionController(machine, random.Random(1))


def test_a_few_failed_calls_do_not_cut_the_bound_and_most_failed_do(caller, request_class):
    for at in range(8):
        call = Request(request_class, arrived=0, due=5 * SECOND)
        caller.pools.calling[call] = None
        caller.on_call_completed(
            at * SECOND, call, Outcome.TIMED_OUT if at in (1, 5) else Outcome.COMPLETED, 100
        )
    before = caller.calls.limit
    for at in range(8, 12):
        call = Request(request_class, arrived=0, due=5 * SECOND)
        caller.pools.calling[call] = None
        caller.on_call_completed(at * SECOND, call, Outcome.REJECTED, 100)
    assert caller.calls.limit < before and before >= 2


def test_a_call_that_may_have_run_is_repeated_for_a_pure_request_only(caller, request_class, receipted):
    for one, act in ((request_class, Action.CALL), (receipted, Action.FAIL)):
        request = Request(one, arrived=0, due=5 * SECOND, started=0)
        caller.pools.calling[request] = None
        caller.on_call_completed(0, request, Outcome.TIMED_OUT, SECOND)
        assert next(caller.release_calls(SECOND)).action is act


def test_a_pure_call_to_a_tier_is_not_waited_for_much_longer_than_usual(caller, request_class, receipted):
    caller.calls.times.extend([(100_000, True)] * 8 + [(9 * SECOND, False)] * 8)
    for one, longest in ((request_class, SECOND), (receipted, 5 * SECOND)):
        caller.pools.awaiting_call.clear()
        caller.pools.awaiting_call[Request(one, arrived=0, due=5 * SECOND, started=0)] = None
        assert 0 < next(caller.release_calls(0)).duration_us <= longest


def test_a_receipted_run_whose_caller_left_goes_on_for_its_repeat(node, request_class, receipted):
    node.deadlines.can_abort = True
    kept = Request(receipted, arrived=0, due=5 * SECOND, started=0, answered=True)
    dropped = Request(request_class, arrived=0, due=5 * SECOND, started=0, answered=True)
    node.pools.running.update({kept: None, dropped: None})
    node.to_abort.update({kept: None, dropped: None})
    assert next(node.abort_unwanted(SECOND)).request is dropped
    assert not list(node.abort_unwanted(SECOND))


def test_two_repeats_of_one_deferred_try_get_one_run(node, receipted):
    first = Request(receipted, arrived=0, due=5 * SECOND, state=RequestState.ENDED)
    again = [Request(receipted, arrived=SECOND, due=6 * SECOND, original=first) for _ in range(2)]
    node.pools.queued.update(dict.fromkeys(again))
    assert next(node.review_queue(SECOND)).action is Action.ADD_RECORD
    assert next(node.start_queued(SECOND)).request is again[0]
    assert not list(node.start_queued(SECOND))
    shared = next(node.review_queue(SECOND))
    assert shared.action is Action.COALESCE and shared.request is again[1]


def test_a_repeat_of_a_run_that_came_to_nothing_is_neither_run_nor_deferred(node, receipted):
    first = Request(receipted, arrived=0, due=5 * SECOND, state=RequestState.ENDED, started=0)
    node.pools.queued[Request(receipted, arrived=SECOND, due=6 * SECOND, original=first)] = None
    assert next(node.review_queue(SECOND)).action is Action.FAIL


def test_the_entry_of_a_try_that_never_ran_is_struck(node, receipted):
    node.records.expiry[Request(receipted, arrived=0, due=SECOND, state=RequestState.ENDED, started=0)] = (
        9 * SECOND
    )
    assert not list(node.delete_unrun_records())
    unrun = Request(receipted, arrived=0, due=SECOND)
    node.records.expiry[unrun] = 9 * SECOND
    node.fail(unrun)
    assert [each.action for each in node.delete_unrun_records()] == [
        Action.DELETE_RECORD
    ] and not node.pools.has_ended_unrun


def test_the_cap_moves_by_the_gain_times_the_error_within_its_bounds(node, request_class):
    node.concurrency.limit, node.concurrency.reference = 7.0, 2.0
    node.pools.queued.update((Request(request_class, arrived=0, due=9 * SECOND), None) for _ in range(6))
    node.update(0)
    assert node.concurrency.limit == pytest.approx(7.0 + GAIN * (2 - 6))
    node.concurrency.limit = -50.0  # wound down by long pressure
    node.update(SECOND)
    assert node.concurrency.limit == node.concurrency.running_limit
    node.concurrency.limit = 500.0  # wound up while idle
    node.update(2 * SECOND)
    assert node.concurrency.limit == 6 + node.concurrency.running_limit


def test_the_running_limit_climbs_while_cores_idle_and_steps_back_when_crowded(node, request_class):
    node.pools.queued[Request(request_class, arrived=0, due=9 * SECOND)] = None
    node.pools.running.update((Request(request_class, arrived=0, due=9 * SECOND), None) for _ in range(2))
    node.usage = ResourceUsage(runnable=1.0)
    node.update(0)
    assert node.concurrency.running_limit > 2
    node.usage = ResourceUsage(runnable=9.0)
    for at in range(1, 9):
        node.update(at * SECOND)
    assert node.concurrency.running_limit < 2


def test_an_arrival_at_the_cap_is_deferred_at_once_unless_it_earns_more_than_one_held(node, request_class):
    plain = [Request(request_class, arrived=0, due=9 * SECOND) for _ in range(5)]
    node.pools.running.update(dict.fromkeys(plain[:2]))
    node.pools.queued.update(dict.fromkeys(plain[2:4]))
    node.concurrency.limit = 4.0
    node.pools.new[plain[4]] = None
    assert next(node.admit_new(0)).request is plain[4]
    better = Request(
        RequestClass("better", latency_objective=SECOND, deadline=SECOND, value=2.0), arrived=0, due=SECOND
    )
    node.pools.new[better] = None
    decisions = list(node.admit_new(0))
    assert [each.action for each in decisions] == [Action.REJECT] and decisions[0].request in plain[2:4]
    assert better in node.pools.queued


def test_nothing_begins_without_memory_for_it(node, request_class):
    node.memory.limit_kb = 1000.0
    node.pools.queued[Request(request_class, arrived=0, due=9 * SECOND, size_kb=200.0)] = None
    assert not list(node.start_queued(0))
    node.memory.limit_kb = 2000.0
    assert next(node.start_queued(0)).action is Action.START


def test_a_cold_node_takes_a_smaller_crowd():
    told = NodeSpec(
        cores=2, max_concurrency_per_core=8.0, starts_cold=True, cold_speed_share=0.25, warmup_us=10 * SECOND
    )
    cold, warm = (
        AdmissionController(told, random.Random(1)),
        AdmissionController(NodeSpec(cores=2, max_concurrency_per_core=8.0), random.Random(1)),
    )
    cold.slow_start.started_at = 0
    assert (
        cold.slow_start.concurrency_bound(0)
        < cold.slow_start.concurrency_bound(5 * SECOND)
        < cold.slow_start.concurrency_bound(10 * SECOND)
    )
    assert cold.slow_start.concurrency_bound(10 * SECOND) == warm.slow_start.concurrency_bound(0) < 2 * 8


def test_a_leaving_node_runs_nothing_late_and_answers_all_before_the_stop(node, request_class):
    node.draining.grace = SECOND
    early = Request(request_class, arrived=SECOND, due=9 * SECOND)
    late = Request(request_class, arrived=SECOND + 1, due=9 * SECOND)
    running = Request(request_class, arrived=0, due=9 * SECOND, started=0)
    node.pools.running[running] = None
    node.start_draining(0, 4 * SECOND)
    node.pools.new.update({early: None, late: None})
    deferred = list(node.admit_new(SECOND + 1))
    assert [each.request for each in deferred] == [late] and early in node.pools.queued
    answered = [each.request for each in node.answer_due(4 * SECOND - 200_000)]
    assert answered == [running, early]


def test_calls_stay_under_a_share_of_less_than_one(request_class):
    request_class.latency_objective = 9 * SECOND
    machine = NodeSpec(downstream=Downstream.SHARED, call_quota=0.5, call_quota_window_us=5 * SECOND)
    node = AdmissionController(machine, random.Random(1))
    node.pools.awaiting_call[Request(request_class, arrived=0, due=9 * SECOND, started=0)] = None
    assert next(node.release_calls(0)).duration_us <= 2.5 * SECOND
    call = next(iter(node.pools.calling))
    node.on_call_completed(SECOND, call, Outcome.COMPLETED, SECOND)
    node.pools.awaiting_call[call] = None
    node.pools.calling.clear()
    assert not list(node.release_calls(3 * SECOND))
    assert next(node.release_calls(4 * SECOND)).action is Action.CALL


def test_idle_connections_of_strangers_are_closed_soon_and_those_of_a_few_callers_kept(node):
    node.connections.max_timeout = 30 * SECOND
    assert (
        node.connections.current() < SECOND
    )  # the host applies it to connections opened later, so from the start
    node.connections.recent_callers.extend([1, 2, 3, 4] * 16)
    assert node.connections.current() == 30 * SECOND
    node.connections.recent_callers.extend(range(64))
    assert node.connections.current() < SECOND


def test_a_deferral_sends_on_only_where_time_is_told_and_little_is_deferred(node):
    assert not node.backpressure.may_retry_elsewhere()
    node.backpressure.callers_send_deadline = True
    assert node.backpressure.may_retry_elsewhere()
    node.backpressure.recent_rejections.extend([True] * 16)
    assert not node.backpressure.may_retry_elsewhere()


def test_a_node_too_slow_for_the_soft_limit_sends_on_and_tries_one_at_a_time(node, request_class):
    request = Request(request_class, arrived=0, due=9 * SECOND)
    assert node.reject(0, request).is_last
    node.service_times.samples[request_class] = [3 * SECOND] * 4
    assert not node.reject(0, request).is_last
    assert not node.deadlines.would_be_late(0, request)
    node.pools.running[Request(request_class, arrived=0, due=9 * SECOND, started=0)] = None
    assert node.deadlines.would_be_late(0, request)


def test_work_that_would_end_too_late_is_not_begun(node, request_class):
    class_runs = node.service_times.samples.setdefault(request_class, [SECOND] * 4)
    node.pools.running.update(
        (Request(request_class, arrived=0, due=9 * SECOND, started=0), None) for _ in range(2)
    )
    waiting = Request(request_class, arrived=0, due=9 * SECOND)
    assert not node.deadlines.would_be_late(SECOND - 1, waiting)
    assert node.deadlines.would_be_late(SECOND + 1, waiting)
    node.pools.running.popitem()
    assert not node.deadlines.would_be_late(SECOND + 1, waiting) and class_runs


def test_a_call_stuck_at_a_lost_node_leaves_the_bound_to_others(caller, request_class, receipted):
    caller.calls.times.extend([(100_000, True)] * 8)
    caller.calls.limit = 1.0
    caller.pools.calling[Request(receipted, arrived=0, due=9 * SECOND, started=0, called_at=0)] = None
    caller.pools.awaiting_call[Request(request_class, arrived=0, due=9 * SECOND, started=0)] = None
    assert not list(caller.release_calls(100_000))
    assert next(caller.release_calls(SECOND)).action is Action.CALL


def test_calls_that_would_wait_long_are_omitted_where_the_answer_still_earns(request_class):
    poorer = RequestClass(
        "poorer", latency_objective=2 * SECOND, deadline=5 * SECOND, value_share_without_call=0.5
    )
    node = AdmissionController(
        NodeSpec(downstream=Downstream.SHARED, call_quota=2.0, request_classes=[request_class]),
        random.Random(1),
    )
    node.calls.times.extend([(SECOND, True)] * 8)
    pure, first, second = (
        Request(each, arrived=0, due=5 * SECOND) for each in (request_class, poorer, poorer)
    )
    node.pools.awaiting_call.update(dict.fromkeys((second, first, pure)))
    decided = [(each.action, each.request) for each in node.release_calls(0)]
    assert decided == [(Action.CALL, pure), (Action.SKIP_CALL, second), (Action.SKIP_CALL, first)]


def test_the_reference_falls_when_what_is_held_would_wait_too_long(node, request_class):
    node.timing.shortest_objective = 2 * SECOND
    node.update(0)
    assert node.concurrency.reference == 2.0
    for request in (Request(request_class, arrived=0, due=9 * SECOND) for _ in range(4)):
        node.pools.running[request] = None
        node.on_run_completed(0, request, Outcome.COMPLETED, SECOND)
    node.update(SECOND)
    assert node.concurrency.reference == 1.0


def test_calls_turned_away_at_once_do_not_make_the_others_look_slow(node):
    node.calls.times.extend([(80_000, True)] * 10 + [(1_000, False)] * 40 + [(90_000, True)] * 8)
    assert not node.calls.are_slow()
    node.calls.times.extend([(500_000, True)] * 8)
    assert node.calls.are_slow()


@pytest.fixture
def crowded_by_strangers():
    node = AdmissionController(NodeSpec(cores=2, idle_timeout_us=30 * SECOND), random.Random(1))
    node.connections.recent_callers.extend(range(64))
    return node


def idle_spans(node, wanting, seconds):
    """The spans that callers' connections get, one for each second in which so many want a core."""
    spans = []
    for _ in range(seconds):
        for _ in range(10):
            node.usage, node.clock = (
                ResourceUsage(busy=0.9, runnable=wanting),
                getattr(node, "clock", 0) + 100_000,
            )
            node.update(node.clock)
        spans.append(node.connections.current())
    return spans


def test_a_full_table_is_left_full_while_opening_connections_takes_the_cores(crowded_by_strangers):
    assert idle_spans(crowded_by_strangers, 2.0, 3)[-1] == 100_000  # reading alone
    assert idle_spans(crowded_by_strangers, 12.0, 4)[-1] == 30 * SECOND
    spans = idle_spans(crowded_by_strangers, 2.0, 20)
    assert spans == sorted(spans, reverse=True) and spans[-1] == 100_000
    assert all(
        later >= earlier // 2 for earlier, later in zip(spans, spans[1:], strict=False)
    )  # no flood at once


def test_a_crowd_at_the_cores_of_runs_alone_keeps_no_idle_connections(crowded_by_strangers):
    plain = RequestClass("plain", latency_objective=2 * SECOND, deadline=5 * SECOND)
    for _ in range(8):
        crowded_by_strangers.pools.running[Request(plain, arrived=0, due=9 * SECOND, started=0)] = None
    assert idle_spans(crowded_by_strangers, 9.0, 5)[-1] == 100_000


def test_connections_of_callers_that_come_back_are_kept_in_any_crowd(crowded_by_strangers):
    crowded_by_strangers.connections.recent_callers.extend([1, 2, 3] * 22)
    assert set(idle_spans(crowded_by_strangers, 12.0, 3) + idle_spans(crowded_by_strangers, 0.0, 9)) == {
        30 * SECOND
    }


@pytest.fixture
def shared_by_tenants(request_class):
    told = NodeSpec(
        cores=2,
        memory_kb=1e6,
        request_classes=[request_class],
        tenant_quotas={"a": 1.0, "b": 1.0},
        over_quota_value_share=0.05,
    )
    node = AdmissionController(told, random.Random(1))
    node.quotas.recent_starts["b"] = 3.0  # all that its share allows in the span
    node.pools.running.update((Request(request_class, 0, 9 * SECOND, started=0), None) for _ in range(2))
    node.concurrency.limit = 4.0
    return node


def held_then_deferred(node, request_class, tenants):
    """Arrivals of these tenants in their order: the tenants held at the end, and those deferred."""
    for tenant in tenants:
        node.on_request(0, Request(request_class, arrived=0, due=9 * SECOND, tenant=tenant))
    deferred = [each.request.tenant for each in node.admit_new(0)]
    return [each.tenant for each in node.pools.queued], deferred


def test_at_the_cap_a_tenant_within_its_share_goes_before_one_beyond_it(shared_by_tenants, request_class):
    assert held_then_deferred(shared_by_tenants, request_class, "bba") == (["b", "a"], ["b"])


def test_a_tenant_beyond_its_share_is_taken_in_where_there_is_room(shared_by_tenants, request_class):
    assert held_then_deferred(shared_by_tenants, request_class, "bb") == (["b", "b"], [])


def test_a_share_comes_back_with_time_and_is_spent_by_starts_alone(shared_by_tenants, request_class):
    node, one = shared_by_tenants, Request(request_class, arrived=0, due=9 * SECOND, tenant="b")
    assert node.quotas.is_over(one)
    for _ in range(2):
        node.update(node.next_update)
    assert not node.quotas.is_over(one)
    node.pools.queued[one] = None
    node.concurrency.running_limit = 3.0
    assert [each.action for each in node.start_queued(SECOND)] == [Action.START]
    assert node.quotas.is_over(one)
    for _ in range(40):
        node.update(node.next_update)
    assert not node.quotas.recent_starts  # nothing is kept for a tenant that begins nothing


def test_a_tenant_without_a_share_is_never_beyond_it(shared_by_tenants, request_class):
    assert not shared_by_tenants.quotas.is_over(Request(request_class, 0, 9 * SECOND, tenant="none"))


@pytest.mark.parametrize("wanting", [3.0, 12.0])
def test_health_goes_off_for_late_reading_but_not_while_connections_take_the_cores(
    crowded_by_strangers, wanting
):
    node = crowded_by_strangers
    node.timing.longest_objective = 2 * SECOND
    for _ in range(11):
        now = node.next_update + 100_000
        node.outliers.read_times.extend([(now, SECOND + 1)] * 16)
        node.usage = ResourceUsage(busy=1.0, runnable=wanting)
        node.update(now)
    assert node.is_healthy is (wanting > 2 * BESIDE)
    node.draining.answers_until = now
    node.update(node.next_update)
    assert not node.is_healthy


@pytest.mark.parametrize(("callers", "kept"), [(0, False), (3, True), (32, True), (33, False)])
def test_connections_are_kept_from_the_start_where_the_callers_told_are_few(callers, kept):
    node = AdmissionController(NodeSpec(idle_timeout_us=30 * SECOND, callers=callers), random.Random(1))
    assert (node.connections.current() == 30 * SECOND) is kept


@pytest.mark.parametrize("state", [RequestState.QUEUED, RequestState.RUNNING, RequestState.ENDED])
def test_a_repeat_read_when_its_time_is_up_is_answered_at_once(node, receipted, state):
    """Waiting for the try that it repeats, or for its outcome, it would miss the next look by a period."""
    first = Request(receipted, arrived=0, due=5 * SECOND, started=None if state is RequestState.QUEUED else 0)
    first.state, first.succeeded = state, state is RequestState.ENDED
    if state is not RequestState.ENDED:
        (node.pools.queued if state is RequestState.QUEUED else node.pools.running)[first] = None
    late = Request(receipted, arrived=0, due=3 * SECOND, original=first)
    node.on_request(3 * SECOND, late)
    decisions = []
    while (decision := node.next_decision(3 * SECOND)) is not None:
        decisions.append((decision.action, decision.request))
    assert [act for act, request in decisions if request is late] == [Action.FAIL]
    assert late.state is RequestState.ENDED
