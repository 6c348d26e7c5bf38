"""Tests that a cold server is not overloaded by the sum of what its senders do: with 1, 5 and 30 of them.

Each sender follows the signals that it got. With N, the load that the settings allow, a sum of N plus
2 * sqrt(N) + 2 for chance is accepted.
"""

import random
from math import sqrt

import pytest

from lichencleat.admission.controller import AdmissionController
from lichencleat.admission.timing import PERIOD
from lichencleat.admission.types import (
    Action,
    CapacitySignal,
    Downstream,
    Effect,
    NodeSpec,
    Outcome,
    Request,
    RequestClass,
    ResourceUsage,
)

SECOND = 1_000_000
LOOK = RequestClass("look", latency_objective=2 * SECOND, deadline=5 * SECOND, calls_downstream=True)
SAVE = RequestClass(
    "save", Effect.KEYED, latency_objective=2 * SECOND, deadline=5 * SECOND, window=9 * SECOND
)
SENDERS = [1, 5, 30]


def max_allowed(budget):
    return budget + 2 * sqrt(budget) + 2


def make_cold_node(seed=1, **changes):
    spec = {
        "cores": 2,
        "max_concurrency_per_core": 6.0,
        "memory_kb": 50_000.0,
        "running_memory_factor": 16,
        "request_classes": [LOOK, SAVE],
    }
    spec |= {
        "starts_cold": True,
        "cold_speed_share": 0.24,
        "warmup_us": 18 * SECOND,
        "max_retry_after_us": SECOND,
    }
    return AdmissionController(NodeSpec(**(spec | changes)), random.Random(seed))


def pull_decisions(node, now):
    decisions = []
    while (decision := node.next_decision(now)) is not None:
        decisions.append(decision)
    return decisions


def sustainable_load(now):
    """The load by the settings alone: cores, concurrency, and the minimum speed after a cold start."""
    return 2 * (1 + 5 * min(1, 0.24 + 0.76 * now / (18 * SECOND)))


@pytest.mark.parametrize("callers", SENDERS)
def test_sum_of_advertised_windows_stays_within_what_a_cold_node_sustains(callers):
    node, window = make_cold_node(capacity_signal=CapacitySignal.WINDOW, callers=callers), None
    for now in range(0, 18 * SECOND, PERIOD):
        node.on_timer(now, ResourceUsage(busy=0.5, runnable=1))
        for decision in pull_decisions(node, now):
            window = decision.capacity if decision.action is Action.ADVERTISE_CAPACITY else window
        assert callers * window <= max_allowed(sustainable_load(now)), now


@pytest.mark.parametrize("callers", SENDERS)
@pytest.mark.parametrize("signal", [CapacitySignal.PRIORITY_THRESHOLD, CapacitySignal.PROBABILITY])
def test_callers_that_follow_the_signal_send_what_a_cold_node_can_do(signal, callers):
    """Each caller has its part of a warm node's full load, and sends what the advertised capacity allows."""
    node, rng = make_cold_node(capacity_signal=signal, callers=callers), random.Random(callers)
    value = next(
        each.capacity for each in pull_decisions(node, 0) if each.action is Action.ADVERTISE_CAPACITY
    )
    full = 10.0  # requests that a warm node can start during one run, with 6 concurrent runs per core
    draws = [rng.random() for _ in range(callers) for _ in range(round(full / callers * 100))]
    sent = (
        sum(draw >= value if signal is CapacitySignal.PRIORITY_THRESHOLD else draw < value for draw in draws)
        / 100
    )
    assert sent <= max_allowed(full * 0.24) and sent > 0


@pytest.mark.parametrize("callers", SENDERS)
def test_callers_rejected_together_retry_at_different_times(callers):
    node = make_cold_node(capacity_signal=CapacitySignal.PRIORITY_THRESHOLD, callers=callers)
    pull_decisions(node, 0)
    node.memory.limit_kb = 0.0  # any reason to reject all requests will do
    for caller in range(callers):
        node.on_request(0, Request(LOOK, 0, 5 * SECOND, caller=caller, size_kb=20))
    retry_delays = [each.duration_us for each in pull_decisions(node, 0) if each.action is Action.REJECT]
    assert len(retry_delays) == callers and all(0 < span <= SECOND for span in retry_delays)
    together = max(sum(start <= span < start + PERIOD for span in retry_delays) for start in retry_delays)
    assert together <= max_allowed(sustainable_load(0))


@pytest.mark.parametrize("senders", SENDERS)
@pytest.mark.parametrize("answers_after", [100_000, 5 * SECOND])
def test_sum_of_calls_stays_within_what_a_cold_dependency_sustains(senders, answers_after):
    """All nodes start at once, each with more calls than its quota, and the dependency may be slow."""
    sustainable, span = 9.0, 5 * SECOND
    machine = {
        "downstream": Downstream.SHARED,
        "call_quota": sustainable / senders,
        "call_quota_window_us": span,
    }
    nodes = [make_cold_node(seed, **machine) for seed in range(senders)]
    # calls in flight (end, node, request, duration), and their number at each tick
    in_flight, in_flight_counts = [], []
    for now in range(0, 15 * SECOND, PERIOD // 2):
        for call in [each for each in in_flight if each[0] <= now]:
            in_flight.remove(call)
            _, node, request, took = call
            answered = took == answers_after
            node.on_call_completed(now, request, Outcome.COMPLETED if answered else Outcome.TIMED_OUT, took)
            node.on_run_completed(now, request, Outcome.COMPLETED, took)
        for node in nodes:
            for _ in range(4 - len(node.pools.awaiting_call)):
                request = Request(LOOK, now, now + 5 * SECOND, started=now, size_kb=20)
                node.on_call_needed(now, request)
            node.on_timer(now, ResourceUsage())
            for decision in pull_decisions(node, now):
                if decision.action is Action.CALL:
                    took = min(decision.duration_us, answers_after)
                    in_flight.append((now + took, node, decision.request, took))
                elif decision.action is Action.FAIL:
                    in_flight = [each for each in in_flight if each[2] is not decision.request]
                    node.on_run_completed(now, decision.request, Outcome.ABORTED, 0)
        in_flight_counts.append(len(in_flight))
    ticks = span // (PERIOD // 2)
    means = [sum(in_flight_counts[at : at + ticks]) / ticks for at in range(len(in_flight_counts) - ticks)]
    assert 0 < max(means) <= max_allowed(sustainable)


def test_many_repeats_stay_within_the_memory_and_are_answered_once():
    node = AdmissionController(
        NodeSpec(cores=2, memory_kb=10_000.0, running_memory_factor=16, request_classes=[SAVE]),
        random.Random(1),
    )
    first = Request(SAVE, 0, 5 * SECOND, size_kb=20)
    node.on_request(0, first)
    assert Action.START in [each.action for each in pull_decisions(node, 0)]
    answered = set()
    for number in range(40):
        repeats = [Request(SAVE, 1, 5 * SECOND, original=first, size_kb=20) for _ in range(20)]
        for each in repeats:
            node.on_request(number * 1000, each)
        for decision in pull_decisions(node, number * 1000):
            # the original runs already: repeats neither start again nor are rejected
            assert decision.action not in (Action.START, Action.REJECT)
            if decision.action is Action.FAIL:
                assert decision.request not in answered
                answered.add(decision.request)
        assert node.memory.used_kb() <= 10_000
    assert 0 < len(answered) < 800
