"""Which batches still fit: the store's bounds, and what a commit would add to it; no I/O."""

from __future__ import annotations

from dataclasses import dataclass

from lichencleat.store import errors as bounds
from lichencleat.store import frames
from lichencleat.store.batch import Batch
from lichencleat.store.errors import FullError, StoreError
from lichencleat.store.index import ENTRY_BYTES, Index

MIB = 1 << 20
SPARE_SEGMENTS = 2  # of the bound on segments, left to cleaning


@dataclass(frozen=True, slots=True)
class Bounds:
    """How large a store may grow. Defaults suit a node with some hundred MB and 1,024 descriptors."""

    segment_bytes: int = 16 * MIB  # a segment is closed once it is this large; one holds a descriptor
    disk_bytes: int = 1024 * MIB  # of all segments; what cleaning needs is kept back from it
    entries: int = 2_000_000
    memory_bytes: int = 512 * MIB  # of index entries, estimated
    segments: int = 512  # files open at once
    reserve: bool = True  # keep a file of one segment's size, for cleaning when the disk itself is full
    undo_entries: int = 1_000_000  # changes that a snapshot outlives

    @property
    def reserve_bytes(self) -> int:
        return self.segment_bytes + self.segment_bytes // 16


class Room:
    """What is left for the batches of one commit; each that is taken makes it smaller."""

    def __init__(self, most: Bounds, index: Index, total: int, begins: bool, segments: int) -> None:
        """`total`: bytes of all segments, `segments`: how many; `begins`: the commit needs a new one."""
        self.most, self.index = most, index
        self.bytes = total
        self.full = begins and segments >= most.segments - SPARE_SEGMENTS
        self.entries = self.memory = 0  # that the batches taken add
        self.near = False  # all batches together might break a bound of the index: each is looked at

    def asked(self, changes: int, size: int) -> None:
        """All that the commit's batches hold: where the index has room for it, none is looked at closer."""
        memory = self.index.memory + ENTRY_BYTES * changes + size
        self.near = len(self.index) + changes > self.most.entries or memory > self.most.memory_bytes

    def take(self, batch: Batch) -> StoreError | None:
        """The bound that the batch would break, if any. Deletes may use half of what is kept for cleaning."""
        most = self.most
        size = self.bytes + batch.bytes + frames.FRAME_EXTRA  # with its commit's frame
        kept_back = most.reserve_bytes if batch.puts else most.reserve_bytes // 2
        if size > most.disk_bytes - kept_back:
            return FullError(bounds.BYTES, f" ({most.disk_bytes}, {kept_back} of them kept for cleaning)")
        if self.full:
            return FullError(bounds.SEGMENTS, f" ({most.segments})")
        if self.near:
            places = self.index.places
            new = {key for key, value, _ in batch.changes if value is not None and key not in places}
            entries = self.entries + len(new)
            memory = self.memory + sum(map(len, new)) + ENTRY_BYTES * len(new)
            if new and len(places) + entries > most.entries:
                return FullError(bounds.ENTRIES, f" ({most.entries})")
            if new and self.index.memory + memory > most.memory_bytes:
                return FullError(bounds.MEMORY, f" ({most.memory_bytes})")
            self.entries, self.memory = entries, memory
        self.bytes = size
        return None
