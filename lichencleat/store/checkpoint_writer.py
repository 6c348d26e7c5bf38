"""Checkpoints on their way to the disk: begun from a snapshot, written row by row, named once flushed."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from typing import Any

from lichencleat.store import checkpoint, framing
from lichencleat.store.index import Snapshot
from lichencleat.store.log import Log


@dataclass(slots=True)
class CheckpointInProgress:
    """A checkpoint on its way to the disk."""

    snapshot: Snapshot
    writer: checkpoint.Writer
    file: Any
    cursor: bytes
    mark: int  # bytes of log that had been written when it began


class CheckpointWriter:
    """Owns the checkpoint under way; its file and snapshot are given back in `give_up` alone."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self.in_progress: CheckpointInProgress | None = None
        self.mark = 0  # of the bytes of log written, those before the last checkpoint
        self.last = 0  # sequence that the last checkpoint covers

    def since(self) -> int:
        """Bytes of log since the last checkpoint: what a start would have to read again."""
        return self.log.written - self.mark

    def begin(self) -> None:
        """Begins a checkpoint, unless one is under way; the next steps write it. Raises OSError."""
        if self.in_progress is not None:
            return
        log = self.log
        newest = log.newest()
        with contextlib.suppress(FileNotFoundError):
            log.disk.remove(checkpoint.NEW)
        writer = checkpoint.Writer(log.rng.randbytes(framing.SALT))
        file = log.disk.open(checkpoint.NEW, create=True)
        with log.guard:
            snapshot = log.index.snapshot(log.sequence)
            tombstone_bytes = [(each.number, each.tombstone_bytes) for each in log.segments.values()]
        self.in_progress = CheckpointInProgress(snapshot, writer, file, b"", log.written)
        log.disk.append(
            file,
            writer.begin(log.store, log.sequence, log.time, (newest.number, newest.size), tombstone_bytes),
        )

    def step(self, budget: int) -> None:
        """Writes the next rows; at the end the file is flushed and takes its name."""
        in_progress = self.in_progress
        assert in_progress is not None
        spent = 0
        while spent < budget:
            with self.log.guard:
                rows = in_progress.snapshot.chunk(in_progress.cursor, b"", checkpoint.ROWS_PER_FRAME)
            if not in_progress.snapshot.is_open:
                self.give_up()  # more was changed meanwhile than the undo list may hold
                return
            if not rows:
                self.end(in_progress)
                return
            data = in_progress.writer.rows(rows)
            self.log.disk.append(in_progress.file, data)
            spent += len(data)
            in_progress.cursor = rows[-1][0] + b"\0"

    def end(self, in_progress: CheckpointInProgress) -> None:
        disk, counts = self.log.disk, self.log.counts
        disk.append(in_progress.file, in_progress.writer.end())
        disk.flush(in_progress.file)
        disk.rename(checkpoint.NEW, checkpoint.NAME)
        disk.flush_directory()
        self.mark = in_progress.mark
        self.last = in_progress.snapshot.sequence
        counts["checkpoints"] += 1
        counts["bytes written"] += in_progress.writer.size
        self.give_up()

    def failed(self) -> None:
        """The disk failed under it: tried again after as much log, not at once."""
        if self.in_progress is not None:
            self.mark = self.log.written
            self.give_up()

    def give_up(self) -> None:
        in_progress, self.in_progress = self.in_progress, None
        if in_progress is not None:
            with self.log.guard:
                in_progress.snapshot.close()
            self.log.disk.close(in_progress.file)
            with contextlib.suppress(OSError):
                self.log.disk.remove(checkpoint.NEW)
