"""The store's errors. Each message says what failed and where; attributes hold the values.

`StoreError` is the base class. After a `BadRecordError`, a `CannotOpenError` or a `FullError` for another
limit than `Limit.DISK_SPACE`, no record was written.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum


class Limit(StrEnum):
    """The limits that a `FullError` can name; the values appear in messages and logs."""

    ENTRIES = "entries"
    MEMORY = "bytes in memory"
    DISK_BYTES = "bytes on disk"
    SEGMENTS = "segments"
    QUEUED_WRITES = "waiting writes"
    QUEUED_READS = "waiting reads"
    SNAPSHOTS = "snapshots"
    DISK_SPACE = "room on the disk itself"


@dataclass(slots=True, frozen=True)
class Finding:
    """A place where the store's files differ from the confirmed records."""

    file: str
    offset: int  # bytes from the file's start
    problem: str

    def __str__(self) -> str:
        return f"{self.file}, offset {self.offset}: {self.problem}"


class StoreError(Exception):
    """Base class of the store's errors."""


class ClosedError(StoreError):
    """The store was closed."""

    def __init__(self) -> None:
        super().__init__("the store is closed")


class SnapshotEndedError(StoreError):
    """The snapshot was closed, or ended because its undo list or the files kept for it reached a limit."""

    def __init__(self) -> None:
        super().__init__("the snapshot has ended: it was closed, or its changes or files reached a limit")


class FullError(StoreError):
    """A limit was reached; a change that fails with this error is not confirmed and not visible.

    Nothing of the change was written, unless the limit is `Limit.DISK_SPACE`. Then a part of the records may
    be in the file, after the valid bytes, and as after a `NotConfirmedError` the change may become visible
    when the store is opened again.

    Attributes:
        limit: The limit, a value of `Limit`.
    """

    def __init__(self, limit: str, detail: str = "") -> None:
        super().__init__(f"the store has reached its limit on {limit}{detail and ' '}{detail}")
        self.limit = limit


class NotConfirmedError(StoreError):
    """Writing or flushing failed; the change is not confirmed and not visible.

    If the store is closed or loses power before a later write is confirmed, the change may become visible
    when the store is opened again. A batch becomes visible as a whole or not at all.
    """


class CorruptDataError(StoreError):
    """Confirmed records can't be read because the bytes on disk differ from those that were flushed.

    Attributes:
        findings: All places known to be damaged; at least one.
    """

    def __init__(self, findings: Sequence[Finding]) -> None:
        more = f" (+{len(findings) - 1} more)" if len(findings) > 1 else ""
        super().__init__(f"{findings[0]}{more}; see 'lichencleat store check', then 'store salvage'")
        self.findings = findings


class UnreadableDirectoryError(StoreError):
    """Reading the store's directory failed.

    Attributes:
        directory: Path of the directory.
    """

    def __init__(self, directory: str, cause: OSError) -> None:
        super().__init__(f"{directory}: can't be read: {cause.strerror}")
        self.directory = directory


# -- records ---------------------------------------------------------------------------------------


class BadRecordError(StoreError):
    """A key, value, expiry or batch is outside its limits; nothing was written."""


class KeySizeError(BadRecordError):
    """A key is empty or too long. Sizes are in bytes."""

    def __init__(self, size: int, maximum: int) -> None:
        super().__init__(f"a key has 1 to {maximum} bytes, not {size}")
        self.size = size
        self.maximum = maximum


class ValueSizeError(BadRecordError):
    """A value is too long. Sizes are in bytes."""

    def __init__(self, size: int, maximum: int) -> None:
        super().__init__(f"a value has at most {maximum} bytes, not {size}")
        self.size = size
        self.maximum = maximum


class BatchSizeError(BadRecordError):
    """A batch has grown too large. `maximum` is in bytes."""

    def __init__(self, maximum: int) -> None:
        super().__init__(f"a batch has at most {maximum} bytes")
        self.maximum = maximum


class InvalidExpiryError(BadRecordError):
    """An expiry is not a valid time in µs of Unix time."""

    def __init__(self, expiry: int) -> None:
        super().__init__(f"an expiry is a time in µs of Unix time, not {expiry}")
        self.expiry = expiry


# -- opening ---------------------------------------------------------------------------------------


class CannotOpenError(StoreError):
    """The directory can't be opened: it is not a store, has a newer format, or is in use."""


class NotAStoreError(CannotOpenError):
    """The directory is not a store."""

    def __init__(self, directory: str, reason: str) -> None:
        super().__init__(f"{directory}: not a store {reason}")
        self.directory = directory


class DirectoryNotEmptyError(CannotOpenError):
    """A new store can't be created because the directory has other files."""

    def __init__(self, directory: str, file: str | None = None) -> None:
        if file is None:
            super().__init__(f"{directory}: not empty; name a directory that is new")
        else:
            super().__init__(f"{directory}: not a store, and not empty ({file}); name an empty directory")
        self.directory = directory
        self.file = file


class MissingMarkerError(CannotOpenError):
    """The directory has segments but no marker file."""

    def __init__(self, directory: str, marker: str) -> None:
        super().__init__(f"{directory}: has segments but no file {marker}; try 'store salvage'")
        self.directory = directory


class NewerFormatError(CannotOpenError):
    """A file was written by a newer version of this program.

    Attributes:
        file: Name of the file.
        version: Version of the file's format.
        supported: The newest version that this program can read.
    """

    def __init__(self, file: str, version: int, supported: int) -> None:
        super().__init__(
            f"{file}: format {version}, newer than {supported}; open it with a newer lichencleat"
        )
        self.file = file
        self.version = version
        self.supported = supported


class UnusableDirectoryError(CannotOpenError):
    """The directory can't be created or opened."""

    def __init__(self, directory: str, cause: OSError) -> None:
        super().__init__(f"{directory}: {cause.strerror}; name the directory of a store")
        self.directory = directory


class DirectoryLockError(CannotOpenError):
    """The directory can't be locked, usually because another process holds the lock."""

    def __init__(self, directory: str, cause: OSError) -> None:
        if isinstance(cause, BlockingIOError):
            super().__init__(f"{directory}: in use by another process; stop that process first")
        else:
            super().__init__(f"{directory}: can't be locked: {cause.strerror}")
        self.directory = directory
