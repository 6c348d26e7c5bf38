"""A process with many hollow nodes: each has the real follower, subscriber and link of its own; all of them
share one set of tables, so that a batch is applied once.

python -m lichencleat.testkit.cluster.hollow_nodes FILE

Left out against a node: its own table and its staging, its disk, its own process. Unless the start is to be
cold, one follower with a table fetches what there is, and all begin with that, as from a disk. At each
SIGUSR1 a line is written of what was taken since the last one, and of bytes and processor time so far.
"""

from __future__ import annotations

import json
import os
import random
import resource
import signal
import sys
from collections import Counter
from collections.abc import Callable
from typing import Any

from lichencleat.config_distribution import subscriber as subscribing
from lichencleat.config_distribution.choice import Timing
from lichencleat.config_distribution.copy import Copy, TableCopy
from lichencleat.config_distribution.follow import RelayFollower
from lichencleat.config_distribution.subscriber import RelayLink, Subscriber
from lichencleat.config_distribution.table import Table
from lichencleat.config_distribution.terms import Batch
from lichencleat.log.structured import create_logger
from lichencleat.reactor import make_reactor, unix_time
from lichencleat.testkit.cluster.process_faults import install_faults
from lichencleat.testkit.cluster.tap import moment
from lichencleat.testkit.hollow import Shared, SharedCopy

TAKES_MOST = 2_000_000  # kept between two lines: 300 nodes that take some thousand batches
passed = {"in": 0, "out": 0}  # bytes of all links


class CountedUpward(RelayLink):
    def dataReceived(self, data: bytes) -> None:
        passed["in"] += len(data)
        super().dataReceived(data)

    def sendString(self, string: bytes) -> None:
        passed["out"] += len(string) + 4
        super().sendString(string)


class HollowNodes:
    """Owns the nodes of one zone, and the file that is written to."""

    def __init__(self, reactor: Any, chosen: dict[str, Any]) -> None:
        """`chosen`: group, zone, name, nodes, sources, said; `spread`: s over which they start; `cold`: with
        nothing; else `version`: what the first has to have.
        """
        self.reactor, self.chosen = reactor, chosen
        self.log = create_logger(unix_time, process=chosen["name"], role="hollow", group=chosen["group"])
        self.said = os.open(chosen["said"], os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
        self.shared: Shared | None = None
        self.takes: list[tuple[int, int, int]] = []  # node, version, µs
        self.nodes: list[Subscriber] = []

    def now(self) -> int:
        return int(self.reactor.seconds() * 1e6)

    def start(self) -> None:
        if self.chosen["cold"]:
            self.start_all(Table(), b"")
            return
        copy = TableCopy()
        first: list[Subscriber] = []

        def taken(batches: tuple[Batch, ...]) -> None:
            if copy.version >= self.chosen["version"] and copy.mark:
                self.reactor.callLater(0, first[0].stop)
                self.start_all(copy.table, copy.mark)

        first.append(self.subscriber("first", copy, taken))
        first[0].start()

    def subscriber(self, name: str, copy: Copy, taken: Callable[[tuple[Batch, ...]], None]) -> Subscriber:
        chosen = self.chosen
        rng = random.Random(f"{chosen['name']} {name}")
        tiers = tuple(map(tuple, chosen["sources"]))
        follower = RelayFollower(tiers, copy, rng, self.now(), True, chosen["zone"], Timing())
        who = f"{chosen['name']}-{name}"
        return Subscriber(self.reactor, chosen["group"], who, follower, copy, rng, self.log, self.now, taken)

    def start_all(self, table: Table, mark: bytes) -> None:
        """With that table, over `spread` seconds."""
        if self.nodes:
            return
        self.shared = Shared(table)
        for number in range(self.chosen["nodes"]):
            copy = SharedCopy(self.shared, mark)

            def taken(batches: tuple[Batch, ...], number: int = number, copy: SharedCopy = copy) -> None:
                if len(self.takes) < TAKES_MOST:
                    self.takes.append((number, copy.version, moment()))

            made = self.subscriber(str(number), copy, taken)
            self.nodes.append(made)
            self.reactor.callLater(made.rng.uniform(0, self.chosen["spread"]), made.start)

    def tell(self) -> None:
        used = resource.getrusage(resource.RUSAGE_SELF)
        takes, self.takes = self.takes, []
        now = self.now()
        counts: Counter[str] = Counter()
        for each in self.nodes:
            counts.update(each.counts)
            counts.update(each.follower.counters)
        line = {
            "at": moment(),
            "zone": self.chosen["zone"],
            "nodes": len(self.nodes),
            "cpu": used.ru_utime + used.ru_stime,
            "rss": rss(os.getpid()),
            "bytes": dict(passed),
            "takes": takes,
            "versions": dict(Counter(each.copy.version for each in self.nodes)),
            "relays": dict(Counter(each.follower.relay or "" for each in self.nodes)),
            "oldest": max((each.follower.age(now) for each in self.nodes), default=0),
            "counts": dict(counts),
        }
        os.write(self.said, json.dumps(line).encode() + b"\n")


def rss(pid: int) -> int:
    """Bytes."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def main() -> None:
    install_faults()
    reactor = make_reactor()
    subscribing.RelayLink = CountedUpward  # type: ignore[misc]
    with open(sys.argv[1]) as file:
        chosen = json.load(file)
    signal.signal(signal.SIGUSR1, lambda *_: reactor.callFromThread(lambda: nodes.tell()))
    nodes = HollowNodes(reactor, chosen)  # its file is there only now: who asks waits for that
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(reactor.stop))
    reactor.callWhenRunning(nodes.start)
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
