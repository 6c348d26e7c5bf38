"""Voters and owners on the rig: `python -m benchmarks.owners`. Real processes on one machine, on loopback and
its disk.

From an owner's SIGKILL to the next one's first accepted act; proposals a second and their time by waiting
clients.
"""

from __future__ import annotations

import os
import random
import signal
import tempfile
import time
from pathlib import Path

import click
from twisted.internet.defer import Deferred, DeferredList

from lichencleat.cli import output
from lichencleat.testkit.cluster.receiver import Receiver
from lichencleat.testkit.cluster.relay import LOCAL
from lichencleat.testkit.cluster.rig import Rig
from lichencleat.transport.group_client import GroupClient

JOB = "deal"


def quantile(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


def failovers(rig: Rig, kills: int) -> list[float]:
    """ms from each kill to the next owner's first accepted act."""
    code, said = rig.command("owners", "define", str(rig.voters["v1"].file), JOB)
    assert code == 0, said
    receiver = rig.relays.call(Receiver, rig.relays.reactor)
    port = receiver.port.getHost().port
    workers = {}
    for number in range(3):
        child = rig.worker(f"w{number}", "", port)
        workers[f"w{number}-{child.pid}"] = child
    rig.until(lambda: JOB in receiver.last_holder, "the first act")
    found = []
    for number in range(kills):
        old = receiver.last_holder[JOB]
        begun = time.monotonic()
        os.kill(workers.pop(old).pid, signal.SIGKILL)
        while receiver.last_holder[JOB] == old:
            time.sleep(0.001)
        found.append((time.monotonic() - begun) * 1000)
        child = rig.worker(f"x{number}", "", port)
        workers[f"x{number}-{child.pid}"] = child
        log = rig.path / f"x{number}.log"
        rig.until(lambda child=child, log=log: child.poll() is None and log.exists(), "its successor")
        time.sleep(1.0)  # until it is a candidate: a calm fleet is what is measured
    assert receiver.watch.wrong is None, receiver.watch.wrong
    return found


def proposals(rig: Rig, clients: int, seconds: float) -> tuple[float, list[float]]:
    """Proposals a second, and ms of each."""
    reactor = rig.relays.reactor
    taken: list[float] = []
    end = time.monotonic() + seconds
    addresses = [(LOCAL, each.port) for each in rig.voters.values()]  # past the relays, which cost time

    def one(number: int) -> Deferred[None]:
        client = GroupClient(reactor, "rig", addresses, random.Random(number))
        done: Deferred[None] = Deferred()

        def step(begun: float | None = None) -> None:
            now = time.monotonic()
            if begun is not None:
                taken.append((now - begun) * 1000)
            if now > end:
                client.close()
                done.callback(None)
                return
            told = client.propose("facts", ["set", f"b{number}", b"value", None], 10.0)
            told.addCallback(lambda _: step(now))

        client.call("open").addCallback(lambda _: step())
        return done

    begun = time.monotonic()
    rig.relays.call(lambda: DeferredList([one(number) for number in range(clients)]))
    return len(taken) / (time.monotonic() - begun), taken


@click.command()
@click.option("--kills", default=30, show_default=True)
@click.option("--seconds", default=5.0, show_default=True, help="Of each load.")
def main(kills: int, seconds: float) -> None:
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(Path(folder), disk="real")
        try:
            rig.form()
            for clients in (1, 16, 256):
                rate, taken = proposals(rig, clients, seconds)
                rows.append(
                    [f"proposals, {clients} clients", rate, quantile(taken, 0.5), quantile(taken, 0.99)]
                )
            taken = failovers(rig, kills)
            rows.append([f"owner killed, {kills} times", "", quantile(taken, 0.5), quantile(taken, 0.99)])
        finally:
            rig.close()
    output.table(["what", "a second", "p50 ms", "p99 ms"], rows, False)


if __name__ == "__main__":
    main()
