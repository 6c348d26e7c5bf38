"""What must hold of owners and of whoever acts on their work: judged as it happens."""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Sequence

GAP = 500_000  # µs without an accepted act that are told as a gap


class OwnersWatch:
    def __init__(self) -> None:
        self.given: dict[tuple[str, int], Hashable] = {}  # job and token -> who has it
        self.newest: dict[str, int] = {}  # job -> the newest token of an accepted act
        self.last_at: dict[str, int] = {}  # job -> µs of the last accepted act
        self.accepted = self.refused = 0
        self.gaps: list[int] = []
        self.wrong: str | None = None

    def says(self, wrong: str) -> None:
        self.wrong = self.wrong or wrong

    def begins(self, job: str, token: int, who: Hashable) -> None:
        if self.given.setdefault((job, token), who) != who:
            self.says(f"{job} under token {token} is {who}'s, and was {self.given[job, token]}'s")

    def believe(self, job: str, who: Sequence[str]) -> None:
        """These believe at one moment that they may act."""
        if len(who) > 1:
            self.says(f"{job} is believed to be theirs by {' and '.join(who)} at once")

    def acts(self, job: str, token: int, who: Hashable, accepted: bool, now: int) -> None:
        if not accepted:
            self.refused += 1
            return
        self.accepted += 1
        if token < self.newest.get(job, 0):
            self.says(f"{job}: an act of {who} under token {token} after one under {self.newest[job]}")
        self.begins(job, token, who)
        self.newest[job] = max(token, self.newest.get(job, 0))
        if (last := self.last_at.get(job)) is not None and now - last > GAP:
            self.gaps.append(now - last)
        self.last_at[job] = now

    def well_again(self, jobs: Iterable[str], now: int, within: int) -> None:
        """Faults ended long ago: each job has an owner whose acts are accepted."""
        for job in jobs:
            if now - self.last_at.get(job, 0) > within:
                self.says(f"{job} has had no accepted act for {(now - self.last_at.get(job, 0)) / 1e6:.1f} s")
