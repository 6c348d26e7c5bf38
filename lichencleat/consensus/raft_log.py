"""A member's log in memory: its snapshot, the entries after it and their configurations. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from lichencleat.consensus.messages import Configuration, Entry, EntryType, Snapshot

encode_configuration = msgspec.msgpack.encode
decode_configuration = msgspec.msgpack.Decoder(Configuration).decode


@dataclass(frozen=True, slots=True)
class IndexedConfiguration:
    """A configuration and the index of the log entry that contains it."""

    index: int
    configuration: Configuration


class RaftLog:
    """The snapshot and the log entries after it. Indices begin at 1."""

    def __init__(self, snapshot: Snapshot, entries: Iterable[Entry] = ()) -> None:
        """Start with a snapshot and the entries that follow it."""
        self.snapshot = snapshot
        self.entries: list[Entry] = []
        # Configurations of the snapshot and of later entries; the last one is in use, committed or not.
        self.configurations = [IndexedConfiguration(snapshot.index, snapshot.configuration)]
        self.append(entries)

    def copy(self) -> RaftLog:
        """Return a log that shares no mutable state with this one."""
        duplicate = RaftLog(self.snapshot)
        duplicate.entries = list(self.entries)
        duplicate.configurations = list(self.configurations)
        return duplicate

    @property
    def snapshot_index(self) -> int:
        """Index of the last entry that the snapshot replaces."""
        return self.snapshot.index

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot if no entry follows it."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot if no entry follows it."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    @property
    def configuration(self) -> Configuration:
        """The latest configuration in the log, which is the one in use."""
        return self.configurations[-1].configuration

    def entry_at(self, index: int) -> Entry:
        """Return the entry at `index`, which must be in the log."""
        return self.entries[index - self.snapshot_index - 1]

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`, or None if it is inside the snapshot or past the end."""
        if index == self.snapshot_index:
            return self.snapshot.term
        if self.snapshot_index < index <= self.last_index:
            return self.entry_at(index).term
        return None

    def append(self, entries: Iterable[Entry]) -> None:
        """Add the entries at the end."""
        for entry in entries:
            self.entries.append(entry)
            if entry.entry_type == EntryType.CONFIGURATION:
                configuration = decode_configuration(entry.data)
                self.configurations.append(IndexedConfiguration(self.last_index, configuration))

    def truncate_from(self, index: int) -> None:
        """Remove the entry at `index` and all after it, which conflict with the leader's log."""
        del self.entries[index - self.snapshot_index - 1 :]
        while self.configurations[-1].index >= index:
            self.configurations.pop()

    def entries_from(self, index: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return entries from `index` on, up to `max_bytes` in total, but at least one if there is any."""
        chosen: list[Entry] = []
        for entry in self.entries[index - self.snapshot_index - 1 :]:
            max_bytes -= entry.size_bytes()
            if chosen and max_bytes < 0:
                break
            chosen.append(entry)
        return tuple(chosen)

    def first_index_of_term(self, index: int) -> int:
        """Return the first index in the log that has the term of the entry at `index`."""
        term = self.term_at(index)
        while index - 1 > self.snapshot_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def compact(self, snapshot: Snapshot) -> None:
        """Replace all entries up to the snapshot's index by the snapshot.

        The entry at that index must be in the log and committed.
        """
        self.entries = self.entries[snapshot.index - self.snapshot_index :]
        later = [each for each in self.configurations if each.index > snapshot.index]
        self.configurations = [IndexedConfiguration(snapshot.index, snapshot.configuration), *later]
        self.snapshot = snapshot

    def configuration_at(self, index: int) -> Configuration:
        """Return the configuration in use at the entry `index`."""
        return next(each.configuration for each in reversed(self.configurations) if each.index <= index)
