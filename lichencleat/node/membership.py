"""Reports to the membership service: one datagram each, unanswered, while the node is to be listed."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import DatagramProtocol

from lichencleat.node.deadlines import Deadline, Deadlines
from lichencleat.node.report import Report

BEAT = 200_000  # µs between reports: with one in four lost, 14 in a row (3 s) are, once in 200 million


class Membership(DatagramProtocol):
    noisy = False

    def __init__(self, name: str, service: tuple[str, int], deadlines: Deadlines, report: Report) -> None:
        self.name, self.service = name, service
        self.deadlines, self.report = deadlines, report
        self.next: Deadline | None = None
        self.port: Any = None
        self.sent_at = deadlines.now()

    def start(self, reactor: Any, interface: str) -> None:
        self.port = reactor.listenUDP(0, self, interface=interface)

    def startProtocol(self) -> None:
        self.beat()

    def beat(self) -> None:
        self.next = self.deadlines.after(BEAT, self.beat)
        self.send("UP")

    def move(self, service: tuple[str, int]) -> bool:
        """The service has a new address: it hears of the node at once, unless that is leaving."""
        if service == self.service:
            return False
        self.service = service
        if self.next is not None and self.next.call is not None:
            self.deadlines.cancel(self.next)
            self.beat()
        return True

    def leave(self) -> None:
        """Says so once and is silent from then on: a report of any kind would keep the node listed."""
        self.deadlines.cancel(self.next)
        if self.port is not None:
            self.send("OUT")

    def beliefs(self) -> str:
        return f"reported {(self.deadlines.now() - self.sent_at) // 1000} ms ago"

    def stop(self) -> None:
        self.deadlines.cancel(self.next)
        if self.port is not None:
            self.port, port = None, self.port
            port.stopListening()

    def send(self, state: str) -> None:
        try:
            self.transport.write(f"HB {self.name} {state}".encode(), self.service)
            self.sent_at = self.deadlines.now()
            self.report.count("membership", f"sent {state}")
        except OSError:
            self.report.trouble("membership")
