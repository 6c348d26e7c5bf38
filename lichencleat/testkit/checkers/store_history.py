"""Checks what a store holds after a power cut against what it was asked for and what it confirmed.

The rule: the entries are those after the first n batches that were not refused, in order, for an n no smaller
than the number confirmed. So nothing confirmed is missing, no batch is there in half, and nothing is there
that was never asked for.
"""

from __future__ import annotations

from collections.abc import Iterable

from lichencleat.store.batch import Change


class History:
    """The batches that a store was asked for, in order, and what became of each."""

    def __init__(self) -> None:
        self.batches: list[list[Change]] = []
        self.confirmed = 0  # this many, from the first on, are confirmed
        # reported as not confirmed since: may be back as whole batches until the next confirmation
        self.failed: list[list[Change]] = []

    def record_request(self, changes: Iterable[Change]) -> None:
        """Note a batch that is about to be committed; the one before it is confirmed or refused."""
        self.batches.append(list(changes))

    def record_confirmation(self) -> None:
        """Note that all batches so far are confirmed."""
        self.confirmed = len(self.batches)
        self.failed = []

    def record_refusal(self) -> None:
        """Note that the last batch was refused before anything was written."""
        self.batches.pop()

    def record_failure(self) -> None:
        """Note that the last batch failed: a cut before the next confirmed one may bring it back."""
        self.failed.append(self.batches.pop())

    def state_after(self, count: int) -> dict[bytes, tuple[bytes, int]]:
        """The entries, with value and expiry, after the first `count` batches."""
        return apply_batches(self.batches[:count])

    def check(self, found: dict[bytes, bytes], now: int) -> str | None:
        """None where the store's entries keep the rule; else how they break it. `now` is in µs."""
        states = [self.state_after(count) for count in range(self.confirmed, len(self.batches) + 1)]
        states += [apply_batches([*self.batches[: self.confirmed], each]) for each in self.failed]
        shown = [visible_entries(state, now) for state in states]
        if found in shown:
            return None
        least = shown[0]
        for key in sorted({*least, *found}):
            if found.get(key) not in [state.get(key) for state in shown]:
                return f"{key!r} reads {found.get(key)!r:.60}, confirmed {least.get(key)!r:.60}"
        return (
            "each entry is one that was asked for, but not all of the same moment: a batch is there in half"
        )


def apply_batches(batches: Iterable[list[Change]]) -> dict[bytes, tuple[bytes, int]]:
    """The entries, with value and expiry, that these batches leave."""
    state: dict[bytes, tuple[bytes, int]] = {}
    for batch in batches:
        for key, value, expiry in batch:
            if value is None:
                state.pop(key, None)
            else:
                state[key] = (value, expiry)
    return state


def visible_entries(state: dict[bytes, tuple[bytes, int]], now: int) -> dict[bytes, bytes]:
    """The values of entries that have not expired at `now` (µs)."""
    return {key: value for key, (value, expiry) in state.items() if not 0 < expiry <= now}
