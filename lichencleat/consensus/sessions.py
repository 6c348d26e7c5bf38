"""What a repeated proposal is told: each is applied once, however often it stands in the log; no I/O.

A client opens a session by an entry of its own and numbers its proposals in it, one at a time. Ongaro's
thesis, 6.3.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum

import msgspec

MAX_SESSIONS = 8_192  # some MB with their last results; who came least lately is dropped for a new one


class SessionOutcome(IntEnum):
    """What became of a proposal. The numbers are the wire's."""

    DONE = 1  # applied, now or before: the result is the first one's
    UNKNOWN_SESSION = 2  # dropped, or never opened: nothing was applied now; an earlier try may have been
    PAST = 3  # the session is beyond it: its result is not kept any more
    GAP = 4  # one before it was never taken


class SessionRecord(msgspec.Struct, array_like=True):
    sequence: int  # of the last proposal applied
    last_used_index: int  # index of the entry that used it last
    result: bytes


class SessionTable:
    def __init__(self, most: int = MAX_SESSIONS) -> None:
        self.max_sessions = most
        self.records: dict[int, SessionRecord] = {}  # by session, in the order of their last use

    def open(self, index: int) -> None:
        if len(self.records) >= self.max_sessions:  # the same one at every member: it hangs on the log alone
            del self.records[next(iter(self.records))]
        self.records[index] = SessionRecord(0, index, b"")

    def apply_once(
        self, index: int, session: int, number: int, apply: Callable[[], bytes]
    ) -> tuple[SessionOutcome, bytes]:
        held = self.records.get(session)
        if held is None:
            return SessionOutcome.UNKNOWN_SESSION, b""
        if number < held.sequence:
            return SessionOutcome.PAST, b""
        if number > held.sequence + 1:
            return SessionOutcome.GAP, b""
        if number == held.sequence + 1:
            held.sequence, held.result = number, apply()
        held.last_used_index = index
        self.records[session] = self.records.pop(session)
        return SessionOutcome.DONE, held.result

    def dump(self) -> list[tuple[int, SessionRecord]]:
        return list(self.records.items())

    def load(self, dumped: list[tuple[int, SessionRecord]]) -> None:
        self.records = dict(dumped)
