"""The service on a faulty disk that loses power or fails at each of its calls."""

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
    """The clock is set between incarnations and within one: the key runs once, and its result stays."""
    node = NodeIncarnation(Environment())
    node.start()
    node.send_request(1), node.run_disk_calls(), node.complete_runs(), node.run_disk_calls()
    for number, off in enumerate(steps, 2):
        node = node.crash()
        node.environment.clock_offset_s = off
        node.start()
        node.advance(1.2), node.run_disk_calls()  # a heartbeat by the wrong clock
        node.send_request(number), node.run_disk_calls()
        assert node.answers[number] == ("honoured", b"result 1")
    node.environment.clock_offset_s += 7_200  # the clock is also set within an incarnation
    node.advance(0.1)
    node.send_request(9), node.run_disk_calls()
    assert node.answers[9] == ("honoured", b"result 1") and len(node.environment.runs) == 1


def test_service_runs_after_the_intent_and_answers_after_the_result_is_durable():
    node = NodeIncarnation(Environment())
    node.start()
    node.send_request(1)
    assert node.environment.runs == [] and node.run_disk_calls(1) and len(node.environment.runs) == 1
    node.complete_runs()
    assert node.answers == {} and node.run_disk_calls(1)
    assert node.answers == {1: ("honoured", b"result 1")}
    node.send_request(2)
    assert node.answers[2] == ("honoured", b"result 1")


def test_service_joins_a_repeat_to_the_run_whose_intent_is_being_written():
    node = NodeIncarnation(Environment())
    node.start()
    node.send_request(1), node.send_request(2)
    node.run_disk_calls(), node.complete_runs(), node.run_disk_calls()
    assert node.answers == {1: ("honoured", b"result 1"), 2: ("honoured", b"result 1")}
    assert len(node.environment.runs) == 1


def test_service_does_not_run_for_a_caller_gone_before_the_intent_is_durable():
    node = NodeIncarnation(Environment())
    node.start()
    node.send_request(1)
    node.disconnect_caller(1)
    node.run_disk_calls()
    assert node.environment.runs == []
    node.send_request(2)
    node.run_disk_calls(), node.complete_runs(), node.run_disk_calls()
    assert node.answers == {2: ("honoured", b"result 1")} and len(node.environment.runs) == 1


def test_service_rejects_only_keyed_requests_while_the_disk_stalls():
    node = NodeIncarnation(Environment())
    node.start()
    node.send_request(1)
    node.advance(0.4)
    assert node.answers[1][0] == "deferred" and node.environment.runs == []
    node.send_request(2)
    assert node.answers[2][0] == "deferred"
    node.send_request(3, pure=True)
    assert len(node.environment.runs) == 1
    node.run_disk_calls()
    node.advance(1.1)
    node.run_disk_calls()
    node.send_request(4)
    node.run_disk_calls(), node.complete_runs(2), node.run_disk_calls()
    assert node.answers[4][0] == "honoured"


def test_service_rejects_new_runs_on_a_full_disk_and_answers_those_that_ran():
    environment = Environment()
    node = NodeIncarnation(environment)
    node.start()
    node.send_request(1)
    node.run_disk_calls()
    environment.disk.room = 0
    node.complete_runs(), node.run_disk_calls()
    assert node.answers[1] == ("honoured", b"result 1")
    node.send_request(2)
    assert node.answers[2] == ("honoured", b"result 1")
    node.send_request(3, key=b"other")
    node.run_disk_calls()
    assert node.answers[3][0] == "deferred" and len(environment.runs) == 1
    environment.disk.room = None
    node.advance(1.1), node.run_disk_calls(), node.run_disk_calls()
    restarted = node.crash()
    restarted.start()
    restarted.send_request(4), restarted.run_disk_calls()
    assert restarted.answers[4] == ("honoured", b"result 1")  # the result was written once the disk had room


def test_service_fails_a_key_with_another_body_before_and_after_a_restart():
    node = NodeIncarnation(Environment())
    node.start()
    node.send_request(1), node.run_disk_calls()
    node.send_request(2, body=b"y")
    assert node.answers[2][0] == "given up"
    restarted = node.crash()
    restarted.start()
    restarted.send_request(3, body=b"y")
    assert restarted.answers[3][0] == "given up" and len(node.environment.runs) == 1


def test_service_awaits_an_earlier_run_while_the_interpreter_goes_on():
    node = NodeIncarnation(Environment())
    node.start()
    node.send_request(1), node.run_disk_calls()
    restarted = node.crash()
    restarted.start()
    restarted.send_request(2)
    assert restarted.answers == {}
    restarted.complete_runs(), restarted.run_disk_calls()
    assert restarted.answers == {2: ("honoured", b"result 1")}
    restarted_again = restarted.crash()
    restarted_again.start()
    restarted_again.send_request(3), restarted_again.run_disk_calls()
    assert restarted_again.answers == {3: ("honoured", b"result 1")}


def test_service_fails_a_repeat_whose_first_run_can_not_be_proved():
    node = NodeIncarnation(Environment(interpreter_forgets=True))
    node.start()
    node.send_request(1), node.run_disk_calls()
    node.advance(0.1)
    restarted = node.crash()
    restarted.start(interpreter_age=0)
    restarted.send_request(2)
    restarted.advance(0.1)
    assert restarted.answers[2][0] == "given up" and len(node.environment.runs) == 1


