"""Disk: the store's only interface to the file system, so that tests can inject faults at each call."""

from __future__ import annotations

import fcntl
import os
from typing import Any, Protocol, TypeAlias

from lichencleat.store.errors import DirectoryLockError, UnusableDirectoryError

FILE_MODE = 0o600  # readable by the owner only
DIRECTORY_MODE = 0o700

FileHandle: TypeAlias = Any
"""Returned by a disk's `open`; opaque to the store."""


class Disk(Protocol):
    """A directory without subdirectories, in which a store has its files.

    Every method except `names`, `lock` and `unlock` may raise OSError; the call may then be done in part.
    Appended data survives a power cut once `flush` of the file has returned without an error. A new name, a
    rename and a removal survive a power cut once `flush_directory` has returned without an error.
    """

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""

    def open(self, name: str, create: bool = False) -> FileHandle:
        """Open an existing file for reading, or create an empty file to append to.

        With `create`, an existing file of that name is an error.
        """

    def append(self, file: FileHandle, data: bytes) -> None:
        """Append data at the file's end."""

    def read(self, file: FileHandle, offset: int, length: int) -> bytes:
        """Return `length` bytes from `offset` on, or fewer bytes at the file's end."""

    def flush(self, file: FileHandle) -> None:
        """Make appended data survive a power cut."""

    def flush_directory(self) -> None:
        """Make new names, renames and removals survive a power cut."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file; replaces an existing file that has the new name."""

    def remove(self, name: str) -> None:
        """Remove a file; open handles of the file stay usable."""

    def size(self, file: FileHandle) -> int:
        """Return the file's size in bytes."""

    def close(self, file: FileHandle) -> None:
        """Close the file handle."""

    def lock(self) -> None:
        """Lock the directory. Raises DirectoryLockError if another process holds the lock."""

    def unlock(self) -> None:
        """Release the lock; the disk can't be used afterwards."""


class RealDisk:
    """A directory of the file system; a missing directory is created if `create` is set.

    Raises UnusableDirectoryError if the directory can't be opened or created.
    """

    def __init__(self, path: str, create: bool = False) -> None:
        self.path = path
        try:
            if create and not os.path.isdir(path):
                os.mkdir(path, DIRECTORY_MODE)
                self._flush_path(os.path.dirname(os.path.abspath(path)))
            self.directory = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        except OSError as error:
            raise UnusableDirectoryError(path, error) from error

    @staticmethod
    def _flush_path(path: str) -> None:
        directory = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)

    def names(self) -> list[str]:
        """See `Disk`."""
        return sorted(os.listdir(self.directory))

    def open(self, name: str, create: bool = False) -> int:
        """See `Disk`."""
        flags = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_EXCL if create else os.O_RDONLY
        return os.open(name, flags | os.O_CLOEXEC, FILE_MODE, dir_fd=self.directory)

    def append(self, file: int, data: bytes) -> None:
        """See `Disk`."""
        rest = memoryview(data)
        while rest:  # a write may be short; the next write then raises the error, if there is one
            rest = rest[os.write(file, rest) :]

    def read(self, file: int, offset: int, length: int) -> bytes:
        """See `Disk`."""
        data = os.pread(file, length, offset)
        if len(data) in (0, length):
            return data
        parts = [data]
        while data and (length := length - len(data)) > 0:  # a read may be short, for example after a signal
            offset += len(data)
            parts.append(data := os.pread(file, length, offset))
        return b"".join(parts)

    def flush(self, file: int) -> None:
        """See `Disk`."""
        os.fdatasync(file)

    def flush_directory(self) -> None:
        """See `Disk`."""
        os.fsync(self.directory)

    def rename(self, old: str, new: str) -> None:
        """See `Disk`."""
        os.rename(old, new, src_dir_fd=self.directory, dst_dir_fd=self.directory)

    def remove(self, name: str) -> None:
        """See `Disk`."""
        os.unlink(name, dir_fd=self.directory)

    def size(self, file: int) -> int:
        """See `Disk`."""
        return os.fstat(file).st_size

    def close(self, file: int) -> None:
        """See `Disk`."""
        os.close(file)

    def lock(self) -> None:
        """See `Disk`."""
        try:
            fcntl.flock(
                self.directory, fcntl.LOCK_EX | fcntl.LOCK_NB
            )  # locks the directory itself, without a lock file
        except OSError as error:
            raise DirectoryLockError(self.path, error) from error

    def unlock(self) -> None:
        """See `Disk`. Closes the directory as well."""
        directory, self.directory = self.directory, -1
        if directory >= 0:
            os.close(directory)  # also releases the lock
