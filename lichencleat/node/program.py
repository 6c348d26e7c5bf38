"""The program round one real node: configuration, reactor, signals, exit."""

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

EXTRAS = {"crc32c": "store", "sortedcontainers": "store", "structlog": "fleet", "xxhash": "fleet"}
COLLECTION_PERIOD = (
    10_000_000  # µs between full collections: they take 2 ms, and closed connections are cycles
)


def log_reactor_errors(report: Report) -> None:
    """Guards against errors that reach Twisted: they are counted and told like all others."""

    def log(event: dict[str, Any]) -> None:
        failure = event.get("log_failure")
        if failure is not None:
            report.count("node", "errors")
            report.note(
                f"error in the reactor: {failure.getErrorMessage()}: {failure.getBriefTraceback()!r:.400}"
            )

    globalLogBeginner.beginLoggingTo([log], redirectStandardIO=False, discardBuffer=True)


def collect_periodically(deadlines: Deadlines) -> None:
    """Guards the memory against cycles that wait for the collector's own moment, some MB on a long day."""
    gc.collect()
    deadlines.after(COLLECTION_PERIOD, collect_periodically, deadlines)


def reload(node: RealNode) -> None:
    """Guards against a file that is missing, half written or wrong: the one before stays in force."""
    try:
        settings, operator_config = (
            read_start_settings(os.environ),
            read_operator_config(os.environ),
        )  # both, before anything is taken over
        node.reload(settings, operator_config)
    except InvalidInputError as error:
        node.report.count("node", "configurations refused")
        node.report.note(f"{error}; the one before stays in force")


def read_operator_config(environment: Mapping[str, str]) -> Any:
    """The operators' own file, where the node is told of one. Off means not imported: memory counts."""
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
    except ModuleNotFoundError as missing:  # of a part that the operators' file switches on
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
    gc.freeze()  # what stands by now stays: a full collection looks through what came since, not through all
    reactor.run(installSignalHandlers=False)
    return node.code
