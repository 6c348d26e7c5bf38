"""Engine: the store with blocking calls, independent of a reactor. It starts no threads.

One thread writes (`commit`, `step`, `close`); other threads may read at the same time (`get`, `scan`,
`snapshot`). The engine combines modules of one task each: `log.py` for the segments, `reader.py` for reads,
`capacity.py` for the limits, and for maintenance `compactor.py`, `expiry.py`, `checkpoint_writer.py` and
`reserve.py`, whose jobs `maintenance.py` selects.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable, Sequence

from lichencleat.store import file_names, framing, maintenance
from lichencleat.store.batch import Batch
from lichencleat.store.capacity import CapacityCheck, StoreLimits
from lichencleat.store.checkpoint_writer import CheckpointWriter
from lichencleat.store.compactor import Compactor
from lichencleat.store.creation import check_empty, create_store
from lichencleat.store.disk import Disk
from lichencleat.store.errors import ClosedError, CorruptDataError, StoreError
from lichencleat.store.expiry import ExpirySweeper
from lichencleat.store.log import Log, to_store_error
from lichencleat.store.maintenance import MaintenanceJob, MaintenanceState
from lichencleat.store.reader import Reader
from lichencleat.store.recovery import RecoveryScan
from lichencleat.store.replay import Replay
from lichencleat.store.reserve import Reserve
from lichencleat.store.segments import Record

STEP_BYTES = 256 << 10  # bytes that one step of maintenance reads and writes
CHECKPOINT_AT_CLOSE_BYTES = 1 << 20  # bytes of log after a checkpoint, above which `close` writes a new one


class Engine:
    """An open store, from `open` until `close`."""

    def __init__(self, disk: Disk, clock: Callable[[], int], rng: random.Random, limits: StoreLimits) -> None:
        self.disk = disk
        self.limits = limits
        self.log = Log(disk, clock, rng, limits)
        self.reader = Reader(self.log)
        self.reserve = Reserve(self.log)
        self.compactor = Compactor(self.log, self.reserve)
        self.checkpoint_writer = CheckpointWriter(self.log)
        self.expiry_sweeper = ExpirySweeper(self.log)
        self.compact_all = False  # whether `compact_everything` was called
        self.closed = False
        self.get = self.reader.get
        self.scan = self.reader.scan
        self.chunk = self.reader.chunk
        self.snapshot = self.reader.snapshot
        self.release = self.reader.release

    # -- opening -----------------------------------------------------------------------------------

    @classmethod
    def open(
        cls,
        disk: Disk,
        clock: Callable[[], int],
        rng: random.Random,
        limits: StoreLimits | None = None,
        create: bool = False,
        directory: str = "the directory",
    ) -> Engine:
        """Lock the directory and recover all confirmed records.

        Records at the log's end that are intact but not known to be flushed are kept and written again.

        Args:
            disk: The directory.
            clock: Returns µs of Unix time; it may step back.
            rng: Source of the salts of new files.
            limits: Limits on the store's size.
            create: Whether to create a store if the directory is empty.
            directory: The directory's name in errors.

        Raises:
            CannotOpenError: If the directory is not a store, has a newer format, or is in use.
            CorruptDataError: If confirmed records can't be read.
            FullError: If the disk has no space for the records that recovery has to write.
            NotConfirmedError: If the disk failed.
        """
        engine = cls(disk, clock, rng, limits or StoreLimits())
        disk.lock()
        try:
            engine._start(create, directory)
        except OSError as error:
            engine.release_resources()
            raise to_store_error(error) from error
        except BaseException:
            engine.release_resources()
            raise
        return engine

    def _start(self, create: bool, directory: str) -> None:
        names = self.disk.names()
        if create and file_names.STORE_MARKER not in names:
            check_empty(names, directory)
            create_store(self.log, names)
            names = self.disk.names()
        scan = RecoveryScan(self.disk, directory)
        try:
            unproved_records = self._recover(scan)
        except BaseException:
            scan.close()
            raise
        self._load_log(scan, unproved_records)
        self.reserve.load(names)
        if scan.must_rewrite_tail():
            # The rewritten records go to a new segment, which is renamed once all of them are flushed.
            self.reserve.run_with_reserve(self.log.begin, unproved_records)
        for name in scan.obsolete_files:  # after the rewrite, which makes the removal of segments durable
            with contextlib.suppress(OSError):
                self.disk.remove(name)

    def _recover(self, scan: RecoveryScan) -> list[Record]:
        """Load the confirmed records into the index.

        Returns the records that are not known to be flushed, which have to be written again.
        """
        log = self.log
        scan.read()
        if scan.findings:
            raise CorruptDataError(scan.findings)
        log.store = scan.store
        log.time = max(log.clock(), scan.time)
        replay = Replay(self.disk, scan.segments, scan.checkpoint, scan.findings)
        locations, totals = replay.build_index(log.time)
        if scan.findings:
            raise CorruptDataError(scan.findings)
        if replay.checkpoint is not None:
            self.checkpoint_writer.last_sequence = replay.checkpoint.sequence
        unproved_records = scan.unproved_records()
        log.index.load(locations, totals)
        return unproved_records

    def _load_log(self, scan: RecoveryScan, unproved_records: Sequence[Record]) -> None:
        log = self.log
        log.load(scan.segments)
        log.counts["torn bytes"] = scan.torn_bytes
        log.counts["records carried"] = len(unproved_records)
        covered = self.checkpoint_writer.last_sequence
        log.bytes_written = sum(each.size for each in scan.segments if each.last_sequence > covered)

    # -- writing -----------------------------------------------------------------------------------

    def commit(self, batches: Sequence[Batch]) -> list[StoreError | None]:
        """Write and flush all batches that fit the limits.

        Returns for each batch None if the batch is confirmed, or else an error.
        """
        if self.closed:
            return [ClosedError()] * len(batches)
        log = self.log
        log.tick()
        errors = self._check_capacity(batches)
        records: list[Record] = []
        for batch, rejection in zip(batches, errors, strict=True):
            if rejection is None and batch.changes:
                records += batch.to_records()
        if records:
            write_error = log.write(records)
            if write_error is not None:
                return [error or write_error for error in errors]
            log.counts["commits"] += 1
            log.counts["bytes asked for"] += sum(
                len(each.key) + len(each.value) for each in records if each.kind != framing.COMMIT
            )
        return errors

    def _check_capacity(self, batches: Sequence[Batch]) -> list[StoreError | None]:
        log = self.log
        log.end_snapshots_for(sum(each.bytes + framing.MAX_FRAME_OVERHEAD_BYTES for each in batches))
        check = CapacityCheck(
            self.limits, log.index, log.total_bytes(), log.needs_segment(), len(log.segments)
        )
        check.expect(sum(len(each.changes) for each in batches), sum(each.bytes for each in batches))
        return [check.admit(each) for each in batches]

    # -- maintenance -------------------------------------------------------------------------------

    def step(self, budget: int = STEP_BYTES) -> int:
        """Do one bounded step of maintenance, which reads and writes about `budget` bytes.

        Returns the estimated bytes left of the current maintenance job, or 0 if no job is due.

        Raises:
            StoreError: If the disk fails; confirmed records stay confirmed, and a later step may succeed.
        """
        if self.closed:
            return 0
        self.log.tick()
        try:
            if not self._step_current_job(budget):
                job = maintenance.next_job(self._maintenance_state(), self.log.time)
                if job is None:
                    return 0
                self._begin_job(job)
            return self._remaining_bytes()
        except OSError as error:
            self.checkpoint_writer.on_disk_failed()
            self.reserve.abort()
            raise to_store_error(error) from error

    def _step_current_job(self, budget: int) -> bool:
        """Continue the current maintenance job; return whether there was a job."""
        if self.compactor.in_progress is not None:
            self.compactor.step(self.compactor.in_progress, budget)
        elif self.expiry_sweeper.cursor is not None:
            self.expiry_sweeper.step(self.expiry_sweeper.cursor)
        elif self.reserve.file is not None:
            self.reserve.step(budget)
        elif self.checkpoint_writer.in_progress is not None and not self.log.disk_full:
            self.checkpoint_writer.step(budget)
        else:
            return False
        return True

    def _begin_job(self, job: MaintenanceJob) -> None:
        match job:
            case MaintenanceJob.COMPACT:
                self.compactor.begin(maintenance.pick_compaction_victim(self._maintenance_state()))
            case MaintenanceJob.SWEEP_EXPIRED:
                self.expiry_sweeper.begin()
            case MaintenanceJob.CHECKPOINT:
                self.checkpoint_writer.begin()
            case MaintenanceJob.RENEW_RESERVE:
                self.reserve.begin()

    def _remaining_bytes(self) -> int:
        """Return the estimated bytes left of the current job; without one, 1 if a job is due, else 0."""
        if self.compactor.in_progress is not None:
            return max(1, self.compactor.in_progress.remaining_bytes)
        if self.reserve.file is not None:
            return max(1, self.reserve.remaining_bytes())
        writes_checkpoint = self.checkpoint_writer.in_progress is not None and not self.log.disk_full
        if self.expiry_sweeper.cursor is not None or writes_checkpoint:
            return max(1, self.log.index.memory_bytes)
        return int(maintenance.next_job(self._maintenance_state(), self.log.time) is not None)

    def _maintenance_state(self) -> MaintenanceState:
        log = self.log
        return MaintenanceState(
            segments=log.sealed(),
            live_bytes=log.index.live_bytes,
            total_bytes=sum(each.size for each in log.segments.values()),
            max_bytes=self.limits.max_disk_bytes,
            reserve_bytes=self.reserve.held_bytes if log.disk_full else self.limits.reserve_bytes,
            segment_bytes=self.limits.segment_bytes,
            bytes_since_checkpoint=self.checkpoint_writer.bytes_since_last(),
            entry_count=len(log.index),
            earliest_expiry=log.index.earliest_expiry,
            last_sweep_at=self.expiry_sweeper.ended_at,
            reserve_missing=self.reserve.is_missing(),
            disk_full=log.disk_full,
            compact_all=self.compact_all,
        )

    def compact_everything(self) -> None:
        """Compact even segments with little garbage, as under disk pressure; for `store compact --all`."""
        self.compact_all = True

    # -- shutdown ----------------------------------------------------------------------------------

    def close(self) -> None:
        """Write a last time mark and, if needed, a checkpoint; close all files and unlock the directory.

        The time mark, a log record with the current time, shows the next opening that all earlier records
        were flushed.
        """
        if self.closed:
            return
        try:
            with contextlib.suppress(StoreError):
                self._save_time_at_next_start()
        except OSError:
            # The time mark and the checkpoint only make the next opening faster, so the caller gets no error.
            self.log.counts["writes failed"] += 1
        finally:
            self.release_resources()

    def _save_time_at_next_start(self) -> None:
        log, writer = self.log, self.checkpoint_writer
        if log.active is not None and log.active.size > log.active.data_start:
            log.tick()
            log.write([])
        if writer.bytes_since_last() > CHECKPOINT_AT_CLOSE_BYTES and not log.disk_full:
            writer.abort()
            writer.begin()
            while writer.in_progress is not None:
                writer.step(STEP_BYTES)

    def release_resources(self) -> None:
        """Close all files and unlock the directory, without writing a time mark or a checkpoint."""
        with self.log.lock:
            self.closed = True
            self.reader.closed = True
            self.log.release_resources()
        self.checkpoint_writer.abort()
        self.reserve.abort()
        self.disk.unlock()

    def stat(self) -> dict[str, int]:
        """Return the current sizes, and counts since the opening; docs/operate-store.md explains each figure.

        Any thread may call this method.
        """
        log = self.log
        with log.lock:
            segments, live_bytes = list(log.segments.values()), dict(log.index.live_bytes)
            return {
                "entries": len(log.index),
                "bytes in memory": log.index.memory_bytes,
                "segments": len(segments),
                "bytes on disk": sum(each.size + each.void_bytes for each in segments),
                "bytes live": sum(live_bytes.values()),
                "bytes of tombstones": sum(each.tombstone_bytes for each in segments),
                "bytes of garbage": sum(maintenance.garbage_bytes(each, live_bytes) for each in segments),
                "bytes of the reserve": self.reserve.held_bytes,
                "last sequence": log.sequence,
                "last checkpoint": self.checkpoint_writer.last_sequence,
                "snapshots": len(log.pins),
                **log.counts,
            }
