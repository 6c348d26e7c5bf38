"""What a store must hold after a cut, judged against what it was asked and what it confirmed; written once,
for all tests.

The rule: the entries are those after the first n batches that were not refused, in order, for an n no smaller
than the number confirmed. So nothing confirmed is missing, no batch is there in half, and nothing is there
that was never asked for.
"""

from __future__ import annotations

from collections.abc import Iterable

Change = tuple[bytes, bytes | None, int]
"""Key, value (None: deleted), expiry in µs (0: none)."""


class History:
    """The batches that a store was asked for, in order, and what became of each."""

    def __init__(self) -> None:
        self.batches: list[list[Change]] = []
        self.confirmed = 0  # this many, from the first on, are confirmed
        # told as not confirmed since: may be back as whole batches until the next
        self.failed: list[list[Change]] = []

    def asked(self, changes: Iterable[Change]) -> None:
        """A batch on its way; the one before it is confirmed or refused."""
        self.batches.append(list(changes))

    def confirms(self) -> None:
        self.confirmed = len(self.batches)
        self.failed = []

    def refuses(self) -> None:
        """The last batch was refused before anything was written."""
        self.batches.pop()

    def fails(self) -> None:
        """The last batch was told as not confirmed: a cut before the next confirmed one may bring it back."""
        self.failed.append(self.batches.pop())

    def after(self, count: int) -> dict[bytes, tuple[bytes, int]]:
        return entries(self.batches[:count])

    def judge(self, found: dict[bytes, bytes], now: int) -> str | None:
        """None where the store's entries keep the rule; else the shortest account of how they break it."""
        states = [self.after(count) for count in range(self.confirmed, len(self.batches) + 1)]
        states += [entries([*self.batches[: self.confirmed], each]) for each in self.failed]
        shown = [visible(state, now) for state in states]
        if found in shown:
            return None
        least = shown[0]
        for key in sorted({*least, *found}):
            if found.get(key) not in [state.get(key) for state in shown]:
                return f"{key!r} reads {found.get(key)!r:.60}, confirmed {least.get(key)!r:.60}"
        return (
            "each entry is one that was asked for, but not all of the same moment: a batch is there in half"
        )


def entries(batches: Iterable[list[Change]]) -> dict[bytes, tuple[bytes, int]]:
    held: dict[bytes, tuple[bytes, int]] = {}
    for batch in batches:
        for key, value, expiry in batch:
            if value is None:
                held.pop(key, None)
            else:
                held[key] = (value, expiry)
    return held


def visible(state: dict[bytes, tuple[bytes, int]], now: int) -> dict[bytes, bytes]:
    return {key: value for key, (value, expiry) in state.items() if not 0 < expiry <= now}
