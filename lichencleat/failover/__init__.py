"""Zone failover: which zones serve, and how much traffic a router sends to other zones; see docs/failover.md.

Guarantees: every routing plan has a version and the fencing token of the leader that published it; routers
reject a plan that is older than theirs; no plan sends more to a zone than its known capacity. A router's own
decisions are limited: the plan limits its spillover (the traffic that it sends to other zones), a budget
limits its retries, and a fixed fraction of a zone's nodes limits its ejections. Not guaranteed: that all
routers follow the newest plan at once. A router that receives no plan keeps the last one, and sends less
spillover as the plan ages.

Decisions without I/O: `state` (health reports and the plan, a part of the replicated state), `controller`
(the commands that the leader proposes), `preview` (the effect of an operator's override), `locality_routing`
(the zone to which a router sends a request), `retry_budget` (limit on a router's retries) and
`outlier_ejection` (nodes that a router avoids).
"""
