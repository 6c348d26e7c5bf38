"""Tests of dispatchers' connections and membership reports, with a clock and transports in memory."""

import pytest
from net_parts import CHECK, ID, REQUEST, SECOND, Transport

from lichencleat.node.dispatchers import MAX_BAD_ARRAYS, DispatcherListener
from lichencleat.node.membership import Membership
from lichencleat.node.pending_request import Answer
from lichencleat.node.requests import digest_parts


def test_membership_reports_stop_after_leave(reactor, deadlines, report):
    membership, sent = Membership("n1", ("", 0), deadlines, report), []
    membership.transport = membership.port = Transport()
    membership.transport.write = lambda datagram, address: sent.append(datagram)
    membership.send_periodically()
    membership.leave()
    reactor.advance(5)
    assert sent == [b"HB n1 UP", b"HB n1 OUT"]


def test_request_with_id_of_pending_request_fails(connection):
    connection.dataReceived(REQUEST % ID)
    connection.dataReceived(REQUEST.replace(b"$1\r\n7", b"$1\r\n8") % ID)
    assert (
        list(connection.pending_requests) == [7] and b"$1\r\n8\r\n$3\r\n500" in connection.transport.value()
    )


def test_connection_with_unread_answers_is_aborted(connection, reactor):
    connection.dataReceived(CHECK)
    connection.pauseProducing()
    reactor.advance(11)
    reactor.advance(0)
    assert connection.transport.aborted


def test_error_while_admitting_is_answered_and_request_removed(connection, engine, report):
    engine.node.on_request = lambda now, request: 1 / 0
    connection.dataReceived(REQUEST % ID)
    assert b"500" in connection.transport.value() and report.counts["node errors"] == 1
    assert not connection.pending_requests and not len(engine.pending_requests) and not engine.pending_ids


def test_tag_in_use_closes_connection_after_its_answer(connection, reactor):
    connection.dataReceived(REQUEST % ID)
    connection.dataReceived(REQUEST % b"00000000000000b2")
    reactor.advance(0)
    assert len(connection.pending_requests) == 1 and not connection.transport.ended
    connection.pending_requests[7].reply(Answer.SERVED, b"x", 0, False)
    reactor.advance(0)
    assert connection.transport.ended and connection.transport.producer is None


def test_idle_connections_get_goaway_and_close_unless_a_request_is_open(connection, reactor):
    connection.checks_only = False
    connection.pending_requests[1] = None
    connection.listener.set_idle_timeout(100_000)
    for _ in range(10):
        reactor.advance(0.06)
    assert not connection.transport.value()
    connection.pending_requests.clear()
    for _ in range(20):
        reactor.advance(0.06)
    assert b"goaway" in connection.transport.value() and connection.transport.ended


def test_idle_health_check_connection_gets_goaway_when_many_are_open(connection, reactor):
    connection.dataReceived(CHECK)
    connection.listener.max_connections = 1
    connection.listener.buildProtocol(None)
    assert b"goaway" not in connection.transport.value()
    reactor.advance(2)
    connection.listener.buildProtocol(None)
    assert b"goaway" in connection.transport.value()


def test_connection_after_goaway_leaves_no_timer(connection, reactor, deadlines):
    connection.listener.idle_timeout = 30 * SECOND
    connection.restart_idle_timer()
    connection.dataReceived(CHECK)
    connection.send_goaway()
    reactor.advance(1)
    reactor.advance(0)
    connection.connectionLost()
    assert not [entry for entry in deadlines.heap if entry[2].call]


@pytest.mark.parametrize("sent", [b"", b"*2\r\n$3\r\nRE", CHECK + b"*5\r\n", CHECK + b"*1\r\n$3\r\n"])
def test_connection_with_incomplete_array_is_closed(connection, reactor, sent):
    connection.dataReceived(sent)
    for _ in range(8):
        reactor.advance(0.2)
        connection.dataReceived(b"")
    assert connection.transport.ended


def test_silent_connection_after_health_check_stays_open(connection, reactor):
    connection.dataReceived(CHECK)
    reactor.advance(5)
    assert not connection.transport.disconnecting and not connection.transport.ended


