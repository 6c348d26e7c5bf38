"""Words, rumors and one member by hand; drawn groups with faults."""

import itertools
import random

import msgspec
import pytest

from lichencleat.membership.gossip import Change, Gossip, Send
from lichencleat.membership.rumors import DATAGRAM_MOST, Rumors, times
from lichencleat.membership.table import MEMBERS_MOST, Table
from lichencleat.membership.terms import Choice, Datagram, Kind, State, Word
from lichencleat.testkit.simulation.members import SECOND, MembersWorld


def word(name, state=State.HERE, incarnation=1):
    return Word(name, state, incarnation, "10.0.0.1", 7000, "x", "node")


def test_words_heard_in_any_order_leave_the_same():
    words = [word("a", state, n) for state in State for n in (1, 2)]
    results = set()
    for order in itertools.islice(itertools.permutations(words), 0, 40_000, 97):
        table = Table()
        for each in (*order, *order[:3]):
            table.hear(0, each)
        results.add(table.digest())
    assert len(results) == 1


def test_a_datagram_can_not_fill_the_table():
    table = Table()
    for number in range(MEMBERS_MOST + 50):
        table.hear(0, word(f"n{number}"))
    assert len(table.words) == MEMBERS_MOST
    assert not Table().hear(0, word("a", 9))


def test_who_is_gone_is_forgotten_after_long_and_who_is_there_is_not():
    table = Table()
    table.hear(0, word("a"))
    table.hear(0, word("b", State.GONE))
    assert table.forget(9, 10) == [] and table.forget(10, 10) == ["b"] and list(table.words) == ["a"]


def test_rumors_are_passed_on_a_bounded_number_of_times_least_told_first():
    rumors = Rumors()
    for number in range(100):
        rumors.add(word(f"n{number}"))
    told = [each.name for _ in range(200) for each in rumors.take(500, 3)]
    assert sorted(told) == sorted(f"n{n}" for n in range(100) for _ in range(3))
    assert rumors.take(500, 3) == () and times(300, 3) < 30
    rumors.add(word("z"))
    rumors.add(word("y"))
    assert rumors.take(70, 3, first="y")[0].name == "y"


class Hand:
    """One member, with what it does collected."""

    def __init__(self, *others, period=1_000_000):
        self.choice = Choice(period=period)
        self.gossip = Gossip("g", word("me"), [("10.0.0.9", 7000)], self.choice, random.Random(2), 0)
        self.now = 0
        for each in others:
            self.hear(Datagram("g", Kind.LIST, 0, "seed", words=(word(each),)))
        self.pull()

    def hear(self, datagram):
        self.gossip.hears(self.now, "10.0.0.2", 7000, datagram)

    def pull(self):
        found = []
        while (decision := self.gossip.next_decision()) is not None:
            found.append(decision)
        return found

    def sent(self, kind):
        return [
            each.datagram for each in self.pull() if isinstance(each, Send) and each.datagram.kind == kind
        ]

    def until(self, kind, most=10_000_000):
        end = self.now + most
        while self.now < end:
            self.now = max(self.now, self.gossip.deadline())
            self.gossip.wakes(self.now)
            if found := self.sent(kind):
                return found[0]
        raise AssertionError(kind)

    def state(self, name):
        return State(self.gossip.table.words[name].state)


def test_a_silent_member_is_asked_after_then_suspected_then_called_gone():
    hand = Hand("a", "b", "c")
    ping = hand.until(Kind.PING)
    ask = hand.until(Kind.ASK)
    assert ask.number == ping.number
    target = ask.target
    for helper in {"a", "b", "c"} - {target}:
        hand.hear(Datagram("g", Kind.NO_ACK, ask.number, helper, target))
    hand.until(Kind.PING)
    assert hand.state(target) == State.SUSPECT
    for _ in range(200):
        hand.now = hand.gossip.deadline()
        hand.gossip.wakes(hand.now)
        hand.pull()
    assert hand.state(target) == State.GONE


