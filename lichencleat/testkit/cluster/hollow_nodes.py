"""A process with many hollow nodes: nodes that share one set of tables, so that a batch is applied only once.
Each hollow node has a real follower, subscriber and link of its own.

python -m lichencleat.testkit.cluster.hollow_nodes FILE

A hollow node has no table, no staging, no disk and no process of its own. Unless the start is cold, one
follower fetches the present table first, and all nodes start with this table as if they had read it from a
disk. At each SIGUSR1 the process writes a line with the versions that the nodes put in force since the last
line, and with the bytes and the processor time used so far.
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
from lichencleat.testkit.cluster.tap import monotonic_us
from lichencleat.testkit.hollow import Shared, SharedCopy

# entries kept between two lines: enough for 300 nodes and some thousand batches
MAX_APPLIED_ENTRIES = 2_000_000
link_bytes = {"in": 0, "out": 0}  # bytes received and sent on all links


class CountingLink(RelayLink):
    """A link to a relay that counts the bytes received and sent."""

    def dataReceived(self, data: bytes) -> None:
        link_bytes["in"] += len(data)
        super().dataReceived(data)

    def sendString(self, string: bytes) -> None:
        link_bytes["out"] += len(string) + 4
        super().sendString(string)


class HollowNodes:
    """Owns the nodes of one zone, and the file with the lines that the process writes."""

    def __init__(self, reactor: Any, settings: dict[str, Any]) -> None:
        """`settings` has the keys group, zone, name, nodes, sources, said, and these:

        `spread`: seconds over which the starts of the nodes are spread;
        `cold`: whether the nodes start with an empty table;
        `version`: unless `cold` is set, the version that the first follower must reach before others start.
        """
        self.reactor, self.settings = reactor, settings
        self.log = create_logger(unix_time, process=settings["name"], role="hollow", group=settings["group"])
        self.output = os.open(settings["said"], os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
        self.shared: Shared | None = None
        # node number, version put in force, µs of the machine's monotonic clock
        self.applied: list[tuple[int, int, int]] = []
        self.nodes: list[Subscriber] = []

    def now(self) -> int:
        """Return the time of the reactor in µs."""
        return int(self.reactor.seconds() * 1e6)

    def start(self) -> None:
        """Start all nodes, at once if the start is cold, else after one follower has fetched the table."""
        if self.settings["cold"]:
            self.start_all(Table(), b"")
            return
        copy = TableCopy()
        first: list[Subscriber] = []

        def on_applied(batches: tuple[Batch, ...]) -> None:
            if copy.version >= self.settings["version"] and copy.mark:
                self.reactor.callLater(0, first[0].stop)
                self.start_all(copy.table, copy.mark)

        first.append(self.subscriber("first", copy, on_applied))
        first[0].start()

    def subscriber(
        self, name: str, copy: Copy, on_applied: Callable[[tuple[Batch, ...]], None]
    ) -> Subscriber:
        """Return a subscriber with its own follower. `on_applied`: called after each version put in force."""
        settings = self.settings
        rng = random.Random(f"{settings['name']} {name}")
        tiers = tuple(map(tuple, settings["sources"]))
        follower = RelayFollower(tiers, copy, rng, self.now(), True, settings["zone"], Timing())
        caller_name = f"{settings['name']}-{name}"
        return Subscriber(
            self.reactor, settings["group"], caller_name, follower, copy, rng, self.log, self.now, on_applied
        )

    def start_all(self, table: Table, mark: bytes) -> None:
        """Start all nodes with this table, over `spread` seconds. Does nothing after the first call."""
        if self.nodes:
            return
        self.shared = Shared(table)
        for number in range(self.settings["nodes"]):
            copy = SharedCopy(self.shared, mark)

            def on_applied(batches: tuple[Batch, ...], number: int = number, copy: SharedCopy = copy) -> None:
                if len(self.applied) < MAX_APPLIED_ENTRIES:
                    self.applied.append((number, copy.version, monotonic_us()))

            made = self.subscriber(str(number), copy, on_applied)
            self.nodes.append(made)
            self.reactor.callLater(made.rng.uniform(0, self.settings["spread"]), made.start)

    def write_line(self) -> None:
        """Write a line with the versions put in force since the last line, and with the totals so far."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        applied, self.applied = self.applied, []
        now = self.now()
        counts: Counter[str] = Counter()
        for each in self.nodes:
            counts.update(each.counts)
            counts.update(each.follower.counters)
        line = {
            "at": monotonic_us(),
            "zone": self.settings["zone"],
            "nodes": len(self.nodes),
            "cpu": used.ru_utime + used.ru_stime,
            "rss": rss(os.getpid()),
            "bytes": dict(link_bytes),
            "takes": applied,
            "versions": dict(Counter(each.copy.version for each in self.nodes)),
            "relays": dict(Counter(each.follower.relay or "" for each in self.nodes)),
            "oldest": max((each.follower.age(now) for each in self.nodes), default=0),
            "counts": dict(counts),
        }
        os.write(self.output, json.dumps(line).encode() + b"\n")


def rss(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def main() -> None:
    """Run the hollow nodes that the settings file describes."""
    install_faults()
    reactor = make_reactor()
    subscribing.RelayLink = CountingLink  # type: ignore[misc]
    with open(sys.argv[1]) as file:
        settings = json.load(file)
    signal.signal(signal.SIGUSR1, lambda *_: reactor.callFromThread(lambda: nodes.write_line()))
    nodes = HollowNodes(reactor, settings)  # creates the output file, which shows that SIGUSR1 is handled
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(reactor.stop))
    reactor.callWhenRunning(nodes.start)
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
