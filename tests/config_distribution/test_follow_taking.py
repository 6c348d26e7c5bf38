"""Which updates a follower applies, and its age: by direct calls."""

import pytest
from config_distribution.following import SECOND, TIMES, Node, batch, fed, following, head, news, pages

from lichencleat.config_distribution.copy import TableCopy
from lichencleat.config_distribution.counts import MAX_AGE_US
from lichencleat.config_distribution.follow import MAX_DROPPED_SNAPSHOTS
from lichencleat.config_distribution.pages import encode_key, locate_key
from lichencleat.config_distribution.table import Table
from lichencleat.config_distribution.terms import (
    DIGESTS,
    MAX_HOLD_US,
    PAGES_OF,
    Change,
    Count,
    FollowAnswer,
    FollowOutcome,
    PagesAnswer,
    SnapshotHead,
)
from lichencleat.testkit.tiny_table import MARK, digest_of, published


def test_batches_are_applied_as_a_whole_before_they_are_acknowledged():
    node = following(1)
    asked = len(node.asked)
    node.hears(fed(FollowOutcome.NEWS, 3, 0, [batch(1, 2), batch(2, 3)]))
    assert node.table.version == 1 and len(node.asked) == asked and node.stepping
    node.steps()
    assert node.table.content == published(3) and [each.version for each in node.taken[0]] == [2, 3]
    assert (node.question.version, node.question.digest) == (3, digest_of(published(3)))
    assert node.question.counts == (Count("z1", 1, 3, node.it.age(node.now), 0, ""),)


@pytest.mark.parametrize(
    "wrong",
    [
        fed(FollowOutcome.NEWS, 5, 0, [batch(2, 5)]),  # follows another version
        fed(FollowOutcome.NEWS, 5, 0, [batch(3, 4), batch(3, 5)]),
        fed(FollowOutcome.NEWS, 5, 0, [batch(3, 3)]),
        fed(FollowOutcome.NEWS, 4, 0, [batch(3, 5)]),  # above the answer's own version
        fed(FollowOutcome.NEWS, 5),
        fed(FollowOutcome.SAME, 4),
        fed(FollowOutcome.SAME, 3, digest=b"other"),
        fed(FollowOutcome.BEHIND, 3),
        fed(9, 3),
        head(9),
    ],
)
def test_an_invalid_answer_is_not_applied_and_its_relay_is_left(wrong):
    node = following()
    node.hears(wrong)
    assert node.it.relay is None and not node.stepping and node.table.version == 3
    assert node.it.counters["unfit answers"] == 1


def test_a_corrupt_batch_is_counted_and_logged_and_its_relay_left():
    node = following()
    relay = node.it.relay
    node.hears(fed(FollowOutcome.NEWS, 4, 0, [batch(3, 4, b"wrong")]))
    node.steps()
    assert (node.table.version, node.it.relay, node.it.counters["spoilt"]) == (3, None, 1)
    assert any("does not match its digest" in each for each in node.told)
    node.follows()
    assert node.it.relay != relay
    node.hears(news(3, 4))
    node.steps()
    assert node.table.content == published(4)


def test_a_staged_update_is_applied_although_its_relay_is_lost_meanwhile():
    node = following()
    node.hears(news(3, 4))
    node.lost()
    node.steps()
    assert node.table.version == 4 and node.it.relay is None
    node.follows()
    assert node.question.version == 4


def test_a_snapshot_continues_at_another_relay_with_the_fetched_pages():
    node = following(1)
    node.hears(fed(FollowOutcome.SNAPSHOT, 4))
    node.hears(head(4), DIGESTS)
    assert node.question.numbers == (0, 1)
    node.hears(pages(4, 0, 1), PAGES_OF)
    assert node.question.numbers == (2,)
    node.lost()
    assert node.table.version == 1
    node.follows()
    node.hears(fed(FollowOutcome.SNAPSHOT, 4))
    node.hears(head(4), DIGESTS)
    assert node.question.numbers == (2,)
    node.hears(pages(4, 2), PAGES_OF)
    node.steps()
    assert node.table.content == published(4) and node.taken == [()] and node.question.version == 4


@pytest.mark.parametrize("version", [1, 3])
def test_a_snapshot_that_is_not_newer_is_not_applied(version):
    node = following()
    node.hears(fed(FollowOutcome.SNAPSHOT, 9))
    node.hears(head(version), DIGESTS)
    assert node.it.relay is None and node.table.version == 3 and not node.stepping


def test_corrupt_or_unrequested_pages_end_the_link_to_their_relay():
    for sent in (PagesAnswer(4, ((0, b"wrong"),)), pages(4, 2), pages(5, 0), pages(4, 0, 0)):
        node = following(1)
        node.hears(fed(FollowOutcome.SNAPSHOT, 4))
        node.hears(head(4), DIGESTS)
        node.hears(sent, PAGES_OF)
        node.steps()
        assert node.it.relay is None and node.table.version == 1


def test_a_relay_that_repeatedly_drops_its_snapshots_is_left():
    node = following(1)
    node.hears(fed(FollowOutcome.SNAPSHOT, 4))
    for given_up in range(MAX_DROPPED_SNAPSHOTS + 1):
        assert node.it.relay is not None and node.asked[-1].what == DIGESTS, given_up
        node.hears(head(4 + given_up), DIGESTS)
        node.hears(PagesAnswer(4 + given_up, ()), PAGES_OF)
    assert node.it.relay is None


