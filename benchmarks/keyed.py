"""What receipts that outlive a restart cost: `python -m benchmarks.keyed`.

Real nodes on loopback with the rig's engine, pairs of off and on in turn: latency of receipted requests at
some rates, of pure ones beside them; then the start with many live entries, to the first answers, and memory.
"""

from __future__ import annotations

import os
import random
import statistics
import tempfile
import time
from pathlib import Path

import click

from lichencleat.idempotency.index import READ_DELAY_US
from lichencleat.idempotency.records import (
    FORMAT_VERSION,
    HEARTBEAT_KEY,
    OWNERSHIP_KEY,
    RECORD_PREFIX,
    Heartbeat,
    IdempotencyRecord,
    Ownership,
    RecordState,
    encode,
)
from lichencleat.store.batch import Batch
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.disk import RealDisk
from lichencleat.store.engine import Engine
from lichencleat.testkit.cluster.nodes import HARD_LIMIT, RigNode, settings, unix_time
from lichencleat.testkit.cluster.rig import Rig, wait_until

PURE_RATE = 100  # a second, beside the receipted ones
WORK = 0.002  # s, mean of a run
WINDOW = 16.383  # s
RESULT = b"r" * 100


class Load:
    """Open loop: tries are due by the clock, and latency counts from then."""

    def __init__(self, rig: Rig, node: RigNode, seconds: float, rates: dict[bytes, float]) -> None:
        self.reactor, self.rng = rig.relays.reactor, random.Random(1)
        self.callers = {tariff: node.caller(number) for number, tariff in enumerate(rates, 1)}
        self.took: dict[bytes, list[float]] = {tariff: [] for tariff in rates}
        self.waiting: dict[bytes, float] = {}
        self.unsent = 0
        self.end = time.monotonic() + seconds
        for tariff, rate in rates.items():
            self.callers[tariff].on_answer = self.answered
            self.reactor.callFromThread(self.next, tariff, rate, time.monotonic())

    def next(self, tariff: bytes, rate: float, due: float) -> None:
        now = time.monotonic()
        if now > self.end:
            return
        while due <= now:
            key = b"%032x" % self.rng.getrandbits(128) if tariff == b"save" else b""
            asked = self.callers[tariff].ask(tariff, b"body", HARD_LIMIT, self.rng, key)
            if asked is None:
                self.unsent += 1
            else:
                self.waiting[asked.ident] = due
            due += self.rng.expovariate(rate)
        self.reactor.callLater(max(0.0, due - time.monotonic()), self.next, tariff, rate, due)

    def answered(self, asked) -> None:
        due = self.waiting.pop(asked.ident, None)
        if due is not None and asked.answers and asked.answers[0][0] == b"200":
            self.took[asked.request_class].append((time.monotonic() - due) * 1000)


def quantile(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(len(values) * share))] if values else float("nan")


def one(rate: float, seconds: float, on: bool) -> dict[str, float]:
    with tempfile.TemporaryDirectory(dir=".") as folder:  # on the disk, not in memory
        rig = Rig(Path(folder).resolve(), voters=0)
        chosen = {"keyed": {"directory": f"{Path(folder).resolve()}/keyed"}} if on else {}
        node = RigNode(rig, "n1", chosen, None, settings(window=WINDOW), work=WORK)
        try:
            node.start()
            wait_until(lambda: "LOADED" in node.read_log(), "the node", node.read_log)
            if on:
                wait_until(lambda: "index loaded" in node.read_log(), "the index", node.read_log)
            load = Load(rig, node, seconds, {b"save": rate, b"look": PURE_RATE})
            time.sleep(seconds + 0.5)
            save, look = load.took[b"save"], load.took[b"look"]
            return {
                "save p50": quantile(save, 0.5),
                "save p99": quantile(save, 0.99),
                "look p50": quantile(look, 0.5),
                "look p99": quantile(look, 0.99),
                "count": len(save),
            }
        finally:
            node.close()
            rig.close()


