"""Is a history of calls as if each had happened at one moment between its call and its answer?

By Wing and Gong (1993) with the memory of Lowe (2017): a search through the orders that time allows, in
which a set of calls done that leads to a state seen before is not gone on from again.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Sequence
from dataclasses import dataclass
from typing import Any

NEVER = 1 << 62  # µs: when a call without an answer returned; it may have happened at any time, or not at all


@dataclass(slots=True)
class Call:
    """One call of a client's. `what` and `told` mean something to the model alone."""

    client: str
    what: Any
    called: int  # µs
    told: Any = None
    returned: int = NEVER

    def __str__(self) -> str:
        end = "..." if self.returned == NEVER else f"{self.returned}"
        return f"{self.client} {self.called}-{end} {self.what} -> {self.told}"


Step = Callable[[Any, Call], tuple[bool, Any]]
"""A state and a call: could the call have been told that there, and which state follows."""


def linear(calls: Sequence[Call], start: Hashable, step: Step, most: int = 2_000_000) -> bool | None:
    """None where the search was given up after `most` steps."""
    calls = sorted(calls, key=lambda each: (each.called, each.returned))
    needed = sum(1 << at for at, each in enumerate(calls) if each.returned < NEVER)
    seen: set[tuple[int, Hashable]] = set()
    stack: list[tuple[int, Hashable]] = [(0, start)]
    steps = 0
    while stack:
        done, state = stack.pop()
        if done & needed == needed:
            return True
        if (done, state) in seen:
            continue
        seen.add((done, state))
        end = min((each.returned for at, each in enumerate(calls) if not done >> at & 1), default=NEVER)
        for at, each in enumerate(calls):
            if each.called > end:
                break  # one that had returned by then must come first
            if done >> at & 1:
                continue
            steps += 1
            if steps > most:
                return None
            fits, following = step(state, each)
            if fits:
                stack.append((done | 1 << at, following))
    return False


def register(state: Any, call: Call) -> tuple[bool, Any]:
    """A fact that is put, put only over a known value, or read. Values are unlike each other."""
    kind, value, *over = call.what
    unknown = call.returned == NEVER
    if kind == "get":
        return (unknown or call.told == state), state
    if kind == "put":
        return True, value
    if over[0] == state:
        return (unknown or call.told is True), value
    return (unknown or call.told is False), state


def judge_facts(calls: Sequence[Call]) -> str | None:
    """Calls on several facts: `what` is (kind, name, ...). Each fact stands for itself."""
    by_name: dict[str, list[Call]] = {}
    for each in calls:
        kind, name, *rest = each.what
        if kind == "get" and each.returned == NEVER:
            continue  # nobody was told anything
        told = Call(
            each.client, (kind, *rest) if rest else (kind, None), each.called, each.told, each.returned
        )
        by_name.setdefault(name, []).append(told)
    for name, those in sorted(by_name.items()):
        verdict = linear(those, None, register)
        if verdict is None:
            return f"fact {name}: not decided, {len(those)} calls"
        if not verdict:
            shortest = least_broken(those)
            return f"fact {name} is no single thing: " + "; ".join(map(str, shortest))
    return None


def least_broken(calls: Sequence[Call]) -> list[Call]:
    """The first calls by their end that do not fit together: the shortest account of what went wrong."""
    ordered = sorted(calls, key=lambda each: each.returned)
    for count in range(1, len(ordered) + 1):
        told = ordered[:count]
        last = max((each.returned for each in told if each.returned < NEVER), default=0)
        others = [
            Call(each.client, each.what, each.called) for each in ordered[count:] if each.called <= last
        ]
        if linear([*told, *others], None, register) is False:
            return told[-6:]
    return list(ordered[-6:])
