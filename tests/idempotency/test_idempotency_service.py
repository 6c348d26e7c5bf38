"""The service over a faulty disk, cut and failed at each of its calls."""

import random

import pytest
from node_lifecycle import NodeIncarnation, World

from lichencleat.idempotency.service import MAX_PENDING_ARRIVALS
from lichencleat.store.faulty import FaultyDisk
from lichencleat.testkit.explore_keyed import MISTAKES, play
from lichencleat.testkit.explore_keyed import World as Explored

SECOND = 1_000_000


@pytest.mark.parametrize("steps", [(-3_600, 0), (-30, 30), (30, 30), (3_600, 3_600), (3_600, -50_000)])
def test_service_ends_no_window_early_whatever_the_clock_did(steps):
    """Set between two lives, and again between the next two: the key ran once, and its result stays."""
    life = NodeIncarnation(World())
    life.start()
    life.ask(1), life.disk_works(), life.run_ends(), life.disk_works()
    for number, off in enumerate(steps, 2):
        life = life.cut()
        life.world.clock_off = off
        life.start()
        life.advance(1.2), life.disk_works()  # a sign of life, by the clock that is wrong
        life.ask(number), life.disk_works()
        assert life.answers[number] == ("honoured", b"result 1")
    life.world.clock_off += 7_200  # and within a life
    life.advance(0.1)
    life.ask(9), life.disk_works()
    assert life.answers[9] == ("honoured", b"result 1") and len(life.world.runs) == 1


def test_service_runs_after_the_intent_and_answers_after_the_result_is_durable():
    life = NodeIncarnation(World())
    life.start()
    life.ask(1)
    assert life.world.runs == [] and life.disk_works(1) and len(life.world.runs) == 1
    life.run_ends()
    assert life.answers == {} and life.disk_works(1)
    assert life.answers == {1: ("honoured", b"result 1")}
    life.ask(2)
    assert life.answers[2] == ("honoured", b"result 1")


def test_service_joins_a_repeat_to_the_run_whose_intent_is_being_written():
    life = NodeIncarnation(World())
    life.start()
    life.ask(1), life.ask(2)
    life.disk_works(), life.run_ends(), life.disk_works()
    assert life.answers == {1: ("honoured", b"result 1"), 2: ("honoured", b"result 1")}
    assert len(life.world.runs) == 1


def test_service_does_not_run_for_a_caller_gone_before_the_intent_is_durable():
    life = NodeIncarnation(World())
    life.start()
    life.ask(1)
    life.caller_goes(1)
    life.disk_works()
    assert life.world.runs == []
    life.ask(2)
    life.disk_works(), life.run_ends(), life.disk_works()
    assert life.answers == {2: ("honoured", b"result 1")} and len(life.world.runs) == 1


def test_service_rejects_only_keyed_requests_while_the_disk_stalls():
    life = NodeIncarnation(World())
    life.start()
    life.ask(1)
    life.advance(0.4)
    assert life.answers[1][0] == "deferred" and life.world.runs == []
    life.ask(2)
    assert life.answers[2][0] == "deferred"
    life.ask(3, pure=True)
    assert len(life.world.runs) == 1
    life.disk_works()
    life.advance(1.1)
    life.disk_works()
    life.ask(4)
    life.disk_works(), life.run_ends(2), life.disk_works()
    assert life.answers[4][0] == "honoured"


def test_service_rejects_new_runs_on_a_full_disk_and_answers_those_that_ran():
    world = World()
    life = NodeIncarnation(world)
    life.start()
    life.ask(1)
    life.disk_works()
    world.disk.room = 0
    life.run_ends(), life.disk_works()
    assert life.answers[1] == ("honoured", b"result 1")
    life.ask(2)
    assert life.answers[2] == ("honoured", b"result 1")
    life.ask(3, key=b"other")
    life.disk_works()
    assert life.answers[3][0] == "deferred" and len(world.runs) == 1
    world.disk.room = None
    life.advance(1.1), life.disk_works(), life.disk_works()
    again = life.cut()
    again.start()
    again.ask(4), again.disk_works()
    assert again.answers[4] == ("honoured", b"result 1")  # it was written once there was room


def test_service_fails_a_key_with_another_body_before_and_after_a_restart():
    life = NodeIncarnation(World())
    life.start()
    life.ask(1), life.disk_works()
    life.ask(2, body=b"y")
    assert life.answers[2][0] == "given up"
    again = life.cut()
    again.start()
    again.ask(3, body=b"y")
    assert again.answers[3][0] == "given up" and len(life.world.runs) == 1


def test_service_awaits_an_earlier_run_while_the_interpreter_goes_on():
    life = NodeIncarnation(World())
    life.start()
    life.ask(1), life.disk_works()
    again = life.cut()
    again.start()
    again.ask(2)
    assert again.answers == {}
    again.run_ends(), again.disk_works()
    assert again.answers == {2: ("honoured", b"result 1")}
    third = again.cut()
    third.start()
    third.ask(3), third.disk_works()
    assert third.answers == {3: ("honoured", b"result 1")}


