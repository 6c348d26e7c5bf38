"""What the owner of a pool proposes, at each look at it; no I/O.

The count of a term begins when the owner has read of the renewal, which is later than the node began to
count; a new owner begins anew. The span is longer than the term by the drift of both clocks.
"""

from __future__ import annotations

from lichencleat.quotas.deal import targets, worth_saying
from lichencleat.quotas.terms import DRIFT, Deal, Over, Pool

LOOK = 0.1  # of a term from one look to the next: a need is met within half a renewal or so


class Dealer:
    def __init__(self, pool: str, token: int, drift: float = DRIFT) -> None:
        self.pool, self.token, self.drift = pool, token, drift
        self.seen: dict[tuple[str, int], int] = {}  # node and renewal -> µs at which this owner knew of it

    def looks(self, now: int, pool: Pool) -> list[Deal | Over]:
        """`now`: of the owner's monotonic clock, at the answer with the pool."""
        known = {}
        said: list[Deal | Over] = []
        patience = round(pool.term * (1 + self.drift))
        for name, seat in pool.seats.items():
            marks = [seat.renewed] if seat.held > pool.floor or seat.target > pool.floor else []
            marks += [seat.ghost_at] if seat.ghost else []
            for renewed in marks:
                at = known[name, renewed] = self.seen.get((name, renewed), now)
                if now - at >= patience:
                    said.append(Over(self.pool, self.token, name, renewed))
        self.seen = known
        lost = {each.node for each in said if isinstance(each, Over)}
        wanted = worth_saying(pool, targets(pool))
        changed = {name: amount for name, amount in wanted.items() if name not in lost}
        if changed:
            said.append(Deal(self.pool, self.token, changed))
        return said
