"""Model checking of configuration distribution: a source, two relays and a node, in all event orders.

`python -m lichencleat.testkit.explore_distribution` prints for each scene the depth that was reached, and the
injected bugs that were found. The setting and the rules are in `tiny_distribution.py`. Most scenes begin with
version 1 in force everywhere and deliver some messages at once, which allows a deeper search.
"""

from __future__ import annotations

import pickle
import time
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, replace
from typing import Any

import click

from lichencleat.config_distribution.feed import Publisher
from lichencleat.config_distribution.follow import RelayFollower, SentRequest
from lichencleat.config_distribution.taking import PendingUpdate
from lichencleat.config_distribution.terms import (
    FOLLOW,
    Batch,
    FollowAnswer,
    FollowOutcome,
    FollowRequest,
    PagesAnswer,
    SnapshotHead,
)
from lichencleat.testkit.explore import Explored, explore
from lichencleat.testkit.tiny_distribution import NODE, RELAYS, TICK, Kinds, Limits, World
from lichencleat.testkit.tiny_table import Tiny, page_digest

MAX_STATES = 60_000  # states explored in one scene; this takes about 40 s and 300 MB


class Moment:
    """State for the model checker, pickled so that some 100,000 states fit in memory."""

    def __init__(self, world: World) -> None:
        self.packed = pickle.dumps(world, pickle.HIGHEST_PROTOCOL)
        self.possible = tuple(world.actions())
        self.marked = hash(world.key())
        self.wrong = world.wrong

    def actions(self) -> Iterable[Hashable]:
        """Return all actions that are possible in this state, in a fixed order."""
        return self.possible

    def after(self, action: Any) -> Moment:
        """Return the state that follows the action; this state stays unchanged."""
        world: World = pickle.loads(self.packed)
        world.act(action)
        return Moment(world)

    def key(self) -> Hashable:
        """Return a key; states with equal keys have the same possible futures."""
        return self.marked

    def violation(self) -> str | None:
        """Return the description of the violated rule, or None."""
        return self.wrong


@dataclass(frozen=True)
class Scene:
    """Limits, search depth and start of one scene."""

    limits: Limits
    depth: int  # number of actions up to which CI explores the scene
    warm: bool = True  # the scene begins with version 1 in force everywhere
    script: tuple[Any, ...] = ()  # actions that happen before the search


LAGS = (("publish",), ("deliver", NODE, "A"), ("publish",), ("publish",))  # the request of the node follows
SCENES = {
    "cold": Scene(Limits(versions=2, ticks=2, losses=1, back=0), 5, warm=False),
    "node": Scene(Limits(versions=2, ticks=3, losses=1, back=0, slices=True, slow=(NODE,), loses=(NODE,)), 7),
    "relay lags": Scene(Limits(versions=2, ticks=3, losses=0, back=0, slow=("A", NODE)), 7),
    "put back": Scene(Limits(versions=1, ticks=5, losses=1, back=1, slow=("A",), loses=(NODE,)), 5),
    "snapshot": Scene(
        Limits(versions=4, ticks=2, losses=1, back=0, window=1, slow=(NODE,), loses=(NODE,)), 9, script=LAGS
    ),
    "snapshot moves": Scene(
        Limits(versions=4, ticks=1, losses=1, back=0, window=1, slow=(NODE,), loses=(NODE,)),
        10,
        script=(*LAGS, *(("deliver", NODE, "A"),) * 6, ("publish",)),
    ),
    "spoilt": Scene(Limits(versions=2, ticks=1, losses=1, back=0, spoils=1, slow=(NODE,), loses=(NODE,)), 9),
    "spoilt piece": Scene(
        Limits(versions=3, ticks=1, losses=1, back=0, spoils=1, window=1, slow=(NODE,), loses=(NODE,)),
        9,
        script=LAGS,
    ),
    "cut off": Scene(Limits(versions=1, ticks=4, losses=1, back=0, slow=RELAYS, loses=RELAYS), 6),
}


def begun(scene: Scene, kinds: Kinds) -> World:
    """Return the state in which the scene begins."""
    if not scene.warm:
        return World(kinds, scene.limits)
    world = World(kinds, replace(scene.limits, versions=1, slow=()))
    world.act(("publish",))
    for _ in range(2):
        world.passes(TICK)
        world.act(("step", NODE)) if world.processes[NODE].stepping else world.settle()
    world.limits, world.left = scene.limits, replace(scene.limits)
    for action in scene.script:
        world.act(action)
    return world


def play(scene: Scene, kinds: Kinds, depth: int, most: int = MAX_STATES) -> Explored:
    """Explore all orders of up to `depth` actions from the start of the scene, at most `most` states."""
    begin = begun(scene, kinds)
    if begin.wrong is not None:  # the scripted start may already break a rule
        return Explored(1, violation=begin.wrong)
    return explore(Moment(begin), depth, most)


# -- injected bugs, each of which omits one safeguard ------------------------------------------------


class TwoTurns(Tiny):
    """Injected bug: the first change of a batch is in force before the other changes."""

    def take(self) -> tuple[Batch, ...]:
        changes = [change for batch in self.batches for change in batch.changes]
        past = self.content
        taken = super().take()
        if taken:
            self.content = (self.content[0], *past[1:])
            self.rest = changes[1:]
        return taken


class Lax(PendingUpdate):
    """Injected bug: accepts a snapshot of any version."""

    def begin(self, head: SnapshotHead, relay: str, mark: bytes, knows: int | None) -> str:
        self.copy.begin(head)
        self.start("snapshot", relay, mark, knows)
        self.head = head
        return ""


