"""Checks, at each event, the rules for lease holders and for the acts on their jobs."""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Sequence

MIN_GAP_US = 500_000  # a longer time between two accepted acts on a job is recorded as a gap


class OwnersWatch:
    """Records leases and acts on jobs, and keeps the first violation in `wrong`."""

    def __init__(self) -> None:
        self.holders: dict[tuple[str, int], Hashable] = {}  # (job, fencing token) -> holder of the lease
        self.newest_token: dict[str, int] = {}  # job -> newest fencing token of an accepted act
        self.last_at: dict[str, int] = {}  # job -> time of the last accepted act, µs
        self.accepted = self.refused = 0
        self.gaps: list[int] = []  # µs between accepted acts on a job, where over MIN_GAP_US
        self.wrong: str | None = None  # the first violation found

    def record_violation(self, wrong: str) -> None:
        """Keep a description of a violation, unless an earlier violation was found."""
        self.wrong = self.wrong or wrong

    def begins(self, job: str, token: int, who: Hashable) -> None:
        """Record that a holder starts a job under a token; a token of a job belongs to a single holder."""
        if self.holders.setdefault((job, token), who) != who:
            self.record_violation(
                f"{job} under token {token} is {who}'s, and was {self.holders[job, token]}'s"
            )

    def believe(self, job: str, who: Sequence[str]) -> None:
        """Record which candidates believe at the same moment that they hold a job; at most one may."""
        if len(who) > 1:
            self.record_violation(f"{job} is believed to be theirs by {' and '.join(who)} at once")

    def acts(self, job: str, token: int, who: Hashable, accepted: bool, now: int) -> None:
        """Record an act on a job at `now` (µs); tokens of accepted acts must never decrease."""
        if not accepted:
            self.refused += 1
            return
        self.accepted += 1
        if token < self.newest_token.get(job, 0):
            self.record_violation(
                f"{job}: an act of {who} under token {token} after one under {self.newest_token[job]}"
            )
        self.begins(job, token, who)
        self.newest_token[job] = max(token, self.newest_token.get(job, 0))
        if (last := self.last_at.get(job)) is not None and now - last > MIN_GAP_US:
            self.gaps.append(now - last)
        self.last_at[job] = now

    def well_again(self, jobs: Iterable[str], now: int, within: int) -> None:
        """Check that each job had an accepted act in the last `within` µs, long after the last fault."""
        for job in jobs:
            if now - self.last_at.get(job, 0) > within:
                self.record_violation(
                    f"{job} has had no accepted act for {(now - self.last_at.get(job, 0)) / 1e6:.1f} s"
                )
