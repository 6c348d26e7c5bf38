"""Nodes that share a dependency, through drawn faults in simulated time:
`python -m lichencleat.testkit.simulation.shares`.

The log is one order with losses, and with tries that are applied long after their caller gave them up.
Owners change, and old ones go on dealing. Judged at every step: what all nodes believe they may have in
hand, and what the dependency has in hand, against the limit.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import click
import msgspec

from lichencleat.leases.lease_state import LeaseState
from lichencleat.leases.messages import CandidateExpired, DefineJob, RenewLease
from lichencleat.quotas.allocator import POLL_INTERVAL_TERMS, Allocator
from lichencleat.quotas.messages import (
    Allocate,
    CommandReply,
    DefinePool,
    GrantExpired,
    Pool,
    QuotaReply,
    QuotaRequest,
    allocator_job,
)
from lichencleat.quotas.quota_grant import QuotaGrant
from lichencleat.quotas.quota_state import QuotaState, reserved_calls
from lichencleat.testkit.simulation.clockwork import Clockwork, DriftingClock
from lichencleat.testkit.simulation.many import many

POOL, TERM = "p", 1_000_000  # µs: short, so that a run sees many
TROUBLE, CALM = 15_000_000, 8_000_000  # µs with faults, and after them
COMMIT = (500, 30_000)  # µs from a proposal to its entry, and from there to the answer
STEADY, WILD = 0.045, 0.6  # how far a clock's rate may be off: within the stated drift, and far beyond it
CALL = (5_000, 400_000)  # µs that the dependency takes, but for a few that would take for ever
FILLED = 0.6  # of what can be given, in calm, while every node wants more


@dataclass(frozen=True, slots=True)
class Kinds:
    """The modules under test, or ones with a mistake planted."""

    pools: type[QuotaState] = QuotaState
    grants: type[QuotaGrant] = QuotaGrant
    dealer: type[Allocator] = Allocator


class LogModel:
    def __init__(self, world: SharesWorld, rng: random.Random) -> None:
        self.clockwork, self.rng = world.clockwork, rng
        self.jobs = LeaseState()
        self.pools = world.kinds.pools(self.jobs)
        self.index = 0
        self.loss, self.late, self.down = 0.02, 0.03, False

    def propose(self, what: Any, answer: Callable[[Any], None] = lambda told: None) -> None:
        if self.down or self.rng.random() < self.loss:
            return
        span = self.rng.randint(*COMMIT)
        if self.rng.random() < self.late:
            span += self.rng.randrange(3 * TERM)  # a try that its caller has given up long ago
        self.clockwork.after(span, self.enter, what, answer)

    def enter(self, what: Any, answer: Callable[[Any], None]) -> None:
        self.index += 1
        told = self.pools.apply(self.index, msgspec.Raw(msgspec.msgpack.encode(what)))
        if self.rng.random() >= self.loss:
            self.clockwork.after(self.rng.randint(*COMMIT), answer, told)

    def own(self, what: Any) -> None:
        self.index += 1
        self.jobs.apply(self.index, msgspec.Raw(msgspec.msgpack.encode(what)))


class SimNode:
    """A node that calls as much as it may, and wants more at times."""

    def __init__(self, world: SharesWorld, name: str, rng: random.Random) -> None:
        self.world, self.name, self.rng = world, name, rng
        self.clock = DriftingClock(world.clockwork, rng.randrange(1 << 40), world.rate())
        self.life = 0
        self.up = self.cut = self.stopped = False
        self.wants = 0
        self.missed: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.start()

    def start(self) -> None:
        self.life += 1
        self.up, self.stopped, self.missed = True, False, []
        world = self.world
        life = self.rng.getrandbits(40)
        self.grants = world.kinds.grants(POOL, self.name, life, world.floor, TERM, self.clock())
        self.out: set[int] = set()
        self.asked = 0
        self.later(0, self.step)
        self.later(0, self.work)

    def later(self, span: int, call: Callable[..., None], *args: Any) -> None:
        self.world.clockwork.after(span, self.alive, self.life, call, args)

    def alive(self, life: int, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        if self.up and life == self.life:
            if self.stopped:
                self.missed.append((call, args))
            else:
                call(*args)

    def go_on(self) -> None:
        if self.up and self.stopped:
            self.stopped = False
            missed, self.missed = self.missed, []
            for call, args in missed:
                call(*args)

    def step(self) -> None:
        now = self.clock()
        self.grants.note_demand(max(self.wants, len(self.out)))
        ask = self.grants.next_request(now, len(self.out))
        if ask is not None:
            self.asked += 1
            mark, life = self.asked, self.life

            def back(told: QuotaReply) -> None:
                if not self.cut:
                    self.alive(life, self.answered, (mark, told))

            if not self.cut:
                self.world.log.propose(ask, back)
            self.later(self.clock.until(now + self.grants.reply_timeout()), self.silent, mark)
        self.later(self.rng.randint(5_000, 40_000), self.step)

    def answered(self, mark: int, told: QuotaReply) -> None:
        if mark == self.asked and self.grants.requested_at is not None:
            self.grants.on_reply(self.clock(), told)
        self.world.look()

    def silent(self, mark: int) -> None:
        if mark == self.asked and self.grants.requested_at is not None:
            self.grants.on_failure(self.clock())

    def work(self) -> None:
        """Lets out what it may; each call ends at its own time, or at the one that it was told."""
        now = self.clock()
        while len(self.out) < min(self.wants, self.grants.usable_calls(now)):
            span = self.clock.until(now + self.grants.max_call_duration(now))
            takes = self.rng.randint(*CALL) if self.rng.random() < 0.9 else 60_000_000
            number = self.world.calls
            self.world.calls += 1
            self.out.add(number)
            self.world.out.add(number)
            self.world.clockwork.after(min(span, takes), self.ends, number, self.life)
        self.world.look()
        self.later(self.rng.randint(2_000, 30_000), self.work)

    def ends(self, number: int, life: int) -> None:
        self.world.out.discard(number)
        self.alive(life, self.out.discard, (number,))


class SimDealer:
    """An owner under one token; it may go on long after the job was given away."""

    def __init__(self, world: SharesWorld, token: int) -> None:
        self.world, self.token = world, token
        self.dealer = world.kinds.dealer(POOL, token)
        self.clock = DriftingClock(world.clockwork, world.rng.randrange(1 << 40), world.rate())
        self.on = True
        self.look()

    def look(self) -> None:
        if not self.on:
            return
        clockwork, rng = self.world.clockwork, self.world.rng
        clockwork.after(round(TERM * POLL_INTERVAL_TERMS), self.look)
        if self.world.log.down:
            return
        seen = msgspec.convert(msgspec.to_builtins(self.world.log.pools.pools[POOL]), type(self.world.pool))
        clockwork.after(rng.randint(*COMMIT), self.sees, seen)

    def sees(self, pool: Any) -> None:
        for each in self.dealer.decide(self.clock(), pool):
            self.world.log.propose(each)


class SharesWorld:
    def __init__(self, seed: int, kinds: Kinds, wild: bool) -> None:
        self.rng = rng = random.Random(f"shares {seed}")
        self.kinds, self.wild = kinds, wild
        self.clockwork = Clockwork()
        self.wrong: str | None = None
        self.calls = 0
        self.out: set[int] = set()  # at the dependency
        self.most = 0
        self.log = LogModel(self, random.Random(rng.randrange(1 << 60)))
        count = rng.randint(2, 6)
        self.floor = rng.randint(0, 2)
        seats = count + rng.randint(0, 1)
        self.limit = rng.randint(self.floor * seats + 1, 40 + self.floor * seats)
        self.log.pools.apply(
            0, msgspec.Raw(msgspec.msgpack.encode(DefinePool(POOL, self.limit, self.floor, seats, TERM)))
        )
        self.pool = self.log.pools.pools[POOL]
        self.log.own(DefineJob(allocator_job(POOL)))
        self.owners = 0
        self.dealers: list[SimDealer] = []
        self.new_owner()
        self.nodes = [
            SimNode(self, f"n{number}", random.Random(rng.randrange(1 << 60))) for number in range(count)
        ]

    def rate(self) -> float:
        span = WILD if self.wild else STEADY
        return 1 + self.rng.uniform(-span, span)

    def new_owner(self) -> None:
        """The old one hears of it late, if at all."""
        for name, each in list(self.log.jobs.candidates.items()):
            self.log.own(CandidateExpired(name, each.renewal_index))
        self.owners += 1
        self.log.own(RenewLease(f"d{self.owners}", "", self.owners, True, {}))
        for old in self.dealers:
            self.clockwork.after(self.rng.randrange(4 * TERM), setattr, old, "on", False)
        token = self.log.jobs.jobs[allocator_job(POOL)].fencing_token
        self.clockwork.after(self.rng.randrange(TERM), lambda: self.dealers.append(SimDealer(self, token)))

    def look(self) -> None:
        if self.wrong is not None:
            return
        usable = sum(each.grants.usable_calls(each.clock()) for each in self.nodes if each.up)
        self.most = max(self.most, len(self.out))
        if usable > self.limit and not self.wild:
            self.wrong = f"{usable} believed usable of {self.limit} at {self.clockwork.now}"
        elif len(self.out) > self.limit and not self.wild:
            self.wrong = f"{len(self.out)} in hand below of {self.limit} at {self.clockwork.now}"
        elif reserved_calls(self.pool) > self.limit:
            self.wrong = f"{reserved_calls(self.pool)} reserved of {self.limit} at {self.clockwork.now}"

    def fault(self) -> None:
        rng, after = self.rng, self.clockwork.after
        who = rng.choice(self.nodes)
        span = rng.randint(10_000, 4_000_000)
        kind = rng.choice(
            [
                "stop",
                "stop",
                "cut",
                "cut",
                "kill",
                "kill",
                "rate",
                "owner",
                "owner",
                "down",
                "loss",
                "need",
                "need",
            ]
        )
        if kind == "stop" and not who.stopped:
            who.stopped = who.up
            after(span, who.go_on)
        elif kind == "cut":
            who.cut = True
            after(span, lambda: setattr(who, "cut", False))
        elif kind == "kill" and who.up:
            who.up = False  # its calls go on below: nobody there has noticed
            after(rng.randint(1_000, 2_000_000), lambda: who.up or who.start())
        elif kind == "rate":
            who.clock.runs(self.rate())
        elif kind == "owner":
            self.new_owner()
        elif kind == "down":
            self.log.down = True
            after(min(span, 2_500_000), lambda: setattr(self.log, "down", False))
        elif kind == "loss":
            self.log.loss = rng.uniform(0, 0.5)
            after(span, lambda: setattr(self.log, "loss", 0.02))
        elif kind == "need":
            who.wants = rng.choice([0, 1, 3, 50])


@dataclass(slots=True)
class Ran:
    seed: int
    wrong: str | None = None
    calls: int = 0
    full: float = 0.0  # the most that was in hand below, of the limit


def run(seed: int, kinds: Kinds | None = None, wild: bool = False) -> Ran:
    world = SharesWorld(seed, kinds or Kinds(), wild)
    for each in world.nodes:
        each.wants = world.rng.choice([0, 2, 50])
    for _ in range(world.rng.randint(2, 25)):
        world.clockwork.after(world.rng.randrange(TROUBLE), world.fault)
    world.clockwork.run(TROUBLE + 4_000_000, lambda: world.wrong is not None)
    world.log.loss = world.log.late = 0.0
    for each in world.nodes:
        each.cut, each.wants = False, 50
        each.go_on()
        each.clock.runs(1.0)
        if not each.up:
            each.start()
    world.new_owner()
    world.clockwork.run(world.clockwork.now + CALM, lambda: world.wrong is not None)
    usable = [each.grants.usable_calls(each.clock()) for each in world.nodes]
    if world.wrong is None and not wild:
        could = world.limit - world.floor * (world.pool.max_nodes - len(world.nodes))
        if sum(usable) < FILLED * could:
            world.wrong = f"only {sum(usable)} of {could} given in calm: {usable}"
        elif max(usable) - min(usable) > 1:
            world.wrong = f"all want the same, and have {usable}"
    return Ran(seed, world.wrong, world.calls, world.most / world.limit)


# -- mistakes that must be caught ------------------------------------------------------------------


class FromTheAnswer(QuotaGrant):
    """Counts its grant from the answer, not from before it asked."""

    def on_reply(self, now: int, reply: QuotaReply) -> None:
        self.requested_at = now
        super().on_reply(now, reply)


class NoEnd(QuotaGrant):
    """Lets calls out that outlast its grant."""

    def max_call_duration(self, now: int) -> int:
        return 20 * TERM


class FloorAtOnce(QuotaGrant):
    """Counts on its floor from its first moment."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.floor_from = 0


