"""The reserve: a file of zeros whose space compaction uses when the disk itself is full."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Sequence
from typing import ParamSpec, TypeVar

from lichencleat.store import file_names
from lichencleat.store.disk import FileHandle
from lichencleat.store.log import DISK_FULL, Log

RETRY_INTERVAL_US = 30_000_000  # between attempts to take the space again
ZEROS = bytes(1 << 20)  # written piece by piece

P = ParamSpec("P")
R = TypeVar("R")


class Reserve:
    """Owns the reserve's file while that is written; closed at the end of `step` or in `abort`."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self.file: FileHandle | None = None  # while it is being written
        self.last_attempt = -RETRY_INTERVAL_US  # µs: when writing began last
        self.held_bytes = 0  # of the file that gives its space when the disk is full

    def load(self, names: Sequence[str]) -> None:
        """At a start: find what an earlier process has left of it among the directory's files."""
        if file_names.RESERVE in names:
            disk = self.log.disk
            file = disk.open(file_names.RESERVE)
            try:
                self.held_bytes = disk.size(file)
            finally:
                disk.close(file)

    def run_with_reserve(self, call: Callable[P, R], *args: P.args, **kwargs: P.kwargs) -> R:
        """Make the call; where it finds the disk full, once more with the reserve's space. Raises OSError."""
        try:
            return call(*args, **kwargs)
        except OSError as error:
            if error.errno not in DISK_FULL or not self.release():
                raise
            return call(*args, **kwargs)

    def release(self) -> bool:
        """Give the space back to the disk; returns whether there was any."""
        if not self.held_bytes:
            return False
        self.held_bytes = 0
        with contextlib.suppress(OSError):
            self.log.disk.remove(file_names.RESERVE)
            self.log.disk.flush_directory()
        return True

    def is_missing(self) -> bool:
        """Whether it is time to take the space again."""
        limits = self.log.limits
        too_small = limits.keep_reserve and self.held_bytes < limits.reserve_bytes
        return too_small and self.log.time - self.last_attempt >= RETRY_INTERVAL_US

    def begin(self) -> None:
        """Begin to write the file; the next steps go on. Raises OSError."""
        with contextlib.suppress(FileNotFoundError):
            self.log.disk.remove(file_names.RESERVE)
        self.last_attempt = self.log.time
        self.file = self.log.disk.open(file_names.RESERVE, create=True)

    def remaining_bytes(self) -> int:
        """Bytes still to be written."""
        return self.log.limits.reserve_bytes - self.log.disk.size(self.file)

    def step(self, budget: int) -> None:
        """Write up to `budget` bytes of zeros; without space the reserve stays missing for a while."""
        disk = self.log.disk
        try:
            remaining = self.remaining_bytes()
            disk.append(self.file, ZEROS[: min(remaining, budget)])
            if remaining > min(budget, len(ZEROS)):
                return
            disk.flush(self.file)
            disk.flush_directory()
        except OSError as error:
            if error.errno not in DISK_FULL:
                raise
            self.abort()
        else:
            self.held_bytes = self.log.limits.reserve_bytes
            file, self.file = self.file, None
            disk.close(file)

    def abort(self) -> None:
        """Close and remove a file that is not complete."""
        file, self.file = self.file, None
        if file is not None:
            self.log.disk.close(file)
            with contextlib.suppress(OSError):
                self.log.disk.remove(file_names.RESERVE)
