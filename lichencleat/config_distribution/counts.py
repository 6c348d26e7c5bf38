"""How many nodes have which version, by zone, added up on the way up the tree; no I/O.

Sums and extremes, no names but that of the relay at which the lowest hangs. A node counts itself once and its
relay adds it to the others of its zone; a relay's word replaces its last one whole. A subscriber counts as
long as its link stands and it was heard of within `COUNTED`: so one that moved without a goodbye is in two
sums for that long at the most, and each tier above hears of it within a question's time (`HOLD`) more.
"""

from __future__ import annotations

from collections.abc import Iterable

from lichencleat.config_distribution.terms import ZONES_MOST, Count

NODES_MOST = 1 << 20  # that one word can tell of: far over any fleet, so that sums stay numbers of the wire
NAME_MOST = 64  # characters of a zone or a relay
COUNTED = 5_000_000  # µs after the last question: over any hold, patience, or wait for a turn at a snapshot
OLDEST = 1 << 53  # µs, and "never heard": ages stop there, so that sums stay whole numbers for JSON


def aged(age: int, passed: int) -> int:
    """An age after `passed` µs more."""
    return min(OLDEST, age + max(0, passed))


class Sum:
    """What is known of one zone."""

    __slots__ = ("nodes", "lowest", "oldest", "late", "by")

    def __init__(self) -> None:
        self.nodes = self.oldest = self.late = 0
        self.lowest: int | None = None
        self.by = ""

    def add(self, count: Count) -> None:
        self.nodes += count.nodes
        self.late += count.late
        self.oldest = max(self.oldest, count.oldest)
        if self.lowest is None or (count.lowest, count.by) < (self.lowest, self.by):
            self.lowest, self.by = count.lowest, count.by


def merged(counts: Iterable[Count], most: int = ZONES_MOST) -> tuple[Count, ...]:
    """One for each zone, in order of their names. Zones over the bound are told as one, under ""."""
    sums: dict[str, Sum] = {}
    for each in counts:
        if each.nodes <= 0:
            continue
        zone = each.zone if each.zone in sums or len(sums) < most else ""
        if zone not in sums:
            sums[zone] = Sum()
        sums[zone].add(each)
    return tuple(
        Count(zone, found.nodes, found.lowest or 0, found.oldest, found.late, found.by)
        for zone, found in sorted(sums.items())
    )


def at_relay(counts: Iterable[Count], relay: str, version: int, needed: int, passed: int) -> Iterable[Count]:
    """What a subscriber told, as its relay adds it up.

    `version`: in force at the subscriber; `needed`: what this relay has had for LATE; `passed`: µs since it
    was told. Below a relay that is itself late all are. Numbers that can't be are cut to what can.
    """
    for each in counts:
        nodes = min(NODES_MOST, max(0, each.nodes))
        late = min(nodes, max(0, each.late))
        if version < needed or (not each.by and each.lowest < needed):
            late = nodes
        oldest = aged(max(0, each.oldest), passed)
        lowest = min(OLDEST, max(0, each.lowest))
        yield Count(each.zone[:NAME_MOST], nodes, lowest, oldest, late, (each.by or relay)[:NAME_MOST])
