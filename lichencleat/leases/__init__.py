"""Leases on the fleet's jobs, granted through the consensus group, with fencing tokens.

Guaranteed: the log never names more than one holder of a job; each grant of a job has a greater fencing token
than the grant before; a receiver that checks tokens never accepts an older token after a newer one. As long
as the clocks' rates differ by no more than the stated drift, a holder stops on its own before the next holder
starts. Not guaranteed: that a holder notices in time that its lease is over. The process may pause between
any two instructions; only the receiver's check of the token makes a late action harmless.

Modules without I/O: `lease_state` (the replicated state), `placement` (which candidate gets a job),
`candidate_expiry` (when the leader may expire a candidate), `held_leases` (which leases a candidate holds and
until when), `fencing` (which tokens a receiver accepts), `messages` (commands and replies).

Modules that use the reactor: `lease_client` (the client of a process that runs jobs), `leader_task` (a task
that runs under a lease), `periodic_proposer` (the base class of the clients' loops), `interfaces` (the group
client that these modules depend on).
"""
