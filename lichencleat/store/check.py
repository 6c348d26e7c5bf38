"""Check: reads a store's files in full and reports lost or corrupt records. Writes nothing."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lichencleat.store import file_names, framing
from lichencleat.store.checkpoint import Checkpoint
from lichencleat.store.disk import Disk
from lichencleat.store.errors import Finding, UnreadableDirectoryError
from lichencleat.store.index import is_expired
from lichencleat.store.recovery import RecoveryScan
from lichencleat.store.replay import Replay
from lichencleat.store.segments import Segment

Progress = Callable[[str, int, int], None]
"""Called at intervals with the current file, the bytes done, and the total bytes."""


def ignore_progress(file: str, done: int, total: int) -> None:
    """Show no progress."""


@dataclass(slots=True)
class CheckReport:
    """Result of `check`. `findings` is empty if every confirmed record is present and intact."""

    findings: list[Finding]
    entries: int = 0
    segments: int = 0
    bytes_read: int = 0
    torn_bytes: int = 0  # bytes of an incomplete write at the log's end, after a power cut; not a finding
    # Records at the log's end that are not known to be flushed; opening the store writes these records again.
    unproved_records: int = 0
    checkpoint: str = "none"  # the last sequence that the checkpoint covers, as text


def check(disk: Disk, directory: str, now: int, progress: Progress = ignore_progress) -> CheckReport:
    """Check the store in a directory, and hold the directory's lock meanwhile.

    Args:
        disk: The directory.
        directory: The directory's name in errors.
        now: µs of Unix time; entries that expire until then are not counted.
        progress: Called before each file is read.

    Raises:
        CannotOpenError: If the directory is not a store, has a newer format, or is in use.
        UnreadableDirectoryError: If reading fails.
    """
    disk.lock()
    scan = RecoveryScan(disk, directory)
    try:
        scan.read()
        report = CheckReport(scan.findings)
        _check_segments(scan, report, progress)
        if not scan.findings and scan.segments:
            _check_entries(scan, report, now)
        report.torn_bytes = scan.torn_bytes
    except OSError as error:
        raise UnreadableDirectoryError(directory, error) from error
    finally:
        scan.close()
        disk.unlock()
    return report


def _check_segments(scan: RecoveryScan, report: CheckReport, progress: Progress) -> None:
    total_bytes = sum(each.size for each in scan.segments)
    for segment in scan.segments:
        progress(segment.name, report.bytes_read, total_bytes)
        scan.findings += _damaged_spans(scan, segment)
        report.bytes_read += segment.size
    report.segments = len(scan.segments)


def _damaged_spans(scan: RecoveryScan, segment: Segment) -> list[Finding]:
    """Return a finding for each span of a segment's valid bytes that is not an intact frame."""
    found: list[Finding] = []
    read = scan.reader(segment.file)
    end = segment.data_start
    for offset, length, _ in framing.iter_frames_past_gaps(read, end, segment.size, segment.salt_checksum):
        if offset > end:
            found.append(Finding(segment.name, end, f"{offset - end} bytes are no record"))
        end = offset + length
    if end < segment.size and not any(each.file == segment.name for each in scan.findings):
        found.append(Finding(segment.name, end, f"{segment.size - end} bytes are no record"))
    return [each for each in found if each not in scan.findings]


def _check_entries(scan: RecoveryScan, report: CheckReport, now: int) -> None:
    """Build the index from the whole log without the checkpoint, and compare it with the checkpoint."""
    report.unproved_records = len(scan.unproved_records())
    locations, _ = Replay(scan.disk, scan.segments, None, scan.findings).build_index(now)
    entry_count = sum(not is_expired(each, now) for each in locations.values())
    report.entries = entry_count + report.unproved_records
    if scan.checkpoint is not None:
        report.checkpoint = f"covers {scan.checkpoint.sequence}"
        _check_checkpoint(scan, scan.checkpoint, locations, now)


def _check_checkpoint(
    scan: RecoveryScan, checkpoint: Checkpoint, locations: dict[bytes, int], now: int
) -> None:
    """Compare the entries built from the checkpoint with those built from the whole log."""
    for each in scan.segments:
        each.tombstone_bytes = 0
    replay = Replay(scan.disk, scan.segments, checkpoint, scan.findings)
    checkpoint_locations, _ = replay.build_index(now)
    if replay.checkpoint is None:
        return  # opening the store ignores an old checkpoint that does not match the log
    for key in sorted({*locations, *checkpoint_locations}):
        from_log, from_checkpoint = locations.get(key), checkpoint_locations.get(key)
        if from_log != from_checkpoint and not all(
            each is None or is_expired(each, now) for each in (from_log, from_checkpoint)
        ):
            problem = f"places key {key!r:.60} otherwise than the log does"
            scan.findings.append(Finding(file_names.CHECKPOINT, 0, problem))
            return
