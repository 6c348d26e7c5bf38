"""Checker of the simulated configuration distribution; measures how long each change takes. No I/O.

The checker knows only what was published: the values of each record by version, and the table's digest after
each version. It reads a node's records through the interface that the node's callers use.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from lichencleat.config_distribution.terms import Batch

MAX_REPORTED_VIOLATIONS = 20  # violations reported with a text; the first ones show the cause
# Records compared in whole tables during a run. A table that several nodes share is compared once.
MAX_COMPARED_RECORDS = 4_000_000
MILLISECOND = 1_000  # µs


class Held(Protocol):
    """The interface to a node's copy of the configuration that the node's callers use."""

    version: int
    digest: bytes

    def find(self, kind: str, name: str) -> bytes | None:
        """Return the value of a record; None if the record does not exist."""
        ...

    def items(self) -> Iterable[tuple[str, str, bytes]]:
        """Return kind, name and value of every record."""
        ...

    def whole(self) -> Any:
        """Return the table object; two copies return the same object only if their contents are equal."""


class Spans:
    """A histogram of time spans in whole milliseconds."""

    def __init__(self) -> None:
        self.counts: Counter[int] = Counter()

    def add(self, span: int) -> None:
        """Count one time span, given in µs."""
        self.counts[span // MILLISECOND] += 1

    def at(self, part: float) -> int | None:
        """Return the quantile `part` (0 to 1) of the spans in ms; None without any spans."""
        left = part * self.counts.total()
        for span, count in sorted(self.counts.items()):
            left -= count
            if left <= 1e-9:
                return span
        return None

    def figures(self) -> dict[str, int | None]:
        """Return the quantiles and the number of spans, under the keys of the JSON file."""
        return {"p50_ms": self.at(0.5), "p99_ms": self.at(0.99), "all_ms": self.at(1.0),
                "count": self.counts.total()}  # fmt: skip


class Life:
    """One run of a node's process, from its start to its end."""

    __slots__ = ("version", "start", "kind", "reached", "goal", "serves")

    def __init__(self, version: int, start: int, kind: str, goal: int) -> None:
        self.version = version
        self.start = start  # µs: since when the node has been reachable
        self.kind = kind  # "running", or what the node recovers from: "cold", "disk", "back"
        self.reached = True  # whether the node is reachable: neither cut off nor paused
        self.goal = goal  # newest version at `start`: with this version the node has caught up
        self.serves = start if version else None  # µs: since when the node has had a version in force


