"""Log tail recovery: which frames of the newest segment were flushed, and which are unproved. No I/O.

Every frame says how far back the last flushed frame was when it was written. A group of frames is written
only after the flush of the group before it, so a frame that says `back` proves all up to its sequence less
`back`. Bytes that are no frame are what a power cut left, as long as nothing behind them proves that what
stood there was flushed; otherwise they are corruption.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from lichencleat.store import framing


@dataclass(slots=True)
class TailFrame:
    """A frame that was read and that nothing proves to be flushed yet."""

    sequence: int
    kind: int
    offset: int
    length: int


class LogTail:
    """Takes in the newest segment's frames in order and tells what they prove.

    Attributes:
        sequence: Of the last frame taken in.
        proved: The last sequence that is proved to be flushed.
        proved_end: Offset in bytes at which the proved frames end.
        removed_segments: Sequence of the record and number of each segment that it says is removed.
        time: The latest time that a time mark tells, in µs.
    """

    def __init__(self, first: int, through: int, offset: int) -> None:
        """Starts before the segment's first frame.

        Args:
            first: That frame's sequence.
            through: All up to this sequence was flushed before the segment got its name.
            offset: Where its frames begin.
        """
        self.sequence = first - 1
        self.proved = max(through, first - 1)
        self.proved_end = offset
        self.unproved: deque[TailFrame] = deque()
        self.removed_segments: list[tuple[int, int]] = []
        self.time = 0

    def accept(self, offset: int, length: int, sequence: int, kind: int, back: int, number: int) -> bool:
        """Take the frame in if it is the one that has to come next; returns whether it is."""
        if sequence != self.sequence + 1 or not 0 < back <= sequence:
            return False
        self.sequence = sequence
        self.unproved.append(TailFrame(sequence, kind, offset, length))
        self.mark_proved(sequence - back)
        if kind == framing.SEGMENT_REMOVED:
            self.removed_segments.append((sequence, number))
        elif kind == framing.TIME_MARK:
            self.time = max(self.time, number)
        return True

    def mark_proved(self, sequence: int) -> None:
        """All frames up to that sequence are known to be flushed."""
        self.proved = max(self.proved, sequence)
        while self.unproved and self.unproved[0].sequence <= self.proved:
            frame = self.unproved.popleft()
            self.proved_end = frame.offset + frame.length

    def is_loss_proved_by(self, sequence: int, back: int) -> bool:
        """Whether a frame behind bytes that are none proves that something flushed stood there."""
        return sequence - back > self.sequence

    def unproved_records(self) -> list[tuple[int, int]]:
        """Offset and length of the unproved frames worth keeping: no marks, no batch without its commit."""
        kept: list[tuple[int, int]] = []
        batch: list[tuple[int, int]] = []
        for frame in self.unproved:
            span = (frame.offset, frame.length)
            if frame.kind in framing.IN_BATCH:
                batch.append(span)
            elif frame.kind == framing.COMMIT:
                kept += [*batch, span]
                batch = []
            elif frame.kind in framing.SINGLE:
                kept.append(span)
        return kept
