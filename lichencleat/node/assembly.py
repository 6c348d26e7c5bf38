"""One real node, put together from its parts: started, told to leave, and ended."""

from __future__ import annotations

import os
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, DeferredList

from lichencleat.node.catalogue import Catalogue, links_most
from lichencleat.node.config import Told
from lichencleat.node.deadlines import Deadlines
from lichencleat.node.dispatchers import MEMORY_LEAST, Dispatchers
from lichencleat.node.host import Host
from lichencleat.node.interpreter import Interpreter
from lichencleat.node.membership import Membership
from lichencleat.node.report import Report
from lichencleat.reactor import unix_time

LOOK = 20_000  # µs between looks whether all is answered, while leaving
BELIEFS = 10_000_000  # µs between lines that tell what the node believes: a log stays readable
CLOSED_BY = 150_000  # µs before the stop by which the program ends in any case
FLUSHED_BY = 50_000  # µs before the stop by which the last flow records are sent or given up
CANT_START = 2  # exit code
LAST = 50_000  # µs for answers to go out on connections that are ended as the time is up
CROSSING = 300_000  # µs after goaway for what crosses it, and for the last answers to go out


class UnixClock:
    """Whole microseconds of Unix time, never going back within a life."""

    def __init__(self) -> None:
        self.last = 0

    def __call__(self) -> int:
        self.last = max(self.last, unix_time())
        return self.last


