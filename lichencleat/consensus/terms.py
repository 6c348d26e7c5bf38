"""What voters tell one another, what they write down, and what they hand to their host; no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum, auto
from typing import Any

import msgspec

NOBODY = 0  # no seat has this number


class Kind(IntEnum):
    """What a message says. The numbers are the wire's: never given anew."""

    WOULD_YOU = 1  # would you vote for me in that term? (pre-vote)
    WOULD = 2
    VOTE = 3
    VOTED = 4
    APPEND = 5  # entries, or none: then only that the leader is there
    APPENDED = 6
    SNAPSHOT = 7  # a piece of it
    TAKEN = 8
    LEAD = 9  # stand for election now: leadership is handed over


class What(IntEnum):
    """What an entry holds."""

    NOTHING = 0  # a leader's first entry: it commits what its terms before left
    COMMAND = 1
    GROUP = 2
    SESSION = 3  # opens one; its number is this entry's index


class Member(msgspec.Struct, frozen=True, array_like=True):
    seat: int  # drawn when its directory was made: a voter that lost its disk is another one
    name: str
    host: str
    port: int
    votes: bool = True  # else a learner
    zone: str = ""


class Group(msgspec.Struct, frozen=True, array_like=True):
    """Who counts, by one entry of the log, from the moment that entry stands in it."""

    members: tuple[Member, ...]

    def voters(self) -> frozenset[int]:
        return frozenset(each.seat for each in self.members if each.votes)

    def seats(self) -> frozenset[int]:
        return frozenset(each.seat for each in self.members)


class Entry(msgspec.Struct, frozen=True, array_like=True):
    term: int
    what: int
    data: bytes = b""
    session: int = 0  # 0: none
    number: int = 0  # of the proposal in its session, from 1 on

    def weight(self) -> int:
        """Bytes of it on a wire, about."""
        return len(self.data) + ENTRY_EXTRA


ENTRY_EXTRA = 32  # bytes: the numbers about an entry's data


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state after the entry `index`, in place of all entries up to it."""

    index: int
    term: int
    group: Group
    data: bytes


class Message(msgspec.Struct, frozen=True, array_like=True):
    kind: int
    term: int
    sender: int
    to: int
    index: int = 0  # APPEND: entry before the first; VOTE: the last one; APPENDED: how far the logs agree
    past: int = 0  # term of that entry
    commit: int = 0
    round: int = 0  # of the leader's asking whether it still leads; answered by the same
    granted: bool = False
    forced: bool = False  # the leader itself asked for this election
    entries: tuple[Entry, ...] = ()
    offset: int = 0  # bytes: of a snapshot's piece
    size: int = 0  # bytes of the whole snapshot
    data: bytes = b""
    group: Group | None = None  # with a snapshot's first piece


class Act(Enum):
    SAVE = auto()  # write and flush, then call `saved` with its number
    SEND = auto()
    APPLY = auto()  # an entry that is committed, in the log's order
    RESTORE = auto()  # the state is the snapshot's from now on
    READ = auto()  # answer the read once `index` is applied
    REFUSE = auto()  # the proposal or read: `reason` says whether it may have been taken
    LEAVE = auto()  # nothing more may be said: end the process, with `reason`


class Reason(Enum):
    """Why something asked for is not done here. Only LOST leaves open whether it will be."""

    NOT_LEADER = "not the leader"
    LOST = "leadership lost before it was committed: it may be yet"
    BUSY = "too many proposals wait"
    MOVING = "leadership is being handed over"
    CHANGING = "a change of members is not committed yet"
    TOO_EARLY = "this leader has committed nothing of its term yet"
    BEHIND = "the learner has not caught up"
    UNFIT = "not a change by one member"
    LAST = "the last voter can't be removed"


@dataclass(slots=True)
class Save:
    """Written as a whole or not at all, and in order."""

    number: int
    term: int
    vote: int
    first: int  # index of the first entry in `entries`: what stood from there on is void
    entries: tuple[Entry, ...]
    last: int  # index of the last entry that counts from now on
    base: int  # entries up to it are the snapshot's
    snapshot: Snapshot | None = None  # a new one, else the one before stays


@dataclass(slots=True)
class Decision:
    act: Act
    message: Message | None = None
    save: Save | None = None
    index: int = 0
    entry: Entry | None = None
    snapshot: Snapshot | None = None
    ticket: Any = None  # what the host gave with a proposal or read, where it waits here
    reason: Any = None


@dataclass(slots=True)
class Durable:
    """What a voter finds on its disk at a start."""

    term: int = 0
    vote: int = NOBODY
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)  # from the snapshot's index + 1 on


@dataclass(frozen=True, slots=True)
class Times:
    """All in µs of the voter's own monotonic clock. An election must outlast a beat and a flush by far."""

    beat: int = 60_000  # between two words of a leader's: what a calm group costs
    election: int = 400_000  # at least so long without a leader's word before one is asked for
    spread: int = 400_000  # drawn on top, so that two seldom stand at once
    transfer: int = 800_000  # for a handing over, then the old leader goes on
