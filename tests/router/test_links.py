"""A router's sockets in memory: what goes to nodes, what comes back, what callers read."""

import json
import random
import re

import pytest
from twisted.internet.testing import MemoryReactorClock, StringTransport

from lichencleat.admission.types import CapacitySignal as Value
from lichencleat.admission.types import Effect, NodeSpec, RequestClass
from lichencleat.config.errors import InvalidConfigError
from lichencleat.failover.messages import Zone
from lichencleat.node.deadlines import Deadlines
from lichencleat.node.report import Report
from lichencleat.node.resp import ArrayReader, array
from lichencleat.router.core import Router
from lichencleat.router.door import RouterConnection, RouterEngine, RouterListener, retry_fields
from lichencleat.router.file import read_router
from lichencleat.router.links import CONNECT_WAIT, LINKS_MOST, OPEN_MOST, NodeLinks, Told, Try, read_answer
from lichencleat.router.terms import Came

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
    made = MemoryReactorClock()
    made.advance(1_000)
    return made


@pytest.fixture
def report(reactor):
    return Report("r1", lambda: int(reactor.seconds() * SECOND))


@pytest.fixture
def deadlines(reactor, report):
    return Deadlines(reactor, report.log_exception)


@pytest.fixture
def node(reactor, deadlines, report):
    made = NodeLinks(reactor, "n1", ("10.0.0.1", 1), deadlines, report, lambda value: made.said.append(value))
    made.said = []
    return made


def connected(reactor, at=-1):
    """The link that was opened last, or the one at that place, with a transport."""
    link = reactor.tcpClients[at][2].buildProtocol(None)
    link.makeConnection(Transport())
    return link


def tried(node, words=(b"look", b"i=1", b"x")):
    heard = []
    made = Try(list(words), heard.append)
    return made, heard


def arrays(data):
    return list(ArrayReader().feed(data))


def test_a_try_goes_out_once_its_link_is_up_and_its_answer_comes_back_by_its_tag(reactor, node):
    (one, first), (two, second) = tried(node), tried(node, (b"look", b"i=2", b"y"))
    assert node.send(one) and node.send(two) and not one.written
    link = connected(reactor)
    assert arrays(link.transport.value()) == [
        [b"REQ", b"1", b"look", b"i=1", b"x"],
        [b"REQ", b"2", b"look", b"i=2", b"y"],
    ]
    link.dataReceived(b"".join(array(b"2", b"503", b"v=0.5,w=120,l=1", b"")))
    link.dataReceived(b"".join(array(b"1", b"200", b"v=0.25", b"made")))
    link.dataReceived(b"".join(array(b"1", b"200", b"", b"again")))
    assert second == [Told(Came.DEFERRED, b"", 120_000, True, 0.5)]
    assert first == [Told(Came.HONOURED, b"made", 0, False, 0.25)] and node.said == [0.5, 0.25]


@pytest.mark.parametrize(
    ("words", "told"),
    [
        ([b"200"], Told(Came.HONOURED)),
        ([b"500", b"", b""], Told(Came.FAILED)),
        ([b"odd", b"v=1"], Told(Came.FAILED, value=1.0)),
        ([b"503", b"w=nan,v=inf,l=0"], Told(Came.DEFERRED)),
        ([b"503", b"w=-1,v=x"], Told(Came.DEFERRED)),
        ([b"503", b"w=999999999,l=1"], Told(Came.DEFERRED, last=True)),
        ([b"503", b",,=,w"], Told(Came.DEFERRED)),
    ],
)
def test_what_an_answer_says_that_cannot_be_read_is_as_if_it_were_not_there(words, told):
    assert read_answer(words) == told


def test_a_link_that_ends_proves_nothing_of_what_was_written_and_that_the_rest_never_ran(reactor, node):
    one, first = tried(node)
    node.send(one)
    link = connected(reactor)
    link.connectionLost()
    two, second = tried(node)
    node.send(two)
    reactor.tcpClients[-1][2].clientConnectionFailed(None, None)
    assert first == [Told(Came.LOST)] and second == [Told(Came.UNSENT)] and not node.links


def test_a_link_that_does_not_come_up_is_given_up(reactor, node):
    one, _ = tried(node)
    node.send(one)
    assert not reactor.connectors[-1].stoppedConnecting
    reactor.advance(CONNECT_WAIT / SECOND + 0.1)
    reactor.advance(0)
    assert reactor.connectors[-1].stoppedConnecting


def test_after_goaway_no_try_goes_out_there_and_the_link_ends_with_its_last_answer(reactor, node):
    one, first = tried(node)
    node.send(one)
    link = connected(reactor)
    link.dataReceived(b"".join(array(b"0", b"goaway")))
    two, _ = tried(node)
    node.send(two)
    assert two.link is not link and not link.transport.disconnecting
    link.dataReceived(b"".join(array(b"1", b"200", b"", b"x")))
    assert first and link.transport.disconnecting and link not in node.links


