"""Requests as a router carries them, and what it is asked to do with them; no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

from lichencleat.admission.types import RequestClass


class Came(Enum):
    """What became of a try."""

    HONOURED = auto()
    DEFERRED = auto()  # by the node: it never ran
    FAILED = auto()  # by the node: it may have run
    UNSENT = auto()  # it never went out: it never ran
    LOST = auto()  # its connection ended before an answer: it may have run
    SILENT = auto()  # nothing came in the time that it had: likewise
    ABANDONED = auto()  # its caller waits no more: likewise, and it tells nothing of the node


@dataclass(eq=False, slots=True)
class Carried:
    """A request at the router; `due` as its caller counts it, both times µs of Unix time."""

    request_class: RequestClass
    ident: bytes
    arrived: int
    due: int
    key: bytes = b""  # mark of a receipted one
    place: float = 0.0
    further_try: bool = False  # its caller has sent it before, here or elsewhere
    number: int = -1  # the host's own
    # the try under way, and those before it
    node: str = ""  # empty: none is under way
    zone: str = ""
    sent_at: int = 0
    tries: int = 0
    spent: list[str] = field(default_factory=list)  # nodes that it was sent to
    span: int = 0  # µs that the last node asked to stay away
    may_have_run: bool = False  # some try of it: then no answer says that it never ran
    ended: bool = False


class Act(Enum):
    SEND = auto()
    QUIT = auto()  # the try under way: nobody waits for it
    HONOUR = auto()  # with the result that came for it
    DEFER = auto()
    GIVE_UP = auto()
    WAKE = auto()


@dataclass(slots=True)
class Decision:
    act: Act
    request: Carried | None = None
    node: str = ""
    first: bool = True  # SEND: the caller's own try, under the caller's own name for it
    span: int = 0  # µs: of an advice, or to the next look
    last: bool = False  # DEFER: no try elsewhere