class SaysLess(QuotaGrant):
    """Tells what it may have, not what it has."""

    def next_request(self, now: int, in_flight: int) -> QuotaRequest | None:
        return super().next_request(now, 0)


class Hasty(Allocator):
    """Does not wait for a term's end."""

    def __init__(self, pool: str, fencing_token: int) -> None:
        super().__init__(pool, fencing_token, drift=-0.4)


class NoTurns(QuotaState):
    """Takes an older renewal after a newer one."""

    def renew(self, index: int, request: QuotaRequest) -> QuotaReply:
        seat = self.pools[request.pool].node_quotas.get(request.node)
        if seat is not None and seat.incarnation == request.incarnation:
            seat.request_number = min(seat.request_number, request.request_number - 1)
        return super().renew(index, request)


class NoGhost(QuotaState):
    """Forgets what an earlier life held."""

    def renew(self, index: int, request: QuotaRequest) -> QuotaReply:
        told = super().renew(index, request)
        self.pools[request.pool].node_quotas[request.node].reserved_until_expiry = 0
        return told


class AtOnce(QuotaState):
    """Frees what the owner takes back before its holder has said so."""

    def allocate(self, command: Allocate, pool: Pool) -> CommandReply:
        told = super().allocate(command, pool)
        for each in pool.node_quotas.values():
            each.reserved = min(each.reserved, max(each.target, pool.floor))
        return told


