"""Looking through a store's files without changing them: `check` tells what is lost, `salvage` saves what is
intact.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from crc32c import crc32c

from lichencleat.decoding import UNDECODABLE
from lichencleat.store import framing
from lichencleat.store.batch import Batch
from lichencleat.store.capacity import StoreLimits
from lichencleat.store.checkpoint import Checkpoint
from lichencleat.store.disk import Disk
from lichencleat.store.engine import Engine
from lichencleat.store.errors import BadRecordError, CannotOpenError, Finding, StoreError
from lichencleat.store.index import expired
from lichencleat.store.recovery import RecoveryScan, is_segment
from lichencleat.store.segments import Segment, read_head

Progress = Callable[[str, int, int], None]
"""Told now and then: the file at hand, bytes done, bytes in all."""

GROUP = 256  # batches that a salvage confirms at once


def quiet(file: str, done: int, total: int) -> None:
    """No progress is shown."""


@dataclass(slots=True)
class CheckReport:
    """What `check` found. `findings` is empty where every confirmed record is there and whole."""

    findings: list[Finding]
    entries: int = 0
    segments: int = 0
    bytes_read: int = 0
    torn: int = 0  # bytes of a cut's traces at the log's end: no finding
    in_doubt: int = 0  # records at the log's end that the next start makes sure of
    checkpoint: str = "none"


def check(disk: Disk, where: str, now: int, progress: Progress = quiet) -> CheckReport:
    """Reads every byte that counts. Raises UnfitError where it is no store. Takes the lock, writes
    nothing.
    """
    disk.lock()
    recovery_scan = RecoveryScan(disk, where)
    try:
        recovery_scan.read(use_point=True)
        point = recovery_scan.point
        checked = CheckReport(recovery_scan.findings)
        recovery_scan.point = None  # the whole log is read, whatever the checkpoint covers
        total = sum(each.size for each in recovery_scan.segments)
        for segment in recovery_scan.segments:
            progress(segment.name, checked.bytes_read, total)
            bad = damaged_spans(recovery_scan, segment)
            recovery_scan.findings += bad
            checked.bytes_read += segment.size
        checked.segments = len(recovery_scan.segments)
        if not recovery_scan.findings and recovery_scan.segments:
            checked.in_doubt = len(recovery_scan.carried())
            entries, _ = recovery_scan.entries(now)
            checked.entries = sum(not expired(where, now) for where in entries.values()) + checked.in_doubt
            if point is not None:
                checked.checkpoint = f"covers {point.sequence}"
                check_point(recovery_scan, point, entries, now)
        checked.torn = recovery_scan.torn
        return checked
    except OSError as wrong:
        raise StoreError(f"{where}: can't be read: {wrong.strerror}") from wrong
    finally:
        recovery_scan.close()
        disk.unlock()


def damaged_spans(recovery_scan: RecoveryScan, segment: Segment) -> list[Finding]:
    """Every span of a segment's bytes that count which is no whole frame."""
    found: list[Finding] = []
    read = recovery_scan.reader(segment.file)
    end = segment.data_start
    for offset, length, _ in framing.iter_frames_past_gaps(
        read, segment.data_start, segment.size, segment.salt
    ):
        if offset > end:
            found.append(Finding(segment.name, end, f"{offset - end} bytes are no record"))
        end = offset + length
    if end < segment.size and not any(each.file == segment.name for each in recovery_scan.findings):
        found.append(Finding(segment.name, end, f"{segment.size - end} bytes are no record"))
    return [each for each in found if each not in recovery_scan.findings]


def check_point(recovery_scan: RecoveryScan, point: Checkpoint, entries: dict[bytes, int], now: int) -> None:
    """The entries by way of the checkpoint have to be those of the whole log."""
    for each in recovery_scan.segments:
        each.tombstone_bytes = 0
    recovery_scan.point = point
    by_point, _ = recovery_scan.entries(now)
    if recovery_scan.point is None:
        return  # it does not fit this log: old, which costs time only
    for key in sorted({*entries, *by_point}):
        mine, its = entries.get(key), by_point.get(key)
        if mine != its and not all(each is None or expired(each, now) for each in (mine, its)):
            recovery_scan.finds("checkpoint", 0, f"places key {key!r:.60} otherwise than the log does")
            return


@dataclass(slots=True)
class SalvageReport:
    """What `salvage` saved and what it met."""

    records: int = 0
    lost: int = 0  # frames that the sequence numbers say were there
    batches_lost: int = 0  # batches with a frame missing: left out whole
    entries: int = 0
    findings: list[Finding] = field(default_factory=list)


