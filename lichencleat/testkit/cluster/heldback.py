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

FULL_DISK_SUFFIX = (
    ".full"  # suffix of the marker file next to the directory: while the marker exists, the disk is full
)
UNFLUSHED_SUFFIX = ".held"  # suffix of the real name of a file until the directory is flushed


class OpenFile:
    """An open file: the handle of the real file and the bytes that are not flushed yet."""

    __slots__ = ("file", "name", "unflushed")

    def __init__(self, file: int, name: str) -> None:
        self.file, self.name, self.unflushed = file, name, bytearray()


class VolatileDisk(RealDisk):
    """Directory of real files that keeps unflushed bytes, names, renames and removals in memory."""

    def __init__(self, path: str, create: bool = False) -> None:
        super().__init__(path, create)
        for name in os.listdir(self.directory):  # left by an earlier process that did not flush the names
            if name.endswith(UNFLUSHED_SUFFIX):
                os.unlink(name, dir_fd=self.directory)
        self.real_names = {name: name for name in os.listdir(self.directory)}  # visible name -> real name
        self.open_files: dict[str, OpenFile] = {}

    def names(self) -> list[str]:
        return sorted(self.real_names)

    def open(self, name: str, create: bool = False) -> Any:
        if create:
            if name in self.real_names:
                raise FileExistsError(17, "File exists", name)
            real_name, number = name + UNFLUSHED_SUFFIX, 0
            while real_name in self.real_names.values() or os.path.lexists(f"{self.path}/{real_name}"):
                number += 1
                real_name = f"{name}.{number}{UNFLUSHED_SUFFIX}"
            self.real_names[name] = real_name
            held = OpenFile(super().open(real_name, create=True), name)
            self.open_files[real_name] = held
            return held
        if name not in self.real_names:
            raise FileNotFoundError(2, "No such file or directory", name)
        real_name = self.real_names[name]
        other = self.open_files.get(real_name)
        held = OpenFile(super().open(real_name), name)
        if other is not None:
            held.unflushed = other.unflushed  # both handles see the same unflushed bytes
        return held

    def append(self, file: OpenFile, data: bytes) -> None:  # type: ignore[override]
        if os.path.exists(f"{self.path}{FULL_DISK_SUFFIX}"):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        file.unflushed += data

    def read(self, file: OpenFile, offset: int, length: int) -> bytes:  # type: ignore[override]
        written = super().size(file.file)
        data = super().read(file.file, offset, length) if offset < written else b""
        if len(data) < length:
            begin = max(0, offset - written)
            data += bytes(file.unflushed[begin : begin + length - len(data)])
        return data

    def flush(self, file: OpenFile) -> None:  # type: ignore[override]
        data = bytes(file.unflushed)
        super().append(file.file, data)
        file.unflushed.clear()  # no fsync needed: a kill does not lose bytes that the kernel already has

    def flush_directory(self) -> None:
        on_disk = set(os.listdir(self.directory))
        for name, real_name in list(self.real_names.items()):
            if real_name != name:
                os.rename(real_name, name, src_dir_fd=self.directory, dst_dir_fd=self.directory)
                self.real_names[name] = name
                if real_name in self.open_files:
                    self.open_files[name] = self.open_files.pop(real_name)
        for name in (
            on_disk
            - set(self.real_names)
            - {real_name for real_name in on_disk if real_name.endswith(UNFLUSHED_SUFFIX)}
        ):
            os.unlink(name, dir_fd=self.directory)

    def rename(self, old: str, new: str) -> None:
        self.real_names[new] = self.real_names.pop(old)

    def remove(self, name: str) -> None:
        if name not in self.real_names:
            raise FileNotFoundError(2, "No such file or directory", name)
        del self.real_names[name]

    def size(self, file: OpenFile) -> int:  # type: ignore[override]
        return super().size(file.file) + len(file.unflushed)

    def close(self, file: OpenFile) -> None:  # type: ignore[override]
        super().close(file.file)
