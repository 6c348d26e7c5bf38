"""A whole node that leaves, with a clock and transports in memory: it ends in its time to stop."""

import json

import pytest
from net_parts import CHECK, ID, REQUEST, SECOND, Machine, Transport
from standins import SETTINGS

from lichencleat.node.assembly import RealNode
from lichencleat.node.config import read_start_settings


@pytest.fixture
def node(tmp_path):
    def make(stop_ms):
        told = {"name": "n1", "listen": "127.0.0.1:0", "vm": "127.0.0.1:1", "members": "127.0.0.1:1"}
        told |= {"seed": "5", "stop_ms": stop_ms, "limits": {"sockets": 256}, "settings": SETTINGS}
        config = tmp_path / "config.json"
        config.write_text(json.dumps(told))
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


def step(node, milliseconds):
    for _ in range(milliseconds // 10):
        node.reactor.advance(0.01)


@pytest.mark.parametrize("stop_ms", [0, 60, 200, 449, 700, 3200])
def test_a_node_answers_and_ends_within_its_time_to_stop_however_short(node, stop_ms):
    left = node(stop_ms)
    caller = left.dispatchers.buildProtocol(None)
    caller.makeConnection(Transport())
    caller.dataReceived(REQUEST.replace(b"s=1,", b"s=1000000,").replace(b"$36", b"$42") % ID)
    assert list(caller.pending_requests) == [7]
    left.leave()
    step(left, stop_ms + 10)
    assert left.ended.called and not left.engine.unanswered_count()
    assert caller.transport.value().count(b"\r\n7\r\n") == 1 and caller.transport.ended


@pytest.mark.parametrize("first", ["notice", "request"])
def test_what_is_read_with_the_notice_is_answered_once_in_either_order(node, first):
    left = node(3200)
    caller = left.dispatchers.buildProtocol(None)
    caller.makeConnection(Transport())
    arrives = REQUEST.replace(b"s=1,", b"s=1000000,").replace(b"$36", b"$42") % ID
    if first == "notice":
        left.leave()
    caller.dataReceived(arrives)
    if first == "request":
        left.leave()
    step(left, 3300)
    assert caller.transport.value().count(b"\r\n7\r\n") == 1
    assert left.ended.called and not left.engine.unanswered_count()


def test_a_caller_that_never_ends_its_side_is_let_go_at_the_end_with_its_answers(node):
    left = node(3200)
    caller = left.dispatchers.buildProtocol(None)
    caller.makeConnection(Transport())
    caller.dataReceived(CHECK)
    left.leave()
    step(left, 3210)
    assert left.ended.called and caller.transport.ended and not caller.transport.aborted


def test_after_its_last_look_nothing_that_comes_is_run(node):
    left = node(1000)
    caller = left.dispatchers.buildProtocol(None)
    caller.makeConnection(Transport())
    left.leave()
    step(left, 960)
    caller.dataReceived(REQUEST.replace(b"s=1,", b"s=1000900,").replace(b"$36", b"$42") % ID)
    step(left, 100)
    assert left.ended.called and not left.interpreter.runs