class AnyRenewal(QuotaState):
    """Believes that a term is over, whichever renewal was meant."""

    def expire_grant(self, command: GrantExpired, pool: Pool) -> CommandReply:
        quota = pool.node_quotas[command.node]
        newest = GrantExpired(command.pool, command.fencing_token, command.node, quota.renewal_index)
        return super().expire_grant(newest, pool)


VARIANTS = {
    "none": Kinds(),
    "FromTheAnswer": Kinds(grants=FromTheAnswer),
    "NoEnd": Kinds(grants=NoEnd),
    "FloorAtOnce": Kinds(grants=FloorAtOnce),
    "SaysLess": Kinds(grants=SaysLess),
    "Hasty": Kinds(dealer=Hasty),
    "NoTurns": Kinds(pools=NoTurns),
    "NoGhost": Kinds(pools=NoGhost),
    "AtOnce": Kinds(pools=AtOnce),
    "AnyRenewal": Kinds(pools=AnyRenewal),
}


def one(job: tuple[int, str, bool]) -> Ran:
    seed, variant, wild = job
    return run(seed, VARIANTS[variant], wild)


@click.command()
@click.option("--seeds", default=100, show_default=True)
@click.option("--first", default=1, show_default=True)
@click.option("--cores", default=1, show_default=True)
@click.option("--variant", default="none", type=click.Choice(sorted(VARIANTS)), help="A planted mistake.")
@click.option("--wild", is_flag=True, help="Clocks far beyond the stated drift: only the table holds then.")
@click.option("--most", default=3, show_default=True, help="Stop after so many failing seeds.")
def main(seeds: int, first: int, cores: int, variant: str, wild: bool, most: int) -> None:
    """Runs nodes and owners through drawn faults, and tells what broke."""
    runs, calls, full, wrong = 0, 0, 0.0, []
    jobs = [(seed, variant, wild) for seed in range(first, first + seeds)]
    for ran in many(one, jobs, cores, most):
        runs, calls, full = runs + 1, calls + ran.calls, max(full, ran.full)
        wrong += [ran] if ran.wrong is not None else []
    click.echo(f"{runs} runs, {calls} calls, at the most {full:.0%} of a limit in hand")
    for ran in wrong:
        click.echo(f"seed {ran.seed}: {ran.wrong}")
    raise SystemExit(1 if wrong else 0)


if __name__ == "__main__":
    main()
