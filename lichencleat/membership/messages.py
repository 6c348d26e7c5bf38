"""Wire format of the gossip protocol.

The structs are encoded as arrays: fields may be renamed, but must not be moved or removed.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec


class MemberState(IntEnum):
    """State of a member. The numbers are on the wire.

    Of two updates about the same incarnation of a member, the update with the greater number overrides the
    other.
    """

    ALIVE = 0
    SUSPECT = 1  # a probe of the member has failed
    DEAD = 2  # the member has not refuted the suspicion in time
    LEFT = 3  # the member announced that it leaves


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A statement about one member; an update with a greater (incarnation, state) overrides another."""

    name: str
    state: int  # a `MemberState`
    incarnation: int  # Unix time in µs of the member's start; a refutation increases it
    host: str
    port: int
    zone: str = ""
    role: str = ""

    def precedence(self) -> tuple[int, int]:
        """Return the sort key of updates about the same member; a greater update overrides the others."""
        return self.incarnation, self.state

    def with_state(self, state: MemberState, incarnation: int | None = None) -> MemberUpdate:
        """Return an update about the same member with this state, by default for the same incarnation."""
        return MemberUpdate(
            self.name,
            state,
            self.incarnation if incarnation is None else incarnation,
            self.host,
            self.port,
            self.zone,
            self.role,
        )


class MessageKind(IntEnum):
    """Kinds of datagrams between members. The numbers are on the wire."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3  # asks the recipient to probe the target
    NACK = 4  # answer to PING_REQUEST: the target did not answer the probe in time
    SYNC_REQUEST = 5  # asks for the recipient's member table, unless both tables have the same digest
    SYNC_STATE = 6  # carries a part of the sender's member table


class GossipMessage(msgspec.Struct, frozen=True, array_like=True):
    """One datagram."""

    group: str
    kind: int  # a `MessageKind`
    sequence: int  # number of the probe that the message belongs to; 0 without a probe
    sender: str  # name of the sending member
    target: str = ""  # in a ping request and in the answers to the request: the member to probe
    digest: int = 0  # in a sync request: the digest of the sender's member table
    updates: tuple[MemberUpdate, ...] = ()
