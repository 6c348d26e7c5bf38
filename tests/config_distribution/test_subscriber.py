"""Subscribers and relays as hosts on links in memory: what is applied, what ends a link, what is released."""

import random

import msgspec
import pytest
from twisted.internet.testing import MemoryReactorClock
from twisted.test.iosim import FakeTransport, connect

from lichencleat.config_distribution.copy import TableCopy
from lichencleat.config_distribution.errors import CorruptTableError
from lichencleat.config_distribution.file import RelaySettings
from lichencleat.config_distribution.follow import RelayFollower
from lichencleat.config_distribution.relay import SWEEP_INTERVAL_S, RelayProcess
from lichencleat.config_distribution.subscriber import CONNECT_TIMEOUT_S, Subscriber
from lichencleat.config_distribution.table import Table
from lichencleat.config_distribution.terms import (
    FOLLOW,
    Batch,
    Change,
    FollowAnswer,
    FollowOutcome,
    FollowRequest,
)
from lichencleat.transport.frames import FORMAT_VERSION, ClientRequest, ClientResponse, Greeting, encode_raw
from lichencleat.transport.identity import Incarnation

SECOND = 1_000_000
MARK = b"mark-one"
STEP = 0.01  # s per step of the clock


class Net(MemoryReactorClock):
    """Links in memory; a silent port accepts a connection and delivers nothing."""

    def __init__(self):
        super().__init__()
        self.pumps, self.silent, self.taken_by = [], set(), {}

    def link(self):
        waiting, self.tcpClients[:] = list(self.tcpClients), []
        for _, port, factory, *_ in waiting:
            server = next((each for at, each, *_ in self.tcpServers if at == port), None)
            if server is None:
                factory.clientConnectionFailed(None, None)
                continue
            one, other = factory.buildProtocol(None), server.buildProtocol(None)
            ends = FakeTransport(other, True), FakeTransport(one, False)
            self.pumps.append((port, connect(other, ends[0], one, ends[1], greet=False)))

    def run(self, seconds, until=None):
        """Moves the clock until `until` is true, for at most so many seconds."""
        for _ in range(round(seconds / STEP)):
            self.advance(STEP)
            self.link()
            for port, pump in self.pumps:
                if port not in self.silent:
                    pump.flush(advanceClock=False)
            if until is not None and until():
                return True
        return until is None


class Log:
    def __init__(self):
        self.events = []

    def info(self, event, **fields):
        self.events.append(event)

    warning = info


class Place:
    """A net with its processes; a source is a relay whose table the test sets."""

    def __init__(self):
        self.net, self.parts, self.log = Net(), [], Log()

    def relay(self, port, *tiers, mark=b"", table=None):
        sources = [[f"10.0.0.1:{each}" for each in tier] for tier in tiers]
        chosen = RelaySettings("config", f"r{port}", f"10.0.0.1:{port}", sources, "north")
        made = RelayProcess(self.net, chosen, self.log, random.Random(port), table or Table(), mark)
        self.parts.append(made)
        made.start()
        return made

    def source(self, port, mark=MARK):
        made = self.relay(port, [1], mark=mark)
        made.follower.age = lambda now: 0
        made.publisher.set_age(made.now(), 0)
        made.follower.known_at = 0
        return made

    def publish(self, source, version, *names, value=b"{}"):
        batch = source.table.apply(version, [Change("tenant", each, value) for each in names])
        source.on_applied((batch,))

    def node(self, *tiers, copy=None, seed=1):
        copy = copy or TableCopy()
        relays = tuple(tuple(f"10.0.0.1:{each}" for each in tier) for tier in tiers)
        follower = RelayFollower(relays, copy, random.Random(seed), 0, True, "north-a")
        made = Subscriber(
            self.net, "config", "n1", follower, copy, random.Random(seed), self.log, on_applied=self.took
        )
        made.start()
        self.parts.append(made)
        return made

    taken = ()

    def took(self, batches):
        self.taken += (batches,)


@pytest.fixture
def place():
    return Place()


def test_a_publication_passes_two_tiers_and_counts_are_added_up(place):
    top = place.source(7901)
    place.publish(top, 3, "acme", "other")
    region, zone = place.relay(7921, [7901]), place.relay(7931, [7921], [7901])
    node = place.node([7931])
    assert place.net.run(10, lambda: node.copy.version == 3)
    place.publish(top, 9, "third")
    assert place.net.run(0.2, lambda: node.copy.version == 9)  # held requests are answered at once
    assert node.copy.find("tenant", "third") == b"{}"
    assert {each.table.digest for each in (top, region, zone)} == {node.copy.digest}
    assert [[each.version for each in one] for one in place.taken] == [[3], [9]]
    assert place.net.run(5, lambda: [each.lowest_version for each in top.publisher.counts(top.now())] == [9])
    assert [(each.zone, each.nodes, each.lowest_relay) for each in top.publisher.counts(top.now())] == [
        ("north-a", 1, "r7931")
    ]
    assert node.copy.mark == zone.copy.mark == MARK
    assert node.describe_state().startswith("version 9, age ") and node.describe_state().endswith(
        "relay 10.0.0.1:7931"
    )


