"""A part of the state: small facts by name, each with the index of the entry that set it; no I/O."""

from __future__ import annotations

from typing import Any

import msgspec

from lichencleat.decoding import UNDECODABLE

MAX_KEYS = 65_536  # of them
MAX_VALUE_BYTES = 65_536  # bytes of one: a snapshot holds them all


class SetCommand(msgspec.Struct, frozen=True, array_like=True, tag_field="do", tag="set"):
    key: str
    value: bytes | None  # None: the fact goes
    expected_revision: int | None = None  # the revision that it must have; 0: it must not be there


class KeyValueEntry(msgspec.Struct, frozen=True, array_like=True):
    value: bytes
    revision: int  # index of the entry that set it


class SetResult(msgspec.Struct, frozen=True, array_like=True):
    """The answer: whether it was done, and the fact's revision now, 0 where there is none."""

    is_applied: bool
    revision: int
    reason: str = ""


decode_set_command = msgspec.msgpack.Decoder(SetCommand).decode
decode_entries = msgspec.msgpack.Decoder(dict[str, KeyValueEntry]).decode


class KeyValueState:
    def __init__(self) -> None:
        self.entries: dict[str, KeyValueEntry] = {}

    def apply(self, index: int, command: msgspec.Raw) -> Any:
        try:
            wanted = decode_set_command(command)
        except UNDECODABLE:
            return SetResult(False, 0, "no command")
        known = self.entries.get(wanted.key)
        revision = known.revision if known else 0
        if wanted.expected_revision is not None and wanted.expected_revision != revision:
            return SetResult(False, revision, "another revision")
        if wanted.value is None:
            self.entries.pop(wanted.key, None)
            return SetResult(True, 0)
        if len(wanted.value) > MAX_VALUE_BYTES or (known is None and len(self.entries) >= MAX_KEYS):
            return SetResult(False, revision, "over the bound")
        self.entries[wanted.key] = KeyValueEntry(wanted.value, index)
        return SetResult(True, index)

    def read(self, query: Any) -> KeyValueEntry | None:
        return self.entries.get(query)

    def dump(self) -> Any:
        return self.entries

    def load(self, dumped: msgspec.Raw) -> None:
        self.entries = decode_entries(dumped)
