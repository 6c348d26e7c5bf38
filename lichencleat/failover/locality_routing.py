"""Locality routing: which share of its arrivals a router sends to other zones, and to which; no I/O.

Traffic stays local while the local zone can serve it. The share that spills over grows only while attempts in
the local zone fail, by bounded steps. It falls more slowly than it grew, so that a load at the limit does not
oscillate. The cost of the slow fall: for some seconds after a burst, requests travel farther than necessary.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from lichencleat.failover.messages import RoutingPlan, Zone, ZoneRole
from lichencleat.units import MICROSECONDS_PER_SECOND

UPDATE_INTERVAL_US = 300_000  # between updates: tens of attempts at usual rates
SPILL_INCREASE = 0.08  # of the arrivals, per update
SPILL_DECREASE = 0.02  # of the arrivals, per update
HIGH_FAILURE_FRACTION = 0.10  # of first attempts in the local zone; above it the spill increases
LOW_FAILURE_FRACTION = 0.03  # of first attempts in the local zone; below it the spill decreases
LOST_FRACTION = 0.5  # of first attempts in the local zone; above it the spill increases fast
FAST_INCREASE_FACTOR = 4  # on the increase, when attempts are lost
MIN_ATTEMPTS = 8  # per update; with fewer, the router waits for more
HOLD_TIME_US = 10_000_000  # from the last increase to the first decrease, against oscillation
RESTORE_DELAY_US = 3_000_000  # from the last increase until more traffic returns to a mostly remote zone
PROBE_FRACTION = 0.05  # of the arrivals stay local, so that a recovery is noticed; none if the plan forbids
PROBE_GROWTH = 1.25  # factor on the local share per update, while most traffic is remote and probes succeed
MOSTLY_REMOTE = 0.5  # of the arrivals; a larger spill means a lost zone, a smaller one a slight overload
PLAN_STALE_AFTER_US = 10_000_000  # without a plan: spillover is halved, after twice that time quartered


@dataclass(slots=True)
class AttemptCounts:
    """Outcomes of first attempts to one zone since the last update."""

    sent: int = 0
    succeeded: int = 0
    rejected: int = 0
    lost: int = 0

    def record(self, succeeded: bool, rejected: bool) -> None:
        """Count an attempt; an attempt that neither succeeded nor was rejected counts as lost."""
        self.sent += 1
        self.succeeded += succeeded
        self.rejected += rejected
        self.lost += not succeeded and not rejected


class LocalityRouter:
    """The locality decisions of one router; the owner calls `update` every `UPDATE_INTERVAL_US`.

    Args:
        zone: The router's own zone.
        zones: All zones by name.
        rng: Source of randomness.
    """

    def __init__(self, zone: str, zones: dict[str, Zone], rng: random.Random) -> None:
        self.zone = zone
        self.zones = zones
        self.rng = rng
        self.spill = 0.0  # fraction of the arrivals that goes to other zones
        self.plan = RoutingPlan()
        self.plan_received_at = 0  # µs when the plan was last confirmed
        self.attempts: dict[str, AttemptCounts] = {}  # by zone
        self.spillover_left: dict[str, float] = {}  # by zone: requests that may go there until the update
        self.router_count = 1  # known routers that share the spillover
        self.increased_at = 0  # µs of the last increase

    def apply_plan(self, now: int, plan: RoutingPlan, router_count: int = 1) -> bool:
        """Apply a plan that was received at `now` (µs); returns False for one older than the current one."""
        if plan.version < self.plan.version:
            return False
        self.plan_received_at = now
        self.router_count = max(1, router_count)
        if plan.version > self.plan.version:
            self.plan = plan
            self.refill_spillover(now)
        return True

    def record_attempt(self, zone: str, succeeded: bool, rejected: bool) -> None:
        """Record the outcome of a first attempt in `zone`."""
        self.attempts.setdefault(zone, AttemptCounts()).record(succeeded, rejected)

    def update(self, now: int) -> None:
        """Adjust the spill by the attempts since the last update (`now` in µs)."""
        counts = self.attempts.get(self.zone, AttemptCounts())
        # While most traffic is remote, few attempts stay local, and each one counts.
        min_attempts = MIN_ATTEMPTS if self.spill <= MOSTLY_REMOTE else 1
        if self.plan.role(self.zone) in (ZoneRole.DRAINING, ZoneRole.FENCED):
            self.spill = 1.0
        else:
            # Without probes, a zone would stay unused after a plan lets it serve again.
            self.spill = min(self.spill, 1 - PROBE_FRACTION)
            if counts.sent >= min_attempts:
                self.adjust_spill(now, counts)
        if counts.sent >= min_attempts:
            self.attempts = {}
        self.refill_spillover(now)

    def adjust_spill(self, now: int, counts: AttemptCounts) -> None:
        """Increase or decrease the spill by one step, by the outcomes in the local zone."""
        failure_fraction = (counts.rejected + counts.lost) / counts.sent
        if failure_fraction > HIGH_FAILURE_FRACTION:
            factor = FAST_INCREASE_FACTOR if counts.lost > LOST_FRACTION * counts.sent else 1
            self.spill = min(1 - PROBE_FRACTION, self.spill + SPILL_INCREASE * factor)
            self.increased_at = now
        elif failure_fraction < LOW_FAILURE_FRACTION:
            self.decrease_spill(now - self.increased_at)

    def decrease_spill(self, elapsed: int) -> None:
        """Decrease the spill by one step if the last increase, `elapsed` µs ago, is old enough."""
        if self.spill > MOSTLY_REMOTE and elapsed >= RESTORE_DELAY_US:
            local = max(PROBE_FRACTION, 1 - self.spill) * PROBE_GROWTH
            self.spill = max(0.0, 1 - local)
        elif elapsed >= HOLD_TIME_US:
            self.spill = max(0.0, self.spill - SPILL_DECREASE)

    def staleness_factor(self, now: int) -> float:
        """Return the factor on the plan's spillover, which falls with age: the plan may be outdated."""
        return 0.5 ** min(2, (now - self.plan_received_at) // PLAN_STALE_AFTER_US)

    def refill_spillover(self, now: int) -> None:
        """Set this router's part of the plan's spillover to each other zone until the next update."""
        interval_s = UPDATE_INTERVAL_US / MICROSECONDS_PER_SECOND
        share = interval_s / self.router_count * self.staleness_factor(now)
        self.spillover_left = {
            name: rate * share for name, rate in self.plan.spillover.items() if name != self.zone
        }

    def choose_zone(self, now: int, time_left: int, usual_latency: int) -> str | None:
        """Choose the zone of a first attempt; None if no zone can serve it and the router must reject it.

        Args:
            now: µs of the router's clock.
            time_left: µs until the request's deadline.
            usual_latency: µs that a request usually takes.
        """
        shed = self.plan.shed.get(self.zone, 0.0)
        if shed and self.rng.random() < shed:
            return None
        can_serve_locally = self.plan.role(self.zone) in (ZoneRole.ACTIVE, ZoneRole.STANDBY)
        if can_serve_locally and self.rng.random() >= self.spill:
            return self.zone
        remote = self.choose_remote_zone(time_left - usual_latency)
        if remote is not None:
            self.spillover_left[remote] -= 1
            return remote
        return self.zone if can_serve_locally else None

    def choose_remote_zone(self, slack: int) -> str | None:
        """Return the nearest zone with spillover left and a round trip shorter than `slack` µs."""
        own = self.zones.get(self.zone)
        round_trips = own.round_trips if own else {}
        candidates = [
            (round_trips.get(name, 0), name)
            for name, left in self.spillover_left.items()
            if left >= 1 and self.plan.role(name) is ZoneRole.ACTIVE
        ]
        return next((name for round_trip, name in sorted(candidates) if round_trip < slack), None)
