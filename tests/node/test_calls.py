"""Tests of the catalogue: calls and their connections, with a clock and transports in memory."""

import pytest
from net_parts import ID, SECOND

from lichencleat.admission.types import Outcome
from lichencleat.node.catalogue import CALL_TIMEOUT_MARGIN, IDLE_TIMEOUT, MAX_LINKS


def test_refused_connection_ends_call_as_unreachable(reactor, place):
    _, received = place(connected=False)
    reactor.connects[0].clientConnectionFailed(None, None)
    assert received == [(Outcome.UNREACHABLE, b"")]


def test_lost_connection_ends_sent_call_as_interrupted(catalogue, place):
    call, received = place()
    call.link.connectionLost()
    assert received == [(Outcome.INTERRUPTED, b"")] and not catalogue.links


def test_call_without_reply_times_out_and_is_cancelled(reactor, place):
    call, received = place()
    reactor.advance((SECOND + CALL_TIMEOUT_MARGIN) / SECOND + 0.01)
    reactor.advance(0)
    assert received == [(Outcome.TIMED_OUT, b"")] and b"QUIT " + ID in call.link.transport.value()


def test_call_that_times_out_while_connecting_is_unreachable(reactor, place):
    _, received = place(connected=False)
    reactor.advance((SECOND + CALL_TIMEOUT_MARGIN) / SECOND + 0.01)
    assert received == [(Outcome.UNREACHABLE, b"")]


def test_late_reply_to_cancelled_call_does_not_answer_next_call(place):
    first, _ = place()
    first.ended.cancel()
    second, received = place(used_links=[first.link])
    first.link.dataReceived(ID + b" DATA 3\r\nold\r\n")
    assert second.link is not first.link and not received
    second.link.dataReceived(ID + b" DATA 3\r\nnew\r\n")
    assert received == [(Outcome.COMPLETED, b"new")]


@pytest.mark.parametrize(
    "corrupt",
    [b"\x00\xff\r\n", ID + b" DATA\r\n", ID + b" DATA x\r\n", ID + b" WHO\r\n", ID + b" DATA 1\r\nabc\r\n"]
    + [ID + b" DATA 3000000000\r\n", b"x" * 2000, ID + b" LATER 3\r\n", b"short LATER\r\n"],
)
def test_corrupt_reply_aborts_connection_and_its_calls(catalogue, place, corrupt):
    call, received = place()
    link, transport = call.link, call.link.transport
    link.dataReceived(corrupt)
    assert received == [(Outcome.INTERRUPTED, b"")] and transport.aborted and not catalogue.links


def test_incomplete_reply_times_out(reactor, place):
    call, received = place()
    call.link.dataReceived(ID + b" DATA 9\r\nabc")
    reactor.advance(0.6)
    reactor.advance(0)
    assert received == [(Outcome.INTERRUPTED, b"")]


def test_calls_share_connections_only_above_the_limit(catalogue, place):
    links = [place()[0].link for _ in range(MAX_LINKS + 1)]
    for ident in range(MAX_LINKS + 1):
        catalogue.fetch(b"%016x" % ident, SECOND, b"", [])
    assert len(catalogue.links) == MAX_LINKS + 1 and max(len(each.calls) for each in links) == 2


def test_reply_with_unknown_id_is_skipped_with_its_body(place):
    call, received = place()
    call.link.dataReceived(b"00000000000000b2 DATA 4\r\n\r\nab\r\n" + ID + b" DATA 2\r\nok\r\n")
    assert received == [(Outcome.COMPLETED, b"ok")]


def test_new_address_takes_new_calls_while_calls_in_flight_end_on_old_connection(catalogue, place):
    old, received = place()
    assert catalogue.set_address(("", 1))
    new, _ = place()
    old.link.dataReceived(ID + b" DATA 2\r\nok\r\n")
    assert new.link is not old.link and received == [(Outcome.COMPLETED, b"ok")]
    assert old.link.transport.disconnecting


def test_idle_connection_is_closed(reactor, catalogue, place):
    call, _ = place()
    call.link.dataReceived(ID + b" LATER\r\n")
    reactor.advance(IDLE_TIMEOUT / SECOND + 0.01)
    reactor.advance(0)
    assert call.link.transport.disconnecting and not catalogue.links
