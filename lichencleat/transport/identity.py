"""Identities in greetings: the incarnation of a member, and how a greeting is answered."""

from __future__ import annotations

from enum import IntEnum

import msgspec

CLIENT_ID = 0  # in the place of a member id: the caller is a client, or the recipient is not known


class Incarnation(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One start of a member."""

    start_count: int  # how often it was started, this time included
    nonce: int  # drawn at the start


NO_INCARNATION = Incarnation(0, 0)  # of a process that is no member


class GreetingResult(IntEnum):
    """The answer to a greeting. The numbers are those on the wire."""

    ACCEPTED = 0
    WRONG_CLUSTER = 1
    WRONG_MEMBER = 2  # the caller expected another member here
    STALE_INCARNATION = 3  # a later incarnation is known, or another one with the same count

    @property
    def log_reason(self) -> str:
        """The words for it in log lines."""
        return _LOG_REASONS[self]


_LOG_REASONS = {
    GreetingResult.ACCEPTED: "come",
    GreetingResult.WRONG_CLUSTER: "other group",
    GreetingResult.WRONG_MEMBER: "other seat",
    GreetingResult.STALE_INCARNATION: "outlived",
}
