"""Zone failover: which zones serve, and how far a router keeps traffic local; see docs/failover.md.

Guarantees: every routing plan has a version and the fencing token of the one leader that published it;
whoever knows a newer plan rejects an older one; no plan sends more to a zone than its known capacity. What a
router decides by itself is bounded: a share that spills over, a retry budget, a maximum of ejected nodes. Not
guaranteed: that all routers follow the newest plan at once; a router that receives none keeps the last one,
and only gets more careful.

Decisions without I/O: `state` (health reports and the plan, a part of the replicated state), `controller`
(what the leader proposes), `preview` (what an operator's override would do), `locality_routing` (what a
router spills over), `retry_budget` (how often it retries) and `outlier_ejection` (which nodes it avoids).
"""
