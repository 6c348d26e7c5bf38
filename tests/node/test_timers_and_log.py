"""Tests of timers, slots, the log and garbage collection, with a clock in memory."""

import gc
import weakref

import pytest
from net_parts import SECOND

from lichencleat.node.program import COLLECTION_PERIOD, collect_periodically
from lichencleat.node.report import MAX_LINES
from lichencleat.node.slots import Slots


def test_released_slot_is_reused_and_released_once():
    slots = Slots()
    first = slots.acquire("a")
    slots.release(first)
    with pytest.raises(KeyError):
        slots.release(first)
    assert slots.acquire("b") == first and list(slots) == ["b"] and len(slots) == 1


def test_timers_fire_in_order_unless_cancelled(reactor, deadlines):
    fired = []
    for span in (30, 10, 20):
        deadlines.after(span * 1000, fired.append, span)
    deadlines.cancel(deadlines.after(15_000, fired.append, 15))
    for _ in range(4):
        reactor.advance(0.01)
    assert fired == [10, 20, 30]


def test_after_a_pause_the_reactor_reads_before_late_timers_fire(reactor, deadlines):
    fired = []
    deadlines.after(10_000, fired.append, "late")
    reactor.rightNow += 1
    deadlines.fire()
    assert not fired  # the reactor reads between these two calls
    deadlines.fire()
    assert fired == ["late"]


def test_cancelled_timers_do_not_accumulate(deadlines):
    for _ in range(1000):
        deadlines.cancel(deadlines.after(SECOND, print))
    assert len(deadlines.heap) < 200


def test_error_in_a_timer_is_counted_and_other_timers_fire(reactor, deadlines, report):
    fired = []
    deadlines.after(1000, lambda: 1 / 0)
    deadlines.after(1000, fired.append, 1)
    reactor.advance(0.01)
    assert fired == [1] and report.counts["node errors"] == 1


def test_log_lines_are_rate_limited_and_the_rest_counted(report, reactor, capsys):
    for _ in range(MAX_LINES + 5):
        report.note("x")
    reactor.advance(2)
    report.note("y")
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == MAX_LINES + 1 and "+5 lines" in lines[-1]


def test_reference_cycles_are_collected_periodically(deadlines, reactor):
    class Closed:
        pass

    gc.disable()
    collect_periodically(deadlines)
    closed = Closed()
    closed.itself, seen = closed, weakref.ref(closed)
    del closed
    assert seen()
    reactor.advance(COLLECTION_PERIOD / SECOND + 0.01)
    gc.enable()
    assert not seen()
