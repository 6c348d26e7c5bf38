"""One event a line, with fields, to standard error: logfmt, or JSON. Each kind of event has its bound a
second.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, MutableMapping
from typing import Any, TextIO

import structlog

KIND_MOST = 10  # lines of one kind a second: enough to see what happens, too few to cost a core
KINDS_MOST = 512  # kinds told apart; events of more share one count
SECOND = 1_000_000  # µs


class Limit:
    """Leaves out what comes too often; the next line of that kind tells how many were."""

    def __init__(self, clock: Callable[[], int]) -> None:
        """`clock`: µs, of any beginning."""
        self.clock = clock
        self.kinds: dict[str, list[int]] = {}  # second, lines in it, left out since the last line

    def __call__(self, logger: Any, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        kind = str(event.get("event", ""))
        if kind not in self.kinds and len(self.kinds) >= KINDS_MOST:
            kind = ""
        known = self.kinds.setdefault(kind, [0, 0, 0])
        second = self.clock() // SECOND
        if known[0] != second:
            known[0], known[1] = second, 0
        known[1] += 1
        if known[1] > KIND_MOST:
            known[2] += 1
            raise structlog.DropEvent
        if known[2]:
            event["left_out"], known[2] = known[2], 0
        return event


def stamp(clock: Callable[[], int]) -> Callable[..., MutableMapping[str, Any]]:
    def add(logger: Any, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        now = clock()
        event["at"] = f"{now // SECOND}.{now % SECOND:06d}"
        event["level"] = method
        return event

    return add


def make_log(
    clock: Callable[[], int], form: str = "logfmt", file: TextIO | None = None, **fields: Any
) -> Any:
    """A logger whose every line bears `fields` (process, role, group ...). `clock`: µs of Unix time."""
    if form == "json":
        render: Any = structlog.processors.JSONRenderer(sort_keys=False, default=str)
    else:
        first = ["at", "level", "event", *fields]
        render = structlog.processors.LogfmtRenderer(key_order=first, drop_missing=True, bool_as_flag=False)
    return structlog.wrap_logger(
        structlog.PrintLogger(file or sys.stderr),
        processors=[Limit(clock), stamp(clock), render],
        wrapper_class=structlog.BoundLogger,
        **fields,
    )
