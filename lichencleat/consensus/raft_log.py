"""A member's log in memory: the entries behind its snapshot, and the groups that stand in them; no I/O."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from lichencleat.consensus.messages import Configuration, Entry, EntryType, Snapshot

encode_configuration = msgspec.msgpack.encode
decode_configuration = msgspec.msgpack.Decoder(Configuration).decode


class RaftLog:
    """Indices begin at 1; `base` is the last one that the snapshot stands for."""

    def __init__(self, snapshot: Snapshot, entries: Iterable[Entry] = ()) -> None:
        self.snapshot = snapshot
        self.entries: list[Entry] = []
        self.configurations: list[tuple[int, Configuration]] = [
            (snapshot.index, snapshot.configuration)
        ]  # the last one holds
        self.append(entries)

    def copy(self) -> RaftLog:
        twin = RaftLog(self.snapshot)
        twin.entries, twin.configurations = list(self.entries), list(self.configurations)
        return twin

    @property
    def snapshot_index(self) -> int:
        return self.snapshot.index

    @property
    def last_index(self) -> int:
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.snapshot.term

    @property
    def configuration(self) -> Configuration:
        return self.configurations[-1][1]

    def entry_at(self, index: int) -> Entry:
        return self.entries[index - self.snapshot_index - 1]

    def term_at(self, index: int) -> int | None:
        """Of that entry, or None where it stands in the snapshot or not at all."""
        if index == self.snapshot_index:
            return self.snapshot.term
        return (
            self.entries[index - self.snapshot_index - 1].term
            if self.snapshot_index < index <= self.last_index
            else None
        )

    def append(self, entries: Iterable[Entry]) -> None:
        for entry in entries:
            self.entries.append(entry)
            if entry.entry_type == EntryType.CONFIGURATION:
                self.configurations.append((self.last_index, decode_configuration(entry.data)))

    def truncate_from(self, index: int) -> None:
        """Takes back that entry and all behind it: another leader's stand there."""
        del self.entries[index - self.snapshot_index - 1 :]
        while self.configurations[-1][0] >= index:
            self.configurations.pop()

    def entries_from(self, index: int, most: int) -> tuple[Entry, ...]:
        """Entries from that index on, at least one where there is one, up to `most` bytes."""
        chosen: list[Entry] = []
        for entry in self.entries[index - self.snapshot_index - 1 :]:
            most -= entry.size_bytes()
            if chosen and most < 0:
                break
            chosen.append(entry)
        return tuple(chosen)

    def first_index_of_term(self, index: int) -> int:
        """The first index held whose term is that of the entry at `index`."""
        term = self.term_at(index)
        while index - 1 > self.snapshot_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def compact(self, snapshot: Snapshot) -> None:
        """The snapshot stands for all entries up to its index, which must be held and committed."""
        self.entries = self.entries[snapshot.index - self.snapshot_index :]
        self.configurations = [
            (snapshot.index, snapshot.configuration),
            *[each for each in self.configurations if each[0] > snapshot.index],
        ]
        self.snapshot = snapshot

    def configuration_at(self, index: int) -> Configuration:
        return next(group for at, group in reversed(self.configurations) if at <= index)