def test_service_holds_arrivals_until_the_index_is_loaded():
    node = NodeIncarnation(Environment())
    node.start()
    node.send_request(1), node.run_disk_calls(), node.complete_runs(), node.run_disk_calls()
    restarted = node.crash()
    restarted.start(load=False)
    restarted.send_request(2), restarted.send_request(3, key=b"other"), restarted.send_request(4, pure=True)
    assert restarted.answers == {} and len(node.environment.runs) == 2  # the idempotent request does not wait
    restarted.load_index(), restarted.run_disk_calls()
    assert restarted.answers[2] == ("honoured", b"result 1")
    restarted_late = restarted.crash()
    restarted_late.start(load=False)
    restarted_late.send_request(5)
    restarted_late.advance(1.7)
    assert restarted_late.answers[5][0] == "given up"


def test_service_bounds_pending_arrivals_in_a_storm_of_repeats_at_the_start():
    """10,000 repeats of 200 keys that ran before the crash arrive while the index loads."""
    node = NodeIncarnation(Environment())
    node.start()
    for number in range(200):
        node.send_request(number, key=b"%d" % number)
    for _ in range(60):  # the node runs a few at a time, and rejects the excess
        node.run_disk_calls(), node.complete_runs(10), node.advance(0.1)
    ran = {each[2] for each in node.environment.runs}
    restarted = node.crash()
    restarted.start(load=False)
    for number in range(10_000):
        restarted.send_request(number, key=b"%d" % (number % 200))
    assert len(restarted.service.pending_arrivals) == MAX_PENDING_ARRIVALS
    assert len(restarted.answers) == 10_000 - MAX_PENDING_ARRIVALS and len(node.environment.runs) == len(ran)
    restarted.advance(1.0)
    restarted.load_index()
    for _ in range(40):
        restarted.run_disk_calls(), restarted.complete_runs(10), restarted.advance(0.1)
    assert len(restarted.answers) == 10_000
    assert len({each[2] for each in node.environment.runs}) == len(node.environment.runs) >= len(ran)


def test_service_rejects_new_keys_when_the_index_is_full():
    node = NodeIncarnation(Environment(), entries=3)
    node.start()
    for number in range(8):
        node.send_request(number, key=b"%d" % number)
        node.run_disk_calls(), node.complete_runs(), node.run_disk_calls()
    assert [node.answers[number][0] for number in range(8)] == ["honoured"] * 3 + ["deferred"] * 5
    node.send_request(10, key=b"0")
    assert node.answers[10] == node.answers[0]  # known keys stay
    node.advance(45), node.run_disk_calls(), node.advance(1.1), node.run_disk_calls()
    node.send_request(11, key=b"9"), node.run_disk_calls(), node.complete_runs(), node.run_disk_calls()
    assert node.answers[11][0] == "honoured"  # the windows have ended


def test_service_drain_with_unconfirmed_intents_answers_in_time_and_leaves_no_record():
    node = NodeIncarnation(Environment())
    node.start()
    node.send_request(1)
    node.host.start_draining(node.clock() + 3 * SECOND)
    node.advance(2.5)
    assert node.answers[1][0] in ("deferred", "given up") and node.environment.runs == []
    node.run_disk_calls()
    assert node.host.unanswered_count() == 0 and node.service.intents.pending_starts == {}
    restarted = node.crash()
    restarted.start()
    (
        restarted.send_request(2),
        restarted.run_disk_calls(),
        restarted.complete_runs(),
        restarted.run_disk_calls(),
    )
    assert restarted.answers[2][0] == "honoured" and len(node.environment.runs) == 1


@pytest.mark.parametrize("fault_kind", ["cut", "cut after", "errno"])
def test_service_runs_no_key_twice_with_a_fault_at_any_disk_call(fault_kind):
    """A fault hits one disk call while a key runs and repeats; the next incarnation gets repeats, too."""
    fault = {"cut": FaultyDisk.CUT, "cut after": FaultyDisk.CUT_AFTER, "errno": 5}[fault_kind]
    outcomes = set()
    for at in range(60):
        environment = Environment()
        node = NodeIncarnation(environment)
        node.start()
        calls = len(environment.disk.calls)
        environment.disk.faults = {calls + at: fault}
        node.run_script()
        reached = len(environment.disk.calls) > calls + at
        restarted = node.crash(random.Random(at))
        restarted.start()
        restarted.run_script(first=10)
        assert len(environment.runs_of(b"key")) <= 1, (at, environment.runs)
        results = {
            each for each in (*node.answers.values(), *restarted.answers.values()) if each[0] == "honoured"
        }
        assert len(results) <= 1 and all(each[1] in environment.made for each in results), (at, results)
        outcomes |= {each[0] for each in restarted.answers.values()}
        if not reached:
            break
    else:
        raise AssertionError("the script makes more disk calls than the test tries")
    assert at > 3 and "honoured" in outcomes


def test_service_rejects_a_directory_of_another_node_or_a_copy():
    node = NodeIncarnation(Environment())
    node.start()
    assert "another" not in node.start_error
    other = node.crash()
    other.name = "n2"
    other.start()
    assert "belongs to the node 'n1'" in other.start_error
    copy = other.crash()
    copy.name, copy.inode = "n1", 8
    copy.start()
    assert "copied or moved" in copy.start_error


def test_model_checking_runs_a_key_once_in_all_orders_and_catches_injected_bugs():
    for forgets in (False, True):
        found = play(Explored, forgets, 40)
        assert found.violation is None and found.whole
        for kind in MISTAKES:
            assert play(kind, forgets, 40).violation is not None, kind
