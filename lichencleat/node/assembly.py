"""Builds a node from its parts, starts it, drains it and stops it."""

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

DRAIN_CHECK_PERIOD = 20_000  # µs between checks of a drain for unanswered requests and open connections
STATUS_PERIOD = 10_000_000  # µs between status lines; more frequent lines would make the log hard to read
# µs between the moment at which a draining node stops waiting for requests and clients, and its stop time
EXIT_MARGIN = 150_000
# µs between the end of the final flush, when unwritten data is given up, and the stop time
FLUSH_MARGIN = 50_000
EXIT_CANNOT_START = 2  # exit code of a node that cannot start
FINAL_WRITE_DELAY = 50_000  # µs to send the last answers on connections that clients have not closed in time
# µs from the goaway to the closing of connections: time for requests sent before clients read the goaway,
# and for the last answers
GOAWAY_DELAY = 300_000


class UnixClock:
    """A clock that returns Unix time in µs and never goes back during the life of the process."""

    def __init__(self) -> None:
        self.last = 0

    def __call__(self) -> int:
        self.last = max(self.last, unix_time())
        return self.last


class RealNode:
    """A node with all its parts, on real sockets."""

    def __init__(
        self, reactor: Any, clock: Any, settings: StartSettings, operator_config: Any = None
    ) -> None:
        """Build all parts. `operator_config`: a config.schema.NodeConfig; None without an operators' file."""
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
            # imported only with a `flows` section, to save memory
            from lichencleat.flows.assembly import FlowExport

            self.flows = FlowExport(
                reactor, clock, self.deadlines, self.report, settings.seed, operator_config.flows
            )
            if operator_config.flows.links:
                self.interpreter.wrap = self.catalogue.wrap = self.flows.wrap_factory
        self.keyed: Any = None
        self.operator_config = operator_config
        if operator_config is not None and operator_config.keyed is not None:
            # imported only with a `keyed` section, to save memory
            from lichencleat.idempotency.assembly import create_service

            self.keyed = self.engine.keyed = create_service(self, settings.name, operator_config.keyed, clock)
            self.engine.can_record = False
        self.fleet: Any = None
        if operator_config is not None and operator_config.fleet is not None:
            # imported only with a `fleet` section, to save memory
            from lichencleat.node.fleet import FleetNode

            rng, events = Random(os.urandom(16)), self.report.events()
            self.fleet = FleetNode(
                reactor, settings.name, operator_config.fleet, self.engine, self.keyed, unix_time, rng, events
            )
        self.distributed: Any = None
        if operator_config is not None and operator_config.distribution is not None:
            # imported only with a `distribution` section, to save memory
            from lichencleat.node.tenants import DistributedConfig

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
        self.stop_at: int | None = None  # µs of Unix time by which the process ends; None before a drain
        self.code = 0  # exit code of the process

    def make_report(self, operator_config: Any) -> Report:
        """Create the report: structured if the operators' file has a `log` section, otherwise plain text."""
        if operator_config is None or operator_config.log is None:
            return Report(self.settings.name, self.clock)
        # imported only with a `log` section, to save memory
        from lichencleat.node.structured import StructuredReport

        return StructuredReport(self.settings.name, self.clock, operator_config.log.form)

    def start(self) -> None:
        """Listen for dispatchers, connect to the interpreter, and start all other parts."""
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
        """Log why the idempotency service could not start, and stop; no keyed request was started."""
        self.code = EXIT_CANNOT_START
        self.report.note(f"can't start: {failure.getErrorMessage()}")
        self.dispatchers.stop_listening()
        self.stop_parts()

    def on_distribution_failed(self, failure: Any) -> None:
        """Log an error of the configuration distribution; the node keeps its current configuration."""
        self.report.count("node", "errors")
        self.report.note(f"error in distribution: {failure.getErrorMessage()}")

    def log_status(self) -> None:
        """Log one line with the state of each part, to compare with the logs of the node's peers."""
        self.deadlines.after(STATUS_PERIOD, self.log_status)
        parts = [self.dispatchers, self.engine, self.interpreter, self.catalogue, self.membership]
        descriptions = [each.describe() for each in parts]
        if self.flows is not None:
            descriptions.append(f"flows: {self.flows.describe()}")
        if self.fleet is not None:
            descriptions.append(f"fleet: {self.fleet.describe()}")
        if self.keyed is not None:
            descriptions.append(f"keyed: {self.keyed.describe()}")
        if self.distributed is not None:
            descriptions.append(f"distribution: {self.distributed.describe()}")
        self.report.note("believes: " + "; ".join(descriptions))

    def reload(self, settings: StartSettings, operator_config: Any = None) -> None:
        """Apply changed addresses and the changed stop time; log which other changes need a restart."""
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
        needs_restart = [
            key for key, name in fixed.items() if getattr(settings, name) != getattr(self.settings, name)
        ]
        if self.distribution_of(operator_config) != self.distribution_of(self.operator_config):
            needs_restart.append("distribution")
        self.settings.stop_after = settings.stop_after
        self.report.count("node", "configurations read")
        moved = ", ".join(name for name, has_changed in moved_parts.items() if has_changed) or "nothing"
        restart_note = f"; {', '.join(needs_restart)} changed, which needs a restart" if needs_restart else ""
        flows = (
            f"; {self.flows.reload(operator_config.flows if operator_config else None)}"
            if self.flows is not None
            else ""
        )
        self.report.note(f"configuration read again: {moved} moved{restart_note}{flows}")

    @staticmethod
    def distribution_of(operator_config: Any) -> Any:
        """Return the `distribution` section of the operators' file, or None if there is none."""
        return operator_config.distribution if operator_config is not None else None

    def leave(self) -> None:
        """Start to drain the node; further calls do nothing."""
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
        """Send goaway once all requests are answered, or when the stop time is near.

        The first check follows at the end of the drain grace, after which no new run starts.
        """
        if self.engine.unanswered_count() and self.clock() < self.stop_at - EXIT_MARGIN - GOAWAY_DELAY:
            self.deadlines.after(DRAIN_CHECK_PERIOD, self.check_drained)
        else:
            self.dispatchers.stop_listening()
            self.dispatchers.send_goaway()
            time_left = max(0, self.stop_at - EXIT_MARGIN - self.clock())
            self.deadlines.after(min(GOAWAY_DELAY, time_left), self.close_connections)

    def close_connections(self) -> None:
        """Stop once all clients have closed their connections, or when the stop time is near.

        Connections that are still open then are closed, with `FINAL_WRITE_DELAY` to send their last answers.
        """
        has_open = self.engine.unanswered_count() or len(self.dispatchers.connections)
        if has_open and self.clock() < self.stop_at - EXIT_MARGIN:
            self.deadlines.after(DRAIN_CHECK_PERIOD, self.close_connections)
            return
        self.report.note(f"drain ended with {self.engine.unanswered_count()} unanswered requests")
        if len(self.dispatchers.connections):
            self.dispatchers.close()
            time_left = max(0, self.stop_at - FLUSH_MARGIN - self.clock())
            self.deadlines.after(min(FINAL_WRITE_DELAY, time_left), self.stop_parts)
        else:
            self.stop_parts()

    def stop_parts(self) -> None:
        """Stop all parts; parts with unwritten data flush this data before the stop time."""
        self.membership.stop()
        self.interpreter.stop()
        self.catalogue.stop()
        if self.fleet is not None:
            self.fleet.stop()
        now = self.clock()
        time_left = (self.stop_at or now + self.settings.stop_after) - FLUSH_MARGIN - now
        flushed = []
        if self.flows is not None:
            flushed.append(self.flows.flush(time_left))
        if self.keyed is not None:
            flushed.append(self.keyed.close())
        if self.distributed is not None:  # stopped only now: pending requests needed the list of tenants
            flushed.append(self.distributed.stop())
        if not flushed:
            self.on_flushed()
            return
        self.deadlines.after(time_left, self.on_flushed)  # stop in time even if a flush does not finish
        DeferredList(flushed, consumeErrors=True).addBoth(self.on_flushed)

    def on_flushed(self, _: Any = None) -> None:
        """Write the counters and fire `ended`; further calls do nothing."""
        if not self.ended.called:
            if self.flows is not None:
                self.flows.report_totals()
            self.report.summary()
            self.ended.callback(None)
