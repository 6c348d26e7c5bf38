"""Numbered slots: each item in use has a small number, which is reused after its release."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

Item = TypeVar("Item")


class Slots(Generic[Item]):
    """Holds items by slot number; iteration yields the items in use."""

    def __init__(self) -> None:
        self.items: list[Item | None] = []
        self.free: list[int] = []

    def acquire(self, item: Item) -> int:
        """Add an item and return its number."""
        if self.free:
            number = self.free.pop()
            self.items[number] = item
            return number
        self.items.append(item)
        return len(self.items) - 1

    def release(self, number: int) -> None:
        """Free a number for reuse. Raises KeyError if the number is not in use.

        A number must be released once only: after that it may belong to another item.
        """
        if self.get(number) is None:
            raise KeyError(number)
        self.items[number] = None
        self.free.append(number)

    def get(self, number: int) -> Item | None:
        """Return the item with a number, or None if the number is not in use."""
        return self.items[number] if 0 <= number < len(self.items) else None

    def __len__(self) -> int:
        return len(self.items) - len(self.free)

    def __iter__(self) -> Iterator[Item]:
        return iter([item for item in self.items if item is not None])
