"""Linearizability checker: decides whether each call of a history can have taken effect at a single moment
between its start and its return.

The algorithm of Wing and Gong (1993) with the memoization of Lowe (2017) searches the orders of calls that
the recorded times allow, and visits each pair of completed calls and resulting state only once.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Sequence
from dataclasses import dataclass
from typing import Any

NEVER = 1 << 62  # µs: return time of an unanswered call, which may take effect at any later time or never


@dataclass(slots=True)
class Call:
    """One call by a client. Only the model interprets `operation` and `result`."""

    client: str
    operation: Any
    called: int  # µs: start of the call
    result: Any = None
    returned: int = NEVER  # µs

    def __str__(self) -> str:
        end = "..." if self.returned == NEVER else f"{self.returned}"
        return f"{self.client} {self.called}-{end} {self.operation} -> {self.result}"


Transition = Callable[[Any, Call], tuple[bool, Any]]
"""Sequential model of an object. Takes the state and a call; returns whether the call can have had its
recorded result in this state, and the state after the call."""


def is_linearizable(
    calls: Sequence[Call], start: Hashable, transition: Transition, max_steps: int = 2_000_000
) -> bool | None:
    """Return whether the history is linearizable, or None if the search reached `max_steps` steps."""
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
                break  # a remaining call returned before this call began and must precede it
            if done >> at & 1:
                continue
            steps += 1
            if steps > max_steps:
                return None
            fits, following = transition(state, each)
            if fits:
                stack.append((done | 1 << at, following))
    return False


def register(state: Any, call: Call) -> tuple[bool, Any]:
    """Model of one key with the operations put, compare-and-set and get. Each written value is unique."""
    kind, value, *over = call.operation
    unknown = call.returned == NEVER
    if kind == "get":
        return (unknown or call.result == state), state
    if kind == "put":
        return True, value
    if over[0] == state:
        return (unknown or call.result is True), value
    return (unknown or call.result is False), state


def check_key_value_history(calls: Sequence[Call]) -> str | None:
    """Check each key separately and describe the first violation, or return None. The operation of a call is
    (kind, key, ...).
    """
    by_name: dict[str, list[Call]] = {}
    for each in calls:
        kind, name, *rest = each.operation
        if kind == "get" and each.returned == NEVER:
            continue  # a read without an answer constrains nothing
        register_call = Call(
            each.client, (kind, *rest) if rest else (kind, None), each.called, each.result, each.returned
        )
        by_name.setdefault(name, []).append(register_call)
    for name, calls_of_key in sorted(by_name.items()):
        verdict = is_linearizable(calls_of_key, None, register)
        if verdict is None:
            return f"fact {name}: not decided, {len(calls_of_key)} calls"
        if not verdict:
            shortest = shortest_violation(calls_of_key)
            return f"fact {name} is no single thing: " + "; ".join(map(str, shortest))
    return None


def shortest_violation(calls: Sequence[Call]) -> list[Call]:
    """Return the last six calls of the shortest prefix, in order of return, that is not linearizable.

    If the search finds no such prefix within its step limit, return the last six of all calls.
    """
    ordered = sorted(calls, key=lambda each: each.returned)
    for count in range(1, len(ordered) + 1):
        completed = ordered[:count]
        last = max((each.returned for each in completed if each.returned < NEVER), default=0)
        others = [
            Call(each.client, each.operation, each.called) for each in ordered[count:] if each.called <= last
        ]
        if is_linearizable([*completed, *others], None, register) is False:
            return completed[-6:]
    return list(ordered[-6:])
