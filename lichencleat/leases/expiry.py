"""When the group's leader may say that a candidate is gone: no earlier than its lease can be over; no I/O.

The leader counts on its own monotonic clock from the moment at which it applied the renewal, which is later
than the owner began to count. A new leader begins its count anew. The span is longer than the lease by the
drift of both clocks.
"""

from __future__ import annotations

from lichencleat.leases.terms import DRIFT, LEASE, Candidate, Gone


def patience(lease: int = LEASE, drift: float = DRIFT) -> int:
    """µs of a leader's clock after which no owner's count can still run, at rates that differ by `drift`."""
    return round(lease * (1 + drift))


class Expiry:
    def __init__(self, lease: int = LEASE, drift: float = DRIFT) -> None:
        self.span = patience(lease, drift)
        self.seen: dict[str, tuple[int, int]] = {}  # candidate -> index of its renewal, µs when that was seen

    def leads_no_more(self) -> None:
        self.seen.clear()

    def due(self, now: int, candidates: dict[str, Candidate]) -> list[Gone]:
        """Those whose time is over, to be proposed. Asked while leading, a few times a lease."""
        for name in self.seen.keys() - candidates.keys():
            del self.seen[name]
        gone = []
        for name, each in candidates.items():
            index, at = self.seen.get(name, (-1, 0))
            if index != each.renewed:
                self.seen[name] = each.renewed, now
            elif now - at >= self.span:
                gone.append(Gone(name, each.renewed))
        return gone