def test_a_snapshot_is_applied_as_a_whole_with_one_slice_a_turn(place):
    top = place.source(7901)
    for version in range(1, 41):
        place.publish(top, version, *(f"t{version}-{n}" for n in range(100)), value=b"x" * 100)
    node, steps = place.node([7901]), []
    step = node.copy.step
    node.copy.step = lambda: (steps.append((place.net.seconds(), node.copy.version)), step())[1]
    assert place.net.run(30, lambda: node.copy.version)
    assert place.taken == ((),) and node.copy.version == 40 and node.copy.digest == top.table.digest
    assert {version for _, version in steps} == {0} and len(steps) > 1000
    place.publish(top, 41, "more")
    assert place.net.run(1, lambda: node.copy.version == 41)


def test_a_lost_or_silent_relay_is_left_for_the_next(place):
    top = place.source(7901)
    place.publish(top, 3, "acme")
    for each in (7931, 7932):
        place.relay(each, [7901])
    node = place.node([7931, 7932], [7901])
    assert place.net.run(10, lambda: node.copy.version == 3)
    first = node.follower.relay
    place.net.silent.add(int(first[-4:]))
    assert place.net.run(3, lambda: node.follower.relay not in (None, first))
    second = node.follower.relay
    place.net.silent.add(int(second[-4:]))
    assert place.net.run(6, lambda: node.follower.relay == "10.0.0.1:7901")
    assert len(node.attempts) <= 2 and node.copy.version == 3


def test_a_relay_of_another_group_is_not_followed(place):
    other, top = place.source(7901, b"mark-two"), place.source(7902)
    place.publish(other, 50, "wrong")
    place.publish(top, 3, "acme")
    node = place.node([7901], [7902], copy=TableCopy(Table(), MARK))
    assert place.net.run(10, lambda: node.copy.version)
    assert node.copy.version == 3 and node.copy.find("tenant", "wrong") is None
    assert node.counts["turned away"] == 1 and other.counts["turned away"] == 1


def test_nobody_reconnects_when_all_start_for_the_first_time(place):
    """Links are open before any process knows the group; whoever learns it reports it down the tree."""
    zone, other = place.relay(7931, [7921]), place.relay(7932, [7921])
    nodes = [place.node([7931, 7932], seed=seed) for seed in range(6)]
    region = place.relay(7921, [7901])
    assert place.net.run(30, lambda: all(each.follower.relay for each in (*nodes, zone, other)))
    assert {each.follower.mark for each in nodes} == {b""}
    top = place.source(7901)
    assert place.net.run(30, lambda: all(each.follower.mark == MARK for each in nodes))
    place.publish(top, 3, "acme")
    assert place.net.run(0.5, lambda: all(each.copy.version == 3 for each in nodes))
    assert {each.copy.mark for each in (*nodes, zone, other, region)} == {MARK}
    assert not any(each.counters().get("left") for each in nodes)


def test_a_subscriber_of_another_group_leaves_when_its_relay_learns_its_group(place):
    zone = place.relay(7931, [7901])
    node = place.node([7931], copy=TableCopy(Table(), b"mark-two"))
    assert place.net.run(10, lambda: node.follower.relay)
    place.source(7901)
    assert place.net.run(30, lambda: node.counts.get("turned away"))
    assert zone.mark == MARK and node.follower.mark != MARK


def test_a_subscriber_greeted_with_another_group_has_to_reconnect(place):
    zone = place.relay(7931, [1], mark=MARK)
    node = place.node([7931])
    assert place.net.run(10, lambda: node.follower.relay)
    zone.copy.mark = b"mark-two"
    zone.adopt_group_mark()
    assert place.net.run(10, lambda: node.follower.mark == b"mark-two")
    assert node.counters()["left"] == 1 and not node.counts


def answers(place, port, answer):
    """A source with these answers."""
    made = place.source(port)
    made.on_request = lambda link, request: link.reply(answer(request))
    return made


BATCH = Batch(3, 0, bytes(16), (Change("tenant", "acme", b"{}"),))
NO_TEXT = msgspec.Raw(
    bytes(encode_raw(FollowAnswer(FollowOutcome.NEWS, 3, bytes(16), 0, (BATCH,)))).replace(
        b"acme", b"ac\xffe"
    )
)


@pytest.mark.parametrize(
    ("wrong", "counted"),
    [
        (lambda number: msgspec.Raw(b"\xff"), "answers that can't be read"),
        (lambda number: encode_raw("no"), "answers that can't be read"),
        (lambda number: NO_TEXT, "answers that can't be read"),
        (lambda number: encode_raw(FollowAnswer(9, 1, b"", 0)), "unfit answers"),
        (lambda number: encode_raw(FollowAnswer(FollowOutcome.NEWS, 1, b"", 0)), "unfit answers"),
    ],
)
def test_an_invalid_answer_ends_the_link_is_counted_and_another_relay_is_asked(place, wrong, counted):
    answers(place, 7901, lambda request: ClientResponse(request.number, True, wrong(request.number)))
    top = place.source(7902)
    place.publish(top, 3, "acme")
    node = place.node([7901], [7902])
    assert place.net.run(10, lambda: node.copy.version == 3)
    assert node.counters()[counted] == 1 and node.follower.relay == "10.0.0.1:7902"


