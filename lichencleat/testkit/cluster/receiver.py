"""Stand-in of a resource that lease holders act on.

The receiver checks the fencing token of each act and reports to the checker which acts it accepted, and when.
"""

from __future__ import annotations

import time
from typing import Any

from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineOnlyReceiver

from lichencleat.leases.fencing import Fence
from lichencleat.testkit.checkers.owners import OwnersWatch
from lichencleat.testkit.cluster.relay import LOCAL


class ActLink(LineOnlyReceiver):
    """Connection of a lease holder; each line is an act: the job, the fencing token and the holder's name."""

    delimiter = b"\r\n"

    def lineReceived(self, line: bytes) -> None:
        job, token, holder = line.decode().split(" ")
        self.factory.on_act(job, int(token), holder)


class Receiver(Factory):
    """Accepts or rejects acts by their fencing tokens; runs on the relays' reactor."""

    protocol = ActLink
    noisy = False

    def __init__(self, reactor: Any) -> None:
        self.fence, self.watch = Fence(), OwnersWatch()
        self.last_holder: dict[str, str] = {}  # job -> lease holder whose act was accepted last
        self.port = reactor.listenTCP(0, self, interface=LOCAL)

    def on_act(self, job: str, token: int, holder: str) -> None:
        """Check the token of an act, and record the outcome."""
        accepted = self.fence.accept(job, token)
        self.watch.acts(job, token, holder, accepted, time.monotonic_ns() // 1000)
        if accepted:
            self.last_holder[job] = holder
