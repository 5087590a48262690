"""A tenant's hard ceiling: this gateway's share of its token bucket."""

from __future__ import annotations

from api_gateway.model.settings import Plan

ROUNDING_TOLERANCE = 1e-9


class CeilingShare:
    """One gateway's share of a tenant's ceiling: 1 / gateway count of its rate and burst.

    It is empty at the gateway's start, since a gateway that ran before may have spent it. So the shares of
    all gateways never sum to more than the ceiling.

    Args:
        plan: The tenant's plan.
        filled_from_ms: When the share begins to fill.
    """

    def __init__(self, plan: Plan, filled_from_ms: float) -> None:
        self._plan = plan
        self._updated_at_ms = filled_from_ms
        self.tokens = 0.0

    def admits(self, units: float, gateway_count: int, now_ms: float) -> bool:
        """Refill the share up to now, and return whether it holds so many units."""
        plan = self._plan
        if plan.ceiling_rate <= 0:
            return True
        capacity = plan.ceiling_burst / gateway_count
        refill = (now_ms - self._updated_at_ms) * plan.ceiling_rate / 1000 / gateway_count
        self.tokens = min(capacity, self.tokens + refill)
        self._updated_at_ms = now_ms
        return units <= self.tokens + ROUNDING_TOLERANCE

    def spend(self, units: float) -> None:
        """Take so many units."""
        self.tokens -= units

    def is_full_after(self, idle_ms: float) -> bool:
        """Whether the share is full again after so long without a request."""
        return idle_ms * self._plan.ceiling_rate >= 1000 * self._plan.ceiling_burst
