"""The one narrow door to the file system. All that the store reads or writes passes here, so a test can cut
at each call.
"""

from __future__ import annotations

import fcntl
import os
from typing import Any, Protocol

from lichencleat.store.errors import CannotOpenError

MODE = 0o600  # of the files: what is stored is its owner's alone


class Disk(Protocol):
    """One flat directory. A file is whatever `open` gives; the store never looks inside it.

    Every method but `names`, `lock` and `unlock` may raise OSError; then the call may have been done in part.
    What was appended survives a cut once `flush` of its file came back without an error; a file's name, a
    rename and a removal once `flush_directory` did.
    """

    def names(self) -> list[str]: ...

    def open(self, name: str, create: bool = False) -> Any:
        """An existing file for reading, or a new empty one to append to (an existing one of that name is an
        error).
        """

    def append(self, file: Any, data: bytes) -> None: ...

    def read(self, file: Any, offset: int, length: int) -> bytes:
        """Up to `length` bytes; fewer only at the file's end."""

    def flush(self, file: Any) -> None: ...

    def flush_directory(self) -> None: ...

    def rename(self, old: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def size(self, file: Any) -> int: ...

    def close(self, file: Any) -> None: ...

    def lock(self) -> None:
        """Raises UnfitError where another process holds it."""

    def unlock(self) -> None: ...


class RealDisk:
    """A directory of the machine's, made where it is missing and `create` is set."""

    def __init__(self, path: str, create: bool = False) -> None:
        self.path = path
        try:
            if create and not os.path.isdir(path):
                os.mkdir(path, 0o700)
                self.flush_path(os.path.dirname(os.path.abspath(path)))
            self.directory = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        except OSError as wrong:
            raise CannotOpenError(f"{path}: {wrong.strerror}; name a directory that is a store") from wrong

    @staticmethod
    def flush_path(path: str) -> None:
        directory = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)

    def names(self) -> list[str]:
        return sorted(os.listdir(self.directory))

    def open(self, name: str, create: bool = False) -> int:
        flags = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_EXCL if create else os.O_RDONLY
        return os.open(name, flags | os.O_CLOEXEC, MODE, dir_fd=self.directory)

    def append(self, file: int, data: bytes) -> None:
        rest = memoryview(data)
        while rest:  # a short write is no error of its own: the next one tells why
            rest = rest[os.write(file, rest) :]

    def read(self, file: int, offset: int, length: int) -> bytes:
        data = os.pread(file, length, offset)
        if len(data) in (0, length):
            return data
        parts = [data]
        while data and (length := length - len(data)) > 0:  # a read may stop early, at a signal or a page
            offset += len(data)
            parts.append(data := os.pread(file, length, offset))
        return b"".join(parts)

    def flush(self, file: int) -> None:
        os.fdatasync(file)

    def flush_directory(self) -> None:
        os.fsync(self.directory)

    def rename(self, old: str, new: str) -> None:
        os.rename(old, new, src_dir_fd=self.directory, dst_dir_fd=self.directory)

    def remove(self, name: str) -> None:
        os.unlink(name, dir_fd=self.directory)

    def size(self, file: int) -> int:
        return os.fstat(file).st_size

    def close(self, file: int) -> None:
        os.close(file)

    def lock(self) -> None:
        try:
            fcntl.flock(self.directory, fcntl.LOCK_EX | fcntl.LOCK_NB)  # of the directory: no file of its own
        except OSError as wrong:
            if isinstance(wrong, BlockingIOError):
                raise CannotOpenError(
                    f"{self.path}: in use by another process; end that one first"
                ) from wrong
            raise CannotOpenError(f"{self.path}: can't be locked: {wrong.strerror}") from wrong

    def unlock(self) -> None:
        """Gives the directory back, too: the disk is of no further use."""
        directory, self.directory = self.directory, -1
        if directory >= 0:
            os.close(directory)  # the lock goes with it
