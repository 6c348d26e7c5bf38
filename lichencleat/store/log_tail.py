"""What a log's tail proves: which frames were flushed, which are in doubt, whether bad bytes are a cut's or
damage; no I/O.

Every frame says how far back the last flushed frame was when it was written. A group of frames is only
written after the flush of the one before it, so a frame that says `back` proves all up to its sequence less
`back`. Bytes that are no frame are a cut's traces while nothing behind them proves that what stood there was
flushed; else they are damage.
"""

from __future__ import annotations

from collections import deque

from lichencleat.store import framing


class LogTail:
    """Reads the newest segment's frames in their order; tells what is proved and what is in doubt."""

    def __init__(self, first: int, through: int, offset: int) -> None:
        """`first` is the first frame's sequence; all up to `through` was flushed before the segment got its
        name.
        """
        self.sequence = first - 1  # of the last frame read
        self.proved = max(through, first - 1)
        self.proved_end = offset  # bytes: where the frames proved so far end
        self.unproved: deque[tuple[int, int, int, int]] = deque()  # sequence, kind, offset, length
        self.gone: list[tuple[int, int]] = []  # sequence and number of the segments that are gone
        self.time = 0  # µs: the latest time that a mark tells

    def reads(self, offset: int, length: int, sequence: int, kind: int, back: int, number: int) -> bool:
        """Is it the frame that has to come here? Then what it proves is known from now on."""
        if sequence != self.sequence + 1 or not 0 < back <= sequence:
            return False
        self.sequence = sequence
        self.unproved.append((sequence, kind, offset, length))
        self.mark_proved(sequence - back)
        if kind == framing.SEGMENT_REMOVED:
            self.gone.append((sequence, number))
        elif kind == framing.TIME_MARK:
            self.time = max(self.time, number)
        return True

    def mark_proved(self, floor: int) -> None:
        self.proved = max(self.proved, floor)
        unproved = self.unproved
        while unproved and unproved[0][0] <= self.proved:
            _, _, offset, length = unproved.popleft()
            self.proved_end = offset + length

    def lost(self, sequence: int, back: int) -> bool:
        """A frame found behind bytes that are none: does it prove that something flushed stood there?"""
        return sequence - back > self.sequence

    def in_doubt(self) -> list[tuple[int, int]]:
        """Offset and length of the frames in doubt that are worth keeping: no marks, no batch without its
        commit.
        """
        kept: list[tuple[int, int]] = []
        batch: list[tuple[int, int]] = []
        for _, kind, offset, length in self.unproved:
            if kind in (framing.BATCH_PUT, framing.BATCH_DELETE):
                batch.append((offset, length))
            elif kind == framing.COMMIT:
                kept += [*batch, (offset, length)]
                batch = []
            elif kind in (framing.PUT, framing.DELETE):
                kept.append((offset, length))
        return kept
