"""Zone failover: which zones serve, and how far a router keeps traffic local; see docs/failover.md.

Guarantees: every routing plan has a version and the fencing token of the leader that published it; routers
reject a plan that is older than theirs; no plan sends more to a zone than its known capacity. The decisions
that a router makes by itself are bounded: by a share of traffic that spills over, a retry budget and a
maximum of ejected nodes. Not guaranteed: that all routers follow the newest plan at once. A router that
receives no plan keeps the last one and sends less spillover as the plan ages.

Decisions without I/O: `state` (health reports and the plan, a part of the replicated state), `controller`
(the commands that the leader proposes), `preview` (the effect of an operator's override), `locality_routing`
(spillover of a router), `retry_budget` (limit on a router's retries) and `outlier_ejection` (nodes that a
router avoids).
"""
