"""Epoch, nodes and the plan of a return: a part of the group's state, the same at each member; no I/O."""

from __future__ import annotations

from statistics import median
from typing import Any

import msgspec

from lichencleat.decoding import UNDECODABLE
from lichencleat.leases.lease_state import LeaseState
from lichencleat.recovery.terms import (
    JOB,
    NODES_MOST,
    REASON_MOST,
    Command,
    Done,
    Door,
    Forget,
    Hold,
    Leave,
    Lost,
    NewEpoch,
    Node,
    Plan,
    Report,
    Skip,
    Wave,
    Word,
)

decode_command = msgspec.msgpack.Decoder(Command).decode
RECENT = 64  # entries: clocks told in the last so many are those of now, about
CLOCKS_LEAST = 3  # clocks, its own among them, by which one is judged: of two nobody knows which is wrong
CLOCK_OFF = (
    5_000_000  # µs from the median beyond which a clock is wrong: far over any drift or delay of a report
)


class Dumped(msgspec.Struct, array_like=True):
    epoch: int
    nodes: dict[str, Node]
    plan: Plan | None


decode_dumped = msgspec.msgpack.Decoder(Dumped).decode


def reason(node: Node, plan: Plan | None) -> str:
    """Why it is not open all the way; empty where it is."""
    if node.share >= 1.0:
        return ""
    if node.door == Door.OPEN:
        return "it opens by steps"
    if plan is None:
        return "it waits for the owner's look"
    return "an operator holds the plan" if plan.held else f"it waits for its wave: {plan.why}"


class Fleet:
    """A `state.Part`. Doors are opened in `open` alone."""

    def __init__(self, jobs: LeaseState) -> None:
        """`jobs`: the part of the same state; its newest token is what the owner says is held against."""
        self.jobs = jobs
        self.epoch = 1
        self.nodes: dict[str, Node] = {}
        self.plan: Plan | None = None

    def apply(self, index: int, command: msgspec.Raw) -> Any:
        try:
            what = decode_command(command)
        except UNDECODABLE:
            return Done(False, "no command")
        if isinstance(what, Report):
            return self.report(index, what)
        if isinstance(what, Leave):
            return self.leave(what)
        if isinstance(what, Hold):
            if self.plan is None:
                return Done(False, "no return is under way")
            self.plan.held = what.on
            return Done(True)
        if isinstance(what, Skip):
            return self.open(what.node, 1.0)
        if isinstance(what, Forget):
            return Done(self.nodes.pop(what.node, None) is not None, "no such node")
        if not self.jobs.is_current_token(
            JOB, what.token
        ):  # stopped since before the cut, it goes on with its plan
            return Done(False, "an older owner's")
        if isinstance(what, Lost):
            return self.lost(what)
        return self.new_epoch(what) if isinstance(what, NewEpoch) else self.wave(what)

    # -- nodes -----------------------------------------------------------------------------------------

    def report(self, index: int, what: Report) -> Word:
        node = self.nodes.get(what.node)
        if node is None or node.life != what.life:
            if node is None and len(self.nodes) >= NODES_MOST:
                return Word(self.epoch, 0.0, why="too many nodes")
            node = self.nodes[what.node] = Node(
                what.zone, what.life, what.clean, Door.SHUT, 0.0, index, what.unix
            )
        elif node.door == Door.GONE:
            node.door, node.share = Door.SHUT, 0.0  # it was away: it comes in as one that woke
        node.zone, node.beat, node.unix = what.zone, index, what.unix
        node.ready, node.proof, node.strain, node.speed = what.ready, what.proof, what.strain, what.speed
        often, unowned = self.plan is not None, not self.planned()
        return Word(
            self.epoch, node.share, self.clock_off(index, node), reason(node, self.plan), often, unowned
        )

    def planned(self) -> bool:
        job = self.jobs.jobs.get(JOB)
        return job is not None and bool(job.holder)

    def clock_off(self, index: int, node: Node) -> int:
        """µs that its clock is ahead of the others', 0 where that may be chance, or nobody can say."""
        told = [each.unix for each in self.nodes.values() if each.beat > index - RECENT]
        if len(told) < CLOCKS_LEAST:
            return 0
        off = node.unix - round(median(told))
        return off if abs(off) > CLOCK_OFF else 0

    def leave(self, what: Leave) -> Done:
        node = self.nodes.get(what.node)
        if node is None or node.life != what.life:
            return Done(False, "no such node")
        del self.nodes[what.node]
        return Done(True)

    def open(self, name: str, share: float) -> Done:
        node = self.nodes.get(name)
        if node is None or node.door == Door.GONE:
            return Done(False, "nothing is heard of it")
        if share > 0 and node.door == Door.SHUT:
            node.wave = self.plan.wave if self.plan is not None else 0
        node.door = Door.OPEN if share > 0 else Door.SHUT
        node.share = min(1.0, max(0.0, share))
        return Done(True)

    # -- the owner -------------------------------------------------------------------------------------

    def lost(self, what: Lost) -> Done:
        node = self.nodes.get(what.node)
        if node is None or node.beat != what.beat:
            return Done(False, "it was heard since")
        node.door, node.share = Door.GONE, 0.0
        return Done(True)

    def new_epoch(self, what: NewEpoch) -> Done:
        """Who kept its power stays open, and learns of the epoch at its next report."""
        if what.after != self.epoch:
            return Done(False, "another epoch has begun since")
        self.epoch += 1
        self.plan = Plan(0.0, why=what.why[:REASON_MOST])
        return Done(True)

    def wave(self, what: Wave) -> Done:
        if what.plan is not None and self.plan is not None:
            what.plan.held = self.plan.held  # an operator's word that the owner has not seen yet
            if what.plan.held:
                return Done(False, "an operator holds the plan")
        self.plan = what.plan
        for name, share in what.shares.items():
            self.open(name, share)
        return Done(True)

    # -- the state -------------------------------------------------------------------------------------

    def read(self, query: Any) -> Any:
        return {"epoch": self.epoch, "nodes": self.nodes, "plan": self.plan}

    def dump(self) -> Any:
        return Dumped(self.epoch, self.nodes, self.plan)

    def load(self, dumped: msgspec.Raw) -> None:
        found = decode_dumped(dumped)
        self.epoch, self.nodes, self.plan = found.epoch, found.nodes, found.plan