# -- diverging histories ---------------------------------------------------------------------------------


def other_said(node):
    node.hears(fed(FollowOutcome.OTHER, 3, digest=b"other"))
    return any("OWN COPY IN DOUBT" in each for each in node.told)


def test_relays_of_one_tier_with_another_history_are_only_left():
    node = following()
    assert not other_said(node)
    node.follows()
    assert not other_said(node) and node.it.relay is None
    node.follows()
    node.passes(MAX_HOLD_US)
    node.hears(fed(FollowOutcome.SAME, 3))  # the next tier agrees
    node.lost()
    node.follows()
    assert not other_said(node)


def test_another_history_in_two_tiers_is_adopted_from_a_higher_version_on():
    node = following()
    for _ in range(2):
        assert not other_said(node)
        node.follows()
    assert other_said(node) and node.it.counters["own history given up"] == 1
    node.follows()
    node.hears(fed(FollowOutcome.OTHER, 3, digest=b"other"))
    # of the version in force: it waits for a higher one
    node.hears(SnapshotHead(3, b"other", b"", 0), DIGESTS)
    assert node.table.version == 3 and node.it.relay is not None
    node.passes(node.it.deadline() - node.now)
    node.hears(fed(FollowOutcome.OTHER, 3, digest=b"other"))
    node.hears(head(5), DIGESTS)
    node.hears(pages(5, 0, 1), PAGES_OF)
    node.hears(pages(5, 2), PAGES_OF)
    node.steps()
    assert node.table.content == published(5) and not node.it.needs_snapshot


def test_a_page_corrupted_in_memory_is_repaired_by_a_snapshot():
    """Batches on the corrupt page lead to another digest here, whichever relay sends them."""
    page = locate_key(encode_key("t", "here"))[0]
    beside = next(name for name in map(str, range(99_999)) if locate_key(encode_key("t", name))[0] == page)
    source, copy = Table(), TableCopy(mark=MARK)
    first = source.apply(3, (Change("t", "here", b"right"),))
    copy.table.apply(3, first.changes)
    copy.table.pages[page] = copy.table.pages[page].replace(b"right", b"wrong")
    second = source.apply(5, (Change("t", beside, b"x"),))
    node = Node(table=copy)
    for _ in range(3):
        node.follows()
        node.hears(FollowAnswer(FollowOutcome.NEWS, 5, source.digest, 0, (second,)))
        node.steps()
        assert (copy.version, node.it.relay) == (3, None)
    assert any("OWN COPY IN DOUBT" in each for each in node.told)
    node.follows()
    # the digests match, which proves nothing in this state
    node.hears(FollowAnswer(FollowOutcome.SAME, 3, copy.digest, 0))
    node.passes(TIMES.retry_delay)
    node.hears(FollowAnswer(FollowOutcome.NEWS, 5, source.digest, 0, (second,)))
    node.hears(source.view().head(0), DIGESTS)
    assert node.question.numbers == (page,)
    node.hears(PagesAnswer(5, ((page, source.view().packed(page)),)), PAGES_OF)
    node.steps()
    assert (copy.version, copy.find("t", "here"), copy.digest) == (5, b"right", source.digest)


# -- age ----------------------------------------------------------------------------------------------------


def test_the_age_counts_from_when_an_answer_was_made_not_from_when_it_was_read():
    node = following()
    asked = node.now
    assert node.it.age(node.now) == MAX_AGE_US
    node.now += 9 * SECOND  # it was stopped with the answer in its receive buffer
    node.hears(fed(FollowOutcome.SAME, 3, 200))
    assert node.it.age(node.now) == 8 * SECOND + 200
    node.passes(SECOND // 2)
    node.hears(news(3, 4, 100))
    node.steps()
    assert node.it.age(node.now) == SECOND // 2 + 100
    assert node.it.age(node.now + 70) == SECOND // 2 + 170 and asked < node.now


def test_an_answer_before_the_hold_ends_counts_from_the_request_and_delays_the_next_one():
    node = following()
    node.now += MAX_HOLD_US // 4
    node.hears(fed(FollowOutcome.SAME, 3))
    assert node.it.age(node.now) == MAX_HOLD_US // 4
    assert node.it.deadline() == node.now + TIMES.retry_delay


def test_older_information_does_not_change_the_age():
    node = following()
    node.passes(MAX_HOLD_US)
    node.hears(fed(FollowOutcome.SAME, 3))
    known = node.it.known_at
    for answer in (
        fed(FollowOutcome.SAME, 3, 50 * SECOND),
        fed(FollowOutcome.SAME, 3, MAX_AGE_US),
        fed(FollowOutcome.BEHIND, 2),
    ):
        node.passes(MAX_HOLD_US)
        node.hears(answer)
        assert node.it.known_at == known
    node = following()
    node.hears(fed(FollowOutcome.NEWS, 9, 0, [batch(3, 4)]))  # the relay has more than these batches
    node.steps()
    assert node.it.age(node.now) == MAX_AGE_US


def test_a_relay_asks_with_a_shorter_hold_and_sends_the_counts_below():
    relay = Node(version=3, is_node=False)
    below = relay.it.counts_below = (Count("z1", 97, 2, 5, 1, "r1"),)
    relay.follows()
    assert (relay.question.hold, relay.question.counts) == (TIMES.relay_hold, below)


# -- arbitrary answers -----------------------------------------------------------------------------------
