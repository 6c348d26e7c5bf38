"""All orders of small settings: the voter breaks nothing, and the mistake that each is made for is found."""

import pytest

from lichencleat.consensus.raft_node import RaftNode
from lichencleat.testkit.explore import explore
from lichencleat.testkit.explore_scenes import SCENES, play
from lichencleat.testkit.simulation.variants import VARIANTS


@pytest.mark.parametrize("name", SCENES)
def test_nothing_breaks_in_any_order(name):
    scene = SCENES[name]
    found = play(scene, RaftNode, min(scene.depth, 9))
    assert found.violation is None, found.history
    assert found.whole or found.depth == min(scene.depth, 9)


@pytest.mark.parametrize("name", [name for name, each in SCENES.items() if each.mistake != "none"])
def test_the_planted_mistake_is_found(name):
    scene = SCENES[name]
    found = play(scene, VARIANTS[scene.mistake])
    assert found.violation is not None
    world = scene.make(VARIANTS[scene.mistake])
    if scene.bytes_most == SCENES["two lead"].bytes_most:
        for action in found.history:  # the history that it tells leads there
            world = world.after(action)
        assert world.violation() == found.violation


class Counter:
    """Two numbers that are counted up; 3 and 2 is wrong."""

    def __init__(self, a=0, b=0):
        self.a, self.b = a, b

    def actions(self):
        return [each for each in "ab" if self.a + self.b < 9]

    def after(self, action):
        return Counter(self.a + (action == "a"), self.b + (action == "b"))

    def key(self):
        return self.a, self.b

    def violation(self):
        return "3 and 2" if (self.a, self.b) == (3, 2) else None


def test_the_shortest_history_is_told_and_equal_states_are_met_once():
    found = explore(Counter(), 9, 1_000)
    assert found.violation == "3 and 2" and sorted(found.history) == list("aaabb")
    assert found.states < 22 and found.depth == 4


def test_it_says_when_it_gave_up_and_when_it_saw_all():
    assert not explore(Counter(0, 3), 9, 5).whole
    whole = explore(Counter(0, 3), 99, 1_000)
    assert whole.whole and whole.violation is None
