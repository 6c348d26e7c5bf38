"""The follower by direct calls: which relay is followed, what it is asked, what of its answers is taken."""

import random
from collections import Counter

import pytest
from hypothesis import Phase, find, given, settings
from hypothesis import strategies as st

from lichencleat.distribution.acts import Act
from lichencleat.distribution.choice import Choice
from lichencleat.distribution.copy import TableCopy
from lichencleat.distribution.counts import OLDEST
from lichencleat.distribution.errors import TableError
from lichencleat.distribution.follow import BUSY_MOST, HEADS_MOST, Follower, Times
from lichencleat.distribution.pages import key_of, place_of
from lichencleat.distribution.table import Table
from lichencleat.distribution.taking import Taking
from lichencleat.distribution.terms import (
    DIGESTS,
    FOLLOW,
    HOLD,
    PAGES_OF,
    RELAYS_MOST,
    Batch,
    Change,
    Count,
    Digests,
    Fed,
    Pages,
    Say,
)
from lichencleat.lab.explore_distribution import EarlyWord, Lax, SpoiltBatch, SpoiltPiece
from lichencleat.lab.tiny_table import MARK, NAMES, Tiny, changes, digest_of, published

FIXED = settings(derandomize=True, deadline=None, database=None, max_examples=100)
SECOND = 1_000_000
HOME, NEXT = ("h1", "h2"), ("v1", "v2")
TIMES = Times()


class Node:
    """A follower and its host: what it decided last, by what it is."""

    def __init__(self, tiers=(HOME, NEXT), version=0, seed=1, is_node=True, table=None, follower=Follower):
        self.table = table or Tiny(version)
        self.now = SECOND
        self.it = follower(tiers, self.table, random.Random(seed), self.now, is_node, "z1")
        self.opened, self.asked, self.told, self.taken = [], [], [], []
        self.open = set()  # links, as far as they are wanted
        self.stepping = False
        self.stir()

    def stir(self):
        while (decision := self.it.next_decision(self.now)) is not None:
            if decision.act is Act.OPEN:
                assert decision.relay not in self.open
                self.opened.append((self.now, decision.relay))
                self.open.add(decision.relay)
            elif decision.act is Act.CLOSE:
                self.open.discard(decision.relay)
            elif decision.act is Act.ASK:
                assert decision.relay in self.open
                self.asked.append(decision)
            elif decision.act is Act.STEP:
                assert not self.stepping
                self.stepping = True
            elif decision.act is Act.TAKEN:
                self.taken.append(decision.batches)
            else:
                self.told.append(decision.text)
        assert len(self.open) <= 2 and self.it.deadline() > self.now

    def passes(self, span):
        """Timers run when they are due; links that it opens answer to nobody."""
        until = self.now + span
        while self.it.deadline() <= until:
            self.now = self.it.deadline()
            self.it.wakes(self.now)
            self.stir()
        self.now = until

    def follows(self, relay=None, mark=MARK):
        """Its next link opens. Gives the relay."""
        while not self.open:
            self.passes(self.it.deadline() - self.now)
        relay = relay or self.opened[-1][1]
        self.it.opened(self.now, relay, mark)
        self.stir()
        return relay

    def hears(self, content, what=FOLLOW, relay=None, why=""):
        self.it.told(self.now, relay or self.it.relay, what, content, why)
        self.stir()

    def lost(self, relay=None):
        relay = relay or self.it.relay or self.opened[-1][1]
        self.open.discard(relay)
        self.it.lost(self.now, relay, "lost")
        self.stir()

    def step(self):
        if self.stepping:
            self.stepping = False
            try:
                ready = self.table.step()
            except TableError:
                ready = None
            self.it.stepped(self.now, ready)
            self.stir()

    def steps(self):
        while self.stepping:
            self.step()

    @property
    def question(self):
        return self.asked[-1].content


def fed(say, version, age=0, batches=(), digest=None):
    return Fed(say, version, digest or digest_of(published(version)), age, tuple(batches))


def batch(past, version, digest=None):
    return Batch(version, past, digest or digest_of(published(version)), changes(past, version))


def head(version, age=0):
    table = Tiny(version)
    return table.view().head(age)


def pages(version, *numbers):
    return Pages(version, tuple((number, published(version)[number]) for number in numbers))


def news(past, version, age=0):
    return fed(Say.NEWS, version, age, [batch(past, version)])


def following(version=3, **more):
    node = Node(version=version, **more)
    node.follows()
    return node


