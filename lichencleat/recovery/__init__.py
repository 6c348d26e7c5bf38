"""Cold start of the fleet after a power loss; the concepts are described in docs/recovery.md.

Guarantees: a node serves only under the current epoch of the fleet. A node serves no keyed requests while its
clock contradicts the clocks of the fleet. Nodes are opened (they get requests) in batches that grow while the
open nodes are healthy. The rollout plan is replicated, so that another leader can continue it. A node that
can't reach the consensus group does not wait indefinitely: after a delay, the node opens by itself.

Decisions without I/O: `boot_record` (how the previous process ended), `trust` (which knowledge from before a
start is trusted, and by which proof), `state` (epoch and plan, a part of the replicated state), `planner`
(the commands that the leader proposes), `readiness_gate` (which requests a node may serve) and
`service_times` (learned service times). With I/O: `boot_record_store` and `service_time_store` (the stored
records), `reporter` (a node's reports) and `planner_task` (the leader's periodic task).
"""
