"""Reading: single values, snapshots, chunks and scans, from any thread, while one writes."""

from __future__ import annotations

from collections.abc import Iterator

from lichencleat.store import errors as bounds
from lichencleat.store import framing
from lichencleat.store.errors import ClosedError, CorruptDataError, Finding, FullError, SnapshotGoneError
from lichencleat.store.index import Snapshot, expired, length_of, offset_of, segment_of
from lichencleat.store.log import Log
from lichencleat.store.segments import Segment

CHUNK_ENTRIES = 256  # entries looked up at once by a scan: the lock is held for some 0.1 ms
MAX_SNAPSHOTS = 64  # each may hold files that cleaning would give back, and an undo list


class Reader:
    def __init__(self, log: Log) -> None:
        self.log = log
        self.closed = False

    def check_open(self) -> None:
        if self.closed:
            raise ClosedError("the store is closed")

    def get(self, key: bytes) -> bytes | None:
        """The value, or None. Raises DamagedError where its bytes are not those that were confirmed."""
        log = self.log
        with log.guard:
            self.check_open()
            where = log.index.get(key, log.tick())
            if where is None:
                return None
            segment = log.segments[segment_of(where)]
            segment.reference_count += 1
        try:
            return self.read(segment, key, where)
        finally:
            with log.guard:
                log.leave(segment)

    def read(self, segment: Segment, key: bytes, where: int) -> bytes:
        offset, length = offset_of(where), length_of(where)
        try:
            data = self.log.disk.read(segment.file, offset, length)
        except OSError as wrong:
            self.log.counts["damaged reads"] += 1
            raise CorruptDataError(
                [Finding(segment.name, offset, f"can't be read: {wrong.strerror}")]
            ) from wrong
        body = framing.decode_frame(data, segment.salt, offset)
        if body is not None:
            found = framing.decode_body(body)
            if found[4] == key:
                return bytes(found[5])
        self.log.counts["damaged reads"] += 1
        raise CorruptDataError([Finding(segment.name, offset, "a confirmed record is not whole")])

    def snapshot(self) -> Snapshot:
        """The entries as they are now; `release` gives it back. Raises FullError at the bound on
        snapshots.
        """
        log = self.log
        with log.guard:
            self.check_open()
            if len(log.pins) >= MAX_SNAPSHOTS:
                raise FullError(bounds.SNAPSHOTS, f" ({MAX_SNAPSHOTS})")
            snapshot = log.index.snapshot(log.sequence)
            log.pins[snapshot] = {}
            return snapshot

    def release(self, snapshot: Snapshot) -> None:
        with self.log.guard:
            self.log.unpin(snapshot)

    def chunk(
        self, snapshot: Snapshot, cursor: bytes, prefix: bytes, most: int = CHUNK_ENTRIES
    ) -> list[tuple[bytes, bytes]]:
        """Up to `most` keys and values of the snapshot from `cursor` on, in order; the last chunk is empty.

        The next one begins at the last key and a zero byte. Raises SnapshotGoneError, DamagedError.
        """
        log = self.log
        while True:
            with log.guard:
                if not snapshot.is_open:
                    raise SnapshotGoneError(
                        "the snapshot is over: closed, or too much was changed since it was taken"
                    )
                rows = snapshot.chunk(cursor, prefix, most)
                if not rows:
                    return []
                now = log.tick()
                pinned = log.pins[snapshot]
                held = []
                for key, where in rows:
                    if not expired(where, now):
                        number = segment_of(where)
                        segment = log.segments.get(number) or pinned[number]
                        segment.reference_count += 1
                        held.append((key, where, segment))
            try:
                found = [(key, self.read(segment, key, where)) for key, where, segment in held]
            finally:
                with log.guard:
                    for _, _, segment in held:
                        log.leave(segment)
            if found:
                return found
            cursor = rows[-1][0] + b"\0"  # all of these have expired

    def scan(self, prefix: bytes = b"", snapshot: Snapshot | None = None) -> Iterator[tuple[bytes, bytes]]:
        """Keys and values in order of keys, as they were when the scan began or the snapshot was taken."""
        taken = snapshot if snapshot is not None else self.snapshot()
        cursor = prefix
        try:
            while found := self.chunk(taken, cursor, prefix):
                yield from found
                cursor = found[-1][0] + b"\0"
        finally:
            if snapshot is None:
                self.release(taken)
