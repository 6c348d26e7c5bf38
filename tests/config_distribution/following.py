"""A relay follower with relays and a table that tests drive by hand."""

import random

from hypothesis import settings

from lichencleat.config_distribution.acts import Action
from lichencleat.config_distribution.errors import TableError
from lichencleat.config_distribution.follow import RelayFollower, Timing
from lichencleat.config_distribution.terms import (
    FOLLOW,
    Batch,
    FollowAnswer,
    FollowOutcome,
    PagesAnswer,
)
from lichencleat.testkit.tiny_table import MARK, Tiny, changes, digest_of, published

FIXED = settings(derandomize=True, deadline=None, database=None, max_examples=100)
SECOND = 1_000_000
HOME, NEXT = ("h1", "h2"), ("v1", "v2")
TIMES = Timing()


class Node:
    """A relay follower and its host; records the decisions by kind."""

    def __init__(
        self, tiers=(HOME, NEXT), version=0, seed=1, is_node=True, table=None, follower=RelayFollower
    ):
        self.table = table or Tiny(version)
        self.now = SECOND
        self.it = follower(tiers, self.table, random.Random(seed), self.now, is_node, "z1")
        self.opened, self.asked, self.told, self.taken = [], [], [], []
        self.open = set()  # relays with an open link
        self.stepping = False
        self.stir()

    def stir(self):
        while (decision := self.it.next_decision(self.now)) is not None:
            if decision.act is Action.OPEN:
                assert decision.relay not in self.open
                self.opened.append((self.now, decision.relay))
                self.open.add(decision.relay)
            elif decision.act is Action.CLOSE:
                self.open.discard(decision.relay)
            elif decision.act is Action.ASK:
                assert decision.relay in self.open
                self.asked.append(decision)
            elif decision.act is Action.STEP:
                assert not self.stepping
                self.stepping = True
            elif decision.act is Action.APPLIED:
                self.taken.append(decision.batches)
            else:
                self.told.append(decision.text)
        assert len(self.open) <= 2 and self.it.deadline() > self.now

    def passes(self, span):
        """Lets time pass and fires the timers; links that are opened meanwhile get no answer."""
        until = self.now + span
        while self.it.deadline() <= until:
            self.now = self.it.deadline()
            self.it.on_timer(self.now)
            self.stir()
        self.now = until

    def follows(self, relay=None, mark=MARK):
        """Opens the next link. Returns the relay."""
        while not self.open:
            self.passes(self.it.deadline() - self.now)
        relay = relay or self.opened[-1][1]
        self.it.on_link_opened(self.now, relay, mark)
        self.stir()
        return relay

    def hears(self, content, what=FOLLOW, relay=None, why=""):
        self.it.on_answer(self.now, relay or self.it.relay, what, content, why)
        self.stir()

    def lost(self, relay=None):
        relay = relay or self.it.relay or self.opened[-1][1]
        self.open.discard(relay)
        self.it.on_link_lost(self.now, relay, "lost")
        self.stir()

    def step(self):
        if self.stepping:
            self.stepping = False
            try:
                ready = self.table.step()
            except TableError:
                ready = None
            self.it.on_stepped(self.now, ready)
            self.stir()

    def steps(self):
        while self.stepping:
            self.step()

    @property
    def question(self):
        return self.asked[-1].content


def fed(say, version, age=0, batches=(), digest=None):
    return FollowAnswer(say, version, digest or digest_of(published(version)), age, tuple(batches))


def batch(past, version, digest=None):
    return Batch(version, past, digest or digest_of(published(version)), changes(past, version))


def head(version, age=0):
    table = Tiny(version)
    return table.view().head(age)


def pages(version, *numbers):
    return PagesAnswer(version, tuple((number, published(version)[number]) for number in numbers))


def news(past, version, age=0):
    return fed(FollowOutcome.NEWS, version, age, [batch(past, version)])


def following(version=3, **more):
    node = Node(version=version, **more)
    node.follows()
    return node


# -- which relay --------------------------------------------------------------------------------------------
