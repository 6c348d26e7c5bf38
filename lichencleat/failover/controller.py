"""Failover controller: the commands that the leader proposes at each poll of the health reports; no I/O.

A zone is judged by the observations of the routers of all zones, over several polls. A zone that has failed
returns to service after a quiet period, which doubles with each relapse. Then other zones may use a small
fraction of the zone's spare capacity; this fraction, the ramp, grows while the zone is healthy. Traffic is
moved only within the capacity of the other zones; requests that no zone can serve are rejected in the zone
where they arrive.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from lichencleat.failover.messages import (
    ActiveOverride,
    ClearOverride,
    PublishPlan,
    RouterHealth,
    RoutingPlan,
    UpdateCapacity,
    Zone,
    ZoneObservation,
    ZoneRole,
)
from lichencleat.units import MICROSECONDS_PER_SECOND

ControllerCommand = ClearOverride | PublishPlan | UpdateCapacity

POLL_INTERVAL_US = 300_000  # time between two polls; equals the report interval of the routers
REPORT_TIMEOUT_US = 1_500_000  # older reports of a router are ignored: five report intervals
MAX_LOST_FRACTION = 0.4  # a zone is unhealthy if more than this fraction of its attempts is lost
LIMITED_FRACTION = 0.12  # a zone is full if more than this fraction of its attempts is rejected or lost
# Consecutive unhealthy polls until a zone is taken out of service: one may be chance, three take almost 1 s.
MIN_UNHEALTHY_POLLS = 2
MIN_ATTEMPTS = 10  # if a poll has fewer attempts in a zone, the zone is not judged by these attempts
QUIET_PERIOD_US = 3_000_000  # time without an unhealthy poll until a zone is restored; doubled per relapse
MAX_QUIET_PERIOD_US = 120_000_000
FORGET_RELAPSES_AFTER_US = 600_000_000  # relapses are forgotten this long after the zone was restored
INITIAL_RAMP = 0.1  # fraction of a restored zone's spare capacity that other zones may use at first
RAMP_GROWTH = 1.35  # growth factor, per healthy poll, of the spare capacity that other zones may use
# Fraction of a zone's known capacity for its own load and that of other zones; the rest absorbs bursts.
MAX_UTILIZATION = 0.95
# In each poll, the known capacity changes by this fraction of its difference to the rate of successful
# attempts.
CAPACITY_GAIN = 0.02
# A plan with the same roles is published only if a shed fraction changes by more than this, or a zone's
# spillover by more than this fraction of the zone's capacity.
MIN_PLAN_CHANGE = 0.15


@dataclass(slots=True)
class ZoneHealth:
    """The health of one zone as observed by this leader."""

    unhealthy_polls: int = 0  # consecutive unhealthy polls until now
    is_out: bool = False  # whether the zone is taken out of service
    unhealthy_at: int = 0  # time of the last unhealthy poll, µs of the leader's monotonic clock
    restored_at: int = 0  # time when the zone was last restored, µs of the same clock
    relapses: int = 0  # how often the zone was taken out, until its relapses are forgotten
    ramp: float = 1.0  # fraction of the zone's spare capacity that other zones may use
    reason: str = ""  # reason of the last verdict


class Verdict(NamedTuple):
    """The result of judging one zone in one poll."""

    is_healthy: bool
    reason: str


@dataclass(frozen=True, slots=True)
class LastSeen:
    """A log entry, and when this leader first saw it."""

    index: int  # log index of the entry
    seen_at: int  # µs of the leader's monotonic clock


def offered_load(zones: Mapping[str, Zone], routers: Mapping[str, RouterHealth]) -> dict[str, float]:
    """Return the requests per second that arrive in each zone, from the reports of the zone's routers."""
    offered = dict.fromkeys(zones, 0.0)
    for each in routers.values():
        if each.zone in offered:
            offered[each.zone] += each.offered
    return offered


