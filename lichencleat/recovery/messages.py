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

    SHUT = 1  # the node has started, serves no requests yet and waits to be opened
    OPEN = 2  # the node serves all requests, or a fraction of them
    GONE = 3  # the node's reports have timed out


class NodeState(msgspec.Struct, array_like=True):
    """The replicated state of a node: its last report, and the fraction of requests that it may serve."""

    zone: str
    incarnation: int  # random number drawn when the node's process started
    clean_shutdown: bool  # whether the node's previous process shut down gracefully
    status: int  # a `NodeStatus`
    share: float  # fraction of the node's arrivals that the node may admit, 0 to 1
    last_report: int  # log index of the node's last report
    unix_time: int  # Unix time in µs, by the node's clock, when the node sent its last report
    ready: bool = False  # whether the interpreter is up
    records_verified: bool = False  # whether the node's idempotency records are loaded and verified
    load: float = 0.0  # 0: idle, 0.5: running limit used in full, more: runs fail; see `RecoveringHost.load`
    batch: int = 0  # number of the rollout batch in which the node was opened
    speed: float = 1.0  # usual runs per second and core


class RolloutPlan(msgspec.Struct, array_like=True):
    """The plan of a recovery in progress: limits on the open nodes and on their use of dependencies."""

    max_open: float  # upper bound on the number of open nodes; 0 until the first batch
    batch: int = 0  # number of the last batch that was opened
    paused: bool = False  # whether an operator has paused the recovery
    rollbacks: int = 0  # number of batches that were shut again
    dependency_share: float = 1.0  # fraction of the shared dependencies' capacity that is allocated
    reason: str = ""


class NodeReport(msgspec.Struct, frozen=True, array_like=True, tag="report"):
    """A node's report about itself, several per second while the node is being opened, then fewer.

    `NodeState` describes the fields of the same names.
    """

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
    """From a node that shuts down gracefully: remove the node."""

    node: str
    incarnation: int


class NodeLost(msgspec.Struct, frozen=True, array_like=True, tag="lost"):
    """From the leader: the reports of a node have timed out."""

    fencing_token: int
    node: str
    last_report: int  # log index of the last report; the command is rejected if the node has reported since


class NewEpoch(msgspec.Struct, frozen=True, array_like=True, tag="epoch"):
    """From the leader: a new epoch and a recovery begin, because many nodes lost power at once."""

    fencing_token: int
    previous: int  # the epoch that ends; the command is rejected if this is not the current epoch
    reason: str = ""


class RolloutBatch(msgspec.Struct, frozen=True, array_like=True, tag="wave"):
    """From the leader: set the fraction of arrivals that some nodes may admit, and update the plan."""

    fencing_token: int
    shares: dict[str, float]  # by node: fraction of the node's arrivals to admit; 0 shuts the node
    plan: RolloutPlan | None  # None: no recovery is in progress


class PauseRollout(msgspec.Struct, frozen=True, array_like=True, tag="hold"):
    """From an operator: pause or resume the recovery in progress."""

    paused: bool


class SkipNode(msgspec.Struct, frozen=True, array_like=True, tag="skip"):
    """From an operator: open a node now, ahead of its batch; the node's own checks still apply."""

    node: str


class ForgetNode(msgspec.Struct, frozen=True, array_like=True, tag="forget"):
    """From an operator: remove a node that will not return."""

    node: str


Command = NodeReport | NodeLeaving | NodeLost | NewEpoch | RolloutBatch | PauseRollout | SkipNode | ForgetNode


class ReportReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to a node's report."""

    epoch: int  # the fleet's current epoch
    share: float  # fraction of its arrivals that the node may admit
    clock_offset: int = 0  # µs by which the node's clock is ahead of the fleet's clocks, 0 if both agree
    reason: str = ""  # why the node may not admit all arrivals
    report_often: bool = False  # whether the node should report often, because a recovery is in progress
    has_no_planner: bool = False  # whether no process holds the planner's lease, so that no node is opened


class CommandReply(msgspec.Struct, frozen=True, array_like=True):
    """Whether a command was applied, with the reason if it was rejected."""

    accepted: bool
    reason: str = ""
