import json

import pytest

from lichencleat.admission.node_spec import InvalidInputError
from lichencleat.bench_adapter.wire import Wire

TOLD = {
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
START = ["openInstance", 5, TOLD]
READ = ["inbound", "00000000000000a1", "plain", 0.5, 1, None, None, None, 0, None, 0, 10.0, 0.01]


@pytest.fixture
def wire():
    return Wire()


def batch(wire, *events, who=0, turn=1, clock=10.0):
    line = json.dumps({"clock": clock, "turn": turn, "nodes": [{"who": who, "inbox": list(events)}]})
    return json.loads(wire.answer(line))


def test_a_read_request_is_run_and_a_wake_up_asked_for(wire):
    reply = batch(wire, START, READ)
    assert reply["turn"] == 1 and reply["nodes"][0]["who"] == 0
    assert ["admit", "00000000000000a1"] in reply["nodes"][0]["outbox"]
    assert [each[2] for each in reply["nodes"][0]["outbox"] if each[0] == "notifyMe"] == ["wake"]


def test_an_instance_may_die_and_start_again_in_one_batch(wire):
    batch(wire, START)
    assert batch(wire, ["exit"], START, READ)["nodes"]
    assert batch(wire, ["exit"])["nodes"] == []


@pytest.mark.parametrize(
    ("line", "says"),
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
def test_bad_lines_are_named(wire, line, says):
    with pytest.raises(InvalidInputError, match=says):
        wire.answer(line)


def test_unknown_events_and_missing_values_are_named(wire):
    batch(wire, START)
    for event, says in ((["novelty"], "novelty"), (["notice"], "notice"), (READ[:2], "inbound")):
        with pytest.raises(InvalidInputError, match=says):
            batch(wire, event)


def test_instances_of_other_settings_share_nothing_and_one_opened_anew_has_nothing_of_before(wire):
    other = {**TOLD, "classes": [{**TOLD["classes"][0], "name": "odd", "effect": "guarded", "window": 9.0}]}
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
    batch(wire, START, READ)
    with pytest.raises(InvalidInputError, match="unknown class"):
        batch(wire, save)  # the class of another instance
    assert batch(wire, ["openInstance", 5, other], save, who=1)["nodes"]
    ended = batch(wire, ["settled", "00000000000000a1", "completed", 0.01], who=0, turn=2)
    controllers = [wire.instances[node_id].controller for node_id in (0, 1)]
    assert controllers[0].service_times.samples is not controllers[1].service_times.samples
    assert ended["nodes"] == [] or ended["nodes"][0]["who"] == 0
    assert [len(each) for each in wire.instances[1].controller.service_times.samples.values()] == [0]
    assert wire.instances[1].controller.records.expiry and not wire.instances[0].controller.records.expiry
    batch(wire, ["exit"], ["openInstance", 5, other], who=1, turn=3)
    assert not wire.instances[1].controller.records.expiry and not list(wire.instances[1].requests)
    outbox = batch(wire, again, who=1, turn=4)["nodes"][0]["outbox"]
    assert not [each for each in outbox if each[0] == "admit"]  # it repeats one that this life does not know
