"""The replicated states of each kind of group, by the names under which they are stored and sent.

All members of a group must have the same states. The names are on disk and on the wire, so they never change.
"""

from __future__ import annotations

from lichencleat.consensus.key_value import STATE_PART as KEY_VALUES
from lichencleat.consensus.key_value import KeyValueState
from lichencleat.consensus.state_machine import ReplicatedState
from lichencleat.failover.messages import STATE_PART as FAILOVER
from lichencleat.failover.state import FailoverState
from lichencleat.leases.lease_state import LeaseState
from lichencleat.leases.messages import STATE_PART as LEASES
from lichencleat.quotas.messages import STATE_PART as QUOTAS
from lichencleat.quotas.quota_state import QuotaState
from lichencleat.recovery.messages import STATE_PART as RECOVERY
from lichencleat.recovery.state import FleetState

CONFIG_DISTRIBUTION = "distribution"


def make_control_plane_states() -> dict[str, ReplicatedState]:
    """Return the empty states of a group that coordinates a fleet."""
    leases = LeaseState()
    return {
        KEY_VALUES: KeyValueState(),
        LEASES: leases,
        QUOTAS: QuotaState(leases),
        RECOVERY: FleetState(leases),
        FAILOVER: FailoverState(leases),
    }


def make_config_distribution_states() -> dict[str, ReplicatedState]:
    """Return the empty states of a group that replicates configuration.

    Configuration has a separate group, so that snapshots of large configurations never delay lease renewals.
    """
    from lichencleat.config_distribution.source import Source  # only groups for configuration load it

    return {KEY_VALUES: KeyValueState(), CONFIG_DISTRIBUTION: Source()}
