"""A whole fleet after a power loss, in simulated time, by plan, all at once, or after fixed delays:
`python -m lichencleat.testkit.simulation.revive --nodes 200`.

The decisions are the real ones (`recovery/`); the rest is a fluid model of our own: engines that warm up as
they work, a dependency that comes back cold and falls when it gets more than it survives, callers that come
again. Each tick moves rates: it compares orders of return, and tells of no single request.
"""

from __future__ import annotations

import random
from collections import deque
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from itertools import product
from typing import Any

import click
import msgspec

from lichencleat.leases.lease_state import LeaseState
from lichencleat.leases.messages import CandidateExpired, DefineJob, RenewLease
from lichencleat.quotas.messages import Pool, SetAllocatableShare
from lichencleat.quotas.quota_state import QuotaState
from lichencleat.recovery.boot_record import ClockCheck
from lichencleat.recovery.messages import JOB, NodeReport, NodeState, NodeStatus
from lichencleat.recovery.planner import RolloutPlanner
from lichencleat.recovery.readiness_gate import ReadinessGate
from lichencleat.recovery.state import FleetState
from lichencleat.testkit.simulation.clockwork import Clockwork

SECOND = 1_000_000  # µs
TICK = 50_000  # µs
LOOK = 300_000  # µs between two looks of the owner
COMMIT = (2_000, 30_000)  # µs from a proposal to its answer
SPEEDS = (8.0, 10.0, 14.0)  # requests a second of a warm node
LOAD = 0.7  # of what all nodes can do, offered all the time
BACKLOG = 15.0  # s of offered load that wait to come again when the power is back
AGAIN, TOLD = 1.0, 2.5  # s until a caller comes again: by itself, or told when to by a shut node
PATIENCE = 15.0  # s after which a caller gives up
COLD, WARM_AFTER = 0.3, 10.0  # of its speed, and s of work until it has all of it
REFUSAL = 0.006  # of a request's work, for one that an open node turns away
BELOW_COLD = 1 / 3  # what the dependency survives at first, of what it does when it is whole
BELOW_ROOM = 1.25  # of the offered load, when it is whole
BELOW_FALL, BELOW_BACK = 1.15, 3.0  # times what it survives: it falls; and s until it is back, cold
HEARD = 0.5  # s until a node knows how its calls went: as long as they take when it is cold below
CALLS_FIRST = 0.5  # of what it can do: each node's own bound on calls at its start
CALLS_MORE, CALLS_CUT = 0.1, 0.8  # each node's own bound on calls: step a second, cut once a round of calls
CALLS_SLOW = 0.5  # share of calls that come back, under which a node cuts: as admission judges its last five
FAILED_STRAIN = 6.0  # strain for calls that fail, all of them: few are told early
WAKE, VOTERS = 3.0, 2.0  # s over which machines come up; s after which a majority of the voters stands
NEVER = 0.03  # of the nodes never come back
SPAN = 90.0  # s played


@dataclass(slots=True)
class Machine:
    """A node with its engine, in the model."""

    name: str
    zone: str
    speed: float
    wakes: float  # s, or beyond the end
    warm: float = COLD
    calls: float = 0.0  # its own bound on calls a second
    share: float = 0.0
    well: float = 1.0  # share of its calls that came back lately
    cut_at: float = 0.0  # s of the last cut of its bound
    gate: ReadinessGate | None = None
    load: float = 0.0  # of what it can do, in the last tick


@dataclass(slots=True)
class Ran:
    policy: str
    seed: int
    lost: float = 0.0  # of the payoff offered in the first minute
    to_90: float | None = None  # s after the voters' majority until nine tenths are served for good
    falls: int = 0  # of the dependency
    peak: float = 0.0  # calls a second below, of what it survived then
    relapses: int = 0
    full: bool = False  # every node that came back is open at the end
    epochs: int = 0
    served: list[float] = field(default_factory=list)  # of the offered load, by second


