"""Suspicion: how long a suspect has to refute the suspicion that it is dead.

The more members suspect it independently, the shorter this timeout is.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from lichencleat.membership.member_table import MemberTable
from lichencleat.membership.settings import GossipSettings

MAX_CONFIRMATIONS = 3  # independent confirmations that reduce the timeout to its minimum


@dataclass(slots=True)
class Suspicion:
    """The suspicion that one member is dead."""

    since: int  # µs: when the suspicion started
    suspected_by: set[str] = field(default_factory=set)  # names of the members that suspect the member


class SuspicionTracker:
    """The timeouts of all suspects."""

    def __init__(self, table: MemberTable, settings: GossipSettings) -> None:
        self._table = table
        self._settings = settings
        self._suspicions: dict[str, Suspicion] = {}

    def start(self, name: str, now: int, sender: str) -> None:
        """Start the timeout of the suspect `name`; `sender` is the member that suspects it, or empty."""
        self._suspicions[name] = Suspicion(now, {sender} if sender else set())

    def confirm(self, name: str, sender: str) -> None:
        """Record that the member `sender` also suspects the member `name`."""
        self._suspicions[name].suspected_by.add(sender)

    def clear(self, name: str) -> None:
        """End the suspicion of a member, if there is one."""
        self._suspicions.pop(name, None)

    def is_suspect(self, name: str) -> bool:
        """Whether a member's timeout is running."""
        return name in self._suspicions

    def expired(self, now: int) -> Iterator[str]:
        """Yield the suspects that did not refute the suspicion in time.

        Each timeout depends on the size of the member table when the iteration reaches the suspect.
        """
        for name, suspicion in list(self._suspicions.items()):
            if now - suspicion.since >= self._timeout(suspicion):
                yield name

    def iter_deadlines(self) -> Iterator[int]:
        """Iterate over the times in µs at which the suspicions expire."""
        return (each.since + self._timeout(each) for each in self._suspicions.values())

    def _timeout(self, suspicion: Suspicion) -> int:
        settings = self._settings
        count = self._table.active_count()
        scale = math.log10(max(10, count))
        shortest = round(settings.suspicion_multiplier * scale * settings.probe_interval)
        longest = shortest * settings.max_suspicion_multiplier
        confirmations = max(0, len(suspicion.suspected_by) - 1)
        expected = min(MAX_CONFIRMATIONS, max(1, count - 2))
        share = math.log(confirmations + 1) / math.log(expected + 1)
        return max(shortest, round(longest - (longest - shortest) * share))
