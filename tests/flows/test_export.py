"""Export from the meter to a collector: with a fake clock and fake sockets, and on loopback."""

import json
import random
import re
import socket
import subprocess
import sys

import pytest
from twisted.internet.task import Clock

from lichencleat.flows import exporter as module
from lichencleat.flows.channel import STATISTICS_INTERVAL_US, TEMPLATE_INTERVAL_US, Channel, Wire
from lichencleat.flows.collector import OTHERS, SENDERS_MOST, TENANTS_MOST, Collector, Sums, TcpReceiver
from lichencleat.flows.decode import DataRecord, Session
from lichencleat.flows.elements import Elements
from lichencleat.flows.exporter import (
    MAX_RETRY_DELAY_US,
    REFUSED_PAUSE_US,
    STALL_TIMEOUT_US,
    TICK_US,
    Exporter,
    Link,
)
from lichencleat.flows.meter import Counts, EndReason, Meter, Record
from lichencleat.node.deadlines import Deadlines
from lichencleat.node.report import Report

SECOND = 1_000_000
HERE, THERE = (b"\x7f\0\0\x01", 8443), (b"\x7f\0\0\x02", 40_000)


class Port:
    def stopListening(self):
        pass

    def write(self, data):
        if self.fails:
            raise OSError("no room")
        self.sent.append(data)

    def connect(self, host, port):
        self.address = (host, port)


class Stream:
    """A fake TCP transport that records what is written."""

    def __init__(self):
        self.sent, self.ended, self.producer = [], "", None

    def registerProducer(self, producer, streaming):
        self.producer = producer

    def unregisterProducer(self):
        self.producer = None

    def writeSequence(self, parts):
        self.sent += parts

    def loseConnection(self):
        self.ended = "lost"

    def abortConnection(self):
        self.ended = "aborted"


class Reactor(Clock):
    def __init__(self):
        super().__init__()
        self.ports, self.connects = [], []

    def listenUDP(self, number, protocol):
        port = Port()
        port.sent, port.fails = [], False
        protocol.transport = port
        self.ports.append((port, protocol))
        protocol.startProtocol()
        return port

    def connectTCP(self, host, port, factory, timeout):
        self.connects.append((host, port, factory))
        return self

    def stopConnecting(self):
        pass

    def accept(self):
        """Accept the last connection, as a collector does."""
        protocol = self.connects[-1][2].buildProtocol(None)
        protocol.transport = Stream()
        protocol.connectionMade()
        return protocol


@pytest.fixture
def reactor():
    return Reactor()


@pytest.fixture
def clock(reactor):
    return lambda: 1_000 * SECOND + round(reactor.seconds() * SECOND)


@pytest.fixture
def report(clock):
    return Report("n1", clock)


@pytest.fixture
def deadlines(reactor, report):
    return Deadlines(reactor, report.log_exception)


@pytest.fixture
def meter():
    return Meter(active=60 * SECOND, idle=15 * SECOND)


@pytest.fixture
def exporter_of(reactor, clock, report, deadlines, meter):
    def make(*wires, to_all=True, waiting=50):
        links = []
        for at, wire in enumerate(wires):
            channel = Channel(wire, Elements(), 7, 1_400, waiting, clock())
            link = Link(
                reactor,
                clock,
                deadlines,
                report,
                random.Random(1),
                f"c{at}",
                ("127.0.0.1", 4739 + at),
                channel,
            )
            links.append(link)
        made = Exporter(meter, links, clock, deadlines, to_all)
        made.start()
        return made

    return make


def add_flow(meter, now, octets=100, tenant="mainz1"):
    flow = meter.open_flow(now, THERE, HERE)
    meter.set_owner(now, flow, tenant, "look", 3)
    flow.add_received(now, octets)
    flow.add_sent(now, 2 * octets)
    flow.counts.honoured += 1
    meter.end_flow(now, flow)


def decode(messages):
    session, sums = Session(Elements()), Sums()
    for each in messages:
        for record in session.decode_message(each):
            sums.add(record)
    return sums, session.counts


def ticks(reactor, count=1):
    for _ in range(count):
        reactor.advance(TICK_US / SECOND)


