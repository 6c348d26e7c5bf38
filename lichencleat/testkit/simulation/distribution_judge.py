"""What must hold at every step of the simulated distribution, and how long each change took; no I/O.

It knows what was published and nothing of how it travels: each record's values by version, and the digest
after each version. A node is asked as its callers would ask it.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from lichencleat.config_distribution.terms import Batch

WRONGS_MOST = 20  # told of a run: the first ones say what is wrong
COMPARED_MOST = 4_000_000  # records, of tables that are compared whole: each is one for all that share it
MILLISECOND = 1_000  # µs


class Held(Protocol):
    """What a node holds, as its callers see it."""

    version: int
    digest: bytes

    def find(self, kind: str, name: str) -> bytes | None: ...

    def items(self) -> Iterable[tuple[str, str, bytes]]: ...

    def whole(self) -> Any:
        """What stands for all of it: the same object only where it is the same."""


class Spans:
    """Spans in whole milliseconds, counted."""

    def __init__(self) -> None:
        self.counts: Counter[int] = Counter()

    def add(self, span: int) -> None:
        self.counts[span // MILLISECOND] += 1

    def at(self, part: float) -> int | None:
        """ms within which that part of them was over; None without any."""
        left = part * self.counts.total()
        for span, count in sorted(self.counts.items()):
            left -= count
            if left <= 1e-9:
                return span
        return None

    def told(self) -> dict[str, int | None]:
        return {"p50_ms": self.at(0.5), "p99_ms": self.at(0.99), "all_ms": self.at(1.0),
                "count": self.counts.total()}  # fmt: skip


class Life:
    """One node from a start to its end."""

    __slots__ = ("version", "start", "kind", "reached", "goal", "serves")

    def __init__(self, version: int, start: int, kind: str, goal: int) -> None:
        self.version = version
        self.start = start  # µs: since when it was to be reached
        self.kind = kind  # "running", or what it comes back from: "cold", "disk", "back"
        self.reached = True
        self.goal = goal  # the version at `start`: has it that, it runs
        self.serves = start if version else None  # µs: since when it has anything in force


class Judge:
    def __init__(self, version: int, digest: bytes, items: Iterable[tuple[str, str, bytes]]) -> None:
        """What all begin with."""
        self.versions = [version]
        self.published = {version: 0}  # version -> µs when it was handed to a voter
        self.digests = {0: bytes(16), version: digest}
        self.batches: dict[int, Batch] = {}
        self.values: dict[tuple[str, str], tuple[list[int], list[bytes | None]]] = {
            (kind, name): ([version], [value]) for kind, name, value in items
        }
        self.lives: dict[str, Life] = {}
        self.whole: dict[int, tuple[Any, int]] = {}  # id -> what was compared (kept: its id stays its own)
        self.wrong: list[str] = []
        self.looks = self.wrongs = self.compared = 0
        self.since = 0  # µs from which on spans count
        self.in_force = Spans()  # from publishing to in force, at nodes that have something in force
        self.starting = Spans()  # the same at those that had nothing: they answer no callers meanwhile
        self.by_version: dict[int, int] = {}  # longest such span
        self.back: dict[str, Spans] = {"cold": Spans(), "disk": Spans(), "back": Spans()}
        self.began: Callable[[str], None] = lambda name: None  # told of a start
        self.caught: Callable[[str, str], None] = lambda name, kind: None  # told that it has what it lacked

    def says(self, now: int, what: str) -> None:
        self.wrongs += 1
        if len(self.wrong) < WRONGS_MOST:
            self.wrong.append(f"{now / 1_000_000:.3f} s: {what}")

    # -- what was published ----------------------------------------------------------------------------

    def publishes(self, batch: Batch, handed: int) -> None:
        """Confirmed; `handed`: µs when it was handed in."""
        self.versions.append(batch.version)
        self.published[batch.version] = handed
        self.digests[batch.version] = batch.digest
        self.batches[batch.version] = batch
        for change in batch.changes:
            versions, values = self.values.setdefault((change.kind, change.name), ([], []))
            versions.append(batch.version)
            values.append(change.value)

    def value(self, kind: str, name: str, version: int) -> bytes | None:
        versions, values = self.values.get((kind, name), ([], []))
        place = bisect_right(versions, version)
        return values[place - 1] if place else None

    # -- a node's life ---------------------------------------------------------------------------------

    def starts(self, now: int, name: str, held: Held, kind: str) -> None:
        self.lives[name] = Life(held.version, now, kind, self.versions[-1])
        self.began(name)
        if held.version:
            self.compare(now, name, held)
        self.catches_up(now, name, held.version)

    def ends(self, name: str) -> None:
        self.lives.pop(name, None)

    def cut_off(self, name: str) -> None:
        if name in self.lives:
            self.lives[name].reached = False

    def back_on(self, now: int, name: str) -> None:
        life = self.lives.get(name)
        if life is not None and not life.reached:
            life.reached, life.start, life.goal = True, now, self.versions[-1]
            life.kind = "back" if life.kind == "running" else life.kind
            self.catches_up(now, name, life.version)

    def looks_at(self, now: int, name: str, held: Held, batches: tuple[Batch, ...] = ()) -> None:
        """After a step of a node that stages these: what it answers is that of the version it says."""
        life = self.lives[name]
        self.looks += 1
        if held.version != life.version:
            if held.version < life.version:
                self.says(now, f"{name} went back from {life.version} to {held.version}")
            elif held.version not in self.digests:
                self.says(now, f"{name} says {held.version}, which was never published")
            else:
                self.compare(now, name, held)
                self.reaches(now, name, life, held.version)
            life.version = held.version
        for batch in batches[:1] + batches[-1:]:
            for change in batch.changes[:1] + batch.changes[-1:]:
                self.asks(now, name, held, change.kind, change.name)

    def acknowledges(self, now: int, name: str, held: Held, version: int) -> None:
        """It tells the one above that this is in force here."""
        if version != held.version:
            self.says(now, f"{name} acknowledges {version} and holds {held.version}")
        self.looks_at(now, name, held)
        batch = self.batches.get(version)
        for change in batch.changes[-1:] if batch is not None else ():
            self.asks(now, name, held, change.kind, change.name)

    def asks(self, now: int, name: str, held: Held, kind: str, record: str) -> None:
        found, right = held.find(kind, record), self.value(kind, record, held.version)
        if found != right:
            self.says(now, f"{name} at {held.version} answers {found!r} for {record}, not {right!r}")

    def compare(self, now: int, name: str, held: Held) -> None:
        """The same version means the same digest, and the same records: all of them, once for each table."""
        if held.digest != self.digests.get(held.version):
            self.says(now, f"{name} at {held.version} has another digest")
        whole = held.whole()
        known = self.whole.get(id(whole))
        if known is not None and known[1] != held.version:
            self.says(now, f"{name} holds the table of {known[1]} as {held.version}")
        batch = self.batches.get(held.version)
        for change in batch.changes[:1] + batch.changes[-1:] if batch is not None else ():
            self.asks(now, name, held, change.kind, change.name)
        if known is None and self.compared < COMPARED_MOST:
            self.whole[id(whole)] = (whole, held.version)
            records = 0
            for kind, record, value in held.items():
                records += 1
                if value != self.value(kind, record, held.version):
                    self.says(now, f"{name} at {held.version} holds something else for {record}")
                    break
            else:
                if records != self.records(held.version):
                    self.says(now, f"{name} at {held.version} holds {records} records")
            self.compared += records

    def records(self, version: int) -> int:
        count = 0
        for versions, values in self.values.values():
            place = bisect_right(versions, version)
            count += bool(place and values[place - 1] is not None)
        return count

    # -- how long it took ------------------------------------------------------------------------------

    def reaches(self, now: int, name: str, life: Life, version: int) -> None:
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
        self.catches_up(now, name, version)

    def catches_up(self, now: int, name: str, version: int) -> None:
        life = self.lives[name]
        if life.kind != "running" and life.reached and version >= life.goal:
            self.back[life.kind].add(now - life.start)
            self.caught(name, life.kind)
            life.kind = "running"

    def missing(self) -> list[str]:
        """Nodes to be reached that have not the newest version."""
        newest = self.versions[-1]
        return [name for name, life in self.lives.items() if life.reached and life.version < newest]

    def told(self) -> dict[str, Any]:
        return {
            "wrong": self.wrong,
            "wrongs": self.wrongs,
            "looks": self.looks,
            "tables_compared": len(self.whole),
            "versions": len(self.versions) - 1,
            "in_force": self.in_force.told(),
            "starting": self.starting.told(),
            "back": {kind: spans.told() for kind, spans in self.back.items() if spans.counts},
            "not_in_force_at_the_end": len(self.missing()),
        }
