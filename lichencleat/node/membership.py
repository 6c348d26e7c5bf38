"""Reports to the membership service, which lists a node while periodic datagrams arrive from it."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import DatagramProtocol

from lichencleat.node.deadlines import Deadline, Deadlines
from lichencleat.node.report import Report

# µs between reports; if a quarter of the datagrams is lost, 14 in a row (3 s) are lost once in 200 million
REPORT_PERIOD = 200_000


class Membership(DatagramProtocol):
    """Reports periodically that the node is up, and once that it is out when it leaves; expects no reply."""

    noisy = False

    def __init__(self, name: str, service: tuple[str, int], deadlines: Deadlines, report: Report) -> None:
        self.name, self.service = name, service
        self.deadlines, self.report = deadlines, report
        self.next_report: Deadline | None = None
        self.port: Any = None
        self.sent_at = deadlines.now()

    def start(self, reactor: Any, interface: str) -> None:
        """Open a UDP socket on a network interface and start to report."""
        self.port = reactor.listenUDP(0, self, interface=interface)

    def startProtocol(self) -> None:
        self.send_periodically()

    def send_periodically(self) -> None:
        """Report now, and again every `REPORT_PERIOD`."""
        self.next_report = self.deadlines.after(REPORT_PERIOD, self.send_periodically)
        self.send("UP")

    def set_address(self, service: tuple[str, int]) -> bool:
        """Send reports to a new address, the first at once unless the node is leaving.

        Returns whether the address changed.
        """
        if service == self.service:
            return False
        self.service = service
        if self.next_report is not None and self.next_report.call is not None:
            self.deadlines.cancel(self.next_report)
            self.send_periodically()
        return True

    def leave(self) -> None:
        """Report once that the node is out, and send no further reports, which would keep the node listed."""
        self.deadlines.cancel(self.next_report)
        if self.port is not None:
            self.send("OUT")

    def describe(self) -> str:
        """Return the membership part of the status line."""
        return f"reported {(self.deadlines.now() - self.sent_at) // 1000} ms ago"

    def stop(self) -> None:
        """Close the socket."""
        self.deadlines.cancel(self.next_report)
        if self.port is not None:
            self.port, port = None, self.port
            port.stopListening()

    def send(self, state: str) -> None:
        """Send one report; an error is logged."""
        try:
            self.transport.write(f"HB {self.name} {state}".encode(), self.service)
            self.sent_at = self.deadlines.now()
            self.report.count("membership", f"sent {state}")
        except OSError:
            self.report.log_exception("membership")
