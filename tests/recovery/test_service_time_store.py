"""Learned service times from one process to the next."""

import random

import pytest
from recovering_host import RecordingLog, make_host
from service_time_cases import REQUEST_CLASSES, complete_run

from lichencleat.admission.controller import AdmissionController
from lichencleat.recovery.service_time_store import SERVICE_TIMES_KEY, ServiceTimeStore


class StoredEntries(dict):
    """In place of the store."""


@pytest.fixture
def host():
    return make_host()


def test_service_time_store_hands_over_whether_store_or_interpreter_is_first(host):
    log, store = RecordingLog(), StoredEntries()
    life = ServiceTimeStore(host, log)
    life.on_store_opened(store.get)
    assert not log.events  # a first start has nothing to tell
    host.node = AdmissionController(host.machine, random.Random(1))
    for took in (100, 200, 200, 900):
        complete_run(host.node, REQUEST_CLASSES[0], took)
    complete_run(host.node, REQUEST_CLASSES[1], 50)  # one run tells nothing
    store.update([life.to_entry(False)])
    for node_first in (True, False):
        host.node = AdmissionController(host.machine, random.Random(1)) if node_first else None
        life = ServiceTimeStore(host, log)
        if node_first:
            life.apply_pending()
        life.on_store_opened(store.get)
        life.apply_pending()
        host.node = host.node or AdmissionController(host.machine, random.Random(1))
        life.apply_pending()
        life.apply_pending()
        assert (
            list(host.node.service_times.samples[REQUEST_CLASSES[0]]) == [200]
            and not host.node.service_times.samples[REQUEST_CLASSES[1]]
        )
        assert dict([life.to_entry(True)]) == store  # nothing ran: what was known is kept
    assert log.events[-1] == ("service times loaded", {"runs": "look 0.2 ms", "reason": "of its life before"})


def test_service_time_store_logs_corrupt_data_once(host):
    log = RecordingLog()
    ServiceTimeStore(host, log).on_store_opened({SERVICE_TIMES_KEY: b"\xc1"}.get)
    assert log.events == [
        ("service times loaded", {"runs": "nothing", "reason": "the stored times can't be read"})
    ]
