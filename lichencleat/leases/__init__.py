"""Leases of the fleet's jobs, granted through the consensus group, with fencing tokens.

Guaranteed: a job has at most one holder in the log, each with a fencing token that only grows; a receiver
that checks tokens never accepts an older one after a newer one. As long as clocks keep the stated drift, a
holder has stopped by itself before the next one starts. Not guaranteed: that a holder notices in time. It
may pause between any two instructions; only the token makes its late act harmless.

Modules without I/O: `lease_state` (the replicated state), `placement` (which candidate gets a job),
`candidate_expiry` (when the leader may expire a candidate), `held_leases` (what a candidate may do and until
when), `fencing` (which tokens a receiver accepts), `messages` (commands and replies).

Modules on the reactor: `lease_client` (the client of a process that takes on jobs), `leader_task` (a task
that runs under a lease), `periodic_proposer` (the loop below the clients), `interfaces` (what they use).
"""
