"""This gateway's share of a tenant's ceiling, which all gateways together never exceed."""

from __future__ import annotations

from api_gateway.model.settings import Plan

ROUNDING_TOLERANCE = 1e-9


class CeilingShare:
    """One gateway's share of a tenant's ceiling: a token bucket with 1 / gateway count of its rate and burst.

    The share is empty at the start of the gateway, because the process that it replaces may have used it. In
    this way the shares of all gateways never add up to more than the ceiling.

    Args:
        plan: Plan of the tenant, with a ceiling or without.
        filled_from_ms: When the share begins to fill, in milliseconds.

    Attributes:
        tokens: Units in the share as of the last refill, less those spent since.
    """

    def __init__(self, plan: Plan, filled_from_ms: float) -> None:
        self._plan = plan
        self._updated_at_ms = filled_from_ms
        self.tokens = 0.0

    def admits(self, units: float, gateway_count: int, now_ms: float) -> bool:
        """Refill the share, and return whether it holds enough units; without a ceiling it always does.

        Args:
            units: Size of the request.
            gateway_count: Number of gateways over which the tenant's requests are distributed.
            now_ms: The current time, in milliseconds.
        """
        plan = self._plan
        if plan.ceiling_rate <= 0:
            return True
        capacity = plan.ceiling_burst / gateway_count
        refill = (now_ms - self._updated_at_ms) * plan.ceiling_rate / 1000 / gateway_count
        self.tokens = min(capacity, self.tokens + refill)
        self._updated_at_ms = now_ms
        return units <= self.tokens + ROUNDING_TOLERANCE

    def spend(self, units: float) -> None:
        """Take the units of a request from the share."""
        self.tokens -= units

    def is_full_after(self, idle_ms: float) -> bool:
        """Whether the share is full after this time without a request, in milliseconds."""
        return idle_ms * self._plan.ceiling_rate >= 1000 * self._plan.ceiling_burst
