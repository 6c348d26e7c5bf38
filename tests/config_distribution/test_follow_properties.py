"""A relay follower against relays that answer anything; injected mistakes are found."""

import pytest
from config_distribution.following import FIXED, Node, batch, fed, head, news, pages
from hypothesis import Phase, find, given, settings
from hypothesis import strategies as st

from lichencleat.config_distribution.follow import RelayFollower
from lichencleat.config_distribution.taking import PendingUpdate
from lichencleat.config_distribution.terms import (
    DIGESTS,
    FOLLOW,
    PAGES_OF,
    Batch,
    Change,
    FollowAnswer,
    FollowOutcome,
    PagesAnswer,
)
from lichencleat.testkit.explore_distribution import EarlyWord, Lax, SpoiltBatch, SpoiltPiece
from lichencleat.testkit.tiny_table import NAMES, Tiny, changes, digest_of, published

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
    st.builds(
        FollowAnswer, st.integers(0, 6), VERSION, DIGEST, st.integers(-9, 1 << 60), st.tuples(BATCH, BATCH)
    ),
    st.builds(FollowAnswer, st.integers(0, 6), VERSION, DIGEST, st.just(0), st.tuples(BATCH) | st.just(())),
    st.builds(news, VERSION, VERSION),
    st.builds(head, VERSION, st.integers(0, 99)),
    st.builds(lambda version, a, b: pages(version, a, b), VERSION, st.integers(0, 2), st.integers(0, 2)),
    st.builds(PagesAnswer, VERSION, st.just(((0, b"wrong"),)) | st.just(())),
    st.none(),
)


WHAT = st.sampled_from(["fits", "fits", "fits", "hears", "lost", "step", "step", "passes"])
SCRIPT = st.lists(st.tuples(WHAT, ANSWER, VERSION, st.booleans()), min_size=10, max_size=40)
WRONG = Change("r", NAMES[0], b"wrong")


def fitting(node, version, wrong):
    """A valid answer to the open request from a relay with this version, or a corrupted one."""
    what, past = node.it.request.what, node.table.version
    if what == DIGESTS:
        return head(version)
    if what == PAGES_OF:
        found = pages(node.question.version, *node.question.numbers)
        return (
            PagesAnswer(found.version, ((found.pages[0][0], b"wrong"), *found.pages[1:])) if wrong else found
        )
    if version <= past:
        return fed(
            FollowOutcome.BEHIND if version % 2 and version < past else FollowOutcome.SNAPSHOT, version
        )
    made = batch(past, version)
    return fed(
        FollowOutcome.NEWS, version, 0, [Batch(version, past, made.digest, (WRONG,)) if wrong else made]
    )


def broken(script, follower=RelayFollower, table=Tiny):
    """The first fault after the relays answered in the scripted order."""
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
        elif node.it.request is not None:
            fits = fitting(node, number, wrong) if what == "fits" else answer
            node.hears(fits, node.it.request.what)
        if node.table.version < version:
            return f"back from {version} to {node.table.version}"
        version = node.table.version
        if node.table.content != published(version):
            return f"{node.table.content} as {version}"
        question = node.it.request
        if question is not None and question.what == FOLLOW and node.question.version != version:
            return f"acknowledged {node.question.version}, had {version}"
    return ""


@given(SCRIPT)
@FIXED
def test_the_version_never_decreases_and_is_complete_whatever_relays_answer(script):
    """Relays lie in any order, except for a matching digest of other bytes."""
    assert broken(script) == ""


class Unchained(PendingUpdate):
    def stage(self, fed, relay, mark, knows):
        if not fed.batches:
            return "none"
        self.copy.stage(fed.batches)
        self.start("batches", relay, mark, None)
        return ""


class LaxFollower(RelayFollower):
    def __init__(self, *args):
        super().__init__(*args)
        self.pending = Lax(self.copy)


class UnchainedFollower(RelayFollower):
    def __init__(self, *args):
        super().__init__(*args)
        self.pending = Unchained(self.copy)


@pytest.mark.parametrize(
    ("follower", "table", "found"),
    [
        (LaxFollower, Tiny, "back from"),
        (UnchainedFollower, SpoiltBatch, " as "),
        (RelayFollower, SpoiltBatch, " as "),
        (RelayFollower, SpoiltPiece, " as "),
        (EarlyWord, Tiny, "acknowledged"),
    ],
)
def test_an_injected_mistake_is_found(follower, table, found):
    many = settings(
        derandomize=True, deadline=None, database=None, max_examples=5_000, phases=[Phase.generate]
    )
    script = find(SCRIPT, lambda script: found in broken(script, follower, table), settings=many)
    assert broken(script) == ""
