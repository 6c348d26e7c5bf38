"""Requests that share a key, read in one reactor turn or while a write of another one is under way."""

import pytest
from node_lifecycle import SAVE, SECOND, Environment, NodeIncarnation

from lichencleat.admission.types import Effect, RequestClass

KEY_A, KEY_B = b"keya", b"keyb"  # the bodies at the interpreter for the bodies a and b of the key
SHORT_WINDOW = RequestClass("save", Effect.KEYED, 2 * SECOND, 6 * SECOND, window=2 * SECOND)


def start_node(environment=None, **properties):
    node = NodeIncarnation(environment or Environment(), **properties)
    node.start()
    return node


def restart(node):
    """Cut the power and start the next incarnation."""
    restarted = node.crash()
    restarted.start()
    return restarted


def settle(node, runs=10):
    """Let the disk and the interpreter finish all that they were given."""
    for _ in range(3):
        node.run_disk_calls()
        node.complete_runs(runs)
        node.advance(0.1)


def pass_time(node, seconds):
    """Advance the clock while the disk works."""
    for _ in range(round(seconds / 0.1)):
        node.advance(0.1)
        node.run_disk_calls()


def runs_of(node, body):
    return len(node.environment.runs_of(body))


def test_a_withdrawn_request_with_another_body_leaves_the_record_of_the_run():
    """Guards against a run that repeats after a restart, as a bad client with its key deleted its record."""
    node = start_node()
    node.receive_request(1, body=b"a"), node.receive_request(2, body=b"b")
    node.run_turn()
    node.disconnect_caller(2)
    node.run_disk_calls()
    node.advance(0.1), node.run_disk_calls()
    assert runs_of(node, KEY_A) == 1 and runs_of(node, KEY_B) == 0
    restarted = restart(node)
    restarted.send_request(3, body=b"a")
    settle(restarted)
    assert runs_of(node, KEY_A) == 1
    assert restarted.answers[3] == ("honoured", b"result 1")


def test_of_two_bodies_read_in_one_turn_only_the_first_runs():
    """Guards against two runs under one key, one of which has no record."""
    node = start_node()
    node.receive_request(1, body=b"a"), node.receive_request(2, body=b"b"), node.receive_request(3, body=b"b")
    settle(node)
    assert node.answers == {1: ("honoured", b"result 1"), 2: ("given up", b""), 3: ("given up", b"")}
    assert runs_of(node, KEY_B) == 0 and len(node.host.pending_requests) == 0
    node.send_request(4, body=b"a")
    assert node.answers[4] == ("honoured", b"result 1")


def test_of_two_bodies_that_wait_for_the_index_only_the_first_runs():
    """Guards against the same while the records are loaded: both bodies are let in at once then."""
    node = NodeIncarnation(Environment())
    node.start(load=False)
    node.receive_request(1, body=b"a"), node.receive_request(2, body=b"b")
    node.load_index()
    settle(node)
    assert node.answers == {1: ("honoured", b"result 1"), 2: ("given up", b"")}
    assert runs_of(node, KEY_B) == 0


def test_a_key_is_free_for_another_body_once_its_request_ended_without_a_run():
    """Guards against a key that stays taken by a request that was taken back."""
    node = start_node()
    node.receive_request(1, body=b"a")
    node.run_turn()
    node.disconnect_caller(1)
    node.run_disk_calls()
    node.advance(0.1)
    node.send_request(2, body=b"b")
    settle(node)
    assert node.answers == {2: ("honoured", b"result 1")} and runs_of(node, KEY_A) == 0


def queue_behind_runs(node, number):
    """Send a request that gets a record but doesn't start, as the cores are taken."""
    node.host.node.concurrency.update = lambda now, runnable: None  # the running limit stays
    node.receive_request(100, b"fill", pure=True), node.receive_request(101, b"fill", pure=True)
    node.run_turn()
    node.send_request(number)
    assert list(node.service.intents.pending_starts) == [node.cases[number].request]


