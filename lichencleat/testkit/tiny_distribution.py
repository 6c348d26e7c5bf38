"""Setting for configuration distribution: a source, two relays, a node, the real logic and three records.

`explore_distribution.py` explores all event orders, `tests/config_distribution/test_tree.py` random orders.
No message arrives during a tick, so silence and late answers are covered. Links may be lost, answers may be
corrupted, and a relay may restart from an old copy of its disk. Rules that are checked in each state: no
version goes back; each version is complete and has the published bytes; no version is acknowledged before the
version is in force; no reported age is lower than the true age.
"""

from __future__ import annotations

import io
import pickle
import random
from collections.abc import Hashable, Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from lichencleat.config_distribution.acts import Action
from lichencleat.config_distribution.counts import MAX_AGE_US
from lichencleat.config_distribution.errors import CorruptTableError
from lichencleat.config_distribution.feed import Answer, Publisher
from lichencleat.config_distribution.follow import RelayFollower, Timing
from lichencleat.config_distribution.terms import (
    Batch,
    Change,
    FollowAnswer,
    FollowOutcome,
    FollowRequest,
    PagesAnswer,
    SnapshotHead,
)
from lichencleat.config_distribution.window import Window
from lichencleat.testkit.checkers.distribution import Acknowledged, DistributionWatch, StateReport
from lichencleat.testkit.tiny_table import MARK, NAMES, Tiny, changes, digest_of, published

SOURCE, NODE = "s", "n"
RELAYS = ("A", "B")
TICK = 1_100_000  # µs: longer than a relay holds a request; two ticks are longer than any timeout
MAX_WAKES = 200  # timer events of one process in a tick; more of them indicate an endless loop


class TinyTimes(Timing):
    """Timing whose single instance all states share when they are pickled."""

    def __reduce__(self) -> Any:
        return tiny_times, ()


def tiny_times() -> Timing:
    return TIMES


TIMES = TinyTimes(
    open_delay=(0, 0), first_choice_probe_interval=(2_000_000, 2_000_000),
    busy_retry_delay=(1_000_000, 1_000_000), failed_exclusion=(2_500_000, 2_500_000),
    wrong_exclusion=(5_000_000, 5_000_000), backoff=(400_000, 800_000),
    probe_interval=(400_000, 800_000),
)  # fmt: skip


class Low(random.Random):
    """Random generator without randomness, because the model checker already tries all event orders."""

    def randint(self, a: int, b: int) -> int:
        return a

    def random(self) -> float:
        return 0.5

    def shuffle(self, x: Any) -> None:
        pass

    def __reduce__(self) -> Any:
        return low, ()


def low() -> Low:
    return LOW


LOW = Low()


@dataclass
class Process:
    """A source, relay or node with its table; `life` counts its starts."""

    name: str
    table: Tiny
    feeder: Publisher | None = None
    follower: RelayFollower | None = None
    life: int = 1
    stepping: bool = False
    had: tuple[int, ...] = (0,)  # versions that an old copy of the disk may hold


@dataclass
class Link:
    """One connection with at most one message in flight."""

    caller: str
    called: str
    who: int
    message: tuple[Any, ...] = ("greeting",)


@dataclass(frozen=True)
class Limits:
    """Maximum number of each event in one history, and the parts that may be affected."""

    versions: int = 3
    ticks: int = 4
    losses: int = 1
    back: int = 1  # restarts of a relay from an older copy of its disk
    spoils: int = 0
    # Processes whose messages arrive at any time; the messages of other processes arrive at once.
    slow: tuple[str, ...] = (*RELAYS, NODE)
    loses: tuple[str, ...] = (*RELAYS, NODE)  # processes whose links may be lost
    window: int = 8  # number of batches that a publisher keeps
    slices: bool = False  # True: slices of the node may be delayed
    tiers: tuple[tuple[str, ...], ...] = (RELAYS, (SOURCE,))  # upstream processes of the node, by preference


@dataclass(frozen=True)
class Kinds:
    """Classes of the setting: the real classes or classes with an injected bug."""

    feeder: type[Publisher] = Publisher
    follower: type[RelayFollower] = RelayFollower
    table: type[Tiny] = Tiny


