"""Accounts for forwarded requests with an exact token bucket per tenant, after a load has ended.

During the load, each gateway only estimates the remaining quotas. This accounting covers the requests of all
gateways, and shows how many units were forwarded over quota.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple


class ForwardedRequest(NamedTuple):
    """The first attempt of a request. Later attempts take no further units from the quota.

    Attributes:
        sent_at_s: Unix time at which the attempt was sent, in seconds.
        tenant: Number of the tenant.
        units: Quota units of the request.
    """

    sent_at_s: float
    tenant: int
    units: float


@dataclass(frozen=True, slots=True)
class QuotaUsage:
    """Units that a fleet forwarded, compared with the quotas of all tenants.

    Attributes:
        units_within_quota: Units forwarded while the tenant's token bucket held enough tokens.
        units_over_quota: Units forwarded while the tenant's token bucket held too few tokens.
        units_allowed: Units that the quotas allow, at most the requested units of each tenant.
    """

    units_within_quota: float
    units_over_quota: float
    units_allowed: float


def account_quotas(
    forwarded: Iterable[ForwardedRequest],
    requested_units: Mapping[int, float],
    *,
    refill_units_per_s: float,
    burst: float,
    seconds: float,
) -> QuotaUsage:
    """Account for requests with token buckets that are full at the start.

    Args:
        forwarded: First attempts of all gateways together, in any order.
        requested_units: Units requested by each tenant.
        refill_units_per_s: Refill rate of each token bucket, in units per second.
        burst: Capacity of each token bucket, in units.
        seconds: Duration of the load.

    Returns:
        The units within and over the quotas, and those that the quotas allow.
    """
    buckets: dict[int, tuple[float, float]] = {}  # by tenant: tokens, and their Unix time in seconds
    units_within_quota = units_over_quota = 0.0
    for sent_at_s, tenant, units in sorted(forwarded):
        tokens, updated_at_s = buckets.get(tenant, (burst, sent_at_s))
        tokens = min(burst, tokens + refill_units_per_s * (sent_at_s - updated_at_s))
        if tokens >= units:
            tokens -= units
            units_within_quota += units
        else:
            units_over_quota += units
        buckets[tenant] = (tokens, sent_at_s)
    units_allowed = sum(
        min(units, refill_units_per_s * seconds + burst) for units in requested_units.values()
    )
    return QuotaUsage(units_within_quota, units_over_quota, units_allowed)
