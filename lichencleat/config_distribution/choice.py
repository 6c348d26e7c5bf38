"""Which relay is tried next, and what speaks against each; no I/O.

Each process draws an order of its own within each tier, once: so the load of a tier is even, and whoever left
its first one comes back to it. What failed is tried again after a drawn span; it never is forgotten for good.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from lichencleat.config_distribution.terms import HOLD, RELAYS_MOST

Span = tuple[int, int]  # µs: drawn between these


@dataclass(frozen=True, slots=True)
class Times:
    """Spans in µs. Drawn ones are there so that many do not do the same at the same moment."""

    hold: int = HOLD  # a node's question may be held so long where there is no news
    relay_hold: int = 400_000  # a relay's: ages add up tier by tier, so they are asked for more often there
    patience: int = 1_000_000  # on top of a hold, until a relay counts as silent
    opening: int = 1_000_000  # for a link to be opened
    overslept: int = 300_000  # a timer later than this: it was this process that slept, so it looks again
    stale: int = 2_000_000  # age of a relay's word: over what two tiers' holds and ways add up to, twice
    fresher: int = 1_000_000  # by which another one's word has to be younger to be worth a move
    move: Span = (0, 500_000)  # before another one is opened: a lost relay's subscribers come spread
    home: Span = (30_000_000, 90_000_000)  # until the first choice is looked at again
    busy: Span = (1_000_000, 4_000_000)  # until one that has no turn for a snapshot is asked again
    behind: int = 1_500_000  # that a relay may have less than its subscriber: some questions' time
    again: int = 100_000  # before such a relay is asked again
    failed: Span = (5_000_000, 15_000_000)  # that one that failed is left out, as long as there are others
    wrong: Span = (30_000_000, 90_000_000)  # one of another group, or whose bytes or history were wrong
    rest: Span = (500_000, 8_000_000)  # where all failed: doubled from one to the other, times 0.5 to 1.5
    look: Span = (500_000, 30_000_000)  # between looks for a fresher one: doubled after each round of all


class Choice:
    """Owns the order of relays, those left out for now, and who holds another history."""

    def __init__(self, tiers: Sequence[Sequence[str]], rng: random.Random, times: Times) -> None:
        """`tiers`: nearest first. Of a relay that is named twice the nearer one counts."""
        self.rng, self.times = rng, times
        self.tier: dict[str, int] = {}
        for number, tier in enumerate(tiers):
            drawn = [each for each in dict.fromkeys(tier) if each not in self.tier]
            rng.shuffle(drawn)
            for each in drawn[: RELAYS_MOST - len(self.tier)]:
                self.tier[each] = number
        self.order = list(self.tier)  # this process's own
        self.out: dict[str, int] = {}  # left out until then, µs
        self.rest = times.rest[0]
        self.turn = 0  # of looks for a fresher one
        self.span = times.look[0]

    def draw(self, span: Span) -> int:
        return self.rng.randint(*span)

    def good(self, relay: str) -> None:
        """It answered as it should."""
        self.out.pop(relay, None)
        self.rest = self.times.rest[0]

    def bad(self, now: int, relay: str, span: Span) -> None:
        self.out[relay] = max(self.out.get(relay, 0), now + self.draw(span))

    def fit(self, now: int, relays: Iterable[str]) -> list[str]:
        """Those that are not left out, in order."""
        return [each for each in relays if self.out.get(each, 0) <= now]

    def next(self, now: int, past: str | None = None) -> tuple[str | None, int]:
        """Which one to open, and after which span (µs). `past`: rather not this one. None: there is none."""
        fit = self.fit(now, self.order)
        others = [each for each in fit if each != past] or fit
        if others:
            return others[0], self.draw(self.times.move)
        if not self.order:
            return None, self.times.rest[1]
        span = int(self.rest * (0.5 + self.rng.random()))
        self.rest = min(2 * self.rest, self.times.rest[1])
        return min(self.order, key=lambda each: self.out.get(each, 0)), span

    def beside(self, now: int, relay: str) -> str | None:
        """Another one of the same tier."""
        tier = self.tier.get(relay)
        same = [each for each in self.order if self.tier[each] == tier and each != relay]
        return next(iter(self.fit(now, same)), None)

    def better(self, now: int, relay: str) -> str | None:
        """The first of those before it in the order."""
        return next(iter(self.fit(now, self.order[: self.order.index(relay)])), None)

    def first(self, relay: str) -> bool:
        return not self.order or self.order[0] == relay

    # -- a fresher one ---------------------------------------------------------------------------------

    def fresh(self) -> None:
        """The one that is followed is: the next search begins quickly again."""
        self.turn, self.span = 0, self.times.look[0]

    def look_span(self) -> int:
        return self.rng.randint(self.span // 4, self.span)

    def looks(self, now: int, relay: str) -> str | None:
        """The next one to be looked at instead; after a round of all of them looks get rarer."""
        others = self.fit(now, [each for each in self.order if each != relay])
        if self.turn >= len(others):
            self.turn, self.span = 0, min(2 * self.span, self.times.look[1])
        if not others:
            return None
        self.turn += 1
        return others[self.turn - 1]

    def several(self, relays: Iterable[str]) -> bool:
        """Do they stand for more than one place? Two tiers; where there is only one tier, two relays."""
        named = [each for each in relays if each in self.tier]
        places = {self.tier[each] for each in named}
        one_tier = len(set(self.tier.values())) == 1
        return len(places) > 1 or (one_tier and len(set(named)) > 1)
