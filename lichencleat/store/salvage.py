"""Salvage: copies the intact records of a damaged store to a new store; never changes the damaged store."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from crc32c import crc32c

from lichencleat.decode_errors import UNDECODABLE
from lichencleat.store import file_names, framing
from lichencleat.store.batch import Batch
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.check import Progress, ignore_progress
from lichencleat.store.disk import Disk, FileHandle
from lichencleat.store.engine import Engine
from lichencleat.store.errors import (
    BadRecordError,
    CannotOpenError,
    DirectoryNotEmptyError,
    Finding,
    UnreadableDirectoryError,
)
from lichencleat.store.recovery import RecoveryScan
from lichencleat.store.segments import Record, read_header

GROUP_BATCHES = 256  # number of batches that are committed together


@dataclass(slots=True)
class SalvageReport:
    """Result of `salvage`."""

    records: int = 0  # records copied to the new store
    lost: int = 0  # frames that are missing, by the gaps between sequences
    batches_lost: int = 0  # incomplete batches, which are not copied
    entries: int = 0  # entries of the new store
    findings: list[Finding] = field(default_factory=list)  # damage found in the old store


@dataclass(slots=True, frozen=True)
class SegmentFile:
    """A segment's file, opened for reading."""

    name: str
    file: FileHandle
    size: int  # bytes

    @property
    def number(self) -> int:
        """The segment's number."""
        return file_names.segment_number(self.name)


def salvage(
    disk: Disk,
    new_disk: Disk,
    clock: Callable[[], int],
    rng: random.Random,
    directory: str,
    new_directory: str,
    limits: StoreLimits,
    progress: Progress = ignore_progress,
) -> SalvageReport:
    """Copy each intact record of a damaged store to a new store, in order, without incomplete batches.

    A key whose last records are lost has an older value in the new store, or is missing there.

    Args:
        disk: The directory of the damaged store.
        new_disk: An empty directory for the new store.
        clock: Returns µs of Unix time.
        rng: Source of the salts of new files.
        directory: Name of the damaged store's directory in errors.
        new_directory: Name of the new store's directory in errors.
        limits: Limits on the new store's size.
        progress: Called before each file is read.

    Raises:
        CannotOpenError: If the directory has no file of a store.
        DirectoryNotEmptyError: If the new directory is not empty.
        UnreadableDirectoryError: If reading fails.
        StoreError: If writing fails.
    """
    if new_disk.names():
        raise DirectoryNotEmptyError(new_directory)
    report = SalvageReport()
    disk.lock()
    scan = RecoveryScan(disk, directory)
    try:
        _scan_damaged_store(scan, report)
        engine = Engine.open(new_disk, clock, rng, limits, create=True, directory=new_directory)
        try:
            _write_all(_salvageable_batches(disk, scan, report, progress), engine, report)
            report.entries = len(engine.log.index)
        finally:
            engine.close()
    except OSError as error:
        raise UnreadableDirectoryError(directory, error) from error
    finally:
        scan.close()
        disk.unlock()
    return report


def _scan_damaged_store(scan: RecoveryScan, report: SalvageReport) -> None:
    try:
        scan.read(use_checkpoint=False)
    except CannotOpenError:
        if not any(file_names.is_segment(each) for each in scan.disk.names()):
            raise
        problem = "is missing or unfit; every segment is read"
        report.findings.append(Finding(file_names.STORE_MARKER, 0, problem))
    report.findings += scan.findings


def _write_all(batches: Iterator[Batch], engine: Engine, report: SalvageReport) -> None:
    group: list[Batch] = []
    for batch in batches:
        group.append(batch)
        if len(group) == GROUP_BATCHES:
            _commit(group, engine, report)
            group = []
    _commit(group, engine, report)


def _commit(group: Sequence[Batch], engine: Engine, report: SalvageReport) -> None:
    for error in engine.commit(group):
        if error is not None:
            raise error
    report.records += sum(len(each.changes) for each in group)
    while engine.step():
        pass


def _salvageable_batches(
    disk: Disk, scan: RecoveryScan, report: SalvageReport, progress: Progress
) -> Iterator[Batch]:
    """Yield the batches of all intact frames that belong to the store.

    Frames of removed segments, and frames after the valid bytes of a segment, are skipped, as far as intact
    headers show which frames these are.
    """
    files = [
        SegmentFile(name, file, disk.size(file))
        for name in disk.names()
        if file_names.is_segment(name)
        for file in [disk.open(name)]
    ]
    total_bytes = sum(each.size for each in files)
    done_bytes = 0
    try:
        last_sequences = _last_sequences(scan, files)
        for each in files:
            progress(each.name, done_bytes, total_bytes)
            done_bytes += each.size
            if not _is_removed(scan, each):  # compaction copied the records of a removed segment
                yield from _intact_batches(
                    scan.reader(each.file), each, last_sequences.get(each.number), report
                )
    finally:
        for each in files:
            disk.close(each.file)


def _is_removed(scan: RecoveryScan, segment: SegmentFile) -> bool:
    """Whether the newest segment shows that a segment was removed from the store."""
    if segment.number in scan.removed_segments():
        return True
    is_newest_intact = bool(scan.segments) and not any(each.file == segment.name for each in scan.findings)
    return is_newest_intact and all(each.number != segment.number for each in scan.segments)


def _last_sequences(scan: RecoveryScan, files: Sequence[SegmentFile]) -> dict[int, int]:
    """Return the last valid sequence of each segment, by number, from intact headers of newer segments."""
    last_sequences: dict[int, int] = {}
    for each in files:  # in order of numbers, so that the newest header wins
        found = read_header(scan.reader(each.file), each.file, each.name)
        if found is not None:
            for older in found[1].older:
                last_sequences[older.number] = older.last_sequence
    return last_sequences


def _intact_batches(
    read: framing.Read, segment: SegmentFile, last_sequence: int | None, report: SalvageReport
) -> Iterator[Batch]:
    """Yield the segment's complete batches up to `last_sequence`, if given; record losses in `report`."""
    salt = framing.decode_file_header(read(0, framing.FILE_HEADER_BYTES), framing.LOG_MAGIC, segment.name)
    if salt is None:
        problem = "its salt is lost: nothing in it can be told from chance"
        report.findings.append(Finding(segment.name, 0, problem))
        return
    expected: int | None = None
    batch: list[Record] = []
    frames = framing.iter_frames_past_gaps(read, framing.FILE_HEADER_BYTES, segment.size, crc32c(salt))
    for _, _, body in frames:
        with contextlib.suppress(*UNDECODABLE, BadRecordError):  # a segment header is not a record
            sequence, kind, _, number, key, value = framing.decode_body(body)
            if last_sequence is not None and sequence > last_sequence:
                return
            if expected is not None and sequence != expected:
                report.lost += max(0, sequence - expected)
                report.batches_lost += bool(batch)
                batch = []
            expected = sequence + 1
            if kind in framing.IN_BATCH:
                batch.append(Record(kind, number, key, bytes(value)))
            elif kind == framing.COMMIT:
                if number == len(batch):
                    yield _make_batch(batch)
                else:
                    report.batches_lost += 1
                batch = []
            elif kind in framing.SINGLE:
                yield _make_batch([Record(kind, number, key, bytes(value))])


def _make_batch(records: Sequence[Record]) -> Batch:
    batch = Batch()
    for record in records:
        if record.kind in framing.PUTS:
            batch.put(record.key, bytes(record.value), record.number)
        else:
            batch.delete(record.key)
    return batch
