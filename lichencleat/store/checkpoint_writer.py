"""Checkpoint writer: writes a checkpoint of a snapshot in steps and renames the file once it is flushed."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass

from lichencleat.store import checkpoint, file_names, framing
from lichencleat.store.disk import FileHandle
from lichencleat.store.index import Snapshot
from lichencleat.store.log import Log


@dataclass(slots=True)
class CheckpointInProgress:
    """A checkpoint that is being written."""

    snapshot: Snapshot
    encoder: checkpoint.CheckpointEncoder
    file: FileHandle
    cursor: bytes  # the key from which the next rows are read
    log_position: int  # `Log.bytes_written` when the checkpoint began


class CheckpointWriter:
    """Writes checkpoints, at most one at a time.

    Every checkpoint, also a complete one, ends with `abort`, which closes the checkpoint's file and snapshot.
    """

    def __init__(self, log: Log) -> None:
        self.log = log
        self.in_progress: CheckpointInProgress | None = None
        self.log_position = 0  # `Log.bytes_written` when the last complete checkpoint began
        self.last_sequence = 0  # sequence of the last log record that the last checkpoint covers

    def bytes_since_last(self) -> int:
        """Return the bytes of log since the last checkpoint, which opening the store would replay."""
        return self.log.bytes_written - self.log_position

    def begin(self) -> None:
        """Begin a checkpoint, unless one is in progress; the next calls of `step` write the rows.

        Raises OSError.
        """
        if self.in_progress is not None:
            return
        log = self.log
        newest = log.newest()
        with contextlib.suppress(FileNotFoundError):
            log.disk.remove(file_names.NEW_CHECKPOINT)
        encoder = checkpoint.CheckpointEncoder(log.rng.randbytes(framing.SALT_BYTES))
        file = log.disk.open(file_names.NEW_CHECKPOINT, create=True)
        with log.lock:
            snapshot = log.index.snapshot(log.sequence)
            tombstones = [(each.number, each.tombstone_bytes) for each in log.segments.values()]
        self.in_progress = CheckpointInProgress(snapshot, encoder, file, b"", log.bytes_written)
        header = checkpoint.CheckpointHeader(
            log.store, log.sequence, log.time, newest.number, newest.size, tombstones
        )
        log.disk.append(file, encoder.encode_header(header))

    def step(self, budget: int) -> None:
        """Write about `budget` bytes of rows; complete the checkpoint after the last row. Raises OSError."""
        current = self.in_progress
        assert current is not None
        written = 0
        while written < budget:
            with self.log.lock:
                rows = current.snapshot.chunk(current.cursor, b"", checkpoint.ROWS_PER_FRAME)
            if not current.snapshot.is_open:
                self.abort()  # the snapshot has ended: too many keys changed since the checkpoint began
                return
            if not rows:
                self._finish(current)
                return
            data = current.encoder.encode_rows(rows)
            self.log.disk.append(current.file, data)
            written += len(data)
            current.cursor = rows[-1][0] + b"\0"

    def _finish(self, current: CheckpointInProgress) -> None:
        disk, counts = self.log.disk, self.log.counts
        disk.append(current.file, current.encoder.encode_count())
        disk.flush(current.file)
        disk.rename(file_names.NEW_CHECKPOINT, file_names.CHECKPOINT)
        disk.flush_directory()
        self.log_position = current.log_position
        self.last_sequence = current.snapshot.sequence
        counts["checkpoints"] += 1
        counts["bytes written"] += current.encoder.size
        self.abort()

    def on_disk_failed(self) -> None:
        """Abort the checkpoint after a disk error; the next checkpoint waits for another interval of log."""
        if self.in_progress is not None:
            self.log_position = self.log.bytes_written
            self.abort()

    def abort(self) -> None:
        """End the checkpoint in progress, if any: close its snapshot and file, remove the temporary file."""
        current, self.in_progress = self.in_progress, None
        if current is not None:
            with self.log.lock:
                current.snapshot.close()
            self.log.disk.close(current.file)
            with contextlib.suppress(OSError):
                self.log.disk.remove(file_names.NEW_CHECKPOINT)