def test_links_are_bounded_and_each_carries_so_many(reactor, node):
    tries = [tried(node) for _ in range(LINKS_MOST * OPEN_MOST + 1)]
    assert [node.send(made) for made, _ in tries] == [True] * (LINKS_MOST * OPEN_MOST) + [False]
    assert len(reactor.tcpClients) == LINKS_MOST


def test_one_that_nobody_waits_for_is_aborted_and_its_answer_counts_for_nothing(reactor, node, report):
    one, first = tried(node)
    node.send(one)
    link = connected(reactor)
    link.transport.clear()
    link.quit(one)
    link.dataReceived(b"".join(array(b"1", b"200", b"", b"x")))
    assert arrays(link.transport.value()) == [[b"ABORT", b"1"]] and not first
    assert report.counts["nodes answers to nothing"] == 1


@pytest.mark.parametrize("bad", [b"x", b"*0\r\n", b"*1\r\n$1\r\n7\r\n", b"*2\r\n$1\r\nx\r\n$3\r\n200\r\n"])
def test_a_node_that_writes_nonsense_loses_that_link_alone(reactor, node, report, bad):
    one, first = tried(node)
    node.send(one)
    link = connected(reactor)
    link.dataReceived(bad + b"y" * 40)
    assert link.transport.aborted and not report.counts["node errors"]
    link.connectionLost()
    assert first == [Told(Came.LOST)]


# -- the whole router but for its sockets ------------------------------------------------------------------


LOOK = RequestClass("look", latency_objective=SECOND, deadline=4 * SECOND)
SAVE = RequestClass("save", Effect.KEYED, latency_objective=SECOND, deadline=4 * SECOND, window=10 * SECOND)


@pytest.fixture
def host(reactor, deadlines, report):
    def clock():
        return int(reactor.seconds() * SECOND)

    rng = random.Random(1)
    machine = NodeSpec(
        request_classes=[LOOK, SAVE], capacity_signal=Value.PRIORITY_THRESHOLD, max_retry_after_us=500_000
    )
    core = Router("a", {"a": Zone("", 0.0)}, {"a": ["n1", "n2"]}, Value.PRIORITY_THRESHOLD, rng, clock())
    addresses = {"n1": ("10.0.0.1", 1), "n2": ("10.0.0.2", 2)}
    return RouterEngine(reactor, core, machine, addresses, clock, deadlines, report, rng)


@pytest.fixture
def caller(host, deadlines, report):
    made = RouterConnection(RouterListener(host, deadlines, report, 100))
    made.makeConnection(Transport())
    return made


def req(reactor, tag, request_class=b"look", ident=b"00000000000000a1", **more):
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


def turn(reactor):
    for _ in range(3):
        reactor.advance(0)


def test_a_request_goes_through_as_it_came_and_its_answer_back_unchanged(reactor, host, caller):
    data, text = req(reactor, 7, t="acme", h="12.50")
    caller.dataReceived(data)
    turn(reactor)
    link = connected(reactor)
    (words,) = arrays(link.transport.value())
    assert words == [b"REQ", b"1", b"look", text, b"body"]
    link.dataReceived(b"".join(array(b"1", b"200", b"v=0.25", b"\x00made\r\n")))
    turn(reactor)
    assert arrays(caller.transport.value()) == [[b"7", b"200", b"", b"\x00made\r\n"]]
    assert not host.pending_ids and not len(host.forwarded_requests) and not host.core.in_hand
    reactor.advance(0.2)
    caller.transport.clear()
    caller.dataReceived(b"".join(array(b"HEALTH", b"8", b"")))
    assert arrays(caller.transport.value()) == [[b"8", b"serving", b"v=0.2500", b""]]


def test_a_second_try_goes_elsewhere_with_all_but_its_name(reactor, host, caller):
    data, text = req(reactor, 7, k=KEY.decode(), request_class=b"save")
    caller.dataReceived(data)
    turn(reactor)
    first = connected(reactor)
    first.dataReceived(b"".join(array(b"1", b"503", b"w=80", b"")))
    turn(reactor)
    assert len(reactor.tcpClients) == 2 and reactor.tcpClients[0][:2] != reactor.tcpClients[1][:2]
    (words,) = arrays(connected(reactor).transport.value())
    said, before = (dict(each.split(b"=") for each in t.split(b",")) for t in (words[3], text))
    assert (
        said.pop(b"r") == b"1" and re.fullmatch(rb"[0-9a-f]{16}", said[b"i"]) and said[b"i"] != before[b"i"]
    )
    assert {**said, b"i": b""} == {**before, b"i": b""} and words[4] == b"body"
    assert retry_fields(b"r=1,i=1,s=2", b"9") == b"i=9,s=2,r=1"


