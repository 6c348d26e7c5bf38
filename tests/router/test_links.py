"""Connections of a router, in memory: to nodes and to callers; and its configuration file."""

import json
import random
import re

import pytest
from twisted.internet.testing import MemoryReactorClock, StringTransport

from lichencleat.admission.types import CapacitySignal, Effect, NodeSpec, RequestClass
from lichencleat.config.errors import InvalidConfigError
from lichencleat.failover.messages import Zone
from lichencleat.node.deadlines import Deadlines
from lichencleat.node.report import Report
from lichencleat.node.resp import ArrayReader, array
from lichencleat.router.core import Router
from lichencleat.router.door import RouterConnection, RouterEngine, RouterListener, retry_fields
from lichencleat.router.file import read_router
from lichencleat.router.links import (
    CONNECT_TIMEOUT_US,
    MAX_CONNECTIONS,
    MAX_OPEN_ATTEMPTS,
    Attempt,
    AttemptResult,
    NodeConnections,
    read_answer,
)
from lichencleat.router.terms import AttemptOutcome

SECOND = 1_000_000
KEY = b"5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


class Transport(StringTransport):
    def __init__(self):
        super().__init__()
        self.aborted = False

    def setTcpNoDelay(self, on):
        pass

    def setTcpKeepAlive(self, on):
        pass

    def abortConnection(self):
        self.aborted = True

    def loseWriteConnection(self):
        self.loseConnection()


@pytest.fixture
def reactor():
    reactor = MemoryReactorClock()
    reactor.advance(1_000)
    return reactor


@pytest.fixture
def report(reactor):
    return Report("r1", lambda: int(reactor.seconds() * SECOND))


@pytest.fixture
def deadlines(reactor, report):
    return Deadlines(reactor, report.log_exception)


@pytest.fixture
def node(reactor, deadlines, report):
    connections = NodeConnections(
        reactor,
        "n1",
        ("10.0.0.1", 1),
        deadlines,
        report,
        lambda capacity: connections.advertised.append(capacity),
    )
    connections.advertised = []
    return connections


def connect(reactor, index=-1):
    """Connect a transport to the connection opened last, or to the one at the index."""
    connection = reactor.tcpClients[index][2].buildProtocol(None)
    connection.makeConnection(Transport())
    return connection


def make_attempt(node, words=(b"look", b"i=1", b"x")):
    results = []
    attempt = Attempt(list(words), results.append)
    return attempt, results


def arrays(data):
    return list(ArrayReader().feed(data))


def test_attempt_is_sent_once_its_connection_is_up_and_answers_are_matched_by_tag(reactor, node):
    (one, first), (two, second) = make_attempt(node), make_attempt(node, (b"look", b"i=2", b"y"))
    assert node.send(one) and node.send(two) and not one.is_written
    connection = connect(reactor)
    assert arrays(connection.transport.value()) == [
        [b"REQ", b"1", b"look", b"i=1", b"x"],
        [b"REQ", b"2", b"look", b"i=2", b"y"],
    ]
    connection.dataReceived(b"".join(array(b"2", b"503", b"v=0.5,w=120,l=1", b"")))
    connection.dataReceived(b"".join(array(b"1", b"200", b"v=0.25", b"made")))
    connection.dataReceived(b"".join(array(b"1", b"200", b"", b"again")))
    assert second == [AttemptResult(AttemptOutcome.DEFERRED, b"", 120_000, True, 0.5)]
    assert first == [AttemptResult(AttemptOutcome.SERVED, b"made", 0, False, 0.25)] and node.advertised == [
        0.5,
        0.25,
    ]


@pytest.mark.parametrize(
    ("words", "result"),
    [
        ([b"200"], AttemptResult(AttemptOutcome.SERVED)),
        ([b"500", b"", b""], AttemptResult(AttemptOutcome.FAILED)),
        ([b"odd", b"v=1"], AttemptResult(AttemptOutcome.FAILED, capacity=1.0)),
        ([b"503", b"w=nan,v=inf,l=0"], AttemptResult(AttemptOutcome.DEFERRED)),
        ([b"503", b"w=-1,v=x"], AttemptResult(AttemptOutcome.DEFERRED)),
        ([b"503", b"w=999999999,l=1"], AttemptResult(AttemptOutcome.DEFERRED, no_retry=True)),
        ([b"503", b",,=,w"], AttemptResult(AttemptOutcome.DEFERRED)),
    ],
)
def test_unreadable_fields_of_an_answer_count_as_absent(words, result):
    assert read_answer(words) == result


