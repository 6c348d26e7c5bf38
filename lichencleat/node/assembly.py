"""One real node, put together from its parts: started, settings to leave, and ended."""

from __future__ import annotations

import os
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, DeferredList

from lichencleat.node.catalogue import Catalogue, max_catalogue_links
from lichencleat.node.config import StartSettings
from lichencleat.node.deadlines import Deadlines
from lichencleat.node.dispatchers import DEFAULT_MEMORY, DispatcherListener
from lichencleat.node.host import RequestEngine
from lichencleat.node.interpreter import Interpreter
from lichencleat.node.membership import Membership
from lichencleat.node.report import Report
from lichencleat.reactor import unix_time

DRAIN_CHECK_PERIOD = 20_000  # µs between looks whether all is answered, while leaving
STATUS_PERIOD = 10_000_000  # µs between lines that tell what the node believes: a log stays readable
EXIT_MARGIN = 150_000  # µs before the stop by which the program ends in any case
FLUSH_MARGIN = 50_000  # µs before the stop by which the last flow records are sent or given up
EXIT_CANNOT_START = 2  # exit code
FINAL_WRITE_DELAY = 50_000  # µs for answers to go out on connections that are ended as the time is up
GOAWAY_DELAY = 300_000  # µs after goaway for what crosses it, and for the last answers to go out


class UnixClock:
    """Whole microseconds of Unix time, never going back within a life."""

    def __init__(self) -> None:
        self.last = 0

    def __call__(self) -> int:
        self.last = max(self.last, unix_time())
        return self.last