def prepared(directory: str, entries: int, now: int) -> None:
    rng = random.Random(1)
    engine = Engine.open(RealDisk(directory, create=True), unix_time, rng, StoreLimits(), True, directory)
    whose = Ownership(FORMAT_VERSION, "n1", os.stat(directory).st_ino)
    head = Batch().put(OWNERSHIP_KEY, encode(whose)).put(HEARTBEAT_KEY, encode(Heartbeat(now, now)))
    batches = [head]
    for number in range(entries):
        ident, until = b"%016x" % number, now + READ_DELAY_US
        made = IdempotencyRecord(
            RecordState.DONE, "save", now, until, now + HARD_LIMIT, ident, rng.randbytes(16), RESULT
        )
        batches.append(Batch().put(RECORD_PREFIX + rng.randbytes(16), encode(made)))
    for at in range(0, len(batches), 512):
        engine.commit(batches[at : at + 512])
    engine.close()


def resident(pid: int) -> int:
    """Bytes."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def start(entries: int) -> dict[str, float]:
    """s from the process's start to the first answer of each kind; bytes at rest then."""
    with tempfile.TemporaryDirectory(dir=".") as folder:
        rig = Rig(Path(folder).resolve(), voters=0)
        directory = f"{Path(folder).resolve()}/keyed"
        prepared(directory, entries, unix_time())
        chosen = {"keyed": {"directory": directory, "entries": max(1_000, entries * 2)}}
        node = RigNode(rig, "n1", chosen, None, settings(window=WINDOW), work=0.0001)
        try:
            began = time.monotonic()
            node.start()
            rng = random.Random(2)
            first: dict[bytes, float] = {}

            def answered(asked) -> None:
                if asked.answers and asked.answers[0][0] == b"200":
                    first.setdefault(asked.request_class, time.monotonic() - began)

            def ask() -> None:
                for tariff, caller in callers.items():
                    if tariff not in first and caller.waiting < 10:
                        key = b"%032x" % rng.getrandbits(128) if tariff == b"save" else b""
                        caller.ask(tariff, b"body", HARD_LIMIT, rng, key)
                if len(first) < 2:
                    rig.relays.reactor.callLater(0.005, ask)

            callers = {tariff: node.caller(number) for number, tariff in enumerate((b"look", b"save"), 1)}
            for each in callers.values():
                each.on_answer = answered
            rig.relays.reactor.callFromThread(ask)
            wait_until(lambda: len(first) == 2, "the first answers", node.read_log)
            time.sleep(1.0)
            return {
                "pure s": first[b"look"],
                "receipted s": first[b"save"],
                "bytes": resident(node.running.pid),
            }
        finally:
            node.close()
            rig.close()


@click.command()
@click.option("--pairs", default=5, show_default=True)
@click.option("--seconds", default=6.0, show_default=True)
@click.option("--entries", default=100_000, show_default=True)
def main(pairs: int, seconds: float, entries: int) -> None:
    click.echo("ms, medians of pairs in turn: off, on, and on less off with its spread")
    for rate in (1, 50, 300):
        span = seconds * 4 if rate == 1 else seconds
        rows = [(one(rate, span, False), one(rate, span, True)) for _ in range(pairs)]
        for name in ("save p50", "save p99", "look p50", "look p99"):
            off, on = (statistics.median(row[at][name] for row in rows) for at in (0, 1))
            added = sorted(row[1][name] - row[0][name] for row in rows)
            click.echo(
                f"{rate:>4} a second  {name}  {off:8.2f} {on:8.2f}  {statistics.median(added):+8.2f} "
                f"({added[0]:+.2f} to {added[-1]:+.2f})"
            )
    empty, full = start(0), start(entries)
    click.echo(f"start without entries: pure {empty['pure s']:.2f} s, receipted {empty['receipted s']:.2f} s")
    click.echo(f"with {entries}: pure {full['pure s']:.2f} s, receipted {full['receipted s']:.2f} s")
    click.echo(
        f"memory: {(full['bytes'] - empty['bytes']) / entries:.0f} bytes an entry, results of {len(RESULT)}"
    )


if __name__ == "__main__":
    main()