def salvage(
    disk: Disk,
    into: Disk,
    clock: Callable[[], int],
    rng: random.Random,
    where: str,
    new: str,
    most: StoreLimits,
    progress: Progress = quiet,
) -> SalvageReport:
    """Writes every whole record to a new store, in order, batches only whole. The old directory is not
    changed.

    Where records are lost, keys that they changed show what was written before, or are missing. Raises
    StoreError.
    """
    if into.names():
        raise CannotOpenError(f"{new}: not empty; name a directory that is new")
    told = SalvageReport()
    disk.lock()
    recovery_scan = RecoveryScan(disk, where)
    try:
        try:
            recovery_scan.read(use_point=False)
        except CannotOpenError:
            if not any(is_segment(each) for each in disk.names()):
                raise
            told.findings.append(Finding("STORE", 0, "is missing or unfit; every segment is read"))
        told.findings += recovery_scan.findings
        engine = Engine.open(into, clock, rng, most, create=True, where=new)
        try:
            write_all(salvageable(disk, recovery_scan, told, progress), engine, told)
            told.entries = len(engine.log.index)
        finally:
            engine.close()
    except OSError as wrong:
        raise StoreError(f"{where}: can't be read: {wrong.strerror}") from wrong
    finally:
        recovery_scan.close()
        disk.unlock()
    return told


def write_all(batches: Iterator[Batch], engine: Engine, told: SalvageReport) -> None:
    group: list[Batch] = []

    def commit() -> None:
        for verdict in engine.commit(group):
            if verdict is not None:
                raise verdict
        told.records += sum(len(each.changes) for each in group)
        group.clear()
        while engine.step():
            pass

    for batch in batches:
        group.append(batch)
        if len(group) == GROUP:
            commit()
    commit()


def salvageable(
    disk: Disk, recovery_scan: RecoveryScan, told: SalvageReport, progress: Progress
) -> Iterator[Batch]:
    """The batches of all whole frames that count, as far as what is left of the store tells which do."""
    known = {each.number: each for each in recovery_scan.segments}
    gone = {number for _, number in recovery_scan.tail.gone} if recovery_scan.tail else set()
    names = [each for each in disk.names() if is_segment(each)]
    sizes = []
    for name in names:
        file = disk.open(name)
        sizes.append((name, file, disk.size(file)))
    total = sum(size for _, _, size in sizes)
    done = 0
    try:
        ends = void_from(recovery_scan, sizes)
        for name, file, size in sizes:
            progress(name, done, total)
            done += size
            number = int(name.removesuffix(".log"))
            rooted = bool(recovery_scan.segments) and not any(
                each.file == name for each in recovery_scan.findings
            )
            if number in gone or (rooted and number not in known):
                continue  # cleaned: what it held stands in a newer one
            yield from whole_batches(recovery_scan.reader(file), name, size, ends.get(number), told)
    finally:
        for _, file, _ in sizes:
            disk.close(file)


def void_from(recovery_scan: RecoveryScan, sizes: list[tuple[str, Any, int]]) -> dict[int, int]:
    """The last sequence that counts in each segment, from every head that is whole: newer ones tell of older
    ones.
    """
    ends: dict[int, int] = {}
    for name, file, _ in sizes:  # in order, so that the newest head's word holds
        found = read_head(recovery_scan.reader(file), file, name)
        if found is not None:
            for number, end, _, _ in found[1][5]:
                ends[number] = end
    return ends


def whole_batches(
    read: framing.Read, name: str, size: int, end: int | None, told: SalvageReport
) -> Iterator[Batch]:
    salt = framing.decode_file_header(read(0, framing.FILE_HEADER_BYTES), framing.LOG_MAGIC, name)
    if salt is None:
        told.findings.append(Finding(name, 0, "its salt is lost: nothing in it can be told from chance"))
        return
    expected: int | None = None
    batch: list[tuple[int, int, bytes, bytes]] = []
    for _, _, body in framing.iter_frames_past_gaps(read, framing.FILE_HEADER_BYTES, size, crc32c(salt)):
        with contextlib.suppress(*UNDECODABLE, BadRecordError):  # a head's body is no record's
            sequence, kind, _, number, key, value = framing.decode_body(body)
            if end is not None and sequence > end:
                return
            if expected is not None and sequence != expected:
                told.lost += max(0, sequence - expected)
                told.batches_lost += bool(batch)
                batch = []
            expected = sequence + 1
            if kind in (framing.BATCH_PUT, framing.BATCH_DELETE):
                batch.append((kind, number, key, bytes(value)))
            elif kind == framing.COMMIT:
                if number == len(batch):
                    yield made(batch)
                else:
                    told.batches_lost += 1
                batch = []
            elif kind in (framing.PUT, framing.DELETE):
                yield made([(kind, number, key, bytes(value))])


def made(changes: list[tuple[int, int, bytes, bytes]]) -> Batch:
    batch = Batch()
    for kind, number, key, value in changes:
        if kind in (framing.PUT, framing.BATCH_PUT):
            batch.put(key, value, number)
        else:
            batch.delete(key)
    return batch
