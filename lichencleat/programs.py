"""How the fleet's own processes run: errors of the reactor as lines of the log, signals, exit code."""

from __future__ import annotations

import signal
from typing import Any, Protocol

from twisted.logger import globalLogBeginner


class Program(Protocol):
    """Brought up on the reactor; it stops the reactor itself once it has ended."""

    log: Any
    code: int  # for the process to exit with

    def start(self) -> Any: ...

    def told_to_leave(self) -> None: ...


def run_program(reactor: Any, program: Program) -> int:
    """Until it has stopped the reactor: its exit code. SIGTERM and SIGINT tell it to leave."""

    def tell(event: dict[str, Any]) -> None:
        """Errors that reach Twisted are lines like all others."""
        failure = event.get("log_failure")
        if failure is not None:
            program.log.warning("error", trace=failure.getBriefTraceback().replace("\n", " | "))

    globalLogBeginner.beginLoggingTo([tell], redirectStandardIO=False, discardBuffer=True)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(program.told_to_leave))
    reactor.callWhenRunning(program.start)
    reactor.run(installSignalHandlers=False)
    return program.code
