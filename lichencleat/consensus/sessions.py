"""Client sessions: a proposal is applied once, even if the log contains it repeatedly (thesis 6.3). No I/O.

A client opens a session with a log entry. It numbers its proposals in the session and sends one at a time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from lichencleat.transport.outcomes import SessionOutcome

MAX_SESSIONS = 8_192  # sessions with their last results take some MB


class ApplyResult(NamedTuple):
    """The outcome of an entry, and the encoded result if it was applied."""

    outcome: SessionOutcome
    result: bytes


class SessionRecord(msgspec.Struct, array_like=True):
    """The stored state of a session."""

    sequence: int  # number of the last proposal applied
    last_used_index: int  # index of the entry that used the session last
    result: bytes  # result of the last proposal applied


class SessionTable:
    """All sessions, least recently used first.

    Only log entries change the sessions, so all members have the same sessions.
    """

    def __init__(self, max_sessions: int = MAX_SESSIONS) -> None:
        """Start without sessions."""
        self.max_sessions = max_sessions
        self.records: dict[int, SessionRecord] = {}  # records by session id

    def open(self, index: int) -> None:
        """Open the session with the id `index`; a full table evicts the least recently used session."""
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
            record.result = apply()  # first, so that an exception leaves the record unchanged
            record.sequence = sequence
        record.last_used_index = index
        self.records[session_id] = self.records.pop(session_id)  # moves it to the end: most recently used
        return ApplyResult(SessionOutcome.DONE, record.result)

    def dump(self) -> list[tuple[int, SessionRecord]]:
        """Return all sessions with their ids, for a snapshot."""
        return list(self.records.items())

    def load(self, dumped: list[tuple[int, SessionRecord]]) -> None:
        """Replace all sessions by those of a snapshot."""
        self.records = dict(dumped)
