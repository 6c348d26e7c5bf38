"""`lichencleat router run`: one router from its file, with its connections, signals and exit code."""

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
from lichencleat.router.file import RouterChoice, RouterFile, parse_address, read_router
from lichencleat.router.health_reporter import HealthReporter
from lichencleat.router.links import LINKS_MOST
from lichencleat.transport.group_client import GroupClient

BELIEFS = 10_000_000  # µs between lines that tell what the router believes
LOOK = 20_000  # µs between looks whether all is answered, while leaving
CROSSING = 300_000  # µs after goaway for what crosses it, and for the last answers to go out
CLOSED_BY = 150_000  # µs before the stop by which the program ends in any case
LAST = 50_000  # µs for answers to go out on connections that are ended as the time is up
MB = 1 << 20


class Running:
    """Brings a router up on the reactor, and down at a signal."""

    def __init__(
        self, reactor: Any, path: str, file: RouterFile, machine: NodeSpec, tenants: frozenset[bytes]
    ) -> None:
        self.reactor, self.path, self.chosen, self.machine = reactor, path, file.router, machine
        chosen = file.router
        self.exit_code = EXIT_STOPPED
        self.clock = UnixClock()
        self.log = create_logger(
            unix_time, file.log.form, process=chosen.name, role="router", zone=chosen.zone, pid=os.getpid()
        )
        self.report = StructuredReport(chosen.name, self.clock, file.log.form)
        self.report.log = self.log
        self.deadlines = Deadlines(reactor, self.report.log_exception)
        self.rng = random.Random(os.urandom(16))
        self.core = Router(
            chosen.zone,
            zones_of(chosen),
            {name: list(each.nodes) for name, each in chosen.zones.items()},
            machine.capacity_signal,
            self.rng,
            self.clock(),
            chosen.routers,
            machine.drain_grace_us,
        )
        self.host = RouterEngine(
            reactor,
            self.core,
            machine,
            addresses_of(chosen),
            self.clock,
            self.deadlines,
            self.report,
            self.rng,
        )
        upstream = min(chosen.descriptors // 2, LINKS_MOST * sum(len(z.nodes) for z in chosen.zones.values()))
        self.callers = RouterListener(
            self.host,
            self.deadlines,
            self.report,
            chosen.descriptors - upstream,
            tenants,
            None,
            int(chosen.memory_mb * MB),
        )
        self.clients: list[GroupClient] = []
        self.telling: HealthReporter | None = None
        self.holder: LeaseClient | None = None
        self.stop_at: int | None = None
        self.ended = False

    def start(self) -> None:
        host, port = parse_address(self.chosen.listen)
        try:
            self.callers.listen(self.reactor, (host, port))
        except CannotListenError as wrong:
            self.log.warning("can't start", reason=str(wrong))
            self.stop(EXIT_CANNOT_START)
            return
        for number, call in ((signal.SIGHUP, self.reload), (signal.SIGUSR1, self.tell_beliefs)):
            signal.signal(number, lambda *_, call=call: self.reactor.callFromThread(call))
        if self.chosen.group is not None:
            self.join(self.chosen.group)
        self.log.info("started", listen=self.chosen.listen, nodes=len(self.host.nodes))
        self.deadlines.after(BELIEFS, self.beliefs_again)

    def join(self, group: str) -> None:
        self.telling = HealthReporter(
            self.reactor, self.client(group), self.core, self.chosen.name, self.clock, self.log
        )
        self.telling.start()
        if self.chosen.candidate:
            work = FailoverControllerTask(self.reactor, self.client(group), self.log)
            name, zone = self.chosen.name, self.chosen.zone
            self.holder = LeaseClient(self.reactor, self.client(group), name, zone, work, self.rng, self.log)
            work.lease_client = self.holder
            self.holder.leases.job_prefixes = [work.job]
            self.holder.start()

    def client(self, group: str) -> GroupClient:
        addresses = [parse_address(each) for each in self.chosen.members]
        made = GroupClient(self.reactor, group, addresses, self.rng, self.chosen.name)
        self.clients.append(made)
        return made

    def beliefs_again(self) -> None:
        self.deadlines.after(BELIEFS, self.beliefs_again)
        self.tell_beliefs()

    def tell_beliefs(self) -> None:
        self.report.note(f"believes: {self.host.describe()}; {self.callers.describe()}")

    def reload(self) -> None:
        """Takes over which nodes there are, and where; what else changed needs a restart. A file that is
        missing, half written or wrong leaves all as it is.
        """
        try:
            file, _, _ = read_router(self.path)
        except InvalidConfigError as wrong:
            self.report.count("router", "files refused")
            self.log.warning("the file before stays in force", reason=str(wrong))
            return
        new = file.router
        fixed = [
            name
            for name in self.chosen.__struct_fields__
            if name != "zones" and getattr(new, name) != getattr(self.chosen, name)
        ]
        if set(new.zones) != set(self.chosen.zones):
            fixed.append("zones")
        else:
            self.core.nodes.members({name: list(each.nodes) for name, each in new.zones.items()})
            self.host.set_nodes(addresses_of(new))
            self.core.locality.zones = zones_of(new)
        late = f"{', '.join(fixed)} changed, which needs a restart" if fixed else ""
        self.log.info("file read again", nodes=len(self.host.nodes), late=late)

    # -- leaving -----------------------------------------------------------------------------------------

    def request_stop(self) -> None:
        """The notice: only the first one counts. What is in hand is answered, callers are asked to go."""
        if self.stop_at is not None or self.ended:
            return
        now = self.clock()
        self.stop_at = now + int(self.chosen.stop_ms * 1_000)
        self.log.info("told to leave", in_hand=self.host.unanswered_count())
        self.host.is_serving = False
        self.core.must_leave(now, self.stop_at)
        self.host.schedule_decisions()
        if self.telling is not None:
            self.telling.stop()
        if self.holder is not None:
            self.holder.leave()
        latest = max(0, self.stop_at - now - CLOSED_BY - CROSSING)
        self.deadlines.after(min(self.machine.drain_grace_us, latest), self.look)

    def look(self) -> None:
        """After the grace nothing new is sent: the program ends as soon as all is answered."""
        assert self.stop_at is not None
        if self.host.unanswered_count() and self.clock() < self.stop_at - CLOSED_BY - CROSSING:
            self.deadlines.after(LOOK, self.look)
            return
        self.callers.stop_listening()
        self.callers.send_goaway()
        left = max(0, self.stop_at - CLOSED_BY - self.clock())
        self.deadlines.after(min(CROSSING, left), self.end)

    def end(self) -> None:
        """Once all connections have ended in their own time; or, where that is short, with their answers."""
        assert self.stop_at is not None
        if (
            self.host.unanswered_count() or len(self.callers.connections)
        ) and self.clock() < self.stop_at - CLOSED_BY:
            self.deadlines.after(LOOK, self.end)
            return
        self.log.info("left", unanswered=self.host.unanswered_count())
        if len(self.callers.connections):
            self.callers.close()
            self.deadlines.after(LAST, self.stop, EXIT_STOPPED)
        else:
            self.stop(EXIT_STOPPED)

    def stop(self, code: int) -> None:
        if self.ended:
            return
        self.ended, self.exit_code = True, code
        self.host.close()
        for client in self.clients:
            client.close()
        for name, count in self.core.counts.items():
            self.report.count("router", name, count)
        self.report.summary()
        self.reactor.callLater(0, self.reactor.stop)


def zones_of(chosen: RouterChoice) -> dict[str, Zone]:
    """As `failover.locality_routing` has them: the ways from this router's zone."""
    far = {name: int(each.far_ms * 1_000) for name, each in chosen.zones.items() if name != chosen.zone}
    return {name: Zone("", 0.0, far if name == chosen.zone else {}) for name in chosen.zones}


def addresses_of(chosen: RouterChoice) -> dict[str, tuple[str, int]]:
    return {
        name: parse_address(address) for zone in chosen.zones.values() for name, address in zone.nodes.items()
    }


def run(path: str, file: RouterFile, machine: NodeSpec, tenants: frozenset[bytes]) -> int:
    """The exit code: 0 told to leave, 2 could not start."""
    reactor = make_reactor()
    return run_daemon(reactor, Running(reactor, path, file, machine, tenants))