def observations_of(zone: str, routers: Mapping[str, RouterHealth]) -> list[ZoneObservation]:
    """Return the observations of `zone` by the routers of all zones."""
    return [each.observations[zone] for each in routers.values() if zone in each.observations]


def update_last_seen(
    last_seen: Mapping[str, LastSeen], indexes: Mapping[str, int], now: int
) -> dict[str, LastSeen]:
    """Return the log index of each name's entry, and the time when this leader first saw the entry.

    Args:
        last_seen: The result of the previous call.
        indexes: The current log index of each name's entry.
        now: µs; the time of an entry that was not in `last_seen`, or had another index there.
    """
    updated = {}
    for name, index in indexes.items():
        last = last_seen.get(name)
        updated[name] = last if last is not None and last.index == index else LastSeen(index, now)
    return updated


@dataclass(slots=True)
class FailoverController:
    """Decides which commands the leader proposes, for one holder of the lease (one fencing token)."""

    fencing_token: int
    health: dict[str, ZoneHealth] = field(default_factory=dict)
    last_reports: dict[str, LastSeen] = field(default_factory=dict)  # by router: its last report
    overrides_seen: dict[str, LastSeen] = field(default_factory=dict)  # by zone: its override
    has_begun: bool = False  # whether `take_over` was called

    def plan_next_step(
        self,
        now: int,
        zones: dict[str, Zone],
        plan: RoutingPlan,
        routers: dict[str, RouterHealth],
        overrides: dict[str, ActiveOverride],
    ) -> list[ControllerCommand]:
        """Return the commands to propose in this poll, in the order in which they are proposed.

        Args:
            now: µs of the leader's monotonic clock.
            zones: The zones; like the other arguments, read from the replicated state.
            plan: The plan in force.
            routers: The last health report of each router.
            overrides: The operator's overrides by zone.
        """
        if not self.has_begun:
            self.take_over(now, plan)
        current = self.current_reports(now, routers)
        commands: list[ControllerCommand] = []
        commands += self.expired_overrides(now, overrides)
        for name, zone in zones.items():
            health = self.health.setdefault(name, ZoneHealth())
            self.update_health(now, health, self.judge(name, current, routers))
            capacity = self.observed_capacity(name, zone, current)
            if capacity is not None:
                commands.append(UpdateCapacity(self.fencing_token, name, capacity))
        new_plan = self.create_plan(zones, offered_load(zones, current), overrides, plan)
        if self.is_significant_change(plan, new_plan, zones):
            commands.append(PublishPlan(self.fencing_token, plan.version, new_plan))
        return commands

    def take_over(self, now: int, plan: RoutingPlan) -> None:
        """Continue the plan of the previous leader: a zone on standby stays out for a quiet period."""
        self.has_begun = True
        for name, role in plan.roles.items():
            if role == ZoneRole.STANDBY:
                self.health[name] = ZoneHealth(
                    unhealthy_polls=MIN_UNHEALTHY_POLLS,
                    is_out=True,
                    unhealthy_at=now,
                    relapses=1,
                    ramp=0.0,
                    reason="out by the owner before",
                )

    def current_reports(self, now: int, routers: dict[str, RouterHealth]) -> dict[str, RouterHealth]:
        """Return the reports that have not timed out since this leader first saw them."""
        indexes = {name: each.index for name, each in routers.items()}
        self.last_reports = update_last_seen(self.last_reports, indexes, now)
        return {
            name: each
            for name, each in routers.items()
            if now - self.last_reports[name].seen_at < REPORT_TIMEOUT_US
        }

    def expired_overrides(self, now: int, overrides: dict[str, ActiveOverride]) -> list[ClearOverride]:
        """Return a command for each expired override, which clears the override.

        The leader times the overrides, so an override ends even if the operator's terminal is gone.
        """
        indexes = {zone: each.index for zone, each in overrides.items()}
        self.overrides_seen = update_last_seen(self.overrides_seen, indexes, now)
        return [
            ClearOverride(zone, each.index)
            for zone, each in overrides.items()
            if each.duration and now - self.overrides_seen[zone].seen_at >= each.duration
        ]

    # -- health and capacity of a zone -----------------------------------------------------------------

    def update_health(self, now: int, health: ZoneHealth, verdict: Verdict | None) -> None:
        """Update a zone's health by the verdict of this poll; None leaves the health unchanged."""
        if verdict is None:
            return
        health.reason = verdict.reason
        if verdict.is_healthy:
            self.record_healthy_poll(now, health)
        else:
            self.record_unhealthy_poll(now, health)

    @staticmethod
    def record_unhealthy_poll(now: int, health: ZoneHealth) -> None:
        """Take the zone out of service after `MIN_UNHEALTHY_POLLS` consecutive unhealthy polls."""
        health.unhealthy_polls += 1
        health.unhealthy_at = now
        if health.is_out or health.unhealthy_polls < MIN_UNHEALTHY_POLLS:
            return
        is_first = now - health.restored_at > FORGET_RELAPSES_AFTER_US
        health.relapses = 1 if is_first else health.relapses + 1
        health.is_out = True
        health.ramp = 0.0

    @staticmethod
    def record_healthy_poll(now: int, health: ZoneHealth) -> None:
        """Restore the zone after its quiet period, or raise the `ramp` of a restored zone."""
        health.unhealthy_polls = 0
        if not health.is_out:
            if health.ramp < 1.0:
                health.ramp = min(1.0, health.ramp * RAMP_GROWTH)
            return
        quiet_period = min(MAX_QUIET_PERIOD_US, QUIET_PERIOD_US * 2 ** (health.relapses - 1))
        if now - health.unhealthy_at >= quiet_period:
            health.is_out = False
            health.restored_at = now
            health.ramp = INITIAL_RAMP

    def judge(
        self, zone: str, current: dict[str, RouterHealth], routers: dict[str, RouterHealth]
    ) -> Verdict | None:
        """Judge a zone by attempts from other zones, then by its routers' reports and their own attempts.

        Returns None if attempts from other zones show no failure, and no router of the zone ever reported.

        Args:
            zone: Name of the zone.
            current: The last report of each router, without reports that have timed out.
            routers: The last report of each router.
        """
        sent, lost = self.count_attempts(zone, current, from_other_zones=True)
        if sent >= MIN_ATTEMPTS and lost > MAX_LOST_FRACTION * sent:
            return Verdict(False, f"{lost} of {sent} tries from elsewhere were lost")
        has_reports = any(each.zone == zone for each in current.values())
        if not has_reports and any(each.zone == zone for each in routers.values()):
            return Verdict(False, "no router of it is heard")
        own_sent, own_lost = self.count_attempts(zone, current, from_other_zones=False)
        if own_sent >= MIN_ATTEMPTS and own_lost > MAX_LOST_FRACTION * own_sent:
            return Verdict(False, f"{own_lost} of {own_sent} of its own tries were lost")
        return Verdict(True, "it stands") if has_reports else None

    @staticmethod
    def count_attempts(
        zone: str, current: dict[str, RouterHealth], from_other_zones: bool
    ) -> tuple[int, int]:
        """Return how many attempts were sent to a zone, and how many of them were lost.

        Counts the reports of other zones' routers if `from_other_zones`, otherwise of the zone's own routers.
        """
        reports = {name: each for name, each in current.items() if (each.zone != zone) == from_other_zones}
        observations = observations_of(zone, reports)
        return sum(each.sent for each in observations), sum(each.lost for each in observations)

    def observed_capacity(self, name: str, zone: Zone, current: dict[str, RouterHealth]) -> float | None:
        """Return the new capacity of a zone after this poll, None if the capacity is unchanged.

        The capacity falls towards the rate of successful attempts while many other attempts are rejected or
        lost, and rises towards that rate when the rate is higher than the capacity. This corrects an outdated
        configured capacity. The capacity never rises above a rate that was served.
        """
        observations = observations_of(name, current)
        sent = sum(each.sent for each in observations)
        succeeded = sum(each.succeeded for each in observations)
        failed = sum(each.rejected + each.lost for each in observations)
        if sent < MIN_ATTEMPTS or self.health[name].is_out:
            return None
        rate = succeeded * MICROSECONDS_PER_SECOND / POLL_INTERVAL_US
        is_limited = failed > LIMITED_FRACTION * sent
        if (is_limited and rate < zone.capacity) or rate > zone.capacity:
            return zone.capacity + CAPACITY_GAIN * (rate - zone.capacity)
        return None

    # -- routing plan ----------------------------------------------------------------------------------

    def create_plan(
        self,
        zones: dict[str, Zone],
        offered: dict[str, float],
        overrides: dict[str, ActiveOverride],
        old: RoutingPlan,
    ) -> RoutingPlan:
        """Return the plan that follows from the zones' health and the overrides."""
        roles, reasons = self.assign_roles(zones, overrides)
        active = [name for name in zones if roles.get(name, ZoneRole.ACTIVE) == ZoneRole.ACTIVE]
        spillover = {}
        for name in active:
            spare = max(0.0, zones[name].capacity * MAX_UTILIZATION - offered[name])
            spillover[name] = round(spare * self.health[name].ramp, 1)
        moved = sum(offered[name] for name, role in roles.items() if role != ZoneRole.ACTIVE)
        available = sum(spillover.values())
        shed = {}
        if moved > available:
            excess = 1 - available / moved
            rerouted = (ZoneRole.DRAINING, ZoneRole.FENCED)
            shed = {name: round(excess, 2) for name, role in roles.items() if role in rerouted}
            reasons.append(f"{excess:.0%} of {moved:.0f} a second is more than the others carry")
        reason = "; ".join(reasons) or "all serve"
        return RoutingPlan(old.version, old.fencing_token, roles, spillover, shed, reason)

    def assign_roles(
        self, zones: dict[str, Zone], overrides: dict[str, ActiveOverride]
    ) -> tuple[dict[str, int], list[str]]:
        """Return the roles of the zones that are not active, by override or health, and the reasons."""
        roles: dict[str, int] = {}
        reasons = []
        for name, health in self.health.items():
            if name not in zones:
                continue
            if name in overrides:
                roles[name] = overrides[name].role
                reasons.append(f"{name}: an operator's word")
            elif health.is_out:
                roles[name] = ZoneRole.STANDBY
                reasons.append(f"{name} out: {health.reason}")
        return roles, reasons

    @staticmethod
    def is_significant_change(old: RoutingPlan, new: RoutingPlan, zones: dict[str, Zone]) -> bool:
        """Whether the new plan has other roles, or a significantly different spillover or shed fraction."""
        if (
            old.roles != new.roles
            or set(old.spillover) != set(new.spillover)
            or set(old.shed) != set(new.shed)
        ):
            return True
        if any(abs(share - old.shed[name]) > MIN_PLAN_CHANGE for name, share in new.shed.items()):
            return True
        return any(
            is_significant_rate(old.spillover[name], rate, zones[name].capacity)
            for name, rate in new.spillover.items()
        )


def is_significant_rate(old: float, new: float, capacity: float) -> bool:
    """Whether the change of a zone's spillover rate has to be published.

    This holds for a change by a large part of the zone's capacity, and for the growth of a low rate by more
    than `RAMP_GROWTH`, which happens while a restored zone's ramp grows. Rates are in requests per second.
    """
    if abs(new - old) > MIN_PLAN_CHANGE * capacity * MAX_UTILIZATION:
        return True
    return new > old * RAMP_GROWTH and old < INITIAL_RAMP * capacity