class RealNode:
    def __init__(
        self, reactor: Any, clock: Any, settings: StartSettings, operator_config: Any = None
    ) -> None:
        """`chosen`: the operators' file, as config.schema.NodeConfig, where the node is settings of one."""
        self.reactor, self.clock, self.settings = reactor, clock, settings
        self.report = self.make_report(operator_config)
        self.deadlines = Deadlines(reactor, self.report.log_exception)
        self.interpreter = Interpreter(reactor, settings.interpreter, self.deadlines, self.report)
        self.catalogue = Catalogue(
            reactor,
            settings.catalogue,
            self.deadlines,
            self.report,
            max_catalogue_links(settings.descriptors),
        )
        self.membership = Membership(settings.name, settings.members, self.deadlines, self.report)
        self.engine = RequestEngine(
            settings.machine,
            settings.gauges,
            settings.seed,
            clock,
            self.deadlines,
            self.interpreter,
            self.catalogue,
            self.report,
        )
        self.flows: Any = None
        if operator_config is not None and operator_config.flows is not None:
            from lichencleat.flows.assembly import Flows  # off means not imported: memory counts

            self.flows = Flows(
                reactor, clock, self.deadlines, self.report, settings.seed, operator_config.flows
            )
            if operator_config.flows.links:
                self.interpreter.wrap = self.catalogue.wrap = self.flows.metered
        self.keyed: Any = None
        self.operator_config = operator_config
        if operator_config is not None and operator_config.keyed is not None:
            from lichencleat.idempotency.assembly import (
                create_service,  # off means not imported: memory counts
            )

            self.keyed = self.engine.keyed = create_service(self, settings.name, operator_config.keyed, clock)
            self.engine.can_record = False
        self.fleet: Any = None
        if operator_config is not None and operator_config.fleet is not None:
            from lichencleat.node.fleet import FleetNode  # off means not imported: memory counts

            rng, events = Random(os.urandom(16)), self.report.events()
            self.fleet = FleetNode(
                reactor, settings.name, operator_config.fleet, self.engine, self.keyed, unix_time, rng, events
            )
        self.distributed: Any = None
        if operator_config is not None and operator_config.distribution is not None:
            from lichencleat.node.tenants import DistributedConfig  # off means not imported: memory counts

            rng, distribution_config = Random(os.urandom(16)), operator_config.distribution
            self.distributed = DistributedConfig(
                reactor, settings.name, distribution_config, settings.tenants, unix_time, rng, self.report
            )
        self.dispatchers = DispatcherListener(
            self.engine,
            self.deadlines,
            self.report,
            settings.descriptors,
            self.distributed.tenants if self.distributed is not None else settings.tenants,
            self.flows,
            settings.memory or DEFAULT_MEMORY,
        )
        self.ended: Deferred = Deferred()
        self.stop_at: int | None = None
        self.code = 0  # for the process to exit with

    def make_report(self, operator_config: Any) -> Report:
        if operator_config is None or operator_config.log is None:
            return Report(self.settings.name, self.clock)
        from lichencleat.node.structured import StructuredReport  # off means not imported: memory counts

        return StructuredReport(self.settings.name, self.clock, operator_config.log.form)

    def start(self) -> None:
        self.dispatchers.listen(self.reactor, self.settings.listen)
        self.interpreter.start().addCallback(self.engine.on_interpreter_ready)
        self.membership.start(self.reactor, self.settings.listen[0])
        self.deadlines.after(STATUS_PERIOD, self.log_status)
        if self.flows is not None:
            self.flows.start()
        if self.fleet is not None:
            self.fleet.start()
        if self.distributed is not None:
            self.distributed.start().addErrback(self.on_distribution_failed)
        if self.keyed is not None:
            from lichencleat.idempotency.assembly import start_service

            started = start_service(self.reactor, self.keyed, self.operator_config.keyed, self.clock)
            started.addErrback(self.on_start_failed)

    def on_start_failed(self, failure: Any) -> None:
        """Nothing receipted was begun: the program ends with what is wrong, and serves nothing."""
        self.code = EXIT_CANNOT_START
        self.report.note(f"can't start: {failure.getErrorMessage()}")
        self.dispatchers.stop_listening()
        self.stop_parts()

    def on_distribution_failed(self, failure: Any) -> None:
        """A fault of ours: the node goes on with what it has."""
        self.report.count("node", "errors")
        self.report.note(f"error in distribution: {failure.getErrorMessage()}")

    def log_status(self) -> None:
        """One line with what the node believes, to be compared with what its peers see."""
        self.deadlines.after(STATUS_PERIOD, self.log_status)
        parts = [self.dispatchers, self.engine, self.interpreter, self.catalogue, self.membership]
        descriptions = [each.describe() for each in parts]
        if self.flows is not None:
            descriptions.append(f"flows: {self.flows.beliefs()}")
        if self.fleet is not None:
            descriptions.append(f"fleet: {self.fleet.describe()}")
        if self.keyed is not None:
            descriptions.append(f"keyed: {self.keyed.describe()}")
        if self.distributed is not None:
            descriptions.append(f"distribution: {self.distributed.describe()}")
        self.report.note("believes: " + "; ".join(descriptions))

    def reload(self, settings: StartSettings, operator_config: Any = None) -> None:
        """Take over new addresses and the time to stop; log which other changes need a restart."""
        moved_parts = {
            "interpreter": self.interpreter.set_address(settings.interpreter),
            "catalogue": self.catalogue.set_address(settings.catalogue),
            "membership": self.membership.set_address(settings.members),
        }
        fixed = {
            "name": "name",
            "listen": "listen",
            "seed": "seed",
            "limits": "descriptors",
            "settings": "settings_checksum",
        }
        unchanged = [
            key for key, name in fixed.items() if getattr(settings, name) != getattr(self.settings, name)
        ]
        if self.distribution_of(operator_config) != self.distribution_of(self.operator_config):
            unchanged.append("distribution")
        self.settings.stop_after = settings.stop_after
        self.report.count("node", "configurations read")
        moved = ", ".join(name for name, did in moved_parts.items() if did) or "nothing"
        restart_note = f"; {', '.join(unchanged)} changed, which needs a restart" if unchanged else ""
        flows = (
            f"; {self.flows.reload(operator_config.flows if operator_config else None)}"
            if self.flows is not None
            else ""
        )
        self.report.note(f"configuration read again: {moved} moved{restart_note}{flows}")

    @staticmethod
    def distribution_of(operator_config: Any) -> Any:
        return operator_config.distribution if operator_config is not None else None

    def leave(self) -> None:
        """The notice to leave: only the first one counts."""
        if self.stop_at is None:
            now = self.clock()
            self.stop_at = now + self.settings.stop_after
            self.report.note("told to leave")
            self.engine.start_draining(self.stop_at)
            self.membership.leave()
            if self.fleet is not None:
                self.fleet.leave()
            latest = max(0, self.settings.stop_after - EXIT_MARGIN - GOAWAY_DELAY)
            self.deadlines.after(min(self.settings.machine.drain_grace_us, latest), self.check_drained)

    def check_drained(self) -> None:
        """After the grace nothing new is run: the program ends as soon as all is answered."""
        if self.engine.unanswered_count() and self.clock() < self.stop_at - EXIT_MARGIN - GOAWAY_DELAY:
            self.deadlines.after(DRAIN_CHECK_PERIOD, self.check_drained)
        else:
            self.dispatchers.stop_listening()
            self.dispatchers.send_goaway()
            left = max(0, self.stop_at - EXIT_MARGIN - self.clock())
            self.deadlines.after(min(GOAWAY_DELAY, left), self.close_listener)

    def close_listener(self) -> None:
        """Once all connections have ended, in their own time; or, where that is short, with their answers."""
        open_still = self.engine.unanswered_count() or len(self.dispatchers.connections)
        if open_still and self.clock() < self.stop_at - EXIT_MARGIN:
            self.deadlines.after(DRAIN_CHECK_PERIOD, self.close_listener)
            return
        self.report.note(f"left with {self.engine.unanswered_count()} unanswered")
        if len(self.dispatchers.connections):
            self.dispatchers.close()
            left = max(0, self.stop_at - FLUSH_MARGIN - self.clock())
            self.deadlines.after(min(FINAL_WRITE_DELAY, left), self.stop_parts)
        else:
            self.stop_parts()

    def stop_parts(self) -> None:
        """All answers are out: what is left to write is flushed, as far as the time to stop allows."""
        self.membership.stop()
        self.interpreter.stop()
        self.catalogue.stop()
        if self.fleet is not None:
            self.fleet.stop()
        now = self.clock()
        left = (self.stop_at or now + self.settings.stop_after) - FLUSH_MARGIN - now
        flushed = []
        if self.flows is not None:
            flushed.append(self.flows.flush(left))
        if self.keyed is not None:
            flushed.append(self.keyed.close())
        if self.distributed is not None:  # it followed until now: what is in hand goes by its word
            flushed.append(self.distributed.stop())
        if not flushed:
            self.on_flushed()
            return
        self.deadlines.after(left, self.on_flushed)  # guards the time to stop, whatever happens to the flush
        DeferredList(flushed, consumeErrors=True).addBoth(self.on_flushed)

    def on_flushed(self, _: Any = None) -> None:
        if not self.ended.called:
            if self.flows is not None:
                self.flows.tell_totals()
            self.report.summary()
            self.ended.callback(None)