class World:
    """State of the setting."""

    def __init__(self, kinds: Kinds, limits: Limits) -> None:
        self.kinds, self.limits = kinds, limits
        self.now = 1_000_000  # µs
        self.left = replace(limits)
        self.published = {0: self.now}  # version -> time of publication in µs
        self.processes: dict[str, Process] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.watch = DistributionWatch()
        self.wrong: str | None = None
        self.mute: frozenset[Any] = frozenset()  # links and called processes whose messages do not arrive
        self.begins(SOURCE, Tiny(), ())
        for name in RELAYS:
            self.begins(name, kinds.table(), ((SOURCE,),))
        self.begins(NODE, kinds.table(), limits.tiers)
        for name in (*RELAYS, NODE):
            self.stir(name)

    def begins(self, name: str, table: Tiny, tiers: Sequence[Sequence[str]]) -> None:
        """Start or restart a process with this table."""
        process = self.processes.get(name) or Process(name, table)
        process.table, process.stepping = table, False
        if name != NODE:
            process.feeder = self.kinds.feeder(name, "z", table, self.now)
            window = process.feeder.window
            process.feeder.window = Window(window.version, window.digest, self.limits.window)
        if name == SOURCE:
            table.mark = MARK
            assert process.feeder is not None
            process.feeder.set_age(self.now, 0)
        else:
            process.follower = self.kinds.follower(tiers, table, LOW, self.now, name == NODE, "z", TIMES)
        self.processes[name] = process

    # -- actions --------------------------------------------------------------------------

    def actions(self) -> Iterable[Hashable]:
        """Yield all actions that are possible in this state, in a fixed order."""
        left = self.left
        if self.wrong is not None:
            return
        if left.versions:
            yield ("publish",)
        for key, link in self.links.items():
            if link.message:  # no message is in flight otherwise
                yield ("deliver", *key)
                if left.spoils and self.can_spoil(link):
                    yield ("spoil", *key)
            if left.losses and key[0] in self.limits.loses:
                yield ("lose", *key)
        for name, process in self.processes.items():
            if process.stepping:
                yield ("step", name)
            if name in RELAYS and left.back:
                for version in process.had:
                    if version < process.table.version:
                        yield ("back", name, version)
        if left.ticks:
            yield ("tick",)

    def act(self, action: Any) -> None:
        """Carry out an action, deliver the messages that are due at once, and check the rules."""
        getattr(self, action[0])(*action[1:])
        self.settle()
        self.judge()
        for process in self.processes.values():  # these values do not affect later decisions
            if process.feeder is not None:
                process.feeder.counters.clear()
                process.feeder.shared_answers.clear()
                process.feeder.credit_at = self.now
            if process.follower is not None:
                process.follower.counters.clear()
                process.follower.last_seen_at = self.now

    def settle(self) -> None:
        """Deliver all messages of processes that are not slow."""
        while self.wrong is None:
            slow, mute = self.limits.slow, self.mute
            ready = (
                key
                for key, link in self.links.items()
                if link.message and key[0] not in slow and key not in mute and key[1] not in mute
            )
            key = next(ready, None)
            if key is None:
                return
            self.deliver(*key)

    def key(self) -> bytes:
        """Return a key; states with equal keys have the same possible futures."""
        links = [self.links[key] for key in sorted(self.links)]
        told = io.BytesIO()
        pickler = pickle.Pickler(told, pickle.HIGHEST_PROTOCOL)
        pickler.fast = True  # no memo: shared objects are written twice, so equal states have equal keys
        pickler.dump((self.now, self.left, self.published, links, self.processes))
        return told.getvalue()

    def spend(self, what: str) -> None:
        """Count one event against its limit."""
        self.left = replace(self.left, **{what: getattr(self.left, what) - 1})

    def publish(self) -> None:
        """The source publishes the next version."""
        self.spend("versions")
        source = self.processes[SOURCE]
        table = source.table
        past, version = table.version, table.version + 1
        table.version, table.content = version, published(version)
        table.digest = digest_of(table.content)
        self.published[version] = self.now
        assert source.feeder is not None
        source.feeder.on_applied(self.now, (Batch(version, past, table.digest, changes(past, version)),))
        self.stir(SOURCE)

    def deliver(self, caller: str, called: str) -> None:
        """Deliver the message on the link."""
        link = self.links[caller, called]
        message, link.message = link.message, ()
        above, below = self.processes[called], self.processes[caller]
        assert above.feeder is not None and below.follower is not None
        if message[0] == "greeting":
            above.feeder.add_subscriber(self.now, link.who)
            below.follower.on_link_opened(self.now, called, above.table.mark)
        elif message[0] == "question":
            above.feeder.on_request(self.now, link.who, 1, *message[1:])
        else:
            below.follower.on_answer(self.now, called, *message[1:])
            self.tells_age(below)
        self.stir(called)
        self.stir(caller)

    def lose(self, caller: str, called: str) -> None:
        """The link is lost; counts against the limit."""
        self.spend("losses")
        self.loses(caller, called)

    def loses(self, caller: str, called: str) -> None:
        """Close the link and report the loss to both ends."""
        self.closes(caller, called)
        follower = self.processes[caller].follower
        assert follower is not None
        follower.on_link_lost(self.now, called, "lost")
        self.stir(caller)

    def closes(self, caller: str, called: str) -> None:
        """Close the link and remove the subscriber from the publisher."""
        link = self.links.pop((caller, called), None)
        feeder = self.processes[called].feeder
        if link is not None and feeder is not None:
            feeder.remove_subscriber(self.now, link.who)

    def back(self, name: str, version: int) -> None:
        """The relay restarts on another machine from an old copy of its disk."""
        self.spend("back")
        process = self.processes[name]
        process.life += 1
        callers = [key for key in self.links if key[1] == name]
        for key in [key for key in self.links if key[0] == name]:
            self.closes(*key)
        self.begins(name, self.kinds.table(version), ((SOURCE,),))
        for key in callers:
            self.loses(*key)
        self.stir(name)

    def can_spoil(self, link: Link) -> bool:
        """Return whether the link carries an answer with batches or pages."""
        content = link.message[2] if link.message[0] == "answer" else None
        if isinstance(content, FollowAnswer):
            return content.outcome == FollowOutcome.NEWS
        return isinstance(content, PagesAnswer) and bool(content.pages)

    def spoil(self, caller: str, called: str) -> None:
        """Corrupt the answer in flight on the link."""
        self.spend("spoils")
        link = self.links[caller, called]
        kind, what, content = link.message
        if isinstance(content, FollowAnswer):
            last = content.batches[-1]
            wrong = msgspec.structs.replace(last, changes=(Change("r", "c", b"wrong"),))
            content = msgspec.structs.replace(content, batches=(*content.batches[:-1], wrong))
        else:
            pages = ((content.pages[0][0], b"wrong"), *content.pages[1:])
            content = msgspec.structs.replace(content, pages=pages)
        link.message = (kind, what, content)

    def step(self, name: str) -> None:
        """Run one slice of the staged update of the process."""
        process = self.processes[name]
        process.stepping = False
        try:
            ready: bool | None = process.table.step()
        except CorruptTableError:
            ready = None
        assert process.follower is not None
        process.follower.on_stepped(self.now, ready)
        self.stir(name)

    def tick(self) -> None:
        """Advance the clock by TICK without message delivery; timers run."""
        self.spend("ticks")
        self.passes(TICK)

    def passes(self, span: int) -> None:
        """Advance the clock by `span` µs without message delivery; timers run."""
        until = self.now + span
        for _ in range(MAX_WAKES * len(self.processes)):
            due = [(moment, name) for name in self.processes for moment in self.moments(name)]
            moment, name = min(due)
            if moment > until:
                self.now = until
                self.source_knows()
                return
            self.now = max(self.now, moment)
            self.source_knows()
            follower = self.processes[name].follower
            if follower is not None:
                follower.on_timer(self.now)
            self.stir(name)
            self.judge()
        raise RuntimeError(f"timers run in an endless loop at {self.now} µs")

    def runs(self, span: int) -> None:
        """Advance the clock by `span` µs; timers run, and messages arrive at once unless muted."""
        until = self.now + span
        self.settle()
        while self.wrong is None:
            moment, name = min((moment, name) for name in self.processes for moment in self.moments(name))
            if moment > until:
                break
            self.now = max(self.now, moment)
            follower = self.processes[name].follower
            if follower is not None:
                follower.on_timer(self.now)
            self.stir(name)
            self.settle()
            self.judge()
        self.now = until

    def moments(self, name: str) -> Iterable[int]:
        """Yield the times at which timers of the process are due."""
        process = self.processes[name]
        if process.follower is not None:
            yield process.follower.deadline()
        deadline = process.feeder.deadline() if process.feeder is not None else None
        if deadline is not None:
            yield deadline

    def source_knows(self) -> None:
        """Report to the publisher of the source that its table is current."""
        feeder = self.processes[SOURCE].feeder
        assert feeder is not None
        feeder.set_age(self.now, 0)

    # -- host of the processes -----------------------------------------------------------------------

    def stir(self, name: str) -> None:
        """Carry out all decisions of the process."""
        process = self.processes[name]
        if name == SOURCE:
            self.source_knows()
        feeder, follower = process.feeder, process.follower
        while feeder is not None and (told := feeder.next_decision(self.now)) is not None:
            for link in self.links.values():
                if link.called == name and link.who == told.subscriber_id:
                    content = told.content if isinstance(told, Answer) else None
                    link.message = ("answer", what_of(content), content)
        while follower is not None:
            decision = follower.next_decision(self.now)
            if decision is not None:
                self.carry_out(process, decision)
            elif follower.deadline() <= self.now:
                follower.on_timer(self.now)
            else:
                break
        if process.stepping and not (self.limits.slices and name == NODE):
            self.step(name)

    def carry_out(self, process: Process, decision: Any) -> None:
        """Carry out one decision of a follower."""
        key = (process.name, decision.relay)
        if decision.act is Action.OPEN:
            taken = [link.who for link in self.links.values() if link.called == decision.relay]
            who = next(number for number in range(9) if number not in taken)
            self.links[key] = Link(*key, who)
        elif decision.act is Action.CLOSE:
            self.closes(*key)
        elif decision.act is Action.ASK:
            self.asks(process, decision.content)
            self.links[key].message = ("question", decision.what, decision.content)
        elif decision.act is Action.STEP:
            process.stepping = True
        elif decision.act is Action.APPLIED:
            self.judge()
            process.had = tuple(sorted({*process.had, process.table.version}))
            if process.feeder is not None:
                process.feeder.on_applied(self.now, decision.batches)
                self.tells_age(process)
                self.stir(process.name)

    def tells_age(self, process: Process) -> None:
        """Report the age of the follower to the publisher of the same process."""
        if process.feeder is not None and process.follower is not None:
            process.feeder.set_age(self.now, process.follower.age(self.now))

    # -- rules --------------------------------------------------------------------------------

    def asks(self, process: Process, content: Any) -> None:
        """Check that a request acknowledges only the version in force."""
        if isinstance(content, FollowRequest):
            self.judge()
            told = Acknowledged(self.now, process.name, content.version, content.digest.hex())
            self.watch.acknowledges([told])
            table = process.table
            if (content.version, content.digest) != (table.version, table.digest):
                self.says(f"{process.name} acknowledges {content.version} and has {table.version}")

    def says(self, wrong: str) -> None:
        """Record the first violation."""
        self.wrong = self.wrong or wrong

    def judge(self) -> None:
        """Check the rules for all processes."""
        for process in self.processes.values():
            table = process.table
            answers = dict(zip((f"pair/{each}" for each in NAMES), table.content, strict=True))
            said = StateReport(
                self.now, process.name, process.life, table.version, table.digest.hex(), answers
            )
            self.watch.in_force(said)
            self.wrong = self.wrong or self.watch.wrong
            if table.content != published(table.version):
                self.says(f"{process.name} has {table.content} as version {table.version}")
            if process.follower is not None:
                self.judge_age(process.name, table.version, process.follower.age(self.now))
            if process.feeder is not None:
                self.judge_age(process.name, process.feeder.window.version, process.feeder.age(self.now))

    def judge_age(self, name: str, version: int, age: int) -> None:
        """Check that no newer version was published before the moment that the age refers to."""
        newer = self.published.get(version + 1)
        if age < MAX_AGE_US and newer is not None and self.now - age > newer:
            self.says(f"{name} says {age} µs of version {version}, {self.now - newer} µs after the next one")


def what_of(content: Any) -> str:
    """Return the name of the request that the content answers."""
    kinds = {FollowAnswer: "follow", SnapshotHead: "digests", PagesAnswer: "pages"}
    return kinds.get(type(content), "follow")
