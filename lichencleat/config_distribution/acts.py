"""What a follower decides, for its host to carry out; no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

from lichencleat.config_distribution.terms import Batch


class Act(Enum):
    OPEN = 1  # a link to `relay`
    CLOSE = 2  # it is not wanted any more, also while it is being opened
    ASK = 3  # `what` with `content`, at `relay`
    STEP = 4  # call copy.step() in a later turn, then `stepped`
    TAKEN = 5  # `batches` are in force; none: a snapshot is
    TELL = 6  # a line for the log


@dataclass(frozen=True, slots=True)
class Decision:
    act: Act
    relay: str = ""
    what: str = ""
    content: Any = None
    batches: tuple[Batch, ...] = ()
    text: str = ""
