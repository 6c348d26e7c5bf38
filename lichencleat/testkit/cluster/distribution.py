"""The configuration's distribution by real processes: three voters, a relay for each region, two for each
zone, nodes that hold a table, and a tapped link before each process that is called.

What every node says that it answers is read as it comes and judged, together with what it acknowledged.
"""

from __future__ import annotations

import itertools
import json
import random
import signal
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Any

import msgspec
import yaml

from lichencleat.config_distribution.source import PublishCommand, PublishResult
from lichencleat.config_distribution.terms import Change
from lichencleat.config_distribution.voting import STATE_PART
from lichencleat.testkit.checkers.distribution import (
    LEFT,
    PAIR,
    RIGHT,
    TENANT,
    Acknowledged,
    DistributionWatch,
    StateReport,
)
from lichencleat.testkit.cluster.distribution_parts import RelayProcess, Watcher
from lichencleat.testkit.cluster.relay import CLIENT, LOCAL
from lichencleat.testkit.cluster.rig import GROUP, PATIENCE, Rig, Voter
from lichencleat.testkit.cluster.tap import TappedRelays, moment
from lichencleat.transport.errors import RequestFailedError
from lichencleat.transport.group_client import GroupClient

PAIRS, TENANTS = 8, 8  # records that are looked at
BULK, BULK_EACH = 2_000, 60  # routes, and those changed by a batch: it takes several slices
FILLED = 400  # records of a batch that fills the table
SERIAL = "serial/all"  # the number of the batch
TIMES = {  # µs: what takes minutes in the field takes seconds here, as a test has no more
    "first_choice_probe_interval": (500_000, 1_500_000),
    "failed_exclusion": (500_000, 1_500_000),
    "wrong_exclusion": (1_000_000, 3_000_000),
    "busy_retry_delay": (200_000, 600_000),
    "backoff": (200_000, 1_000_000),
    "probe_interval": (500_000, 2_000_000),
}

encode_value = msgspec.json.Encoder(order="sorted").encode


def change(name: str, value: Any) -> Change:
    kind, _, rest = name.partition("/")
    return Change(kind, rest, None if value is None else encode_value(value))


def looked_at() -> list[str]:
    """Names of the records that each node tells."""
    pairs = [f"{PAIR}/{side}{number}" for number in range(PAIRS) for side in (LEFT, RIGHT)]
    return [*pairs, *(f"{TENANT}/t{number}" for number in range(TENANTS)), SERIAL]


def batch_of(number: int, rng: random.Random) -> dict[str, Any]:
    """Records that hold whole or not at all: two of a pair, tenants, routes in bulk."""
    pair = {"n": number} if number % 7 else None  # now and then both go
    made: dict[str, Any] = {f"{PAIR}/{side}{number % PAIRS}": pair for side in (LEFT, RIGHT)}
    for each in rng.sample(range(TENANTS), 3):
        made[f"{TENANT}/t{each}"] = {"tenant": f"t{each}", "n": number}
    for each in rng.sample(range(BULK), BULK_EACH):
        made[f"route/r{each}"] = {"n": number, "to": "x" * rng.randrange(40, 160)}
    made[SERIAL] = {"n": number}
    return made


class OtherVoter(Voter):
    """The only one of another group."""

    def write_file(self) -> None:
        self.file.write_text(yaml.safe_dump({"quorum": self.settings}))