def replace_by_repeat(node, number, repeat):
    """Have a queued request rejected as late in the round in which its repeat takes its place."""
    node.receive_request(repeat)
    node.cases[number].request.arrived -= SAVE.latency_objective
    node.advance(0.05)
    assert node.answers[number][0] == "deferred" and repeat not in node.answers


def test_a_repeat_that_takes_the_place_of_a_late_request_leaves_no_start_pending():
    """Guards against starts and open records that stay in memory for requests that ended long ago."""
    node = start_node()
    queue_behind_runs(node, 1)
    node.run_disk_calls()
    replace_by_repeat(node, 1, repeat=2)
    node.complete_runs(2)
    settle(node)
    assert node.answers[2][0] == "honoured"
    assert node.service.intents.pending_starts == {} and node.service.intents._open_records == {}


def test_a_request_rejected_after_its_window_leaves_no_start_pending():
    """Guards against starts that stay in memory, as the controller had dropped their records as expired."""
    short = RequestClass("save", Effect.KEYED, 2 * SECOND, 6 * SECOND, window=1 * SECOND)
    node = start_node(keyed_class=short)
    queue_behind_runs(node, 1)
    node.run_disk_calls()
    pass_time(node, 2.5)
    assert node.answers[1][0] == "deferred"
    assert node.service.intents.pending_starts == {} and node.service.intents._open_records == {}


def test_a_slow_intent_of_a_replaced_request_leaves_the_record_of_its_repeat():
    """Guards against a second run after a restart: a slow intent took the record of the repeat along."""
    node = start_node()
    queue_behind_runs(node, 1)
    node.advance(0.15)
    replace_by_repeat(node, 1, repeat=2)
    node.advance(0.15)  # the write of the first intent takes too long, not yet that of the second one
    node.complete_runs(2)
    node.run_disk_calls()
    assert runs_of(node, b"keyx") == 1
    restarted = restart(node)
    restarted.send_request(3)
    settle(restarted)
    assert runs_of(node, b"keyx") == 1 and restarted.answers[3][0] == "honoured"


@pytest.mark.parametrize("body", [b"a", b"b"])
def test_a_run_that_ends_after_its_window_leaves_the_record_of_the_next_request(body):
    """Guards against the result of an earlier run that replaces the intent of a later one of the key."""
    node = start_node(keyed_class=SHORT_WINDOW)
    node.send_request(1, body=b"a")
    node.run_disk_calls()
    pass_time(node, 2.5)
    node.send_request(2, body=body)
    pass_time(node, 0.1)
    assert len(node.environment.runs) == 2
    node.complete_runs(1)
    settle(node, runs=0)
    assert node.answers == {1: ("honoured", b"result 1")}
    restarted = restart(node)
    pass_time(restarted, 1.5)
    restarted.send_request(3, body=body)
    settle(restarted)
    assert len(node.environment.runs) == 2 and restarted.answers[3] == ("honoured", b"result 2")


@pytest.mark.parametrize("body", [b"a", b"b"])
def test_an_earlier_run_that_ends_after_its_window_leaves_the_record_of_the_next_request(body):
    """Guards against the same, as the run was started by the process before."""
    node = start_node(keyed_class=SHORT_WINDOW)
    node.send_request(1, body=b"a")
    node.run_disk_calls()
    pass_time(node, 1.1)
    node = restart(node)
    pass_time(node, 2.5)
    node.send_request(2, body=body)
    pass_time(node, 0.1)
    assert len(node.environment.runs) == 2
    node.complete_runs(1)
    settle(node, runs=0)
    restarted = restart(node)
    pass_time(restarted, 1.0)
    restarted.send_request(3, body=body)
    settle(restarted)
    assert len(node.environment.runs) == 2 and restarted.answers[3] == ("honoured", b"result 2")


