"""What voters tell one another, what they write down, and what they hand to their host; no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum, auto
from typing import Any

import msgspec

NO_MEMBER = 0  # no seat has this number


class MessageType(IntEnum):
    """What a message says. The numbers are the wire's: never given anew."""

    PRE_VOTE = 1  # would you vote for me in that term? (pre-vote)
    PRE_VOTE_RESPONSE = 2
    VOTE = 3
    VOTE_RESPONSE = 4
    APPEND = 5  # entries, or none: then only that the leader is there
    APPEND_RESPONSE = 6
    SNAPSHOT = 7  # a piece of it
    SNAPSHOT_RESPONSE = 8
    TIMEOUT_NOW = 9  # stand for election now: leadership is handed over


class EntryType(IntEnum):
    """What an entry holds."""

    NO_OP = 0  # a leader's first entry: it commits what its terms before left
    COMMAND = 1
    CONFIGURATION = 2
    SESSION = 3  # opens one; its number is this entry's index


class Member(msgspec.Struct, frozen=True, array_like=True):
    member_id: int  # drawn when its directory was made: a voter that lost its disk is another one
    name: str
    host: str
    port: int
    is_voter: bool = True  # else a learner
    zone: str = ""


class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """Who counts, by one entry of the log, from the moment that entry stands in it."""

    members: tuple[Member, ...]

    def voter_ids(self) -> frozenset[int]:
        return frozenset(each.member_id for each in self.members if each.is_voter)

    def member_ids(self) -> frozenset[int]:
        return frozenset(each.member_id for each in self.members)


class Entry(msgspec.Struct, frozen=True, array_like=True):
    term: int
    entry_type: int
    data: bytes = b""
    session_id: int = 0  # 0: none
    sequence: int = 0  # of the proposal in its session, from 1 on

    def size_bytes(self) -> int:
        """Bytes of it on a wire, about."""
        return len(self.data) + ENTRY_OVERHEAD_BYTES


ENTRY_OVERHEAD_BYTES = 32  # bytes: the numbers about an entry's data


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state after the entry `index`, in place of all entries up to it."""

    index: int
    term: int
    configuration: Configuration
    data: bytes


class Message(msgspec.Struct, frozen=True, array_like=True):
    message_type: int
    term: int
    sender: int
    recipient: int
    index: int = 0  # APPEND: entry before the first; VOTE: the last one; APPENDED: how far the logs agree
    log_term: int = 0  # term of that entry
    commit: int = 0
    read_round: int = 0  # of the leader's asking whether it still leads; answered by the same
    granted: bool = False
    is_transfer: bool = False  # the leader itself asked for this election
    entries: tuple[Entry, ...] = ()
    offset: int = 0  # bytes: of a snapshot's piece
    snapshot_size: int = 0  # bytes of the whole snapshot
    data: bytes = b""
    configuration: Configuration | None = None  # with a snapshot's first piece


class ActionType(Enum):
    WRITE = auto()  # write and flush, then call `saved` with its number
    SEND = auto()
    APPLY = auto()  # an entry that is committed, in the log's order
    RESTORE_SNAPSHOT = auto()  # the state is the snapshot's from now on
    SERVE_READ = auto()  # answer the read once `index` is applied
    REJECT = auto()  # the proposal or read: `reason` says whether it may have been taken
    HALT = auto()  # nothing more may be said: end the process, with `reason`


class RejectReason(Enum):
    """Why something asked for is not done here. Only LOST leaves open whether it will be."""

    NOT_LEADER = "not the leader"
    LEADERSHIP_LOST = "leadership lost before it was committed: it may be yet"
    TOO_MANY_PROPOSALS = "too many proposals wait"
    TRANSFER_IN_PROGRESS = "leadership is being handed over"
    CHANGE_IN_PROGRESS = "a change of members is not committed yet"
    LEADER_NOT_READY = "this leader has committed nothing of its term yet"
    LEARNER_BEHIND = "the learner has not caught up"
    INVALID_REQUEST = "not a change by one member"
    LAST_VOTER = "the last voter can't be removed"


@dataclass(slots=True)
class DurableWrite:
    """Written as a whole or not at all, and in order."""

    number: int
    term: int
    vote: int
    first_index: int  # index of the first entry in `entries`: what stood from there on is void
    entries: tuple[Entry, ...]
    last_index: int  # index of the last entry that counts from now on
    snapshot_index: int  # entries up to it are the snapshot's
    snapshot: Snapshot | None = None  # a new one, else the one before stays


@dataclass(slots=True)
class Action:
    action_type: ActionType
    message: Message | None = None
    write: DurableWrite | None = None
    index: int = 0
    entry: Entry | None = None
    snapshot: Snapshot | None = None
    context: Any = None  # what the host gave with a proposal or read, where it waits here
    reason: Any = None


@dataclass(slots=True)
class DurableState:
    """What a voter finds on its disk at a start."""

    term: int = 0
    vote: int = NO_MEMBER
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)  # from the snapshot's index + 1 on


@dataclass(frozen=True, slots=True)
class Timeouts:
    """All in µs of the voter's own monotonic clock. An election must outlast a beat and a flush by far."""

    heartbeat_interval_us: int = 60_000  # between two words of a leader's: what a calm group costs
    election_timeout_us: int = 400_000  # at least so long without a leader's word before one is asked for
    election_jitter_us: int = 400_000  # drawn on top, so that two seldom stand at once
    transfer_timeout_us: int = 800_000  # for a handing over, then the old leader goes on
