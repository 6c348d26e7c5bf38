"""The service over a faulty disk, cut and failed at each of its calls."""

import random

import pytest
from node_lifecycle import Environment, NodeIncarnation

from lichencleat.idempotency.service import MAX_PENDING_ARRIVALS
from lichencleat.testkit.explore_keyed import MISTAKES, play
from lichencleat.testkit.explore_keyed import World as Explored
from lichencleat.testkit.faulty_disk import FaultyDisk

SECOND = 1_000_000


@pytest.mark.parametrize("steps", [(-3_600, 0), (-30, 30), (30, 30), (3_600, 3_600), (3_600, -50_000)])
def test_service_ends_no_window_early_whatever_the_clock_did(steps):
    """Set between two lives, and again between the next two: the key ran once, and its result stays."""
    life = NodeIncarnation(Environment())
    life.start()
    life.send_request(1), life.run_disk_calls(), life.complete_runs(), life.run_disk_calls()
    for number, off in enumerate(steps, 2):
        life = life.crash()
        life.world.clock_off = off
        life.start()
        life.advance(1.2), life.run_disk_calls()  # a sign of life, by the clock that is wrong
        life.send_request(number), life.run_disk_calls()
        assert life.answers[number] == ("honoured", b"result 1")
    life.world.clock_off += 7_200  # and within a life
    life.advance(0.1)
    life.send_request(9), life.run_disk_calls()
    assert life.answers[9] == ("honoured", b"result 1") and len(life.world.runs) == 1


def test_service_runs_after_the_intent_and_answers_after_the_result_is_durable():
    life = NodeIncarnation(Environment())
    life.start()
    life.send_request(1)
    assert life.world.runs == [] and life.run_disk_calls(1) and len(life.world.runs) == 1
    life.complete_runs()
    assert life.answers == {} and life.run_disk_calls(1)
    assert life.answers == {1: ("honoured", b"result 1")}
    life.send_request(2)
    assert life.answers[2] == ("honoured", b"result 1")


def test_service_joins_a_repeat_to_the_run_whose_intent_is_being_written():
    life = NodeIncarnation(Environment())
    life.start()
    life.send_request(1), life.send_request(2)
    life.run_disk_calls(), life.complete_runs(), life.run_disk_calls()
    assert life.answers == {1: ("honoured", b"result 1"), 2: ("honoured", b"result 1")}
    assert len(life.world.runs) == 1


def test_service_does_not_run_for_a_caller_gone_before_the_intent_is_durable():
    life = NodeIncarnation(Environment())
    life.start()
    life.send_request(1)
    life.disconnect_caller(1)
    life.run_disk_calls()
    assert life.world.runs == []
    life.send_request(2)
    life.run_disk_calls(), life.complete_runs(), life.run_disk_calls()
    assert life.answers == {2: ("honoured", b"result 1")} and len(life.world.runs) == 1


def test_service_rejects_only_keyed_requests_while_the_disk_stalls():
    life = NodeIncarnation(Environment())
    life.start()
    life.send_request(1)
    life.advance(0.4)
    assert life.answers[1][0] == "deferred" and life.world.runs == []
    life.send_request(2)
    assert life.answers[2][0] == "deferred"
    life.send_request(3, pure=True)
    assert len(life.world.runs) == 1
    life.run_disk_calls()
    life.advance(1.1)
    life.run_disk_calls()
    life.send_request(4)
    life.run_disk_calls(), life.complete_runs(2), life.run_disk_calls()
    assert life.answers[4][0] == "honoured"


def test_service_rejects_new_runs_on_a_full_disk_and_answers_those_that_ran():
    world = Environment()
    life = NodeIncarnation(world)
    life.start()
    life.send_request(1)
    life.run_disk_calls()
    world.disk.room = 0
    life.complete_runs(), life.run_disk_calls()
    assert life.answers[1] == ("honoured", b"result 1")
    life.send_request(2)
    assert life.answers[2] == ("honoured", b"result 1")
    life.send_request(3, key=b"other")
    life.run_disk_calls()
    assert life.answers[3][0] == "deferred" and len(world.runs) == 1
    world.disk.room = None
    life.advance(1.1), life.run_disk_calls(), life.run_disk_calls()
    again = life.crash()
    again.start()
    again.send_request(4), again.run_disk_calls()
    assert again.answers[4] == ("honoured", b"result 1")  # it was written once there was room


def test_service_fails_a_key_with_another_body_before_and_after_a_restart():
    life = NodeIncarnation(Environment())
    life.start()
    life.send_request(1), life.run_disk_calls()
    life.send_request(2, body=b"y")
    assert life.answers[2][0] == "given up"
    again = life.crash()
    again.start()
    again.send_request(3, body=b"y")
    assert again.answers[3][0] == "given up" and len(life.world.runs) == 1


def test_service_awaits_an_earlier_run_while_the_interpreter_goes_on():
    life = NodeIncarnation(Environment())
    life.start()
    life.send_request(1), life.run_disk_calls()
    again = life.crash()
    again.start()
    again.send_request(2)
    assert again.answers == {}
    again.complete_runs(), again.run_disk_calls()
    assert again.answers == {2: ("honoured", b"result 1")}
    third = again.crash()
    third.start()
    third.send_request(3), third.run_disk_calls()
    assert third.answers == {3: ("honoured", b"result 1")}


