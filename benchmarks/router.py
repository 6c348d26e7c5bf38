"""What a router adds: latency and processor time of a request beside a direct connection, in pairs:
`python -m benchmarks.router`. The node is a stand-in that answers at once: what is left is the way there.
"""

from __future__ import annotations

import json
import os
import random
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import click
import yaml
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import deferLater

from lichencleat.node.resp import ArrayReader, array
from lichencleat.testkit.cluster.nodes import HARD_LIMIT, settings, unix_time
from lichencleat.testkit.cluster.peers import Attempt, Caller
from lichencleat.testkit.cluster.relay import LOCAL, Relays
from lichencleat.testkit.cluster.rig import free_port, wait_until

TICKS = os.sysconf("SC_CLK_TCK")
OPEN = 24  # tries at once, where as many as possible are asked for


class Echo(Protocol):
    """Answers each request at once with its body."""

    def __init__(self) -> None:
        self.reader = ArrayReader()

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        for words in self.reader.feed(data):
            if words[0] == b"REQ":
                self.transport.writeSequence(array(words[1], b"200", b"v=0.0", words[4]))


def seconds_of(pid: int) -> float:
    """Processor time that it has had."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


class Asking:
    """One caller that asks at a rate, or with so many open at once."""

    def __init__(self, relays: Relays, port: int) -> None:
        self.relays = relays
        self.caller: Caller = relays.call(Caller, relays.reactor, (LOCAL, port), unix_time)
        self.rng = random.Random(1)

    def send(self) -> Attempt | None:
        return self.caller.ask(b"look", b"x" * 200, HARD_LIMIT, self.rng)

    def paced(self, rate: float, span: float) -> list[float]:
        """ms from each try to its answer."""
        wait_until(lambda: self.relays.call(self.send), "a connection")
        self.relays.call(self.caller.attempts.clear)

        def go(left: int) -> Any:
            self.send()
            return deferLater(self.relays.reactor, 1 / rate, go, left - 1) if left else None

        self.relays.call(go, int(rate * span))
        wait_until(lambda: not self.caller.waiting, "the last answers")
        return [(each.answers[0][3] - each.sent) / 1000 for each in self.caller.attempts if each.answers]

    def flat_out(self, span: float) -> float:
        """Answers a second."""
        wait_until(lambda: self.relays.call(self.send), "a connection")
        self.relays.call(self.caller.attempts.clear)
        self.on = True

        def again(_: Any) -> None:
            if self.on and self.caller.waiting < OPEN:
                self.send()

        def go() -> None:
            self.caller.on_answer = lambda asked: self.relays.reactor.callLater(0, again, asked)
            for _ in range(OPEN):
                self.send()

        began = time.monotonic()
        self.relays.call(go)
        time.sleep(span)
        count = sum(bool(each.answers) for each in list(self.caller.attempts))
        took = time.monotonic() - began
        self.on = False
        wait_until(lambda: not self.caller.waiting, "the last answers")
        return count / took


def quantile(values: list[float], part: float) -> float:
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]


@click.command()
@click.option("--pairs", default=5, show_default=True)
@click.option("--rate", default=200.0, show_default=True, help="Requests a second.")
@click.option("--span", default=3.0, show_default=True, help="s of each measurement.")
def main(pairs: int, rate: float, span: float) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path, relays = Path(folder), Relays()
        factory = Factory.forProtocol(Echo)
        node = relays.call(lambda: relays.reactor.listenTCP(0, factory, interface=LOCAL)).getHost().port
        port = free_port([])
        (path / "settings.json").write_text(json.dumps(settings()))
        zones = {"a": {"nodes": {"n1": f"{LOCAL}:{node}"}}}
        told = {
            "name": "r1",
            "zone": "a",
            "listen": f"{LOCAL}:{port}",
            "settings": str(path / "settings.json"),
            "zones": zones,
        }
        (path / "router.yaml").write_text(yaml.safe_dump({"router": told}))
        words = [sys.executable, "-m", "lichencleat", "router", "run", str(path / "router.yaml")]
        child = subprocess.Popen(words, stderr=subprocess.DEVNULL)
        try:
            rows: dict[str, list[tuple[float, float]]] = {"direct": [], "router": []}
            cost, most = [], []
            asking = {"direct": Asking(relays, node), "router": Asking(relays, port)}
            for _ in range(pairs):
                for way, each in asking.items():
                    before = seconds_of(child.pid)
                    took = each.paced(rate, span)
                    rows[way].append((quantile(took, 0.5), quantile(took, 0.99)))
                    if way == "router":
                        cost.append((seconds_of(child.pid) - before) / len(took) * 1e6)
            for _ in range(2):
                most.append(asking["router"].flat_out(span))
            click.echo(f"{pairs} pairs, {rate:g} requests a second; medians")
            for way, found in rows.items():
                p50, p99 = (statistics.median(each[at] for each in found) for at in (0, 1))
                click.echo(f"{way:<7} p50 {p50:.2f} ms  p99 {p99:.2f} ms")
            click.echo(f"processor time of the router, a request: {statistics.median(cost):.0f} µs")
            click.echo(f"answers a second with {OPEN} open: {max(most):.0f}")
        finally:
            child.terminate()
            child.wait(10)
            relays.close()


if __name__ == "__main__":
    main()
