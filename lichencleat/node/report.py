"""Counters and log lines, printed to standard error as plain text."""

from __future__ import annotations

import sys
import traceback
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

MAX_LINES = 20  # maximum log lines per second: enough to see each kind of error, at a low CPU cost
SECOND = 1_000_000  # µs


class Report:
    """Counts events and logs lines, at most `MAX_LINES` of them per second."""

    def __init__(self, name: str, clock: Callable[[], int]) -> None:
        self.name, self.clock = name, clock
        self.counts: Counter[str] = Counter()
        self.recent_times: deque[int] = deque(maxlen=MAX_LINES)
        self.suppressed = 0

    def count(self, peer: str, what: str, amount: int = 1) -> None:
        """Add an amount to the counter with the name `peer what`."""
        self.counts[f"{peer} {what}"] += amount

    def note(self, text: str) -> None:
        """Log one line; a line above the rate limit is only counted."""
        now = self.clock()
        if len(self.recent_times) == MAX_LINES and now - self.recent_times[0] < SECOND:
            self.suppressed += 1
            return
        self.recent_times.append(now)
        more = f" (+{self.suppressed} lines left out)" if self.suppressed else ""
        self.suppressed = 0
        self.write(f"{self.name} {now / SECOND:.3f} {text}{more}")

    def log_exception(self, where: str) -> None:
        """Count and log the exception that is being handled, with its traceback."""
        self.count("node", "errors")
        self.note(f"error in {where}: {self.format_trace()}")

    @staticmethod
    def format_trace() -> str:
        """Return the traceback of the current exception as one line."""
        return " | ".join(traceback.format_exc(limit=-3).split("\n"))

    def events(self) -> Events:
        """Return a logger for events with fields."""
        return Events(self)

    def write(self, line: str) -> None:
        """Print a line to standard error, or count it as lost if standard error is closed or full."""
        try:
            print(line, file=sys.stderr, flush=True)
        except OSError:
            self.count("node", "lines lost")

    def summary(self) -> None:
        """Write all counters, one a line."""
        for name in sorted(self.counts):
            self.write(f"{self.name} counter {name}: {self.counts[name]}")


class Events:
    """Logs events with fields as plain lines."""

    def __init__(self, report: Report) -> None:
        self.report = report

    def info(self, event: str, **fields: Any) -> None:
        details = ", ".join(f"{name} {value}" for name, value in fields.items() if value != "")
        self.report.note(f"{event}: {details}" if details else event)

    warning = info
