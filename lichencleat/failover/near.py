"""How much of its arrivals a router sends to other zones, and where each goes; no I/O.

Near while that is safe: the share that spills grows only while the near zone is shown unable to serve what
comes, by bounded steps, and falls more slowly than it grew, so that a load that hovers does not swing. Harm
of the slow fall: for some seconds after a burst, work goes farther than it needs to.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from lichencleat.failover.terms import Duty, Order, Zone

SPAN = 300_000  # µs between two steps: some tens of tries, at most rates
UP, DOWN = 0.08, 0.02  # of the arrivals, a step
HIGH, LOW = (
    0.10,
    0.03,
)  # share of first tries near that were turned away or lost: above it spills, below it returns
LOST = 0.5  # share of them lost, above which the near zone is avoided at once
FEW = 8  # first tries that say something: quieter routers wait for some spans
HOLD = 10_000_000  # µs after the last step up until the first one down: a load that hovers is not followed
REST = 3_000_000  # µs after the last step up until what is nearly all away begins to come back
PROBE = 0.05  # of the arrivals, near unless an order says no: else it would not be seen to stand again
GROW = 1.25  # of what is tried near, a step, while most is away and that stands: a trickle that grows
AWAY = 0.5  # of the arrivals: more of them away is a loss, less is a load that is a little too much
STALE = 10_000_000  # µs without a word, after which half as many guests are sent; a quarter after two
SECOND = 1_000_000  # µs


@dataclass(slots=True)
class Span:
    """What first tries to one zone came to since the last step."""

    sent: int = 0
    well: int = 0
    turned: int = 0
    lost: int = 0

    def add(self, well: bool, turned: bool) -> None:
        self.sent += 1
        self.well += well
        self.turned += turned
        self.lost += not well and not turned


class Near:
    """Of one router. `steps` is asked each SPAN, `chooses` for each first try."""

    def __init__(self, zone: str, zones: dict[str, Zone], rng: random.Random) -> None:
        self.zone, self.zones, self.rng = zone, zones, rng
        self.spill = 0.0  # share of the arrivals that goes elsewhere
        self.order = Order()
        self.heard_at = 0  # µs of the last word of it
        self.spans: dict[str, Span] = {}
        self.guests: dict[str, float] = {}  # what each other zone may still be sent in this span
        self.routers = 1  # that share the guests' room, as far as is known
        self.up_at = 0  # µs of the last step up

    def ordered(self, now: int, order: Order, routers: int = 1) -> bool:
        """The newest order that somebody told; an older one is refused."""
        if order.number < self.order.number:
            return False
        self.heard_at = now
        self.routers = max(1, routers)
        if order.number > self.order.number:
            self.order = order
            self.fill(now)
        return True

    def came(self, zone: str, well: bool, turned: bool) -> None:
        """A first try to that zone came to its end."""
        self.spans.setdefault(zone, Span()).add(well, turned)

    def steps(self, now: int) -> None:
        span = self.spans.get(self.zone, Span())
        duty = self.order.duty(self.zone)
        few = FEW if self.spill <= AWAY else 1  # most is away: what is left is all there is to judge by
        if duty in (Duty.DRAINS, Duty.FENCED):
            self.spill = 1.0
        else:
            # Guards against a zone that nobody tries any more once an order lets it serve again
            self.spill = min(self.spill, 1 - PROBE)
            if span.sent >= few:
                self.judge(now, span)
        if span.sent >= few:
            self.spans = {}
        self.fill(now)

    def judge(self, now: int, span: Span) -> None:
        bad = (span.turned + span.lost) / span.sent
        if bad > HIGH:
            much = span.lost > LOST * span.sent
            self.spill = min(1 - PROBE, self.spill + UP * (4 if much else 1))
            self.up_at = now
        elif bad < LOW and self.spill > AWAY and now - self.up_at >= REST:
            self.spill = max(0.0, 1 - max(PROBE, 1 - self.spill) * GROW)
        elif bad < LOW and now - self.up_at >= HOLD:
            self.spill = max(0.0, self.spill - DOWN)

    def careful(self, now: int) -> float:
        """The part of an order's rooms that counts, by its age: nobody knows what holds now."""
        return 0.5 ** min(2, (now - self.heard_at) // STALE)

    def fill(self, now: int) -> None:
        """Room for guests in the next span, this router's part of it."""
        share = SPAN / SECOND / self.routers * self.careful(now)
        self.guests = {name: room * share for name, room in self.order.guests.items() if name != self.zone}

    def chooses(self, now: int, left: int, usual: int) -> str | None:
        """The zone for a first try whose caller waits `left` µs, where a usual run takes `usual`.

        None: nobody can carry it, and it is deferred here.
        """
        edge = self.order.edge.get(self.zone, 0.0)
        if edge and self.rng.random() < edge:
            return None
        near = self.order.duty(self.zone) in (Duty.SERVES, Duty.STANDS_BY)
        if near and self.rng.random() >= self.spill:
            return self.zone
        far = self.farther(now, left - usual)
        if far is not None:
            self.guests[far] -= 1
            return far
        return self.zone if near else None

    def farther(self, now: int, left: int) -> str | None:
        """The nearest zone with room for a guest that can still be reached in time."""
        own = self.zones.get(self.zone)
        fit = [
            (own.far.get(name, 0) if own else 0, name)
            for name, room in self.guests.items()
            if room >= 1 and self.order.duty(name) is Duty.SERVES
        ]
        return next((name for trip, name in sorted(fit) if trip < left), None)
