"""Clocks of one process that drift and jump, controlled by a file.

The file holds two numbers: the rate of both clocks, and the seconds by which the Unix time is ahead. The file
can be rewritten while the process runs.
"""

from __future__ import annotations

import os
import time

CLOCK_FILE_VARIABLE = "LICHENCLEAT_RIG_CLOCK"  # environment variable with the path of the control file
CHECK_INTERVAL = 0.02  # s between two checks whether the control file has changed


class ControlledClock:
    """Monotonic clock and Unix time that run at the rate and offset given in the control file."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.rate, self.unix_offset = 1.0, 0.0
        self.monotonic_base = self.monotonic_since = self.last_check = time.monotonic()
        self.unix_base = self.unix_since = time.time_ns()
        self.modified = 0.0
        self.check_file()

    def check_file(self) -> None:
        """Read the control file if it has changed, and continue from the present readings at the new rate."""
        now = time.monotonic()
        self.last_check = now
        try:
            modified = os.stat(self.path).st_mtime
            if modified == self.modified:
                return
            with open(self.path) as file:
                rate, unix_offset = map(float, file.read().split())
        except (OSError, ValueError):  # missing or malformed file: keep the present values
            return
        unix = time.time_ns()
        self.monotonic_base += (now - self.monotonic_since) * self.rate
        self.unix_base += round((unix - self.unix_since) * self.rate)
        self.monotonic_since, self.unix_since = now, unix
        self.rate, self.unix_offset, self.modified = rate, unix_offset, modified

    def monotonic(self) -> float:
        """Return the monotonic time of the controlled clock in seconds."""
        now = time.monotonic()
        if now - self.last_check > CHECK_INTERVAL:
            self.check_file()
        return self.monotonic_base + (now - self.monotonic_since) * self.rate

    def unix_ns(self) -> int:
        """Return the Unix time of the controlled clock in nanoseconds."""
        self.monotonic()
        at = self.unix_base + round((time.time_ns() - self.unix_since) * self.rate)
        return at + round(self.unix_offset * 1_000_000_000)


def write(path: str, rate: float = 1.0, unix_offset: float = 0.0) -> None:
    """Write the control file atomically: a reader sees either the old or the new content."""
    with open(f"{path}.new", "w") as file:
        file.write(f"{rate} {unix_offset}\n")
    os.replace(f"{path}.new", path)
