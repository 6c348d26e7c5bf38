"""When another relay is looked at while one is followed, and whether it is worth a move; no I/O.

A relay whose word is stale is kept until another one was asked and is fresher by a margin; looks for one get
rarer with each round of all. So a place that is cut off as a whole stays where it is.
"""

from __future__ import annotations

from dataclasses import dataclass

from lichencleat.config_distribution.choice import Choice, Times
from lichencleat.config_distribution.counts import aged
from lichencleat.config_distribution.terms import Fed, Say


@dataclass(slots=True)
class Probe:
    relay: str
    until: int  # µs
    home: bool  # it is an earlier choice; else: perhaps a fresher one
    asked: int = -1  # µs; -1: its link is not open yet
    mark: bytes = b""


class Looks:
    """One at a time."""

    def __init__(self, choice: Choice, times: Times) -> None:
        self.choice, self.times = choice, times
        self.probe: Probe | None = None
        self.look_at: int | None = None  # µs: for a fresher one
        self.home_at: int | None = None  # µs: whether an earlier choice is back

    def follows(self, now: int, relay: str) -> None:
        self.probe = self.look_at = self.home_at = None
        if not self.choice.first(relay):
            self.home_at = now + self.choice.draw(self.times.home)

    def heard(self, now: int, age: int) -> None:
        """What the one that is followed says of its age: looks for a fresher one begin, or end."""
        if age <= self.times.stale:
            self.look_at = None
            self.choice.fresh()
        elif self.look_at is None:
            self.look_at = now + self.choice.look_span()

    def deadline(self) -> int | None:
        if self.probe is not None:
            return self.probe.until
        return min((each for each in (self.look_at, self.home_at) if each is not None), default=None)

    def begins(self, now: int, relay: str, free: bool) -> str | None:
        """The one to open, if the time has come; not while something is on its way (`free`)."""
        if self.probe is not None:
            return None
        home = self.home_at is not None and now >= self.home_at
        if home:
            self.home_at = now + self.choice.draw(self.times.home)
        elif self.look_at is not None and now >= self.look_at:
            self.look_at = now + self.choice.look_span()
        else:
            return None
        if not free:
            return None
        other = self.choice.better(now, relay) if home else self.choice.looks(now, relay)
        if other is not None:
            self.probe = Probe(other, now + self.times.opening, home)
        return other

    def opened(self, now: int, probe: Probe, mark: bytes) -> None:
        probe.asked, probe.mark, probe.until = now, mark, now + self.times.patience

    def worth(self, now: int, probe: Probe, fed: Fed, version: int, age: int) -> bool:
        """`version`, `age`: of what is in force here. It has to say itself that it is better."""
        if fed.say not in (Say.NEWS, Say.SAME, Say.SNAPSHOT) or fed.version < version:
            return False
        if fed.version and not probe.mark:
            return False
        its = aged(max(0, fed.age), now - probe.asked)
        if probe.home:
            return its <= max(self.times.stale, age)
        return its + self.times.fresher < age
