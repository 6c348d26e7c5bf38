"""Numbered slots: each thing in use has a small number, which goes to another once it was given back."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

Thing = TypeVar("Thing")


class Slots(Generic[Thing]):
    def __init__(self) -> None:
        self.things: list[Thing | None] = []
        self.free: list[int] = []

    def take(self, thing: Thing) -> int:
        if self.free:
            number = self.free.pop()
            self.things[number] = thing
            return number
        self.things.append(thing)
        return len(self.things) - 1

    def give_back(self, number: int) -> None:
        """Guards against two owners: a number that is not in use can't be given back."""
        if self.get(number) is None:
            raise KeyError(number)
        self.things[number] = None
        self.free.append(number)

    def get(self, number: int) -> Thing | None:
        return self.things[number] if 0 <= number < len(self.things) else None

    def __len__(self) -> int:
        return len(self.things) - len(self.free)

    def __iter__(self) -> Iterator[Thing]:
        return iter([thing for thing in self.things if thing is not None])
