"""Types of the consensus core: messages between members, log entries, durable writes and actions.

Structs that are sent or stored are MessagePack arrays: their fields are never moved or dropped, and the
numbers of the enumerations are never given anew. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum, auto
from typing import Any, TypeAlias

import msgspec

from lichencleat.transport.outcomes import RejectReason

NO_MEMBER = 0  # no member has this id
ENTRY_OVERHEAD_BYTES = 32  # the encoded numbers around an entry's data

# What the caller gave with a proposal or a read. Opaque here: it is handed back with the outcome.
RequestContext: TypeAlias = Any


class MessageType(IntEnum):
    """The kind of a message between two members. The numbers are those on the wire."""

    PRE_VOTE = 1
    PRE_VOTE_RESPONSE = 2
    VOTE = 3
    VOTE_RESPONSE = 4
    APPEND = 5  # without entries: a heartbeat
    APPEND_RESPONSE = 6
    SNAPSHOT = 7  # one chunk
    SNAPSHOT_RESPONSE = 8
    TIMEOUT_NOW = 9  # start an election at once: leadership is transferred


class EntryType(IntEnum):
    """The kind of a log entry. The numbers are those stored."""

    NO_OP = 0  # a leader's first entry: it commits the entries of earlier terms
    COMMAND = 1
    CONFIGURATION = 2
    SESSION = 3  # opens a client session, whose id is the entry's index


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One member of the cluster, with the address at which others reach it."""

    member_id: int  # drawn when its directory was made: a voter that lost its disk is another member
    name: str
    host: str
    port: int
    is_voter: bool = True  # else a learner
    zone: str = ""


class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """The members of the cluster. It is in force from the moment its entry is in the log."""

    members: tuple[Member, ...]

    def voter_ids(self) -> frozenset[int]:
        """Return the ids of the members that vote."""
        return frozenset(each.member_id for each in self.members if each.is_voter)

    def member_ids(self) -> frozenset[int]:
        """Return the ids of all members, learners included."""
        return frozenset(each.member_id for each in self.members)


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log."""

    term: int
    entry_type: int
    data: bytes = b""
    session_id: int = 0  # 0: none
    sequence: int = 0  # of the proposal in its session, from 1 on

    def size_bytes(self) -> int:
        """Return about how many bytes the entry takes in a message."""
        return len(self.data) + ENTRY_OVERHEAD_BYTES


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state after the entry `index`; it replaces all entries up to that one."""

    index: int
    term: int
    configuration: Configuration
    data: bytes


class Message(msgspec.Struct, frozen=True, array_like=True):
    """A message from one member to another; which fields count depends on its type."""

    message_type: int
    term: int
    sender: int
    recipient: int
    # APPEND: entry before the first; VOTE: the sender's last one; APPEND_RESPONSE: up to where the logs match
    index: int = 0
    log_term: int = 0  # term of that entry
    commit: int = 0
    read_round: int = 0  # the leader's check that it still leads; the response repeats it
    granted: bool = False
    is_transfer: bool = False  # the leader itself asked for this election
    entries: tuple[Entry, ...] = ()
    offset: int = 0  # SNAPSHOT: of the chunk in bytes; rejected APPEND: the index that did not match
    snapshot_size: int = 0  # bytes of the complete snapshot
    data: bytes = b""
    configuration: Configuration | None = None  # with a snapshot's first chunk


class ActionType(Enum):
    """What the host is to do."""

    WRITE = auto()  # write and flush, then call `on_write_durable` with the write's number
    SEND = auto()
    APPLY = auto()  # a committed entry, in the order of the log
    RESTORE_SNAPSHOT = auto()  # replace the state by the snapshot's
    SERVE_READ = auto()  # answer the read once the entry `index` is applied
    REJECT = auto()  # of a proposal or read; `reason` says whether it may take effect yet
    HALT = auto()  # send nothing more and end the process, with `reason`


@dataclass(slots=True)
class DurableWrite:
    """A change of the durable state. It is written as a unit or not at all, and in order."""

    number: int
    term: int
    vote: int
    first_index: int  # of the first entry in `entries`; older entries from there on are void
    entries: tuple[Entry, ...]
    last_index: int  # of the last entry that is valid from now on
    snapshot_index: int  # entries up to this one are replaced by the snapshot
    snapshot: Snapshot | None = None  # a new one; None: the previous one stays


@dataclass(slots=True)
class Action:
    """One step for the host; which fields are set depends on its type."""

    action_type: ActionType
    message: Message | None = None
    write: DurableWrite | None = None
    index: int = 0
    entry: Entry | None = None
    snapshot: Snapshot | None = None
    context: RequestContext = None
    reason: RejectReason | str | None = None  # a text with HALT


@dataclass(slots=True)
class DurableState:
    """What a member finds on its disk when it starts."""

    term: int = 0
    vote: int = NO_MEMBER
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)  # from the snapshot's index + 1 on


@dataclass(frozen=True, slots=True)
class Timeouts:
    """Timeouts in µs of the member's own monotonic clock.

    The election timeout must exceed the heartbeat interval and the time of a flush by far.
    """

    heartbeat_interval_us: int = 60_000
    election_timeout_us: int = 400_000  # without contact to a leader before an election
    election_jitter_us: int = 400_000  # bound of the random part on top, against split votes
    transfer_timeout_us: int = 800_000  # after which a leadership transfer is abandoned
