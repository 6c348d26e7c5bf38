"""Clocks of one process that run wrong: at a rate of their own, and by steps. A file tells them, and can be
written anew while the process runs: two numbers, the rate of both clocks, and s by which Unix time is ahead.
"""

from __future__ import annotations

import os
import time

CLOCK_FILE_VARIABLE = "LICHENCLEAT_RIG_CLOCK"  # of the environment: names the file
LOOK = 0.02  # s between looks at the file


class RigClock:
    def __init__(self, path: str) -> None:
        self.path = path
        self.rate, self.ahead = 1.0, 0.0
        self.base = self.since = self.looked = time.monotonic()
        self.unix_base = self.unix_since = time.time_ns()
        self.changed = 0.0
        self.look()

    def look(self) -> None:
        now = time.monotonic()
        self.looked = now
        try:
            changed = os.stat(self.path).st_mtime
            if changed == self.changed:
                return
            with open(self.path) as file:
                rate, ahead = map(float, file.read().split())
        except (OSError, ValueError):  # not there yet, or half written
            return
        unix = time.time_ns()
        self.base += (now - self.since) * self.rate
        self.unix_base += round((unix - self.unix_since) * self.rate)
        self.since, self.unix_since = now, unix
        self.rate, self.ahead, self.changed = rate, ahead, changed

    def monotonic(self) -> float:
        now = time.monotonic()
        if now - self.looked > LOOK:
            self.look()
        return self.base + (now - self.since) * self.rate

    def unix_ns(self) -> int:
        self.monotonic()
        at = self.unix_base + round((time.time_ns() - self.unix_since) * self.rate)
        return at + round(self.ahead * 1_000_000_000)


def write(path: str, rate: float = 1.0, ahead: float = 0.0) -> None:
    """In one step: a reader sees the old or the new."""
    with open(f"{path}.new", "w") as file:
        file.write(f"{rate} {ahead}\n")
    os.replace(f"{path}.new", path)
