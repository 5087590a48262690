"""Accounting of forwarded requests against each tenant's exact token bucket, after the run."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple


class ForwardedRequest(NamedTuple):
    """The first attempt of a request, which takes the request's units from the quota.

    Attributes:
        sent_at_s: Unix time of the attempt, in seconds.
        tenant: Number of the tenant.
        units: Quota units of the request.
    """

    sent_at_s: float
    tenant: int
    units: float


@dataclass(frozen=True, slots=True)
class QuotaUsage:
    """What a fleet forwarded, compared with the quotas.

    Attributes:
        units_within_quota: Units forwarded that the token buckets held.
        units_over_quota: Units forwarded beyond them.
        units_allowed: Units that the quotas allow of what was requested.
    """

    units_within_quota: float
    units_over_quota: float
    units_allowed: float


def account_quotas(
    forwarded: Iterable[ForwardedRequest],
    requested_units: Mapping[int, float],
    *,
    refill: float,
    burst: float,
    seconds: float,
) -> QuotaUsage:
    """Account requests to token buckets that start full.

    Args:
        forwarded: First attempts of all gateways together, in any order.
        requested_units: Units requested by each tenant.
        refill: Units a second that each token bucket gains.
        burst: Capacity of each token bucket, in units.
        seconds: Duration of the load.

    Returns:
        The units within and over the quotas, and those that the quotas allow.
    """
    buckets: dict[int, tuple[float, float]] = {}  # tokens, and the time of that level in seconds
    units_within_quota = units_over_quota = 0.0
    for sent_at_s, tenant, units in sorted(forwarded):
        tokens, updated_at_s = buckets.get(tenant, (burst, sent_at_s))
        tokens = min(burst, tokens + refill * (sent_at_s - updated_at_s))
        if tokens >= units:
            tokens -= units
            units_within_quota += units
        else:
            units_over_quota += units
        buckets[tenant] = (tokens, sent_at_s)
    units_allowed = sum(min(units, refill * seconds + burst) for units in requested_units.values())
    return QuotaUsage(units_within_quota, units_over_quota, units_allowed)
