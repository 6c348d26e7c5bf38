"""What the store tells its callers when it can't do as asked; each message says what, where and, if there is,
a way out.
"""

from __future__ import annotations

from dataclasses import dataclass


class StoreError(Exception):
    """Any refusal or failure of the store."""


class BadRecordError(StoreError):
    """A key, value or batch out of its bounds; nothing was written."""


class FullError(StoreError):
    """A bound was reached; nothing was written. `bound` names it: one of the constants below."""

    def __init__(self, bound: str, more: str = "") -> None:
        super().__init__(f"the store is at its bound on {bound}{more}")
        self.bound = bound


ENTRIES = "entries"
MEMORY = "bytes in memory"
BYTES = "bytes on disk"
SEGMENTS = "segments"
QUEUE = "waiting writes"
READS = "waiting reads"
SNAPSHOTS = "snapshots"
DISK = "room on the disk itself"


class NotConfirmedError(StoreError):
    """Writing or flushing failed. The records are not visible; a cut before the next confirmed write may
    bring them back, whole batches only.
    """


class CorruptDataError(StoreError):
    """Confirmed records can't be read: bytes on disk are not those that were flushed."""

    def __init__(self, findings: list[Finding]) -> None:
        more = f" (+{len(findings) - 1} more)" if len(findings) > 1 else ""
        super().__init__(f"{findings[0]}{more}; see 'lichencleat store check', then 'store salvage'")
        self.findings = findings


class CannotOpenError(StoreError):
    """The directory can't be opened as it is: no store, a newer format, or in use by another process."""


class ClosedError(StoreError):
    """The store was closed."""


class SnapshotGoneError(StoreError):
    """The snapshot was closed, or ended because the changes since would not fit its bound."""


@dataclass(slots=True, frozen=True)
class Finding:
    """One place where the store's files are not what was confirmed."""

    file: str
    offset: int  # bytes from the file's start
    what: str

    def __str__(self) -> str:
        return f"{self.file}, offset {self.offset}: {self.what}"
