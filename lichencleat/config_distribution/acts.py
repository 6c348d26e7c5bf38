"""The decisions of a `RelayFollower`, which the follower's host carries out; no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

from lichencleat.config_distribution.terms import Batch


class Action(Enum):
    """What the host has to do, with fields of the `Decision`."""

    OPEN = 1  # open a link to `relay`
    CLOSE = 2  # close the link to `relay`, also while it is being opened
    ASK = 3  # send the request `what` with `content` to `relay`
    STEP = 4  # call copy.step() in a later turn of the reactor and report the result
    APPLIED = 5  # `batches` were applied; empty: a snapshot was applied
    LOG = 6  # log `text`


@dataclass(frozen=True, slots=True)
class Decision:
    """One action for the host, with its parameters; parameters that the action doesn't need are empty."""

    act: Action
    relay: str = ""
    what: str = ""
    content: Any = None
    batches: tuple[Batch, ...] = ()
    text: str = ""
