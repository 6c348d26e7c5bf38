"""`lichencleat router run`: the process of one router, with its connections, signals and exit code."""

from __future__ import annotations

import os
import random
import signal
from typing import Any

from twisted.internet.error import CannotListenError

from lichencleat.admission.types import NodeSpec
from lichencleat.config.errors import InvalidConfigError
from lichencleat.daemon import EXIT_CANNOT_START, EXIT_STOPPED, run_daemon
from lichencleat.failover.controller_task import FailoverControllerTask
from lichencleat.failover.messages import Zone
from lichencleat.leases.lease_client import LeaseClient
from lichencleat.log.structured import create_logger
from lichencleat.node.assembly import UnixClock
from lichencleat.node.deadlines import Deadlines
from lichencleat.node.structured import StructuredReport
from lichencleat.reactor import make_reactor, unix_time
from lichencleat.router.core import Router
from lichencleat.router.door import RouterEngine, RouterListener
from lichencleat.router.file import RouterConfig, RouterFile, parse_address, read_router
from lichencleat.router.health_reporter import HealthReporter
from lichencleat.router.links import MAX_CONNECTIONS
from lichencleat.transport.group_client import GroupClient

STATUS_INTERVAL_US = 10_000_000  # time between log lines with the state of the router
DRAIN_POLL_US = 20_000  # time between checks of a drain for unanswered requests and open connections
# time from the goaway to the closing of connections, for requests sent before callers read the goaway and for
# the last answers
LINGER_US = 300_000
EXIT_MARGIN_US = 150_000  # time before the stop at which the router stops waiting for requests and callers
FLUSH_TIME_US = 50_000  # time to send the last answers on connections that callers have not closed in time
MB = 1 << 20  # bytes


