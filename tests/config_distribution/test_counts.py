"""Version counts up the tree: sums stay right as subscribers come and go, extremes, and late nodes."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from lichencleat.config_distribution.counts import (
    COUNT_EXPIRY_US,
    MAX_AGE_US,
    MAX_NAME_CHARS,
    MAX_NODES,
    adjust_counts,
    merge_counts,
)
from lichencleat.config_distribution.feed import Publisher
from lichencleat.config_distribution.terms import (
    FOLLOW,
    LATE_AFTER_US,
    MAX_HOLD_US,
    MAX_ZONES,
    Count,
    FollowRequest,
    encode,
)
from lichencleat.config_distribution.window import MAX_SLOTS, SLOT_US, VersionHistory
from lichencleat.testkit.tiny_table import Tiny

FIXED = settings(derandomize=True, deadline=None, database=None, max_examples=80)
SECOND = 1_000_000
COUNTS = st.lists(
    st.builds(
        Count,
        st.sampled_from(["z1", "z2", "z3", ""]),
        st.integers(0, 50),
        st.integers(0, 9),
        st.integers(0, 99),
        st.integers(0, 3),
        st.sampled_from(["r1", "r2"]),
    ),
    max_size=12,
)


def node(zone, version, age=0):
    return Count(zone, 1, version, age, 0, "")


def publisher(version=9, name="r1", now=0):
    return Publisher(name, "z1", Tiny(version), now)


def says(it, now, who, version, counts, hold=MAX_HOLD_US):
    if who not in it.subscribers:
        assert it.add_subscriber(now, who)
    it.on_request(
        now, who, 1, FOLLOW, FollowRequest(version, it.window.digests.get(version, b""), tuple(counts), hold)
    )
    while it.next_decision(now):
        pass


@given(COUNTS, st.randoms(use_true_random=False))
@FIXED
def test_sums_and_extremes_do_not_depend_on_the_path_up(counts, rng):
    """The result is the same in any order and through any relays."""
    whole = merge_counts(counts)
    shuffled = list(counts)
    rng.shuffle(shuffled)
    cut = rng.randrange(len(counts) + 1)
    assert merge_counts(shuffled) == whole
    assert merge_counts([*merge_counts(shuffled[:cut]), *merge_counts(shuffled[cut:])]) == whole
    assert sum(each.nodes for each in whole) == sum(each.nodes for each in counts)
    there = [each for each in counts if each.nodes]
    assert [each.zone for each in whole] == sorted({each.zone for each in there})
    for each in whole:
        mine = [one for one in there if one.zone == each.zone]
        assert each.lowest_version == min(one.lowest_version for one in mine)
        assert each.max_age == max(one.max_age for one in mine)
        assert (each.lowest_version, each.lowest_relay) in {
            (one.lowest_version, one.lowest_relay) for one in mine
        }


def test_zones_above_the_bound_are_merged():
    many = [Count(f"z{number:03}", 2, number + 1, 0, 0, "r") for number in range(MAX_ZONES + 9)]
    told = merge_counts(many)
    assert len(told) == MAX_ZONES + 1 and sum(each.nodes for each in told) == 2 * len(many)
    assert told[0].zone == "" and told[0].nodes == 18 and told[0].lowest_version == MAX_ZONES + 1


def test_a_relay_adds_its_name_to_its_own_nodes_and_marks_late_ones():
    told = list(adjust_counts([node("z1", 4), node("z1", 5)], "r1", 5, 5, 7))
    assert [(each.lowest_relay, each.late_nodes, each.max_age) for each in told] == [
        ("r1", 1, 7),
        ("r1", 0, 7),
    ]
    below = [Count("z1", 9, 3, 5, 2, "r9")]
    assert list(adjust_counts(below, "r1", 5, 5, 0)) == below  # as the relay below reported
    assert next(iter(adjust_counts(below, "r1", 4, 5, 0))).late_nodes == 9  # the subscriber itself is late


def test_numbers_out_of_range_are_clamped_and_fit_the_wire_format():
    bad = Count("z" * 999, 1 << 63, -5, 1 << 62, 1 << 63, "r" * 999)
    told = merge_counts(adjust_counts([bad] * 65, "r1", 5, 0, 1 << 62))
    assert told[0].nodes == 65 * MAX_NODES and told[0].late_nodes == told[0].nodes
    assert (told[0].lowest_version, told[0].max_age) == (0, MAX_AGE_US)
    assert len(told[0].zone) == len(told[0].lowest_relay) == MAX_NAME_CHARS and encode(told)
    assert merge_counts([Count("z1", -3, 1, 0, 0, "r")]) == ()


def test_a_subscriber_that_moved_is_in_two_sums_for_a_bounded_time():
    one, other = publisher(name="r1"), publisher(name="r2")
    says(one, 0, 1, 9, [node("z1", 9)], hold=0)  # answered at once; its link is never closed
    says(other, 10, 1, 9, [node("z1", 9)])
    both = [
        sum(each.nodes for each in (*one.counts(now), *other.counts(now)))
        for now in (10, COUNT_EXPIRY_US - 1)
    ]
    assert both == [2, 2]
    assert [one.counts(COUNT_EXPIRY_US), other.counts(COUNT_EXPIRY_US)[0].nodes] == [(), 1]
    other.remove_subscriber(COUNT_EXPIRY_US, 1)
    assert other.counts(COUNT_EXPIRY_US) == ()


def test_a_subscriber_with_a_held_request_counts_for_any_duration():
    it = publisher()
    says(it, 0, 1, 9, [node("z1", 9, 5)])
    assert it.counts(2 * COUNT_EXPIRY_US) == (Count("z1", 1, 9, 5 + 2 * COUNT_EXPIRY_US, 0, "r1"),)


@given(st.integers(0, 1 << 30))
@FIXED
def test_the_sum_covers_the_present_subscribers(seed):
    """Subscribers come, go and move without closing links; some are relays with nodes below."""
    rng = random.Random(seed)
    it, now, there = publisher(), 0, {}
    for _ in range(60):
        now += rng.randrange(2 * SECOND)
        who = rng.randrange(6)
        if rng.random() < 0.6:
            nodes = rng.randrange(1, 20)
            says(it, now, who, 9, [Count("z1", nodes, 9, 0, 0, "r9")], hold=0)
            there[who] = now, nodes
        else:
            it.remove_subscriber(now, who)
            there.pop(who, None)
        wanted = sum(nodes for since, nodes in there.values() if now - since < COUNT_EXPIRY_US)
        assert sum(each.nodes for each in it.counts(now)) == wanted


def test_a_node_is_late_if_it_lacks_what_the_relay_has_had_for_long_enough():
    it, due = publisher(3), SECOND + LATE_AFTER_US
    it.table.__init__(4)
    it.on_applied(SECOND, ())
    for now in (due - SECOND, due - 1, due):
        says(it, now, 1, 3, [node("z1", 3)], hold=0)
        assert it.counts(now) == (Count("z1", 1, 3, 0, int(now == due), "r1"),)
    says(it, due, 2, 4, [node("z1", 4, 8)])
    assert it.counts(due) == (Count("z1", 2, 3, 8, 1, "r1"),)


@given(st.lists(st.integers(1, 400_000), min_size=1, max_size=200))
@FIXED
def test_a_past_version_is_reported_never_too_early_and_at_most_a_slot_too_late(spans):
    had, now, came = VersionHistory(0, 0), 0, [(0, 0)]
    for version, span in enumerate(spans, 1):
        now += span
        had.record(now, version)
        came.append((now, version))
        moment = now - LATE_AFTER_US
        told = had.version_at(moment)
        assert told <= max((each for at, each in came if at <= moment), default=0)
        assert told >= max((each for at, each in came if at <= moment - SLOT_US), default=0)
        assert len(had.slots) <= MAX_SLOTS
