"""Replicated key-value pairs with revisions, changed by compare-and-set. No I/O."""

from __future__ import annotations

import msgspec

from lichencleat.decode_errors import UNDECODABLE

STATE_PART = "facts"  # name of the key-value pairs' part of the replicated state; stored and sent
MAX_KEYS = 65_536
MAX_VALUE_BYTES = 65_536  # size of one value; snapshots contain all values
NO_REVISION = 0  # revision of a key that does not exist


class SetCommand(msgspec.Struct, frozen=True, array_like=True, tag_field="do", tag="set"):
    """Sets or deletes the value of a key."""

    key: str
    value: bytes | None  # None: delete the key
    expected_revision: int | None = None  # None: any revision; 0: the key must not exist


class KeyValueEntry(msgspec.Struct, frozen=True, array_like=True):
    """The value of a key, with its revision."""

    value: bytes
    revision: int  # index of the log entry that set the value


class SetResult(msgspec.Struct, frozen=True, array_like=True):
    """The result of a command: whether it was applied, and the key's revision (0 if the key is absent)."""

    is_applied: bool
    revision: int
    reason: str = ""  # why the command was not applied; sent to clients


decode_set_command = msgspec.msgpack.Decoder(SetCommand).decode
decode_entries = msgspec.msgpack.Decoder(dict[str, KeyValueEntry]).decode


class KeyValueState:
    """The key-value pairs as a `state_machine.ReplicatedState`."""

    def __init__(self) -> None:
        """Start without keys."""
        self.entries: dict[str, KeyValueEntry] = {}

    def apply(self, index: int, command: msgspec.Raw) -> SetResult:
        """Apply an encoded `SetCommand`; a rejected command changes nothing."""
        try:
            set_command = decode_set_command(command)
        except UNDECODABLE:
            return SetResult(False, NO_REVISION, "no command")
        current = self.entries.get(set_command.key)
        revision = current.revision if current else NO_REVISION
        if set_command.expected_revision is not None and set_command.expected_revision != revision:
            return SetResult(False, revision, "another revision")
        if set_command.value is None:
            self.entries.pop(set_command.key, None)
            return SetResult(True, NO_REVISION)
        if len(set_command.value) > MAX_VALUE_BYTES or (current is None and len(self.entries) >= MAX_KEYS):
            return SetResult(False, revision, "over the bound")
        self.entries[set_command.key] = KeyValueEntry(set_command.value, index)
        return SetResult(True, index)

    def read(self, query: str) -> KeyValueEntry | None:
        """Return the entry of the key `query`, or None if it does not exist."""
        return self.entries.get(query)

    def dump(self) -> dict[str, KeyValueEntry]:
        """Return all entries, for a snapshot."""
        return self.entries

    def load(self, dumped: msgspec.Raw) -> None:
        """Replace all entries by those of a snapshot."""
        self.entries = decode_entries(dumped)
