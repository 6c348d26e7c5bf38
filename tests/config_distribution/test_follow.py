"""Which relay is followed, and when it is left: by direct calls."""

import random
from collections import Counter

import pytest
from config_distribution.following import HOME, NEXT, SECOND, TIMES, Node, fed, following, news

from lichencleat.config_distribution.choice import RelaySelector
from lichencleat.config_distribution.counts import MAX_AGE_US
from lichencleat.config_distribution.follow import MAX_BUSY_ANSWERS
from lichencleat.config_distribution.terms import (
    DIGESTS,
    MAX_HOLD_US,
    MAX_RELAYS,
    FollowOutcome,
)
from lichencleat.testkit.tiny_table import MARK


def test_the_relays_of_the_nearest_tier_are_drawn_evenly_and_within_the_delay():
    drawn = [Node(seed=seed) for seed in range(400)]
    for node in drawn:
        node.passes(TIMES.open_delay[1])
    firsts = Counter(node.opened[0][1] for node in drawn)
    assert set(firsts) == set(HOME) and min(firsts.values()) > 160
    spans = sorted(node.opened[0][0] - SECOND for node in drawn)
    assert spans[0] < TIMES.open_delay[1] // 20 and spans[-1] > TIMES.open_delay[1] * 19 // 20


def test_a_lost_relay_is_replaced_from_its_tier_and_then_from_the_next():
    node, seen = following(), []
    for _ in range(4):
        seen.append(node.it.relay)
        lost_at = node.now
        node.lost()
        node.follows()
        assert node.now - lost_at <= TIMES.open_delay[1]
    assert set(seen[:2]) == set(HOME) and set(seen[2:]) == set(NEXT)


def test_a_relay_that_does_not_open_or_answer_is_left_within_the_timeout():
    node = Node()
    node.passes(TIMES.open_delay[1] + TIMES.connect_timeout)
    first = node.opened[0][1]
    assert first not in node.open and f"leaving relay {first}: its link was not opened in time" in node.told
    node.passes(TIMES.open_delay[1])
    second = node.follows()
    assert {first, second} == set(HOME)
    node.passes(MAX_HOLD_US + TIMES.answer_timeout - 1)
    assert node.it.relay == second
    node.passes(1)
    assert (
        node.it.relay is None
        and not node.open
        and f"leaving relay {second}: it did not answer in time" in node.told
    )


def test_a_late_timer_means_that_this_process_was_stopped():
    """The answer may be in the receive buffer, so it is read before the relay is left."""
    node = following()
    relay = node.it.relay
    node.now += MAX_HOLD_US + TIMES.answer_timeout + TIMES.max_timer_delay + 1
    node.it.on_timer(node.now)
    node.stir()
    assert node.it.relay == relay
    node.passes(TIMES.answer_timeout)
    assert node.it.relay is None


def test_retries_back_off_when_all_relays_fail_and_never_stop():
    node = Node()
    for _ in range(60):
        while not node.open:
            node.passes(node.it.deadline() - node.now)
        node.lost()
    gaps = [later - past for (past, _), (later, _) in zip(node.opened, node.opened[1:], strict=False)]
    assert max(gaps[:3]) <= TIMES.open_delay[1] and max(gaps) <= 1.5 * TIMES.backoff[1]
    assert sum(gaps[-20:]) / 20 > 2 * SECOND
    assert {relay for _, relay in node.opened} == {*HOME, *NEXT}


def test_it_returns_to_its_first_choice_after_a_random_delay():
    node = following()
    first = node.it.relay
    node.lost()
    node.follows()
    second, since = node.it.relay, node.now
    quiet(node, TIMES.first_choice_probe_interval[1])
    at, probed = node.opened[-1]
    assert (
        probed == first
        and TIMES.first_choice_probe_interval[0] <= at - since <= TIMES.first_choice_probe_interval[1]
    )
    node.it.on_link_opened(node.now, first, MARK)
    node.stir()
    assert node.question.counts == () and node.question.hold == 0 and node.it.relay == second
    node.hears(fed(FollowOutcome.BEHIND, 2), relay=first)
    assert node.it.relay == second and node.open == {second}
    quiet(node, TIMES.first_choice_probe_interval[1])
    node.it.on_link_opened(node.now, first, MARK)
    node.stir()
    node.hears(fed(FollowOutcome.SAME, 3), relay=first)
    assert node.it.relay == first and node.open == {first} and node.question.counts


def quiet(node, span):
    """The relay answers that there is nothing newer, until another link is opened."""
    until, opened = node.now + span, len(node.opened)
    while node.now < until and len(node.opened) == opened:
        node.passes(node.it.request.sent_at + MAX_HOLD_US - node.now)
        node.hears(fed(FollowOutcome.SAME, node.table.version))
    assert len(node.opened) > opened


def test_relays_are_bounded_and_a_duplicate_counts_once():
    many = RelaySelector([["a", "a", "b"], ["b", *map(str, range(99))]], random.Random(1), TIMES)
    assert len(many.order) == len(set(many.order)) == MAX_RELAYS and many.tier["b"] == 0
    node = Node(tiers=())
    node.passes(600 * SECOND)
    assert node.opened == []


