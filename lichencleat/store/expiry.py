"""Expiry sweep: removes expired entries from the index, a few hundred per step."""

from __future__ import annotations

from lichencleat.store.log import Log

ENTRIES_PER_STEP = 512  # entries checked in one step, which holds the lock for some 10 ms if all have expired


class ExpirySweeper:
    """Runs expiry sweeps over the index, one sweep at a time."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self.cursor: bytes | None = None  # the key at which the sweep continues; None: no sweep runs
        self.earliest_expiry = 0  # µs: the earliest expiry of the entries that this sweep has kept; 0: none
        self.ended_at = 0  # µs: when the last sweep ended

    def begin(self) -> None:
        """Begin a sweep; the next calls of `step` run the sweep."""
        self.cursor = b""
        self.earliest_expiry = 0
        self.log.index.earliest_expiry = 0  # entries that are written from now on set this again

    def step(self, cursor: bytes) -> None:
        """Remove the expired entries among the next `ENTRIES_PER_STEP` entries from the cursor on.

        At the end of the sweep, write a time mark: a log record with the current time.
        """
        log = self.log
        with log.lock:
            count_before = len(log.index)
            next_cursor, earliest = log.index.drop_expired(cursor, ENTRIES_PER_STEP, log.time)
            log.counts["entries expired"] += count_before - len(log.index)
            self.cursor = next_cursor
            if earliest and (earliest < self.earliest_expiry or not self.earliest_expiry):
                self.earliest_expiry = earliest
            if next_cursor is None:
                expiries = [each for each in (self.earliest_expiry, log.index.earliest_expiry) if each]
                log.index.earliest_expiry = min(expiries, default=0)
                self.ended_at = log.time
        if next_cursor is None and log.time > log.last_time_mark:
            log.write([])  # the entries stay expired, even if the clock steps back after a power cut