def test_an_answer_of_any_helper_clears_the_probe():
    hand = Hand("a", "b", "c")
    hand.until(Kind.PING)
    ask = hand.until(Kind.ASK)
    hand.hear(Datagram("g", Kind.ACK, ask.number, "b", ask.target))
    hand.until(Kind.PING)
    assert hand.state(ask.target) == State.HERE and hand.gossip.health == 0


def test_who_is_taken_for_gone_says_otherwise_and_takes_more_time_itself():
    hand = Hand("a")
    hand.hear(Datagram("g", Kind.PING, 5, "a", words=(word("me", State.GONE, 7),)))
    (ack,) = hand.sent(Kind.ACK)
    assert word("me", State.HERE, 8) in ack.words and hand.gossip.health == 1


def test_one_that_asks_for_another_is_told_either_way():
    hand = Hand("a", "b")
    hand.hear(Datagram("g", Kind.ASK, 77, "a", "b"))
    (ping,) = hand.sent(Kind.PING)
    hand.hear(Datagram("g", Kind.ACK, ping.number, "b"))
    assert [(each.number, each.target) for each in hand.sent(Kind.ACK)] == [(77, "b")]
    hand.hear(Datagram("g", Kind.ASK, 78, "a", "b"))
    hand.pull()
    assert hand.until(Kind.NO_ACK).number == 78


def test_another_group_s_datagrams_count_for_nothing_and_none_is_too_large():
    hand = Hand()
    hand.hear(Datagram("other", Kind.PING, 5, "a", words=(word("a"),)))
    assert hand.sent(Kind.ACK) == [] and "a" not in hand.gossip.table.words
    for number in range(400):
        hand.gossip.learn(0, word(f"n{number}"), "a")
    hand.hear(Datagram("g", Kind.JOIN, 0, "a"))
    sizes = [len(msgspec.msgpack.encode(each)) for each in hand.sent(Kind.LIST)]
    assert len(sizes) > 5 and max(sizes) <= DATAGRAM_MOST


def test_leaving_is_told_apart_from_being_lost():
    hand = Hand("a")
    hand.gossip.leaves(5)
    (ping,) = hand.sent(Kind.PING)
    assert ping.words[0].state == State.LEFT
    other = Hand()
    other.hear(Datagram("g", Kind.PING, 0, "me2", words=(word("b"), word("b", State.LEFT))))
    changes = [each.word.state for each in other.pull() if isinstance(each, Change)]
    assert changes == [State.HERE, State.LEFT]


@pytest.fixture
def world():
    made = MembersWorld(3, 40, choice=Choice(period=200_000, answer=60_000, meet=1_000_000))
    for each in made.instances:
        made.clockwork.after(made.rng.randrange(SECOND), each.start)
    made.run(SECOND)
    assert made.until_together(60 * SECOND) is not None
    return made


def test_four_in_ten_gone_at_once_are_known_by_all_the_rest(world):
    for each in world.instances[::5] + world.instances[1::5]:
        each.kill()
    assert world.until_together(60 * SECOND) is not None
    assert world.counts["called gone wrongly"] == 0


def test_two_halves_that_were_apart_come_together(world):
    here, there = range(20), range(20, 40)
    pairs = [(a, b) for a in here for b in there] + [(b, a) for a in here for b in there]
    world.network.cut(pairs)
    world.run(60 * SECOND)
    assert all(each.sees() == {f"n{n}" for n in here} for each in world.instances[:20])
    world.network.heal(pairs)
    assert world.until_together(120 * SECOND) is not None


def test_loss_makes_suspects_and_calls_nobody_gone(world):
    world.network.loss = 0.05
    world.run(60 * SECOND)
    assert world.counts["called gone wrongly"] == 0


def test_one_that_flaps_ends_where_it_is(world):
    flapping = world.instances[7]
    for _ in range(6):
        flapping.kill()
        world.run(3 * SECOND)
        flapping.start()
        world.run(SECOND)
    assert world.until_together(60 * SECOND) is not None
