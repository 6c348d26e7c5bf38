"""`lichencleat distribution run`: runs one relay with the settings of a file."""

from __future__ import annotations

import os
import random
from typing import Any

from twisted.internet.defer import inlineCallbacks
from twisted.internet.error import CannotListenError

from lichencleat.config_distribution.file import RelaySettings
from lichencleat.config_distribution.relay import RelayProcess
from lichencleat.config_distribution.table import Table
from lichencleat.daemon import EXIT_CANNOT_START, EXIT_STOPPED, run_daemon
from lichencleat.log.structured import create_logger
from lichencleat.reactor import make_reactor, unix_time
from lichencleat.store.disk_kinds import open_disk
from lichencleat.store.errors import StoreError

STOP_TIMEOUT_S = 5.0  # maximum time of a shutdown, in which the disk writes pending changes, in s


class RelayProgram:
    """Starts a relay on the reactor, and stops the relay on a signal."""

    def __init__(self, reactor: Any, settings: RelaySettings) -> None:
        self.reactor, self.settings = reactor, settings
        self.rng = random.Random(os.urandom(16))
        self.exit_code = EXIT_STOPPED
        self.relay: RelayProcess | None = None
        self.stopping = self.stopped = False
        self.log = create_logger(
            unix_time,
            settings.log.form,
            process=settings.name,
            role="relay",
            group=settings.group,
            pid=os.getpid(),
        )

    @inlineCallbacks
    def start(self) -> Any:
        """Loads the stored version and starts the relay."""
        settings, kept = self.settings, None
        table, mark, recent = Table(), b"", []
        if settings.directory is not None:
            from lichencleat.config_distribution.kept import (
                open_persisted_table,  # imported only if needed, to save memory
            )

            try:
                # a real disk is opened in the store's own thread, because opening may block
                disk = None if settings.disk == "real" else open_disk(settings.disk, settings.directory)
                kept = yield open_persisted_table(
                    self.reactor,
                    settings.directory,
                    unix_time,
                    self.rng,
                    disk,
                    settings.group,
                    self.log_disk_state,
                )
                table, mark, recent = yield kept.load()
            # the relay works without a disk: it fetches the whole table from a process above
            except (StoreError, OSError) as error:
                self.log_disk_state(f"{error}; the relay runs without it")
                if kept is not None:
                    kept.close()
                kept = None
        if self.stopping:
            yield kept.close() if kept is not None else None
            self.stop(EXIT_STOPPED)
            return
        try:
            self.relay = RelayProcess(self.reactor, settings, self.log, self.rng, table, mark, recent, kept)
        except CannotListenError as error:
            if kept is not None:
                yield kept.close()
            self.stop(EXIT_CANNOT_START, str(error))
            return
        self.log.info("started", listen=settings.listen, version=table.version, records=table.records)
        self.relay.start()

    def log_disk_state(self, what: str) -> None:
        """Logs a change of the disk's state."""
        self.log.warning("disk", says=what)

    def request_stop(self) -> None:
        """Starts the shutdown; further calls have no effect."""
        if self.stopping:
            return
        self.stopping = True
        # the timer ends the process even if the disk hangs
        self.reactor.callLater(STOP_TIMEOUT_S, self.stop, EXIT_STOPPED)
        if self.relay is not None:
            self.relay.stop().addBoth(lambda _: self.stop(EXIT_STOPPED))

    def stop(self, code: int, reason: str = "") -> None:
        """Logs the exit and stops the reactor. `reason`: why the relay could not start."""
        if self.stopped:
            return
        self.stopped, self.exit_code = True, code
        if reason:
            self.log.warning("cannot start", reason=reason)
        else:
            counters = self.relay.counters() if self.relay is not None else {}
            self.log.info("stopped", code=code, **{name.replace(" ", "_"): n for name, n in counters.items()})
        self.reactor.callLater(0, self.reactor.stop)


def run(settings: RelaySettings) -> int:
    """Runs the relay. Returns the exit code: 0 after a stop signal, 2 if the relay could not start."""
    reactor = make_reactor()
    return run_daemon(reactor, RelayProgram(reactor, settings))
