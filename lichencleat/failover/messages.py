"""Zones, the routing plan and health reports, with the commands and replies about them.

All structs are stored or sent as arrays: fields are never moved or dropped, and tags never change.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

JOB = "zones"  # the holder of this job's lease publishes the routing plan
STATE_PART = "zones"  # the name of this part of the replicated state
HISTORY_QUERY = "history"  # reads the plans before the current one
MAX_ZONES = 32
MAX_ROUTERS = 1_024  # reporting routers that are stored
MAX_HISTORY = 64  # former plans that are kept


class ZoneRole(IntEnum):
    """What a zone does under a plan. The numbers are stored: never reassigned."""

    ACTIVE = 1  # it serves its own callers and spillover from other zones
    DRAINING = 2  # its callers are sent to other zones; it finishes requests in flight
    STANDBY = 3  # it gets no spillover; its own routers serve what they can
    FENCED = 4  # it gets no requests, by an operator's override

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
    capacity: float  # requests per second that the zone is known to serve
    round_trips: dict[str, int] = {}  # µs, by other zone


class RoutingPlan(msgspec.Struct, frozen=True, array_like=True):
    """Roles and limits of the zones. An unnamed zone serves its own callers and gets no spillover."""

    version: int = 0
    fencing_token: int = 0  # of the leader that published it
    roles: dict[str, int] = {}  # by zone, a `ZoneRole`
    spillover: dict[str, float] = {}  # by zone: requests per second from all other zones together
    shed: dict[str, float] = {}  # by zone: fraction of its arrivals to reject, as no zone can serve them
    reason: str = ""

    def role(self, zone: str) -> ZoneRole:
        """Return the role of `zone`."""
        return ZoneRole(self.roles.get(zone, ZoneRole.ACTIVE))


class ZoneObservation(msgspec.Struct, frozen=True, array_like=True):
    """A router's observation of one zone in the last interval; only first attempts count."""

    sent: int
    succeeded: int  # served in time
    rejected: int
    lost: int  # late, failed or unanswered
    latency: int  # µs, median of the answered attempts


class HealthReport(msgspec.Struct, frozen=True, array_like=True, tag="tell"):
    """A router's report; the reply is the newest routing plan."""

    router: str
    zone: str
    plan_version: int  # newest plan that the router knows
    offered: float  # requests per second that arrive at the router
    observations: dict[str, ZoneObservation]  # by zone


class DefineZone(msgspec.Struct, frozen=True, array_like=True, tag="define"):
    """From an operator: add a zone, or change its properties."""

    zone: str
    region: str
    capacity: float
    round_trips: dict[str, int] = {}


class DropZone(msgspec.Struct, frozen=True, array_like=True, tag="drop"):
    """From an operator: remove a zone."""

    zone: str


class OperatorOverride(msgspec.Struct, frozen=True, array_like=True, tag="wish"):
    """From an operator: give a zone a role, for a duration or until the override is cleared."""

    zone: str
    role: int
    duration: int = 0  # µs, 0: until cleared; timed by the leader, so that a drill ends without its terminal


class ClearOverride(msgspec.Struct, frozen=True, array_like=True, tag="unwish"):
    """From an operator, or from the leader when an override has expired: clear the override."""

    zone: str
    index: int = 0  # log index of the override, 0: whichever is in force


class PublishPlan(msgspec.Struct, frozen=True, array_like=True, tag="give"):
    """From the leader: replace the plan that the leader has read."""

    fencing_token: int
    previous_version: int  # version of that plan; rejected if another one was published since
    plan: RoutingPlan


class UpdateCapacity(msgspec.Struct, frozen=True, array_like=True, tag="learn"):
    """From the leader: the observed capacity of a zone."""

    fencing_token: int
    zone: str
    capacity: float


Command = (
    HealthReport | DefineZone | DropZone | OperatorOverride | ClearOverride | PublishPlan | UpdateCapacity
)


class ActiveOverride(msgspec.Struct, array_like=True):
    """An override in force."""

    role: int
    duration: int  # µs, 0: until cleared
    index: int  # of its log entry


class RouterHealth(msgspec.Struct, array_like=True):
    """The last health report of a router."""

    zone: str
    plan_version: int
    offered: float
    observations: dict[str, ZoneObservation]
    index: int  # of its log entry


class CommandReply(msgspec.Struct, frozen=True, array_like=True):
    """Whether a command was applied, with the reason if it was rejected."""

    accepted: bool
    reason: str = ""
