"""Model checking of recovery after power cuts: two nodes with quota grants, idempotency records and clocks.

All orders of power cuts, restarts, requests and changes of the lease holder are tried, with the real logic.
`python -m lichencleat.testkit.explore_revive` prints the depth that was reached and the bugs that were found.

The consensus log is modelled as a single sequence of commands; `explore_quorum.py` checks consensus itself.
Requests and replies may be lost or late, and commands may come from an owner that has lost its lease. An
owner is the holder of the leases for recovery and for quota allocation.
"""

from __future__ import annotations

import copy
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from typing import Any

import click
import msgspec

from lichencleat.idempotency.index import LookupResult, RecordIndex
from lichencleat.idempotency.records import IdempotencyRecord, RecordState
from lichencleat.leases.lease_state import LeaseState
from lichencleat.leases.messages import CandidateExpired, DefineJob, RenewLease
from lichencleat.quotas.allocator import Allocator
from lichencleat.quotas.messages import DefinePool, QuotaReply, QuotaRequest, allocator_job
from lichencleat.quotas.quota_grant import QuotaGrant
from lichencleat.quotas.quota_state import QuotaState, reserved_calls
from lichencleat.recovery.boot_record import ClockCheck
from lichencleat.recovery.messages import JOB, NewEpoch, NodeReport, NodeStatus, RolloutBatch, RolloutPlan
from lichencleat.recovery.readiness_gate import ReadinessGate
from lichencleat.recovery.state import FleetState
from lichencleat.testkit.explore import Explored, explore
from lichencleat.testkit.explore_keyed import index_state

POOL, LIMIT, FLOOR, TERM = "p", 3, 1, 1_000_000  # quota pool: limit and floor in calls, grant term in µs
TICK = TERM // 2  # µs by which the action "tick" advances the clock
KEY, BODY, WINDOW = b"k" * 17, b"b" * 16, 16_000_000  # WINDOW in µs: longer than any history
NAMES = ("a", "b")
# Limits of one history: ticks, power cuts, owner changes, quota requests, and late sends by a former owner.
TICKS, CUTS, OWNERS, ASKS, STALE = 5, 2, 1, 7, 1
HOUR = 3_600_000_000  # µs: error of the clock of node b, which runs ahead after its first power cut


@dataclass
class Node:
    """A node: its process while it is up, and its disk and open calls, which survive the process."""

    up: bool = False
    life: int = 0
    grants: QuotaGrant | None = None
    reply: QuotaReply | None = None  # quota reply in flight
    # µs: latest end of each open call, including the calls of earlier processes.
    open_calls: tuple[int, ...] = ()
    own_calls: int = 0  # number of open calls that the current process began
    gate: ReadinessGate | None = None
    records: RecordIndex | None = None
    disk: IdempotencyRecord | None = None
    own: int = 0  # µs on the node's own clock, which stops while the node is down
    begun: int = 0  # runs of the key on this node