# -- which relay --------------------------------------------------------------------------------------------


def test_the_relays_of_the_home_tier_are_drawn_evenly_and_within_the_span():
    drawn = [Node(seed=seed) for seed in range(400)]
    for node in drawn:
        node.passes(TIMES.move[1])
    firsts = Counter(node.opened[0][1] for node in drawn)
    assert set(firsts) == set(HOME) and min(firsts.values()) > 160
    spans = sorted(node.opened[0][0] - SECOND for node in drawn)
    assert spans[0] < TIMES.move[1] // 20 and spans[-1] > TIMES.move[1] * 19 // 20


def test_a_lost_one_is_followed_by_the_other_of_its_tier_then_by_the_next_tier():
    node, seen = following(), []
    for _ in range(4):
        seen.append(node.it.relay)
        lost_at = node.now
        node.lost()
        node.follows()
        assert node.now - lost_at <= TIMES.move[1]
    assert set(seen[:2]) == set(HOME) and set(seen[2:]) == set(NEXT)


def test_one_that_opens_not_or_goes_silent_is_left_within_the_patience():
    node = Node()
    node.passes(TIMES.move[1] + TIMES.opening)
    first = node.opened[0][1]
    assert first not in node.open and f"leaves {first}: its link does not open" in node.told
    node.passes(TIMES.move[1])
    second = node.follows()
    assert {first, second} == set(HOME)
    node.passes(HOLD + TIMES.patience - 1)
    assert node.it.relay == second
    node.passes(1)
    assert node.it.relay is None and not node.open and f"leaves {second}: it is silent" in node.told


def test_a_timer_that_is_late_means_that_this_one_slept():
    """Its answer may lie in the buffer: it is read before the relay is left."""
    node = following()
    relay = node.it.relay
    node.now += HOLD + TIMES.patience + TIMES.overslept + 1
    node.it.wakes(node.now)
    node.stir()
    assert node.it.relay == relay
    node.passes(TIMES.patience)
    assert node.it.relay is None


def test_where_all_fail_it_tries_ever_more_rarely_and_never_stops():
    node = Node()
    for _ in range(60):
        while not node.open:
            node.passes(node.it.deadline() - node.now)
        node.lost()
    gaps = [later - past for (past, _), (later, _) in zip(node.opened, node.opened[1:], strict=False)]
    assert max(gaps[:3]) <= TIMES.move[1] and max(gaps) <= 1.5 * TIMES.rest[1]
    assert sum(gaps[-20:]) / 20 > 2 * SECOND
    assert {relay for _, relay in node.opened} == {*HOME, *NEXT}


def test_it_goes_home_again_after_a_drawn_time_if_home_is_well():
    node = following()
    first = node.it.relay
    node.lost()
    node.follows()
    second, since = node.it.relay, node.now
    quiet(node, TIMES.home[1])
    at, probed = node.opened[-1]
    assert probed == first and TIMES.home[0] <= at - since <= TIMES.home[1]
    node.it.opened(node.now, first, MARK)
    node.stir()
    assert node.question.counts == () and node.question.hold == 0 and node.it.relay == second
    node.hears(fed(Say.BEHIND, 2), relay=first)
    assert node.it.relay == second and node.open == {second}
    quiet(node, TIMES.home[1])
    node.it.opened(node.now, first, MARK)
    node.stir()
    node.hears(fed(Say.SAME, 3), relay=first)
    assert node.it.relay == first and node.open == {first} and node.question.counts


def quiet(node, span):
    """Its relay says that there is nothing newer, time after time, until it opens another link."""
    until, opened = node.now + span, len(node.opened)
    while node.now < until and len(node.opened) == opened:
        node.passes(node.it.question.at + HOLD - node.now)
        node.hears(fed(Say.SAME, node.table.version))
    assert len(node.opened) > opened


def test_relays_are_bounded_and_one_that_is_named_twice_counts_once():
    many = Choice([["a", "a", "b"], ["b", *map(str, range(99))]], random.Random(1), TIMES)
    assert len(many.order) == len(set(many.order)) == RELAYS_MOST and many.tier["b"] == 0
    node = Node(tiers=())
    node.passes(600 * SECOND)
    assert node.opened == []


# -- who is not followed ------------------------------------------------------------------------------------


