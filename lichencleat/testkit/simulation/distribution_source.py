"""A model of the group of voters that commits the simulated fleet's configuration changes.

The consensus protocol is not run here (it has its own simulation). One voter leads; a change is committed
after a drawn round trip to a majority; the other voters learn of the commit with the leader's next message; a
new leader is elected some time after the last one was lost. Submitted changes that are not committed by then
are proposed again by the new leader.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from lichencleat.config_distribution.terms import Batch, Change
from lichencleat.testkit.simulation.distribution_world import SECOND, VOTERS, Site

if TYPE_CHECKING:
    from lichencleat.testkit.simulation.distribution_fleet import Fleet

HEARTBEAT_US = 100_000  # interval of the leader's heartbeats
ELECTION_US = (400_000, 900_000)  # range of the time without a leader after the leader is lost


class Source:
    """Model of the group of voters: commits changes and passes them to each voter's host."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.world = fleet, fleet.world
        self.voters: list[Site] = []
        self.leader: Site | None = None
        self.term = 0
        # Submissions that are not yet committed: µs when submitted, changes.
        self.open: deque[tuple[int, tuple[Change, ...]]] = deque()
        self.committed: list[Batch] = []  # all committed batches in order
        self.place: dict[int, int] = {}  # version -> number of committed batches up to that version
        self.last_commit = 0  # µs when the newest proposal is committed; commits keep the order of proposals
        # µs: when an election last found no majority. Delays of changes count from this time at the earliest.
        self.none_at = 0

    def start(self) -> None:
        """Make the first voter the leader and start the heartbeats."""
        self.leader = self.voters[0]
        self.place[self.fleet.shared.table.version] = 0
        self.run_heartbeat()

    def publish(self, changes: tuple[Change, ...]) -> None:
        """Submit changes that are to be committed as one batch."""
        self.open.append((self.world.clockwork.now, changes))
        self.propose(1)

    def propose(self, count: int) -> None:
        """Propose the last `count` uncommitted submissions to the voters."""
        if self.leader is None:
            return
        world = self.world
        for _ in range(count):
            trips = sorted(
                world.rng.randint(*world.trip(self.leader, other))
                + world.rng.randint(*world.trip(self.leader, other))
                for other in self.connected_voters()
                if other is not self.leader
            )
            span = trips[VOTERS // 2 - 1] if len(trips) >= VOTERS // 2 else SECOND
            self.last_commit = max(world.clockwork.now + span, self.last_commit)
            world.after(self.leader, self.last_commit - world.clockwork.now, self.commit, self.term)

    def commit(self, term: int) -> None:
        """Commit the oldest uncommitted submission, unless the term is over."""
        if term != self.term or not self.open:
            return
        handed, changes = self.open.popleft()
        handed = max(handed, self.none_at)
        shared = self.fleet.shared
        batch = shared.apply(shared.table.version + self.world.rng.randint(1, 3), changes)
        self.committed.append(batch)
        self.place[batch.version] = len(self.committed)
        self.fleet.judge.on_published(batch, handed)
        self.send_heartbeats()

    def run_heartbeat(self) -> None:
        """Send heartbeats, and end the term if the leader has lost its majority."""
        self.world.clockwork.after(HEARTBEAT_US, self.run_heartbeat)
        self.send_heartbeats()
        connected = self.connected_voters()
        if self.leader is not None and (self.leader not in connected or len(connected) <= VOTERS // 2):
            self.end_term()

    def connected_voters(self) -> list[Site]:
        """Return the voters that can reach each other."""
        cut = self.world.cut
        return [each for each in self.voters if each.up and not each.paused and each.region not in cut]

    def send_heartbeats(self) -> None:
        """Send the number of committed batches from the leader to all voters."""
        leader, world = self.leader, self.world
        if leader is None or not leader.up or leader.paused:
            return
        now, count = world.clockwork.now, len(self.committed)
        self.receive_heartbeat(leader, count, now)
        for voter in self.voters:
            if voter is not leader and voter.up and not world.blocked(leader, voter):
                span = world.rng.randint(*world.trip(leader, voter))
                world.after(voter, span, self.receive_heartbeat, voter, count, now)

    def receive_heartbeat(self, voter: Site, count: int, sent: int) -> None:
        """Apply the committed batches up to `count` at a voter; the leader sent the message at `sent` µs."""
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

    def end_term(self) -> None:
        """End the term and schedule an election among the remaining voters."""
        self.leader = None
        self.term += 1
        self.world.clockwork.after(self.world.rng.randint(*ELECTION_US), self.elect_leader, self.term)

    def elect_leader(self, term: int) -> None:
        """Elect a leader and propose the uncommitted submissions; without a majority, try again later."""
        if term != self.term or self.leader is not None:
            return
        connected = self.connected_voters()
        if len(connected) <= VOTERS // 2:
            self.none_at = self.world.clockwork.now
            self.world.clockwork.after(self.world.rng.randint(*ELECTION_US), self.elect_leader, term)
            return
        self.leader = self.world.rng.choice(connected)
        self.last_commit = self.world.clockwork.now
        self.send_heartbeats()
        self.propose(len(self.open))
