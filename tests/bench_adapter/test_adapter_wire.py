"""Batches of the simulator's wire: answers, and the texts of errors."""

import json

import pytest

from lichencleat.admission.node_spec import InvalidInputError
from lichencleat.bench_adapter.wire import Wire

SETTINGS = {
    "classes": [{"name": "plain", "aim": 1.0, "deadline": 3.0, "effect": "free", "worth": 1.0}],
    "specifics": {
        "cores": 2,
        "memoryKb": 10000.0,
        "blowup": 4.0,
        "gauges": ["cpu_busy", "odd"],
        "halt": None,
    },
    "unheard_of": 7,
}
OPEN_INSTANCE = ["openInstance", 5, SETTINGS]
ARRIVAL = ["inbound", "00000000000000a1", "plain", 0.5, 1, None, None, None, 0, None, 0, 10.0, 0.01]


@pytest.fixture
def wire():
    return Wire()


def answer_batch(wire, *events, who=0, turn=1, clock=10.0):
    line = json.dumps({"clock": clock, "turn": turn, "nodes": [{"who": who, "inbox": list(events)}]})
    return json.loads(wire.answer(line))


def test_wire_admits_request_and_sets_timer(wire):
    reply = answer_batch(wire, OPEN_INSTANCE, ARRIVAL)
    assert reply["turn"] == 1 and reply["nodes"][0]["who"] == 0
    assert ["admit", "00000000000000a1"] in reply["nodes"][0]["outbox"]
    assert [each[2] for each in reply["nodes"][0]["outbox"] if each[0] == "notifyMe"] == ["wake"]


def test_wire_restarts_instance_within_batch(wire):
    answer_batch(wire, OPEN_INSTANCE)
    assert answer_batch(wire, ["exit"], OPEN_INSTANCE, ARRIVAL)["nodes"]
    assert answer_batch(wire, ["exit"])["nodes"] == []


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("{", "not JSON"),
        ('{"turn": 1, "nodes": []}', "clock"),
        (
            '{"clock": 1, "turn": 1, "nodes": [{"who": 3, "inbox": [["fired", "wake", []]]}]}',
            "no such instance",
        ),
        ('{"clock": 1, "turn": 1, "nodes": [{"who": 3, "inbox": ["exit"]}]}', "array"),
    ],
)
def test_wire_rejects_invalid_line(wire, line, message):
    with pytest.raises(InvalidInputError, match=message):
        wire.answer(line)


def test_wire_rejects_unknown_event_and_missing_values(wire):
    answer_batch(wire, OPEN_INSTANCE)
    for event, message in ((["novelty"], "novelty"), (["notice"], "notice"), (ARRIVAL[:2], "inbound")):
        with pytest.raises(InvalidInputError, match=message):
            answer_batch(wire, event)


def test_instances_share_no_state_and_reopened_one_starts_empty(wire):
    other = {
        **SETTINGS,
        "classes": [{**SETTINGS["classes"][0], "name": "odd", "effect": "guarded", "window": 9.0}],
    }
    save = ["inbound", "00000000000000a1", "odd", 0.5, 1, None, None, None, 0, None, 0, 10.0, 0.01]
    again = [
        "inbound",
        "00000000000000b2",
        "odd",
        0.5,
        1,
        "00000000000000a1",
        None,
        None,
        0,
        None,
        0,
        10.0,
        0.01,
    ]
    answer_batch(wire, OPEN_INSTANCE, ARRIVAL)
    with pytest.raises(InvalidInputError, match="unknown class"):
        answer_batch(wire, save)  # the class of another instance
    assert answer_batch(wire, ["openInstance", 5, other], save, who=1)["nodes"]
    ended = answer_batch(wire, ["settled", "00000000000000a1", "completed", 0.01], who=0, turn=2)
    controllers = [wire.instances[node_id].controller for node_id in (0, 1)]
    assert controllers[0].service_times.samples is not controllers[1].service_times.samples
    assert ended["nodes"] == [] or ended["nodes"][0]["who"] == 0
    assert [len(each) for each in wire.instances[1].controller.service_times.samples.values()] == [0]
    assert wire.instances[1].controller.records.expiry and not wire.instances[0].controller.records.expiry
    answer_batch(wire, ["exit"], ["openInstance", 5, other], who=1, turn=3)
    assert not wire.instances[1].controller.records.expiry and not list(wire.instances[1].requests)
    outbox = answer_batch(wire, again, who=1, turn=4)["nodes"][0]["outbox"]
    # The request repeats an attempt that the reopened instance does not know.
    assert not [each for each in outbox if each[0] == "admit"]