def test_another_group_is_never_asked_anything():
    node = Node(version=3)
    node.follows(mark=b"other")
    assert node.asked == [] and node.open == set() and node.it.counters["of another group"] == 1
    node = Node()  # it knows no group yet, and takes what it is told first
    node.follows(mark=b"other")
    node.hears(news(0, 3))
    node.steps()
    assert node.table.mark == b"other"
    node.lost()
    node.follows()
    assert node.it.relay is None and len(node.asked) == 2


def test_a_link_from_before_the_mark_was_known_is_left_once_it_is_of_another_group():
    node = Node(version=0)
    node.follows(mark=b"other")
    node.hears(news(0, 3))
    node.lost()  # what it sent is staged still
    node.follows()
    node.steps()
    assert node.table.mark == b"other" and node.it.relay is None and node.open == set()


def test_one_without_a_mark_is_followed_and_nothing_of_it_is_taken():
    node = Node()
    relay = node.follows(mark=b"")
    node.hears(fed(Say.SAME, 0, OLDEST, digest=b"other nothing"))
    assert node.it.relay == relay
    node.passes(TIMES.again)
    node.hears(news(0, 3))
    assert node.it.relay is None and not node.stepping and node.table.version == 0


def test_one_that_has_less_is_given_some_time_to_catch_up():
    node = following()
    relay, since = node.it.relay, node.now
    while node.it.relay == relay and node.now < since + 9 * SECOND:
        node.passes(TIMES.again)
        node.hears(fed(Say.BEHIND, 2))
    assert TIMES.behind <= node.now - since <= TIMES.behind + 2 * TIMES.again
    node = following()
    node.hears(fed(Say.BEHIND, 2))
    node.passes(TIMES.again)
    node.hears(fed(Say.SAME, 3))
    node.passes(TIMES.behind)
    node.hears(fed(Say.BEHIND, 2))  # it counts anew
    assert node.it.relay is not None


def test_one_that_is_full_is_left_and_one_without_a_turn_is_asked_again_later():
    node = following()
    node.hears(None, why="full")
    assert node.it.relay is None
    node = following()
    relay, waits = node.it.relay, []
    for _ in range(BUSY_MOST - 1):
        node.hears(fed(Say.SNAPSHOT, 9))
        node.hears(None, DIGESTS, why="busy")
        waits.append(node.it.deadline() - node.now)
        node.passes(waits[-1])
    assert node.it.relay == relay and all(TIMES.busy[0] <= each <= TIMES.busy[1] for each in waits)
    node.hears(fed(Say.SNAPSHOT, 9))
    node.hears(None, DIGESTS, why="busy")
    assert {relay, node.follows()} == set(HOME)


def test_a_place_that_is_cut_off_as_a_whole_stays_where_it_is():
    """Ten minutes: it looks for a fresher one, ever more rarely, and never moves."""
    node = following()
    relay, since = node.it.relay, node.now
    while node.now < since + 600 * SECOND:
        node.passes(min(node.it.deadline(), node.it.question.at + HOLD) - node.now)
        probe = node.it.looks.probe
        if probe is not None and probe.asked < 0:
            node.it.opened(node.now, probe.relay, MARK)
            node.stir()
            node.hears(fed(Say.SAME, 3, node.now - since + 300_000), relay=probe.relay)
        if node.now >= node.it.question.at + HOLD:
            node.hears(fed(Say.SAME, 3, node.now - since))
        assert node.it.relay == relay
    looks = [at - since for at, _ in node.opened[1:]]
    assert 20 < len(looks) < 60 and sum(at > 300 * SECOND for at in looks) < 25
    assert {other for _, other in node.opened} == {*HOME, *NEXT}


@pytest.mark.parametrize(("younger", "moves"), [(TIMES.fresher + 200_000, True), (TIMES.fresher, False)])
def test_it_moves_to_a_fresher_one_by_a_margin_alone(younger, moves):
    node = following()
    relay, age = node.it.relay, 10 * SECOND
    node.passes(HOLD)
    node.hears(fed(Say.SAME, 3, age))
    node.passes(node.it.looks.look_at - node.now)
    probe = node.it.looks.probe.relay
    node.it.opened(node.now, probe, MARK)
    node.stir()
    node.hears(fed(Say.SAME, 3, node.it.age(node.now) - younger), relay=probe)
    assert node.it.relay == (probe if moves else relay) and len(node.open) == 1


# -- what is taken ------------------------------------------------------------------------------------------


