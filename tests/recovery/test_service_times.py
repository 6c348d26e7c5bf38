"""Learned service times: record, validation, first estimate."""

import random

import msgspec
import pytest
from service_time_cases import MAX_RUN_TIMES, REQUEST_CLASSES, SECOND, complete_run

from lichencleat.admission.controller import AdmissionController
from lichencleat.admission.service_times import MIN_RUN_SAMPLES
from lichencleat.admission.types import NodeSpec
from lichencleat.recovery.service_times import (
    FORMAT,
    MAX_CLASSES,
    ServiceTimes,
    encode_merged,
    encode_service_times,
    load_service_times,
)
from lichencleat.recovery.trust import REQUIRED_PROOF, Item, Proof


def test_service_times_of_this_process_outweigh_the_previous_ones():
    merged = encode_merged(2, {"look": 7, "save": 9}, {"look": 8})
    assert load_service_times(merged, 2, MAX_RUN_TIMES) == ({"look": 8, "save": 9}, "")
    assert load_service_times(None, 2, MAX_RUN_TIMES) == ({}, "")
    assert REQUIRED_PROOF[Item.SERVICE_TIMES] is Proof.OWN_DISK


@pytest.mark.parametrize(
    ("stored", "problem"),
    [
        (b"", "can't be read"),
        (b"\xc1", "can't be read"),
        (msgspec.msgpack.encode([1, 2, {"look": "x"}]), "can't be read"),
        (msgspec.msgpack.encode([1, 2, {"look": 1.5}]), "can't be read"),
        (msgspec.msgpack.encode([1, 2, {b"\xff": 1}]), "can't be read"),
        (encode_service_times(ServiceTimes(FORMAT + 1, 2, {"look": 7})), f"have format {FORMAT + 1}"),
        (encode_service_times(ServiceTimes(FORMAT, 4, {"look": 7})), "learned on 4 cores, and there are 2"),
    ],
)
def test_load_service_times_drops_unusable_records_with_a_reason(stored, problem):
    runs, reason = load_service_times(stored, 2, MAX_RUN_TIMES)
    assert runs == {} and problem in reason


@pytest.mark.parametrize("took", [0, -1, 5 * SECOND + 1, 2**62])
def test_load_service_times_drops_implausible_times_and_unknown_classes(took):
    stored = encode_service_times(ServiceTimes(FORMAT, 2, {"look": took, "save": 3, "gone": 4}))
    assert load_service_times(stored, 2, MAX_RUN_TIMES) == ({"save": 3}, "")


def test_load_service_times_reads_later_fields_and_the_record_is_bounded():
    assert load_service_times(msgspec.msgpack.encode([1, 2, {"look": 7}, "more"]), 2, MAX_RUN_TIMES)[0] == {
        "look": 7
    }
    many = {f"t{number:04}": 1 for number in range(MAX_CLASSES + 9)}
    assert len(load_service_times(encode_merged(2, many, {}), 2, dict.fromkeys(many, 9))[0]) == MAX_CLASSES


def test_admission_outweighs_the_estimate_by_the_first_runs():
    look, save = REQUEST_CLASSES
    node = AdmissionController(NodeSpec(cores=2, request_classes=REQUEST_CLASSES), random.Random(1))
    node.seed_run_time(0, look, 900)
    assert node.service_times.usual(look) == node.service_times.usual(save) == 900
    for _ in range(MIN_RUN_SAMPLES - 1):
        complete_run(node, look, 100)
    assert node.service_times.usual(look) == 100
    node.seed_run_time(0, look, 900)
    assert (
        list(node.service_times.samples[look]) == [900, 100, 100, 100]
        and not node.service_times.samples[save]
    )
