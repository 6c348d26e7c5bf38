"""Readiness gate: which requests a node may serve after its start; no I/O.

The node serves no requests until the consensus group answers; then each reply sets the fraction of arrivals
that the node may admit. If the group does not answer for some seconds after the start, or has no planner, the
node opens slowly by itself, because an indefinite wait would only extend the outage. Keyed requests need the
node's own verified records and a plausible clock in either case.
"""

from __future__ import annotations

from dataclasses import dataclass

from lichencleat.recovery.boot_record import ClockCheck
from lichencleat.recovery.messages import NodeReport, ReportReply
from lichencleat.recovery.trust import Verified, can_serve_keyed
from lichencleat.units import MICROSECONDS_PER_SECOND

# Time without a reply of the group, or without a planner, after which a node opens by itself. A running group
# elects a leader within 1 s.
STANDALONE_DELAY_US = 4_000_000
# Added to the admitted fraction of arrivals per second while a node opens by itself. The node is fully open
# after 20 s, the warm-up time of a cold engine.
STANDALONE_STEP = 0.05
FREQUENT_REPORT_INTERVAL_US = 400_000  # time between reports while nodes are being opened
REPORT_INTERVAL_US = 2_000_000  # time between reports of an open node


@dataclass(frozen=True, slots=True)
class Allowance:
    """The requests that a node may serve at one moment."""

    share: float  # fraction of the node's arrivals that the node may admit
    keyed: bool  # whether keyed requests may be served
    reason: str  # why the node may not serve all requests


class ReadinessGate:
    """Decides which requests a node may serve, from the start of its process on.

    Args:
        node: Name of the node.
        zone: Zone of the node.
        incarnation: Random number drawn at the start of the process.
        clean_shutdown: Whether the previous process ended gracefully.
        epoch: The last epoch that the node took part in.
        clock: The result of comparing the machine's clock with the last boot record.
        now: µs of the monotonic clock at the start.
    """

    def __init__(
        self,
        node: str,
        zone: str,
        incarnation: int,
        clean_shutdown: bool,
        epoch: int,
        clock: ClockCheck,
        now: int,
    ) -> None:
        self.node = node
        self.zone = zone
        self.incarnation = incarnation
        self.clean_shutdown = clean_shutdown
        self.epoch = epoch
        self.clock = clock
        self.group_answered = False  # whether the group has answered since the start
        # µs: when the node began to wait for a reply of a group with a planner; None after such a reply.
        self.alone_since: int | None = now
        self.share = 0.0  # fraction of arrivals in the last reply
        self.clock_offset = 0  # clock offset in the last reply, see `ReportReply`
        self.reason = "waiting for the first reply of the group"
        self.report_sent_at: int | None = None  # µs: when the unanswered report, if any, was sent
        self.next_report_at = now  # µs: earliest time of the next report
        self.ready = False  # whether the interpreter is up
        self.records_verified = False  # whether the node's idempotency records are loaded and verified
        self.has_records = True  # whether the node stores idempotency records

    def verified(self) -> Verified:
        """Return what has been verified since the start."""
        clock = self.clock_offset == 0 and (self.clock is ClockCheck.PLAUSIBLE or self.group_answered)
        return Verified(self.records_verified or not self.has_records, self.group_answered, clock)

    def allowance(self, now: int) -> Allowance:
        """Return what may be served at `now` (µs).

        The admitted fraction is that of the last reply or that of `standalone_share`, whichever is larger.
        """
        share, reason = self.share, self.reason
        standalone_share = self.standalone_share(now)
        if standalone_share > share:
            share = standalone_share
            reason = f"{'nobody plans' if self.group_answered else 'nobody answers'}: it goes on alone"
        keyed = can_serve_keyed(self.verified())
        if not keyed and self.clock_offset:
            reason = f"the node's clock is off by {self.clock_offset / MICROSECONDS_PER_SECOND:.0f} s"
        return Allowance(share, keyed, reason)

    def standalone_share(self, now: int) -> float:
        """Return the fraction of arrivals that the node may admit by itself at `now` (µs).

        0 unless the group has not answered, or has no planner, for `STANDALONE_DELAY_US`.
        """
        if self.alone_since is None or now - self.alone_since < STANDALONE_DELAY_US:
            return 0.0
        seconds = (now - self.alone_since - STANDALONE_DELAY_US) // MICROSECONDS_PER_SECOND
        return min(1.0, STANDALONE_STEP * (1 + seconds))

    # -- reports ---------------------------------------------------------------------------------------

    def next_report(self, now: int, unix_time: int, load: float, speed: float) -> NodeReport | None:
        """Return the report to send at `now` (µs); None if no report is due, or a report is unanswered."""
        if self.report_sent_at is not None or now < self.next_report_at:
            return None
        self.report_sent_at = now
        return NodeReport(
            node=self.node,
            zone=self.zone,
            incarnation=self.incarnation,
            clean_shutdown=self.clean_shutdown,
            epoch=self.epoch,
            unix_time=unix_time,
            ready=self.ready,
            records_verified=self.records_verified,
            load=load,
            speed=speed,
        )

    def on_reply(self, now: int, reply: ReportReply) -> bool:
        """Handle the reply to a report; return whether the reply's epoch is new to this node."""
        self.report_sent_at = None
        is_new_epoch = reply.epoch > self.epoch
        if reply.epoch >= self.epoch:
            self.apply_reply(now, reply)
        is_open = self.share >= 1.0 and not reply.report_often
        self.next_report_at = now + (REPORT_INTERVAL_US if is_open else FREQUENT_REPORT_INTERVAL_US)
        return is_new_epoch

    def apply_reply(self, now: int, reply: ReportReply) -> None:
        """Apply a reply of the current or a newer epoch."""
        self.group_answered = True
        self.epoch = reply.epoch
        self.share = reply.share
        self.clock_offset = reply.clock_offset
        self.reason = reply.reason
        if not reply.has_no_planner:
            self.alone_since = None
        elif self.alone_since is None:
            self.alone_since = now

    def on_report_failed(self, now: int) -> None:
        """Handle a report that got no reply: the last reply stays in force."""
        self.report_sent_at = None
        self.next_report_at = now + FREQUENT_REPORT_INTERVAL_US
