"""Small settings for the explorer, each one in which a certain mistake shows: `python -m
lichencleat.testkit.explore_scenes`.

Some begin after a scripted history, as what follows it is what matters; from there on everything is tried.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

import click

from lichencleat.consensus import progress as following
from lichencleat.consensus.raft_node import RaftNode
from lichencleat.testkit.explore import Explored, explore
from lichencleat.testkit.explore_quorum import Limits, QuorumWorld, quiet, settled, stood
from lichencleat.testkit.simulation.variants import VARIANTS

STATES_MOST = 200_000  # of one scene: some 40 s


def begins(world: QuorumWorld, limits: Limits) -> QuorumWorld:
    world.limits, world.stood, world.changes = limits, 0, 0
    return world


def two_stand(kind: type[RaftNode]) -> QuorumWorld:
    """1 and 3 stand in one term, and one member is cut."""
    return QuorumWorld(kind, 3, Limits(terms=1, cuts=1, proposals=0, stands=(1, 3)))


def two_lead(kind: type[RaftNode]) -> QuorumWorld:
    """1 leads, then 3, who may lack what 1 has committed."""
    return QuorumWorld(kind, 3, Limits(terms=2, cuts=0, proposals=0, stands=(1, 3), late_writes=False))


def elder_entry(kind: type[RaftNode]) -> QuorumWorld:
    """Raft's figure 8: 1 has brought its entry of term 1 to a majority in term 3; 3 holds one of term 2."""
    world = QuorumWorld(kind, 3, Limits(terms=9, cuts=0, proposals=0, late_writes=False))
    world = quiet(stood(world, 1, 1, (1, 2)))
    world = quiet(stood(world, 3, 2, (2, 3)))
    world = stood(world, 1, 2, (1, 2))
    while world.voters[2].log.last_index < 1:
        world = world.after(("deliver", next(m for m in world.flying if {m.sender, m.recipient} == {1, 2})))
    for message in [m for m in world.flying if m.sender == 2]:
        world = world.after(("deliver", message))
    limits = Limits(terms=4, cuts=0, proposals=0, stands=(3, 3), late_writes=False, on_the_way=4)
    return begins(quiet(world), limits)


def two_changes(kind: type[RaftNode]) -> QuorumWorld:
    """1 adds 4 and 5, heard by them alone; 2 and 3 know nothing of it."""
    changes = (("add", 4), ("add", 5))
    limits = Limits(terms=1, cuts=0, proposals=0, late_writes=False, on_the_way=40, changes=changes)
    world = settled(stood(QuorumWorld(kind, 3, limits, spare=2), 1, 1, (1, 2, 3)), (1, 2, 3))
    world = settled(world.after(("change", 1)).after(("change", 1)), (1, 4, 5))
    return begins(world, Limits(terms=2, cuts=0, proposals=0, stands=(2,), late_writes=False, on_the_way=5))


def first_entry(kind: type[RaftNode], leader_saves: bool) -> QuorumWorld:
    """1 leads, and 2 has its first entry; one of them is cut before it flushed that."""
    world = QuorumWorld(kind, 3, Limits(terms=1, cuts=0, proposals=0))
    world = stood(world, 1, 1, (1, 2), leader_saves)
    for message in [m for m in world.flying if m.recipient == 2]:
        world = world.after(("deliver", message))
    while not leader_saves and world.disks[2].pending:
        world = world.after(("saved", 2))
    world.flying = tuple(m for m in world.flying if m.sender == 2)
    return begins(world, Limits(terms=2, cuts=1, proposals=0, stands=(3, 3), on_the_way=4))


def leader_cut(kind: type[RaftNode]) -> QuorumWorld:
    return first_entry(kind, leader_saves=False)


def follower_cut(kind: type[RaftNode]) -> QuorumWorld:
    return first_entry(kind, leader_saves=True)


def old_leader_reads(kind: type[RaftNode]) -> QuorumWorld:
    """1 leads and all agree; 3 takes over while 1 does not know."""
    world = QuorumWorld(kind, 3, Limits(terms=1, cuts=0, proposals=0, late_writes=False))
    world = settled(stood(world, 1, 1, (1, 2, 3)), (1, 2, 3))
    limits = Limits(terms=2, cuts=0, proposals=0, stands=(3,), late_writes=False, on_the_way=6, reads=1)
    return begins(world, limits)


def snapshots(kind: type[RaftNode]) -> QuorumWorld:
    """Who has applied may compact at any time; 3 comes late, and is cut."""
    world = QuorumWorld(kind, 3, Limits(terms=1, cuts=0, proposals=0, late_writes=False))
    world = settled(stood(world, 1, 1, (1, 2)), (1, 2))
    return begins(world, Limits(terms=1, cuts=1, proposals=1, compactions=2, stands=(1,), on_the_way=3))


@dataclass(frozen=True, slots=True)
class Scene:
    make: Callable[[type[RaftNode]], QuorumWorld]
    depth: int  # at which the mistake shows, or to which it is tried
    mistake: str = "none"  # the variant that it must catch
    bytes_most: int = following.MAX_MESSAGE_BYTES  # of entries in a message


SCENES = {
    "two stand": Scene(two_stand, 8, "VoteNotFlushed"),
    "two stand again": Scene(two_stand, 10, "ForgetsTheVote"),
    "two lead": Scene(two_lead, 10, "AnyLogIsFine"),
    "an elder's entry": Scene(elder_entry, 14, "CommitByCount", 1),
    "two changes": Scene(two_changes, 12, "ChangesAnyTime"),
    "the leader is cut": Scene(leader_cut, 15, "OwnCountsUnflushed"),
    "a follower is cut": Scene(follower_cut, 13, "AckBeforeFlush"),
    "an old leader reads": Scene(old_leader_reads, 8, "ReadsAtOnce"),
    "a young leader reads": Scene(old_leader_reads, 8, "ReadsTooEarly"),
    "snapshots": Scene(snapshots, 8),
}


def play(scene: Scene, kind: type[RaftNode], depth: int | None = None, most: int = STATES_MOST) -> Explored:
    usual, following.MAX_MESSAGE_BYTES = following.MAX_MESSAGE_BYTES, scene.bytes_most
    try:
        return explore(scene.make(kind), depth or scene.depth, most)
    finally:
        following.MAX_MESSAGE_BYTES = usual


@click.command()
@click.option("--depth", type=int, help="Instead of each scene's own.")
@click.option("--states", default=STATES_MOST, show_default=True, help="At the most, of each scene.")
@click.option("--mistakes/--no-mistakes", default=True, help="Also with the mistake that each must catch.")
def main(depth: int | None, states: int, mistakes: bool) -> None:
    """Tries everything in each scene, and tells how far it came."""
    wrong = 0
    for name, scene in SCENES.items():
        for variant in dict.fromkeys(["none", scene.mistake] if mistakes else ["none"]):
            begun = time.monotonic()
            found = play(scene, VARIANTS[variant], depth, states)
            wrong += (found.violation is None) != (variant == "none")
            click.echo(f"{name}, {variant}: {found} ({time.monotonic() - begun:.1f} s)")
    raise SystemExit(1 if wrong else 0)


if __name__ == "__main__":
    main()
