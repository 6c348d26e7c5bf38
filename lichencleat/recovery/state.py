"""Replicated state of the recovery: epoch, nodes and rollout plan; the same at each member, no I/O."""

from __future__ import annotations

from statistics import median
from typing import TypedDict

import msgspec

from lichencleat.decode_errors import UNDECODABLE
from lichencleat.leases.lease_state import LeaseState
from lichencleat.recovery.messages import (
    JOB,
    MAX_NODES,
    MAX_REASON_LENGTH,
    Command,
    CommandReply,
    ForgetNode,
    NewEpoch,
    NodeLeaving,
    NodeLost,
    NodeReport,
    NodeState,
    NodeStatus,
    PauseRollout,
    ReportReply,
    RolloutBatch,
    RolloutPlan,
    SkipNode,
)

decode_command = msgspec.msgpack.Decoder(Command).decode
RECENT_ENTRIES = 64  # clocks reported within this number of log entries count as current
MIN_CLOCKS = 3  # with fewer current clocks no clock is judged: of two clocks, either may be wrong
# A clock that differs by more from the median of the current clocks is wrong. The limit is far above clock
# drift and report delays.
MAX_CLOCK_OFFSET_US = 5_000_000


class FleetSnapshot(msgspec.Struct, array_like=True):
    """The state as stored in a snapshot. Fields are never moved or dropped."""

    epoch: int
    nodes: dict[str, NodeState]
    plan: RolloutPlan | None


class FleetView(TypedDict):
    """The answer to a read of the state; the keys are sent to clients."""

    epoch: int
    nodes: dict[str, NodeState]
    plan: RolloutPlan | None


decode_snapshot = msgspec.msgpack.Decoder(FleetSnapshot).decode


def explain_share(node: NodeState, plan: RolloutPlan | None) -> str:
    """Return why a node is not fully open; empty if the node is fully open."""
    if node.share >= 1.0:
        return ""
    if node.status == NodeStatus.OPEN:
        return "it opens by steps"
    if plan is None:
        return "it waits for the owner's look"
    return "an operator holds the plan" if plan.paused else f"it waits for its wave: {plan.reason}"


