"""Runs a daemon on the reactor: handles signals, logs unhandled errors and returns the exit code."""

from __future__ import annotations

import signal
from typing import Protocol

from twisted.logger import LogEvent, globalLogBeginner

from lichencleat.log.interfaces import EventLogger
from lichencleat.reactor import Reactor

EXIT_STOPPED = 0  # stopped on request
EXIT_CANNOT_START = 2


class Daemon(Protocol):
    """A program that starts on the reactor and stops the reactor when it has ended."""

    @property
    def log(self) -> EventLogger:
        """The logger for unhandled errors."""

    @property
    def exit_code(self) -> int:
        """The exit code of the process, valid once the reactor has stopped."""

    def start(self) -> object:
        """Start the program; called once the reactor runs."""

    def request_stop(self) -> None:
        """Begin a graceful shutdown; may be called more than once."""


def run_daemon(reactor: Reactor, daemon: Daemon) -> int:
    """Run the reactor until the daemon stops it; SIGTERM and SIGINT request a stop.

    Returns:
        The exit code of the process.
    """

    def log_failure(event: LogEvent) -> None:
        failure = event.get("log_failure")
        if failure is not None:
            daemon.log.warning("error", trace=failure.getBriefTraceback().replace("\n", " | "))

    globalLogBeginner.beginLoggingTo(
        # Twisted accepts any function as a log observer; type checkers can't see that in its zope interface.
        [log_failure],  # type: ignore[list-item]
        redirectStandardIO=False,
        discardBuffer=True,
    )
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(daemon.request_stop))
    reactor.callWhenRunning(daemon.start)
    reactor.run(installSignalHandlers=False)
    return daemon.exit_code
