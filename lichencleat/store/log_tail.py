"""Log tail recovery: finds which frames of the newest segment are known to be flushed. No I/O.

Each frame stores the distance from its own sequence to the last sequence that was flushed when the frame was
written. A group of frames is written only after the flush of the previous group, so an intact frame proves
that all frames up to its sequence minus the distance were flushed. The frames after those are called
unproved: they are intact, but not known to be flushed, so a power cut may still remove them. Bytes that are
not a frame are a torn write, unless a later frame proves that flushed frames were there; then the bytes are
corrupt.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from lichencleat.store import framing


@dataclass(slots=True)
class TailFrame:
    """An intact frame that is not yet known to be flushed."""

    sequence: int
    kind: int
    offset: int
    length: int


class LogTail:
    """Reads the newest segment's frames in order and determines which of them were flushed.

    Attributes:
        last_sequence: Sequence of the last frame that was accepted.
        proved_sequence: Sequence of the last frame that is known to be flushed.
        proved_end: Offset at which the frames that are known to be flushed end, in bytes.
        unproved_frames: The accepted frames that are not known to be flushed, oldest first.
        removed_segments: For each record of a segment's removal: the record's sequence, the segment's number.
        time: The latest time in a time mark (a log record with the current time), in µs.
    """

    def __init__(self, first_sequence: int, flushed_through: int, data_start: int) -> None:
        """Create the state before the segment's first frame after the header.

        Args:
            first_sequence: Sequence of the first frame.
            flushed_through: Frames up to this sequence were flushed before the segment was renamed.
            data_start: Offset of the first frame, in bytes.
        """
        self.last_sequence = first_sequence - 1
        self.proved_sequence = max(flushed_through, first_sequence - 1)
        self.proved_end = data_start
        self.unproved_frames: deque[TailFrame] = deque()
        self.removed_segments: list[tuple[int, int]] = []
        self.time = 0

    def accept(
        self, offset: int, length: int, sequence: int, kind: int, flush_distance: int, number: int
    ) -> bool:
        """Accept a frame if its sequence follows that of the last frame; return whether it was accepted.

        `offset` and `length` are in bytes. For the other arguments see `framing.Body`.
        """
        if sequence != self.last_sequence + 1 or not 0 < flush_distance <= sequence:
            return False
        self.last_sequence = sequence
        self.unproved_frames.append(TailFrame(sequence, kind, offset, length))
        self.mark_proved(sequence - flush_distance)
        if kind == framing.SEGMENT_REMOVED:
            self.removed_segments.append((sequence, number))
        elif kind == framing.TIME_MARK:
            self.time = max(self.time, number)
        return True

    def mark_proved(self, sequence: int) -> None:
        """Record that all frames up to a sequence are known to be flushed."""
        self.proved_sequence = max(self.proved_sequence, sequence)
        while self.unproved_frames and self.unproved_frames[0].sequence <= self.proved_sequence:
            frame = self.unproved_frames.popleft()
            self.proved_end = frame.offset + frame.length

    def is_loss_proved_by(self, sequence: int, flush_distance: int) -> bool:
        """Whether a frame found after a gap proves that flushed frames are missing in the gap."""
        return sequence - flush_distance > self.last_sequence

    def unproved_records(self) -> list[tuple[int, int]]:
        """Return offset and length of the frames that are not known to be flushed but have to be kept.

        These are the frames of single records and of complete batches.
        """
        spans: list[tuple[int, int]] = []
        batch: list[tuple[int, int]] = []
        for frame in self.unproved_frames:
            span = (frame.offset, frame.length)
            if frame.kind in framing.IN_BATCH:
                batch.append(span)
            elif frame.kind == framing.COMMIT:
                spans += [*batch, span]
                batch = []
            elif frame.kind in framing.SINGLE:
                spans.append(span)
        return spans