def test_when_a_connection_ends_written_attempts_are_lost_and_others_unsent(reactor, node):
    one, first = make_attempt(node)
    node.send(one)
    connection = connect(reactor)
    connection.connectionLost()
    two, second = make_attempt(node)
    node.send(two)
    reactor.tcpClients[-1][2].clientConnectionFailed(None, None)
    assert (
        first == [AttemptResult(AttemptOutcome.LOST)]
        and second == [AttemptResult(AttemptOutcome.UNSENT)]
        and not node.connections
    )


def test_connection_attempt_times_out(reactor, node):
    one, _ = make_attempt(node)
    node.send(one)
    assert not reactor.connectors[-1].stoppedConnecting
    reactor.advance(CONNECT_TIMEOUT_US / SECOND + 0.1)
    reactor.advance(0)
    assert reactor.connectors[-1].stoppedConnecting


def test_after_goaway_a_connection_gets_no_attempts_and_closes_with_its_last_answer(reactor, node):
    one, first = make_attempt(node)
    node.send(one)
    connection = connect(reactor)
    connection.dataReceived(b"".join(array(b"0", b"goaway")))
    two, _ = make_attempt(node)
    node.send(two)
    assert two.connection is not connection and not connection.transport.disconnecting
    connection.dataReceived(b"".join(array(b"1", b"200", b"", b"x")))
    assert first and connection.transport.disconnecting and connection not in node.connections


def test_connections_and_attempts_per_connection_are_limited(reactor, node):
    attempts = [make_attempt(node) for _ in range(MAX_CONNECTIONS * MAX_OPEN_ATTEMPTS + 1)]
    assert [node.send(attempt) for attempt, _ in attempts] == [True] * (
        MAX_CONNECTIONS * MAX_OPEN_ATTEMPTS
    ) + [False]
    assert len(reactor.tcpClients) == MAX_CONNECTIONS


def test_cancelled_attempt_is_aborted_at_the_node_and_its_answer_ignored(reactor, node, report):
    one, first = make_attempt(node)
    node.send(one)
    connection = connect(reactor)
    connection.transport.clear()
    connection.cancel(one)
    connection.dataReceived(b"".join(array(b"1", b"200", b"", b"x")))
    assert arrays(connection.transport.value()) == [[b"ABORT", b"1"]] and not first
    assert report.counts["nodes answers to nothing"] == 1


@pytest.mark.parametrize("bad", [b"x", b"*0\r\n", b"*1\r\n$1\r\n7\r\n", b"*2\r\n$1\r\nx\r\n$3\r\n200\r\n"])
def test_broken_framing_ends_only_that_connection(reactor, node, report, bad):
    one, first = make_attempt(node)
    node.send(one)
    connection = connect(reactor)
    connection.dataReceived(bad + b"y" * 40)
    assert connection.transport.aborted and not report.counts["node errors"]
    connection.connectionLost()
    assert first == [AttemptResult(AttemptOutcome.LOST)]


# -- the whole router, with sockets in memory --------------------------------------------------------------


LOOK = RequestClass("look", latency_objective=SECOND, deadline=4 * SECOND)
SAVE = RequestClass("save", Effect.KEYED, latency_objective=SECOND, deadline=4 * SECOND, window=10 * SECOND)


@pytest.fixture
def host(reactor, deadlines, report):
    def clock():
        return int(reactor.seconds() * SECOND)

    rng = random.Random(1)
    node_spec = NodeSpec(
        request_classes=[LOOK, SAVE],
        capacity_signal=CapacitySignal.PRIORITY_THRESHOLD,
        max_retry_after_us=500_000,
    )
    core = Router(
        "a", {"a": Zone("", 0.0)}, {"a": ["n1", "n2"]}, CapacitySignal.PRIORITY_THRESHOLD, rng, clock()
    )
    addresses = {"n1": ("10.0.0.1", 1), "n2": ("10.0.0.2", 2)}
    return RouterEngine(reactor, core, node_spec, addresses, clock, deadlines, report, rng)


