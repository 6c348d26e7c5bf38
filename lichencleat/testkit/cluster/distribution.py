"""Cluster harness for configuration distribution, with real processes: three voters, one relay for each
region, two relays for each zone, and nodes that hold a table. Every process that others call stands behind a
network relay that records requests.

The harness reads which records every node has in force and which versions it acknowledged, and checks both.
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
from lichencleat.testkit.cluster.tap import TappedRelays, monotonic_us
from lichencleat.transport.errors import RequestFailedError
from lichencleat.transport.group_client import GroupClient

PAIR_COUNT, TENANT_COUNT = 8, 8  # numbers of record pairs and of tenant records that each node reports
# number of routes, and of routes changed by a batch: so many changes need several slices
ROUTE_COUNT, ROUTES_PER_BATCH = 2_000, 60
FILL_BATCH_SIZE = 400  # records of each batch that fills the table at the start
BATCH_NUMBER_RECORD = "serial/all"  # name of the record that holds the number of the last batch
SUBSCRIBER_TIMES = {  # ranges in µs: seconds instead of the minutes of production, to keep tests short
    "first_choice_probe_interval": (500_000, 1_500_000),
    "failed_exclusion": (500_000, 1_500_000),
    "wrong_exclusion": (1_000_000, 3_000_000),
    "busy_retry_delay": (200_000, 600_000),
    "backoff": (200_000, 1_000_000),
    "probe_interval": (500_000, 2_000_000),
}

encode_value = msgspec.json.Encoder(order="sorted").encode


def make_change(name: str, value: Any) -> Change:
    """Return the change that sets the record "kind/name" to a value, or deletes the record if it is None."""
    kind, _, rest = name.partition("/")
    return Change(kind, rest, None if value is None else encode_value(value))


def observed_records() -> list[str]:
    """Return the names of the records that each node reports."""
    pairs = [f"{PAIR}/{side}{number}" for number in range(PAIR_COUNT) for side in (LEFT, RIGHT)]
    return [*pairs, *(f"{TENANT}/t{number}" for number in range(TENANT_COUNT)), BATCH_NUMBER_RECORD]


def make_batch(number: int, rng: random.Random) -> dict[str, Any]:
    """Return the records of a batch: both records of a pair, three tenants, many routes and the batch number.

    A node must apply either all of these records or none.
    """
    pair = {"n": number} if number % 7 else None  # every seventh batch deletes both records of the pair
    made: dict[str, Any] = {f"{PAIR}/{side}{number % PAIR_COUNT}": pair for side in (LEFT, RIGHT)}
    for each in rng.sample(range(TENANT_COUNT), 3):
        made[f"{TENANT}/t{each}"] = {"tenant": f"t{each}", "n": number}
    for each in rng.sample(range(ROUTE_COUNT), ROUTES_PER_BATCH):
        made[f"route/r{each}"] = {"n": number, "to": "x" * rng.randrange(40, 160)}
    made[BATCH_NUMBER_RECORD] = {"n": number}
    return made


class OtherGroupVoter(Voter):
    """The only voter of another group, with a settings file that lists no other voter."""

    def write_file(self) -> None:
        self.file.write_text(yaml.safe_dump({"quorum": self.settings}))


class DistributionRig(Rig):
    """Owns all processes of a test; `close` ends them."""

    def __init__(
        self,
        path: Path,
        zones: Sequence[str] = ("a", "b"),
        nodes: int = 3,
        disk: str = "held back",
        seed: int = 1,
        direct: bool = False,
    ) -> None:
        """Prepare one region with a relay for each zone, and two relays and `nodes` watchers in each zone.

        `disk`: "held back" for a volatile write cache, which loses unflushed writes at a kill, or "real".
        `direct`: processes call each other without network relays, whose delay would distort measurements.
        """
        self.direct = direct
        self.rng = random.Random(f"distribution {seed}")
        self.disk = disk
        self.watcher_times = dict(SUBSCRIBER_TIMES)
        self.observed_names = observed_records()
        super().__init__(path, disk=disk, relays=TappedRelays(self.rng))
        self.watch = DistributionWatch()
        self.history: list[StateReport] = []
        self.acknowledged: list[Acknowledged] = []
        self.checked_counts = (0, 0)  # numbers of entries of `history` and `acknowledged` that were checked
        self.number = 0  # number of the last batch made
        self.version = 0  # highest version confirmed
        # records and result of each batch published by `publish_in_background`
        self.publish_results: list[tuple[dict[str, Any], Any]] = []
        self.publish_pending = False
        self.relay_processes: dict[str, RelayProcess] = {}
        self.watchers: dict[str, Watcher] = {}
        self.faulty_watchers: dict[str, Watcher] = {}  # watchers with an injected bug, checked separately
        self.zones = tuple(zones)
        self.publisher: Any = None
        for voter in self.voters.values():
            if direct:
                voter.relay = voter.port
            voter.settings |= {"distribution": True, "address": voter.address}
        voters = [each.address for each in self.voters.values()]
        for zone in zones:
            region = self.add_relay_process(f"r{zone}", "", [voters])
            for at in (1, 2):
                self.add_relay_process(f"{zone}{at}", zone, [[region.address], voters])
            for number in range(1, nodes + 1):
                has_disk = number < nodes or nodes == 1  # the last of several nodes in a zone has no disk
                self.add_watcher(f"{zone}-n{number}", zone, self.sources(zone), has_disk=has_disk)

    def add_relay_process(self, name: str, zone: str, sources: list[list[str]], **more: Any) -> RelayProcess:
        """Add a relay process without starting it. `sources`: addresses by tier, the preferred tier first."""
        self.relay_processes[name] = RelayProcess(self, name, zone, sources, **more)
        return self.relay_processes[name]

    def add_watcher(self, name: str, zone: str, sources: list[list[str]], **more: Any) -> Watcher:
        """Add a watcher without starting it. `sources`: addresses by tier, the preferred tier first."""
        self.watchers[name] = Watcher(self, name, zone, sources, **more)
        return self.watchers[name]

    def add_faulty_watcher(self, mistake: str, zone: str, sources: list[list[str]] | None = None) -> Watcher:
        """Add a watcher with the named injected bug without starting it."""
        name = f"wrong-{mistake.replace(' ', '-')}"
        made = Watcher(self, name, zone, sources or self.sources(zone), mistake=mistake)
        self.faulty_watchers[name] = made
        return made

    def sources(self, zone: str) -> list[list[str]]:
        """Return three tiers of addresses: the zone's relays, its region's relay, and the voters."""
        voters = [each.address for each in self.voters.values()]
        near = [self.relay_processes[f"{zone}{at}"].address for at in (1, 2)]
        return [near, [self.relay_processes[f"r{zone}"].address], voters]

    def start(self) -> None:
        """Found the group, start all processes and fill the table.

        Returns once every watcher has the newest version.
        """
        self.form()
        self.publisher = self.client()
        for each in (*self.relay_processes.values(), *self.watchers.values()):
            each.start()
        for begin in range(0, ROUTE_COUNT, FILL_BATCH_SIZE):
            filled = {f"route/r{at}": {"n": 0, "to": "x"} for at in range(begin, begin + FILL_BATCH_SIZE)}
            self.publish(filled)
        self.publish()
        self.wait_for_version()

    # -- publishing ----------------------------------------------------------------------------------

    def publish(self, records: dict[str, Any] | None = None) -> int:
        """Publish these records or a random batch, and return the version. Raises RequestFailedError."""
        self.number += 1
        records = make_batch(self.number, self.rng) if records is None else records
        changes = [make_change(name, value) for name, value in records.items()]
        answer = self.ask(self.publisher.propose, STATE_PART, PublishCommand(tuple(changes)), PATIENCE)
        published = PublishResult(*answer)
        assert published.done, published.why
        self.record_confirmed(published.version, records)
        return published.version

    def publish_in_background(self, patience: float = 3.0) -> None:
        """Start to publish a random batch without waiting, unless an earlier batch has no result yet.

        The results that came since the last call are recorded first.
        """
        while self.publish_results:
            records, answer = self.publish_results.pop(0)
            self.publish_pending = False
            if answer is not None and PublishResult(*answer).done:
                self.record_confirmed(PublishResult(*answer).version, records)
        if self.publish_pending:
            return
        self.publish_pending = True
        self.number += 1
        records = make_batch(self.number, self.rng)
        changes = tuple(make_change(name, value) for name, value in records.items())

        def begin() -> None:
            made = self.publisher.propose(STATE_PART, PublishCommand(changes), patience)
            made.addErrback(lambda failure: failure.trap(RequestFailedError) and None)
            made.addCallback(lambda answer: self.publish_results.append((records, answer)))

        self.relays.reactor.callFromThread(begin)

    def record_confirmed(self, version: int, records: dict[str, Any]) -> None:
        """Record that a batch was confirmed with this version."""
        self.version = max(version, self.version)
        self.watch.publishes(version, {name: records[name] for name in observed_records() if name in records})

    # -- checking ------------------------------------------------------------------------------------

    def read_output(self) -> None:
        """Read the acknowledgements so far, and then the lines of all watchers.

        In this order the line of every acknowledged version is among the lines that were read.
        """
        acknowledged = self.relays.take_acknowledged()
        for name, watcher in (*self.watchers.items(), *self.faulty_watchers.items()):
            self.history += [
                StateReport(line["at"], name, line["life"], line["version"], line["digest"], line["answers"])
                for line in watcher.read_lines()
            ]
        self.acknowledged += acknowledged

    def check_output(self) -> None:
        """Read and check all lines and acknowledgements so far. Raises AssertionError for a violation."""
        self.read_output()
        checked_lines, checked_acknowledgements = self.checked_counts
        for each in self.history[checked_lines:]:
            if each.who in self.watchers:
                self.watch.in_force(each)
        self.watch.acknowledges(
            each for each in self.acknowledged[checked_acknowledgements:] if each.who in self.watchers
        )
        self.checked_counts = len(self.history), len(self.acknowledged)
        assert self.watch.wrong is None, self.watch.wrong

    def check_faulty_watcher(self, name: str) -> str | None:
        """Read all lines so far, and return the violation of a watcher with an injected bug, or None."""
        self.check_output()
        return self.find_violation(name)

    def find_violation(self, name: str) -> str | None:
        """Check the named watcher together with all correct watchers; return the first violation or None."""
        watch = DistributionWatch()
        for version, answers in self.watch.published.items():
            watch.publishes(version, answers)
        for said in self.history:
            if said.who == name or said.who in self.watchers:
                watch.in_force(said)
        watch.acknowledges(each for each in self.acknowledged if each.who == name)
        return watch.wrong

    def wait_for_version(self, version: int = 0, names: Iterable[str] | None = None) -> None:
        """Wait until all running watchers have a version, by default the newest confirmed version."""
        version = version or self.version

        def names_behind() -> list[str]:
            self.check_output()
            chosen = self.watchers if names is None else names
            up = [name for name in chosen if self.watchers[name].is_up()]
            return [name for name in up if self.watchers[name].last.get("version", 0) < version]

        try:
            self.until(lambda: not names_behind(), f"all watchers to have version {version}")
        except AssertionError as wrong:
            versions = {name: self.watchers[name].last.get("version") for name in names_behind()}
            raise AssertionError(f"{wrong}\nwatchers with an older version: {versions}") from wrong

    def request_lines(self, names: Iterable[str] | None = None) -> dict[str, dict[str, Any]]:
        """Request a line from each of these watchers, and return the lines of those that are up, by name."""
        asked = {name: self.watchers[name] for name in (self.watchers if names is None else names)}

        def all_match(matches: Callable[[Watcher], Any]) -> bool:
            self.check_output()
            return all(matches(each) for each in asked.values() if each.is_up())

        # a watcher that has written no line yet may not handle the signal
        self.until(lambda: all_match(lambda each: each.last), f"the first line of {', '.join(asked)}")
        since = monotonic_us()
        for each in asked.values():
            each.signal(signal.SIGUSR1)
        self.until(
            lambda: all_match(lambda each: each.requested_line(since)),
            f"a requested line of {', '.join(asked)}",
        )
        return {name: each.requested_line(since) for name, each in asked.items() if each.is_up()}

    def followed_relays(self, names: Iterable[str]) -> dict[str, str]:
        """Return the name of the relay or voter that each watcher follows, "" if the watcher follows none."""
        named = {each.address: each.name for each in (*self.relay_processes.values(), *self.voters.values())}
        return {
            name: named.get(said.get("relay") or "", "") for name, said in self.request_lines(names).items()
        }

    def all_follow_first_choice(self, names: Iterable[str]) -> bool:
        """Whether each of these watchers follows the relay of its first choice."""
        return all(said.get("relay") == said["home"] for said in self.request_lines(names).values())

    def distribution_status(self) -> dict[str, Any] | None:
        """Return the answer of the status command, or None if the command fails."""
        code, output = self.command("distribution", "status", str(self.voters["v1"].file), "--json")
        return json.loads(output) if code == 0 else None

    # -- faults --------------------------------------------------------------------------------------

    def form_other_group(self) -> RelayProcess:
        """Start another group of the same name, with its own records, and return its relay.

        No process of the first group has the address of the other group.
        """
        voter = OtherGroupVoter(self, "w1", self.disk)
        voter.settings["distribution"] = True
        voter.write_file()
        code, output = self.command("quorum", "found", str(voter.file))
        assert code == 0, output
        voter.start()
        self.until(lambda: self.leader([voter]) is not None, "the other group's leader")
        client = self.relays.call(
            GroupClient, self.relays.reactor, GROUP, [(LOCAL, voter.relay)], random.Random("other")
        )
        self.clients.append(client)
        for _ in range(3):
            records = make_batch(9_000, random.Random("other")) | {"tenant/t1": {"tenant": "other", "n": 0}}
            records[f"route/{self.relays.call(monotonic_us)}"] = {"n": 0}
            changes = tuple(make_change(name, value) for name, value in records.items())
            self.ask(client.propose, STATE_PART, PublishCommand(changes), PATIENCE)
        other = RelayProcess(self, "x1", "", [[voter.address]])
        other.start()
        return other

    def redirect(self, relay: RelayProcess, port: int) -> None:
        """Redirect the connections to a relay's address to another port."""

        def set_port() -> None:
            self.relays.by_name[relay.name].member_port = port

        self.relays.call(set_port)
        self.relays.reset(relay.name)

    def processes_in_region(self, zone: str) -> set[str]:
        """Return the names of the relays and watchers in the region of a zone."""
        return {
            name
            for name in (*self.relay_processes, *self.watchers)
            if name == f"r{zone}" or (self.relay_processes.get(name) or self.watchers[name]).zone == zone
        }

    def block_traffic(self, here: set[str]) -> set[tuple[str, str]]:
        """Block the traffic between these processes and all others; connections stay open.

        Returns the blocked directions, for `heal`.
        """
        others = {*self.voters, *self.relay_processes, *self.watchers, CLIENT} - here
        pairs = set(itertools.product(here, others)) | set(itertools.product(others, here))
        self.relays.block(pairs)
        return pairs
