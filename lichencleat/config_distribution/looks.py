"""Decides when a relay other than the followed one is probed, and whether to move to that relay; no I/O.

A relay that reports an age above the limit is followed until a probe finds a relay whose age is lower by a
margin. The interval between probes grows with each round of all relays. So the processes of a site that is
cut off as a whole stay with their relays.
"""

from __future__ import annotations

from dataclasses import dataclass

from lichencleat.config_distribution.choice import RelaySelector, Timing
from lichencleat.config_distribution.counts import age_after
from lichencleat.config_distribution.terms import FollowAnswer, FollowOutcome


@dataclass(slots=True)
class Probe:
    """The probe of one relay: a link to the relay, and one request over the link."""

    relay: str
    deadline: int  # µs: deadline for opening the link, then for the answer
    # the relay is probed because it precedes the followed one in the order; False: it may have a lower age
    is_first_choice: bool
    asked_at: int = -1  # µs: when the request was sent; -1: the link is not open yet
    mark: bytes = b""  # identifier of the relay's group; b"": not known yet


class RelayProber:
    """Owns the current probe, at most one at a time, and the times of the next probes."""

    def __init__(self, selector: RelaySelector, times: Timing) -> None:
        self.selector, self.times = selector, times
        self.probe: Probe | None = None
        self.fresher_probe_at: int | None = None  # µs: when to probe for a relay with a lower age
        self.first_choice_probe_at: int | None = None  # µs: when to probe a relay earlier in the order

    def on_following(self, now: int, relay: str) -> None:
        """Discards the probe and schedules probes anew, when `relay` begins to be followed."""
        self.probe = self.fresher_probe_at = self.first_choice_probe_at = None
        if not self.selector.is_first_choice(relay):
            self.first_choice_probe_at = now + self.selector.draw(self.times.first_choice_probe_interval)

    def on_age(self, now: int, age: int) -> None:
        """Starts or ends the probes for a relay with a lower age. `age`: of the followed relay, in µs."""
        if age <= self.times.stale_age:
            self.fresher_probe_at = None
            self.selector.reset_probe_interval()
        elif self.fresher_probe_at is None:
            self.fresher_probe_at = now + self.selector.draw_probe_delay()

    def deadline(self) -> int | None:
        """µs: the deadline of the current probe, or else when the next probe begins; None: never."""
        if self.probe is not None:
            return self.probe.deadline
        return min(
            (each for each in (self.fresher_probe_at, self.first_choice_probe_at) if each is not None),
            default=None,
        )

    def begin_probe(self, now: int, relay: str, free: bool) -> str | None:
        """The relay to probe now, or None. `relay`: the followed relay.

        `free`: no update is in progress; otherwise a probe that is due is skipped.
        """
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
        """Records that the link of the probe is open and the request is sent."""
        probe.asked_at, probe.mark, probe.deadline = now, mark, now + self.times.answer_timeout

    def is_better(self, now: int, probe: Probe, answer: FollowAnswer, version: int, age: int) -> bool:
        """Whether the probed relay's answer justifies a move to that relay.

        `version`, `age`: version in force in this process, and its age in µs. A relay with a lower version is
        never better.
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
