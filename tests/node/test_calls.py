"""Parts of the real node, with a clock and transports in memory: calls."""

import pytest
from net_parts import ID, SECOND

from lichencleat.admission.types import Outcome
from lichencleat.node.catalogue import CALL_TIMEOUT_MARGIN, IDLE_TIMEOUT, MAX_LINKS


def test_a_refused_connection_proves_that_no_call_ran(reactor, place):
    _, heard = place(connected=False)
    reactor.connects[0].clientConnectionFailed(None, None)
    assert heard == [(Outcome.UNREACHABLE, b"")]


def test_a_broken_connection_proves_nothing(catalogue, place):
    call, heard = place()
    call.link.connectionLost()
    assert heard == [(Outcome.INTERRUPTED, b"")] and not catalogue.links


def test_a_silent_proxy_is_given_up_past_the_stated_time(reactor, place):
    call, heard = place()
    reactor.advance((SECOND + CALL_TIMEOUT_MARGIN) / SECOND + 0.01)
    reactor.advance(0)
    assert heard == [(Outcome.TIMED_OUT, b"")] and b"QUIT " + ID in call.link.transport.value()


def test_a_call_given_up_before_there_was_a_connection_never_ran(reactor, place):
    _, heard = place(connected=False)
    reactor.advance((SECOND + CALL_TIMEOUT_MARGIN) / SECOND + 0.01)
    assert heard == [(Outcome.UNREACHABLE, b"")]


def test_the_late_reply_to_a_call_given_up_is_not_taken_for_the_next_one(place):
    first, _ = place()
    first.ended.cancel()
    second, heard = place(used_links=[first.link])
    first.link.dataReceived(ID + b" DATA 3\r\nold\r\n")
    assert second.link is not first.link and not heard
    second.link.dataReceived(ID + b" DATA 3\r\nnew\r\n")
    assert heard == [(Outcome.COMPLETED, b"new")]


@pytest.mark.parametrize(
    "spoilt",
    [b"\x00\xff\r\n", ID + b" DATA\r\n", ID + b" DATA x\r\n", ID + b" WHO\r\n", ID + b" DATA 1\r\nabc\r\n"]
    + [ID + b" DATA 3000000000\r\n", b"x" * 2000, ID + b" LATER 3\r\n", b"short LATER\r\n"],
)
def test_a_spoilt_reply_ends_the_calls_of_its_connection_at_once(catalogue, place, spoilt):
    call, heard = place()
    link, transport = call.link, call.link.transport
    link.dataReceived(spoilt)
    assert heard == [(Outcome.INTERRUPTED, b"")] and transport.aborted and not catalogue.links


def test_a_reply_that_begins_and_does_not_end_is_given_up_soon(reactor, place):
    call, heard = place()
    call.link.dataReceived(ID + b" DATA 9\r\nabc")
    reactor.advance(0.6)
    reactor.advance(0)
    assert heard == [(Outcome.INTERRUPTED, b"")]


def test_a_call_has_its_connection_to_itself_until_there_are_many(catalogue, place):
    links = [place()[0].link for _ in range(MAX_LINKS + 1)]
    for ident in range(MAX_LINKS + 1):
        catalogue.fetch(b"%016x" % ident, SECOND, b"", [])
    assert len(catalogue.links) == MAX_LINKS + 1 and max(len(each.calls) for each in links) == 2


def test_a_reply_under_an_unknown_id_is_skipped_with_its_body(place):
    call, heard = place()
    call.link.dataReceived(b"00000000000000b2 DATA 4\r\n\r\nab\r\n" + ID + b" DATA 2\r\nok\r\n")
    assert heard == [(Outcome.COMPLETED, b"ok")]


def test_moved_calls_go_to_the_new_address_and_those_under_way_end_where_they_are(catalogue, place):
    old, heard = place()
    assert catalogue.set_address(("", 1))
    new, _ = place()
    old.link.dataReceived(ID + b" DATA 2\r\nok\r\n")
    assert new.link is not old.link and heard == [(Outcome.COMPLETED, b"ok")]
    assert old.link.transport.disconnecting


def test_an_idle_connection_is_closed_before_the_other_side_does(reactor, catalogue, place):
    call, _ = place()
    call.link.dataReceived(ID + b" LATER\r\n")
    reactor.advance(IDLE_TIMEOUT / SECOND + 0.01)
    reactor.advance(0)
    assert call.link.transport.disconnecting and not catalogue.links
