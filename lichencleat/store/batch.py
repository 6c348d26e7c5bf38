"""Batches: checks the changes of one commit and encodes them as log records. No I/O."""

from __future__ import annotations

from lichencleat.store import framing
from lichencleat.store.errors import BatchSizeError, InvalidExpiryError, KeySizeError, ValueSizeError
from lichencleat.store.segments import Record

MAX_BATCH_BYTES = 32 << 20  # limit on the size of a batch's frames; a batch is written as a whole
MAX_EXPIRY_US = (1 << 63) - 1

Change = tuple[bytes, bytes | None, int]
"""Key, value (None: the key is deleted), expiry in µs of Unix time (0: none)."""


class Batch:
    """An atomic set of changes; the last change of a key wins.

    Attributes:
        changes: The changes in the order of the calls.
        bytes: Upper limit on the size of the batch's frames.
        has_puts: Whether the batch sets values. Batches that only delete may use more of the disk space.
    """

    __slots__ = ("changes", "bytes", "has_puts")

    def __init__(self) -> None:
        self.changes: list[Change] = []
        self.bytes = 0
        self.has_puts = False

    def put(self, key: bytes, value: bytes, expiry: int = 0) -> Batch:
        """Add a change that sets a key's value; return the batch.

        Args:
            key: 1 to 65,536 bytes.
            value: Up to 16 MiB.
            expiry: µs of Unix time at which the entry expires; 0 for never.

        Raises:
            BadRecordError: If the key, the value, the expiry or the batch is outside its limits.
        """
        if len(value) > framing.MAX_VALUE_BYTES:
            raise ValueSizeError(len(value), framing.MAX_VALUE_BYTES)
        if not 0 <= expiry <= MAX_EXPIRY_US:
            raise InvalidExpiryError(expiry)
        self.has_puts = True
        return self._append(key, value, expiry)

    def delete(self, key: bytes) -> Batch:
        """Add a change that deletes a key if the key exists; return the batch.

        Raises:
            BadRecordError: If the key or the batch is outside its limits.
        """
        return self._append(key, None, 0)

    def to_records(self) -> list[Record]:
        """Return the log records of all changes, and a commit record unless there is only one change."""
        if len(self.changes) == 1:
            ((key, value, expiry),) = self.changes
            if value is None:
                return [Record(framing.DELETE, 0, key)]
            return [Record(framing.PUT, expiry, key, value)]
        records = [
            Record(framing.BATCH_DELETE, 0, key)
            if value is None
            else Record(framing.BATCH_PUT, expiry, key, value)
            for key, value, expiry in self.changes
        ]
        return [*records, Record(framing.COMMIT, len(records), b"")]

    def _append(self, key: bytes, value: bytes | None, expiry: int) -> Batch:
        if not 0 < len(key) <= framing.MAX_KEY_BYTES:
            raise KeySizeError(len(key), framing.MAX_KEY_BYTES)
        self.bytes += framing.MAX_FRAME_OVERHEAD_BYTES + len(key) + len(value or b"")
        if self.bytes > MAX_BATCH_BYTES:
            raise BatchSizeError(MAX_BATCH_BYTES)
        self.changes.append((key, value, expiry))
        return self
