"""Tests that a draining node ends within its stop time, with a clock and transports in memory."""

import json

import pytest
from net_parts import CHECK, ID, REQUEST, SECOND, Machine, Transport
from standins import SETTINGS

from lichencleat.node.assembly import RealNode
from lichencleat.node.config import read_start_settings


@pytest.fixture
def node(tmp_path):
    def make(stop_ms):
        settings = {"name": "n1", "listen": "127.0.0.1:0", "vm": "127.0.0.1:1", "members": "127.0.0.1:1"}
        settings |= {"seed": "5", "stop_ms": stop_ms, "limits": {"sockets": 256}, "settings": SETTINGS}
        config = tmp_path / "config.json"
        config.write_text(json.dumps(settings))
        reactor = Machine()
        reactor.advance(1_000)
        made = RealNode(
            reactor,
            lambda: int(reactor.seconds() * SECOND),
            read_start_settings({"BALANCER_CONFIG": str(config)}),
        )
        made.start()
        made.engine.on_interpreter_ready(False)
        return made

    return make


def advance(node, milliseconds):
    for _ in range(milliseconds // 10):
        node.reactor.advance(0.01)


@pytest.mark.parametrize("stop_ms", [0, 60, 200, 449, 700, 3200])
def test_node_answers_and_ends_within_the_stop_time(node, stop_ms):
    leaving = node(stop_ms)
    caller = leaving.dispatchers.buildProtocol(None)
    caller.makeConnection(Transport())
    caller.dataReceived(REQUEST.replace(b"s=1,", b"s=1000000,").replace(b"$36", b"$42") % ID)
    assert list(caller.pending_requests) == [7]
    leaving.leave()
    advance(leaving, stop_ms + 10)
    assert leaving.ended.called and not leaving.engine.unanswered_count()
    assert caller.transport.value().count(b"\r\n7\r\n") == 1 and caller.transport.ended


@pytest.mark.parametrize("first", ["notice", "request"])
def test_request_read_together_with_the_signal_is_answered_once(node, first):
    leaving = node(3200)
    caller = leaving.dispatchers.buildProtocol(None)
    caller.makeConnection(Transport())
    request = REQUEST.replace(b"s=1,", b"s=1000000,").replace(b"$36", b"$42") % ID
    if first == "notice":
        leaving.leave()
    caller.dataReceived(request)
    if first == "request":
        leaving.leave()
    advance(leaving, 3300)
    assert caller.transport.value().count(b"\r\n7\r\n") == 1
    assert leaving.ended.called and not leaving.engine.unanswered_count()


def test_client_that_never_closes_is_closed_at_the_end_of_the_stop_time(node):
    leaving = node(3200)
    caller = leaving.dispatchers.buildProtocol(None)
    caller.makeConnection(Transport())
    caller.dataReceived(CHECK)
    leaving.leave()
    advance(leaving, 3210)
    assert leaving.ended.called and caller.transport.ended and not caller.transport.aborted


def test_request_after_the_drain_is_not_run(node):
    leaving = node(1000)
    caller = leaving.dispatchers.buildProtocol(None)
    caller.makeConnection(Transport())
    leaving.leave()
    advance(leaving, 960)
    caller.dataReceived(REQUEST.replace(b"s=1,", b"s=1000900,").replace(b"$36", b"$42") % ID)
    advance(leaving, 100)
    assert leaving.ended.called and not leaving.interpreter.runs
