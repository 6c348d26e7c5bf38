"""The simulated fleet at a small size: the guarantees hold, injected mistakes are caught, a seed is
reproducible.
"""

from __future__ import annotations

import copy as copying
import json
import os
import random
import subprocess
import sys
from typing import Any

import msgspec
import pytest

from lichencleat.config_distribution.feed import Publisher
from lichencleat.config_distribution.follow import RelayFollower
from lichencleat.config_distribution.terms import (
    FOLLOW,
    Batch,
    Change,
    FollowAnswer,
    FollowOutcome,
    FollowRequest,
)
from lichencleat.testkit.simulation.distribution import MAX_DELAY_MS, Job, Run
from lichencleat.testkit.simulation.distribution_events import EVENTS
from lichencleat.testkit.simulation.distribution_fleet import Size
from lichencleat.testkit.simulation.distribution_judge import Judge, Spans
from lichencleat.testkit.simulation.distribution_table import SharedCopy
from lichencleat.testkit.simulation.distribution_world import FIRST_WINDOW, SECOND, Costs, World, size_of

SMALL = Size(nodes=60, zones=3, regions=3, records=1_500)
LEAST = Size(nodes=15, zones=3, regions=3, records=600)


def play(event: str, seed: int = 1, size: Size = SMALL, **variants: Any) -> dict[str, Any]:
    return Run(Job(event, seed, size), **variants).play()


# -- guarantees ---------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("event", "seed"),
    [("power disk", 1), ("drawn", 4)],
)
def test_the_guarantees_hold_through_an_event(event: str, seed: int) -> None:
    figures = play(event, seed)
    assert figures["wrong"] == []
    assert figures["in_force"]["count"] > 100
    assert figures["in_force"]["all_ms"] < MAX_DELAY_MS
    assert figures["not_in_force_at_the_end"] == 0
    assert figures["age_ms"]["unknown"] == 0


@pytest.mark.parametrize(
    "event",
    [
        "replaced",
        "rack cold",
        "zone relay stopped",
        "region relay off",
        "region relay old",
        "taken back",
        "leader killed",
    ],
)
def test_the_guarantees_hold_through_further_events_at_the_smallest_size(event: str) -> None:
    figures = play(event, size=LEAST)
    assert figures["wrong"] == []
    assert figures["in_time"]


def test_a_relay_with_an_old_copy_is_left() -> None:
    figures = play("zone relay old", size=LEAST)
    assert figures["wrong"] == []
    assert figures["in_time"]
    assert figures["counters"]["node"]["relays behind"] > 0


def test_a_region_that_is_cut_off_reports_its_age_and_catches_up() -> None:
    run = Run(Job("region cut", 3, LEAST))
    run.fleet.start_all()
    run.fleet.world.clockwork.run(60 * SECOND)
    (region,) = run.fleet.world.cut
    ages = {
        site.name: site.host.follower.age(60 * SECOND) for site in run.fleet.nodes if site.region == region
    }
    assert min(ages.values()) > 38 * SECOND
    run.fleet.world.clockwork.run(round(run.scene.until * SECOND))
    figures = run.collect_figures()
    assert figures["wrong"] == []
    assert figures["back"]["back"]["count"] == len(ages)
    assert figures["back"]["back"]["all_ms"] < MAX_DELAY_MS
    assert figures["age_ms"]["all"] < MAX_DELAY_MS


def test_a_seed_gives_the_same_bytes_with_any_hash_seed() -> None:
    script = (
        "import json; from tests.config_distribution.test_distribution_sim import LEAST, play;"
        "print(json.dumps(play('drawn', 7, LEAST)))"
    )
    told = [
        subprocess.run(
            [sys.executable, "-c", script],
            env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True,
            check=True,
        ).stdout
        for seed in ("1", "2")
    ]
    assert told[0] == told[1]
    assert json.loads(told[0]) == json.loads(json.dumps(play("drawn", 7, LEAST)))


def test_the_scene_of_every_event_ends() -> None:
    for event in EVENTS:
        assert 60 < Run(Job(event, 1, LEAST)).scene.until < 400


# -- injected mistakes -------------------------------------------------------------------------------------


