"""Parts of the real node, with a clock and transports in memory: how connections end."""

import pytest
from net_parts import CHECK, ID, REQUEST, Transport

from lichencleat.node.catalogue import max_catalogue_links
from lichencleat.node.dispatchers import CONNECTIONS_PER_SPARE, RESERVED_DESCRIPTORS, DispatcherListener
from lichencleat.node.host import Answer


def test_near_the_bound_the_oldest_that_said_nothing_ends_and_none_is_cut_off(connection, reactor):
    listener, listening = connection.listener, []
    listener.port = type("Port", (), {})()
    listener.port.pauseProducing = lambda: listening.append(False)
    listener.port.resumeProducing = lambda: listening.append(True)
    listener.max_connections = 16  # two of them spare
    reactor.advance(0.1)
    others = [listener.buildProtocol(None) for _ in range(13)]
    for each in others:
        each.makeConnection(Transport())
    reactor.advance(0)
    assert not connection.transport.ended and not listening  # as many as there may be
    others.append(listener.buildProtocol(None))
    others[-1].makeConnection(Transport())
    reactor.advance(0)
    assert connection.transport.ended and not connection.transport.aborted
    assert not any(each.transport.ended for each in others)  # they may have written what was not read yet
    assert listening == [False]  # with one spare place left, those that come wait for it
    connection.connectionLost()
    assert listening == [False, True]


def test_what_came_before_the_end_is_read_before_it_and_puts_it_off(connection, reactor):
    connection.schedule_close()
    connection.dataReceived(REQUEST % ID)  # the reactor reads once between the two steps
    reactor.advance(0)
    assert list(connection.pending_requests) == [7] and not connection.transport.ended


def test_what_crosses_the_end_is_dropped_and_never_run(connection, reactor, engine):
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
    assert not connection.transport.disconnecting  # the caller has its time to read and to end its side
    reactor.advance(1.1)
    reactor.advance(0)
    assert connection.transport.disconnecting and not connection.transport.aborted


def test_a_caller_asked_to_go_whose_request_crossed_that_is_answered_and_then_ended(connection, reactor):
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


def test_an_array_that_came_slowly_still_counts_until_its_connection_ends(connection, reactor):
    connection.dataReceived(CHECK + (REQUEST % ID)[:40])
    reactor.advance(1.1)
    reactor.advance(0)
    assert b"goaway" in connection.transport.value()
    connection.dataReceived((REQUEST % ID)[40:])
    assert list(connection.pending_requests) == [7]


def test_an_abort_is_heard_on_a_connection_that_is_to_end(connection, reactor, engine):
    connection.dataReceived(REQUEST % ID)
    connection.send_goaway()
    connection.dataReceived(b"*2\r\n$5\r\nABORT\r\n$1\r\n7\r\n")
    assert not connection.pending_requests and not engine.unanswered_count()


def test_a_flood_on_a_connection_that_ends_is_not_read_for_ever(connection):
    connection.stop_reading("no array")
    for _ in range(20):
        connection.dataReceived(b"x" * 16_384)
    assert connection.transport.producerState == "paused"


def test_a_caller_that_ended_its_side_is_gone_and_what_was_written_goes_out(connection, reactor, engine):
    connection.dataReceived(CHECK + REQUEST % ID)
    connection.readConnectionLost()
    assert not connection.pending_requests and not engine.unanswered_count()
    assert connection.transport.disconnecting and connection.transport.producer is None
    assert not connection.transport.aborted


@pytest.mark.parametrize("descriptors", [64, 96, 128, 512, 1024])
def test_callers_may_take_half_of_the_descriptors_whatever_their_number(
    engine, deadlines, report, descriptors
):
    listener = DispatcherListener(engine, deadlines, report, descriptors)
    assert descriptors // 2 < listener.max_connections - listener.max_connections // CONNECTIONS_PER_SPARE
    assert listener.max_connections + max_catalogue_links(descriptors) + RESERVED_DESCRIPTORS <= descriptors


@pytest.mark.parametrize("megabytes", [8, 64, 192])
def test_callers_that_read_nothing_hold_a_part_of_the_memory_at_most(engine, deadlines, report, megabytes):
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
    assert not held[0].transport.aborted  # it reads again, so it is none of them


def test_an_array_under_way_puts_the_end_of_a_caller_asked_to_go_off_until_it_is_whole(connection, reactor):
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
def test_half_an_array_keeps_no_place_that_others_need(connection, reactor, spoke):
    connection.dataReceived((CHECK if spoke else b"") + (REQUEST % ID)[:40])
    reactor.advance(0.1)
    connection.listener.evict_one()
    reactor.advance(0)
    assert connection.transport.ended


def test_one_that_lingers_is_let_go_for_others_only_after_its_answers_went_out(connection, reactor):
    connection.dataReceived(CHECK)
    connection.close()
    reactor.advance(0.1)
    connection.listener.evict_one()
    assert not connection.transport.aborted  # its caller has not read yet what was written
    connection.writeConnectionLost()
    connection.listener.evict_one()
    assert not connection.transport.aborted  # what crosses may still come
    reactor.advance(0.1)
    connection.listener.evict_one()
    assert connection.transport.aborted
