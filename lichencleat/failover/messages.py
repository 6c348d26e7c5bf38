"""Zones, the routing plan and health reports, and the commands and replies about them.

All structs are stored or sent as arrays: fields are never moved or dropped, and tags never change.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

JOB = "zones"  # the job of the fleet whose lease holder publishes the routing plan
STATE_PART = "zones"  # the name of this part of the replicated state
HISTORY_QUERY = "history"  # reads the plans before the current one
MAX_ZONES = 32
MAX_ROUTERS = 1_024  # that report
MAX_HISTORY = 64  # plans that are kept to be shown


class ZoneRole(IntEnum):
    """What a zone does under a plan. The numbers are stored: never reassigned."""

    ACTIVE = 1  # it serves its own callers and spillover from other zones
    DRAINING = 2  # its own callers are sent to other zones; it finishes what it has
    STANDBY = 3  # no spillover is sent to it; its own routers serve what they can
    FENCED = 4  # nothing is sent to it, by an operator's override

    @property
    def label(self) -> str:
        """The role as the command line prints it."""
        return _LABELS[self]


_LABELS = {
    ZoneRole.ACTIVE: "serves",
    ZoneRole.DRAINING: "drains",
    ZoneRole.STANDBY: "stands_by",
    ZoneRole.FENCED: "fenced",
}


class Zone(msgspec.Struct, array_like=True):
    """A zone of the service."""

    region: str
    capacity: float  # requests a second that it is known to serve
    round_trips: dict[str, int] = {}  # µs to other zones and back


class RoutingPlan(msgspec.Struct, frozen=True, array_like=True):
    """Who serves what. A zone that is not named serves its own callers and gets no spillover."""

    version: int = 0
    fencing_token: int = 0  # of the leader that published it
    roles: dict[str, int] = {}  # by zone, a `ZoneRole`
    spillover: dict[str, float] = {}  # requests a second that each zone may get from all others together
    shed: dict[str, float] = {}  # fraction of a zone's own arrivals that nobody can serve: rejected there
    reason: str = ""

    def role(self, zone: str) -> ZoneRole:
        """The role of `zone`."""
        return ZoneRole(self.roles.get(zone, ZoneRole.ACTIVE))


class ZoneObservation(msgspec.Struct, frozen=True, array_like=True):
    """What a router observed of one zone in its last interval, counting first attempts only."""

    sent: int
    succeeded: int  # served in time
    rejected: int
    lost: int  # late, failed, or never answered
    latency: int  # µs, median of those that were answered


class HealthReport(msgspec.Struct, frozen=True, array_like=True, tag="tell"):
    """A router's report; the reply is the newest routing plan."""

    router: str
    zone: str
    plan_version: int  # the newest that it knows
    offered: float  # requests a second that arrive at it
    observations: dict[str, ZoneObservation]  # by zone


class DefineZone(msgspec.Struct, frozen=True, array_like=True, tag="define"):
    """From an operator: a zone exists, or its properties change."""

    zone: str
    region: str
    capacity: float
    round_trips: dict[str, int] = {}


class DropZone(msgspec.Struct, frozen=True, array_like=True, tag="drop"):
    """From an operator: a zone no longer exists."""

    zone: str


class OperatorOverride(msgspec.Struct, frozen=True, array_like=True, tag="wish"):
    """From an operator: a zone has a role, for a duration or until it is cleared (0)."""

    zone: str
    role: int
    duration: int = 0  # µs, counted by the leader: a drill ends although its terminal died


class ClearOverride(msgspec.Struct, frozen=True, array_like=True, tag="unwish"):
    """From an operator, or from the leader when the duration is over."""

    zone: str
    index: int = 0  # log index of the override that is meant, 0: whichever there is


class PublishPlan(msgspec.Struct, frozen=True, array_like=True, tag="give"):
    """From the leader: a plan in place of the one that it has read."""

    fencing_token: int
    previous_version: int  # rejected if another plan was published since
    plan: RoutingPlan


class UpdateCapacity(msgspec.Struct, frozen=True, array_like=True, tag="learn"):
    """From the leader: the capacity of a zone as observed."""

    fencing_token: int
    zone: str
    capacity: float


Command = (
    HealthReport | DefineZone | DropZone | OperatorOverride | ClearOverride | PublishPlan | UpdateCapacity
)


class ActiveOverride(msgspec.Struct, array_like=True):
    """An override in force."""

    role: int
    duration: int  # µs, 0: until it is cleared
    index: int  # of its log entry


class RouterHealth(msgspec.Struct, array_like=True):
    """The last health report of a router."""

    zone: str
    plan_version: int
    offered: float
    observations: dict[str, ZoneObservation]
    index: int  # of its log entry


class CommandReply(msgspec.Struct, frozen=True, array_like=True):
    """Whether a command was applied, and if not, why."""

    accepted: bool
    reason: str = ""