def test_batches_are_in_force_whole_and_only_then_acknowledged():
    node = following(1)
    asked = len(node.asked)
    node.hears(fed(Say.NEWS, 3, 0, [batch(1, 2), batch(2, 3)]))
    assert node.table.version == 1 and len(node.asked) == asked and node.stepping
    node.steps()
    assert node.table.content == published(3) and [each.version for each in node.taken[0]] == [2, 3]
    assert (node.question.version, node.question.digest) == (3, digest_of(published(3)))
    assert node.question.counts == (Count("z1", 1, 3, node.it.age(node.now), 0, ""),)


@pytest.mark.parametrize(
    "wrong",
    [
        fed(Say.NEWS, 5, 0, [batch(2, 5)]),  # follows another version
        fed(Say.NEWS, 5, 0, [batch(3, 4), batch(3, 5)]),
        fed(Say.NEWS, 5, 0, [batch(3, 3)]),
        fed(Say.NEWS, 4, 0, [batch(3, 5)]),  # newer than itself
        fed(Say.NEWS, 5),
        fed(Say.SAME, 4),
        fed(Say.SAME, 3, digest=b"other"),
        fed(Say.BEHIND, 3),
        fed(9, 3),
        head(9),
    ],
)
def test_an_answer_that_can_not_be_is_not_taken_and_its_relay_is_left(wrong):
    node = following()
    node.hears(wrong)
    assert node.it.relay is None and not node.stepping and node.table.version == 3
    assert node.it.counters["unfit answers"] == 1


def test_a_spoilt_batch_is_counted_told_and_its_relay_left():
    node = following()
    relay = node.it.relay
    node.hears(fed(Say.NEWS, 4, 0, [batch(3, 4, b"wrong")]))
    node.steps()
    assert (node.table.version, node.it.relay, node.it.counters["spoilt"]) == (3, None, 1)
    assert any("do not fit their digest" in each for each in node.told)
    node.follows()
    assert node.it.relay != relay
    node.hears(news(3, 4))
    node.steps()
    assert node.table.content == published(4)


def test_what_is_staged_is_taken_although_its_relay_is_lost_meanwhile():
    node = following()
    node.hears(news(3, 4))
    node.lost()
    node.steps()
    assert node.table.version == 4 and node.it.relay is None
    node.follows()
    assert node.question.version == 4


def test_a_snapshot_goes_on_at_another_relay_with_the_pages_that_came():
    node = following(1)
    node.hears(fed(Say.SNAPSHOT, 4))
    node.hears(head(4), DIGESTS)
    assert node.question.numbers == (0, 1)
    node.hears(pages(4, 0, 1), PAGES_OF)
    assert node.question.numbers == (2,)
    node.lost()
    assert node.table.version == 1
    node.follows()
    node.hears(fed(Say.SNAPSHOT, 4))
    node.hears(head(4), DIGESTS)
    assert node.question.numbers == (2,)
    node.hears(pages(4, 2), PAGES_OF)
    node.steps()
    assert node.table.content == published(4) and node.taken == [()] and node.question.version == 4


@pytest.mark.parametrize("version", [1, 3])
def test_a_snapshot_that_is_no_newer_is_not_taken(version):
    node = following()
    node.hears(fed(Say.SNAPSHOT, 9))
    node.hears(head(version), DIGESTS)
    assert node.it.relay is None and node.table.version == 3 and not node.stepping


def test_pages_that_are_spoilt_or_were_not_asked_for_end_at_their_relay():
    for sent in (Pages(4, ((0, b"wrong"),)), pages(4, 2), pages(5, 0), pages(4, 0, 0)):
        node = following(1)
        node.hears(fed(Say.SNAPSHOT, 4))
        node.hears(head(4), DIGESTS)
        node.hears(sent, PAGES_OF)
        node.steps()
        assert node.it.relay is None and node.table.version == 1


def test_a_relay_that_gives_up_its_snapshots_again_and_again_is_left():
    node = following(1)
    node.hears(fed(Say.SNAPSHOT, 4))
    for given_up in range(HEADS_MOST + 1):
        assert node.it.relay is not None and node.asked[-1].what == DIGESTS, given_up
        node.hears(head(4 + given_up), DIGESTS)
        node.hears(Pages(4 + given_up, ()), PAGES_OF)
    assert node.it.relay is None


# -- two histories ------------------------------------------------------------------------------------------


def other_said(node):
    node.hears(fed(Say.OTHER, 3, digest=b"other"))
    return any("OWN COPY IN DOUBT" in each for each in node.told)


def test_another_history_in_one_tier_is_only_left():
    node = following()
    assert not other_said(node)
    node.follows()
    assert not other_said(node) and node.it.relay is None
    node.follows()
    node.passes(HOLD)
    node.hears(fed(Say.SAME, 3))  # the next tier agrees
    node.lost()
    node.follows()
    assert not other_said(node)