@dataclass
class World:
    """State of the setting."""

    jobs: LeaseState = field(default_factory=LeaseState)
    now: int = 0
    index: int = 0
    ticks: int = TICKS
    cuts: int = CUTS
    owners: int = OWNERS
    asks: int = ASKS
    stale_left: int = STALE
    nodes: dict[str, Node] = field(default_factory=lambda: {name: Node() for name in NAMES})
    allocator: Allocator | None = None
    stale: tuple[Any, ...] = ()  # proposals of an owner that was paused before it sent them
    epoch_token: int = 0  # fencing token of the owner that began the epoch
    opened_by: dict[str, int] = field(
        default_factory=dict
    )  # node -> fencing token of the owner that opened the node
    wrong: str | None = None

    pools_kind = QuotaState
    fleet_kind = FleetState
    grants_kind = QuotaGrant
    records_kind = RecordIndex
    waits_for_proof = True
    only = None  # actions to explore, on node a alone, for a deeper search; None: all actions on both nodes

    def __post_init__(self) -> None:
        self.pools, self.fleet = self.pools_kind(self.jobs), self.fleet_kind(self.jobs)
        self.enter(self.jobs, RenewLease("o0", "", 1, True, {}))
        for job in (JOB, allocator_job(POOL)):
            self.enter(self.jobs, DefineJob(job))
        self.enter(self.pools, DefinePool(POOL, LIMIT, FLOOR, len(NAMES), TERM))
        self.allocator = Allocator(POOL, self.token(allocator_job(POOL)))
        self.epoch_token = self.token(JOB)
        for name in NAMES:
            self.wake(name)
        self.check()

    def token(self, job: str) -> int:
        """Return the current fencing token of the job."""
        return self.jobs.jobs[job].fencing_token

    def enter(self, part: Any, what: Any) -> Any:
        """Apply a command at the next log index to one part of the replicated state; return the answer."""
        self.index += 1
        return part.apply(self.index, msgspec.Raw(msgspec.msgpack.encode(what)))

    # -- methods of explore.World --------------------------------------------------------------------

    def after(self, action: Any) -> World:
        """Return the state that follows the action; this state stays unchanged."""
        twin = copy.deepcopy(self)
        getattr(twin, action[0])(*action[1:])
        twin.check()
        return twin

    def violation(self) -> str | None:
        """Return the description of the violated rule, or None."""
        return self.wrong

    def key(self) -> Hashable:
        """Return a key; states with equal keys have the same possible futures.

        Log indexes are replaced by their rank, because only their order matters.
        """
        seats = self.pools.pools[POOL].node_quotas
        places = {
            self.token(JOB),
            self.token(allocator_job(POOL)),
            self.epoch_token,
            self.pools.pools[POOL].fencing_token,
        }
        for seat in seats.values():
            places |= {seat.renewal_index, seat.previous_renewal_index}
        assert self.allocator is not None
        places |= {at for _, at in self.allocator.seen_at} | {
            getattr(each, "renewal_index", 0) for each in self.stale
        }
        places |= {each.fencing_token for each in self.stale} | set(self.opened_by.values())
        rank = {place: at for at, place in enumerate(sorted(places))}
        table = tuple(
            (
                name,
                each.incarnation,
                each.request_number,
                each.reserved,
                each.target,
                rank[each.renewal_index],
                each.reserved_until_expiry,
                rank[each.previous_renewal_index],
            )
            for name, each in sorted(seats.items())
        )
        allocator_key = tuple(
            sorted((name, rank[at], since) for (name, at), since in self.allocator.seen_at.items())
        )
        stale = tuple(
            (type(each).__name__, rank[each.fencing_token], rank.get(getattr(each, "renewal_index", -1)))
            for each in self.stale
        )
        nodes = tuple(self.node_key(self.nodes[name]) for name in NAMES)
        doors = tuple(
            (name, each.incarnation, each.status, each.share)
            for name, each in sorted(self.fleet.nodes.items())
        )
        left = (self.now, self.ticks, self.cuts, self.owners, self.asks, self.stale_left, self.fleet.epoch)
        by = tuple((name, rank[at]) for name, at in sorted(self.opened_by.items()))
        return (
            left,
            table,
            allocator_key,
            stale,
            nodes,
            doors,
            by,
            rank[self.token(JOB)],
            rank[self.allocator.fencing_token],
        )

    @staticmethod
    def node_key(node: Node) -> Hashable:
        """Return the part of the key that describes one node."""
        grants, gate = node.grants, node.gate
        held = (
            (grants.amount, grants.valid_until, grants.requested_at, grants.request_number, grants.floor_from)
            if grants
            else None
        )
        word = (gate.epoch, gate.share, gate.group_answered, gate.clock_offset) if gate else None
        reply = (node.reply.amount, node.reply.rejection) if node.reply else None
        records = (node.records.is_loaded, index_state(node.records)) if node.records else None
        return (
            node.up,
            node.life,
            held,
            reply,
            node.open_calls,
            node.own_calls,
            word,
            records,
            node.disk,
            node.own,
            node.begun,
        )

    def check(self) -> None:
        """Check that the quota holds, a key runs once, and no owner of an earlier epoch opened a node."""
        usable = sum(
            each.grants.usable_calls(self.now) for each in self.nodes.values() if each.up and each.grants
        )
        out = sum(end > self.now for each in self.nodes.values() for end in each.open_calls)
        if usable > LIMIT:
            self.wrong = f"{usable} usable of {LIMIT}"
        elif out > LIMIT:
            self.wrong = f"{out} in hand below of {LIMIT}"
        elif reserved_calls(self.pools.pools[POOL]) > LIMIT:
            self.wrong = f"{reserved_calls(self.pools.pools[POOL])} reserved of {LIMIT}"
        elif any(each.begun > 1 for each in self.nodes.values()):
            self.wrong = "a key ran twice on its node"
        for name, each in self.fleet.nodes.items():
            if each.status == NodeStatus.OPEN and self.opened_by.get(name, 0) < self.epoch_token:
                self.wrong = f"{name} is open by the word of an owner from before the epoch"

    # -- actions -------------------------------------------------------------------------------

    def actions(self) -> Iterable[Hashable]:
        """Yield the actions to explore in this state, in a fixed order."""
        for action in self.all_actions():
            if self.only is None or (action[0] in self.only and action[-1] != "b"):
                yield action

    def all_actions(self) -> Iterable[Any]:
        """Yield all actions that are possible in this state, in a fixed order."""
        if self.ticks:
            yield ("tick",)
        if self.owners:
            yield ("owner",)
        yield ("look",)
        if self.stale_left:
            yield ("stops_before_it_sends",)
        if self.stale:
            yield ("sends_late",)
        for name in NAMES:
            node = self.nodes[name]
            if not node.up:
                yield ("wake", name)
                continue
            assert node.grants is not None and node.records is not None
            if self.cuts:
                yield ("cut", name)
            if node.reply is not None:
                yield ("hear", name)
                yield ("lose", name)
            elif self.asks and node.grants.requested_at is None:
                yield ("ask", name)
            if node.own_calls < node.grants.usable_calls(self.now):
                yield ("call", name)
            if not node.records.is_loaded:
                yield ("stand", name)
            if self.may_run(node):
                yield ("run", name)

    def tick(self) -> None:
        """Advance the clock by TICK and end the calls that are due."""
        self.ticks -= 1
        self.now += TICK
        for node in self.nodes.values():
            ended = [end for end in node.open_calls if end <= self.now]
            node.open_calls = tuple(end for end in node.open_calls if end > self.now)
            node.own_calls = max(0, node.own_calls - len(ended)) if node.up else 0
            node.own += TICK if node.up else 0

    def unix(self, node: Node) -> int:
        """Return the node's Unix time in µs; node b is an hour ahead after its first power cut."""
        return self.now + (HOUR if node is self.nodes["b"] and node.life > 1 else 0)

    def time(self, node: Node) -> int:
        """Return the time in µs by which the node measures idempotency windows."""
        return node.own

    def owner(self) -> None:
        """A new owner takes the leases and begins a new epoch, because all nodes have lost power.

        Proposals of the former owner may still arrive.
        """
        self.owners -= 1
        for name, known in list(self.jobs.candidates.items()):
            self.enter(self.jobs, CandidateExpired(name, known.renewal_index))
        self.enter(self.jobs, RenewLease(f"o{self.index}", "", self.index, True, {}))
        self.allocator = Allocator(POOL, self.token(allocator_job(POOL)))
        if self.enter(self.fleet, NewEpoch(self.token(JOB), self.fleet.epoch)).accepted:
            self.epoch_token = self.token(JOB)
            for node in self.fleet.nodes.values():
                node.status, node.share = NodeStatus.SHUT, 0.0  # all nodes have lost power

    def proposals(self) -> list[Any]:
        """Return the proposals of the owner: quota changes, and a batch that opens all shut nodes."""
        assert self.allocator is not None
        said: list[Any] = list(self.allocator.decide(self.now, copy.deepcopy(self.pools.pools[POOL])))
        shut = [name for name, each in self.fleet.nodes.items() if each.status == NodeStatus.SHUT]
        return said + (
            [RolloutBatch(self.token(JOB), dict.fromkeys(shut, 1.0), RolloutPlan(9.0))] if shut else []
        )

    def look(self) -> None:
        """The owner reads the state and sends its proposals."""
        self.send(self.proposals())

    def stops_before_it_sends(self) -> None:
        """The owner decides on its proposals and pauses before it sends them."""
        self.stale_left -= 1
        self.stale = tuple(self.proposals())

    def sends_late(self) -> None:
        """The paused owner sends its proposals, possibly after it has lost its lease."""
        said, self.stale = self.stale, ()
        self.send(list(said))

    def send(self, said: list[Any]) -> None:
        """Apply the proposals and note which fencing token opened each node."""
        for each in said:
            part = self.fleet if isinstance(each, RolloutBatch) else self.pools
            done = self.enter(part, each)
            if isinstance(each, RolloutBatch) and done.accepted:
                self.opened_by |= dict.fromkeys(each.shares, each.fencing_token)

    # -- nodes ---------------------------------------------------------------------------------------

    def wake(self, name: str) -> None:
        """Start the node and report it to the fleet state."""
        node = self.nodes[name]
        node.up, node.life, node.own_calls, node.reply = True, node.life + 1, 0, None
        node.grants = self.grants_kind(POOL, name, node.life, FLOOR, TERM, self.now)
        node.gate = ReadinessGate(name, "", node.life, False, 1, ClockCheck.PLAUSIBLE, self.now)
        node.gate.ready = True
        node.records = self.records_kind(10, 1 << 20)
        if node.life == 1:
            node.records.is_loaded = True
        self.report(node)

    def report(self, node: Node) -> None:
        """Send the report of the node to the fleet state and handle the reply."""
        assert node.gate is not None
        what = NodeReport(
            node.gate.node, "", node.life, False, node.gate.epoch, self.unix(node), True, True, 0.0
        )
        node.gate.report_sent_at = self.now
        node.gate.on_reply(self.now, self.enter(self.fleet, what))

    def cut(self, name: str) -> None:
        """The node loses power; its calls continue."""
        self.cuts -= 1
        node = self.nodes[name]
        node.up, node.own_calls, node.reply = False, 0, None

    def ask(self, name: str) -> None:
        """The node requests quota; the reply is in flight afterwards."""
        self.asks -= 1
        node = self.nodes[name]
        assert node.grants is not None
        node.grants.next_request_at = self.now
        node.grants.note_demand(LIMIT)
        what = node.grants.next_request(self.now, node.own_calls)
        assert isinstance(what, QuotaRequest)
        node.reply = self.enter(self.pools, what)

    def hear(self, name: str) -> None:
        """The quota reply in flight arrives."""
        node = self.nodes[name]
        assert node.grants is not None and node.reply is not None
        told, node.reply = node.reply, None
        node.grants.on_reply(self.now, told)

    def lose(self, name: str) -> None:
        """The quota reply in flight is lost."""
        node = self.nodes[name]
        assert node.grants is not None
        node.reply = None
        node.grants.on_failure(self.now)

    def call(self, name: str) -> None:
        """The node begins a call under its quota."""
        node = self.nodes[name]
        assert node.grants is not None
        node.open_calls = tuple(
            sorted((*node.open_calls, self.now + node.grants.max_call_duration(self.now)))
        )
        node.own_calls += 1

    def stand(self, name: str) -> None:
        """The node loads its idempotency records from disk."""
        node = self.nodes[name]
        assert node.records is not None
        if node.disk is not None:
            node.records.restore(KEY, node.disk, self.time(node))
        node.records.is_loaded = True

    def may_run(self, node: Node) -> bool:
        """Return whether the node would begin a run of the key."""
        assert node.records is not None
        if node.begun > 1 or (self.waits_for_proof and not node.records.is_loaded):
            return False
        return node.records.look_up(KEY, BODY, self.time(node)) is LookupResult.NEW

    def run(self, name: str) -> None:
        """The node records the key and begins a run."""
        node = self.nodes[name]
        assert node.records is not None
        now = self.time(node)
        node.disk = IdempotencyRecord(
            RecordState.OPEN, "save", now, now + WINDOW, now + WINDOW, b"%d" % node.life, BODY
        )
        node.records.put(KEY, node.disk)
        node.begun += 1