class OlderRelay(RelayFollower):
    """Injected bug: takes the version of the relay even if the version is older."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.pending = Lax(self.copy)

    def on_behind(self, now: int, relay: str, fed: FollowAnswer) -> None:
        self.send_request(now, "digests", None)


class StreamFromNow(RelayFollower):
    """Injected bug: after a snapshot, asks for batches after the version of the answer that required it."""

    newest = 0

    def on_follow_answer(self, now: int, relay: str, question: SentRequest, fed: FollowAnswer) -> None:
        if fed.outcome == FollowOutcome.SNAPSHOT:
            self.newest = fed.version
        super().on_follow_answer(now, relay, question, fed)

    def apply_update(self, now: int) -> None:
        copy: Any = self.copy
        if self.pending.what == "snapshot":
            head = copy.head
            copy.head = SnapshotHead(self.newest, head.digest, head.pages, head.age)
        super().apply_update(now)


class Trusting(Tiny):
    """Base of two injected bugs: accepts fetched pages whatever digests the snapshot head has."""

    def trusts(self) -> None:
        """Replace the digests in the head by those of the fetched pages."""
        assert self.head is not None
        digests = self.digests()
        for number, page in self.pages.items():
            digests[number] = page_digest(number, page)
        self.head = SnapshotHead(self.head.version, self.head.digest, b"".join(digests), self.head.age)

    def step(self) -> bool:
        return super().step() if self.batches else not self.missing(1)


class OldPages(Trusting):
    """Injected bug: a snapshot continued from another relay keeps the pages of the earlier snapshot."""

    def begin(self, head: SnapshotHead) -> None:
        super().begin(head)
        self.trusts()


class SpoiltPiece(Trusting):
    """Injected bug: accepts fetched pages without a check."""

    def put(self, pages: PagesAnswer) -> bool:
        self.pages.update(pages.pages)
        self.trusts()
        return True


class SpoiltBatch(Tiny):
    """Injected bug: does not compare the digest of a batch."""

    def step(self) -> bool:
        return bool(self.batches) or super().step()


class EarlyWord(RelayFollower):
    """Injected bug: requests the batches after a staged batch, which acknowledges the batch too early."""

    def step(self) -> None:
        super().step()
        copy: Any = self.copy
        if self.pending.what == "batches" and self.relay is not None and self.request is None:
            last = copy.batches[-1]
            self.send_request(self.last_seen_at, FOLLOW, FollowRequest(last.version, last.digest, ()))


class AgeFromZero(Publisher):
    """Injected bug: takes the age of each report from above as zero."""

    def set_age(self, now: int, age: int) -> None:
        super().set_age(now, 0)


class AgeOfStart(Publisher):
    """Injected bug: takes the age of the table as zero at the start of the process."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.age_report = (args[-1], 0)


class AgeWhenHeard(RelayFollower):
    """Injected bug: counts the age of an answer from its arrival."""

    heard = 0

    def on_answer(self, now: int, relay: str, what: str, content: Any, why: str = "") -> None:
        self.heard = now
        super().on_answer(now, relay, what, content, why)

    def advance_known_at(self, moment: int | None) -> None:
        super().advance_known_at(moment if moment is None else self.heard)


MISTAKES: dict[str, tuple[str, Kinds, int]] = {  # bug -> (scene, classes with the bug, depth that finds it)
    "a batch in two turns": ("node", Kinds(table=TwoTurns), 4),
    "an older relay followed": ("put back", Kinds(follower=OlderRelay), 8),
    "a change lost between snapshot and stream": ("snapshot", Kinds(follower=StreamFromNow), 9),
    "pages of two snapshots in one": ("snapshot moves", Kinds(table=OldPages), 10),
    "a spoilt piece trusted": ("spoilt piece", Kinds(table=SpoiltPiece), 9),
    "a spoilt batch trusted": ("spoilt", Kinds(table=SpoiltBatch), 4),
    "acknowledged before it is in force": ("node", Kinds(follower=EarlyWord), 4),
    "an age from zero": ("relay lags", Kinds(feeder=AgeFromZero), 4),
    "an age from the start": ("put back", Kinds(feeder=AgeOfStart), 4),
    "an age from when it was heard": ("relay lags", Kinds(follower=AgeWhenHeard), 4),
}


@click.command()
@click.option("--deeper", default=3, show_default=True, help="Actions beyond the depth that CI explores.")
@click.option("--most", default=MAX_STATES, show_default=True, help="Maximum number of states in each scene.")
@click.option("--only", default="", help="Name of the only scene to explore.")
def main(deeper: int, most: int, only: str) -> None:
    """Check the implementation in all event orders, and check that each injected bug is found."""
    failed = False
    for name, scene in SCENES.items():
        if only and name != only:
            continue
        begin = time.monotonic()
        found = play(scene, Kinds(), scene.depth + deeper, most)
        failed = failed or found.violation is not None
        click.echo(f"{name}: {found}, {time.monotonic() - begin:.0f} s")
        for action in found.history:
            click.echo(f"  {action}")
    for name, (scene_name, kinds, depth) in MISTAKES.items():
        if only and scene_name != only:
            continue
        caught = play(SCENES[scene_name], kinds, depth + deeper, most)
        failed = failed or caught.violation is None
        said = f"{len(caught.history)} steps, {caught.states} states"
        click.echo(f"  {name}: {caught.violation or 'NOT CAUGHT'}, {said}")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()
