"""The store itself, one call at a time: opening, commits, the next piece of upkeep, closing; no reactor, no
thread of its own.

One thread writes (`commit`, `step`, `close`); any other may read meanwhile (`get`, `scan`, `snapshot`). Each
job has a module and an owner of its own: `log.py` the segments, `reads.py` reading, `room.py` the bounds,
`compactor.py`, `expiry_sweeper.py`, `checkpoint_writer.py` and `reserve.py` the upkeep, which `maintenance.py` chooses among.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable, Sequence

from lichencleat.store import framing, maintenance, recovery, segments
from lichencleat.store.batch import Batch
from lichencleat.store.capacity import CapacityCheck, StoreLimits
from lichencleat.store.checkpoint_writer import CheckpointWriter
from lichencleat.store.compactor import Compactor
from lichencleat.store.disk import Disk
from lichencleat.store.errors import CannotOpenError, ClosedError, CorruptDataError, StoreError
from lichencleat.store.expiry import ExpirySweeper
from lichencleat.store.log import Log, told
from lichencleat.store.reader import Reader
from lichencleat.store.reserve import Reserve
from lichencleat.store.segments import Record

STEP_BYTES = 256 << 10  # bytes that one step of upkeep reads or writes
CHECKPOINT_AT_CLOSE_BYTES = 1 << 20  # bytes of log since the last checkpoint that make closing write one


class Engine:
    def __init__(self, disk: Disk, clock: Callable[[], int], rng: random.Random, most: StoreLimits) -> None:
        self.disk, self.rng, self.most = disk, rng, most
        self.log = Log(disk, clock, rng, most)
        self.reads = Reader(self.log)
        self.reserve = Reserve(self.log)
        self.compactor = Compactor(self.log, self.reserve)
        self.checkpoint_writer = CheckpointWriter(self.log)
        self.expiry_sweeper = ExpirySweeper(self.log)
        self.compact_all = False  # cleaning goes on while there is any garbage
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
        most: StoreLimits | None = None,
        create: bool = False,
        where: str = "the directory",
    ) -> Engine:
        """Takes the lock, finds what is confirmed, makes sure that it stays so. Raises UnfitError,
        DamagedError, FullError.

        `clock` gives µs of Unix time and may go back; `rng` gives the salts of new files.
        """
        engine = cls(disk, clock, rng, most or StoreLimits())
        disk.lock()
        try:
            engine.start(create, where)
        except OSError as wrong:
            engine.release_resources()
            raise told(wrong) from wrong
        except BaseException:
            engine.release_resources()
            raise
        return engine

    def start(self, create: bool, where: str) -> None:
        log = self.log
        names = self.disk.names()
        if recovery.STORE not in names and create:
            self.check_empty(names, where)
            self.create(names)
            names = self.disk.names()
        recovery_scan = recovery.RecoveryScan(self.disk, where)
        try:
            recovery_scan.read()
            if recovery_scan.findings:
                raise CorruptDataError(recovery_scan.findings)
            log.store = recovery_scan.store
            log.time = max(log.clock(), recovery_scan.time)
            locations, sums = recovery_scan.entries(log.time)
            if recovery_scan.findings:
                raise CorruptDataError(recovery_scan.findings)
            carried = [Record(*each) for each in recovery_scan.carried()]
        except BaseException:
            recovery_scan.close()
            raise
        log.load(recovery_scan.segments)
        log.index.load(locations, sums)
        log.counts["torn bytes"] = recovery_scan.torn
        log.counts["records carried"] = len(carried)
        if recovery_scan.point is not None:
            self.checkpoint_writer.last = recovery_scan.point.sequence
        log.written = sum(
            each.size for each in recovery_scan.segments if each.last_sequence > self.checkpoint_writer.last
        )
        self.reserve.find(names)
        if (
            recovery_scan.unsealed()
        ):  # what was in doubt is written anew, in a segment named once all of it is flushed
            self.reserve.run_with_reserve(log.begin, carried)
        for name in recovery_scan.leftovers:  # only now: the segment that says they are gone is on the disk
            with contextlib.suppress(OSError):
                self.disk.remove(name)

    @staticmethod
    def check_empty(names: Sequence[str], where: str) -> None:
        """Guards what is not the store's own against being taken for the leftovers of one."""
        others = [each for each in names if each not in recovery.OWN and not recovery.is_segment(each)]
        if others:
            raise CannotOpenError(f"{where}: no store, and not empty ({others[0]}); name an empty directory")
        if any(recovery.is_segment(each) and each != segments.NAME.format(1) for each in names):
            raise CannotOpenError(
                f"{where}: segments without their file {recovery.STORE}; try 'store salvage'"
            )

    def create(self, names: Sequence[str]) -> None:
        """The mark is written last: a cut before it leaves a directory that is made anew."""
        log = self.log
        for name in names:
            self.disk.remove(name)
        log.store = self.rng.randbytes(framing.SALT)
        log.begin()
        file = self.disk.open(recovery.STORE_NEW, create=True)
        try:
            self.disk.append(file, framing.encode_file_header(framing.STORE_MAGIC, log.store))
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
        log.shed(sum(each.bytes + framing.MAX_FRAME_OVERHEAD_BYTES for each in batches))
        room = CapacityCheck(self.most, log.index, log.total(), log.needs_segment(), len(log.segments))
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
                len(each.key) + len(each.value) for each in records if each.kind != framing.COMMIT
            )
        return verdicts

    # -- upkeep ------------------------------------------------------------------------------------

    def facts(self) -> maintenance.MaintenanceState:
        log = self.log
        return maintenance.MaintenanceState(
            segments=log.sealed(),
            live_bytes=log.index.live_bytes,
            total=sum(each.size for each in log.segments.values()),
            max_bytes=self.most.max_disk_bytes,
            reserve=self.reserve.held if log.disk_full else self.most.reserve_bytes,
            segment_bytes=self.most.segment_bytes,
            bytes_since_checkpoint=self.checkpoint_writer.since(),
            entries=len(log.index),
            earliest_expiry=log.index.earliest_expiry,
            last_sweep_at=self.expiry_sweeper.ended,
            reserve_missing=self.reserve.missing(),
            disk_full=log.disk_full,
            compact_all=self.compact_all,
        )

    def step(self, budget: int = STEP_BYTES) -> int:
        """One bounded piece of upkeep, some `budget` bytes read and written. Bytes left of the job at hand,
        by and by 0: nothing is left to do.

        Raises StoreError where the disk fails; what was confirmed stays so, and a later step may go on.
        """
        if self.closed:
            return 0
        self.log.tick()
        try:
            if self.compactor.in_progress is not None:
                self.compactor.step(self.compactor.in_progress, budget)
            elif self.expiry_sweeper.cursor is not None:
                self.expiry_sweeper.step(self.expiry_sweeper.cursor)
            elif self.reserve.file is not None:
                self.reserve.step(budget)
            elif self.checkpoint_writer.in_progress is not None and not self.log.disk_full:
                self.checkpoint_writer.step(budget)
            else:
                job = maintenance.next_job(self.facts(), self.log.time)
                if job is None:
                    return 0
                self.begin_job(job)
            return self.left()
        except OSError as wrong:
            self.checkpoint_writer.failed()
            self.reserve.give_up()
            raise told(wrong) from wrong

    def left(self) -> int:
        """Bytes to read or write until the job at hand is done; 1 where there is one of another kind."""
        if self.compactor.in_progress is not None:
            return max(1, self.compactor.left(self.compactor.in_progress))
        if self.reserve.file is not None:
            return max(1, self.reserve.left())
        in_progress = self.checkpoint_writer.in_progress is not None and not self.log.disk_full
        if self.expiry_sweeper.cursor is not None or in_progress:
            return max(1, self.log.index.memory)
        return int(maintenance.next_job(self.facts(), self.log.time) is not None)

    def compact_everything(self) -> None:
        """Every sealed segment with garbage is worth cleaning until none is left: for `store compact
        --all`.
        """
        self.compact_all = True

    def begin_job(self, job: maintenance.MaintenanceJob) -> None:
        if job is maintenance.MaintenanceJob.CLEAN:
            self.compactor.begin(maintenance.pick_segment(self.facts()))
        elif job is maintenance.MaintenanceJob.SWEEP:
            self.expiry_sweeper.begin()
        elif job is maintenance.MaintenanceJob.POINT:
            self.checkpoint_writer.begin()
        elif job is maintenance.MaintenanceJob.RESERVE:
            self.reserve.begin()

    # -- ending ------------------------------------------------------------------------------------

    def close(self) -> None:
        """Proves the tail by a last mark, writes a checkpoint where one saves time, gives everything back."""
        if self.closed:
            return
        log = self.log
        try:
            with contextlib.suppress(StoreError):
                if log.active is not None and log.active.size > log.active.data_start:
                    log.tick()
                    log.write([])
                if self.checkpoint_writer.since() > CHECKPOINT_AT_CLOSE_BYTES and not log.disk_full:
                    self.checkpoint_writer.give_up()
                    self.checkpoint_writer.begin()
                    while self.checkpoint_writer.in_progress is not None:
                        self.checkpoint_writer.step(STEP_BYTES)
        except OSError:
            log.counts["writes failed"] += 1  # both only save time at the next start
        finally:
            self.release_resources()

    def release_resources(self) -> None:
        with self.log.guard:
            self.closed = self.reads.closed = True
            self.log.release_resources()
        self.checkpoint_writer.give_up()
        self.reserve.give_up()
        self.disk.unlock()

    def stat(self) -> dict[str, int]:
        """Sizes now and counts since the start; docs/operate-store.md says what each means. From any
        thread.
        """
        log = self.log
        with log.guard:
            held, live_bytes = list(log.segments.values()), dict(log.index.live_bytes)
            return {
                "entries": len(log.index),
                "bytes in memory": log.index.memory,
                "segments": len(held),
                "bytes on disk": sum(each.size + each.void_bytes for each in held),
                "bytes live": sum(live_bytes.values()),
                "bytes of tombstones": sum(each.tombstone_bytes for each in held),
                "bytes of garbage": sum(maintenance.garbage(each, live_bytes) for each in held),
                "bytes of the reserve": self.reserve.held,
                "last sequence": log.sequence,
                "last checkpoint": self.checkpoint_writer.last,
                "snapshots": len(log.pins),
                **log.counts,
            }
