"""Locality routing: which fraction of its arrivals a router sends to other zones, and to which; no I/O.

Traffic stays local while the local zone can serve it. The fraction of arrivals that goes to other zones, the
spill, grows by bounded steps while attempts in the local zone fail. The spill falls more slowly than it
grows, so that it does not oscillate when the load is at the local zone's limit. Cost: for some seconds after
a burst, requests travel farther than necessary.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from lichencleat.failover.messages import RoutingPlan, Zone, ZoneRole
from lichencleat.units import MICROSECONDS_PER_SECOND

UPDATE_INTERVAL_US = 300_000  # time between two updates: long enough for tens of attempts at usual rates
SPILL_INCREASE = 0.08  # added, if many attempts fail, to the fraction of arrivals sent to other zones
SPILL_DECREASE = 0.02  # subtracted, if few attempts fail, from the fraction of arrivals sent to other zones
# If more than this fraction of first attempts in the local zone fails, more traffic goes to other zones.
HIGH_FAILURE_FRACTION = 0.10
# If less than this fraction of first attempts in the local zone fails, less traffic goes to other zones.
LOW_FAILURE_FRACTION = 0.03
# If more than this fraction of first attempts in the local zone is lost, traffic to other zones grows fast.
LOST_FRACTION = 0.5
FAST_INCREASE_FACTOR = 4  # factor on `SPILL_INCREASE` for fast growth of the traffic to other zones
MIN_ATTEMPTS = 8  # an update with fewer local attempts changes nothing, and keeps the counts of attempts
# Time from the last increase of the traffic to other zones until its first decrease; prevents oscillation.
HOLD_TIME_US = 10_000_000
RESTORE_DELAY_US = 3_000_000  # used in place of `HOLD_TIME_US` while most traffic goes to other zones
# Fraction of the arrivals that always stays local as probes, so that the router notices when the local zone
# works again. The fraction is 0 if the plan drains or fences the local zone.
PROBE_FRACTION = 0.05
# Factor by which the local fraction grows per update while most traffic is remote and the probes succeed.
PROBE_GROWTH = 1.25
# If more than this fraction of arrivals goes to other zones, the local zone is probably lost; if less, the
# local zone is slightly overloaded.
MOSTLY_REMOTE = 0.5
PLAN_STALE_AFTER_US = 10_000_000  # a plan's spillover is halved at this age, and quartered at twice this age


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
    """Decides for one router which requests go to other zones; the owner calls `update` at intervals.

    Two limits apply: `spill`, which the router adjusts, and the spillover rates of the routing plan, which
    all routers share. `update` is called every `UPDATE_INTERVAL_US`.

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
        self.plan_received_at = 0  # µs: when this plan was last received
        self.attempts: dict[str, AttemptCounts] = {}  # by zone
        self.spillover_left: dict[str, float] = {}  # by zone: requests to send until the next update
        self.router_count = 1  # number of routers that share the plan's spillover
        self.increased_at = 0  # µs: when the spill last increased

    def apply_plan(self, now: int, plan: RoutingPlan, router_count: int = 1) -> bool:
        """Apply a plan that was received at `now` (µs); return False if the current plan is newer."""
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
        """Adjust the traffic to other zones by the outcomes of local attempts since the last update.

        `now` is in µs of the router's clock.
        """
        counts = self.attempts.get(self.zone, AttemptCounts())
        # While most traffic is remote, there are few local attempts, so a single one is enough.
        min_attempts = MIN_ATTEMPTS if self.spill <= MOSTLY_REMOTE else 1
        if self.plan.role(self.zone) in (ZoneRole.DRAINING, ZoneRole.FENCED):
            self.spill = 1.0
        else:
            # Without probes, the router would not use the local zone after a plan lets the zone serve again.
            self.spill = min(self.spill, 1 - PROBE_FRACTION)
            if counts.sent >= min_attempts:
                self.adjust_spill(now, counts)
        if counts.sent >= min_attempts:
            self.attempts = {}
        self.refill_spillover(now)

    def adjust_spill(self, now: int, counts: AttemptCounts) -> None:
        """Send more traffic to other zones if many local attempts failed, and less if few failed."""
        failure_fraction = (counts.rejected + counts.lost) / counts.sent
        if failure_fraction > HIGH_FAILURE_FRACTION:
            factor = FAST_INCREASE_FACTOR if counts.lost > LOST_FRACTION * counts.sent else 1
            self.spill = min(1 - PROBE_FRACTION, self.spill + SPILL_INCREASE * factor)
            self.increased_at = now
        elif failure_fraction < LOW_FAILURE_FRACTION:
            self.decrease_spill(now - self.increased_at)

    def decrease_spill(self, elapsed: int) -> None:
        """Send less traffic to other zones if the last increase, `elapsed` µs ago, is old enough."""
        if self.spill > MOSTLY_REMOTE and elapsed >= RESTORE_DELAY_US:
            local = max(PROBE_FRACTION, 1 - self.spill) * PROBE_GROWTH
            self.spill = max(0.0, 1 - local)
        elif elapsed >= HOLD_TIME_US:
            self.spill = max(0.0, self.spill - SPILL_DECREASE)

    def staleness_factor(self, now: int) -> float:
        """Return the factor on the plan's spillover, which falls with the plan's age."""
        return 0.5 ** min(2, (now - self.plan_received_at) // PLAN_STALE_AFTER_US)

    def refill_spillover(self, now: int) -> None:
        """Set how many requests this router may send to each other zone until the next update.

        The routers divide the rates of the plan evenly.
        """
        interval_s = UPDATE_INTERVAL_US / MICROSECONDS_PER_SECOND
        share = interval_s / self.router_count * self.staleness_factor(now)
        self.spillover_left = {
            name: rate * share for name, rate in self.plan.spillover.items() if name != self.zone
        }

    def choose_zone(self, now: int, time_left: int, usual_latency: int) -> str | None:
        """Return the zone for a first attempt; None if no zone can serve the request, which is then rejected.

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