class World:
    def __init__(self, nodes: int, seed: int, policy: str, warm: float = 20.0, zones: int = 2) -> None:
        """`warm`: s of work until the dependency is whole."""
        self.below_span = warm
        self.rng = rng = random.Random(f"revive {seed}")
        self.policy = policy
        self.clockwork = Clockwork()
        self.machines = []
        for number in range(nodes):
            wakes = rng.uniform(0.2, WAKE) if rng.random() >= NEVER else SPAN * 2
            zone = f"z{number % zones}"
            self.machines.append(Machine(f"n{number}", zone, rng.choice(SPEEDS), wakes))
        self.offered = LOAD * sum(each.speed for each in self.machines)
        self.waiting = self.offered * BACKLOG
        self.told_well = deque([1.0] * round(HEARD / (TICK / SECOND)))
        self.told = 0.0  # share of those that come again who were told when
        self.below_warm, self.below_down = BELOW_COLD, 0.0
        self.ran = Ran(policy, seed)
        self.jobs = LeaseState()
        self.fleet = FleetState(self.jobs)
        self.pools = QuotaState(self.jobs)
        self.pools.pools["below"] = Pool(1_000, 0, nodes, SECOND)
        self.index = 0
        self.planner: RolloutPlanner | None = None
        self.now_served = 0.0
        if policy == "plan":
            self.before_the_cut()

    # -- the group -------------------------------------------------------------------------------------

    def enter(self, part: Any, what: Any) -> Any:
        self.index += 1
        return part.apply(self.index, msgspec.Raw(msgspec.msgpack.encode(what)))

    def before_the_cut(self) -> None:
        """The log as it survives: every node open, of lives that have ended."""
        self.enter(self.jobs, DefineJob(JOB))
        for each in self.machines:
            self.index += 1
            self.fleet.nodes[each.name] = NodeState(
                each.zone, 1, True, NodeStatus.OPEN, 1.0, self.index, 0, True, True
            )
        self.clockwork.after(round(VOTERS * SECOND), self.owner_comes)

    def owner_comes(self, life: int = 1) -> None:
        for name, known in list(self.jobs.candidates.items()):
            self.enter(self.jobs, CandidateExpired(name, known.renewal_index))
        self.enter(self.jobs, RenewLease(f"o{life}", "", life, True, {}))
        self.planner = RolloutPlanner(self.jobs.jobs[JOB].fencing_token)
        self.clockwork.after(LOOK, self.look, self.planner)

    def look(self, planner: RolloutPlanner) -> None:
        if planner is not self.planner:
            return
        fleet = self.fleet
        nodes = msgspec.convert(msgspec.to_builtins(fleet.nodes), dict[str, NodeState])
        plan = msgspec.convert(msgspec.to_builtins(fleet.plan), type(fleet.plan)) if fleet.plan else None
        for what in planner.plan_next_step(self.clockwork.now, fleet.epoch, nodes, plan):
            part = self.pools if isinstance(what, SetAllocatableShare) else fleet
            self.clockwork.after(self.rng.randint(*COMMIT), self.enter, part, what)
        self.clockwork.after(LOOK, self.look, planner)

    # -- nodes -----------------------------------------------------------------------------------------

    def wake(self, each: Machine) -> None:
        now = self.clockwork.now
        each.warm, each.calls = COLD, CALLS_FIRST * each.speed
        if self.policy == "at once":
            each.share = 1.0
        elif self.policy == "plan":
            life = self.rng.getrandbits(40)
            each.gate = ReadinessGate(each.name, each.zone, life, False, 1, ClockCheck.PLAUSIBLE, now)
            each.gate.ready = each.gate.records_verified = True
            self.report(each)

    def report(self, each: Machine) -> None:
        gate = each.gate
        assert gate is not None
        now = self.clockwork.now
        each.share = gate.allowance(now).share
        strain = 0.5 * each.load + FAILED_STRAIN * (1 - each.well)
        said = gate.next_report(now, now, strain, each.speed / 10)
        if said is not None:
            if now < VOTERS * SECOND:
                self.clockwork.after(SECOND, gate.on_report_failed, now + SECOND)
            else:
                self.clockwork.after(self.rng.randint(*COMMIT), self.reported, each, said)
        self.clockwork.after(100_000, self.report, each)

    def reported(self, each: Machine, said: NodeReport) -> None:
        word = self.enter(self.fleet, said)
        if each.gate is not None:
            each.gate.on_reply(self.clockwork.now, word)

    # -- the model -------------------------------------------------------------------------------------

    def tick(self) -> None:
        now, span = self.clockwork.now / SECOND, TICK / SECOND
        up = [each for each in self.machines if each.wakes <= now]
        comes = self.waiting / (self.told * TOLD + (1 - self.told) * AGAIN)
        rate = self.offered + comes
        served, shut = 0.0, 0.0
        wanted: list[tuple[Machine, float]] = []
        for each in up:
            arrives = rate / len(up)
            if self.policy == "delays" and each.share == 0.0 and now >= self.turn_of(each):
                each.share = 1.0
            shut += arrives * (1 - each.share)
            wanted.append((each, self.takes(each, arrives * each.share, span)))
        if self.policy == "plan":
            wanted = self.dealt(wanted)
        calls = sum(amount for _, amount in wanted)
        well = self.below(calls, now, span)
        self.told_well.append(well)
        heard = self.told_well.popleft()
        for each, amount in wanted:
            self.learns(each, amount, heard, now, span)
            served += amount * well
        self.told = shut / rate if up else 0.0
        self.waiting += (rate - served - comes) * span if up else self.offered * span
        self.waiting = max(0.0, self.waiting * (1 - span / PATIENCE))
        self.now_served = served
        self.note(now, served, span)

    def dealt(self, wanted: list[tuple[Machine, float]]) -> list[tuple[Machine, float]]:
        """As the pool's owner deals: all that is wanted, or as much of the part as falls to each."""
        room = self.pools.pools["below"].allocatable_share * BELOW_ROOM * self.offered
        total = sum(amount for _, amount in wanted)
        return wanted if total <= room else [(each, amount * room / total) for each, amount in wanted]

    def turn_of(self, each: Machine) -> float:
        """s: one after the other, over twenty."""
        return VOTERS + 20.0 * self.machines.index(each) / len(self.machines)

    def takes(self, each: Machine, arrives: float, span: float) -> float:
        """Requests a second that it lets run; turning others away costs it some of what it can do."""
        can = each.speed * each.warm
        takes = max(0.0, min(arrives, can - REFUSAL * max(0.0, arrives - can)))
        each.load = min(1.0, takes / can)
        each.warm = min(1.0, each.warm + (1 - COLD) * span / WARM_AFTER * min(1.0, takes / max(0.1, can)))
        return min(takes, each.calls)

    def below(self, calls: float, now: float, span: float) -> float:
        """The share of the calls that come back."""
        if now < self.below_down:
            return 0.0
        survives = self.below_warm * BELOW_ROOM * self.offered
        self.ran.peak = max(self.ran.peak, calls / survives)
        if calls > BELOW_FALL * survives:
            self.ran.falls += 1
            self.below_down, self.below_warm = now + BELOW_BACK, BELOW_COLD
            return 0.0
        if calls:
            self.below_warm = min(1.0, self.below_warm + (1 - BELOW_COLD) * span / self.below_span)
        return min(1.0, survives / calls) if calls else 1.0

    def learns(self, each: Machine, amount: float, well: float, now: float, span: float) -> None:
        each.well = well if amount else 1.0
        if amount and well < CALLS_SLOW:
            if now - each.cut_at >= HEARD:
                each.calls, each.cut_at = max(0.05 * each.speed, each.calls * CALLS_CUT), now
        else:
            each.calls = min(each.speed * 1.2, each.calls + CALLS_MORE * each.speed * span)

    def note(self, now: float, served: float, span: float) -> None:
        if len(self.ran.served) <= now:
            self.ran.served.append(0.0)
        self.ran.served[-1] += served / self.offered * span
        if VOTERS <= now < VOTERS + 60:
            self.ran.lost += max(0.0, 1 - served / self.offered) * span / 60

    def play(self) -> Ran:
        for each in self.machines:
            self.clockwork.after(round(each.wakes * SECOND), self.wake, each)
        for at in range(round(SPAN * SECOND / TICK)):
            self.clockwork.after(at * TICK + 1, self.tick)
        self.clockwork.run(round(SPAN * SECOND))
        ran = self.ran
        below = [at for at, share in enumerate(ran.served) if share < 0.9]
        last = below[-1] + 1 if below else 0
        ran.to_90 = last - VOTERS if last < len(ran.served) else None
        back = [each for each in self.machines if each.wakes < SPAN]
        ran.full = all(each.share >= 1.0 for each in back)
        ran.epochs = self.fleet.epoch - 1
        ran.relapses = self.fleet.plan.rollbacks if self.fleet.plan else 0
        return ran


