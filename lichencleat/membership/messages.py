"""Wire format of the gossip protocol.

The structs are encoded as arrays: fields may be renamed, but must not be moved or removed.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec


class MemberState(IntEnum):
    """State of a member. The numbers are on the wire; for the same incarnation, the greater one overrides."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # by its own announcement


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A statement about one member; the update with the greater (incarnation, state) overrides."""

    name: str
    state: int
    incarnation: int
    host: str
    port: int
    zone: str = ""
    role: str = ""

    def precedence(self) -> tuple[int, int]:
        """Return the sort key of updates about the same member; the greatest update overrides."""
        return self.incarnation, self.state

    def with_state(self, state: MemberState, incarnation: int | None = None) -> MemberUpdate:
        """Return an update about the same member in another state, by default for the same incarnation."""
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
    """Kinds of datagrams. The numbers are on the wire."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3  # asks the recipient to probe the target
    NACK = 4  # answer to PING_REQUEST: the target did not answer the probe in time
    SYNC_REQUEST = 5  # asks for the recipient's table, unless both tables have the same digest
    SYNC_STATE = 6  # a part of the sender's table


class GossipMessage(msgspec.Struct, frozen=True, array_like=True):
    """One datagram."""

    group: str
    kind: int
    sequence: int  # number that the prober gave to the probe
    sender: str
    target: str = ""  # in a ping request and in the answers to it: the member to probe
    digest: int = 0  # in a sync request: the digest of the sender's table
    updates: tuple[MemberUpdate, ...] = ()
