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

from lichencleat.decode_errors import UNDECODABLE
from lichencleat.store import frames
from lichencleat.store.batch import Batch
from lichencleat.store.checkpoint import Point
from lichencleat.store.disk import Disk
from lichencleat.store.engine import Engine
from lichencleat.store.errors import BadRecordError, Finding, StoreError, UnfitError
from lichencleat.store.index import expired
from lichencleat.store.recovery import Survey, is_segment
from lichencleat.store.room import Bounds
from lichencleat.store.segments import Segment, read_head

Progress = Callable[[str, int, int], None]
"""Told now and then: the file at hand, bytes done, bytes in all."""

GROUP = 256  # batches that a salvage confirms at once


def quiet(file: str, done: int, total: int) -> None:
    """No progress is shown."""


@dataclass(slots=True)
class Checked:
    """What `check` found. `findings` is empty where every confirmed record is there and whole."""

    findings: list[Finding]
    entries: int = 0
    segments: int = 0
    bytes_read: int = 0
    torn: int = 0  # bytes of a cut's traces at the log's end: no finding
    in_doubt: int = 0  # records at the log's end that the next start makes sure of
    checkpoint: str = "none"


def check(disk: Disk, where: str, now: int, progress: Progress = quiet) -> Checked:
    """Reads every byte that counts. Raises UnfitError where it is no store. Takes the lock, writes
    nothing.
    """
    disk.lock()
    survey = Survey(disk, where)
    try:
        survey.read(use_point=True)
        point = survey.point
        checked = Checked(survey.findings)
        survey.point = None  # the whole log is read, whatever the checkpoint covers
        total = sum(each.size for each in survey.segments)
        for segment in survey.segments:
            progress(segment.name, checked.bytes_read, total)
            bad = damaged_spans(survey, segment)
            survey.findings += bad
            checked.bytes_read += segment.size
        checked.segments = len(survey.segments)
        if not survey.findings and survey.segments:
            checked.in_doubt = len(survey.carried())
            entries, _ = survey.entries(now)
            checked.entries = sum(not expired(where, now) for where in entries.values()) + checked.in_doubt
            if point is not None:
                checked.checkpoint = f"covers {point.sequence}"
                check_point(survey, point, entries, now)
        checked.torn = survey.torn
        return checked
    except OSError as wrong:
        raise StoreError(f"{where}: can't be read: {wrong.strerror}") from wrong
    finally:
        survey.close()
        disk.unlock()


def damaged_spans(survey: Survey, segment: Segment) -> list[Finding]:
    """Every span of a segment's bytes that count which is no whole frame."""
    found: list[Finding] = []
    read = survey.reader(segment.file)
    end = segment.start
    for offset, length, _ in frames.islands(read, segment.start, segment.size, segment.salt):
        if offset > end:
            found.append(Finding(segment.name, end, f"{offset - end} bytes are no record"))
        end = offset + length
    if end < segment.size and not any(each.file == segment.name for each in survey.findings):
        found.append(Finding(segment.name, end, f"{segment.size - end} bytes are no record"))
    return [each for each in found if each not in survey.findings]


def check_point(survey: Survey, point: Point, entries: dict[bytes, int], now: int) -> None:
    """The entries by way of the checkpoint have to be those of the whole log."""
    for each in survey.segments:
        each.tombs = 0
    survey.point = point
    by_point, _ = survey.entries(now)
    if survey.point is None:
        return  # it does not fit this log: old, which costs time only
    for key in sorted({*entries, *by_point}):
        mine, its = entries.get(key), by_point.get(key)
        if mine != its and not all(each is None or expired(each, now) for each in (mine, its)):
            survey.finds("checkpoint", 0, f"places key {key!r:.60} otherwise than the log does")
            return


