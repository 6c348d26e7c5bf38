"""Settings of the gossip protocol."""

from __future__ import annotations

import msgspec


class GossipSettings(msgspec.Struct, frozen=True):
    """Intervals and multipliers, which are the same on each member. Times are in µs."""

    probe_interval: int = 1_000_000  # time between two probes of a member
    # Time limit for the answer to a direct probe; then other members are asked for indirect probes.
    probe_timeout: int = 300_000
    indirect_probes: int = 3  # number of members that are asked for an indirect probe
    # The minimum suspicion timeout is this many probe intervals, times the logarithm of the group's size.
    suspicion_multiplier: int = 4
    # The maximum suspicion timeout is this many minimum timeouts. The maximum applies until another member
    # confirms the suspicion.
    max_suspicion_multiplier: int = 6
    # A member sends an update this many times, multiplied by the logarithm of the group's size.
    retransmit_multiplier: int = 3
    # Mean time between two synchronizations of member tables, which also merge partitions.
    sync_interval: int = 5_000_000
    dead_retention: int = 600_000_000  # time after which members that are dead or have left are forgotten
