"""The program with flow export on and a collector beside it: the collector's sums equal what clients sent and
received.
"""

import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys

import pytest
from standins import TIMEOUT, Program, array, request

IDS = [f"{n:016x}" for n in range(1, 200)]


class Collect:
    """A process that runs `lichencleat flows collect`."""

    def __init__(self, udp="0", tcp="0"):
        command = [
            sys.executable,
            "-m",
            "lichencleat",
            "flows",
            "collect",
            "--udp",
            udp,
            "--tcp",
            tcp,
            "--json",
        ]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
        self.udp, self.tcp = re.findall(r" (\d+)(?:,|$)", self.process.stderr.readline().strip())

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        out, _ = self.process.communicate(timeout=TIMEOUT)
        return json.loads(out)


@pytest.fixture
def collect():
    started = Collect()
    yield started
    if started.process.poll() is None:
        started.process.kill()
    started.process.communicate()


def write_settings(tmp_path, *collectors, **more):
    path = tmp_path / "chosen.yaml"
    flows = {"collectors": [{"address": f"127.0.0.1:{port}", "wire": wire} for port, wire in collectors]}
    path.write_text(json.dumps({"flows": flows | more}))  # JSON is YAML
    return str(path)


@pytest.fixture
def started(tmp_path, monkeypatch):
    made = []

    def start(path):
        monkeypatch.setenv("LICHENCLEAT_FILE", path)
        made.append(Program(tmp_path))
        return made[-1]

    yield start
    for each in made:
        each.close()


class Caller:
    """A client connection that counts its own octets."""

    def __init__(self, peer):
        self.peer, self.sent, self.got, self.answers = peer, 0, 0, 0

    def send(self, data):
        self.sent += len(data)
        self.peer.send(data)

    def answer(self):
        words = self.peer.array()
        self.got += len(array(*words))
        return words


def serve_request(program, caller, ident):
    caller.send(request(1, b"look", ident, b"x" * 100))
    program.interpreter.next()
    program.interpreter.notice(b"VALUE %s PASS 5" % ident.encode(), b"y" * 300)
    assert caller.answer()[1] == b"200"


@pytest.mark.parametrize("wire", ["ipfix-udp", "ipfix-tcp", "netflow9-udp"])
def test_the_collectors_sums_equal_what_clients_sent_and_received(tmp_path, started, collect, wire):
    port = collect.tcp if wire == "ipfix-tcp" else collect.udp
    program = started(write_settings(tmp_path, (port, wire), flush_s=0.5))
    callers = [Caller(program.ready())]
    callers += [Caller(program.dispatcher()) for _ in range(4)]
    for at, caller in enumerate(callers):
        for n in range(3):
            serve_request(program, caller, IDS[at * 10 + n])
    callers[1].peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    callers[1].peer.close()  # resets the connection
    callers[2].send(request(9, b"look", IDS[150], b"never answered"))
    program.interpreter.next()
    callers[2].peer.close()  # disconnects while a request is in flight
    callers[3].send(array(b"HEALTH", b"5", b""))
    callers[3].answer()
    program.leave()
    for caller in (callers[0], callers[3], callers[4]):
        assert caller.answer() == [b"0", b"goaway"]
        caller.peer.close()
    code, counters, _ = program.end()
    totals = collect.end()
    total = {
        name: sum(row[name] for row in totals["tenants"]) for name in totals["tenants"][0] if name != "tenant"
    }
    assert code == 0 and counters.get("node errors", 0) == 0
    assert total["octets"] == sum(caller.sent + caller.got for caller in callers)
    assert (total["octets"], total["packets"]) == (
        counters["flows octets metered"],
        counters["flows packets metered"],
    )
    if wire != "netflow9-udp":
        assert total["honoured"] == counters["host honoured"] == 15
        assert total["abandoned"] == counters["host abandoned"] == 1
        assert total["records"] >= 5
        assert totals["exporters"][0]["notSentFlowTotalCount"] == 0
    assert not {"records lost", "packets lost"} & set(totals["counters"])


