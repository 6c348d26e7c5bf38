"""Wire format of the gossip. The structs are arrays: fields may be renamed, but never moved or dropped."""

from __future__ import annotations

from enum import IntEnum

import msgspec


class MemberState(IntEnum):
    """State of a member; of one incarnation, the greater number overrides. The numbers are the wire's."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # by its own announcement


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What is said of one member. The greater (incarnation, state) holds."""

    name: str
    state: int
    incarnation: int
    host: str
    port: int
    zone: str = ""
    role: str = ""

    def precedence(self) -> tuple[int, int]:
        """Returns what orders the updates on one member."""
        return self.incarnation, self.state

    def with_state(self, state: MemberState, incarnation: int | None = None) -> MemberUpdate:
        """Returns the same member in another state, by default of the same incarnation."""
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
    """Kinds of datagrams. The numbers are the wire's."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3  # probe the target for me
    NACK = 4  # I probed the target, and it did not answer in time
    SYNC_REQUEST = 5  # send me your table, unless its digest is mine
    SYNC_STATE = 6  # a part of the table


class GossipMessage(msgspec.Struct, frozen=True, array_like=True):
    """One datagram."""

    group: str
    kind: int
    sequence: int  # of the probe, by its prober
    sender: str
    target: str = ""  # of a ping request, and of the answers to it
    digest: int = 0  # of a sync request: of the sender's table
    updates: tuple[MemberUpdate, ...] = ()
