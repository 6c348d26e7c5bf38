"""The program with flow export on, and a collector beside it: what callers sent and read is what the
collector adds up.
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
from standins import PATIENCE, Program, array, inquiry

IDS = [f"{n:016x}" for n in range(1, 200)]


class Collect:
    """`lichencleat flows collect` beside the program."""

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
        out, _ = self.process.communicate(timeout=PATIENCE)
        return json.loads(out)


@pytest.fixture
def collect():
    started = Collect()
    yield started
    if started.process.poll() is None:
        started.process.kill()
    started.process.communicate()


def chosen(tmp_path, *collectors, **more):
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
    """A connection that counts its own octets."""

    def __init__(self, peer):
        self.peer, self.sent, self.got, self.answers = peer, 0, 0, 0

    def send(self, data):
        self.sent += len(data)
        self.peer.send(data)

    def answer(self):
        words = self.peer.array()
        self.got += len(array(*words))
        return words


def honour(program, caller, ident):
    caller.send(inquiry(1, b"look", ident, b"x" * 100))
    program.interpreter.next()
    program.interpreter.notice(b"VALUE %s PASS 5" % ident.encode(), b"y" * 300)
    assert caller.answer()[1] == b"200"


@pytest.mark.parametrize("wire", ["ipfix-udp", "ipfix-tcp", "netflow9-udp"])
def test_a_collector_adds_up_what_callers_sent_and_read(tmp_path, started, collect, wire):
    port = collect.tcp if wire == "ipfix-tcp" else collect.udp
    program = started(chosen(tmp_path, (port, wire), flush_s=0.5))
    callers = [Caller(program.ready())]
    callers += [Caller(program.dispatcher()) for _ in range(4)]
    for at, caller in enumerate(callers):
        for n in range(3):
            honour(program, caller, IDS[at * 10 + n])
    callers[1].peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    callers[1].peer.close()  # a reset
    callers[2].send(inquiry(9, b"look", IDS[150], b"never answered"))
    program.interpreter.next()
    callers[2].peer.close()  # vanishes with an inquiry in hand
    callers[3].send(array(b"HEALTH", b"5", b""))
    callers[3].answer()
    program.leave()
    for caller in (callers[0], callers[3], callers[4]):
        assert caller.answer() == [b"0", b"goaway"]
        caller.peer.close()
    code, counters, _ = program.end()
    told = collect.end()
    total = {
        name: sum(row[name] for row in told["tenants"]) for name in told["tenants"][0] if name != "tenant"
    }
    assert code == 0 and counters.get("node errors", 0) == 0
    assert total["octets"] == sum(caller.sent + caller.got for caller in callers)
    if wire != "netflow9-udp":
        assert total["honoured"] == counters["host honoured"] == 15
        assert total["abandoned"] == counters["host abandoned"] == 1
        assert total["records"] >= 5
        assert told["exporters"][0]["notSentFlowTotalCount"] == 0
    assert not {"records lost", "packets lost"} & set(told["counters"])


def test_a_dead_collector_holds_up_neither_serving_nor_the_stop(tmp_path, started):
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        port = listener.getsockname()[1]  # bound, but nobody listens
        program = started(chosen(tmp_path, (port, "ipfix-tcp"), (port, "ipfix-udp"), flush_s=60))
        caller = Caller(program.ready())
        for n in range(20):
            honour(program, caller, IDS[n])
        program.leave()
        assert caller.answer() == [b"0", b"goaway"]
        caller.peer.close()
        code, counters, err = program.end()
    assert code == 0 and counters["host honoured"] == 20 and counters.get("node errors", 0) == 0, err
    assert counters["flows links failed"] >= 1 and "Traceback" not in err


def test_a_wrong_file_is_one_line_and_exit_2(tmp_path):
    path = tmp_path / "chosen.yaml"
    path.write_text("flows:\n  colectors: []\n")
    config = tmp_path / "config.json"
    config.write_text("{}")
    environment = os.environ | {"BALANCER_CONFIG": str(config), "LICHENCLEAT_FILE": str(path)}
    wrong = subprocess.run(
        [sys.executable, "-m", "lichencleat"], capture_output=True, text=True, env=environment
    )
    assert wrong.returncode == 2 and wrong.stderr.count("\n") == 1
