"""What a repeated proposal is told: each is applied once, however often it stands in the log; no I/O.

A client opens a session by an entry of its own and numbers its proposals in it, one at a time. Ongaro's
thesis, 6.3.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum

import msgspec

SESSIONS_MOST = 8_192  # some MB with their last results; who came least lately is dropped for a new one


class Verdict(IntEnum):
    """What became of a proposal. The numbers are the wire's."""

    DONE = 1  # applied, now or before: the result is the first one's
    UNKNOWN_SESSION = 2  # dropped, or never opened: nothing was applied now; an earlier try may have been
    PAST = 3  # the session is beyond it: its result is not kept any more
    GAP = 4  # one before it was never taken


class Held(msgspec.Struct, array_like=True):
    number: int  # of the last proposal applied
    used: int  # index of the entry that used it last
    result: bytes


class Sessions:
    def __init__(self, most: int = SESSIONS_MOST) -> None:
        self.most = most
        self.held: dict[int, Held] = {}  # by session, in the order of their last use

    def open(self, index: int) -> None:
        if len(self.held) >= self.most:  # the same one at every member: it hangs on the log alone
            del self.held[next(iter(self.held))]
        self.held[index] = Held(0, index, b"")

    def take(
        self, index: int, session: int, number: int, apply: Callable[[], bytes]
    ) -> tuple[Verdict, bytes]:
        held = self.held.get(session)
        if held is None:
            return Verdict.UNKNOWN_SESSION, b""
        if number < held.number:
            return Verdict.PAST, b""
        if number > held.number + 1:
            return Verdict.GAP, b""
        if number == held.number + 1:
            held.number, held.result = number, apply()
        held.used = index
        self.held[session] = self.held.pop(session)
        return Verdict.DONE, held.result

    def dump(self) -> list[tuple[int, Held]]:
        return list(self.held.items())

    def load(self, dumped: list[tuple[int, Held]]) -> None:
        self.held = dict(dumped)