def test_another_history_in_two_tiers_is_taken_from_a_higher_version_on():
    node = following()
    for _ in range(2):
        assert not other_said(node)
        node.follows()
    assert other_said(node) and node.it.counters["own history given up"] == 1
    node.follows()
    node.hears(fed(Say.OTHER, 3, digest=b"other"))
    node.hears(Digests(3, b"other", b"", 0), DIGESTS)  # as high as what is in force: it waits
    assert node.table.version == 3 and node.it.relay is not None
    node.passes(node.it.deadline() - node.now)
    node.hears(fed(Say.OTHER, 3, digest=b"other"))
    node.hears(head(5), DIGESTS)
    node.hears(pages(5, 0, 1), PAGES_OF)
    node.hears(pages(5, 2), PAGES_OF)
    node.steps()
    assert node.table.content == published(5) and not node.it.anew


def test_a_page_that_went_wrong_in_memory_is_mended_by_a_snapshot():
    """A batch on that page has another digest here, whichever relay it is from."""
    page = place_of(key_of("t", "here"))[0]
    beside = next(name for name in map(str, range(99_999)) if place_of(key_of("t", name))[0] == page)
    source, copy = Table(), TableCopy(mark=MARK)
    first = source.apply(3, (Change("t", "here", b"right"),))
    copy.table.apply(3, first.changes)
    copy.table.pages[page] = copy.table.pages[page].replace(b"right", b"wrong")
    second = source.apply(5, (Change("t", beside, b"x"),))
    node = Node(table=copy)
    for _ in range(3):
        node.follows()
        node.hears(Fed(Say.NEWS, 5, source.digest, 0, (second,)))
        node.steps()
        assert (copy.version, node.it.relay) == (3, None)
    assert any("OWN COPY IN DOUBT" in each for each in node.told)
    node.follows()
    node.hears(Fed(Say.SAME, 3, copy.digest, 0))  # it would agree: that proves nothing now
    node.passes(TIMES.again)
    node.hears(Fed(Say.NEWS, 5, source.digest, 0, (second,)))
    node.hears(source.view().head(0), DIGESTS)
    assert node.question.numbers == (page,)
    node.hears(Pages(5, ((page, source.view().packed(page)),)), PAGES_OF)
    node.steps()
    assert (copy.version, copy.find("t", "here"), copy.digest) == (5, b"right", source.digest)


# -- age ----------------------------------------------------------------------------------------------------


