"""What must hold of processes that have a configuration in force, whatever fails: judged from what each of
them said that it answers, and from what they told the ones above. No I/O.

Times are µs of the machine's one monotonic clock, also where a process's own clocks run wrong.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

PAIR, TENANT = "pair", "tenant"  # kinds of the records that are looked at
LEFT, RIGHT = "a", "b"  # how the names of a pair begin: only ever changed together


@dataclass(frozen=True, slots=True)
class Said:
    """What one process has in force at a moment: the records looked at, None where there is no such one."""

    at: int
    who: str
    life: int
    version: int
    digest: str
    answers: Mapping[str, Any] = field(default_factory=dict)  # "kind/name" -> value

    def __str__(self) -> str:
        return f"{self.who} ({self.life}) at {self.at}: version {self.version}, {self.digest[:8]}"


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """A process told the one above it that this is in force; `at`: when that was seen on its link."""

    at: int
    who: str
    version: int
    digest: str


class DistributionWatch:
    """Hears of all that was said, of each process in its order; keeps the first thing that is wrong."""

    def __init__(self) -> None:
        self.last: dict[str, Said] = {}  # by process
        self.by_version: dict[int, Said] = {}  # the first that said this version
        self.had: dict[tuple[str, int, str], int] = {}  # who, version, digest -> when first
        self.published: dict[int, dict[str, Any]] = {}  # version -> what its batch set
        self.heard = self.acknowledged = 0
        self.wrong: str | None = None

    def says(self, wrong: str) -> None:
        self.wrong = self.wrong or wrong

    def publishes(self, version: int, answers: Mapping[str, Any]) -> None:
        """A batch was confirmed: at exactly that version these records are so."""
        self.published[version] = dict(answers)
        if version in self.by_version:
            self.content(self.by_version[version])

    def in_force(self, said: Said) -> None:
        self.heard += 1
        before = self.last.get(said.who)
        if before is not None and before.life == said.life and said.version < before.version:
            self.says(f"goes back: {said}, after version {before.version} in the same life")
        self.last[said.who] = said
        self.had.setdefault((said.who, said.version, said.digest), said.at)
        first = self.by_version.setdefault(said.version, said)
        if first.digest != said.digest:
            self.says(f"one version, two digests: {said}; {first}")
        for name in first.answers.keys() & said.answers.keys():
            if first.answers[name] != said.answers[name]:
                self.says(
                    f"one version, two answers for {name}: {said}: {said.answers[name]}; {first}: "
                    f"{first.answers[name]}"
                )
        self.whole(said)
        self.tenants(said)
        self.content(said)

    def whole(self, said: Said) -> None:
        begin = f"{PAIR}/{LEFT}"
        for name, value in said.answers.items():
            other = f"{PAIR}/{RIGHT}{name.removeprefix(begin)}"
            if name.startswith(begin) and other in said.answers and said.answers[other] != value:
                self.says(f"half a batch: {said}: {name} is {value}, {other} is {said.answers[other]}")

    def tenants(self, said: Said) -> None:
        for name, value in said.answers.items():
            kind, _, tenant = name.partition("/")
            if kind == TENANT and value is not None and value.get("tenant") != tenant:
                self.says(f"another tenant's: {said}: asked for {tenant}, answered {value}")

    def content(self, said: Said) -> None:
        for name, value in self.published.get(said.version, {}).items():
            if name in said.answers and said.answers[name] != value:
                self.says(f"not as published: {said}: {name} is {said.answers[name]}, published {value}")

    def acknowledges(self, told: Iterable[Acknowledged]) -> None:
        """Once all that was said until then has been heard."""
        for each in told:
            self.acknowledged += 1
            since = self.had.get((each.who, each.version, each.digest))
            if each.version and (since is None or since > each.at):
                self.says(
                    f"acknowledged before it is in force: {each.who} version {each.version} at {each.at}, in "
                    f"force {'never' if since is None else f'from {since}'}"
                )

    def behind(self, names: Iterable[str], version: int) -> list[str]:
        """Those whose last word is older than that."""
        return [
            f"{name} has {self.last[name].version}" if name in self.last else f"{name} said nothing"
            for name in names
            if name not in self.last or self.last[name].version < version
        ]
