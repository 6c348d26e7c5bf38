import random

import pytest

from lichencleat.admission.concurrency import GAIN
from lichencleat.admission.connections import MAX_OTHER_RUNNABLE_PER_CORE
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


def test_running_request_is_answered_before_it_is_due(node, request_class):
    late = Request(request_class, arrived=0, due=SECOND)
    node.pools.running[late] = None
    assert not list(node.answer_due(SECOND // 2))
    decision = next(node.answer_due(SECOND - 50_000))
    assert decision.action is Action.FAIL and decision.request is late


@pytest.fixture
def keyed_class():
    return RequestClass(
        "booked", Effect.KEYED, latency_objective=2 * SECOND, deadline=5 * SECOND, window=9 * SECOND
    )


def test_queued_keyed_request_gets_a_record(node, keyed_class):
    node.pools.queued[Request(keyed_class, arrived=0, due=5 * SECOND)] = None
    assert next(node.review_queue(0)).action is Action.ADD_RECORD


def test_node_without_runs_in_time_is_missing_objectives_even_with_a_reduced_running_limit(
    node, request_class
):
    node.concurrency.running_limit, node.timing.longest_objective = 1.0, 2 * SECOND
    node.pools.running[Request(request_class, arrived=0, due=9 * SECOND, started=0)] = None
    node.outliers.progress_at = 2 * SECOND
    assert not node.outliers.is_missing_objectives(2 * SECOND)
    assert node.outliers.is_missing_objectives(2 * SECOND + 1)


@pytest.mark.parametrize(
    ("latency_objective", "span"), [(2 * SECOND, 100_000), (325_000, 25_000), (1_000, 20_000)]
)
def test_period_and_guard_scale_down_with_a_short_latency_objective(latency_objective, span):
    quick = RequestClass("quick", latency_objective=latency_objective, deadline=5 * SECOND)
    node = AdmissionController(NodeSpec(request_classes=[quick]), random.Random(1))
    assert [each.duration_us for each in node.notify_callers(0) if each.action is Action.SET_TIMER] == [span]
    assert node.timing.guard == span


def test_usual_read_delay_does_not_raise_the_shed_fraction_under_short_objectives():
    node = AdmissionController(
        NodeSpec(request_classes=[RequestClass("quick", latency_objective=360_000, deadline=SECOND)]),
        random.Random(1),
    )
    node.usage = ResourceUsage(busy=0.8)
    node.outliers.read_delays.extend([(0, 60_000)] * 16)
    node.update(0)
    assert node.backpressure.shed_fraction == 0
    node.outliers.read_delays.extend([(0, 160_000)] * 16)
    node.update(SECOND)
    assert node.backpressure.shed_fraction > 0


def test_stalled_node_fails_idempotent_runs_so_that_callers_may_retry_elsewhere(
    node, request_class, keyed_class
):
    idempotent = Request(request_class, arrived=0, due=9 * SECOND, started=0)
    keyed = Request(keyed_class, arrived=0, due=9 * SECOND, started=0)
    node.pools.running.update({keyed: None, idempotent: None})
    assert not list(node.answer_due(SECOND // 2))
    decision = next(node.answer_due(3 * SECOND))
    assert decision.action is Action.FAIL and decision.request is idempotent
    assert not list(node.answer_due(3 * SECOND))


def test_node_is_unhealthy_while_the_read_delay_exceeds_half_an_objective(node):
    node.timing.longest_objective = 2 * SECOND
    node.outliers.read_delays.extend([(9 * SECOND, SECOND + 1)] * 3)
    node.update(9 * SECOND)
    assert not node.is_healthy
    node.update(13 * SECOND)
    assert node.is_healthy


def test_run_past_its_objective_is_aborted_only_while_requests_are_queued(node, request_class):
    node.deadlines.can_abort = True
    late = Request(request_class, arrived=0, due=5 * SECOND, started=0)
    node.pools.running[late] = None
    assert not list(node.answer_due(3 * SECOND))
    node.pools.queued[Request(request_class, arrived=3 * SECOND, due=8 * SECOND)] = None
    decision = next(node.answer_due(3 * SECOND))
    assert decision.action is Action.REJECT and decision.request is late
    assert next(node.abort_unwanted(3 * SECOND)).action is Action.ABORT


@pytest.fixture
def tier_node(keyed_class):
    spec = NodeSpec(
        cores=2,
        max_concurrency_per_core=8.0,
        memory_kb=10_000.0,
        downstream=Downstream.TIER,
        request_classes=[keyed_class],
    )
    return AdmissionController(spec, random.Random(1))


def test_call_limit_falls_when_most_calls_fail_but_not_when_a_few_fail(tier_node, request_class):
    for at in range(8):
        call = Request(request_class, arrived=0, due=5 * SECOND)
        tier_node.pools.calling[call] = None
        tier_node.on_call_completed(
            at * SECOND, call, Outcome.TIMED_OUT if at in (1, 5) else Outcome.COMPLETED, 100
        )
    before = tier_node.calls.limit
    for at in range(8, 12):
        call = Request(request_class, arrived=0, due=5 * SECOND)
        tier_node.pools.calling[call] = None
        tier_node.on_call_completed(at * SECOND, call, Outcome.REJECTED, 100)
    assert tier_node.calls.limit < before and before >= 2


def test_call_that_may_have_run_is_retried_only_for_an_idempotent_request(
    tier_node, request_class, keyed_class
):
    for each, action in ((request_class, Action.CALL), (keyed_class, Action.FAIL)):
        request = Request(each, arrived=0, due=5 * SECOND, started=0)
        tier_node.pools.calling[request] = None
        tier_node.on_call_completed(0, request, Outcome.TIMED_OUT, SECOND)
        assert next(tier_node.release_calls(SECOND)).action is action


def test_idempotent_call_to_a_tier_gets_a_hedge_timeout(tier_node, request_class, keyed_class):
    tier_node.calls.times.extend([(100_000, True)] * 8 + [(9 * SECOND, False)] * 8)
    for each, max_duration in ((request_class, SECOND), (keyed_class, 5 * SECOND)):
        tier_node.pools.awaiting_call.clear()
        tier_node.pools.awaiting_call[Request(each, arrived=0, due=5 * SECOND, started=0)] = None
        assert 0 < next(tier_node.release_calls(0)).duration_us <= max_duration


def test_keyed_run_whose_caller_left_continues_for_its_repeat(node, request_class, keyed_class):
    node.deadlines.can_abort = True
    kept = Request(keyed_class, arrived=0, due=5 * SECOND, started=0, answered=True)
    dropped = Request(request_class, arrived=0, due=5 * SECOND, started=0, answered=True)
    node.pools.running.update({kept: None, dropped: None})
    node.to_abort.update({kept: None, dropped: None})
    assert next(node.abort_unwanted(SECOND)).request is dropped
    assert not list(node.abort_unwanted(SECOND))


def test_two_repeats_of_one_rejected_attempt_share_one_run(node, keyed_class):
    first = Request(keyed_class, arrived=0, due=5 * SECOND, state=RequestState.ENDED)
    repeats = [Request(keyed_class, arrived=SECOND, due=6 * SECOND, original=first) for _ in range(2)]
    node.pools.queued.update(dict.fromkeys(repeats))
    assert next(node.review_queue(SECOND)).action is Action.ADD_RECORD
    assert next(node.start_queued(SECOND)).request is repeats[0]
    assert not list(node.start_queued(SECOND))
    shared = next(node.review_queue(SECOND))
    assert shared.action is Action.COALESCE and shared.request is repeats[1]


def test_repeat_of_a_failed_keyed_run_fails(node, keyed_class):
    first = Request(keyed_class, arrived=0, due=5 * SECOND, state=RequestState.ENDED, started=0)
    node.pools.queued[Request(keyed_class, arrived=SECOND, due=6 * SECOND, original=first)] = None
    assert next(node.review_queue(SECOND)).action is Action.FAIL


def test_record_of_an_attempt_that_never_ran_is_deleted(node, keyed_class):
    node.records.expiry[Request(keyed_class, arrived=0, due=SECOND, state=RequestState.ENDED, started=0)] = (
        9 * SECOND
    )
    assert not list(node.delete_unstarted_records())
    never_started = Request(keyed_class, arrived=0, due=SECOND)
    node.records.expiry[never_started] = 9 * SECOND
    node.fail(never_started)
    assert [each.action for each in node.delete_unstarted_records()] == [
        Action.DELETE_RECORD
    ] and not node.pools.has_ended_unstarted


def test_concurrency_limit_moves_by_the_gain_times_the_error_within_its_bounds(node, request_class):
    node.concurrency.limit, node.concurrency.reference = 7.0, 2.0
    node.pools.queued.update((Request(request_class, arrived=0, due=9 * SECOND), None) for _ in range(6))
    node.update(0)
    assert node.concurrency.limit == pytest.approx(7.0 + GAIN * (2 - 6))
    node.concurrency.limit = -50.0  # as after a long overload
    node.update(SECOND)
    assert node.concurrency.limit == node.concurrency.running_limit
    node.concurrency.limit = 500.0  # as after a long idle time
    node.update(2 * SECOND)
    assert node.concurrency.limit == 6 + node.concurrency.running_limit


def test_running_limit_rises_while_cores_idle_and_falls_under_overload(node, request_class):
    node.pools.queued[Request(request_class, arrived=0, due=9 * SECOND)] = None
    node.pools.running.update((Request(request_class, arrived=0, due=9 * SECOND), None) for _ in range(2))
    node.usage = ResourceUsage(runnable=1.0)
    node.update(0)
    assert node.concurrency.running_limit > 2
    node.usage = ResourceUsage(runnable=9.0)
    for at in range(1, 9):
        node.update(at * SECOND)
    assert node.concurrency.running_limit < 2


def test_arrival_at_the_limit_is_rejected_unless_it_is_more_valuable_than_a_queued_request(
    node, request_class
):
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


def test_request_starts_only_with_enough_memory(node, request_class):
    node.memory.limit_kb = 1000.0
    node.pools.queued[Request(request_class, arrived=0, due=9 * SECOND, size_kb=200.0)] = None
    assert not list(node.start_queued(0))
    node.memory.limit_kb = 2000.0
    assert next(node.start_queued(0)).action is Action.START


def test_cold_node_has_a_lower_concurrency_bound():
    spec = NodeSpec(
        cores=2, max_concurrency_per_core=8.0, starts_cold=True, cold_speed_share=0.25, warmup_us=10 * SECOND
    )
    cold, warm = (
        AdmissionController(spec, random.Random(1)),
        AdmissionController(NodeSpec(cores=2, max_concurrency_per_core=8.0), random.Random(1)),
    )
    cold.slow_start.started_at = 0
    assert (
        cold.slow_start.concurrency_bound(0)
        < cold.slow_start.concurrency_bound(5 * SECOND)
        < cold.slow_start.concurrency_bound(10 * SECOND)
    )
    assert cold.slow_start.concurrency_bound(10 * SECOND) == warm.slow_start.concurrency_bound(0) < 2 * 8


def test_draining_node_rejects_late_arrivals_and_answers_all_requests_before_the_stop(node, request_class):
    node.draining.grace = SECOND
    early = Request(request_class, arrived=SECOND, due=9 * SECOND)
    late = Request(request_class, arrived=SECOND + 1, due=9 * SECOND)
    running = Request(request_class, arrived=0, due=9 * SECOND, started=0)
    node.pools.running[running] = None
    node.start_draining(0, 4 * SECOND)
    node.pools.new.update({early: None, late: None})
    rejected = list(node.admit_new(SECOND + 1))
    assert [each.request for each in rejected] == [late] and early in node.pools.queued
    answered = [each.request for each in node.answer_due(4 * SECOND - 200_000)]
    assert answered == [running, early]


def test_calls_stay_within_a_call_quota_below_one(request_class):
    request_class.latency_objective = 9 * SECOND
    spec = NodeSpec(downstream=Downstream.SHARED, call_quota=0.5, call_quota_window_us=5 * SECOND)
    node = AdmissionController(spec, random.Random(1))
    node.pools.awaiting_call[Request(request_class, arrived=0, due=9 * SECOND, started=0)] = None
    assert next(node.release_calls(0)).duration_us <= 2.5 * SECOND
    call = next(iter(node.pools.calling))
    node.on_call_completed(SECOND, call, Outcome.COMPLETED, SECOND)
    node.pools.awaiting_call[call] = None
    node.pools.calling.clear()
    assert not list(node.release_calls(3 * SECOND))
    assert next(node.release_calls(4 * SECOND)).action is Action.CALL


def test_idle_connections_are_kept_for_returning_callers_only(node):
    node.connections.max_timeout = 30 * SECOND
    assert (
        node.connections.current() < SECOND
    )  # from the start, as the host applies it to connections opened later
    node.connections.recent_callers.extend([1, 2, 3, 4] * 16)
    assert node.connections.current() == 30 * SECOND
    node.connections.recent_callers.extend(range(64))
    assert node.connections.current() < SECOND


def test_rejected_caller_may_retry_elsewhere_only_with_a_deadline_and_few_rejections(node):
    assert not node.backpressure.may_retry_elsewhere()
    node.backpressure.callers_send_deadline = True
    assert node.backpressure.may_retry_elsewhere()
    node.backpressure.recent_rejections.extend([True] * 16)
    assert not node.backpressure.may_retry_elsewhere()


def test_node_slower_than_the_objective_allows_retries_elsewhere_and_runs_one_request_at_a_time(
    node, request_class
):
    request = Request(request_class, arrived=0, due=9 * SECOND)
    assert node.reject(0, request).no_retry_elsewhere
    node.service_times.samples[request_class] = [3 * SECOND] * 4
    assert not node.reject(0, request).no_retry_elsewhere
    assert not node.deadlines.would_be_late(0, request)
    node.pools.running[Request(request_class, arrived=0, due=9 * SECOND, started=0)] = None
    assert node.deadlines.would_be_late(0, request)


def test_request_that_would_end_too_late_does_not_start(node, request_class):
    samples = node.service_times.samples.setdefault(request_class, [SECOND] * 4)
    node.pools.running.update(
        (Request(request_class, arrived=0, due=9 * SECOND, started=0), None) for _ in range(2)
    )
    waiting = Request(request_class, arrived=0, due=9 * SECOND)
    assert not node.deadlines.would_be_late(SECOND - 1, waiting)
    assert node.deadlines.would_be_late(SECOND + 1, waiting)
    node.pools.running.popitem()
    assert not node.deadlines.would_be_late(SECOND + 1, waiting) and samples


def test_call_to_a_lost_node_does_not_count_towards_the_call_limit(tier_node, request_class, keyed_class):
    tier_node.calls.times.extend([(100_000, True)] * 8)
    tier_node.calls.limit = 1.0
    tier_node.pools.calling[Request(keyed_class, arrived=0, due=9 * SECOND, started=0, called_at=0)] = None
    tier_node.pools.awaiting_call[Request(request_class, arrived=0, due=9 * SECOND, started=0)] = None
    assert not list(tier_node.release_calls(100_000))
    assert next(tier_node.release_calls(SECOND)).action is Action.CALL


def test_calls_that_would_wait_long_are_skipped_if_the_answer_still_has_value(request_class):
    poorer = RequestClass(
        "poorer", latency_objective=2 * SECOND, deadline=5 * SECOND, value_share_without_call=0.5
    )
    node = AdmissionController(
        NodeSpec(downstream=Downstream.SHARED, call_quota=2.0, request_classes=[request_class]),
        random.Random(1),
    )
    node.calls.times.extend([(SECOND, True)] * 8)
    idempotent, first, second = (
        Request(each, arrived=0, due=5 * SECOND) for each in (request_class, poorer, poorer)
    )
    node.pools.awaiting_call.update(dict.fromkeys((second, first, idempotent)))
    decided = [(each.action, each.request) for each in node.release_calls(0)]
    assert decided == [(Action.CALL, idempotent), (Action.SKIP_CALL, second), (Action.SKIP_CALL, first)]


def test_reference_falls_when_queued_requests_would_wait_too_long(node, request_class):
    node.timing.shortest_objective = 2 * SECOND
    node.update(0)
    assert node.concurrency.reference == 2.0
    for request in (Request(request_class, arrived=0, due=9 * SECOND) for _ in range(4)):
        node.pools.running[request] = None
        node.on_run_completed(0, request, Outcome.COMPLETED, SECOND)
    node.update(SECOND)
    assert node.concurrency.reference == 1.0


def test_fast_rejections_of_calls_do_not_make_other_calls_look_slow(node):
    node.calls.times.extend([(80_000, True)] * 10 + [(1_000, False)] * 40 + [(90_000, True)] * 8)
    assert not node.calls.are_slow()
    node.calls.times.extend([(500_000, True)] * 8)
    assert node.calls.are_slow()


@pytest.fixture
def node_with_one_time_callers():
    node = AdmissionController(NodeSpec(cores=2, idle_timeout_us=30 * SECOND), random.Random(1))
    node.connections.recent_callers.extend(range(64))
    return node


def idle_timeouts(node, runnable, seconds):
    """Returns the idle timeout after each second in which `runnable` tasks want a core."""
    timeouts = []
    for _ in range(seconds):
        for _ in range(10):
            node.usage, node.clock = (
                ResourceUsage(busy=0.9, runnable=runnable),
                getattr(node, "clock", 0) + 100_000,
            )
            node.update(node.clock)
        timeouts.append(node.connections.current())
    return timeouts


def test_connection_table_is_left_full_while_opening_connections_takes_up_the_cores(
    node_with_one_time_callers,
):
    assert idle_timeouts(node_with_one_time_callers, 2.0, 3)[-1] == 100_000  # other tasks only read
    assert idle_timeouts(node_with_one_time_callers, 12.0, 4)[-1] == 30 * SECOND
    timeouts = idle_timeouts(node_with_one_time_callers, 2.0, 20)
    assert timeouts == sorted(timeouts, reverse=True) and timeouts[-1] == 100_000
    assert all(
        later >= earlier // 2 for earlier, later in zip(timeouts, timeouts[1:], strict=False)
    )  # at most halved at once, to avoid a wave of connections


def test_idle_connections_are_closed_soon_under_overload_by_runs_alone(node_with_one_time_callers):
    plain = RequestClass("plain", latency_objective=2 * SECOND, deadline=5 * SECOND)
    for _ in range(8):
        node_with_one_time_callers.pools.running[Request(plain, arrived=0, due=9 * SECOND, started=0)] = None
    assert idle_timeouts(node_with_one_time_callers, 9.0, 5)[-1] == 100_000


def test_connections_of_returning_callers_are_kept_under_any_load(node_with_one_time_callers):
    node_with_one_time_callers.connections.recent_callers.extend([1, 2, 3] * 22)
    assert set(
        idle_timeouts(node_with_one_time_callers, 12.0, 3) + idle_timeouts(node_with_one_time_callers, 0.0, 9)
    ) == {30 * SECOND}


@pytest.fixture
def node_with_tenants(request_class):
    spec = NodeSpec(
        cores=2,
        memory_kb=1e6,
        request_classes=[request_class],
        tenant_quotas={"a": 1.0, "b": 1.0},
        over_quota_value_share=0.05,
    )
    node = AdmissionController(spec, random.Random(1))
    node.quotas.recent_starts["b"] = 3.0  # its whole quota of one window
    node.pools.running.update((Request(request_class, 0, 9 * SECOND, started=0), None) for _ in range(2))
    node.concurrency.limit = 4.0
    return node


def queued_and_rejected_tenants(node, request_class, tenants):
    """Lets requests of these tenants arrive; returns the tenants of queued and of rejected requests."""
    for tenant in tenants:
        node.on_request(0, Request(request_class, arrived=0, due=9 * SECOND, tenant=tenant))
    rejected = [each.request.tenant for each in node.admit_new(0)]
    return [each.tenant for each in node.pools.queued], rejected


def test_at_the_limit_a_tenant_within_its_quota_goes_before_one_beyond_it(node_with_tenants, request_class):
    assert queued_and_rejected_tenants(node_with_tenants, request_class, "bba") == (["b", "a"], ["b"])


def test_tenant_beyond_its_quota_is_admitted_while_there_is_capacity(node_with_tenants, request_class):
    assert queued_and_rejected_tenants(node_with_tenants, request_class, "bb") == (["b", "b"], [])


def test_quota_recovers_with_time_and_is_used_by_starts_alone(node_with_tenants, request_class):
    node, request = node_with_tenants, Request(request_class, arrived=0, due=9 * SECOND, tenant="b")
    assert node.quotas.is_over(request)
    for _ in range(2):
        node.update(node.next_update)
    assert not node.quotas.is_over(request)
    node.pools.queued[request] = None
    node.concurrency.running_limit = 3.0
    assert [each.action for each in node.start_queued(SECOND)] == [Action.START]
    assert node.quotas.is_over(request)
    for _ in range(40):
        node.update(node.next_update)
    assert not node.quotas.recent_starts  # no entry remains for a tenant without starts


def test_tenant_without_a_quota_is_never_over_it(node_with_tenants, request_class):
    assert not node_with_tenants.quotas.is_over(Request(request_class, 0, 9 * SECOND, tenant="none"))


@pytest.mark.parametrize("runnable", [3.0, 12.0])
def test_node_is_unhealthy_for_late_reading_but_not_while_connections_take_up_the_cores(
    node_with_one_time_callers, runnable
):
    node = node_with_one_time_callers
    node.timing.longest_objective = 2 * SECOND
    for _ in range(11):
        now = node.next_update + 100_000
        node.outliers.read_delays.extend([(now, SECOND + 1)] * 16)
        node.usage = ResourceUsage(busy=1.0, runnable=runnable)
        node.update(now)
    assert node.is_healthy is (runnable > 2 * MAX_OTHER_RUNNABLE_PER_CORE)
    node.draining.answers_until = now
    node.update(node.next_update)
    assert not node.is_healthy


@pytest.mark.parametrize(("callers", "kept"), [(0, False), (3, True), (32, True), (33, False)])
def test_connections_are_kept_from_the_start_if_the_configured_callers_are_few(callers, kept):
    node = AdmissionController(NodeSpec(idle_timeout_us=30 * SECOND, callers=callers), random.Random(1))
    assert (node.connections.current() == 30 * SECOND) is kept


@pytest.mark.parametrize("state", [RequestState.QUEUED, RequestState.RUNNING, RequestState.ENDED])
def test_repeat_that_is_due_when_read_is_answered_at_once(node, keyed_class, state):
    """If it waited for the original attempt or its outcome, it would be answered one period late."""
    first = Request(
        keyed_class, arrived=0, due=5 * SECOND, started=None if state is RequestState.QUEUED else 0
    )
    first.state, first.succeeded = state, state is RequestState.ENDED
    if state is not RequestState.ENDED:
        (node.pools.queued if state is RequestState.QUEUED else node.pools.running)[first] = None
    late = Request(keyed_class, arrived=0, due=3 * SECOND, original=first)
    node.on_request(3 * SECOND, late)
    decisions = []
    while (decision := node.next_decision(3 * SECOND)) is not None:
        decisions.append((decision.action, decision.request))
    assert [action for action, request in decisions if request is late] == [Action.FAIL]
    assert late.state is RequestState.ENDED
