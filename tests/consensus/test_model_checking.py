"""Model checking: small scenes have no violation in any order of events; each injected bug is found."""

import pytest

from lichencleat.consensus.raft_node import RaftNode
from lichencleat.testkit.explore import explore
from lichencleat.testkit.explore_scenes import SCENES, play
from lichencleat.testkit.simulation.variants import VARIANTS


@pytest.mark.parametrize("name", SCENES)
def test_scene_has_no_violation_in_any_order(name):
    scene = SCENES[name]
    found = play(scene, RaftNode, min(scene.depth, 9))
    assert found.violation is None, found.history
    assert found.whole or found.depth == min(scene.depth, 9)


@pytest.mark.parametrize("name", [name for name, each in SCENES.items() if each.mistake != "none"])
def test_scene_finds_its_injected_bug(name):
    scene = SCENES[name]
    found = play(scene, VARIANTS[scene.mistake])
    assert found.violation is not None
    world = scene.make(VARIANTS[scene.mistake])
    if scene.bytes_most == SCENES["two lead"].bytes_most:
        for action in found.history:  # the reported history reproduces the violation
            world = world.after(action)
        assert world.violation() == found.violation


class Counter:
    """A world of two counters that can be incremented; the state (3, 2) is a violation."""

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


def test_explorer_reports_the_shortest_history_and_visits_equal_states_once():
    found = explore(Counter(), 9, 1_000)
    assert found.violation == "3 and 2" and sorted(found.history) == list("aaabb")
    assert found.states < 22 and found.depth == 4


def test_explorer_reports_whether_it_was_exhaustive():
    assert not explore(Counter(0, 3), 9, 5).whole
    whole = explore(Counter(0, 3), 99, 1_000)
    assert whole.whole and whole.violation is None
