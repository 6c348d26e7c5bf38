"""A process with only the configuration part of a node: the real subscriber, table and disk.

The process writes a line whenever the version in force or the value of an observed record changes, and at
each SIGUSR1.

python -m lichencleat.testkit.cluster.watcher FILE [--mistake NAME]

A line is written before the new version is acknowledged to the relay. The digest of the line is computed from
the pages, so that the checkers don't depend on a digest that an injected bug reports.
"""

from __future__ import annotations

import json
import os
import random
import signal
import sys
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

import msgspec
from twisted.internet.defer import inlineCallbacks

from lichencleat.config_distribution.choice import Timing
from lichencleat.config_distribution.copy import TableCopy
from lichencleat.config_distribution.follow import RelayFollower
from lichencleat.config_distribution.kept import open_persisted_table
from lichencleat.config_distribution.pages import page_digest, table_digest
from lichencleat.config_distribution.subscriber import Subscriber
from lichencleat.config_distribution.table import Table
from lichencleat.config_distribution.terms import Batch, PagesAnswer, SnapshotHead
from lichencleat.log.structured import create_logger
from lichencleat.reactor import make_reactor, unix_time
from lichencleat.store.errors import StoreError
from lichencleat.testkit.cluster.heldback import VolatileDisk
from lichencleat.testkit.cluster.process_faults import install_faults
from lichencleat.testkit.cluster.tap import monotonic_us


class WatchedCopy(TableCopy):
    """A copy that calls `on_call` after each call that may change the version in force."""

    def __init__(self, table: Table, mark: bytes = b"") -> None:
        super().__init__(table, mark)
        self.on_call: Any = lambda: None

    @property
    def shown(self) -> Table:
        """The table in force."""
        return self.table

    def stage(self, batches: Sequence[Batch]) -> None:
        try:
            super().stage(batches)
        finally:
            self.on_call()

    def begin(self, head: SnapshotHead) -> None:
        super().begin(head)
        self.on_call()

    def put(self, pages: PagesAnswer) -> bool:
        taken = super().put(pages)
        self.on_call()
        return taken

    def step(self) -> bool:
        try:
            return super().step()
        finally:
            self.on_call()

    def take(self) -> tuple[Batch, ...]:
        try:
            return super().take()
        finally:
            self.on_call()

    def drop(self) -> None:
        super().drop()
        self.on_call()


class WatcherProcess:
    """Owns the output file, the copy of the table, the subscriber and the disk of a watcher."""

    def __init__(self, reactor: Any, settings: dict[str, Any], mistake: str) -> None:
        self.reactor, self.settings, self.mistake = reactor, settings, mistake
        self.rng = random.Random(os.urandom(16))
        self.log = create_logger(unix_time, process=settings["name"], role="watcher", group=settings["group"])
        self.output = os.open(settings["said"], os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
        self.observed_names = [tuple(name.partition("/")[::2]) for name in settings["looks_at"]]
        self.last_state: tuple[Any, ...] = ()
        self.copy: WatchedCopy | None = None
        self.subscriber: Subscriber | None = None
        self.persisted_table: Any = None
        self.storage_problem = ""

    @inlineCallbacks
    def start(self) -> Any:
        """Load the stored table and start the subscriber with it."""
        from lichencleat.testkit.cluster import mistakes

        settings = self.settings
        table, mark = Table(), b""
        if settings.get("directory"):
            is_volatile = settings.get("disk") == "held back"
            try:
                disk = VolatileDisk(settings["directory"], create=True) if is_volatile else None
                self.persisted_table = yield open_persisted_table(
                    self.reactor, settings["directory"], unix_time, self.rng, disk=disk
                )
                table, mark, _ = yield mistakes.load(self.persisted_table, self.mistake)
                self.storage_problem = self.persisted_table.problem
            except (StoreError, OSError) as wrong:
                self.storage_problem = str(wrong)
        self.copy = mistakes.make_copy(self.mistake, self.reactor, table, mark)
        self.copy.on_call = self.write_line
        now = lambda: int(self.reactor.seconds() * 1e6)  # noqa: E731
        times = replace(Timing(), **{key: tuple(span) for key, span in settings["times"].items()})
        tiers = tuple(map(tuple, settings["sources"]))
        follower = RelayFollower(tiers, self.copy, self.rng, now(), True, settings["zone"], times)
        self.subscriber = Subscriber(
            self.reactor,
            settings["group"],
            settings["name"],
            follower,
            self.copy,
            self.rng,
            self.log,
            now,
            self.on_applied,
            self.on_answered,
        )
        mistakes.install_in_host(self.mistake, self.subscriber)
        self.log.info("started", version=table.version, trouble=self.storage_problem)
        self.write_line("started")
        self.subscriber.start()

    def on_applied(self, batches: tuple[Batch, ...]) -> None:
        """Store the version put in force. `batches`: the applied batches, empty after a snapshot."""
        assert self.copy is not None
        if self.persisted_table is not None and batches:
            self.persisted_table.on_batches_applied(self.copy.table, batches)
        elif self.persisted_table is not None:
            self.persisted_table.on_snapshot_applied(self.copy.table)

    def on_answered(self) -> None:
        """Store the mark of the group if it changed."""
        if (
            self.persisted_table is not None
            and self.copy is not None
            and self.copy.mark != getattr(self, "mark", b"")
        ):
            self.mark = self.copy.mark
            self.persisted_table.set_group_mark(self.mark)

    def observed_values(self) -> dict[str, Any]:
        """Return the values of the observed records, None for a record that does not exist."""
        assert self.copy is not None
        table = self.copy.shown
        found = {}
        for kind, name in self.observed_names:
            value = table.find(kind, name)
            found[f"{kind}/{name}"] = None if value is None else msgspec.json.decode(value)
        return found

    def write_line(self, why: str = "") -> None:
        """Write a line if the state changed since the last line, or if `why` gives another reason."""
        copy = self.copy
        if copy is None:
            return
        table = copy.shown
        state = (table.version, table.total, answers := self.observed_values())
        if state == self.last_state and not why:
            return
        self.last_state = state
        total = sum(page_digest(number, page) for number, page in enumerate(table.pages))
        digest = table_digest(total, table.version)
        line = {
            "at": monotonic_us(),
            "life": os.getpid(),
            "version": table.version,
            "digest": digest.hex(),
            "answers": answers,
            "why": why or "changed",
        }
        if why and self.subscriber is not None:
            follower = self.subscriber.follower
            line["relay"], line["age"] = follower.relay, follower.age(self.subscriber.now())
            line["home"] = follower.selector.order[0]
            line["counts"], line["trouble"] = self.subscriber.counts, self.storage_problem
        os.write(self.output, json.dumps(line).encode() + b"\n")


def main() -> None:
    """Run the watcher that the settings file describes."""
    install_faults()
    reactor = make_reactor()
    path, *more = sys.argv[1:]
    mistake = more[1] if more[:1] == ["--mistake"] else ""
    with open(path) as file:
        watcher = WatcherProcess(reactor, json.load(file), mistake)
    signal.signal(signal.SIGUSR1, lambda *_: reactor.callFromThread(watcher.write_line, "asked"))
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(reactor.stop))

    def on_start_failed(failure: Any) -> None:
        watcher.log.warning(
            "watcher failed to start", trace=failure.getBriefTraceback().replace("\n", " | ")[-600:]
        )
        reactor.stop()

    reactor.callWhenRunning(lambda: watcher.start().addErrback(on_start_failed))
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
