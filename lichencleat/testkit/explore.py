"""Model checker: tries all event orders of a small setting, breadth first, so that the first violation found
has the shortest history. States with equal keys are explored once.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol


class World(Protocol):
    """One state of the setting. `after` returns a new state and leaves this one unchanged."""

    def actions(self) -> Iterable[Hashable]:
        """Return all actions that are possible in this state, always in the same order."""

    def after(self, action: Any) -> World:
        """Return the state that follows the action."""
        ...

    def key(self) -> Hashable:
        """Return a key; states with equal keys have the same possible futures."""

    def violation(self) -> str | None:
        """Return the description of the rule that this state breaks, or None."""
        ...


@dataclass(slots=True)
class Explored:
    """Result of a search: its size, how far it went, and the first violation with its history."""

    states: int = 0
    steps: int = 0
    depth: int = 0  # number of actions up to which all orders were tried
    whole: bool = False  # all reachable states were explored
    violation: str | None = None
    history: list[Any] = field(
        default_factory=list
    )  # the shortest list of actions that leads to the violation

    def __str__(self) -> str:
        reach = "all of them" if self.whole else f"all to depth {self.depth}"
        return f"{self.states} states by {self.steps} steps, {reach}: {self.violation or 'no violation'}"


def explore(
    start: World, depth: int, most: int, progress: Callable[[int, int], None] | None = None
) -> Explored:
    """Try all orders of up to `depth` actions, at most `most` states; stop at the first violation.

    States are compared by the 64-bit hash of their key. With a million states, a hash collision merges two
    different states in one of 30 million runs.
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
                # The violation is checked before the key because a wrong step may lead to a known state.
                if found.violation is not None:
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
    """Return the actions that lead from the start to the state with the hash `reached`."""
    history = []
    while parents[reached][1] is not None:
        reached, action = parents[reached][0], parents[reached][1]
        history.append(action)
    return history[::-1]
