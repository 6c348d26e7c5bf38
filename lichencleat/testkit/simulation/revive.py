"""Simulation of fleet recovery after a power loss, by the rollout plan, all at once or with fixed delays:
`python -m lichencleat.testkit.simulation.revive --nodes 200`.

The planner and the readiness gate are the real ones (`recovery/`). The rest is a fluid model: nodes whose
engines warm up as they work, a dependency that starts cold and collapses under too much load, and clients
that retry. Each tick moves rates, not single requests: the model compares policies and tells nothing about a
single request.
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
TICK_US = 50_000  # µs
POLL_INTERVAL_US = 300_000  # time between two steps of the planner
COMMIT_RANGE_US = (2_000, 30_000)  # time from a proposal to its answer
NODE_SPEEDS = (8.0, 10.0, 14.0)  # requests per second that a warm node can run
OFFERED_LOAD = 0.7  # constant arrival rate, as a fraction of the total speed of all warm nodes
BACKLOG_SECONDS = 15.0  # offered load that waits to be retried when the power returns
# time until a client retries: by default, and if a node that is not open yet tells the client when to retry
RETRY_SECONDS, DIRECTED_RETRY_SECONDS = 1.0, 2.5
GIVE_UP_SECONDS = 15.0  # time until a client gives up
# fraction of its speed that a cold node has, and time under full load until the node is warm
COLD_SPEED, WARM_UP_SECONDS = 0.3, 10.0
REJECTION_COST = 0.006  # cost of a rejection by an open node, as a fraction of the cost of a request
COLD_DEPENDENCY = 1 / 3  # capacity of the cold dependency, as a fraction of its warm capacity
WARM_DEPENDENCY_CAPACITY = 1.25  # capacity of the warm dependency, as a multiple of the offered load
# load, as a multiple of its capacity, at which the dependency collapses; time until it restarts cold
COLLAPSE_FACTOR, RESTART_SECONDS = 1.15, 3.0
# time until a node knows the results of its calls: the duration of a call while the dependency is cold
RESULT_DELAY_SECONDS = 0.5
INITIAL_CALL_LIMIT = 0.5  # initial call limit of a node, as a fraction of its speed
# call limit of a node: increase per second, as a fraction of its speed, and factor of a decrease
CALL_LIMIT_INCREASE, CALL_LIMIT_DECREASE = 0.1, 0.8
# fraction of successful calls below which a node lowers its call limit, as admission control does by its last
# five calls
MIN_SUCCESS_FRACTION = 0.5
# load that a node reports if all its calls fail; high, so that a report shows few failures early
FAILURE_LOAD = 6.0
# time within which the machines start; time after which a majority of the voters runs
POWER_UP_SECONDS, QUORUM_SECONDS = 3.0, 2.0
DEAD_FRACTION = 0.03  # fraction of the nodes that never return
DURATION_SECONDS = 90.0  # simulated time of a run


@dataclass(slots=True)
class SimNode:
    """A node with its engine."""

    name: str
    zone: str
    speed: float  # requests per second when warm
    starts_at: float  # s; after the end of the run if the node never returns
    warmth: float = COLD_SPEED  # current fraction of its speed
    call_limit: float = 0.0  # largest number of calls to the dependency per second
    admitted_fraction: float = 0.0  # fraction of arrivals that the readiness gate admits
    succeeded: float = 1.0  # fraction of its recent calls that succeeded
    limit_cut_at: float = 0.0  # s: time of the last decrease of the call limit
    gate: ReadinessGate | None = None
    load: float = 0.0  # fraction of its capacity in use in the last tick


@dataclass(slots=True)
class RunResult:
    """The outcome of one run."""

    policy: str
    seed: int
    # fraction of the offered load that is not served in the 60 s after a majority of the voters runs
    lost_fraction: float = 0.0
    # s from QUORUM_SECONDS until 90% of the offered load is served from then on; None if that never happens
    recovery_time: float | None = None
    collapses: int = 0  # number of collapses of the dependency
    # highest rate of calls to the dependency, as a multiple of its capacity at the time
    max_load: float = 0.0
    rollbacks: int = 0
    all_open: bool = False  # whether every returned node is fully open at the end
    epochs: int = 0
    served: list[float] = field(default_factory=list)  # fraction of the offered load served in each second


class World:
    """One simulated run of a fleet under a recovery policy."""

    def __init__(self, nodes: int, seed: int, policy: str, warm: float = 20.0, zones: int = 2) -> None:
        """`warm` is the time in s under load until the dependency is warm."""
        self.dependency_warm_up_seconds = warm
        self.rng = rng = random.Random(f"revive {seed}")
        self.policy = policy
        self.clockwork = Clockwork()
        self.nodes = []
        for number in range(nodes):
            starts_at = (
                rng.uniform(0.2, POWER_UP_SECONDS) if rng.random() >= DEAD_FRACTION else DURATION_SECONDS * 2
            )
            zone = f"z{number % zones}"
            self.nodes.append(SimNode(f"n{number}", zone, rng.choice(NODE_SPEEDS), starts_at))
        self.offered = OFFERED_LOAD * sum(each.speed for each in self.nodes)
        self.waiting = self.offered * BACKLOG_SECONDS  # requests that clients will retry
        # success fractions of recent ticks that the nodes have not observed yet
        self.pending_results = deque([1.0] * round(RESULT_DELAY_SECONDS / (TICK_US / SECOND)))
        self.directed_fraction = 0.0  # fraction of retrying clients that were told when to retry
        self.dependency_warmth, self.dependency_down_until = COLD_DEPENDENCY, 0.0
        self.result = RunResult(policy, seed)
        self.jobs = LeaseState()
        self.fleet = FleetState(self.jobs)
        self.pools = QuotaState(self.jobs)
        self.pools.pools["below"] = Pool(1_000, 0, nodes, SECOND)
        self.index = 0
        self.planner: RolloutPlanner | None = None
        self.now_served = 0.0
        if policy == "plan":
            self.prepare_replicated_state()

    # -- replicated state ------------------------------------------------------------------------------

    def apply(self, replicated_state: Any, command: Any) -> Any:
        """Apply a command to a part of the replicated state and return the reply."""
        self.index += 1
        return replicated_state.apply(self.index, msgspec.Raw(msgspec.msgpack.encode(command)))

    def prepare_replicated_state(self) -> None:
        """Set up the state before the power loss: every node is open, under an earlier incarnation."""
        self.apply(self.jobs, DefineJob(JOB))
        for each in self.nodes:
            self.index += 1
            self.fleet.nodes[each.name] = NodeState(
                each.zone, 1, True, NodeStatus.OPEN, 1.0, self.index, 0, True, True
            )
        self.clockwork.after(round(QUORUM_SECONDS * SECOND), self.start_planner)

    def start_planner(self, incarnation: int = 1) -> None:
        """Move the lease of the recovery job to a new holder, which starts a new planner."""
        for name, known in list(self.jobs.candidates.items()):
            self.apply(self.jobs, CandidateExpired(name, known.renewal_index))
        self.apply(self.jobs, RenewLease(f"o{incarnation}", "", incarnation, True, {}))
        self.planner = RolloutPlanner(self.jobs.jobs[JOB].fencing_token)
        self.clockwork.after(POLL_INTERVAL_US, self.run_planner, self.planner)

    def run_planner(self, planner: RolloutPlanner) -> None:
        """Run a step of the planner on the current state at regular intervals, until it is replaced."""
        if planner is not self.planner:
            return
        fleet = self.fleet
        nodes = msgspec.convert(msgspec.to_builtins(fleet.nodes), dict[str, NodeState])
        plan = msgspec.convert(msgspec.to_builtins(fleet.plan), type(fleet.plan)) if fleet.plan else None
        for command in planner.plan_next_step(self.clockwork.now, fleet.epoch, nodes, plan):
            replicated_state = self.pools if isinstance(command, SetAllocatableShare) else fleet
            self.clockwork.after(self.rng.randint(*COMMIT_RANGE_US), self.apply, replicated_state, command)
        self.clockwork.after(POLL_INTERVAL_US, self.run_planner, planner)

    # -- nodes -----------------------------------------------------------------------------------------

    def start_node(self, each: SimNode) -> None:
        """Start a node cold, open or behind its readiness gate as the policy requires."""
        now = self.clockwork.now
        each.warmth, each.call_limit = COLD_SPEED, INITIAL_CALL_LIMIT * each.speed
        if self.policy == "at once":
            each.admitted_fraction = 1.0
        elif self.policy == "plan":
            incarnation = self.rng.getrandbits(40)
            each.gate = ReadinessGate(each.name, each.zone, incarnation, False, 1, ClockCheck.PLAUSIBLE, now)
            each.gate.ready = each.gate.records_verified = True
            self.report(each)

    def report(self, each: SimNode) -> None:
        """Update the admitted fraction from the readiness gate and send a report, at regular intervals."""
        gate = each.gate
        assert gate is not None
        now = self.clockwork.now
        each.admitted_fraction = gate.allowance(now).share
        load = 0.5 * each.load + FAILURE_LOAD * (1 - each.succeeded)
        node_report = gate.next_report(now, now, load, each.speed / 10)
        if node_report is not None:
            if now < QUORUM_SECONDS * SECOND:
                self.clockwork.after(SECOND, gate.on_report_failed, now + SECOND)
            else:
                self.clockwork.after(
                    self.rng.randint(*COMMIT_RANGE_US), self.on_report_committed, each, node_report
                )
        self.clockwork.after(100_000, self.report, each)

    def on_report_committed(self, each: SimNode, node_report: NodeReport) -> None:
        """Apply a report to the fleet state and pass the reply to the readiness gate."""
        reply = self.apply(self.fleet, node_report)
        if each.gate is not None:
            each.gate.on_reply(self.clockwork.now, reply)

    # -- traffic ---------------------------------------------------------------------------------------

    def tick(self) -> None:
        """Advance the traffic by one tick."""
        now, seconds = self.clockwork.now / SECOND, TICK_US / SECOND
        up = [each for each in self.nodes if each.starts_at <= now]
        retries = self.waiting / (
            self.directed_fraction * DIRECTED_RETRY_SECONDS + (1 - self.directed_fraction) * RETRY_SECONDS
        )
        rate = self.offered + retries
        served, refused = 0.0, 0.0
        wanted: list[tuple[SimNode, float]] = []
        for each in up:
            arrivals = rate / len(up)
            if (
                self.policy == "delays"
                and each.admitted_fraction == 0.0
                and now >= self.scheduled_start(each)
            ):
                each.admitted_fraction = 1.0
            refused += arrivals * (1 - each.admitted_fraction)
            wanted.append((each, self.admit(each, arrivals * each.admitted_fraction, seconds)))
        if self.policy == "plan":
            wanted = self.limit_to_quota(wanted)
        calls = sum(amount for _, amount in wanted)
        succeeded = self.call_dependency(calls, now, seconds)
        self.pending_results.append(succeeded)
        observed = self.pending_results.popleft()
        for each, amount in wanted:
            self.update_call_limit(each, amount, observed, now, seconds)
            served += amount * succeeded
        self.directed_fraction = refused / rate if up else 0.0
        self.waiting += (rate - served - retries) * seconds if up else self.offered * seconds
        self.waiting = max(0.0, self.waiting * (1 - seconds / GIVE_UP_SECONDS))
        self.now_served = served
        self.record_second(now, served, seconds)

    def limit_to_quota(self, wanted: list[tuple[SimNode, float]]) -> list[tuple[SimNode, float]]:
        """Return the wanted calls, scaled down if their sum exceeds the allocatable share of the pool."""
        limit = self.pools.pools["below"].allocatable_share * WARM_DEPENDENCY_CAPACITY * self.offered
        total = sum(amount for _, amount in wanted)
        return wanted if total <= limit else [(each, amount * limit / total) for each, amount in wanted]

    def scheduled_start(self, each: SimNode) -> float:
        """Return the time in s at which a node opens under the delays policy: one by one, over 20 s."""
        return QUORUM_SECONDS + 20.0 * self.nodes.index(each) / len(self.nodes)

    def admit(self, each: SimNode, arrivals: float, seconds: float) -> float:
        """Return the requests per second that a node runs, and warm up the node. Rejections use capacity."""
        capacity = each.speed * each.warmth
        admitted = max(0.0, min(arrivals, capacity - REJECTION_COST * max(0.0, arrivals - capacity)))
        each.load = min(1.0, admitted / capacity)
        each.warmth = min(
            1.0,
            each.warmth
            + (1 - COLD_SPEED) * seconds / WARM_UP_SECONDS * min(1.0, admitted / max(0.1, capacity)),
        )
        return min(admitted, each.call_limit)

    def call_dependency(self, calls: float, now: float, seconds: float) -> float:
        """Return the fraction of calls that succeed. Use warms up the dependency; overload collapses it."""
        if now < self.dependency_down_until:
            return 0.0
        capacity = self.dependency_warmth * WARM_DEPENDENCY_CAPACITY * self.offered
        self.result.max_load = max(self.result.max_load, calls / capacity)
        if calls > COLLAPSE_FACTOR * capacity:
            self.result.collapses += 1
            self.dependency_down_until, self.dependency_warmth = now + RESTART_SECONDS, COLD_DEPENDENCY
            return 0.0
        if calls:
            self.dependency_warmth = min(
                1.0,
                self.dependency_warmth + (1 - COLD_DEPENDENCY) * seconds / self.dependency_warm_up_seconds,
            )
        return min(1.0, capacity / calls) if calls else 1.0

    def update_call_limit(
        self, each: SimNode, amount: float, succeeded: float, now: float, seconds: float
    ) -> None:
        """Raise the call limit of a node steadily; lower it after failures, once per round of calls."""
        each.succeeded = succeeded if amount else 1.0
        if amount and succeeded < MIN_SUCCESS_FRACTION:
            if now - each.limit_cut_at >= RESULT_DELAY_SECONDS:
                each.call_limit, each.limit_cut_at = (
                    max(0.05 * each.speed, each.call_limit * CALL_LIMIT_DECREASE),
                    now,
                )
        else:
            each.call_limit = min(
                each.speed * 1.2, each.call_limit + CALL_LIMIT_INCREASE * each.speed * seconds
            )

    def record_second(self, now: float, served: float, seconds: float) -> None:
        """Add to the load served in this second, and to the load lost in the 60 s after QUORUM_SECONDS."""
        if len(self.result.served) <= now:
            self.result.served.append(0.0)
        self.result.served[-1] += served / self.offered * seconds
        if QUORUM_SECONDS <= now < QUORUM_SECONDS + 60:
            self.result.lost_fraction += max(0.0, 1 - served / self.offered) * seconds / 60

    def play(self) -> RunResult:
        """Run the simulation and return the outcome."""
        for each in self.nodes:
            self.clockwork.after(round(each.starts_at * SECOND), self.start_node, each)
        for at in range(round(DURATION_SECONDS * SECOND / TICK_US)):
            self.clockwork.after(at * TICK_US + 1, self.tick)
        self.clockwork.run(round(DURATION_SECONDS * SECOND))
        result = self.result
        below = [at for at, served_fraction in enumerate(result.served) if served_fraction < 0.9]
        last = below[-1] + 1 if below else 0
        result.recovery_time = last - QUORUM_SECONDS if last < len(result.served) else None
        returned = [each for each in self.nodes if each.starts_at < DURATION_SECONDS]
        result.all_open = all(each.admitted_fraction >= 1.0 for each in returned)
        result.epochs = self.fleet.epoch - 1
        result.rollbacks = self.fleet.plan.rollbacks if self.fleet.plan else 0
        return result


POLICIES = ["plan", "at once", "delays"]


def run_one(job: tuple[int, int, str, float]) -> RunResult:
    """Play one run for (nodes, seed, policy, warm-up time)."""
    return World(*job).play()


@click.command()
@click.option("--nodes", default="12,200,1000", show_default=True)
@click.option("--seeds", default=5, show_default=True)
@click.option("--warm", default="20,60", show_default=True, help="Seconds until the dependency is warm.")
@click.option("--cores", default=1, show_default=True)
def main(nodes: str, seeds: int, warm: str, cores: int) -> None:
    """Print medians over the seeds; each policy runs with the same seeds."""
    click.echo("nodes   warm  policy   lost in 60 s  to 90 %  falls below  peak below  all open")
    with ProcessPoolExecutor(cores) as pool:
        for count, warm_up in product(map(int, nodes.split(",")), map(float, warm.split(","))):
            jobs = [(count, seed, policy, warm_up) for policy in POLICIES for seed in range(1, seeds + 1)]
            done = list(pool.map(run_one, jobs))
            for policy in POLICIES:
                results = [each for each in done if each.policy == policy]
                middle = len(results) // 2

                def median(name: str, results: list[RunResult] = results, middle: int = middle) -> float:
                    values = [getattr(each, name) for each in results]
                    return sorted(DURATION_SECONDS if each is None else each for each in values)[middle]

                click.echo(
                    f"{count:>5}  {warm_up:>5}  {policy:<7} {median('lost_fraction'):>12.0%} "
                    f"{median('recovery_time'):>7.0f}s {median('collapses'):>12} "
                    f"{median('max_load'):>11.2f}  {sum(each.all_open for each in results)}/{len(results)}"
                )


if __name__ == "__main__":
    main()
