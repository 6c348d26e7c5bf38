"""The replicated state machine: named states that apply their own commands, and the client sessions.

Members that have applied the same entries hold byte-identical states. A state must therefore depend on its
commands alone, and not on a clock, a random number or the iteration order of a set. No I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol, TypeAlias

import msgspec

from lichencleat.consensus.messages import Configuration, Entry, EntryType, Snapshot
from lichencleat.consensus.sessions import ApplyResult, SessionRecord, SessionTable
from lichencleat.consensus.supported_states import ACTIVATION_COMMAND, UnknownStateError
from lichencleat.decode_errors import UNDECODABLE
from lichencleat.transport.outcomes import SessionOutcome

Encodable: TypeAlias = Any  # any value that MessagePack can encode
Query: TypeAlias = Any  # decoded from a client's request; the state that answers it validates it

EncodedCommand = tuple[str, msgspec.Raw]  # the state's name, and the command that this state decodes

encode = msgspec.msgpack.encode
decode_command = msgspec.msgpack.Decoder(EncodedCommand).decode
decode_state_names = msgspec.msgpack.Decoder(list[str]).decode


class ReplicatedState(Protocol):
    """One part of the replicated state, such as leases or configuration."""

    def apply(self, index: int, command: msgspec.Raw) -> Encodable:
        """Apply the command of the entry at `index` and return its result.

        Never raises: the result of an invalid command says that it is invalid.
        """

    def read(self, query: Query) -> Encodable:
        """Answer a query from the current state."""

    def dump(self) -> Encodable:
        """Return the complete state, for a snapshot."""

    def load(self, dumped: msgspec.Raw) -> None:
        """Replace the state by a dump."""


class StateMachineDump(msgspec.Struct, array_like=True):
    """The data of a snapshot."""

    sessions: list[tuple[int, SessionRecord]]
    states: dict[str, msgspec.Raw]
    active_states: list[str] = []


decode_state_machine_dump = msgspec.msgpack.Decoder(StateMachineDump).decode


def bootstrap_snapshot(configuration: Configuration) -> Snapshot:
    """Return the initial snapshot of a new cluster: its configuration, and no state."""
    return Snapshot(0, 0, configuration, b"")


class StateMachine:
    """Applies committed entries in order and answers reads. Owns the states and the sessions."""

    def __init__(self, states: dict[str, ReplicatedState]) -> None:
        """`states`: the initial states by name."""
        self.states = states
        self.sessions = SessionTable()
        self.applied = 0  # index of the last entry applied
        self.active_states: set[str] = set()  # names of the states that the log has activated

    def apply(self, index: int, entry: Entry) -> ApplyResult:
        """Apply the entry at `index`, which must follow the last entry applied.

        Raises:
            UnknownStateError: the cluster has activated a state that this program does not support.
        """
        assert index == self.applied + 1, f"entry {index} after {self.applied}"
        self.applied = index
        if entry.entry_type == EntryType.SESSION:
            self.sessions.open(index)
            return ApplyResult(SessionOutcome.DONE, encode(index))
        if entry.entry_type != EntryType.COMMAND:
            return ApplyResult(SessionOutcome.DONE, b"")
        if entry.session_id:
            return self.sessions.apply_once(
                index, entry.session_id, entry.sequence, lambda: self.apply_command(index, entry.data)
            )
        return ApplyResult(
            SessionOutcome.DONE, self.apply_command(index, entry.data, is_leader_proposal=True)
        )

    def apply_command(self, index: int, data: bytes, is_leader_proposal: bool = False) -> bytes:
        """Apply an encoded command and return its encoded result.

        A command that can't be decoded or is for an unknown state changes nothing. It must not raise: it
        stays in the log, so the error would recur at each start. Only a leader's own proposal may activate a
        state.
        """
        try:
            name, command = decode_command(data)
            if name == ACTIVATION_COMMAND and is_leader_proposal:
                self.activate(decode_state_names(command))
                return encode(None)
        except UNDECODABLE:
            return encode(None)
        state = self.states.get(name)
        return encode(state.apply(index, command) if state is not None else None)

    def activate(self, names: list[str]) -> None:
        """Activate the states with these names.

        Raises:
            UnknownStateError: this program does not support one of the states.
        """
        unknown = set(names) - self.states.keys()
        if unknown:
            raise UnknownStateError(unknown)
        self.active_states.update(names)

    def has_data(self, name: str, initial_states: Mapping[str, ReplicatedState]) -> bool:
        """Return whether the state `name` differs from its initial state.

        A state that was not activated may have data from before activation entries existed.
        """
        if name not in self.states:
            return False
        return bool(encode(self.states[name].dump()) != encode(initial_states[name].dump()))

    def read(self, name: str, query: Query) -> Encodable:
        """Answer a query to the state `name`; return None if there is no such state."""
        return self.states[name].read(query) if name in self.states else None

    def dump(self) -> bytes:
        """Return the encoded state for a snapshot."""
        states = {name: msgspec.Raw(encode(each.dump())) for name, each in self.states.items()}
        return encode(StateMachineDump(self.sessions.dump(), states, sorted(self.active_states)))

    def restore(self, snapshot: Snapshot) -> None:
        """Replace states and sessions by those of a snapshot.

        Raises:
            msgspec.MsgspecError: the data is not an encoded state machine.
            UnknownStateError: the cluster has activated a state that this program does not support.
        """
        self.applied = snapshot.index
        if not snapshot.data:
            return
        dumped = decode_state_machine_dump(snapshot.data)
        self.activate(dumped.active_states)
        self.sessions.load(dumped.sessions)
        for name, state in self.states.items():
            if name in dumped.states:
                state.load(dumped.states[name])