def test_a_caller_that_leaves_or_aborts_is_told_to_the_node_and_nothing_is_kept(reactor, host, caller):
    for tag, ident in ((1, b"00000000000000a1"), (2, b"00000000000000a2")):
        caller.dataReceived(req(reactor, tag, ident=ident)[0])
    turn(reactor)
    links = [connected(reactor, at) for at in range(len(reactor.tcpClients))]
    caller.dataReceived(b"".join(array(b"ABORT", b"1")))
    turn(reactor)
    caller.connectionLost()
    turn(reactor)
    sent = [words for link in links for words in arrays(link.transport.value())]
    assert sum(words[0] == b"ABORT" for words in sent) == 2 and not caller.transport.value()
    assert not host.pending_ids and not len(host.forwarded_requests) and not host.core.in_hand


def test_a_request_whose_caller_left_before_it_was_placed_is_never_sent(reactor, host, caller):
    caller.dataReceived(req(reactor, 1)[0] + b"".join(array(b"ABORT", b"1")))
    turn(reactor)
    assert not reactor.tcpClients and not len(host.forwarded_requests) and not host.pending_ids


def test_a_node_that_never_answers_costs_its_caller_no_lateness_and_is_not_sent_more_there(
    reactor, host, caller
):
    caller.dataReceived(req(reactor, 1, request_class=b"save", k=KEY.decode())[0])
    turn(reactor)
    link = connected(reactor)
    for _ in range(400):
        reactor.advance(0.01)
    turn(reactor)
    assert arrays(caller.transport.value()) == [[b"1", b"500", b"", b""]]
    assert arrays(link.transport.value())[-1] == [b"ABORT", b"1"] and link.going
    assert not len(host.forwarded_requests)


def test_an_address_that_moved_takes_what_comes_and_the_old_one_ends_what_it_has(reactor, host, caller):
    caller.dataReceived(req(reactor, 1)[0])
    turn(reactor)
    link = connected(reactor)
    name = link.node.name
    host.set_nodes({"n1": ("10.0.0.8", 1), "n2": ("10.0.0.9", 2)})
    assert link.going and not link.transport.disconnecting
    link.dataReceived(b"".join(array(b"1", b"200", b"", b"x")))
    turn(reactor)
    assert arrays(caller.transport.value())[0][1] == b"200" and link.transport.disconnecting
    assert host.nodes[name].address[0] != "10.0.0.1"


def test_one_error_costs_one_request(reactor, host, caller, report, monkeypatch):
    monkeypatch.setattr(host, "send", lambda hand, decision: 1 / 0)
    caller.dataReceived(req(reactor, 1)[0])
    turn(reactor)
    assert arrays(caller.transport.value())[0][:2] == [b"1", b"500"] and report.counts["node errors"] == 1
    assert not len(host.forwarded_requests) and not host.core.in_hand


# -- the file ------------------------------------------------------------------------------------------------


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
def written(tmp_path):
    def write(change=lambda text: text, settings=None):
        (tmp_path / "settings.json").write_text(json.dumps(SETTINGS if settings is None else settings))
        path = tmp_path / "router.yaml"
        path.write_text(change(FILE.format(settings=tmp_path / "settings.json")))
        return str(path)

    return write


def test_a_file_is_read_with_the_settings_that_it_names(written):
    for settings in (SETTINGS, {"settings": SETTINGS, "name": "n1"}):
        file, machine, tenants = read_router(written(settings=settings))
        assert file.router.zones["b"].far_ms == 20 and [each.name for each in machine.request_classes] == [
            "look"
        ]
        assert not tenants


@pytest.mark.parametrize(
    ("change", "said"),
    [
        (lambda text: text.replace("zone: a", "zone: c"), "line 3: router.zone: 'c' is none of zones (a, b)"),
        (lambda text: text.replace("n2", "n1"), "the node 'n1' stands in 'a' as well"),
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
def test_a_mistake_in_the_file_is_one_line_with_its_place(written, change, said):
    with pytest.raises(InvalidConfigError) as wrong:
        read_router(written(change))
    assert said in str(wrong.value) and "\n" not in str(wrong.value)


@pytest.mark.parametrize(
    "settings", [[], {}, {"classes": []}, {"classes": [{"name": "x"}]}, "x", {"settings": 1}]
)
def test_settings_that_are_none_are_told_with_the_line_that_names_them(written, settings):
    with pytest.raises(InvalidConfigError, match="line 5: router.settings"):
        read_router(written(settings=settings))
