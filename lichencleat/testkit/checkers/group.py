"""What must hold of a group's members at every moment, whatever fails: judged as they act."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Any


class GroupWatch:
    """Hears of each leadership, each entry applied and each proposal confirmed; keeps the first thing that is
    wrong.
    """

    def __init__(self) -> None:
        self.leaders: dict[int, Any] = {}  # term -> member
        self.entries: list[Hashable] = []  # from index 1 on, as first applied by anyone
        self.effects: dict[Hashable, int] = {}  # what took effect -> index of the entry that did it
        self.wrong: str | None = None

    def says(self, wrong: str) -> None:
        self.wrong = self.wrong or wrong

    def leads(self, member: Any, term: int) -> None:
        if self.leaders.setdefault(term, member) != member:
            self.says(f"two leaders in term {term}: {self.leaders[term]} and {member}")

    def applies(self, member: Any, index: int, entry: Hashable) -> None:
        if index <= len(self.entries):
            if self.entries[index - 1] != entry:
                self.says(f"{member} applies {entry} as {index}, where {self.entries[index - 1]} was applied")
        elif index == len(self.entries) + 1:
            self.entries.append(entry)
        else:
            self.says(f"{member} applies {index} when only {len(self.entries)} were ever applied")

    def takes_effect(self, member: Any, index: int, what: Hashable) -> None:
        """The same proposal may stand in the log twice; it may take effect by one entry only."""
        if self.effects.setdefault(what, index) != index:
            self.says(f"{member}: {what} takes effect at {index}, and did at {self.effects[what]}")

    def confirmed(self, client: Any, what: Hashable, index: int) -> None:
        """A client was told that this is done, by the entry of that index."""
        if self.effects.get(what) != index:
            self.says(f"{client} was told that {what} is entry {index}; it is {self.effects.get(what)}")
