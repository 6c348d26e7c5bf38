"""Rollout planner: the commands that the leader proposes at each poll of the fleet's state; no I/O.

Nodes are opened in batches. An integral controller bounds the number of open nodes. The bound changes at each
step, that is at each poll while a recovery is in progress: it grows by a fraction of itself while the open
nodes have spare capacity, and falls while the nodes are overloaded. The controller's state is part of the
replicated plan, so that another leader can continue.

A node is opened gradually: its share, the fraction of its arrivals that it may admit, grows at each poll. The
dependency share is the fraction of the shared dependencies' capacity that is allocated to the nodes.
"""

from __future__ import annotations

from dataclasses import dataclass

from lichencleat.quotas.messages import SetAllocatableShare
from lichencleat.recovery.messages import (
    NewEpoch,
    NodeLost,
    NodeState,
    NodeStatus,
    RolloutBatch,
    RolloutPlan,
)

PlannerCommand = NodeLost | NewEpoch | RolloutBatch | SetAllocatableShare

REPORT_TIMEOUT_US = 5_000_000  # a node without a report for this time is gone; an open node reports every 2 s
# Time after the first report of a restarted node until the planner decides that the power was lost: most
# restarted nodes report by then.
EPOCH_DELAY_US = 2_000_000
POWER_LOSS_FRACTION = 0.5  # a power loss is assumed if this fraction of the nodes is restarted or gone
MAX_SMALL_FLEET = 2  # a fleet of at most two nodes is too small to tell a power loss from single restarts
# Fraction of the known nodes in the first batch: enough to observe the load on the shared dependencies.
FIRST_BATCH_FRACTION = 1 / 3
# Fraction of the shared dependencies' capacity that is allocated when a recovery begins: while cold, the
# dependencies may fail at a third of their usual load.
INITIAL_DEPENDENCY_SHARE = 0.3
# In each step (0.3 s), the allocated fraction of the dependencies' capacity is multiplied by 1 plus this gain
# times the difference between `DEPENDENCY_REFERENCE_LOAD` and the mean load. So it grows by at most 7 % per
# step, which lets the planner notice an overload before it does harm, and shrinks by at most 5 % per step.
DEPENDENCY_GAIN = 0.1
# Mean load of the open nodes (see `RecoveringHost.load`) above which the allocated fraction of the
# dependencies' capacity shrinks: well below the load at which many calls fail.
DEPENDENCY_REFERENCE_LOAD = 0.7
GAIN = 0.5  # the bound on open nodes changes by at most this fraction of itself per step
# Mean load (see `RecoveringHost.load`) above which the bound on open nodes falls. Fully used nodes without
# failed runs have the load 0.5; only failed runs or unhealthy nodes raise the load above 1.
REFERENCE_LOAD = 1.0
UNREADY_LOAD = 2.0  # assumed load of an open node whose interpreter is down
ROLLBACK_FACTOR = 0.5  # factor on the bound on open nodes when the last batch is shut again
# Added in each step to the fraction of arrivals that an opening node may admit: the node is fully open after
# three steps.
OPENING_STEP = 0.34
SETTLING_STEPS = 2  # number of consecutive healthy steps before the next batch is opened


@dataclass(frozen=True, slots=True)
class LastReport:
    """A node's last report, and when this leader first saw the report."""

    index: int  # log index of the report
    seen_at: int  # µs of the leader's monotonic clock


def mean_load(nodes: list[NodeState]) -> float:
    """The mean load of open nodes; nodes whose interpreter is down count as overloaded."""
    if not nodes:
        return 0.0
    return sum(each.load if each.ready else UNREADY_LOAD for each in nodes) / len(nodes)


def is_partly_open(node: NodeState) -> bool:
    """Whether a node is open to only a fraction of its arrivals."""
    return node.status == NodeStatus.OPEN and node.share < 1.0


def opening_order(nodes: dict[str, NodeState]) -> list[str]:
    """Return the names of the shut nodes that are ready, in the order in which they are opened.

    The next node is from the zone with the fewest open nodes. Within a zone, nodes with verified records come
    first, and among these the fast nodes.
    """
    open_by_zone: dict[str, int] = {}
    for each in nodes.values():
        if each.status == NodeStatus.OPEN:
            open_by_zone[each.zone] = open_by_zone.get(each.zone, 0) + 1
    shut = [name for name, each in nodes.items() if each.status == NodeStatus.SHUT and each.ready]
    shut.sort(key=lambda name: (not nodes[name].records_verified, -nodes[name].speed, name))
    shut_by_zone: dict[str, list[str]] = {}
    for name in shut:
        shut_by_zone.setdefault(nodes[name].zone, []).append(name)
    order = []
    while shut_by_zone:
        zone = min(shut_by_zone, key=lambda each: (open_by_zone.get(each, 0), each))
        order.append(shut_by_zone[zone].pop(0))
        open_by_zone[zone] = open_by_zone.get(zone, 0) + 1
        if not shut_by_zone[zone]:
            del shut_by_zone[zone]
    return order


