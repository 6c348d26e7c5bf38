"""Log tail recovery: finds which frames of the newest segment are proved to be flushed. No I/O.

Every frame stores the distance from its own sequence to the last sequence that was flushed when the frame
was written. A group of frames is written only after the flush of the previous group, so an intact frame
proves that all frames up to its sequence minus that distance were flushed. Frames after those are unproved:
they are intact, but a power cut may still remove them. Bytes that are not a frame are a torn write, unless a
later frame proves that flushed frames were there; then they are corruption.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from lichencleat.store import framing


@dataclass(slots=True)
class TailFrame:
    """An intact frame that is not yet proved to be flushed."""

    sequence: int
    kind: int
    offset: int
    length: int


class LogTail:
    """Reads the newest segment's frames in order and determines which of them were flushed.

    Attributes:
        sequence: Sequence of the last frame accepted.
        proved: The last sequence that is proved to be flushed.
        proved_end: End of the proved frames, as an offset in bytes.
        unproved: Frames after these, oldest first.
        removed_segments: For each segment-removed record, its sequence and the number of the segment.
        time: The latest time in a time mark, in µs.
    """

    def __init__(self, first: int, through: int, offset: int) -> None:
        """Begins before the segment's first frame.

        Args:
            first: Sequence of that frame.
            through: Frames up to this sequence were flushed before the segment was renamed to its number.
            offset: Offset of that frame, in bytes.
        """
        self.sequence = first - 1
        self.proved = max(through, first - 1)
        self.proved_end = offset
        self.unproved: deque[TailFrame] = deque()
        self.removed_segments: list[tuple[int, int]] = []
        self.time = 0

    def accept(self, offset: int, length: int, sequence: int, kind: int, back: int, number: int) -> bool:
        """Accept the frame if it is the next one in sequence; returns whether it was accepted.

        `number` is the record's number, see `framing.Body`.
        """
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
        """Record that all frames up to that sequence were flushed."""
        self.proved = max(self.proved, sequence)
        while self.unproved and self.unproved[0].sequence <= self.proved:
            frame = self.unproved.popleft()
            self.proved_end = frame.offset + frame.length

    def is_loss_proved_by(self, sequence: int, back: int) -> bool:
        """Whether a frame found after a gap proves that flushed frames are missing in the gap."""
        return sequence - back > self.sequence

    def unproved_records(self) -> list[tuple[int, int]]:
        """Offset and length of the unproved frames to keep: single records and complete batches."""
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