def test_an_answer_without_a_request_ends_the_link(place):
    answers(place, 7901, lambda request: ClientResponse(request.number + 1, True, encode_raw(None)))
    node = place.node([7901])
    assert place.net.run(3, lambda: node.counts.get("frames out of place"))


def test_a_relay_that_accepts_a_connection_and_never_answers_is_left_in_time(place):
    place.source(7901)
    place.net.silent.add(7901)
    top = place.source(7902)
    place.publish(top, 3, "acme")
    node = place.node([7901], [7902])
    assert place.net.run(CONNECT_TIMEOUT_S + 3, lambda: node.copy.version == 3)


def test_corrupt_slices_are_not_applied_and_an_error_in_one_ends_nothing(place):
    top = place.source(7901)
    place.publish(top, 3, "acme")
    node = place.node([7901])
    wrong, right = [CorruptTableError("digest"), ZeroDivisionError()], node.copy.step

    def step():
        if wrong:
            raise wrong.pop(0)
        return right()

    node.copy.step = step
    assert place.net.run(200, lambda: node.copy.version == 3)
    assert node.counters()["spoilt"] == 2 and node.counts["errors"] == 1
    assert "received corrupt data" in place.log.events


def test_stop_releases_links_and_timers(place):
    top = place.source(7901)
    place.publish(top, 3, "acme")
    zone = place.relay(7931, [7901])
    node = place.node([7931])
    assert place.net.run(10, lambda: node.copy.version == 3)
    done = []
    node.stop()
    place.net.run(0.1)
    assert not zone.listener.connections and not zone.publisher.subscribers
    zone.stop().addCallback(done.append)
    zone.stop().addCallback(done.append)
    place.net.run(0.1)
    assert done == [None, None] and not node.attempts and not zone.listener.connections
    top.stop()
    assert not place.net.getDelayedCalls()


def caller(place, port):
    """A raw link to that relay."""
    _, factory, *_ = next(each for each in place.net.tcpServers if each[0] == port)
    made = factory.buildProtocol(None)
    made.makeConnection(FakeTransport(made, True))
    sent = made.sent = []
    made.send = lambda frame: sent.append(frame) or True
    return made


def test_the_listener_rejects_links_that_are_not_subscribers(place):
    relay = place.relay(7931, [1], mark=MARK)
    hello = Greeting(FORMAT_VERSION, b"", "config", 0, 0, Incarnation(0, 0), "n1")
    for wrong in (
        msgspec.structs.replace(hello, cluster_name="other"),
        msgspec.structs.replace(hello, member_id=4),
        msgspec.structs.replace(hello, format_version=FORMAT_VERSION + 1),
        msgspec.structs.replace(hello, cluster_id=b"mark-two"),
    ):
        link = caller(place, 7931)
        relay.on_greeting(link, wrong)
        assert not link.is_accepted and link.transport.disconnecting
    assert relay.counts["turned away"] == 4
    link = caller(place, 7931)
    relay.on_greeting(link, hello)
    assert link.is_accepted and link.sent[-1].cluster_id == MARK
    link.requests = 1
    relay.on_request(link, ClientRequest(5, "propose", encode_raw(None)))
    assert [(each.number, each.done) for each in link.sent[1:]] == [(5, False)]


def test_a_link_without_a_greeting_is_closed(place):
    relay = place.relay(7931, [1], mark=MARK)
    silent, greeted = caller(place, 7931), caller(place, 7931)
    greeted.greeting = Greeting(FORMAT_VERSION, b"", "config", 0, 0, Incarnation(0, 0), "n1")
    place.net.run(SWEEP_INTERVAL_S + 0.1)
    assert not silent.transport.disconnecting
    place.net.run(SWEEP_INTERVAL_S)
    assert silent.transport.disconnecting and not greeted.transport.disconnecting
    assert relay.counters()["silent callers"] == 1


def test_a_start_from_the_disk_serves_lagging_subscribers_and_its_age_is_unknown(place):
    table = Table()
    batches = [table.apply(n, [Change("tenant", f"t{n}", b"{}")]) for n in range(1, 6)]
    past = Table()
    for each in batches[:3]:
        past.apply(each.version, each.changes)
    relay = place.relay(7931, [1], mark=MARK, table=table)
    assert relay.publisher.in_force(0)["age_us"] == -1
    chosen = msgspec.structs.replace(relay.settings, listen="10.0.0.1:7932")
    relay = RelayProcess(place.net, chosen, place.log, random.Random(1), table, MARK, batches)
    assert len(relay.publisher.window) == 4
    relay.publisher.add_subscriber(0, 1)
    relay.publisher.on_request(0, 1, 1, FOLLOW, FollowRequest(3, past.digest, ()))
    told = relay.publisher.next_decision(0).content
    assert [each.version for each in told.batches] == [4, 5]