def test_service_fails_a_repeat_whose_first_run_can_not_be_proved():
    life = NodeIncarnation(Environment(interpreter_forgets=True))
    life.start()
    life.send_request(1), life.run_disk_calls()
    life.advance(0.1)
    again = life.crash()
    again.start(interpreter_age=0)
    again.send_request(2)
    again.advance(0.1)
    assert again.answers[2][0] == "given up" and len(life.world.runs) == 1


def test_service_holds_arrivals_until_the_index_is_loaded():
    life = NodeIncarnation(Environment())
    life.start()
    life.send_request(1), life.run_disk_calls(), life.complete_runs(), life.run_disk_calls()
    again = life.crash()
    again.start(load=False)
    again.send_request(2), again.send_request(3, key=b"other"), again.send_request(4, pure=True)
    assert again.answers == {} and len(life.world.runs) == 2  # the pure one does not wait
    again.load_index(), again.run_disk_calls()
    assert again.answers[2] == ("honoured", b"result 1")
    late = again.crash()
    late.start(load=False)
    late.send_request(5)
    late.advance(1.7)
    assert late.answers[5][0] == "given up"


def test_service_bounds_pending_arrivals_in_a_storm_of_repeats_at_the_start():
    """10,000 repeats of 200 keys, all of which ran before the cut."""
    life = NodeIncarnation(Environment())
    life.start()
    for number in range(200):
        life.send_request(number, key=b"%d" % number)
    for _ in range(60):  # the node runs a few at a time, and defers what is too much for it
        life.run_disk_calls(), life.complete_runs(10), life.advance(0.1)
    ran = {each[2] for each in life.world.runs}
    again = life.crash()
    again.start(load=False)
    for number in range(10_000):
        again.send_request(number, key=b"%d" % (number % 200))
    assert len(again.service.pending_arrivals) == MAX_PENDING_ARRIVALS
    assert len(again.answers) == 10_000 - MAX_PENDING_ARRIVALS and len(life.world.runs) == len(ran)
    again.advance(1.0)
    again.load_index()
    for _ in range(40):
        again.run_disk_calls(), again.complete_runs(10), again.advance(0.1)
    assert len(again.answers) == 10_000
    assert len({each[2] for each in life.world.runs}) == len(life.world.runs) >= len(ran)


def test_service_rejects_new_keys_when_the_index_is_full():
    life = NodeIncarnation(Environment(), entries=3)
    life.start()
    for number in range(8):
        life.send_request(number, key=b"%d" % number)
        life.run_disk_calls(), life.complete_runs(), life.run_disk_calls()
    assert [life.answers[number][0] for number in range(8)] == ["honoured"] * 3 + ["deferred"] * 5
    life.send_request(10, key=b"0")
    assert life.answers[10] == life.answers[0]  # what is known stays
    life.advance(45), life.run_disk_calls(), life.advance(1.1), life.run_disk_calls()
    life.send_request(11, key=b"9"), life.run_disk_calls(), life.complete_runs(), life.run_disk_calls()
    assert life.answers[11][0] == "honoured"  # the windows are over


def test_service_drain_with_unconfirmed_intents_answers_in_time_and_leaves_no_record():
    life = NodeIncarnation(Environment())
    life.start()
    life.send_request(1)
    life.host.must_leave(life.clock() + 3 * SECOND)
    life.advance(2.5)
    assert life.answers[1][0] in ("deferred", "given up") and life.world.runs == []
    life.run_disk_calls()
    assert life.host.owed() == 0 and life.service.intents.pending_starts == {}
    again = life.crash()
    again.start()
    again.send_request(2), again.run_disk_calls(), again.complete_runs(), again.run_disk_calls()
    assert again.answers[2][0] == "honoured" and len(life.world.runs) == 1


@pytest.mark.parametrize("what", ["cut", "cut after", "errno"])
def test_service_runs_no_key_twice_with_a_fault_at_any_disk_call(what):
    """The life: asked, run, asked again; a cut somewhere; the next life is asked as well."""
    fault = {"cut": FaultyDisk.CUT, "cut after": FaultyDisk.CUT_AFTER, "errno": 5}[what]
    told = set()
    for at in range(60):
        world = Environment()
        life = NodeIncarnation(world)
        life.start()
        calls = len(world.disk.calls)
        world.disk.faults = {calls + at: fault}
        life.run_script()
        reached = len(world.disk.calls) > calls + at
        again = life.crash(random.Random(at))
        again.start()
        again.run_script(first=10)
        assert len(world.runs_of(b"key")) <= 1, (at, world.runs)
        results = {
            each for each in (*life.answers.values(), *again.answers.values()) if each[0] == "honoured"
        }
        assert len(results) <= 1 and all(each[1] in world.made for each in results), (at, results)
        told |= {each[0] for each in again.answers.values()}
        if not reached:
            break
    else:
        raise AssertionError("the life has more calls than were tried")
    assert at > 3 and "honoured" in told


def test_service_rejects_a_directory_of_another_node_or_a_copy():
    life = NodeIncarnation(Environment())
    life.start()
    assert "another" not in life.start_error
    other = life.crash()
    other.name = "n2"
    other.start()
    assert "belongs to the node 'n1'" in other.start_error
    copy = other.crash()
    copy.name, copy.place = "n1", 8
    copy.start()
    assert "copied or moved" in copy.start_error


def test_model_checking_runs_a_key_once_in_all_orders_and_catches_injected_bugs():
    for forgets in (False, True):
        found = play(Explored, forgets, 40)
        assert found.violation is None and found.whole
        for kind in MISTAKES:
            assert play(kind, forgets, 40).violation is not None, kind
