"""The index: where each key's value is, now and in snapshots, in order of keys. No I/O, no lock of its own.

A location is one integer into which expiry, segment, offset and length are packed, as objects of their own
would cost some 200 bytes a key. Limits on entries and memory are for the caller to check; undo lists are
limited here.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice, takewhile

from sortedcontainers import SortedDict, SortedList

ENTRY_BYTES = 150  # of memory that an entry costs besides its key: dict, order, location, object headers
FIELD_BITS = 32  # of an offset, a length, a segment's number
FIELD_MASK = (1 << FIELD_BITS) - 1
MAX_UNDO_ENTRIES = 1_000_000  # changes that a snapshot outlives: some 150 MB


def pack_location(segment: int, offset: int, length: int, expiry: int) -> int:
    """Pack a location; `expiry` is in µs of Unix time, 0 for none."""
    return ((expiry << FIELD_BITS | segment) << FIELD_BITS | offset) << FIELD_BITS | length


def segment_of(location: int) -> int:
    """The segment's number."""
    return location >> 2 * FIELD_BITS & FIELD_MASK


def offset_of(location: int) -> int:
    """The frame's offset in the segment's file, in bytes."""
    return location >> FIELD_BITS & FIELD_MASK


def length_of(location: int) -> int:
    """The frame's length in bytes."""
    return location & FIELD_MASK


def expiry_of(location: int) -> int:
    """The expiry in µs of Unix time, 0 for none."""
    return location >> 3 * FIELD_BITS


def is_expired(location: int, now: int) -> bool:
    """Whether the entry has an expiry that is not after `now` (µs)."""
    return 0 < location >> 3 * FIELD_BITS <= now


@dataclass(slots=True)
class LocationTotals:
    """What a start has to know of all entries, from one pass over them."""

    live_bytes: dict[int, int]  # by segment number: bytes of the frames that entries point at
    ends: dict[int, int]  # by segment number: offset at which the last of these ends
    earliest_expiry: int  # µs: the earliest expiry, 0 where none


