"""Tests of the link to the interpreter, with a clock and transports in memory."""

import pytest
from net_parts import ID, SECOND

from lichencleat.admission.types import Outcome
from lichencleat.node.interpreter import MAX_KEPT_NOTICES, SILENCE_TIMEOUT


def test_repeated_notice_is_skipped(link, run):
    made, received = run
    link.interpreter.runs[ID] = made
    for _ in range(2):
        link.dataReceived(b"AWAIT 1 %s 4\r\ncall\r\n" % ID)
    link.dataReceived(b"VALUE 2 %s PASS 2.5 2\r\nok\r\n" % ID)
    assert received == [(b"call",), (Outcome.COMPLETED, 2500, b"ok")] and not link.interpreter.runs


def test_new_link_resends_stops(link, run):
    made, _ = run
    link.interpreter.runs[ID], made.is_stopping = made, True
    link.interpreter.resend_commands(link)
    assert link.transport.value() == b"BREAK " + ID + b"\r\n"


@pytest.mark.parametrize(
    ("written", "idempotent", "resent"), [(True, True, 1), (True, False, 0), (False, False, 1)]
)
def test_new_link_resends_starts_only_where_that_is_safe(link, run, written, idempotent, resent):
    made, _ = run
    link.ready = written
    link.interpreter.apply(made, b"look", b"x", idempotent)
    link.transport.clear()
    link.interpreter.resend_commands(link)
    assert link.transport.value().count(b"APPLY") == resent


@pytest.mark.parametrize(
    ("idempotent", "age", "sent"), [(True, 0.01, b"BREAK"), (True, 0.5, b""), (False, 0.01, b"")]
)
def test_idempotent_run_whose_reply_may_be_lost_is_stopped_and_no_reply_resent(
    link, run, reactor, idempotent, age, sent
):
    made, _ = run
    link.interpreter.apply(made, b"look", b"x", idempotent)
    link.interpreter.on_call_needed(ID, b"call")
    link.interpreter.resolve(made, b"reply")
    reactor.rightNow += age
    link.connectionLost()
    link.transport.clear()
    link.interpreter.resend_commands(link)
    assert link.transport.value().split(b" ")[0] == sent and made.is_stopping == bool(sent)


@pytest.mark.parametrize("took", [b"nan", b"inf", b"-1", b"1e300", b"x"])
def test_run_stays_known_after_an_end_with_an_invalid_number(link, run, report, took):
    made, received = run
    link.interpreter.runs[ID] = made
    link.dataReceived(b"VALUE 1 %s PASS %s 1\r\nx\r\n" % (ID, took))
    assert not received and report.counts["interpreter notices unreadable"] == 1
    assert not report.counts["node errors"]
    link.dataReceived(b"VALUE 2 %s KILLED 5 0\r\n\r\n" % ID)
    assert received == [(Outcome.ABORTED, 5000, b"")]


@pytest.mark.parametrize(
    "number", [b"9" * 17, b"%d" % (MAX_KEPT_NOTICES + 1), b"+1", b"1_0", b"9" * 5000, b"-1"]
)
def test_notice_with_invalid_number_does_not_hide_later_notices(link, run, report, number):
    made, received = run
    link.interpreter.runs[ID] = made
    link.dataReceived(b"TRACE %s x\r\n" % number[:900])
    link.dataReceived(b"VALUE 1 %s PASS 5 1\r\nx\r\n" % ID)
    assert received == [(Outcome.COMPLETED, 5000, b"x")] and not report.counts["node errors"]


@pytest.mark.parametrize("banner", [b"BANNER", b"BANNER LOADED x", b"BANNER ODD 5", b"BANNER LOADED nan"])
def test_link_with_unreadable_banner_is_aborted(link, reactor, report, banner):
    link.dataReceived(banner + b"\r\n")
    reactor.advance(0.1)
    reactor.advance(0)
    assert link.transport.aborted and report.counts["interpreter banners unreadable"] == 1
    assert not report.counts["node errors"]


@pytest.mark.parametrize("idempotent", [True, False])
def test_second_banner_on_a_link_is_ignored(link, run, report, idempotent):
    made, received = run
    began, link.ready, link.interpreter.on_interpreter_started = [], False, lambda age: began.append(age)
    link.dataReceived(b"BANNER LOADED 5000\r\nTOPS sync 0.2 1 0.1 3\r\n")
    link.interpreter.apply(made, b"look", b"x", idempotent)
    link.transport.clear()
    link.dataReceived(b"BANNER EMPTY 5\r\nTOPS sync 0.2 1 0.1 3\r\n")  # before any notice of the run
    assert link.transport.value() == b"" and began == [5_000_000] and not link.transport.aborted
    assert report.counts["interpreter banners come again"] == report.counts["interpreter banners"] == 1
    link.dataReceived(b"VALUE 1 %s PASS 5 1\r\nx\r\n" % ID)
    assert received == [(Outcome.COMPLETED, 5000, b"x")]


def test_invalid_gauges_are_ignored(link, report):
    asked = link.ask_gauges(b"g1")
    link.dataReceived(b"TOPS g1 nan 1 1 1\r\n")
    assert not asked.called and report.counts["interpreter notices unreadable"] == 1


def test_lost_link_reconnects_at_once_and_failed_attempt_is_retried_later(link, reactor):
    link.connectionLost()
    assert len(reactor.connects) == 1
    reactor.connects[0].clientConnectionFailed(None, None)
    assert len(reactor.connects) == 1
    reactor.advance(0.06)
    reactor.advance(0)
    assert len(reactor.connects) == 2


def test_new_address_replaces_the_link_and_earlier_attempts(link, reactor):
    assert link.interpreter.set_address(("", 1)) and not link.interpreter.set_address(("", 1))
    assert link.interpreter.set_address(("", 2)) and link.interpreter.link is link
    assert reactor.connects[0].buildProtocol(None) is None  # an attempt to the previous address
    new = reactor.connects[1].buildProtocol(None)
    link.connectionLost()
    assert link.interpreter.link is new and len(reactor.connects) == 2


@pytest.mark.parametrize("command", [b"APPLY", b"BREAK"])
def test_failed_command_ends_its_run(link, run, command):
    made, received = run
    link.interpreter.runs[ID] = made
    link.dataReceived(b"ERROR %s %s\r\n" % (command, ID))
    assert received == [(Outcome.UNREACHABLE, 0, b"")]


def test_second_stop_is_preceded_by_the_start_of_an_unconfirmed_run(link, run):
    made, _ = run
    link.interpreter.apply(made, b"save", b"x", False)
    link.transport.clear()
    link.interpreter.stop_run(made)
    assert b"APPLY" not in link.transport.value()
    link.interpreter.stop_run(made)
    assert b"APPLY " + ID + b" save 1\r\nx\r\nBREAK" in link.transport.value()


def test_silent_link_is_aborted(link, reactor):
    link.interpreter.started = None
    link.interpreter.request_gauges()
    reactor.advance(SILENCE_TIMEOUT / SECOND + 0.01)
    assert link.interpreter.request_gauges() is None and link.transport.aborted


def test_gauges_of_a_lost_link_are_none(link):
    received, link.interpreter.started = [], None
    link.interpreter.request_gauges().addCallback(received.append)
    link.connectionLost()
    assert received == [None]
