"""Simulation of quotas under random faults: nodes that share the limit on calls to a dependency.
`python -m lichencleat.testkit.simulation.shares`

The replicated log is a model: it applies commands in one order, loses some of them, and applies some long
after their sender has given up. The lease of the allocator moves, and a previous allocator may continue for a
while. After each step, the number of calls that all nodes believe they may have in flight, and the number in
flight at the dependency, are checked against the limit.
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
from lichencleat.testkit.simulation.many import run_many

POOL, TERM_US = "p", 1_000_000  # a short term, so that a run has many terms
FAULT_PHASE_US, RECOVERY_PHASE_US = 15_000_000, 8_000_000  # time with faults; time to recover after them
COMMIT_RANGE_US = (500, 30_000)  # time from a proposal to its log entry, and again to the answer
# largest clock rate error: within the drift that quotas allow for, and far beyond it
MAX_DRIFT, MAX_EXCESSIVE_DRIFT = 0.045, 0.6
# nine calls in ten take a time within this range; the others take 60 s if nothing ends them
CALL_DURATION_RANGE_US = (5_000, 400_000)
# fraction of the grantable calls that must be granted after the faults, while every node wants more calls
MIN_GRANTED_FRACTION = 0.6


@dataclass(frozen=True, slots=True)
class Implementations:
    """The classes under test, or variants of them with an injected bug."""

    pools: type[QuotaState] = QuotaState
    grants: type[QuotaGrant] = QuotaGrant
    allocator: type[Allocator] = Allocator


class LogModel:
    """Model of a replicated log that loses and delays commands and answers."""

    def __init__(self, world: SharesWorld, rng: random.Random) -> None:
        self.clockwork, self.rng = world.clockwork, rng
        self.jobs = LeaseState()
        self.pools = world.implementations.pools(self.jobs)
        self.index = 0
        # probabilities that a message is lost and that a command is applied late; whether the log is down
        self.loss, self.delayed, self.down = 0.02, 0.03, False

    def propose(self, command: Any, answer: Callable[[Any], None] = lambda reply: None) -> None:
        """Schedule a command for the log, unless the command is lost."""
        if self.down or self.rng.random() < self.loss:
            return
        delay = self.rng.randint(*COMMIT_RANGE_US)
        if self.rng.random() < self.delayed:
            delay += self.rng.randrange(3 * TERM_US)  # may be applied after its sender has given up
        self.clockwork.after(delay, self.apply, command, answer)

    def apply(self, command: Any, answer: Callable[[Any], None]) -> None:
        """Apply a command to the quota state and schedule the answer, unless the answer is lost."""
        self.index += 1
        reply = self.pools.apply(self.index, msgspec.Raw(msgspec.msgpack.encode(command)))
        if self.rng.random() >= self.loss:
            self.clockwork.after(self.rng.randint(*COMMIT_RANGE_US), answer, reply)

    def apply_lease_command(self, command: Any) -> None:
        """Apply a command to the lease state at once."""
        self.index += 1
        self.jobs.apply(self.index, msgspec.Raw(msgspec.msgpack.encode(command)))


class SimNode:
    """A node that makes as many calls as its quota allows, up to a number that changes at random."""

    def __init__(self, world: SharesWorld, name: str, rng: random.Random) -> None:
        self.world, self.name, self.rng = world, name, rng
        self.clock = DriftingClock(world.clockwork, rng.randrange(1 << 40), world.draw_rate())
        self.incarnation = 0
        self.up = self.cut = self.stopped = False
        self.wanted_calls = 0
        self.deferred_calls: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.start()

    def start(self) -> None:
        """Start the process as a new incarnation without calls in flight."""
        self.incarnation += 1
        self.up, self.stopped, self.deferred_calls = True, False, []
        world = self.world
        incarnation = self.rng.getrandbits(40)
        self.grants = world.implementations.grants(
            POOL, self.name, incarnation, world.floor, TERM_US, self.clock()
        )
        self.calls_in_flight: set[int] = set()  # known to this process
        self.attempt = 0
        self.call_later(0, self.step)
        self.call_later(0, self.start_calls)

    def call_later(self, delay: int, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call `delay` µs from now, which runs only in the current process."""
        self.world.clockwork.after(delay, self.call_if_alive, self.incarnation, call, args)

    def call_if_alive(self, incarnation: int, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Run a call unless its process has ended; defer the call while the process is suspended."""
        if self.up and incarnation == self.incarnation:
            if self.stopped:
                self.deferred_calls.append((call, args))
            else:
                call(*args)

    def resume(self) -> None:
        """Resume a suspended process and run the deferred calls."""
        if self.up and self.stopped:
            self.stopped = False
            deferred_calls, self.deferred_calls = self.deferred_calls, []
            for call, args in deferred_calls:
                call(*args)

    def step(self) -> None:
        """Report the demand, send a quota request if one is due, and schedule the next step."""
        now = self.clock()
        self.grants.note_demand(max(self.wanted_calls, len(self.calls_in_flight)))
        request = self.grants.next_request(now, len(self.calls_in_flight))
        if request is not None:
            self.attempt += 1
            attempt, incarnation = self.attempt, self.incarnation

            def deliver_reply(reply: QuotaReply) -> None:
                if not self.cut:
                    self.call_if_alive(incarnation, self.on_reply, (attempt, reply))

            if not self.cut:
                self.world.log.propose(request, deliver_reply)
            self.call_later(self.clock.until(now + self.grants.reply_timeout()), self.on_timeout, attempt)
        self.call_later(self.rng.randint(5_000, 40_000), self.step)

    def on_reply(self, attempt: int, reply: QuotaReply) -> None:
        """Process the reply to the latest request."""
        if attempt == self.attempt and self.grants.requested_at is not None:
            self.grants.on_reply(self.clock(), reply)
        self.world.check_limit()

    def on_timeout(self, attempt: int) -> None:
        """Report the latest request as failed if there is still no reply."""
        if attempt == self.attempt and self.grants.requested_at is not None:
            self.grants.on_failure(self.clock())

    def start_calls(self) -> None:
        """Start as many calls as the quota allows. Each call ends after its own duration, or at the latest
        after the duration that the grant allows.
        """
        now = self.clock()
        while len(self.calls_in_flight) < min(self.wanted_calls, self.grants.usable_calls(now)):
            max_duration = self.clock.until(now + self.grants.max_call_duration(now))
            call_duration = (
                self.rng.randint(*CALL_DURATION_RANGE_US) if self.rng.random() < 0.9 else 60_000_000
            )
            number = self.world.calls_started
            self.world.calls_started += 1
            self.calls_in_flight.add(number)
            self.world.calls_in_flight.add(number)
            self.world.clockwork.after(
                min(max_duration, call_duration), self.finish_call, number, self.incarnation
            )
        self.world.check_limit()
        self.call_later(self.rng.randint(2_000, 30_000), self.start_calls)

    def finish_call(self, number: int, incarnation: int) -> None:
        """End a call at the dependency, and at the node if the process that started the call still runs."""
        self.world.calls_in_flight.discard(number)
        self.call_if_alive(incarnation, self.calls_in_flight.discard, (number,))


class SimAllocator:
    """An allocator under one fencing token. It may continue long after its lease has moved to another one."""

    def __init__(self, world: SharesWorld, token: int) -> None:
        self.world, self.token = world, token
        self.allocator = world.implementations.allocator(POOL, token)
        self.clock = DriftingClock(world.clockwork, world.rng.randrange(1 << 40), world.draw_rate())
        self.is_active = True
        self.read_pool()

    def read_pool(self) -> None:
        """Read the pool at regular intervals. The allocator sees a pool that is slightly out of date."""
        if not self.is_active:
            return
        clockwork, rng = self.world.clockwork, self.world.rng
        clockwork.after(round(TERM_US * POLL_INTERVAL_TERMS), self.read_pool)
        if self.world.log.down:
            return
        seen = msgspec.convert(msgspec.to_builtins(self.world.log.pools.pools[POOL]), type(self.world.pool))
        clockwork.after(rng.randint(*COMMIT_RANGE_US), self.on_pool_read, seen)

    def on_pool_read(self, pool: Any) -> None:
        """Propose the allocations that the allocator decides."""
        for each in self.allocator.decide(self.clock(), pool):
            self.world.log.propose(each)


class SharesWorld:
    """One simulated run: the log, the nodes, their allocators and the dependency, with the checks."""

    def __init__(self, seed: int, implementations: Implementations, wild: bool) -> None:
        self.rng = rng = random.Random(f"shares {seed}")
        self.implementations, self.wild = implementations, wild
        self.clockwork = Clockwork()
        self.wrong: str | None = None  # the first violation found
        self.calls_started = 0
        self.calls_in_flight: set[int] = set()  # at the dependency, including calls of ended processes
        self.max_in_flight = 0
        self.log = LogModel(self, random.Random(rng.randrange(1 << 60)))
        count = rng.randint(2, 6)
        self.floor = rng.randint(0, 2)
        max_nodes = count + rng.randint(0, 1)
        self.limit = rng.randint(self.floor * max_nodes + 1, 40 + self.floor * max_nodes)
        self.log.pools.apply(
            0,
            msgspec.Raw(msgspec.msgpack.encode(DefinePool(POOL, self.limit, self.floor, max_nodes, TERM_US))),
        )
        self.pool = self.log.pools.pools[POOL]
        self.log.apply_lease_command(DefineJob(allocator_job(POOL)))
        self.allocator_count = 0
        self.allocators: list[SimAllocator] = []
        self.replace_allocator()
        self.nodes = [
            SimNode(self, f"n{number}", random.Random(rng.randrange(1 << 60))) for number in range(count)
        ]

    def draw_rate(self) -> float:
        """Return a random clock rate."""
        max_error = MAX_EXCESSIVE_DRIFT if self.wild else MAX_DRIFT
        return 1 + self.rng.uniform(-max_error, max_error)

    def replace_allocator(self) -> None:
        """Move the lease to a new allocator. The previous allocators stop up to four terms later."""
        for name, each in list(self.log.jobs.candidates.items()):
            self.log.apply_lease_command(CandidateExpired(name, each.renewal_index))
        self.allocator_count += 1
        self.log.apply_lease_command(
            RenewLease(f"d{self.allocator_count}", "", self.allocator_count, True, {})
        )
        for old in self.allocators:
            self.clockwork.after(self.rng.randrange(4 * TERM_US), setattr, old, "is_active", False)
        token = self.log.jobs.jobs[allocator_job(POOL)].fencing_token
        self.clockwork.after(
            self.rng.randrange(TERM_US), lambda: self.allocators.append(SimAllocator(self, token))
        )

    def check_limit(self) -> None:
        """Check usable, in-flight and reserved calls against the limit. With excessive drift, check only the
        reserved calls.
        """
        if self.wrong is not None:
            return
        usable = sum(each.grants.usable_calls(each.clock()) for each in self.nodes if each.up)
        self.max_in_flight = max(self.max_in_flight, len(self.calls_in_flight))
        if usable > self.limit and not self.wild:
            self.wrong = f"{usable} believed usable of {self.limit} at {self.clockwork.now}"
        elif len(self.calls_in_flight) > self.limit and not self.wild:
            self.wrong = f"{len(self.calls_in_flight)} in hand below of {self.limit} at {self.clockwork.now}"
        elif reserved_calls(self.pool) > self.limit:
            self.wrong = f"{reserved_calls(self.pool)} reserved of {self.limit} at {self.clockwork.now}"

    def fault(self) -> None:
        """Start a random fault, or change the number of calls that a node wants."""
        rng, after = self.rng, self.clockwork.after
        node = rng.choice(self.nodes)
        duration = rng.randint(10_000, 4_000_000)
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
        if kind == "stop" and not node.stopped:
            node.stopped = node.up
            after(duration, node.resume)
        elif kind == "cut":
            node.cut = True
            after(duration, lambda: setattr(node, "cut", False))
        elif kind == "kill" and node.up:
            node.up = False  # its calls at the dependency continue
            after(rng.randint(1_000, 2_000_000), lambda: node.up or node.start())
        elif kind == "rate":
            node.clock.set_rate(self.draw_rate())
        elif kind == "owner":
            self.replace_allocator()
        elif kind == "down":
            self.log.down = True
            after(min(duration, 2_500_000), lambda: setattr(self.log, "down", False))
        elif kind == "loss":
            self.log.loss = rng.uniform(0, 0.5)
            after(duration, lambda: setattr(self.log, "loss", 0.02))
        elif kind == "need":
            node.wanted_calls = rng.choice([0, 1, 3, 50])


@dataclass(slots=True)
class RunResult:
    """The outcome of one run, with its counts."""

    seed: int
    wrong: str | None = None  # the first violation found
    calls: int = 0
    max_utilization: float = 0.0  # most calls in flight at the dependency, as a fraction of the limit


def run(seed: int, implementations: Implementations | None = None, wild: bool = False) -> RunResult:
    """Play one run. With `wild`, clock rates exceed the drift that quotas allow for."""
    world = SharesWorld(seed, implementations or Implementations(), wild)
    for each in world.nodes:
        each.wanted_calls = world.rng.choice([0, 2, 50])
    for _ in range(world.rng.randint(2, 25)):
        world.clockwork.after(world.rng.randrange(FAULT_PHASE_US), world.fault)
    world.clockwork.run(FAULT_PHASE_US + 4_000_000, lambda: world.wrong is not None)
    world.log.loss = world.log.delayed = 0.0
    for each in world.nodes:
        each.cut, each.wanted_calls = False, 50
        each.resume()
        each.clock.set_rate(1.0)
        if not each.up:
            each.start()
    world.replace_allocator()
    world.clockwork.run(world.clockwork.now + RECOVERY_PHASE_US, lambda: world.wrong is not None)
    usable = [each.grants.usable_calls(each.clock()) for each in world.nodes]
    if world.wrong is None and not wild:
        grantable = world.limit - world.floor * (world.pool.max_nodes - len(world.nodes))
        if sum(usable) < MIN_GRANTED_FRACTION * grantable:
            world.wrong = f"only {sum(usable)} of {grantable} given in calm: {usable}"
        elif max(usable) - min(usable) > 1:
            world.wrong = f"all want the same, and have {usable}"
    return RunResult(seed, world.wrong, world.calls_started, world.max_in_flight / world.limit)


# -- injected bugs ---------------------------------------------------------------------------------


class GrantCountedFromReply(QuotaGrant):
    """Injected bug: the term of a grant starts with the reply instead of the request."""

    def on_reply(self, now: int, reply: QuotaReply) -> None:
        self.requested_at = now
        super().on_reply(now, reply)


class UnboundedCallDuration(QuotaGrant):
    """Injected bug: calls may last longer than the grant."""

    def max_call_duration(self, now: int) -> int:
        return 20 * TERM_US


class FloorUsedImmediately(QuotaGrant):
    """Injected bug: a node uses its floor as soon as it starts."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.floor_from = 0


class ReportsNoCallsInFlight(QuotaGrant):
    """Injected bug: a node does not report its calls in flight."""

    def next_request(self, now: int, in_flight: int) -> QuotaRequest | None:
        return super().next_request(now, 0)


class ExpiryTooEarly(Allocator):
    """Injected bug: the allocator expires a grant after 60% of its term."""

    def __init__(self, pool: str, fencing_token: int) -> None:
        super().__init__(pool, fencing_token, drift=-0.4)


class AcceptsOldRequests(QuotaState):
    """Injected bug: an older request is accepted after a newer one."""

    def renew(self, index: int, request: QuotaRequest) -> QuotaReply:
        quota = self.pools[request.pool].node_quotas.get(request.node)
        if quota is not None and quota.incarnation == request.incarnation:
            quota.request_number = min(quota.request_number, request.request_number - 1)
        return super().renew(index, request)


class ForgetsEarlierIncarnation(QuotaState):
    """Injected bug: calls that earlier incarnations of a node may have in flight are forgotten."""

    def renew(self, index: int, request: QuotaRequest) -> QuotaReply:
        reply = super().renew(index, request)
        self.pools[request.pool].node_quotas[request.node].reserved_until_expiry = 0
        return reply


class ReclaimsWithoutReport(QuotaState):
    """Injected bug: calls that the allocator takes back are freed before the node reports the decrease."""

    def allocate(self, command: Allocate, pool: Pool) -> CommandReply:
        reply = super().allocate(command, pool)
        for each in pool.node_quotas.values():
            each.reserved = min(each.reserved, max(each.target, pool.floor))
        return reply


class ExpiryIgnoresLatestRenewal(QuotaState):
    """Injected bug: an expiry proposal is accepted although a newer renewal has been applied."""

    def expire_grant(self, command: GrantExpired, pool: Pool) -> CommandReply:
        quota = pool.node_quotas[command.node]
        newest = GrantExpired(command.pool, command.fencing_token, command.node, quota.renewal_index)
        return super().expire_grant(newest, pool)


VARIANTS = {
    "none": Implementations(),
    "FromTheAnswer": Implementations(grants=GrantCountedFromReply),
    "NoEnd": Implementations(grants=UnboundedCallDuration),
    "FloorAtOnce": Implementations(grants=FloorUsedImmediately),
    "SaysLess": Implementations(grants=ReportsNoCallsInFlight),
    "Hasty": Implementations(allocator=ExpiryTooEarly),
    "NoTurns": Implementations(pools=AcceptsOldRequests),
    "NoGhost": Implementations(pools=ForgetsEarlierIncarnation),
    "AtOnce": Implementations(pools=ReclaimsWithoutReport),
    "AnyRenewal": Implementations(pools=ExpiryIgnoresLatestRenewal),
}


def run_one(job: tuple[int, str, bool]) -> RunResult:
    """Play one run with a variant given by its name."""
    seed, variant, wild = job
    return run(seed, VARIANTS[variant], wild)


@click.command()
@click.option("--seeds", default=100, show_default=True)
@click.option("--first", default=1, show_default=True)
@click.option("--cores", default=1, show_default=True)
@click.option("--variant", default="none", type=click.Choice(sorted(VARIANTS)), help="Injected bug.")
@click.option(
    "--wild",
    is_flag=True,
    help="Clock rates far beyond the allowed drift: only reserved calls are checked then.",
)
@click.option("--most", default=3, show_default=True, help="Stop after this number of failing seeds.")
def main(seeds: int, first: int, cores: int, variant: str, wild: bool, most: int) -> None:
    """Run nodes and allocators under random faults, one run per seed, and report violations."""
    runs, calls, max_utilization, wrong = 0, 0, 0.0, []
    jobs = [(seed, variant, wild) for seed in range(first, first + seeds)]
    for result in run_many(run_one, jobs, cores, most):
        runs, calls, max_utilization = (
            runs + 1,
            calls + result.calls,
            max(max_utilization, result.max_utilization),
        )
        wrong += [result] if result.wrong is not None else []
    click.echo(f"{runs} runs, {calls} calls, at the most {max_utilization:.0%} of a limit in hand")
    for result in wrong:
        click.echo(f"seed {result.seed}: {result.wrong}")
    raise SystemExit(1 if wrong else 0)


if __name__ == "__main__":
    main()
