"""Sweeps: entries that have expired are dropped from the index, some hundred at a step."""

from __future__ import annotations

from lichencleat.store.log import Log

ROWS = 512  # entries looked at in one step: some 10 ms under the lock where all have expired


class Sweeps:
    def __init__(self, log: Log) -> None:
        self.log = log
        self.cursor: bytes | None = None  # where the sweep under way goes on; None: there is none
        self.earliest = 0  # µs: the earliest expiry that it has met, 0 where none
        self.ended = 0  # µs: when the last one ended

    def begin(self) -> None:
        self.cursor, self.earliest = b"", 0
        self.log.index.earliest = 0  # entries made from now on set it anew

    def step(self, cursor: bytes) -> None:
        log = self.log
        with log.guard:
            before = len(log.index)
            following, earliest = log.index.drop_expired(cursor, ROWS, log.time)
            log.counts["entries expired"] += before - len(log.index)
            self.cursor = following
            if earliest and (earliest < self.earliest or not self.earliest):
                self.earliest = earliest
            if following is None:
                known = [each for each in (self.earliest, log.index.earliest) if each]
                log.index.earliest = min(known, default=0)
                self.ended = log.time
        if following is None and log.time > log.marked:
            log.write([])  # a mark: what was dropped stays so, whatever the clock says after a cut
