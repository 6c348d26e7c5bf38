"""The reserve: a file of zeros that is removed to make space for compaction when the disk is full."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Sequence
from typing import ParamSpec, TypeVar

from lichencleat.store import file_names
from lichencleat.store.disk import FileHandle
from lichencleat.store.log import DISK_FULL_ERRNOS, Log

RETRY_INTERVAL_US = 30_000_000  # time between two attempts to write the reserve
ZEROS = bytes(1 << 20)  # content of one write

P = ParamSpec("P")
R = TypeVar("R")


class Reserve:
    """Writes and releases the reserve; the last `step` or `abort` closes the reserve's file."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self.file: FileHandle | None = None  # open while the reserve is written
        self.last_attempt = -RETRY_INTERVAL_US  # µs: when the last attempt to write the reserve began
        self.held_bytes = 0  # size of the complete reserve, 0 if there is none

    def load(self, names: Sequence[str]) -> None:
        """Read the size of an existing reserve when the store opens; `names` are the directory's files."""
        if file_names.RESERVE in names:
            disk = self.log.disk
            file = disk.open(file_names.RESERVE)
            try:
                self.held_bytes = disk.size(file)
            finally:
                disk.close(file)

    def run_with_reserve(self, call: Callable[P, R], *args: P.args, **kwargs: P.kwargs) -> R:
        """Return the result of `call`; if the disk is full, release the reserve and call once more.

        Raises OSError if the last call failed.
        """
        try:
            return call(*args, **kwargs)
        except OSError as error:
            if error.errno not in DISK_FULL_ERRNOS or not self.release():
                raise
            return call(*args, **kwargs)

    def release(self) -> bool:
        """Remove the reserve's file to free its space; return whether there was a reserve."""
        if not self.held_bytes:
            return False
        self.held_bytes = 0
        with contextlib.suppress(OSError):
            self.log.disk.remove(file_names.RESERVE)
            self.log.disk.flush_directory()
        return True

    def is_missing(self) -> bool:
        """Whether the reserve is too small, and the next attempt to write the reserve is due."""
        limits = self.log.limits
        too_small = limits.keep_reserve and self.held_bytes < limits.reserve_bytes
        return too_small and self.log.time - self.last_attempt >= RETRY_INTERVAL_US

    def begin(self) -> None:
        """Create the reserve's file, empty; the next calls of `step` write the zeros. Raises OSError."""
        with contextlib.suppress(FileNotFoundError):
            self.log.disk.remove(file_names.RESERVE)
        self.last_attempt = self.log.time
        self.file = self.log.disk.open(file_names.RESERVE, create=True)

    def remaining_bytes(self) -> int:
        """Return the bytes of the reserve that are still to be written."""
        return self.log.limits.reserve_bytes - self.log.disk.size(self.file)

    def step(self, budget: int) -> None:
        """Write up to `budget` bytes of zeros; on a full disk, give up until the next attempt is due."""
        disk = self.log.disk
        try:
            remaining = self.remaining_bytes()
            disk.append(self.file, ZEROS[: min(remaining, budget)])
            if remaining > min(budget, len(ZEROS)):
                return
            disk.flush(self.file)
            disk.flush_directory()
        except OSError as error:
            if error.errno not in DISK_FULL_ERRNOS:
                raise
            self.abort()
        else:
            self.held_bytes = self.log.limits.reserve_bytes
            file, self.file = self.file, None
            disk.close(file)

    def abort(self) -> None:
        """Close and remove the file of an incomplete reserve, if there is one."""
        file, self.file = self.file, None
        if file is not None:
            self.log.disk.close(file)
            with contextlib.suppress(OSError):
                self.log.disk.remove(file_names.RESERVE)
