"""Quotas of a dependency that all nodes call, allocated by the holder of a lease: docs/quotas.md.

Guaranteed: the sum of the calls that all nodes may have in flight never exceeds the pool's limit, whichever
allocators are alive, paused or partitioned, as long as clocks keep the stated drift; an allocation by an
earlier lease holder is rejected by its fencing token. A node that reaches nobody keeps its floor, which is
reserved for it at all times. Not guaranteed: that a call that was sent is cancelled; so a call under a grant
has a deadline at the grant's end.

Modules without I/O: `quota_state` (the replicated state), `allocation` (how much each node should have),
`allocator` (what the lease holder proposes, and when a grant has expired), `quota_grant` (what a node may use
and until when), `messages` (commands and replies).

Modules on the reactor: `quota_client` (a node's side), `allocator_task` (the lease holder's side).
"""
