"""A node's part in a return, and the owner's work where this process has that job; decides nothing itself."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.python.failure import Failure

from lichencleat.admission.service_times import RUNS_FEW
from lichencleat.consensus.client import Client
from lichencleat.leases.lease_client import LeaseClient
from lichencleat.quotas.messages import SetAllocatableShare
from lichencleat.recovery import boot as boots
from lichencleat.recovery import figures
from lichencleat.recovery.planner import Planner
from lichencleat.recovery.terms import JOB, Leave, Node, Plan, Word
from lichencleat.recovery.waking import Waking

SECOND = 1_000_000  # µs
LOOK = 0.1  # s between looks at what may be served
PATIENCE = 1.0  # s for the answer to a report
PLAN = 0.3  # s between the owner's looks
BOOT, FIGURES = b"b", b"f"  # keys in the node's store: of the boot record, of what it learned


class Record:
    """The boot record, kept in the store of the node's receipts with each of its signs of life."""

    def __init__(self, group: str, clock: Callable[[], int]) -> None:
        self.group, self.clock = group, clock
        self.before: boots.Boot | None = None
        self.now: boots.Boot | None = None
        self.judged = boots.Clock.PLAUSIBLE
        self.epoch = 0

    def opened(self, get: Callable[[bytes], bytes | None]) -> None:
        """Raises boot.WrongBootError."""
        self.before = boots.found(get(BOOT), self.group)
        self.judged = boots.judge(self.before, self.clock())
        self.now = boots.begun(self.before, self.clock(), self.group)
        self.epoch = self.now.epoch

    def sign(self, ends: bool) -> tuple[bytes, bytes]:
        """What goes to the disk with a sign of life; `ends`: the last one of a proper end."""
        assert self.now is not None
        return BOOT, boots.encode(
            msgspec.structs.replace(self.now, clean=ends, seen=self.clock(), epoch=self.epoch)
        )


class Learned:
    """What the node learned of its speed, kept in the same store. Tells the host of the life before, once."""

    def __init__(self, host: Any, log: Any) -> None:
        self.host, self.log = host, log
        self.before: dict[str, int] = {}
        self.to_tell = False

    def opened(self, get: Callable[[bytes], bytes | None]) -> None:
        machine = self.host.machine
        longest = {each.name: each.deadline for each in machine.request_classes}
        self.before, why = figures.recalled(get(FIGURES), machine.cores, longest)
        self.to_tell = bool(self.before)
        if self.before or why:
            runs = ", ".join(f"{name} {took / 1000:.1f} ms" for name, took in self.before.items())
            self.log.info("recalls", runs=runs or "nothing", reason=why or "of its life before")

    def sign(self, ends: bool) -> tuple[bytes, bytes]:
        node = self.host.node
        known = node.service_times.samples.items() if node is not None else ()
        now = {
            each.name: int(node.service_times.usual(each)) for each, times in known if len(times) >= RUNS_FEW
        }
        return FIGURES, figures.to_keep(self.host.machine.cores, self.before, now)

    def tell(self) -> None:
        """The decisions begin once the interpreter is up, the store may be read before or after."""
        if self.to_tell and self.host.node is not None:
            self.to_tell = False
            for name, took in self.before.items():
                self.host.node.seed_run_time(
                    self.host.clock(), self.host.request_classes[name.encode()], took
                )


