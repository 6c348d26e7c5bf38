"""Which knowledge a node still trusts after a restart, and the proof that each item requires; no I/O.

Implements the table of docs/recovery.md: an item that is not in the table is not trusted.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class Proof(Enum):
    """The proof that an item requires before it is trusted."""

    OWN_DISK = auto()  # the item is stored on the node's own disk, and the disk was verified
    GROUP = auto()  # the consensus group has answered since the start
    NEVER = auto()  # the item is never trusted after a restart


class Item(Enum):
    """Knowledge of a node that may survive a restart."""

    IDENTITY = auto()  # the node's name and zone
    IDEMPOTENCY_RECORDS = auto()  # the node's intents and results
    KEY_WINDOWS = auto()  # remaining time in which a repeat gets the result of an idempotency record
    GRANTS = auto()
    LEASES = auto()
    EPOCH = auto()
    SERVICE_TIMES = auto()  # learned by the node itself
    PEERS = auto()  # knowledge about other nodes


REQUIRED_PROOF = {
    Item.IDENTITY: Proof.OWN_DISK,
    Item.IDEMPOTENCY_RECORDS: Proof.OWN_DISK,
    Item.KEY_WINDOWS: Proof.OWN_DISK,  # stored as remaining time, so that no clock is needed
    Item.GRANTS: Proof.GROUP,
    Item.LEASES: Proof.GROUP,
    Item.EPOCH: Proof.GROUP,
    Item.SERVICE_TIMES: Proof.OWN_DISK,  # used as a first estimate that the first runs outweigh
    Item.PEERS: Proof.NEVER,
}


@dataclass(frozen=True, slots=True)
class Verified:
    """What a node has verified since its start."""

    disk: bool  # the node's store opened, belongs to the node and passed its checks
    group: bool  # the consensus group has answered
    clock: bool  # neither the disk nor the fleet contradicts the node's clock


def is_trusted(item: Item, verified: Verified) -> bool:
    """Whether the proof that `item` requires has been verified."""
    proof = REQUIRED_PROOF[item]
    if proof is Proof.OWN_DISK:
        return verified.disk
    return proof is Proof.GROUP and verified.group


def can_serve_keyed(verified: Verified) -> bool:
    """Whether a node may serve keyed requests.

    Rule 2 of docs/recovery.md, which each node applies by itself: the node's own records are verified, and
    the node's clock is right. Requests that ran on other nodes are not considered.
    """
    return (
        is_trusted(Item.IDEMPOTENCY_RECORDS, verified)
        and is_trusted(Item.KEY_WINDOWS, verified)
        and verified.clock
    )
