"""Checker of the configuration distribution: the guarantees that hold whatever fails. No I/O.

The checker uses two kinds of reports: the records that a process answers at a moment, and the versions that
a process acknowledges to its relay. Times are in µs on the monotonic clock of the machine, even where the
clocks of a process are wrong.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

PAIR, TENANT = "pair", "tenant"  # kinds of the records that are checked
LEFT, RIGHT = "a", "b"  # name prefixes of the two records of a pair, which each batch changes together


@dataclass(frozen=True, slots=True)
class StateReport:
    """Report of one process: the version in force and the checked records; None for a missing record."""

    at: int  # µs: when the process answered
    who: str  # name of the process
    life: int  # number of the run of the process; versions must not fall within one run
    version: int
    digest: str
    answers: Mapping[str, Any] = field(default_factory=dict)  # "kind/name" -> value

    def __str__(self) -> str:
        return f"{self.who} ({self.life}) at {self.at}: version {self.version}, {self.digest[:8]}"


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """A process acknowledged a version to its relay; `at`: when the acknowledgement was seen on the link."""

    at: int  # µs
    who: str  # name of the process
    version: int
    digest: str


class DistributionWatch:
    """Checks all reports, those of each process in order, and keeps the first violation."""

    def __init__(self) -> None:
        self.last: dict[str, StateReport] = {}  # process -> its latest report
        self.by_version: dict[int, StateReport] = {}  # version -> the first report of that version
        self.had: dict[tuple[str, int, str], int] = {}  # process, version, digest -> µs of the first report
        self.published: dict[int, dict[str, Any]] = {}  # version -> the records that its batch set
        self.heard = self.acknowledged = 0  # reports, acknowledgements checked
        self.wrong: str | None = None  # the first violation

    def report(self, wrong: str) -> None:
        """Record a violation unless there was an earlier one."""
        self.wrong = self.wrong or wrong

    def publishes(self, version: int, answers: Mapping[str, Any]) -> None:
        """Record a committed batch: the values that these records have at exactly this version."""
        self.published[version] = dict(answers)
        if version in self.by_version:
            self.content(self.by_version[version])

    def in_force(self, said: StateReport) -> None:
        """Check one report against all earlier reports and published batches."""
        self.heard += 1
        before = self.last.get(said.who)
        if before is not None and before.life == said.life and said.version < before.version:
            self.report(f"goes back: {said}, after version {before.version} in the same life")
        self.last[said.who] = said
        self.had.setdefault((said.who, said.version, said.digest), said.at)
        first = self.by_version.setdefault(said.version, said)
        if first.digest != said.digest:
            self.report(f"one version, two digests: {said}; {first}")
        for name in first.answers.keys() & said.answers.keys():
            if first.answers[name] != said.answers[name]:
                self.report(
                    f"one version, two answers for {name}: {said}: {said.answers[name]}; {first}: "
                    f"{first.answers[name]}"
                )
        self.whole(said)
        self.tenants(said)
        self.content(said)

    def whole(self, said: StateReport) -> None:
        """Check that both records of each pair have the same value."""
        begin = f"{PAIR}/{LEFT}"
        for name, value in said.answers.items():
            other = f"{PAIR}/{RIGHT}{name.removeprefix(begin)}"
            if name.startswith(begin) and other in said.answers and said.answers[other] != value:
                self.report(f"half a batch: {said}: {name} is {value}, {other} is {said.answers[other]}")

    def tenants(self, said: StateReport) -> None:
        """Check that each tenant's record belongs to that tenant."""
        for name, value in said.answers.items():
            kind, _, tenant = name.partition("/")
            if kind == TENANT and value is not None and value.get("tenant") != tenant:
                self.report(f"another tenant's: {said}: asked for {tenant}, answered {value}")

    def content(self, said: StateReport) -> None:
        """Check the records against the batch published as the reported version."""
        for name, value in self.published.get(said.version, {}).items():
            if name in said.answers and said.answers[name] != value:
                self.report(f"not as published: {said}: {name} is {said.answers[name]}, published {value}")

    def acknowledges(self, told: Iterable[Acknowledged]) -> None:
        """Check acknowledgements; `in_force` must already have received all reports up to their times."""
        for each in told:
            self.acknowledged += 1
            since = self.had.get((each.who, each.version, each.digest))
            if each.version and (since is None or since > each.at):
                self.report(
                    f"acknowledged before it is in force: {each.who} version {each.version} at {each.at}, in "
                    f"force {'never' if since is None else f'from {since}'}"
                )

    def behind(self, names: Iterable[str], version: int) -> list[str]:
        """Describe the processes whose latest report has an older version, or that sent none."""
        return [
            f"{name} has {self.last[name].version}" if name in self.last else f"{name} said nothing"
            for name in names
            if name not in self.last or self.last[name].version < version
        ]
