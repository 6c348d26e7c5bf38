"""All orders of what may happen in a small setting, breadth first: the shortest history that breaks a rule
is found first. States that look the same by their key are gone on from once.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol


class World(Protocol):
    """A setting at one moment. `after` leaves it as it is."""

    def actions(self) -> Iterable[Hashable]:
        """All that may happen next, in an order that is always the same."""

    def after(self, action: Any) -> World: ...

    def key(self) -> Hashable:
        """Equal for worlds from which the same may follow."""

    def violation(self) -> str | None: ...


@dataclass(slots=True)
class Explored:
    states: int = 0
    steps: int = 0
    depth: int = 0  # to which all was tried
    whole: bool = False  # nothing is left to try at any depth
    violation: str | None = None
    history: list[Any] = field(default_factory=list)  # the shortest one that leads there

    def __str__(self) -> str:
        reach = "all of them" if self.whole else f"all to depth {self.depth}"
        return f"{self.states} states by {self.steps} steps, {reach}: {self.violation or 'no violation'}"


def explore(
    start: World, depth: int, most: int, progress: Callable[[int, int], None] | None = None
) -> Explored:
    """Tries everything to that depth, or until `most` states were met; stops at the first violation.

    States are told apart by the hash of their key (64 bits): of a million of them two are taken for one once
    in 30 million runs.
    """
    found = Explored(states=1)
    parents: dict[int, tuple[int, Any]] = {hash(start.key()): (0, None)}
    level: list[tuple[int, World]] = [(hash(start.key()), start)]
    while level and found.depth < depth:
        following: list[tuple[int, World]] = []
        for mark, world in level:
            for action in world.actions():
                after = world.after(action)
                found.steps += 1
                found.violation = after.violation()
                if (
                    found.violation is not None
                ):  # before anything else: a wrong step may lead to a known state
                    found.history = [*path(parents, mark), action]
                    return found
                reached = hash(after.key())
                if reached in parents:
                    continue
                parents[reached] = (mark, action)
                found.states += 1
                if found.states >= most:
                    return found
                following.append((reached, after))
        level = following
        found.depth += 1
        if progress is not None:
            progress(found.depth, len(level))
    found.whole = not level
    return found


def path(parents: dict[int, tuple[int, Any]], reached: int) -> list[Any]:
    history = []
    while parents[reached][1] is not None:
        reached, action = parents[reached][0], parents[reached][1]
        history.append(action)
    return history[::-1]