class DistributionRig(Rig):
    """Owns all processes; given back in `close`, also when a test fails."""

    def __init__(
        self,
        path: Path,
        zones: Sequence[str] = ("a", "b"),
        nodes: int = 3,
        disk: str = "held back",
        seed: int = 1,
        direct: bool = False,
    ) -> None:
        """One region a zone, with a relay; two relays a zone; so many watchers a zone.

        `direct`: nothing stands before the processes, so that it costs no time: for measurements.
        """
        self.direct = direct
        self.rng = random.Random(f"distribution {seed}")
        self.disk = disk
        self.watchers_times = dict(TIMES)
        self.looks_at = looked_at()
        super().__init__(path, disk=disk, relays=TappedRelays(self.rng))
        self.watch = DistributionWatch()
        self.history: list[StateReport] = []
        self.acknowledged: list[Acknowledged] = []
        self.judged_to = (0, 0)  # of these two
        self.number = 0  # of the last batch that was made
        self.version = 0  # of the last that was confirmed
        self.results: list[tuple[dict[str, Any], Any]] = []  # of those published meanwhile
        self.under_way = False
        self.feeding: dict[str, RelayProcess] = {}
        self.watchers: dict[str, Watcher] = {}
        self.wrong_ones: dict[str, Watcher] = {}  # started with a mistake: judged apart
        self.zones = tuple(zones)
        self.publisher: Any = None
        for voter in self.voters.values():
            if direct:
                voter.relay = voter.port
            voter.settings |= {"distribution": True, "address": voter.address}
        source = [each.address for each in self.voters.values()]
        for zone in zones:
            region = self.relay(f"r{zone}", "", [source])
            for at in (1, 2):
                self.relay(f"{zone}{at}", zone, [[region.address], source])
            for number in range(1, nodes + 1):
                keeps = number < nodes or nodes == 1  # the last one has no disk
                self.watcher(f"{zone}-n{number}", zone, self.sources(zone), keeps=keeps)

    def relay(self, name: str, zone: str, sources: list[list[str]], **more: Any) -> RelayProcess:
        self.feeding[name] = RelayProcess(self, name, zone, sources, **more)
        return self.feeding[name]

    def watcher(self, name: str, zone: str, sources: list[list[str]], **more: Any) -> Watcher:
        self.watchers[name] = Watcher(self, name, zone, sources, **more)
        return self.watchers[name]

    def wrong_one(self, mistake: str, zone: str, sources: list[list[str]] | None = None) -> Watcher:
        name = f"wrong-{mistake.replace(' ', '-')}"
        made = Watcher(self, name, zone, sources or self.sources(zone), mistake=mistake)
        self.wrong_ones[name] = made
        return made

    def sources(self, zone: str) -> list[list[str]]:
        source = [each.address for each in self.voters.values()]
        near = [self.feeding[f"{zone}{at}"].address for at in (1, 2)]
        return [near, [self.feeding[f"r{zone}"].address], source]

    def start(self) -> None:
        """Founds the group, fills the table, starts all; returns once every watcher has what there is."""
        self.form()
        self.publisher = self.client()
        for each in (*self.feeding.values(), *self.watchers.values()):
            each.start()
        for begin in range(0, BULK, FILLED):
            filled = {f"route/r{at}": {"n": 0, "to": "x"} for at in range(begin, begin + FILLED)}
            self.publish(filled)
        self.publish()
        self.all_have()

    # -- publishing ----------------------------------------------------------------------------------

    def publish(self, records: dict[str, Any] | None = None) -> int:
        """A drawn batch, or this one. Its version; raises RequestFailedError."""
        self.number += 1
        records = batch_of(self.number, self.rng) if records is None else records
        changes = [change(name, value) for name, value in records.items()]
        told = self.ask(self.publisher.propose, STATE_PART, PublishCommand(tuple(changes)), PATIENCE)
        published = PublishResult(*told)
        assert published.done, published.why
        self.confirms(published.version, records)
        return published.version

    def publishes_on(self, patience: float = 3.0) -> None:
        """Begins with a drawn batch unless one is under way; what became of the last one is judged."""
        while self.results:
            records, told = self.results.pop(0)
            self.under_way = False
            if told is not None and PublishResult(*told).done:
                self.confirms(PublishResult(*told).version, records)
        if self.under_way:
            return
        self.under_way = True
        self.number += 1
        records = batch_of(self.number, self.rng)
        changes = tuple(change(name, value) for name, value in records.items())

        def begin() -> None:
            made = self.publisher.propose(STATE_PART, PublishCommand(changes), patience)
            made.addErrback(lambda failure: failure.trap(RequestFailedError) and None)
            made.addCallback(lambda told: self.results.append((records, told)))

        self.relays.reactor.callFromThread(begin)

    def confirms(self, version: int, records: dict[str, Any]) -> None:
        self.version = max(version, self.version)
        self.watch.publishes(version, {name: records[name] for name in looked_at() if name in records})

    # -- looking -------------------------------------------------------------------------------------

    def listen(self) -> None:
        """Reads what was acknowledged until now, and then what was said: that is never behind it."""
        told = self.relays.told()
        for name, watcher in (*self.watchers.items(), *self.wrong_ones.items()):
            self.history += [
                StateReport(line["at"], name, line["life"], line["version"], line["digest"], line["answers"])
                for line in watcher.hear()
            ]
        self.acknowledged += told

    def hear(self) -> None:
        """Reads and judges what was said and acknowledged until now. Raises AssertionError."""
        self.listen()
        said, told = self.judged_to
        for each in self.history[said:]:
            if each.who in self.watchers:
                self.watch.in_force(each)
        self.watch.acknowledges(each for each in self.acknowledged[told:] if each.who in self.watchers)
        self.judged_to = len(self.history), len(self.acknowledged)
        assert self.watch.wrong is None, self.watch.wrong

    def judged(self, name: str) -> str | None:
        """What is wrong with one that was started with a mistake, beside all that are right."""
        self.hear()
        return self.beside(name)

    def beside(self, name: str) -> str | None:
        watch = DistributionWatch()
        for version, answers in self.watch.published.items():
            watch.publishes(version, answers)
        for said in self.history:
            if said.who == name or said.who in self.watchers:
                watch.in_force(said)
        watch.acknowledges(each for each in self.acknowledged if each.who == name)
        return watch.wrong

    def all_have(self, version: int = 0, names: Iterable[str] | None = None) -> None:
        """Waits until all that are up have that version, or the newest one that was confirmed."""
        version = version or self.version

        def lacking() -> list[str]:
            self.hear()
            chosen = self.watchers if names is None else names
            up = [name for name in chosen if self.watchers[name].is_up()]
            return [name for name in up if self.watchers[name].last.get("version", 0) < version]

        try:
            self.until(lambda: not lacking(), f"version {version} at all")
        except AssertionError as wrong:
            lack = {name: self.watchers[name].last.get("version") for name in lacking()}
            raise AssertionError(f"{wrong}\nlacking: {lack}") from wrong

    def look(self, names: Iterable[str] | None = None) -> dict[str, dict[str, Any]]:
        """Asks these watchers for a word, and waits for it."""
        asked = {name: self.watchers[name] for name in (self.watchers if names is None else names)}

        def all_have(holds: Callable[[Watcher], Any]) -> bool:
            self.hear()
            return all(holds(each) for each in asked.values() if each.is_up())

        # who has said nothing yet is not ready for the signal
        self.until(lambda: all_have(lambda each: each.last), f"the first word of {', '.join(asked)}")
        since = moment()
        for each in asked.values():
            each.signal(signal.SIGUSR1)
        self.until(lambda: all_have(lambda each: each.answer(since)), f"a word of {', '.join(asked)}")
        return {name: each.answer(since) for name, each in asked.items() if each.is_up()}

    def relays_of(self, names: Iterable[str]) -> dict[str, str]:
        """The relay that each of these watchers follows, by name; "" where it follows none."""
        named = {each.address: each.name for each in (*self.feeding.values(), *self.voters.values())}
        return {name: named.get(said.get("relay") or "", "") for name, said in self.look(names).items()}

    def at_home(self, names: Iterable[str]) -> bool:
        """Does each of these follow its first choice?"""
        return all(said.get("relay") == said["home"] for said in self.look(names).values())

    def distribution_status(self) -> dict[str, Any] | None:
        code, said = self.command("distribution", "status", str(self.voters["v1"].file), "--json")
        return json.loads(said) if code == 0 else None

    # -- faults --------------------------------------------------------------------------------------

    def form_other_group(self) -> RelayProcess:
        """Another group of the same name, with a relay and records of its own; nobody is told of it."""
        voter = OtherVoter(self, "w1", self.disk)
        voter.settings["distribution"] = True
        voter.write_file()
        code, said = self.command("quorum", "found", str(voter.file))
        assert code == 0, said
        voter.start()
        self.until(lambda: self.leader([voter]) is not None, "the other group's leader")
        client = self.relays.call(
            GroupClient, self.relays.reactor, GROUP, [(LOCAL, voter.relay)], random.Random("other")
        )
        self.clients.append(client)
        for _ in range(3):
            records = batch_of(9_000, random.Random("other")) | {"tenant/t1": {"tenant": "other", "n": 0}}
            records[f"route/{self.relays.call(moment)}"] = {"n": 0}
            changes = tuple(change(name, value) for name, value in records.items())
            self.ask(client.propose, STATE_PART, PublishCommand(changes), PATIENCE)
        other = RelayProcess(self, "x1", "", [[voter.address]])
        other.start()
        return other

    def exchange(self, relay: RelayProcess, port: int) -> None:
        """At that relay's address answers whoever listens at the port."""

        def go() -> None:
            self.relays.by_name[relay.name].member_port = port

        self.relays.call(go)
        self.relays.reset(relay.name)

    def inside(self, zone: str) -> set[str]:
        """All that stands in the region of that zone."""
        return {
            name
            for name in (*self.feeding, *self.watchers)
            if name == f"r{zone}" or (self.feeding.get(name) or self.watchers[name]).zone == zone
        }

    def cut(self, here: set[str]) -> set[tuple[str, str]]:
        """Nothing passes between these and all others until `heal`; connections stand."""
        others = {*self.voters, *self.feeding, *self.watchers, CLIENT} - here
        pairs = set(itertools.product(here, others)) | set(itertools.product(others, here))
        self.relays.block(pairs)
        return pairs
