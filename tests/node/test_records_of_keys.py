"""Parts of the real node, with a clock and transports in memory: records of keys."""

from net_parts import SECOND

from lichencleat.admission.types import Request, RequestState
from lichencleat.node.receipts import READ_LATE, Receipts
from lichencleat.node.requests import BEHIND_MOST


def test_an_entry_leads_tries_that_came_before_it_ran_out(reactor, deadlines, receipted):
    receipts = Receipts(deadlines)
    first = Request(receipted, 0, 0, started=1)
    assert receipts.read(b"k", first) is None
    receipts.record(0, b"k", first, SECOND)
    first.state = RequestState.ENDED
    assert receipts.read(b"k", Request(receipted, SECOND, 0)) is first
    assert receipts.read(b"k", Request(receipted, SECOND + 1, 0)) is None
    reactor.advance((SECOND + READ_LATE + receipted.deadline) / SECOND + 0.01)
    reactor.advance(0)
    assert first not in receipts.by_request


def test_a_repeat_in_time_shares_its_run_though_one_after_the_window_was_read_with_it(deadlines, receipted):
    receipts = Receipts(deadlines)
    first, late = Request(receipted, 0, 5 * SECOND), Request(receipted, 2 * SECOND, 7 * SECOND)
    receipts.enter(b"k", first)
    receipts.record(0, b"k", first, SECOND)
    in_time = receipts.first(b"k", Request(receipted, SECOND - 1, 6 * SECOND))
    assert in_time is first and receipts.first(b"k", late) is None
    receipts.enter(b"k", late)
    assert receipts.share(first, "sharer") is not None  # it repeats the first one still
    assert receipts.ended(first, b"made") == ["sharer"]


def test_an_entry_outlives_its_window_by_all_that_may_be_read_late(reactor, deadlines, receipted):
    receipts = Receipts(deadlines)
    first = Request(receipted, 0, 5 * SECOND)
    receipts.enter(b"k", first)
    receipts.record(0, b"k", first, SECOND)
    reactor.advance((SECOND + BEHIND_MOST + receipted.deadline) / SECOND - 0.01)
    reactor.advance(0)
    assert receipts.first(b"k", Request(receipted, SECOND - 1, 6 * SECOND)) is first
    reactor.advance(0.1)
    reactor.advance(0)
    assert not receipts.by_key and not receipts.by_request


def test_two_tries_read_together_are_linked_without_an_entry(deadlines, receipted):
    receipts = Receipts(deadlines)
    first, second, third = (Request(receipted, 0, 0) for _ in range(3))
    assert receipts.read(b"k", first) is None and receipts.read(b"k", second) is first
    first.state = RequestState.ENDED
    receipts.over(first)
    assert receipts.read(b"k", third) is None
