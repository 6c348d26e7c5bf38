"""Relay selection: which relay is tried next, and which relays are excluded for now; no I/O.

Each process draws its own order within each tier once, so the load of a tier is even, and a process that
leaves its first choice returns to it later. A relay that failed is tried again after a random delay; no relay
is excluded for good.
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

    Pairs are bounds of a random draw, so that many processes don't act at the same moment.
    """

    hold: int = MAX_HOLD_US  # how long a node's request may be held while there is no news
    relay_hold: int = 400_000  # the same for a relay; shorter, because ages add up from tier to tier
    answer_timeout: int = 1_000_000  # time for an answer on top of the hold, until a relay counts as silent
    connect_timeout: int = 1_000_000  # time for a link to open
    # a timer this late means that this process was stopped: answers get more time
    max_timer_delay: int = 300_000
    # age above which a fresher relay is sought: twice the holds and delays of two tiers
    stale_age: int = 2_000_000
    min_age_gain: int = 1_000_000  # how much younger another relay's age must be to justify a move
    # before another relay is opened: spreads the subscribers of a lost relay
    open_delay: DelayRange = (0, 500_000)
    # until the first choice is probed again
    first_choice_probe_interval: DelayRange = (30_000_000, 90_000_000)
    # until a relay without a free snapshot slot is asked again
    busy_retry_delay: DelayRange = (1_000_000, 4_000_000)
    max_behind: int = 1_500_000  # how long a relay may lag behind its subscriber: several requests
    retry_delay: int = 100_000  # before a relay that is behind is asked again
    # how long a failed relay is excluded, as long as there are others
    failed_exclusion: DelayRange = (5_000_000, 15_000_000)
    # the same for a relay of another group, or with corrupt data or another history
    wrong_exclusion: DelayRange = (30_000_000, 90_000_000)
    # backoff where all relays failed: doubled from the first to the second, times 0.5 to 1.5
    backoff: DelayRange = (500_000, 8_000_000)
    # between probes for a fresher relay: doubled after each round of all relays
    probe_interval: DelayRange = (500_000, 30_000_000)


class RelaySelector:
    """Owns the order of the relays and the time until which each is excluded."""

    def __init__(self, tiers: Sequence[Sequence[str]], rng: random.Random, times: Timing) -> None:
        """`tiers`: nearest first. A relay that is named in two tiers belongs to the nearer one."""
        self.rng, self.times = rng, times
        self.tier: dict[str, int] = {}
        for number, tier in enumerate(tiers):
            drawn = [each for each in dict.fromkeys(tier) if each not in self.tier]
            rng.shuffle(drawn)
            for each in drawn[: MAX_RELAYS - len(self.tier)]:
                self.tier[each] = number
        self.order = list(self.tier)  # the order of this process
        self.excluded_until: dict[str, int] = {}  # relay -> excluded until, µs
        self.backoff = times.backoff[0]
        self.probe_index = 0  # index of the next probe within the round
        self.probe_interval = times.probe_interval[0]

    def draw(self, span: DelayRange) -> int:
        """A random duration within the bounds, in µs."""
        return self.rng.randint(*span)

    def on_success(self, relay: str) -> None:
        """Ends the relay's exclusion and resets the backoff, after a valid answer."""
        self.excluded_until.pop(relay, None)
        self.backoff = self.times.backoff[0]

    def exclude(self, now: int, relay: str, span: DelayRange) -> None:
        """Excludes the relay for a random time."""
        self.excluded_until[relay] = max(self.excluded_until.get(relay, 0), now + self.draw(span))

    def available(self, now: int, relays: Iterable[str]) -> list[str]:
        """The relays that are not excluded, in the given order."""
        return [each for each in relays if self.excluded_until.get(each, 0) <= now]

    def choose_next(self, now: int, past: str | None = None) -> tuple[str | None, int]:
        """The relay to open and the delay before that (µs).

        `past`: the relay to avoid while there is another one. None: no relay is known.
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
        """Another available relay of the same tier."""
        tier = self.tier.get(relay)
        same = [each for each in self.order if self.tier[each] == tier and each != relay]
        return next(iter(self.available(now, same)), None)

    def earlier_choice(self, now: int, relay: str) -> str | None:
        """The first available relay that precedes this one in the order."""
        return next(iter(self.available(now, self.order[: self.order.index(relay)])), None)

    def is_first_choice(self, relay: str) -> bool:
        """Whether this relay is the first choice."""
        return not self.order or self.order[0] == relay

    # -- probes for a fresher relay ----------------------------------------------------------------------

    def reset_probe_interval(self) -> None:
        """Resets the probe interval, as the followed relay is fresh."""
        self.probe_index, self.probe_interval = 0, self.times.probe_interval[0]

    def draw_probe_delay(self) -> int:
        """A random delay before the next probe, in µs."""
        return self.rng.randint(self.probe_interval // 4, self.probe_interval)

    def next_to_probe(self, now: int, relay: str) -> str | None:
        """The next relay to probe; the interval doubles after each round of all relays."""
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
        """Whether the relays are independent: from two tiers or, where there is only one tier, two relays."""
        named = [each for each in relays if each in self.tier]
        places = {self.tier[each] for each in named}
        one_tier = len(set(self.tier.values())) == 1
        return len(places) > 1 or (one_tier and len(set(named)) > 1)
