"""Nodes of the fleet, the rollout plan, and the commands and replies about both.

All structs are stored or sent as arrays: fields are never moved or dropped, and tags never change.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

from lichencleat.quotas.messages import RECOVERY_JOB

JOB = RECOVERY_JOB  # the job of the fleet whose lease holder plans the rollout
STATE_PART = "revive"  # the name of this part of the replicated state
MAX_NODES = 2_048
MAX_REASON_LENGTH = 200  # characters


class NodeStatus(IntEnum):
    """Whether a node serves. The numbers are stored: never reassigned."""

    SHUT = 1  # it started, and waits for its batch
    OPEN = 2  # it serves
    GONE = 3  # no report has come for long


class NodeState(msgspec.Struct, array_like=True):
    """A node as the consensus group knows it from its last report."""

    zone: str
    incarnation: int  # drawn at the start of its process
    clean_shutdown: bool  # the previous process ended properly
    status: int  # a `NodeStatus`
    share: float  # fraction of its arrivals that it may admit
    last_report: int  # log index of its last report
    unix_time: int  # µs: its clock at that report
    ready: bool = False  # its interpreter is up
    records_verified: bool = False  # its idempotency records are loaded and verified
    load: float = 0.0  # 0: idle, 1: at its capacity, above: it sheds load
    batch: int = 0  # the batch in which it was opened
    speed: float = 1.0  # relative to the other nodes, as learned


class RolloutPlan(msgspec.Struct, array_like=True):
    """A recovery under way."""

    max_open: float  # nodes that may be open
    batch: int = 0
    paused: bool = False  # by an operator
    rollbacks: int = 0  # batches that were shut again
    dependency_share: float = 1.0  # fraction of the shared dependencies' capacity that is allocated
    reason: str = ""


class NodeReport(msgspec.Struct, frozen=True, array_like=True, tag="report"):
    """A node's report about itself: several a second while it is opened, seldom otherwise."""

    node: str
    zone: str
    incarnation: int
    clean_shutdown: bool
    epoch: int  # the last one that the node knows, 0: none
    unix_time: int  # µs
    ready: bool
    records_verified: bool
    load: float
    speed: float = 1.0


class NodeLeaving(msgspec.Struct, frozen=True, array_like=True, tag="leave"):
    """A node shuts down gracefully."""

    node: str
    incarnation: int


class NodeLost(msgspec.Struct, frozen=True, array_like=True, tag="lost"):
    """From the leader: no report has come for long since the named one."""

    fencing_token: int
    node: str
    last_report: int


class NewEpoch(msgspec.Struct, frozen=True, array_like=True, tag="epoch"):
    """From the leader: so many nodes lost their power that a recovery begins."""

    fencing_token: int
    previous: int  # the epoch that ends; rejected if another one has begun since
    reason: str = ""


class RolloutBatch(msgspec.Struct, frozen=True, array_like=True, tag="wave"):
    """From the leader: how far nodes are open from now on, and the plan as it has learned since."""

    fencing_token: int
    shares: dict[str, float]  # by node; 0: shut again
    plan: RolloutPlan | None  # None: the recovery is over


class PauseRollout(msgspec.Struct, frozen=True, array_like=True, tag="hold"):
    """From an operator: the plan stays as it is, or continues."""

    paused: bool


class SkipNode(msgspec.Struct, frozen=True, array_like=True, tag="skip"):
    """From an operator: the node skips the queue and opens now; its own checks still apply."""

    node: str


class ForgetNode(msgspec.Struct, frozen=True, array_like=True, tag="forget"):
    """From an operator: the node does not come back."""

    node: str


Command = NodeReport | NodeLeaving | NodeLost | NewEpoch | RolloutBatch | PauseRollout | SkipNode | ForgetNode


class ReportReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to a node's report."""

    epoch: int
    share: float
    clock_offset: int = 0  # µs that its clock is ahead of the fleet's
    reason: str = ""
    report_often: bool = False  # a recovery is under way, and the leader depends on the reports
    has_no_planner: bool = False  # no process holds the planner's lease, so nobody opens nodes


class CommandReply(msgspec.Struct, frozen=True, array_like=True):
    """Whether a command was applied, and if not, why."""

    accepted: bool
    reason: str = ""
