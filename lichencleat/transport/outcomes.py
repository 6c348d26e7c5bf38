"""The outcomes of requests as clients are told them. Values and names are on the wire."""

from __future__ import annotations

from enum import Enum, IntEnum


class RejectReason(Enum):
    """Why a request is not carried out by this member. The values are sent to clients.

    Only LEADERSHIP_LOST leaves open whether the request will take effect.
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
    """What became of a proposal. Numbers and names are sent to clients."""

    DONE = 1  # applied, now or before; the result is that of the first time
    UNKNOWN_SESSION = 2  # evicted or never opened; nothing was applied now, an earlier attempt may have been
    PAST = 3  # the session is beyond it, and its result is no longer there
    GAP = 4  # the proposal before it was never applied
