"""Relay selection: decides which relay is tried next, and which relays are excluded temporarily; no I/O.

Each process shuffles the relays of each tier once at the start. So the load is even within a tier, and a
process that had to leave the first relay of its order, its first choice, returns to that relay later. A relay
that failed is tried again after a random delay; no relay is excluded permanently.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from lichencleat.config_distribution.terms import MAX_HOLD_US, MAX_RELAYS

DelayRange = tuple[int, int]  # µs: lower and upper bound of a random delay


@dataclass(frozen=True, slots=True)
class Timing:
    """Durations in µs.

    A `DelayRange` holds the bounds of a random delay; the delay is random so that many processes don't act at
    the same moment.
    """

    hold: int = MAX_HOLD_US  # how long the answer to a node may be held while there is no newer version
    relay_hold: int = 400_000  # the hold of a relay's request; shorter, because ages add up over the tiers
    answer_timeout: int = 1_000_000  # time for an answer, after the hold; a relay without an answer is left
    connect_timeout: int = 1_000_000  # maximum time for a link to open
    # A timer that fires later than this shows that the process was stopped: the answer timeout starts again.
    max_timer_delay: int = 300_000
    # if the followed relay reports a higher age, other relays are probed for a lower age; the limit is twice
    # the holds and delays of two tiers
    stale_age: int = 2_000_000
    min_age_gain: int = 1_000_000  # a move needs a relay whose age is lower by more than this
    # delay before the link to another relay is opened: spreads the subscribers of a lost relay over time
    open_delay: DelayRange = (0, 500_000)
    # interval between probes of relays earlier in the order than the followed relay
    first_choice_probe_interval: DelayRange = (30_000_000, 90_000_000)
    # delay before the next request to a relay that had no free snapshot slot
    busy_retry_delay: DelayRange = (1_000_000, 4_000_000)
    # a relay whose version is lower than its subscriber's for this long, several requests, is left
    max_behind: int = 1_500_000
    retry_delay: int = 100_000  # delay before the next request to a relay that had a lower version
    # how long a failed relay is excluded while other relays are available
    failed_exclusion: DelayRange = (5_000_000, 15_000_000)
    # how long a relay of another group, or with corrupt data or a diverging history, is excluded
    wrong_exclusion: DelayRange = (30_000_000, 90_000_000)
    # minimum and maximum of the backoff while all relays are excluded: the backoff doubles each time, and a
    # delay is the backoff times a random factor of 0.5 to 1.5
    backoff: DelayRange = (500_000, 8_000_000)
    # minimum and maximum of the interval between probes for a relay with a lower age: the interval doubles
    # after each round of all relays
    probe_interval: DelayRange = (500_000, 30_000_000)


class RelaySelector:
    """Owns the order of the relays and the time until which each is excluded."""

    def __init__(self, tiers: Sequence[Sequence[str]], rng: random.Random, times: Timing) -> None:
        """`tiers`: relay addresses, nearest tier first. A relay in two tiers belongs to the nearer tier."""
        self.rng, self.times = rng, times
        self.tier: dict[str, int] = {}
        for number, tier in enumerate(tiers):
            drawn = [each for each in dict.fromkeys(tier) if each not in self.tier]
            rng.shuffle(drawn)
            for each in drawn[: MAX_RELAYS - len(self.tier)]:
                self.tier[each] = number
        self.order = list(self.tier)  # all relays, in this process's order of preference
        self.excluded_until: dict[str, int] = {}  # relay -> µs: end of the exclusion
        self.backoff = times.backoff[0]
        self.probe_index = 0  # index of the next relay in the round of probes
        self.probe_interval = times.probe_interval[0]

    def draw(self, span: DelayRange) -> int:
        """A random duration within the bounds, in µs."""
        return self.rng.randint(*span)

    def on_success(self, relay: str) -> None:
        """Ends the exclusion of a relay that sent a valid answer, and resets the backoff."""
        self.excluded_until.pop(relay, None)
        self.backoff = self.times.backoff[0]

    def exclude(self, now: int, relay: str, span: DelayRange) -> None:
        """Excludes a relay for a random time within `span`; a longer exclusion in force stays."""
        self.excluded_until[relay] = max(self.excluded_until.get(relay, 0), now + self.draw(span))

    def available(self, now: int, relays: Iterable[str]) -> list[str]:
        """The relays that are not excluded, in the given order."""
        return [each for each in relays if self.excluded_until.get(each, 0) <= now]

    def choose_next(self, now: int, past: str | None = None) -> tuple[str | None, int]:
        """The relay to open next (None: no relay is known), and the delay before opening the link, in µs.

        `past`: a relay that is chosen only if no other relay is available.
        """
        fit = self.available(now, self.order)
        others = [each for each in fit if each != past] or fit
        if others:
            return others[0], self.draw(self.times.open_delay)
        if not self.order:
            return None, self.times.backoff[1]
        span = int(self.backoff * (0.5 + self.rng.random()))
        self.backoff = min(2 * self.backoff, self.times.backoff[1])
        return min(self.order, key=lambda each: self.excluded_until.get(each, 0)), span

    def same_tier_alternative(self, now: int, relay: str) -> str | None:
        """The first other relay of the same tier that is not excluded, or None."""
        tier = self.tier.get(relay)
        same = [each for each in self.order if self.tier[each] == tier and each != relay]
        return next(iter(self.available(now, same)), None)

    def earlier_choice(self, now: int, relay: str) -> str | None:
        """The first relay before `relay` in the order that is not excluded, or None."""
        return next(iter(self.available(now, self.order[: self.order.index(relay)])), None)

    def is_first_choice(self, relay: str) -> bool:
        """Whether the relay is the first in the order."""
        return not self.order or self.order[0] == relay

    # -- probes for a fresher relay ----------------------------------------------------------------------

    def reset_probe_interval(self) -> None:
        """Resets the probe interval: the age of the followed relay is below the limit."""
        self.probe_index, self.probe_interval = 0, self.times.probe_interval[0]

    def draw_probe_delay(self) -> int:
        """A random delay before the next probe, in µs."""
        return self.rng.randint(self.probe_interval // 4, self.probe_interval)

    def next_to_probe(self, now: int, relay: str) -> str | None:
        """The next relay to probe, or None. The probe interval doubles after each round of all relays."""
        others = self.available(now, [each for each in self.order if each != relay])
        if self.probe_index >= len(others):
            self.probe_index, self.probe_interval = (
                0,
                min(2 * self.probe_interval, self.times.probe_interval[1]),
            )
        if not others:
            return None
        self.probe_index += 1
        return others[self.probe_index - 1]

    def are_independent(self, relays: Iterable[str]) -> bool:
        """Whether the relays are of at least two tiers or, if there is only one tier, at least two relays."""
        named = [each for each in relays if each in self.tier]
        places = {self.tier[each] for each in named}
        one_tier = len(set(self.tier.values())) == 1
        return len(places) > 1 or (one_tier and len(set(named)) > 1)