class Return:
    """Owns the timer of the node's reports. Tells the host how far it may serve."""

    def __init__(
        self,
        reactor: Any,
        client: Client,
        host: Any,
        waking: Waking,
        record: Record,
        proof: Callable[[], bool],
        unix: Callable[[], int],
        log: Any,
    ) -> None:
        """`host`: as net.host.Host; `proof`: do its receipts stand?"""
        self.reactor, self.client, self.host, self.log = reactor, client, host, log
        self.waking, self.record, self.proof, self.unix = waking, record, proof, unix
        self.learned = Learned(host, log)
        self.told: tuple[float, bool] | None = None
        self.said = ""
        self.timer: Any = None
        self.left = False

    def now(self) -> int:
        return int(self.reactor.seconds() * SECOND)

    def start(self) -> None:
        self.step()

    def step(self) -> None:
        if self.left:
            return
        waking, now = self.waking, self.now()
        self.learned.tell()
        waking.ready, waking.proof = self.host.ready(), self.proof()
        if self.record.now is not None and not waking.heard:
            waking.clock, waking.epoch = self.record.judged, max(waking.epoch, self.record.epoch)
            waking.clean = self.record.before.clean if self.record.before is not None else False
        self.tell(now)
        report = waking.next_report(now, self.unix(), self.host.strain(), self.host.speed())
        if report is not None:
            self.client.propose("revive", report, PATIENCE).addCallbacks(self.answered, self.failed)
        self.timer = self.reactor.callLater(LOOK, self.step)

    def tell(self, now: int) -> None:
        may = self.waking.may(now)
        if (may.share, may.receipted) != self.told:
            self.told = (may.share, may.receipted)
            self.host.may_serve(may.share, may.receipted)
        said = f"{may.share:.2f} {may.receipted} {may.why}"
        if said != self.said:
            self.said = said
            self.log.info(
                "opens", share=may.share, receipted=may.receipted, epoch=self.waking.epoch, reason=may.why
            )

    def answered(self, told: Any) -> None:
        try:
            word = msgspec.convert(told, Word)
        except msgspec.ValidationError:  # voters of an older version
            self.waking.failed(self.now())
            return
        if self.waking.answered(self.now(), word):
            self.record.epoch = word.epoch
            self.log.info("epoch", epoch=word.epoch)
        self.tell(self.now())

    def failed(self, failure: Failure) -> None:
        self.waking.failed(self.now())

    def leave(self) -> None:
        """At a drain: the fleet is told that it is no loss."""
        self.stop()
        what = Leave(self.waking.node, self.waking.life)
        self.client.propose("revive", what, PATIENCE).addErrback(lambda failure: None)

    def stop(self) -> None:
        self.left = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def beliefs(self) -> str:
        may = self.waking.may(self.now())
        why = f", {may.why}" if may.why else ""
        receipted = "on" if may.receipted else "off"
        return f"epoch {self.waking.epoch}, open to {may.share:.2f}, receipted {receipted}{why}"


class Planning:
    """The owner's work: a look at the fleet every so often, and what follows from it. A `LeaseListener`."""

    def __init__(self, reactor: Any, client: Client, log: Any) -> None:
        self.reactor, self.client, self.log = reactor, client, log
        self.job = JOB
        self.lease_client: LeaseClient | None = None
        self.planner: Planner | None = None
        self.timer: Any = None
        self.why = ""

    def on_lease_acquired(self, job: str, fencing_token: int) -> None:
        if job == JOB:
            self.planner = Planner(fencing_token)
            self.look()

    def on_lease_lost(self, job: str, reason: str) -> None:
        if job == JOB:
            self.planner = None
            if self.timer is not None and self.timer.active():
                self.timer.cancel()

    def look(self) -> None:
        planner = self.planner
        if planner is not None:
            told = self.client.read("revive", None, PATIENCE)
            told.addCallbacks(self.sees, lambda failure: self.again(planner), callbackArgs=(planner,))

    def again(self, planner: Planner) -> None:
        if planner is self.planner:
            self.timer = self.reactor.callLater(PLAN, self.look)

    def sees(self, told: Any, planner: Planner) -> None:
        if planner is not self.planner:
            return
        self.again(planner)
        if not told:  # voters of an older version know of no fleet
            return
        nodes = msgspec.convert(told["nodes"], dict[str, Node])
        plan = msgspec.convert(told["plan"], Plan | None)
        said = planner.looks(int(self.reactor.seconds() * SECOND), told["epoch"], nodes, plan)
        for what in said:
            if self.lease_client is None or self.lease_client.fencing_token(JOB) is None:
                return
            self.tell(what)
            part = "shares" if isinstance(what, SetAllocatableShare) else "revive"
            self.client.propose(part, what, PATIENCE).addErrback(
                lambda failure: self.log.warning("plan not told", reason=failure.getErrorMessage())
            )

    def tell(self, what: Any) -> None:
        """One line for each stage, with its reason."""
        plan = getattr(what, "plan", None)
        why = plan.why if plan is not None else getattr(what, "why", "")
        if why and why != self.why:
            self.why = why
            self.log.info("plan", token=what.token, reason=why)