class RolloutPlanner:
    """Decides which commands the leader proposes, for one holder of the lease (one fencing token)."""

    def __init__(self, fencing_token: int) -> None:
        self.fencing_token = fencing_token
        self.last_reports: dict[str, LastReport] = {}  # by node
        self.waiting_since: int | None = None  # µs: when this leader saw the first of the shut nodes
        self.first_reports: dict[str, int] = {}  # by node: log index of the first report seen by this leader
        self.healthy_steps = 0  # number of consecutive healthy steps since the last batch

    def plan_next_step(
        self, now: int, epoch: int, nodes: dict[str, NodeState], plan: RolloutPlan | None
    ) -> list[PlannerCommand]:
        """Return the commands to propose in this poll, in the order in which they are proposed.

        Args:
            now: µs of the leader's monotonic clock.
            epoch: The current epoch.
            nodes: The nodes as read from the replicated state.
            plan: The recovery in progress, None if there is none.
        """
        commands: list[PlannerCommand] = []
        commands += self.find_lost_nodes(now, nodes)
        shut = [each for each in nodes.values() if each.status == NodeStatus.SHUT]
        if plan is None:
            commands += self.plan_single_restarts(now, epoch, nodes, shut)
        elif not plan.paused:
            commands += self.plan_rollout(nodes, plan, shut)
        return commands

    def find_lost_nodes(self, now: int, nodes: dict[str, NodeState]) -> list[NodeLost]:
        """Return a command for each node whose reports timed out.

        A new leader measures the time from its own first poll.
        """
        last_reports = {}
        lost = []
        for name, each in nodes.items():
            self.first_reports.setdefault(name, each.last_report)
            last = self.last_reports.get(name)
            if last is None or last.index != each.last_report:
                last = LastReport(each.last_report, now)
            last_reports[name] = last
            if each.status != NodeStatus.GONE and now - last.seen_at >= REPORT_TIMEOUT_US:
                lost.append(NodeLost(self.fencing_token, name, each.last_report))
        self.last_reports = last_reports
        return lost

    def plan_single_restarts(
        self, now: int, epoch: int, nodes: dict[str, NodeState], shut: list[NodeState]
    ) -> list[PlannerCommand]:
        """Open restarted nodes without a plan; begin an epoch if their number shows a power loss."""
        opening = self.next_shares(nodes)
        if not shut:
            self.waiting_since = None
            return [RolloutBatch(self.fencing_token, opening, None)] if opening else []
        if self.waiting_since is None:
            self.waiting_since = now
        away = len(nodes) - self.count_present(nodes)
        if len(nodes) > MAX_SMALL_FLEET and away >= POWER_LOSS_FRACTION * len(nodes):
            if now - self.waiting_since < EPOCH_DELAY_US and len(shut) < len(nodes):
                return []  # more nodes may report
            reason = f"{away} of {len(nodes)} nodes lost their power or their way"
            return [NewEpoch(self.fencing_token, epoch, reason)]
        opening |= dict.fromkeys(opening_order(nodes), OPENING_STEP)
        return [RolloutBatch(self.fencing_token, opening, None)] if opening else []

    def count_present(self, nodes: dict[str, NodeState]) -> int:
        """Return the number of open nodes that have reported again since this leader first saw them."""
        return sum(
            each.status == NodeStatus.OPEN and each.last_report > self.first_reports[name]
            for name, each in nodes.items()
        )

    def next_shares(self, nodes: dict[str, NodeState]) -> dict[str, float]:
        """Return, by name, the fraction of arrivals that each healthy, partly open node may admit next."""
        return {
            name: round(min(1.0, each.share + OPENING_STEP), 3)
            for name, each in nodes.items()
            if is_partly_open(each) and each.ready and each.load <= REFERENCE_LOAD
        }

    # -- recovery in progress --------------------------------------------------------------------------

    def plan_rollout(
        self, nodes: dict[str, NodeState], plan: RolloutPlan, shut: list[NodeState]
    ) -> list[PlannerCommand]:
        """Return the commands of the next step of a recovery.

        The step begins the recovery, shuts the last batch again, ends the recovery, or continues the recovery
        and opens another batch if the open nodes are healthy.
        """
        open_nodes = {name: each for name, each in nodes.items() if each.status == NodeStatus.OPEN}
        if not plan.max_open:
            return self.begin_rollout(nodes, plan, len(open_nodes))
        failed = [name for name, each in open_nodes.items() if not each.ready]
        if len(failed) * 2 > len(open_nodes) > 0:
            return [self.roll_back(open_nodes, plan)]
        load = mean_load(list(open_nodes.values()))
        opening = self.next_shares(nodes)
        dependency_share = self.next_dependency_share(plan, load, bool(open_nodes))
        is_all_open = open_nodes and all(each.share >= 1.0 for each in open_nodes.values())
        if not shut and not opening and is_all_open and dependency_share >= 1.0:
            return [SetAllocatableShare(self.fencing_token, 1.0), RolloutBatch(self.fencing_token, {}, None)]
        self.healthy_steps = self.healthy_steps + 1 if load <= REFERENCE_LOAD and not failed else 0
        next_plan = self.next_plan(plan, len(nodes), len(open_nodes), load, dependency_share)
        if self.healthy_steps >= SETTLING_STEPS and not opening:
            batch = self.next_batch(nodes, next_plan, len(open_nodes))
            if batch:
                next_plan.batch += 1
                self.healthy_steps = 0
                opening = batch
        return [
            SetAllocatableShare(self.fencing_token, dependency_share),
            RolloutBatch(self.fencing_token, opening, next_plan),
        ]

    def begin_rollout(
        self, nodes: dict[str, NodeState], plan: RolloutPlan, open_count: int
    ) -> list[PlannerCommand]:
        """Return the commands that begin a recovery and open its first batch."""
        max_open = max(1.0, len(nodes) * FIRST_BATCH_FRACTION)
        first_plan = RolloutPlan(
            max_open=max_open,
            batch=1,
            paused=plan.paused,
            rollbacks=plan.rollbacks,
            dependency_share=INITIAL_DEPENDENCY_SHARE,
            reason=f"wave 1: {max_open:.0f} nodes first, the others after them",
        )
        batch = self.next_batch(nodes, first_plan, open_count)
        return [
            SetAllocatableShare(self.fencing_token, first_plan.dependency_share),
            RolloutBatch(self.fencing_token, batch, first_plan),
        ]

    def next_plan(
        self, plan: RolloutPlan, node_count: int, open_count: int, load: float, dependency_share: float
    ) -> RolloutPlan:
        """Return the next plan, with the bound on open nodes adjusted by the mean load of the open nodes."""
        error = max(-1.0, min(1.0, REFERENCE_LOAD - load))
        max_open = plan.max_open * (1 + GAIN * error)
        reason = (
            f"wave {plan.batch}: {open_count} open at strain {load:.2f}, {max_open:.0f} may be; "
            f"part {dependency_share:.2f}"
        )
        return RolloutPlan(
            max_open=max(1.0, min(max_open, float(node_count))),
            batch=plan.batch,
            paused=plan.paused,
            rollbacks=plan.rollbacks,
            dependency_share=dependency_share,
            reason=reason,
        )

    def next_dependency_share(self, plan: RolloutPlan, load: float, has_open_nodes: bool) -> float:
        """Return the fraction of the shared dependencies' capacity to allocate in the next step.

        The fraction grows while the mean load is below `DEPENDENCY_REFERENCE_LOAD`, and shrinks while the
        mean load is above, because failed runs raise the load.
        """
        if not has_open_nodes:
            return plan.dependency_share
        error = max(-0.5, min(1.0, DEPENDENCY_REFERENCE_LOAD - load))
        moved = plan.dependency_share * (1 + DEPENDENCY_GAIN * error)
        return min(1.0, max(INITIAL_DEPENDENCY_SHARE / 2, moved))

    def next_batch(self, nodes: dict[str, NodeState], plan: RolloutPlan, open_count: int) -> dict[str, float]:
        """Return the nodes to open next, up to the bound on open nodes.

        Returns by name the fraction of arrivals that each of these nodes may admit at first.
        """
        count = max(0, int(plan.max_open) - open_count)
        return dict.fromkeys(opening_order(nodes)[:count], OPENING_STEP)

    def roll_back(self, open_nodes: dict[str, NodeState], plan: RolloutPlan) -> RolloutBatch:
        """Shut the last batch and lower the bound, because more than half of the open nodes failed."""
        self.healthy_steps = 0
        last_batch = [name for name, each in open_nodes.items() if each.batch == plan.batch]
        max_open = max(1.0, plan.max_open * ROLLBACK_FACTOR)
        shut_again = f"{len(last_batch)} nodes shut again"
        next_plan = RolloutPlan(
            max_open=max_open,
            batch=max(1, plan.batch - 1),
            paused=plan.paused,
            rollbacks=plan.rollbacks + 1,
            dependency_share=plan.dependency_share / 2,
            reason=f"wave {plan.batch} fell: {shut_again}, up to {max_open:.0f} may be open",
        )
        return RolloutBatch(self.fencing_token, dict.fromkeys(last_batch, 0.0), next_plan)
