"""The book by direct calls; one key's life over a faulty disk, cut and failed at each of its calls."""

import random

import pytest
from keyed_life import Life, World

from lichencleat.idempotency.book import ENTRY_COST, LATE, READ_LATE, Book, Told
from lichencleat.idempotency.keeper import PARKED_MOST
from lichencleat.idempotency.records import Entry, State
from lichencleat.testkit.explore_keyed import MISTAKES, play
from lichencleat.testkit.explore_keyed import World as Explored
from lichencleat.testkit.faulty_disk import FaultyDisk

SECOND = 1_000_000
KEY, BODY = b"k" * 16, b"b" * 16


def entry(state=State.OPEN, until=16 * SECOND, due=6 * SECOND, result=b"", ident=b"i", body=BODY):
    return Entry(state, "save", 0, until, due, ident, body, result)


@pytest.fixture
def book():
    return Book(3, 10_000, hot_most=8)


def test_a_repeat_is_told_what_is_known_within_its_window(book):
    assert book.told(KEY, BODY, 0) is Told.NEW
    book.take(KEY, entry())
    assert book.told(KEY, BODY, 16 * SECOND) is Told.UNKNOWN
    assert book.told(KEY, BODY, 16 * SECOND + 1) is Told.NEW
    assert book.told(KEY, b"c" * 16, 0) is Told.OTHER
    book.take(KEY, entry(State.FAILED))
    assert book.told(KEY, BODY, 0) is Told.FAILED
    book.take(KEY, entry(State.DONE, result=b"made"))
    assert book.told(KEY, BODY, 0) is Told.RESULT and book.result(KEY) == b"made"


def test_no_entry_in_its_window_gives_way_and_results_beyond_the_hot_ones_are_read_back(book):
    for at, name in enumerate((b"1", b"2", b"3")):
        assert book.room()
        book.take(name * 16, entry(State.DONE, until=at * SECOND, result=b"five!"))
    assert not book.room() and book.sizes == 3 * (ENTRY_COST + 5)
    assert book.result(b"1" * 16) is None and book.result(b"3" * 16) == b"five!"
    assert book.over(READ_LATE) == []
    assert book.over(READ_LATE + SECOND + 1) == [b"1" * 16, b"2" * 16]
    assert book.room() and book.sizes == ENTRY_COST + 5
    book.take(b"4" * 16, entry(State.DONE))
    assert book.result(b"4" * 16) == b""
    held = book.hot_bytes
    book.keep_hot(b"3" * 16, b"five!"), book.keep_hot(b"1" * 16, b"five!")  # read back twice, and too late
    assert book.hot_bytes == held


@pytest.mark.parametrize("steps", [(-3_600, 0), (-30, 30), (30, 30), (3_600, 3_600), (3_600, -50_000)])
def test_whatever_the_clock_did_no_window_ends_too_early(steps):
    """Set between two lives, and again between the next two: the key ran once, and its result stays."""
    life = Life(World())
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


def test_a_window_ends_by_the_time_that_the_node_was_up():
    book = Book(3, 10_000)
    assert book.recover(KEY, entry(), 6 * SECOND)
    assert book.told(KEY, BODY, 16 * SECOND) is not Told.NEW
    assert book.told(KEY, BODY, 16 * SECOND + 1) is Told.NEW
    assert not book.recover(b"o" * 16, entry(until=-5 * SECOND), READ_LATE)


def test_an_open_run_is_awaited_until_nobody_can_tell_of_it_any_more(book):
    book.recover(KEY, entry(), 0)
    assert book.told(KEY, BODY, 0) is Told.AWAITED
    assert book.out_of_time(6 * SECOND + LATE - 1) == []
    assert book.out_of_time(6 * SECOND + LATE) == [KEY]
    assert book.told(KEY, BODY, 0) is Told.UNKNOWN
    book.recover(b"l" * 16, entry(ident=b"j"), 0)
    assert book.resolved(b"j").key == b"l" * 16 and book.resolved(b"j") is None
    book.recover(b"m" * 16, entry(ident=b"m"), 0)
    book.none_runs()
    assert book.told(b"m" * 16, BODY, 0) is Told.UNKNOWN


# -- one key's life --------------------------------------------------------------------------------


def test_the_run_waits_for_its_intent_and_the_answer_for_its_result():
    life = Life(World())
    life.start()
    life.ask(1)
    assert life.world.runs == [] and life.disk_works(1) and len(life.world.runs) == 1
    life.run_ends()
    assert life.answers == {} and life.disk_works(1)
    assert life.answers == {1: ("honoured", b"result 1")}
    life.ask(2)
    assert life.answers[2] == ("honoured", b"result 1")


