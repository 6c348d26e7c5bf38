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
BITS = 32  # of an offset, a length, a segment's number
LOW = (1 << BITS) - 1
UNDO_MOST = 1_000_000  # changes that a snapshot outlives: some 150 MB; behind them it is ended


def place(segment: int, offset: int, length: int, expiry: int) -> int:
    return ((expiry << BITS | segment) << BITS | offset) << BITS | length


def segment_of(where: int) -> int:
    return where >> 2 * BITS & LOW


def offset_of(where: int) -> int:
    return where >> BITS & LOW


def length_of(where: int) -> int:
    return where & LOW


def expiry_of(where: int) -> int:
    """µs of Unix time, 0 for none."""
    return where >> 3 * BITS


def expired(where: int, now: int) -> bool:
    return 0 < where >> 3 * BITS <= now


@dataclass(slots=True)
class Sums:
    """What a start has to know of all entries, from one pass over them."""

    live: dict[int, int]  # segment -> bytes of the frames that entries point at
    ends: dict[int, int]  # segment -> where the last of these ends
    earliest: int  # µs: the earliest expiry, 0 where none


def sum_up(places: dict[bytes, int]) -> Sums:
    live: dict[int, int] = {}
    ends: dict[int, int] = {}
    earliest = 0
    for where in places.values():
        segment, length = where >> 2 * BITS & LOW, where & LOW
        end = (where >> BITS & LOW) + length
        if segment in live:
            live[segment] += length
            if end > ends[segment]:
                ends[segment] = end
        else:
            live[segment], ends[segment] = length, end
        expiry = where >> 3 * BITS
        if expiry and (expiry < earliest or not earliest):
            earliest = expiry
    return Sums(live, ends, earliest)


class Index:
    def __init__(self, undo_most: int = UNDO_MOST) -> None:
        self.places: dict[bytes, int] = {}
        self.order: SortedList = SortedList()
        self.memory = 0  # bytes, estimated
        self.live: dict[int, int] = {}  # segment -> bytes of the frames that entries point at
        self.earliest = 0  # µs: no entry expires before it; 0 where none expires
        self.undo_most = undo_most
        self.snapshots: dict[Snapshot, None] = {}

    def __len__(self) -> int:
        return len(self.places)

    def load(self, places: dict[bytes, int], sums: Sums) -> None:
        """Takes over all entries at once, as a start finds them, with what `sum_up` says of them."""
        self.places = places
        self.order = SortedList(places)
        self.memory = sum(map(len, places)) + ENTRY_BYTES * len(places)
        self.live, self.earliest = sums.live, sums.earliest

    def get(self, key: bytes, now: int) -> int | None:
        where = self.places.get(key)
        return None if where is None or expired(where, now) else where

    def put(self, key: bytes, where: int) -> None:
        old = self.places.get(key)
        if old is None:
            self.order.add(key)
            self.memory += len(key) + ENTRY_BYTES
        else:
            self.live[segment_of(old)] -= length_of(old)
        if self.snapshots:
            self.remember(key, old)
        self.enter(key, where)

    def move(self, key: bytes, old: int, where: int) -> bool:
        """The same value at another place: no change to any snapshot. Is `old` still its place?"""
        if self.places.get(key) != old:
            return False
        self.live[segment_of(old)] -= length_of(old)
        self.enter(key, where)
        return True

    def enter(self, key: bytes, where: int) -> None:
        self.places[key] = where
        segment, expiry = where >> 2 * BITS & LOW, where >> 3 * BITS
        self.live[segment] = self.live.get(segment, 0) + (where & LOW)
        if expiry and (expiry < self.earliest or not self.earliest):
            self.earliest = expiry

    def delete(self, key: bytes) -> None:
        old = self.places.pop(key, None)
        if old is None:
            return
        self.order.remove(key)
        self.memory -= len(key) + ENTRY_BYTES
        self.live[segment_of(old)] -= length_of(old)
        self.remember(key, old)

    def remember(self, key: bytes, old: int | None) -> None:
        for snapshot in list(self.snapshots):
            snapshot.before(key, old)

    def drop_expired(self, cursor: bytes, most: int, now: int) -> tuple[bytes | None, int]:
        """Drops what has expired among the next `most` keys; the next cursor (None at the end), the earliest
        expiry left.
        """
        keys = list(islice(self.order.irange(cursor), most + 1))
        earliest = 0
        for key in keys[:most]:
            where = self.places[key]
            if expired(where, now):
                self.delete(key)
            elif (expiry := expiry_of(where)) and (expiry < earliest or not earliest):
                earliest = expiry
        return (keys[most] if len(keys) > most else None), earliest

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
        self.open = True

    def before(self, key: bytes, old: int | None) -> None:
        if key not in self.undo:
            if len(self.undo) >= self.index.undo_most:
                self.close()  # the bound of its memory: who reads it is told, the writer goes on
                return
            self.undo[key] = old

    def close(self) -> None:
        self.open = False
        self.undo.clear()
        self.index.snapshots.pop(self, None)

    def get(self, key: bytes) -> int | None:
        return self.undo[key] if key in self.undo else self.index.places.get(key)

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
        while self.open and not found:
            now = list(keys(self.index.order))
            then = list(keys(self.undo))
            merged = sorted({*now, *then})[:most]
            if not merged:
                break
            found = [(key, where) for key in merged if (where := self.get(key)) is not None]
            cursor = merged[-1] + b"\0"  # all of these were made since: the next ones are looked at
        return found
