"""The reserve: a file of zeros whose room is cleaning's when the disk itself is full."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Sequence
from typing import Any

from lichencleat.store import recovery
from lichencleat.store.log import DISK_FULL, Log

RETRY_INTERVAL_US = 30_000_000  # µs between tries to take the room again
ZEROS = bytes(1 << 20)  # what it is written with, a piece at a time


class Reserve:
    """Owns the reserve's file while that is written; given back at the end of `step` or in `give_up`."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self.file: Any = None  # while it is being written
        self.tried = -RETRY_INTERVAL_US  # µs: when that was begun last
        self.held = 0  # bytes of the file that gives its room when the disk is full

    def find(self, names: Sequence[str]) -> None:
        """At a start: what an earlier life has left of it."""
        if recovery.RESERVE in names:
            disk = self.log.disk
            file = disk.open(recovery.RESERVE)
            try:
                self.held = disk.size(file)
            finally:
                disk.close(file)

    def run_with_reserve(self, call: Callable[..., Any], *args: Any) -> Any:
        """Does the call; where it finds the disk full, once more with the reserve's room. Raises OSError."""
        try:
            return call(*args)
        except OSError as wrong:
            if wrong.errno not in DISK_FULL or not self.release():
                raise
            return call(*args)

    def release(self) -> bool:
        if not self.held:
            return False
        self.held = 0
        with contextlib.suppress(OSError):
            self.log.disk.remove(recovery.RESERVE)
            self.log.disk.flush_directory()
        return True

    def missing(self) -> bool:
        most = self.log.most
        return (
            most.keep_reserve
            and self.held < most.reserve_bytes
            and self.log.time - self.tried >= RETRY_INTERVAL_US
        )

    def begin(self) -> None:
        with contextlib.suppress(FileNotFoundError):
            self.log.disk.remove(recovery.RESERVE)
        self.tried = self.log.time
        self.file = self.log.disk.open(recovery.RESERVE, create=True)

    def left(self) -> int:
        return self.log.most.reserve_bytes - self.log.disk.size(self.file)

    def step(self, budget: int) -> None:
        """Takes the room piece by piece, as zeros that are on the disk; without room it stays missing for a
        while.
        """
        disk = self.log.disk
        try:
            left = self.left()
            disk.append(self.file, ZEROS[: min(left, budget)])
            if left > min(budget, len(ZEROS)):
                return
            disk.flush(self.file)
            disk.flush_directory()
        except OSError as wrong:
            if wrong.errno not in DISK_FULL:
                raise
            self.give_up()
        else:
            self.held = self.log.most.reserve_bytes
            file, self.file = self.file, None
            disk.close(file)

    def give_up(self) -> None:
        file, self.file = self.file, None
        if file is not None:
            self.log.disk.close(file)
            with contextlib.suppress(OSError):
                self.log.disk.remove(recovery.RESERVE)
