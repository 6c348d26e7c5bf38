"""Tests of the idempotency records in memory."""

from net_parts import SECOND

from lichencleat.admission.types import Request, RequestState
from lichencleat.node.idempotency_records import MAX_READ_DELAY, IdempotencyRecords
from lichencleat.node.requests import MAX_ARRIVAL_BEHIND


def test_record_covers_attempts_that_arrived_before_it_expired(reactor, deadlines, keyed_class):
    records = IdempotencyRecords(deadlines)
    original = Request(keyed_class, 0, 0, started=1)
    assert records.find_or_add(b"k", original) is None
    records.set_expiry(0, b"k", original, SECOND)
    original.state = RequestState.ENDED
    assert records.find_or_add(b"k", Request(keyed_class, SECOND, 0)) is original
    assert records.find_or_add(b"k", Request(keyed_class, SECOND + 1, 0)) is None
    reactor.advance((SECOND + MAX_READ_DELAY + keyed_class.deadline) / SECOND + 0.01)
    reactor.advance(0)
    assert original not in records.by_request


def test_repeat_in_the_window_waits_for_the_original_despite_a_later_attempt(deadlines, keyed_class):
    records = IdempotencyRecords(deadlines)
    original, late = Request(keyed_class, 0, 5 * SECOND), Request(keyed_class, 2 * SECOND, 7 * SECOND)
    records.add(b"k", original)
    records.set_expiry(0, b"k", original, SECOND)
    in_time = records.find(b"k", Request(keyed_class, SECOND - 1, 6 * SECOND))
    assert in_time is original and records.find(b"k", late) is None
    records.add(b"k", late)
    assert records.add_waiter(original, "sharer") is not None  # it still repeats the original
    assert records.complete(original, b"made") == ["sharer"]


def test_record_is_kept_past_its_window_for_attempts_read_late(reactor, deadlines, keyed_class):
    records = IdempotencyRecords(deadlines)
    original = Request(keyed_class, 0, 5 * SECOND)
    records.add(b"k", original)
    records.set_expiry(0, b"k", original, SECOND)
    reactor.advance((SECOND + MAX_ARRIVAL_BEHIND + keyed_class.deadline) / SECOND - 0.01)
    reactor.advance(0)
    assert records.find(b"k", Request(keyed_class, SECOND - 1, 6 * SECOND)) is original
    reactor.advance(0.1)
    reactor.advance(0)
    assert not records.by_key and not records.by_request


def test_unconfirmed_record_links_attempts_until_the_original_ends(deadlines, keyed_class):
    records = IdempotencyRecords(deadlines)
    original, second, third = (Request(keyed_class, 0, 0) for _ in range(3))
    assert records.find_or_add(b"k", original) is None and records.find_or_add(b"k", second) is original
    original.state = RequestState.ENDED
    records.discard_unconfirmed(original)
    assert records.find_or_add(b"k", third) is None
