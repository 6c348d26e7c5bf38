"""Consensus scenes for the model checker. Each scene is a small setting that exposes a certain injected bug.

Run them with `python -m lichencleat.testkit.explore_scenes`. Some scenes begin after a scripted history; the
model checker tries all event orders from there on.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

import click

from lichencleat.consensus import progress as following
from lichencleat.consensus.raft_node import RaftNode
from lichencleat.testkit.explore import Explored, explore
from lichencleat.testkit.explore_quorum import Limits, QuorumWorld, deliver_all, drop_messages, elect
from lichencleat.testkit.simulation.variants import VARIANTS

MAX_STATES = 200_000  # states explored in one scene; this takes about 40 s


def set_limits(world: QuorumWorld, limits: Limits) -> QuorumWorld:
    """Set the limits that hold after the scripted history and reset the counts of campaigns and changes."""
    world.limits, world.campaigns, world.changes = limits, 0, 0
    return world


def two_stand(kind: type[RaftNode]) -> QuorumWorld:
    """Members 1 and 3 campaign in the same term, and one member loses power."""
    return QuorumWorld(kind, 3, Limits(terms=1, cuts=1, proposals=0, campaigners=(1, 3)))


def two_lead(kind: type[RaftNode]) -> QuorumWorld:
    """Member 1 leads, then member 3, whose log may lack entries that member 1 has committed."""
    return QuorumWorld(kind, 3, Limits(terms=2, cuts=0, proposals=0, campaigners=(1, 3), late_writes=False))


def elder_entry(kind: type[RaftNode]) -> QuorumWorld:
    """Figure 8 of the Raft paper: in term 3, member 1 has replicated its entry of term 1 to a majority.

    Member 3 holds an entry of term 2.
    """
    world = QuorumWorld(kind, 3, Limits(terms=9, cuts=0, proposals=0, late_writes=False))
    world = drop_messages(elect(world, 1, 1, (1, 2)))
    world = drop_messages(elect(world, 3, 2, (2, 3)))
    world = elect(world, 1, 2, (1, 2))
    while world.voters[2].log.last_index < 1:
        world = world.after(("deliver", next(m for m in world.messages if {m.sender, m.recipient} == {1, 2})))
    for message in [m for m in world.messages if m.sender == 2]:
        world = world.after(("deliver", message))
    limits = Limits(terms=4, cuts=0, proposals=0, campaigners=(3, 3), late_writes=False, max_in_flight=4)
    return set_limits(drop_messages(world), limits)


def two_changes(kind: type[RaftNode]) -> QuorumWorld:
    """Member 1 adds members 4 and 5, and only they receive the changes; members 2 and 3 do not."""
    changes = (("add", 4), ("add", 5))
    limits = Limits(terms=1, cuts=0, proposals=0, late_writes=False, max_in_flight=40, changes=changes)
    world = deliver_all(elect(QuorumWorld(kind, 3, limits, spare=2), 1, 1, (1, 2, 3)), (1, 2, 3))
    world = deliver_all(world.after(("change", 1)).after(("change", 1)), (1, 4, 5))
    return set_limits(
        world, Limits(terms=2, cuts=0, proposals=0, campaigners=(2,), late_writes=False, max_in_flight=5)
    )


def first_entry(kind: type[RaftNode], leader_saves: bool) -> QuorumWorld:
    """Member 1 leads, and member 2 has received the first entry; one of the two has not flushed the entry."""
    world = QuorumWorld(kind, 3, Limits(terms=1, cuts=0, proposals=0))
    world = elect(world, 1, 1, (1, 2), leader_saves)
    for message in [m for m in world.messages if m.recipient == 2]:
        world = world.after(("deliver", message))
    while not leader_saves and world.disks[2].pending:
        world = world.after(("saved", 2))
    world.messages = tuple(m for m in world.messages if m.sender == 2)
    return set_limits(world, Limits(terms=2, cuts=1, proposals=0, campaigners=(3, 3), max_in_flight=4))


def leader_cut(kind: type[RaftNode]) -> QuorumWorld:
    """The leader loses power before it has flushed its first entry."""
    return first_entry(kind, leader_saves=False)


def follower_cut(kind: type[RaftNode]) -> QuorumWorld:
    """A follower loses power before it has flushed the first entry."""
    return first_entry(kind, leader_saves=True)


def old_leader_reads(kind: type[RaftNode]) -> QuorumWorld:
    """Member 1 leads and all logs agree; member 3 is elected while member 1 still believes it leads."""
    world = QuorumWorld(kind, 3, Limits(terms=1, cuts=0, proposals=0, late_writes=False))
    world = deliver_all(elect(world, 1, 1, (1, 2, 3)), (1, 2, 3))
    limits = Limits(
        terms=2, cuts=0, proposals=0, campaigners=(3,), late_writes=False, max_in_flight=6, reads=1
    )
    return set_limits(world, limits)


def snapshots(kind: type[RaftNode]) -> QuorumWorld:
    """Members may compact applied entries at any time; member 3 lags, and one member loses power."""
    world = QuorumWorld(kind, 3, Limits(terms=1, cuts=0, proposals=0, late_writes=False))
    world = deliver_all(elect(world, 1, 1, (1, 2)), (1, 2))
    return set_limits(
        world, Limits(terms=1, cuts=1, proposals=1, compactions=2, campaigners=(1,), max_in_flight=3)
    )


@dataclass(frozen=True, slots=True)
class Scene:
    """Start state of a scene, the depth of its search and the injected bug that it must expose."""

    make: Callable[[type[RaftNode]], QuorumWorld]
    depth: int  # number of actions after which the injected bug shows; without a bug, depth of the search
    mistake: str = "none"  # name of the variant whose bug this scene must expose
    bytes_most: int = following.MAX_MESSAGE_BYTES  # maximum size of the entries in a message


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


def play(scene: Scene, kind: type[RaftNode], depth: int | None = None, most: int = MAX_STATES) -> Explored:
    """Explore a scene with the given implementation; `most` limits the number of states."""
    usual, following.MAX_MESSAGE_BYTES = following.MAX_MESSAGE_BYTES, scene.bytes_most
    try:
        return explore(scene.make(kind), depth or scene.depth, most)
    finally:
        following.MAX_MESSAGE_BYTES = usual


@click.command()
@click.option("--depth", type=int, help="Depth that replaces the depth of each scene.")
@click.option(
    "--states", default=MAX_STATES, show_default=True, help="Maximum number of states in each scene."
)
@click.option(
    "--mistakes/--no-mistakes", default=True, help="Also run each scene with the bug that it must expose."
)
def main(depth: int | None, states: int, mistakes: bool) -> None:
    """Explore each scene and print the number of states and the depth that were reached."""
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
