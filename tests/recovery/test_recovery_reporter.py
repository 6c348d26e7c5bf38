"""Recovery reporter: reports of a recovering node."""

import random

from recovering_host import RecordingLog, make_host
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from lichencleat.admission.controller import AdmissionController
from lichencleat.recovery.boot_record import ClockCheck
from lichencleat.recovery.boot_record_store import BootRecordStore
from lichencleat.recovery.readiness_gate import ReadinessGate
from lichencleat.recovery.reporter import RecoveryReporter
from lichencleat.recovery.service_time_store import SERVICE_TIMES_KEY
from lichencleat.recovery.service_times import (
    encode_merged,
)


def test_reporter_reports_the_learned_speed_before_the_first_run():
    """The plan opens fast nodes first; without stored times, each node would report 1 until its first run."""
    host, reports = make_host(), []

    class Client:
        def propose(self, part, command, patience):
            reports.append(command)
            return Deferred()

    reactor = Clock()
    gate = ReadinessGate("n1", "x", 1, False, 0, ClockCheck.PLAUSIBLE, 0)
    record = BootRecordStore("g", lambda: 0)
    reporter = RecoveryReporter(
        reactor, Client(), host, gate, record, lambda: True, lambda: 0, RecordingLog()
    )
    reporter.service_times.on_store_opened({SERVICE_TIMES_KEY: encode_merged(2, {}, {"look": 20_000})}.get)
    host.node = AdmissionController(host.machine, random.Random(1))
    reporter.start()
    assert [each.speed for each in reports] == [50.0] and host.allowances[0][0] == 0.0
    reporter.stop()
