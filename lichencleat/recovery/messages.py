"""Nodes of the fleet and the rollout plan, with the commands and replies about both.

All structs are stored or sent as arrays: fields are never moved or dropped, and tags never change.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

from lichencleat.quotas.messages import RECOVERY_JOB

JOB = RECOVERY_JOB  # the holder of this job's lease plans the rollout
STATE_PART = "revive"  # the name of this part of the replicated state
MAX_NODES = 2_048
MAX_REASON_LENGTH = 200  # characters


class NodeStatus(IntEnum):
    """Whether a node serves. The numbers are stored: never reassigned."""

    SHUT = 1  # it has started and waits for its batch
    OPEN = 2  # it serves
    GONE = 3  # its reports have timed out


class NodeState(msgspec.Struct, array_like=True):
    """A node according to its last report to the consensus group."""

    zone: str
    incarnation: int  # drawn at the start of its process
    clean_shutdown: bool  # the previous process shut down gracefully
    status: int  # a `NodeStatus`
    share: float  # fraction of its arrivals that it may admit, 0 to 1
    last_report: int  # log index of its last report
    unix_time: int  # µs of the node's clock when it reported
    ready: bool = False  # the interpreter is up
    records_verified: bool = False  # its idempotency records are loaded and verified
    load: float = 0.0  # 0: idle, 1: at its capacity, above: it sheds load
    batch: int = 0  # the batch in which it was opened
    speed: float = 1.0  # learned runs per second and core


class RolloutPlan(msgspec.Struct, array_like=True):
    """A recovery in progress."""

    max_open: float  # upper bound on open nodes
    batch: int = 0
    paused: bool = False  # by an operator
    rollbacks: int = 0  # number of batches that were shut again
    dependency_share: float = 1.0  # fraction of the shared dependencies' capacity that is allocated
    reason: str = ""


class NodeReport(msgspec.Struct, frozen=True, array_like=True, tag="report"):
    """A node's report about itself: several per second while it is being opened, fewer once it is open."""

    node: str
    zone: str
    incarnation: int
    clean_shutdown: bool
    epoch: int  # last epoch that the node knows, 0: none
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
    """From the leader: the reports of a node have timed out since `last_report`."""

    fencing_token: int
    node: str
    last_report: int


class NewEpoch(msgspec.Struct, frozen=True, array_like=True, tag="epoch"):
    """From the leader: a new epoch and a recovery begin, because many nodes lost power at once."""

    fencing_token: int
    previous: int  # epoch that ends; the command is rejected if another epoch has begun since
    reason: str = ""


class RolloutBatch(msgspec.Struct, frozen=True, array_like=True, tag="wave"):
    """From the leader: new shares of some nodes, and the updated plan."""

    fencing_token: int
    shares: dict[str, float]  # fraction of arrivals to admit, by node; 0: shut the node again
    plan: RolloutPlan | None  # None: no recovery is in progress


class PauseRollout(msgspec.Struct, frozen=True, array_like=True, tag="hold"):
    """From an operator: pause or resume the rollout plan."""

    paused: bool


class SkipNode(msgspec.Struct, frozen=True, array_like=True, tag="skip"):
    """From an operator: open the node now, ahead of its batch; the node's own checks still apply."""

    node: str


class ForgetNode(msgspec.Struct, frozen=True, array_like=True, tag="forget"):
    """From an operator: remove a node that will not return."""

    node: str


Command = NodeReport | NodeLeaving | NodeLost | NewEpoch | RolloutBatch | PauseRollout | SkipNode | ForgetNode


class ReportReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to a node's report."""

    epoch: int
    share: float
    clock_offset: int = 0  # µs by which the node's clock is ahead of the fleet's, 0 if it agrees
    reason: str = ""
    report_often: bool = False  # a recovery is in progress, and the planner needs current reports
    has_no_planner: bool = False  # no process holds the planner's lease, so no node is opened


class CommandReply(msgspec.Struct, frozen=True, array_like=True):
    """Whether a command was applied, with the reason if it was rejected."""

    accepted: bool
    reason: str = ""
