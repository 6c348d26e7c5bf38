"""Recovery reporter: sends a node's reports to the consensus group and applies the replies."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from twisted.python.failure import Failure

from lichencleat.leases.interfaces import GroupClient
from lichencleat.leases.periodic_proposer import PeriodicProposer, Proposal
from lichencleat.log.interfaces import EventLogger
from lichencleat.recovery.boot_record_store import BootRecordStore
from lichencleat.recovery.interfaces import RecoveringHost
from lichencleat.recovery.messages import STATE_PART, NodeLeaving, ReportReply
from lichencleat.recovery.readiness_gate import Allowance, ReadinessGate
from lichencleat.recovery.service_time_store import ServiceTimeStore
from lichencleat.transport.twisted_types import ReactorClock

ROUND_INTERVAL_US = 100_000  # time between two updates of the gate and the host
REPORT_TIMEOUT_S = 1.0


class RecoveryReporter(PeriodicProposer):
    """Sends the node's reports at intervals, and sets which requests the host may serve.

    Args:
        reactor: Source of the monotonic clock and of the timer.
        client: Client of the consensus group.
        host: The request engine of the node.
        gate: Decides which requests may be served.
        boot_records: The boot record of this process.
        are_records_verified: Whether the node's idempotency records are loaded and verified.
        unix_time: Returns µs of Unix time.
        log: Logger of the process.
    """

    def __init__(
        self,
        reactor: ReactorClock,
        client: GroupClient,
        host: RecoveringHost,
        gate: ReadinessGate,
        boot_records: BootRecordStore,
        are_records_verified: Callable[[], bool],
        unix_time: Callable[[], int],
        log: EventLogger,
    ) -> None:
        super().__init__(reactor, client, STATE_PART, log)
        self.host = host
        self.gate = gate
        self.boot_records = boot_records
        self.are_records_verified = are_records_verified
        self.unix_time = unix_time
        self.service_times = ServiceTimeStore(host, log)
        self.host_allowance: tuple[float, bool] | None = None  # share and keyed, as last set on the host
        self.logged_allowance: tuple[str, bool, str] | None = None  # share, keyed, reason, as last logged

    def next_proposal(self, now: int) -> Proposal | None:
        """Update the gate and the host; return the report that is due, or None."""
        self.service_times.apply_pending()
        self.update_gate()
        self.update_host(now)
        report = self.gate.next_report(now, self.unix_time(), self.host.load(), self.host.speed())
        return Proposal(report, REPORT_TIMEOUT_S) if report is not None else None

    def next_round_at(self, now: int) -> int:
        """Return the time of the next update, in µs."""
        return now + ROUND_INTERVAL_US

    def update_gate(self) -> None:
        """Pass the node's current state to the gate: whether the interpreter is up, and what is verified."""
        gate = self.gate
        gate.ready = self.host.ready()
        gate.records_verified = self.are_records_verified()
        if self.boot_records.current is not None and not gate.group_answered:
            previous = self.boot_records.previous
            gate.clock = self.boot_records.clock_check
            gate.epoch = max(gate.epoch, self.boot_records.epoch)
            gate.clean_shutdown = previous is not None and previous.clean_shutdown

    def update_host(self, now: int) -> None:
        """Pass the allowance at `now` (µs) to the host if the allowance has changed, and log the change."""
        allowance = self.gate.allowance(now)
        if (allowance.share, allowance.keyed) != self.host_allowance:
            self.host_allowance = (allowance.share, allowance.keyed)
            self.host.set_allowance(allowance.share, allowance.keyed)
        self.log_allowance(allowance)

    def log_allowance(self, allowance: Allowance) -> None:
        """Log the allowance, unless the last logged allowance is the same after rounding."""
        visible = (f"{allowance.share:.2f}", allowance.keyed, allowance.reason)
        if visible != self.logged_allowance:
            self.logged_allowance = visible
            self.log.info(
                "allowance changed",
                share=allowance.share,
                receipted=allowance.keyed,
                epoch=self.gate.epoch,
                reason=allowance.reason,
            )

    def on_reply(self, reply: object) -> None:
        """Apply the reply to a report."""
        try:
            report_reply = msgspec.convert(reply, ReportReply)
        except msgspec.ValidationError:  # voters of an older version
            self.gate.on_report_failed(self.now())
            return
        if self.gate.on_reply(self.now(), report_reply):
            self.boot_records.epoch = report_reply.epoch
            self.log.info("epoch", epoch=report_reply.epoch)
        self.update_host(self.now())

    def on_failure(self, failure: Failure) -> None:
        """Tell the gate that the report got no reply; the gate then sends another report."""
        self.gate.on_report_failed(self.now())

    def leave(self) -> None:
        """Stop sending reports, and tell the group that the node shuts down gracefully."""
        self.stop()
        command = NodeLeaving(self.gate.node, self.gate.incarnation)
        self.client.propose(STATE_PART, command, REPORT_TIMEOUT_S).addErrback(lambda failure: None)

    def describe(self) -> str:
        """Describe in one line what the node may serve, and why."""
        allowance = self.gate.allowance(self.now())
        reason = f", {allowance.reason}" if allowance.reason else ""
        keyed = "on" if allowance.keyed else "off"
        return f"epoch {self.gate.epoch}, open to {allowance.share:.2f}, receipted {keyed}{reason}"
