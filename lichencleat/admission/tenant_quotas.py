"""Tenant quotas: whether a tenant's recent starts are within its share of this node."""

from __future__ import annotations

from lichencleat.admission.types import NodeSpec, Request

SHARE_SPAN = 3  # s over which a tenant's starts are held against its quota: a few of the smallest tenant's


class TenantQuotas:
    """Counts the starts of each tenant, less its quota of the time since.

    A quota is counted over the fleet; this node takes an equal part of it as its own. That fails where a
    tenant's callers come to few nodes only, which then hold it to less than it has. It decides nothing but
    which of two requests goes first, so work beyond a quota still runs where there is capacity.
    """

    def __init__(self, spec: NodeSpec) -> None:
        self.quotas = spec.tenant_quotas  # requests a second here
        self.over_quota_value_share = spec.over_quota_value_share
        self.recent_starts: dict[str, float] = {}

    def is_over(self, request: Request) -> bool:
        """Return whether the tenant's recent starts are all that its quota allows."""
        return self.recent_starts.get(request.tenant, 0.0) >= self._allowance(request)

    def value_share(self, request: Request) -> float:
        """Return the share of its value that a request earns."""
        return self.over_quota_value_share if self.is_over(request) else 1.0

    def on_start(self, request: Request) -> None:
        """Count the start of a run; what a tenant owes is forgotten within two spans."""
        if request.tenant in self.quotas:
            starts = self.recent_starts.get(request.tenant, 0.0) + 1
            self.recent_starts[request.tenant] = min(starts, 2 * self._allowance(request))

    def update(self, period: int) -> None:
        """Let the quotas of one period (µs) pass."""
        left = {
            each: starts - self.quotas[each] * period / 1e6 for each, starts in self.recent_starts.items()
        }
        self.recent_starts = {each: starts for each, starts in left.items() if starts > 0}

    def _allowance(self, request: Request) -> float:
        return max(1.0, self.quotas.get(request.tenant, float("inf")) * SHARE_SPAN)