def test_a_repeat_read_late_finds_the_earlier_run_after_a_later_request_was_withdrawn():
    """Guards against a second run, as the record of the first was replaced, and its successor deleted."""
    node = start_node(keyed_class=SHORT_WINDOW)
    node.send_request(1), settle(node)
    pass_time(node, 1.1)
    node = restart(node)
    within_window = node.clock()
    pass_time(node, 2.5)
    node.send_request(2)  # new, as the window is over
    node.advance(0.1)
    assert list(node.service.intents.pending_starts) == [node.cases[2].request]
    node.disconnect_caller(2)
    pass_time(node, 0.2)
    node.receive_request(3, arrived=within_window)
    settle(node)
    assert runs_of(node, b"keyx") == 1 and node.answers[3][0] == "given up"


def test_a_result_of_another_body_written_during_a_read_is_not_served():
    """Guards against an answer with the result of another request, which replaced the record meanwhile."""
    node = start_node(keyed_class=SHORT_WINDOW)
    node.send_request(1, body=b"a"), settle(node)
    node = restart(node)
    within_window = node.clock()
    node.receive_request(2, body=b"a", arrived=within_window)
    node.run_turn()
    (read,) = node.threads.calls  # the disk is slow with this read
    node.threads.calls.clear()
    pass_time(node, 2.5)
    node.send_request(3, body=b"b")
    settle(node)
    assert node.answers[3] == ("honoured", b"result 2")
    node.threads.calls.append(read)
    settle(node)
    assert node.answers[2] == ("given up", b"")
    node.send_request(4, body=b"b")
    settle(node)
    assert node.answers[4] == ("honoured", b"result 2")


@pytest.mark.parametrize("withdrawn", [[1], [1, 2], [2, 1]])
def test_an_attempt_read_after_its_original_was_taken_back_joins_a_repeat(withdrawn):
    """Guards against two runs of a key whose first attempt is taken back in the turn in which it is read."""
    node = start_node()
    for number in (1, 2, 3):
        node.receive_request(number)
    for number in withdrawn:
        node.host.on_caller_gone(node.cases[number])
    node.receive_request(4)
    settle(node)
    assert runs_of(node, b"keyx") == 1
    assert set(node.answers) == {1, 2, 3, 4} - set(withdrawn)
    assert set(node.answers.values()) == {("honoured", b"result 1")}


def test_no_request_gets_the_id_of_an_earlier_run_while_that_may_be_reported():
    """Guards against an earlier run's result that goes to another client, which reuses the id of the run."""
    node = start_node()
    node.send_request(1)
    node.run_disk_calls()
    run_id = node.cases[1].ident
    node = restart(node)
    node.send_request(2)
    assert run_id in node.host.pending_ids
    node.complete_runs()
    settle(node)
    assert run_id not in node.host.pending_ids and node.answers[2] == ("honoured", b"result 1")


def test_an_earlier_run_that_is_never_reported_leaves_nothing():
    """Guards against ids and adopted runs that stay in memory after the last moment for a report."""
    node = start_node()
    node.send_request(1)
    node.run_disk_calls()
    node = restart(node)
    node.send_request(2)
    pass_time(node, 8.5)
    assert node.answers[2] == ("given up", b"")
    assert not node.host.pending_ids and not node.interpreter.runs


def test_an_earlier_run_whose_id_a_request_has_by_now_is_not_adopted():
    """Guards against the end of a running request's run that is taken for that of an earlier run."""
    node = start_node()
    node.send_request(1)
    node.run_disk_calls()
    run_id = node.cases[1].ident
    restarted = node.crash()
    restarted.start(load=False)
    restarted.host.pending_ids.add(run_id)  # of a request without a key, which does not wait for the index
    restarted.load_index()
    assert run_id not in restarted.interpreter.runs and not restarted.service.index.earlier_runs
    restarted.send_request(2)
    restarted.advance(0.1)
    assert restarted.answers[2] == ("given up", b"") and runs_of(node, b"keyx") == 1
