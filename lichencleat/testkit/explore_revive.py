"""Two nodes, their grants, receipts and clocks through cuts and returns in all orders; the real decisions.

`python -m lichencleat.testkit.explore_revive` says how far all was tried, and that planted mistakes are
caught.
The log is one order, as voters make it (`explore_quorum.py` is about those); what goes to it and back may be
lost, late, or of an owner that is none any more.
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

POOL, LIMIT, FLOOR, TERM = "p", 3, 1, 1_000_000
TICK = TERM // 2  # µs: one step of time
KEY, BODY, WINDOW = b"k" * 17, b"b" * 16, 16_000_000  # µs: longer than any history
NAMES = ("a", "b")
TICKS, CUTS, OWNERS, ASKS, STALE = 5, 2, 1, 7, 1  # bounds of the setting
HOUR = 3_600_000_000  # µs by which the clock of node b is ahead after its first cut


@dataclass
class Node:
    """One process, or what it left: its calls below, its disk."""

    up: bool = False
    life: int = 0
    grants: QuotaGrant | None = None
    flying: QuotaReply | None = None  # an answer on its way
    out: tuple[int, ...] = ()  # ends of its calls, also of lives before
    mine: int = 0  # of them, of this life
    gate: ReadinessGate | None = None
    book: RecordIndex | None = None
    disk: IdempotencyRecord | None = None
    own: int = 0  # µs of its own time: it stands still while it is down
    begun: int = 0  # runs of its key


@dataclass
class World:
    """The setting at one moment."""

    jobs: LeaseState = field(default_factory=LeaseState)
    now: int = 0
    index: int = 0
    ticks: int = TICKS
    cuts: int = CUTS
    owners: int = OWNERS
    asks: int = ASKS
    stale_left: int = STALE
    nodes: dict[str, Node] = field(default_factory=lambda: {name: Node() for name in NAMES})
    dealer: Allocator | None = None
    stale: tuple[Any, ...] = ()  # proposals of an owner that was stopped before it sent them
    epoch_token: int = 0  # of the owner that began the epoch
    opened_by: dict[str, int] = field(default_factory=dict)  # node -> token that opened it
    wrong: str | None = None

    pools_kind = QuotaState
    fleet_kind = FleetState
    grants_kind = QuotaGrant
    book_kind = RecordIndex
    waits_for_proof = True
    only = None  # of what may happen, and then to node a alone: that reaches deeper

    def __post_init__(self) -> None:
        self.pools, self.fleet = self.pools_kind(self.jobs), self.fleet_kind(self.jobs)
        self.enter(self.jobs, RenewLease("o0", "", 1, True, {}))
        for job in (JOB, allocator_job(POOL)):
            self.enter(self.jobs, DefineJob(job))
        self.enter(self.pools, DefinePool(POOL, LIMIT, FLOOR, len(NAMES), TERM))
        self.dealer = Allocator(POOL, self.token(allocator_job(POOL)))
        self.epoch_token = self.token(JOB)
        for name in NAMES:
            self.wake(name)
        self.check()

    def token(self, job: str) -> int:
        return self.jobs.jobs[job].fencing_token

    def enter(self, part: Any, what: Any) -> Any:
        self.index += 1
        return part.apply(self.index, msgspec.Raw(msgspec.msgpack.encode(what)))

    # -- as the explorer wants it ----------------------------------------------------------------------

    def after(self, action: Any) -> World:
        twin = copy.deepcopy(self)
        getattr(twin, action[0])(*action[1:])
        twin.check()
        return twin

    def violation(self) -> str | None:
        return self.wrong

    def key(self) -> Hashable:
        """Places in the log only count by their order: histories that differ in nothing else are one."""
        seats = self.pools.pools[POOL].node_quotas
        places = {
            self.token(JOB),
            self.token(allocator_job(POOL)),
            self.epoch_token,
            self.pools.pools[POOL].fencing_token,
        }
        for seat in seats.values():
            places |= {seat.renewal_index, seat.previous_renewal_index}
        assert self.dealer is not None
        places |= {at for _, at in self.dealer.seen_at} | {
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
        dealer = tuple(sorted((name, rank[at], since) for (name, at), since in self.dealer.seen_at.items()))
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
            dealer,
            stale,
            nodes,
            doors,
            by,
            rank[self.token(JOB)],
            rank[self.dealer.fencing_token],
        )

    @staticmethod
    def node_key(node: Node) -> Hashable:
        grants, gate = node.grants, node.gate
        held = (
            (grants.amount, grants.valid_until, grants.requested_at, grants.request_number, grants.floor_from)
            if grants
            else None
        )
        word = (gate.epoch, gate.share, gate.group_answered, gate.clock_offset) if gate else None
        flying = (node.flying.amount, node.flying.rejection) if node.flying else None
        book = (node.book.is_loaded, tuple(node.book.rows.items())) if node.book else None
        return (
            node.up,
            node.life,
            held,
            flying,
            node.out,
            node.mine,
            word,
            book,
            node.disk,
            node.own,
            node.begun,
        )

    def check(self) -> None:
        usable = sum(
            each.grants.usable_calls(self.now) for each in self.nodes.values() if each.up and each.grants
        )
        out = sum(end > self.now for each in self.nodes.values() for end in each.out)
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

    # -- what may happen -------------------------------------------------------------------------------

    def actions(self) -> Iterable[Hashable]:
        for action in self.all_actions():
            if self.only is None or (action[0] in self.only and action[-1] != "b"):
                yield action

    def all_actions(self) -> Iterable[Any]:
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
            assert node.grants is not None and node.book is not None
            if self.cuts:
                yield ("cut", name)
            if node.flying is not None:
                yield ("hear", name)
                yield ("lose", name)
            elif self.asks and node.grants.requested_at is None:
                yield ("ask", name)
            if node.mine < node.grants.usable_calls(self.now):
                yield ("call", name)
            if not node.book.is_loaded:
                yield ("stand", name)
            if self.may_run(node):
                yield ("run", name)

    def tick(self) -> None:
        self.ticks -= 1
        self.now += TICK
        for node in self.nodes.values():
            ended = [end for end in node.out if end <= self.now]
            node.out = tuple(end for end in node.out if end > self.now)
            node.mine = max(0, node.mine - len(ended)) if node.up else 0
            node.own += TICK if node.up else 0

    def unix(self, node: Node) -> int:
        """Of node b, after its first cut, an hour ahead."""
        return self.now + (HOUR if node is self.nodes["b"] and node.life > 1 else 0)

    def time(self, node: Node) -> int:
        """By which it counts windows."""
        return node.own

    def owner(self) -> None:
        """Another one; what the old one had on its way may come yet. It finds the power lost: a new epoch."""
        self.owners -= 1
        for name, known in list(self.jobs.candidates.items()):
            self.enter(self.jobs, CandidateExpired(name, known.renewal_index))
        self.enter(self.jobs, RenewLease(f"o{self.index}", "", self.index, True, {}))
        self.dealer = Allocator(POOL, self.token(allocator_job(POOL)))
        if self.enter(self.fleet, NewEpoch(self.token(JOB), self.fleet.epoch)).accepted:
            self.epoch_token = self.token(JOB)
            for node in self.fleet.nodes.values():
                node.status, node.share = NodeStatus.SHUT, 0.0  # the power was lost by all

    def proposals(self) -> list[Any]:
        assert self.dealer is not None
        said: list[Any] = list(self.dealer.decide(self.now, copy.deepcopy(self.pools.pools[POOL])))
        shut = [name for name, each in self.fleet.nodes.items() if each.status == NodeStatus.SHUT]
        return said + (
            [RolloutBatch(self.token(JOB), dict.fromkeys(shut, 1.0), RolloutPlan(9.0))] if shut else []
        )

    def look(self) -> None:
        self.send(self.proposals())

    def stops_before_it_sends(self) -> None:
        self.stale_left -= 1
        self.stale = tuple(self.proposals())

    def sends_late(self) -> None:
        said, self.stale = self.stale, ()
        self.send(list(said))

    def send(self, said: list[Any]) -> None:
        for each in said:
            part = self.fleet if isinstance(each, RolloutBatch) else self.pools
            done = self.enter(part, each)
            if isinstance(each, RolloutBatch) and done.accepted:
                self.opened_by |= dict.fromkeys(each.shares, each.fencing_token)

    # -- nodes -----------------------------------------------------------------------------------------

    def wake(self, name: str) -> None:
        node = self.nodes[name]
        node.up, node.life, node.mine, node.flying = True, node.life + 1, 0, None
        node.grants = self.grants_kind(POOL, name, node.life, FLOOR, TERM, self.now)
        node.gate = ReadinessGate(name, "", node.life, False, 1, ClockCheck.PLAUSIBLE, self.now)
        node.gate.ready = True
        node.book = self.book_kind(10, 1 << 20)
        if node.life == 1:
            node.book.is_loaded = True
        self.report(node)

    def report(self, node: Node) -> None:
        assert node.gate is not None
        what = NodeReport(
            node.gate.node, "", node.life, False, node.gate.epoch, self.unix(node), True, True, 0.0
        )
        node.gate.report_sent_at = self.now
        node.gate.on_reply(self.now, self.enter(self.fleet, what))

    def cut(self, name: str) -> None:
        self.cuts -= 1
        node = self.nodes[name]
        node.up, node.mine, node.flying = False, 0, None

    def ask(self, name: str) -> None:
        self.asks -= 1
        node = self.nodes[name]
        assert node.grants is not None
        node.grants.next_request_at = self.now
        node.grants.note_demand(LIMIT)
        what = node.grants.next_request(self.now, node.mine)
        assert isinstance(what, QuotaRequest)
        node.flying = self.enter(self.pools, what)

    def hear(self, name: str) -> None:
        node = self.nodes[name]
        assert node.grants is not None and node.flying is not None
        told, node.flying = node.flying, None
        node.grants.on_reply(self.now, told)

    def lose(self, name: str) -> None:
        node = self.nodes[name]
        assert node.grants is not None
        node.flying = None
        node.grants.on_failure(self.now)

    def call(self, name: str) -> None:
        node = self.nodes[name]
        assert node.grants is not None
        node.out = tuple(sorted((*node.out, self.now + node.grants.max_call_duration(self.now))))
        node.mine += 1

    def stand(self, name: str) -> None:
        node = self.nodes[name]
        assert node.book is not None
        if node.disk is not None:
            node.book.restore(KEY, node.disk, self.time(node))
        node.book.is_loaded = True

    def may_run(self, node: Node) -> bool:
        assert node.book is not None
        if node.begun > 1 or (self.waits_for_proof and not node.book.is_loaded):
            return False
        return node.book.look_up(KEY, BODY, self.time(node)) is LookupResult.NEW

    def run(self, name: str) -> None:
        node = self.nodes[name]
        assert node.book is not None
        now = self.time(node)
        node.disk = IdempotencyRecord(
            RecordState.OPEN, "save", now, now + WINDOW, now + WINDOW, b"%d" % node.life, BODY
        )
        node.book.put(KEY, node.disk)
        node.begun += 1


# -- mistakes that must be caught ------------------------------------------------------------------


class NoGhostPools(QuotaState):
    """Honours an earlier life's grant no more, though its calls go on."""

    def renew(self, index: int, request: QuotaRequest) -> QuotaReply:
        told = super().renew(index, request)
        self.pools[request.pool].node_quotas[request.node].reserved_until_expiry = 0
        return told


