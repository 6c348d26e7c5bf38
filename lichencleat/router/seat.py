"""A router's seat at the voters: its evidence goes there, the newest order comes back; and the owner's work,
where this process has that job. Decides nothing itself.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.python.failure import Failure

from lichencleat.consensus.client import Client
from lichencleat.failover.judge import LOOK, Judge
from lichencleat.failover.terms import JOB, Order, Source, Tell, Wished, Zone
from lichencleat.leases.lease_client import LeaseClient
from lichencleat.router.core import Router

PATIENCE = 1.0  # s for an answer of the voters
SECOND = 1_000_000  # µs


class Telling:
    """Owns the timer of the evidence."""

    def __init__(
        self, reactor: Any, client: Client, core: Router, name: str, clock: Callable[[], int], log: Any
    ) -> None:
        self.reactor, self.client, self.core, self.name = reactor, client, core, name
        self.clock, self.log = clock, log
        self.timer: Any = None
        self.left = False
        self.well = True

    def start(self) -> None:
        self.tell()

    def tell(self) -> None:
        if self.left:
            return
        core = self.core
        offered, seen = core.evidence(self.clock())
        what = Tell(self.name, core.zone, core.near.order.number, offered, seen)
        told = self.client.propose("zones", what, PATIENCE)
        told.addCallbacks(self.answered, self.failed).addBoth(self.again)

    def again(self, _: Any) -> None:
        if not self.left:
            self.timer = self.reactor.callLater(LOOK / SECOND, self.tell)

    def answered(self, told: Any) -> None:
        try:
            order = msgspec.convert(told, Order)
        except msgspec.ValidationError:  # voters of a version that knows no zones
            self.says("the voters know no zones")
            return
        before = self.core.near.order.number
        if not self.core.ordered(self.clock(), order):
            self.says(f"an older order came: {order.number} after {before}")
            return
        if order.number != before:
            self.log.info("order", number=order.number, token=order.token, reason=order.why)
        self.well = True

    def failed(self, failure: Failure) -> None:
        self.says(failure.getErrorMessage())

    def says(self, why: str) -> None:
        """Once for each time that it begins to go wrong; the last order holds meanwhile."""
        if self.well:
            self.log.warning("no word of the order", reason=why)
        self.well = False

    def stop(self) -> None:
        self.left = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()


class Judging:
    """The owner's work: a look at the evidence every so often, and what follows from it; a `LeaseListener`"""

    def __init__(self, reactor: Any, client: Client, log: Any) -> None:
        self.reactor, self.client, self.log = reactor, client, log
        self.lease_client: LeaseClient | None = None
        self.judge: Judge | None = None
        self.timer: Any = None
        self.why = ""

    def on_lease_acquired(self, job: str, fencing_token: int) -> None:
        if job == JOB:
            self.judge = Judge(fencing_token)
            self.look()

    def on_lease_lost(self, job: str, reason: str) -> None:
        if job == JOB:
            self.judge = None
            if self.timer is not None and self.timer.active():
                self.timer.cancel()

    def look(self) -> None:
        judge = self.judge
        if judge is not None:
            told = self.client.read("zones", None, PATIENCE)
            told.addCallbacks(self.sees, lambda failure: self.again(judge), callbackArgs=(judge,))

    def again(self, judge: Judge) -> None:
        if judge is self.judge:
            self.timer = self.reactor.callLater(LOOK / SECOND, self.look)

    def sees(self, told: Any, judge: Judge) -> None:
        if judge is not self.judge:
            return
        self.again(judge)
        if not told:  # voters of an older version know no zones
            return
        said = judge.looks(
            int(self.reactor.seconds() * SECOND),
            msgspec.convert(told["zones"], dict[str, Zone]),
            msgspec.convert(told["order"], Order),
            msgspec.convert(told["sources"], dict[str, Source]),
            msgspec.convert(told["wishes"], dict[str, Wished]),
        )
        for what in said:
            if self.lease_client is None or self.lease_client.fencing_token(JOB) is None:
                return
            self.tell(what)
            self.client.propose("zones", what, PATIENCE).addErrback(
                lambda failure: self.log.warning("order not told", reason=failure.getErrorMessage())
            )

    def tell(self, what: Any) -> None:
        """One line for each order, with its reason."""
        order = getattr(what, "order", None)
        if order is not None and order.why != self.why:
            self.why = order.why
            self.log.info("gives an order", after=what.after, reason=order.why)
