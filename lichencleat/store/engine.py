"""The store itself, one call at a time: opening, commits, the next piece of upkeep, closing; no reactor, no
thread of its own.

One thread writes (`commit`, `step`, `close`); any other may read meanwhile (`get`, `scan`, `snapshot`). Each
job has a module and an owner of its own: `log.py` the segments, `reads.py` reading, `room.py` the bounds,
`cleaner.py`, `sweeps.py`, `points.py` and `reserve.py` the upkeep, which `upkeep.py` chooses among.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable, Sequence

from lichencleat.store import frames, recovery, segments, upkeep
from lichencleat.store.batch import Batch
from lichencleat.store.cleaner import Cleaner
from lichencleat.store.disk import Disk
from lichencleat.store.errors import ClosedError, DamagedError, StoreError, UnfitError
from lichencleat.store.log import Log, told
from lichencleat.store.points import Points
from lichencleat.store.reads import Reads
from lichencleat.store.reserve import Reserve
from lichencleat.store.room import Bounds, Room
from lichencleat.store.segments import Record
from lichencleat.store.sweeps import Sweeps

STEP = 256 << 10  # bytes that one step of upkeep reads or writes
POINT_AT_CLOSE = 1 << 20  # bytes of log since the last checkpoint that make closing write one


class Engine:
    def __init__(self, disk: Disk, clock: Callable[[], int], rng: random.Random, most: Bounds) -> None:
        self.disk, self.rng, self.most = disk, rng, most
        self.log = Log(disk, clock, rng, most)
        self.reads = Reads(self.log)
        self.reserve = Reserve(self.log)
        self.cleaner = Cleaner(self.log, self.reserve)
        self.points = Points(self.log)
        self.sweeps = Sweeps(self.log)
        self.thorough = False  # cleaning goes on while there is any garbage
        self.closed = False
        self.get, self.scan, self.chunk = self.reads.get, self.reads.scan, self.reads.chunk
        self.snapshot, self.release = self.reads.snapshot, self.reads.release

    # -- opening -----------------------------------------------------------------------------------

    @classmethod
    def open(
        cls,
        disk: Disk,
        clock: Callable[[], int],
        rng: random.Random,
        most: Bounds | None = None,
        create: bool = False,
        where: str = "the directory",
    ) -> Engine:
        """Takes the lock, finds what is confirmed, makes sure that it stays so. Raises UnfitError,
        DamagedError, FullError.

        `clock` gives µs of Unix time and may go back; `rng` gives the salts of new files.
        """
        engine = cls(disk, clock, rng, most or Bounds())
        disk.lock()
        try:
            engine.start(create, where)
        except OSError as wrong:
            engine.give_back()
            raise told(wrong) from wrong
        except BaseException:
            engine.give_back()
            raise
        return engine

    def start(self, create: bool, where: str) -> None:
        log = self.log
        names = self.disk.names()
        if recovery.STORE not in names and create:
            self.check_empty(names, where)
            self.create(names)
            names = self.disk.names()
        survey = recovery.Survey(self.disk, where)
        try:
            survey.read()
            if survey.findings:
                raise DamagedError(survey.findings)
            log.store = survey.store
            log.time = max(log.clock(), survey.time)
            places, sums = survey.entries(log.time)
            if survey.findings:
                raise DamagedError(survey.findings)
            carried = [Record(*each) for each in survey.carried()]
        except BaseException:
            survey.close()
            raise
        log.load(survey.segments)
        log.index.load(places, sums)
        log.counts["torn bytes"] = survey.torn
        log.counts["records carried"] = len(carried)
        if survey.point is not None:
            self.points.last = survey.point.sequence
        log.written = sum(each.size for each in survey.segments if each.end > self.points.last)
        self.reserve.find(names)
        if (
            survey.unsealed()
        ):  # what was in doubt is written anew, in a segment named once all of it is flushed
            self.reserve.lend(log.begin, carried)
        for name in survey.leftovers:  # only now: the segment that says they are gone is on the disk
            with contextlib.suppress(OSError):
                self.disk.remove(name)

    @staticmethod
    def check_empty(names: Sequence[str], where: str) -> None:
        """Guards what is not the store's own against being taken for the leftovers of one."""
        others = [each for each in names if each not in recovery.OWN and not recovery.is_segment(each)]
        if others:
            raise UnfitError(f"{where}: no store, and not empty ({others[0]}); name an empty directory")
        if any(recovery.is_segment(each) and each != segments.NAME.format(1) for each in names):
            raise UnfitError(f"{where}: segments without their file {recovery.STORE}; try 'store salvage'")

    def create(self, names: Sequence[str]) -> None:
        """The mark is written last: a cut before it leaves a directory that is made anew."""
        log = self.log
        for name in names:
            self.disk.remove(name)
        log.store = self.rng.randbytes(frames.SALT)
        log.begin()
        file = self.disk.open(recovery.STORE_NEW, create=True)
        try:
            self.disk.append(file, frames.file_head(frames.STORE_MAGIC, log.store))
            self.disk.flush(file)
        finally:
            self.disk.close(file)
        self.disk.rename(recovery.STORE_NEW, recovery.STORE)
        self.disk.flush_directory()
        for segment in log.segments.values():
            self.disk.close(segment.file)
        log.segments, log.active = {}, None

    # -- writing -----------------------------------------------------------------------------------

    def commit(self, batches: Sequence[Batch]) -> list[StoreError | None]:
        """Writes and flushes all batches that fit the bounds; for each None (it is confirmed) or why not."""
        if self.closed:
            return [ClosedError("the store is closed")] * len(batches)
        log = self.log
        log.tick()
        log.shed(sum(each.bytes + frames.FRAME_EXTRA for each in batches))
        room = Room(self.most, log.index, log.total(), log.needs_segment(), len(log.segments))
        room.asked(sum(len(each.changes) for each in batches), sum(each.bytes for each in batches))
        verdicts: list[StoreError | None] = []
        records: list[Record] = []
        for batch in batches:
            refused = room.take(batch)
            verdicts.append(refused)
            if refused is None and batch.changes:
                records += batch.records()
        if records:
            failed = log.write(records)
            if failed is not None:
                return [verdict or failed for verdict in verdicts]
            log.counts["commits"] += 1
            log.counts["bytes asked for"] += sum(
                len(each.key) + len(each.value) for each in records if each.kind != frames.COMMIT
            )
        return verdicts

    # -- upkeep ------------------------------------------------------------------------------------

    def facts(self) -> upkeep.Facts:
        log = self.log
        return upkeep.Facts(
            segments=log.sealed(),
            live=log.index.live,
            total=sum(each.size for each in log.segments.values()),
            bytes_most=self.most.disk_bytes,
            reserve=self.reserve.held if log.disk_full else self.most.reserve_bytes,
            segment_bytes=self.most.segment_bytes,
            since_point=self.points.since(),
            entries=len(log.index),
            earliest=log.index.earliest,
            swept=self.sweeps.ended,
            reserve_missing=self.reserve.missing(),
            disk_full=log.disk_full,
            thorough=self.thorough,
        )

    def step(self, budget: int = STEP) -> int:
        """One bounded piece of upkeep, some `budget` bytes read and written. Bytes left of the job at hand,
        by and by 0: nothing is left to do.

        Raises StoreError where the disk fails; what was confirmed stays so, and a later step may go on.
        """
        if self.closed:
            return 0
        self.log.tick()
        try:
            if self.cleaner.cleaning is not None:
                self.cleaner.step(self.cleaner.cleaning, budget)
            elif self.sweeps.cursor is not None:
                self.sweeps.step(self.sweeps.cursor)
            elif self.reserve.file is not None:
                self.reserve.step(budget)
            elif self.points.pointing is not None and not self.log.disk_full:
                self.points.step(budget)
            else:
                job = upkeep.next_job(self.facts(), self.log.time)
                if job is None:
                    return 0
                self.take_up(job)
            return self.left()
        except OSError as wrong:
            self.points.failed()
            self.reserve.give_up()
            raise told(wrong) from wrong

    def left(self) -> int:
        """Bytes to read or write until the job at hand is done; 1 where there is one of another kind."""
        if self.cleaner.cleaning is not None:
            return max(1, self.cleaner.left(self.cleaner.cleaning))
        if self.reserve.file is not None:
            return max(1, self.reserve.left())
        pointing = self.points.pointing is not None and not self.log.disk_full
        if self.sweeps.cursor is not None or pointing:
            return max(1, self.log.index.memory)
        return int(upkeep.next_job(self.facts(), self.log.time) is not None)

    def clean_all(self) -> None:
        """Every sealed segment with garbage is worth cleaning until none is left: for `store compact
        --all`.
        """
        self.thorough = True

    def take_up(self, job: upkeep.Job) -> None:
        if job is upkeep.Job.CLEAN:
            self.cleaner.begin(upkeep.victim(self.facts()))
        elif job is upkeep.Job.SWEEP:
            self.sweeps.begin()
        elif job is upkeep.Job.POINT:
            self.points.begin()
        elif job is upkeep.Job.RESERVE:
            self.reserve.begin()

    # -- ending ------------------------------------------------------------------------------------

    def close(self) -> None:
        """Proves the tail by a last mark, writes a checkpoint where one saves time, gives everything back."""
        if self.closed:
            return
        log = self.log
        try:
            with contextlib.suppress(StoreError):
                if log.active is not None and log.active.size > log.active.start:
                    log.tick()
                    log.write([])
                if self.points.since() > POINT_AT_CLOSE and not log.disk_full:
                    self.points.give_up()
                    self.points.begin()
                    while self.points.pointing is not None:
                        self.points.step(STEP)
        except OSError:
            log.counts["writes failed"] += 1  # both only save time at the next start
        finally:
            self.give_back()

    def give_back(self) -> None:
        with self.log.guard:
            self.closed = self.reads.closed = True
            self.log.give_back()
        self.points.give_up()
        self.reserve.give_up()
        self.disk.unlock()

    def stat(self) -> dict[str, int]:
        """Sizes now and counts since the start; docs/operate-store.md says what each means. From any
        thread.
        """
        log = self.log
        with log.guard:
            held, live = list(log.segments.values()), dict(log.index.live)
            return {
                "entries": len(log.index),
                "bytes in memory": log.index.memory,
                "segments": len(held),
                "bytes on disk": sum(each.size + each.waste for each in held),
                "bytes live": sum(live.values()),
                "bytes of tombstones": sum(each.tombs for each in held),
                "bytes of garbage": sum(upkeep.garbage(each, live) for each in held),
                "bytes of the reserve": self.reserve.held,
                "last sequence": log.sequence,
                "last checkpoint": self.points.last,
                "snapshots": len(log.pins),
                **log.counts,
            }