class AnyOwnerJobs(FleetState):
    """Takes any owner's plan."""

    def apply(self, index: int, command: msgspec.Raw) -> Any:
        known = self.jobs.is_current_token
        self.jobs.is_current_token = lambda job, token: True  # type: ignore[method-assign]
        try:
            return super().apply(index, command)
        finally:
            self.jobs.is_current_token = known  # type: ignore[method-assign]


class FloorAtOnce(QuotaGrant):
    """Counts on its floor from its first moment."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.floor_from = 0


class GrantsOfOne(World):
    """One node's grants and calls through its cuts, and nothing else: to a depth that a whole life has."""

    only = frozenset(["cut", "wake", "ask", "hear", "look", "call", "tick"])


class OldGrant(GrantsOfOne):
    only = GrantsOfOne.only - {"tick"}
    pools_kind = NoGhostPools


class OldPlan(World):
    fleet_kind = AnyOwnerJobs


class EarlyFloor(World):
    grants_kind = FloorAtOnce


class BeforeProof(World):
    waits_for_proof = False


class WrongClock(World):
    """Counts windows by the clock that it finds."""

    def time(self, node: Node) -> int:
        return self.unix(node)


MISTAKES = [OldGrant, OldPlan, EarlyFloor, BeforeProof, WrongClock]


def warm(kind: type[World]) -> World:
    """Begins with node a at all that it may have, and its calls below."""
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
    """From a start with calls out, and from one with nothing: the first violation, or the last search."""
    found = explore(warm(kind), depth, most)
    return found if found.violation is not None else explore(kind(), depth, most)


@click.command()
@click.option("--depth", default=8, show_default=True)
@click.option("--most", default=100_000, show_default=True, help="States, from each start.")
def main(depth: int, most: int) -> None:
    """Tries everything to that depth, and that each planted mistake is caught."""
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
