"""The index: the location of each key's value, now and in snapshots, ordered by key. No I/O and no locking.

A location is one integer that packs expiry, segment, offset and length, because separate objects would cost
some 200 bytes per key. The caller checks the limits on entries and memory; the index limits undo lists.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice, takewhile

from sortedcontainers import SortedDict, SortedList

ENTRY_BYTES = 150  # memory of an entry besides its key: dict slot, sorted list, location, object headers
FIELD_BITS = 32  # bits in a location for each of offset, length and segment number
FIELD_MASK = (1 << FIELD_BITS) - 1
MAX_UNDO_ENTRIES = 1_000_000  # limit on the keys that change after a snapshot is taken: some 150 MB


def pack_location(segment: int, offset: int, length: int, expiry: int) -> int:
    """Pack a location; `expiry` is in µs of Unix time, 0 for none."""
    return ((expiry << FIELD_BITS | segment) << FIELD_BITS | offset) << FIELD_BITS | length


def segment_of(location: int) -> int:
    """Return the number of the segment at a location."""
    return location >> 2 * FIELD_BITS & FIELD_MASK


def offset_of(location: int) -> int:
    """Return the offset of the frame at a location, in bytes from the start of the segment's file."""
    return location >> FIELD_BITS & FIELD_MASK


def length_of(location: int) -> int:
    """Return the length of the frame at a location, in bytes."""
    return location & FIELD_MASK


def expiry_of(location: int) -> int:
    """Return the expiry in a location, in µs of Unix time, 0 for none."""
    return location >> 3 * FIELD_BITS


def is_expired(location: int, now: int) -> bool:
    """Whether the location has an expiry that is not after `now` (µs)."""
    return 0 < location >> 3 * FIELD_BITS <= now


@dataclass(slots=True)
class LocationTotals:
    """Figures about all entries, computed in one pass when the store opens."""

    live_bytes: dict[int, int]  # by segment number: bytes of the frames that entries point at
    ends: dict[int, int]  # by segment number: offset at which the last frame that an entry points at ends
    earliest_expiry: int  # µs: 0 if no entry expires


def total_locations(locations: dict[bytes, int]) -> LocationTotals:
    """Return the live bytes and the last end of each segment, and the earliest expiry, of all locations."""
    live_bytes: dict[int, int] = {}
    ends: dict[int, int] = {}
    earliest_expiry = 0
    for location in locations.values():
        segment, length = location >> 2 * FIELD_BITS & FIELD_MASK, location & FIELD_MASK
        end = (location >> FIELD_BITS & FIELD_MASK) + length
        if segment in live_bytes:
            live_bytes[segment] += length
            if end > ends[segment]:
                ends[segment] = end
        else:
            live_bytes[segment], ends[segment] = length, end
        expiry = location >> 3 * FIELD_BITS
        if expiry and (expiry < earliest_expiry or not earliest_expiry):
            earliest_expiry = expiry
    return LocationTotals(live_bytes, ends, earliest_expiry)


