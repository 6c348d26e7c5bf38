"""Preview of an operator's override: the routing plan that the override would lead to; no I/O."""

from __future__ import annotations

from lichencleat.failover.controller import FailoverController, ZoneHealth, offered_load
from lichencleat.failover.messages import ActiveOverride, RouterHealth, RoutingPlan, Zone, ZoneRole


def preview_override(
    zones: dict[str, Zone],
    plan: RoutingPlan,
    routers: dict[str, RouterHealth],
    overrides: dict[str, ActiveOverride],
    zone: str,
    role: ZoneRole,
) -> RoutingPlan:
    """Return the plan that would follow if `zone` had `role` and nothing else changed.

    The failover controller computes the plan; `zones`, `plan`, `routers` and `overrides` are the current
    replicated state.
    """
    controller = FailoverController(plan.fencing_token)
    for name in zones:
        is_out = plan.role(name) is ZoneRole.STANDBY and name not in overrides
        controller.health[name] = ZoneHealth(is_out=is_out, ramp=0.0 if is_out else 1.0)
    previewed = {**overrides, zone: ActiveOverride(role, 0, 0)}
    return controller.create_plan(zones, offered_load(zones, routers), previewed, plan)
