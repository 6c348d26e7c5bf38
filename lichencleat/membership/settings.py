"""Settings of the gossip protocol."""

from __future__ import annotations

import msgspec


class GossipSettings(msgspec.Struct, frozen=True):
    """Intervals and multipliers, the same on each member. Times are in µs."""

    probe_interval: int = 1_000_000
    probe_timeout: int = 300_000  # for a direct answer; after it, other members are asked for indirect probes
    indirect_probes: int = 3  # members that are asked
    # minimum suspicion timeout: this many probe intervals, times the logarithm of the group's size
    suspicion_multiplier: int = 4
    # maximum suspicion timeout: this many minimum timeouts; applies while no other member shares it
    max_suspicion_multiplier: int = 6
    retransmit_multiplier: int = 3  # transmissions of an update: this times the logarithm of the group's size
    sync_interval: int = 5_000_000  # mean time between synchronizations, which also merge partitions
    dead_retention: int = 600_000_000  # dead members and those that left are forgotten after it
