"""The outcomes of requests that are sent to clients. Values and names are on the wire."""

from __future__ import annotations

from enum import Enum, IntEnum


class RejectReason(Enum):
    """Why this member does not carry out a request. The values are sent to clients.

    After LEADERSHIP_LOST the request may still take effect; after any other reason it has no effect.
    """

    NOT_LEADER = "not the leader"
    LEADERSHIP_LOST = "leadership lost before it was committed: it may be yet"
    TOO_MANY_PROPOSALS = "too many proposals wait"
    TRANSFER_IN_PROGRESS = "leadership is being handed over"
    CHANGE_IN_PROGRESS = "a change of members is not committed yet"
    LEADER_NOT_READY = "this leader has committed nothing of its term yet"
    LEARNER_BEHIND = "the learner has not caught up"
    INVALID_REQUEST = "not a change by one member"
    LAST_VOTER = "the last voter can't be removed"


class SessionOutcome(IntEnum):
    """The outcome of a proposal. Numbers and names are sent to clients."""

    DONE = 1  # the proposal was applied, now or by an earlier attempt, and the result is sent
    # The session was evicted or never opened. The proposal was not applied now, but an earlier attempt may
    # have been applied.
    UNKNOWN_SESSION = 2
    PAST = 3  # the session has applied a later proposal, so this proposal's result is no longer stored
    GAP = 4  # the proposal with the previous sequence number was never applied