def test_a_repeat_while_the_intent_is_on_its_way_shares_the_one_run():
    life = Life(World())
    life.start()
    life.ask(1), life.ask(2)
    life.disk_works(), life.run_ends(), life.disk_works()
    assert life.answers == {1: ("honoured", b"result 1"), 2: ("honoured", b"result 1")}
    assert len(life.world.runs) == 1


def test_a_caller_gone_before_the_confirm_leaves_no_run_and_its_repeat_runs():
    life = Life(World())
    life.start()
    life.ask(1)
    life.caller_goes(1)
    life.disk_works()
    assert life.world.runs == []
    life.ask(2)
    life.disk_works(), life.run_ends(), life.disk_works()
    assert life.answers == {2: ("honoured", b"result 1")} and len(life.world.runs) == 1


def test_a_stalled_disk_defers_what_is_receipted_and_leaves_the_rest_alone():
    life = Life(World())
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


def test_a_full_disk_defers_at_the_intent_and_tells_what_ran_at_the_result():
    world = World()
    life = Life(world)
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


def test_the_same_key_with_another_body_is_given_up_before_and_after_a_restart():
    life = Life(World())
    life.start()
    life.ask(1), life.disk_works()
    life.ask(2, body=b"y")
    assert life.answers[2][0] == "given up"
    again = life.cut()
    again.start()
    again.ask(3, body=b"y")
    assert again.answers[3][0] == "given up" and len(life.world.runs) == 1


def test_a_run_of_a_life_before_is_awaited_where_the_interpreter_goes_on():
    life = Life(World())
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


def test_where_nothing_proves_anything_the_repeat_is_given_up_and_never_run():
    life = Life(World(forgets=True))
    life.start()
    life.ask(1), life.disk_works()
    life.advance(0.1)
    again = life.cut()
    again.start(interpreter_age=0)
    again.ask(2)
    again.advance(0.1)
    assert again.answers[2][0] == "given up" and len(life.world.runs) == 1


def test_what_comes_before_the_book_stands_waits_for_it_and_is_looked_up():
    life = Life(World())
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


def test_a_storm_of_repeats_during_the_start_waits_within_bounds_and_begins_nothing():
    """10,000 repeats of 200 keys, all of which ran before the cut."""
    life = Life(World())
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
    assert len(again.keeper.waits.parked) == PARKED_MOST
    assert len(again.answers) == 10_000 - PARKED_MOST and len(life.world.runs) == len(ran)
    again.advance(1.0)
    again.stand()
    for _ in range(40):
        again.disk_works(), again.run_ends(10), again.advance(0.1)
    assert len(again.answers) == 10_000
    assert len({each[2] for each in life.world.runs}) == len(life.world.runs) >= len(ran)


def test_a_storm_of_new_keys_at_the_bound_is_deferred_before_anything_runs():
    life = Life(World(), entries=3)
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


def test_a_drain_with_intents_unconfirmed_answers_in_time_and_leaves_no_trace():
    life = Life(World())
    life.start()
    life.ask(1)
    life.host.must_leave(life.clock() + 3 * SECOND)
    life.advance(2.5)
    assert life.answers[1][0] in ("deferred", "given up") and life.world.runs == []
    life.disk_works()
    assert life.host.owed() == 0 and life.keeper.waits.starts == {}
    again = life.cut()
    again.start()
    again.ask(2), again.disk_works(), again.run_ends(), again.disk_works()
    assert again.answers[2][0] == "honoured" and len(life.world.runs) == 1


@pytest.mark.parametrize("what", ["cut", "cut after", "errno"])
def test_a_cut_or_an_error_at_each_call_of_the_disk_runs_no_key_twice(what):
    """The life: asked, run, asked again; a cut somewhere; the next life is asked as well."""
    fault = {"cut": FaultyDisk.CUT, "cut after": FaultyDisk.CUT_AFTER, "errno": 5}[what]
    told = set()
    for at in range(60):
        world = World()
        life = Life(world)
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


def test_a_directory_of_another_node_or_a_copy_is_refused_in_one_line():
    life = Life(World())
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


def test_all_orders_of_one_key_s_life_run_it_once_and_planted_mistakes_are_caught():
    for forgets in (False, True):
        found = play(Explored, forgets, 40)
        assert found.violation is None and found.whole
        for kind in MISTAKES:
            assert play(kind, forgets, 40).violation is not None, kind
