"""The publisher by direct calls: what is held and sent, and that lagging subscribers cost no memory."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lichencleat.config_distribution import feed
from lichencleat.config_distribution.counts import MAX_AGE_US
from lichencleat.config_distribution.feed import (
    BEHIND_HOLD_US,
    FETCH_BURST_BYTES,
    FETCH_BYTES_PER_US,
    FETCH_IDLE_US,
    MAX_FETCHERS,
    MAX_PAGES_PER_ANSWER,
    SUBSCRIBER_IDLE_US,
    VIEW_IDLE_US,
    VIEW_SHARED_US,
    Answer,
    Decline,
    Drop,
    Publisher,
)
from lichencleat.config_distribution.table import Table
from lichencleat.config_distribution.terms import (
    DIGESTS,
    FIND,
    FOLLOW,
    IN_FORCE,
    MAX_ANSWER_BYTES,
    MAX_HOLD_US,
    MAX_SUBSCRIBERS,
    MAX_VIEWS,
    PAGE_COUNT,
    PAGES_OF,
    Batch,
    Change,
    FollowOutcome,
    FollowRequest,
    PagesRequest,
    RecordRequest,
    encode,
)
from lichencleat.config_distribution.window import Window, max_encoded_size

FIXED = settings(derandomize=True, deadline=None, database=None, max_examples=80)


class Relay:
    """A publisher, its table and its subscribers."""

    def __init__(self, window=8, room=1 << 20):
        self.table, self.now, self.number = Table(), 0, 0
        self.publisher = Publisher("r1", "z1", self.table, 0)
        self.publisher.window = Window(0, self.table.digest, window, room)
        self.publisher.set_age(0, 0)

    def publish(self, version, size=1, name="n"):
        batch = self.table.apply(version, (Change("t", name, b"%d" % version * size),))
        self.publisher.on_applied(self.now, (batch,))
        return batch

    def asks(self, who, what, content=None):
        if who not in self.publisher.subscribers:
            assert self.publisher.add_subscriber(self.now, who)
        self.number += 1
        self.publisher.on_request(self.now, who, self.number, what, content)
        return self.pulled()

    def follows(self, who, version, digest=b"", hold=MAX_HOLD_US):
        known = self.publisher.window.digests.get(version, b"")
        return self.asks(who, FOLLOW, FollowRequest(version, digest or known, (), hold))

    def pulled(self):
        found = []
        while (decision := self.publisher.next_decision(self.now)) is not None:
            found.append(decision)
        deadline = self.publisher.deadline()
        assert deadline is None or deadline > self.now
        return found

    def passes(self, span):
        self.now += span
        return self.pulled()


def said(decisions):
    (only,) = decisions
    return only.content.outcome if isinstance(only, Answer) else only.why


def test_a_follow_waits_for_news_and_all_waiting_requests_share_one_answer():
    relay = Relay()
    relay.publish(3)
    assert relay.follows(1, 3) == relay.follows(2, 3) == []
    relay.now += 400
    batch = relay.publish(7)
    answers = relay.pulled()
    assert {each.subscriber_id for each in answers} == {1, 2} and answers[0].content is answers[1].content
    fed = answers[0].content
    assert (fed.outcome, fed.version, fed.digest, fed.batches) == (
        FollowOutcome.NEWS,
        7,
        batch.digest,
        (batch,),
    )
    assert relay.follows(3, 3)[0].content.batches == (batch,)
    assert relay.passes(10 * MAX_HOLD_US) == []  # no request is open


def test_a_requested_hold_is_capped_and_nothing_newer_is_not_answered_before_its_end():
    relay = Relay()
    relay.publish(3)
    assert relay.follows(1, 3, hold=9 * MAX_HOLD_US) == relay.follows(2, 3, hold=300) == []
    assert relay.publisher.deadline() == 300 and relay.passes(299) == []
    assert [each.subscriber_id for each in relay.passes(1)] == [2]
    assert relay.passes(MAX_HOLD_US - 301) == []
    (answer,) = relay.passes(1)
    assert (answer.subscriber_id, answer.content.outcome, answer.content.age) == (
        1,
        FollowOutcome.SAME,
        MAX_HOLD_US,
    )
    assert said(relay.follows(1, 3, hold=-5)) == FollowOutcome.SAME


def test_answers_are_shared_only_by_requests_that_were_open_when_they_were_made():
    """A subscriber counts the age of news from its request, so an older answer would give too low an age."""
    relay = Relay()
    relay.publish(3)
    relay.publish(5)
    first = relay.follows(1, 3)[0].content
    relay.publisher.set_age(0, 70)
    assert relay.follows(2, 3)[0].content is first
    relay.now = 10
    later = relay.follows(2, 3)[0].content
    assert later is not first and (first.age, later.age) == (0, 80)


@pytest.mark.parametrize("then", ["", "news", "same"])
def test_a_subscriber_with_a_higher_version_waits_for_the_relay(then):
    relay = Relay()
    relay.publish(3)
    assert relay.follows(1, 7, b"7" * 16) == []
    assert relay.passes(BEHIND_HOLD_US - 1) == []
    if not then:
        (answer,) = relay.passes(1)
        assert (answer.content.outcome, answer.content.version) == (FollowOutcome.BEHIND, 3)
    elif then == "same":  # not before the whole hold is over, as the subscriber relies on that
        relay.publisher.window.add(Batch(7, 3, b"7" * 16, ()))
        assert relay.passes(MAX_HOLD_US - BEHIND_HOLD_US) == []
        assert said(relay.passes(1)) == FollowOutcome.SAME
    else:
        relay.publisher.window.add(Batch(7, 3, b"7" * 16, ()))
        relay.publisher.window.add(Batch(9, 7, b"9" * 16, ()))
        assert said(relay.passes(1)) == FollowOutcome.NEWS


def test_a_subscriber_too_far_behind_or_with_another_history_is_told_so():
    relay = Relay(window=2)
    for version in (3, 5, 8, 9):
        relay.publish(version)
    assert said(relay.follows(1, 3)) == FollowOutcome.SNAPSHOT  # the window begins after 5
    assert said(relay.follows(1, 0)) == FollowOutcome.SNAPSHOT
    assert [each.version for each in relay.follows(1, 5)[0].content.batches] == [8, 9]
    assert said(relay.follows(1, 5, b"x" * 16)) == said(relay.follows(1, 9, b"x" * 16)) == FollowOutcome.OTHER
    assert said(relay.follows(1, 6, b"x" * 16)) == FollowOutcome.OTHER  # there was no version 6


def test_an_empty_subscriber_gets_a_small_table_as_news_and_a_large_one_as_a_snapshot():
    relay = Relay(window=99)
    relay.publish(1)
    assert said(relay.follows(1, 0)) == FollowOutcome.NEWS
    for version in range(2, 50):
        relay.publish(version, 2_000)
    assert (
        relay.publisher.window.bytes > MAX_ANSWER_BYTES
        and said(relay.follows(1, 0)) == FollowOutcome.SNAPSHOT
    )
    (answer,) = relay.follows(1, 1)
    assert len(encode(answer.content)) <= MAX_ANSWER_BYTES + 200 and len(answer.content.batches) < 40


def test_an_empty_relay_answers_that_it_has_nothing():
    relay = Relay()
    assert relay.follows(1, 0) == [] and said(relay.passes(MAX_HOLD_US)) == FollowOutcome.SAME
    assert relay.follows(1, 4, b"4" * 16) == [] and said(relay.passes(BEHIND_HOLD_US)) == FollowOutcome.BEHIND
    assert said(relay.asks(1, DIGESTS)) == "nothing here"
    fresh = Publisher("r", "z", Table(), 5)
    assert fresh.age(9) == MAX_AGE_US and fresh.in_force(9)["age_us"] == -1  # the source was never heard from


def test_it_answers_from_reported_batches_while_the_table_is_a_turn_ahead():
    relay = Relay()
    relay.publish(3)
    batch = relay.table.apply(4, (Change("t", "n", b"4"),))
    relay.publisher.set_age(0, 999)  # of version 4
    assert relay.follows(1, 3) == [] and relay.publisher.age(0) == 0
    relay.publisher.on_applied(0, (batch,))
    assert relay.pulled()[0].content.batches == (batch,)


def test_a_subscriber_has_one_open_request_and_must_have_joined():
    relay = Relay()
    assert relay.follows(1, 0) == []
    assert said(relay.follows(1, 0)) == said(relay.asks(1, DIGESTS)) == "unfit"
    relay.publisher.on_request(0, 7, 1, FOLLOW, FollowRequest(0, b"", ()))
    assert relay.pulled() == [Decline(7, 1, "full")]
    for what, content in ((FOLLOW, None), (PAGES_OF, 3), (DIGESTS, 3), (FIND, None), ("x", None)):
        relay.publisher.on_request(0, 7, 2, what, content)
        assert relay.pulled() == [Decline(7, 2, "unfit")]
    assert relay.publisher.counters["declined: unfit"] == 7
    assert relay.asks(1, IN_FORCE)[0].content["version"] == 0  # answered in parallel
    relay.publisher.remove_subscriber(0, 1)
    assert relay.passes(MAX_HOLD_US) == []


def test_subscribers_are_bounded_and_a_silent_one_is_dropped():
    relay = Relay()
    for who in range(MAX_SUBSCRIBERS):
        assert relay.publisher.add_subscriber(0, who)
    assert not relay.publisher.add_subscriber(0, -1) and relay.publisher.add_subscriber(0, 3)
    assert said(relay.follows(3, 0, hold=0)) == FollowOutcome.SAME
    relay.passes(SUBSCRIBER_IDLE_US - 1)
    assert Drop(3) not in relay.passes(0)
    assert Drop(3) in relay.passes(FETCH_IDLE_US)
    assert relay.publisher.add_subscriber(relay.now, -1)


@given(st.lists(st.integers(1, 9), min_size=1, max_size=60), st.integers(1, 6), st.integers(100, 900))
@FIXED
def test_the_window_holds_the_last_batches_within_its_bounds(steps, most, room):
    window, batches, version = Window(0, b"", most, room), [], 0
    for step in steps:
        batch = Batch(version + step, version, b"%d" % (version + step), (Change("t", "n", b"x" * step * 9),))
        version = batch.version
        batches.append(batch)
        window.add(batch)
        kept = list(window.batches)
        assert kept == batches[len(batches) - len(kept) :]
        assert len(kept) <= most and sum(map(max_encoded_size, kept)) == window.bytes <= room
        assert len(kept) == most or len(kept) == len(batches) or window.bytes + 200 > room
        assert set(window.digests) == set(window.places) == {window.base, *(each.version for each in kept)}
        for past in range(version + 2):
            told = window.after(past, 200)
            later = [each for each in kept if each.version > past]
            if past == window.base or any(each.version == past for each in kept):
                assert list(told) == later[: len(told)] and bool(told) == bool(later)
                assert len(told) < 2 or sum(map(max_encoded_size, told)) <= 200
            else:
                assert told is None
    with pytest.raises(ValueError, match="does not follow"):
        window.add(Batch(version + 9, version + 1, b"", ()))
    assert all(len(encode(each)) <= max_encoded_size(each) for each in batches)


def test_persisted_batches_fill_the_window_if_they_lead_to_the_table():
    relay = Relay()
    recent = [relay.publish(version) for version in (3, 5, 8)]
    assert [each.version for each in Publisher("r", "z", relay.table, 0, recent).window.batches] == [5, 8]
    for wrong in (recent[:2], [recent[0], recent[2]], []):
        window = Publisher("r", "z", relay.table, 0, wrong).window
        assert (window.base, window.version, window.digest) == (8, 8, relay.table.digest)


# -- snapshots ----------------------------------------------------------------------------------------------


def filled(versions=(1,), window=8):
    relay = Relay(window)
    for version in versions:
        relay.publish(version, name=f"n{version}")
    return relay


def test_fetchers_are_bounded_and_slots_are_freed():
    relay = filled()
    for who in range(MAX_FETCHERS):
        assert relay.asks(who, DIGESTS)[0].content.version == 1
    assert said(relay.asks(50, DIGESTS)) == said(relay.asks(50, PAGES_OF, PagesRequest(1, (1,)))) == "busy"
    assert isinstance(relay.asks(0, DIGESTS)[0], Answer)  # it keeps its slot
    relay.publisher.remove_subscriber(0, 0)
    assert isinstance(relay.asks(50, DIGESTS)[0], Answer)
    assert said(relay.asks(51, DIGESTS)) == "busy"
    assert relay.follows(50, 1) == [] and isinstance(
        relay.asks(51, DIGESTS)[0], Answer
    )  # it has finished fetching
    relay.passes(2 * FETCH_IDLE_US)  # the others send nothing
    assert relay.publisher.fetchers == {} and relay.publisher.in_force(relay.now)["fetching"] == 0


def test_a_snapshot_under_way_keeps_its_version_while_batches_arrive():
    relay = filled((1, 2))
    head = relay.asks(1, DIGESTS)[0].content
    view = relay.table.view()
    relay.publish(3, name="n2")
    (answer,) = relay.asks(1, PAGES_OF, PagesRequest(2, tuple(range(MAX_PAGES_PER_ANSWER + 5))))
    assert answer.content.pages == tuple(
        (number, view.packed(number)) for number in range(MAX_PAGES_PER_ANSWER)
    )
    assert head.version == 2 and head.digest == view.digest
    assert [each.version for each in relay.follows(1, 2)[0].content.batches] == [3]
    for wrong in ((), (PAGE_COUNT,), (-1,)):
        assert said(relay.asks(1, PAGES_OF, PagesRequest(2, wrong))) == "unfit"
    assert relay.asks(1, PAGES_OF, PagesRequest(9, (1,)))[0].content.pages == ()


def test_views_are_reused_while_fresh_and_bounded_in_number():
    relay = filled((1, 2, 3))
    heads = []
    for who in range(MAX_VIEWS + 1):
        heads.append(relay.asks(who, DIGESTS)[0].content)
        relay.now += 1
        same = relay.asks(100 + who, DIGESTS)[0].content
        assert (same.version, same.age) == (heads[-1].version, heads[-1].age + 1)
        relay.publish(10 + who)
        relay.now += VIEW_SHARED_US
    assert [each.version for each in heads] == [3, 10, 11, 12]
    assert [each.view.version for each in relay.publisher.views] == [12]  # the others became idle
    relay.passes(VIEW_IDLE_US + FETCH_IDLE_US)
    assert relay.publisher.views == []


def test_the_least_used_view_is_replaced():
    relay = filled((1, 2, 3), window=99)
    for who in range(MAX_VIEWS):
        for one in range(1 + (who != 1)):
            relay.asks(10 * who + one, DIGESTS)
        relay.publish(10 + who)
        relay.publisher.views[-1].opened_at -= VIEW_SHARED_US
    assert [each.view.version for each in relay.publisher.views] == [3, 10, 11]
    relay.asks(99, DIGESTS)
    assert [each.view.version for each in relay.publisher.views] == [3, 11, 12]
    assert relay.asks(10, PAGES_OF, PagesRequest(10, (1,)))[0].content.pages == ()


def test_a_view_that_the_window_no_longer_continues_is_dropped():
    relay = filled((1, 2), window=2)
    relay.asks(1, DIGESTS)
    for version in (3, 4):
        relay.publish(version)
    assert len(relay.publisher.views) == 1
    relay.publish(5)
    assert relay.publisher.views == [] and relay.asks(1, DIGESTS)[0].content.version == 5


def test_pages_are_sent_at_a_common_rate_limit():
    relay = filled(range(1, 400), window=999)
    rng = random.Random(3)
    for number in range(1, 60):  # incompressible pages
        changes = tuple(Change("t", f"n{number}.{at}", rng.randbytes(3_000)) for at in range(40))
        relay.publisher.on_applied(0, (relay.table.apply(1_000 + number, changes),))
    for who in range(MAX_FETCHERS):
        relay.asks(who, DIGESTS)
    version, asked, bytes_sent, open_ones = relay.table.version, 0, 0, set()
    for _ in range(400):
        for who in set(range(MAX_FETCHERS)) - open_ones:
            numbers = tuple((asked + at) % PAGE_COUNT for at in range(8))
            asked += 8
            open_ones.add(who)
            answers = relay.asks(who, PAGES_OF, PagesRequest(version, numbers))
            for each in answers:
                open_ones.discard(each.subscriber_id)
                bytes_sent += sum(len(page) for _, page in each.content.pages)
        for each in relay.passes(1_000):
            open_ones.discard(each.subscriber_id)
            bytes_sent += sum(len(page) for _, page in each.content.pages)
    at_most = FETCH_BURST_BYTES + MAX_ANSWER_BYTES + FETCH_BYTES_PER_US * relay.now
    assert 0.8 * FETCH_BYTES_PER_US * relay.now < bytes_sent <= at_most


# -- single records --------------------------------------------------------------------------------------


def test_a_record_is_found_as_it_was_within_the_window():
    relay = Relay(window=3)
    for version, name in ((1, "a"), (2, "b"), (3, "a"), (4, "b"), (5, "c")):
        relay.publish(version, name=name)
    told = {
        (name, at): getattr(decision, "content", getattr(decision, "why", None))
        for name in "abc"
        for at in (0, 1, 2, 3, 4, 5, 9)
        for decision in relay.asks(1, FIND, RecordRequest("t", name, at))
    }
    assert [told["a", at] for at in (0, 1, 2, 3, 9)] == [b"3", "not kept", "not kept", b"3", b"3"]
    assert [told["b", at] for at in (2, 3, 4, 5)] == ["not kept", "not kept", b"4", b"4"]
    assert told["c", 4] == "not kept" and told["c", 5] == b"5"
    assert relay.asks(1, FIND, RecordRequest("t", "none"))[0].content is None


# -- bounded memory -----------------------------------------------------------------------------------------


@given(st.integers(0, 1 << 30))
@FIXED
def test_each_request_has_one_answer_in_time_and_lagging_subscribers_cost_no_memory(seed):
    rng = random.Random(seed)
    relay, version, open_ones = filled((1, 2), window=4), 2, {}

    def answered(decisions):
        for each in decisions:
            if isinstance(each, Drop):
                continue
            assert open_ones.pop(each.subscriber_id)[0] == each.number
            content = getattr(each, "content", None)
            if getattr(content, "outcome", None) == FollowOutcome.NEWS:
                assert content.batches and content.version == version

    for _ in range(150):
        who = rng.randrange(5)
        choice = rng.random()
        if choice < 0.2:
            version += rng.randrange(1, 4)
            relay.publish(version)
            answered(relay.pulled())
        elif choice < 0.3:
            relay.publisher.remove_subscriber(relay.now, who)
            open_ones.pop(who, None)
        elif choice < 0.8 and who not in open_ones:
            open_ones[who] = (relay.number + 1, relay.now)
            past = rng.choice([0, *relay.publisher.window.digests, version + 1])
            what = rng.choice(["follow", "follow", DIGESTS, PAGES_OF])
            if what == "follow":
                answered(relay.follows(who, past, hold=rng.choice([0, 1_000, MAX_HOLD_US])))
            else:
                answered(relay.asks(who, what, PagesRequest(version, (1, 2)) if what == PAGES_OF else None))
        else:
            answered(relay.passes(rng.randrange(MAX_HOLD_US // 3)))
        it = relay.publisher
        assert all(relay.now - at < MAX_HOLD_US for _, at in open_ones.values())
        assert sum(each.open_request is not None for each in it.subscribers.values()) == len(open_ones)
        assert len(it.wake_heap) <= 2 * len(it.subscribers) + 64 and len(it.views) <= MAX_VIEWS
        assert not it.decisions and not it.ready and len(it.shared_answers) <= MAX_SUBSCRIBERS
        assert set(it.fetchers) <= set(it.subscribers) and len(it.fetchers) <= feed.MAX_FETCHERS