def test_a_restarted_collector_misses_only_records_reported_as_lost(tmp_path, started, collect):
    program = started(
        write_settings(tmp_path, (collect.udp, "ipfix-udp"), flush_s=0.5, active_s=0.2, idle_s=0.2)
    )
    caller = Caller(program.ready())
    read_until(program, "accepts records")
    for n in range(10):
        serve_request(program, caller, IDS[n])
    first = collect.end()
    serve_request(program, caller, IDS[10])
    read_until(program, "refuses datagrams, nobody listens")
    for n in range(11, 40):
        serve_request(program, caller, IDS[n])
    second = Collect(udp=collect.udp)
    read_until(program, "accepts records")
    serve_request(program, caller, IDS[50])
    program.leave()
    assert caller.answer() == [b"0", b"goaway"]
    caller.peer.close()
    code, counters, _ = program.end()
    totals = [first, second.end()]
    own = totals[1]["exporters"][-1]
    octets = sum(row["octets"] for each in totals for row in each["tenants"]) + own["notSentOctetTotalCount"]
    honoured = sum(row["honoured"] for each in totals for row in each["tenants"])
    packets = (
        sum(row["packets"] for each in totals for row in each["tenants"]) + own["notSentPacketTotalCount"]
    )
    assert code == 0 and octets == caller.sent + caller.got
    assert (octets, packets) == (counters["flows octets metered"], counters["flows packets metered"])
    assert honoured + own["inquiriesNotSent"] == counters["host honoured"] == 41


def test_connections_to_peers_are_metered_if_the_settings_say_so(tmp_path, started, collect):
    program = started(write_settings(tmp_path, (collect.udp, "ipfix-udp"), links=True, flush_s=0.5))
    caller = Caller(program.ready())
    caller.send(request(1, b"look", IDS[0], b"x" * 100))
    program.interpreter.next()
    program.interpreter.notice(b"AWAIT " + IDS[0].encode(), b"c" * 1_000)
    peer, _, _ = program.catalogue.next()
    peer.send(b"%s DATA 2000\r\n%s\r\n" % (IDS[0].encode(), b"r" * 2_000))
    program.interpreter.next()
    program.interpreter.notice(b"VALUE %s PASS 5" % IDS[0].encode(), b"done")
    assert caller.answer()[3] == b"done"
    program.leave()
    assert caller.answer() == [b"0", b"goaway"]
    caller.peer.close()
    code, counters, _ = program.end()
    totals = collect.end()
    octets = sum(row["octets"] for row in totals["tenants"])
    assert code == 0 and counters.get("node errors", 0) == 0
    # a call and its reply are each counted on two connections
    assert octets > caller.sent + caller.got + 2 * (1_000 + 2_000)


def test_a_reload_changes_the_collectors_address_and_an_invalid_file_changes_nothing(
    tmp_path, started, collect
):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as nobody:
        nobody.bind(("127.0.0.1", 0))
        path = write_settings(tmp_path, (nobody.getsockname()[1], "ipfix-udp"), flush_s=0.5)
        program = started(path)
        caller = Caller(program.ready())
        write_settings(tmp_path, (collect.udp, "ipfix-udp"), flush_s=0.5)
        program.process.send_signal(signal.SIGHUP)
        read_until(program, "1 collectors moved")
        with open(path, "a") as file:
            file.write("\nflowz: 1")
        program.process.send_signal(signal.SIGHUP)
        read_until(program, "the old configuration stays in force")
        serve_request(program, caller, IDS[0])
        program.leave()
        assert caller.answer() == [b"0", b"goaway"]
        caller.peer.close()
        code, counters, _ = program.end()
        totals = collect.end()
    assert code == 0 and counters["node configurations refused"] == 1 and counters.get("node errors", 0) == 0
    assert sum(row["honoured"] for row in totals["tenants"]) == 1


def read_until(program, words):
    while words not in (line := program.process.stderr.readline()):
        assert line, f"the program ended without saying {words}"


def test_a_dead_collector_delays_neither_requests_nor_shutdown(tmp_path, started):
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        port = listener.getsockname()[1]  # the port is bound, but nobody listens
        program = started(write_settings(tmp_path, (port, "ipfix-tcp"), (port, "ipfix-udp"), flush_s=60))
        caller = Caller(program.ready())
        for n in range(20):
            serve_request(program, caller, IDS[n])
        program.leave()
        assert caller.answer() == [b"0", b"goaway"]
        caller.peer.close()
        code, counters, err = program.end()
    assert code == 0 and counters["host honoured"] == 20 and counters.get("node errors", 0) == 0, err
    assert counters["flows links failed"] >= 1 and "Traceback" not in err


def test_an_invalid_file_is_reported_in_one_line_with_exit_code_2(tmp_path):
    path = tmp_path / "chosen.yaml"
    path.write_text("flows:\n  colectors: []\n")
    config = tmp_path / "config.json"
    config.write_text("{}")
    environment = os.environ | {"BALANCER_CONFIG": str(config), "LICHENCLEAT_FILE": str(path)}
    wrong = subprocess.run(
        [sys.executable, "-m", "lichencleat"], capture_output=True, text=True, env=environment
    )
    assert wrong.returncode == 2 and wrong.stderr.count("\n") == 1
