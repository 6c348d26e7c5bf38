"""Client sessions: each proposal is applied once, however often it is in the log (thesis 6.3). No I/O.

A client opens a session by a log entry of its own and numbers its proposals in it, one at a time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from lichencleat.transport.outcomes import SessionOutcome

MAX_SESSIONS = 8_192  # some MB with their last results; the least recently used one makes room


class ApplyResult(NamedTuple):
    """The outcome of an entry, and the encoded result where it was applied."""

    outcome: SessionOutcome
    result: bytes


class SessionRecord(msgspec.Struct, array_like=True):
    """What is stored of a session."""

    sequence: int  # of the last proposal applied
    last_used_index: int  # of the entry that used the session last
    result: bytes  # of that proposal


class SessionTable:
    """All sessions, the least recently used one first. The same at each member, as only the log counts."""

    def __init__(self, max_sessions: int = MAX_SESSIONS) -> None:
        """Start without sessions."""
        self.max_sessions = max_sessions
        self.records: dict[int, SessionRecord] = {}  # by session id

    def open(self, index: int) -> None:
        """Open the session whose id is `index`; the least recently used one is evicted where it is full."""
        if len(self.records) >= self.max_sessions:
            del self.records[next(iter(self.records))]
        self.records[index] = SessionRecord(0, index, b"")

    def apply_once(
        self, index: int, session_id: int, sequence: int, apply: Callable[[], bytes]
    ) -> ApplyResult:
        """Apply the proposal of the entry `index`, unless it was applied before."""
        record = self.records.get(session_id)
        if record is None:
            return ApplyResult(SessionOutcome.UNKNOWN_SESSION, b"")
        if sequence < record.sequence:
            return ApplyResult(SessionOutcome.PAST, b"")
        if sequence > record.sequence + 1:
            return ApplyResult(SessionOutcome.GAP, b"")
        if sequence == record.sequence + 1:
            record.result = apply()  # first: where it raises, nothing has changed
            record.sequence = sequence
        record.last_used_index = index
        self.records[session_id] = self.records.pop(session_id)  # now the most recently used one
        return ApplyResult(SessionOutcome.DONE, record.result)

    def dump(self) -> list[tuple[int, SessionRecord]]:
        """Return all sessions with their ids, for a snapshot."""
        return list(self.records.items())

    def load(self, dumped: list[tuple[int, SessionRecord]]) -> None:
        """Replace all sessions by those of a snapshot."""
        self.records = dict(dumped)
