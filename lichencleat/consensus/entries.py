"""A member's log in memory: the entries behind its snapshot, and the groups that stand in them; no I/O."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from lichencleat.consensus.terms import Entry, Group, Snapshot, What

encode_group = msgspec.msgpack.encode
decode_group = msgspec.msgpack.Decoder(Group).decode


class Entries:
    """Indices begin at 1; `base` is the last one that the snapshot stands for."""

    def __init__(self, snapshot: Snapshot, entries: Iterable[Entry] = ()) -> None:
        self.snapshot = snapshot
        self.held: list[Entry] = []
        self.groups: list[tuple[int, Group]] = [(snapshot.index, snapshot.group)]  # the last one holds
        self.append(entries)

    def copy(self) -> Entries:
        twin = Entries(self.snapshot)
        twin.held, twin.groups = list(self.held), list(self.groups)
        return twin

    @property
    def base(self) -> int:
        return self.snapshot.index

    @property
    def last(self) -> int:
        return self.snapshot.index + len(self.held)

    @property
    def last_term(self) -> int:
        return self.held[-1].term if self.held else self.snapshot.term

    @property
    def group(self) -> Group:
        return self.groups[-1][1]

    def at(self, index: int) -> Entry:
        return self.held[index - self.base - 1]

    def term(self, index: int) -> int | None:
        """Of that entry, or None where it stands in the snapshot or not at all."""
        if index == self.base:
            return self.snapshot.term
        return self.held[index - self.base - 1].term if self.base < index <= self.last else None

    def append(self, entries: Iterable[Entry]) -> None:
        for entry in entries:
            self.held.append(entry)
            if entry.what == What.GROUP:
                self.groups.append((self.last, decode_group(entry.data)))

    def cut(self, index: int) -> None:
        """Takes back that entry and all behind it: another leader's stand there."""
        del self.held[index - self.base - 1 :]
        while self.groups[-1][0] >= index:
            self.groups.pop()

    def from_(self, index: int, most: int) -> tuple[Entry, ...]:
        """Entries from that index on, at least one where there is one, up to `most` bytes."""
        chosen: list[Entry] = []
        for entry in self.held[index - self.base - 1 :]:
            most -= entry.weight()
            if chosen and most < 0:
                break
            chosen.append(entry)
        return tuple(chosen)

    def begins(self, index: int) -> int:
        """The first index held whose term is that of the entry at `index`."""
        term = self.term(index)
        while index - 1 > self.base and self.term(index - 1) == term:
            index -= 1
        return index

    def shorten(self, snapshot: Snapshot) -> None:
        """The snapshot stands for all entries up to its index, which must be held and committed."""
        self.held = self.held[snapshot.index - self.base :]
        self.groups = [
            (snapshot.index, snapshot.group),
            *[each for each in self.groups if each[0] > snapshot.index],
        ]
        self.snapshot = snapshot

    def group_at(self, index: int) -> Group:
        return next(group for at, group in reversed(self.groups) if at <= index)
