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
    deadline: int  # µs: deadline of the current step
    is_first_choice: bool  # it is an earlier choice; else it may be fresher
    asked_at: int = -1  # µs: when the request was sent; -1: its link is not open yet
    mark: bytes = b""


class RelayProber:
    """Owns the probe, one at a time, and the times of the next ones."""

    def __init__(self, selector: RelaySelector, times: Timing) -> None:
        self.selector, self.times = selector, times
        self.probe: Probe | None = None
        self.fresher_probe_at: int | None = None  # µs: next probe for a fresher relay
        self.first_choice_probe_at: int | None = None  # µs: next probe of an earlier choice

    def on_following(self, now: int, relay: str) -> None:
        """Resets the probes, as another relay is followed."""
        self.probe = self.fresher_probe_at = self.first_choice_probe_at = None
        if not self.selector.is_first_choice(relay):
            self.first_choice_probe_at = now + self.selector.draw(self.times.first_choice_probe_interval)

    def on_age(self, now: int, age: int) -> None:
        """Starts or ends the probes for a fresher relay, by the age that the followed one reports."""
        if age <= self.times.stale_age:
            self.fresher_probe_at = None
            self.selector.reset_probe_interval()
        elif self.fresher_probe_at is None:
            self.fresher_probe_at = now + self.selector.draw_probe_delay()

    def deadline(self) -> int | None:
        """µs: when the probe has to be looked at again; None: no probe is due."""
        if self.probe is not None:
            return self.probe.deadline
        return min(
            (each for each in (self.fresher_probe_at, self.first_choice_probe_at) if each is not None),
            default=None,
        )

    def begin_probe(self, now: int, relay: str, free: bool) -> str | None:
        """The relay to probe now, or None. `free`: no update is under way; else the probe is skipped."""
        if self.probe is not None:
            return None
        home = self.first_choice_probe_at is not None and now >= self.first_choice_probe_at
        if home:
            self.first_choice_probe_at = now + self.selector.draw(self.times.first_choice_probe_interval)
        elif self.fresher_probe_at is not None and now >= self.fresher_probe_at:
            self.fresher_probe_at = now + self.selector.draw_probe_delay()
        else:
            return None
        if not free:
            return None
        other = self.selector.earlier_choice(now, relay) if home else self.selector.next_to_probe(now, relay)
        if other is not None:
            self.probe = Probe(other, now + self.times.connect_timeout, home)
        return other

    def on_opened(self, now: int, probe: Probe, mark: bytes) -> None:
        """The link of the probe is open and the request is sent."""
        probe.asked_at, probe.mark, probe.deadline = now, mark, now + self.times.answer_timeout

    def is_better(self, now: int, probe: Probe, answer: FollowAnswer, version: int, age: int) -> bool:
        """Whether the probed relay's answer justifies a move.

        `version`, `age`: in force here. The relay's version must not be lower.
        """
        if (
            answer.outcome not in (FollowOutcome.NEWS, FollowOutcome.SAME, FollowOutcome.SNAPSHOT)
            or answer.version < version
        ):
            return False
        if answer.version and not probe.mark:
            return False
        its = age_after(max(0, answer.age), now - probe.asked_at)
        if probe.is_first_choice:
            return its <= max(self.times.stale_age, age)
        return its + self.times.min_age_gain < age
