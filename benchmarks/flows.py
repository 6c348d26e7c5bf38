"""What flow export costs on this machine: python -m benchmarks.flows [--pairs N] [--only NAME]. No part of
CI.

The program runs as it does in service, with stand-ins for its peers; its CPU is read from the kernel, so what
the stand-ins cost does not count. Pairs alternate: off, then on.
"""

import gc
import json
import os
import random
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from standins import Program, array, request  # noqa: E402

from benchmarks import command  # noqa: E402
from lichencleat.cli import output  # noqa: E402
from lichencleat.flows.channel import Channel, Wire  # noqa: E402
from lichencleat.flows.collector import Collector  # noqa: E402
from lichencleat.flows.elements import Elements  # noqa: E402
from lichencleat.flows.meter import Counts, EndReason, Meter, Record  # noqa: E402

REQUESTS = 4_000
CONNECTIONS = 1_500
OPEN = 10_000
RECORDS = 100_000
SECOND = 1_000_000
TICK = os.sysconf("SC_CLK_TCK")


class Peers:
    """The program with an interpreter that answers at once."""

    def __init__(self, folder, chosen):
        os.environ.pop("LICHENCLEAT_FILE", None)
        if chosen is not None:
            path = Path(folder) / "chosen.yaml"
            path.write_text(json.dumps({"flows": chosen}))
            os.environ["LICHENCLEAT_FILE"] = str(path)
        self.program = Program(Path(folder))
        os.environ.pop("LICHENCLEAT_FILE", None)
        self.first = self.program.ready()
        threading.Thread(target=self.answer, daemon=True).start()

    def answer(self):
        while True:
            words, _ = self.program.interpreter.commands.get()
            if words[0] == b"APPLY":
                self.program.interpreter.notice(b"VALUE %s PASS 1" % words[1], b"y" * 200)

    def cpu(self):
        """Seconds of CPU that the program has used."""
        fields = Path(f"/proc/{self.program.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICK

    def close(self):
        self.first.close()
        self.program.close()


def inquire(peers):
    """CPU µs a request, requests a second, p99 of an answer in ms: one after another, on one connection."""
    waits = []
    cpu, begun = peers.cpu(), time.perf_counter()
    for n in range(REQUESTS):
        at = time.perf_counter()
        peers.first.send(request(1, b"look", f"{n:016x}", b"x" * 100))
        peers.first.array()
        waits.append(time.perf_counter() - at)
    spent = time.perf_counter() - begun
    used = peers.cpu() - cpu
    return used / REQUESTS * SECOND, REQUESTS / spent, statistics.quantiles(waits, n=100)[98] * 1000


def connect(peers):
    """CPU µs a connection that asks for the health once."""
    cpu = peers.cpu()
    for _ in range(CONNECTIONS):
        peer = peers.program.dispatcher()
        peer.send(array(b"HEALTH", b"1", b""))
        peer.array()
        peer.close()
    return (peers.cpu() - cpu) / CONNECTIONS * SECOND


class Collectors:
    """Where records go: a collector that is alive, a port where nobody listens, one that never reads."""

    def __init__(self, kind):
        self.process = self.held = None
        if kind == "alive":
            command = [sys.executable, "-m", "lichencleat", "flows", "collect", "--udp", "0", "--json"]
            self.process = subprocess.Popen(
                command, stdout=subprocess.DEVNULL, stderr=subprocess.PIPE, text=True
            )
            self.port = int(self.process.stderr.readline().split()[-1])
        else:
            self.held = socket.socket(
                socket.AF_INET, socket.SOCK_DGRAM if kind == "never reads" else socket.SOCK_STREAM
            )
            self.held.bind(("127.0.0.1", 0))
            self.port = self.held.getsockname()[1]

    def close(self):
        if self.process is not None:
            self.process.terminate()
            self.process.wait()
            self.process.stderr.close()
        if self.held is not None:
            self.held.close()


def once(kind):
    with tempfile.TemporaryDirectory() as folder:
        collector = Collectors(kind) if kind != "off" else None
        chosen = None
        if collector is not None:
            address = f"127.0.0.1:{collector.port}"
            chosen = {"collectors": [{"address": address}], "active_s": 1, "idle_s": 1}
        peers = Peers(folder, chosen)
        try:
            return (*inquire(peers), connect(peers))
        finally:
            peers.close()
            if collector is not None:
                collector.close()


def program(pairs):
    rows = []
    names = ["CPU us/request", "requests/s", "p99 ms", "CPU us/connection"]
    for kind in ("alive", "nobody there", "never reads"):
        off, on = [], []
        for _ in range(pairs):
            off.append(once("off"))
            on.append(once(kind))
        for at, name in enumerate(names):
            before, after = (statistics.median(each[at] for each in side) for side in (off, on))
            ratios = sorted(two[at] / one[at] for one, two in zip(off, on, strict=True))
            spread = f"{statistics.median(ratios):.2f} ({ratios[0]:.2f}-{ratios[-1]:.2f})"
            rows.append([kind, name, f"{before:.2f}", f"{after:.2f}", f"{after - before:+.2f}", spread])
    output.table(["collector", "", "off", "on", "difference", "ratio (spread)"], rows, False)


def record(number):
    counts = Counts(octets_in=number, octets_out=2 * number, honoured=1)
    ends = bytes([127, 0, 0, 1]), bytes([127, 0, 0, 2])
    return Record(
        number,
        *ends,
        40_000,
        8443,
        f"tenant{number % 20}",
        "look",
        1,
        SECOND,
        2 * SECOND,
        EndReason.END_OF_FLOW,
        True,
        counts,
    )


def collector(pairs):
    rows = []
    for wire in (Wire.IPFIX_UDP, Wire.NETFLOW9_UDP):
        channel = Channel(wire, Elements(), 1, 1_400, RECORDS, SECOND)
        for number in range(RECORDS):
            channel.queue.offer(record(number))
        begun, messages = time.perf_counter(), []
        while made := channel.next_messages(SECOND):
            messages += made
        made_in = time.perf_counter() - begun
        rates = []
        for _ in range(pairs):
            taker = Collector(Elements())
            session = taker.get_session("one")
            begun = time.perf_counter()
            for each in messages:
                taker.add_records(session.decode_message(each))
            rates.append(taker.sums.total.records / (time.perf_counter() - begun))
        rows.append(
            [
                wire.value,
                len(messages),
                round(RECORDS / made_in),
                round(statistics.median(rates)),
                round(min(rates)),
            ]
        )
    output.table(["wire", "messages", "made/s (flows)", "taken/s (records)", "least"], rows, False)


def memory(pairs):
    def resident():
        return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")

    gc.collect()
    before, meter, rng = resident(), Meter(60 * SECOND, 15 * SECOND), random.Random(1)
    flows = []
    for n in range(OPEN):
        flow = meter.open_flow(n, (rng.randbytes(4), 40_000), (b"\x7f\0\0\x01", 8443))
        meter.set_owner(n, flow, f"tenant{n % 20}", "look", 1)
        flow.add_received(n, 1_000 + n)
        flows.append(flow)
    held = resident() - before
    begun = time.perf_counter()
    found = 0
    while meter.next_record(100 * SECOND) is not None:
        found += 1
    spent = time.perf_counter() - begun
    output.table(
        ["flows open", "MB", "records due at once", "us a record"],
        [[len(flows), held / 1e6, found, spent / found * SECOND]],
        False,
    )


MEASURES = {"program": program, "collector": collector, "memory": memory}


if __name__ == "__main__":
    command(MEASURES)()
