"""What the log's entries make: parts that each take their own commands, and the sessions before them; no I/O.

Every member that has applied the same entries holds the same state to the byte. So a part hangs on nothing
but its commands: no clock, no chance, no order of a set.
"""

from __future__ import annotations

from typing import Any, Protocol

import msgspec

from lichencleat.consensus.messages import Configuration, Entry, EntryType, Snapshot
from lichencleat.consensus.sessions import SessionOutcome, SessionRecord, SessionTable
from lichencleat.consensus.supported_states import ACTIVATION_COMMAND, UnknownStateError
from lichencleat.decoding import UNDECODABLE

encode = msgspec.msgpack.encode
Command = tuple[str, msgspec.Raw]  # the part's name, and what is its own
decode_command = msgspec.msgpack.Decoder(Command).decode
decode_state_names = msgspec.msgpack.Decoder(list[str]).decode


class ReplicatedState(Protocol):
    """One subject that the group decides on."""

    def apply(self, index: int, encode_command: msgspec.Raw) -> Any:
        """Takes an entry's command; what it gives is encoded as the result. Never raises: a command that is
        none is answered as one.
        """

    def read(self, query: Any) -> Any: ...

    def dump(self) -> Any:
        """All that it holds, as MessagePack has it."""

    def load(self, dumped: msgspec.Raw) -> None: ...


class StateMachineDump(msgspec.Struct, array_like=True):
    sessions: list[tuple[int, SessionRecord]]
    states: dict[str, msgspec.Raw]
    active_states: list[str] = []


decode_state_machine_dump = msgspec.msgpack.Decoder(StateMachineDump).decode


def encode_command(part: str, what: Any) -> bytes:
    return encode((part, what))


class StateMachine:
    def __init__(self, parts: dict[str, ReplicatedState]) -> None:
        self.states = parts
        self.sessions = SessionTable()
        self.applied = 0  # index of the last entry
        self.active_states: set[str] = set()  # parts that the log says are used

    def apply(self, index: int, entry: Entry) -> tuple[SessionOutcome, bytes]:
        """The entry after the last one. The result's meaning is the part's. Raises UnknownPartError."""
        assert index == self.applied + 1, f"entry {index} after {self.applied}"
        self.applied = index
        if entry.entry_type == EntryType.SESSION:
            self.sessions.open(index)
            return SessionOutcome.DONE, encode(index)
        if entry.entry_type != EntryType.COMMAND:
            return SessionOutcome.DONE, b""
        if entry.session_id:
            return self.sessions.apply_once(
                index, entry.session_id, entry.sequence, lambda: self.apply_command(index, entry.data)
            )
        return SessionOutcome.DONE, self.apply_command(index, entry.data, own=True)

    def apply_command(self, index: int, data: bytes, own: bool = False) -> bytes:
        """Guards the log against an entry that no part knows: it stays there for ever, and must change
        nothing. `own`: of a leader itself; only such a one tells what is used.
        """
        try:
            name, what = decode_command(data)
            if name == ACTIVATION_COMMAND and own:
                self.activate(decode_state_names(what))
                return encode(None)
        except UNDECODABLE:
            return encode(None)
        part = self.states.get(name)
        return encode(part.apply(index, what) if part is not None else None)

    def activate(self, names: list[str]) -> None:
        unknown = set(names) - self.states.keys()
        if unknown:
            raise UnknownStateError(unknown)
        self.active_states.update(names)

    def has_data(self, part: str, fresh: dict[str, ReplicatedState]) -> bool:
        """Does it hold anything of the part already? As where its commands came in before that was written.

        `fresh`: parts as they begin.
        """
        return part in self.states and encode(self.states[part].dump()) != encode(fresh[part].dump())

    def read(self, part: str, query: Any) -> Any:
        return self.states[part].read(query) if part in self.states else None

    def dump(self) -> bytes:
        parts = {name: msgspec.Raw(encode(each.dump())) for name, each in self.states.items()}
        return encode(StateMachineDump(self.sessions.dump(), parts, sorted(self.active_states)))

    def restore(self, snapshot: Snapshot) -> None:
        """Raises msgspec.MsgspecError where the snapshot is not one of this state, UnknownPartError."""
        self.applied = snapshot.index
        if not snapshot.data:
            return
        dumped = decode_state_machine_dump(snapshot.data)
        self.activate(dumped.active_states)
        self.sessions.load(dumped.sessions)
        for name, part in self.states.items():
            if name in dumped.states:
                part.load(dumped.states[name])


def bootstrap_snapshot(group: Configuration) -> Snapshot:
    """What a group begins with: nothing but who its members are."""
    return Snapshot(0, 0, group, b"")
