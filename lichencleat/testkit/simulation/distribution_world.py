"""The simulated environment of the fleet: regions, zones, processes, connections and their costs.

A connection delivers frames in order and ends with either process. After a frame is lost to a network cut or
to a machine without power, the connection delivers nothing more and neither side is notified. A process has
one core with a queue of jobs. A machine's network card sends one frame at a time.
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
WITHIN_ZONE, WITHIN_REGION = (100, 1_500), (1_000, 3_000)  # µs: ranges of the one-way delay of a message
# µs: range of the lowest one-way delay between two regions, and the most that jitter adds to this delay
BETWEEN_REGIONS, JITTER = (10_000, 80_000), 1_000
FRAME, SEGMENT, HEADERS = 4, 1_448, 66  # bytes: a frame's length prefix, a segment's payload and headers
HANDSHAKE = 3 * HEADERS  # bytes to open a connection, and the same number to close a connection
FIRST_WINDOW = 10 * SEGMENT  # bytes sent before the first acknowledgement; doubles with each round trip
IDLE = 300_000  # µs without traffic after which a connection's send window is reset to the first window
NOTICE = (200_000, 30_000_000)  # µs until the kernel retransmits on a connection whose other side is gone
GREETING = (
    len(encode(Greeting(FORMAT_VERSION, b"m" * 16, "configuration", 0, 0, Incarnation(0, 0), "z00.n000")))
    + FRAME
)
GREETED = (
    len(encode(GreetingResponse(GreetingResult.ACCEPTED, b"m" * 16, 1, "z00.a", Incarnation(1, 1)))) + FRAME
)


@dataclass(frozen=True, slots=True)
class Costs:
    """Processor time of each operation in µs, and the network bandwidth."""

    question: int = 120  # a request at a relay or voter, including the answer
    kilobyte: float = 5.0  # each KiB that a relay or voter sends
    pack: int = 300  # compression of a page, once for each page at a relay or voter
    opening: int = 300  # acceptance of a connection at a relay or voter
    slice: int = 200  # a slice of staging at a relay or voter
    node_message: int = 100  # a request of a node and its answer, at the node
    node_slice: int = 200  # a slice of staging at a node
    bandwidth: int = 125  # bytes a µs: 1 Gbit/s


class Meter:
    """Traffic, processor time and the longest job queue of one process, with peaks over whole seconds."""

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

    def add_bytes(self, now: int, size: int) -> None:
        """Count bytes that were sent or received."""
        self.bytes += size
        second = now // SECOND
        if second != self.second:
            self.second, self.in_second, self.work_second = second, 0, 0
        self.in_second += size
        if self.in_second > self.peak:
            self.peak = self.in_second

    def add_work(self, now: int, span: int) -> None:
        """Count `span` µs of processor time."""
        self.work += span
        second = now // SECOND
        if second != self.second:
            self.second, self.in_second, self.work_second = second, 0, 0
        self.work_second += span
        if self.work_second > self.work_peak:
            self.work_peak = self.work_second


class Site:
    """One process on a machine of its own: a voter, a relay or a node. `host` is its program."""

    __slots__ = ("name", "region", "zone", "tier", "up", "paused", "life", "slow", "busy", "out", "jobs",
                 "waiting", "held", "links", "calls", "meter", "host")  # fmt: skip

    def __init__(self, name: str, region: int, zone: str, tier: str) -> None:
        self.name, self.region, self.zone, self.tier = name, region, zone, tier
        self.up, self.paused = False, False
        self.life = 0  # changes with each start and end; calls scheduled for an earlier number are dropped
        self.slow = 1  # factor on all processor time
        self.busy = self.out = 0  # µs: when the core and the network card become free
        self.jobs: deque[tuple[int, Callable[..., None], tuple[Any, ...]]] = deque()
        self.waiting = False  # whether the next job is already scheduled
        # Calls that are deferred while the process is paused.
        self.held: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.links: dict[int, Link] = {}  # link number -> link that a caller opened to this process
        self.calls: dict[str, Link] = {}  # relay -> link that this process opened
        self.meter = Meter()
        self.host: Any = None


class Link:
    """One connection. A side that closed the connection, or whose process ended, receives nothing more."""

    __slots__ = ("number", "caller", "called", "caller_on", "called_on", "opened", "dead", "trip", "last",
                 "window", "used", "last_request", "what")  # fmt: skip

    def __init__(self, number: int, caller: Site, called: Site, trip: tuple[int, int]) -> None:
        self.number, self.caller, self.called, self.trip = number, caller, called, trip
        self.caller_on, self.called_on = True, False
        self.opened = self.dead = False
        self.last = [0, 0]  # µs: arrival of the latest frame at the called side, at the caller
        self.window, self.used = FIRST_WINDOW, 0  # send window in bytes, µs when a large frame was last sent
        # Number of the last request, method of the request that awaits an answer.
        self.last_request, self.what = 0, ""


def size_of(payload: int) -> int:
    """Return the bytes on the wire of a frame with this payload, including headers."""
    payload += FRAME
    return payload + HEADERS * -(-payload // SEGMENT)


class World:
    """All sites, the links between them and the simulated clock."""

    def __init__(self, rng: random.Random, costs: Costs) -> None:
        self.rng, self.costs = rng, costs
        self.clockwork = Clockwork()
        self.sites: dict[str, Site] = {}
        self.trips: dict[tuple[int, int], tuple[int, int]] = {}
        for one in range(REGIONS):
            for other in range(one):
                base = rng.randint(*BETWEEN_REGIONS)
                self.trips[one, other] = self.trips[other, one] = (base, base + JITTER)
        self.cut: set[int] = set()  # regions that are cut off from all others
        # Pairs of sites that cannot reach each other, in both orders
        self.severed: set[tuple[str, str]] = set()
        self.number = self.events = 0  # links opened, frames sent

    def add(self, name: str, region: int, zone: str, tier: str) -> Site:
        """Create a site; its process is not started yet."""
        site = self.sites[name] = Site(name, region, zone, tier)
        return site

    def trip(self, one: Site, other: Site) -> tuple[int, int]:
        """Return the range of the one-way delay between two sites in µs."""
        if one.zone == other.zone:
            return WITHIN_ZONE
        return WITHIN_REGION if one.region == other.region else self.trips[one.region, other.region]

    def blocked(self, one: Site, other: Site) -> bool:
        """Return whether a network fault separates two sites."""
        if self.severed and (one.name, other.name) in self.severed:
            return True
        return one.region != other.region and (one.region in self.cut or other.region in self.cut)

    # -- processes -------------------------------------------------------------------------------------

    def start(self, site: Site) -> None:
        """Start a process."""
        site.life += 1
        site.up, site.paused, site.slow = True, False, 1
        site.busy = site.out = self.clockwork.now
        site.waiting = False

    def end(self, site: Site, silent: bool) -> None:
        """End a process.

        `silent`: the machine loses power and its peers are not notified; otherwise the kernel closes the
        connections of the process.
        """
        site.up = site.paused = False
        site.life += 1
        site.jobs.clear()
        site.held.clear()
        for link in list(site.calls.values()):
            link.caller_on = False
            if silent or self.blocked(site, link.called):
                link.dead = True
            elif link.called_on:
                self.send_control(link, False, self.closed_below)
        for link in list(site.links.values()):
            link.called_on = False
            if silent or self.blocked(site, link.caller):
                link.dead = True
            elif link.caller_on:
                self.send_control(link, True, self.closed_above)
        for link in list(site.calls.values()):
            if link.dead and link.called_on:
                self.clockwork.after(self.rng.randint(*NOTICE), self.retransmit, link, site.life)
        site.calls.clear()
        site.links.clear()

    def retransmit(self, link: Link, life: int) -> None:
        """Retransmit from the called side: the caller's machine resets the connection, or no answer comes."""
        if not link.called_on:
            return
        if link.caller.up and not self.blocked(link.caller, link.called):
            self.closed_below(link)
        else:
            self.clockwork.after(self.rng.randint(*NOTICE), self.retransmit, link, life)

    def pause(self, site: Site) -> None:
        """Pause a process."""
        site.paused = True

    def resume(self, site: Site) -> None:
        """Resume a paused process and run all calls that were deferred meanwhile."""
        if not site.paused:
            return
        site.paused = False
        site.busy = max(site.busy, self.clockwork.now)
        held, site.held = site.held, []
        for call, args in held:
            call(*args)

    def run_if_alive(self, site: Site, life: int, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Run a call of a process: drop the call after the process has ended, defer it during a pause."""
        if site.life != life:
            return
        if site.paused:
            site.held.append((self.run_if_alive, (site, life, call, args)))
        else:
            call(*args)

    def after(self, site: Site, span: int, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call of a process in `span` µs."""
        self.clockwork.after(span, self.run_if_alive, site, site.life, call, args)

    # -- processor ------------------------------------------------------------------------------------

    def work(self, site: Site, cost: int, call: Callable[..., None], *args: Any) -> None:
        """Run a job that occupies the core for `cost` µs: at once on a free core, else after queued jobs."""
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
        """Run queued jobs until the core is busy."""
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
        """Occupy the core for `cost` µs, multiplied by the factor of a slow process."""
        now = self.clockwork.now
        cost *= site.slow
        site.busy = max(site.busy, now) + cost
        site.meter.add_work(now, cost)
        if site.busy - now > site.meter.waited:
            site.meter.waited = site.busy - now

    # -- connections -----------------------------------------------------------------------------------

    def open_link(self, caller: Site, called: Site) -> Link:
        """Open a connection, which takes two round trips.

        A machine without power doesn't answer; a machine whose process has ended refuses the connection.
        """
        self.number += 1
        link = Link(self.number, caller, called, self.trip(caller, called))
        caller.calls[called.name] = link
        meter = caller.meter
        meter.add_bytes(self.clockwork.now, HANDSHAKE)
        there = sum(self.rng.randint(*link.trip) for _ in range(3))
        life = called.life
        self.clockwork.after(there, self.run_if_alive, called, life, self.queue_greeting, (link,))
        if not called.up and not called.host.silent:
            self.clockwork.after(there, self.closed_above, link)
        return link

    def queue_greeting(self, link: Link) -> None:
        """Queue the greeting at the called process."""
        called = link.called
        if not link.caller_on or not called.up or self.blocked(link.caller, called):
            return
        self.work(called, self.costs.opening, self.accept, link)

    def accept(self, link: Link) -> None:
        """Accept the connection at the called process."""
        called = link.called
        if called.up and link.caller_on:
            link.called_on = True
            called.links[link.number] = link
            called.meter.add_bytes(self.clockwork.now, GREETING + GREETED + 4 * HEADERS)
            link.caller.meter.add_bytes(self.clockwork.now, GREETING + GREETED + 4 * HEADERS)
            self.send_control(link, True, self.open_at_caller)

    def open_at_caller(self, link: Link) -> None:
        """Report the accepted connection to the caller."""
        if link.caller_on:
            link.opened = True
            link.caller.host.link_opened(link)

    def close_link(self, link: Link, by_caller: bool) -> None:
        """Close a connection at one side; the other side is notified after the one-way delay."""
        site = link.caller if by_caller else link.called
        site.meter.add_bytes(self.clockwork.now, HANDSHAKE)
        if by_caller:
            link.caller_on = False
            if site.calls.get(link.called.name) is link:
                del site.calls[link.called.name]
            if link.called_on:
                if link.dead or self.blocked(link.caller, link.called):
                    link.dead = True
                    self.clockwork.after(self.rng.randint(*NOTICE), self.retransmit, link, site.life)
                else:
                    self.send_control(link, False, self.closed_below)
        else:
            link.called_on = False
            site.links.pop(link.number, None)
            if link.caller_on and not link.dead:
                self.send_control(link, True, self.closed_above)

    def send_control(self, link: Link, to_caller: bool, call: Callable[..., None]) -> None:
        """Schedule the arrival of a control message of negligible size, in order with the frames."""
        now = self.clockwork.now
        at = max(now + self.rng.randint(*link.trip), link.last[to_caller] + 1)
        link.last[to_caller] = at
        to = link.caller if to_caller else link.called
        self.clockwork.after(at - now, self.run_if_alive, to, to.life, call, (link,))

    def closed_above(self, link: Link) -> None:
        """Report to the caller that the called side closed or refused the connection."""
        if link.caller_on and link.caller.up:
            link.caller_on = False
            if link.caller.calls.get(link.called.name) is link:
                del link.caller.calls[link.called.name]
            link.caller.host.link_lost(link)

    def closed_below(self, link: Link) -> None:
        """Report to the called process that the caller's side of the connection is closed."""
        if link.called_on and link.called.up:
            link.called_on = False
            link.called.links.pop(link.number, None)
            link.called.host.caller_left(link)

    def send(
        self, link: Link, to_caller: bool, size: int, ready: int, call: Callable[..., None], *args: Any
    ) -> None:
        """Send a frame of `size` bytes including headers, not before `ready` µs."""
        if to_caller:
            sender, to = link.called, link.caller
        else:
            sender, to = link.caller, link.called
        now = self.clockwork.now
        sender.meter.add_bytes(now, size)
        to.meter.add_bytes(now, size)
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
        self.clockwork.after(at - now, self.deliver, link, to_caller, to, to.life, call, args)

    def rounds(self, link: Link, now: int, size: int) -> int:
        """Return the number of round trips that a large frame waits for acknowledgements."""
        if now - link.used > IDLE:
            link.window = FIRST_WINDOW
        link.used, count, left = now, 0, size - link.window
        while left > 0:
            count += 1
            link.window *= 2
            left -= link.window
        return count

    def deliver(
        self,
        link: Link,
        to_caller: bool,
        to: Site,
        life: int,
        call: Callable[..., None],
        args: tuple[Any, ...],
    ) -> None:
        """Deliver a frame to a running process; after a cut, drop the frame and mark the link as dead."""
        if to.life != life or not (link.caller_on if to_caller else link.called_on):
            return
        if to.paused:
            to.held.append((self.deliver, (link, to_caller, to, life, call, args)))
        elif (self.cut or self.severed) and self.blocked(link.caller, link.called):
            link.dead = True
        else:
            call(link, *args)
