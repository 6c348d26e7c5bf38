"""The logs of many processes in one order: by the time of each line, and in a file never against its own
order.

A process whose clock stepped back keeps its lines in the order that it wrote them: a line counts as no
earlier than the one before it in its file. No I/O: lines in, lines out.
"""

from __future__ import annotations

import heapq
import json
import re
from collections.abc import Iterable, Iterator

AT = re.compile(r"(?:^|\s)at=(\d+)\.(\d{6})(?:\s|$)")
ORDINARY = re.compile(r"^\S+ (\d+)\.(\d{3}) ")  # a node's own line, where structured logging is off


def moment(line: str) -> int | None:
    """µs of Unix time at which the line was written, or None where it does not say."""
    if line.startswith("{"):
        try:
            at = json.loads(line).get("at", "")
        except (ValueError, AttributeError):
            return None
        found = re.fullmatch(r"(\d+)\.(\d{6})", str(at))
    else:
        found = AT.search(line)
    if found:
        return int(found[1]) * 1_000_000 + int(found[2])
    found = ORDINARY.match(line)
    return int(found[1]) * 1_000_000 + int(found[2]) * 1_000 if found else None


def timed(lines: Iterable[str], name: str, at: int) -> Iterator[tuple[int, int, str, str]]:
    last = 0
    for line in lines:
        line = line.rstrip("\n")
        last = max(last, moment(line) or last)
        yield last, at, name, line


def merge(files: Iterable[tuple[str, Iterable[str]]]) -> Iterator[tuple[str, str]]:
    """Name and line, of each file's lines; what does not say its time follows the line before it."""
    streams = [timed(lines, name, at) for at, (name, lines) in enumerate(files)]
    for _, _, name, line in heapq.merge(*streams, key=lambda each: each[:2]):
        yield name, line
