"""Zones, the routing plan and health reports, with the commands and replies about them.

All structs are stored or sent as arrays: fields are never moved or dropped, and tags never change.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

JOB = "zones"  # the holder of this job's lease publishes the routing plan
STATE_PART = "zones"  # the name of this part of the replicated state
HISTORY_QUERY = "history"  # the query of a read that returns the plans before the current plan
MAX_ZONES = 32
MAX_ROUTERS = 1_024  # limit on the routers whose reports are stored
MAX_HISTORY = 64  # number of former plans that are stored


class ZoneRole(IntEnum):
    """What a zone does under a plan. The numbers are stored: never reassigned."""

    ACTIVE = 1  # the zone serves its own callers, and requests that other zones send
    DRAINING = 2  # the zone finishes requests in flight; new requests go to other zones
    STANDBY = 3  # other zones send no requests to the zone; its own routers still use the zone
    FENCED = 4  # an operator has excluded the zone from all requests

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
    round_trips: dict[str, int] = {}  # by name of another zone: round-trip time to that zone in µs


class RoutingPlan(msgspec.Struct, frozen=True, array_like=True):
    """Roles of the zones, and limits on the traffic between them.

    A zone without a role is active; other zones send no requests to a zone without a spillover rate.
    """

    version: int = 0
    fencing_token: int = 0  # fencing token of the leader that published the plan
    roles: dict[str, int] = {}  # by zone: a `ZoneRole`
    spillover: dict[str, float] = {}  # by zone: requests per second that all other zones together may send
    shed: dict[str, float] = {}  # by zone: fraction of its arrivals to reject, as no zone can serve them
    reason: str = ""

    def role(self, zone: str) -> ZoneRole:
        """Return the role of `zone` under this plan; a zone that the plan does not name is active."""
        return ZoneRole(self.roles.get(zone, ZoneRole.ACTIVE))


class ZoneObservation(msgspec.Struct, frozen=True, array_like=True):
    """A router's counts of the attempts in one zone in its last report interval, without retries."""

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
    # µs, 0: until cleared. The leader measures the time, so a drill ends even if the terminal is gone.
    duration: int = 0


class ClearOverride(msgspec.Struct, frozen=True, array_like=True, tag="unwish"):
    """From an operator, or from the leader when an override has expired: clear a zone's override."""

    zone: str
    index: int = 0  # log index of the override to clear, 0: any override of the zone


class PublishPlan(msgspec.Struct, frozen=True, array_like=True, tag="give"):
    """From the leader: replace the current plan by a new plan."""

    fencing_token: int
    previous_version: int  # version of the plan to replace; rejected if the current plan has another version
    plan: RoutingPlan


class UpdateCapacity(msgspec.Struct, frozen=True, array_like=True, tag="learn"):
    """From the leader: set the capacity of a zone to the observed one."""

    fencing_token: int
    zone: str
    capacity: float  # requests per second


Command = (
    HealthReport | DefineZone | DropZone | OperatorOverride | ClearOverride | PublishPlan | UpdateCapacity
)


class ActiveOverride(msgspec.Struct, array_like=True):
    """An operator's override that is in force."""

    role: int  # a `ZoneRole`
    duration: int  # µs, 0: until cleared
    index: int  # log index of the override


class RouterHealth(msgspec.Struct, array_like=True):
    """The last health report of a router."""

    zone: str
    plan_version: int
    offered: float
    observations: dict[str, ZoneObservation]
    index: int  # log index of the report


class CommandReply(msgspec.Struct, frozen=True, array_like=True):
    """Whether a command was applied, with the reason if it was rejected."""

    accepted: bool
    reason: str = ""
