"""Table of the tenants with recent requests, and the state of each."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable, Iterator
from itertools import islice

from api_gateway.decisions.ceiling import CeilingShare
from api_gateway.decisions.quota import QuotaConditions, TenantQuota, window_length_ms
from api_gateway.decisions.tenant_counter_calls import TenantCounterCalls
from api_gateway.decisions.traffic import RATE_TIME_CONSTANT_MS
from api_gateway.decisions.uptime import Uptime
from api_gateway.model.events import RequestReceived
from api_gateway.model.settings import Plan, Settings

DEFAULT_MAX_TENANTS = 8192
# A tenant may be evicted after this many windows without a request, or earlier if the table is full.
EVICT_AFTER_WINDOWS = 3.0
MAX_TENANTS_EXAMINED = 64  # Limits the time of one search for tenants to evict.
HASH_BYTES = 8


class Tenant:
    """One tenant under one plan.

    Args:
        key: Name of the tenant and name of the plan.
        plan: The plan.
        quota: Estimate of the remaining quota.
        ceiling: This gateway's share of the ceiling.
        counter_calls: Its counter calls: what was reported, and which requests wait.
        window_phase: Shift of the tenant's windows, as a fraction of a window from 0 to 1.

    Attributes:
        in_flight: Requests that count towards the limit on concurrent requests.
        last_request_at_ms: When the last request was received, in milliseconds.
    """

    def __init__(
        self,
        key: tuple[str, str],
        plan: Plan,
        quota: TenantQuota,
        ceiling: CeilingShare,
        counter_calls: TenantCounterCalls,
        window_phase: float,
    ) -> None:
        self.key = key
        self.plan = plan
        self.quota = quota
        self.ceiling = ceiling
        self.counter_calls = counter_calls
        self.in_flight = 0
        self.last_request_at_ms = 0.0
        self._window_phase = window_phase
        # Computed once, since each sweep needs it for many tenants; 0 without a quota.
        self._window_length_ms = window_length_ms(plan) if plan.quota_rate > 0 else 0.0

    def window_at(self, now_ms: float) -> tuple[int, float]:
        """Return the quota window at a time; the plan must have a quota.

        Returns:
            The number of the window and the time when it began, in milliseconds.
        """
        length_ms = self._window_length_ms
        position = now_ms / length_ms + self._window_phase
        return int(position), now_ms - position % 1 * length_ms

    def is_at_concurrency_limit(self) -> bool:
        """Return whether this gateway's share of the tenant's concurrent requests is used up."""
        limit = self.plan.max_concurrent_requests
        return bool(limit) and self.in_flight >= max(1, limit // self.quota.gateway_count)

    def is_evictable(self, now_ms: float) -> bool:
        """Return whether the tenant may be evicted: no requests are open, and its ceiling share is full.

        A tenant that returns gets a new ceiling share, which holds the refill since the start of this
        gateway. Therefore only a full share may be discarded. The estimate of the quota is lost.
        """
        is_unused = not self.in_flight and not self.counter_calls.waiting_requests
        return is_unused and self.ceiling.is_full_after(now_ms - self.last_request_at_ms)

    def is_idle(self, now_ms: float) -> bool:
        """Return whether the tenant may be evicted and has sent no request for `EVICT_AFTER_WINDOWS`.

        Without a quota, `RATE_TIME_CONSTANT_MS` takes the place of the window length.
        """
        idle_period_ms = self._window_length_ms or RATE_TIME_CONSTANT_MS
        has_no_recent_request = now_ms - self.last_request_at_ms >= EVICT_AFTER_WINDOWS * idle_period_ms
        return has_no_recent_request and self.is_evictable(now_ms)


class TenantTable:
    """The known tenants, in the order of their last requests.

    Args:
        settings: Settings of the gateway.
        uptime: Time since the gateway started.
        conditions: Conditions that the quota estimates depend on.
        on_evict: Called with each tenant that is evicted.
        max_tenants: Maximum number of tenants, which limits their memory: any name may come.
    """

    def __init__(
        self,
        settings: Settings,
        uptime: Uptime,
        conditions: QuotaConditions,
        on_evict: Callable[[Tenant], None],
        max_tenants: int,
    ) -> None:
        self._fleet_size = settings.fleet_size
        self._max_tenants = max_tenants
        self._uptime = uptime
        self._conditions = conditions
        self._on_evict = on_evict
        self._tenants: dict[tuple[str, str], Tenant] = {}
        self._count_name_tags = count_name_tags(settings.plans)

    def __len__(self) -> int:
        """Return the number of tenants."""
        return len(self._tenants)

    def __iter__(self) -> Iterator[tuple[str, str]]:
        """Iterate over the keys (tenant name, plan name), the least recently used first."""
        return iter(self._tenants)

    def __getitem__(self, key: tuple[str, str]) -> Tenant:
        """Return the tenant with a key (tenant name, plan name).

        Raises:
            KeyError: There is no such tenant.
        """
        return self._tenants[key]

    def values(self) -> list[Tenant]:
        """Return all tenants."""
        return list(self._tenants.values())

    def clear(self) -> None:
        """Remove all tenants without calling `on_evict`."""
        self._tenants.clear()

    def gateway_count(self, request: RequestReceived) -> int:
        """Return the number of gateways that a request names, limited to the size of the fleet."""
        return max(1, min(request.gateway_count, self._fleet_size))

    def find_or_create(self, request: RequestReceived, plan: Plan, now_ms: float) -> Tenant | None:
        """Return the tenant of a request, which is created if necessary.

        Returns:
            The tenant; None if the table is full and no tenant was found to evict.
        """
        key = (request.tenant, plan.name)
        tenant = self._tenants.pop(key, None)
        if tenant is None:
            if len(self._tenants) >= self._max_tenants and not self._evict_one(now_ms):
                return None
            tenant = self._create(key, plan, self.gateway_count(request), now_ms)
        self._tenants[key] = tenant
        tenant.last_request_at_ms = now_ms
        return tenant

    def _create(self, key: tuple[str, str], plan: Plan, gateway_count: int, now_ms: float) -> Tenant:
        name_hash = hashlib.blake2s(key[0].encode(), digest_size=HASH_BYTES)
        quota = TenantQuota(
            plan=plan,
            gateway_count=gateway_count,
            now_ms=now_ms,
            uptime_ms=self._uptime.elapsed_ms(now_ms),
            conditions=self._conditions,
        )
        return Tenant(
            key=key,
            plan=plan,
            quota=quota,
            ceiling=CeilingShare(plan, self._uptime.started_at_ms or 0.0),
            counter_calls=TenantCounterCalls(quota, name_hash.hexdigest() + self._count_name_tags[plan.name]),
            # Each tenant's windows have a phase of their own, so that counter calls are spread over time.
            window_phase=int.from_bytes(name_hash.digest()[:2], "big") / 65536,
        )

    def _evict_one(self, now_ms: float) -> bool:
        """Evict the least recently used tenant that may be evicted, and return whether there was one."""
        examined = islice(self._tenants.values(), MAX_TENANTS_EXAMINED)
        tenant = next((tenant for tenant in examined if tenant.is_evictable(now_ms)), None)
        if tenant is not None:
            self._evict(tenant)
        return tenant is not None

    def evict_idle(self, now_ms: float) -> None:
        """Evict the idle ones among the least recently used tenants."""
        for tenant in list(islice(self._tenants.values(), MAX_TENANTS_EXAMINED)):
            if tenant.is_idle(now_ms):
                self._evict(tenant)

    def _evict(self, tenant: Tenant) -> None:
        del self._tenants[tenant.key]
        self._on_evict(tenant)


def count_name_tags(plans: Iterable[Plan]) -> dict[str, str]:
    """Return a tag for the count names of each plan, which keeps counts of different plans apart.

    Only plans that share their window length with another one need a tag, because windows of different
    lengths have different numbers at the same time; the tag of other plans is empty. The names must never
    change, since gateways of two versions use the same counts during a rollout.

    Args:
        plans: All plans, in the order of the settings.

    Returns:
        The tags by plan name.
    """
    plans = tuple(plans)
    lengths_ms = [window_length_ms(plan) if plan.quota_rate > 0 else 0.0 for plan in plans]
    return {plan.name: f".{i}" if lengths_ms.count(lengths_ms[i]) > 1 else "" for i, plan in enumerate(plans)}
