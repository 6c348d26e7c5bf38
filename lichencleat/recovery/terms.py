"""Nodes as the fleet sees them, the plan of a return, and what is said about both; no I/O."""

from __future__ import annotations

from enum import IntEnum

import msgspec

from lichencleat.quotas.messages import RECOVERY_JOB

JOB = RECOVERY_JOB  # of the fleet: its owner plans
NODES_MOST = 2_048
REASON_MOST = 200  # characters


class Door(IntEnum):
    """How far a node is open. The numbers are the log's: never given anew."""

    SHUT = 1  # it woke, and waits for its turn
    OPEN = 2  # it serves
    GONE = 3  # nothing is heard of it


class Node(msgspec.Struct, array_like=True):
    zone: str
    life: int  # drawn at its start
    clean: bool  # its life before ended as it should
    door: int
    share: float  # of its arrivals that it may take in
    beat: int  # index of its last report
    unix: int  # µs: its clock at that report
    ready: bool = False  # its interpreter is up
    proof: bool = False  # what it has to know of its receipts stands
    strain: float = 0.0  # 0: idle, 1: all it can do, above: it turns work away
    wave: int = 0  # in which it was opened
    speed: float = 1.0  # beside the others, as it was learned


class Plan(msgspec.Struct, array_like=True):
    """A return under way."""

    cap: float  # nodes that may be open
    wave: int = 0
    held: bool = False  # by an operator
    relapses: int = 0  # waves that were taken back
    part: float = 1.0  # of what nodes share below that is dealt
    why: str = ""


class Report(msgspec.Struct, frozen=True, array_like=True, tag="report"):
    """A node tells of itself, some times a second while it wakes, seldom else."""

    node: str
    zone: str
    life: int
    clean: bool
    epoch: int  # the last one that it knows, 0: none
    unix: int
    ready: bool
    proof: bool
    strain: float
    speed: float = 1.0


class Leave(msgspec.Struct, frozen=True, array_like=True, tag="leave"):
    """A node ends as it should."""

    node: str
    life: int


class Lost(msgspec.Struct, frozen=True, array_like=True, tag="lost"):
    """The owner's: nothing was heard since that report for long."""

    token: int
    node: str
    beat: int


class NewEpoch(msgspec.Struct, frozen=True, array_like=True, tag="epoch"):
    """The owner's: power was lost by so many that all begin anew."""

    token: int
    after: int  # the epoch that it ends; another one began it already where that is past
    why: str = ""


class Wave(msgspec.Struct, frozen=True, array_like=True, tag="wave"):
    """The owner's: who is open how far from now on, and what the plan has learned."""

    token: int
    shares: dict[str, float]  # 0: shut again
    plan: Plan | None  # None: the return is over


class Hold(msgspec.Struct, frozen=True, array_like=True, tag="hold"):
    """An operator's: the plan stays as it is, or goes on."""

    on: bool


class Skip(msgspec.Struct, frozen=True, array_like=True, tag="skip"):
    """An operator's: that node opens now, whatever the plan says; its own proofs still hold."""

    node: str


class Forget(msgspec.Struct, frozen=True, array_like=True, tag="forget"):
    """An operator's: that node does not come back."""

    node: str


Command = Report | Leave | Lost | NewEpoch | Wave | Hold | Skip | Forget


class Word(msgspec.Struct, frozen=True, array_like=True):
    """What a node is told after its report."""

    epoch: int
    share: float
    clock_off: int = 0  # µs that its clock is ahead of the fleet's
    why: str = ""
    often: bool = False  # a return is under way: the owner goes by these reports
    unowned: bool = False  # nobody plans, so nobody opens


class Done(msgspec.Struct, frozen=True, array_like=True):
    done: bool
    why: str = ""
