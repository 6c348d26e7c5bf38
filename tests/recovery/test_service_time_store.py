"""Learned service times stored by one process and loaded by the next."""

import random

import pytest
from recovering_host import RecordingLog, make_host
from service_time_cases import REQUEST_CLASSES, complete_run

from lichencleat.admission.controller import AdmissionController
from lichencleat.recovery.service_time_store import SERVICE_TIMES_KEY, ServiceTimeStore


class StoredEntries(dict):
    """Stands in for the node's store."""


@pytest.fixture
def host():
    return make_host()


def test_service_time_store_hands_over_whether_store_or_interpreter_is_first(host):
    log, store = RecordingLog(), StoredEntries()
    service_times = ServiceTimeStore(host, log)
    service_times.on_store_opened(store.get)
    assert not log.events  # a first start finds no stored times
    host.node = AdmissionController(host.machine, random.Random(1))
    for took in (100, 200, 200, 900):
        complete_run(host.node, REQUEST_CLASSES[0], took)
    complete_run(host.node, REQUEST_CLASSES[1], 50)  # one run is too few for an estimate
    store.update([service_times.to_entry(False)])
    for node_first in (True, False):
        host.node = AdmissionController(host.machine, random.Random(1)) if node_first else None
        service_times = ServiceTimeStore(host, log)
        if node_first:
            service_times.apply_pending()
        service_times.on_store_opened(store.get)
        service_times.apply_pending()
        host.node = host.node or AdmissionController(host.machine, random.Random(1))
        service_times.apply_pending()
        service_times.apply_pending()
        assert (
            list(host.node.service_times.samples[REQUEST_CLASSES[0]]) == [200]
            and not host.node.service_times.samples[REQUEST_CLASSES[1]]
        )
        assert dict([service_times.to_entry(True)]) == store  # without runs, the previous times are kept
    assert log.events[-1] == ("service times loaded", {"runs": "look 0.2 ms", "reason": "of its life before"})


def test_service_time_store_logs_corrupt_data_once(host):
    log = RecordingLog()
    ServiceTimeStore(host, log).on_store_opened({SERVICE_TIMES_KEY: b"\xc1"}.get)
    assert log.events == [
        ("service times loaded", {"runs": "nothing", "reason": "the stored times can't be read"})
    ]