# -- injected bugs, which must be found --------------------------------------------------------------


class ReleasesEarlierGrants(QuotaState):
    """Injected bug: releases the grant of an earlier process although its calls continue."""

    def renew(self, index: int, request: QuotaRequest) -> QuotaReply:
        told = super().renew(index, request)
        self.pools[request.pool].node_quotas[request.node].reserved_until_expiry = 0
        return told


class AcceptsAnyOwner(FleetState):
    """Injected bug: accepts plans from any owner, whatever its fencing token."""

    def apply(self, index: int, command: msgspec.Raw) -> Any:
        known = self.jobs.is_current_token
        self.jobs.is_current_token = lambda job, token: True  # type: ignore[method-assign]
        try:
            return super().apply(index, command)
        finally:
            self.jobs.is_current_token = known  # type: ignore[method-assign]


class FloorAtOnce(QuotaGrant):
    """Injected bug: uses the floor of the quota from the start of the process."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.floor_from = 0


class GrantsOfOne(World):
    """Only the grants and calls of one node through power cuts, which allows a deeper search."""

    only = frozenset(["cut", "wake", "ask", "hear", "look", "call", "tick"])


class OldGrant(GrantsOfOne):
    """Setting with the bug of ReleasesEarlierGrants."""

    only = GrantsOfOne.only - {"tick"}
    pools_kind = ReleasesEarlierGrants


class OldPlan(World):
    """Setting with the bug of AcceptsAnyOwner."""

    fleet_kind = AcceptsAnyOwner


class EarlyFloor(World):
    """Setting with the bug of FloorAtOnce."""

    grants_kind = FloorAtOnce


class BeforeProof(World):
    """Injected bug: runs the key before the idempotency records are loaded."""

    waits_for_proof = False


class WrongClock(World):
    """Injected bug: measures idempotency windows by the Unix clock, which may be wrong."""

    def time(self, node: Node) -> int:
        return self.unix(node)


MISTAKES = [OldGrant, OldPlan, EarlyFloor, BeforeProof, WrongClock]


def warm(kind: type[World]) -> World:
    """Return a start state in which node a holds its largest grant and uses all of it for open calls."""
    world = kind()
    for name in ("a", "b", "a"):
        world.look()
        world.ask(name)
        world.hear(name)
    for _ in range(world.nodes["a"].grants.usable_calls(0)):  # type: ignore[union-attr]
        world.call("a")
    world.asks = ASKS
    world.check()
    return world


def play(kind: type[World], depth: int, most: int = 100_000) -> Explored:
    """Explore from a start with open calls and then from an empty start.

    Returns the search that found a violation, or else the second search.
    """
    found = explore(warm(kind), depth, most)
    return found if found.violation is not None else explore(kind(), depth, most)


@click.command()
@click.option("--depth", default=8, show_default=True)
@click.option("--most", default=100_000, show_default=True, help="Maximum number of states from each start.")
def main(depth: int, most: int) -> None:
    """Check the implementation in all event orders, and check that each injected bug is found."""
    failed = False
    for right, steps in ((World, depth), (GrantsOfOne, 2 * depth)):
        found = play(right, steps, most)
        click.echo(f"{right.__name__}: {found}" + (f"\n  {found.history}" if found.violation else ""))
        failed = failed or found.violation is not None
    for kind in MISTAKES:
        caught = play(kind, 2 * depth, most)
        failed = failed or caught.violation is None
        said = f"{len(caught.history)} steps, {caught.states} states"
        click.echo(f"  {kind.__name__}: {caught.violation or 'NOT CAUGHT'}, {said}")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()