class RealNode:
    def __init__(self, reactor: Any, clock: Any, told: Told, chosen: Any = None) -> None:
        """`chosen`: the operators' file, as config.schema.NodeConfig, where the node is told of one."""
        self.reactor, self.clock, self.told = reactor, clock, told
        self.report = self.make_report(chosen)
        self.deadlines = Deadlines(reactor, self.report.trouble)
        self.interpreter = Interpreter(reactor, told.interpreter, self.deadlines, self.report)
        self.catalogue = Catalogue(
            reactor, told.catalogue, self.deadlines, self.report, links_most(told.descriptors)
        )
        self.membership = Membership(told.name, told.members, self.deadlines, self.report)
        self.host = Host(
            told.machine,
            told.gauges,
            told.seed,
            clock,
            self.deadlines,
            self.interpreter,
            self.catalogue,
            self.report,
        )
        self.flows: Any = None
        if chosen is not None and chosen.flows is not None:
            from lichencleat.flows.assembly import FlowExport  # off means not imported: memory counts

            self.flows = FlowExport(reactor, clock, self.deadlines, self.report, told.seed, chosen.flows)
            if chosen.flows.links:
                self.interpreter.wrap = self.catalogue.wrap = self.flows.wrap_factory
        self.keyed: Any = None
        self.chosen = chosen
        if chosen is not None and chosen.keyed is not None:
            from lichencleat.idempotency.assembly import (
                create_service,  # off means not imported: memory counts
            )

            self.keyed = self.host.keyed = create_service(self, told.name, chosen.keyed, clock)
            self.host.able = False
        self.fleet: Any = None
        if chosen is not None and chosen.fleet is not None:
            from lichencleat.node.fleet import FleetNode  # off means not imported: memory counts

            rng, events = Random(os.urandom(16)), self.report.events()
            self.fleet = FleetNode(
                reactor, told.name, chosen.fleet, self.host, self.keyed, unix_time, rng, events
            )
        self.distributed: Any = None
        if chosen is not None and chosen.distribution is not None:
            from lichencleat.node.tenants import Distributed  # off means not imported: memory counts

            rng, choice = Random(os.urandom(16)), chosen.distribution
            self.distributed = Distributed(
                reactor, told.name, choice, told.tenants, unix_time, rng, self.report
            )
        self.dispatchers = Dispatchers(
            self.host,
            self.deadlines,
            self.report,
            told.descriptors,
            self.distributed.tenants if self.distributed is not None else told.tenants,
            self.flows,
            told.memory or MEMORY_LEAST,
        )
        self.ended: Deferred = Deferred()
        self.stop_at: int | None = None
        self.code = 0  # for the process to exit with

    def make_report(self, chosen: Any) -> Report:
        if chosen is None or chosen.log is None:
            return Report(self.told.name, self.clock)
        from lichencleat.node.structured import StructuredReport  # off means not imported: memory counts

        return StructuredReport(self.told.name, self.clock, chosen.log.form)

    def start(self) -> None:
        self.dispatchers.listen(self.reactor, self.told.listen)
        self.interpreter.start().addCallback(self.host.begin)
        self.membership.start(self.reactor, self.told.listen[0])
        self.deadlines.after(BELIEFS, self.tell_beliefs)
        if self.flows is not None:
            self.flows.start()
        if self.fleet is not None:
            self.fleet.start()
        if self.distributed is not None:
            self.distributed.start().addErrback(self.cant_follow)
        if self.keyed is not None:
            from lichencleat.idempotency.assembly import start_service

            started = start_service(self.reactor, self.keyed, self.chosen.keyed, self.clock)
            started.addErrback(self.cant_start)

    def cant_start(self, failure: Any) -> None:
        """Nothing receipted was begun: the program ends with what is wrong, and serves nothing."""
        self.code = CANT_START
        self.report.note(f"can't start: {failure.getErrorMessage()}")
        self.dispatchers.stop_listening()
        self.end_at_once()

    def cant_follow(self, failure: Any) -> None:
        """A fault of ours: the node goes on with what it has."""
        self.report.count("node", "errors")
        self.report.note(f"error in distribution: {failure.getErrorMessage()}")

    def tell_beliefs(self) -> None:
        """One line with what the node believes, to be compared with what its peers see."""
        self.deadlines.after(BELIEFS, self.tell_beliefs)
        parts = [self.dispatchers, self.host, self.interpreter, self.catalogue, self.membership]
        beliefs = [each.beliefs() for each in parts]
        if self.flows is not None:
            beliefs.append(f"flows: {self.flows.describe()}")
        if self.fleet is not None:
            beliefs.append(f"fleet: {self.fleet.beliefs()}")
        if self.keyed is not None:
            beliefs.append(f"keyed: {self.keyed.describe()}")
        if self.distributed is not None:
            beliefs.append(f"distribution: {self.distributed.beliefs()}")
        self.report.note("believes: " + "; ".join(beliefs))

    def reload(self, told: Told, chosen: Any = None) -> None:
        """Takes over new addresses and the time to stop; what else changed is told, as it needs a restart."""
        moves = {
            "interpreter": self.interpreter.move(told.interpreter),
            "catalogue": self.catalogue.move(told.catalogue),
            "membership": self.membership.move(told.members),
        }
        fixed = {
            "name": "name",
            "listen": "listen",
            "seed": "seed",
            "limits": "descriptors",
            "settings": "mark",
        }
        waits = [key for key, name in fixed.items() if getattr(told, name) != getattr(self.told, name)]
        if self.distribution_of(chosen) != self.distribution_of(self.chosen):
            waits.append("distribution")
        self.told.stop_after = told.stop_after
        self.report.count("node", "configurations read")
        moved = ", ".join(name for name, did in moves.items() if did) or "nothing"
        late = f"; {', '.join(waits)} changed, which needs a restart" if waits else ""
        flows = f"; {self.flows.reload(chosen.flows if chosen else None)}" if self.flows is not None else ""
        self.report.note(f"configuration read again: {moved} moved{late}{flows}")

    @staticmethod
    def distribution_of(chosen: Any) -> Any:
        return chosen.distribution if chosen is not None else None

    def leave(self) -> None:
        """The notice to leave: only the first one counts."""
        if self.stop_at is None:
            now = self.clock()
            self.stop_at = now + self.told.stop_after
            self.report.note("told to leave")
            self.host.must_leave(self.stop_at)
            self.membership.leave()
            if self.fleet is not None:
                self.fleet.leave()
            latest = max(0, self.told.stop_after - CLOSED_BY - CROSSING)
            self.deadlines.after(min(self.told.machine.drain_grace_us, latest), self.look)

    def look(self) -> None:
        """After the grace nothing new is run: the program ends as soon as all is answered."""
        if self.host.owed() and self.clock() < self.stop_at - CLOSED_BY - CROSSING:
            self.deadlines.after(LOOK, self.look)
        else:
            self.dispatchers.stop_listening()
            self.dispatchers.go_away()
            left = max(0, self.stop_at - CLOSED_BY - self.clock())
            self.deadlines.after(min(CROSSING, left), self.end)

    def end(self) -> None:
        """Once all connections have ended, in their own time; or, where that is short, with their answers."""
        open_still = self.host.owed() or len(self.dispatchers.connections)
        if open_still and self.clock() < self.stop_at - CLOSED_BY:
            self.deadlines.after(LOOK, self.end)
            return
        self.report.note(f"left with {self.host.owed()} unanswered")
        if len(self.dispatchers.connections):
            self.dispatchers.shut()
            left = max(0, self.stop_at - FLUSHED_BY - self.clock())
            self.deadlines.after(min(LAST, left), self.end_at_once)
        else:
            self.end_at_once()

    def end_at_once(self) -> None:
        """All answers are out: what is left to write is flushed, as far as the time to stop allows."""
        self.membership.stop()
        self.interpreter.stop()
        self.catalogue.stop()
        if self.fleet is not None:
            self.fleet.stop()
        now = self.clock()
        left = (self.stop_at or now + self.told.stop_after) - FLUSHED_BY - now
        flushed = []
        if self.flows is not None:
            flushed.append(self.flows.flush(left))
        if self.keyed is not None:
            flushed.append(self.keyed.close())
        if self.distributed is not None:  # it followed until now: what is in hand goes by its word
            flushed.append(self.distributed.stop())
        if not flushed:
            self.over()
            return
        self.deadlines.after(left, self.over)  # guards the time to stop, whatever happens to the flush
        DeferredList(flushed, consumeErrors=True).addBoth(self.over)

    def over(self, _: Any = None) -> None:
        if not self.ended.called:
            if self.flows is not None:
                self.flows.report_totals()
            self.report.summary()
            self.ended.callback(None)
