"""What a node trusts from before its start, item by item, and the proof that it asks; no I/O.

The table of docs/recovery.md, as code: whatever is not in it is not trusted.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class Proof(Enum):
    OWN_DISK = auto()  # its own record, after a check
    GROUP = auto()  # the voters' word of now
    NEVER = auto()


class Item(Enum):
    NAME = auto()  # its own name and zone
    RECEIPTS = auto()  # intents and results of its own
    WINDOWS = auto()  # how much is left of them
    GRANTS = auto()
    LEASES = auto()
    EPOCH = auto()
    SPEED = auto()  # learned figures of its own
    OTHERS = auto()  # what it believed of other nodes


TABLE = {
    Item.NAME: Proof.OWN_DISK,
    Item.RECEIPTS: Proof.OWN_DISK,
    Item.WINDOWS: Proof.OWN_DISK,  # as what was left at the last sign: no clock is asked
    Item.GRANTS: Proof.GROUP,
    Item.LEASES: Proof.GROUP,
    Item.EPOCH: Proof.GROUP,
    Item.SPEED: Proof.OWN_DISK,  # as a first guess that the first runs outweigh
    Item.OTHERS: Proof.NEVER,
}


@dataclass(frozen=True, slots=True)
class Known:
    """What a node has to judge by."""

    disk_whole: bool  # its own store opened, is its own, and reads well
    group_heard: bool  # the voters have answered since the start
    clock_right: bool  # neither its disk nor the fleet contradicts its clock


def trusted(item: Item, known: Known) -> bool:
    proof = TABLE[item]
    if proof is Proof.OWN_DISK:
        return known.disk_whole
    return proof is Proof.GROUP and known.group_heard


def may_serve_receipted(known: Known) -> bool:
    """By rule 2, each node alone: its own receipts have to stand, and tries have to be dated rightly.

    A key that ran elsewhere is no matter of this node's: see docs/recovery.md.
    """
    return trusted(Item.RECEIPTS, known) and trusted(Item.WINDOWS, known) and known.clock_right