def test_connection_closes_after_several_bad_arrays(connection, reactor):
    bad = b"*2\r\n$3\r\nODD\r\n$1\r\n%d\r\n"
    connection.dataReceived(b"".join(bad % tag for tag in range(1, 9)))
    reactor.advance(0)
    assert connection.transport.value().count(b"500") == MAX_BAD_ARRAYS and connection.transport.ended


def test_tag_of_thousands_of_digits_closes_connection(connection, report, reactor):
    connection.dataReceived(b"*2\r\n$6\r\nHEALTH\r\n$4000\r\n%s\r\n" % (b"1" * 4000))
    reactor.advance(0)
    assert connection.transport.ended and not report.counts["node errors"]


def test_requests_above_the_limit_of_a_connection_fail(connection):
    connection.pending_requests = dict.fromkeys(range(100, 132))
    connection.dataReceived(REQUEST % ID)
    assert b"500" in connection.transport.value()


def test_same_key_with_another_body_is_no_repeat(connection, engine):
    engine.clock = lambda: SECOND
    for tag, ident, body in ((1, ID, b"x"), (2, b"00000000000000b2", b"y"), (3, b"00000000000000c3", b"x")):
        fields = b"i=%s,s=1000,f=1,m=9,p=0.5,k=%s" % (ident, b"5c" * 16)
        connection.handle_array([b"REQ", b"%d" % tag, b"save", fields, body])
    first, other, repeat = (each.request for each in connection.pending_requests.values())
    assert repeat.original is first and other.original is None


def test_same_key_of_another_tenant_is_no_repeat_and_digests_of_different_parts_differ(connection, engine):
    engine.clock = lambda: SECOND
    connection.listener.tenants = frozenset([b"acme", b"other"])
    for tag, tenant in ((1, b"acme"), (2, b"other"), (3, b"acme")):
        fields = b"i=%016d,s=1000,f=1,m=9,p=0.5,t=%s,k=%s" % (tag, tenant, b"5c" * 16)
        connection.handle_array([b"REQ", b"%d" % tag, b"save", fields, b"x"])
    first, other, repeat = (each.request for each in connection.pending_requests.values())
    assert repeat.original is first and other.original is None
    assert (
        digest_parts(b"", b"a", b"b c") != digest_parts(b"", b"a b", b"c") != digest_parts(b"a", b"b", b"c")
    )


@pytest.mark.parametrize(
    "fields",
    [
        "i=0x000000000000a1",
        "i=" + "a" * 16 + ",i=" + "b" * 16,
        "m=2000",
        "m=0",
        "m=1e2",
        "p=1",
        "p=-0.1",
        "h=nan",
    ]
    + ["h=60001", "s=99000", "s=-1", "f=", "f=1_0", "t=nobody", "r=2"],
)
def test_request_with_invalid_field_is_refused(connection, engine, fields):
    engine.clock = lambda: 50 * SECOND
    connection.listener.tenants = frozenset([b"acme"])
    good = {"i": "00000000000000a1", "s": 50_000, "f": 1, "m": 9, "p": 0.5, "t": "acme"}
    name = fields.split("=")[0]
    text = ",".join([f"{key}={value}" for key, value in good.items() if key != name] + [fields]).encode()
    connection.handle_array([b"REQ", b"1", b"look", text, b"x"])
    assert not connection.pending_requests and b"500" in connection.transport.value()
    connection.handle_array(
        [b"REQ", b"2", b"look", ",".join(f"{k}={v}" for k, v in good.items()).encode(), b"x"]
    )
    assert list(connection.pending_requests) == [2]


def test_idle_timeout_of_the_settings_holds_from_the_start(connection, engine, deadlines, report):
    engine.machine.idle_timeout_us = 30 * SECOND
    assert DispatcherListener(engine, deadlines, report, 100).idle_timeout == 30 * SECOND


def test_new_membership_address_gets_report_at_once_unless_node_left(deadlines, report):
    membership, sent = Membership("n1", ("", 0), deadlines, report), []
    membership.transport = membership.port = Transport()
    membership.transport.write = lambda datagram, address: sent.append(address)
    membership.send_periodically()
    assert membership.set_address(("", 1)) and sent == [("", 0), ("", 1)]
    membership.leave()
    assert membership.set_address(("", 2)) and len(sent) == 3