# -- relays that are not followed ------------------------------------------------------------------------


def test_a_relay_of_another_group_is_never_asked():
    node = Node(version=3)
    node.follows(mark=b"other")
    assert node.asked == [] and node.open == set() and node.it.counters["of another group"] == 1
    node = Node()  # without a known group it adopts the first mark
    node.follows(mark=b"other")
    node.hears(news(0, 3))
    node.steps()
    assert node.table.mark == b"other"
    node.lost()
    node.follows()
    assert node.it.relay is None and len(node.asked) == 2


def test_a_link_opened_before_the_mark_was_known_is_left_if_the_group_differs():
    node = Node(version=0)
    node.follows(mark=b"other")
    node.hears(news(0, 3))
    node.lost()  # the received data stays staged
    node.follows()
    node.steps()
    assert node.table.mark == b"other" and node.it.relay is None and node.open == set()


def test_a_relay_without_a_mark_is_followed_but_its_data_is_not_applied():
    node = Node()
    relay = node.follows(mark=b"")
    node.hears(fed(FollowOutcome.SAME, 0, MAX_AGE_US, digest=b"other nothing"))
    assert node.it.relay == relay
    node.passes(TIMES.retry_delay)
    node.hears(news(0, 3))
    assert node.it.relay is None and not node.stepping and node.table.version == 0


def test_a_relay_with_a_lower_version_gets_time_to_catch_up():
    node = following()
    relay, since = node.it.relay, node.now
    while node.it.relay == relay and node.now < since + 9 * SECOND:
        node.passes(TIMES.retry_delay)
        node.hears(fed(FollowOutcome.BEHIND, 2))
    assert TIMES.max_behind <= node.now - since <= TIMES.max_behind + 2 * TIMES.retry_delay
    node = following()
    node.hears(fed(FollowOutcome.BEHIND, 2))
    node.passes(TIMES.retry_delay)
    node.hears(fed(FollowOutcome.SAME, 3))
    node.passes(TIMES.max_behind)
    node.hears(fed(FollowOutcome.BEHIND, 2))  # the time counts anew
    assert node.it.relay is not None


def test_a_full_relay_is_left_and_one_without_a_free_slot_is_asked_again():
    node = following()
    node.hears(None, why="full")
    assert node.it.relay is None
    node = following()
    relay, waits = node.it.relay, []
    for _ in range(MAX_BUSY_ANSWERS - 1):
        node.hears(fed(FollowOutcome.SNAPSHOT, 9))
        node.hears(None, DIGESTS, why="busy")
        waits.append(node.it.deadline() - node.now)
        node.passes(waits[-1])
    assert node.it.relay == relay and all(
        TIMES.busy_retry_delay[0] <= each <= TIMES.busy_retry_delay[1] for each in waits
    )
    node.hears(fed(FollowOutcome.SNAPSHOT, 9))
    node.hears(None, DIGESTS, why="busy")
    assert {relay, node.follows()} == set(HOME)


def test_a_site_that_is_cut_off_as_a_whole_keeps_its_relay():
    """For ten minutes it probes for a fresher relay, ever more rarely, and never moves."""
    node = following()
    relay, since = node.it.relay, node.now
    while node.now < since + 600 * SECOND:
        node.passes(min(node.it.deadline(), node.it.request.sent_at + MAX_HOLD_US) - node.now)
        probe = node.it.prober.probe
        if probe is not None and probe.asked_at < 0:
            node.it.on_link_opened(node.now, probe.relay, MARK)
            node.stir()
            node.hears(fed(FollowOutcome.SAME, 3, node.now - since + 300_000), relay=probe.relay)
        if node.now >= node.it.request.sent_at + MAX_HOLD_US:
            node.hears(fed(FollowOutcome.SAME, 3, node.now - since))
        assert node.it.relay == relay
    looks = [at - since for at, _ in node.opened[1:]]
    assert 20 < len(looks) < 60 and sum(at > 300 * SECOND for at in looks) < 25
    assert {other for _, other in node.opened} == {*HOME, *NEXT}


@pytest.mark.parametrize(
    ("younger", "moves"), [(TIMES.min_age_gain + 200_000, True), (TIMES.min_age_gain, False)]
)
def test_it_moves_to_a_fresher_relay_only_by_a_margin(younger, moves):
    node = following()
    relay, age = node.it.relay, 10 * SECOND
    node.passes(MAX_HOLD_US)
    node.hears(fed(FollowOutcome.SAME, 3, age))
    node.passes(node.it.prober.fresher_probe_at - node.now)
    probe = node.it.prober.probe.relay
    node.it.on_link_opened(node.now, probe, MARK)
    node.stir()
    node.hears(fed(FollowOutcome.SAME, 3, node.it.age(node.now) - younger), relay=probe)
    assert node.it.relay == (probe if moves else relay) and len(node.open) == 1


# -- what is applied -----------------------------------------------------------------------------------------
