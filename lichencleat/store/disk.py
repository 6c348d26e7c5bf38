"""Disk: the store's whole interface to the file system, so that a test can inject a fault at each call."""

from __future__ import annotations

import fcntl
import os
from typing import Any, Protocol, TypeAlias

from lichencleat.store.errors import DirectoryLockError, UnusableDirectoryError

FILE_MODE = 0o600  # what is stored is for its owner alone
DIRECTORY_MODE = 0o700

FileHandle: TypeAlias = Any
"""Whatever a disk's `open` returns; opaque to the store."""


class Disk(Protocol):
    """One flat directory. A file handle is whatever `open` returns; the store never looks inside it.

    Every method but `names`, `lock` and `unlock` may raise OSError; then the call may have been done in part.
    What was appended survives a cut once `flush` of its file came back without an error; a file's name, a
    rename and a removal once `flush_directory` did.
    """

    def names(self) -> list[str]:
        """The names of all files, sorted."""

    def open(self, name: str, create: bool = False) -> FileHandle:
        """Open an existing file for reading, or make a new empty one to append to.

        With `create`, an existing file of that name is an error.
        """

    def append(self, file: FileHandle, data: bytes) -> None:
        """Write at the file's end."""

    def read(self, file: FileHandle, offset: int, length: int) -> bytes:
        """Return up to `length` bytes; fewer only at the file's end."""

    def flush(self, file: FileHandle) -> None:
        """Make what was appended survive a power cut."""

    def flush_directory(self) -> None:
        """Make new names, renames and removals survive a power cut."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file; one that has the new name is replaced."""

    def remove(self, name: str) -> None:
        """Remove a name; handles that are open stay usable."""

    def size(self, file: FileHandle) -> int:
        """The file's size in bytes."""

    def close(self, file: FileHandle) -> None:
        """Close the file handle."""

    def lock(self) -> None:
        """Lock the directory. Raises DirectoryLockError where another process holds the lock."""

    def unlock(self) -> None:
        """Release the lock; the disk is of no further use."""


class RealDisk:
    """A directory of the file system, made where it is missing and `create` is set.

    Raises UnusableDirectoryError where it can't be opened.
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
        while rest:  # a short write is no error of its own: the next one tells why
            rest = rest[os.write(file, rest) :]

    def read(self, file: int, offset: int, length: int) -> bytes:
        """See `Disk`."""
        data = os.pread(file, length, offset)
        if len(data) in (0, length):
            return data
        parts = [data]
        while data and (length := length - len(data)) > 0:  # a read may stop early, at a signal or a page
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
            fcntl.flock(self.directory, fcntl.LOCK_EX | fcntl.LOCK_NB)  # of the directory: no file of its own
        except OSError as error:
            raise DirectoryLockError(self.path, error) from error

    def unlock(self) -> None:
        """See `Disk`. Closes the directory as well."""
        directory, self.directory = self.directory, -1
        if directory >= 0:
            os.close(directory)  # the lock goes with it