@pytest.fixture
def caller(host, deadlines, report):
    connection = RouterConnection(RouterListener(host, deadlines, report, 100))
    connection.makeConnection(Transport())
    return connection


def encode_request(reactor, tag, request_class=b"look", ident=b"00000000000000a1", **more):
    fields = {
        "i": ident.decode(),
        "s": int(reactor.seconds() * 1000),
        "f": 3,
        "m": "10.0",
        "p": "0.5",
        **more,
    }
    text = ",".join(f"{name}={value}" for name, value in fields.items()).encode()
    return b"".join(array(b"REQ", b"%d" % tag, request_class, text, b"body")), text


def run_pending_calls(reactor):
    for _ in range(3):
        reactor.advance(0)


def test_request_and_answer_pass_through_unchanged(reactor, host, caller):
    data, text = encode_request(reactor, 7, t="acme", h="12.50")
    caller.dataReceived(data)
    run_pending_calls(reactor)
    connection = connect(reactor)
    (words,) = arrays(connection.transport.value())
    assert words == [b"REQ", b"1", b"look", text, b"body"]
    connection.dataReceived(b"".join(array(b"1", b"200", b"v=0.25", b"\x00made\r\n")))
    run_pending_calls(reactor)
    assert arrays(caller.transport.value()) == [[b"7", b"200", b"", b"\x00made\r\n"]]
    assert not host.pending_ids and not len(host.forwarded_requests) and not host.core.in_flight
    reactor.advance(0.2)
    caller.transport.clear()
    caller.dataReceived(b"".join(array(b"HEALTH", b"8", b"")))
    assert arrays(caller.transport.value()) == [[b"8", b"serving", b"v=0.2500", b""]]


def test_retry_goes_to_another_node_with_the_same_fields_except_for_the_request_id(reactor, host, caller):
    data, text = encode_request(reactor, 7, k=KEY.decode(), request_class=b"save")
    caller.dataReceived(data)
    run_pending_calls(reactor)
    first = connect(reactor)
    first.dataReceived(b"".join(array(b"1", b"503", b"w=80", b"")))
    run_pending_calls(reactor)
    assert len(reactor.tcpClients) == 2 and reactor.tcpClients[0][:2] != reactor.tcpClients[1][:2]
    (words,) = arrays(connect(reactor).transport.value())
    after, before = (dict(each.split(b"=") for each in t.split(b",")) for t in (words[3], text))
    assert (
        after.pop(b"r") == b"1"
        and re.fullmatch(rb"[0-9a-f]{16}", after[b"i"])
        and after[b"i"] != before[b"i"]
    )
    assert {**after, b"i": b""} == {**before, b"i": b""} and words[4] == b"body"
    assert retry_fields(b"r=1,i=1,s=2", b"9") == b"i=9,s=2,r=1"


def test_attempts_are_aborted_and_state_freed_when_a_caller_leaves_or_aborts(reactor, host, caller):
    for tag, ident in ((1, b"00000000000000a1"), (2, b"00000000000000a2")):
        caller.dataReceived(encode_request(reactor, tag, ident=ident)[0])
    run_pending_calls(reactor)
    connections = [connect(reactor, index) for index in range(len(reactor.tcpClients))]
    caller.dataReceived(b"".join(array(b"ABORT", b"1")))
    run_pending_calls(reactor)
    caller.connectionLost()
    run_pending_calls(reactor)
    sent = [words for connection in connections for words in arrays(connection.transport.value())]
    assert sum(words[0] == b"ABORT" for words in sent) == 2 and not caller.transport.value()
    assert not host.pending_ids and not len(host.forwarded_requests) and not host.core.in_flight


def test_request_aborted_before_it_is_routed_is_not_sent(reactor, host, caller):
    caller.dataReceived(encode_request(reactor, 1)[0] + b"".join(array(b"ABORT", b"1")))
    run_pending_calls(reactor)
    assert not reactor.tcpClients and not len(host.forwarded_requests) and not host.pending_ids


def test_caller_of_a_silent_node_is_answered_in_time_and_the_connection_is_retired(reactor, host, caller):
    caller.dataReceived(encode_request(reactor, 1, request_class=b"save", k=KEY.decode())[0])
    run_pending_calls(reactor)
    connection = connect(reactor)
    for _ in range(400):
        reactor.advance(0.01)
    run_pending_calls(reactor)
    assert arrays(caller.transport.value()) == [[b"1", b"500", b"", b""]]
    assert arrays(connection.transport.value())[-1] == [b"ABORT", b"1"] and connection.is_retired
    assert not len(host.forwarded_requests)


