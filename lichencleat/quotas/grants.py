"""What a node may have in hand and until when, by its own monotonic clock; no I/O.

A grant counts from before its renewal was asked for, less the drift of clocks. Then the floor holds, which
is set aside for the node at all times; where the group has refused it a seat, nothing does.
"""

from __future__ import annotations

from lichencleat.quotas.terms import DRIFT, RENEW, Ask, Granted

WAIT = 0.3  # of a term: the patience with one renewal, so that another one fits in


class Grants:
    """Of one node in one pool. The host asks `next_ask`, sends it, tells the answer; and calls only under
    `usable`, each for no longer than `span`.
    """

    def __init__(
        self, pool: str, node: str, life: int, floor: int, term: int, now: int, drift: float = DRIFT
    ) -> None:
        """`floor` and `term` (µs) as the pool was defined with; `now`: of the node's start."""
        self.pool, self.node, self.life, self.floor = pool, node, life, floor
        self.drift, self.term = drift, term
        self.amount = 0
        self.until = 0  # µs: the amount counts before, the floor after
        self.floor_from = now + round(term * (1 + drift))  # calls of an earlier life have ended by then
        self.token = 0
        self.turn = 0
        self.asked_at: int | None = None
        self.ask_at = now
        self.refused = ""
        self.need = 0  # the most that it could have used since the last renewal

    def usable(self, now: int) -> int:
        """So many it may have in hand; what is there beyond them must not be added to."""
        if now < self.until:
            return self.amount
        return 0 if self.refused or now < self.floor_from else self.floor

    def wants(self, need: int) -> None:
        self.need = max(self.need, need)

    def span(self, now: int) -> int:
        """µs that a call let out now may last: it ends within the grant, and in any case within a term."""
        return self.until - now if now < self.until else round(self.term * (1 - self.drift))

    def next_ask(self, now: int, in_hand: int) -> Ask | None:
        """To be sent now, None where it is not time, or one is under way."""
        if self.asked_at is not None or now < self.ask_at:
            return None
        self.asked_at = now
        self.turn += 1
        holds = max(self.usable(now), in_hand)
        need, self.need = max(self.need, in_hand), 0
        return Ask(self.pool, self.node, self.life, self.turn, self.floor, self.term, holds, need)

    def answered(self, now: int, granted: Granted) -> None:
        asked_at, self.asked_at = self.asked_at, None
        assert asked_at is not None
        self.ask_at = asked_at + self.term // RENEW
        self.refused = granted.refused
        if granted.refused:
            return  # what it has still counts until its end, and then nothing
        until = asked_at + round(self.term * (1 - self.drift))
        if now < until:
            self.amount, self.until, self.token = granted.amount, until, granted.token

    def failed(self, now: int) -> None:
        """Nobody knows whether it was taken: what is held counts by the one before."""
        self.asked_at = None
        self.ask_at = now + self.term // RENEW // RENEW

    def patience(self) -> int:
        """µs to wait for an answer."""
        return round(self.term * WAIT)

    def deadline(self, now: int) -> int:
        """µs: when something is next to be done."""
        times = [self.until] if now < self.until else []
        if self.asked_at is None:
            times.append(self.ask_at)
        return min(times, default=now + self.patience())