class Index:
    """The entries of the store, and the open snapshots of the entries.

    Attributes:
        locations: Packed location of each key.
        sorted_keys: The keys, sorted.
        memory_bytes: Estimated memory.
        live_bytes: Bytes of the frames that entries point at, by segment number.
        earliest_expiry: No entry expires before this time (µs); 0 if none expires.
        max_undo_entries: Limit on the undo list of a snapshot; the snapshot ends when it is reached.
        snapshots: Open snapshots, oldest first.
    """

    def __init__(self, max_undo_entries: int = MAX_UNDO_ENTRIES) -> None:
        self.locations: dict[bytes, int] = {}
        self.sorted_keys: SortedList = SortedList()
        self.memory_bytes = 0
        self.live_bytes: dict[int, int] = {}
        self.earliest_expiry = 0
        self.max_undo_entries = max_undo_entries
        self.snapshots: dict[Snapshot, None] = {}

    def __len__(self) -> int:
        return len(self.locations)

    def load(self, locations: dict[bytes, int], totals: LocationTotals) -> None:
        """Load all entries when the store opens; `totals` is the result of `total_locations` for them."""
        self.locations = locations
        self.sorted_keys = SortedList(locations)
        self.memory_bytes = sum(map(len, locations)) + ENTRY_BYTES * len(locations)
        self.live_bytes, self.earliest_expiry = totals.live_bytes, totals.earliest_expiry

    def get(self, key: bytes, now: int) -> int | None:
        """Return the location of a key's value, or None if the entry does not exist or has expired."""
        location = self.locations.get(key)
        return None if location is None or is_expired(location, now) else location

    def put(self, key: bytes, location: int) -> None:
        """Set the location of a key's new value."""
        old_location = self.locations.get(key)
        if old_location is None:
            self.sorted_keys.add(key)
            self.memory_bytes += len(key) + ENTRY_BYTES
        else:
            self.live_bytes[segment_of(old_location)] -= length_of(old_location)
        if self.snapshots:
            self._record_undo(key, old_location)
        self._set_location(key, location)

    def move(self, key: bytes, old_location: int, new_location: int) -> bool:
        """Record that compaction copied a value to another location; snapshots keep the old location.

        Returns False, and changes nothing, if the key's location is not `old_location` any more.
        """
        if self.locations.get(key) != old_location:
            return False
        self.live_bytes[segment_of(old_location)] -= length_of(old_location)
        self._set_location(key, new_location)
        return True

    def _set_location(self, key: bytes, location: int) -> None:
        self.locations[key] = location
        segment, expiry = location >> 2 * FIELD_BITS & FIELD_MASK, location >> 3 * FIELD_BITS
        self.live_bytes[segment] = self.live_bytes.get(segment, 0) + (location & FIELD_MASK)
        if expiry and (expiry < self.earliest_expiry or not self.earliest_expiry):
            self.earliest_expiry = expiry

    def delete(self, key: bytes) -> None:
        """Remove a key if it exists."""
        old_location = self.locations.pop(key, None)
        if old_location is None:
            return
        self.sorted_keys.remove(key)
        self.memory_bytes -= len(key) + ENTRY_BYTES
        self.live_bytes[segment_of(old_location)] -= length_of(old_location)
        self._record_undo(key, old_location)

    def _record_undo(self, key: bytes, old_location: int | None) -> None:
        for snapshot in list(self.snapshots):
            snapshot.record_previous(key, old_location)

    def drop_expired(self, cursor: bytes, limit: int, now: int) -> tuple[bytes | None, int]:
        """Remove the expired entries among the next `limit` entries, in order of keys, from `cursor` on.

        Returns the next cursor (None at the end), and the earliest expiry (0: none) of the checked entries
        that have not expired.
        """
        keys = list(islice(self.sorted_keys.irange(cursor), limit + 1))
        earliest_expiry = 0
        for key in keys[:limit]:
            location = self.locations[key]
            if is_expired(location, now):
                self.delete(key)
            elif (expiry := expiry_of(location)) and (expiry < earliest_expiry or not earliest_expiry):
                earliest_expiry = expiry
        return (keys[limit] if len(keys) > limit else None), earliest_expiry

    def snapshot(self, sequence: int) -> Snapshot:
        """Take a snapshot of the current entries; the caller closes the snapshot.

        `sequence` is that of the last log record whose change is in the index.
        """
        snapshot = Snapshot(self, sequence)
        self.snapshots[snapshot] = None
        return snapshot


class Snapshot:
    """The entries at the time the snapshot was taken.

    Each later change of a key first records the previous location in the undo list.
    """

    def __init__(self, index: Index, sequence: int) -> None:
        self.index = index
        self.sequence = sequence  # sequence of the last log record that the snapshot includes
        self.undo: SortedDict = SortedDict()  # key -> location in the snapshot, None: no entry
        self.is_open = True

    def record_previous(self, key: bytes, old_location: int | None) -> None:
        """Record the location that a change replaces; ends the snapshot at the limit of its undo list."""
        if key not in self.undo:
            if len(self.undo) >= self.index.max_undo_entries:
                self.close()  # readers of the snapshot get an error, the write succeeds
                return
            self.undo[key] = old_location

    def close(self) -> None:
        """End the snapshot and free its undo list; idempotent."""
        self.is_open = False
        self.undo.clear()
        self.index.snapshots.pop(self, None)

    def get(self, key: bytes) -> int | None:
        """Return the key's location in the snapshot, also of an expired entry; None without an entry."""
        return self.undo[key] if key in self.undo else self.index.locations.get(key)

    def chunk(self, cursor: bytes, prefix: bytes, limit: int) -> list[tuple[bytes, int]]:
        """Return up to `limit` entries from `cursor` on, in order of keys, whose keys begin with `prefix`.

        The next chunk's cursor is the last key followed by a zero byte. The last chunk is empty.
        """

        def keys_with_prefix(source: SortedList | SortedDict) -> Iterator[bytes]:
            return islice(
                takewhile(lambda key: key.startswith(prefix), source.irange(max(cursor, prefix))), limit
            )

        found: list[tuple[bytes, int]] = []
        while self.is_open and not found:
            current_keys = list(keys_with_prefix(self.index.sorted_keys))
            undo_keys = list(keys_with_prefix(self.undo))
            merged = sorted({*current_keys, *undo_keys})[:limit]
            if not merged:
                break
            found = [(key, location) for key in merged if (location := self.get(key)) is not None]
            cursor = merged[-1] + b"\0"  # the loop continues if none of these keys was in the snapshot
        return found
