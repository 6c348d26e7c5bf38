"""Replicated state of the failover: zones, health reports, overrides, routing plan; no I/O, no clock."""

from __future__ import annotations

from typing import TypedDict

import msgspec

from lichencleat.decode_errors import UNDECODABLE
from lichencleat.failover.messages import (
    HISTORY_QUERY,
    JOB,
    MAX_HISTORY,
    MAX_ROUTERS,
    MAX_ZONES,
    ActiveOverride,
    ClearOverride,
    Command,
    CommandReply,
    DefineZone,
    DropZone,
    HealthReport,
    OperatorOverride,
    PublishPlan,
    RouterHealth,
    RoutingPlan,
    UpdateCapacity,
    Zone,
    ZoneRole,
)
from lichencleat.leases.lease_state import LeaseState

decode_command = msgspec.msgpack.Decoder(Command).decode
MAX_UTILIZATION = 1.0  # a plan is rejected if a zone's spillover is above this fraction of its capacity


class FailoverSnapshot(msgspec.Struct, array_like=True):
    """The state as stored in a snapshot. Fields are never moved or dropped."""

    zones: dict[str, Zone]
    plan: RoutingPlan
    routers: dict[str, RouterHealth]
    overrides: dict[str, ActiveOverride]
    history: list[RoutingPlan]


class FailoverView(TypedDict):
    """The answer to a read of the state; the keys are sent to clients."""

    zones: dict[str, Zone]
    order: RoutingPlan
    sources: dict[str, RouterHealth]
    wishes: dict[str, ActiveOverride]


decode_snapshot = msgspec.msgpack.Decoder(FailoverSnapshot).decode


class FailoverState:
    """The failover's part of the replicated state, whose name is `messages.STATE_PART`.

    Only `publish_plan` puts a plan in force.

    Args:
        jobs: The leases, another part of the same state; a command of the leader is rejected unless it
            carries the newest fencing token.
    """

    def __init__(self, jobs: LeaseState) -> None:
        self.jobs = jobs
        self.zones: dict[str, Zone] = {}
        self.plan = RoutingPlan()
        self.routers: dict[str, RouterHealth] = {}
        self.overrides: dict[str, ActiveOverride] = {}
        self.history: list[RoutingPlan] = []

    def apply(self, index: int, command: msgspec.Raw) -> RoutingPlan | CommandReply:
        """Apply the log entry `index`; the result is the same at each member."""
        try:
            message = decode_command(command)
        except UNDECODABLE:
            return CommandReply(False, "no command")
        match message:
            case HealthReport():
                return self.apply_report(index, message)
            case DefineZone():
                return self.define_zone(message)
            case PublishPlan():
                return self.publish_plan(message)
        if message.zone not in self.zones:
            return CommandReply(False, "no such zone")
        return self.apply_to_zone(index, message)

    def apply_to_zone(
        self, index: int, message: DropZone | OperatorOverride | ClearOverride | UpdateCapacity
    ) -> CommandReply:
        """Apply a command about an existing zone."""
        match message:
            case DropZone():
                return self.drop_zone(message)
            case OperatorOverride():
                self.overrides[message.zone] = ActiveOverride(message.role, message.duration, index)
                return CommandReply(True)
            case ClearOverride():
                return self.clear_override(message)
            case UpdateCapacity():
                return self.update_capacity(message)

    def apply_report(self, index: int, report: HealthReport) -> RoutingPlan:
        """Record a router's report; return the newest plan."""
        if report.router in self.routers or len(self.routers) < MAX_ROUTERS:
            self.routers[report.router] = RouterHealth(
                zone=report.zone,
                plan_version=report.plan_version,
                offered=report.offered,
                observations=report.observations,
                index=index,
            )
        return self.plan

    # -- commands of operators -------------------------------------------------------------------------

    def define_zone(self, message: DefineZone) -> CommandReply:
        """Add a zone, or change its properties."""
        if message.zone not in self.zones and len(self.zones) >= MAX_ZONES:
            return CommandReply(False, "too many zones")
        if message.capacity <= 0:
            return CommandReply(False, "a zone that carries nothing is none")
        self.zones[message.zone] = Zone(message.region, message.capacity, message.round_trips)
        return CommandReply(True)

    def drop_zone(self, message: DropZone) -> CommandReply:
        """Remove a zone and its override."""
        del self.zones[message.zone]
        self.overrides.pop(message.zone, None)
        return CommandReply(True)

    def clear_override(self, message: ClearOverride) -> CommandReply:
        """Clear a zone's override; a command with a log index clears only the override of that index."""
        override = self.overrides.get(message.zone)
        if override is None or (message.index and override.index != message.index):
            return CommandReply(False, "no such wish")
        del self.overrides[message.zone]
        return CommandReply(True)

    # -- commands of the leader ------------------------------------------------------------------------

    def is_from_leader(self, message: PublishPlan | UpdateCapacity) -> bool:
        """Whether the command carries the newest fencing token of the failover's job."""
        # Without this check, a leader that was suspended beyond its lease could act on an outdated view.
        return self.jobs.is_current_token(JOB, message.fencing_token)

    def update_capacity(self, message: UpdateCapacity) -> CommandReply:
        """Store the capacity that the leader observed."""
        if not self.is_from_leader(message):
            return CommandReply(False, "an older owner's")
        self.zones[message.zone].capacity = message.capacity
        return CommandReply(True)

    def publish_plan(self, message: PublishPlan) -> CommandReply:
        """Put a plan in force if it replaces the current plan, fits the capacities and keeps zones fenced."""
        if not self.is_from_leader(message):
            return CommandReply(False, "an older owner's")
        if message.previous_version != self.plan.version:
            return CommandReply(False, "another order was given since")
        plan = message.plan
        for zone, rate in plan.spillover.items():
            if zone not in self.zones or rate > self.zones[zone].capacity * MAX_UTILIZATION:
                return CommandReply(False, f"{zone} is not known to carry {rate:.0f} a second")
        fenced = [name for name, each in self.overrides.items() if each.role == ZoneRole.FENCED]
        if any(plan.role(name) != ZoneRole.FENCED for name in fenced):
            return CommandReply(False, "an operator has fenced a zone that it opens")
        self.history = [*self.history, self.plan][-MAX_HISTORY:]
        self.plan = msgspec.structs.replace(
            plan, version=self.plan.version + 1, fencing_token=message.fencing_token
        )
        return CommandReply(True)

    # -- reads and snapshots ---------------------------------------------------------------------------

    def read(self, query: object) -> FailoverView | list[RoutingPlan]:
        """Return the former plans for `HISTORY_QUERY`, the rest of the state otherwise."""
        if query == HISTORY_QUERY:
            return self.history
        return {
            "zones": self.zones,
            "order": self.plan,
            "sources": self.routers,
            "wishes": self.overrides,
        }

    def dump(self) -> FailoverSnapshot:
        """Return a snapshot of the state; the snapshot shares its objects with the live state."""
        return FailoverSnapshot(self.zones, self.plan, self.routers, self.overrides, self.history)

    def load(self, dumped: msgspec.Raw) -> None:
        """Replace the state with a snapshot."""
        snapshot = decode_snapshot(dumped)
        self.zones = snapshot.zones
        self.plan = snapshot.plan
        self.routers = snapshot.routers
        self.overrides = snapshot.overrides
        self.history = snapshot.history
