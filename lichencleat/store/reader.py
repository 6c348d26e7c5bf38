"""Reader: reads values, snapshots, chunks and scans from any thread, concurrently with the writer."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from lichencleat.store import framing
from lichencleat.store.errors import (
    ClosedError,
    CorruptDataError,
    Finding,
    FullError,
    Limit,
    SnapshotEndedError,
)
from lichencleat.store.index import Snapshot, is_expired, length_of, offset_of, segment_of
from lichencleat.store.log import Log
from lichencleat.store.segments import Segment

CHUNK_ENTRIES = 256  # entries that a scan looks up at once, which holds the lock for some 0.1 ms
MAX_SNAPSHOTS = 64  # limit on open snapshots: each keeps removed files open and has an undo list


@dataclass(slots=True)
class _PinnedEntry:
    """An entry to read. A reference keeps the file of its segment open until the entry is read."""

    key: bytes
    location: int
    segment: Segment


class Reader:
    """Reads values. The log's lock is held while locations are looked up, never during disk I/O."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self.closed = False

    def get(self, key: bytes) -> bytes | None:
        """Return the value of a key, or None if the key is missing or the entry has expired.

        Raises:
            CorruptDataError: If the confirmed record can't be read.
            ClosedError: If the store is closed.
        """
        log = self.log
        with log.lock:
            self._check_open()
            location = log.index.get(key, log.tick())
            if location is None:
                return None
            segment = log.segments[segment_of(location)]
            segment.reference_count += 1
        try:
            return self.read_value(segment, key, location)
        finally:
            with log.lock:
                log.release(segment)

    def read_value(self, segment: Segment, key: bytes, location: int) -> bytes:
        """Return the value of a key at a location in a segment whose file the caller keeps open.

        Raises CorruptDataError if the record of the key can't be read at this location.
        """
        offset, length = offset_of(location), length_of(location)
        try:
            data = self.log.disk.read(segment.file, offset, length)
        except OSError as error:
            self.log.counts["damaged reads"] += 1
            finding = Finding(segment.name, offset, f"can't be read: {error.strerror}")
            raise CorruptDataError([finding]) from error
        body = framing.decode_frame(data, segment.salt_checksum, offset)
        if body is not None:
            _, _, _, _, found_key, value = framing.decode_body(body)
            if found_key == key:
                return bytes(value)
        self.log.counts["damaged reads"] += 1
        raise CorruptDataError([Finding(segment.name, offset, "a confirmed record is not whole")])

    def snapshot(self) -> Snapshot:
        """Take a snapshot of the entries, which the caller passes to `release` later.

        Raises:
            FullError: If `MAX_SNAPSHOTS` are open.
            ClosedError: If the store is closed.
        """
        log = self.log
        with log.lock:
            self._check_open()
            if len(log.pins) >= MAX_SNAPSHOTS:
                raise FullError(Limit.SNAPSHOTS, f"({MAX_SNAPSHOTS})")
            snapshot = log.index.snapshot(log.sequence)
            log.pins[snapshot] = {}
            return snapshot

    def release(self, snapshot: Snapshot) -> None:
        """Close a snapshot and release the files that were kept open for it."""
        with self.log.lock:
            self.log.unpin(snapshot)

    def chunk(
        self, snapshot: Snapshot, cursor: bytes, prefix: bytes, limit: int = CHUNK_ENTRIES
    ) -> list[tuple[bytes, bytes]]:
        """Return up to `limit` keys and values of the snapshot from `cursor` on, in order.

        The next chunk's cursor is the last key followed by a zero byte. The last chunk is empty.

        Raises:
            SnapshotEndedError: If the snapshot was closed or has ended.
            CorruptDataError: If a value can't be read.
        """
        while True:
            next_cursor, pinned = self._pin_entries(snapshot, cursor, prefix, limit)
            try:
                found = [
                    (each.key, self.read_value(each.segment, each.key, each.location)) for each in pinned
                ]
            finally:
                with self.log.lock:
                    for each in pinned:
                        self.log.release(each.segment)
            if found or next_cursor is None:
                return found
            cursor = next_cursor  # the loop continues if all of these entries have expired

    def scan(self, prefix: bytes = b"", snapshot: Snapshot | None = None) -> Iterator[tuple[bytes, bytes]]:
        """Yield the keys that begin with `prefix` and their values, in order of keys.

        The entries are those of the snapshot, by default of a snapshot taken when the scan begins.
        """
        view = snapshot if snapshot is not None else self.snapshot()
        cursor = prefix
        try:
            while found := self.chunk(view, cursor, prefix):
                yield from found
                cursor = found[-1][0] + b"\0"
        finally:
            if snapshot is None:
                self.release(view)

    def _check_open(self) -> None:
        if self.closed:
            raise ClosedError

    def _pin_entries(
        self, snapshot: Snapshot, cursor: bytes, prefix: bytes, limit: int
    ) -> tuple[bytes | None, list[_PinnedEntry]]:
        """Look up the next chunk of entries, and keep the files of their segments open.

        Returns the next cursor (None at the end), and the unexpired entries of the chunk.
        """
        log = self.log
        with log.lock:
            if not snapshot.is_open:
                raise SnapshotEndedError
            rows = snapshot.chunk(cursor, prefix, limit)
            if not rows:
                return None, []
            now = log.tick()
            removed_segments = log.pins[snapshot]
            pinned = []
            for key, location in rows:
                if not is_expired(location, now):
                    number = segment_of(location)
                    segment = log.segments.get(number) or removed_segments[number]
                    segment.reference_count += 1
                    pinned.append(_PinnedEntry(key, location, segment))
        return rows[-1][0] + b"\0", pinned
