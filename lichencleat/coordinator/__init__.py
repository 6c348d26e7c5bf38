"""The control-plane daemon: a consensus member together with the state that the fleet replicates through it.

It composes `consensus` with leases, quotas, recovery, failover and configuration; `consensus` itself knows
none of them. Guarantees are those of `consensus` and of each replicated state.
"""