@dataclass(slots=True)
class Salvaged:
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
    most: Bounds,
    progress: Progress = quiet,
) -> Salvaged:
    """Writes every whole record to a new store, in order, batches only whole. The old directory is not
    changed.

    Where records are lost, keys that they changed show what was written before, or are missing. Raises
    StoreError.
    """
    if into.names():
        raise UnfitError(f"{new}: not empty; name a directory that is new")
    told = Salvaged()
    disk.lock()
    survey = Survey(disk, where)
    try:
        try:
            survey.read(use_point=False)
        except UnfitError:
            if not any(is_segment(each) for each in disk.names()):
                raise
            told.findings.append(Finding("STORE", 0, "is missing or unfit; every segment is read"))
        told.findings += survey.findings
        engine = Engine.open(into, clock, rng, most, create=True, where=new)
        try:
            write_all(salvageable(disk, survey, told, progress), engine, told)
            told.entries = len(engine.log.index)
        finally:
            engine.close()
    except OSError as wrong:
        raise StoreError(f"{where}: can't be read: {wrong.strerror}") from wrong
    finally:
        survey.close()
        disk.unlock()
    return told


def write_all(batches: Iterator[Batch], engine: Engine, told: Salvaged) -> None:
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


def salvageable(disk: Disk, survey: Survey, told: Salvaged, progress: Progress) -> Iterator[Batch]:
    """The batches of all whole frames that count, as far as what is left of the store tells which do."""
    known = {each.number: each for each in survey.segments}
    gone = {number for _, number in survey.tail.gone} if survey.tail else set()
    names = [each for each in disk.names() if is_segment(each)]
    sizes = []
    for name in names:
        file = disk.open(name)
        sizes.append((name, file, disk.size(file)))
    total = sum(size for _, _, size in sizes)
    done = 0
    try:
        ends = void_from(survey, sizes)
        for name, file, size in sizes:
            progress(name, done, total)
            done += size
            number = int(name.removesuffix(".log"))
            rooted = bool(survey.segments) and not any(each.file == name for each in survey.findings)
            if number in gone or (rooted and number not in known):
                continue  # cleaned: what it held stands in a newer one
            yield from whole_batches(survey.reader(file), name, size, ends.get(number), told)
    finally:
        for _, file, _ in sizes:
            disk.close(file)


def void_from(survey: Survey, sizes: list[tuple[str, Any, int]]) -> dict[int, int]:
    """The last sequence that counts in each segment, from every head that is whole: newer ones tell of older
    ones.
    """
    ends: dict[int, int] = {}
    for name, file, _ in sizes:  # in order, so that the newest head's word holds
        found = read_head(survey.reader(file), file, name)
        if found is not None:
            for number, end, _, _ in found[1][5]:
                ends[number] = end
    return ends


def whole_batches(
    read: frames.Read, name: str, size: int, end: int | None, told: Salvaged
) -> Iterator[Batch]:
    salt = frames.read_file_head(read(0, frames.FILE_HEAD), frames.LOG_MAGIC, name)
    if salt is None:
        told.findings.append(Finding(name, 0, "its salt is lost: nothing in it can be told from chance"))
        return
    expected: int | None = None
    batch: list[tuple[int, int, bytes, bytes]] = []
    for _, _, body in frames.islands(read, frames.FILE_HEAD, size, crc32c(salt)):
        with contextlib.suppress(*UNDECODABLE, BadRecordError):  # a head's body is no record's
            sequence, kind, _, number, key, value = frames.decode_body(body)
            if end is not None and sequence > end:
                return
            if expected is not None and sequence != expected:
                told.lost += max(0, sequence - expected)
                told.batches_lost += bool(batch)
                batch = []
            expected = sequence + 1
            if kind in (frames.BATCH_PUT, frames.BATCH_DELETE):
                batch.append((kind, number, key, bytes(value)))
            elif kind == frames.COMMIT:
                if number == len(batch):
                    yield made(batch)
                else:
                    told.batches_lost += 1
                batch = []
            elif kind in (frames.PUT, frames.DELETE):
                yield made([(kind, number, key, bytes(value))])


def made(changes: list[tuple[int, int, bytes, bytes]]) -> Batch:
    batch = Batch()
    for kind, number, key, value in changes:
        if kind in (frames.PUT, frames.BATCH_PUT):
            batch.put(key, value, number)
        else:
            batch.delete(key)
    return batch
