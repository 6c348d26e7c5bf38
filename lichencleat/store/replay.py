"""Replay: builds the index when a store opens, from a checkpoint and the log records after it."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import NamedTuple

from lichencleat.decode_errors import UNDECODABLE
from lichencleat.store import framing
from lichencleat.store.checkpoint import Checkpoint
from lichencleat.store.disk import Disk
from lichencleat.store.errors import Finding
from lichencleat.store.index import FIELD_BITS, LocationTotals, is_expired, segment_of, total_locations
from lichencleat.store.segments import Segment


class ReplayedRecord(NamedTuple):
    """A valid record without its value.

    The type is a NamedTuple, which is cheap to create: opening a store creates an instance for each record.
    """

    offset: int
    length: int
    kind: int
    number: int
    key: bytes


class Replay:
    """Builds the index of a store's segments.

    Attributes:
        checkpoint: The checkpoint to begin with; set to None if it does not match the log.
        findings: Receives a finding for bytes among the records that are not a frame.
    """

    def __init__(
        self,
        disk: Disk,
        segments: Sequence[Segment],
        checkpoint: Checkpoint | None,
        findings: list[Finding],
    ) -> None:
        self.disk = disk
        self.segments = segments
        self.checkpoint = checkpoint
        self.findings = findings

    def build_index(self, now: int) -> tuple[dict[bytes, int], LocationTotals]:
        """Return the packed location of each key, and figures about all locations.

        Sets the segments' `tombstone_bytes`. The method changes and returns the dictionary `locations` of the
        checkpoint, unless the checkpoint does not match the log. `now` is in µs.
        """
        locations = self.checkpoint.locations if self.checkpoint is not None else {}
        newest = self.segments[-1]
        newest.tombstone_bytes = 0
        for segment, record in self._records():
            if record.kind in framing.PUTS:
                locations[record.key] = (
                    (record.number << FIELD_BITS | segment.number) << FIELD_BITS | record.offset
                ) << FIELD_BITS | record.length
            else:
                locations.pop(record.key, None)
                # for a sealed segment, the header of a newer segment or the checkpoint has this number
                if segment is newest:
                    segment.tombstone_bytes += record.length
        totals = total_locations(locations)
        if self.checkpoint is None:
            return locations, totals
        sizes = {each.number: each.size for each in self.segments}
        if not totals.live_bytes.keys() <= sizes.keys():
            self._drop_expired_dangling_entries(locations, sizes, now)
            totals = total_locations(locations)
        if any(end > sizes.get(number, -1) for number, end in totals.ends.items()):
            self.checkpoint = None
            return self.build_index(now)
        return locations, totals

    @staticmethod
    def _drop_expired_dangling_entries(locations: dict[bytes, int], sizes: dict[int, int], now: int) -> None:
        """Drop expired entries of the checkpoint whose segment was removed after the checkpoint."""
        dangling_keys = [key for key, location in locations.items() if segment_of(location) not in sizes]
        for key in dangling_keys:
            if is_expired(locations[key], now):
                del locations[key]

    def _records(self) -> Iterator[tuple[Segment, ReplayedRecord]]:
        """Yield every valid record that the checkpoint does not cover, in order, with its segment."""
        checkpoint = self.checkpoint
        for segment in self.segments:
            offset, sequence = segment.data_start, segment.first_sequence
            if checkpoint is not None:
                covered_tombstones = checkpoint.tombstone_bytes.get(segment.number, 0)
                if segment.last_sequence <= checkpoint.sequence:
                    segment.tombstone_bytes = max(segment.tombstone_bytes, covered_tombstones)
                    continue
                if segment.number == checkpoint.newest:
                    offset, sequence = checkpoint.offset, checkpoint.sequence + 1
                    segment.tombstone_bytes = covered_tombstones
            for record in self._segment_records(segment, offset, sequence):
                yield segment, record

    def _segment_records(self, segment: Segment, offset: int, sequence: int) -> Iterator[ReplayedRecord]:
        """Yield the segment's valid records from an offset on, without incomplete batches.

        Bytes that are not the next frame are reported as a finding and end the iteration.

        Args:
            segment: The segment.
            offset: Offset of the first frame to read, in bytes.
            sequence: Sequence of the first frame to read.
        """
        batch: list[ReplayedRecord] = []
        end = offset
        for frame_offset, length, body in framing.iter_frames(
            self._reader(segment), offset, segment.size, segment.salt_checksum
        ):
            try:
                frame_sequence, kind, _, number, key, _ = framing.decode_body(body)
            except UNDECODABLE:
                break
            if frame_sequence != sequence:
                break
            if kind in framing.SINGLE:
                yield ReplayedRecord(frame_offset, length, kind, number, key)
            elif kind in framing.IN_BATCH:
                batch.append(ReplayedRecord(frame_offset, length, kind, number, key))
            elif kind == framing.COMMIT:
                if number == len(batch):
                    yield from batch
                batch = []
            sequence += 1
            end = frame_offset + length
        if end < segment.size:
            problem = "bytes that are no frame where confirmed records stood"
            self.findings.append(Finding(segment.name, end, problem))

    def _reader(self, segment: Segment) -> framing.Read:
        return lambda offset, length: self.disk.read(segment.file, offset, length)
