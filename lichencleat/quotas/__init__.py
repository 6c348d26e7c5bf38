"""Leased quotas on a dependency that all nodes call, divided by an allocator: see docs/quotas.md.

Guaranteed: the sum of the calls that all nodes may have in flight never exceeds the pool's limit, whichever
allocators are alive, paused or partitioned, as long as the clocks' rates differ by no more than the stated
drift. An allocation by an earlier lease holder is rejected because of its old fencing token. A node that
cannot reach the group keeps its floor, a number of calls that is always reserved for each node. Not
guaranteed: that a call in flight is cancelled when its grant ends; so each call under a grant gets a deadline
no later than the grant's end.

Modules without I/O: `quota_state` (the replicated state), `allocation` (how much each node should have),
`allocator` (which commands the lease holder proposes, and when a grant has expired), `quota_grant` (how many
calls a node may have in flight and until when), `messages` (commands and replies).

Modules that use the reactor: `quota_client` (a node's side), `allocator_task` (the lease holder's side).
"""
