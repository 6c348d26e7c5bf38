"""Batches: changes on their way to the store, made into records; no I/O."""

from __future__ import annotations

from lichencleat.store import framing
from lichencleat.store.errors import BadRecordError
from lichencleat.store.segments import Record

MAX_BATCH_BYTES = 32 << 20  # bytes of one batch's frames: it is written, and in doubt, at once


class Batch:
    """Changes that are confirmed together or not at all; the last one of a key holds."""

    __slots__ = ("changes", "bytes", "puts")

    def __init__(self) -> None:
        self.changes: list[tuple[bytes, bytes | None, int]] = []  # key, value (None: deleted), expiry
        self.bytes = 0  # of its frames at the most
        self.puts = False

    def put(self, key: bytes, value: bytes, expiry: int = 0) -> Batch:
        """`expiry`: µs of Unix time from which the entry is not there any more; 0: it stays."""
        if len(value) > framing.MAX_VALUE_BYTES:
            raise BadRecordError(f"a value has at most {framing.MAX_VALUE_BYTES} bytes, not {len(value)}")
        if not 0 <= expiry < 1 << 63:
            raise BadRecordError(f"an expiry is µs of Unix time, not {expiry}")
        self.puts = True
        return self.add(key, value, expiry, len(value))

    def delete(self, key: bytes) -> Batch:
        return self.add(key, None, 0, 0)

    def add(self, key: bytes, value: bytes | None, expiry: int, size: int) -> Batch:
        if not 0 < len(key) <= framing.MAX_KEY_BYTES:
            raise BadRecordError(f"a key has 1 to {framing.MAX_KEY_BYTES} bytes, not {len(key)}")
        self.bytes += framing.MAX_FRAME_OVERHEAD_BYTES + len(key) + size
        if self.bytes > MAX_BATCH_BYTES:
            raise BadRecordError(f"a batch has at most {MAX_BATCH_BYTES} bytes")
        self.changes.append((key, value, expiry))
        return self

    def records(self) -> list[Record]:
        if len(self.changes) == 1:
            ((key, value, expiry),) = self.changes
            if value is None:
                return [Record(framing.DELETE, 0, key)]
            return [Record(framing.PUT, expiry, key, value)]
        made = [
            Record(framing.BATCH_DELETE, 0, key)
            if value is None
            else Record(framing.BATCH_PUT, expiry, key, value)
            for key, value, expiry in self.changes
        ]
        return [*made, Record(framing.COMMIT, len(made), b"")]
