"""Identities in greetings: the incarnation of a member, and the result of a greeting."""

from __future__ import annotations

from enum import IntEnum

import msgspec

CLIENT_ID = 0  # used as a member id when the caller is a client or the recipient is not known


class Incarnation(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Identifies one start of a member; the incarnation of a later start is greater."""

    start_count: int  # number of the member's starts, including this start
    nonce: int  # random number drawn at the start


NO_INCARNATION = Incarnation(0, 0)  # incarnation of a process that is not a member


class GreetingResult(IntEnum):
    """The result of a greeting. The numbers are on the wire."""

    ACCEPTED = 0
    WRONG_CLUSTER = 1
    WRONG_MEMBER = 2  # the caller expected another member at this address
    STALE_INCARNATION = 3  # a later incarnation is known, or another incarnation with the same start count

    @property
    def log_reason(self) -> str:
        """The text of this result in log lines."""
        return _LOG_REASONS[self]


_LOG_REASONS = {
    GreetingResult.ACCEPTED: "come",
    GreetingResult.WRONG_CLUSTER: "other group",
    GreetingResult.WRONG_MEMBER: "other seat",
    GreetingResult.STALE_INCARNATION: "outlived",
}
