"""Recovery scan: finds a store's segments and checkpoint in its directory. Writes nothing.

Opening a store, `store check` and `store salvage` all begin with this scan. The newest segment's header is
the root: it lists every older segment of the store with its valid size.
"""

from __future__ import annotations

import contextlib
from collections.abc import Sequence

from lichencleat.decode_errors import UNDECODABLE
from lichencleat.store import checkpoint, file_names, framing
from lichencleat.store.disk import Disk, FileHandle
from lichencleat.store.errors import CannotOpenError, CorruptDataError, Finding, NotAStoreError
from lichencleat.store.log_tail import LogTail
from lichencleat.store.segments import OlderSegment, Record, Segment, SegmentHeader, read_header


class RecoveryScan:
    """Opens the segments' files, which are then handed to the engine or closed by `close`.

    Attributes:
        store: The store's identity, from its marker file or its newest segment.
        segments: The store's segments, oldest first.
        findings: Each place where the files differ from the confirmed records.
        obsolete_files: Names of files that are not part of the store any more.
        torn_bytes: Bytes after the newest segment's last intact frame, left by an incomplete write.
        time: The latest time recorded in the store (µs).
        tail: Which frames of the newest segment are known to be flushed; None before `read`.
        checkpoint: The checkpoint, or None if there is no valid checkpoint.
    """

    def __init__(self, disk: Disk, directory: str = "the directory") -> None:
        self.disk = disk
        self.directory = directory
        self.store = b""
        self.segments: list[Segment] = []
        self.findings: list[Finding] = []
        self.obsolete_files: list[str] = []
        self.torn_bytes = 0
        self.time = 0
        self.tail: LogTail | None = None
        self.checkpoint: checkpoint.Checkpoint | None = None

    def read(self, use_checkpoint: bool = True) -> None:
        """Read the directory and set the attributes; corruption is reported in `findings`.

        Raises CannotOpenError if the directory is not a store, or has a newer format.
        """
        names = self.disk.names()
        logs = [each for each in names if file_names.is_segment(each)]
        self._read_marker(names, logs)
        if not logs:
            self._add_finding(file_names.STORE_MARKER, 0, "no segment is left of this store")
            return
        newest = self._open_segment(logs[-1])
        if newest is None:
            self._add_finding(logs[-1], 0, "the newest segment's head is not whole")
            return
        segment, header = newest
        if self.store and header.store != self.store:
            self._add_finding(segment.name, 0, "belongs to another store")
        self.store = header.store
        self.time = header.time
        if use_checkpoint:
            self._read_checkpoint()
        self._read_newest(segment)
        self._read_older(header.older, segment)
        kept = {each.name for each in self.segments}
        self.obsolete_files = [each for each in logs if each not in kept]
        self.obsolete_files += [each for each in file_names.TEMPORARY_FILES if each in names]

    def reader(self, file: FileHandle) -> framing.Read:
        """Return a function that reads the file by offset and length."""
        return lambda offset, length: self.disk.read(file, offset, length)

    def removed_segments(self) -> set[int]:
        """Return the numbers of the segments that the newest segment records as removed."""
        return {number for _, number in self.tail.removed_segments} if self.tail else set()

    def must_rewrite_tail(self) -> bool:
        """Return whether the records at the end of the log must be written again, in a new segment.

        They must be if any of them is not known to be flushed: a record to keep, or a record that a segment
        was removed. A power cut could still destroy such a record, so no other write may depend on the record
        before it is written again.
        """
        tail = self.tail
        if tail is None:
            return False
        removal_unproved = any(sequence > tail.proved_sequence for sequence, _ in tail.removed_segments)
        return bool(tail.unproved_records()) or removal_unproved

    def unproved_records(self) -> list[Record]:
        """Return the records at the log's end that are intact but not known to be flushed.

        Raises CorruptDataError if one of these records can't be read again.
        """
        newest = self.segments[-1]
        records = []
        for offset, length in self.tail.unproved_records() if self.tail else []:
            data = self.disk.read(newest.file, offset, length)
            body = framing.decode_frame(data, newest.salt_checksum, offset)
            if body is None:
                finding = Finding(newest.name, offset, "reads otherwise than a moment ago")
                raise CorruptDataError([finding])
            _, kind, _, number, key, value = framing.decode_body(body)
            records.append(Record(kind, number, key, bytes(value)))
        return records

    def close(self) -> None:
        """Close the segments' files, if they were not handed to the engine."""
        for segment in self.segments:
            self.disk.close(segment.file)
        self.segments = []

    def _add_finding(self, file: str, offset: int, problem: str) -> None:
        self.findings.append(Finding(file, offset, problem))

    def _read_marker(self, names: Sequence[str], logs: Sequence[str]) -> None:
        marker = file_names.STORE_MARKER
        if marker not in names:
            reason = f"(it has no file {marker}); name the directory of a store"
            raise NotAStoreError(self.directory, reason)
        data = self._read_file_header(marker)
        name = f"{self.directory}: {marker}"
        salt = framing.decode_file_header(data, framing.STORE_MAGIC, name)
        if salt is not None and len(data) == framing.FILE_HEADER_BYTES:
            self.store = salt
        elif logs:
            self._add_finding(marker, 0, "is not whole")
        else:
            raise NotAStoreError(self.directory, f"(its file {marker} is not a valid marker)")

    def _read_file_header(self, name: str) -> bytes:
        """Return the file's header, and the next byte, if any, which shows that a file is too long."""
        file = self.disk.open(name)
        try:
            return self.disk.read(file, 0, framing.FILE_HEADER_BYTES + 1)
        finally:
            self.disk.close(file)

    def _open_segment(self, name: str) -> tuple[Segment, SegmentHeader] | None:
        file = self.disk.open(name)
        found = None
        try:
            found = read_header(self.reader(file), file, name)
        finally:
            if found is None:
                self.disk.close(file)
        return found

    def _read_checkpoint(self) -> None:
        # without a checkpoint, opening the store replays the whole log, which only takes longer
        with contextlib.suppress(OSError, CannotOpenError):
            file = self.disk.open(file_names.CHECKPOINT)
            try:
                size = self.disk.size(file)
                self.checkpoint = checkpoint.decode_checkpoint(self.reader(file), size, self.store)
            finally:
                self.disk.close(file)

    def _read_newest(self, segment: Segment) -> None:
        """Determine the valid size of the newest segment.

        Bytes that are not a frame are a torn write, unless a later frame or the checkpoint proves that
        flushed frames were there.
        """
        size = self.disk.size(segment.file)
        tail = self.tail = LogTail(segment.first_sequence, segment.flushed_through, segment.data_start)
        end = self._read_tail(segment, size, tail)
        if self.checkpoint is not None and self.checkpoint.newest == segment.number:
            tail.mark_proved(self.checkpoint.sequence)
        if tail.proved_sequence > tail.last_sequence:
            lost = tail.proved_sequence - tail.last_sequence
            self._add_finding(segment.name, end, f"{lost} confirmed records are not whole")
        elif end < size:
            self.torn_bytes = size - end
            self._find_lost_records(segment, end, size, tail)
        self.time = max(self.time, tail.time)
        segment.size = tail.proved_end
        segment.last_sequence = min(tail.proved_sequence, tail.last_sequence)
        segment.void_bytes = size - segment.size
        self.segments = [segment]

    def _read_tail(self, segment: Segment, size: int, tail: LogTail) -> int:
        """Pass the segment's frames to `tail`; return the offset at which the accepted frames end."""
        end = segment.data_start
        frames = framing.iter_frames(self.reader(segment.file), end, size, segment.salt_checksum)
        for offset, length, body in frames:
            try:
                sequence, kind, flush_distance, number, _, _ = framing.decode_body(body)
            except UNDECODABLE:
                break
            if not tail.accept(offset, length, sequence, kind, flush_distance, number):
                break
            end = offset + length
        return end

    def _find_lost_records(self, segment: Segment, end: int, size: int, tail: LogTail) -> None:
        """Report a finding if a frame after `end` proves that a confirmed record is missing."""
        read = self.reader(segment.file)
        for frame_offset, _, body in framing.iter_frames_past_gaps(read, end, size, segment.salt_checksum):
            with contextlib.suppress(*UNDECODABLE):
                sequence, _, flush_distance, _, _, _ = framing.decode_body(body)
                if tail.is_loss_proved_by(sequence, flush_distance):
                    problem = f"a confirmed record is not whole; whole ones follow at {frame_offset}"
                    self._add_finding(segment.name, end, problem)
                    break

    def _read_older(self, older: Sequence[OlderSegment], newest: Segment) -> None:
        removed = self.removed_segments()
        found = [self._read_older_segment(each) for each in older if each.number not in removed]
        self.segments = [*(each for each in found if each is not None), newest]

    def _read_older_segment(self, summary: OlderSegment) -> Segment | None:
        name = file_names.SEGMENT.format(summary.number)
        try:
            opened = self._open_segment(name)
        except OSError as error:
            self._add_finding(name, 0, f"is part of the store and can't be opened: {error.strerror}")
            return None
        if opened is None or opened[1].store != self.store:
            self._add_finding(name, 0, "its head is not whole")
            return None
        segment = opened[0]
        segment.last_sequence = summary.last_sequence
        segment.size = summary.size
        segment.tombstone_bytes = summary.tombstone_bytes
        actual_size = self.disk.size(segment.file)
        if actual_size < summary.size:
            self._add_finding(name, actual_size, f"ends {summary.size - actual_size} bytes early")
        segment.void_bytes = max(0, actual_size - summary.size)
        return segment
