"""Readiness gate: replies, standalone opening, clock, report intervals."""

from lichencleat.leases.messages import CandidateExpired
from lichencleat.recovery.boot_record import (
    ClockCheck,
)
from lichencleat.recovery.messages import (
    ReportReply,
)
from lichencleat.recovery.readiness_gate import STANDALONE_DELAY_US, ReadinessGate

SECOND = 1_000_000
HOUR = 3_600 * SECOND


def make_gate(clock=ClockCheck.PLAUSIBLE, epoch=3):
    gate = ReadinessGate("a", "x", 7, False, epoch, clock, 0)
    gate.ready = gate.records_verified = True
    return gate


def test_gate_stays_shut_until_a_reply_and_opens_slowly_alone():
    gate = make_gate()
    assert gate.allowance(STANDALONE_DELAY_US - 1).share == 0.0
    assert gate.allowance(STANDALONE_DELAY_US).share == 0.05 and gate.allowance(STANDALONE_DELAY_US).keyed
    assert gate.allowance(STANDALONE_DELAY_US + 30 * SECOND).share == 1.0
    gate.next_report(0, 0, 0.0, 1.0)
    assert (
        gate.on_reply(1, ReportReply(4, 0.34))
        and gate.allowance(STANDALONE_DELAY_US + 30 * SECOND).share == 0.34
    )


def test_gate_opens_alone_when_no_process_plans(group):
    gate = make_gate()
    gate.next_report(0, 0, 0.0, 1.0)
    gate.on_reply(1, ReportReply(3, 0.0, has_no_planner=True))
    assert (
        gate.allowance(STANDALONE_DELAY_US - 1).share == 0.0
        and gate.allowance(STANDALONE_DELAY_US + 4 * SECOND).share == 0.25
    )
    gate.next_report(gate.next_report_at, 0, 0.0, 1.0)
    gate.on_reply(STANDALONE_DELAY_US, ReportReply(3, 0.0))
    assert gate.allowance(STANDALONE_DELAY_US + 4 * SECOND).share == 0.0
    assert not group.report("a").has_no_planner
    group.apply(group.jobs, CandidateExpired("o1", group.jobs.candidates["o1"].renewal_index))
    assert group.report("a").has_no_planner


def test_gate_ignores_a_reply_of_an_older_epoch():
    gate = make_gate(epoch=3)
    gate.next_report(0, 0, 0.0, 1.0)
    assert (
        not gate.on_reply(1, ReportReply(2, 1.0))
        and gate.allowance(2).share == 0.0
        and not gate.group_answered
    )


def test_gate_rejects_keyed_requests_while_the_clock_is_wrong():
    gate = make_gate(ClockCheck.BEHIND)
    assert not gate.allowance(STANDALONE_DELAY_US).keyed
    gate.next_report(0, 0, 0.0, 1.0)
    gate.on_reply(1, ReportReply(3, 1.0, clock_offset=-HOUR))
    assert (
        gate.allowance(2).share == 1.0
        and not gate.allowance(2).keyed
        and "off by" in gate.allowance(2).reason
    )
    gate.next_report(gate.next_report_at, 0, 0.0, 1.0)
    gate.on_reply(3, ReportReply(3, 1.0))
    assert gate.allowance(4).keyed
    gate.records_verified = False
    assert not gate.allowance(4).keyed


def test_gate_sends_one_report_at_a_time_and_adapts_the_interval():
    gate = make_gate()
    assert gate.next_report(0, 0, 0.0, 1.0) and gate.next_report(1, 0, 0.0, 1.0) is None
    gate.on_reply(1, ReportReply(3, 1.0))
    second_report_at = gate.next_report_at
    gate.next_report(second_report_at, 0, 0.0, 1.0)
    gate.on_reply(second_report_at, ReportReply(3, 1.0, report_often=True))
    assert gate.next_report_at - second_report_at < second_report_at - 1
    gate.next_report(gate.next_report_at, 0, 0.0, 1.0)
    gate.on_report_failed(gate.next_report_at)
    assert gate.allowance(gate.next_report_at).share == 1.0
