"""Parts of the real node, with a clock and transports in memory: records of keys."""

from net_parts import SECOND

from lichencleat.admission.types import Request, RequestState
from lichencleat.node.receipts import MAX_READ_DELAY, IdempotencyRecords
from lichencleat.node.requests import MAX_ARRIVAL_BEHIND


def test_an_entry_leads_tries_that_came_before_it_ran_out(reactor, deadlines, receipted):
    records = IdempotencyRecords(deadlines)
    first = Request(receipted, 0, 0, started=1)
    assert records.find_or_add(b"k", first) is None
    records.set_expiry(0, b"k", first, SECOND)
    first.state = RequestState.ENDED
    assert records.find_or_add(b"k", Request(receipted, SECOND, 0)) is first
    assert records.find_or_add(b"k", Request(receipted, SECOND + 1, 0)) is None
    reactor.advance((SECOND + MAX_READ_DELAY + receipted.deadline) / SECOND + 0.01)
    reactor.advance(0)
    assert first not in records.by_request


def test_a_repeat_in_time_shares_its_run_though_one_after_the_window_was_read_with_it(deadlines, receipted):
    records = IdempotencyRecords(deadlines)
    first, late = Request(receipted, 0, 5 * SECOND), Request(receipted, 2 * SECOND, 7 * SECOND)
    records.add(b"k", first)
    records.set_expiry(0, b"k", first, SECOND)
    in_time = records.find(b"k", Request(receipted, SECOND - 1, 6 * SECOND))
    assert in_time is first and records.find(b"k", late) is None
    records.add(b"k", late)
    assert records.add_waiter(first, "sharer") is not None  # it repeats the first one still
    assert records.complete(first, b"made") == ["sharer"]


def test_an_entry_outlives_its_window_by_all_that_may_be_read_late(reactor, deadlines, receipted):
    records = IdempotencyRecords(deadlines)
    first = Request(receipted, 0, 5 * SECOND)
    records.add(b"k", first)
    records.set_expiry(0, b"k", first, SECOND)
    reactor.advance((SECOND + MAX_ARRIVAL_BEHIND + receipted.deadline) / SECOND - 0.01)
    reactor.advance(0)
    assert records.find(b"k", Request(receipted, SECOND - 1, 6 * SECOND)) is first
    reactor.advance(0.1)
    reactor.advance(0)
    assert not records.by_key and not records.by_request


def test_two_tries_read_together_are_linked_without_an_entry(deadlines, receipted):
    records = IdempotencyRecords(deadlines)
    first, second, third = (Request(receipted, 0, 0) for _ in range(3))
    assert records.find_or_add(b"k", first) is None and records.find_or_add(b"k", second) is first
    first.state = RequestState.ENDED
    records.discard_unconfirmed(first)
    assert records.find_or_add(b"k", third) is None
