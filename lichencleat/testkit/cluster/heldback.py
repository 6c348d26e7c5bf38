"""A disk with a volatile write cache: unflushed writes stay in the process, so SIGKILL acts as a power loss.

Appended bytes reach the real file only when the file is flushed. New names, renames and removals reach the
real directory only when the directory is flushed. After a kill the directory therefore holds exactly the
flushed data, and nothing that the page cache of the operating system would have saved.
"""

from __future__ import annotations

import errno
import os
from typing import Any

from lichencleat.store.disk import RealDisk

FULL = ".full"  # suffix of the marker file next to the directory: while the marker exists, the disk is full
HELD = ".held"  # suffix of the real name of a file until the directory is flushed


class Held:
    """An open file: the handle of the real file and the bytes that are not flushed yet."""

    __slots__ = ("file", "name", "waiting")

    def __init__(self, file: int, name: str) -> None:
        self.file, self.name, self.waiting = file, name, bytearray()


class HeldBackDisk(RealDisk):
    """Directory of real files that keeps unflushed bytes, names, renames and removals in memory."""

    def __init__(self, path: str, create: bool = False) -> None:
        super().__init__(path, create)
        for name in os.listdir(self.directory):  # left by an earlier process that did not flush the names
            if name.endswith(HELD):
                os.unlink(name, dir_fd=self.directory)
        self.view = {name: name for name in os.listdir(self.directory)}  # visible name -> real name
        self.open_names: dict[str, Held] = {}

    def names(self) -> list[str]:
        return sorted(self.view)

    def open(self, name: str, create: bool = False) -> Any:
        if create:
            if name in self.view:
                raise FileExistsError(17, "File exists", name)
            at, number = name + HELD, 0
            while at in self.view.values() or os.path.lexists(f"{self.path}/{at}"):
                number += 1
                at = f"{name}.{number}{HELD}"
            self.view[name] = at
            held = Held(super().open(at, create=True), name)
            self.open_names[at] = held
            return held
        if name not in self.view:
            raise FileNotFoundError(2, "No such file or directory", name)
        at = self.view[name]
        known = self.open_names.get(at)
        held = Held(super().open(at), name)
        if known is not None:
            held.waiting = known.waiting  # unflushed bytes of another handle are visible through this handle
        return held

    def append(self, file: Held, data: bytes) -> None:  # type: ignore[override]
        if os.path.exists(f"{self.path}{FULL}"):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        file.waiting += data

    def read(self, file: Held, offset: int, length: int) -> bytes:  # type: ignore[override]
        written = super().size(file.file)
        data = super().read(file.file, offset, length) if offset < written else b""
        if len(data) < length:
            begin = max(0, offset - written)
            data += bytes(file.waiting[begin : begin + length - len(data)])
        return data

    def flush(self, file: Held) -> None:  # type: ignore[override]
        data = bytes(file.waiting)
        super().append(file.file, data)
        file.waiting.clear()  # no fsync needed: a kill does not lose bytes that the kernel already has

    def flush_directory(self) -> None:
        on_disk = set(os.listdir(self.directory))
        for name, at in list(self.view.items()):
            if at != name:
                os.rename(at, name, src_dir_fd=self.directory, dst_dir_fd=self.directory)
                self.view[name] = name
                if at in self.open_names:
                    self.open_names[name] = self.open_names.pop(at)
        for name in on_disk - set(self.view) - {at for at in on_disk if at.endswith(HELD)}:
            os.unlink(name, dir_fd=self.directory)

    def rename(self, old: str, new: str) -> None:
        self.view[new] = self.view.pop(old)

    def remove(self, name: str) -> None:
        if name not in self.view:
            raise FileNotFoundError(2, "No such file or directory", name)
        del self.view[name]

    def size(self, file: Held) -> int:  # type: ignore[override]
        return super().size(file.file) + len(file.waiting)

    def close(self, file: Held) -> None:  # type: ignore[override]
        super().close(file.file)
