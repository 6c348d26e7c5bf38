"""Parts of the real node, with a clock and transports in memory: host."""

import pytest
from net_parts import ID, SECOND

from lichencleat.admission.types import Action, Decision, Outcome, Request
from lichencleat.node.host import Answer, PendingRequest
from lichencleat.node.interpreter import Run


def test_the_host_tells_what_it_believes(engine, pending):
    assert engine.describe() == "in hand: 1 held, 1 owed; health on, free value none"


def test_a_request_is_answered_once(engine, pending, answers):
    engine.answer(pending, Answer.FAILED)
    engine.answer(pending, Answer.SERVED, b"x")
    assert answers == [Answer.FAILED]


def test_a_run_that_ends_by_itself_means_that_its_caller_left(engine, pending, answers):
    pending.run = Run(ID, print, print)
    engine.node.pools.running[pending.request] = None
    engine.on_run_ended(pending, Outcome.ABORTED, 0, b"")
    assert answers == [Answer.FAILED] and not engine.node.pools.queued and not len(engine.pending_requests)


def test_a_stopped_run_goes_back_to_the_hold_where_its_answer_is_owed(engine, pending, answers):
    pending.run = Run(ID, print, print)
    pending.run.is_stopping = True
    engine.node.pools.running[pending.request] = None
    engine.on_run_ended(pending, Outcome.ABORTED, 0, b"")
    assert not answers and pending.request in engine.node.pools.queued


def test_a_call_that_was_dropped_tells_the_decisions_nothing(engine, pending, place):
    engine.node.pools.calling[pending.request] = None
    engine.on_call_ended(pending, place()[0], Outcome.INTERRUPTED, b"")
    assert pending.request in engine.node.pools.calling and not engine.node.calls.times


def test_a_call_spends_its_connection_for_that_request(engine, pending):
    engine.place_call(Decision(Action.CALL, pending.request, duration_us=SECOND), pending)
    assert pending.used_links == list(engine.catalogue.links)


def test_what_proved_not_to_have_run_leaves_its_key_to_a_repeat(engine, pending, answers):
    engine.records.find_or_add(b"k", pending.request)
    engine.records.set_expiry(0, b"k", pending.request, SECOND)
    engine.node.records.expiry[pending.request] = SECOND
    pending.run, pending.request.started = Run(ID, print, print), 1
    engine.node.pools.running[pending.request] = None
    engine.on_run_ended(pending, Outcome.UNREACHABLE, 0, b"")
    engine.run_decisions()
    assert answers == [Answer.FAILED] and not engine.records.by_key


def test_a_try_deferred_before_it_was_recorded_leaves_no_entry(engine, pending):
    engine.records.find_or_add(b"k", pending.request)
    engine.reject(Decision(Action.REJECT, pending.request), pending)
    assert not engine.records.by_key and not engine.records.by_request


def test_an_error_with_one_request_fails_that_one_alone(engine, pending, answers, report):
    engine.handlers[Action.REJECT] = lambda decision, pending: 1 / 0
    engine.execute(Decision(Action.REJECT, pending.request))
    assert answers == [Answer.FAILED] and report.counts["node errors"] == 1


def test_a_round_that_fails_is_followed_by_another(engine, reactor, report):
    engine.node.decide = lambda now: iter([1 / 0])
    engine.run_decisions()
    del engine.node.decide
    reactor.advance(0.1)
    reactor.advance(0)
    reactor.advance(0)
    assert report.counts["node errors"] == 1 and engine.node.wake_at


@pytest.mark.parametrize("up_after", [0.0, 0.1, 5.0])
def test_the_grace_counts_from_the_notice_also_where_the_interpreter_is_up_later(engine, reactor, up_after):
    engine.node, engine.machine.drain_grace_us = None, SECOND
    reactor.advance(10)
    engine.start_draining(20 * SECOND)
    reactor.advance(up_after)
    engine.on_interpreter_ready(False)
    assert engine.node.draining.no_run_after == 11 * SECOND


def test_sharers_of_a_run_that_failed_are_given_up(engine, receipted, answers):
    first, second = Request(receipted, 0, 0, started=1), Request(receipted, 0, 0)
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


def test_gauges_that_do_not_come_are_not_waited_for(engine, link, reactor, report):
    engine.interpreter, link.interpreter.started = link.interpreter, None
    engine.on_timer()
    assert link.pending_gauges and not report.counts["host wake-ups without gauges"]
    reactor.advance(0.05)
    assert not link.pending_gauges and report.counts["host wake-ups without gauges"] == 1


def test_a_sharer_whose_caller_left_waits_no_longer(engine, pending, receipted):
    pending.request.original = first = Request(receipted, 0, 0, started=1)
    engine.records.set_expiry(0, b"k", first, SECOND)
    engine.records.add_waiter(first, pending)
    engine.on_caller_gone(pending)
    assert not engine.records.by_request[first].waiters
