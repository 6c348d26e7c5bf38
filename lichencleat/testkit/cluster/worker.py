"""A candidate for leases of jobs; while it holds a lease, it sends acts with its fencing token to a receiver.

python -m lichencleat.testkit.cluster.worker FILE NAME ZONE RECEIVER_PORT
"""

from __future__ import annotations

import os
import random
import signal
import sys
from typing import Any

from twisted.internet.protocol import ReconnectingClientFactory
from twisted.protocols.basic import LineOnlyReceiver

from lichencleat.config.addresses import parse_address
from lichencleat.coordinator.settings import read_quorum_settings
from lichencleat.leases.lease_client import LeaseClient
from lichencleat.log.structured import create_logger
from lichencleat.reactor import make_reactor, unix_time
from lichencleat.testkit.cluster.process_faults import install_faults
from lichencleat.transport.group_client import GroupClient

ACT_INTERVAL = 0.01  # s between two acts on a job


class ActConnector(ReconnectingClientFactory):
    """Connection to the receiver, opened again after a loss."""

    noisy = False
    link: Any = None

    def buildProtocol(self, address: Any) -> LineOnlyReceiver:
        self.resetDelay()
        link = LineOnlyReceiver()
        link.lineReceived = lambda line: None  # type: ignore[method-assign]
        self.link = link
        return link


class Worker:
    """Acts on each job whose lease it holds."""

    def __init__(self, reactor: Any, name: str, connector: ActConnector) -> None:
        self.reactor, self.name, self.connector = reactor, name, connector
        self.running: dict[str, Any] = {}
        self.lease_client: LeaseClient | None = None

    def on_lease_acquired(self, job: str, fencing_token: int) -> None:
        """Start to act on a job."""
        self.running[job] = self.reactor.callLater(0, self.act, job)

    def on_lease_lost(self, job: str, reason: str) -> None:
        """Stop acting on a job."""
        timer = self.running.pop(job, None)
        if timer is not None and timer.active():
            timer.cancel()

    def act(self, job: str) -> None:
        """Send one act on a job if its lease is valid, and schedule the next."""
        assert self.lease_client is not None
        token = self.lease_client.fencing_token(job)
        if (
            token is not None
            and self.connector.link is not None
            and self.connector.link.transport is not None
        ):
            self.connector.link.sendLine(f"{job} {token} {self.name}-{os.getpid()}".encode())
        self.running[job] = self.reactor.callLater(ACT_INTERVAL, self.act, job)


def main() -> None:
    """Run the candidate until SIGTERM, which gives its leases up."""
    install_faults()
    reactor = make_reactor()
    path, name, zone, port = sys.argv[1:]
    settings = read_quorum_settings(path)
    rng = random.Random(os.urandom(16))
    log = create_logger(unix_time, process=name, role="candidate", group=settings.group)
    client = GroupClient(reactor, settings.group, [parse_address(each) for each in settings.members], rng)
    connector = ActConnector()
    connector.maxDelay = 0.2
    worker = Worker(reactor, name, connector)
    worker.lease_client = LeaseClient(reactor, client, name, zone, worker, rng, log)
    reactor.connectTCP("127.0.0.1", int(port), connector)
    reactor.callWhenRunning(worker.lease_client.start)

    def leave() -> None:
        assert worker.lease_client is not None
        worker.lease_client.leave().addBoth(lambda _: reactor.stop())

    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(leave))
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
