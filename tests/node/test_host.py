"""Tests of the request engine, with a clock and transports in memory."""

import pytest
from net_parts import ID, SECOND

from lichencleat.admission.types import Action, Decision, Outcome, Request
from lichencleat.node.interpreter import Run
from lichencleat.node.pending_request import Answer, PendingRequest


def test_status_line(engine, pending):
    assert engine.describe() == "in hand: 1 held, 1 owed; health on, free value none"


def test_request_is_answered_once(engine, pending, answers):
    engine.answer(pending, Answer.FAILED)
    engine.answer(pending, Answer.SERVED, b"x")
    assert answers == [Answer.FAILED]


def test_run_aborted_without_a_stop_is_treated_as_caller_gone(engine, pending, answers):
    pending.run = Run(ID, print, print)
    engine.node.pools.running[pending.request] = None
    engine.on_run_ended(pending, Outcome.ABORTED, 0, b"")
    assert answers == [Answer.FAILED] and not engine.node.pools.queued and not len(engine.pending_requests)


def test_stopped_run_is_queued_again_while_unanswered(engine, pending, answers):
    pending.run = Run(ID, print, print)
    pending.run.is_stopping = True
    engine.node.pools.running[pending.request] = None
    engine.on_run_ended(pending, Outcome.ABORTED, 0, b"")
    assert not answers and pending.request in engine.node.pools.queued


def test_end_of_a_cancelled_call_is_ignored(engine, pending, place):
    engine.node.pools.calling[pending.request] = None
    engine.on_call_ended(pending, place()[0], Outcome.INTERRUPTED, b"")
    assert pending.request in engine.node.pools.calling and not engine.node.calls.times


def test_call_marks_its_connection_as_used_by_the_request(engine, pending):
    engine.place_call(Decision(Action.CALL, pending.request, duration_us=SECOND), pending)
    assert pending.used_links == list(engine.catalogue.links)


def test_record_of_a_run_that_never_ran_is_deleted(engine, pending, answers):
    engine.records.find_or_add(b"k", pending.request)
    engine.records.set_expiry(0, b"k", pending.request, SECOND)
    engine.node.records.expiry[pending.request] = SECOND
    pending.run, pending.request.started = Run(ID, print, print), 1
    engine.node.pools.running[pending.request] = None
    engine.on_run_ended(pending, Outcome.UNREACHABLE, 0, b"")
    engine.run_decisions()
    assert answers == [Answer.FAILED] and not engine.records.by_key


def test_request_rejected_before_its_record_is_confirmed_leaves_no_record(engine, pending):
    engine.records.find_or_add(b"k", pending.request)
    engine.reject(Decision(Action.REJECT, pending.request), pending)
    assert not engine.records.by_key and not engine.records.by_request


def test_error_with_one_request_fails_that_request_alone(engine, pending, answers, report):
    engine.handlers[Action.REJECT] = lambda decision, pending: 1 / 0
    engine.execute(Decision(Action.REJECT, pending.request))
    assert answers == [Answer.FAILED] and report.counts["node errors"] == 1


def test_round_of_decisions_is_retried_after_an_error(engine, reactor, report):
    engine.node.decide = lambda now: iter([1 / 0])
    engine.run_decisions()
    del engine.node.decide
    reactor.advance(0.1)
    reactor.advance(0)
    reactor.advance(0)
    assert report.counts["node errors"] == 1 and engine.node.wake_at


@pytest.mark.parametrize("up_after", [0.0, 0.1, 5.0])
def test_drain_grace_counts_from_the_signal_even_if_interpreter_is_up_later(engine, reactor, up_after):
    engine.node, engine.machine.drain_grace_us = None, SECOND
    reactor.advance(10)
    engine.start_draining(20 * SECOND)
    reactor.advance(up_after)
    engine.on_interpreter_ready(False)
    assert engine.node.draining.no_run_after == 11 * SECOND


def test_repeats_of_a_failed_run_fail(engine, keyed_class, answers):
    first, second = Request(keyed_class, 0, 0, started=1), Request(keyed_class, 0, 0)
    second.original = first
    pending_requests = [
        PendingRequest(each, ID, b"", b"k", lambda *answer: answers.append(answer[0]))
        for each in (first, second)
    ]
    for each in pending_requests:
        each.request.number = engine.pending_requests.acquire(each)
    engine.records.set_expiry(0, b"k", first, SECOND)
    engine.node.pools.running[first] = engine.node.pools.coalesced[second] = None
    engine.coalesce(Decision(Action.COALESCE, second), pending_requests[1])
    assert list(engine.records.by_request[first].waiters) == [pending_requests[1]]
    engine.on_run_ended(pending_requests[0], Outcome.FAILED, 0, b"")
    assert answers == [Answer.FAILED] * 2 and not len(engine.pending_requests)


def test_missing_gauges_do_not_delay_the_timer_event(engine, link, reactor, report):
    engine.interpreter, link.interpreter.started = link.interpreter, None
    engine.on_timer()
    assert link.pending_gauges and not report.counts["host wake-ups without gauges"]
    reactor.advance(0.05)
    assert not link.pending_gauges and report.counts["host wake-ups without gauges"] == 1


def test_repeat_whose_caller_is_gone_stops_waiting(engine, pending, keyed_class):
    pending.request.original = first = Request(keyed_class, 0, 0, started=1)
    engine.records.set_expiry(0, b"k", first, SECOND)
    engine.records.add_waiter(first, pending)
    engine.on_caller_gone(pending)
    assert not engine.records.by_request[first].waiters
