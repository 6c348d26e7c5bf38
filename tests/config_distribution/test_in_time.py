"""A node applies a change within 5 s despite the loss of a relay, with the real timings and random moments.

Messages arrive at once here; the simulation covers their delays in a fleet.
"""

import random

import pytest

from lichencleat.config_distribution.choice import Timing
from lichencleat.testkit import tiny_distribution
from lichencleat.testkit.tiny_distribution import NODE, RELAYS, SOURCE, Kinds, Limits, World

SECOND = 1_000_000
SEEDS = range(40)
IN_FORCE = 5 * SECOND
STEP = 10_000  # µs between checks of the node


@pytest.fixture
def worlds(monkeypatch):
    """Makes a world in which version 1 has been everywhere for a random time."""

    def made(seed):
        rng = random.Random(seed)
        monkeypatch.setattr(tiny_distribution, "LOW", rng)
        monkeypatch.setattr(tiny_distribution, "TIMES", Timing())
        world = World(Kinds(), Limits(versions=2, slow=()))
        world.publish()
        world.runs(3 * SECOND + rng.randrange(2 * SECOND))
        assert all(each.table.version == 1 for each in world.processes.values())
        return world, rng

    return made


def until_in_force(world):
    """µs from a change's publication until the node has applied it."""
    world.publish()
    published = world.now
    while world.processes[NODE].table.version < 2 and world.now - published < 60 * SECOND:
        world.runs(STEP)
    assert world.wrong is None
    return world.now - published


def followed(world):
    return world.processes[NODE].follower.relay


def cut_off(world, relay):
    """The relay answers those below, but receives nothing from above."""
    world.mute = frozenset([(relay, SOURCE)])


def stopped(world, relay):
    """The relay's links stay open, but no message passes in either direction."""
    world.mute = frozenset([relay, (relay, SOURCE)])


def cut_off_both(world, relay):
    world.mute = frozenset((each, SOURCE) for each in RELAYS)


def stopped_both(world, relay):
    world.mute = frozenset([*RELAYS, *((each, SOURCE) for each in RELAYS)])


def lost(world, relay):
    """The relay's process ends: its links end, and none can be opened."""
    stopped(world, relay)
    for key in [key for key in world.links if key[1] == relay]:
        world.loses(*key)


def times(worlds, fault):
    took = []
    for seed in SEEDS:
        world, rng = worlds(seed)
        assert followed(world) in RELAYS
        fault(world, followed(world))
        world.runs(rng.randrange(1, 4 * SECOND))
        took.append(until_in_force(world))
    return sorted(took)


@pytest.mark.parametrize("fault", [lost, stopped, cut_off, cut_off_both, stopped_both])
def test_a_change_is_applied_in_time_although_a_relay_is(worlds, fault):
    took = times(worlds, fault)
    assert took[-1] < IN_FORCE, took
    assert fault is lost or took[-1] > SECOND  # the fault has an effect


def test_a_node_without_any_relay_keeps_its_version_and_catches_up_later(worlds):
    for seed in SEEDS:
        world, _ = worlds(seed)
        stopped_both(world, followed(world))
        world.mute |= {SOURCE}
        world.runs(60 * SECOND)
        node = world.processes[NODE]
        assert node.table.version == 1 and node.follower.age(world.now) > 55 * SECOND
        world.mute = frozenset()
        assert until_in_force(world) < 13 * SECOND  # the longest backoff


def test_the_time_limit_can_be_missed(worlds, monkeypatch):
    world, _ = worlds(1)
    world.processes[NODE].follower.prober.on_age = lambda now, age: None  # never probes for a fresher relay
    cut_off(world, followed(world))
    world.runs(SECOND)
    assert until_in_force(world) > IN_FORCE
