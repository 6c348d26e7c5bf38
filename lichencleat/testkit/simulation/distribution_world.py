"""The fleet that the simulated distribution runs in: places, processes, connections and what they cost.

Connections keep order, end with their process, and say nothing more once a cut or a machine without power
has met them. A process has one core: what comes waits its turn. A machine's bytes leave one after another.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lichencleat.testkit.simulation.clockwork import Clockwork
from lichencleat.transport.frames import FORMAT_VERSION, Greeting, GreetingResponse, encode
from lichencleat.transport.identity import GreetingResult, Incarnation

SECOND = 1_000_000  # µs
REGIONS, ZONES, VOTERS = 6, 17, 5
WITHIN_ZONE, WITHIN_REGION = (100, 1_500), (1_000, 3_000)  # µs that a message takes
BETWEEN_REGIONS, JITTER = (10_000, 80_000), 1_000  # µs, drawn for a pair; and up to so much more each time
FRAME, SEGMENT, HEADERS = 4, 1_448, 66  # bytes: a frame's length, a segment's payload and what goes round it
HANDSHAKE = 3 * HEADERS  # bytes to open a connection, and as many to close it
FIRST_WINDOW = 10 * SEGMENT  # bytes sent before the first acknowledgement; twice as many each time after
IDLE = 300_000  # µs without a byte, after which a connection begins with the first window again
NOTICE = (200_000, 30_000_000)  # µs until the kernel sends again into a connection that is dead on one side
GREETING = (
    len(encode(Greeting(FORMAT_VERSION, b"m" * 16, "configuration", 0, 0, Incarnation(0, 0), "z00.n000")))
    + FRAME
)
GREETED = (
    len(encode(GreetingResponse(GreetingResult.ACCEPTED, b"m" * 16, 1, "z00.a", Incarnation(1, 1)))) + FRAME
)


@dataclass(frozen=True, slots=True)
class Costs:
    """Processor time in µs; each is a parameter, to be set from measured slopes."""

    question: int = 120  # of a relay or voter, its answer included
    kilobyte: float = 5.0  # written
    pack: int = 300  # of one page, once
    opening: int = 300  # of a connection, at the relay
    slice: int = 200  # of staging, at a relay
    node_message: int = 100  # of a node: a question and its answer
    node_slice: int = 200
    bandwidth: int = 125  # bytes a µs: 1 Gbit/s


class Meter:
    """Bytes, processor time and the longest queue of one process."""

    __slots__ = (
        "bytes",
        "second",
        "in_second",
        "peak",
        "work",
        "work_second",
        "work_peak",
        "queue",
        "waited",
    )

    def __init__(self) -> None:
        self.bytes = self.second = self.in_second = self.peak = 0
        self.work = self.work_second = self.work_peak = self.queue = self.waited = 0

    def sends(self, now: int, size: int) -> None:
        self.bytes += size
        second = now // SECOND
        if second != self.second:
            self.second, self.in_second, self.work_second = second, 0, 0
        self.in_second += size
        if self.in_second > self.peak:
            self.peak = self.in_second

    def works(self, now: int, span: int) -> None:
        self.work += span
        second = now // SECOND
        if second != self.second:
            self.second, self.in_second, self.work_second = second, 0, 0
        self.work_second += span
        if self.work_second > self.work_peak:
            self.work_peak = self.work_second


class Site:
    """One process: a voter, a relay or a node. `host` is what runs in it."""

    __slots__ = ("name", "region", "zone", "tier", "up", "paused", "life", "slow", "busy", "out", "jobs",
                 "waiting", "held", "links", "calls", "meter", "host")  # fmt: skip

    def __init__(self, name: str, region: int, zone: str, tier: str) -> None:
        self.name, self.region, self.zone, self.tier = name, region, zone, tier
        self.up, self.paused = False, False
        self.life = 0  # of the process: what was meant for an earlier one is dropped
        self.slow = 1  # times as long for all it does
        self.busy = self.out = 0  # µs until when its core and its network card have work
        self.jobs: deque[tuple[int, Callable[..., None], tuple[Any, ...]]] = deque()
        self.waiting = False  # a call for the next job is made
        self.held: list[tuple[Callable[..., None], tuple[Any, ...]]] = []  # came while it was stopped
        self.links: dict[int, Link] = {}  # by number: of callers
        self.calls: dict[str, Link] = {}  # by relay: opened from here
        self.meter = Meter()
        self.host: Any = None


class Link:
    """One connection. A side that has closed it, or has died, hears nothing more of it."""

    __slots__ = ("number", "caller", "called", "caller_on", "called_on", "opened", "dead", "trip", "last",
                 "window", "used", "asked", "what")  # fmt: skip

    def __init__(self, number: int, caller: Site, called: Site, trip: tuple[int, int]) -> None:
        self.number, self.caller, self.called, self.trip = number, caller, called, trip
        self.caller_on, self.called_on = True, False
        self.opened = self.dead = False
        self.last = [0, 0]  # µs when the newest byte arrives: at the called one, at the caller
        self.window, self.used = FIRST_WINDOW, 0
        self.asked, self.what = 0, ""  # number of the last question, and what the open one asks


def size_of(payload: int) -> int:
    """Bytes on the wire of one frame."""
    payload += FRAME
    return payload + HEADERS * -(-payload // SEGMENT)


class World:
    def __init__(self, rng: random.Random, costs: Costs) -> None:
        self.rng, self.costs = rng, costs
        self.clockwork = Clockwork()
        self.sites: dict[str, Site] = {}
        self.trips: dict[tuple[int, int], tuple[int, int]] = {}
        for one in range(REGIONS):
            for other in range(one):
                base = rng.randint(*BETWEEN_REGIONS)
                self.trips[one, other] = self.trips[other, one] = (base, base + JITTER)
        self.cut: set[int] = set()  # regions that others do not reach
        self.severed: set[tuple[str, str]] = set()  # sites that do not reach each other, in both orders
        self.number = self.events = 0

    def add(self, name: str, region: int, zone: str, tier: str) -> Site:
        site = self.sites[name] = Site(name, region, zone, tier)
        return site

    def trip(self, one: Site, other: Site) -> tuple[int, int]:
        if one.zone == other.zone:
            return WITHIN_ZONE
        return WITHIN_REGION if one.region == other.region else self.trips[one.region, other.region]

    def blocked(self, one: Site, other: Site) -> bool:
        if self.severed and (one.name, other.name) in self.severed:
            return True
        return one.region != other.region and (one.region in self.cut or other.region in self.cut)

    # -- processes -------------------------------------------------------------------------------------

    def starts(self, site: Site) -> None:
        site.life += 1
        site.up, site.paused, site.slow = True, False, 1
        site.busy = site.out = self.clockwork.now
        site.waiting = False

    def ends(self, site: Site, silent: bool) -> None:
        """`silent`: the machine goes, and nobody is told; else the kernel ends its connections."""
        site.up = site.paused = False
        site.life += 1
        site.jobs.clear()
        site.held.clear()
        for link in list(site.calls.values()):
            link.caller_on = False
            if silent or self.blocked(site, link.called):
                link.dead = True
            elif link.called_on:
                self.later(link, False, self.closed_below)
        for link in list(site.links.values()):
            link.called_on = False
            if silent or self.blocked(site, link.caller):
                link.dead = True
            elif link.caller_on:
                self.later(link, True, self.closed_above)
        for link in list(site.calls.values()):
            if link.dead and link.called_on:
                self.clockwork.after(self.rng.randint(*NOTICE), self.notices, link, site.life)
        site.calls.clear()
        site.links.clear()

    def notices(self, link: Link, life: int) -> None:
        """The kernel of the called one has sent again: told that there is no such connection, or nothing."""
        if not link.called_on:
            return
        if link.caller.up and not self.blocked(link.caller, link.called):
            self.closed_below(link)
        else:
            self.clockwork.after(self.rng.randint(*NOTICE), self.notices, link, life)

    def stops(self, site: Site) -> None:
        site.paused = True

    def wakes(self, site: Site) -> None:
        """All that came meanwhile is there at once."""
        if not site.paused:
            return
        site.paused = False
        site.busy = max(site.busy, self.clockwork.now)
        held, site.held = site.held, []
        for call, args in held:
            call(*args)

    def guarded(self, site: Site, life: int, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        """A call of that process's own: not if it has ended, and later if it is stopped."""
        if site.life != life:
            return
        if site.paused:
            site.held.append((self.guarded, (site, life, call, args)))
        else:
            call(*args)

    def after(self, site: Site, span: int, call: Callable[..., None], *args: Any) -> None:
        self.clockwork.after(span, self.guarded, site, site.life, call, args)

    # -- a core ----------------------------------------------------------------------------------------

    def work(self, site: Site, cost: int, call: Callable[..., None], *args: Any) -> None:
        """In its turn: at once where the core is free, and then it is busy for that long."""
        now = self.clockwork.now
        if site.busy <= now and not site.jobs:
            self.charge(site, cost)
            call(*args)
            return
        site.jobs.append((cost, call, args))
        if len(site.jobs) > site.meter.queue:
            site.meter.queue = len(site.jobs)
        if not site.waiting:
            site.waiting = True
            self.after(site, site.busy - now, self.next_job, site)

    def next_job(self, site: Site) -> None:
        site.waiting = False
        now = self.clockwork.now
        while site.jobs and site.busy <= now:
            cost, call, args = site.jobs.popleft()
            self.charge(site, cost)
            call(*args)
        if site.jobs and not site.waiting:
            site.waiting = True
            self.after(site, site.busy - now, self.next_job, site)

    def charge(self, site: Site, cost: int) -> None:
        now = self.clockwork.now
        cost *= site.slow
        site.busy = max(site.busy, now) + cost
        site.meter.works(now, cost)
        if site.busy - now > site.meter.waited:
            site.meter.waited = site.busy - now

    # -- connections -----------------------------------------------------------------------------------

    def opens(self, caller: Site, called: Site) -> Link:
        """Greeted after two ways there and back; a machine that is down says nothing, a process refuses."""
        self.number += 1
        link = Link(self.number, caller, called, self.trip(caller, called))
        caller.calls[called.name] = link
        meter = caller.meter
        meter.sends(self.clockwork.now, HANDSHAKE)
        there = sum(self.rng.randint(*link.trip) for _ in range(3))
        life = called.life
        self.clockwork.after(there, self.guarded, called, life, self.greets, (link,))
        if not called.up and not called.host.silent:
            self.clockwork.after(there, self.closed_above, link)
        return link

    def greets(self, link: Link) -> None:
        called = link.called
        if not link.caller_on or not called.up or self.blocked(link.caller, called):
            return
        self.work(called, self.costs.opening, self.greeted, link)

    def greeted(self, link: Link) -> None:
        called = link.called
        if called.up and link.caller_on:
            link.called_on = True
            called.links[link.number] = link
            called.meter.sends(self.clockwork.now, GREETING + GREETED + 4 * HEADERS)
            link.caller.meter.sends(self.clockwork.now, GREETING + GREETED + 4 * HEADERS)
            self.later(link, True, self.open_at_caller)

    def open_at_caller(self, link: Link) -> None:
        if link.caller_on:
            link.opened = True
            link.caller.host.link_opened(link)

    def closes(self, link: Link, by_caller: bool) -> None:
        """This side is done with it; the other one is told on its way."""
        site = link.caller if by_caller else link.called
        site.meter.sends(self.clockwork.now, HANDSHAKE)
        if by_caller:
            link.caller_on = False
            if site.calls.get(link.called.name) is link:
                del site.calls[link.called.name]
            if link.called_on:
                if link.dead or self.blocked(link.caller, link.called):
                    link.dead = True
                    self.clockwork.after(self.rng.randint(*NOTICE), self.notices, link, site.life)
                else:
                    self.later(link, False, self.closed_below)
        else:
            link.called_on = False
            site.links.pop(link.number, None)
            if link.caller_on and not link.dead:
                self.later(link, True, self.closed_above)

    def later(self, link: Link, to_caller: bool, call: Callable[..., None]) -> None:
        """One that is close to nothing in size, in order."""
        now = self.clockwork.now
        at = max(now + self.rng.randint(*link.trip), link.last[to_caller] + 1)
        link.last[to_caller] = at
        to = link.caller if to_caller else link.called
        self.clockwork.after(at - now, self.guarded, to, to.life, call, (link,))

    def closed_above(self, link: Link) -> None:
        if link.caller_on and link.caller.up:
            link.caller_on = False
            if link.caller.calls.get(link.called.name) is link:
                del link.caller.calls[link.called.name]
            link.caller.host.link_lost(link)

    def closed_below(self, link: Link) -> None:
        if link.called_on and link.called.up:
            link.called_on = False
            link.called.links.pop(link.number, None)
            link.called.host.caller_left(link)

    def sends(
        self, link: Link, to_caller: bool, size: int, ready: int, call: Callable[..., None], *args: Any
    ) -> None:
        """A frame of `size` bytes with all that goes round it, ready to leave at `ready` µs."""
        if to_caller:
            sender, to = link.called, link.caller
        else:
            sender, to = link.caller, link.called
        now = self.clockwork.now
        sender.meter.sends(now, size)
        to.meter.sends(now, size)
        if link.dead or ((self.cut or self.severed) and self.blocked(sender, to)):
            link.dead = True
            return
        rng = self.rng
        low, high = link.trip
        trip = low + int(rng.random() * (high - low))
        start = max(now, ready, sender.out)
        sender.out = start + size // self.costs.bandwidth
        at = sender.out + trip
        if size > FIRST_WINDOW:
            at += self.rounds(link, start, size) * (low + high)
        at = max(at, link.last[to_caller] + 1)
        link.last[to_caller] = at
        self.events += 1
        self.clockwork.after(at - now, self.arrives, link, to_caller, to, to.life, call, args)

    def rounds(self, link: Link, now: int, size: int) -> int:
        """Ways there and back that a large answer waits for acknowledgements."""
        if now - link.used > IDLE:
            link.window = FIRST_WINDOW
        link.used, count, left = now, 0, size - link.window
        while left > 0:
            count += 1
            link.window *= 2
            left -= link.window
        return count

    def arrives(
        self,
        link: Link,
        to_caller: bool,
        to: Site,
        life: int,
        call: Callable[..., None],
        args: tuple[Any, ...],
    ) -> None:
        if to.life != life or not (link.caller_on if to_caller else link.called_on):
            return
        if to.paused:
            to.held.append((self.arrives, (link, to_caller, to, life, call, args)))
        elif (self.cut or self.severed) and self.blocked(link.caller, link.called):
            link.dead = True
        else:
            call(link, *args)
