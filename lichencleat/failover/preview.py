"""What an operator's word would do, before it is given; no I/O."""

from __future__ import annotations

from lichencleat.failover.judge import Judge, Known, offered_in
from lichencleat.failover.terms import Duty, Order, Source, Wished, Zone


def preview(
    zones: dict[str, Zone],
    order: Order,
    sources: dict[str, Source],
    wishes: dict[str, Wished],
    zone: str,
    duty: Duty,
) -> Order:
    """The order that would follow, if nothing else changed: by the judge's own reckoning."""
    judge = Judge(order.token)
    for name in zones:
        stands_by = order.duty(name) is Duty.STANDS_BY and name not in wishes
        judge.known[name] = Known(out=stands_by, trickle=0.0 if stands_by else 1.0)
    return judge.order(zones, offered_in(zones, sources), {**wishes, zone: Wished(duty, 0, 0)}, order)
