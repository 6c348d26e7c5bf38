"""A member's log on the project's store: saves made into batches, and read back at a start; no I/O of its
own.

Keys: `t` the term, the vote, the base and the last index; `s` the snapshot; `e` and eight bytes an entry. A
save is one batch, so a cut leaves the whole of it or nothing.

A snapshot too large for one value stands in pieces: `p`, eight bytes of its index, four of the piece. They
are written before, each a batch of its own, and `s` then only counts them: a cut between leaves the snapshot
before whole. `w` names the pieces that are being written, so that those a cut left are found and deleted.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

import msgspec

from lichencleat.consensus.messages import Configuration, DurableState, DurableWrite, Entry, Snapshot
from lichencleat.store.batch import Batch
from lichencleat.store.errors import DamagedError, Finding

# Keys and key prefixes in the store. They stand in files: never changed.
HARD_STATE_KEY = b"t"
SNAPSHOT_KEY = b"s"
ENTRY_KEY_PREFIX = b"e"
CHUNK_KEY_PREFIX = b"p"
PENDING_CHUNKS_KEY = b"w"
MAX_CHUNK_BYTES = 4 << 20  # bytes: what the store's writer holds at once, far under a value's 16 MiB
ChunkRange = tuple[int, int]  # index of the snapshot that they make, how many; (0, 0): none
NO_CHUNKS: ChunkRange = (0, 0)


class SnapshotHeader(msgspec.Struct, frozen=True, array_like=True):
    """What stands under `s`: a whole snapshot, or one in pieces. The first four are a `Snapshot`'s, so that
    a file from before pieces is read; a program from before them finds no data, and does not start.
    """

    index: int
    term: int
    configuration: Configuration
    data: bytes | None
    chunk_count: int = 0
    total_bytes: int = 0  # bytes of all pieces


encode = msgspec.msgpack.encode
decode_hard_state = msgspec.msgpack.Decoder(tuple[int, int, int, int]).decode
decode_snapshot_header = msgspec.msgpack.Decoder(SnapshotHeader).decode
decode_chunk_range = msgspec.msgpack.Decoder(ChunkRange).decode
decode_entry = msgspec.msgpack.Decoder(Entry).decode


def entry_key(index: int) -> bytes:
    return ENTRY_KEY_PREFIX + index.to_bytes(8, "big")


def chunk_key(index: int, number: int) -> bytes:
    return CHUNK_KEY_PREFIX + index.to_bytes(8, "big") + number.to_bytes(4, "big")


def chunk_keys(pieces: ChunkRange) -> Iterable[bytes]:
    return (chunk_key(pieces[0], number) for number in range(pieces[1]))


class LogStorage:
    """Knows which entries and pieces the store holds: those that count no more are deleted with the next
    save.
    """

    def __init__(self, piece_most: int = MAX_CHUNK_BYTES) -> None:
        self.max_chunk_bytes = piece_most
        self.snapshot_index = self.last_index = 0  # entries held: from base + 1 to last
        self.active_chunks = NO_CHUNKS  # the snapshot's that stands
        self.pending_chunks = NO_CHUNKS  # written, or in part, and not counting yet

    def load(self, get: Callable[[bytes], bytes | None]) -> DurableState:
        """Raises DamagedError where something that was confirmed is not there."""
        begun = get(PENDING_CHUNKS_KEY)
        if begun is not None:
            self.pending_chunks = decode_chunk_range(begun)
        top = get(HARD_STATE_KEY)
        if top is None:
            return DurableState()
        term, vote, self.snapshot_index, self.last_index = decode_hard_state(top)
        snapshot = self.load_snapshot(get)
        entries = []
        for index in range(self.snapshot_index + 1, self.last_index + 1):
            data = get(entry_key(index))
            if data is None:
                raise DamagedError([Finding("the log", index, "an entry that was confirmed is missing")])
            entries.append(decode_entry(data))
        return DurableState(term, vote, snapshot, entries)

    def load_snapshot(self, get: Callable[[bytes], bytes | None]) -> Snapshot | None:
        found = get(SNAPSHOT_KEY)
        if found is None:
            return None
        head = decode_snapshot_header(found)
        if head.data is not None:
            return Snapshot(head.index, head.term, head.configuration, head.data)
        self.active_chunks = (head.index, head.chunk_count)
        pieces = [get(key) for key in chunk_keys(self.active_chunks)]
        data = b"".join(each for each in pieces if each is not None)
        if None in pieces or len(data) != head.total_bytes:
            raise DamagedError([Finding("the snapshot", head.index, "a confirmed piece is missing")])
        return Snapshot(head.index, head.term, head.configuration, data)

    def chunk_batches(self, save: DurableWrite) -> Iterator[Batch]:
        """What is to be confirmed, one after the other, before the save's own batch is made and written:
        pieces of its snapshot, where that is a large one.
        """
        snapshot = save.snapshot
        if snapshot is None or len(snapshot.data) <= self.max_chunk_bytes:
            return
        made = (snapshot.index, -(-len(snapshot.data) // self.max_chunk_bytes))
        first = self.delete_chunks(Batch(), self.pending_chunks).put(PENDING_CHUNKS_KEY, encode(made))
        self.pending_chunks = made
        yield first
        for number, key in enumerate(chunk_keys(made)):
            at = number * self.max_chunk_bytes
            yield Batch().put(key, snapshot.data[at : at + self.max_chunk_bytes])

    @staticmethod
    def delete_chunks(batch: Batch, pieces: ChunkRange) -> Batch:
        for key in chunk_keys(pieces):
            batch.delete(key)
        return batch

    def finish_snapshot(self, batch: Batch, snapshot: Snapshot | None) -> None:
        """The pieces under way count from this batch on, where they are the snapshot's; else they go."""
        under_way, self.pending_chunks = self.pending_chunks, NO_CHUNKS
        if under_way != NO_CHUNKS:
            batch.delete(PENDING_CHUNKS_KEY)
        if snapshot is None or len(snapshot.data) <= self.max_chunk_bytes:
            self.delete_chunks(batch, under_way)
            if snapshot is not None:
                self.delete_chunks(batch, self.active_chunks)
                self.active_chunks = NO_CHUNKS
                batch.put(SNAPSHOT_KEY, encode(snapshot))
            return
        assert under_way[0] == snapshot.index, "its pieces are to be written before"
        if self.active_chunks != under_way:
            self.delete_chunks(batch, self.active_chunks)
        self.active_chunks = under_way
        size = len(snapshot.data)
        head = SnapshotHeader(snapshot.index, snapshot.term, snapshot.configuration, None, under_way[1], size)
        batch.put(SNAPSHOT_KEY, encode(head))

    def make_batch(self, save: DurableWrite) -> Batch:
        batch = Batch()
        self.finish_snapshot(batch, save.snapshot)
        after = save.first_index + len(save.entries)
        for index in range(self.snapshot_index + 1, min(self.last_index, save.snapshot_index) + 1):
            batch.delete(entry_key(index))  # the snapshot stands for it
        for index in range(max(save.last_index, save.snapshot_index) + 1, self.last_index + 1):
            if index >= after:
                batch.delete(entry_key(index))  # another leader's log ends before it
        for index, entry in enumerate(save.entries, save.first_index):
            batch.put(entry_key(index), encode(entry))
        batch.put(HARD_STATE_KEY, encode((save.term, save.vote, save.snapshot_index, save.last_index)))
        self.snapshot_index, self.last_index = save.snapshot_index, save.last_index
        return batch

    def bootstrap_batch(self, snapshot: Snapshot) -> Batch:
        """The first member of a new group: its log begins with who belongs to it."""
        batch = Batch().put(SNAPSHOT_KEY, encode(snapshot))
        return batch.put(HARD_STATE_KEY, encode((0, 0, snapshot.index, snapshot.index)))
