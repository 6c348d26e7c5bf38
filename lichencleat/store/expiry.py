"""Sweeps: entries that have expired are dropped from the index, some hundred at a step."""

from __future__ import annotations

from lichencleat.store.log import Log

ROWS_PER_FRAME = 512  # entries looked at in one step: some 10 ms under the lock where all have expired


class ExpirySweeper:
    def __init__(self, log: Log) -> None:
        self.log = log
        self.cursor: bytes | None = None  # where the sweep under way goes on; None: there is none
        self.earliest_expiry = 0  # µs: the earliest expiry that it has met, 0 where none
        self.ended = 0  # µs: when the last one ended

    def begin(self) -> None:
        self.cursor, self.earliest_expiry = b"", 0
        self.log.index.earliest_expiry = 0  # entries made from now on set it anew

    def step(self, cursor: bytes) -> None:
        log = self.log
        with log.guard:
            before = len(log.index)
            following, earliest_expiry = log.index.drop_expired(cursor, ROWS_PER_FRAME, log.time)
            log.counts["entries expired"] += before - len(log.index)
            self.cursor = following
            if earliest_expiry and (earliest_expiry < self.earliest_expiry or not self.earliest_expiry):
                self.earliest_expiry = earliest_expiry
            if following is None:
                known = [each for each in (self.earliest_expiry, log.index.earliest_expiry) if each]
                log.index.earliest_expiry = min(known, default=0)
                self.ended = log.time
        if following is None and log.time > log.marked:
            log.write([])  # a mark: what was dropped stays so, whatever the clock says after a cut