POLICIES = ["plan", "at once", "delays"]


def one(job: tuple[int, int, str, float]) -> Ran:
    return World(*job).play()


@click.command()
@click.option("--nodes", default="12,200,1000", show_default=True)
@click.option("--seeds", default=5, show_default=True)
@click.option("--warm", default="20,60", show_default=True, help="s until the dependency is whole.")
@click.option("--cores", default=1, show_default=True)
def main(nodes: str, seeds: int, warm: str, cores: int) -> None:
    """Medians over the seeds, the same ones for each policy."""
    click.echo("nodes   warm  policy   lost in 60 s  to 90 %  falls below  peak below  all open")
    with ProcessPoolExecutor(cores) as pool:
        for count, bound in product(map(int, nodes.split(",")), map(float, warm.split(","))):
            jobs = [(count, seed, policy, bound) for policy in POLICIES for seed in range(1, seeds + 1)]
            done = list(pool.map(one, jobs))
            for policy in POLICIES:
                rans = [each for each in done if each.policy == policy]
                middle = len(rans) // 2

                def of(name: str, rans: list[Ran] = rans, middle: int = middle) -> float:
                    values = [getattr(each, name) for each in rans]
                    return sorted(SPAN if each is None else each for each in values)[middle]

                click.echo(
                    f"{count:>5}  {bound:>5}  {policy:<7} {of('lost'):>12.0%} {of('to_90'):>7.0f}s "
                    f"{of('falls'):>12} {of('peak'):>11.2f}  {sum(each.full for each in rans)}/{len(rans)}"
                )


if __name__ == "__main__":
    main()
