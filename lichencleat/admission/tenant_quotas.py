"""Tenant quotas: whether a tenant's recent starts on this node are within the tenant's quota."""

from __future__ import annotations

from lichencleat.admission.types import NodeSpec, Request

# Time over which starts are compared with the quota; the smallest tenant has a few starts in it.
QUOTA_WINDOW_S = 3


class TenantQuotas:
    """Counts the starts of each tenant, less the quota that has accrued since.

    A quota holds for the whole fleet, and each node applies an equal part of it. If a tenant's callers use
    few nodes only, these nodes hold the tenant to less than its quota. A quota only decides which of two
    requests goes first, so requests beyond a quota still run where there is capacity.
    """

    def __init__(self, spec: NodeSpec) -> None:
        self.quotas = spec.tenant_quotas  # requests per second at this node
        self.over_quota_value_share = spec.over_quota_value_share
        self.recent_starts: dict[str, float] = {}  # starts less the accrued quota, by tenant

    def is_over(self, request: Request) -> bool:
        """Return whether the recent starts of a request's tenant use up the tenant's quota."""
        return self.recent_starts.get(request.tenant, 0.0) >= self._allowance(request)

    def value_share(self, request: Request) -> float:
        """Return the fraction of its value that a request earns: less beyond the tenant's quota."""
        return self.over_quota_value_share if self.is_over(request) else 1.0

    def on_start(self, request: Request) -> None:
        """Count the start of a run; starts beyond a quota are forgotten within two windows."""
        if request.tenant in self.quotas:
            starts = self.recent_starts.get(request.tenant, 0.0) + 1
            self.recent_starts[request.tenant] = min(starts, 2 * self._allowance(request))

    def update(self, period: int) -> None:
        """Deduct the quotas of one period (µs) from the recent starts."""
        remaining = {
            each: starts - self.quotas[each] * period / 1e6 for each, starts in self.recent_starts.items()
        }
        self.recent_starts = {each: starts for each, starts in remaining.items() if starts > 0}

    def _allowance(self, request: Request) -> float:
        return max(1.0, self.quotas.get(request.tenant, float("inf")) * QUOTA_WINDOW_S)
