"""The role of a member within its term."""

from __future__ import annotations

from enum import Enum


class Role(Enum):
    """The role of a member. Status responses report the values."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # has sent pre-vote requests
    CANDIDATE = "standing"
    LEADER = "leader"
    HALTED = "out"  # no longer participates: sends and applies nothing
