"""Settings of the gossip protocol."""

from __future__ import annotations

import msgspec


class GossipSettings(msgspec.Struct, frozen=True):
    """Intervals and multipliers, the same at each member. Times are µs."""

    probe_interval: int = 1_000_000
    probe_timeout: int = 300_000  # for a direct answer; then others are asked to probe
    indirect_probes: int = 3  # members that are asked
    suspicion_multiplier: int = 4  # probe intervals, times the logarithm of the group: the shortest timeout
    max_suspicion_multiplier: int = 6  # times that, where nobody else suspects the member
    retransmit_multiplier: int = 3  # times the logarithm of the group: how often an update is passed on
    sync_interval: int = 5_000_000  # between attempts to reach a dead member: so partitions merge again
    dead_retention: int = 600_000_000  # dead members, and those that left, are forgotten then