class RouterProcess:
    """A router on the reactor, from its start to its graceful stop.

    Args:
        reactor: The reactor of the process.
        path: Path of the configuration file, for reloads.
        file: The configuration file.
        node_spec: Settings of the nodes.
        tenants: Names of the tenants.
    """

    def __init__(
        self, reactor: Any, path: str, file: RouterFile, node_spec: NodeSpec, tenants: frozenset[bytes]
    ) -> None:
        self.reactor, self.path, self.config, self.node_spec = reactor, path, file.router, node_spec
        config = file.router
        self.exit_code = EXIT_STOPPED
        self.clock = UnixClock()
        self.log = create_logger(
            unix_time, file.log.form, process=config.name, role="router", zone=config.zone, pid=os.getpid()
        )
        self.report = StructuredReport(config.name, self.clock, file.log.form)
        self.report.log = self.log
        self.deadlines = Deadlines(reactor, self.report.log_exception)
        self.rng = random.Random(os.urandom(16))
        self.core = Router(
            config.zone,
            zones_of(config),
            {name: list(each.nodes) for name, each in config.zones.items()},
            node_spec.capacity_signal,
            self.rng,
            self.clock(),
            config.routers,
            node_spec.drain_grace_us,
        )
        self.host = RouterEngine(
            reactor,
            self.core,
            node_spec,
            addresses_of(config),
            self.clock,
            self.deadlines,
            self.report,
            self.rng,
        )
        upstream = min(
            config.descriptors // 2, MAX_CONNECTIONS * sum(len(z.nodes) for z in config.zones.values())
        )
        self.callers = RouterListener(
            self.host,
            self.deadlines,
            self.report,
            config.descriptors - upstream,
            tenants,
            None,
            int(config.memory_mb * MB),
        )
        self.clients: list[GroupClient] = []
        self.health_reporter: HealthReporter | None = None
        self.lease_client: LeaseClient | None = None
        self.stop_at: int | None = None
        self.is_stopped = False

    def start(self) -> None:
        """Listen, install the signal handlers and join the group; stop if the address is not available."""
        host, port = parse_address(self.config.listen)
        try:
            self.callers.listen(self.reactor, (host, port))
        except CannotListenError as error:
            self.log.warning("can't start", reason=str(error))
            self.stop(EXIT_CANNOT_START)
            return
        for number, call in ((signal.SIGHUP, self.reload), (signal.SIGUSR1, self.log_status)):
            signal.signal(number, lambda *_, call=call: self.reactor.callFromThread(call))
        if self.config.group is not None:
            self.join_group(self.config.group)
        self.log.info("started", listen=self.config.listen, nodes=len(self.host.nodes))
        self.deadlines.after(STATUS_INTERVAL_US, self.repeat_status)

    def join_group(self, group: str) -> None:
        """Send health reports to the group; compete for the failover lease if the router is a candidate."""
        self.health_reporter = HealthReporter(
            self.reactor, self.create_client(group), self.core, self.config.name, self.clock, self.log
        )
        self.health_reporter.start()
        if self.config.candidate:
            controller = FailoverControllerTask(self.reactor, self.create_client(group), self.log)
            name, zone = self.config.name, self.config.zone
            self.lease_client = LeaseClient(
                self.reactor, self.create_client(group), name, zone, controller, self.rng, self.log
            )
            controller.lease_client = self.lease_client
            self.lease_client.leases.job_prefixes = [controller.job]
            self.lease_client.start()

    def create_client(self, group: str) -> GroupClient:
        """Create a client of the group, which `stop` closes."""
        addresses = [parse_address(each) for each in self.config.members]
        client = GroupClient(self.reactor, group, addresses, self.rng, self.config.name)
        self.clients.append(client)
        return client

    def repeat_status(self) -> None:
        """Log the state of the router every `STATUS_INTERVAL_US`."""
        self.deadlines.after(STATUS_INTERVAL_US, self.repeat_status)
        self.log_status()

    def log_status(self) -> None:
        """Log the state of the router in one line."""
        self.report.note(f"status: {self.host.describe()}; {self.callers.describe()}")

    def reload(self) -> None:
        """Read the configuration file again and apply its zones with their nodes; log other changes.

        Other changes, and new or removed zones, need a restart. A missing or invalid file changes nothing.
        """
        try:
            file, _, _ = read_router(self.path)
        except InvalidConfigError as error:
            self.report.count("router", "files refused")
            self.log.warning("invalid configuration file ignored", reason=str(error))
            return
        new = file.router
        unapplied = [
            name
            for name in self.config.__struct_fields__
            if name != "zones" and getattr(new, name) != getattr(self.config, name)
        ]
        if set(new.zones) != set(self.config.zones):
            unapplied.append("zones")
        else:
            self.core.nodes.set_members({name: list(each.nodes) for name, each in new.zones.items()})
            self.host.set_nodes(addresses_of(new))
            self.core.locality.zones = zones_of(new)
        late = f"{', '.join(unapplied)} changed, which needs a restart" if unapplied else ""
        self.log.info("configuration file reloaded", nodes=len(self.host.nodes), late=late)

    # -- graceful stop -----------------------------------------------------------------------------------

    def request_stop(self) -> None:
        """Drain: answer the requests in flight, then ask the callers to close. Later calls do nothing."""
        if self.stop_at is not None or self.is_stopped:
            return
        now = self.clock()
        self.stop_at = now + int(self.config.stop_ms * 1_000)
        self.log.info("draining", in_hand=self.host.unanswered_count())
        self.host.is_serving = False
        self.core.start_draining(now, self.stop_at)
        self.host.schedule_decisions()
        if self.health_reporter is not None:
            self.health_reporter.stop()
        if self.lease_client is not None:
            self.lease_client.leave()
        latest = max(0, self.stop_at - now - EXIT_MARGIN_US - LINGER_US)
        self.deadlines.after(min(self.node_spec.drain_grace_us, latest), self.poll_drain)

    def poll_drain(self) -> None:
        """Send a goaway to the callers once all requests are answered, or when the stop is near."""
        assert self.stop_at is not None
        if self.host.unanswered_count() and self.clock() < self.stop_at - EXIT_MARGIN_US - LINGER_US:
            self.deadlines.after(DRAIN_POLL_US, self.poll_drain)
            return
        self.callers.stop_listening()
        self.callers.send_goaway()
        left = max(0, self.stop_at - EXIT_MARGIN_US - self.clock())
        self.deadlines.after(min(LINGER_US, left), self.poll_connections)

    def poll_connections(self) -> None:
        """Stop once all callers have closed their connections; when the stop is near, close the others."""
        assert self.stop_at is not None
        if (
            self.host.unanswered_count() or len(self.callers.connections)
        ) and self.clock() < self.stop_at - EXIT_MARGIN_US:
            self.deadlines.after(DRAIN_POLL_US, self.poll_connections)
            return
        self.log.info("stopped", unanswered=self.host.unanswered_count())
        if len(self.callers.connections):
            self.callers.close()
            self.deadlines.after(FLUSH_TIME_US, self.stop, EXIT_STOPPED)
        else:
            self.stop(EXIT_STOPPED)

    def stop(self, code: int) -> None:
        """Close the outgoing connections, log the counters and stop the reactor; later calls do nothing."""
        if self.is_stopped:
            return
        self.is_stopped, self.exit_code = True, code
        self.host.close()
        for client in self.clients:
            client.close()
        for name, count in self.core.counts.items():
            self.report.count("router", name, count)
        self.report.summary()
        self.reactor.callLater(0, self.reactor.stop)


def zones_of(config: RouterConfig) -> dict[str, Zone]:
    """Return the zones for `failover.locality_routing`, with the round-trip times from this router's zone."""
    far = {name: int(each.far_ms * 1_000) for name, each in config.zones.items() if name != config.zone}
    return {name: Zone("", 0.0, far if name == config.zone else {}) for name in config.zones}


def addresses_of(config: RouterConfig) -> dict[str, tuple[str, int]]:
    """Return the host and port of each node by name."""
    return {
        name: parse_address(address) for zone in config.zones.values() for name, address in zone.nodes.items()
    }


def run(path: str, file: RouterFile, node_spec: NodeSpec, tenants: frozenset[bytes]) -> int:
    """Run the router and return the exit code: 0 stopped on request, 2 could not start."""
    reactor = make_reactor()
    return run_daemon(reactor, RouterProcess(reactor, path, file, node_spec, tenants))