def test_the_age_counts_from_when_an_answer_can_have_been_made_not_from_when_it_was_heard():
    node = following()
    asked = node.now
    assert node.it.age(node.now) == OLDEST
    node.now += 9 * SECOND  # it was stopped with the answer in its buffer
    node.hears(fed(Say.SAME, 3, 200))
    assert node.it.age(node.now) == 8 * SECOND + 200
    node.passes(SECOND // 2)
    node.hears(news(3, 4, 100))
    node.steps()
    assert node.it.age(node.now) == SECOND // 2 + 100
    assert node.it.age(node.now + 70) == SECOND // 2 + 170 and asked < node.now


def test_an_answer_before_its_hold_is_over_counts_from_the_question_and_is_not_asked_again_at_once():
    node = following()
    node.now += HOLD // 4
    node.hears(fed(Say.SAME, 3))
    assert node.it.age(node.now) == HOLD // 4
    assert node.it.deadline() == node.now + TIMES.again


def test_the_age_is_not_touched_by_what_knows_less():
    node = following()
    node.passes(HOLD)
    node.hears(fed(Say.SAME, 3))
    known = node.it.known_at
    for answer in (fed(Say.SAME, 3, 50 * SECOND), fed(Say.SAME, 3, OLDEST), fed(Say.BEHIND, 2)):
        node.passes(HOLD)
        node.hears(answer)
        assert node.it.known_at == known
    node = following()
    node.hears(fed(Say.NEWS, 9, 0, [batch(3, 4)]))  # there is more than that
    node.steps()
    assert node.it.age(node.now) == OLDEST


def test_a_relay_asks_with_a_shorter_hold_and_tells_of_all_below():
    relay = Node(version=3, is_node=False)
    below = relay.it.below = (Count("z1", 97, 2, 5, 1, "r1"),)
    relay.follows()
    assert (relay.question.hold, relay.question.counts) == (TIMES.relay_hold, below)


# -- whatever relays say ------------------------------------------------------------------------------------

VERSION = st.integers(0, 9)
DIGEST = st.one_of(VERSION.map(lambda version: digest_of(published(version))), st.just(b"wrong"))
BATCH = st.builds(
    lambda past, version, digest, spoilt: Batch(
        version, past, digest, (Change("r", NAMES[0], b"wrong"),) if spoilt else changes(past, version)
    ),
    VERSION,
    VERSION,
    DIGEST,
    st.booleans(),
)
ANSWER = st.one_of(
    st.builds(Fed, st.integers(0, 6), VERSION, DIGEST, st.integers(-9, 1 << 60), st.tuples(BATCH, BATCH)),
    st.builds(Fed, st.integers(0, 6), VERSION, DIGEST, st.just(0), st.tuples(BATCH) | st.just(())),
    st.builds(news, VERSION, VERSION),
    st.builds(head, VERSION, st.integers(0, 99)),
    st.builds(lambda version, a, b: pages(version, a, b), VERSION, st.integers(0, 2), st.integers(0, 2)),
    st.builds(Pages, VERSION, st.just(((0, b"wrong"),)) | st.just(())),
    st.none(),
)


WHAT = st.sampled_from(["fits", "fits", "fits", "hears", "lost", "step", "step", "passes"])
SCRIPT = st.lists(st.tuples(WHAT, ANSWER, VERSION, st.booleans()), min_size=10, max_size=40)
WRONG = Change("r", NAMES[0], b"wrong")


def fitting(node, version, wrong):
    """An answer to the open question, as a relay that has this version would give it; or a spoilt one."""
    what, past = node.it.question.what, node.table.version
    if what == DIGESTS:
        return head(version)
    if what == PAGES_OF:
        found = pages(node.question.version, *node.question.numbers)
        return Pages(found.version, ((found.pages[0][0], b"wrong"), *found.pages[1:])) if wrong else found
    if version <= past:
        return fed(Say.BEHIND if version % 2 and version < past else Say.SNAPSHOT, version)
    made = batch(past, version)
    return fed(Say.NEWS, version, 0, [Batch(version, past, made.digest, (WRONG,)) if wrong else made])


def broken(script, follower=Follower, table=Tiny):
    """What is wrong after relays said that, in that order."""
    node, version = Node(version=2, table=table(2), follower=follower), 2
    for what, answer, number, wrong in script:
        if not node.it.relay:
            node.follows()
        if what == "lost":
            node.lost()
        elif what == "passes":
            node.passes(700_000)
        elif what == "step":
            node.step()
        elif node.it.question is not None:
            fits = fitting(node, number, wrong) if what == "fits" else answer
            node.hears(fits, node.it.question.what)
        if node.table.version < version:
            return f"back from {version} to {node.table.version}"
        version = node.table.version
        if node.table.content != published(version):
            return f"{node.table.content} as {version}"
        question = node.it.question
        if question is not None and question.what == FOLLOW and node.question.version != version:
            return f"acknowledged {node.question.version}, had {version}"
    return ""


@given(SCRIPT)
@FIXED
def test_whatever_relays_say_the_version_never_goes_back_and_is_whole(script):
    """Relays that lie in any order, but for a digest that fits other bytes."""
    assert broken(script) == ""


class Unchained(Taking):
    def stage(self, fed, relay, mark, knows):
        if not fed.batches:
            return "none"
        self.copy.stage(fed.batches)
        self.sets("batches", relay, mark, None)
        return ""


class LaxFollower(Follower):
    def __init__(self, *args):
        super().__init__(*args)
        self.taking = Lax(self.copy)


class UnchainedFollower(Follower):
    def __init__(self, *args):
        super().__init__(*args)
        self.taking = Unchained(self.copy)


@pytest.mark.parametrize(
    ("follower", "table", "found"),
    [
        (LaxFollower, Tiny, "back from"),
        (UnchainedFollower, SpoiltBatch, " as "),
        (Follower, SpoiltBatch, " as "),
        (Follower, SpoiltPiece, " as "),
        (EarlyWord, Tiny, "acknowledged"),
    ],
)
def test_a_planted_mistake_does_not_withstand_that(follower, table, found):
    many = settings(
        derandomize=True, deadline=None, database=None, max_examples=5_000, phases=[Phase.generate]
    )
    script = find(SCRIPT, lambda script: found in broken(script, follower, table), settings=many)
    assert broken(script) == ""
