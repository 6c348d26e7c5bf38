"""Cold start of the fleet after a power loss; the concepts are described in docs/recovery.md.

Guarantees: a node serves under the current epoch of the fleet only; it trusts no idempotency window while its
clock contradicts that of the fleet; nodes are opened in batches that grow while the open ones are healthy, by
a rollout plan that is replicated, so that another leader continues it. A node that reaches nobody does not
wait for ever: after a delay it serves what it can verify alone.

Decisions without I/O: `boot_record` (how the previous process ended), `trust` (what is trusted from before a
start, and by which proof), `state` (epoch and plan, a part of the replicated state), `planner` (what the
leader proposes), `readiness_gate` (what a node may serve), `service_times` (learned speed). With I/O:
`boot_record_store` and `service_time_store` (what is kept on the disk), `reporter` (a node's reports) and
`planner_task` (the leader's work).
"""
