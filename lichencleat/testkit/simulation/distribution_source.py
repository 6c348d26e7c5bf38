"""A model of the group of voters that the simulated fleet's configuration comes from.

The group itself is not run here (it has its own simulation): one of them leads, a change is confirmed after a
drawn way there and back to a majority, the others hear of it with the next word of the leader, and a new one
leads some time after the last was lost. What was handed in and not confirmed is handed in again.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from lichencleat.config_distribution.terms import Batch, Change
from lichencleat.testkit.simulation.distribution_world import SECOND, VOTERS, Site

if TYPE_CHECKING:
    from lichencleat.testkit.simulation.distribution_fleet import Fleet

BEAT = 100_000  # µs between words of the leader
ELECTION = (400_000, 900_000)  # µs without a leader once it is lost


class Source:
    """The voters' group, as a model."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.world = fleet, fleet.world
        self.voters: list[Site] = []
        self.leader: Site | None = None
        self.term = 0
        self.open: deque[tuple[int, tuple[Change, ...]]] = deque()  # handed in, not confirmed
        self.committed: list[Batch] = []
        self.place: dict[int, int] = {}  # version -> number of batches up to it
        self.last_commit = 0
        self.none_at = 0  # µs: when there was last no majority; nothing can be published then

    def begins(self) -> None:
        self.leader = self.voters[0]
        self.place[self.fleet.shared.table.version] = 0
        self.beat()

    def publish(self, changes: tuple[Change, ...]) -> None:
        self.open.append((self.world.clockwork.now, changes))
        self.proposes(1)

    def proposes(self, count: int) -> None:
        """The last `count` that are open go to the voters."""
        if self.leader is None:
            return
        world = self.world
        for _ in range(count):
            trips = sorted(
                world.rng.randint(*world.trip(self.leader, other))
                + world.rng.randint(*world.trip(self.leader, other))
                for other in self.able()
                if other is not self.leader
            )
            span = trips[VOTERS // 2 - 1] if len(trips) >= VOTERS // 2 else SECOND
            self.last_commit = max(world.clockwork.now + span, self.last_commit)
            world.after(self.leader, self.last_commit - world.clockwork.now, self.commits, self.term)

    def commits(self, term: int) -> None:
        if term != self.term or not self.open:
            return
        handed, changes = self.open.popleft()
        handed = max(handed, self.none_at)
        shared = self.fleet.shared
        batch = shared.apply(shared.table.version + self.world.rng.randint(1, 3), changes)
        self.committed.append(batch)
        self.place[batch.version] = len(self.committed)
        self.fleet.judge.publishes(batch, handed)
        self.words()

    def beat(self) -> None:
        self.world.clockwork.after(BEAT, self.beat)
        self.words()
        able = self.able()
        if self.leader is not None and (self.leader not in able or len(able) <= VOTERS // 2):
            self.loses_leader()

    def able(self) -> list[Site]:
        """Those that reach each other."""
        cut = self.world.cut
        return [each for each in self.voters if each.up and not each.paused and each.region not in cut]

    def words(self) -> None:
        leader, world = self.leader, self.world
        if leader is None or not leader.up or leader.paused:
            return
        now, count = world.clockwork.now, len(self.committed)
        self.hears(leader, count, now)
        for voter in self.voters:
            if voter is not leader and voter.up and not world.blocked(leader, voter):
                span = world.rng.randint(*world.trip(leader, voter))
                world.after(voter, span, self.hears, voter, count, now)

    def hears(self, voter: Site, count: int, sent: int) -> None:
        host, now = voter.host, self.world.clockwork.now
        feeder = host.feeder
        place = self.place[host.copy.version]
        if count > place:
            batches = tuple(self.committed[place:count])
            host.copy.table = self.fleet.shared.versions[batches[-1].version]
            self.world.charge(voter, self.fleet.costs.slice * len(batches))
            feeder.on_applied(now, batches)
        if count >= place:
            feeder.set_age(now, now - sent)
        if count > place:
            host.pull()

    def loses_leader(self) -> None:
        """A majority of those left chooses another one, after a while."""
        self.leader = None
        self.term += 1
        self.world.clockwork.after(self.world.rng.randint(*ELECTION), self.elects, self.term)

    def elects(self, term: int) -> None:
        if term != self.term or self.leader is not None:
            return
        able = self.able()
        if len(able) <= VOTERS // 2:
            self.none_at = self.world.clockwork.now
            self.world.clockwork.after(self.world.rng.randint(*ELECTION), self.elects, term)
            return
        self.leader = self.world.rng.choice(able)
        self.last_commit = self.world.clockwork.now
        self.words()
        self.proposes(len(self.open))