def test_service_fails_a_repeat_whose_first_run_can_not_be_proved():
    life = NodeIncarnation(World(forgets=True))
    life.start()
    life.ask(1), life.disk_works()
    life.advance(0.1)
    again = life.cut()
    again.start(interpreter_age=0)
    again.ask(2)
    again.advance(0.1)
    assert again.answers[2][0] == "given up" and len(life.world.runs) == 1


def test_service_holds_arrivals_until_the_index_is_loaded():
    life = NodeIncarnation(World())
    life.start()
    life.ask(1), life.disk_works(), life.run_ends(), life.disk_works()
    again = life.cut()
    again.start(stand=False)
    again.ask(2), again.ask(3, key=b"other"), again.ask(4, pure=True)
    assert again.answers == {} and len(life.world.runs) == 2  # the pure one does not wait
    again.stand(), again.disk_works()
    assert again.answers[2] == ("honoured", b"result 1")
    late = again.cut()
    late.start(stand=False)
    late.ask(5)
    late.advance(1.7)
    assert late.answers[5][0] == "given up"


def test_service_bounds_pending_arrivals_in_a_storm_of_repeats_at_the_start():
    """10,000 repeats of 200 keys, all of which ran before the cut."""
    life = NodeIncarnation(World())
    life.start()
    for number in range(200):
        life.ask(number, key=b"%d" % number)
    for _ in range(60):  # the node runs a few at a time, and defers what is too much for it
        life.disk_works(), life.run_ends(10), life.advance(0.1)
    ran = {each[2] for each in life.world.runs}
    again = life.cut()
    again.start(stand=False)
    for number in range(10_000):
        again.ask(number, key=b"%d" % (number % 200))
    assert len(again.service.pending_arrivals) == MAX_PENDING_ARRIVALS
    assert len(again.answers) == 10_000 - MAX_PENDING_ARRIVALS and len(life.world.runs) == len(ran)
    again.advance(1.0)
    again.stand()
    for _ in range(40):
        again.disk_works(), again.run_ends(10), again.advance(0.1)
    assert len(again.answers) == 10_000
    assert len({each[2] for each in life.world.runs}) == len(life.world.runs) >= len(ran)


def test_service_rejects_new_keys_when_the_index_is_full():
    life = NodeIncarnation(World(), entries=3)
    life.start()
    for number in range(8):
        life.ask(number, key=b"%d" % number)
        life.disk_works(), life.run_ends(), life.disk_works()
    assert [life.answers[number][0] for number in range(8)] == ["honoured"] * 3 + ["deferred"] * 5
    life.ask(10, key=b"0")
    assert life.answers[10] == life.answers[0]  # what is known stays
    life.advance(45), life.disk_works(), life.advance(1.1), life.disk_works()
    life.ask(11, key=b"9"), life.disk_works(), life.run_ends(), life.disk_works()
    assert life.answers[11][0] == "honoured"  # the windows are over


def test_service_drain_with_unconfirmed_intents_answers_in_time_and_leaves_no_record():
    life = NodeIncarnation(World())
    life.start()
    life.ask(1)
    life.host.must_leave(life.clock() + 3 * SECOND)
    life.advance(2.5)
    assert life.answers[1][0] in ("deferred", "given up") and life.world.runs == []
    life.disk_works()
    assert life.host.owed() == 0 and life.service.intents.pending_starts == {}
    again = life.cut()
    again.start()
    again.ask(2), again.disk_works(), again.run_ends(), again.disk_works()
    assert again.answers[2][0] == "honoured" and len(life.world.runs) == 1


@pytest.mark.parametrize("what", ["cut", "cut after", "errno"])
def test_service_runs_no_key_twice_with_a_fault_at_any_disk_call(what):
    """The life: asked, run, asked again; a cut somewhere; the next life is asked as well."""
    fault = {"cut": FaultyDisk.CUT, "cut after": FaultyDisk.CUT_AFTER, "errno": 5}[what]
    told = set()
    for at in range(60):
        world = World()
        life = NodeIncarnation(world)
        life.start()
        calls = len(world.disk.calls)
        world.disk.faults = {calls + at: fault}
        life.script()
        reached = len(world.disk.calls) > calls + at
        again = life.cut(random.Random(at))
        again.start()
        again.script(first=10)
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
    life = NodeIncarnation(World())
    life.start()
    assert "another" not in life.refused
    other = life.cut()
    other.name = "n2"
    other.start()
    assert "belongs to the node 'n1'" in other.refused
    copy = other.cut()
    copy.name, copy.place = "n1", 8
    copy.start()
    assert "copied or moved" in copy.refused


def test_model_checking_runs_a_key_once_in_all_orders_and_catches_injected_bugs():
    for forgets in (False, True):
        found = play(Explored, forgets, 40)
        assert found.violation is None and found.whole
        for kind in MISTAKES:
            assert play(kind, forgets, 40).violation is not None, kind
