"""The program that runs one node: configuration, reactor, signals, exit code."""

from __future__ import annotations

import gc
import os
import signal
import sys
from collections.abc import Mapping
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.logger import globalLogBeginner

from lichencleat.admission.node_spec import InvalidInputError
from lichencleat.node.assembly import RealNode, UnixClock
from lichencleat.node.config import read_start_settings
from lichencleat.node.deadlines import Deadlines
from lichencleat.node.report import Report
from lichencleat.reactor import make_reactor

# optional libraries, and the extra of this package that installs each
EXTRAS = {"crc32c": "store", "sortedcontainers": "store", "structlog": "fleet", "xxhash": "fleet"}
# µs between full garbage collections of 2 ms each; they free closed connections, which are reference cycles
COLLECTION_PERIOD = 10_000_000


def log_reactor_errors(report: Report) -> None:
    """Count errors that Twisted reports, and write them to the node's log."""

    def log(event: dict[str, Any]) -> None:
        failure = event.get("log_failure")
        if failure is not None:
            report.count("node", "errors")
            report.note(
                f"error in the reactor: {failure.getErrorMessage()}: {failure.getBriefTraceback()!r:.400}"
            )

    globalLogBeginner.beginLoggingTo([log], redirectStandardIO=False, discardBuffer=True)


def collect_periodically(deadlines: Deadlines) -> None:
    """Collect garbage now and periodically; without this, some MB of reference cycles remain over a day."""
    gc.collect()
    deadlines.after(COLLECTION_PERIOD, collect_periodically, deadlines)


def reload(node: RealNode) -> None:
    """Read both configuration files again; if one is missing or invalid, the old configuration stays."""
    try:
        # read both files before either takes effect
        settings, operator_config = read_start_settings(os.environ), read_operator_config(os.environ)
        node.reload(settings, operator_config)
    except InvalidInputError as error:
        node.report.count("node", "configurations refused")
        node.report.note(f"{error}; the old configuration stays in force")


def read_operator_config(environment: Mapping[str, str]) -> Any:
    """Return the contents of the operators' file, or None if LICHENCLEAT_FILE is not set.

    Without the file, the modules that read it are not imported, which saves memory.
    """
    path = environment.get("LICHENCLEAT_FILE")
    if not path:
        return None
    try:
        from lichencleat.config.errors import InvalidConfigError
        from lichencleat.config.loading import read_node_config
    except ModuleNotFoundError as missing:
        raise InvalidInputError(
            f"LICHENCLEAT_FILE: needs {missing.name}: pip install 'lichencleat[file]'"
        ) from missing
    try:
        return read_node_config(path)
    except InvalidConfigError as error:
        raise InvalidInputError(f"LICHENCLEAT_FILE: {error}") from error


def main() -> int:
    """Run a node until it has stopped and return the exit code."""
    reactor = make_reactor()
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(lambda: reload(node)))
    try:
        settings = read_start_settings(os.environ)
        node = RealNode(reactor, UnixClock(), settings, read_operator_config(os.environ))
        log_reactor_errors(node.report)
        node.ended.addCallback(lambda _: reactor.callLater(0, reactor.stop))
        for stop_signal in (signal.SIGTERM, signal.SIGINT):
            signal.signal(stop_signal, lambda *_: reactor.callFromThread(node.leave))
        signal.signal(signal.SIGUSR1, lambda *_: reactor.callFromThread(node.report.summary))
        node.start()
    except InvalidInputError as error:
        print(f"lichencleat: {error}", file=sys.stderr)
        return 2
    except ModuleNotFoundError as missing:  # an optional library that a section of the operators' file needs
        if missing.name not in EXTRAS:
            raise
        extra = EXTRAS[missing.name]
        print(
            f"lichencleat: LICHENCLEAT_FILE: needs {missing.name}: pip install 'lichencleat[{extra}]'",
            file=sys.stderr,
        )
        return 2
    except CannotListenError as error:
        print(f"lichencleat: BALANCER_CONFIG: 'listen': {error}", file=sys.stderr)
        return 2
    collect_periodically(node.deadlines)
    gc.freeze()  # collections skip the objects that exist now, which live as long as the process
    reactor.run(installSignalHandlers=False)
    return node.code
