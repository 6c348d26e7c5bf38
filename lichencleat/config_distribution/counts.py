"""Version counts: how many nodes of each zone have which version, added up along the relay tree; no I/O.

A count holds sums and extremes over the nodes of a zone, and the name of the relay that serves the lowest
version, but no names of nodes. A node reports itself as one node, and its relay adds the node to the count of
the node's zone. Each report of a relay replaces the previous report of that relay as a whole. The counts of a
subscriber are included while its link is open and its last request is no older than `COUNT_EXPIRY_US`. So a
subscriber that moved to another relay without closing its link is included twice for at most
`COUNT_EXPIRY_US`; each higher tier learns of the move within one request (`MAX_HOLD_US`).
"""

from __future__ import annotations

from collections.abc import Iterable

from lichencleat.config_distribution.terms import MAX_ZONES, Count

MAX_NODES = 1 << 20  # maximum in a received count: far above any fleet; sums fit the wire format's integers
MAX_NAME_CHARS = 64  # maximum length of the name of a zone or relay, in characters
# µs after a subscriber's last request until its counts are left out; longer than any hold, answer timeout or
# wait for a snapshot slot
COUNT_EXPIRY_US = 5_000_000
MAX_AGE_US = 1 << 53  # µs: upper bound of an age; also stands for an unknown age; exact in JSON


def age_after(age: int, passed: int) -> int:
    """An age in µs after `passed` more µs, at most `MAX_AGE_US`."""
    return min(MAX_AGE_US, age + max(0, passed))


class ZoneSum:
    """The accumulated counts of one zone."""

    __slots__ = ("nodes", "lowest_version", "max_age", "late_nodes", "lowest_relay")

    def __init__(self) -> None:
        self.nodes = self.max_age = self.late_nodes = 0
        self.lowest_version: int | None = None
        self.lowest_relay = ""

    def add(self, count: Count) -> None:
        """Adds one count of a subscriber."""
        self.nodes += count.nodes
        self.late_nodes += count.late_nodes
        self.max_age = max(self.max_age, count.max_age)
        if self.lowest_version is None or (count.lowest_version, count.lowest_relay) < (
            self.lowest_version,
            self.lowest_relay,
        ):
            self.lowest_version, self.lowest_relay = count.lowest_version, count.lowest_relay


def merge_counts(counts: Iterable[Count], most: int = MAX_ZONES) -> tuple[Count, ...]:
    """Merges counts into one count per zone, sorted by the zone's name.

    If there are more than `most` zones, further zones are merged into one count with the zone "".
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
    """A subscriber's counts, adjusted for the sum at `relay`, the relay that it follows.

    `version`: version applied by the subscriber; `needed`: version that `relay` has had for LATE_AFTER_US;
    `passed`: µs since the counts were received. If the subscriber lacks the needed version, all nodes in its
    counts are late. Numbers out of range are clamped.
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
