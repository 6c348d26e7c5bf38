"""Structured log lines: one event with its fields per line, as logfmt or JSON, to standard error.

The number of lines per second is limited for each event. Lines beyond the limit are dropped, and the next
line of the event states how many.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import TextIO

import structlog
from structlog.typing import EventDict, Processor, WrappedLogger

from lichencleat.log.interfaces import EventLogger
from lichencleat.units import MICROSECONDS_PER_SECOND

MAX_LINES_PER_EVENT = 10  # lines per second: enough to see what happens, too few to take up a core
MAX_EVENTS = 512  # number of events that are counted separately; all further events share one count

Clock = Callable[[], int]  # µs of Unix time


@dataclass(slots=True)
class EventCount:
    """Counts of the lines of one event."""

    second: int = 0  # the second of Unix time in which `lines` were counted
    lines: int = 0  # lines in that second, including dropped ones
    dropped: int = 0  # lines dropped since the last written line


class RateLimiter:
    """A structlog processor that drops an event's lines beyond the limit per second."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._counts: dict[str, EventCount] = {}

    def __call__(self, logger: WrappedLogger, method: str, event: EventDict) -> EventDict:
        """Adds the field `left_out`, the number of lines dropped before this line, unless it is 0.

        Raises:
            structlog.DropEvent: the event has reached its limit of lines in this second.
        """
        count = self._count_of(str(event.get("event", "")))
        second = self._clock() // MICROSECONDS_PER_SECOND
        if count.second != second:
            count.second = second
            count.lines = 0
        count.lines += 1
        if count.lines > MAX_LINES_PER_EVENT:
            count.dropped += 1
            raise structlog.DropEvent
        if count.dropped:
            event["left_out"] = count.dropped
            count.dropped = 0
        return event

    def _count_of(self, name: str) -> EventCount:
        if name not in self._counts and len(self._counts) >= MAX_EVENTS:
            name = ""
        return self._counts.setdefault(name, EventCount())


def add_timestamp(clock: Clock) -> Processor:
    """Returns a structlog processor that adds the time (`at`, seconds of Unix time) and the level."""

    def add(logger: WrappedLogger, method: str, event: EventDict) -> EventDict:
        now = clock()
        event["at"] = f"{now // MICROSECONDS_PER_SECOND}.{now % MICROSECONDS_PER_SECOND:06d}"
        event["level"] = method
        return event

    return add


def create_logger(
    clock: Clock, form: str = "logfmt", file: TextIO | None = None, **fields: object
) -> EventLogger:
    """Creates a logger that adds `fields` (process, role, group ...) to each line.

    Args:
        clock: Returns µs of Unix time.
        form: "logfmt" or "json".
        file: The output file; standard error by default.
        **fields: Fields of every line, in this order.
    """
    logger = structlog.wrap_logger(
        structlog.PrintLogger(file or sys.stderr),
        processors=[RateLimiter(clock), add_timestamp(clock), _create_renderer(form, list(fields))],
        wrapper_class=structlog.BoundLogger,
    )
    bound: EventLogger = logger.bind(**fields)
    return bound


def _create_renderer(form: str, fields: list[str]) -> Processor:
    if form == "json":
        return structlog.processors.JSONRenderer(sort_keys=False, default=str)
    first = ["at", "level", "event", *fields]
    return structlog.processors.LogfmtRenderer(key_order=first, drop_missing=True, bool_as_flag=False)