def total_locations(locations: dict[bytes, int]) -> LocationTotals:
    """Sum up all locations of a new index."""
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
    """The entries, and the snapshots that are open on them.

    Attributes:
        locations: By key, packed.
        order: The keys, sorted.
        memory: Estimated bytes of memory.
        live_bytes: By segment number, the bytes of the frames that entries point at.
        earliest_expiry: No entry expires before this time (µs); 0 where none expires.
        max_undo_entries: Changes that a snapshot outlives.
        snapshots: Those that are open, oldest first.
    """

    def __init__(self, max_undo_entries: int = MAX_UNDO_ENTRIES) -> None:
        self.locations: dict[bytes, int] = {}
        self.order: SortedList = SortedList()
        self.memory = 0
        self.live_bytes: dict[int, int] = {}
        self.earliest_expiry = 0
        self.max_undo_entries = max_undo_entries
        self.snapshots: dict[Snapshot, None] = {}

    def __len__(self) -> int:
        return len(self.locations)

    def load(self, locations: dict[bytes, int], sums: LocationTotals) -> None:
        """Take over all entries at once, as a start finds them, with their `total_locations`."""
        self.locations = locations
        self.order = SortedList(locations)
        self.memory = sum(map(len, locations)) + ENTRY_BYTES * len(locations)
        self.live_bytes, self.earliest_expiry = sums.live_bytes, sums.earliest_expiry

    def get(self, key: bytes, now: int) -> int | None:
        """The key's location, or None where there is no entry or it has expired."""
        location = self.locations.get(key)
        return None if location is None or is_expired(location, now) else location

    def put(self, key: bytes, location: int) -> None:
        """Set a key's location to that of a new value."""
        old = self.locations.get(key)
        if old is None:
            self.order.add(key)
            self.memory += len(key) + ENTRY_BYTES
        else:
            self.live_bytes[segment_of(old)] -= length_of(old)
        if self.snapshots:
            self._record_undo(key, old)
        self._enter(key, location)

    def move(self, key: bytes, old: int, location: int) -> bool:
        """Note that a value was copied to another location; no snapshot changes.

        Returns whether `old` was still its location; if not, nothing is done.
        """
        if self.locations.get(key) != old:
            return False
        self.live_bytes[segment_of(old)] -= length_of(old)
        self._enter(key, location)
        return True

    def _enter(self, key: bytes, location: int) -> None:
        self.locations[key] = location
        segment, expiry = location >> 2 * FIELD_BITS & FIELD_MASK, location >> 3 * FIELD_BITS
        self.live_bytes[segment] = self.live_bytes.get(segment, 0) + (location & FIELD_MASK)
        if expiry and (expiry < self.earliest_expiry or not self.earliest_expiry):
            self.earliest_expiry = expiry

    def delete(self, key: bytes) -> None:
        """Remove a key, if it is there."""
        old = self.locations.pop(key, None)
        if old is None:
            return
        self.order.remove(key)
        self.memory -= len(key) + ENTRY_BYTES
        self.live_bytes[segment_of(old)] -= length_of(old)
        self._record_undo(key, old)

    def _record_undo(self, key: bytes, old: int | None) -> None:
        for snapshot in list(self.snapshots):
            snapshot.record_previous(key, old)

    def drop_expired(self, cursor: bytes, limit: int, now: int) -> tuple[bytes | None, int]:
        """Drop what has expired among the next `limit` keys from the cursor on.

        Returns the next cursor (None at the end) and the earliest expiry left among these keys (0: none).
        """
        keys = list(islice(self.order.irange(cursor), limit + 1))
        earliest_expiry = 0
        for key in keys[:limit]:
            location = self.locations[key]
            if is_expired(location, now):
                self.delete(key)
            elif (expiry := expiry_of(location)) and (expiry < earliest_expiry or not earliest_expiry):
                earliest_expiry = expiry
        return (keys[limit] if len(keys) > limit else None), earliest_expiry

    def snapshot(self, sequence: int) -> Snapshot:
        """Take a snapshot of the entries as of that sequence; the caller closes it."""
        snapshot = Snapshot(self, sequence)
        self.snapshots[snapshot] = None
        return snapshot


class Snapshot:
    """The entries as of when it was taken: each later change adds what it replaced to the undo list."""

    def __init__(self, index: Index, sequence: int) -> None:
        self.index = index
        self.sequence = sequence  # of the last change that it includes
        self.undo: SortedDict = SortedDict()  # key -> location then, None where there was none
        self.is_open = True

    def record_previous(self, key: bytes, old: int | None) -> None:
        """Note what a change is about to replace; at the limit of the undo list the snapshot ends."""
        if key not in self.undo:
            if len(self.undo) >= self.index.max_undo_entries:
                self.close()  # its readers get an error, the writer goes on
                return
            self.undo[key] = old

    def close(self) -> None:
        """End the snapshot and free its undo list; may be called again."""
        self.is_open = False
        self.undo.clear()
        self.index.snapshots.pop(self, None)

    def get(self, key: bytes) -> int | None:
        """The key's location when the snapshot was taken, or None; expiry is not looked at."""
        return self.undo[key] if key in self.undo else self.index.locations.get(key)

    def chunk(self, cursor: bytes, prefix: bytes, limit: int) -> list[tuple[bytes, int]]:
        """Return up to `limit` entries from `cursor` on, in order, while keys begin with `prefix`.

        The next chunk begins behind the last key: at that key and a zero byte. The last chunk is empty.
        """

        def keys_of(among: SortedList | SortedDict) -> Iterator[bytes]:
            return islice(
                takewhile(lambda key: key.startswith(prefix), among.irange(max(cursor, prefix))), limit
            )

        found: list[tuple[bytes, int]] = []
        while self.is_open and not found:
            now = list(keys_of(self.index.order))
            then = list(keys_of(self.undo))
            merged = sorted({*now, *then})[:limit]
            if not merged:
                break
            found = [(key, location) for key in merged if (location := self.get(key)) is not None]
            cursor = merged[-1] + b"\0"  # all of these were made since: go on with the next ones
        return found
