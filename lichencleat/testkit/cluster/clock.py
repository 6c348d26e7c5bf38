"""Clocks of one process that drift and jump, controlled by a file.

The file holds two numbers: the rate of both clocks, and the seconds by which the Unix time is ahead. The file
can be rewritten while the process runs.
"""

from __future__ import annotations

import os
import time

CLOCK_FILE_VARIABLE = "LICHENCLEAT_RIG_CLOCK"  # environment variable with the path of the control file
LOOK = 0.02  # s between two checks whether the control file has changed


class RigClock:
    """Monotonic clock and Unix time that run at the rate and offset given in the control file."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.rate, self.ahead = 1.0, 0.0
        self.base = self.since = self.looked = time.monotonic()
        self.unix_base = self.unix_since = time.time_ns()
        self.changed = 0.0
        self.look()

    def look(self) -> None:
        """Read the control file if it has changed, and continue from the present readings at the new rate."""
        now = time.monotonic()
        self.looked = now
        try:
            changed = os.stat(self.path).st_mtime
            if changed == self.changed:
                return
            with open(self.path) as file:
                rate, ahead = map(float, file.read().split())
        except (OSError, ValueError):  # missing or malformed file: keep the present values
            return
        unix = time.time_ns()
        self.base += (now - self.since) * self.rate
        self.unix_base += round((unix - self.unix_since) * self.rate)
        self.since, self.unix_since = now, unix
        self.rate, self.ahead, self.changed = rate, ahead, changed

    def monotonic(self) -> float:
        """Return the monotonic time of the controlled clock in seconds."""
        now = time.monotonic()
        if now - self.looked > LOOK:
            self.look()
        return self.base + (now - self.since) * self.rate

    def unix_ns(self) -> int:
        """Return the Unix time of the controlled clock in nanoseconds."""
        self.monotonic()
        at = self.unix_base + round((time.time_ns() - self.unix_since) * self.rate)
        return at + round(self.ahead * 1_000_000_000)


def write(path: str, rate: float = 1.0, ahead: float = 0.0) -> None:
    """Write the control file atomically: a reader sees either the old or the new content."""
    with open(f"{path}.new", "w") as file:
        file.write(f"{rate} {ahead}\n")
    os.replace(f"{path}.new", path)
