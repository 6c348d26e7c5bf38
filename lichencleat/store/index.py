"""Where each key's value stands, now and in snapshots, in order of keys; no I/O, no lock of its own.

A place is one whole number: expiry, segment, offset and length packed, as objects of their own would cost
some 200 bytes a key. Bounds on entries and bytes are the caller's to ask for (`entries`, `memory`); undo
lists are bounded here.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice, takewhile

from sortedcontainers import SortedDict, SortedList

ENTRY_BYTES = 150  # bytes of memory an entry costs besides its key: dict, order, place, the objects' heads
FIELD_BITS = 32  # of an offset, a length, a segment's number
FIELD_MASK = (1 << FIELD_BITS) - 1
MAX_UNDO_ENTRIES = 1_000_000  # changes that a snapshot outlives: some 150 MB; behind them it is ended


def pack_location(segment: int, offset: int, length: int, expiry: int) -> int:
    return ((expiry << FIELD_BITS | segment) << FIELD_BITS | offset) << FIELD_BITS | length


def segment_of(where: int) -> int:
    return where >> 2 * FIELD_BITS & FIELD_MASK


def offset_of(where: int) -> int:
    return where >> FIELD_BITS & FIELD_MASK


def length_of(where: int) -> int:
    return where & FIELD_MASK


def expiry_of(where: int) -> int:
    """µs of Unix time, 0 for none."""
    return where >> 3 * FIELD_BITS


def expired(where: int, now: int) -> bool:
    return 0 < where >> 3 * FIELD_BITS <= now


@dataclass(slots=True)
class LocationTotals:
    """What a start has to know of all entries, from one pass over them."""

    live_bytes: dict[int, int]  # segment -> bytes of the frames that entries point at
    ends: dict[int, int]  # segment -> where the last of these ends
    earliest_expiry: int  # µs: the earliest expiry, 0 where none


def total_locations(locations: dict[bytes, int]) -> LocationTotals:
    live_bytes: dict[int, int] = {}
    ends: dict[int, int] = {}
    earliest_expiry = 0
    for where in locations.values():
        segment, length = where >> 2 * FIELD_BITS & FIELD_MASK, where & FIELD_MASK
        end = (where >> FIELD_BITS & FIELD_MASK) + length
        if segment in live_bytes:
            live_bytes[segment] += length
            if end > ends[segment]:
                ends[segment] = end
        else:
            live_bytes[segment], ends[segment] = length, end
        expiry = where >> 3 * FIELD_BITS
        if expiry and (expiry < earliest_expiry or not earliest_expiry):
            earliest_expiry = expiry
    return LocationTotals(live_bytes, ends, earliest_expiry)


class Index:
    def __init__(self, max_undo_entries: int = MAX_UNDO_ENTRIES) -> None:
        self.locations: dict[bytes, int] = {}
        self.order: SortedList = SortedList()
        self.memory = 0  # bytes, estimated
        self.live_bytes: dict[int, int] = {}  # segment -> bytes of the frames that entries point at
        self.earliest_expiry = 0  # µs: no entry expires before it; 0 where none expires
        self.max_undo_entries = max_undo_entries
        self.snapshots: dict[Snapshot, None] = {}

    def __len__(self) -> int:
        return len(self.locations)

    def load(self, locations: dict[bytes, int], sums: LocationTotals) -> None:
        """Takes over all entries at once, as a start finds them, with what `total_locations` says of them."""
        self.locations = locations
        self.order = SortedList(locations)
        self.memory = sum(map(len, locations)) + ENTRY_BYTES * len(locations)
        self.live_bytes, self.earliest_expiry = sums.live_bytes, sums.earliest_expiry

    def get(self, key: bytes, now: int) -> int | None:
        where = self.locations.get(key)
        return None if where is None or expired(where, now) else where

    def put(self, key: bytes, where: int) -> None:
        old = self.locations.get(key)
        if old is None:
            self.order.add(key)
            self.memory += len(key) + ENTRY_BYTES
        else:
            self.live_bytes[segment_of(old)] -= length_of(old)
        if self.snapshots:
            self.record_undo(key, old)
        self.enter(key, where)

    def move(self, key: bytes, old: int, where: int) -> bool:
        """The same value at another place: no change to any snapshot. Is `old` still its place?"""
        if self.locations.get(key) != old:
            return False
        self.live_bytes[segment_of(old)] -= length_of(old)
        self.enter(key, where)
        return True

    def enter(self, key: bytes, where: int) -> None:
        self.locations[key] = where
        segment, expiry = where >> 2 * FIELD_BITS & FIELD_MASK, where >> 3 * FIELD_BITS
        self.live_bytes[segment] = self.live_bytes.get(segment, 0) + (where & FIELD_MASK)
        if expiry and (expiry < self.earliest_expiry or not self.earliest_expiry):
            self.earliest_expiry = expiry

    def delete(self, key: bytes) -> None:
        old = self.locations.pop(key, None)
        if old is None:
            return
        self.order.remove(key)
        self.memory -= len(key) + ENTRY_BYTES
        self.live_bytes[segment_of(old)] -= length_of(old)
        self.record_undo(key, old)

    def record_undo(self, key: bytes, old: int | None) -> None:
        for snapshot in list(self.snapshots):
            snapshot.before(key, old)

    def drop_expired(self, cursor: bytes, most: int, now: int) -> tuple[bytes | None, int]:
        """Drops what has expired among the next `most` keys; the next cursor (None at the end), the earliest
        expiry left.
        """
        keys = list(islice(self.order.irange(cursor), most + 1))
        earliest_expiry = 0
        for key in keys[:most]:
            where = self.locations[key]
            if expired(where, now):
                self.delete(key)
            elif (expiry := expiry_of(where)) and (expiry < earliest_expiry or not earliest_expiry):
                earliest_expiry = expiry
        return (keys[most] if len(keys) > most else None), earliest_expiry

    def snapshot(self, sequence: int) -> Snapshot:
        """Owned by who asks; given back by `Snapshot.close`."""
        snapshot = Snapshot(self, sequence)
        self.snapshots[snapshot] = None
        return snapshot


class Snapshot:
    """The entries as they are now. Changes to come put what was there before them on its undo list."""

    def __init__(self, index: Index, sequence: int) -> None:
        self.index = index
        self.sequence = sequence  # of the last change that it knows
        self.undo: SortedDict = SortedDict()  # key -> place then, None where there was none
        self.is_open = True

    def before(self, key: bytes, old: int | None) -> None:
        if key not in self.undo:
            if len(self.undo) >= self.index.max_undo_entries:
                self.close()  # the bound of its memory: who reads it is told, the writer goes on
                return
            self.undo[key] = old

    def close(self) -> None:
        self.is_open = False
        self.undo.clear()
        self.index.snapshots.pop(self, None)

    def get(self, key: bytes) -> int | None:
        return self.undo[key] if key in self.undo else self.index.locations.get(key)

    def chunk(self, cursor: bytes, prefix: bytes, most: int) -> list[tuple[bytes, int]]:
        """Up to `most` entries from `cursor` on, in order, while keys begin with `prefix`; the last chunk is
        empty.

        The next chunk begins behind the last key: at that key and a zero byte.
        """

        def keys(among: SortedList | SortedDict) -> Iterator[bytes]:
            return islice(
                takewhile(lambda key: key.startswith(prefix), among.irange(max(cursor, prefix))), most
            )

        found: list[tuple[bytes, int]] = []
        while self.is_open and not found:
            now = list(keys(self.index.order))
            then = list(keys(self.undo))
            merged = sorted({*now, *then})[:most]
            if not merged:
                break
            found = [(key, where) for key in merged if (where := self.get(key)) is not None]
            cursor = merged[-1] + b"\0"  # all of these were made since: the next ones are looked at
        return found
