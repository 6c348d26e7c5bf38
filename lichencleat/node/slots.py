"""Numbered slots: each thing in use has a small number, which goes to another once it was given back."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

Item = TypeVar("Thing")


class Slots(Generic[Item]):
    def __init__(self) -> None:
        self.items: list[Item | None] = []
        self.free: list[int] = []

    def acquire(self, item: Item) -> int:
        if self.free:
            number = self.free.pop()
            self.items[number] = item
            return number
        self.items.append(item)
        return len(self.items) - 1

    def release(self, number: int) -> None:
        """Guards against two owners: a number that is not in use can't be given back."""
        if self.get(number) is None:
            raise KeyError(number)
        self.items[number] = None
        self.free.append(number)

    def get(self, number: int) -> Item | None:
        return self.items[number] if 0 <= number < len(self.items) else None

    def __len__(self) -> int:
        return len(self.items) - len(self.free)

    def __iter__(self) -> Iterator[Item]:
        return iter([item for item in self.items if item is not None])
