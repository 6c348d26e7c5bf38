"""Capacity: the store's limits, and the check of a commit's batches against them. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from lichencleat.store import framing
from lichencleat.store.batch import Batch
from lichencleat.store.errors import FullError, Limit, StoreError
from lichencleat.store.index import ENTRY_BYTES, Index

MIB = 1 << 20
RESERVED_SEGMENTS = 2  # number of segments, out of `max_segments`, that commits leave for compaction


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Limits on a store's size.

    The defaults suit a node with a few hundred MB of memory and 1,024 file descriptors.
    """

    segment_bytes: int = 16 * MIB  # a segment is sealed at this size
    max_disk_bytes: int = 1024 * MIB  # size of all segments, including the space reserved for compaction
    max_entries: int = 2_000_000
    max_memory_bytes: int = 512 * MIB  # estimated memory of the index
    max_segments: int = 512  # each segment is an open file
    keep_reserve: bool = True  # whether a file of `reserve_bytes` keeps space for compaction on a full disk
    max_undo_entries: int = 1_000_000  # a snapshot ends when more keys than this have changed since its start

    @property
    def reserve_bytes(self) -> int:
        """Return the bytes that compacting one segment may need: a segment's size and some overhead."""
        return self.segment_bytes + self.segment_bytes // 16


class CapacityCheck:
    """Checks the batches of one commit against the limits; each admitted batch reduces the space left."""

    def __init__(
        self, limits: StoreLimits, index: Index, disk_bytes: int, needs_segment: bool, segment_count: int
    ) -> None:
        """Create the check with the store's state before the commit.

        Args:
            limits: The store's limits.
            index: The store's entries.
            disk_bytes: Bytes of all segments.
            needs_segment: Whether the commit begins a new segment.
            segment_count: Number of segments.
        """
        self.limits = limits
        self.index = index
        self.disk_bytes = disk_bytes
        self.out_of_segments = needs_segment and segment_count >= limits.max_segments - RESERVED_SEGMENTS
        self.added_entries = 0  # entries that the admitted batches add to the index
        self.added_memory = 0  # estimated bytes that the admitted batches add to the index
        self.near_index_limit = False  # whether `admit` has to count each batch's new keys

    def expect(self, total_changes: int, total_bytes: int) -> None:
        """Set the total changes and bytes of all batches that are checked next.

        If the index has space for all of these changes, `admit` does not count each batch's new keys.
        """
        memory_bytes = self.index.memory_bytes + ENTRY_BYTES * total_changes + total_bytes
        too_many_entries = len(self.index) + total_changes > self.limits.max_entries
        self.near_index_limit = too_many_entries or memory_bytes > self.limits.max_memory_bytes

    def admit(self, batch: Batch) -> StoreError | None:
        """Admit the batch and return None, or return an error with the limit that the batch would exceed.

        Batches that only delete may use half of the space reserved for compaction.
        """
        limits = self.limits
        # size of the segments after the batch and its commit record
        disk_bytes = self.disk_bytes + batch.bytes + framing.MAX_FRAME_OVERHEAD_BYTES
        reserved_bytes = limits.reserve_bytes if batch.has_puts else limits.reserve_bytes // 2
        if disk_bytes > limits.max_disk_bytes - reserved_bytes:
            detail = f"({limits.max_disk_bytes}, {reserved_bytes} of them reserved for compaction)"
            return FullError(Limit.DISK_BYTES, detail)
        if self.out_of_segments:
            return FullError(Limit.SEGMENTS, f"({limits.max_segments})")
        if self.near_index_limit:
            error = self._admit_to_index(batch)
            if error is not None:
                return error
        self.disk_bytes = disk_bytes
        return None

    def _admit_to_index(self, batch: Batch) -> StoreError | None:
        limits = self.limits
        locations = self.index.locations
        new_keys = {key for key, value, _ in batch.changes if value is not None and key not in locations}
        added_entries = self.added_entries + len(new_keys)
        added_memory = self.added_memory + sum(map(len, new_keys)) + ENTRY_BYTES * len(new_keys)
        if new_keys and len(locations) + added_entries > limits.max_entries:
            return FullError(Limit.ENTRIES, f"({limits.max_entries})")
        if new_keys and self.index.memory_bytes + added_memory > limits.max_memory_bytes:
            return FullError(Limit.MEMORY, f"({limits.max_memory_bytes})")
        self.added_entries = added_entries
        self.added_memory = added_memory
        return None