@pytest.mark.parametrize("wire", [Wire.IPFIX_UDP, Wire.NETFLOW9_UDP])
def test_templates_are_sent_first_and_periodically_over_udp(reactor, clock, meter, exporter_of, wire):
    exporter_of(wire)
    ((port, _),) = reactor.ports
    add_flow(meter, clock())
    ticks(reactor)
    sums, counts = decode(port.sent)
    assert "sets before their template" not in counts
    assert (sums.total.octets, sums.by_tenant["mainz1"].octets) == (300, 300)
    before = len(port.sent)
    reactor.pump([1] * (TEMPLATE_INTERVAL_US // SECOND + 1))
    add_flow(meter, clock())
    ticks(reactor)
    sums, counts = decode(port.sent[before:])  # what a restarted collector receives
    assert sums.total.octets == 300 and counts["sets without a template dropped"] == 0
    assert sums.exporters  # statistics were sent, too


def test_sending_pauses_after_a_refusal_and_the_totals_are_complete_afterwards(
    reactor, clock, meter, exporter_of, report
):
    exporter = exporter_of(Wire.IPFIX_UDP)
    ((port, protocol),) = reactor.ports
    ticks(reactor)
    protocol.connectionRefused()
    sent = len(port.sent)
    for _ in range(80):  # 30 more than may be queued
        add_flow(meter, clock())
    ticks(reactor, 2)
    assert len(port.sent) == sent and not exporter.links[0].is_alive()
    assert len(exporter.links[0].channel.queue.records) == 50
    ticks(reactor, REFUSED_PAUSE_US // TICK_US + 1)
    sums, _ = decode(port.sent[sent:])
    assert sums.total.octets == 80 * 300 and sums.total.honoured == 80
    assert sums.total.folded == 30 and report.counts["flows refusals"] == 1


def test_refused_records_are_reported_as_lost_and_only_templates_are_sent_as_probes(
    reactor, clock, meter, exporter_of
):
    exporter = exporter_of(Wire.IPFIX_UDP)
    ((port, protocol),) = reactor.ports
    ticks(reactor)
    add_flow(meter, clock())
    ticks(reactor)
    before = len(port.sent)
    protocol.connectionRefused()  # refuses the record
    for _ in range(5):
        add_flow(meter, clock())
        ticks(reactor, REFUSED_PAUSE_US // TICK_US)
        protocol.connectionRefused()  # refuses the templates
    assert decode(port.sent[before:])[0].total.records == 0
    ticks(reactor, REFUSED_PAUSE_US // TICK_US + 2)
    exporter.flush(SECOND)
    sums, _ = decode(port.sent[before:])
    (own,) = sums.exporters.values()
    assert sums.total.octets == 5 * 300
    assert (own["notSentFlowTotalCount"], own["notSentOctetTotalCount"], own["inquiriesNotSent"]) == (
        1,
        300,
        1,
    )


def test_a_udp_socket_closed_by_the_reactor_is_reopened(reactor, clock, meter, exporter_of, report):
    exporter = exporter_of(Wire.IPFIX_UDP)
    ((_, protocol),) = reactor.ports
    protocol.stopProtocol()
    add_flow(meter, clock())
    ticks(reactor, 3)
    assert not exporter.links[0].is_alive() and report.counts["node errors"] == 0
    ticks(reactor, 20)
    assert len(reactor.ports) == 2 and decode(reactor.ports[1][0].sent)[0].total.records == 1


def test_connecting_to_an_absent_tcp_collector_is_retried_with_backoff(
    reactor, clock, meter, exporter_of, report
):
    exporter = exporter_of(Wire.IPFIX_TCP)
    for _ in range(200):
        add_flow(meter, clock())
        reactor.connects[-1][2].clientConnectionFailed(reactor, None)
        reactor.advance(1)
    assert 5 < len(reactor.connects) < 25
    assert exporter.links[0].retry_delay <= MAX_RETRY_DELAY_US
    reactor.pump([1] * 31)
    stream = reactor.accept()
    ticks(reactor, 3)
    sums, counts = decode(stream.transport.sent)
    assert sums.total.octets == 200 * 300 and counts["records lost"] == 0


def test_a_stalled_tcp_connection_gets_no_data_and_is_aborted(reactor, clock, meter, exporter_of, report):
    exporter = exporter_of(Wire.IPFIX_TCP)
    stream = reactor.accept()
    stream.pauseProducing()
    for _ in range(1_000):
        add_flow(meter, clock())
    ticks(reactor, 10)
    assert stream.transport.sent == [] and not exporter.links[0].is_alive()
    assert len(exporter.links[0].channel.queue.records) == 50
    reactor.pump([1] * (STALL_TIMEOUT_US // SECOND + 1))
    assert stream.transport.ended == "aborted"
    stream.connectionLost()
    reactor.pump([1] * 2)
    again = reactor.accept()
    ticks(reactor, 3)
    sums, _ = decode(again.transport.sent)
    assert sums.total.octets == 1_000 * 300 and sums.total.folded == 950


def test_a_tcp_connection_that_resumes_in_time_is_not_aborted(reactor, exporter_of):
    exporter_of(Wire.IPFIX_TCP)
    stream = reactor.accept()
    stream.pauseProducing()
    reactor.advance(1)
    stream.resumeProducing()
    reactor.pump([1] * (STALL_TIMEOUT_US // SECOND + 5))
    assert stream.transport.ended == ""


def test_each_tcp_session_restarts_sequence_numbers_and_templates(reactor, clock, meter, exporter_of):
    exporter_of(Wire.IPFIX_TCP)
    for _ in range(2):
        stream = reactor.accept()
        for _ in range(5):
            add_flow(meter, clock())
        ticks(reactor, 2)
        sums, counts = decode(stream.transport.sent)
        assert sums.total.records == 5 and counts["records lost"] == 0
        assert "sets before their template" not in counts
        stream.connectionLost()
        reactor.pump([1] * 3)


def test_only_the_first_live_collector_gets_records(reactor, clock, meter, exporter_of):
    exporter_of(Wire.IPFIX_TCP, Wire.IPFIX_UDP, to_all=False)
    ((port, _),) = reactor.ports
    add_flow(meter, clock())
    ticks(reactor)
    assert decode(port.sent)[0].total.records == 1
    stream = reactor.accept()
    add_flow(meter, clock())
    ticks(reactor)
    assert decode(stream.transport.sent)[0].total.records == 1
    assert decode(port.sent)[0].total.records == 1


def test_all_collectors_get_all_records(reactor, clock, meter, exporter_of):
    exporter_of(Wire.NETFLOW9_UDP, Wire.IPFIX_UDP)
    for _ in range(3):
        add_flow(meter, clock())
    ticks(reactor)
    assert [decode(port.sent)[0].total.octets for port, _ in reactor.ports] == [900, 900]


def test_a_flush_keeps_its_budget_with_a_dead_collector(reactor, clock, meter, exporter_of):
    exporter = exporter_of(Wire.IPFIX_TCP, waiting=500)
    for _ in range(300):
        add_flow(meter, clock())
    over = []
    exporter.flush(SECOND).addCallback(over.append)
    reactor.pump([0.1] * 9)
    assert over == []
    reactor.pump([0.1] * 3)
    assert over == [None] and not reactor.getDelayedCalls()
    exporter.flush(SECOND).addCallback(over.append)
    assert over == [None, None]


def test_a_flush_ends_as_soon_as_all_records_are_sent(reactor, clock, meter, exporter_of):
    exporter = exporter_of(Wire.IPFIX_UDP)
    ((port, _),) = reactor.ports
    still_open = meter.open_flow(clock(), THERE, HERE)
    still_open.add_sent(clock(), 77)
    over = []
    exporter.flush(SECOND).addCallback(over.append)
    assert over == [None]
    sums, _ = decode(port.sent)
    assert sums.total.octets == 77 and sums.exporters


def test_queued_records_are_sent_to_a_new_address(reactor, clock, meter, exporter_of):
    exporter = exporter_of(Wire.IPFIX_TCP)
    add_flow(meter, clock())
    ticks(reactor)
    exporter.links[0].move(("127.0.0.9", 99))
    assert reactor.connects[-1][:2] == ("127.0.0.9", 99)
    stream = reactor.accept()
    ticks(reactor)
    assert decode(stream.transport.sent)[0].total.records == 1


def test_a_datagram_that_cannot_be_written_is_only_counted(reactor, clock, meter, exporter_of, report):
    exporter_of(Wire.IPFIX_UDP)
    ((port, _),) = reactor.ports
    port.fails = True
    add_flow(meter, clock())
    ticks(reactor)
    assert report.counts["flows messages lost"] > 0 and report.counts["node errors"] == 0


def test_only_the_record_that_cannot_be_encoded_is_dropped(clock):
    channel = Channel(Wire.IPFIX_UDP, Elements(), 7, 600, 50, clock())
    for number in (1, 1 << 64, 2):
        nowhere = bytes(4)
        counts = Counts(octets_in=5)
        channel.queue.offer(
            Record(number, nowhere, nowhere, 1, 2, "t", "", 0, 1, 2, EndReason.END_OF_FLOW, False, counts)
        )
    sums, _ = decode(channel.next_messages(clock()))
    assert sums.total.records == 2 and channel.unencodable == 1


@pytest.mark.parametrize("wire", [Wire.IPFIX_UDP, Wire.NETFLOW9_UDP])
def test_ipv6_connections_have_their_own_template(clock, wire):
    channel = Channel(wire, Elements(), 7, 1_400, 50, clock())
    ends = bytes(15) + b"\x01", bytes(15) + b"\x02"
    counts = Counts(octets_in=1 << 40, octets_out=3)
    channel.queue.offer(Record(1, *ends, 5, 6, "t", "look", 0, 1, 2, EndReason.END_OF_FLOW, False, counts))
    session = Session(Elements())
    found = [
        each.as_dict()
        for message in channel.next_messages(clock())
        for each in session.decode_message(message)
    ]
    assert found[0]["sourceIPv6Address"] == ends[0] and found[0]["octetDeltaCount"] == 1 << 40


def test_an_incomplete_message_at_the_end_of_a_stream_is_counted():
    collector = Collector(Elements())
    incoming = TcpReceiver(collector)
    incoming.transport = Stream()
    incoming.connectionMade()
    incoming.dataReceived(b"\0\x0a\0\x40half")
    incoming.connectionLost()
    assert collector.counters() == {"messages cut off": 1} and not collector.streams
    broken = TcpReceiver(collector)
    broken.transport = Stream()
    broken.connectionMade()
    broken.dataReceived(b"GET / HTTP/1.1\r\n")
    assert broken.transport.ended == "aborted" and collector.counters()["streams broken"] == 1


def test_statistics_are_sent_after_the_clock_steps_back(clock):
    channel = Channel(Wire.IPFIX_UDP, Elements(), 7, 1_400, 50, clock())
    channel.next_messages(clock())
    assert channel.next_messages(clock() + STATISTICS_INTERVAL_US)
    assert channel.next_messages(clock() - 3_600 * SECOND)


def test_sums_by_tenant_are_bounded_and_the_total_is_complete():
    sums, elements = Sums(), Elements()
    octets, user = elements.named("octetDeltaCount"), elements.named("userName")
    for n in range(TENANTS_MOST + 10):
        sums.add(DataRecord(9, 1, 256, 0, 0, 0, [(octets, 1), (user, f"t{n}")]))
    assert sums.total.octets == TENANTS_MOST + 10 and sums.by_tenant[OTHERS].octets == 10


def test_the_collector_forgets_the_sender_silent_longest():
    collector = Collector(Elements())
    for n in range(SENDERS_MOST + 5):
        collector.get_session(("127.0.0.1", n)).decode_message(b"x")
    assert len(collector.senders) == SENDERS_MOST
    assert collector.counters()["a version that is neither 9 nor 10"] == SENDERS_MOST + 5


def test_the_collect_command_adds_up_records_on_loopback():
    command = [sys.executable, "-m", "lichencleat", "flows", "collect", "--udp", "0", "--tcp", "0", "--json"]
    channel = Channel(Wire.IPFIX_TCP, Elements(), 7, 1_400, 500, 5 * SECOND)
    for n in range(300):
        counts = Counts(octets_in=n, packets_out=1, deferred=1)
        channel.queue.offer(
            Record(
                n, HERE[0], THERE[0], 1, 2, f"t{n % 3}", "look", 0, 1, 2, EndReason.END_OF_FLOW, False, counts
            )
        )
    with subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True) as collect:
        ports = [int(each) for each in re.findall(r" (\d+)(?:,|$)", collect.stderr.readline().strip())]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            udp.sendto(b"nothing that is known", ("127.0.0.1", ports[0]))
        with socket.create_connection(("127.0.0.1", ports[1])) as tcp:
            while messages := channel.next_messages(6 * SECOND):
                tcp.sendall(b"".join(messages))
            tcp.shutdown(socket.SHUT_WR)
            assert tcp.recv(1) == b""  # the collector has read everything
        collect.terminate()
        totals = json.loads(collect.communicate()[0])
    assert {row["tenant"]: row["records"] for row in totals["tenants"]} == {"t0": 100, "t1": 100, "t2": 100}
    assert sum(row["octets"] for row in totals["tenants"]) == sum(range(300))
    assert sum(row["deferred"] for row in totals["tenants"]) == 300
    assert totals["counters"]["a version that is neither 9 nor 10"] == 1


def test_collecting_without_a_port_is_a_usage_error():
    command = [sys.executable, "-m", "lichencleat", "flows", "collect"]
    wrong = subprocess.run(command, capture_output=True, text=True)
    assert wrong.returncode == 2 and wrong.stderr.count("\n") == 1 and "--udp" in wrong.stderr


def test_the_jitter_of_retries_depends_on_the_seed(reactor, clock, report, deadlines):
    spans = []
    for seed in (1, 1, 2):
        channel = Channel(Wire.IPFIX_TCP, Elements(), 7, 1_400, 50, clock())
        rng = random.Random(seed)
        link = Link(reactor, clock, deadlines, report, rng, "c", ("127.0.0.1", 1), channel)
        spans.append([rng.randrange(link.retry_delay // module.JITTER_DIVISOR) for _ in range(4)])
    assert spans[0] == spans[1] != spans[2]
