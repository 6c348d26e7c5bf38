"""Which batches still fit: the store's bounds, and what a commit would add to it; no I/O."""

from __future__ import annotations

from dataclasses import dataclass

from lichencleat.store import errors as bounds
from lichencleat.store import framing
from lichencleat.store.batch import Batch
from lichencleat.store.errors import FullError, StoreError
from lichencleat.store.index import ENTRY_BYTES, Index

MIB = 1 << 20
SPARE_SEGMENTS = 2  # of the bound on segments, left to cleaning


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """How large a store may grow. Defaults suit a node with some hundred MB and 1,024 descriptors."""

    segment_bytes: int = 16 * MIB  # a segment is closed once it is this large; one holds a descriptor
    max_disk_bytes: int = 1024 * MIB  # of all segments; what cleaning needs is kept back from it
    max_entries: int = 2_000_000
    max_memory_bytes: int = 512 * MIB  # of index entries, estimated
    max_segments: int = 512  # files open at once
    keep_reserve: bool = True  # keep a file of one segment's size, for cleaning when the disk itself is full
    max_undo_entries: int = 1_000_000  # changes that a snapshot outlives

    @property
    def reserve_bytes(self) -> int:
        return self.segment_bytes + self.segment_bytes // 16


class CapacityCheck:
    """What is left for the batches of one commit; each that is taken makes it smaller."""

    def __init__(self, most: StoreLimits, index: Index, total: int, begins: bool, segments: int) -> None:
        """`total`: bytes of all segments, `segments`: how many; `begins`: the commit needs a new one."""
        self.most, self.index = most, index
        self.bytes = total
        self.full = begins and segments >= most.max_segments - SPARE_SEGMENTS
        self.entries = self.memory = 0  # that the batches taken add
        self.near = False  # all batches together might break a bound of the index: each is looked at

    def asked(self, changes: int, size: int) -> None:
        """All that the commit's batches hold: where the index has room for it, none is looked at closer."""
        memory = self.index.memory + ENTRY_BYTES * changes + size
        self.near = len(self.index) + changes > self.most.max_entries or memory > self.most.max_memory_bytes

    def take(self, batch: Batch) -> StoreError | None:
        """The bound that the batch would break, if any. Deletes may use half of what is kept for cleaning."""
        most = self.most
        size = self.bytes + batch.bytes + framing.MAX_FRAME_OVERHEAD_BYTES  # with its commit's frame
        kept_back = most.reserve_bytes if batch.puts else most.reserve_bytes // 2
        if size > most.max_disk_bytes - kept_back:
            return FullError(bounds.BYTES, f" ({most.max_disk_bytes}, {kept_back} of them kept for cleaning)")
        if self.full:
            return FullError(bounds.SEGMENTS, f" ({most.max_segments})")
        if self.near:
            locations = self.index.locations
            new = {key for key, value, _ in batch.changes if value is not None and key not in locations}
            entries = self.entries + len(new)
            memory = self.memory + sum(map(len, new)) + ENTRY_BYTES * len(new)
            if new and len(locations) + entries > most.max_entries:
                return FullError(bounds.ENTRIES, f" ({most.max_entries})")
            if new and self.index.memory + memory > most.max_memory_bytes:
                return FullError(bounds.MEMORY, f" ({most.max_memory_bytes})")
            self.entries, self.memory = entries, memory
        self.bytes = size
        return None
