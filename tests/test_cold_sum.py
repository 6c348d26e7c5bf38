"""A cold server under the sum of what all senders do on what they heard: with 1, 5 and 30 of them.

N is what the settings let it survive; beyond that, 2 x root of N + 2 are put down to chance.
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


def allowed(budget):
    return budget + 2 * sqrt(budget) + 2


def cold(seed=1, **changes):
    known = {
        "cores": 2,
        "max_concurrency_per_core": 6.0,
        "memory_kb": 50_000.0,
        "running_memory_factor": 16,
        "request_classes": [LOOK, SAVE],
    }
    known |= {
        "starts_cold": True,
        "cold_speed_share": 0.24,
        "warmup_us": 18 * SECOND,
        "max_retry_after_us": SECOND,
    }
    return AdmissionController(NodeSpec(**(known | changes)), random.Random(seed))


def pulled(node, now):
    decisions = []
    while (decision := node.next_decision(now)) is not None:
        decisions.append(decision)
    return decisions


def survives(now):
    """By the settings alone: cores, crowd, and the least speed so long after a cold start."""
    return 2 * (1 + 5 * min(1, 0.24 + 0.76 * now / (18 * SECOND)))


@pytest.mark.parametrize("callers", SENDERS)
def test_all_windows_that_are_told_together_let_in_what_a_cold_node_survives(callers):
    node, window = cold(capacity_signal=CapacitySignal.WINDOW, callers=callers), None
    for now in range(0, 18 * SECOND, PERIOD):
        node.on_timer(now, ResourceUsage(busy=0.5, runnable=1))
        for decision in pulled(node, now):
            window = decision.capacity if decision.action is Action.ADVERTISE_CAPACITY else window
        assert callers * window <= allowed(survives(now)), now


@pytest.mark.parametrize("callers", SENDERS)
@pytest.mark.parametrize("told", [CapacitySignal.PRIORITY_THRESHOLD, CapacitySignal.PROBABILITY])
def test_what_callers_keep_back_at_a_cold_start_leaves_what_it_can_do(told, callers):
    """Each has its part of a full load for a warm node, and sends what the free value lets it."""
    node, rng = cold(capacity_signal=told, callers=callers), random.Random(callers)
    value = next(each.capacity for each in pulled(node, 0) if each.action is Action.ADVERTISE_CAPACITY)
    full = 10.0  # requests that a warm node can begin in the time of one run, with its crowd of 6 a core
    lots = [rng.random() for _ in range(callers) for _ in range(round(full / callers * 100))]
    sent = (
        sum(lot >= value if told is CapacitySignal.PRIORITY_THRESHOLD else lot < value for lot in lots) / 100
    )
    assert sent <= allowed(full * 0.24) and sent > 0


@pytest.mark.parametrize("callers", SENDERS)
def test_callers_that_a_cold_node_turned_away_together_do_not_come_back_together(callers):
    node = cold(capacity_signal=CapacitySignal.PRIORITY_THRESHOLD, callers=callers)
    pulled(node, 0)
    node.memory.limit_kb = 0.0  # as good a reason as any to turn away all
    for caller in range(callers):
        node.on_request(0, Request(LOOK, 0, 5 * SECOND, caller=caller, size_kb=20))
    back = [each.duration_us for each in pulled(node, 0) if each.action is Action.REJECT]
    assert len(back) == callers and all(0 < span <= SECOND for span in back)
    together = max(sum(start <= span < start + PERIOD for span in back) for start in back)
    assert together <= allowed(survives(0))


@pytest.mark.parametrize("senders", SENDERS)
@pytest.mark.parametrize("answers_after", [100_000, 5 * SECOND])
def test_what_all_nodes_send_to_something_cold_below_is_what_it_survives_in_its_time(senders, answers_after):
    """All start at once, each with as much as it likes to call, and what is below is slow to answer."""
    survived, span = 9.0, 5 * SECOND
    machine = {
        "downstream": Downstream.SHARED,
        "call_quota": survived / senders,
        "call_quota_window_us": span,
    }
    nodes = [cold(seed, **machine) for seed in range(senders)]
    out, held = [], []  # calls under way: until when, and whose; how many, a tick
    for now in range(0, 15 * SECOND, PERIOD // 2):
        for call in [each for each in out if each[0] <= now]:
            out.remove(call)
            _, node, request, took = call
            answered = took == answers_after
            node.on_call_completed(now, request, Outcome.COMPLETED if answered else Outcome.TIMED_OUT, took)
            node.on_run_completed(now, request, Outcome.COMPLETED, took)
        for node in nodes:
            for _ in range(4 - len(node.pools.awaiting_call)):
                request = Request(LOOK, now, now + 5 * SECOND, started=now, size_kb=20)
                node.on_call_needed(now, request)
            node.on_timer(now, ResourceUsage())
            for decision in pulled(node, now):
                if decision.action is Action.CALL:
                    took = min(decision.duration_us, answers_after)
                    out.append((now + took, node, decision.request, took))
                elif decision.action is Action.FAIL:
                    out = [each for each in out if each[2] is not decision.request]
                    node.on_run_completed(now, decision.request, Outcome.ABORTED, 0)
        held.append(len(out))
    ticks = span // (PERIOD // 2)
    means = [sum(held[at : at + ticks]) / ticks for at in range(len(held) - ticks)]
    assert 0 < max(means) <= allowed(survived)


def test_a_storm_of_repeats_stays_within_the_memory_and_each_is_answered_once():
    node = AdmissionController(
        NodeSpec(cores=2, memory_kb=10_000.0, running_memory_factor=16, request_classes=[SAVE]),
        random.Random(1),
    )
    first = Request(SAVE, 0, 5 * SECOND, size_kb=20)
    node.on_request(0, first)
    assert Action.START in [each.action for each in pulled(node, 0)]
    answered = set()
    for number in range(40):
        lot = [Request(SAVE, 1, 5 * SECOND, original=first, size_kb=20) for _ in range(20)]
        for each in lot:
            node.on_request(number * 1000, each)
        for decision in pulled(node, number * 1000):
            assert decision.action not in (
                Action.START,
                Action.REJECT,
            )  # it runs already: neither again, nor refused
            if decision.action is Action.FAIL:
                assert decision.request not in answered
                answered.add(decision.request)
        assert node.memory.used_kb() <= 10_000
    assert 0 < len(answered) < 800
