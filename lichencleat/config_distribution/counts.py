"""Version counts: how many nodes of each zone have which version, added up along the relay tree; no I/O.

Counts hold sums and extremes, and no names except that of the relay that serves the lowest version. A node
counts itself once and its relay adds it to the others of its zone; each report of a relay replaces its last
one as a whole. A subscriber counts while its link is open and its last request is no older than
`COUNT_EXPIRY_US`. So a subscriber that moved without closing its link is in two sums for at most that long,
and each tier above learns of the move within one request (`MAX_HOLD_US`).
"""

from __future__ import annotations

from collections.abc import Iterable

from lichencleat.config_distribution.terms import MAX_ZONES, Count

MAX_NODES = 1 << 20  # per count; far above any fleet, so that sums fit the integers of the wire format
MAX_NAME_CHARS = 64  # characters of a zone's or relay's name
# µs after the last request; longer than any hold, answer timeout or wait for a snapshot slot
COUNT_EXPIRY_US = 5_000_000
MAX_AGE_US = 1 << 53  # µs; upper bound of an age, and the age of a source never heard from; exact in JSON


def age_after(age: int, passed: int) -> int:
    """The age `passed` µs later."""
    return min(MAX_AGE_US, age + max(0, passed))


class ZoneSum:
    """The accumulated counts of one zone."""

    __slots__ = ("nodes", "lowest_version", "max_age", "late_nodes", "lowest_relay")

    def __init__(self) -> None:
        self.nodes = self.max_age = self.late_nodes = 0
        self.lowest_version: int | None = None
        self.lowest_relay = ""

    def add(self, count: Count) -> None:
        """Adds the count of one subscriber."""
        self.nodes += count.nodes
        self.late_nodes += count.late_nodes
        self.max_age = max(self.max_age, count.max_age)
        if self.lowest_version is None or (count.lowest_version, count.lowest_relay) < (
            self.lowest_version,
            self.lowest_relay,
        ):
            self.lowest_version, self.lowest_relay = count.lowest_version, count.lowest_relay


def merge_counts(counts: Iterable[Count], most: int = MAX_ZONES) -> tuple[Count, ...]:
    """One count per zone, sorted by name.

    Zones above the bound are merged into one count with the name "".
    """
    sums: dict[str, ZoneSum] = {}
    for each in counts:
        if each.nodes <= 0:
            continue
        zone = each.zone if each.zone in sums or len(sums) < most else ""
        if zone not in sums:
            sums[zone] = ZoneSum()
        sums[zone].add(each)
    return tuple(
        Count(
            zone, found.nodes, found.lowest_version or 0, found.max_age, found.late_nodes, found.lowest_relay
        )
        for zone, found in sorted(sums.items())
    )


def adjust_counts(
    counts: Iterable[Count], relay: str, version: int, needed: int, passed: int
) -> Iterable[Count]:
    """A subscriber's counts, adjusted for the sum of its relay.

    `version`: applied by the subscriber; `needed`: the version that this relay has had for LATE_AFTER_US;
    `passed`: µs since the counts were sent. All nodes below a relay that is itself late are late. Numbers out
    of range are clamped.
    """
    for each in counts:
        nodes = min(MAX_NODES, max(0, each.nodes))
        late = min(nodes, max(0, each.late_nodes))
        if version < needed or (not each.lowest_relay and each.lowest_version < needed):
            late = nodes
        oldest = age_after(max(0, each.max_age), passed)
        lowest = min(MAX_AGE_US, max(0, each.lowest_version))
        yield Count(
            each.zone[:MAX_NAME_CHARS],
            nodes,
            lowest,
            oldest,
            late,
            (each.lowest_relay or relay)[:MAX_NAME_CHARS],
        )
