"""The processes of the simulated fleet: the production `Publisher` and `RelayFollower` in simulated hosts.

As in production, a relay that starts from its disk sends subscribers with an older version the batches that
the disk still has.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from lichencleat.config_distribution.errors import TableError
from lichencleat.config_distribution.feed import Answer, Decline, Publisher
from lichencleat.config_distribution.follow import Action, Decision, RelayFollower
from lichencleat.config_distribution.terms import FOLLOW, Batch, FollowRequest, PagesAnswer
from lichencleat.testkit.simulation.distribution_judge import Judge
from lichencleat.testkit.simulation.distribution_source import Source
from lichencleat.testkit.simulation.distribution_table import Shared, SharedCopy, drawn_table
from lichencleat.testkit.simulation.distribution_world import (
    REGIONS,
    SECOND,
    VOTERS,
    ZONES,
    Costs,
    Link,
    Site,
    World,
    size_of,
)
from lichencleat.transport.frames import ClientRequest, ClientResponse, encode

MARK = b"the group's mark"  # identifies the voters' group; learned when a link opens, kept on disk
CONNECT_TIMEOUT_US = 1_500_000  # for a link to be opened and greeted; the same as in the production host
COUNT_INTERVAL_US = 200_000  # between sums of the subscribers' node counts; as in the production relay
RECENT_BATCHES = 1_000  # number of newest batches that a disk holds
NIL = msgspec.Raw(b"\xc0")
# Encoded bytes of a response and of a request without their content.
SMALL_ANSWER, SMALL_QUESTION = (
    len(encode(ClientResponse(1_000, True, NIL))) - 1,
    len(encode(ClientRequest(1_000, "", NIL))) - 1,
)


@dataclass(frozen=True, slots=True)
class Size:
    """The size of the simulated fleet; `zone_relays` is the number of relays in each zone."""

    nodes: int = 3_300
    zones: int = ZONES
    regions: int = REGIONS
    zone_relays: int = 2
    records: int = 560_000


class Host:
    """The program of one process: a feeder (`Publisher`), a follower (`RelayFollower`) or both."""

    __slots__ = ("fleet", "world", "site", "copy", "feeder", "follower", "joined", "packed", "silent",
                 "budget", "feeder_due", "follower_due", "counts_summed_at", "opened_at", "content",
                 "size")  # fmt: skip

    def __init__(self, fleet: Fleet, site: Site) -> None:
        self.fleet, self.world, self.site = fleet, fleet.world, site
        self.copy: Any = None
        self.feeder: Publisher | None = None
        self.follower: RelayFollower | None = None
        self.silent = False  # True: the machine has no power and does not even refuse connections
        self.clear()

    def clear(self) -> None:
        """Reset all state that a process loses when it ends."""
        self.joined: set[int] = set()  # numbers of the links added as subscribers; never iterated
        self.packed: dict[int, bytes] = {}  # page number -> packed page whose compression was charged
        self.budget = 0  # slices of staging that are charged to the core and not yet taken
        self.feeder_due: int | None = None  # µs: the feeder's next timer
        self.follower_due: int | None = None  # µs: the follower's next timer
        self.counts_summed_at = 0  # µs: when the node counts of the subscribers were last summed
        self.opened_at = 0  # µs: when the latest link to a relay was opened
        self.content: Any = None  # the last answer, so that an answer to many subscribers is encoded once
        self.size = 0  # bytes of the encoded last answer

    def start(self, copy: Any, tiers: Sequence[Sequence[str]]) -> None:
        """Start the process with a copy of the configuration; `tiers`: the relays above, none at a voter."""
        site, now = self.site, self.world.clockwork.now
        self.world.start(site)
        self.clear()
        self.silent = False
        self.copy = copy
        if site.tier != "node":
            self.feeder = self.fleet.feeder(site.name, site.zone, copy, now, self.recent())
        if tiers:
            rng = random.Random(self.world.rng.getrandbits(60))
            self.follower = self.fleet.follower(tiers, copy, rng, now, site.tier == "node", site.zone)
            self.pump()

    def recent(self) -> tuple[Batch, ...]:
        """Return the newest batches up to the version of the copy, as the disk holds them."""
        source = self.fleet.source
        return tuple(source.committed[: source.place.get(self.copy.version, 0)][-RECENT_BATCHES:])

    # -- feeder --------------------------------------------------------------------------------------

    def receive_request(self, link: Link, number: int, what: str, content: Any) -> None:
        """Queue a subscriber's request that has arrived."""
        self.world.work(
            self.site, self.fleet.costs.question // 2, self.process_request, link, number, what, content
        )

    def process_request(self, link: Link, number: int, what: str, content: Any) -> None:
        """Pass a request to the feeder; the first request on a link adds the subscriber."""
        if not link.called_on:
            return
        feeder, now = self.feeder, self.world.clockwork.now
        assert feeder is not None
        if link.number not in self.joined:
            if not feeder.add_subscriber(now, link.number):
                self.send_answer(link, number, False, "full")
                return
            self.joined.add(link.number)
        feeder.on_request(now, link.number, number, what, content)
        self.pull()

    def caller_left(self, link: Link) -> None:
        """Remove the subscriber of a closed link."""
        assert self.feeder is not None
        if link.number in self.joined:
            self.joined.discard(link.number)
            self.feeder.remove_subscriber(self.world.clockwork.now, link.number)
            self.pull()

    def pull(self) -> None:
        """Carry out the feeder's decisions and set its timer."""
        feeder, now, links = self.feeder, self.world.clockwork.now, self.site.links
        assert feeder is not None
        while (decision := feeder.next_decision(now)) is not None:
            link = links.get(decision.subscriber_id)
            if link is None:
                continue
            if isinstance(decision, Answer):
                self.send_answer(link, decision.number, True, decision.content)
            elif isinstance(decision, Decline):
                self.send_answer(link, decision.number, False, decision.why)
            else:
                self.joined.discard(link.number)
                self.world.close_link(link, by_caller=False)
        due = feeder.deadline()
        if due is not None and (self.feeder_due is None or due < self.feeder_due):
            self.feeder_due = max(due, now + 1)
            self.world.after(self.site, self.feeder_due - now, self.feeder_wakes, self.feeder_due)

    def feeder_wakes(self, at: int) -> None:
        """Run the feeder's timer, unless an earlier timer has replaced it."""
        if self.feeder_due == at:
            self.feeder_due = None
            self.pull()

    def send_answer(self, link: Link, number: int, done: bool, content: Any) -> None:
        """Send an answer and charge its processor time; `done`: whether the request was accepted."""
        if content is not self.content:
            self.content, self.size = content, len(encode(content)) + SMALL_ANSWER
        costs, site = self.fleet.costs, self.site
        cost = costs.question // 2 + int(self.size * costs.kilobyte) // 1_024
        if isinstance(content, PagesAnswer):
            for page, packed in content.pages:
                if self.packed.get(page) is not packed:
                    self.packed[page] = packed
                    cost += costs.pack
        self.world.charge(site, cost)
        self.world.send(
            link, True, size_of(self.size), site.busy, link.caller.host.receive_answer, number, done, content
        )

    # -- follower ---------------------------------------------------------------------------------------

    def pump(self) -> None:
        """Carry out the follower's decisions and set its timer."""
        follower, now = self.follower, self.world.clockwork.now
        assert follower is not None
        if self.feeder is not None and now - self.counts_summed_at >= COUNT_INTERVAL_US:
            self.counts_summed_at = now
            follower.counts_below = self.feeder.counts(now)
        while (decision := follower.next_decision(now)) is not None:
            self.execute(decision)
        due = follower.deadline()
        if self.follower_due is None or due < self.follower_due:
            self.follower_due = max(due, now + 1)
            self.world.after(self.site, self.follower_due - now, self.follower_wakes, self.follower_due)

    def follower_wakes(self, at: int) -> None:
        """Run the follower's timer; if its deadline was postponed, only set the timer again."""
        if self.follower_due != at:
            return
        self.follower_due = None
        follower, now = self.follower, self.world.clockwork.now
        assert follower is not None
        if follower.deadline() <= now:
            follower.on_timer(now)
        self.pump()

    def execute(self, decision: Decision) -> None:
        """Carry out one decision of the follower."""
        act, site, now = decision.act, self.site, self.world.clockwork.now
        if act is Action.ASK:
            link = site.calls.get(decision.relay)
            if link is not None and link.opened:
                self.send_request(link, decision.what, decision.content)
        elif act is Action.STEP:
            self.begin_step()
        elif act is Action.OPEN:
            self.close_link(decision.relay)
            link = self.world.open_link(site, self.fleet.world.sites[decision.relay])
            self.world.after(site, CONNECT_TIMEOUT_US, self.on_connect_timeout, link)
        elif act is Action.CLOSE:
            self.close_link(decision.relay)
        elif act is Action.APPLIED:
            self.on_applied_batches(now, decision.batches)
        else:
            self.fleet.log_line(now, site, decision.text)

    def close_link(self, relay: str) -> None:
        """Close the link to a relay, if there is one."""
        link = self.site.calls.get(relay)
        if link is not None:
            self.world.close_link(link, by_caller=True)

    def on_connect_timeout(self, link: Link) -> None:
        """Close a link that was not opened within the connect timeout."""
        if link.caller_on and not link.opened:
            self.world.close_link(link, by_caller=True)
            self.link_lost(link)

    def send_request(self, link: Link, what: str, content: Any) -> None:
        """Send a request to a relay; the checker verifies the version that a node acknowledges."""
        link.last_request += 1
        link.what = what
        if self.site.tier == "node" and what == FOLLOW and isinstance(content, FollowRequest):
            self.fleet.judge.on_acknowledged(
                self.world.clockwork.now, self.site.name, self.copy, content.version
            )
        # A separate TCP acknowledgement of the request takes 66 bytes.
        size = size_of(len(encode(content)) + len(what) + SMALL_QUESTION) + 66
        self.world.send(
            link, False, size, 0, link.called.host.receive_request, link.last_request, what, content
        )

    def link_opened(self, link: Link) -> None:
        """Report an opened link to the follower."""
        assert self.follower is not None
        self.opened_at = self.world.clockwork.now
        self.follower.on_link_opened(self.opened_at, link.called.name, MARK)
        self.pump()

    def link_lost(self, link: Link) -> None:
        """Report a lost link to the follower."""
        assert self.follower is not None
        self.follower.on_link_lost(self.world.clockwork.now, link.called.name, "the connection ended")
        self.pump()

    def receive_answer(self, link: Link, number: int, done: bool, content: Any) -> None:
        """Process an answer that has arrived: at once at a node, in the job queue at a relay."""
        costs = self.fleet.costs
        if self.feeder is None:
            self.site.meter.add_work(self.world.clockwork.now, costs.node_message)
            self.process_answer(link, number, done, content)
        else:
            self.world.work(self.site, costs.question // 2, self.process_answer, link, number, done, content)

    def process_answer(self, link: Link, number: int, done: bool, content: Any) -> None:
        """Pass an answer to the follower; an answer to an earlier request is dropped."""
        if not link.caller_on or number != link.last_request:
            return
        follower, now = self.follower, self.world.clockwork.now
        assert follower is not None
        what, link.what = link.what, ""
        if done:
            follower.on_answer(now, link.called.name, what, content)
        else:
            follower.on_answer(now, link.called.name, what, None, content)
        if self.feeder is not None:
            self.feeder.set_age(now, follower.age(now))
        self.check_copy()
        self.pump()

    # -- staging ---------------------------------------------------------------------------------------

    def begin_step(self) -> None:
        """Charge all counted slices to the core at once, then take one slice for each step decision."""
        if self.budget > 0:
            self.budget -= 1
            self.step()
            return
        count = max(1, self.copy.slices)
        self.copy.slices = 0
        self.budget = count - 1
        costs = self.fleet.costs
        if self.feeder is None:
            span = count * costs.node_slice
            self.site.meter.add_work(self.world.clockwork.now, span)
            self.world.after(self.site, span, self.step_and_pump)
        else:
            self.world.work(self.site, count * costs.slice, self.step_and_pump)

    def step_and_pump(self) -> None:
        """Take one slice and carry out the follower's decisions."""
        self.step()
        self.pump()

    def step(self) -> None:
        """Take one slice of staging and report the result to the follower."""
        follower, now = self.follower, self.world.clockwork.now
        assert follower is not None
        try:
            ready: bool | None = self.copy.step()
        except TableError:
            ready = None
        follower.on_stepped(now, ready)
        self.check_copy()

    def check_copy(self) -> None:
        """Let the checker verify the copy, if this process is a node."""
        if self.feeder is None:
            self.fleet.judge.check_node(
                self.world.clockwork.now, self.site.name, self.copy, self.copy.batches
            )

    def on_applied_batches(self, now: int, batches: tuple[Batch, ...]) -> None:
        """Pass batches that came into force here to the feeder."""
        self.check_copy()
        if self.feeder is not None:
            assert self.follower is not None
            self.feeder.on_applied(now, batches)
            self.feeder.set_age(now, self.follower.age(now))
            self.pull()


class Fleet:
    """All processes of the simulated fleet, with the checker and the source of changes."""

    def __init__(
        self,
        rng: random.Random,
        size: Size,
        costs: Costs,
        feeder: Callable[..., Any] = Publisher,
        follower: Callable[..., Any] = RelayFollower,
        copy: Callable[..., Any] = SharedCopy,
    ) -> None:
        """`feeder`, `follower`, `copy`: the production classes, or variants with an injected bug."""
        self.rng, self.size, self.costs = rng, size, costs
        self.feeder, self.follower, self.copy = feeder, follower, copy
        self.world = World(random.Random(rng.getrandbits(60)), costs)
        self.shared = Shared(drawn_table(random.Random(rng.getrandbits(60)), size.records))
        table = self.shared.versions[1]
        self.judge = Judge(1, table.digest, table.items())
        self.source = Source(self)
        self.lines: list[str] = []  # the first log lines of the followers
        self.line_count = 0  # number of log lines of all followers
        self.tiers: dict[str, tuple[tuple[str, ...], ...]] = {}  # site -> relays above, by tier
        self.zones: dict[str, list[Site]] = {}  # zone -> its nodes
        self.nodes: list[Site] = []
        self.relays: list[Site] = []
        self.build()

    def log_line(self, now: int, site: Site, text: str) -> None:
        """Count a log line of a follower and keep the first ones."""
        self.line_count += 1
        if len(self.lines) < 200:
            self.lines.append(f"{now / SECOND:.3f} {site.name}: {text}")

    def build(self) -> None:
        """Create the sites of all voters, relays and nodes."""
        size, world = self.size, self.world
        for number in range(VOTERS):
            site = self.place(f"v{number + 1}", number % size.regions, f"voters {number}", "voter")
            self.source.voters.append(site)
        for region in range(size.regions):
            near = sorted(self.source.voters, key=lambda each: (self.far(region, each.region), each.name))
            names = tuple(each.name for each in near)
            for letter in "ab":
                site = self.place(f"r{region}.{letter}", region, f"region {region} {letter}", "region relay")
                self.tiers[site.name] = (names[:1], names[1:])
                self.relays.append(site)
        for number in range(size.zones):
            region, zone = number % size.regions, f"z{number:02d}"
            above = tuple(f"r{region}.{letter}" for letter in "ab")
            own = tuple(f"{zone}.{letter}" for letter in "abc"[: size.zone_relays])
            for name in own:
                site = self.place(name, region, zone, "zone relay")
                self.tiers[name] = (above, tuple(each.name for each in self.source.voters))
                self.relays.append(site)
            count = size.nodes * (number + 1) // size.zones - size.nodes * number // size.zones
            self.zones[zone] = []
            for node in range(count):
                site = self.place(f"{zone}.n{node:03d}", region, zone, "node")
                self.tiers[site.name] = (own, above)
                self.zones[zone].append(site)
                self.nodes.append(site)
        for site in world.sites.values():
            site.host = Host(self, site)

    def far(self, one: int, other: int) -> int:
        """Return the lowest one-way delay between two regions in µs."""
        return 0 if one == other else self.world.trips[one, other][0]

    def place(self, name: str, region: int, zone: str, tier: str) -> Site:
        """Create a site."""
        return self.world.add(name, region, zone, tier)

    # -- starts and ends -------------------------------------------------------------------------------

    def start_all(self) -> None:
        """Start all processes with version 1 from their disks: relays within 1 s, nodes from 1 s to 5 s."""
        for voter in self.source.voters:
            voter.host.start(self.copy(self.shared, 1, MARK), ())
        self.source.start()
        for site in self.relays:
            self.world.clockwork.after(self.rng.randrange(SECOND), self.start_site, site, 1, "running")
        for site in self.nodes:
            self.world.clockwork.after(
                self.rng.randrange(SECOND, 5 * SECOND), self.start_site, site, 1, "running"
            )

    def start_site(self, site: Site, version: int, kind: str) -> None:
        """Start a process with the version that its disk has; version 0 means that the disk is empty."""
        if site.up:
            return
        copy = self.copy(self.shared, version, MARK if version else b"")
        if site.tier == "node":
            self.judge.on_node_started(self.world.clockwork.now, site.name, copy, kind)
        site.host.start(copy, self.tiers.get(site.name, ()))
        if site.region in self.world.cut:
            self.judge.on_unreachable(site.name)

    def end_site(self, site: Site, silent: bool = True) -> int:
        """End a process and return the version that it had."""
        if not site.up:
            return site.host.copy.version if site.host.copy is not None else 0
        self.world.end(site, silent)
        site.host.silent = silent
        if site.tier == "node":
            self.judge.on_node_ended(site.name)
        if site is self.source.leader:
            self.source.end_term()
        return site.host.copy.version
