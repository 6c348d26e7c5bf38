"""Zones, orders and evidence, and what is said about them; no I/O."""

from __future__ import annotations

from enum import IntEnum

import msgspec

JOB = "zones"  # of the fleet: its owner gives the orders
ZONES_MOST = 32
SOURCES_MOST = 1_024  # routers that tell
HISTORY_MOST = 64  # orders kept to be shown


class Duty(IntEnum):
    """What a zone is to do. The numbers are the log's: never given anew."""

    SERVES = 1  # its own, and guests
    DRAINS = 2  # its own callers are sent elsewhere, what it has it ends
    STANDS_BY = 3  # nothing is sent to it from elsewhere; its own routers serve what they can
    FENCED = 4  # nothing at all goes to it, by an operator's word


class Zone(msgspec.Struct, array_like=True):
    region: str
    carries: float  # requests a second that it is known to stand
    far: dict[str, int] = {}  # µs of the round trip to other zones


class Order(msgspec.Struct, frozen=True, array_like=True):
    """Who serves what. A zone that is not named serves its own and takes no guests."""

    number: int = 0
    token: int = 0  # of the owner that gave it
    duties: dict[str, int] = {}
    guests: dict[str, float] = {}  # requests a second that each zone may be sent by all others together
    edge: dict[
        str, float
    ] = {}  # share of a zone's own arrivals that nobody can carry: deferred where they come
    why: str = ""

    def duty(self, zone: str) -> Duty:
        return Duty(self.duties.get(zone, Duty.SERVES))


class Seen(msgspec.Struct, frozen=True, array_like=True):
    """What a router saw of one zone in its last span, of first tries."""

    sent: int
    well: int  # honoured in time
    turned: int  # deferred
    lost: int  # late, failed, or never answered
    took: int  # µs, median of those that came back


class Tell(msgspec.Struct, frozen=True, array_like=True, tag="tell"):
    """A router's evidence. Answered with the newest order."""

    router: str
    zone: str
    order: int  # the newest that it knows
    offered: float  # requests a second that came to it
    seen: dict[str, Seen]


class Define(msgspec.Struct, frozen=True, array_like=True, tag="define"):
    zone: str
    region: str
    carries: float
    far: dict[str, int] = {}


class Drop(msgspec.Struct, frozen=True, array_like=True, tag="drop"):
    zone: str


class Wish(msgspec.Struct, frozen=True, array_like=True, tag="wish"):
    """An operator's: that zone has that duty, for a span or until it is taken back (0)."""

    zone: str
    duty: int
    span: int = 0  # µs, counted by the owner: a drill ends though its terminal died


class Unwish(msgspec.Struct, frozen=True, array_like=True, tag="unwish"):
    zone: str
    given: int = 0  # the entry that it means, 0: whichever


class Give(msgspec.Struct, frozen=True, array_like=True, tag="give"):
    """The owner's: an order in place of the one that it knows."""

    token: int
    after: int  # number of the order that it follows
    order: Order


class Learn(msgspec.Struct, frozen=True, array_like=True, tag="learn"):
    """The owner's: what a zone was seen to carry."""

    token: int
    zone: str
    carries: float


Command = Tell | Define | Drop | Wish | Unwish | Give | Learn


class Wished(msgspec.Struct, array_like=True):
    duty: int
    span: int
    given: int  # index of the entry


class Source(msgspec.Struct, array_like=True):
    zone: str
    order: int
    offered: float
    seen: dict[str, Seen]
    told: int  # index of the entry


class Done(msgspec.Struct, frozen=True, array_like=True):
    done: bool
    why: str = ""
