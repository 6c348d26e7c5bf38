"""The layout of a member's log in its store: makes the batches of writes and loads the log at start.

Keys: `t` holds the term, the vote, the snapshot's index and the last index; `s` the snapshot; `e` followed by
eight bytes of the index holds an entry. A write is one batch and therefore atomic at a power cut.

A snapshot too large for one value is stored in chunks. The key of a chunk is `p`, followed by eight bytes of
the snapshot's index and four bytes of the chunk's number. The chunks are written first, each in a batch of
its own, and `s` with their count last, so that a power cut in between leaves the previous snapshot intact.
`w` names the chunks being written, so that chunks left behind by a power cut are found and deleted. This
module does no I/O itself.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

import msgspec

from lichencleat.consensus.messages import Configuration, DurableState, DurableWrite, Entry, Snapshot
from lichencleat.store.batch import Batch
from lichencleat.store.errors import CorruptDataError, Finding

# Keys and key prefixes. They are stored, so they never change.
HARD_STATE_KEY = b"t"
SNAPSHOT_KEY = b"s"
ENTRY_KEY_PREFIX = b"e"
CHUNK_KEY_PREFIX = b"p"
PENDING_CHUNKS_KEY = b"w"
# Size of a chunk, which the store's writer holds in memory as a whole; well below a value's limit of 16 MiB.
MAX_CHUNK_BYTES = 4 << 20


class HardState(NamedTuple):
    """The state that must survive a restart, besides the entries and the snapshot."""

    term: int
    vote: int
    snapshot_index: int
    last_index: int


class ChunkRange(NamedTuple):
    """The chunks of one snapshot."""

    snapshot_index: int
    chunk_count: int


NO_CHUNKS = ChunkRange(0, 0)


class SnapshotHeader(msgspec.Struct, frozen=True, array_like=True):
    """The value of the key `s`: a complete snapshot, or the description of a snapshot in chunks.

    The first four fields are those of a `Snapshot`, so that stores written by versions without chunks can be
    read. A version without chunks finds no `data` in a store with chunks and does not start.
    """

    index: int
    term: int
    configuration: Configuration
    data: bytes | None
    chunk_count: int = 0
    total_bytes: int = 0


encode = msgspec.msgpack.encode
decode_hard_state = msgspec.msgpack.Decoder(HardState).decode
decode_snapshot_header = msgspec.msgpack.Decoder(SnapshotHeader).decode
decode_chunk_range = msgspec.msgpack.Decoder(ChunkRange).decode
decode_entry = msgspec.msgpack.Decoder(Entry).decode


def entry_key(index: int) -> bytes:
    """Return the key of a log entry."""
    return ENTRY_KEY_PREFIX + index.to_bytes(8, "big")


def chunk_key(index: int, number: int) -> bytes:
    """Return the key of a chunk of the snapshot at `index`."""
    return CHUNK_KEY_PREFIX + index.to_bytes(8, "big") + number.to_bytes(4, "big")


def chunk_keys(chunks: ChunkRange) -> Iterable[bytes]:
    """Return the keys of these chunks in order."""
    return (chunk_key(chunks.snapshot_index, number) for number in range(chunks.chunk_count))


class LogStorage:
    """Tracks the entries and chunks in the store, so that a write deletes those that are no longer valid."""

    def __init__(self, max_chunk_bytes: int = MAX_CHUNK_BYTES) -> None:
        """Start with an empty store; `load` must be called if the store may have data."""
        self.max_chunk_bytes = max_chunk_bytes
        self.snapshot_index = 0  # the store holds the entries snapshot_index + 1 to last_index
        self.last_index = 0
        self.active_chunks = NO_CHUNKS  # chunks of the current snapshot
        # Chunks of a snapshot that is not the current one yet; all or some of the chunks are written.
        self.pending_chunks = NO_CHUNKS

    # -- reading -------------------------------------------------------------------------------------

    def load(self, get: Callable[[bytes], bytes | None]) -> DurableState:
        """Load the member's durable state when the member starts.

        Raises:
            CorruptDataError: confirmed data is missing.
        """
        pending = get(PENDING_CHUNKS_KEY)
        if pending is not None:
            self.pending_chunks = decode_chunk_range(pending)
        encoded = get(HARD_STATE_KEY)
        if encoded is None:
            return DurableState()
        hard_state = decode_hard_state(encoded)
        self.snapshot_index = hard_state.snapshot_index
        self.last_index = hard_state.last_index
        snapshot = self.load_snapshot(get)
        return DurableState(hard_state.term, hard_state.vote, snapshot, self._load_entries(get))

    def _load_entries(self, get: Callable[[bytes], bytes | None]) -> list[Entry]:
        entries = []
        for index in range(self.snapshot_index + 1, self.last_index + 1):
            data = get(entry_key(index))
            if data is None:
                raise CorruptDataError([Finding("the log", index, "an entry that was confirmed is missing")])
            entries.append(decode_entry(data))
        return entries

    def load_snapshot(self, get: Callable[[bytes], bytes | None]) -> Snapshot | None:
        """Load the current snapshot, or return None if there is none.

        Raises:
            CorruptDataError: a confirmed chunk is missing or has the wrong size.
        """
        encoded = get(SNAPSHOT_KEY)
        if encoded is None:
            return None
        header = decode_snapshot_header(encoded)
        if header.data is not None:
            return Snapshot(header.index, header.term, header.configuration, header.data)
        self.active_chunks = ChunkRange(header.index, header.chunk_count)
        chunks = [get(key) for key in chunk_keys(self.active_chunks)]
        data = b"".join(each for each in chunks if each is not None)
        if None in chunks or len(data) != header.total_bytes:
            raise CorruptDataError(
                [Finding("the snapshot", header.index, "a confirmed chunk is missing or has the wrong size")]
            )
        return Snapshot(header.index, header.term, header.configuration, data)

    # -- writing -------------------------------------------------------------------------------------

    def chunk_batches(self, write: DurableWrite) -> Iterator[Batch]:
        """Yield the batches with the chunks of a write's snapshot; none if the snapshot fits into one value.

        Each batch must be confirmed before the next one is written, and all of them before `make_batch` is
        called.
        """
        snapshot = write.snapshot
        if snapshot is None or not self._is_chunked(snapshot):
            return
        chunks = ChunkRange(snapshot.index, -(-len(snapshot.data) // self.max_chunk_bytes))
        batch = Batch()
        self.delete_chunks(batch, self.pending_chunks)
        batch.put(PENDING_CHUNKS_KEY, encode(chunks))
        self.pending_chunks = chunks
        yield batch
        for number, key in enumerate(chunk_keys(chunks)):
            offset = number * self.max_chunk_bytes
            yield Batch().put(key, snapshot.data[offset : offset + self.max_chunk_bytes])

    def make_batch(self, write: DurableWrite) -> Batch:
        """Return the batch that carries out a write, apart from the chunks of its snapshot."""
        batch = Batch()
        self._finish_snapshot(batch, write.snapshot)
        self._delete_void_entries(batch, write)
        for index, entry in enumerate(write.entries, write.first_index):
            batch.put(entry_key(index), encode(entry))
        hard_state = HardState(write.term, write.vote, write.snapshot_index, write.last_index)
        batch.put(HARD_STATE_KEY, encode(hard_state))
        self.snapshot_index = write.snapshot_index
        self.last_index = write.last_index
        return batch

    def bootstrap_batch(self, snapshot: Snapshot) -> Batch:
        """Return the batch that initializes the store of a new cluster's first member.

        The log starts with the configuration, which `snapshot` contains: without a configuration, the member
        would have no voters, so it could not become leader and commit a first entry.
        """
        batch = Batch().put(SNAPSHOT_KEY, encode(snapshot))
        return batch.put(HARD_STATE_KEY, encode(HardState(0, 0, snapshot.index, snapshot.index)))

    @staticmethod
    def delete_chunks(batch: Batch, chunks: ChunkRange) -> None:
        """Add deletions of these chunks to the batch."""
        for key in chunk_keys(chunks):
            batch.delete(key)

    def _is_chunked(self, snapshot: Snapshot) -> bool:
        return len(snapshot.data) > self.max_chunk_bytes

    def _delete_void_entries(self, batch: Batch, write: DurableWrite) -> None:
        """Delete entries that the snapshot replaces, and truncated entries that no new entry overwrites."""
        for index in range(self.snapshot_index + 1, min(self.last_index, write.snapshot_index) + 1):
            batch.delete(entry_key(index))
        overwritten_until = write.first_index + len(write.entries)
        first_void = max(write.last_index, write.snapshot_index) + 1
        for index in range(first_void, self.last_index + 1):
            if index >= overwritten_until:
                batch.delete(entry_key(index))

    def _finish_snapshot(self, batch: Batch, snapshot: Snapshot | None) -> None:
        """Make the pending chunks the current ones if they belong to `snapshot`; otherwise delete them."""
        pending = self.pending_chunks
        self.pending_chunks = NO_CHUNKS
        if pending != NO_CHUNKS:
            batch.delete(PENDING_CHUNKS_KEY)
        if snapshot is None:
            self.delete_chunks(batch, pending)
        elif not self._is_chunked(snapshot):
            self.delete_chunks(batch, pending)
            self.delete_chunks(batch, self.active_chunks)
            self.active_chunks = NO_CHUNKS
            batch.put(SNAPSHOT_KEY, encode(snapshot))
        else:
            self._activate_chunks(batch, snapshot, pending)

    def _activate_chunks(self, batch: Batch, snapshot: Snapshot, chunks: ChunkRange) -> None:
        assert chunks.snapshot_index == snapshot.index, "the snapshot's chunks must be written first"
        if self.active_chunks != chunks:
            self.delete_chunks(batch, self.active_chunks)
        self.active_chunks = chunks
        header = SnapshotHeader(
            index=snapshot.index,
            term=snapshot.term,
            configuration=snapshot.configuration,
            data=None,
            chunk_count=chunks.chunk_count,
            total_bytes=len(snapshot.data),
        )
        batch.put(SNAPSHOT_KEY, encode(header))
