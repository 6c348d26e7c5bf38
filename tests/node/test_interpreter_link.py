"""Parts of the real node, with a clock and transports in memory: interpreter link."""

import pytest
from net_parts import ID, SECOND

from lichencleat.admission.types import Outcome
from lichencleat.node.interpreter import MAX_KEPT_NOTICES, SILENCE_TIMEOUT


def test_a_notice_that_comes_again_is_passed_over(link, run):
    made, heard = run
    link.interpreter.runs[ID] = made
    for _ in range(2):
        link.dataReceived(b"AWAIT 1 %s 4\r\ncall\r\n" % ID)
    link.dataReceived(b"VALUE 2 %s PASS 2.5 2\r\nok\r\n" % ID)
    assert heard == [(b"call",), (Outcome.COMPLETED, 2500, b"ok")] and not link.interpreter.runs


def test_a_new_link_says_again_that_a_run_is_to_stop(link, run):
    made, _ = run
    link.interpreter.runs[ID], made.is_stopping = made, True
    link.interpreter.resend_commands(link)
    assert link.transport.value() == b"BREAK " + ID + b"\r\n"


@pytest.mark.parametrize(("written", "pure", "again"), [(True, True, 1), (True, False, 0), (False, False, 1)])
def test_a_new_link_says_again_only_what_does_no_harm(link, run, written, pure, again):
    made, _ = run
    link.ready = written
    link.interpreter.apply(made, b"look", b"x", pure)
    link.transport.clear()
    link.interpreter.resend_commands(link)
    assert link.transport.value().count(b"APPLY") == again


@pytest.mark.parametrize(
    ("pure", "age", "said"), [(True, 0.01, b"BREAK"), (True, 0.5, b""), (False, 0.01, b"")]
)
def test_a_pure_run_whose_reply_may_be_lost_is_stopped_and_no_reply_said_twice(
    link, run, reactor, pure, age, said
):
    made, _ = run
    link.interpreter.apply(made, b"look", b"x", pure)
    link.interpreter.on_call_needed(ID, b"call")
    link.interpreter.resolve(made, b"reply")
    reactor.rightNow += age
    link.connectionLost()
    link.transport.clear()
    link.interpreter.resend_commands(link)
    assert link.transport.value().split(b" ")[0] == said and made.is_stopping == bool(said)


@pytest.mark.parametrize("took", [b"nan", b"inf", b"-1", b"1e300", b"x"])
def test_a_run_whose_end_has_a_spoilt_figure_is_not_forgotten(link, run, report, took):
    made, heard = run
    link.interpreter.runs[ID] = made
    link.dataReceived(b"VALUE 1 %s PASS %s 1\r\nx\r\n" % (ID, took))
    assert not heard and report.counts["interpreter notices unreadable"] == 1
    assert not report.counts["node errors"]
    link.dataReceived(b"VALUE 2 %s KILLED 5 0\r\n\r\n" % ID)
    assert heard == [(Outcome.ABORTED, 5000, b"")]


@pytest.mark.parametrize(
    "number", [b"9" * 17, b"%d" % (MAX_KEPT_NOTICES + 1), b"+1", b"1_0", b"9" * 5000, b"-1"]
)
def test_a_spoilt_number_does_not_make_the_notices_after_it_look_repeated(link, run, report, number):
    made, heard = run
    link.interpreter.runs[ID] = made
    link.dataReceived(b"TRACE %s x\r\n" % number[:900])
    link.dataReceived(b"VALUE 1 %s PASS 5 1\r\nx\r\n" % ID)
    assert heard == [(Outcome.COMPLETED, 5000, b"x")] and not report.counts["node errors"]


@pytest.mark.parametrize("banner", [b"BANNER", b"BANNER LOADED x", b"BANNER ODD 5", b"BANNER LOADED nan"])
def test_a_link_whose_banner_cannot_be_read_is_made_anew(link, reactor, report, banner):
    link.dataReceived(banner + b"\r\n")
    reactor.advance(0.1)
    reactor.advance(0)
    assert link.transport.aborted and report.counts["interpreter banners unreadable"] == 1
    assert not report.counts["node errors"]


@pytest.mark.parametrize("pure", [True, False])
def test_a_second_banner_on_a_link_says_nothing_again_and_starts_nothing_anew(link, run, report, pure):
    made, heard = run
    began, link.ready, link.interpreter.on_interpreter_started = [], False, lambda age: began.append(age)
    link.dataReceived(b"BANNER LOADED 5000\r\nTOPS sync 0.2 1 0.1 3\r\n")
    link.interpreter.apply(made, b"look", b"x", pure)
    link.transport.clear()
    link.dataReceived(b"BANNER EMPTY 5\r\nTOPS sync 0.2 1 0.1 3\r\n")  # before any notice of the run
    assert link.transport.value() == b"" and began == [5_000_000] and not link.transport.aborted
    assert report.counts["interpreter banners come again"] == report.counts["interpreter banners"] == 1
    link.dataReceived(b"VALUE 1 %s PASS 5 1\r\nx\r\n" % ID)
    assert heard == [(Outcome.COMPLETED, 5000, b"x")]


def test_gauges_that_are_no_figures_do_not_reach_the_decisions(link, report):
    asked = link.ask_gauges(b"g1")
    link.dataReceived(b"TOPS g1 nan 1 1 1\r\n")
    assert not asked.called and report.counts["interpreter notices unreadable"] == 1


def test_a_lost_link_is_renewed_at_once_and_a_failed_try_later(link, reactor):
    link.connectionLost()
    assert len(reactor.connects) == 1
    reactor.connects[0].clientConnectionFailed(None, None)
    assert len(reactor.connects) == 1
    reactor.advance(0.06)
    reactor.advance(0)
    assert len(reactor.connects) == 2


def test_a_moved_link_is_replaced_by_the_new_one_alone(link, reactor):
    assert link.interpreter.set_address(("", 1)) and not link.interpreter.set_address(("", 1))
    assert link.interpreter.set_address(("", 2)) and link.interpreter.link is link
    assert reactor.connects[0].buildProtocol(None) is None  # of the address before
    new = reactor.connects[1].buildProtocol(None)
    link.connectionLost()
    assert link.interpreter.link is new and len(reactor.connects) == 2


@pytest.mark.parametrize("command", [b"APPLY", b"BREAK"])
def test_a_command_that_was_not_carried_out_ends_its_run(link, run, command):
    made, heard = run
    link.interpreter.runs[ID] = made
    link.dataReceived(b"ERROR %s %s\r\n" % (command, ID))
    assert heard == [(Outcome.UNREACHABLE, 0, b"")]


def test_a_run_that_does_not_stop_may_never_have_begun_and_is_begun_before_its_next_stop(link, run):
    made, _ = run
    link.interpreter.apply(made, b"save", b"x", False)
    link.transport.clear()
    link.interpreter.stop_run(made)
    assert b"APPLY" not in link.transport.value()
    link.interpreter.stop_run(made)
    assert b"APPLY " + ID + b" save 1\r\nx\r\nBREAK" in link.transport.value()


def test_a_link_that_stays_silent_is_renewed(link, reactor):
    link.interpreter.started = None
    link.interpreter.request_gauges()
    reactor.advance(SILENCE_TIMEOUT / SECOND + 0.01)
    assert link.interpreter.request_gauges() is None and link.transport.aborted


def test_gauges_asked_before_the_link_broke_come_as_none(link):
    heard, link.interpreter.started = [], None
    link.interpreter.request_gauges().addCallback(heard.append)
    link.connectionLost()
    assert heard == [None]
