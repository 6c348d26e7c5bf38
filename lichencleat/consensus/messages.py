"""Types of the consensus core: messages between members, log entries, durable writes and actions.

Structs that are sent or stored are MessagePack arrays: their fields are never reordered or removed, and the
numbers of the enumerations are never reused. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum, auto
from typing import Any, TypeAlias

import msgspec

from lichencleat.transport.outcomes import RejectReason

NO_MEMBER = 0  # no member has this id
ENTRY_OVERHEAD_BYTES = 32  # approximate size of the encoded fields other than `data`

# A value that the caller passes with a proposal or read and gets back with the outcome. Opaque to the core.
RequestContext: TypeAlias = Any


class MessageType(IntEnum):
    """The type of a message between two members. The numbers are sent on the wire."""

    PRE_VOTE = 1
    PRE_VOTE_RESPONSE = 2
    VOTE = 3
    VOTE_RESPONSE = 4
    APPEND = 5  # a heartbeat if it has no entries
    APPEND_RESPONSE = 6
    SNAPSHOT = 7  # one chunk of a snapshot
    SNAPSHOT_RESPONSE = 8
    TIMEOUT_NOW = 9  # leadership transfer: the recipient starts an election at once


class EntryType(IntEnum):
    """The type of a log entry. The numbers are stored."""

    NO_OP = 0  # a leader's first entry; committing it commits the entries of earlier terms
    COMMAND = 1
    CONFIGURATION = 2
    SESSION = 3  # opens a client session, whose id is the entry's index


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One member of the cluster, with the address at which the others reach it."""

    member_id: int  # drawn when the directory is created; a voter that lost its disk gets a new id
    name: str
    host: str
    port: int
    is_voter: bool = True  # False: a learner
    zone: str = ""


class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """The members of the cluster.

    A member uses a configuration once its own log has the entry with it, whether committed or not.
    """

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
    session_id: int = 0  # 0: no session
    sequence: int = 0  # number of the proposal in its session, from 1

    def size_bytes(self) -> int:
        """Return the approximate size of the entry in a message."""
        return len(self.data) + ENTRY_OVERHEAD_BYTES


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state after the entry at `index`; a snapshot replaces all log entries up to that index."""

    index: int
    term: int
    configuration: Configuration
    data: bytes


class Message(msgspec.Struct, frozen=True, array_like=True):
    """A message from one member to another; its type determines which fields are used."""

    message_type: int
    term: int
    sender: int
    recipient: int
    # APPEND: index of the entry before the first one sent; VOTE: index of the sender's last entry;
    # APPEND_RESPONSE: index up to which the logs match
    index: int = 0
    log_term: int = 0  # term of the entry at `index`
    commit: int = 0  # the leader's commit index
    # Number of the leader's latest read round, which is a round of heartbeats that confirms the leader before
    # it serves reads; a response repeats the number.
    read_round: int = 0
    granted: bool = False
    is_transfer: bool = False  # VOTE: the election is part of a leadership transfer
    entries: tuple[Entry, ...] = ()
    offset: int = 0  # SNAPSHOT: the chunk's offset in bytes; rejected APPEND: the index that did not match
    snapshot_size: int = 0  # bytes of the complete snapshot
    data: bytes = b""
    configuration: Configuration | None = None  # only in a snapshot's first chunk


class ActionType(Enum):
    """The type of an action that the host carries out for the Raft node."""

    WRITE = auto()  # write and flush the state, then call `on_write_durable` with the write's number
    SEND = auto()
    APPLY = auto()  # apply a committed entry; entries come in log order
    RESTORE_SNAPSHOT = auto()  # replace the replicated state by the snapshot
    SERVE_READ = auto()  # answer the read once the entry at `index` is applied
    REJECT = auto()  # reject a proposal or read; `reason` says whether it may still take effect
    HALT = auto()  # stop sending and end the process; `reason` says why


@dataclass(slots=True)
class DurableWrite:
    """A change of the durable state. Each write is atomic, and writes are carried out in order."""

    number: int
    term: int
    vote: int
    # Index of the first entry in `entries`; entries of earlier writes at this index and after it are void.
    first_index: int
    entries: tuple[Entry, ...]
    last_index: int  # index of the last valid entry once this write is durable
    snapshot_index: int  # index of the snapshot, which replaces all entries up to this index
    snapshot: Snapshot | None = None  # a new snapshot; None: the previous one stays


@dataclass(slots=True)
class Action:
    """One action for the host; its type determines which fields are set."""

    action_type: ActionType
    message: Message | None = None
    write: DurableWrite | None = None
    index: int = 0
    entry: Entry | None = None
    snapshot: Snapshot | None = None
    context: RequestContext = None
    reason: RejectReason | str | None = None  # why a request is rejected, or why the member halts (a string)


@dataclass(slots=True)
class DurableState:
    """The state that a member reads from its disk when it starts."""

    term: int = 0
    vote: int = NO_MEMBER
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)  # the first entry has the snapshot's index + 1


@dataclass(frozen=True, slots=True)
class Timeouts:
    """Timeouts in µs of the member's own monotonic clock.

    The election timeout must be much longer than the heartbeat interval and the duration of a flush.
    """

    heartbeat_interval_us: int = 60_000
    election_timeout_us: int = 400_000  # time without contact to a leader before an election
    election_jitter_us: int = 400_000  # limit of the random addition, which avoids split votes
    transfer_timeout_us: int = 800_000  # time after which a leadership transfer is abandoned
