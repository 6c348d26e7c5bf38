"""How often a router may try again; no I/O. A budget in shares of first tries, as in Finagle's retry budgets:
repeats add to a load that is too much already, so all of them together stay a small part of it.
"""

from __future__ import annotations

SHARE = 0.1  # repeats for each first try: ten in a hundred more load, at the worst
FLOOR = 1.0  # a second, whatever the first tries: a quiet router may still find another node
KEPT = 10.0  # s of saved-up repeats, at the most: more would be a storm of its own
SECOND = 1_000_000  # µs


class Budget:
    def __init__(self, now: int, share: float = SHARE, floor: float = FLOOR) -> None:
        self.share, self.floor = share, floor
        self.left = floor
        self.at = now
        self.rate = 0.0  # first tries a second, about
        self.refused = 0

    def first_try(self, now: int) -> None:
        self.fill(now)
        self.left = min(self.most(), self.left + self.share)
        self.rate += 1 / KEPT

    def fill(self, now: int) -> None:
        span = max(0, now - self.at) / SECOND
        self.at = max(self.at, now)
        self.rate *= max(0.0, 1 - span / KEPT)
        self.left = min(self.most(), self.left + self.floor * span)

    def most(self) -> float:
        return KEPT * max(self.floor, self.share * self.rate)

    def may_repeat(self, now: int, may_have_run: bool) -> bool:
        """Asked once for each repeat, which it counts. None for what may have run."""
        self.fill(now)
        if may_have_run or self.left < 1:
            self.refused += 1
            return False
        self.left -= 1
        return True
