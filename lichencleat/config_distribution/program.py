"""`lichencleat distribution run`: one relay from its file, with its disk, signals and exit code."""

from __future__ import annotations

import os
import random
from typing import Any

from twisted.internet.defer import inlineCallbacks
from twisted.internet.error import CannotListenError

from lichencleat.clocks import make_reactor, unix_time
from lichencleat.config_distribution.file import RelayChoice
from lichencleat.config_distribution.relay import RelayProcess
from lichencleat.config_distribution.table import Table
from lichencleat.log.structured import create_logger
from lichencleat.programs import run_program
from lichencleat.store.errors import StoreError

STOPPED, WRONG = 0, 2  # exit codes
STOP_MOST = 5.0  # s for the disk to take what it was given, once told to leave


class Running:
    """Brings a relay up on the reactor, and down at a signal."""

    def __init__(self, reactor: Any, chosen: RelayChoice) -> None:
        self.reactor, self.chosen = reactor, chosen
        self.rng = random.Random(os.urandom(16))
        self.code = STOPPED
        self.relay: RelayProcess | None = None
        self.stopping = self.stopped = False
        self.log = create_logger(
            unix_time,
            chosen.log.form,
            process=chosen.name,
            role="relay",
            group=chosen.group,
            pid=os.getpid(),
        )

    @inlineCallbacks
    def start(self) -> Any:
        chosen, kept = self.chosen, None
        table, mark, recent = Table(), b"", []
        if chosen.directory is not None:
            from lichencleat.config_distribution.kept import (
                open_kept,  # off means not imported: memory counts
            )

            disk = disk_of(chosen)
            try:
                kept = yield open_kept(
                    self.reactor, chosen.directory, unix_time, self.rng, disk, chosen.group, self.disk_says
                )
                table, mark, recent = yield kept.load()
            except (StoreError, OSError) as wrong:  # it goes on without: what it lacks comes from above
                self.disk_says(f"{wrong}; goes on without it")
                if kept is not None:
                    kept.close()
                kept = None
        if self.stopping:
            yield kept.close() if kept is not None else None
            self.stop(STOPPED)
            return
        try:
            self.relay = RelayProcess(self.reactor, chosen, self.log, self.rng, table, mark, recent, kept)
        except CannotListenError as wrong:
            if kept is not None:
                yield kept.close()
            self.stop(WRONG, str(wrong))
            return
        self.log.info("started", listen=chosen.listen, version=table.version, records=table.records)
        self.relay.start()

    def disk_says(self, what: str) -> None:
        self.log.warning("disk", says=what)

    def told_to_leave(self) -> None:
        if self.stopping:
            return
        self.stopping = True
        self.reactor.callLater(STOP_MOST, self.stop, STOPPED)  # guards the end, whatever the disk does
        if self.relay is not None:
            self.relay.stop().addBoth(lambda _: self.stop(STOPPED))

    def stop(self, code: int, reason: str = "") -> None:
        if self.stopped:
            return
        self.stopped, self.code = True, code
        if reason:
            self.log.warning("can't start", reason=reason)
        else:
            counters = self.relay.counters() if self.relay is not None else {}
            self.log.info("stopped", code=code, **{name.replace(" ", "_"): n for name, n in counters.items()})
        self.reactor.callLater(0, self.reactor.stop)


def disk_of(chosen: RelayChoice) -> Any:
    """None: the directory itself."""
    if chosen.disk == "held back":
        from lichencleat.testkit.cluster.heldback import HeldBackDisk  # for tests: not imported otherwise

        assert chosen.directory is not None
        return HeldBackDisk(chosen.directory, create=True)
    return None


def run(chosen: RelayChoice) -> int:
    """The exit code: 0 told to leave, 2 could not start."""
    reactor = make_reactor()
    return run_program(reactor, Running(reactor, chosen))
