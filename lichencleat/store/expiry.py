"""Expiry sweep: entries that have expired are dropped from the index, some hundred in a step."""

from __future__ import annotations

from lichencleat.store.log import Log

ENTRIES_PER_STEP = 512  # some 10 ms under the lock where all of them have expired


class ExpirySweeper:
    """Owns the sweep under way."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self.cursor: bytes | None = None  # the key at which the sweep goes on; None: there is none
        self.earliest_expiry = 0  # µs: the earliest that the sweep has left in place, 0 where none
        self.ended_at = 0  # µs: when the last sweep ended

    def begin(self) -> None:
        """Begin a sweep; the next steps run it."""
        self.cursor = b""
        self.earliest_expiry = 0
        self.log.index.earliest_expiry = 0  # entries made from now on set it anew

    def step(self, cursor: bytes) -> None:
        """Sweep the next entries from the cursor on. At the end of a sweep a time mark is written."""
        log = self.log
        with log.lock:
            before = len(log.index)
            following, earliest = log.index.drop_expired(cursor, ENTRIES_PER_STEP, log.time)
            log.counts["entries expired"] += before - len(log.index)
            self.cursor = following
            if earliest and (earliest < self.earliest_expiry or not self.earliest_expiry):
                self.earliest_expiry = earliest
            if following is None:
                known = [each for each in (self.earliest_expiry, log.index.earliest_expiry) if each]
                log.index.earliest_expiry = min(known, default=0)
                self.ended_at = log.time
        if following is None and log.time > log.last_time_mark:
            log.write([])  # what was dropped stays so, whatever the clock says after a power cut
