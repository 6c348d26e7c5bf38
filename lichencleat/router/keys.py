"""Where each receipted key may have run, by this router's doing; no I/O.

A key is bound to the node that was sent it, for the window in which a further try would run a second time
anywhere else. It is free again only where every try of it is proved never to have run.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

KEYS_MOST = 100_000  # in their windows: some 40 MB; beyond it receipted requests are deferred
SLACK = 10_000_000  # µs past a window: arrivals are dated by others' clocks
SWEEP = 64  # entries looked at for each one that is made: two would keep up


@dataclass(slots=True)
class Known:
    until: int  # µs of Unix time
    node: str = ""  # empty: it never ran by this router's doing
    open: int = 0  # tries under way
    may_have_run: bool = False


class Keys:
    def __init__(self, most: int = KEYS_MOST) -> None:
        self.most = most
        self.known: dict[bytes, Known] = {}
        self.order: deque[tuple[int, bytes]] = deque()  # until when, about in order

    def get(self, now: int, key: bytes) -> Known | None:
        known = self.known.get(key)
        if known is not None and known.until < now and not known.open:
            del self.known[key]
            return None
        return known

    def room(self, now: int) -> bool:
        self.sweep(now)
        return len(self.known) < self.most

    def sweep(self, now: int) -> None:
        for _ in range(SWEEP):
            if not self.order or self.order[0][0] >= now:
                return
            _, key = self.order.popleft()
            known = self.known.get(key)
            if known is None:
                continue
            if known.open or known.until >= now:  # a later try has made it longer
                self.order.append((max(known.until, now), key))
            else:
                del self.known[key]

    def sent(self, now: int, key: bytes, node: str, until: int) -> None:
        """A try goes to that node; `until`: the end of its window."""
        known = self.known.get(key)
        if known is None:
            known = self.known[key] = Known(until + SLACK)
            self.order.append((known.until, key))
        assert known.node in ("", node), "a key that may have run elsewhere"
        known.node = node
        known.open += 1
        known.until = max(known.until, until + SLACK)

    def over(self, key: bytes, may_have_run: bool) -> None:
        known = self.known[key]
        known.open -= 1
        known.may_have_run |= may_have_run
        if not known.open and not known.may_have_run:
            known.node = ""