class Judge:
    """Compares each node's configuration with what was published and measures the delays."""

    def __init__(self, version: int, digest: bytes, items: Iterable[tuple[str, str, bytes]]) -> None:
        """`version`, `digest`, `items`: the table that all processes start with."""
        self.versions = [version]  # all published versions, ascending
        self.published = {version: 0}  # version -> µs when its changes were submitted to a voter
        self.digests = {0: bytes(16), version: digest}  # version -> digest of the table
        self.batches: dict[int, Batch] = {}  # version -> batch that led to this version
        self.values: dict[tuple[str, str], tuple[list[int], list[bytes | None]]] = {
            (kind, name): ([version], [value]) for kind, name, value in items
        }
        self.lives: dict[str, Life] = {}  # node -> its current run
        # id of a table object -> the compared table, its version. The reference prevents reuse of the id.
        self.whole: dict[int, tuple[Any, int]] = {}
        self.wrong: list[str] = []  # texts of the first violations
        self.looks = self.wrongs = self.compared = 0  # checks, violations, records compared in whole tables
        self.since = 0  # µs: spans of changes submitted earlier are not counted
        # Spans from submission until in force, at nodes that already have a version in force.
        self.in_force = Spans()
        self.starting = Spans()  # the same spans at nodes that have no version yet and answer no callers
        self.by_version: dict[int, int] = {}  # version -> longest span in `in_force`, in µs
        self.back: dict[str, Spans] = {"cold": Spans(), "disk": Spans(), "back": Spans()}
        self.on_started: Callable[[str], None] = lambda name: None  # called when a node starts
        self.on_caught_up: Callable[[str, str], None] = lambda name, kind: None  # called after recovery

    def report(self, now: int, what: str) -> None:
        """Record a violation; only the first ones keep their text."""
        self.wrongs += 1
        if len(self.wrong) < MAX_REPORTED_VIOLATIONS:
            self.wrong.append(f"{now / 1_000_000:.3f} s: {what}")

    # -- published versions ------------------------------------------------------------------------------

    def on_published(self, batch: Batch, handed: int) -> None:
        """Record a committed batch; `handed`: µs when its changes were submitted."""
        self.versions.append(batch.version)
        self.published[batch.version] = handed
        self.digests[batch.version] = batch.digest
        self.batches[batch.version] = batch
        for change in batch.changes:
            versions, values = self.values.setdefault((change.kind, change.name), ([], []))
            versions.append(batch.version)
            values.append(change.value)

    def value(self, kind: str, name: str, version: int) -> bytes | None:
        """Return the value that a record has at a version; None if the record does not exist there."""
        versions, values = self.values.get((kind, name), ([], []))
        place = bisect_right(versions, version)
        return values[place - 1] if place else None

    # -- a node's life ---------------------------------------------------------------------------------

    def on_node_started(self, now: int, name: str, held: Held, kind: str) -> None:
        """Record the start of a node's process and check the table that the node starts with."""
        self.lives[name] = Life(held.version, now, kind, self.versions[-1])
        self.on_started(name)
        if held.version:
            self.compare(now, name, held)
        self.check_caught_up(now, name, held.version)

    def on_node_ended(self, name: str) -> None:
        """Record the end of a node's process."""
        self.lives.pop(name, None)

    def on_unreachable(self, name: str) -> None:
        """Record that a node is unreachable: it has no deadline for changes meanwhile."""
        if name in self.lives:
            self.lives[name].reached = False

    def on_reachable(self, now: int, name: str) -> None:
        """Record that a node is reachable again, and start to measure how long it takes to catch up."""
        life = self.lives.get(name)
        if life is not None and not life.reached:
            life.reached, life.start, life.goal = True, now, self.versions[-1]
            life.kind = "back" if life.kind == "running" else life.kind
            self.check_caught_up(now, name, life.version)

    def check_node(self, now: int, name: str, held: Held, batches: tuple[Batch, ...] = ()) -> None:
        """Check a node after a step: its records must match its version; `batches` are those it stages."""
        life = self.lives[name]
        self.looks += 1
        if held.version != life.version:
            if held.version < life.version:
                self.report(now, f"{name} went back from {life.version} to {held.version}")
            elif held.version not in self.digests:
                self.report(now, f"{name} says {held.version}, which was never published")
            else:
                self.compare(now, name, held)
                self.add_delays(now, name, life, held.version)
            life.version = held.version
        for batch in batches[:1] + batches[-1:]:
            for change in batch.changes[:1] + batch.changes[-1:]:
                self.check_record(now, name, held, change.kind, change.name)

    def on_acknowledged(self, now: int, name: str, held: Held, version: int) -> None:
        """Check a node that reports to its relay that `version` is in force."""
        if version != held.version:
            self.report(now, f"{name} acknowledges {version} and holds {held.version}")
        self.check_node(now, name, held)
        batch = self.batches.get(version)
        for change in batch.changes[-1:] if batch is not None else ():
            self.check_record(now, name, held, change.kind, change.name)

    def check_record(self, now: int, name: str, held: Held, kind: str, record: str) -> None:
        """Compare one record of a node with the value published for the node's version."""
        found, right = held.find(kind, record), self.value(kind, record, held.version)
        if found != right:
            self.report(now, f"{name} at {held.version} answers {found!r} for {record}, not {right!r}")

    def compare(self, now: int, name: str, held: Held) -> None:
        """Compare a node's digest with the published one, and all records once for each table object."""
        if held.digest != self.digests.get(held.version):
            self.report(now, f"{name} at {held.version} has another digest")
        whole = held.whole()
        known = self.whole.get(id(whole))
        if known is not None and known[1] != held.version:
            self.report(now, f"{name} holds the table of {known[1]} as {held.version}")
        batch = self.batches.get(held.version)
        for change in batch.changes[:1] + batch.changes[-1:] if batch is not None else ():
            self.check_record(now, name, held, change.kind, change.name)
        if known is None and self.compared < MAX_COMPARED_RECORDS:
            self.whole[id(whole)] = (whole, held.version)
            records = 0
            for kind, record, value in held.items():
                records += 1
                if value != self.value(kind, record, held.version):
                    self.report(now, f"{name} at {held.version} holds something else for {record}")
                    break
            else:
                if records != self.records(held.version):
                    self.report(now, f"{name} at {held.version} holds {records} records")
            self.compared += records

    def records(self, version: int) -> int:
        """Return the number of records at a version."""
        count = 0
        for versions, values in self.values.values():
            place = bisect_right(versions, version)
            count += bool(place and values[place - 1] is not None)
        return count

    # -- delays ---------------------------------------------------------------------------------------

    def add_delays(self, now: int, name: str, life: Life, version: int) -> None:
        """Add the delays of all versions that came into force at a node with this step."""
        for place in range(bisect_right(self.versions, life.version), bisect_right(self.versions, version)):
            came = self.versions[place]
            handed = self.published[came]
            if not life.reached or handed < max(life.start, self.since):
                continue
            if life.serves is None or handed < life.serves:
                self.starting.add(now - handed)
            else:
                self.in_force.add(now - handed)
                self.by_version[came] = max(self.by_version.get(came, 0), now - handed)
        if life.serves is None:
            life.serves = now
        self.check_caught_up(now, name, version)

    def check_caught_up(self, now: int, name: str, version: int) -> None:
        """Add the recovery time of a node once `version` is at least the version that it had to reach."""
        life = self.lives[name]
        if life.kind != "running" and life.reached and version >= life.goal:
            self.back[life.kind].add(now - life.start)
            self.on_caught_up(name, life.kind)
            life.kind = "running"

    def missing(self) -> list[str]:
        """Return the reachable nodes that lack the newest version."""
        newest = self.versions[-1]
        return [name for name, life in self.lives.items() if life.reached and life.version < newest]

    def figures(self) -> dict[str, Any]:
        """Return the violations and delays, under the keys of the JSON file."""
        return {
            "wrong": self.wrong,
            "wrongs": self.wrongs,
            "looks": self.looks,
            "tables_compared": len(self.whole),
            "versions": len(self.versions) - 1,
            "in_force": self.in_force.figures(),
            "starting": self.starting.figures(),
            "back": {kind: spans.figures() for kind, spans in self.back.items() if spans.counts},
            "not_in_force_at_the_end": len(self.missing()),
        }
