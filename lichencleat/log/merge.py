"""Merges the logs of many processes by the time of each line, without any I/O.

Lines of one file keep their order: a line counts as no earlier than the previous line of its file, even if
the process's clock was set back between the two.
"""

from __future__ import annotations

import heapq
import json
import re
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from lichencleat.units import MICROSECONDS_PER_MILLISECOND, MICROSECONDS_PER_SECOND

JSON_TIME = re.compile(r"(\d+)\.(\d{6})")
LOGFMT_TIME = re.compile(r"(?:^|\s)at=(\d+)\.(\d{6})(?:\s|$)")
PLAIN_TIME = re.compile(r"^\S+ (\d+)\.(\d{3}) ")  # in a node's plain line, if structured logging is off


class TimedLine(NamedTuple):
    """A line with the keys by which it is ordered."""

    time_us: int  # Unix time in µs
    file_index: int
    name: str  # name of the file
    line: str


def timestamp_of(line: str) -> int | None:
    """Returns when a line was written, in µs of Unix time, or None if the line has no timestamp."""
    found = _match_json_time(line) if line.startswith("{") else LOGFMT_TIME.search(line)
    if found:
        return int(found[1]) * MICROSECONDS_PER_SECOND + int(found[2])
    if found := PLAIN_TIME.match(line):
        return int(found[1]) * MICROSECONDS_PER_SECOND + int(found[2]) * MICROSECONDS_PER_MILLISECOND
    return None


def _match_json_time(line: str) -> re.Match[str] | None:
    try:
        return JSON_TIME.fullmatch(str(json.loads(line).get("at", "")))
    except (ValueError, AttributeError):
        return None


def _add_times(lines: Iterable[str], name: str, file_index: int) -> Iterator[TimedLine]:
    """Yields the lines with times that never decrease; a line without a time gets the previous line's."""
    last = 0
    for line in lines:
        text = line.rstrip("\n")
        last = max(last, timestamp_of(text) or last)
        yield TimedLine(last, file_index, name, text)


def merge(files: Iterable[tuple[str, Iterable[str]]]) -> Iterator[tuple[str, str]]:
    """Merges files, given as pairs of name and lines; yields pairs of file name and line in order of time."""
    streams = [_add_times(lines, name, index) for index, (name, lines) in enumerate(files)]
    for each in heapq.merge(*streams, key=lambda each: (each.time_us, each.file_index)):
        yield each.name, each.line
