"""What a node trusts from before its start, item by item, and the proof that each requires; no I/O.

The table of docs/recovery.md as code: whatever is not in it is not trusted.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class Proof(Enum):
    """What has to be shown before an item is trusted."""

    OWN_DISK = auto()  # its own record, after verification
    GROUP = auto()  # an answer of the consensus group since the start
    NEVER = auto()


class Item(Enum):
    """Knowledge of a node that may survive a restart."""

    IDENTITY = auto()  # its own name and zone
    IDEMPOTENCY_RECORDS = auto()  # intents and results of its own
    KEY_WINDOWS = auto()  # how much is left of the records' windows
    GRANTS = auto()
    LEASES = auto()
    EPOCH = auto()
    SERVICE_TIMES = auto()  # learned by itself
    PEERS = auto()  # what it knew about other nodes


REQUIRED_PROOF = {
    Item.IDENTITY: Proof.OWN_DISK,
    Item.IDEMPOTENCY_RECORDS: Proof.OWN_DISK,
    Item.KEY_WINDOWS: Proof.OWN_DISK,  # as the time that was left at the last record: no clock is needed
    Item.GRANTS: Proof.GROUP,
    Item.LEASES: Proof.GROUP,
    Item.EPOCH: Proof.GROUP,
    Item.SERVICE_TIMES: Proof.OWN_DISK,  # as a first estimate that the first runs outweigh
    Item.PEERS: Proof.NEVER,
}


@dataclass(frozen=True, slots=True)
class Verified:
    """What a node has verified since its start."""

    disk: bool  # its own store opened, is its own, and passed its checks
    group: bool  # the consensus group has answered
    clock: bool  # neither its disk nor the fleet contradicts its clock


def is_trusted(item: Item, verified: Verified) -> bool:
    """Whether the proof that `item` requires is there."""
    proof = REQUIRED_PROOF[item]
    if proof is Proof.OWN_DISK:
        return verified.disk
    return proof is Proof.GROUP and verified.group


def can_serve_keyed(verified: Verified) -> bool:
    """Whether requests with an idempotency key may be served.

    By rule 2 of docs/recovery.md, each node for itself: its own records have to be verified, and
    attempts have to be dated correctly. A key that ran on another node is not this node's concern.
    """
    return (
        is_trusted(Item.IDEMPOTENCY_RECORDS, verified)
        and is_trusted(Item.KEY_WINDOWS, verified)
        and verified.clock
    )
