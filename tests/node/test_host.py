"""Parts of the real node, with a clock and transports in memory: host."""

import pytest
from net_parts import ID, SECOND

from lichencleat.admission.types import Action, Decision, Outcome, Request
from lichencleat.node.host import Answer, Case
from lichencleat.node.interpreter import Run


def test_the_host_tells_what_it_believes(host, case):
    assert host.beliefs() == "in hand: 1 held, 1 owed; health on, free value none"


def test_a_request_is_answered_once(host, case, answers):
    host.answer(case, Answer.GIVEN_UP)
    host.answer(case, Answer.HONOURED, b"x")
    assert answers == [Answer.GIVEN_UP]


def test_a_run_that_ends_by_itself_means_that_its_caller_left(host, case, answers):
    case.run = Run(ID, print, print)
    host.node.pools.running[case.request] = None
    host.run_ended(case, Outcome.ABORTED, 0, b"")
    assert answers == [Answer.GIVEN_UP] and not host.node.pools.queued and not len(host.cases)


def test_a_stopped_run_goes_back_to_the_hold_where_its_answer_is_owed(host, case, answers):
    case.run = Run(ID, print, print)
    case.run.stopping = True
    host.node.pools.running[case.request] = None
    host.run_ended(case, Outcome.ABORTED, 0, b"")
    assert not answers and case.request in host.node.pools.queued


def test_a_call_that_was_dropped_tells_the_decisions_nothing(host, case, place):
    host.node.pools.calling[case.request] = None
    host.call_ended(case, place()[0], Outcome.INTERRUPTED, b"")
    assert case.request in host.node.pools.calling and not host.node.calls.times


def test_a_call_spends_its_connection_for_that_request(host, case):
    host.place_call(Decision(Action.CALL, case.request, duration_us=SECOND), case)
    assert case.spent == list(host.catalogue.links)


def test_what_proved_not_to_have_run_leaves_its_key_to_a_repeat(host, case, answers):
    host.receipts.read(b"k", case.request)
    host.receipts.record(0, b"k", case.request, SECOND)
    host.node.records.expiry[case.request] = SECOND
    case.run, case.request.started = Run(ID, print, print), 1
    host.node.pools.running[case.request] = None
    host.run_ended(case, Outcome.UNREACHABLE, 0, b"")
    host.pull()
    assert answers == [Answer.GIVEN_UP] and not host.receipts.by_key


def test_a_try_deferred_before_it_was_recorded_leaves_no_entry(host, case):
    host.receipts.read(b"k", case.request)
    host.defer(Decision(Action.REJECT, case.request), case)
    assert not host.receipts.by_key and not host.receipts.by_request


def test_an_error_with_one_request_fails_that_one_alone(host, case, answers, report):
    host.carries_out[Action.REJECT] = lambda decision, case: 1 / 0
    host.carry_out(Decision(Action.REJECT, case.request))
    assert answers == [Answer.GIVEN_UP] and report.counts["node errors"] == 1


def test_a_round_that_fails_is_followed_by_another(host, reactor, report):
    host.node.decide = lambda now: iter([1 / 0])
    host.pull()
    del host.node.decide
    reactor.advance(0.1)
    reactor.advance(0)
    reactor.advance(0)
    assert report.counts["node errors"] == 1 and host.node.wake_at


@pytest.mark.parametrize("up_after", [0.0, 0.1, 5.0])
def test_the_grace_counts_from_the_notice_also_where_the_interpreter_is_up_later(host, reactor, up_after):
    host.node, host.machine.drain_grace_us = None, SECOND
    reactor.advance(10)
    host.must_leave(20 * SECOND)
    reactor.advance(up_after)
    host.begin(False)
    assert host.node.draining.no_run_after == 11 * SECOND


def test_sharers_of_a_run_that_failed_are_given_up(host, receipted, answers):
    first, second = Request(receipted, 0, 0, started=1), Request(receipted, 0, 0)
    second.original = first
    cases = [Case(each, ID, b"", b"k", lambda *answer: answers.append(answer[0])) for each in (first, second)]
    for each in cases:
        each.request.number = host.cases.take(each)
    host.receipts.record(0, b"k", first, SECOND)
    host.node.pools.running[first] = host.node.pools.coalesced[second] = None
    host.share(Decision(Action.COALESCE, second), cases[1])
    assert list(host.receipts.by_request[first].sharers) == [cases[1]]
    host.run_ended(cases[0], Outcome.FAILED, 0, b"")
    assert answers == [Answer.GIVEN_UP] * 2 and not len(host.cases)


def test_gauges_that_do_not_come_are_not_waited_for(host, link, reactor, report):
    host.interpreter, link.interpreter.up = link.interpreter, None
    host.wake()
    assert link.gauges and not report.counts["host wake-ups without gauges"]
    reactor.advance(0.05)
    assert not link.gauges and report.counts["host wake-ups without gauges"] == 1


def test_a_sharer_whose_caller_left_waits_no_longer(host, case, receipted):
    case.request.original = first = Request(receipted, 0, 0, started=1)
    host.receipts.record(0, b"k", first, SECOND)
    host.receipts.share(first, case)
    host.caller_left(case)
    assert not host.receipts.by_request[first].sharers