class TwoTurns(SharedCopy):
    """Half of a batch is visible a turn before the rest."""

    def step(self) -> bool:
        first, self.half = not getattr(self, "half", False), True
        ready = super().step()
        return ready and not first

    def take(self) -> tuple[Batch, ...]:
        self.half = False
        return super().take()

    def find(self, kind: str, name: str) -> bytes | None:
        if getattr(self, "half", False) and self.ready is not None and self.batches:
            changes = self.batches[0].changes
            if (kind, name) in [(each.kind, each.name) for each in changes[: (len(changes) + 1) // 2]]:
                return self.ready.find(kind, name)
        return super().find(kind, name)


class FollowsOlder(RelayFollower):
    """Accepts a relay's version even if it is lower."""

    def on_answer(self, now: int, relay: str, what: str, content: Any, why: str = "") -> None:
        if isinstance(content, FollowAnswer) and content.outcome == FollowOutcome.BEHIND and self.is_node:
            self.copy.table = self.copy.shared.versions[content.version]
        super().on_answer(now, relay, what, content, why)


class LosesAChange(SharedCopy):
    """Skips the first batch after a snapshot."""

    def take(self) -> tuple[Batch, ...]:
        past, lose = self.table, getattr(self, "fetched_whole", False)
        taken = super().take()
        self.fetched_whole = not taken
        if lose and taken:
            claimed = copying.copy(self.table)
            claimed.pages = list(past.pages)
            self.table = claimed
        return taken


class TrustsATorn(SharedCopy):
    """Doesn't check what the disk had, whose last pages were never written."""

    def __init__(self, shared: Any, version: int = 0, mark: bytes = b"") -> None:
        super().__init__(shared, version, mark)
        if version > 1:
            self.table = copying.copy(self.table)
            self.table.pages = self.table.pages[:-1_000] + [b""] * 1_000


class AcknowledgesEarly(SharedCopy):
    """Reports the version as in force a turn before the table has it."""

    def take(self) -> tuple[Batch, ...]:
        past = self.table
        taken = super().take()
        self.late, self.table = self.table, past
        return taken

    @property
    def version(self) -> int:
        late = getattr(self, "late", None)
        return self.table.version if late is None else late.version

    @property
    def digest(self) -> bytes:
        late = getattr(self, "late", None)
        return self.table.digest if late is None else late.digest

    def stage(self, batches: Any) -> None:
        if getattr(self, "late", None) is not None:
            self.table, self.late = self.late, None
        super().stage(batches)


class AcknowledgesMore(RelayFollower):
    """Acknowledges a version that is only staged."""

    def send_request(self, now: int, what: str, content: Any, hold: int = 0) -> None:
        if what == FOLLOW and self.is_node and self.copy.version > 1:
            content = FollowRequest(content.version + 1, content.digest, content.counts, content.hold)
        super().send_request(now, what, content, hold)


class TakesBlindly(SharedCopy):
    """Accepts bytes with a digest that doesn't match."""

    @property
    def digest(self) -> bytes:
        return bytes(16) if self.version > 1 else super().digest


class CountsTwice(Publisher):
    """Adds a node twice on its way up."""

    def counts(self, now: int) -> Any:
        return tuple(msgspec.structs.replace(each, nodes=2 * each.nodes) for each in super().counts(now))


@pytest.mark.parametrize(
    ("event", "variants", "told"),
    [
        ("calm", {"copy": TwoTurns}, "answers"),
        ("zone relay old", {"follower": FollowsOlder}, "went back"),
        ("replaced", {"copy": LosesAChange}, "holds something else"),
        ("rack disk", {"copy": TrustsATorn}, "holds"),
        ("calm", {"copy": AcknowledgesEarly}, "answers"),
        ("calm", {"follower": AcknowledgesMore}, "acknowledges"),
        ("calm", {"copy": TakesBlindly}, "another digest"),
        ("calm", {"feeder": CountsTwice}, "counted"),
    ],
)
def test_an_injected_mistake_is_caught(event: str, variants: dict[str, Any], told: str) -> None:
    figures = play(event, size=LEAST, **variants)
    assert any(told in each for each in figures["wrong"]), figures["wrong"]


class TellsLate(Publisher):
    """Sends news only after the hold, and then reports no change."""

    def on_applied(self, now: int, batches: tuple[Batch, ...]) -> None:
        if not self.name.startswith(("z01", "r1")) or now < 15 * SECOND:
            super().on_applied(now, batches)


def test_late_news_shows_in_the_time_until_it_is_in_force() -> None:
    figures = play("calm", size=LEAST, feeder=TellsLate)
    assert not figures["in_time"]
    assert figures["not_in_force_at_the_end"] > 0


class Spoils(Publisher):
    """One relay sends pages of another place."""

    def on_request(self, now: int, who: int, number: int, what: str, content: Any) -> None:
        super().on_request(now, who, number, what, content)
        if self.name == "z01.a":
            for kept in self.views:
                kept.view.packed = lambda number: b"no page"  # type: ignore[method-assign]


def test_corrupt_pages_are_requested_from_another_relay() -> None:
    run = Run(Job("rack cold", 2, LEAST), feeder=Spoils)
    figures = run.play()
    assert figures["wrong"] == []
    assert figures["not_in_force_at_the_end"] == 0


# -- the judge and the hosts --------------------------------------------------------------------------------


class Held:
    def __init__(self, version: int, digest: bytes, records: dict[str, bytes]) -> None:
        self.version, self.digest, self.records = version, digest, records

    def find(self, kind: str, name: str) -> bytes | None:
        return self.records.get(name)

    def items(self) -> Any:
        return [("route", name, value) for name, value in self.records.items()]

    def whole(self) -> Any:
        return self


def judge() -> Judge:
    made = Judge(1, b"1" * 16, [("route", "a", b"old")])
    made.on_published(Batch(2, 1, b"2" * 16, (Change("route", "a", b"new"),)), 1_000_000)
    return made


@pytest.mark.parametrize(
    ("held", "told"),
    [
        (Held(2, b"2" * 16, {"a": b"new"}), None),
        (Held(2, b"2" * 16, {"a": b"old"}), "answers"),
        (Held(2, b"1" * 16, {"a": b"new"}), "another digest"),
        (Held(2, b"2" * 16, {"a": b"new", "b": b"more"}), "holds"),
        (Held(3, b"3" * 16, {"a": b"new"}), "never published"),
        (Held(0, bytes(16), {}), "went back"),
    ],
)
def test_the_new_state_of_a_node_is_compared(held: Held, told: str | None) -> None:
    made = judge()
    made.on_node_started(0, "n", Held(1, b"1" * 16, {"a": b"old"}), "running")
    made.check_node(1_250_000, "n", held)
    assert (made.wrong == []) if told is None else (told in made.wrong[0])
    assert made.missing() == ([] if held.version >= 2 else ["n"])


def test_spans_begin_when_a_node_could_be_reached() -> None:
    made = judge()
    old, new = Held(1, b"1" * 16, {"a": b"old"}), Held(2, b"2" * 16, {"a": b"new"})
    for name in ("runs", "comes back"):
        made.on_node_started(0, name, old, "running")
    made.on_unreachable("comes back")
    made.check_node(1_250_000, "runs", new)
    made.on_reachable(9_000_000, "comes back")
    made.check_node(9_400_000, "comes back", new)
    assert made.in_force.figures() == {"p50_ms": 250, "p99_ms": 250, "all_ms": 250, "count": 1}
    assert made.back["back"].figures()["all_ms"] == 400


def test_parts_of_spans() -> None:
    spans = Spans()
    assert spans.at(0.5) is None
    for span in range(100):
        spans.add(1_000 * span)
    assert (spans.at(0.5), spans.at(0.99), spans.at(1.0)) == (49, 98, 99)


class Ends:
    """Both ends of a connection, as a host."""

    silent = False

    def __init__(self) -> None:
        self.got: list[Any] = []

    def link_opened(self, link: Any) -> None:
        self.got.append("opened")

    def link_lost(self, link: Any) -> None:
        self.got.append("lost")

    def caller_left(self, link: Any) -> None:
        self.got.append("left")

    def frame(self, link: Any, what: Any) -> None:
        self.got.append(what)


def pair(costs: Costs | None = None) -> tuple[World, Any, Any, Any]:
    world = World(random.Random(1), costs or Costs())
    caller, called = world.add("n", 0, "z", "node"), world.add("a", 1, "y", "zone relay")
    for site in (caller, called):
        site.host = Ends()
        world.start(site)
    link = world.open_link(caller, called)
    world.clockwork.run(2 * SECOND)
    assert caller.host.got == ["opened"]
    return world, caller, called, link


def test_frames_stay_in_order_and_large_ones_take_several_trips() -> None:
    world, caller, called, link = pair()
    for number in range(50):
        world.send(link, False, 200, 0, called.host.frame, number)
    world.clockwork.run(3 * SECOND)
    assert called.host.got == list(range(50))
    small = world.trips[0, 1][0]
    begin = world.clockwork.now
    world.send(link, True, 20 * FIRST_WINDOW, 0, lambda link: caller.host.got.append(world.clockwork.now))
    world.clockwork.run(9 * SECOND)
    assert caller.host.got[-1] - begin > 5 * small


def test_a_cut_connection_is_silent_and_an_ended_one_is_reported() -> None:
    world, caller, called, link = pair()
    world.cut.add(1)
    world.send(link, False, 200, 0, called.host.frame, "lost")
    world.clockwork.run(3 * SECOND)
    world.cut.clear()
    world.send(link, False, 200, 0, called.host.frame, "lost too: the connection is dead")
    world.clockwork.run(4 * SECOND)
    assert called.host.got == []
    world.close_link(link, by_caller=True)
    world.clockwork.run(60 * SECOND)
    assert called.host.got == ["left"]
    world, caller, called, link = pair()
    world.end(called, silent=False)
    world.clockwork.run(3 * SECOND)
    assert caller.host.got == ["opened", "lost"]


def test_a_core_works_sequentially_and_a_stopped_one_not_at_all() -> None:
    world, _, called, link = pair(Costs(opening=0))
    done: list[int] = []
    begin = world.clockwork.now
    for _ in range(3):
        world.work(called, 1_000, lambda: done.append(world.clockwork.now - begin))
    world.clockwork.run(begin + SECOND)
    assert done == [0, 1_000, 2_000]
    assert called.meter.queue == 2
    world.pause(called)
    world.send(link, False, 200, 0, called.host.frame, "held")
    world.clockwork.run(begin + 3 * SECOND)
    assert called.host.got == []
    world.resume(called)
    assert called.host.got == ["held"]


def test_the_size_of_a_frame() -> None:
    assert size_of(100) == 100 + 4 + 66
    assert size_of(1_448) == 1_448 + 4 + 2 * 66
