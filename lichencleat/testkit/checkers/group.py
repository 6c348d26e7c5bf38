"""Checks, at each event, the safety rules that a consensus group must keep under any fault."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Any


class GroupWatch:
    """Records elected leaders, applied entries and confirmed proposals, and keeps the first violation in
    `wrong`.
    """

    def __init__(self) -> None:
        self.leaders: dict[int, Any] = {}  # term -> member that leads in this term
        # applied entries from index 1 on: each is the entry that the first member applied at this index
        self.entries: list[Hashable] = []
        # proposal -> index of the log entry by which the proposal took effect
        self.effects: dict[Hashable, int] = {}
        self.wrong: str | None = None  # the first violation found

    def record_violation(self, wrong: str) -> None:
        """Keep a description of a violation, unless an earlier violation was found."""
        self.wrong = self.wrong or wrong

    def leads(self, member: Any, term: int) -> None:
        """Record that a member leads in a term; a second leader in the same term is a violation."""
        if self.leaders.setdefault(term, member) != member:
            self.record_violation(f"two leaders in term {term}: {self.leaders[term]} and {member}")

    def applies(self, member: Any, index: int, entry: Hashable) -> None:
        """Record that a member applies an entry; all members must apply the same entries in index order."""
        if index <= len(self.entries):
            if self.entries[index - 1] != entry:
                self.record_violation(
                    f"{member} applies {entry} as {index}, where {self.entries[index - 1]} was applied"
                )
        elif index == len(self.entries) + 1:
            self.entries.append(entry)
        else:
            self.record_violation(f"{member} applies {index} when only {len(self.entries)} were ever applied")

    def takes_effect(self, member: Any, index: int, effect: Hashable) -> None:
        """Record that a proposal takes effect. A retried proposal may be in the log twice, but only one of
        its entries may take effect.
        """
        if self.effects.setdefault(effect, index) != index:
            self.record_violation(
                f"{member}: {effect} takes effect at {index}, and did at {self.effects[effect]}"
            )

    def confirmed(self, client: Any, effect: Hashable, index: int) -> None:
        """Record that a client received confirmation of its proposal, with the index of the entry."""
        if self.effects.get(effect) != index:
            self.record_violation(
                f"{client} was told that {effect} is entry {index}; it is {self.effects.get(effect)}"
            )
