"""What the log's entries make: parts that each take their own commands, and the sessions before them; no I/O.

Every member that has applied the same entries holds the same state to the byte. So a part hangs on nothing
but its commands: no clock, no chance, no order of a set.
"""

from __future__ import annotations

from typing import Any, Protocol

import msgspec

from lichencleat.consensus.parts import USES, UnknownPartError
from lichencleat.consensus.sessions import Held, Sessions, Verdict
from lichencleat.consensus.terms import Entry, Group, Snapshot, What
from lichencleat.decode_errors import UNDECODABLE

encode = msgspec.msgpack.encode
Command = tuple[str, msgspec.Raw]  # the part's name, and what is its own
decode_command = msgspec.msgpack.Decoder(Command).decode
decode_used = msgspec.msgpack.Decoder(list[str]).decode


class Part(Protocol):
    """One subject that the group decides on."""

    def apply(self, index: int, command: msgspec.Raw) -> Any:
        """Takes an entry's command; what it gives is encoded as the result. Never raises: a command that is
        none is answered as one.
        """

    def read(self, query: Any) -> Any: ...

    def dump(self) -> Any:
        """All that it holds, as MessagePack has it."""

    def load(self, dumped: msgspec.Raw) -> None: ...


class Dumped(msgspec.Struct, array_like=True):
    sessions: list[tuple[int, Held]]
    parts: dict[str, msgspec.Raw]
    used: list[str] = []


decode_dumped = msgspec.msgpack.Decoder(Dumped).decode


def command(part: str, what: Any) -> bytes:
    return encode((part, what))


class State:
    def __init__(self, parts: dict[str, Part]) -> None:
        self.parts = parts
        self.sessions = Sessions()
        self.applied = 0  # index of the last entry
        self.used: set[str] = set()  # parts that the log says are used

    def apply(self, index: int, entry: Entry) -> tuple[Verdict, bytes]:
        """The entry after the last one. The result's meaning is the part's. Raises UnknownPartError."""
        assert index == self.applied + 1, f"entry {index} after {self.applied}"
        self.applied = index
        if entry.what == What.SESSION:
            self.sessions.open(index)
            return Verdict.DONE, encode(index)
        if entry.what != What.COMMAND:
            return Verdict.DONE, b""
        if entry.session:
            return self.sessions.take(
                index, entry.session, entry.number, lambda: self.give(index, entry.data)
            )
        return Verdict.DONE, self.give(index, entry.data, own=True)

    def give(self, index: int, data: bytes, own: bool = False) -> bytes:
        """Guards the log against an entry that no part knows: it stays there for ever, and must change
        nothing. `own`: of a leader itself; only such a one tells what is used.
        """
        try:
            name, what = decode_command(data)
            if name == USES and own:
                self.uses(decode_used(what))
                return encode(None)
        except UNDECODABLE:
            return encode(None)
        part = self.parts.get(name)
        return encode(part.apply(index, what) if part is not None else None)

    def uses(self, names: list[str]) -> None:
        unknown = set(names) - self.parts.keys()
        if unknown:
            raise UnknownPartError(unknown)
        self.used.update(names)

    def decided_on(self, part: str, fresh: dict[str, Part]) -> bool:
        """Does it hold anything of the part already? As where its commands came in before that was written.

        `fresh`: parts as they begin.
        """
        return part in self.parts and encode(self.parts[part].dump()) != encode(fresh[part].dump())

    def read(self, part: str, query: Any) -> Any:
        return self.parts[part].read(query) if part in self.parts else None

    def dump(self) -> bytes:
        parts = {name: msgspec.Raw(encode(each.dump())) for name, each in self.parts.items()}
        return encode(Dumped(self.sessions.dump(), parts, sorted(self.used)))

    def restore(self, snapshot: Snapshot) -> None:
        """Raises msgspec.MsgspecError where the snapshot is not one of this state, UnknownPartError."""
        self.applied = snapshot.index
        if not snapshot.data:
            return
        dumped = decode_dumped(snapshot.data)
        self.uses(dumped.used)
        self.sessions.load(dumped.sessions)
        for name, part in self.parts.items():
            if name in dumped.parts:
                part.load(dumped.parts[name])


def founded(group: Group) -> Snapshot:
    """What a group begins with: nothing but who its members are."""
    return Snapshot(0, 0, group, b"")
