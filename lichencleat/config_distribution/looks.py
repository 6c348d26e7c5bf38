"""When another relay is probed while one is followed, and whether a move to it is justified; no I/O.

A relay whose age is above the limit is followed until a probe finds one that is fresher by a margin; the
probes get rarer with each round of all relays. So a site that is cut off as a whole stays with its relay.
"""

from __future__ import annotations

from dataclasses import dataclass

from lichencleat.config_distribution.choice import RelaySelector, Timing
from lichencleat.config_distribution.counts import age_after
from lichencleat.config_distribution.terms import FollowAnswer, FollowOutcome


@dataclass(slots=True)
class Probe:
    """The probe of one relay: a link and one request over it."""

    relay: str
    until: int  # µs: deadline of the current step
    home: bool  # it is an earlier choice; else it may be fresher
    asked: int = -1  # µs: when the request was sent; -1: its link is not open yet
    mark: bytes = b""


class RelayProber:
    """Owns the probe, one at a time, and the times of the next ones."""

    def __init__(self, choice: RelaySelector, times: Timing) -> None:
        self.choice, self.times = choice, times
        self.probe: Probe | None = None
        self.look_at: int | None = None  # µs: next probe for a fresher relay
        self.home_at: int | None = None  # µs: next probe of an earlier choice

    def follows(self, now: int, relay: str) -> None:
        """Starts anew, as another relay is followed."""
        self.probe = self.look_at = self.home_at = None
        if not self.choice.first(relay):
            self.home_at = now + self.choice.draw(self.times.home)

    def heard(self, now: int, age: int) -> None:
        """Starts or ends the probes for a fresher relay, by the age that the followed one reports."""
        if age <= self.times.stale:
            self.look_at = None
            self.choice.fresh()
        elif self.look_at is None:
            self.look_at = now + self.choice.look_span()

    def deadline(self) -> int | None:
        """µs: when the probe has to be looked at again; None: no probe is due."""
        if self.probe is not None:
            return self.probe.until
        return min((each for each in (self.look_at, self.home_at) if each is not None), default=None)

    def begins(self, now: int, relay: str, free: bool) -> str | None:
        """The relay to probe now, or None. `free`: no update is under way; else the probe is skipped."""
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
        """The link of the probe is open and the request is sent."""
        probe.asked, probe.mark, probe.until = now, mark, now + self.times.patience

    def worth(self, now: int, probe: Probe, fed: FollowAnswer, version: int, age: int) -> bool:
        """Whether the probed relay's answer justifies a move.

        `version`, `age`: in force here. The relay's version must not be lower.
        """
        if (
            fed.say not in (FollowOutcome.NEWS, FollowOutcome.SAME, FollowOutcome.SNAPSHOT)
            or fed.version < version
        ):
            return False
        if fed.version and not probe.mark:
            return False
        its = age_after(max(0, fed.age), now - probe.asked)
        if probe.home:
            return its <= max(self.times.stale, age)
        return its + self.times.fresher < age
