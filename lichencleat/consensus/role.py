"""The role of a member within its term."""

from __future__ import annotations

from enum import Enum


class Role(Enum):
    """What a member does in its term. The values are those that the status request reports."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # asks in a pre-vote whether it would be elected
    CANDIDATE = "standing"
    LEADER = "leader"
    HALTED = "out"  # takes part no longer: it sends and applies nothing more
