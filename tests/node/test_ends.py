"""Tests of how dispatchers' connections close, with a clock and transports in memory."""

import pytest
from net_parts import CHECK, ID, REQUEST, Transport

from lichencleat.node.catalogue import max_catalogue_links
from lichencleat.node.dispatchers import CONNECTIONS_PER_SPARE, RESERVED_DESCRIPTORS, DispatcherListener
from lichencleat.node.pending_request import Answer


def test_near_the_limit_the_oldest_silent_connection_closes_and_accepting_pauses(connection, reactor):
    listener, listening = connection.listener, []
    listener.port = type("Port", (), {})()
    listener.port.pauseProducing = lambda: listening.append(False)
    listener.port.resumeProducing = lambda: listening.append(True)
    listener.max_connections = 16  # two of them are spare
    reactor.advance(0.1)
    others = [listener.buildProtocol(None) for _ in range(13)]
    for each in others:
        each.makeConnection(Transport())
    reactor.advance(0)
    assert not connection.transport.ended and not listening  # the limit is not reached yet
    others.append(listener.buildProtocol(None))
    others[-1].makeConnection(Transport())
    reactor.advance(0)
    assert connection.transport.ended and not connection.transport.aborted
    assert not any(each.transport.ended for each in others)  # they may have sent unread requests
    assert listening == [False]  # with one spare connection left, accepting pauses
    connection.connectionLost()
    assert listening == [False, True]


def test_request_read_before_a_scheduled_close_postpones_it(connection, reactor):
    connection.schedule_close()
    connection.dataReceived(REQUEST % ID)  # the reactor reads once before the close
    reactor.advance(0)
    assert list(connection.pending_requests) == [7] and not connection.transport.ended


def test_request_that_crosses_the_half_close_is_dropped(connection, reactor, engine):
    connection.schedule_close()
    reactor.advance(0)
    assert connection.transport.ended
    connection.dataReceived(REQUEST % ID)
    assert (
        not connection.pending_requests
        and not len(engine.pending_requests)
        and not connection.transport.value()
    )
    connection.writeConnectionLost()
    assert not connection.transport.disconnecting  # the client has time to read and to close its side
    reactor.advance(1.1)
    reactor.advance(0)
    assert connection.transport.disconnecting and not connection.transport.aborted


def test_request_that_crosses_goaway_is_answered_before_the_close(connection, reactor):
    connection.dataReceived(CHECK)
    connection.send_goaway()
    connection.dataReceived(REQUEST % ID)
    for _ in range(5):
        reactor.advance(0.3)
    assert not connection.transport.ended
    connection.pending_requests[7].reply(Answer.SERVED, b"x", 0, False)
    for _ in range(3):
        reactor.advance(0.3)
    assert connection.transport.ended


def test_array_completed_after_its_timeout_is_handled_while_connection_is_open(connection, reactor):
    connection.dataReceived(CHECK + (REQUEST % ID)[:40])
    reactor.advance(1.1)
    reactor.advance(0)
    assert b"goaway" in connection.transport.value()
    connection.dataReceived((REQUEST % ID)[40:])
    assert list(connection.pending_requests) == [7]


def test_abort_is_handled_after_goaway(connection, reactor, engine):
    connection.dataReceived(REQUEST % ID)
    connection.send_goaway()
    connection.dataReceived(b"*2\r\n$5\r\nABORT\r\n$1\r\n7\r\n")
    assert not connection.pending_requests and not engine.unanswered_count()


def test_flood_on_a_closing_connection_pauses_reading(connection):
    connection.stop_reading("no array")
    for _ in range(20):
        connection.dataReceived(b"x" * 16_384)
    assert connection.transport.producerState == "paused"


def test_half_close_by_client_abandons_requests_and_flushes_answers(connection, reactor, engine):
    connection.dataReceived(CHECK + REQUEST % ID)
    connection.readConnectionLost()
    assert not connection.pending_requests and not engine.unanswered_count()
    assert connection.transport.disconnecting and connection.transport.producer is None
    assert not connection.transport.aborted


@pytest.mark.parametrize("descriptors", [64, 96, 128, 512, 1024])
def test_clients_may_use_half_of_the_descriptors(engine, deadlines, report, descriptors):
    listener = DispatcherListener(engine, deadlines, report, descriptors)
    assert descriptors // 2 < listener.max_connections - listener.max_connections // CONNECTIONS_PER_SPARE
    assert listener.max_connections + max_catalogue_links(descriptors) + RESERVED_DESCRIPTORS <= descriptors


@pytest.mark.parametrize("megabytes", [8, 64, 192])
def test_unread_answers_use_a_bounded_part_of_the_memory(engine, deadlines, report, megabytes):
    listener = DispatcherListener(engine, deadlines, report, 1024, memory=megabytes << 20)
    stuck = []
    for _ in range(200):
        stuck.append(listener.buildProtocol(None))
        stuck[-1].makeConnection(Transport())
        stuck[-1].pauseProducing()
    held = [each for each in stuck if not each.transport.aborted]
    assert (
        len(held) * (16_384 + 32 * 4_096) <= max(147_456, megabytes << 20 >> 3)
        and held == stuck[-len(held) :]
    )
    held[0].resumeProducing()
    extra = listener.buildProtocol(None)
    extra.makeConnection(Transport())
    extra.pauseProducing()
    assert not held[0].transport.aborted  # it reads again, so it is not stalled


def test_incomplete_array_postpones_the_close_after_goaway(connection, reactor):
    connection.dataReceived(CHECK)
    connection.send_goaway()
    reactor.advance(0.2)
    connection.dataReceived((REQUEST % ID)[:40])
    for _ in range(4):
        reactor.advance(0.1)
        reactor.advance(0)
    assert not connection.transport.ended
    connection.dataReceived((REQUEST % ID)[40:])
    assert list(connection.pending_requests) == [7]


@pytest.mark.parametrize("spoke", [False, True])
def test_connection_with_incomplete_array_is_evicted(connection, reactor, spoke):
    connection.dataReceived((CHECK if spoke else b"") + (REQUEST % ID)[:40])
    reactor.advance(0.1)
    connection.listener.evict_one()
    reactor.advance(0)
    assert connection.transport.ended


def test_lingering_connection_is_evicted_only_after_its_answers_were_sent(connection, reactor):
    connection.dataReceived(CHECK)
    connection.close()
    reactor.advance(0.1)
    connection.listener.evict_one()
    assert not connection.transport.aborted  # its client has not read all answers yet
    connection.writeConnectionLost()
    connection.listener.evict_one()
    assert not connection.transport.aborted  # requests that cross the half-close may still arrive
    reactor.advance(0.1)
    connection.listener.evict_one()
    assert connection.transport.aborted
