"""The coordinator daemon: a consensus member with the states that the fleet replicates through it.

The package combines `consensus` with leases, quotas, recovery, failover and configuration distribution;
`consensus` itself depends on none of these. The guarantees are those of `consensus` and of each replicated
state.
"""