class FleetState:
    """The recovery's part of the replicated state, whose name is `messages.STATE_PART`.

    Args:
        jobs: The leases, another part of the same state; a command of the leader is rejected unless it
            carries the newest fencing token.
    """

    def __init__(self, jobs: LeaseState) -> None:
        self.jobs = jobs
        self.epoch = 1
        self.nodes: dict[str, NodeState] = {}
        self.plan: RolloutPlan | None = None

    def apply(self, index: int, command: msgspec.Raw) -> ReportReply | CommandReply:
        """Apply the log entry `index`; the result is the same at each member."""
        try:
            message = decode_command(command)
        except UNDECODABLE:
            return CommandReply(False, "no command")
        if isinstance(message, NodeReport):
            return self.apply_report(index, message)
        if isinstance(message, NodeLost | NewEpoch | RolloutBatch):
            return self.apply_leader_command(message)
        return self.apply_other_command(message)

    def apply_other_command(
        self, message: NodeLeaving | PauseRollout | SkipNode | ForgetNode
    ) -> CommandReply:
        """Apply a command of an operator or of a node that shuts down."""
        match message:
            case NodeLeaving():
                return self.remove_leaving(message)
            case PauseRollout():
                return self.pause(message)
            case SkipNode():
                return self.set_share(message.node, 1.0)
            case ForgetNode():
                return CommandReply(self.nodes.pop(message.node, None) is not None, "no such node")

    def apply_leader_command(self, message: NodeLost | NewEpoch | RolloutBatch) -> CommandReply:
        """Apply a command of the leader, unless the leader's lease has ended."""
        # Without this check, a leader that was suspended before a power loss could use an outdated plan.
        if not self.jobs.is_current_token(JOB, message.fencing_token):
            return CommandReply(False, "an older owner's")
        match message:
            case NodeLost():
                return self.mark_gone(message)
            case NewEpoch():
                return self.begin_epoch(message)
            case RolloutBatch():
                return self.apply_batch(message)

    # -- nodes -----------------------------------------------------------------------------------------

    def apply_report(self, index: int, report: NodeReport) -> ReportReply:
        """Record a node's report; the reply has the fraction of arrivals that the node may admit."""
        node = self.nodes.get(report.node)
        if node is None and len(self.nodes) >= MAX_NODES:
            return ReportReply(self.epoch, 0.0, reason="too many nodes")
        if node is None or node.incarnation != report.incarnation:
            node = self.add_node(index, report)
        elif node.status == NodeStatus.GONE:  # the node is opened again, like a restarted node
            node.status = NodeStatus.SHUT
            node.share = 0.0
        node.zone = report.zone
        node.last_report = index
        node.unix_time = report.unix_time
        node.ready = report.ready
        node.records_verified = report.records_verified
        node.load = report.load
        node.speed = report.speed
        return ReportReply(
            epoch=self.epoch,
            share=node.share,
            clock_offset=self.clock_offset(index, node),
            reason=explain_share(node, self.plan),
            report_often=self.plan is not None,
            has_no_planner=not self.has_planner(),
        )

    def add_node(self, index: int, report: NodeReport) -> NodeState:
        """Add a node, or replace its previous incarnation; the node is shut."""
        node = NodeState(
            zone=report.zone,
            incarnation=report.incarnation,
            clean_shutdown=report.clean_shutdown,
            status=NodeStatus.SHUT,
            share=0.0,
            last_report=index,
            unix_time=report.unix_time,
        )
        self.nodes[report.node] = node
        return node

    def has_planner(self) -> bool:
        """Whether a process holds the lease of the planner's job."""
        job = self.jobs.jobs.get(JOB)
        return job is not None and bool(job.holder)

    def clock_offset(self, index: int, node: NodeState) -> int:
        """Return the µs by which a node's clock is ahead of the median of the clocks reported recently.

        0 if the difference is at most `MAX_CLOCK_OFFSET_US`, or if there are fewer than `MIN_CLOCKS` clocks.
        """
        clocks = [each.unix_time for each in self.nodes.values() if each.last_report > index - RECENT_ENTRIES]
        if len(clocks) < MIN_CLOCKS:
            return 0
        offset = node.unix_time - round(median(clocks))
        return offset if abs(offset) > MAX_CLOCK_OFFSET_US else 0

    def remove_leaving(self, message: NodeLeaving) -> CommandReply:
        """Remove a node that shuts down gracefully, unless the node has restarted meanwhile."""
        node = self.nodes.get(message.node)
        if node is None or node.incarnation != message.incarnation:
            return CommandReply(False, "no such node")
        del self.nodes[message.node]
        return CommandReply(True)

    def set_share(self, name: str, share: float) -> CommandReply:
        """Let a node admit the fraction `share` of its arrivals; 0 shuts the node."""
        node = self.nodes.get(name)
        if node is None or node.status == NodeStatus.GONE:
            return CommandReply(False, "nothing is heard of it")
        if share > 0 and node.status == NodeStatus.SHUT:
            node.batch = self.plan.batch if self.plan is not None else 0
        node.status = NodeStatus.OPEN if share > 0 else NodeStatus.SHUT
        node.share = min(1.0, max(0.0, share))
        return CommandReply(True)

    # -- rollout plan ----------------------------------------------------------------------------------

    def pause(self, message: PauseRollout) -> CommandReply:
        """Pause or resume the recovery in progress."""
        if self.plan is None:
            return CommandReply(False, "no return is under way")
        self.plan.paused = message.paused
        return CommandReply(True)

    def mark_gone(self, message: NodeLost) -> CommandReply:
        """Mark a node as gone, unless the node has reported after the report that the leader saw last."""
        node = self.nodes.get(message.node)
        if node is None or node.last_report != message.last_report:
            return CommandReply(False, "it was heard since")
        node.status = NodeStatus.GONE
        node.share = 0.0
        return CommandReply(True)

    def begin_epoch(self, message: NewEpoch) -> CommandReply:
        """Begin an epoch and a recovery.

        Nodes that kept power stay open; the reply to their next report has the new epoch.
        """
        if message.previous != self.epoch:
            return CommandReply(False, "another epoch has begun since")
        self.epoch += 1
        self.plan = RolloutPlan(0.0, reason=message.reason[:MAX_REASON_LENGTH])
        return CommandReply(True)

    def apply_batch(self, message: RolloutBatch) -> CommandReply:
        """Store the plan, and open or shut the nodes that the batch names."""
        if message.plan is not None and self.plan is not None:
            # An operator may have paused the plan after the leader read the state.
            message.plan.paused = self.plan.paused
            if message.plan.paused:
                return CommandReply(False, "an operator holds the plan")
        self.plan = message.plan
        for name, share in message.shares.items():
            self.set_share(name, share)
        return CommandReply(True)

    # -- reads and snapshots ---------------------------------------------------------------------------

    def read(self, query: object) -> FleetView:
        """Return the whole state, whatever the query."""
        return {"epoch": self.epoch, "nodes": self.nodes, "plan": self.plan}

    def dump(self) -> FleetSnapshot:
        """Return a snapshot of the state; the snapshot shares its objects with the live state."""
        return FleetSnapshot(self.epoch, self.nodes, self.plan)

    def load(self, dumped: msgspec.Raw) -> None:
        """Replace the state with a snapshot."""
        snapshot = decode_snapshot(dumped)
        self.epoch = snapshot.epoch
        self.nodes = snapshot.nodes
        self.plan = snapshot.plan