def test_new_requests_go_to_the_new_address_of_a_node_and_old_ones_finish_at_the_old_address(
    reactor, host, caller
):
    caller.dataReceived(encode_request(reactor, 1)[0])
    run_pending_calls(reactor)
    connection = connect(reactor)
    name = connection.node.name
    host.set_nodes({"n1": ("10.0.0.8", 1), "n2": ("10.0.0.9", 2)})
    assert connection.is_retired and not connection.transport.disconnecting
    connection.dataReceived(b"".join(array(b"1", b"200", b"", b"x")))
    run_pending_calls(reactor)
    assert arrays(caller.transport.value())[0][1] == b"200" and connection.transport.disconnecting
    assert host.nodes[name].address[0] != "10.0.0.1"


def test_an_error_fails_only_its_own_request(reactor, host, caller, report, monkeypatch):
    monkeypatch.setattr(host, "send", lambda hand, decision: 1 / 0)
    caller.dataReceived(encode_request(reactor, 1)[0])
    run_pending_calls(reactor)
    assert arrays(caller.transport.value())[0][:2] == [b"1", b"500"] and report.counts["node errors"] == 1
    assert not len(host.forwarded_requests) and not host.core.in_flight


# -- the configuration file --------------------------------------------------------------------------------


SETTINGS = {"classes": [{"name": "look", "aim": 1.0, "deadline": 4.0, "effect": "free", "worth": 1.0}]}
FILE = """router:
  name: r1
  zone: a
  listen: 127.0.0.1:7000
  settings: {settings}
  zones:
    a: {{nodes: {{n1: "127.0.0.1:6001"}}}}
    b: {{far_ms: 20, nodes: {{n2: "127.0.0.1:6002"}}}}
"""


@pytest.fixture
def write_config(tmp_path):
    def write(change=lambda text: text, settings=None):
        (tmp_path / "settings.json").write_text(json.dumps(SETTINGS if settings is None else settings))
        path = tmp_path / "router.yaml"
        path.write_text(change(FILE.format(settings=tmp_path / "settings.json")))
        return str(path)

    return write


def test_file_is_read_with_the_settings_that_it_names(write_config):
    for settings in (SETTINGS, {"settings": SETTINGS, "name": "n1"}):
        file, node_spec, tenants = read_router(write_config(settings=settings))
        assert file.router.zones["b"].far_ms == 20 and [each.name for each in node_spec.request_classes] == [
            "look"
        ]
        assert not tenants


@pytest.mark.parametrize(
    ("change", "message"),
    [
        (
            lambda text: text.replace("zone: a", "zone: c"),
            "line 3: router.zone: 'c' is not one of the zones (a, b)",
        ),
        (lambda text: text.replace("n2", "n1"), "the node 'n1' is also in zone 'a'"),
        (lambda text: text.replace("6002", "99999"), "127.0.0.1:99999 is not a valid address"),
        (lambda text: text.replace("far_ms: 20", "far_ms: -1"), "far_ms"),
        (lambda text: text.replace("far_ms", "far"), "unknown key 'far'; known here: far_ms, nodes"),
        (lambda text: text + "  group: g\n", "router.members: is missing"),
        (lambda text: text + "  candidate: true\n", "router.group: is missing"),
        (lambda text: text + "  zone: a\n", "duplicate key 'zone'"),
        (lambda text: text.replace("settings.json", "nothing.json"), "line 5: router.settings"),
        (lambda text: text[:40], "router"),
        (lambda text: "", "router"),
    ],
)
def test_error_in_the_file_is_reported_in_one_line_with_its_position(write_config, change, message):
    with pytest.raises(InvalidConfigError) as error:
        read_router(write_config(change))
    assert message in str(error.value) and "\n" not in str(error.value)


@pytest.mark.parametrize(
    "settings", [[], {}, {"classes": []}, {"classes": [{"name": "x"}]}, "x", {"settings": 1}]
)
def test_invalid_settings_are_reported_with_the_line_that_names_them(write_config, settings):
    with pytest.raises(InvalidConfigError, match="line 5: router.settings"):
        read_router(write_config(settings=settings))
