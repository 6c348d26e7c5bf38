"""Checks the content of a store after a power cut against the requested and the confirmed batches.

The rule: for some n, not smaller than the number of confirmed batches, the entries are the result of the
first n batches that were not refused, in order. Thus no confirmed change is missing, no batch is partly
applied, and no entry exists that was never requested.
"""

from __future__ import annotations

from collections.abc import Iterable

from lichencleat.store.batch import Change


class History:
    """The batches requested from a store, in order, with the outcome of each."""

    def __init__(self) -> None:
        self.batches: list[list[Change]] = []
        self.confirmed = 0  # number of confirmed batches, which are the first ones
        # batches that failed since the last confirmation; each may reappear as a whole until the next one
        self.failed: list[list[Change]] = []

    def record_request(self, changes: Iterable[Change]) -> None:
        """Record a batch before its commit. The outcome of the previous batch must be recorded already."""
        self.batches.append(list(changes))

    def record_confirmation(self) -> None:
        """Record that all batches so far are confirmed."""
        self.confirmed = len(self.batches)
        self.failed = []

    def record_refusal(self) -> None:
        """Record that the last batch was refused before any write."""
        self.batches.pop()

    def record_failure(self) -> None:
        """Record that the last batch failed. A power cut before the next confirmation may bring it back."""
        self.failed.append(self.batches.pop())

    def state_after(self, count: int) -> dict[bytes, tuple[bytes, int]]:
        """Return the entries (key -> value, expiry) after the first `count` batches."""
        return apply_batches(self.batches[:count])

    def check(self, found: dict[bytes, bytes], now: int) -> str | None:
        """Return None if the entries found obey the rule, else describe the violation. `now` is in µs."""
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
    """Return the entries (key -> value, expiry) that result from the batches."""
    state: dict[bytes, tuple[bytes, int]] = {}
    for batch in batches:
        for key, value, expiry in batch:
            if value is None:
                state.pop(key, None)
            else:
                state[key] = (value, expiry)
    return state


def visible_entries(state: dict[bytes, tuple[bytes, int]], now: int) -> dict[bytes, bytes]:
    """Return the values of the entries that have not expired at `now` (µs)."""
    return {key: value for key, (value, expiry) in state.items() if not 0 < expiry <= now}
